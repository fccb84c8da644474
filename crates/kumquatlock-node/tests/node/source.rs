//! Nodes while the control instances are unreachable or out of date.

use std::time::{Duration, Instant};

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::{Mesh, wait_for, wait_until};
use kumquatlock_testkit::relay::TcpRelay;
use serde_json::json;

use crate::booking::{BookingLoop, check_bookings};
use crate::support::{WAIT_TIMEOUT, builder, config_version, start, start_plan, wait_serving};

/// Number of calls to a node without a configuration, which serves none of them. They last long
/// enough for several attempts to attach, which the node repeats after at least 100 ms.
const UNSERVED_CALLS: usize = 25;
/// Interval between these calls.
const UNSERVED_CALL_INTERVAL: Duration = Duration::from_millis(60);

/// Checks that a node without a configuration answers unkeyed calls `not_run`, and keyed calls
/// `unknown`, since it cannot know whether a call with the same key ran before.
fn check_calls_unserved(mesh: &Mesh, node: usize, label: &str) {
    let caller = mesh.nodes[node].caller();
    for number in 0..UNSERVED_CALLS {
        let body = format!("unserved-{label}-{number}");
        let request = HttpRequest::post("/booking", body.as_str());
        let answer = caller.send(&request).unwrap();
        let expected = json!({ "outcome": "not_run", "reason": "config_unavailable" });
        assert_eq!((answer.status, answer.json()), (503, expected), "P1");
        let answer = caller.send(&request.key(&body)).unwrap();
        let expected = json!({ "outcome": "unknown", "reason": "config_unavailable" });
        assert_eq!((answer.status, answer.json()), (504, expected), "P5");
        assert_eq!(mesh.ledger().runs_of_body(body.as_bytes()).started, 0);
        std::thread::sleep(UNSERVED_CALL_INTERVAL);
    }
}

/// Guards against calls that fail while no control instance runs, and against a restarted node that
/// serves without a configuration or applies an older version. Verifies P1, P5 and P6.
#[test]
fn calls_continue_while_all_control_instances_are_down() {
    let mut mesh = start(builder().voters(3));
    let entries: Vec<_> = mesh.nodes[..3].iter().map(|node| node.flags.http).collect();
    let load = BookingLoop::start(&entries);
    load.wait_more_bookings(100);
    let before = config_version(&mesh, 3);
    for control in &mut mesh.controls {
        control.process.kill().unwrap();
    }
    load.wait_more_bookings(300);
    mesh.nodes[3].process.restart().unwrap();
    mesh.nodes[3].wait_ready().unwrap();
    check_calls_unserved(&mesh, 3, "away");
    load.wait_more_bookings(100);
    let returned = Instant::now();
    for control in &mut mesh.controls {
        control.process.restart().unwrap();
    }
    wait_until("restarted node has a configuration", WAIT_TIMEOUT, || {
        config_version(&mesh, 3) > 0
    })
    .unwrap();
    assert!(config_version(&mesh, 3) >= before, "P1");
    wait_serving(&mesh, 3, "returned");
    println!(
        "restarted node serves {:?} after the control instances returned",
        returned.elapsed()
    );
    let bookings = load.finish();
    let counts = check_bookings(&mesh, &bookings, &[]);
    println!("{} bookings: {counts:?}", bookings.len());
    assert!(
        counts["answered 200"] * 10 > bookings.len() * 9,
        "{counts:?}"
    );
}

/// Guards against an old configuration from a voter that is isolated and has not noticed it.
/// Verifies P1.
#[test]
fn an_isolated_voter_gives_a_restarted_node_no_configuration() {
    let mut plan = builder().voters(3).build().unwrap();
    let mut paths = Vec::new();
    for (from, to) in [(0, 2), (1, 2), (2, 0), (2, 1)] {
        let relay = TcpRelay::start(plan.controls[to].flags.listen).unwrap();
        plan.controls[from].flags.voters[to].1 = relay.address();
        paths.push(relay);
    }
    plan.nodes[3].flags.parents = vec![plan.controls[2].flags.listen];
    // The other nodes do not depend on the isolated voter.
    for node in 0..3 {
        plan.nodes[node].flags.parents = vec![plan.controls[0].flags.listen];
    }
    let mut mesh = start_plan(plan);
    paths.iter().for_each(TcpRelay::stall);
    let manifest = mesh.manifest(2);
    let accepted = wait_for("manifest accepted", WAIT_TIMEOUT, || {
        let answer = mesh.controls[0].submit(&manifest).unwrap();
        match answer.status {
            200 => Ok(answer.json()),
            _ => Err(answer.text()),
        }
    })
    .unwrap();
    let newest = accepted["config_version"].as_u64().unwrap();
    mesh.nodes[3].process.restart().unwrap();
    mesh.nodes[3].wait_ready().unwrap();
    check_calls_unserved(&mesh, 3, "isolated");
    assert_eq!(config_version(&mesh, 3), 0, "P1");
    paths.iter().for_each(TcpRelay::resume);
    wait_until("restarted node has a configuration", WAIT_TIMEOUT, || {
        config_version(&mesh, 3) > 0
    })
    .unwrap();
    assert!(config_version(&mesh, 3) >= newest, "P1");
}
