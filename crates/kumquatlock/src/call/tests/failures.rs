//! Calls during failures of links, destination nodes and upstreams.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::WireClass;

use super::simulation::{CallSimulation, ENTRY, QueuedMessage, UPSTREAMS, final_status};
use crate::call::{CallerAnswer, EntrySettings, HeaderNames};
use crate::http::{HttpResponse, UpstreamFailure};

/// A booking must not run twice after its answer was lost together with the connection.
#[test]
fn a_lost_answer_is_fetched_over_a_new_link() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let destination = simulation.called_destination();
    let request = simulation.queue.pop_front().unwrap();
    simulation.deliver(request);
    simulation.break_link(&destination);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(call), "answered");
    assert_eq!(simulation.runs, [destination]);
    insta::assert_snapshot!("lost_answer", simulation.transcript.join("\n"));
}

/// If a connection fails before the request arrives, the outcome must not be reported as unknown,
/// and the request must not run twice when it arrives later.
#[test]
fn a_request_that_never_arrived_is_fenced_and_retried_elsewhere() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    let late = simulation.queue.pop_front().unwrap();
    simulation.break_link(&first);
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(100));
    assert_eq!(simulation.outcome(call), "answered");
    simulation.deliver(late);
    simulation.deliver_all();
    assert_eq!(simulation.runs.len(), 1, "the delayed request ran as well");
}

/// A request must not run a second time after the only node that knows its outcome was lost.
#[test]
fn a_lost_destination_leaves_the_outcome_unknown() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let destination = simulation.called_destination();
    simulation.hold_answers(&destination);
    simulation.deliver_all();
    simulation.set_reachable(&destination, false);
    simulation.break_link(&destination);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(call), "unknown");
    assert_eq!(simulation.runs, [destination]);
}

/// A lookup must not be reported as "not run" if its first attempt may have run. All other
/// upstreams refuse the repetition here, which proves nothing about the first attempt.
#[test]
fn a_refused_repetition_does_not_prove_that_the_first_attempt_did_not_run() {
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    let request = simulation.queue.pop_front().unwrap();
    simulation.deliver(request);
    simulation.deliver_all();
    assert_eq!(simulation.runs, std::slice::from_ref(&first));
    for other in UPSTREAMS {
        if other != first {
            simulation.drain(other);
        }
    }
    simulation.set_reachable(&first, false);
    simulation.break_link(&first);
    simulation.advance(Duration::from_secs(6));
    assert_eq!(simulation.outcome(call), "unknown");
}

/// A call must be sent to another destination if no byte of it was sent to an unreachable one.
#[test]
fn an_unreachable_destination_is_skipped() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.set_reachable("booking-1", false);
    simulation.set_reachable("booking-2", false);
    let call = simulation.open(None);
    simulation.advance(Duration::from_millis(200));
    assert_eq!(simulation.outcome(call), "answered");
    assert_eq!(simulation.runs, ["booking-3"]);
}

/// A draining upstream must get no new work while the configuration still lists it as serving.
#[test]
fn a_draining_destination_refuses_and_is_skipped() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.drain("booking-1");
    simulation.drain("booking-2");
    for _ in 0..20 {
        let call = simulation.open(None);
        simulation.advance(Duration::from_millis(20));
        assert_eq!(simulation.outcome(call), "answered");
    }
    assert!(simulation.runs.iter().all(|name| name == "booking-3"));
}

/// The upstream of a stopping node must not stand idle while its node could still return the answers
/// of short calls, and a call that may outlast the node must go elsewhere.
#[test]
fn a_stopping_destination_runs_the_calls_that_end_in_time() {
    for (timeout_ms, is_run) in [("900", true), ("1100", false)] {
        let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
        simulation.timeout_ms = Some(timeout_ms);
        for name in UPSTREAMS {
            simulation.end_after(name, Duration::from_secs(1));
        }
        let call = simulation.open(None);
        simulation.deliver_all();
        simulation.advance(Duration::from_millis(100));
        assert_eq!(
            simulation.outcome(call) == "answered",
            is_run,
            "{timeout_ms}"
        );
        assert_eq!(simulation.runs.len(), usize::from(is_run));
    }
}

/// An answer must reach neither a call that it doesn't belong to nor its own call twice.
#[test]
fn mismatched_and_duplicate_answers_are_dropped() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let first = simulation.open_with(None, "first");
    let second = simulation.open_with(None, "second");
    let calls: Vec<QueuedMessage> = simulation.queue.drain(..).collect();
    for message in calls {
        simulation.deliver(message);
    }
    let responses: Vec<QueuedMessage> = simulation.queue.drain(..).collect();
    for message in responses.into_iter().rev() {
        let Body::Response(response) = message.body else {
            continue;
        };
        let mut other_incarnation = response.clone();
        other_incarnation.incarnation += 1;
        other_incarnation.body = "of another run".into();
        other_incarnation.body_len = other_incarnation.body.len() as u64;
        let mut other_entry = response.clone();
        other_entry.id.entry = "other-1".to_owned();
        for response in [other_incarnation, other_entry, response.clone(), response] {
            let body = Body::Response(response);
            let (from, to) = (message.from.clone(), ENTRY.to_owned());
            simulation.deliver(QueuedMessage { from, to, body });
        }
    }
    for call in [first, second] {
        let CallerAnswer::Answered { body, .. } = &simulation.answers[&call] else {
            panic!("call {call:?} was not answered")
        };
        assert_eq!(&body[..], b"booked");
    }
    assert_eq!(simulation.entry.counters().stray_answers, 6);
}

/// A truncated answer must not be returned to the caller as complete.
#[test]
fn a_truncated_answer_is_never_returned() {
    for (class, outcome) in [
        (WireClass::AtMostOnce, "unknown"),
        (WireClass::Lookup, "answered"),
    ] {
        let mut simulation = CallSimulation::new(class);
        let call = simulation.open(None);
        let destination = simulation.called_destination();
        let request = simulation.queue.pop_front().unwrap();
        simulation.deliver(request);
        let mut message = simulation.queue.pop_front().unwrap();
        if let Body::Response(response) = &mut message.body {
            response.body.truncate(3);
        }
        simulation.deliver(message);
        simulation.advance(Duration::from_millis(100));
        assert_eq!(simulation.outcome(call), outcome);
        let repeated = class == WireClass::Lookup;
        assert_eq!(
            simulation.runs.len(),
            1 + usize::from(repeated),
            "{destination}"
        );
    }
}

/// A request that the upstream may have run must not be reported as "not run".
#[test]
fn the_outcome_is_unknown_unless_the_upstream_was_never_reached() {
    let failures = [
        (UpstreamFailure::Timeout, "unknown", 1),
        (UpstreamFailure::Broken, "unknown", 1),
        (UpstreamFailure::Truncated, "unknown", 1),
        (UpstreamFailure::Garbled, "unknown", 1),
        (UpstreamFailure::InvalidStatus, "unknown", 1),
        (UpstreamFailure::TooLarge, "unknown", 1),
        (UpstreamFailure::Cancelled, "unknown", 1),
        (UpstreamFailure::Unreachable, "answered", 2),
        (UpstreamFailure::NotListening, "answered", 2),
    ];
    for (failure, outcome, runs) in failures {
        let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
        let call = simulation.open(None);
        let destination = simulation.called_destination();
        simulation.queue_result(&destination, Err(failure));
        simulation.advance(Duration::from_millis(200));
        assert_eq!(simulation.outcome(call), outcome, "{failure}");
        assert_eq!(simulation.runs.len(), runs, "{failure}");
    }
}

/// Without an outcome header, callers take some statuses for the promise that a request has not run.
/// An upstream's answer with such a status must not be passed on unless it states that itself.
#[test]
fn a_status_that_promises_not_run_needs_the_statement_of_the_upstream() {
    let at_most_once = WireClass::AtMostOnce;
    for (class, status, is_marked, outcome, runs) in [
        (at_most_once, 503, true, "answered", 2),
        (at_most_once, 400, true, "answered", 2),
        (at_most_once, 503, false, "unknown", 1),
        (at_most_once, 429, false, "unknown", 1),
        (at_most_once, 408, false, "unknown", 1),
        (at_most_once, 500, false, "answered", 1),
        (WireClass::Lookup, 429, false, "answered", 1),
    ] {
        let mut simulation = CallSimulation::new(class);
        simulation.set_header_names(HeaderNames {
            outcome: None,
            not_executed: Some("not-executed"),
            ..HeaderNames::default()
        });
        let call = simulation.open(None);
        let destination = simulation.called_destination();
        let mark = is_marked.then(|| ("not-executed".to_owned(), "1".to_owned()));
        let response = HttpResponse {
            status: final_status(status),
            headers: mark.into_iter().collect(),
            ..HttpResponse::default()
        };
        simulation.queue_result(&destination, Ok(response));
        simulation.advance(Duration::from_millis(200));
        let case = format!("{class:?} {status} {is_marked}");
        assert_eq!(simulation.outcome(call), outcome, "{case}");
        assert_eq!(simulation.runs.len(), runs, "{case}");
    }
}

/// A booking must not be repeated because its upstream answered with a server error; a lookup may
/// be.
#[test]
fn a_server_error_is_returned_or_retried_by_class() {
    for (class, runs) in [(WireClass::AtMostOnce, 1), (WireClass::Lookup, 2)] {
        let mut simulation = CallSimulation::new(class);
        let call = simulation.open(None);
        let destination = simulation.called_destination();
        let failed = HttpResponse {
            status: final_status(500),
            ..HttpResponse::default()
        };
        simulation.queue_result(&destination, Ok(failed));
        simulation.advance(Duration::from_millis(200));
        let CallerAnswer::Answered { status, .. } = simulation.answers[&call] else {
            panic!("call {call:?} was not answered")
        };
        assert_eq!(status, if runs == 1 { 500 } else { 200 });
        assert_eq!(simulation.runs.len(), runs);
    }
}

/// A caller must not be told "not run" while its request is still running at the deadline.
#[test]
fn the_outcome_is_unknown_if_the_deadline_passes_during_an_attempt() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let destination = simulation.called_destination();
    simulation.hold_answers(&destination);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(call), "unknown");
    simulation.finish_next_run(&destination);
    simulation.deliver_all();
    assert_eq!(simulation.entry.counters().stray_answers, 1);
}

/// The spans of all hops must belong to one trace and must each have their own id.
#[test]
fn each_hop_forwards_its_own_span() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let received = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    simulation.open_traced(received);
    let Body::Call(request) = &simulation.queue[0].body else {
        panic!("no call message is queued")
    };
    let entry = request.traceparent.clone().unwrap();
    simulation.deliver_all();
    let run = simulation.traces.last().unwrap().clone();
    let spans = [received, &entry, &run].map(|trace| trace.split('-').nth(2).unwrap().to_owned());
    let traces = [received, &entry, &run].map(|trace| trace.split('-').nth(1).unwrap().to_owned());
    assert!(traces.iter().all(|trace| *trace == traces[0]));
    assert!(spans[0] != spans[1] && spans[1] != spans[2] && spans[0] != spans[2]);
}

/// An attempt that was refused as "not run" must not run when it is delivered again.
#[test]
fn a_refused_attempt_never_runs() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    simulation.open(None);
    let message = simulation.queue.pop_front().unwrap();
    for frozen in [true, false] {
        simulation.frozen = frozen;
        let body = message.body.clone();
        let (from, to) = (message.from.clone(), message.to.clone());
        simulation.deliver(QueuedMessage { from, to, body });
    }
    assert!(simulation.runs.is_empty());
}

/// A caller must not wait longer than the node's limit, which is also the time for which claims are
/// kept.
#[test]
fn no_caller_waits_longer_than_the_node_allows() {
    let longest = Duration::from_secs(3);
    let settings = || EntrySettings {
        longest_timeout: longest,
        ..EntrySettings::new(4)
    };
    let mut simulation = CallSimulation::with_entry(WireClass::AtMostOnce, settings());
    let call = simulation.open(Some("patient"));
    assert_eq!(simulation.outcome(call), "rejected");
    assert!(simulation.queue.is_empty());

    let mut simulation = CallSimulation::with_entry(WireClass::Deferred, settings());
    simulation.timeout_ms = None;
    let call = simulation.open(None);
    simulation.is_lost = |_| true;
    simulation.deliver_all();
    simulation.advance(longest);
    assert_eq!(simulation.outcome(call), "unknown");
}

/// A lookup must not be reported as "not run" because no upstream is left for another attempt after
/// one has answered with a server error.
#[test]
fn a_server_error_is_not_forgotten_while_a_lookup_waits_for_an_upstream() {
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    simulation.drain("booking-2");
    simulation.drain("booking-3");
    for _ in 0..10 {
        // The entry node learns which upstreams are draining.
        simulation.open(None);
        simulation.advance(Duration::from_millis(100));
    }
    simulation.hold_answers("booking-1");
    let call = simulation.open(None);
    simulation.deliver_all();
    simulation.drain("booking-1");
    let failed = HttpResponse {
        status: final_status(500),
        ..HttpResponse::default()
    };
    simulation.queue_result("booking-1", Ok(failed));
    simulation.finish_next_run("booking-1");
    simulation.advance(Duration::from_secs(3));
    assert_eq!(simulation.outcome(call), "answered");
}

/// Fault: an entry node that was suspended asks for an attempt so long after its deadline that the
/// destination node has forgotten that it ran, and takes it for one that never will.
#[test]
fn an_answer_about_an_attempt_is_not_believed_after_the_deadline() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let call = simulation.open(None);
    let first = simulation.called_destination();
    let request = simulation.queue.pop_front().unwrap();
    simulation.deliver(request);
    assert_eq!(simulation.runs.len(), 1);
    simulation.queue.clear();
    simulation.suspend_entry(Duration::from_secs(2 * 4_200));
    simulation.break_link(&first);
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(100));
    assert_eq!(simulation.outcome(call), "unknown");
}
