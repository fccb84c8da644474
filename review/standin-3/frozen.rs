//! Case: a node freezes for a second while its backend answers requests that must not run twice.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply, Run, signature};
use crate::http::{encode, exchange};
use crate::operator::{Route, configuration, put};
use crate::platform::{CONT, Deployment, Mesh, STOP};
use crate::record::Record;
use crate::{BROKEN, COULD_NOT_RUN, HELD};

const HOST: &str = "hulo84.example";
const CLIENTS: usize = 8;
const ANSWER_BYTES: usize = 70_000;
const WORK: Duration = Duration::from_millis(300);
const FREEZES: usize = 3;
const FROZEN: Duration = Duration::from_millis(1_200);
const BETWEEN: Duration = Duration::from_secs(8);

struct Answer {
    at: Instant,
    id: String,
    status: u16,
    is_signed: bool,
    body: String,
}

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mesh = Mesh::start(&Deployment::default(), 3, &["orders", "booking"]);
    let (entry, frozen) = (&mesh.nodes[0], &mesh.nodes[1]);
    let sound: crate::backend::Behaviour =
        Arc::new(|_: &Run| Reply(vec![b'v'; ANSWER_BYTES], WORK));
    let orders = Backend::start(
        entry.app(),
        entry.admin(),
        "orders",
        "i-0",
        9,
        sound.clone(),
    );
    let booking = Backend::start(frozen.app(), frozen.admin(), "booking", "i-1", 9, sound);
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
    while !send("warm").is_ok_and(|answer| answer.status == 200) {
        if Instant::now() > until {
            return COULD_NOT_RUN;
        }
        thread::sleep(Duration::from_millis(300));
    }
    // Both nodes are in touch from here on, until the second one freezes.
    thread::sleep(Duration::from_secs(5));
    let is_over = AtomicBool::new(false);
    let sent = AtomicUsize::new(0);
    let answers: Mutex<Vec<Answer>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("b{:05}", sent.fetch_add(1, Ordering::Relaxed));
                    let answer = send(&id);
                    let answer = answer.unwrap_or_default();
                    let is_signed = answer.head.get("response-signature")
                        == Some(&signature(&id, &answer.body));
                    let body = match answer.status {
                        200 => format!("{} bytes", answer.body.len()),
                        _ => String::from_utf8_lossy(&answer.body).into_owned(),
                    };
                    let (at, status) = (Instant::now(), answer.status);
                    answers.lock().unwrap().push(Answer {
                        at,
                        id,
                        status,
                        is_signed,
                        body,
                    });
                }
            });
        }
        for _ in 0..FREEZES {
            thread::sleep(BETWEEN);
            if trouble {
                frozen.signal(STOP);
                record.line(&format!("{} stands still", frozen.name));
                thread::sleep(FROZEN);
                frozen.signal(CONT);
                record.line(&format!("{} wakes again", frozen.name));
            }
        }
        thread::sleep(Duration::from_secs(4));
        is_over.store(true, Ordering::Relaxed);
    });
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in booking
        .runs
        .lock()
        .unwrap()
        .iter()
        .chain(orders.runs.lock().unwrap().iter())
    {
        *runs.entry(run.id.clone()).or_default() += 1;
    }
    let answers = answers.into_inner().unwrap();
    let mut counts: HashMap<u16, usize> = HashMap::new();
    let mut denied = 0;
    for answer in &answers {
        *counts.entry(answer.status).or_default() += 1;
        if answer.status == 200 && !answer.is_signed {
            record.line_at(
                answer.at,
                &format!("{}: 200 without a proper signature", answer.id),
            );
        }
        let is_own_refusal =
            (300..500).contains(&answer.status) && ![408, 421, 429].contains(&answer.status);
        if is_own_refusal {
            denied += 1;
        }
        if answer.status != 200 {
            let ran = runs.get(&answer.id).copied().unwrap_or(0);
            record.line_at(
                answer.at,
                &format!(
                    "{}: {} {}, ran {ran} times",
                    answer.id, answer.status, answer.body
                ),
            );
        }
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    record.line(&format!("answers by status: {counts:?}"));
    let allowed = 5 + answers.len() / 500;
    record.line(&format!("{denied} of {} proper requests were ended with a 3xx or 4xx of the node's own; allowed are {allowed}", answers.len()));
    if denied > allowed { BROKEN } else { HELD }
}
