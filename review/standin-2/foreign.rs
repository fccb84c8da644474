//! A backend sends the answer to one request a second time, late, without a length, where the answer
//! to the next request is due.

use std::collections::BTreeMap;
use std::sync::Arc;
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
    // `ANSWER=refusal`: the answer that comes twice is a rejection.
    let is_refusal = std::env::var("ANSWER").as_deref() == Ok("refusal");
    if has_trouble {
        backends[0].set_fault(match is_refusal {
            true => Fault::LateRefusal,
            false => Fault::ExtraLate,
        });
        record.note("from here on, backend 0 sends some answers a second time");
    }
    let mut foreign = 0;
    let mut failed = 0;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + number as u64);
        let sent = match number % 2 {
            0 if !is_refusal => price(&id),
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
    let twice = count_twice(record, &backends, is_refusal);
    Ok(match foreign + twice {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Returns how many reservations have run more than once.
fn count_twice(record: &Record, backends: &[Arc<Backend>], are_all_reservations: bool) -> usize {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in backends.iter().flat_map(|backend| backend.runs()) {
        *runs.entry(run.id).or_default() += 1;
    }
    let is_reservation = |id: &str| {
        are_all_reservations || u64::from_str_radix(id, 16).is_ok_and(|id| id % 2 == 1)
    };
    runs.retain(|id, count| *count > 1 && is_reservation(id));
    for (id, count) in &runs {
        record.note(&format!("reservation {id} has run {count} times"));
    }
    record.note(&format!(
        "{} reservations have run more than once",
        runs.len()
    ));
    runs.len()
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
