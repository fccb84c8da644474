//! Stream between a voter and its children.

use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::{Ping, RetryReason, catalog_change::Kind};
use serde_json::json;

use crate::child::RawChild;
use crate::group::{builder, manifest, show, start, wait_in_force, wait_leader, wait_status};

/// Guards against a manifest that is reported in force before every child has applied it.
#[test]
fn a_manifest_is_in_force_when_every_child_has_applied_it() {
    let mesh = start(builder());
    let first = mesh.controls[0].submit(&manifest(1)).unwrap().json();
    let version = first["config_version"].as_u64().unwrap();
    let mut children: Vec<RawChild> = (0..3)
        .map(|index| {
            let parent = mesh.controls[index].flags.listen;
            RawChild::connect_with_hello(parent, &format!("child-{index}"))
        })
        .collect();
    for child in &mut children {
        assert_eq!(child.expect_welcome(), version);
        let state = child.expect_snapshot();
        assert_eq!((state.version, state.manifest_version), (version, 1));
        assert!(state.history.is_none());
        child.confirm(version);
    }
    // A new child is counted after up to 500 ms.
    wait_in_force(&mesh.controls[1], 1, 3);

    let second = mesh.controls[2].submit(&manifest(2)).unwrap().json();
    for (index, child) in children.iter_mut().enumerate() {
        let delta = child.expect_delta();
        assert_eq!(
            (delta.base, json!(delta.version)),
            (version, second["config_version"].clone())
        );
        assert_eq!(delta.changes.len(), 1);
        let shown = show(&mesh.controls[index], "2");
        assert_eq!(shown["state"], "accepted", "{shown}");
    }
    for child in &mut children {
        child.confirm(second["config_version"].as_u64().unwrap());
    }
    wait_in_force(&mesh.controls[0], 2, 3);
}

/// Guards against a restarted child that starts from a configuration older than the accepted one.
#[test]
fn an_isolated_voter_welcomes_no_child() {
    let mut mesh = start(builder());
    mesh.controls[0].submit(&manifest(1)).unwrap();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for other in others {
        mesh.controls[other].process.pause().unwrap();
    }
    // The voter refuses the child first as the former leader and then as a candidate.
    for _ in 0..2 {
        let mut child = RawChild::connect_with_hello(mesh.controls[leader].flags.listen, "child");
        match child.receive() {
            Some(Body::RetryAfter(retry)) => {
                assert_eq!(retry.reason, RetryReason::NotCurrent as i32);
            }
            message => panic!("expected a retry-after, received {message:?}"),
        }
        wait_status(&mesh.controls[leader], "leader", &json!(null));
    }
    for other in others {
        mesh.controls[other].process.resume().unwrap();
    }
    wait_leader(&mesh, &[0, 1, 2]);
    let mut child = RawChild::connect_with_hello(mesh.controls[leader].flags.listen, "child");
    child.expect_welcome();
}

/// Guards against upstream reports that do not reach the leader, and against lost upstreams that
/// are never removed.
#[test]
fn an_upstream_is_announced_and_expired() {
    let timings = ["--expiry-ms", "300", "--expiry-grace-ms", "2000"];
    let mesh = start(
        timings
            .iter()
            .fold(builder(), |builder, text| builder.control_argument(text)),
    );
    mesh.controls[0].submit(&manifest(1)).unwrap();
    let mut children: Vec<RawChild> = (0..3)
        .map(|index| {
            let name = format!("booking-{index}");
            let mut child = RawChild::connect_with_hello(mesh.controls[index].flags.listen, &name);
            child.expect_welcome();
            child.confirm_snapshot();
            child.announce_upstream(&name);
            child
        })
        .collect();
    let mut announced = Vec::new();
    while announced.len() < 3 {
        for change in children[0].confirm_delta().into_iter().flatten() {
            if let Kind::UpsertUpstream(item) = change {
                announced.push((item.name, item.first_in_region));
            }
        }
    }
    announced.sort();
    let names: Vec<&str> = announced.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["booking-0", "booking-1", "booking-2"]);
    assert_eq!(announced.iter().filter(|(_, first)| *first).count(), 1);

    drop(children.remove(2));
    let mut watcher = children.remove(0);
    // Keeps the second child attached while the first child waits for the removal.
    let second_child = std::thread::spawn(move || {
        let mut child = children.remove(0);
        while let Some(body) = child.receive() {
            if let Body::Delta(delta) = body {
                child.confirm(delta.version);
            }
        }
    });
    loop {
        let changes = watcher.confirm_delta().unwrap();
        if let [Kind::RemoveUpstream(name)] = &changes[..] {
            assert_eq!(name, "booking-2");
            break;
        }
    }
    drop(mesh);
    second_child.join().unwrap();
}

/// Guards against connections that stay open forever although the peer sends nothing, or something
/// other than a hello.
#[test]
fn connections_without_a_valid_hello_are_closed() {
    let mesh = start(builder());
    let listen = mesh.controls[0].flags.listen;
    let mut without_hello = RawChild::connect(listen);
    without_hello.send(Body::Applied(Default::default()));
    assert!(without_hello.receive().is_none());
    let mut http_client = RawChild::connect(listen);
    http_client.send_raw(b"GET / HTTP/1.1\r\n\r\n");
    assert!(http_client.receive().is_none());
    let mut unknown_voter = RawChild::connect(listen);
    let mut message = kumquatlock_wire::agreement::PeerMessage::default();
    message.from.name = "voter-9".to_owned();
    unknown_voter.send(Body::Peer(message));
    assert!(unknown_voter.receive().is_none());
    // A ping alone does not identify the peer.
    let mut ping_only = RawChild::connect(listen);
    ping_only.send(Body::Ping(Ping {
        number: 1,
        prove: false,
    }));
    assert!(ping_only.receive().is_none());
    assert_eq!(mesh.controls[0].submit(&manifest(1)).unwrap().status, 200);
}

/// Guards against traffic between voters of different regions, which is paid, being counted as free
/// traffic within a region.
#[test]
fn traffic_between_voters_of_different_regions_counts_as_cross_region() {
    for (regions, crosses_regions) in [
        (&[("r1", 2), ("r2", 1), ("r3", 1)][..], true),
        (&[("r1", 2)], false),
    ] {
        let mesh = start(builder().regions(regions));
        let bytes = |scope: &str| -> u64 {
            let text = mesh.controls[0].caller().get("/metrics").unwrap().text();
            let is_agreement_traffic = |line: &&str| {
                line.starts_with("kumquatlock_control_bytes_total")
                    && line.contains("kind=\"agreement\"")
                    && line.contains(&format!("scope=\"{scope}\""))
            };
            let counts = text.lines().filter(is_agreement_traffic);
            counts
                .map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap())
                .sum()
        };
        let before = (bytes("region"), bytes("cross_region"));
        mesh.controls[0].submit(&manifest(1)).unwrap();
        let after = (bytes("region"), bytes("cross_region"));
        assert_eq!(
            (after.0 > before.0, after.1 > before.1),
            (!crosses_regions, crosses_regions),
            "{before:?} {after:?}"
        );
    }
}

/// Guards against metrics for operators that are missing or do not change.
#[test]
fn metrics_follow_submissions_and_children() {
    let mesh = start(builder());
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let instance = &mesh.controls[leader];
    instance.submit(&manifest(1)).unwrap();
    let mut child = RawChild::connect_with_hello(instance.flags.listen, "child");
    child.expect_welcome();
    child.confirm_snapshot();
    instance.submit(&manifest(2)).unwrap();
    instance.submit(&manifest(1)).unwrap();
    child.confirm_delta();
    let expected = [
        "kumquatlock_config_version 3",
        "kumquatlock_commit_index 3",
        "kumquatlock_is_leader 1",
        "kumquatlock_children 1",
        "kumquatlock_submissions_total{outcome=\"accepted\"} 3",
        "kumquatlock_snapshots_sent_total 1",
        "kumquatlock_deltas_sent_total 1",
    ];
    kumquatlock_testkit::process::wait_for("metrics", crate::group::WAIT_TIMEOUT, || {
        let text = instance.caller().get("/metrics").unwrap().text();
        let missing = expected
            .iter()
            .find(|line| !text.lines().any(|other| other == **line));
        missing.map_or(Ok(text.clone()), |line| Err(format!("{line} in {text}")))
    })
    .map(|text| {
        for kind in ["agreement", "attach", "snapshot", "delta", "progress"] {
            let sum: u64 = text
                .lines()
                .filter(|line| line.starts_with("kumquatlock_control_bytes_total"))
                .filter(|line| line.contains(&format!("kind=\"{kind}\"")))
                .map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap())
                .sum();
            assert!(sum > 0, "{kind}: {text}");
        }
        assert!(text.contains("kumquatlock_journal_sync_seconds_bucket"));
        assert!(text.contains("kumquatlock_term "));
    })
    .unwrap();
}
