//! Drains and graceful stops under load. A call that is interrupted or refused fails the test.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use kumquatlock_testkit::caller::{HttpCaller, HttpRequest};
use kumquatlock_testkit::process::{Mesh, wait_until};
use serde_json::json;

use crate::booking::{Booking, BookingLoop, check_bookings};
use crate::support::{WAIT_TIMEOUT, builder, metric, start, wait_control_leader};

/// Time after which an upstream that leaves must get no new work (P7).
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the HTTP addresses of the given nodes.
fn entries(mesh: &Mesh, nodes: &[usize]) -> Vec<SocketAddr> {
    nodes
        .iter()
        .map(|node| mesh.nodes[*node].flags.http)
        .collect()
}

/// Checks that an upstream answered every booking.
fn check_all_answered(mesh: &Mesh, bookings: &[Booking]) {
    let counts = check_bookings(mesh, bookings, &[]);
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

/// Sends a request to a node on behalf of its upstream. Unlike after a drain of the stand-in
/// upstream itself, the upstream still runs the requests that arrive.
fn send_upstream_request(mesh: &Mesh, node: usize, path: &str, slots: usize) {
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

/// Guards against calls that are interrupted when their destination is stopped with SIGTERM.
/// Verifies P8.
#[test]
fn a_stopping_node_finishes_its_calls() {
    let mut mesh = start(builder());
    let load = BookingLoop::start(&entries(&mesh, &[0, 2, 3]));
    load.wait_more_bookings(200);
    let started = Instant::now();
    mesh.nodes[1].process.stop(WAIT_TIMEOUT).unwrap();
    println!("node stopped after {:?}", started.elapsed());
    load.wait_more_bookings(300);
    check_all_answered(&mesh, &load.finish());
}

/// Guards against claims that are lost with the nodes that leave. The configuration no longer names
/// these nodes, so no other node fetches their claims, and two of three holders that stop together
/// would leave the keys of a shard unknown until the retention has passed. Verifies P6 and P8.
#[test]
fn nodes_that_stop_together_hand_over_their_claims() {
    let mut mesh = start(builder());
    let load = BookingLoop::start(&entries(&mesh, &[0, 3]));
    load.wait_more_bookings(200);
    let started = Instant::now();
    for node in [1, 2] {
        mesh.nodes[node].process.terminate().unwrap();
    }
    for node in [1, 2] {
        mesh.nodes[node]
            .process
            .expect_success(WAIT_TIMEOUT)
            .unwrap();
        let records = mesh.nodes[node].process.log_records();
        let finished = records
            .iter()
            .find(|record| record["event"] == "drain_finished");
        assert_eq!(finished.unwrap()["handed_over"], true, "node {node}");
    }
    println!("two nodes stopped after {:?}", started.elapsed());
    load.wait_more_bookings(200);
    let bookings = load.finish();
    let keyed = bookings
        .iter()
        .filter_map(|booking| booking.key.as_ref().map(|key| (booking, key)));
    for (booking, key) in keyed.take(60) {
        let request = HttpRequest::post("/booking", booking.body.as_str()).key(key);
        let caller = mesh.nodes[3].caller();
        let answer = caller
            .send(&request.timeout(Duration::from_millis(500)))
            .unwrap();
        assert!(matches!(answer.status, 200 | 504), "{}", answer.text());
    }
    check_all_answered(&mesh, &bookings);
}

/// Guards against calls that are interrupted when the upstream drains, and against new work that it
/// still gets, also while no control instance answers. Verifies P7 and P8.
#[test]
fn a_draining_upstream_gets_no_new_work() {
    let mut mesh = start(builder());
    let load = BookingLoop::start(&entries(&mesh, &[0, 1, 2, 3]));
    load.wait_more_bookings(200);
    mesh.controls[0].process.pause().unwrap();
    send_upstream_request(&mesh, 3, "/v1/drain", 16);
    let drain_started = Instant::now();
    let idle = wait_until("upstream is idle", LEAVE_TIMEOUT, || {
        mesh.nodes[3].upstream.in_flight() == 0
    });
    println!("upstream idle after {:?}", idle.unwrap());
    // The test verifies the timeout itself, so it waits for a fixed time.
    thread::sleep(LEAVE_TIMEOUT.saturating_sub(drain_started.elapsed()));
    let before = load.finish();
    let later_load = BookingLoop::start(&entries(&mesh, &[0, 1, 2, 3]));
    later_load.wait_more_bookings(400);
    mesh.controls[0].process.resume().unwrap();
    mesh.nodes[3].upstream.leave().unwrap();
    later_load.wait_more_bookings(400);
    let after = later_load.finish();
    let name = mesh.nodes[3].flags.name.as_str();
    for booking in &after {
        let answer = booking.results[0].1.as_ref().unwrap();
        assert_ne!(answer.json()["upstream"], name, "P7: {booking:?}");
    }
    check_all_answered(&mesh, &before);
    check_all_answered(&mesh, &after);
}

/// Guards against calls that are lost or counted twice when the upstream announces a different
/// number of slots, or leaves and returns, while calls are queued and running. Verifies P4, P5 and
/// P8.
#[test]
fn changed_announcements_interrupt_no_call() {
    let mut mesh = start(
        builder()
            .upstreams_per_region(3)
            .upstream_capacity(4, Duration::from_millis(8)),
    );
    let load = BookingLoop::start(&entries(&mesh, &[0, 1, 2]));
    for round in 0..6 {
        load.wait_more_bookings(60);
        send_upstream_request(&mesh, 1, "/v1/announce", 2 + round % 2);
    }
    for _ in 0..3 {
        load.wait_more_bookings(60);
        send_upstream_request(&mesh, 1, "/v1/leave", 4);
        send_upstream_request(&mesh, 1, "/v1/announce", 4);
    }
    load.wait_more_bookings(100);
    let bookings = load.finish();
    check_all_answered(&mesh, &bookings);
    wait_until("no call is queued or running", WAIT_TIMEOUT, || {
        metric(&mesh, 1, "kumquatlock_running") + metric(&mesh, 1, "kumquatlock_queued") == 0
    })
    .unwrap();
    mesh.nodes[1].process.stop(WAIT_TIMEOUT).unwrap();
}

/// Guards against calls that fail when a parent, and then the leader, is stopped, because they
/// depend on a control instance. Verifies P8.
#[test]
fn stopping_control_instances_interrupts_no_call() {
    let mut mesh = start(builder().voters(3));
    let load = BookingLoop::start(&entries(&mesh, &[0, 1, 2, 3]));
    load.wait_more_bookings(100);
    for _ in 0..2 {
        let leader = wait_control_leader(&mesh);
        let stopped = if leader == 0 { 1 } else { 0 };
        for index in [stopped, leader] {
            mesh.controls[index].process.stop(WAIT_TIMEOUT).unwrap();
            load.wait_more_bookings(100);
            mesh.controls[index].process.restart().unwrap();
            mesh.controls[index].wait_ready().unwrap();
            wait_control_leader(&mesh);
        }
    }
    check_all_answered(&mesh, &load.finish());
}
