//! Load pattern: links are full, so nodes that are alive answer late and appear silent.

use std::time::Duration;

use kumquatlock_wire::distribution::WireClass;

use super::simulation::CallSimulation;
use crate::call::EntrySettings;
use crate::retry::BudgetSettings;

fn simulation_with_tokens(class: WireClass, max_tokens: f64) -> CallSimulation {
    let budget = BudgetSettings {
        tokens_per_call: 0.0,
        tokens_per_second: 0.0,
        max_tokens,
        shared_slack: None,
    };
    let settings = EntrySettings {
        budget,
        hedging_enabled: false,
        ..EntrySettings::new(4)
    };
    CallSimulation::with_entry(class, settings)
}

/// A lookup must not be given up because its node is slow: without a retry budget it has no other
/// chance, and the answer is on its way.
#[test]
fn a_lookup_waits_for_a_silent_node_if_it_cannot_go_elsewhere() {
    let mut simulation = simulation_with_tokens(WireClass::Lookup, 0.0);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    simulation.deliver_all();
    simulation.silence(&first);
    simulation.advance(Duration::from_millis(500));
    assert_eq!(simulation.outcome(call), "open");
    simulation.finish_next_run(&first);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(call), "answered");
    assert_eq!(simulation.runs, [first]);
}

/// A lookup must not wait for a silent node while another one can answer, and the silent node's
/// attempt must not count as a failure if the other attempt is refused.
#[test]
fn a_lookup_at_a_silent_node_is_also_sent_elsewhere() {
    let mut simulation = simulation_with_tokens(WireClass::Lookup, 1.0);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    simulation.deliver_all();
    simulation.silence(&first);
    simulation.silence(&first);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(call), "answered");
    assert_eq!(simulation.runs.len(), 2);
    assert_eq!(simulation.cancels, 1);

    let mut simulation = simulation_with_tokens(WireClass::Lookup, 1.0);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    simulation.deliver_all();
    for name in super::simulation::UPSTREAMS {
        if *name != *first {
            simulation.drain(name);
        }
    }
    simulation.silence(&first);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(call), "open");
    simulation.finish_next_run(&first);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(call), "answered");
}

/// A booking must not be sent to a second node while the first one may still run it.
#[test]
fn a_booking_at_a_silent_node_is_not_sent_elsewhere() {
    let mut simulation = simulation_with_tokens(WireClass::AtMostOnce, 10.0);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    simulation.deliver_all();
    simulation.silence(&first);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(call), "open");
    assert_eq!(simulation.runs, [first]);
}
