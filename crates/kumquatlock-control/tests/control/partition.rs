//! Network paths between voters that stop delivering bytes without closing.

use kumquatlock_testkit::relay::TcpRelay;
use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::RetryReason;
use serde_json::json;

use crate::child::RawChild;
use crate::group::{
    manifest, relays_of, show, start_with_relays, submit_until_decided, wait_in_force, wait_leader,
    wait_status,
};

/// Guards against a leader that continues alone behind a silent partition, against a child that it
/// welcomes with an old configuration, and against a manifest that is reported in force while the
/// children of the isolated voter do not have it.
#[test]
fn a_leader_behind_a_silent_partition_decides_nothing() {
    let (mesh, relays) = start_with_relays();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    mesh.controls[leader].submit(&manifest(1)).unwrap();
    let mut child = RawChild::connect_with_hello(mesh.controls[leader].flags.listen, "child");
    child.expect_welcome();
    child.confirm_snapshot();
    wait_in_force(&mesh.controls[leader], 1, 1);

    relays_of(&relays, leader).for_each(TcpRelay::stall);
    let answer = mesh.controls[leader].submit(&manifest(9)).unwrap();
    assert!(matches!(answer.status, 503 | 504), "{}", answer.text());
    let (code, answer) = submit_until_decided(&mesh.controls[others[0]], &manifest(2));
    assert_eq!(code, 200, "{answer}");
    wait_leader(&mesh, &others);
    assert_eq!(show(&mesh.controls[others[1]], "2")["state"], "accepted");
    let mut late_child = RawChild::connect_with_hello(mesh.controls[leader].flags.listen, "late");
    match late_child.receive() {
        Some(Body::RetryAfter(retry)) => assert_eq!(retry.reason, RetryReason::NotCurrent as i32),
        message => panic!("expected a retry-after, received {message:?}"),
    }
    wait_status(&mesh.controls[leader], "manifest_version", &json!(1));

    relays_of(&relays, leader).for_each(TcpRelay::resume);
    let delta = child.expect_delta();
    assert_eq!(json!(delta.version), answer["config_version"]);
    child.confirm(delta.version);
    wait_in_force(&mesh.controls[others[0]], 2, 1);
    // The entry that the isolated leader proposed was replaced by the entries that the other voters
    // committed.
    assert_eq!(show(&mesh.controls[leader], "9")["state"], "unknown");
}

/// Guards against voters that wait forever on connections that went silent, although new
/// connections would work.
#[test]
fn silent_connections_between_voters_are_replaced() {
    let (mesh, relays) = start_with_relays();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    for (_, relay) in &relays {
        relay.stall_open();
    }
    let (code, answer) = submit_until_decided(&mesh.controls[leader], &manifest(1));
    assert_eq!(code, 200, "{answer}");
    for instance in &mesh.controls {
        wait_status(instance, "manifest_version", &json!(1));
    }
}
