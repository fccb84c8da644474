//! Tests of children that select among several parents.

use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::{Applied, Hello, ParentLocation};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::super::*;
use super::harness::*;
use crate::core::Timestamp;

/// Guards against a child that stays attached to a parent that is silent or shutting down.
#[test]
fn children_leave_a_silent_or_stopping_parent() {
    let mut harness = StreamHarness::new(8, vec![catalog_of(3), catalog_of(3)], 5);
    harness.run(500);
    assert_eq!(harness.sources[0].state.child_count(), 5);
    let started = harness.now;
    harness.handle_parent_event(0, ParentEvent::Shutdown);
    while harness.sources[1].state.child_count() < 5 {
        harness.run(10);
    }
    println!(
        "5 children moved {} ms after the shutdown",
        harness.now.since(started).as_millis()
    );
    assert!(harness.now.since(started) < Duration::from_secs(1));

    let mut harness = StreamHarness::new(9, vec![catalog_of(3), catalog_of(3)], 1);
    harness.run(500);
    harness.delivery = Box::new(|_| Delivery::Drop);
    harness.run(6_000);
    harness.delivery = Box::new(|_| Delivery::Deliver);
    harness.run(10_000);
    assert!(harness.proxies[0].state.is_attached());
    assert!(harness.transcript.contains("node-0  close"));
}

/// Guards against children that overload the next parent after their parent is lost, or that the
/// next parent refuses forever. The children hold a configuration, so no snapshot is sent.
#[test]
fn children_of_a_lost_parent_move_to_the_next() {
    const CHILDREN: usize = 594;
    let catalogs = vec![catalog_of(10), catalog_of(10)];
    let mut harness = StreamHarness::new(14, catalogs, CHILDREN);
    // The second parent refuses all children until the first one is lost.
    harness.sources[1].proof = ProofMode::Unreachable;
    harness.run(20_000);
    assert_eq!(harness.sources[0].state.child_count(), CHILDREN);
    harness.sources[1].proof = ProofMode::Quorum;
    harness.bytes = 0;
    let started = harness.now;
    harness.handle_parent_event(0, ParentEvent::Shutdown);
    while harness.sources[1].state.child_count() < CHILDREN {
        harness.run(100);
        assert!(harness.now.since(started) < Duration::from_secs(15));
    }
    let (elapsed, bytes) = (harness.now.since(started).as_millis(), harness.bytes);
    println!("{CHILDREN} children moved in {elapsed} ms, {bytes} bytes sent");
    assert!(bytes < 200 * CHILDREN, "{bytes} bytes");
}

/// Guards against children that stay attached to a paid link to another region after their own
/// parent has recovered, against children that all return at the same time, and against a failback
/// that counts a child twice or reverts its configuration to an older version.
#[test]
fn children_fail_back_to_the_preferred_parent_gradually() {
    const CHILDREN: usize = 594;
    let catalogs = vec![catalog_of(10), catalog_of(10)];
    let mut harness = StreamHarness::new(15, catalogs, CHILDREN);
    harness.sources[1].proof = ProofMode::Unreachable;
    harness.run(20_000);
    assert_eq!(harness.sources[0].state.child_count(), CHILDREN);
    harness.sources[1].proof = ProofMode::Quorum;
    harness.set_reachable(0, false);
    harness.run(30_000);
    assert_eq!(harness.sources[1].state.child_count(), CHILDREN);
    // The second parent commits first; the first one recovers with an older catalog and catches up.
    for number in 0..2 {
        let parent = usize::from(number == 0);
        harness.commit(parent, &manifest(2));
    }
    harness.run(1_000);
    assert!(harness.is_converged());
    harness.set_reachable(0, true);
    let started = harness.now;
    let (mut before, mut peak) = (0, 0);
    while before < CHILDREN {
        harness.run(1_000);
        let counts = [0, 1].map(|parent| harness.sources[parent].state.child_count());
        assert!(counts.iter().sum::<usize>() <= CHILDREN, "{counts:?}");
        peak = peak.max(counts[0].saturating_sub(before));
        before = counts[0];
        assert!(harness.now.since(started) < Duration::from_secs(120));
    }
    let elapsed = harness.now.since(started).as_millis();
    println!("{CHILDREN} children returned in {elapsed} ms, at most {peak} in a second");
    assert!(peak < CHILDREN / 4, "{peak} in a second");
    harness.commit(0, &manifest(3));
    harness.run(100);
    assert!(harness.is_converged());
}

/// Guards against children that stay at another parent forever after their preferred parent
/// refused them during a burst of connections.
#[test]
fn refused_children_fail_back_after_a_connection_burst() {
    let mut harness = StreamHarness::new(16, vec![catalog_of(10), catalog_of(10)], 594);
    harness.run(20_000);
    let refused = harness.transcript.matches("retry after, Busy").count();
    assert!(refused > 100, "{refused} refused");
    harness.run(100_000);
    assert_eq!(harness.sources[0].state.child_count(), 594);
    assert!(harness.is_converged());
}

/// Guards against a child that leaves its parent again and again for a preferred parent that
/// answers probes but can't obtain a currency proof.
#[test]
fn attempts_at_a_stale_preferred_parent_back_off() {
    let mut harness = StreamHarness::new(17, vec![catalog_of(10), catalog_of(10)], 1);
    harness.sources[0].proof = ProofMode::Unreachable;
    harness.run(600_000);
    let tries = harness
        .transcript
        .matches("retry after, NotCurrent")
        .count();
    assert!((5..=25).contains(&tries), "{tries} in 10 minutes");
    assert_eq!(harness.sources[1].state.child_count(), 1);
    harness.sources[0].proof = ProofMode::Quorum;
    harness.run(100_000);
    assert_eq!(harness.sources[0].state.child_count(), 1);
}

/// Guards against a parent that treats a child with the same version but different content as
/// current, or sends it a delta, which the child would have to reject.
#[test]
fn a_diverged_child_is_repaired_by_the_next_version() {
    for digest_difference in [0, 1] {
        let mut random = SmallRng::seed_from_u64(18);
        let mut catalog = catalog_of(100);
        let mut parent = ParentState::new("voter".into(), GROUP, 1);
        let (now, child) = (Timestamp::from_millis(1_000), ChildId(1));
        let hello = Hello {
            name: "node-1".into(),
            applied_version: catalog.version().0,
            applied_digest: catalog.digest() ^ digest_difference,
            ..Hello::default()
        };
        let body = Body::Hello(hello);
        let event = ParentEvent::Received { child, body };
        parent.handle(now, event, &catalog, &mut random);
        let (round, index) = (1, Some(catalog.applied_index()));
        let event = ParentEvent::ProofResult { round, index };
        let steps = parent.handle(now, event, &catalog, &mut random);
        assert_eq!(steps.len(), 1, "expected only a welcome: {steps:?}");
        let current = parent.progress(&catalog).current_nodes;
        assert_eq!(current, u64::from(digest_difference == 0));
        catalog.apply(catalog.applied_index() + 1, &manifest(2));
        let event = ParentEvent::CatalogAdvanced;
        let steps = parent.handle(now, event, &catalog, &mut random);
        match &steps[..] {
            [ParentStep::SendDelta { .. }] => assert_eq!(digest_difference, 0),
            [
                ParentStep::Send {
                    body: Body::Snapshot(chunk),
                    ..
                },
            ] => assert_eq!((digest_difference, chunk.version), (1, catalog.version().0)),
            other => panic!("{other:?}"),
        }
        let version = catalog.version().0;
        let body = Body::Applied(Applied { version });
        let event = ParentEvent::Received { child, body };
        parent.handle(now, event, &catalog, &mut random);
        assert_eq!(parent.progress(&catalog).current_nodes, 1);
    }
}

/// Guards against children that stay attached to a parent in the minority side of a network
/// partition. Such a parent still answers pings, but its configuration is outdated.
#[test]
fn children_leave_a_parent_with_a_silent_leader() {
    let mut harness = StreamHarness::new(21, vec![catalog_of(3), catalog_of(3)], 5);
    harness.run(500);
    assert_eq!(harness.sources[0].state.child_count(), 5);
    harness.handle_parent_event(0, ParentEvent::LeaderSilent(true));
    harness.run(1_500);
    assert_eq!(harness.sources[0].state.child_count(), 0);
    assert_eq!(harness.sources[1].state.child_count(), 5);
    harness.handle_parent_event(1, ParentEvent::LeaderSilent(true));
    harness.run(3_000);
    assert_eq!(harness.sources[1].state.child_count(), 0);
    harness.handle_parent_event(0, ParentEvent::LeaderSilent(false));
    harness.run(6_000);
    assert_eq!(harness.sources[0].state.child_count(), 5);
}

/// Guards against a child that ignores the parents of reloaded settings after all its previous
/// parents are lost.
#[test]
fn a_child_attaches_to_a_parent_from_reloaded_settings() {
    let mut harness = StreamHarness::new(22, vec![catalog_of(3), catalog_of(3)], 1);
    harness.proxies[0].state = child_state(0, &[0]);
    harness.handle_parent_event(0, ParentEvent::LeaderSilent(true));
    harness.run(3_000);
    assert!(!harness.proxies[0].state.is_attached());
    let address = ([127, 0, 0, 1], 1).into();
    assert_eq!(harness.proxies[0].state.add_parents(&[address]), 1);
    assert_eq!(harness.proxies[0].state.add_parents(&[address]), 0);
    harness.run(12_000);
    assert!(harness.proxies[0].state.is_attached());
}

/// Guards against restarted nodes that are refused while a leader is being elected and return one by
/// one only after it, although they could have waited.
#[test]
fn a_node_without_a_configuration_waits_for_a_leader() {
    let mut harness = StreamHarness::new(23, vec![catalog_of(3)], 5);
    harness.handle_parent_event(0, ParentEvent::LeaderSilent(true));
    harness.run(500);
    assert_eq!(harness.sources[0].state.child_count(), 5);
    harness.handle_parent_event(0, ParentEvent::LeaderSilent(false));
    harness.run(50);
    assert!(harness.is_converged());
    assert!(!harness.transcript.contains("retry after"));
}

/// Guards against nodes that wait at a parent which stays without a leader, or which cannot prove
/// that it is current.
#[test]
fn a_node_without_a_configuration_tries_another_parent_soon() {
    for is_silent in [true, false] {
        let mut harness = StreamHarness::new(24, vec![catalog_of(3), catalog_of(3)], 5);
        harness.sources[0].proof = ProofMode::Unreachable;
        harness.handle_parent_event(0, ParentEvent::LeaderSilent(is_silent));
        harness.run(u64::try_from(HELLO_HOLD_TIME.as_millis()).unwrap() + 800);
        assert_eq!(harness.sources[0].state.child_count(), 0);
        assert!(harness.is_converged());
    }
}

/// Guards against a node that holds a configuration and waits at a parent without a leader, where
/// it learns of no change.
#[test]
fn a_node_with_a_configuration_is_refused_by_a_parent_without_a_leader() {
    let mut harness = StreamHarness::new(25, vec![catalog_of(3)], 1);
    harness.run(300);
    harness.disconnect(0);
    harness.handle_parent_event(0, ParentEvent::LeaderSilent(true));
    harness.transcript.clear();
    harness.run(8_000);
    assert!(harness.transcript.contains("retry after, NotCurrent"));
    assert_eq!(harness.sources[0].state.child_count(), 0);
}

/// Guards against a node that stays with a parent in another region although its own zone or region
/// has one, so that each change crosses the link between the regions once for each such node.
#[test]
fn a_node_prefers_the_parents_of_its_zone_and_then_of_its_region() {
    let location = |zone: &str, region: &str| ParentLocation {
        zone: zone.into(),
        region: region.into(),
    };
    let near = location("osrednja-1", "osrednja");
    let in_region = location("osrednja-2", "osrednja");
    let distant = location("stajerska-1", "stajerska");
    for locations in [
        [&distant, &in_region, &near],
        [&near, &distant, &in_region],
        [&in_region, &near, &distant],
    ] {
        let mut harness = StreamHarness::new(26, vec![catalog_of(3); 3], 8);
        let offered: Vec<_> = locations
            .iter()
            .enumerate()
            .map(|(port, location)| (format!("127.0.0.1:{port}"), (*location).clone()))
            .collect();
        for source in &mut harness.sources {
            source.state.set_offered_parents(offered.clone());
        }
        harness.run(40_000);
        let position = |wanted| locations.iter().position(|location| *location == wanted);
        let parents = [&near, &in_region].map(|wanted| position(wanted).unwrap());
        for parent in parents {
            assert_eq!(harness.sources[parent].state.child_count(), 8);
            harness.set_reachable(parent, false);
            harness.run(3_000);
        }
    }
}

/// Guards against a fleet that starts at the first of a few seeds, which then serves all first
/// configurations alone.
#[test]
fn nodes_without_preferred_parents_spread_over_them() {
    let mut harness = StreamHarness::new(27, vec![catalog_of(3); 3], 90);
    for proxy in &mut harness.proxies {
        proxy.state.shuffle_parents();
    }
    harness.run(1_000);
    for source in &harness.sources {
        let children = source.state.child_count();
        assert!((15..=45).contains(&children), "{children} of 90 children");
    }
}
