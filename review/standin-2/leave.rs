//! A backend says that it leaves right after the node on its machine was started again; a heartbeat
//! that it had sent before arrives afterwards.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::backend::Backend;
use crate::http::{KeptClient, request};
use crate::record::Record;
use crate::site::{NodePlan, Site};
use crate::{CaseError, Verdict};

const SERVICE: &str = "comptoir";
/// One of ten machines, with the three of the control instances, is killed.
const NODES: usize = 7;
const LEAVING: usize = NODES - 1;
const DRAIN_MS: u64 = 2_500;
const STABLE_WINDOW_MS: u64 = 4_000;
/// How late the heartbeat is.
const DELAY: Duration = Duration::from_millis(3_000);
/// How long the backend serves after its leave was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(12);
const CONFIGURATION: &str = r#"{"version":"r1","base_version":"r0","routes":{"r-reserve":{"hostname":"lots.example","path_prefix":"/reserve/","kind":"non_idempotent","timeout":"1500ms","target_latency":"500ms","priority":0,"service":"comptoir","max_attempts":2}},"services":{"comptoir":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let mut site = Site::start(
        record,
        &[NodePlan {
            service: SERVICE,
            memory_mb: 110,
        }; NODES],
    )?;
    let mut backends = Vec::new();
    for node in 0..NODES {
        let work = Duration::from_millis(30);
        let backend = Backend::start(record, site.app(node), SERVICE, work, 1)?;
        if node != LEAVING {
            backend.report_regularly(site.admin(node));
        }
        backends.push(backend);
    }
    let backend = backends[LEAVING].clone();
    let admin = site.admin(LEAVING);
    site.configure(CONFIGURATION)?;
    for node in 0..NODES {
        site.wait_ready(node)?;
    }
    // The client on the machine of the leaving backend.
    let outbound = site.outbound(LEAVING);
    let may_send = Arc::new(AtomicBool::new(true));
    let has_ended = Arc::new(AtomicBool::new(false));
    let (sends, ends, log) = (may_send.clone(), has_ended.clone(), record.clone());
    let client = thread::spawn(move || {
        let mut client = KeptClient::new(outbound);
        let mut sent = Vec::new();
        while !ends.load(Ordering::Relaxed) {
            if sends.load(Ordering::Relaxed) {
                let id = format!("{:016x}", 0x5a00_0000_0000_0000_u64 + sent.len() as u64);
                sent.push((id.clone(), log.now()));
                let answer = client.send(&reserve(&id), Duration::from_secs(3));
                let text = match &answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => error.to_string(),
                };
                log.log(&format!("client: sent {id}, answered {text}"));
            }
            sleep(Duration::from_millis(40));
        }
        sent
    });
    // Heartbeats of the leaving backend, every 1.5 s.
    site.wait("the backend was not acknowledged", || {
        backend.report(admin, "ready")
    })?;
    for _ in 0..4 {
        sleep(Duration::from_millis(1_500));
        backend.report(admin, "ready");
    }
    if backend.runs().is_empty() {
        return Err("the backend has got no request".into());
    }
    sleep(Duration::from_millis(1_500));
    let late = backend.heartbeat("ready");
    record.note(&format!(
        "backend {}: sends heartbeat {}, which is held up",
        backend.id,
        backend.last_sequence()
    ));
    let arrival = backend.clone();
    let (delayed, log) = (late.clone(), record.clone());
    let held = thread::spawn(move || {
        sleep(DELAY);
        let is_taken = arrival.send_report(admin, &delayed);
        log.note(&format!(
            "the late heartbeat has arrived, acknowledged: {is_taken}"
        ));
    });
    sleep(Duration::from_millis(100));
    let mut started_at = 0;
    if has_trouble {
        // Clients get no new work while their node does not answer that it is ready.
        may_send.store(false, Ordering::Relaxed);
        site.kill_node(LEAVING);
        sleep(Duration::from_millis(300));
        site.restart_node(LEAVING)?;
        started_at = record.now();
        site.wait_ready(LEAVING)?;
        may_send.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(200));
    } else {
        sleep(Duration::from_millis(900));
    }
    // The backend leaves before its next heartbeat is due.
    site.wait("the leave was not acknowledged", || backend.leave(admin))?;
    let left_at = record.now();
    record.note("the leave of the backend is acknowledged");
    let _ = held.join();
    sleep(SERVES_ON);
    backend.exit();
    record.note("the backend has ended");
    has_ended.store(true, Ordering::Relaxed);
    let sent = client.join().map_err(|_| "the client failed")?;
    // Requests count that were sent and run while all machines were in touch: the restarted one is
    // so after the stable window.
    let in_touch_at = started_at + STABLE_WINDOW_MS;
    let runs = backend.runs();
    let late_runs: Vec<_> = runs
        .iter()
        .filter(|run| run.at > left_at + DRAIN_MS)
        .collect();
    let counted = late_runs.iter().filter(|run| {
        let sent_at = sent.iter().find(|(id, _)| *id == run.id).map(|(_, at)| *at);
        sent_at.is_some_and(|at| at > in_touch_at)
    });
    let counted = counted.count();
    let first = late_runs.first().map_or(0, |run| run.at - left_at);
    let last = late_runs.last().map_or(0, |run| run.at - left_at);
    record.note(&format!(
        "{} requests reached the backend more than {DRAIN_MS} ms after its leave was acknowledged \
         ({first} to {last} ms), {counted} of them sent while all machines were in touch",
        late_runs.len()
    ));
    Ok(match counted {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn reserve(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "lots.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "1500"),
    ];
    request("POST /reserve/lot", &headers, b"one lot")
}
