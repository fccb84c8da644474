//! Nodes that are frozen with SIGSTOP and resumed.

use std::thread;
use std::time::Duration;

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::wait_until;

use crate::booking::{BookingLoop, check_bookings};
use crate::support::{WAIT_TIMEOUT, builder, metric, start, wait_serving};

/// Longer than the 2 s after which a resumed node no longer trusts deadlines, and shorter than the
/// 3 s after which other nodes close a silent link, so that the node finds calls on open links.
const SHORT_FREEZE: Duration = Duration::from_millis(2_400);
/// Longer than the 3 s after which other nodes close a silent link.
const LONG_FREEZE: Duration = Duration::from_millis(4_500);

/// Guards against a resumed node that runs calls which waited in its sockets, although their
/// callers have long been answered. This must hold for all links, not only for the first one that
/// the node reads. Verifies P5: an answer stays true.
#[test]
fn a_resumed_node_runs_no_call_that_waited_during_the_freeze() {
    // With slow upstreams, no entry notices the frozen node before many calls wait for it.
    let builder = builder().upstream_capacity(16, Duration::from_millis(100));
    let mut mesh = start(builder);
    let name = mesh.nodes[3].flags.name.clone();
    mesh.nodes[3].process.pause().unwrap();
    let paused = std::time::Instant::now();
    let mut calls = Vec::new();
    for number in 0..190 {
        let caller = mesh.nodes[number % 3].caller();
        let body = format!("order-{number}");
        calls.push(thread::spawn(move || {
            let request = HttpRequest::post("/booking", body.as_str());
            let answer = caller
                .send(&request.timeout(Duration::from_millis(800)))
                .unwrap();
            (body, answer)
        }));
    }
    let results: Vec<_> = calls
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let unknown: Vec<_> = results
        .iter()
        .filter(|(_, answer)| answer.status == 504)
        .collect();
    println!("{} calls waited for {name}", unknown.len());
    assert!(unknown.len() > 3, "no call waited for {name}");
    // The test depends on the duration of the freeze, so it waits for a fixed time.
    thread::sleep(SHORT_FREEZE.saturating_sub(paused.elapsed()));
    // A slow upstream of another node may have run a call that was then answered `unknown`.
    let runs = |body: &str| mesh.ledger().runs_of_body(body.as_bytes()).started;
    let runs_before: Vec<u64> = results.iter().map(|(body, _)| runs(body)).collect();
    mesh.nodes[3].process.resume().unwrap();
    wait_until("node detects the freeze", WAIT_TIMEOUT, || {
        metric(&mesh, 3, "kumquatlock_freezes_total") > 0
    })
    .unwrap();
    wait_serving(&mesh, 3, "continued");
    assert!(mesh.nodes[3].upstream.wait_idle(WAIT_TIMEOUT));
    for ((body, answer), runs_before) in results.iter().zip(runs_before) {
        let runs = mesh.ledger().runs_of_body(body.as_bytes()).started;
        let answer_text = format!("{body}: {} {}", answer.status, answer.text());
        assert_eq!(
            runs, runs_before,
            "a call ran after the freeze: {answer_text}"
        );
        let allowed = match answer.status {
            200 => 1..=1,
            504 => 0..=1,
            _ => 0..=0,
        };
        assert!(allowed.contains(&runs), "{runs} runs: {answer_text}");
    }
}

/// Guards against second runs and wrong answers when nodes are frozen for longer than their links
/// stay open. Verifies P4, P5 and P6.
#[test]
fn bookings_survive_frozen_and_resumed_nodes() {
    let mut mesh = start(builder());
    let entries: Vec<_> = mesh.nodes.iter().map(|node| node.flags.http).collect();
    let load = BookingLoop::start(&entries);
    load.wait_more_bookings(100);
    for freeze in [LONG_FREEZE, SHORT_FREEZE] {
        mesh.nodes[1].process.pause().unwrap();
        thread::sleep(freeze);
        mesh.nodes[1].process.resume().unwrap();
        let recovery_time = wait_serving(&mesh, 1, &format!("{freeze:?}"));
        println!("node serves {recovery_time:?} after a freeze of {freeze:?}");
        load.wait_more_bookings(100);
    }
    let bookings = load.finish();
    let counts = check_bookings(&mesh, &bookings, &entries[1..2]);
    println!("{} bookings: {counts:?}", bookings.len());
}

/// Guards against the loss of large answers that a node finds ready when it wakes, after its links
/// have been given up.
#[test]
fn large_answers_outlive_a_freeze_of_their_node() {
    let mut mesh = start(builder());
    // Slow enough that the calls are at work when the node is frozen.
    for node in &mesh.nodes {
        node.upstream.set_service_time(Duration::from_millis(300));
    }
    let mut calls = Vec::new();
    for number in 0..48 {
        // More calls than the upstream of their entry node has slots, so most go to other nodes.
        let caller = mesh.nodes[0].caller();
        // The stand-in repeats the body of the request.
        let body = format!("order-{number}-{}", "x".repeat(70_000));
        calls.push(thread::spawn(move || {
            let request = HttpRequest::post("/booking", body.as_str());
            let answer = caller.send(&request.timeout(WAIT_TIMEOUT)).unwrap();
            (body, answer)
        }));
    }
    wait_until("calls run at the node", WAIT_TIMEOUT, || {
        mesh.nodes[3].upstream.in_flight() > 3
    })
    .unwrap();
    mesh.nodes[3].process.pause().unwrap();
    // The test depends on the duration of the freeze, so it waits for a fixed time.
    thread::sleep(LONG_FREEZE);
    mesh.nodes[3].process.resume().unwrap();
    for call in calls {
        let (body, answer) = call.join().unwrap();
        let start = &body[..10];
        assert_eq!(answer.status, 200, "{start}: {}", answer.text());
        assert_eq!(answer.json()["body"], body.as_str(), "{start}");
        let runs = mesh.ledger().runs_of_body(body.as_bytes()).started;
        assert_eq!(runs, 1, "{start}");
    }
}
