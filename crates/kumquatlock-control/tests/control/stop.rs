//! Graceful stop.

use std::io::Write;
use std::net::TcpStream;
use std::thread;

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::wait_until;
use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::RetryReason;
use serde_json::json;

use crate::child::RawChild;
use crate::group::{
    LONG, builder, builder_with_election, manifest, start, status, wait_leader, wait_status,
};

/// Status of a process that a second SIGTERM ended: 128 + 15.
const SECOND_SIGNAL_STATUS: i32 = 143;

/// Guards against an election timeout without a leader at each planned restart, and against
/// children that stay on a parent that is gone.
#[test]
fn a_leader_that_stops_hands_over_and_sends_its_children_away() {
    let mut mesh = start(builder());
    mesh.controls[0].submit(&manifest(1)).unwrap();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let term = status(&mesh.controls[leader]).unwrap()["term"].clone();
    let mut child = RawChild::greet(mesh.controls[leader].flags.listen, "child");
    child.expect_welcome();
    child.confirm_snapshot();
    mesh.controls[leader].process.stop(LONG).unwrap();
    match child.receive() {
        Some(Body::RetryAfter(retry)) => assert_eq!(retry.reason, RetryReason::Leaving as i32),
        other => panic!("{other:?}"),
    }
    let rest = [(leader + 1) % 3, (leader + 2) % 3];
    let next = wait_leader(&mesh, &rest);
    let after = status(&mesh.controls[next]).unwrap()["term"].clone();
    // Two terms would mean that the handover failed and an election followed.
    assert_eq!(after.as_u64(), term.as_u64().map(|term| term + 1));
    let log = mesh.controls[leader].process.log_records();
    assert_eq!(log.last().unwrap()["event"], "stopped");
}

/// Guards against a submission that is cut off without an answer.
#[test]
fn a_stop_answers_what_is_in_progress() {
    let mut mesh = start(builder());
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for other in others {
        mesh.controls[other].process.pause().unwrap();
    }
    let caller = mesh.controls[leader].caller();
    let plan = HttpRequest::post("/v1/manifests", manifest(1).to_string());
    let sending = thread::spawn(move || caller.send(&plan).unwrap());
    wait_status(&mesh.controls[leader], "pending_requests", &json!(1));
    mesh.controls[leader].process.stop(LONG).unwrap();
    let answer = sending.join().unwrap();
    assert_eq!(
        (answer.status, &answer.json()["outcome"]),
        (504, &json!("unknown"))
    );
}

/// Guards against a stop that cannot be cut short.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    // Long, so that the leader waits for a handover instead of noticing its lost quorum.
    let mut mesh = start(builder_with_election("1500"));
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    for other in [(leader + 1) % 3, (leader + 2) % 3] {
        mesh.controls[other].process.pause().unwrap();
    }
    let stopping = &mut mesh.controls[leader].process;
    stopping.terminate().unwrap();
    wait_until("stop begins", LONG, || {
        let records = stopping.log_records();
        records.iter().any(|record| record["event"] == "stopping")
    })
    .unwrap();
    stopping.check_running().unwrap();
    stopping.terminate().unwrap();
    let ended = stopping.wait_exit(LONG).unwrap();
    assert_eq!(ended.code(), Some(SECOND_SIGNAL_STATUS));
}

/// Guards against a client that keeps a process from stopping.
#[test]
fn a_stalled_upload_does_not_hold_up_the_stop() {
    let mut mesh = start(builder());
    let instance = &mut mesh.controls[0];
    let mut stalled = TcpStream::connect(instance.flags.http).unwrap();
    let head = b"POST /v1/manifests HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n{";
    stalled.write_all(head).unwrap();
    // Later than the upload, so that a thread has taken it.
    assert_eq!(instance.caller().get("/v1/status").unwrap().status, 200);
    instance.process.stop(LONG).unwrap();
}
