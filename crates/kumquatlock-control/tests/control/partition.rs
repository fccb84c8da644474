//! Network paths between voters that go silent.

use kumquatlock_testkit::process::Mesh;
use kumquatlock_testkit::relay::TcpRelay;
use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::RetryReason;
use serde_json::json;

use crate::child::RawChild;
use crate::group::{
    builder, manifest, show, submit_until_decided, wait_in_force, wait_leader, wait_status,
};

/// Relays by the voters that they lead from and to.
type Paths = Vec<((usize, usize), TcpRelay)>;

/// A group whose voters reach each other through relays only.
fn start_with_paths() -> (Mesh, Paths) {
    let mut plan = builder().build().unwrap();
    let mut paths = Vec::new();
    for from in 0..3 {
        for to in (0..3).filter(|to| *to != from) {
            let relay = TcpRelay::start(plan.controls[to].flags.listen).unwrap();
            plan.controls[from].flags.voters[to].1 = relay.address();
            paths.push(((from, to), relay));
        }
    }
    (plan.start().unwrap(), paths)
}

fn paths_of(paths: &Paths, voter: usize) -> impl Iterator<Item = &TcpRelay> {
    let touches = move |path: &&((usize, usize), TcpRelay)| path.0.0 == voter || path.0.1 == voter;
    paths.iter().filter(touches).map(|(_, relay)| relay)
}

/// Guards against a leader that goes on alone behind a silent partition, against a child that it
/// welcomes with an old configuration, and against a manifest that is said to be in force while
/// the children of the isolated voter do not have it.
#[test]
fn a_silently_isolated_leader_decides_nothing() {
    let (mesh, paths) = start_with_paths();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    mesh.controls[leader].submit(&manifest(1)).unwrap();
    let mut child = RawChild::greet(mesh.controls[leader].flags.listen, "child");
    child.expect_welcome();
    child.confirm_snapshot();
    wait_in_force(&mesh.controls[leader], 1, 1);

    paths_of(&paths, leader).for_each(TcpRelay::stall);
    let answer = mesh.controls[leader].submit(&manifest(9)).unwrap();
    assert!(matches!(answer.status, 503 | 504), "{}", answer.text());
    let (code, answer) = submit_until_decided(&mesh.controls[others[0]], &manifest(2));
    assert_eq!(code, 200, "{answer}");
    wait_leader(&mesh, &others);
    assert_eq!(show(&mesh.controls[others[1]], "2")["state"], "accepted");
    let mut late = RawChild::greet(mesh.controls[leader].flags.listen, "late");
    match late.receive() {
        Some(Body::RetryAfter(retry)) => assert_eq!(retry.reason, RetryReason::NotCurrent as i32),
        other => panic!("{other:?}"),
    }
    wait_status(&mesh.controls[leader], "manifest_version", &json!(1));

    paths_of(&paths, leader).for_each(TcpRelay::resume);
    let delta = child.expect_delta();
    assert_eq!(json!(delta.version), answer["config_version"]);
    child.confirm(delta.version);
    wait_in_force(&mesh.controls[others[0]], 2, 1);
    // The lone proposal was replaced by what the others committed.
    assert_eq!(show(&mesh.controls[leader], "9")["state"], "unknown");
}

/// Guards against voters that wait for ever on connections that went silent while new ones work.
#[test]
fn silent_connections_between_voters_are_replaced() {
    let (mesh, paths) = start_with_paths();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    for (_, relay) in &paths {
        relay.stall_open();
    }
    let (code, answer) = submit_until_decided(&mesh.controls[leader], &manifest(1));
    assert_eq!(code, 200, "{answer}");
    for instance in &mesh.controls {
        wait_status(instance, "manifest_version", &json!(1));
    }
}
