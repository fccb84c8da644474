//! Read replicas: their children, the requests that they forward, and their choice of a parent.

use kumquatlock::core::ConfigSnapshot;
use kumquatlock::manifest::{MAX_MANIFEST_BYTES, MAX_ROUTES};
use kumquatlock_testkit::process::{Mesh, wait_for};
use serde_json::json;

use crate::child::RawChild;
use crate::group::{
    WAIT_TIMEOUT, builder, conflicting_manifest, manifest, show, start, submit_until_decided,
    wait_in_force, wait_status,
};

/// Guards against a replica that serves a different configuration than the voters or loses
/// requests, and against children of a replica that are not counted.
#[test]
fn a_replica_serves_children_and_forwards_requests() {
    let mut mesh = start(builder().replicas_per_region(1));
    let submit = |index: usize, version: u64| {
        let answer = mesh.controls[index].submit(&manifest(version)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json()["config_version"].as_u64().unwrap()
    };
    wait_status(&mesh.controls[3], "role", &json!("replica"));
    let first = {
        // The replica may not be attached yet.
        let (code, answer) = submit_until_decided(&mesh.controls[3], &manifest(1));
        assert_eq!(code, 200, "{answer}");
        answer["config_version"].as_u64().unwrap()
    };
    wait_status(&mesh.controls[3], "config_version", &json!(first));
    let refused = mesh.controls[3].submit(&conflicting_manifest(1)).unwrap();
    assert_eq!(
        (refused.status, &refused.json()["reason"]),
        (409, &json!("conflict"))
    );

    let mut child = RawChild::connect_with_hello(mesh.controls[3].flags.listen, "child");
    assert_eq!(child.expect_welcome(), first);
    assert_eq!(child.expect_snapshot().version, first);
    child.confirm(first);
    wait_in_force(&mesh.controls[3], 1, 1);

    let second = submit(1, 2);
    let delta = child.expect_delta();
    assert_eq!((delta.base, delta.version), (first, second));
    assert_eq!(show(&mesh.controls[3], "2")["state"], "accepted");
    child.confirm(second);
    wait_in_force(&mesh.controls[3], 2, 1);

    // A replica stores nothing on disk, so it fetches the configuration again after a restart.
    mesh.controls[3].process.restart().unwrap();
    mesh.controls[3].wait_ready().unwrap();
    wait_status(&mesh.controls[3], "config_version", &json!(second));
}

/// Guards against a size limit between operator and child that is lower than the largest manifest,
/// and against chunks that are lost, duplicated or sent before the previous one was written.
#[test]
fn the_largest_manifest_reaches_a_child_of_a_replica() {
    let mesh = start(builder().replicas_per_region(1));
    let routes = (0..MAX_ROUTES).map(|number| {
        let name = format!("route-{number}");
        let prefix = format!("/{number}/{}", "x".repeat(120));
        json!({
            "name": name, "prefix": prefix, "class": "lookup", "service": "booking",
            "source": "s".repeat(180),
        })
    });
    let mut large = manifest(1);
    large["routes"] = routes.collect();
    let bytes = large.to_string().len();
    let nearly_largest = MAX_MANIFEST_BYTES * 6 / 7..=MAX_MANIFEST_BYTES;
    assert!(nearly_largest.contains(&bytes), "{bytes}");
    let (code, answer) = submit_until_decided(&mesh.controls[3], &large);
    assert_eq!(code, 200, "{answer}");
    for parent in [0, 3] {
        let version = answer["config_version"].clone();
        wait_status(&mesh.controls[parent], "config_version", &version);
        let mut child = RawChild::connect_with_hello(mesh.controls[parent].flags.listen, "child");
        child.expect_welcome();
        let (state, digest, chunks) = child.expect_snapshot_chunks();
        assert!(chunks > 1);
        let snapshot = ConfigSnapshot::from_state(&state, digest).unwrap();
        assert_eq!(snapshot.routes.len(), MAX_ROUTES);
    }
}

/// Guards against a replica that stays with its second parent, and against a probe that is counted
/// as a child or whose end is taken for the loss of the parent.
#[test]
fn a_replica_returns_to_its_preferred_parent() {
    let mut mesh = start(builder().replicas_per_region(1));
    let wait_children = |mesh: &Mesh, counts: [u64; 3]| {
        let has_counts = || {
            let metrics = [0, 1, 2].map(|index| mesh.controls[index].caller().get("/metrics"));
            for (answer, count) in metrics.into_iter().zip(counts) {
                let text = answer.map_err(|error| error.to_string())?.text();
                let line = format!("kumquatlock_children {count}");
                if !text.lines().any(|other| other == line) {
                    return Err(format!("no {line}"));
                }
            }
            Ok(())
        };
        // Probes are 5 to 15 s apart, and up to 30 s after a failed one.
        wait_for("child counts", 3 * WAIT_TIMEOUT, has_counts).unwrap();
    };
    mesh.controls[0].process.kill().unwrap();
    wait_for("another parent", WAIT_TIMEOUT, || {
        let text = [1, 2].map(|index| {
            mesh.controls[index]
                .caller()
                .get("/metrics")
                .unwrap()
                .text()
        });
        let is_attached = |text: &String| text.lines().any(|line| line == "kumquatlock_children 1");
        text.iter()
            .any(is_attached)
            .then_some(())
            .ok_or("the replica has no parent")
    })
    .unwrap();
    mesh.controls[0].process.restart().unwrap();
    mesh.controls[0].wait_ready().unwrap();
    wait_children(&mesh, [1, 0, 0]);
    let (code, answer) = submit_until_decided(&mesh.controls[3], &manifest(1));
    assert_eq!(code, 200, "{answer}");
    wait_status(
        &mesh.controls[3],
        "config_version",
        &answer["config_version"],
    );
}

/// Guards against a replica that answers a read of the newest manifest with the source text of an
/// earlier one, which it got before. A replica that does not have the source says so.
#[test]
fn a_replica_returns_no_source_of_an_earlier_manifest() {
    let mesh = start(builder().replicas_per_region(1));
    let replica = &mesh.controls[3];
    for version in 1..=2 {
        let source = format!("text {version}");
        let mut sourced = manifest(version);
        sourced["source"] = json!(source);
        let (code, answer) = submit_until_decided(replica, &sourced);
        assert_eq!(code, 200, "{answer}");
        wait_status(replica, "config_version", &answer["config_version"]);
        let read = replica.caller().get("/v1/source").unwrap();
        let body = read.json();
        match read.status {
            200 => assert_eq!(body["source"], source, "{body}"),
            status => assert_eq!(
                (status, &body["reason"]),
                (503, &json!("no_source")),
                "{body}"
            ),
        }
    }
}
