//! Case: one malformed heartbeat of another writer, then a backend that drains as planned.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply, Run, unix_ms};
use crate::http::{encode, exchange};
use crate::operator::{Route, configuration, put};
use crate::platform::{Deployment, Mesh};
use crate::record::Record;
use crate::{BROKEN, COULD_NOT_RUN, HELD};

const HOST: &str = "hulo84.example";
const CLIENTS: usize = 6;
const WORK: Duration = Duration::from_millis(160);
/// The bound `drain` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);
/// How much longer the backend serves.
const LONGER: Duration = Duration::from_secs(4);

struct Sent {
    at: Instant,
    status: u16,
}

pub fn run(record: &Record, trouble: bool) -> i32 {
    let services = ["orders", "booking", "booking"];
    let mesh = Mesh::start(&Deployment::default(), 3, &services);
    let entry = &mesh.nodes[0];
    let behaviour: crate::backend::Behaviour = Arc::new(|_: &Run| Reply(b"visit".to_vec(), WORK));
    let backends: Vec<_> = mesh
        .nodes
        .iter()
        .zip(services)
        .enumerate()
        .map(|(index, (node, service))| {
            let id = format!("i-{index}");
            Backend::start(node.app(), node.admin(), service, &id, 9, behaviour.clone())
        })
        .collect();
    let (leaving, staying) = (&backends[1], &backends[2]);
    let route = Route {
        name: "r-book",
        host: HOST,
        prefix: "/book/",
        kind: "non_idempotent",
        service: "booking",
        extra: "",
    };
    let text = configuration(3, 0, &[route], &["booking", "orders"], "");
    let operators: Vec<_> = mesh.cores.iter().map(|core| core.admin()).collect();
    let status = put(&operators, &text, Duration::from_secs(20));
    record.line(&format!("PUT r3: {status}"));
    if status != 200 || !mesh.wait_ready(Duration::from_secs(20)) {
        return COULD_NOT_RUN;
    }
    let send = |id: &str| {
        let fields = [
            format!("Host: {HOST}"),
            format!("Request-Id: {id}"),
            "Deadline-Ms: 4000".to_owned(),
        ];
        let request = encode("POST", "/book/visit", &fields, b"{}");
        exchange(entry.outbound(), &request, Duration::from_secs(5))
    };
    let until = Instant::now() + Duration::from_secs(15);
    while leaving.count() == 0 {
        let _ = send("warm");
        if Instant::now() > until {
            return COULD_NOT_RUN;
        }
        thread::sleep(Duration::from_millis(100));
    }
    // All machines are in touch from here on to the end.
    thread::sleep(Duration::from_secs(5));

    let is_over = AtomicBool::new(false);
    let count = AtomicUsize::new(0);
    let sent: Mutex<HashMap<String, Sent>> = Mutex::default();
    let mut acknowledged = None;
    let mut watched_from = Instant::now();
    // Two fields are missing; the sequence is the other writer's own, from its clock.
    let malformed = |backend: &Backend| {
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"booking\",\"slots\":9}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":{},\"warmup_left\":\"0ms\"}}}}",
            backend.address,
            backend.born,
            unix_ms() / 1_000
        );
        let status = backend.put_instance(&body);
        record.line(&format!(
            "another writer: PUT /-/instances/{} {body}: {status}",
            backend.id
        ));
    };
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("b{:05}", count.fetch_add(1, Ordering::Relaxed));
                    let at = Instant::now();
                    let status = send(&id).map_or(0, |answer| answer.status);
                    sent.lock().unwrap().insert(id, Sent { at, status });
                    if status != 200 {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        if trouble {
            malformed(leaving);
        }
        thread::sleep(Duration::from_secs(1));
        acknowledged = leaving.drain(record, Duration::from_secs(10));
        if acknowledged.is_some() {
            thread::sleep(DRAIN + LONGER);
            leaving.leave(record);
            thread::sleep(Duration::from_secs(2));
        }
        // The other backend stays. One heartbeat of the other writer beside its own.
        if trouble {
            malformed(staying);
        }
        thread::sleep(Duration::from_secs(13));
        watched_from = Instant::now();
        thread::sleep(Duration::from_secs(10));
        is_over.store(true, Ordering::Relaxed);
    });
    let Some(acknowledged) = acknowledged else {
        record.line("draining was not acknowledged");
        return COULD_NOT_RUN;
    };
    let sent = sent.into_inner().unwrap();
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for answer in sent.values() {
        *counts.entry(answer.status).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    record.line(&format!("answers by status: {counts:?}"));
    let mut late = 0;
    let runs = leaving.runs.lock().unwrap();
    for run in runs.iter().filter(|run| run.at > acknowledged + DRAIN) {
        late += 1;
        if late <= 10 {
            let after = (run.at - acknowledged).as_secs_f64();
            let sent_after = sent.get(&run.id).map_or(0.0, |sent| {
                sent.at
                    .saturating_duration_since(acknowledged)
                    .as_secs_f64()
            });
            record.line_at(
                run.at,
                &format!(
                    "{} reaches {} {after:.3} s after the acknowledgement (sent {sent_after:.3} s after it)",
                    run.id, run.instance
                ),
            );
        }
    }
    record.line(&format!(
        "{late} bookings reached {} later than 2.5 s after `draining` was acknowledged",
        leaving.id
    ));
    let watched: Vec<_> = sent
        .values()
        .filter(|sent| sent.at >= watched_from)
        .collect();
    let served = watched.iter().filter(|sent| sent.status == 200).count();
    let (acknowledged, beats) = staying.beats();
    record.line(&format!(
        "13 to 23 s later {served} of {} bookings were served by {}, which runs and is ready; \
         {acknowledged} of its {beats} heartbeats were acknowledged",
        watched.len(),
        staying.id
    ));
    if late > 0 { BROKEN } else { HELD }
}
