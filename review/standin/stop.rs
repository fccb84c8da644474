//! SIGTERM of the node that has taken requests which still wait for a slot of their backend.

use std::thread;
use std::time::Duration;

use crate::backend::{Backend, Options, Run, Runs};
use crate::platform::{Deployment, SIGTERM, stop_not_run};
use crate::record::Record;
use crate::requests::{Seen, configuration, post};

const SHOP: u8 = 21;
const BOOKING: u8 = 22;
/// Time that a booking takes; at most 4.9 s on the site.
const WORK: Duration = Duration::from_millis(3_000);
const DEADLINE_MS: u64 = 10_000;
const REQUESTS: usize = 10;
/// `grace` and `loss_slack` of the settings, in seconds.
const GRACE: f64 = 6.0;
const LOSS_SLACK: f64 = 0.2;

pub fn run(record: &Record, has_trouble: bool) -> Result<(), String> {
    let deployment = Deployment::new(record.clone(), 3);
    let controls = deployment.start_controls();
    deployment.configure(&configuration(1, 0, "10s"));
    let mut shop = deployment.start(SHOP, Some("shop"), true);
    let booking = deployment.start(BOOKING, Some("booking"), true);
    let runs = Runs::default();
    let start = |host: u8, service, id: &str, slots| {
        let options = Options {
            service,
            id: id.to_owned(),
            address: deployment.socket(host, deployment.ports.app),
            admin: deployment.socket(host, deployment.ports.admin),
            slots,
            queue: 4 * slots,
            work: WORK,
            rejected_twice: None,
        };
        Backend::start(options, record, &runs)
    };
    deployment.await_ready(SHOP);
    deployment.await_ready(BOOKING);
    let backends = [
        start(SHOP, "shop", "i-shop", 4),
        start(BOOKING, "booking", "i-booking", 4),
    ];
    if !backends.iter().all(Backend::await_acknowledged) {
        stop_not_run("a backend is not acknowledged");
    }
    // The configuration and the backends become known everywhere; all is calm for stable_window.
    thread::sleep(Duration::from_secs(5));
    let outbound = deployment.socket(SHOP, deployment.ports.outbound);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| post(record, outbound, format!("visit-{number}"), DEADLINE_MS))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let stopped = record.now();
    if has_trouble {
        shop.signal(SIGTERM, "SIGTERM");
        shop.wait();
        let took = record.now() - stopped;
        record.line(format!(
            "the node has ended {took:.3} s after the SIGTERM; grace is {GRACE} s"
        ));
    }
    let seen: Vec<Seen> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    // What still waits at the other node runs to its end.
    thread::sleep(Duration::from_secs(if has_trouble { 5 } else { 1 }));
    let list = runs.list();
    drop((shop, booking, controls));
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
    let lost: Vec<&Seen> = seen
        .iter()
        .filter(|seen| is_lost(seen, stopped, &list))
        .collect();
    for seen in &lost {
        let ran = list.iter().find(|run| run.request == seen.request);
        let later = ran
            .and_then(|run| run.began)
            .filter(|began| *began > seen.ended);
        let later = later.map_or("it did not run later".to_owned(), |began| {
            format!("it ran all the same, from {began:.3} s on, for nobody")
        });
        record.line(format!(
            "LOST: {} was sent at {:.3} s, {:.3} s before the SIGTERM; its connection was closed \
             without an answer at {:.3} s, {:.3} s after the SIGTERM; {later}",
            seen.request,
            seen.sent,
            stopped - seen.sent,
            seen.ended,
            seen.ended - stopped
        ));
    }
    match lost.len() {
        0 => Ok(()),
        count => Err(format!("LOST, {count} requests")),
    }
}

/// Whether a request is lost by the rule, with its excuses.
fn is_lost(seen: &Seen, stopped: f64, runs: &[Run]) -> bool {
    let deadline = seen.sent + DEADLINE_MS as f64 / 1_000.0;
    let is_late = seen.ended >= deadline || seen.ended <= seen.sent + LOSS_SLACK;
    // The backend was still at work on it in the last sixth of `grace`.
    let last_sixth = stopped + GRACE * 5.0 / 6.0;
    let was_at_work = runs.iter().any(|run| {
        let began = run.began.unwrap_or(f64::MAX);
        run.request == seen.request
            && began <= seen.ended
            && run.ended.is_none_or(|ended| ended >= last_sixth)
    });
    let is_excused = was_at_work && seen.sent <= stopped + 3.0;
    let is_planned = seen.ended <= stopped + GRACE + 1.0;
    seen.was_closed && is_planned && !is_late && !is_excused
}
