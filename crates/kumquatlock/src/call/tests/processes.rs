//! Calls to nodes that have started again, which the configuration does not show yet.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{CallReason, CallResponse};
use kumquatlock_wire::distribution::WireClass;

use super::simulation::{CallSimulation, UPSTREAMS};

fn restarted_mesh(class: WireClass, service: &str) -> CallSimulation {
    let mut simulation = CallSimulation::new(class);
    for name in UPSTREAMS {
        simulation.restart(name, 2, service);
    }
    simulation
}

/// Number of calls in the transcript.
fn calls_sent(simulation: &CallSimulation) -> usize {
    let lines = simulation.transcript.iter();
    lines.filter(|line| line.ends_with(": call")).count()
}

/// Bookings must not be refused until the configuration shows that nodes have started again: each
/// node is asked once more under the incarnation that it states, and then at once.
#[test]
fn restarted_nodes_serve_bookings_before_the_configuration_shows_them() {
    let mut simulation = restarted_mesh(WireClass::AtMostOnce, "booking");
    for _ in 0..12 {
        let call = simulation.open(None);
        simulation.deliver_all();
        assert_eq!(simulation.outcome(call), "answered");
    }
    assert_eq!(simulation.runs.len(), 12);
    assert_eq!(calls_sent(&simulation), 12 + UPSTREAMS.len());
}

/// A booking with a key must not run under an incarnation that only the node itself has stated. The
/// next process of the node may take the same number, and would then release the claim of the owner.
#[test]
fn a_booking_with_a_key_waits_until_the_configuration_shows_a_restarted_node() {
    let mut simulation = restarted_mesh(WireClass::AtMostOnce, "booking");
    let call = simulation.open(Some("osrednja:order-7"));
    simulation.deliver_all();
    assert_ne!(simulation.outcome(call), "answered");
    assert!(simulation.runs.is_empty(), "{:#?}", simulation.transcript);
}

/// A booking must not run at an upstream of another service that has taken the place of its own.
#[test]
fn a_booking_does_not_run_at_another_service_that_took_the_place() {
    let mut simulation = restarted_mesh(WireClass::AtMostOnce, "orders");
    let call = simulation.open(None);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(call), "not_run");
    assert!(simulation.runs.is_empty());
}

/// A node that states a later incarnation with each refusal must not get an attempt without end.
#[test]
fn an_attempt_is_sent_to_a_later_incarnation_only_once() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let mut sent = 0;
    while let Some(message) = simulation.queue.pop_front() {
        let Body::Call(request) = &message.body else {
            continue;
        };
        sent += 1;
        let response = CallResponse {
            id: request.id.clone(),
            incarnation: request.incarnation + 1,
            outcome: kumquatlock_wire::call::CallOutcome::NotRun as i32,
            reason: CallReason::WrongIncarnation as i32,
            load: Some(Default::default()),
            process: 7,
            ..CallResponse::default()
        };
        simulation.answer_attempt(response);
    }
    assert_eq!(simulation.outcome(call), "not_run");
    assert!(sent <= 2 * UPSTREAMS.len(), "{sent}");
}

/// A refusal under an earlier incarnation must not be dropped as stray: the caller would wait for
/// its deadline. The upstreams drain, so that lookups that name the earlier incarnation are refused.
#[test]
fn a_refusal_states_the_incarnation_that_the_attempt_names() {
    let mut simulation = restarted_mesh(WireClass::Lookup, "booking");
    for name in UPSTREAMS {
        simulation.drain(name);
    }
    let call = simulation.open(None);
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(2_500));
    assert_eq!(simulation.outcome(call), "not_run");
    assert_eq!(simulation.entry.counters().stray_answers, 0);
}
