//! Requests during a rollout: who gets them in each phase.

use std::sync::Arc;

use kumquatlock_wire::distribution::{UpstreamItem, WireClass};
use kumquatlock_wire::rollout::{RolloutItem, RolloutPhase};

use super::simulation::{CallSimulation, UPSTREAMS, snapshot_of, upstreams};
use crate::core::{ConfigSnapshot, ServiceVersions};

/// The only upstream of the new version.
const TRIAL: &str = UPSTREAMS[2];
/// Requests of one case.
const REQUESTS: usize = 400;
/// What operators are promised: a tenth of the requests and fifty more.
const MAX_ON_TRIAL: usize = REQUESTS / 10 + 50;

fn with_phase(version: u64, phase: RolloutPhase) -> Arc<ConfigSnapshot> {
    let label = |item: UpstreamItem| UpstreamItem {
        version: if item.name == TRIAL { "v2" } else { "v1" }.into(),
        ..item
    };
    let upstreams = upstreams().into_iter().map(label).collect();
    let mut snapshot = snapshot_of(version, WireClass::AtMostOnce, upstreams);
    let versions = Arc::new(ServiceVersions::from_item(&RolloutItem {
        service: "booking".into(),
        in_force: "v1".into(),
        target: "v2".into(),
        phase: phase as i32,
        order: 7,
        ..RolloutItem::default()
    }));
    let service = Arc::make_mut(&mut snapshot.services["booking"]);
    service.versions = Some(versions.clone());
    snapshot.versions.insert("booking".into(), versions);
    Arc::new(snapshot)
}

/// Sends requests through an entry node and nodes in the given phases. Returns how many ran at the
/// upstream of the new version, and how many ran at all.
fn send(entry: RolloutPhase, destinations: RolloutPhase) -> (usize, usize) {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.apply_entry_snapshot(with_phase(6, entry));
    simulation.apply_destination_snapshot(&with_phase(7, destinations));
    for _ in 0..REQUESTS {
        simulation.open(None);
        simulation.deliver_all();
    }
    let at_trial = simulation.runs.iter().filter(|name| *name == TRIAL);
    let at_trial = at_trial.count();
    (at_trial, simulation.runs.len())
}

// A version that no order names must not serve, however it got into the configuration.
#[test]
fn a_version_gets_no_requests_before_its_order() {
    assert_eq!(send(RolloutPhase::None, RolloutPhase::None), (0, REQUESTS));
}

#[test]
fn a_version_on_trial_gets_a_small_share() {
    let (at_trial, all) = send(RolloutPhase::Canary, RolloutPhase::Canary);
    assert_eq!(all, REQUESTS);
    assert!((1..=MAX_ON_TRIAL).contains(&at_trial), "{at_trial}");
}

#[test]
fn a_promoted_version_gets_all_requests() {
    let promoting = RolloutPhase::Promoting;
    assert_eq!(send(promoting, promoting), (REQUESTS, REQUESTS));
}

// An entry node that has not heard of a roll-back must be stopped at the destination, and its callers
// must still be served.
#[test]
fn a_version_that_was_rolled_back_refuses_what_late_nodes_send() {
    let (at_trial, all) = send(RolloutPhase::Canary, RolloutPhase::RolledBack);
    assert_eq!((at_trial, all), (0, REQUESTS));
}

// A node may learn of an order after the entry nodes. If it refused, they would not ask it again.
#[test]
fn a_node_that_has_not_heard_of_the_order_runs_its_share() {
    let (at_trial, all) = send(RolloutPhase::Canary, RolloutPhase::None);
    assert_eq!(all, REQUESTS);
    assert!((1..=MAX_ON_TRIAL).contains(&at_trial), "{at_trial}");
}

// An upstream that is replaced still runs what nodes send that have not heard of the promotion.
#[test]
fn a_version_that_is_replaced_runs_what_late_nodes_send() {
    let (_, all) = send(RolloutPhase::Canary, RolloutPhase::Promoting);
    assert_eq!(all, REQUESTS);
}
