//! A backend sends the answer to one request a second time, late, without a length, where the answer
//! to the next request is due.

use std::thread::sleep;
use std::time::Duration;

use crate::backend::{Backend, Fault, answer_body, signature};
use crate::http::{KeptClient, Message, request};
use crate::record::Record;
use crate::site::{NodePlan, Site};
use crate::{CaseError, Verdict};

const SERVICE: &str = "comptoir";
const NODES: usize = 3;
/// One of three backends is faulty, and one in 40 of its answers is spoiled, for less than 5 s.
const ONE_IN: usize = 40;
const REQUESTS: usize = 200;
const PAUSE: Duration = Duration::from_millis(20);
const CONFIGURATION: &str = r#"{"version":"r1","base_version":"r0","routes":{"r-reserve":{"hostname":"lots.example","path_prefix":"/reserve/","kind":"non_idempotent","timeout":"1500ms","target_latency":"500ms","priority":0,"service":"comptoir","max_attempts":2},"r-price":{"hostname":"lots.example","path_prefix":"/price/","kind":"safe","timeout":"1200ms","target_latency":"300ms","priority":1,"service":"comptoir","max_attempts":2}},"services":{"comptoir":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let site = Site::start(
        record,
        &[NodePlan {
            service: SERVICE,
            memory_mb: 110,
        }; NODES],
    )?;
    let work = Duration::from_millis(3);
    let mut backends = Vec::new();
    for node in 0..NODES {
        let backend = Backend::start(record, site.app(node), SERVICE, work, ONE_IN)?;
        backend.report_regularly(site.admin(node));
        backends.push(backend);
    }
    site.configure(CONFIGURATION)?;
    for node in 0..NODES {
        site.wait_ready(node)?;
    }
    let mut client = KeptClient::new(site.outbound(0));
    site.wait("no request was served", || {
        let answer = client.send(&price("warm-up"), Duration::from_secs(2));
        answer.is_ok_and(|answer| answer.status() == 200)
    })?;
    sleep(Duration::from_secs(4));
    if has_trouble {
        backends[0].set_fault(Fault::ExtraLate);
        record.note("from here on, backend 0 sends some answers a second time");
    }
    let mut foreign = 0;
    let mut failed = 0;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + number as u64);
        let sent = match number % 2 {
            0 => price(&id),
            _ => reserve(&id),
        };
        record.log(&format!("client: sends {id}"));
        match client.send(&sent, Duration::from_secs(3)) {
            Ok(answer) if answer.status() == 200 => {
                if let Some(other) = belongs_to_other(&answer, &id) {
                    foreign += 1;
                    record.note(&format!(
                        "client: {id} was answered 200 with the answer of {other}"
                    ));
                }
            }
            Ok(answer) => {
                failed += 1;
                record.log(&format!("client: {id} answered {}", answer.status()));
            }
            Err(error) => {
                failed += 1;
                record.log(&format!("client: {id} got no answer: {error}"));
            }
        }
        sleep(PAUSE);
    }
    let spoiled = backends[0]
        .spoiled
        .lock()
        .map(|list| list.len())
        .unwrap_or(0);
    record.note(&format!(
        "{REQUESTS} requests, {spoiled} spoiled answers, {failed} without success, {foreign} answered \
         with the answer of another request"
    ));
    Ok(match foreign {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn price(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "lots.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "1200"),
    ];
    request("GET /price/lot", &headers, b"")
}

fn reserve(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "lots.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "2000"),
    ];
    request("POST /reserve/lot", &headers, b"one lot")
}

/// Returns what a successful answer names if it is not that of this request.
fn belongs_to_other(answer: &Message, id: &str) -> Option<String> {
    let is_own = answer.body == answer_body(id)
        && answer.header("Response-Signature") == Some(&signature(id));
    let named = answer.header("Request-Id").unwrap_or("none").to_owned();
    (!is_own).then_some(named)
}
