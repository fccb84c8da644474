//! A backend is replaced: the new one starts, the old one drains while requests wait for a slot of
//! it.

use std::thread;
use std::time::Duration;

use crate::backend::{Backend, Options, Runs};
use crate::platform::{Deployment, stop_not_run};
use crate::record::Record;
use crate::requests::{Seen, configuration, post};

const SHOP: u8 = 21;
const OLD: u8 = 22;
const NEW: u8 = 23;
/// Time that a booking takes; at most 4.9 s on the site.
const WORK: Duration = Duration::from_millis(3_400);
const DEADLINE_MS: u64 = 10_000;
const REQUESTS: usize = 8;
/// `drain` of the settings, in seconds.
const DRAIN: f64 = 2.5;
/// How much longer than `drain` the old backend serves after the acknowledgement.
const LONGER: f64 = 1.0;

pub fn run(record: &Record, has_trouble: bool) -> Result<(), String> {
    let deployment = Deployment::new(record.clone(), 3);
    let controls = deployment.start_controls();
    deployment.configure(&configuration(1, 0, "10s"));
    let services = [(SHOP, "shop"), (OLD, "booking")];
    let mut nodes = Vec::new();
    for (host, service) in services {
        nodes.push(deployment.start(host, Some(service), true));
        deployment.await_ready(host);
    }
    let runs = Runs::default();
    let start = |host: u8, service, id: &str| {
        let options = Options {
            service,
            id: id.to_owned(),
            address: deployment.socket(host, deployment.ports.app),
            admin: deployment.socket(host, deployment.ports.admin),
            slots: 4,
            queue: 16,
            work: WORK,
            rejected_twice: None,
        };
        Backend::start(options, record, &runs)
    };
    let shop = start(SHOP, "shop", "i-shop");
    let old = start(OLD, "booking", "i-old");
    if ![&shop, &old].into_iter().all(Backend::await_acknowledged) {
        stop_not_run("a backend is not acknowledged");
    }
    // The configuration and the backends become known everywhere; all is calm for stable_window.
    thread::sleep(Duration::from_secs(5));
    let outbound = deployment.socket(SHOP, deployment.ports.outbound);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| post(record, outbound, format!("visit-{number}"), DEADLINE_MS))
        .collect();
    let mut acknowledged = f64::MAX;
    if has_trouble {
        // The new backend starts first, then the old one drains.
        nodes.push(deployment.start(NEW, Some("booking"), true));
        deployment.await_ready(NEW);
        if !start(NEW, "booking", "i-new").await_acknowledged() || !old.drain() {
            stop_not_run("a heartbeat is not acknowledged");
        }
        acknowledged = record.now();
        thread::sleep(Duration::from_secs_f64(DRAIN + LONGER));
        old.leave();
    }
    let seen: Vec<Seen> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let list = runs.list();
    drop((nodes, controls));
    deployment.remove_folder();
    let answered = seen.iter().filter(|seen| seen.status == Some(200)).count();
    record.line(format!(
        "{answered} of {REQUESTS} requests were answered 200"
    ));
    if !has_trouble {
        return match answered == REQUESTS {
            true => Ok(()),
            false => Err("not all requests were served without the disruption".to_owned()),
        };
    }
    let late = list
        .iter()
        .filter(|run| run.backend == "i-old" && run.reached > acknowledged + DRAIN);
    let mut count = 0;
    for run in late {
        count += 1;
        let end = seen.iter().find(|seen| seen.request == run.request);
        let end = end.and_then(|seen| seen.status);
        record.line(format!(
            "DRAIN: {} reached i-old {:.3} s after its draining was acknowledged; its client got {}",
            run.request,
            run.reached - acknowledged,
            end.map_or("no answer".to_owned(), |status| status.to_string())
        ));
    }
    match count {
        0 => Ok(()),
        count => Err(format!("DRAIN, {count} requests")),
    }
}
