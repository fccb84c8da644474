//! Draining and graceful stops under load. A call that is interrupted or refused fails the test.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use kumquatlock_testkit::caller::{HttpCaller, HttpRequest};
use kumquatlock_testkit::process::{Mesh, wait_until};
use serde_json::json;

use crate::booking::{Booking, BookingLoop, check};
use crate::support::{LONG, builder, metric, start, wait_status_leader};

/// Time after which an upstream that leaves gets no new work (P7).
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

fn entries(mesh: &Mesh, nodes: &[usize]) -> Vec<SocketAddr> {
    nodes
        .iter()
        .map(|node| mesh.nodes[*node].flags.http)
        .collect()
}

/// Every booking was answered by an upstream.
fn check_all_answered(mesh: &Mesh, bookings: &[Booking]) {
    let counts = check(mesh, bookings, &[]);
    println!("{} bookings: {counts:?}", bookings.len());
    for booking in bookings {
        let first = booking.results[0].1.as_ref();
        if first.is_ok_and(|answer| answer.status != 200) {
            let runs = mesh.ledger().runs_of_body(booking.body.as_bytes());
            println!("{runs:?} {booking:?}");
        }
    }
    assert_eq!(
        counts.get("answered 200"),
        Some(&bookings.len()),
        "P8: {counts:?}"
    );
}

/// Sends a request of the upstream to its node. Unlike the stand-in's own drain, the upstream
/// still runs what arrives.
fn tell_node(mesh: &Mesh, node: usize, path: &str, slots: usize) {
    let node = &mesh.nodes[node];
    let body = json!({
        "name": node.flags.name,
        "service": "booking",
        "address": node.upstream.address(),
        "slots": slots,
    });
    let caller = HttpCaller::new(node.flags.upstream_http);
    let answer = caller
        .send(&HttpRequest::post(path, body.to_string()))
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// Guards against calls that are cut when their destination is told to stop. Shows P8.
#[test]
fn a_node_that_is_told_to_stop_finishes_its_calls() {
    let mut mesh = start(builder());
    let load = BookingLoop::start(&entries(&mesh, &[0, 2, 3]));
    load.wait_more(200);
    let started = Instant::now();
    mesh.nodes[1].process.stop(LONG).unwrap();
    println!("node stopped after {:?}", started.elapsed());
    load.wait_more(300);
    check_all_answered(&mesh, &load.finish());
}

/// Guards against claims that nobody fetches from nodes that leave, since the configuration no
/// longer names them: two of three holders that stop together would leave the keys of a shard
/// unknown until the retention has passed. Shows P6 and P8.
#[test]
fn nodes_that_stop_together_hand_their_claims_over() {
    let mut mesh = start(builder());
    let load = BookingLoop::start(&entries(&mesh, &[0, 3]));
    load.wait_more(200);
    let started = Instant::now();
    for node in [1, 2] {
        mesh.nodes[node].process.terminate().unwrap();
    }
    for node in [1, 2] {
        mesh.nodes[node].process.expect_success(LONG).unwrap();
        let records = mesh.nodes[node].process.log_records();
        let finished = records
            .iter()
            .find(|record| record["event"] == "drain_finished");
        assert_eq!(finished.unwrap()["handed_over"], true, "node {node}");
    }
    println!("two nodes stopped after {:?}", started.elapsed());
    load.wait_more(200);
    let bookings = load.finish();
    let keyed = bookings
        .iter()
        .filter_map(|booking| booking.key.as_ref().map(|key| (booking, key)));
    for (booking, key) in keyed.take(60) {
        let plan = HttpRequest::post("/booking", booking.body.as_str()).key(key);
        let caller = mesh.nodes[3].caller();
        let answer = caller
            .send(&plan.timeout(Duration::from_millis(500)))
            .unwrap();
        assert!(matches!(answer.status, 200 | 504), "{}", answer.text());
    }
    check_all_answered(&mesh, &bookings);
}

/// Guards against calls that are cut when the upstream drains, and against new work for it, also
/// while no control instance answers. Shows P7 and P8.
#[test]
fn a_draining_upstream_gets_no_new_work() {
    let mut mesh = start(builder());
    let load = BookingLoop::start(&entries(&mesh, &[0, 1, 2, 3]));
    load.wait_more(200);
    mesh.controls[0].process.pause().unwrap();
    tell_node(&mesh, 3, "/v1/drain", 16);
    let told = Instant::now();
    let idle = wait_until("upstream is idle", LEAVE_LIMIT, || {
        mesh.nodes[3].upstream.in_flight() == 0
    });
    println!("upstream idle after {:?}", idle.unwrap());
    // The limit itself is the promise, so it is a fixed time.
    thread::sleep(LEAVE_LIMIT.saturating_sub(told.elapsed()));
    let before = load.finish();
    let late = BookingLoop::start(&entries(&mesh, &[0, 1, 2, 3]));
    late.wait_more(400);
    mesh.controls[0].process.resume().unwrap();
    mesh.nodes[3].upstream.leave().unwrap();
    late.wait_more(400);
    let after = late.finish();
    let name = mesh.nodes[3].flags.name.as_str();
    for booking in &after {
        let answer = booking.results[0].1.as_ref().unwrap();
        assert_ne!(answer.json()["upstream"], name, "P7: {booking:?}");
    }
    check_all_answered(&mesh, &before);
    check_all_answered(&mesh, &after);
}

/// Guards against calls that are lost or counted twice when the upstream announces other limits,
/// or leaves and comes back, while calls wait and run. Shows P4, P5 and P8.
#[test]
fn changed_announcements_interrupt_no_call() {
    let mut mesh = start(
        builder()
            .upstreams_per_region(3)
            .upstream_capacity(4, Duration::from_millis(8)),
    );
    let load = BookingLoop::start(&entries(&mesh, &[0, 1, 2]));
    for round in 0..6 {
        load.wait_more(60);
        tell_node(&mesh, 1, "/v1/announce", 2 + round % 2);
    }
    for _ in 0..3 {
        load.wait_more(60);
        tell_node(&mesh, 1, "/v1/leave", 4);
        tell_node(&mesh, 1, "/v1/announce", 4);
    }
    load.wait_more(100);
    let bookings = load.finish();
    check_all_answered(&mesh, &bookings);
    wait_until("no call is left", LONG, || {
        metric(&mesh, 1, "kumquatlock_running") + metric(&mesh, 1, "kumquatlock_queued") == 0
    })
    .unwrap();
    mesh.nodes[1].process.stop(LONG).unwrap();
}

/// Guards against calls that depend on the configuration source, when a parent and then the
/// leader are told to stop. Shows P8.
#[test]
fn control_instances_that_stop_interrupt_no_call() {
    let mut mesh = start(builder().voters(3));
    let load = BookingLoop::start(&entries(&mesh, &[0, 1, 2, 3]));
    load.wait_more(100);
    for _ in 0..2 {
        let leader = wait_status_leader(&mesh);
        let stopped = if leader == 0 { 1 } else { 0 };
        for index in [stopped, leader] {
            mesh.controls[index].process.stop(LONG).unwrap();
            load.wait_more(100);
            mesh.controls[index].process.restart().unwrap();
            mesh.controls[index].wait_ready().unwrap();
            wait_status_leader(&mesh);
        }
    }
    check_all_answered(&mesh, &load.finish());
}
