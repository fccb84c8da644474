//! Tests of the configuration stream over a simulated network.

mod harness;
mod hostile;
mod leases;
mod measure;
mod pacing;
mod parents;
mod run_ends;

use std::hash::BuildHasher;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::agreement::{ConfirmReply, ConfirmRequest, Forward};
use kumquatlock_wire::distribution::{
    Applied, CatalogChange, CatalogCommand, ChildRole, Hello, Progress, SnapshotChunk, WireState,
    catalog_change, catalog_command::Kind,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::assembly::{AssemblyProgress, UpdateAssembly};
use super::*;
use crate::core::{ConfigVersion, GroupId, Timestamp};
use harness::*;

/// Guards against changes to the message sequence of a normal session: attach, first
/// configuration, changes committed while an update is outstanding, shutdown of the parent.
#[test]
fn a_session_follows_the_recorded_message_sequence() {
    let mut harness = StreamHarness::new(1, vec![catalog_of(3)], 1);
    harness.run(200);
    harness.handle_child_event(0, ChildEvent::Report(report("a-9", WireState::Serving)));
    harness.commit(0, &serving("a-9"));
    harness.commit(0, &serving("a-10"));
    harness.commit(0, &manifest(2));
    harness.run(500);
    harness.handle_parent_event(0, ParentEvent::Shutdown);
    harness.run(50);
    insta::assert_snapshot!("session", harness.transcript);
}

/// Guards against a restarted node that applies an older configuration than before its restart,
/// because only a stale parent is reachable.
#[test]
fn a_stale_parent_cannot_give_a_restarted_node_its_first_configuration() {
    let mut harness = StreamHarness::new(2, vec![catalog_of(20), catalog_of(10)], 1);
    harness.run(300);
    assert_eq!(harness.applied_version(0), 21);
    harness.restart(0);
    harness.sources[1].proof = ProofMode::Unreachable;
    let ports = [1];
    harness.proxies[0].state = child_state(0, &ports);
    harness.run(10_000);
    assert_eq!(
        harness.applied_version(0),
        0,
        "applied the configuration of a stale parent"
    );
    assert!(harness.transcript.contains("retry after, NotCurrent"));
}

/// Guards against a node that counts as current as long as its parent answers pings, although the
/// parent can't reach a quorum.
#[test]
fn the_proof_of_an_attached_child_ages_while_its_parent_has_no_quorum() {
    let mut harness = StreamHarness::new(13, vec![catalog_of(3)], 1);
    let age = |harness: &StreamHarness| {
        let proved_at = harness.proxies[0].state.proved_at().unwrap();
        harness.now.since(proved_at)
    };
    harness.run(500);
    assert!(age(&harness) <= Duration::from_millis(500));
    for _ in 0..12 {
        harness.run(5_000);
        assert!(age(&harness) <= Duration::from_secs(15));
    }
    harness.sources[0].proof = ProofMode::Unreachable;
    harness.run(60_000);
    assert!(harness.proxies[0].state.is_attached());
    assert!(age(&harness) >= Duration::from_secs(60));
}

/// Guards against a child whose first configuration is below the floor of an earlier `Welcome`,
/// because it comes from a parent that wrongly considers itself current.
#[test]
fn the_floor_of_a_welcome_also_applies_at_later_parents() {
    let mut harness = StreamHarness::new(3, vec![catalog_of(20), catalog_of(10)], 1);
    harness.delivery = Box::new(|body| match body {
        Body::Snapshot(chunk) if chunk.version == 21 => Delivery::Drop,
        _ => Delivery::Deliver,
    });
    harness.run(300);
    assert!(harness.proxies[0].state.is_attached());
    harness.proxies[0].link = None;
    harness.sources[0].proof = ProofMode::Unreachable;
    harness.sources[1].proof = ProofMode::OwnIndex;
    harness.run(30_000);
    assert_eq!(
        harness.applied_version(0),
        0,
        "a version below the floor was applied"
    );
    let floor = ConfigVersion(21);
    let refusal = UpdateRefusal::BelowFloor { floor };
    assert!(harness.proxies[0].refusals.contains(&refusal));
}

/// Guards against an update that is lost, truncated or modified in transit and leaves a child with
/// a partially applied version.
#[test]
fn a_damaged_update_is_rejected_whole_and_repaired_by_a_snapshot() {
    let mut harness = StreamHarness::new(4, vec![catalog_of(3)], 1);
    harness.run(200);
    type Damage = fn(&mut Body);
    let damages: [Damage; 3] = [
        |body| {
            if let Body::Delta(delta) = body {
                delta.changes.pop();
            }
        },
        |body| {
            if let Body::Delta(delta) = body {
                let kind = Some(catalog_change::Kind::RemoveService("a".into()));
                delta.changes.push(CatalogChange { kind });
            }
        },
        |body| {
            if let Body::Delta(delta) = body {
                delta.base -= 1;
            }
        },
    ];
    for (round, damage) in damages.into_iter().enumerate() {
        let before = harness.proxies[0].state.applied_config().unwrap().clone();
        harness.proxies[0].refusals.clear();
        harness.alter_message = Box::new(damage);
        harness.delivery = Box::new(|body| match body {
            Body::Snapshot(_) => Delivery::Drop,
            _ => Delivery::Deliver,
        });
        harness.commit(0, &manifest(round as u64 + 2));
        harness.run(50);
        assert_eq!(harness.proxies[0].refusals.len(), 1);
        assert_eq!(
            harness.proxies[0].state.applied_config(),
            Some(&before),
            "an invalid update was partially applied"
        );
        harness.delivery = Box::new(|_| Delivery::Deliver);
        harness.run(20_000);
        assert!(harness.is_converged());
    }
}

/// Guards against an accepted version that every child rejects: no child may apply it, and it must
/// not be sent over and over.
#[test]
fn an_invalid_version_is_rejected_once_by_every_child() {
    let mut harness = StreamHarness::new(5, vec![catalog_of(3)], 2);
    harness.run(200);
    let good = harness.applied_version(0);
    harness.alter_message = Box::new(|body| match body {
        Body::Delta(delta) => delta.digest += 1,
        Body::Snapshot(chunk) => chunk.digest += 1,
        _ => {}
    });
    harness.commit(0, &manifest(2));
    harness.run(30_000);
    for child in 0..2 {
        assert_eq!(harness.applied_version(child), good);
        assert_eq!(
            harness.proxies[child].refusals.len(),
            2,
            "expected a rejected delta and a rejected snapshot"
        );
    }
    harness.alter_message = Box::new(|_| {});
    harness.commit(0, &manifest(3));
    harness.run(100);
    assert!(harness.is_converged());
}

/// Guards against a snapshot that is assembled although a chunk was lost or duplicated.
#[test]
fn a_snapshot_is_assembled_only_from_complete_ordered_chunks() {
    let chunk = |offset: usize, data: &'static [u8]| SnapshotChunk {
        version: 1,
        offset: offset as u64,
        total_bytes: 6,
        digest: 9,
        data: data.into(),
        ..SnapshotChunk::default()
    };
    // Protobuf fields 1 and 2, and an unknown field 15.
    let bytes: &'static [u8] = &[8, 1, 16, 1, 0x78, 1];
    let mut slot = None;
    let mut accept = |chunk| UpdateAssembly::accept(&mut slot, &chunk);
    assert!(accept(chunk(0, &bytes[..2])).is_ok());
    assert!(accept(chunk(0, &bytes[..2])).is_ok(), "duplicate chunk");
    let gap = ChunkError::Gap {
        offset: 4,
        received: 2,
    };
    assert_eq!(accept(chunk(4, &bytes[4..])).unwrap_err(), gap);
    assert!(accept(chunk(0, &bytes[..2])).is_ok());
    let complete = accept(chunk(2, &bytes[2..])).unwrap();
    assert!(matches!(complete, AssemblyProgress::State(_, 9)));
    assert_eq!(
        accept(chunk(0, &[0; 7])).unwrap_err(),
        ChunkError::Oversized
    );
    assert_eq!(
        accept(chunk(0, &[0xff; 6])).unwrap_err(),
        ChunkError::Malformed
    );
}

/// Guards against a child that receives each missed change separately, or a delta that is larger
/// than a snapshot.
#[test]
fn missed_changes_are_sent_as_one_update() {
    for (upstreams, expected) in [(2_000, "delta"), (3, "snapshot")] {
        let mut harness = StreamHarness::new(6, vec![catalog_of(upstreams)], 1);
        harness.run(200);
        harness.disconnect(0);
        for number in 0..300 {
            harness.commit(0, &serving(&format!("a-new-{}", number % 250)));
            harness.commit(0, &manifest(number + 2));
        }
        let sent = harness.transcript.len();
        harness.bytes = 0;
        harness.run(20_000);
        assert!(harness.is_converged());
        let since = &harness.transcript[sent..];
        let updates =
            since.matches("children: delta").count() + since.matches("children: snapshot").count();
        assert_eq!(updates, 1, "{since}");
        assert!(since.contains(&format!("children: {expected}")));
        println!(
            "600 missed changes, {upstreams} upstreams: one {expected}, {} bytes",
            harness.bytes
        );
    }
}

/// Guards against a floor from a proof that began before the child's `Hello`, and against a
/// separate proof for each child.
#[test]
fn proofs_are_batched_and_begin_after_the_hello() {
    let mut random = SmallRng::seed_from_u64(7);
    let catalog = catalog_of(3);
    let mut parent = ParentState::new("voter".into(), GROUP, 1);
    let now = Timestamp::from_millis(1_000);
    let mut handle = |event| parent.handle(now, event, &catalog, &mut random);
    let hello = |number: u64| {
        let name = format!("node-{number}");
        let hello = Hello {
            name,
            ..Hello::default()
        };
        let child = ChildId(number);
        ParentEvent::Received {
            child,
            body: Body::Hello(hello),
        }
    };
    let welcomed = |steps: &[ParentStep]| -> Vec<ChildId> {
        let welcome = |step: &ParentStep| match step {
            ParentStep::Send {
                children,
                body: Body::Welcome(_),
            } => children.clone(),
            _ => Vec::new(),
        };
        steps.iter().flat_map(welcome).collect()
    };
    assert_eq!(handle(hello(1)), [ParentStep::RequestProof { round: 1 }]);
    assert_eq!(handle(hello(2)), []);
    assert_eq!(handle(hello(3)), []);
    let steps = handle(ParentEvent::ProofResult {
        round: 1,
        index: Some(4),
    });
    assert_eq!(welcomed(&steps), [ChildId(1)]);
    assert_eq!(steps.last(), Some(&ParentStep::RequestProof { round: 2 }));
    assert_eq!(
        handle(ParentEvent::ProofResult {
            round: 1,
            index: Some(4)
        }),
        []
    );
    // The catalog has not reached the index that round 2 proved.
    assert_eq!(
        handle(ParentEvent::ProofResult {
            round: 2,
            index: Some(5)
        }),
        []
    );
    let mut later = catalog_of(3);
    later.skip_entry(5);
    let steps = parent.handle(now, ParentEvent::CatalogAdvanced, &later, &mut random);
    assert_eq!(welcomed(&steps), [ChildId(2), ChildId(3)]);
}

/// Guards against a replica that can't obtain proofs for its children, and against progress that
/// omits the nodes below a replica or counts them before they have applied the version.
#[test]
fn a_replica_obtains_proofs_and_its_subtree_is_counted() {
    let mut random = SmallRng::seed_from_u64(12);
    let catalog = catalog_of(3);
    let mut parent = ParentState::new("voter".into(), GROUP, 1);
    let replica = ChildId(1);
    let mut handle = |millis: u64, event| {
        parent.handle(Timestamp::from_millis(millis), event, &catalog, &mut random)
    };
    let mut receive = |millis: u64, body| {
        let child = replica;
        handle(millis, ParentEvent::Received { child, body })
    };
    let hello = Hello {
        name: "replica-1".into(),
        role: ChildRole::Replica as i32,
        applied_version: 4,
        ..Hello::default()
    };
    let content = |content| Forward {
        request_id: 5,
        content: Some(content),
    };
    let ask = Body::Forward(content(Content::ConfirmRequest(ConfirmRequest {})));
    receive(0, Body::Hello(hello));
    assert_eq!(receive(0, ask), [], "waits for the next proof round");
    let progress = |current_version, current_nodes| Progress {
        reporter: "replica-1".into(),
        nodes: 10,
        lowest_applied: 3,
        current_version,
        current_nodes,
    };
    receive(0, Body::Progress(progress(3, 10)));
    let proved = |round| ParentEvent::ProofResult {
        round,
        index: Some(4),
    };
    let steps = handle(10, proved(1));
    assert_eq!(steps.last(), Some(&ParentStep::RequestProof { round: 2 }));
    let reply = Body::Forward(content(Content::ConfirmReply(ConfirmReply {
        index: Some(4),
    })));
    let children = vec![replica];
    assert_eq!(
        handle(20, proved(2)),
        [ParentStep::Send {
            children,
            body: reply
        }]
    );

    let count = |steps: &[ParentStep]| {
        let mut table = ProgressTable::default();
        for step in steps {
            if let ParentStep::ForwardToLeader(Body::Progress(progress)) = step {
                table.record(Timestamp::default(), progress.clone());
            }
        }
        let count = table.count(Timestamp::default(), ConfigVersion(4));
        (count.attached, count.applied, count.is_in_force())
    };
    assert_eq!(count(&handle(500, ParentEvent::Tick)), (10, 0, false));
    let body = Body::Progress(progress(4, 9));
    let child = replica;
    handle(600, ParentEvent::Received { child, body });
    assert_eq!(
        handle(900, ParentEvent::Tick),
        [],
        "reported progress before 500 ms had passed"
    );
    assert_eq!(count(&handle(1_000, ParentEvent::Tick)), (10, 9, false));
    assert_eq!(
        handle(1_600, ParentEvent::Tick),
        [],
        "reported progress without a change"
    );
}

/// Guards against a parent that merges and encodes a delta separately for each child, even if the
/// children need it at different times, and against reuse of a delta to an outdated version.
#[test]
fn children_at_one_version_share_one_encoded_delta() {
    let (mut parent, mut catalog, mut random) = measure::parent_of(594);
    let now = Timestamp::from_millis(1_000);
    for round in 0..3 {
        catalog.apply(catalog.applied_index() + 1, &manifest(round + 2));
        let event = ParentEvent::CatalogAdvanced;
        let steps = parent.handle(now, event, &catalog, &mut random);
        let [ParentStep::SendDelta { children, .. }] = &steps[..] else {
            panic!("{steps:?}");
        };
        assert_eq!(children.len(), 594);
        let version = catalog.version().0;
        catalog.apply(
            catalog.applied_index() + 1,
            &serving(&format!("a-{round}-x")),
        );
        let mut frames = Vec::new();
        for &child in children {
            let body = Body::Applied(Applied { version });
            let event = ParentEvent::Received { child, body };
            for step in parent.handle(now, event, &catalog, &mut random) {
                if let ParentStep::SendDelta { frame, .. } = step {
                    frames.push(frame);
                }
            }
        }
        assert_eq!(frames.len(), 594);
        let Body::Delta(delta) = decode(&frames[0]) else {
            panic!("not a delta");
        };
        assert_eq!((delta.base, delta.version), (version, catalog.version().0));
        let first = frames[0].bytes().as_ptr();
        assert!(frames.iter().all(|frame| frame.bytes().as_ptr() == first));
        measure::acknowledge_all(&mut parent, &catalog, &mut random);
    }
}

/// Guards against an admission order in which children with a configuration delay children without
/// one, which can't route.
#[test]
fn children_without_a_configuration_are_admitted_first() {
    let mut random = SmallRng::seed_from_u64(13);
    let limits = AdmissionLimits {
        hello_rate: 200,
        hello_burst: 20,
        ..AdmissionLimits::default()
    };
    let mut admission = super::admission::HelloAdmission::new(limits);
    let now = Timestamp::from_millis(60_000);
    let mut admitted = |holds_config, count: usize| {
        let admit = |_| admission.admit(now, holds_config, &mut random);
        (0..count)
            .map(admit)
            .filter_map(Result::err)
            .collect::<Vec<_>>()
    };
    let configured = admitted(true, 100);
    let unconfigured = admitted(false, 100);
    let later = admitted(true, 1);
    assert_eq!(
        (configured.len(), unconfigured.len()),
        (90, 90),
        "half of the burst is reserved for children without a configuration"
    );
    // At 200 per second, 90 children take 450 ms. A child that holds a configuration comes last.
    assert!(
        unconfigured
            .iter()
            .all(|delay| *delay <= Duration::from_millis(500))
    );
    assert!(later[0] >= Duration::from_millis(450));
    assert!(configured.iter().max() >= Some(&Duration::from_millis(450)));
}

/// Guards against a parent of another mesh that replaces the configuration.
#[test]
fn a_parent_of_another_group_is_rejected() {
    let mut harness = StreamHarness::new(10, vec![catalog_of(3), catalog_of(9)], 1);
    harness.sources[1].state.set_group(GroupId(8));
    harness.run(300);
    let applied = harness.applied_version(0);
    harness.sources[0].proof = ProofMode::Unreachable;
    harness.disconnect(0);
    harness.proxies[0].state.handle(
        harness.now,
        ChildEvent::Disconnected { link: LinkId(1) },
        &mut harness.random,
    );
    harness.run(60_000);
    assert_eq!(harness.applied_version(0), applied);
    assert!(harness.transcript.contains("retry after, WrongGroup"));
    // Simulates a parent of another group that does not check the child's group.
    harness.alter_message = Box::new(|body| {
        if let Body::Welcome(welcome) = body {
            welcome.group_id = 8;
        }
    });
    harness.sources[0].proof = ProofMode::Quorum;
    harness.commit(0, &manifest(2));
    harness.run(60_000);
    assert_eq!(harness.applied_version(0), applied);
}

/// Guards against a simultaneous restart of all nodes that exhausts the parent's memory or from
/// which the nodes never recover. Prints the recovery time and the peak of queued bytes with and
/// without admission control.
#[test]
fn a_reconnect_storm_is_admitted_in_bounded_memory() {
    const CHILDREN: usize = 594;
    let run = |limits: AdmissionLimits| {
        let mut harness = StreamHarness::new(11, vec![catalog_of(1_000)], CHILDREN);
        harness.sources[0].state = ParentState::with_limits("voter".into(), GROUP, 1, limits);
        // 20 MB/s.
        harness.bandwidth = 200_000;
        while !harness.is_converged() && harness.now < Timestamp::from_millis(60_000) {
            harness.run(100);
        }
        assert!(harness.is_converged());
        (harness.now.0 / 1_000, harness.peak_bytes, harness.bytes)
    };
    let unlimited = AdmissionLimits {
        hello_rate: 1_000_000,
        hello_burst: 100_000,
        transfers: CHILDREN,
        queue: CHILDREN,
    };
    let (unlimited_ms, unlimited_peak, unlimited_bytes) = run(unlimited);
    let (ms, peak, bytes) = run(AdmissionLimits::default());
    println!(
        "{CHILDREN} children: {ms} ms, peak {peak} bytes of {bytes} with admission; \
         {unlimited_ms} ms, peak {unlimited_peak} bytes of {unlimited_bytes} without"
    );
    assert!(
        peak * 4 < unlimited_peak,
        "{peak} against {unlimited_peak} bytes"
    );
    assert!(ms < 15_000, "{ms} ms");
}

/// Guards against combinations of lost, duplicated and reordered messages, restarts and broken
/// connections that revert a child to an older version or give it a state that no version had. The
/// harness checks this whenever a child applies a configuration. `KUMQUATLOCK_TEST_SEED` repeats a
/// run.
#[test]
fn no_fault_schedule_reverts_a_child() {
    let seed = std::env::var("KUMQUATLOCK_TEST_SEED").ok();
    let seed = seed
        .and_then(|seed| seed.parse().ok())
        .unwrap_or_else(|| std::hash::RandomState::new().hash_one(0));
    println!("KUMQUATLOCK_TEST_SEED={seed}");
    let config = proptest::test_runner::Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        ..Default::default()
    };
    let operations = proptest::collection::vec((0..8u8, 0..4usize), 1..60);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let result = runner.run(
        &(operations, proptest::num::u64::ANY),
        |(operations, seed)| {
            run_schedule(&operations, seed);
            Ok(())
        },
    );
    result.unwrap_or_else(|error| panic!("KUMQUATLOCK_TEST_SEED={seed}: {error}"));
}

fn run_schedule(operations: &[(u8, usize)], seed: u64) {
    let mut harness = StreamHarness::new(seed, vec![catalog_of(4), catalog_of(4)], 4);
    let mut log = Vec::new();
    let mut copied = 0;
    let mut deliveries = SmallRng::seed_from_u64(seed);
    harness.delivery = Box::new(move |_| match deliveries.random_range(0..10) {
        0 => Delivery::Drop,
        1 => Delivery::Duplicate,
        2 => Delivery::Delay,
        _ => Delivery::Deliver,
    });
    for &(operation, child) in operations {
        match operation {
            0 | 1 => {
                let number = log.len() as u64;
                let state = if operation == 0 {
                    WireState::Serving
                } else {
                    WireState::Left
                };
                let kind = Some(Kind::Report(report(&format!("a-{child}"), state)));
                log.push(match child {
                    3 => manifest(number + 2),
                    _ => CatalogCommand { kind },
                });
                harness.commit(0, log.last().unwrap());
            }
            // Parent 1 receives new entries only by this operation, so it lags behind parent 0.
            2 => {
                while copied < log.len() {
                    harness.commit(1, &log[copied]);
                    copied += 1;
                }
            }
            3 => harness.restart(child),
            4 => harness.disconnect(child),
            _ => harness.run(200 << child),
        }
    }
    harness.delivery = Box::new(|_| Delivery::Deliver);
    while copied < log.len() {
        harness.commit(1, &log[copied]);
        copied += 1;
    }
    harness.run(60_000);
    assert!(harness.is_converged(), "{}", harness.transcript);
}
