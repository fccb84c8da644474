//! Nodes that are stopped and continued.

use std::thread;
use std::time::Duration;

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::wait_until;

use crate::booking::{BookingLoop, check};
use crate::support::{LONG, builder, metric, start, wait_serving};

/// Longer than the 2 s after which a node does not trust deadlines, shorter than the 3 s after
/// which others close a silent link, so that the node finds the calls on open links.
const SHORT_FREEZE: Duration = Duration::from_millis(2_400);
/// Longer than the 3 s after which others close a silent link.
const LONG_FREEZE: Duration = Duration::from_millis(4_500);

/// Guards against a node that, once continued, runs calls that waited in its sockets although
/// their callers have long been answered. All links must be covered, not only the first one that
/// is read. Shows P5: an answer does not become untrue later.
#[test]
fn a_continued_node_runs_nothing_that_waited_for_it() {
    // With slow upstreams no entry notices the stopped node before many calls wait for it.
    let builder = builder().upstream_capacity(16, Duration::from_millis(100));
    let mut mesh = start(builder);
    let name = mesh.nodes[3].flags.name.clone();
    mesh.nodes[3].process.pause().unwrap();
    let paused = std::time::Instant::now();
    let mut sending = Vec::new();
    for number in 0..190 {
        let caller = mesh.nodes[number % 3].caller();
        let body = format!("order-{number}");
        sending.push(thread::spawn(move || {
            let plan = HttpRequest::post("/booking", body.as_str());
            let answer = caller
                .send(&plan.timeout(Duration::from_millis(800)))
                .unwrap();
            (body, answer)
        }));
    }
    let results: Vec<_> = sending
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let unknown: Vec<_> = results
        .iter()
        .filter(|(_, answer)| answer.status == 504)
        .collect();
    println!("{} calls waited for {name}", unknown.len());
    assert!(unknown.len() > 3, "no call waited for {name}");
    // The length of the freeze is what is tested, so it is a fixed time.
    thread::sleep(SHORT_FREEZE.saturating_sub(paused.elapsed()));
    // A slow upstream of another node may have run a call that was then answered unknown.
    let runs = |body: &str| mesh.ledger().runs_of_body(body.as_bytes()).started;
    let before: Vec<u64> = results.iter().map(|(body, _)| runs(body)).collect();
    mesh.nodes[3].process.resume().unwrap();
    wait_until("freeze is noticed", LONG, || {
        metric(&mesh, 3, "kumquatlock_freezes_total") > 0
    })
    .unwrap();
    wait_serving(&mesh, 3, "continued");
    assert!(mesh.nodes[3].upstream.wait_idle(LONG));
    for ((body, answer), before) in results.iter().zip(before) {
        let runs = mesh.ledger().runs_of_body(body.as_bytes()).started;
        let seen = format!("{body}: {} {}", answer.status, answer.text());
        assert_eq!(runs, before, "after the freeze: {seen}");
        let allowed = match answer.status {
            200 => 1..=1,
            504 => 0..=1,
            _ => 0..=0,
        };
        assert!(allowed.contains(&runs), "{runs} runs: {seen}");
    }
}

/// Guards against second runs and false answers while nodes stop for longer than their links
/// last. Shows P4, P5 and P6.
#[test]
fn bookings_survive_stopped_and_continued_nodes() {
    let mut mesh = start(builder());
    let entries: Vec<_> = mesh.nodes.iter().map(|node| node.flags.http).collect();
    let load = BookingLoop::start(&entries);
    load.wait_more(100);
    for freeze in [LONG_FREEZE, SHORT_FREEZE] {
        mesh.nodes[1].process.pause().unwrap();
        thread::sleep(freeze);
        mesh.nodes[1].process.resume().unwrap();
        let took = wait_serving(&mesh, 1, &format!("{freeze:?}"));
        println!("node serves {took:?} after a stop of {freeze:?}");
        load.wait_more(100);
    }
    let bookings = load.finish();
    let counts = check(&mesh, &bookings, &entries[1..2]);
    println!("{} bookings: {counts:?}", bookings.len());
}
