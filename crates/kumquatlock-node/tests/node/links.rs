//! Links between nodes that go silent or break.

use std::thread;
use std::time::{Duration, Instant};

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::relay::TcpRelay;

use crate::booking::{BookingLoop, check};
use crate::support::{LONG, add_relays, builder, start_plan, wait_serving};

/// Guards against calls that hang on links that went silent while new ones work, and against
/// bookings that run twice when the held bytes arrive after all. Shows P4, P5 and P6.
#[test]
fn bookings_survive_links_that_go_silent() {
    let mut plan = builder().build().unwrap();
    let relays = add_relays(&mut plan);
    let mesh = start_plan(plan);
    let entries: Vec<_> = mesh.nodes.iter().map(|node| node.flags.http).collect();
    let load = BookingLoop::start(&entries);
    load.wait_more(100);
    relays.iter().for_each(TcpRelay::stall_open);
    for node in 0..mesh.nodes.len() {
        let took = wait_serving(&mesh, node, "silent");
        println!("node {node} serves {took:?} after its links went silent");
    }
    load.wait_more(100);
    relays.iter().for_each(TcpRelay::resume);
    load.wait_more(100);
    relays.iter().for_each(TcpRelay::close_open);
    load.wait_more(100);
    let bookings = load.finish();
    let counts = check(&mesh, &bookings, &[]);
    println!("{} bookings: {counts:?}", bookings.len());
    assert!(
        counts["answered 200"] * 10 > bookings.len() * 9,
        "{counts:?}"
    );
}

/// Guards against a caller that waits beyond its deadline for a node behind a silent path, and
/// against a held request that runs when the path works again although its caller was told that
/// the outcome is settled. Shows P5.
#[test]
fn a_path_that_stays_silent_is_answered_in_time() {
    let mut plan = builder().build().unwrap();
    let relays = add_relays(&mut plan);
    let mesh = start_plan(plan);
    relays[3].stall();
    let sending: Vec<_> = (0..24)
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
    let results: Vec<_> = sending
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    relays[3].resume();
    wait_serving(&mesh, 0, "resumed");
    assert!(mesh.nodes[3].upstream.wait_idle(LONG));
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
