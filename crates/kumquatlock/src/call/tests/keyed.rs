//! Calls with an idempotency key.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::claim::ClaimAction;
use kumquatlock_wire::distribution::WireClass;

use super::simulation::{CallSimulation, QueuedMessage};
use crate::call::{CallerAnswer, RejectReason};
use crate::http::UpstreamFailure;

const KEY: Option<&str> = Some("osrednja:order-7");

/// A resend must not run the request again, whichever upstream it is sent to.
#[test]
fn a_resend_gets_the_first_answer() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    for _ in 0..12 {
        let call = simulation.open(KEY);
        simulation.deliver_all();
        assert_eq!(simulation.outcome(call), "answered");
    }
    assert_eq!(simulation.runs.len(), 1);
}

/// Requests with the same key that reach different upstreams at the same time must run once in
/// total.
#[test]
fn concurrent_requests_of_one_key_run_once() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let calls: Vec<_> = (0..6).map(|_| simulation.open(KEY)).collect();
    simulation.advance(Duration::from_secs(1));
    assert_eq!(simulation.runs.len(), 1);
    for call in calls {
        assert_eq!(simulation.outcome(call), "answered");
    }
}

/// A resend must not run after the loss of the first request's destination node.
#[test]
fn a_resend_after_the_loss_of_the_destination_does_not_run() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.open(KEY);
    simulation.deliver_all();
    let destination = simulation.runs[0].clone();
    simulation.set_reachable(&destination, false);
    simulation.break_link(&destination);
    let resend = simulation.open(KEY);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(resend), "unknown");
    assert_eq!(simulation.runs.len(), 1);
}

/// One key must not be accepted for two different requests.
#[test]
fn a_key_with_another_request_is_rejected() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.open_with(KEY, "crew 7");
    simulation.deliver_all();
    let other = simulation.open_with(KEY, "crew 8");
    simulation.deliver_all();
    assert_eq!(
        simulation.answers[&other],
        CallerAnswer::Rejected(RejectReason::KeyReused)
    );
    assert_eq!(simulation.runs.len(), 1);
}

/// After a "not run" answer, no later request with the same key may run.
#[test]
fn not_run_is_final_for_the_key() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    // No upstream accepts connections, but the nodes beside the upstreams still hold claims.
    for name in ["booking-1", "booking-2", "booking-3"] {
        for _ in 0..3 {
            simulation.queue_result(name, Err(UpstreamFailure::Unreachable));
        }
    }
    let refused = simulation.open(KEY);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(refused), "not_run");
    insta::assert_snapshot!("not_run_is_final", simulation.transcript.join("\n"));
    // The upstreams accept connections again, but a resend with the key must still not run.
    for name in ["booking-1", "booking-2", "booking-3"] {
        simulation.clear_results(name);
    }
    let tried = simulation.runs.len();
    let resend = simulation.open(KEY);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(resend), "not_run");
    assert_eq!(simulation.runs.len(), tried);
    let other = simulation.open(Some("osrednja:order-8"));
    simulation.deliver_all();
    assert_eq!(simulation.outcome(other), "answered");
}

/// "Not run" must not be reported unless a majority of the holders has recorded it.
#[test]
fn without_holders_a_refusal_is_unknown() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    for name in ["booking-1", "booking-2", "booking-3"] {
        simulation.drain(name);
    }
    simulation.is_lost =
        |message| matches!(message.body, Body::Claim(_)) && message.to != "booking-3";
    let refused = simulation.open(KEY);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(refused), "unknown");
}

/// A caller must not be told "unknown" because of the claim of its own refused attempt: the entry
/// node knows that this attempt did not run. The release of its claim is late here, and the node
/// that could tell the outcome has been replaced.
#[test]
fn the_late_release_of_a_refused_attempt_does_not_make_the_outcome_unknown() {
    let class = WireClass::AtMostOnce;
    let mut simulation = CallSimulation::new(class);
    let call = simulation.open(KEY);
    let first = simulation.called_destination();
    simulation.queue_result(&first, Err(UpstreamFailure::Unreachable));
    let is_release = |message: &QueuedMessage| matches!(&message.body, Body::Claim(request) if request.action == ClaimAction::Release as i32);
    let mut late = Vec::new();
    while let Some(message) = simulation.queue.pop_front() {
        match is_release(&message) {
            true => late.push(message),
            false => simulation.deliver(message),
        }
    }
    assert!(!late.is_empty(), "the claim was not released");
    simulation.end_incarnation(class, &first);
    simulation.is_lost = is_release;
    simulation.advance(Duration::from_millis(90));
    assert_eq!(simulation.outcome(call), "open");
    simulation.is_lost = |_| false;
    for message in late {
        simulation.deliver(message);
    }
    simulation.advance(Duration::from_millis(500));
    assert_eq!(simulation.outcome(call), "answered");
    assert_eq!(simulation.runs.len(), 2);
}

/// If the upstream finishes after the caller's deadline, a resend must get the answer instead of
/// "unknown".
#[test]
fn a_late_answer_is_kept_for_the_resend() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let first = simulation.open(KEY);
    let destination = simulation.called_destination();
    simulation.hold_answers(&destination);
    simulation.advance(Duration::from_millis(4_500));
    assert_eq!(simulation.outcome(first), "unknown");
    assert!(simulation.timeouts[0] > Duration::from_secs(5));
    simulation.finish_next_run(&destination);
    simulation.deliver_all();
    let resend = simulation.open(KEY);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(resend), "answered");
    assert_eq!(simulation.runs.len(), 1);
    assert_eq!(simulation.cancels, 0);
}

/// Deferred work, which may wait for an hour, must not use up the node's capacity for calls.
#[test]
fn deferred_calls_leave_room_for_other_calls() {
    let mut simulation = CallSimulation::new(WireClass::Deferred);
    for name in ["booking-1", "booking-2", "booking-3"] {
        simulation.hold_answers(name);
    }
    let calls: Vec<_> = (0..5).map(|_| simulation.open(None)).collect();
    simulation.deliver_all();
    let outcomes: Vec<_> = calls.iter().map(|call| simulation.outcome(*call)).collect();
    assert_eq!(outcomes, ["open", "open", "open", "open", "not_run"]);
}

/// Unreachable holders must not make calls occupy the slots of an upstream until their deadline,
/// which is 4 s here.
#[test]
fn a_call_releases_its_slot_when_no_holder_answers() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.is_lost = |message| matches!(message.body, Body::Claim(_));
    let call = simulation.open(KEY);
    simulation.advance(Duration::from_millis(1_900));
    assert!(!simulation.answers.contains_key(&call));
    simulation.advance(Duration::from_millis(200));
    let reason = CallReason::ClaimUnavailable;
    assert_eq!(simulation.answers[&call], CallerAnswer::Unknown(reason));
    assert!(simulation.is_idle());
    assert!(simulation.runs.is_empty());
}

/// A call that is refused shortly before its caller's deadline must not keep the caller for the whole
/// time that a fence may take. Soak seed 80018: the caller waited for 1.03 s beyond its deadline.
#[test]
fn a_fence_does_not_hold_the_caller_long_after_its_deadline() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    for name in ["booking-1", "booking-2", "booking-3"] {
        simulation.drain(name);
    }
    simulation.is_lost = |message| matches!(message.body, Body::Claim(_));
    let call = simulation.open(KEY);
    let mut refusals = Vec::new();
    while let Some(message) = simulation.queue.pop_front() {
        match message.body {
            Body::Response(_) => refusals.push(message),
            _ => simulation.deliver(message),
        }
    }
    simulation.advance(Duration::from_millis(3_950));
    for refusal in refusals {
        simulation.deliver(refusal);
    }
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(600));
    assert_eq!(simulation.outcome(call), "unknown");
}
