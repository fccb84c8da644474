//! Failures of links, destinations and upstreams.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::WireClass;

use super::world::{CallWorld, ENTRY, Parcel, UPSTREAMS};
use crate::call::{CallerAnswer, EntrySettings};
use crate::http::{HttpResponse, UpstreamFailure};

/// Guards against a booking that runs twice because its answer was lost with the connection.
#[test]
fn a_lost_answer_is_fetched_over_a_new_link() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let call = world.open(None);
    let destination = world.called();
    let request = world.queue.pop_front().unwrap();
    world.deliver(request);
    world.break_link(&destination);
    world.settle();
    assert_eq!(world.outcome(call), "answered");
    assert_eq!(world.runs, [destination]);
    insta::assert_snapshot!("lost_answer", world.lines.join("\n"));
}

/// Guards against a booking that is reported unknown, or runs twice, because a connection went
/// silent before the request arrived.
#[test]
fn a_request_that_never_arrived_is_fenced_and_tried_elsewhere() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let call = world.open(None);
    let first = world.called();
    let late = world.queue.pop_front().unwrap();
    world.break_link(&first);
    world.settle();
    world.advance(Duration::from_millis(100));
    assert_eq!(world.outcome(call), "answered");
    world.deliver(late);
    world.settle();
    assert_eq!(world.runs.len(), 1, "the late request ran as well");
}

/// Guards against a second run after the loss of the only node that knows the outcome.
#[test]
fn a_lost_destination_leaves_the_outcome_unknown() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let call = world.open(None);
    let destination = world.called();
    world.hold(&destination);
    world.settle();
    world.set_reachable(&destination, false);
    world.break_link(&destination);
    world.advance(Duration::from_secs(5));
    assert_eq!(world.outcome(call), "unknown");
    assert_eq!(world.runs, [destination]);
}

/// Guards against "not run" for a lookup whose first attempt may have run: its repetition is refused
/// everywhere, which says nothing of the first.
#[test]
fn a_refused_repetition_does_not_prove_that_the_first_attempt_did_not_run() {
    let mut world = CallWorld::new(WireClass::Lookup);
    let call = world.open(None);
    let first = world.called();
    world.hold(&first);
    let request = world.queue.pop_front().unwrap();
    world.deliver(request);
    world.settle();
    assert_eq!(world.runs, std::slice::from_ref(&first));
    for other in UPSTREAMS {
        if other != first {
            world.drain(other);
        }
    }
    world.set_reachable(&first, false);
    world.break_link(&first);
    world.advance(Duration::from_secs(6));
    assert_eq!(world.outcome(call), "unknown");
}

/// Guards against a call that fails although no byte of it was sent.
#[test]
fn an_unreachable_destination_is_passed_over() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    world.set_reachable("booking-1", false);
    world.set_reachable("booking-2", false);
    let call = world.open(None);
    world.advance(Duration::from_millis(200));
    assert_eq!(world.outcome(call), "answered");
    assert_eq!(world.runs, ["booking-3"]);
}

/// Guards against new work for an upstream that leaves while the configuration still names it.
#[test]
fn a_draining_destination_refuses_and_is_passed_over() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    world.drain("booking-1");
    world.drain("booking-2");
    for _ in 0..20 {
        let call = world.open(None);
        world.advance(Duration::from_millis(20));
        assert_eq!(world.outcome(call), "answered");
    }
    assert!(world.runs.iter().all(|name| name == "booking-3"));
}

/// Guards against an answer that is passed to another call, or passed on twice.
#[test]
fn crossed_and_doubled_answers_are_dropped() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let first = world.open_with(None, "first");
    let second = world.open_with(None, "second");
    let calls: Vec<Parcel> = world.queue.drain(..).collect();
    for parcel in calls {
        world.deliver(parcel);
    }
    let responses: Vec<Parcel> = world.queue.drain(..).collect();
    for parcel in responses.into_iter().rev() {
        let Body::Response(response) = parcel.body else {
            continue;
        };
        let mut crossed = response.clone();
        crossed.incarnation += 1;
        crossed.body = "of another run".into();
        crossed.body_len = crossed.body.len() as u64;
        let mut foreign = response.clone();
        foreign.id.entry = "other-1".to_owned();
        for response in [crossed, foreign, response.clone(), response] {
            let body = Body::Response(response);
            let (from, to) = (parcel.from.clone(), ENTRY.to_owned());
            world.deliver(Parcel { from, to, body });
        }
    }
    for call in [first, second] {
        let CallerAnswer::Answered { body, .. } = &world.answers[&call] else {
            panic!("not answered")
        };
        assert_eq!(&body[..], b"booked");
    }
    assert_eq!(world.entry.counters().stray_answers, 6);
}

/// Guards against a cut answer that is passed on as whole.
#[test]
fn a_cut_answer_is_never_passed_on() {
    for (class, outcome) in [
        (WireClass::AtMostOnce, "unknown"),
        (WireClass::Lookup, "answered"),
    ] {
        let mut world = CallWorld::new(class);
        let call = world.open(None);
        let destination = world.called();
        let request = world.queue.pop_front().unwrap();
        world.deliver(request);
        let mut parcel = world.queue.pop_front().unwrap();
        if let Body::Response(response) = &mut parcel.body {
            response.body.truncate(3);
        }
        world.deliver(parcel);
        world.advance(Duration::from_millis(100));
        assert_eq!(world.outcome(call), outcome);
        let repeated = class == WireClass::Lookup;
        assert_eq!(world.runs.len(), 1 + usize::from(repeated), "{destination}");
    }
}

/// Guards against "not run" for a request that the upstream may have run.
#[test]
fn a_failed_upstream_is_unknown_unless_it_was_never_reached() {
    let failures = [
        (UpstreamFailure::Timeout, "unknown", 1),
        (UpstreamFailure::Broken, "unknown", 1),
        (UpstreamFailure::Truncated, "unknown", 1),
        (UpstreamFailure::Unreachable, "answered", 2),
    ];
    for (failure, outcome, runs) in failures {
        let mut world = CallWorld::new(WireClass::AtMostOnce);
        let call = world.open(None);
        let destination = world.called();
        world.next_result(&destination, Err(failure));
        world.advance(Duration::from_millis(200));
        assert_eq!(world.outcome(call), outcome, "{failure}");
        assert_eq!(world.runs.len(), runs, "{failure}");
    }
}

/// Guards against a booking that is repeated because its upstream answered with a failure.
#[test]
fn a_server_failure_is_passed_on_or_retried_by_class() {
    for (class, runs) in [(WireClass::AtMostOnce, 1), (WireClass::Lookup, 2)] {
        let mut world = CallWorld::new(class);
        let call = world.open(None);
        let destination = world.called();
        let failed = HttpResponse {
            status: 500,
            ..HttpResponse::default()
        };
        world.next_result(&destination, Ok(failed));
        world.advance(Duration::from_millis(200));
        let CallerAnswer::Answered { status, .. } = world.answers[&call] else {
            panic!("not answered")
        };
        assert_eq!(status, if runs == 1 { 500 } else { 200 });
        assert_eq!(world.runs.len(), runs);
    }
}

/// Guards against a caller that is told "not run" while its request runs past the deadline.
#[test]
fn a_deadline_with_an_open_attempt_is_unknown() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let call = world.open(None);
    let destination = world.called();
    world.hold(&destination);
    world.advance(Duration::from_secs(5));
    assert_eq!(world.outcome(call), "unknown");
    world.finish_runs(&destination);
    world.settle();
    assert_eq!(world.entry.counters().stray_answers, 1);
}

/// Guards against a trace whose hops do not hang together.
#[test]
fn each_hop_passes_its_own_span_on() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    let received = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    world.open_traced(received);
    let Body::Call(request) = &world.queue[0].body else {
        panic!("no call is on its way")
    };
    let entry = request.traceparent.clone().unwrap();
    world.settle();
    let run = world.traces.last().unwrap().clone();
    let spans = [received, &entry, &run].map(|trace| trace.split('-').nth(2).unwrap().to_owned());
    let traces = [received, &entry, &run].map(|trace| trace.split('-').nth(1).unwrap().to_owned());
    assert!(traces.iter().all(|trace| *trace == traces[0]));
    assert!(spans[0] != spans[1] && spans[1] != spans[2] && spans[0] != spans[2]);
}

/// Guards against an attempt that was refused as "not run" and runs when it is delivered again.
#[test]
fn a_refused_attempt_never_runs() {
    let mut world = CallWorld::new(WireClass::AtMostOnce);
    world.open(None);
    let parcel = world.queue.pop_front().unwrap();
    for frozen in [true, false] {
        world.frozen = frozen;
        let body = parcel.body.clone();
        let (from, to) = (parcel.from.clone(), parcel.to.clone());
        world.deliver(Parcel { from, to, body });
    }
    assert!(world.runs.is_empty());
}

/// Guards against a caller that outwaits the claim of its key: claims are kept for the longest
/// time that a node lets callers wait.
#[test]
fn nobody_waits_longer_than_the_node_allows() {
    let longest = Duration::from_secs(3);
    let settings = || EntrySettings {
        longest_timeout: longest,
        ..EntrySettings::new(4)
    };
    let mut world = CallWorld::with_entry(WireClass::AtMostOnce, settings());
    let call = world.open(Some("patient"));
    assert_eq!(world.outcome(call), "rejected");
    assert!(world.queue.is_empty());

    let mut world = CallWorld::with_entry(WireClass::Deferred, settings());
    world.timeout_ms = None;
    let call = world.open(None);
    world.lose = |_| true;
    world.settle();
    world.advance(longest);
    assert_eq!(world.outcome(call), "unknown");
}
