//! Graceful stop of a control instance.

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
    WAIT_TIMEOUT, builder, builder_with_election_timeout, manifest, start, status, wait_leader,
    wait_status,
};

/// Exit status of a process that a second SIGTERM ends: 128 + 15.
const SECOND_SIGNAL_STATUS: i32 = 143;

/// Guards against a planned restart that leaves the group without a leader for an election timeout,
/// and against children that stay attached to a parent that has stopped.
#[test]
fn a_stopping_leader_hands_over_and_tells_its_children_to_retry() {
    let mut mesh = start(builder());
    mesh.controls[0].submit(&manifest(1)).unwrap();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let term = status(&mesh.controls[leader]).unwrap()["term"].clone();
    let mut child = RawChild::connect_with_hello(mesh.controls[leader].flags.listen, "child");
    child.expect_welcome();
    child.confirm_snapshot();
    mesh.controls[leader].process.stop(WAIT_TIMEOUT).unwrap();
    match child.receive() {
        Some(Body::RetryAfter(retry)) => assert_eq!(retry.reason, RetryReason::Leaving as i32),
        message => panic!("expected a retry-after, received {message:?}"),
    }
    let remaining = [(leader + 1) % 3, (leader + 2) % 3];
    let new_leader = wait_leader(&mesh, &remaining);
    let after = status(&mesh.controls[new_leader]).unwrap()["term"].clone();
    // Two terms would mean that the handover failed and an election followed.
    assert_eq!(after.as_u64(), term.as_u64().map(|term| term + 1));
    let log = mesh.controls[leader].process.log_records();
    assert_eq!(log.last().unwrap()["event"], "stopped");
}

/// Guards against a stop that leaves a submission in progress without an answer.
#[test]
fn a_stop_answers_submissions_in_progress() {
    let mut mesh = start(builder());
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for other in others {
        mesh.controls[other].process.pause().unwrap();
    }
    let caller = mesh.controls[leader].caller();
    let request = HttpRequest::post("/v1/manifests", manifest(1).to_string());
    let submission = thread::spawn(move || caller.send(&request).unwrap());
    wait_status(&mesh.controls[leader], "pending_requests", &json!(1));
    mesh.controls[leader].process.stop(WAIT_TIMEOUT).unwrap();
    let answer = submission.join().unwrap();
    assert_eq!(
        (answer.status, &answer.json()["outcome"]),
        (504, &json!("unknown"))
    );
}

/// Guards against a graceful stop that a second signal cannot abort.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    // The election timeout is long, so that the leader is still waiting for a handover and has not
    // noticed its lost quorum.
    let mut mesh = start(builder_with_election_timeout("1500"));
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    for other in [(leader + 1) % 3, (leader + 2) % 3] {
        mesh.controls[other].process.pause().unwrap();
    }
    let stopping = &mut mesh.controls[leader].process;
    stopping.terminate().unwrap();
    wait_until("stop begins", WAIT_TIMEOUT, || {
        let records = stopping.log_records();
        records.iter().any(|record| record["event"] == "stopping")
    })
    .unwrap();
    stopping.check_running().unwrap();
    stopping.terminate().unwrap();
    let exit_status = stopping.wait_exit(WAIT_TIMEOUT).unwrap();
    assert_eq!(exit_status.code(), Some(SECOND_SIGNAL_STATUS));
}

/// Guards against a client with an unfinished request that prevents the process from stopping.
#[test]
fn a_stalled_upload_does_not_delay_the_stop() {
    let mut mesh = start(builder());
    let instance = &mut mesh.controls[0];
    let mut stalled = TcpStream::connect(instance.flags.http).unwrap();
    let head = b"POST /v1/manifests HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n{";
    stalled.write_all(head).unwrap();
    // This request is accepted after the upload, so a thread has taken the upload by then.
    assert_eq!(instance.caller().get("/v1/status").unwrap().status, 200);
    instance.process.stop(WAIT_TIMEOUT).unwrap();
}
