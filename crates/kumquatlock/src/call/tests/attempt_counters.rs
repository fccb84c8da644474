//! Counters of the proofs on which further attempts are sent, and of the attempts that contradict
//! such a proof.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{AttemptId, CallOutcome, CallReason, CallRequest};
use kumquatlock_wire::distribution::WireClass;
use strum::IntoEnumIterator;

use super::simulation::{CallSimulation, QueuedMessage, UPSTREAMS, endpoint};
use crate::call::{
    AttemptProof, CallSource, DestinationCalls, DestinationCounters, DestinationStep,
};
use crate::claim::ClaimSettings;
use crate::core::{IncarnationId, ProcessId, Timestamp};
use crate::http::UpstreamFailure;
use crate::transport::LinkId;

/// Checks the number of attempts that gave no answer for the caller, by proof.
fn assert_proofs(simulation: &CallSimulation, expected: &[(AttemptProof, u64)]) {
    let counters = simulation.entry.counters();
    let counted: Vec<(AttemptProof, u64)> = AttemptProof::iter()
        .map(|proof| (proof, counters.ended_attempts(proof)))
        .filter(|(_, count)| *count > 0)
        .collect();
    assert_eq!(counted, expected);
}

/// A fence that kept a request from a second run must not go unnoticed.
#[test]
fn a_fence_and_the_attempt_that_comes_after_it_are_counted() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    let late = simulation.queue.pop_front().unwrap();
    simulation.break_link(&first);
    simulation.advance(Duration::from_millis(100));
    assert_eq!(simulation.outcome(call), "answered");
    assert_proofs(&simulation, &[(AttemptProof::Fenced, 1)]);
    let mut expected = DestinationCounters {
        query_fences: 1,
        ..DestinationCounters::default()
    };
    assert_eq!(simulation.destination_counters(&first), expected);

    simulation.deliver(late);
    simulation.deliver_all();
    expected.attempts_after_fence = 1;
    assert_eq!(simulation.destination_counters(&first), expected);
    assert_eq!(simulation.runs.len(), 1);
}

/// A second query for a fenced attempt must not be counted as a second fence, and a query for an
/// attempt that has arrived is none.
#[test]
fn only_queries_that_fence_are_counted() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.open(None);
    let first = simulation.called_destination();
    simulation.queue.pop_front();
    simulation.break_link(&first);
    let query = simulation.queue.pop_front().unwrap();
    let copy = QueuedMessage {
        from: query.from.clone(),
        to: query.to.clone(),
        body: query.body.clone(),
    };
    simulation.deliver(query);
    simulation.deliver(copy);
    assert_eq!(simulation.destination_counters(&first).query_fences, 1);

    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    let request = simulation.queue.pop_front().unwrap();
    simulation.deliver(request);
    simulation.break_link(&first);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(call), "answered");
    let counters = simulation.destination_counters(&first);
    assert_eq!(counters, DestinationCounters::default());
    assert_proofs(&simulation, &[]);
}

/// The proof on which an attempt was repeated must be the one that was given, so that a false one
/// can be found.
#[test]
fn attempts_are_counted_by_their_proof() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.set_reachable("booking-1", false);
    simulation.set_reachable("booking-2", false);
    simulation.drain("booking-3");
    simulation.open(None);
    simulation.advance(Duration::from_millis(20));
    let counters = simulation.entry.counters();
    assert!(counters.ended_attempts(AttemptProof::Unsent) >= 2);
    assert!(counters.ended_attempts(AttemptProof::Refused) >= 1);

    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.open(None);
    let first = simulation.called_destination();
    simulation.queue_result(&first, Err(UpstreamFailure::Unreachable));
    simulation.advance(Duration::from_millis(200));
    assert_proofs(&simulation, &[(AttemptProof::UpstreamUnreachable, 1)]);

    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.open(None);
    let request = simulation.queue.pop_front().unwrap();
    simulation.deliver(request);
    let mut answer = simulation.queue.pop_front().unwrap();
    if let Body::Response(response) = &mut answer.body {
        response.outcome = CallOutcome::NotRun as i32;
        response.reason = CallReason::UpstreamRefused as i32;
    }
    simulation.deliver(answer);
    assert_proofs(&simulation, &[(AttemptProof::UpstreamRefused, 1)]);
}

/// An attempt without a proof must not be counted as one with a proof.
#[test]
fn attempts_that_may_have_run_are_counted_without_a_proof() {
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    simulation.open(None);
    let first = simulation.called_destination();
    simulation.break_link(&first);
    simulation.advance(Duration::from_millis(200));
    assert_proofs(&simulation, &[(AttemptProof::None, 1)]);

    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    simulation.deliver_all();
    simulation.set_reachable(&first, false);
    simulation.break_link(&first);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(call), "unknown");
    assert_proofs(&simulation, &[(AttemptProof::None, 1)]);
}

/// An attempt that is still running at the deadline must not vanish from the counters.
#[test]
fn an_attempt_that_is_open_at_the_deadline_is_counted_without_a_proof() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.open(None);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    simulation.advance(Duration::from_secs(5));
    assert_proofs(&simulation, &[(AttemptProof::None, 1)]);
}

/// An attempt that is kept off by the claim of another must be told from one that may have run.
#[test]
fn an_attempt_whose_key_is_claimed_elsewhere_is_counted() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    for name in UPSTREAMS {
        simulation.hold_answers(name);
    }
    for _ in 0..4 {
        simulation.open(Some("osrednja:order-7"));
        simulation.deliver_all();
    }
    assert_eq!(simulation.runs.len(), 1);
    let counters = simulation.entry.counters();
    assert!(counters.ended_attempts(AttemptProof::ClaimedElsewhere) > 0);
    assert_eq!(counters.ended_attempts(AttemptProof::None), 0);
}

pub(super) fn destination(now: Timestamp, settings: ClaimSettings) -> DestinationCalls {
    let mut calls = DestinationCalls::new("booking-1".into(), IncarnationId(1), settings);
    calls.accept_earlier_incarnations();
    calls.on_announce(now, endpoint());
    calls
}

pub(super) fn request(call_id: u64, incarnation: u64, class: WireClass) -> CallRequest {
    CallRequest {
        id: AttemptId {
            entry: "front-1".to_owned(),
            entry_incarnation: 1,
            call_id,
            attempt: 1,
        },
        incarnation,
        upstream: "booking-1".to_owned(),
        service: "booking".to_owned(),
        class: class as i32,
        deadline_us: 1_000_000,
        ..CallRequest::default()
    }
}

/// A refusal must be answered also if the table of outcomes is full and can't record it: the caller
/// would wait for its deadline.
#[test]
fn a_refusal_is_answered_while_the_table_of_outcomes_is_full() {
    let now = Timestamp::from_millis(1);
    let settings = ClaimSettings {
        max_keys: 1,
        ..ClaimSettings::default()
    };
    let mut calls = destination(now, settings);
    let source = CallSource::Link(LinkId(1));
    calls.on_call(now, source, request(1, 1, WireClass::AtMostOnce), false);
    calls.drain();
    let steps = calls.on_call(now, source, request(2, 1, WireClass::AtMostOnce), false);
    let [DestinationStep::Respond { response, .. }] = &steps[..] else {
        panic!("{steps:?}");
    };
    assert_eq!(response.outcome, CallOutcome::NotRun as i32);
}

/// Attempts that pass from one incarnation to the next depend on the fences of both, so they must be
/// counted; lookups may run twice and are not.
#[test]
fn attempts_accepted_under_another_incarnation_are_counted() {
    let now = Timestamp::from_millis(1);
    let mut calls = destination(now, ClaimSettings::default());
    calls.set_incarnation(now, IncarnationId(2));
    let classes = [
        WireClass::AtMostOnce,
        WireClass::Deferred,
        WireClass::Lookup,
    ];
    let mut call_id = 0;
    for class in classes {
        for incarnation in [1, 2] {
            call_id += 1;
            let request = request(call_id, incarnation, class);
            calls.on_call(now, CallSource::Link(LinkId(1)), request, false);
        }
    }
    let expected = DestinationCounters {
        other_incarnation_attempts: 2,
        ..DestinationCounters::default()
    };
    assert_eq!(calls.counters(), expected);
    assert_eq!(calls.in_progress(), 6, "not every attempt was accepted");
}

/// A node that has taken over the address of another must not be taken for a later process of it:
/// each call to that one would be sent twice.
#[test]
fn a_node_states_its_process_only_in_refusals_under_its_own_name() {
    let now = Timestamp::from_millis(1);
    let mut calls = destination(now, ClaimSettings::default());
    calls.set_process(ProcessId(7));
    for (upstream, process) in [("booking-1", 7), ("booking-2", 0)] {
        let request = CallRequest {
            upstream: upstream.to_owned(),
            ..request(1, 9, WireClass::AtMostOnce)
        };
        let steps = calls.on_call(now, CallSource::Link(LinkId(1)), request, false);
        let [DestinationStep::Respond { response, .. }] = &steps[..] else {
            panic!("{steps:?}");
        };
        assert_eq!(response.process, process);
    }
}
