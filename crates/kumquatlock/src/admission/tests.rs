//! Tests of admission at the destination.

use std::time::Duration;

use kumquatlock_wire::call::CallReason;

use super::*;
use crate::core::{RequestClass, Timestamp};

mod room;

/// A time at which a queue created at zero has been running for a while.
const LATER: Timestamp = Timestamp::from_millis(20_000);
const SECOND: Duration = Duration::from_secs(1);

fn queue(slots: u32) -> AdmissionQueue {
    let limits = AdmissionLimits {
        slots,
        connections: 120,
    };
    AdmissionQueue::new(limits, Timestamp(0))
}

/// Creates a queue whose slots are all taken, with a service time of `service_ms`.
fn queue_with_full_slots(
    slots: u32,
    service_ms: u64,
) -> (AdmissionQueue, Vec<AdmissionTicket>, Timestamp) {
    let mut queue = queue(slots);
    let ticket = start_call(&mut queue, LATER);
    let now = LATER + Duration::from_millis(service_ms);
    assert_eq!(
        queue.finished(now, ticket, ServiceOutcome::Answered),
        QueueStep::Idle
    );
    let tickets = (0..slots).map(|_| start_call(&mut queue, now)).collect();
    (queue, tickets, now)
}

fn start_call(queue: &mut AdmissionQueue, now: Timestamp) -> AdmissionTicket {
    match queue.offer(now, RequestClass::Lookup, now + SECOND * 5) {
        AdmissionDecision::Start(ticket) => ticket,
        other => panic!("the call was not started: {other:?}"),
    }
}

fn queue_call(
    queue: &mut AdmissionQueue,
    now: Timestamp,
    class: RequestClass,
    deadline: Timestamp,
) -> (AdmissionTicket, Option<AdmissionTicket>) {
    match queue.offer(now, class, deadline) {
        AdmissionDecision::Queued { ticket, evicted } => (ticket, evicted),
        other => panic!("the call was not queued: {other:?}"),
    }
}

/// Guards against a call that waits for a slot although it will be answered too late.
#[test]
fn a_call_that_cannot_meet_its_deadline_is_refused_at_once() {
    let (mut queue, _, now) = queue_with_full_slots(2, 100);
    queue_call(&mut queue, now, RequestClass::Lookup, now + SECOND);
    queue_call(&mut queue, now, RequestClass::Lookup, now + SECOND);
    let overloaded = AdmissionDecision::Refused(CallReason::Overloaded);
    let late = now + Duration::from_millis(240);
    // Both slots are taken and two calls are queued. The estimate is therefore 150 ms of waiting
    // and 100 ms of running.
    assert_eq!(
        queue.offer(now, RequestClass::Lookup, now + SECOND * 2),
        AdmissionDecision::Queued {
            ticket: AdmissionTicket(6),
            evicted: None
        }
    );
    assert!(matches!(
        queue.offer(now, RequestClass::Internal, late),
        AdmissionDecision::Queued { .. }
    ));
    assert_eq!(queue.offer(now, RequestClass::Deferred, late), overloaded);
    let past = queue.offer(now, RequestClass::Internal, now);
    assert_eq!(
        past,
        AdmissionDecision::Refused(CallReason::DeadlineTooShort)
    );
}

/// Guards against a slot that runs a call whose caller no longer waits.
#[test]
fn an_expired_call_is_refused_and_not_started() {
    let (mut queue, running, now) = queue_with_full_slots(2, 10);
    let deadline = now + SECOND;
    let (expired, _) = queue_call(&mut queue, now, RequestClass::Lookup, deadline);
    let (waiting, _) = queue_call(&mut queue, now, RequestClass::Lookup, now + SECOND * 9);
    assert_eq!(queue.next_wakeup(now), Some(deadline));
    let step = queue.finished(deadline, running[0], ServiceOutcome::Ended);
    assert_eq!(
        step,
        QueueStep::Refuse(expired, CallReason::DeadlineTooShort)
    );
    assert_eq!(queue.poll(deadline), QueueStep::Start(waiting));
    assert_eq!(queue.poll(deadline), QueueStep::Idle);
}

/// Guards against a timer that fires at the deadline, finds nothing to do and is set again.
#[test]
fn the_wakeup_at_a_deadline_refuses_the_call() {
    let mut queue = queue(1);
    let _ = start_call(&mut queue, LATER);
    let (waiting, _) = queue_call(&mut queue, LATER, RequestClass::Lookup, LATER + SECOND);
    let wakeup = queue.next_wakeup(LATER).unwrap();
    let refuse = QueueStep::Refuse(waiting, CallReason::DeadlineTooShort);
    assert_eq!(queue.poll(wakeup), refuse);
    assert_eq!(queue.next_wakeup(wakeup), None);
}

/// Guards against a full queue that drops a booking or an internal check and keeps deferred calls.
#[test]
fn a_full_queue_evicts_deferred_then_interactive_calls_then_refuses() {
    let (mut queue, _, now) = queue_with_full_slots(2, 10);
    let hour = now + SECOND * 3_600;
    let mut deferred = Vec::new();
    for place in 0..4 {
        let deadline = hour + SECOND * place;
        deferred.push(queue_call(&mut queue, now, RequestClass::Deferred, deadline).0);
    }
    let refused = AdmissionDecision::Refused(CallReason::Overloaded);
    let last = hour + SECOND * 9;
    assert_eq!(queue.offer(now, RequestClass::Deferred, last), refused);
    let (_, evicted) = queue_call(&mut queue, now, RequestClass::Deferred, now + SECOND);
    assert_eq!(
        evicted,
        Some(deferred[3]),
        "the call with the latest deadline is evicted"
    );

    let mut bookings = Vec::new();
    for place in 0..3 {
        let deadline = now + SECOND * (2 + place);
        let (booking, evicted) = queue_call(&mut queue, now, RequestClass::AtMostOnce, deadline);
        assert_eq!(evicted, Some(deferred[2 - place as usize]));
        bookings.push(booking);
    }
    let deadline = now + SECOND;
    assert_eq!(queue.offer(now, RequestClass::Lookup, deadline), refused);
    for place in 0..3 {
        let (_, evicted) = queue_call(&mut queue, now, RequestClass::Internal, deadline);
        assert_eq!(evicted, Some(bookings[2 - place]));
    }
    assert_eq!(queue.offer(now, RequestClass::Internal, deadline), refused);
    assert_eq!(queue.load().queued, 4);
}

/// Offers two calls of the class `flood` for each one that the only slot can run, and retries a
/// deferred call after each backoff. Returns how long it takes until the deferred call runs.
fn run_flood(flood: RequestClass, backoff: Duration, time: Duration) -> Option<Duration> {
    let (mut queue, running, start) = queue_with_full_slots(1, 10);
    let deadline = start + time;
    let (mut now, mut slot, mut next_offer, mut deferred) = (start, running[0], start, None);
    while now < deadline {
        for _ in 0..2 {
            let decision = queue.offer(now, flood, now + SECOND);
            if let AdmissionDecision::Queued { evicted, .. } = decision
                && evicted == deferred
            {
                deferred = None;
            }
        }
        if deferred.is_none()
            && now >= next_offer
            && let AdmissionDecision::Queued { ticket, .. } =
                queue.offer(now, RequestClass::Deferred, deadline)
        {
            deferred = Some(ticket);
        }
        if now >= next_offer {
            next_offer = now + backoff;
        }
        now = now + Duration::from_millis(10);
        let mut step = queue.finished(now, slot, ServiceOutcome::Answered);
        while step != QueueStep::Idle {
            if let QueueStep::Start(ticket) = step {
                slot = ticket;
                if deferred == Some(ticket) {
                    return Some(now.since(start));
                }
            }
            step = queue.poll(now);
        }
    }
    None
}

/// Guards against a flood of lookups or internal checks that starves a deferred call past its
/// deadline, and against a deferred call that takes starts from interactive calls while it still
/// has time.
#[test]
fn a_deferred_call_runs_when_its_deadline_nears_under_a_flood() {
    for flood in [RequestClass::Lookup, RequestClass::Internal] {
        let ran = run_flood(flood, SECOND * 60, SECOND * 600)
            .expect("the deferred call runs before its deadline");
        assert!(ran >= SECOND * 480, "{flood}: ran after {ran:?}");
    }
}

/// Guards against an upstream that keeps answering 503 because the destination keeps sending it the
/// same load, and against a limit that never recovers.
#[test]
fn shed_answers_lower_the_limit_and_it_recovers_slowly() {
    let (mut queue, running, now) = queue_with_full_slots(8, 10);
    for ticket in &running[..4] {
        let _ = queue.finished(now, *ticket, ServiceOutcome::Shed);
    }
    assert_eq!(
        queue.load().slots,
        6,
        "a burst of shed answers lowers the limit once"
    );
    let (waiting, _) = {
        let _ = start_call(&mut queue, now);
        let _ = start_call(&mut queue, now);
        queue_call(&mut queue, now, RequestClass::Lookup, now + SECOND * 5)
    };
    let raise = queue.next_wakeup(now).unwrap();
    assert_eq!(queue.poll(raise), QueueStep::Start(waiting));
    assert_eq!(queue.load().slots, 7);
    let recovered_at = now + SECOND * 10;
    assert_eq!(queue.poll(recovered_at), QueueStep::Idle);
    assert_eq!(queue.load().slots, 8);
}

/// Load pattern: all upstreams of a service refuse a share of their calls, however few they run.
/// Guards against destinations that halve their capacity because of that, and refuse as many calls
/// again, until seconds after the upstreams have recovered.
#[test]
fn shed_answers_that_do_not_depend_on_the_load_leave_the_capacity() {
    const SLOTS: u32 = 18;
    const STEP: Duration = Duration::from_millis(20);
    const STEPS: u32 = 500;
    let (mut queue, running, mut now) = queue_with_full_slots(SLOTS, 330);
    let mut running: std::collections::VecDeque<_> = running.into();
    let mut full_steps = 0;
    for step in 0..STEPS {
        now = now + STEP;
        // Two calls are shed at once and one is answered in each step.
        for outcome in [
            ServiceOutcome::Shed,
            ServiceOutcome::Shed,
            ServiceOutcome::Answered,
        ] {
            let ticket = match outcome {
                ServiceOutcome::Shed => running.pop_back(),
                _ => running.pop_front(),
            };
            if let Some(ticket) = ticket {
                let _ = queue.finished(now, ticket, outcome);
            }
        }
        while running.len() < queue.load().slots as usize {
            let deadline = now + SECOND * 5;
            match queue.offer(now, RequestClass::Lookup, deadline) {
                AdmissionDecision::Start(ticket) => running.push_back(ticket),
                other => panic!("step {step}: {other:?}"),
            }
        }
        full_steps += u32::from(queue.load().slots == SLOTS);
    }
    assert!(
        full_steps >= STEPS * 3 / 4,
        "full capacity in {full_steps} of {STEPS} steps"
    );
}

/// Guards against calls that wait or are refused although the upstream has free slots, because it
/// has just started. After a power loss all upstreams start at the same time, so no other upstream
/// would run these calls.
#[test]
fn a_starting_upstream_gets_all_its_slots() {
    let mut queue = queue(12);
    let start = Timestamp(0);
    for _ in 0..12 {
        let _ = start_call(&mut queue, start);
    }
    assert_eq!(queue.load().slots, 12);
}

/// Guards against more running calls than the upstream accepts connections.
#[test]
fn connections_bound_the_running_calls() {
    let limits = AdmissionLimits {
        slots: 10,
        connections: 4,
    };
    let queue = AdmissionQueue::new(limits, Timestamp(0));
    assert_eq!(queue.load().slots, 4);
}

/// Guards against a drain that interrupts calls or accepts new ones.
#[test]
fn a_drain_refuses_new_calls_and_finishes_the_rest() {
    let (mut queue, running, now) = queue_with_full_slots(1, 10);
    let (waiting, _) = queue_call(&mut queue, now, RequestClass::Lookup, now + SECOND);
    queue.drain();
    let refused = queue.offer(now, RequestClass::Internal, now + SECOND);
    assert_eq!(refused, AdmissionDecision::Refused(CallReason::Draining));
    assert!(queue.load().draining && !queue.is_drained());
    let step = queue.finished(now, running[0], ServiceOutcome::Answered);
    assert_eq!(step, QueueStep::Start(waiting));
    let step = queue.finished(now, waiting, ServiceOutcome::Answered);
    assert_eq!(step, QueueStep::Idle);
    assert!(queue.is_drained());
}

/// Guards against a cancelled call that still takes a slot, and against reuse of a running call's
/// slot before the call has ended.
#[test]
fn a_cancelled_call_leaves_the_queue() {
    let (mut queue, running, now) = queue_with_full_slots(1, 10);
    let (waiting, _) = queue_call(&mut queue, now, RequestClass::Lookup, now + SECOND);
    assert_eq!(queue.cancel(waiting), CancelOutcome::Dequeued);
    assert_eq!(queue.cancel(waiting), CancelOutcome::NotFound);
    assert_eq!(queue.cancel(running[0]), CancelOutcome::Running);
    assert_eq!(queue.load().running, 1);
    let step = queue.finished(now, running[0], ServiceOutcome::Ended);
    assert_eq!(step, QueueStep::Idle);
    assert_eq!(queue.load().running, 0);
}

fn queue_ranked_call(
    queue: &mut AdmissionQueue,
    now: Timestamp,
    rank: u32,
    target_ms: u64,
) -> AdmissionTicket {
    let priority = RoutePriority {
        rank,
        target: Some(now + Duration::from_millis(target_ms)),
        depth: 0,
        account: None,
    };
    match queue.offer_with_priority(now, RequestClass::Lookup, priority, now + SECOND * 3) {
        AdmissionDecision::Queued { ticket, .. } => ticket,
        other => panic!("the call was not queued: {other:?}"),
    }
}

/// Guards against an urgent call that waits behind less urgent ones, and against a late call that
/// makes the calls behind it late as well.
#[test]
fn calls_run_by_rank_and_late_calls_run_last() {
    let (mut queue, running, now) = queue_with_full_slots(8, 100);
    let late = queue_ranked_call(&mut queue, now, 1, 50);
    let last = queue_ranked_call(&mut queue, now, 1, 900);
    let soon = queue_ranked_call(&mut queue, now, 1, 600);
    let urgent = queue_ranked_call(&mut queue, now, 0, 900);
    for (ticket, expected) in running.into_iter().zip([urgent, soon, last, late]) {
        let step = queue.finished(now, ticket, ServiceOutcome::Ended);
        assert_eq!(step, QueueStep::Start(expected));
    }
}

/// Guards against a call that can no longer meet its target but still runs before one that can.
#[test]
fn a_queued_call_that_becomes_late_runs_last() {
    let (mut queue, running, now) = queue_with_full_slots(8, 100);
    let missed = queue_ranked_call(&mut queue, now, 1, 300);
    let in_time = queue_ranked_call(&mut queue, now, 1, 900);
    let later = now + Duration::from_millis(400);
    let step = queue.finished(later, running[0], ServiceOutcome::Ended);
    assert_eq!(step, QueueStep::Start(in_time));
    let step = queue.finished(later, running[1], ServiceOutcome::Ended);
    assert_eq!(step, QueueStep::Start(missed));
}

/// Guards against a refusal that arrives after its caller has given up.
#[test]
fn a_refusal_is_sent_before_the_deadline_of_the_caller() {
    let mut queue = queue(1);
    let refusal_lead_time = Duration::from_millis(50);
    queue.set_refusal_lead_time(refusal_lead_time);
    let _ = start_call(&mut queue, LATER);
    let (waiting, _) = queue_call(&mut queue, LATER, RequestClass::Lookup, LATER + SECOND);
    let wakeup = queue.next_wakeup(LATER).unwrap();
    assert_eq!(wakeup + refusal_lead_time, LATER + SECOND);
    let refuse = QueueStep::Refuse(waiting, CallReason::DeadlineTooShort);
    assert_eq!(queue.poll(wakeup), refuse);
    let short = queue.offer(LATER, RequestClass::Lookup, LATER + refusal_lead_time);
    assert_eq!(
        short,
        AdmissionDecision::Refused(CallReason::DeadlineTooShort)
    );
}

/// Guards against calls that wait for an upstream that has stopped answering, and against an
/// upstream that never gets calls again because of that.
#[test]
fn a_stalled_upstream_gets_no_calls_until_it_answers() {
    let (mut queue, running, now) = queue_with_full_slots(4, 100);
    queue.enable_stall_detection();
    let (waiting, _) = queue_call(&mut queue, now, RequestClass::Lookup, now + SECOND * 9);
    let stalled = now + SECOND;
    assert!(queue.next_wakeup(now).unwrap() <= stalled);
    let refuse = QueueStep::Refuse(waiting, CallReason::UpstreamUnreachable);
    assert_eq!(queue.poll(stalled), refuse);
    let offer = queue.offer(stalled, RequestClass::Lookup, stalled + SECOND * 9);
    assert_eq!(
        offer,
        AdmissionDecision::Refused(CallReason::UpstreamUnreachable)
    );
    let step = queue.finished(stalled, running[0], ServiceOutcome::Answered);
    assert_eq!(step, QueueStep::Idle);
    let offer = queue.offer(stalled, RequestClass::Lookup, stalled + SECOND * 9);
    assert!(matches!(offer, AdmissionDecision::Start(_)));
}
