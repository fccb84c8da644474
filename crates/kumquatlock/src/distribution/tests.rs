//! Tests of the configuration stream, with parents and children joined by a fake network.

mod bench;
mod measure;
mod parents;

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

use super::assembly::{AssemblyProgress, SnapshotAssembly};
use super::*;
use crate::core::{ConfigVersion, GroupId, Timestamp};
use bench::*;

/// Guards against any change in the order of a normal session: attach, first configuration,
/// changes that commit while an update is on its way, loss of the parent.
#[test]
fn session() {
    let mut bench = Bench::new(1, vec![catalog_of(3)], 1);
    bench.run(200);
    bench.child(0, ChildEvent::Report(report("a-9", WireState::Serving)));
    bench.commit(0, &serving("a-9"));
    bench.commit(0, &serving("a-10"));
    bench.commit(0, &manifest(2));
    bench.run(500);
    bench.parent(0, ParentEvent::Shutdown);
    bench.run(50);
    insta::assert_snapshot!("session", bench.transcript);
}

/// Guards against a restarted node that starts from an older configuration than it had, when
/// only a stale parent is reachable.
#[test]
fn a_stale_parent_cannot_give_a_restarted_node_its_first_configuration() {
    let mut bench = Bench::new(2, vec![catalog_of(20), catalog_of(10)], 1);
    bench.run(300);
    assert_eq!(bench.held(0), 21);
    bench.restart(0);
    bench.sources[1].proof = Proof::Unreachable;
    let ports = [1];
    bench.proxies[0].state = child_state(0, &ports);
    bench.run(10_000);
    assert_eq!(bench.held(0), 0, "the stale parent was believed");
    assert!(bench.transcript.contains("retry after, NotCurrent"));
}

/// Guards against a node that counts as current for as long as its parent answers pings, although
/// the parent is cut off.
#[test]
fn the_proof_of_an_attached_child_ages_when_its_parent_is_cut_off() {
    let mut bench = Bench::new(13, vec![catalog_of(3)], 1);
    let age = |bench: &Bench| {
        let proved_at = bench.proxies[0].state.proved_at().unwrap();
        bench.now.since(proved_at)
    };
    bench.run(500);
    assert!(age(&bench) <= Duration::from_millis(500));
    for _ in 0..12 {
        bench.run(5_000);
        assert!(age(&bench) <= Duration::from_secs(15));
    }
    bench.sources[0].proof = Proof::Unreachable;
    bench.run(60_000);
    assert!(bench.proxies[0].state.is_attached());
    assert!(age(&bench) >= Duration::from_secs(60));
}

/// Guards against a child that takes a first configuration below the floor of an earlier
/// welcome, even from a parent that wrongly believes itself current.
#[test]
fn the_floor_of_an_earlier_welcome_holds_at_the_next_parent() {
    let mut bench = Bench::new(3, vec![catalog_of(20), catalog_of(10)], 1);
    bench.fate = Box::new(|body| match body {
        Body::Snapshot(chunk) if chunk.version == 21 => Fate::Lose,
        _ => Fate::Deliver,
    });
    bench.run(300);
    assert!(bench.proxies[0].state.is_attached());
    bench.proxies[0].link = None;
    bench.sources[0].proof = Proof::Unreachable;
    bench.sources[1].proof = Proof::Itself;
    bench.run(30_000);
    assert_eq!(bench.held(0), 0, "a version below the floor was applied");
    let floor = ConfigVersion(21);
    let refusal = UpdateRefusal::BelowFloor { floor };
    assert!(bench.proxies[0].refusals.contains(&refusal));
}

/// Guards against updates that are lost, truncated or changed on the way and leave a proxy with
/// a part of a version.
#[test]
fn a_damaged_update_is_rejected_whole_and_repaired_by_a_snapshot() {
    let mut bench = Bench::new(4, vec![catalog_of(3)], 1);
    bench.run(200);
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
        let before = bench.proxies[0].state.held().unwrap().clone();
        bench.proxies[0].refusals.clear();
        bench.tamper = Box::new(damage);
        bench.fate = Box::new(|body| match body {
            Body::Snapshot(_) => Fate::Lose,
            _ => Fate::Deliver,
        });
        bench.commit(0, &manifest(round as u64 + 2));
        bench.run(50);
        assert_eq!(bench.proxies[0].refusals.len(), 1);
        assert_eq!(
            bench.proxies[0].state.held(),
            Some(&before),
            "applied in part"
        );
        bench.fate = Box::new(|_| Fate::Deliver);
        bench.run(20_000);
        assert!(bench.is_converged());
    }
}

/// Guards against a version that no proxy can use, yet was accepted: it must be applied nowhere,
/// and not be sent again and again.
#[test]
fn a_bad_version_is_applied_nowhere_until_a_better_one_comes() {
    let mut bench = Bench::new(5, vec![catalog_of(3)], 2);
    bench.run(200);
    let good = bench.held(0);
    bench.tamper = Box::new(|body| match body {
        Body::Delta(delta) => delta.digest += 1,
        Body::Snapshot(chunk) => chunk.digest += 1,
        _ => {}
    });
    bench.commit(0, &manifest(2));
    bench.run(30_000);
    for child in 0..2 {
        assert_eq!(bench.held(child), good);
        assert_eq!(
            bench.proxies[child].refusals.len(),
            2,
            "delta, then snapshot"
        );
    }
    bench.tamper = Box::new(|_| {});
    bench.commit(0, &manifest(3));
    bench.run(100);
    assert!(bench.is_converged());
}

/// Guards against a chunk that is lost or doubled inside a snapshot and goes unnoticed.
#[test]
fn chunks_make_a_snapshot_only_in_order_and_complete() {
    let chunk = |offset: usize, data: &'static [u8]| SnapshotChunk {
        version: 1,
        offset: offset as u64,
        total_bytes: 6,
        digest: 9,
        data: data.into(),
    };
    // Fields 1, 2 and an unknown field 15.
    let bytes: &'static [u8] = &[8, 1, 16, 1, 0x78, 1];
    let mut slot = None;
    let mut accept = |chunk| SnapshotAssembly::accept(&mut slot, &chunk);
    assert!(accept(chunk(0, &bytes[..2])).is_ok());
    assert!(accept(chunk(0, &bytes[..2])).is_ok(), "doubled");
    let gap = ChunkError::Gap {
        offset: 4,
        received: 2,
    };
    assert_eq!(accept(chunk(4, &bytes[4..])).unwrap_err(), gap);
    assert!(accept(chunk(0, &bytes[..2])).is_ok());
    let complete = accept(chunk(2, &bytes[2..])).unwrap();
    assert!(matches!(complete, AssemblyProgress::Complete(_, 9)));
    assert_eq!(
        accept(chunk(0, &[0; 7])).unwrap_err(),
        ChunkError::Oversized
    );
    assert_eq!(
        accept(chunk(0, &[0xff; 6])).unwrap_err(),
        ChunkError::Malformed
    );
}

/// Guards against a child that is sent every change that it missed, one by one, or a delta that
/// is larger than the whole state.
#[test]
fn hundreds_of_missed_changes_come_as_one_update() {
    for (upstreams, expected) in [(2_000, "delta"), (3, "snapshot")] {
        let mut bench = Bench::new(6, vec![catalog_of(upstreams)], 1);
        bench.run(200);
        bench.cut(0);
        for number in 0..300 {
            bench.commit(0, &serving(&format!("a-new-{}", number % 250)));
            bench.commit(0, &manifest(number + 2));
        }
        let sent = bench.transcript.len();
        bench.bytes = 0;
        bench.run(20_000);
        assert!(bench.is_converged());
        let since = &bench.transcript[sent..];
        let updates =
            since.matches("children: delta").count() + since.matches("children: snapshot").count();
        assert_eq!(updates, 1, "{since}");
        assert!(since.contains(&format!("children: {expected}")));
        println!(
            "600 missed changes, {upstreams} upstreams: one {expected}, {} bytes",
            bench.bytes
        );
    }
}

/// Guards against a floor from a proof that began before the child asked, and against one proof
/// per child.
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
    // The catalog has yet to reach the index that round 2 proved.
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

/// Guards against a replica whose children never get a proof, and against progress that leaves
/// out the nodes below a replica or counts them too early.
#[test]
fn a_replica_gets_proofs_and_its_subtree_counts() {
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
    assert_eq!(receive(0, ask), [], "waits for the next round");
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
        "not before 500 ms have passed"
    );
    assert_eq!(count(&handle(1_000, ParentEvent::Tick)), (10, 9, false));
    assert_eq!(handle(1_600, ParentEvent::Tick), [], "nothing changed");
}

/// Guards against a parent that merges and encodes a delta once per child, also when the children
/// ask for it one after another, and against a frame of an earlier version that is sent again.
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
        measure::confirm_all(&mut parent, &catalog, &mut random);
    }
}

/// Guards against children that still route and take the places of those that cannot.
#[test]
fn children_without_a_configuration_go_first() {
    let mut random = SmallRng::seed_from_u64(13);
    let mut admission = super::admission::HelloAdmission::new(AdmissionLimits::default());
    let now = Timestamp::from_millis(60_000);
    let mut admitted = |holds_config, count: usize| {
        let admit = |_| admission.admit(now, holds_config, &mut random);
        (0..count)
            .map(admit)
            .filter_map(Result::err)
            .collect::<Vec<_>>()
    };
    let warm = admitted(true, 100);
    let cold = admitted(false, 100);
    let later = admitted(true, 1);
    assert_eq!(
        (warm.len(), cold.len()),
        (90, 90),
        "half of the burst is reserved"
    );
    // 200 per second: 90 take 450 ms, and a child that holds a configuration comes after all.
    assert!(
        cold.iter()
            .all(|delay| *delay <= Duration::from_millis(500))
    );
    assert!(later[0] >= Duration::from_millis(450));
    assert!(warm.iter().max() >= Some(&Duration::from_millis(450)));
}

/// Guards against a source of another mesh that replaces the configuration.
#[test]
fn a_source_of_another_group_is_rejected() {
    let mut bench = Bench::new(10, vec![catalog_of(3), catalog_of(9)], 1);
    bench.sources[1].parent.set_group(GroupId(8));
    bench.run(300);
    let held = bench.held(0);
    bench.sources[0].proof = Proof::Unreachable;
    bench.cut(0);
    bench.proxies[0].state.handle(
        bench.now,
        ChildEvent::Disconnected { link: LinkId(1) },
        &mut bench.random,
    );
    bench.run(60_000);
    assert_eq!(bench.held(0), held);
    assert!(bench.transcript.contains("retry after, WrongGroup"));
    // A parent of another group that does not check for itself.
    bench.tamper = Box::new(|body| {
        if let Body::Welcome(welcome) = body {
            welcome.group_id = 8;
        }
    });
    bench.sources[0].proof = Proof::Quorum;
    bench.commit(0, &manifest(2));
    bench.run(60_000);
    assert_eq!(bench.held(0), held);
}

/// Guards against a restart of every node at once that takes the parent's memory or never ends.
/// Prints the time to recover and the peak of queued bytes with and without admission.
#[test]
fn a_reconnect_storm_is_admitted_in_bounded_memory() {
    const CHILDREN: usize = 594;
    let run = |limits: AdmissionLimits| {
        let mut bench = Bench::new(11, vec![catalog_of(1_000)], CHILDREN);
        bench.sources[0].parent = ParentState::with_limits("voter".into(), GROUP, 1, limits);
        // 20 MB/s.
        bench.bandwidth = 200_000;
        while !bench.is_converged() && bench.now < Timestamp::from_millis(60_000) {
            bench.run(100);
        }
        assert!(bench.is_converged());
        (bench.now.0 / 1_000, bench.peak_bytes, bench.bytes)
    };
    let open = AdmissionLimits {
        hello_rate: 1_000_000,
        hello_burst: 100_000,
        transfers: CHILDREN,
        queue: CHILDREN,
    };
    let (open_ms, open_peak, open_bytes) = run(open);
    let (ms, peak, bytes) = run(AdmissionLimits::default());
    println!(
        "{CHILDREN} children: {ms} ms, peak {peak} bytes of {bytes} with admission; \
         {open_ms} ms, peak {open_peak} bytes of {open_bytes} without"
    );
    assert!(peak * 4 < open_peak, "{peak} against {open_peak} bytes");
    assert!(ms < 15_000, "{ms} ms");
}

/// Guards against any mix of lost, doubled and reordered messages, restarts and broken
/// connections that moves a proxy back or gives it a state that no version had. The checks are
/// in the bench, at each swap. `KUMQUATLOCK_TEST_SEED` repeats a run.
#[test]
fn no_schedule_moves_a_proxy_back() {
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
    let mut bench = Bench::new(seed, vec![catalog_of(4), catalog_of(4)], 4);
    let mut log = Vec::new();
    let mut copied = 0;
    let mut fates = SmallRng::seed_from_u64(seed);
    bench.fate = Box::new(move |_| match fates.random_range(0..10) {
        0 => Fate::Lose,
        1 => Fate::Double,
        2 => Fate::Delay,
        _ => Fate::Deliver,
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
                bench.commit(0, log.last().unwrap());
            }
            // Source 1 is behind until then.
            2 => {
                while copied < log.len() {
                    bench.commit(1, &log[copied]);
                    copied += 1;
                }
            }
            3 => bench.restart(child),
            4 => bench.cut(child),
            _ => bench.run(200 << child),
        }
    }
    bench.fate = Box::new(|_| Fate::Deliver);
    while copied < log.len() {
        bench.commit(1, &log[copied]);
        copied += 1;
    }
    bench.run(60_000);
    assert!(bench.is_converged(), "{}", bench.transcript);
}
