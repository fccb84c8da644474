//! Case: one of the first three control instances is replaced while the system starts for the first
//! time.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply};
use crate::http::{encode, exchange};
use crate::operator::{Route, call, configuration};
use crate::platform::{Deployment, Mesh};
use crate::record::Record;
use crate::{BROKEN, HELD};

const STABLE_WINDOW: Duration = Duration::from_secs(4);
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// When the empty machine comes at another address, after the loss of the first one.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// How long the operator goes on.
const LIMIT: Duration = Duration::from_secs(60);
const CORES: usize = 5;

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mut mesh = Mesh::lay_out(&Deployment::default(), CORES + 1, &["booking", "booking"]);
    let started = Instant::now();
    mesh.cores[0].start();
    record.line(&format!(
        "{} starts, with bootstrap = true",
        mesh.cores[0].name
    ));
    thread::sleep(Duration::from_millis(100));
    if trouble {
        mesh.cores[0].kill();
        record.line(&format!(
            "SIGKILL of {}; its machine is gone for good",
            mesh.cores[0].name
        ));
    }
    thread::sleep(Duration::from_millis(100));
    for machine in mesh.cores[1..CORES].iter_mut().chain(&mut mesh.nodes) {
        machine.start();
    }
    record.line("the other 4 control instances and 2 nodes start, with bootstrap = true");
    let backends: Vec<Arc<Backend>> = mesh
        .nodes
        .iter()
        .enumerate()
        .map(|(index, node)| {
            let answer = Arc::new(|_: &crate::backend::Run| {
                Reply(b"booked".to_vec(), Duration::from_millis(20))
            });
            Backend::start(
                node.app(),
                node.admin(),
                "booking",
                &format!("i-{index}"),
                9,
                answer,
            )
        })
        .collect();
    let route = Route {
        name: "r-book",
        host: "hulo84.example",
        prefix: "/book/",
        kind: "non_idempotent",
        service: "booking",
        extra: "",
    };
    let text = configuration(3, 0, &[route], &["booking"], "");
    // The operator picks among the machines that serve control.
    let mut operators: Vec<_> = mesh.cores[..CORES]
        .iter()
        .map(|core| core.admin())
        .collect();
    let mut acknowledged = None;
    let mut answers: Vec<(String, usize)> = Vec::new();
    let mut is_replaced = !trouble;
    let mut turn = 0;
    while acknowledged.is_none() && started.elapsed() < LIMIT {
        if !is_replaced && started.elapsed() >= Duration::from_millis(100) + REPLACED_AFTER {
            let (known, added) = mesh.cores.split_at_mut(CORES);
            added[0].set_added(&[&known[1], &known[2], &known[3]]);
            added[0].start();
            operators[0] = added[0].admin();
            is_replaced = true;
            record.line(&format!(
                "{} starts in its place, at another address and with an empty disk",
                added[0].name
            ));
        }
        let address = operators[turn % operators.len()];
        turn += 1;
        let answer = call(address, "PUT", "/-/config", &text);
        let label = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            format!(
                "{} {}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            )
        });
        match answers.iter_mut().find(|(known, _)| *known == label) {
            Some((_, count)) => *count += 1,
            None => {
                record.line(&format!("PUT r3 at {address}: {label}"));
                answers.push((label, 1));
            }
        }
        if answer.is_some_and(|answer| answer.status == 200) {
            acknowledged = Some(started.elapsed());
        }
        thread::sleep(Duration::from_millis(200));
    }
    for (label, count) in &answers {
        record.line(&format!("{count} x PUT r3: {label}"));
    }
    thread::sleep(Duration::from_secs(2));
    let fields = [
        "Host: hulo84.example".to_owned(),
        "Request-Id: q1".to_owned(),
        "Deadline-Ms: 4000".to_owned(),
    ];
    let request = encode("POST", "/book/visit", &fields, b"{}");
    let status = exchange(mesh.nodes[0].outbound(), &request, Duration::from_secs(5))
        .map_or(0, |answer| answer.status);
    let runs: usize = backends.iter().map(|backend| backend.count()).sum();
    record.line(&format!(
        "a request at the end: {status}; {runs} ran in all"
    ));
    for core in &mut mesh.cores {
        let state = match (core.pid(), core.has_ended()) {
            (0, _) => "does not run",
            (_, true) => "ended",
            (_, false) => "runs",
        };
        record.line(&format!("{}: {state}", core.name));
    }
    // The last disruption is the start of the machine that replaces the lost one.
    let calm_from = Duration::from_millis(100) + REPLACED_AFTER + STABLE_WINDOW;
    let due = if trouble {
        calm_from + ACK_TIMEOUT
    } else {
        STABLE_WINDOW + ACK_TIMEOUT
    };
    match acknowledged {
        Some(after) => {
            record.line(&format!(
                "r3 was acknowledged {:.3} s after the start",
                after.as_secs_f64()
            ));
            if after > due { BROKEN } else { HELD }
        }
        None => {
            let calm = started.elapsed().saturating_sub(calm_from);
            record.line(&format!(
                "r3 was never acknowledged, although the core was stable for {:.0} s and ack_timeout is 4 s",
                calm.as_secs_f64()
            ));
            BROKEN
        }
    }
}
