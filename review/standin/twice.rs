//! A faulty backend rejects one request, and sends that answer a second time somewhat later.

use std::thread;
use std::time::Duration;

use crate::backend::{Backend, Options, Runs};
use crate::platform::{Deployment, stop_not_run};
use crate::record::Record;
use crate::requests::{Seen, configuration_with, post};

const SHOP: u8 = 21;
const BOOKING: u8 = 22;
const WORK: Duration = Duration::from_millis(430);
const DEADLINE_MS: u64 = 5_000;
/// One answer in this many is spoiled.
const REQUESTS: usize = 50;
const SPOILED: usize = 25;

pub fn run(record: &Record, has_trouble: bool) -> Result<(), String> {
    let deployment = Deployment::new(record.clone(), 3);
    let controls = deployment.start_controls();
    // ATTEMPTS=2 shows the same fault as a broken promise: the request is answered 503 and runs.
    let attempts = std::env::var("ATTEMPTS")
        .ok()
        .and_then(|text| text.parse().ok());
    deployment.configure(&configuration_with(1, 0, "5s", attempts.unwrap_or(3), 0));
    let mut nodes = Vec::new();
    for (host, service) in [(SHOP, "shop"), (BOOKING, "booking")] {
        nodes.push(deployment.start(host, Some(service), true));
        deployment.await_ready(host);
    }
    let runs = Runs::default();
    let start = |host: u8, service, id: &str, rejected_twice| {
        let options = Options {
            service,
            id: id.to_owned(),
            address: deployment.socket(host, deployment.ports.app),
            admin: deployment.socket(host, deployment.ports.admin),
            slots: 4,
            queue: 16,
            work: WORK,
            rejected_twice,
        };
        Backend::start(options, record, &runs)
    };
    let spoiled = has_trouble.then(|| format!("visit-{SPOILED}"));
    let backends = [
        start(SHOP, "shop", "i-shop", None),
        start(BOOKING, "booking", "i-booking", spoiled),
    ];
    if !backends.iter().all(Backend::await_acknowledged) {
        stop_not_run("a backend is not acknowledged");
    }
    // The configuration and the backends become known everywhere; all is calm for stable_window.
    thread::sleep(Duration::from_secs(5));
    let outbound = deployment.socket(SHOP, deployment.ports.outbound);
    let mut seen: Vec<Seen> = Vec::new();
    for number in 0..REQUESTS {
        let client = post(record, outbound, format!("visit-{number}"), DEADLINE_MS);
        seen.extend(client.join().ok());
    }
    thread::sleep(Duration::from_secs(1));
    let list = runs.list();
    drop((nodes, controls));
    deployment.remove_folder();
    let answered = seen.iter().filter(|seen| seen.status == Some(200)).count();
    record.line(format!(
        "{answered} of {REQUESTS} requests were answered 200"
    ));
    if !has_trouble && answered < REQUESTS {
        return Err("not all requests were served without the disruption".to_owned());
    }
    let mut broken = Vec::new();
    for seen in &seen {
        let began: Vec<f64> = list
            .iter()
            .filter(|run| run.request == seen.request)
            .filter_map(|run| run.began)
            .collect();
        if began.len() > 1 {
            record.line(format!(
                "TWICE: {} began to run at {began:.3?} s; its client got {:?}",
                seen.request, seen.status
            ));
            broken.push("TWICE");
        }
        if matches!(seen.status, Some(408 | 421 | 429 | 503)) && !began.is_empty() {
            record.line(format!(
                "REFUSED: {} was answered {:?} and ran from {began:.3?} s on",
                seen.request, seen.status
            ));
            broken.push("REFUSED");
        }
    }
    match broken.is_empty() {
        true => Ok(()),
        false => Err(broken.join(", ")),
    }
}
