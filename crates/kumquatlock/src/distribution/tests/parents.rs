//! Tests of the choice among several parents.

use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::{Applied, Hello};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::super::*;
use super::bench::*;
use crate::core::Timestamp;

/// Guards against a node that stays with a parent that went silent or that shuts down.
#[test]
fn a_silent_or_leaving_parent_is_left_for_another() {
    let mut bench = Bench::new(8, vec![catalog_of(3), catalog_of(3)], 5);
    bench.run(500);
    assert_eq!(bench.sources[0].parent.child_count(), 5);
    let started = bench.now;
    bench.parent(0, ParentEvent::Shutdown);
    while bench.sources[1].parent.child_count() < 5 {
        bench.run(10);
    }
    println!(
        "5 children moved {} ms after the shutdown",
        bench.now.since(started).as_millis()
    );
    assert!(bench.now.since(started) < Duration::from_secs(1));

    let mut bench = Bench::new(9, vec![catalog_of(3), catalog_of(3)], 1);
    bench.run(500);
    bench.fate = Box::new(|_| Fate::Lose);
    bench.run(6_000);
    bench.fate = Box::new(|_| Fate::Deliver);
    bench.run(10_000);
    assert!(bench.proxies[0].state.is_attached());
    assert!(bench.transcript.contains("node-0  close"));
}

/// Guards against children that, after the loss of their parent, overrun the next one or are
/// refused there for ever. They hold a configuration, so they transfer no snapshot.
#[test]
fn children_of_a_lost_parent_move_to_the_next() {
    const CHILDREN: usize = 594;
    let catalogs = vec![catalog_of(10), catalog_of(10)];
    let mut bench = Bench::new(14, catalogs, CHILDREN);
    // Until the first parent is lost, the second accepts no child.
    bench.sources[1].proof = Proof::Unreachable;
    bench.run(20_000);
    assert_eq!(bench.sources[0].parent.child_count(), CHILDREN);
    bench.sources[1].proof = Proof::Quorum;
    bench.bytes = 0;
    let started = bench.now;
    bench.parent(0, ParentEvent::Shutdown);
    while bench.sources[1].parent.child_count() < CHILDREN {
        bench.run(100);
        assert!(bench.now.since(started) < Duration::from_secs(15));
    }
    let (elapsed, bytes) = (bench.now.since(started).as_millis(), bench.bytes);
    println!("{CHILDREN} children moved in {elapsed} ms, {bytes} bytes sent");
    assert!(bytes < 200 * CHILDREN, "{bytes} bytes");
}

/// Guards against a region that stays attached to another region's parents, and pays for it, after
/// its own parent is back; against all children that return at once; and against a return that
/// counts a child twice or moves its configuration back.
#[test]
fn children_return_to_the_preferred_parent_one_after_another() {
    const CHILDREN: usize = 594;
    let catalogs = vec![catalog_of(10), catalog_of(10)];
    let mut bench = Bench::new(15, catalogs, CHILDREN);
    bench.sources[1].proof = Proof::Unreachable;
    bench.run(20_000);
    assert_eq!(bench.sources[0].parent.child_count(), CHILDREN);
    bench.sources[1].proof = Proof::Quorum;
    bench.set_up(0, false);
    bench.run(30_000);
    assert_eq!(bench.sources[1].parent.child_count(), CHILDREN);
    // The second parent goes on; the first comes back with an older catalog that catches up.
    for number in 0..2 {
        let source = usize::from(number == 0);
        bench.commit(source, &manifest(2));
    }
    bench.run(1_000);
    assert!(bench.is_converged());
    bench.set_up(0, true);
    let started = bench.now;
    let (mut before, mut peak) = (0, 0);
    while before < CHILDREN {
        bench.run(1_000);
        let counts = [0, 1].map(|source| bench.sources[source].parent.child_count());
        assert!(counts.iter().sum::<usize>() <= CHILDREN, "{counts:?}");
        peak = peak.max(counts[0].saturating_sub(before));
        before = counts[0];
        assert!(bench.now.since(started) < Duration::from_secs(120));
    }
    let elapsed = bench.now.since(started).as_millis();
    println!("{CHILDREN} children returned in {elapsed} ms, at most {peak} in a second");
    assert!(peak < CHILDREN / 4, "{peak} in a second");
    bench.commit(0, &manifest(3));
    bench.run(100);
    assert!(bench.is_converged());
}

/// Guards against children that a parent refused under a storm and that stay elsewhere for ever.
#[test]
fn refused_children_return_after_the_storm() {
    let mut bench = Bench::new(16, vec![catalog_of(10), catalog_of(10)], 594);
    bench.run(20_000);
    let refused = bench.transcript.matches("retry after, Busy").count();
    assert!(refused > 100, "{refused} refused");
    bench.run(100_000);
    assert_eq!(bench.sources[0].parent.child_count(), 594);
    assert!(bench.is_converged());
}

/// Guards against a child that leaves its parent for one that answers probes but cannot prove
/// currency, again and again.
#[test]
fn a_stale_preferred_parent_is_tried_ever_less_often() {
    let mut bench = Bench::new(17, vec![catalog_of(10), catalog_of(10)], 1);
    bench.sources[0].proof = Proof::Unreachable;
    bench.run(600_000);
    let tries = bench.transcript.matches("retry after, NotCurrent").count();
    assert!((5..=25).contains(&tries), "{tries} in 10 minutes");
    assert_eq!(bench.sources[1].parent.child_count(), 1);
    bench.sources[0].proof = Proof::Quorum;
    bench.run(100_000);
    assert_eq!(bench.sources[0].parent.child_count(), 1);
}

/// Guards against a child with the parent's version and another content that counts as current, or
/// that first gets a delta which cannot fit.
#[test]
fn a_child_with_another_content_is_repaired_by_the_next_version() {
    for wrong in [0, 1] {
        let mut random = SmallRng::seed_from_u64(18);
        let mut catalog = catalog_of(100);
        let mut parent = ParentState::new("voter".into(), GROUP, 1);
        let (now, child) = (Timestamp::from_millis(1_000), ChildId(1));
        let hello = Hello {
            name: "node-1".into(),
            applied_version: catalog.version().0,
            applied_digest: catalog.digest() ^ wrong,
            ..Hello::default()
        };
        let body = Body::Hello(hello);
        let event = ParentEvent::Received { child, body };
        parent.handle(now, event, &catalog, &mut random);
        let (round, index) = (1, Some(catalog.applied_index()));
        let event = ParentEvent::ProofResult { round, index };
        let steps = parent.handle(now, event, &catalog, &mut random);
        assert_eq!(steps.len(), 1, "only the welcome: {steps:?}");
        let current = parent.progress(&catalog).current_nodes;
        assert_eq!(current, u64::from(wrong == 0));
        catalog.apply(catalog.applied_index() + 1, &manifest(2));
        let event = ParentEvent::CatalogAdvanced;
        let steps = parent.handle(now, event, &catalog, &mut random);
        match &steps[..] {
            [ParentStep::SendDelta { .. }] => assert_eq!(wrong, 0),
            [
                ParentStep::Send {
                    body: Body::Snapshot(chunk),
                    ..
                },
            ] => assert_eq!((wrong, chunk.version), (1, catalog.version().0)),
            other => panic!("{other:?}"),
        }
        let version = catalog.version().0;
        let body = Body::Applied(Applied { version });
        let event = ParentEvent::Received { child, body };
        parent.handle(now, event, &catalog, &mut random);
        assert_eq!(parent.progress(&catalog).current_nodes, 1);
    }
}

/// Guards against children that stay with a parent on the smaller side of a split: it still answers
/// them, but what it has is no longer the accepted configuration.
#[test]
fn children_leave_a_parent_that_does_not_hear_the_leader() {
    let mut bench = Bench::new(21, vec![catalog_of(3), catalog_of(3)], 5);
    bench.run(500);
    assert_eq!(bench.sources[0].parent.child_count(), 5);
    bench.parent(0, ParentEvent::LeaderSilent(true));
    bench.run(1_500);
    assert_eq!(bench.sources[0].parent.child_count(), 0);
    assert_eq!(bench.sources[1].parent.child_count(), 5);
    bench.parent(1, ParentEvent::LeaderSilent(true));
    bench.run(3_000);
    assert_eq!(bench.sources[1].parent.child_count(), 0);
    bench.parent(0, ParentEvent::LeaderSilent(false));
    bench.run(6_000);
    assert_eq!(bench.sources[0].parent.child_count(), 5);
}

/// Guards against a child whose parents are all gone and that does not take the ones of changed
/// settings.
#[test]
fn a_child_finds_a_parent_of_changed_settings() {
    let mut bench = Bench::new(22, vec![catalog_of(3), catalog_of(3)], 1);
    bench.proxies[0].state = child_state(0, &[0]);
    bench.parent(0, ParentEvent::LeaderSilent(true));
    bench.run(3_000);
    assert!(!bench.proxies[0].state.is_attached());
    let address = ([127, 0, 0, 1], 1).into();
    assert_eq!(bench.proxies[0].state.add_parents(&[address]), 1);
    assert_eq!(bench.proxies[0].state.add_parents(&[address]), 0);
    bench.run(12_000);
    assert!(bench.proxies[0].state.is_attached());
}
