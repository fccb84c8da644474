//! Links between nodes that go silent or break.

use std::thread;
use std::time::{Duration, Instant};

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::relay::TcpRelay;

use crate::booking::{BookingLoop, check_bookings};
use crate::support::{WAIT_TIMEOUT, add_relays, builder, start_plan, wait_serving};

/// Guards against calls that hang on links that went silent although new links would work, and
/// against bookings that run twice when the relay delivers the held bytes later. Verifies P4, P5
/// and P6.
#[test]
fn bookings_survive_links_that_go_silent() {
    let mut plan = builder().build().unwrap();
    let relays = add_relays(&mut plan);
    let mesh = start_plan(plan);
    let entries: Vec<_> = mesh.nodes.iter().map(|node| node.flags.http).collect();
    let load = BookingLoop::start(&entries);
    load.wait_more_bookings(100);
    relays.iter().for_each(TcpRelay::stall_open);
    for node in 0..mesh.nodes.len() {
        let serving_after = wait_serving(&mesh, node, "silent");
        println!("node {node} serves {serving_after:?} after its links went silent");
    }
    load.wait_more_bookings(100);
    relays.iter().for_each(TcpRelay::resume);
    load.wait_more_bookings(100);
    relays.iter().for_each(TcpRelay::close_open);
    load.wait_more_bookings(100);
    let bookings = load.finish();
    let counts = check_bookings(&mesh, &bookings, &[]);
    println!("{} bookings: {counts:?}", bookings.len());
    assert!(
        counts["answered 200"] * 10 > bookings.len() * 9,
        "{counts:?}"
    );
}

/// Guards against a caller that waits beyond its deadline for a node behind a silent path, and
/// against a held request that runs when the path works again, although its caller already got a
/// definite outcome. Verifies P5.
#[test]
fn calls_over_a_silent_path_are_answered_in_time() {
    let mut plan = builder().build().unwrap();
    let relays = add_relays(&mut plan);
    let mesh = start_plan(plan);
    relays[3].stall();
    let calls: Vec<_> = (0..24)
        .map(|number| {
            let caller = mesh.nodes[number % 3].caller();
            let body = format!("held-{number}");
            thread::spawn(move || {
                let plan = HttpRequest::post("/booking", body.as_str());
                let started = Instant::now();
                let answer = caller.send(&plan.timeout(Duration::from_secs(4))).unwrap();
                assert!(started.elapsed() < Duration::from_secs(6));
                (body, answer)
            })
        })
        .collect();
    let results: Vec<_> = calls
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    relays[3].resume();
    wait_serving(&mesh, 0, "resumed");
    assert!(mesh.nodes[3].upstream.wait_idle(WAIT_TIMEOUT));
    for (body, answer) in &results {
        let runs = mesh.ledger().runs_of_body(body.as_bytes()).started;
        match answer.status {
            200 => assert_eq!(runs, 1, "{body}"),
            503 => assert_eq!(runs, 0, "P5: {body}: {}", answer.text()),
            504 => assert!(runs <= 1, "P6: {body}"),
            status => panic!("{status}: {}", answer.text()),
        }
    }
    assert!(results.iter().any(|(_, answer)| answer.status == 200));
}
