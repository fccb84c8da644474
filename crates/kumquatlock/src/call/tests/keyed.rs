//! Requests with an idempotency key.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::distribution::WireClass;

use super::world::CallWorld;
use crate::call::{CallerAnswer, RejectReason};
use crate::http::UpstreamFailure;

const KEY: Option<&str> = Some("osrednja:order-7");

/// Guards against a resend that books twice, whichever upstream it is sent to.
#[test]
fn a_resend_gets_the_first_answer() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    for _ in 0..12 {
        let call = world.open(KEY);
        world.settle();
        assert_eq!(world.outcome(call), "answered");
    }
    assert_eq!(world.runs.len(), 1);
}

/// Guards against two tries of one key that meet at different upstreams at the same time.
#[test]
fn concurrent_requests_of_one_key_run_once() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let calls: Vec<_> = (0..6).map(|_| world.open(KEY)).collect();
    world.advance(Duration::from_secs(1));
    assert_eq!(world.runs.len(), 1);
    for call in calls {
        assert_eq!(world.outcome(call), "answered");
    }
}

/// Guards against a resend that runs after the destination of the first request was lost.
#[test]
fn a_resend_after_the_loss_of_the_destination_does_not_run() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    world.open(KEY);
    world.settle();
    let destination = world.runs[0].clone();
    world.set_reachable(&destination, false);
    world.break_link(&destination);
    let resend = world.open(KEY);
    world.advance(Duration::from_secs(5));
    assert_eq!(world.outcome(resend), "unknown");
    assert_eq!(world.runs.len(), 1);
}

/// Guards against a key that stands for two different requests.
#[test]
fn a_key_with_another_request_is_rejected() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    world.open_with(KEY, "crew 7");
    world.settle();
    let other = world.open_with(KEY, "crew 8");
    world.settle();
    assert_eq!(
        world.answers[&other],
        CallerAnswer::Rejected(RejectReason::KeyReused)
    );
    assert_eq!(world.runs.len(), 1);
}

/// Guards against "not run" for a key that runs later: the answer is final for the key.
#[test]
fn not_run_is_final_for_the_key() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    // No upstream takes connections, but the nodes beside them still hold claims.
    for name in ["booking-1", "booking-2", "booking-3"] {
        for _ in 0..3 {
            world.next_result(name, Err(UpstreamFailure::Unreachable));
        }
    }
    let refused = world.open(KEY);
    world.advance(Duration::from_secs(5));
    assert_eq!(world.outcome(refused), "not_run");
    insta::assert_snapshot!("not_run_is_final", world.lines.join("\n"));
    // The upstreams take connections again, and a resend of the key still does not run.
    for name in ["booking-1", "booking-2", "booking-3"] {
        world.clear_results(name);
    }
    let tried = world.runs.len();
    let resend = world.open(KEY);
    world.advance(Duration::from_secs(5));
    assert_eq!(world.outcome(resend), "not_run");
    assert_eq!(world.runs.len(), tried);
    let other = world.open(Some("osrednja:order-8"));
    world.settle();
    assert_eq!(world.outcome(other), "answered");
}

/// Guards against "not run" that no majority of the holders has recorded.
#[test]
fn without_holders_a_refusal_is_unknown() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    for name in ["booking-1", "booking-2", "booking-3"] {
        world.drain(name);
    }
    world.lose = |parcel| matches!(parcel.body, Body::Claim(_)) && parcel.to != "booking-3";
    let refused = world.open(KEY);
    world.advance(Duration::from_secs(5));
    assert_eq!(world.outcome(refused), "unknown");
}

/// Guards against a resend that stays unknown although the upstream finished late.
#[test]
fn a_late_answer_is_kept_for_the_resend() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let first = world.open(KEY);
    let destination = world.called();
    world.hold(&destination);
    world.advance(Duration::from_millis(4_500));
    assert_eq!(world.outcome(first), "unknown");
    assert!(world.timeouts[0] > Duration::from_secs(5));
    world.finish_runs(&destination);
    world.settle();
    let resend = world.open(KEY);
    world.settle();
    assert_eq!(world.outcome(resend), "answered");
    assert_eq!(world.runs.len(), 1);
    assert_eq!(world.cancels, 0);
}

/// Guards against deferred work that takes every worker of a node for an hour.
#[test]
fn deferred_calls_leave_workers_to_others() {
    let mut world = CallWorld::new(WireClass::Deferred);
    for name in ["booking-1", "booking-2", "booking-3"] {
        world.hold(name);
    }
    let calls: Vec<_> = (0..5).map(|_| world.open(None)).collect();
    world.settle();
    let outcomes: Vec<_> = calls.iter().map(|call| world.outcome(*call)).collect();
    assert_eq!(outcomes, ["open", "open", "open", "open", "not_run"]);
}

/// Guards against holders out of reach that keep the slots of an upstream until the deadline of
/// the calls, 4 s here.
#[test]
fn a_call_gives_its_slot_back_when_no_holder_answers() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    world.lose = |parcel| matches!(parcel.body, Body::Claim(_));
    let call = world.open(KEY);
    world.advance(Duration::from_millis(1_900));
    assert!(!world.answers.contains_key(&call));
    world.advance(Duration::from_millis(200));
    let reason = CallReason::ClaimUnavailable;
    assert_eq!(world.answers[&call], CallerAnswer::Unknown(reason));
    assert!(world.is_idle());
    assert!(world.runs.is_empty());
}
