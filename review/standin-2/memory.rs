//! A backend sends bytes that are no response. The platform ends a process that uses more memory
//! than its machine has.

use std::collections::HashSet;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::backend::{Backend, Fault};
use crate::http::{KeptClient, request};
use crate::record::Record;
use crate::site::{NodePlan, Site};
use crate::{CaseError, Verdict};

const NODES: usize = 5;
const MEMORY_MB: u32 = 110;
/// One of three backends of a service is faulty, and one in 60 of its answers is spoiled.
const ONE_IN: usize = 60;
const PRICERS: usize = 8;
/// Requests on kept connections that may end without an answer.
const ALLOWED_LOSSES: usize = 3;
const CONFIGURATION: &str = r#"{"version":"r1","base_version":"r0","routes":{"r-browse":{"hostname":"vitrine.example","path_prefix":"/browse/","kind":"safe","timeout":"2500ms","target_latency":"600ms","priority":2,"service":"vitrine","max_attempts":2},"r-price":{"hostname":"comptoir.example","path_prefix":"/price/","kind":"safe","timeout":"2500ms","target_latency":"600ms","priority":1,"service":"comptoir","max_attempts":2}},"services":{"vitrine":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false},"comptoir":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let services = ["vitrine", "comptoir", "comptoir", "vitrine", "vitrine"];
    let plans = services.map(|service| NodePlan {
        service,
        memory_mb: MEMORY_MB,
    });
    let mut site = Site::start(record, &plans)?;
    let mut backends = Vec::new();
    for (node, service) in services.iter().enumerate().take(NODES) {
        let work = Duration::from_millis(if *service == "comptoir" { 300 } else { 10 });
        let backend = Backend::start(record, site.app(node), service, work, ONE_IN)?;
        backend.report_regularly(site.admin(node));
        backends.push(backend);
    }
    site.configure(CONFIGURATION)?;
    for node in 0..NODES {
        site.wait_ready(node)?;
    }
    let mut client = KeptClient::new(site.outbound(0));
    for warm_up in [browse("warm-up-1"), price("warm-up-2")] {
        site.wait("no request was served", || {
            let answer = client.send(&warm_up, Duration::from_secs(4));
            answer.is_ok_and(|answer| answer.status() == 200)
        })?;
    }
    sleep(Duration::from_secs(4));
    let has_ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..PRICERS)
        .map(|number| {
            let (outbound, ends, log) = (site.outbound(0), has_ended.clone(), record.clone());
            thread::spawn(move || send_price_checks(number, outbound, &ends, &log))
        })
        .collect();
    if has_trouble {
        backends[0].set_fault(Fault::EndlessBytes);
    }
    let (outbound, ends, log) = (site.outbound(0), has_ended.clone(), record.clone());
    let browser = thread::spawn(move || send_browses(outbound, &ends, &log));
    // The platform looks at the memory of the process and ends it above the limit.
    let started = Instant::now();
    let mut highest = 0;
    let mut is_ended = false;
    while started.elapsed() < Duration::from_secs(12) && !is_ended {
        let pid = site.node_pid(0).ok_or("the node has ended")?;
        let used = resident_bytes(pid).ok_or("the node has ended")?;
        highest = highest.max(used);
        if used > u64::from(MEMORY_MB) * 1024 * 1024 {
            record.note(&format!(
                "node 0 uses {used} bytes, more than {MEMORY_MB} MB"
            ));
            site.kill_node(0);
            is_ended = true;
        }
        sleep(Duration::from_millis(2));
    }
    record.note(&format!("highest use of memory seen: {highest} bytes"));
    sleep(Duration::from_millis(300));
    if is_ended {
        site.restart_node(0)?;
    }
    has_ended.store(true, Ordering::Relaxed);
    let mut cut = Vec::new();
    for client_thread in clients {
        cut.extend(client_thread.join().map_err(|_| "a client failed")?);
    }
    let _ = browser.join();
    let sound = backends
        .iter()
        .filter(|backend| backend.service == "comptoir");
    let ran: HashSet<String> = sound
        .flat_map(|backend| backend.runs())
        .map(|run| run.id)
        .collect();
    let lost: Vec<_> = cut.iter().filter(|id| ran.contains(*id)).collect();
    let spoiled = backends[0]
        .spoiled
        .lock()
        .map(|list| list.len())
        .unwrap_or(0);
    record.note(&format!(
        "{spoiled} spoiled answers; {} requests from kept connections were passed on to sound \
         backends and their connections closed without an answer: {lost:?}",
        lost.len()
    ));
    Ok(match lost.len() > ALLOWED_LOSSES {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends price checks on a kept connection. Returns those after which the connection was closed
/// without an answer, if it had carried another request before.
fn send_price_checks(
    number: usize,
    outbound: std::net::SocketAddr,
    ends: &AtomicBool,
    record: &Record,
) -> Vec<String> {
    let mut client = KeptClient::new(outbound);
    let mut cut = Vec::new();
    for count in 0.. {
        if ends.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("{:016x}", ((number as u64 + 1) << 32) + count);
        let carried = client.carried;
        match client.send(&price(&id), Duration::from_secs(4)) {
            Ok(answer) => record.log(&format!(
                "client {number}: {id} answered {}",
                answer.status()
            )),
            Err(error) => {
                record.log(&format!("client {number}: {id} got no answer: {error}"));
                if carried > 0 {
                    cut.push(id);
                }
                client.carried = 0;
                sleep(Duration::from_millis(200));
            }
        }
    }
    cut
}

fn send_browses(outbound: std::net::SocketAddr, ends: &AtomicBool, record: &Record) {
    let mut client = KeptClient::new(outbound);
    for count in 0.. {
        if ends.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{:016x}", 0xb000_0000_0000_0000_u64 + count);
        let answer = client.send(&browse(&id), Duration::from_secs(3));
        let text = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        record.log(&format!("browser: {id} answered {text}"));
        sleep(Duration::from_millis(30));
    }
}

fn browse(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "vitrine.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "2500"),
    ];
    request("GET /browse/staves", &headers, b"")
}

fn price(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "comptoir.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "2500"),
    ];
    request("GET /price/lot", &headers, b"")
}

/// Returns the resident memory of a process.
fn resident_bytes(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}
