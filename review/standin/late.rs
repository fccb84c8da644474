//! A backend leaves, its node is restarted, and a heartbeat that the backend sent before arrives.

use std::thread;
use std::time::Duration;

use crate::backend::{Backend, Options, Runs};
use crate::platform::{Deployment, SIGKILL, stop_not_run};
use crate::record::Record;
use crate::requests::{Seen, configuration, post};

const SHOP: u8 = 21;
const OLD: u8 = 22;
const OTHER: u8 = 23;
const WORK: Duration = Duration::from_millis(430);
const DEADLINE_MS: u64 = 5_000;
const REQUESTS: usize = 40;
/// `drain` of the settings, in seconds.
const DRAIN: f64 = 2.5;
/// Times after the acknowledgement that the backend is gone.
const KILLED_AFTER: f64 = 0.2;
const BACK_AFTER: f64 = 0.7;
const HEARTBEAT_AFTER: f64 = 2.0;
const REQUESTS_AFTER: f64 = 6.0;
const EXIT_AFTER: f64 = 7.4;

pub fn run(record: &Record, has_trouble: bool) -> Result<(), String> {
    let deployment = Deployment::new(record.clone(), 3);
    let controls = deployment.start_controls();
    deployment.configure(&configuration(1, 0, "5s"));
    let mut nodes = Vec::new();
    for (host, service) in [(SHOP, "shop"), (OLD, "booking"), (OTHER, "booking")] {
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
            slots: 18,
            queue: 72,
            work: WORK,
            rejected_twice: None,
        };
        Backend::start(options, record, &runs)
    };
    let shop = start(SHOP, "shop", "i-shop");
    let old = start(OLD, "booking", "i-old");
    let other = start(OTHER, "booking", "i-other");
    if ![&shop, &old, &other]
        .into_iter()
        .all(Backend::await_acknowledged)
    {
        stop_not_run("a backend is not acknowledged");
    }
    // The configuration and the backends become known everywhere; all is calm for stable_window.
    thread::sleep(Duration::from_secs(5));
    let late = old.take_heartbeat();
    if !old.delete() {
        stop_not_run("the DELETE is not acknowledged");
    }
    let gone = record.now();
    let wait_until = |after: f64| {
        thread::sleep(Duration::from_secs_f64(
            (gone + after - record.now()).max(0.0),
        ));
    };
    if has_trouble {
        wait_until(KILLED_AFTER);
        nodes[1].signal(SIGKILL, "SIGKILL");
        nodes[1].wait();
        wait_until(BACK_AFTER);
        nodes[1] = deployment.start(OLD, Some("booking"), false);
    }
    wait_until(HEARTBEAT_AFTER);
    old.deliver(&late);
    wait_until(REQUESTS_AFTER);
    let outbound = deployment.socket(SHOP, deployment.ports.outbound);
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        clients.push(post(
            record,
            outbound,
            format!("visit-{number}"),
            DEADLINE_MS,
        ));
        thread::sleep(Duration::from_millis(40));
    }
    wait_until(EXIT_AFTER);
    old.exit();
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
    let mut count = 0;
    for run in list
        .iter()
        .filter(|run| run.backend == "i-old" && run.reached > gone + DRAIN)
    {
        count += 1;
        let end = seen.iter().find(|seen| seen.request == run.request);
        record.line(format!(
            "DRAIN: {} reached i-old {:.3} s after it was acknowledged to be gone; its client got {}",
            run.request,
            run.reached - gone,
            end.and_then(|seen| seen.status)
                .map_or("no answer".to_owned(), |status| status.to_string())
        ));
    }
    match count {
        0 => Ok(()),
        count => Err(format!("DRAIN, {count} requests")),
    }
}
