//! Load pattern: a request that ends every upstream that runs it comes again and again.

use kumquatlock_wire::Body;
use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::distribution::WireClass;

use super::simulation::{CallSimulation, UPSTREAMS, final_status};
use crate::call::CallerAnswer;
use crate::core::RequestFingerprint;
use crate::http::{HttpResponse, UpstreamFailure};

const QUARANTINED: CallerAnswer = CallerAnswer::NotRun(CallReason::Quarantined);
const DEADLY_BODY: &str = "deadly";

/// Opens a call and returns the fingerprint that the entry node states.
fn fingerprint_of(simulation: &mut CallSimulation, body: &str) -> RequestFingerprint {
    simulation.open_with(None, body);
    let mut messages = simulation.queue.iter();
    let fingerprint = messages.find_map(|message| match &message.body {
        Body::Call(request) => Some(RequestFingerprint(request.fingerprint)),
        _ => None,
    });
    fingerprint.unwrap()
}

/// A request in quarantine must be refused at its entry, truthfully and without a message to any
/// node, and requests beside it must be served.
#[test]
fn a_quarantined_request_is_refused_at_once() {
    let class = WireClass::Lookup;
    let mut simulation = CallSimulation::new(class);
    let deadly = fingerprint_of(&mut simulation, DEADLY_BODY);
    simulation.deliver_all();
    simulation.quarantine(class, &[deadly]);
    let runs = simulation.runs.len();
    let refused = simulation.open_with(None, DEADLY_BODY);
    assert!(simulation.queue.is_empty());
    assert_eq!(simulation.answers[&refused], QUARANTINED);
    let served = simulation.open_with(None, "innocent");
    simulation.deliver_all();
    assert_eq!(simulation.outcome(served), "answered");
    assert_eq!(simulation.runs.len(), runs + 1);
    simulation.quarantine(class, &[]);
    let released = simulation.open_with(None, DEADLY_BODY);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(released), "answered");
}

/// A keyed request in quarantine may have run before under the same key, so it must not be called
/// not run.
#[test]
fn the_outcome_of_a_quarantined_request_with_a_key_is_unknown() {
    let class = WireClass::AtMostOnce;
    let mut simulation = CallSimulation::new(class);
    let deadly = fingerprint_of(&mut simulation, DEADLY_BODY);
    simulation.deliver_all();
    simulation.quarantine(class, &[deadly]);
    let refused = simulation.open_with(Some("key"), DEADLY_BODY);
    let unknown = CallerAnswer::Unknown(CallReason::Quarantined);
    assert_eq!(simulation.answers[&refused], unknown);
}

/// Calls that are on their way or wait for a slot when the quarantine begins must not reach an
/// upstream, and must not be tried elsewhere.
#[test]
fn calls_under_way_are_refused_when_the_quarantine_begins() {
    let class = WireClass::Lookup;
    let mut simulation = CallSimulation::new(class);
    for name in UPSTREAMS {
        simulation.hold_answers(name);
    }
    for number in 0..30 {
        simulation.open_with(None, &format!("innocent {number}"));
        simulation.deliver_all();
    }
    let deadly = fingerprint_of(&mut simulation, DEADLY_BODY);
    simulation.deliver_all();
    let on_its_way = simulation.open_with(None, DEADLY_BODY);
    let runs = simulation.runs.len();
    simulation.quarantine(class, &[deadly]);
    simulation.deliver_all();
    assert_eq!(simulation.answers[&on_its_way], QUARANTINED);
    let waiting = simulation.answers.values();
    assert_eq!(waiting.filter(|answer| **answer == QUARANTINED).count(), 2);
    for name in UPSTREAMS {
        simulation.finish_next_run(name);
    }
    simulation.deliver_all();
    assert_eq!(simulation.runs.len(), runs);
}

/// A retry must not take a request to another upstream once it is in quarantine; its first attempt
/// may have run.
#[test]
fn a_request_that_ended_its_upstream_is_not_retried_in_quarantine() {
    let class = WireClass::Lookup;
    let mut simulation = CallSimulation::new(class);
    let deadly = fingerprint_of(&mut simulation, DEADLY_BODY);
    let destination = simulation.called_destination();
    simulation.hold_answers(&destination);
    simulation.queue_result(&destination, Err(UpstreamFailure::Broken));
    simulation.deliver_all();
    simulation.quarantine(class, &[deadly]);
    simulation.finish_next_run(&destination);
    simulation.deliver_all();
    simulation.advance(std::time::Duration::from_secs(1));
    let unknown = CallerAnswer::Unknown(CallReason::Quarantined);
    assert_eq!(simulation.answers.values().next(), Some(&unknown));
    assert_eq!(simulation.runs.len(), 1);
}

/// A crash must be reported with the requests that were running, except those that the upstream has
/// completed before.
#[test]
fn a_crash_is_reported_with_what_was_running() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let common = fingerprint_of(&mut simulation, "common");
    let destination = simulation.called_destination();
    simulation.deliver_all();
    for name in UPSTREAMS {
        if name != destination {
            simulation.drain(name);
        }
    }
    simulation.queue_result(&destination, Err(UpstreamFailure::Broken));
    simulation.queue_result(&destination, Err(UpstreamFailure::Broken));
    simulation.queue_result(&destination, Err(UpstreamFailure::NotListening));
    simulation.open_with(None, "common");
    simulation.deliver_all();
    let deadly = fingerprint_of(&mut simulation, DEADLY_BODY);
    simulation.deliver_all();
    assert!(simulation.crash_reports.is_empty(), "not proved yet");
    simulation.open_with(None, "later");
    simulation.deliver_all();
    let [report] = &simulation.crash_reports[..] else {
        panic!("{:?}", simulation.crash_reports);
    };
    let suspects = report.suspects.iter().map(|suspect| suspect.fingerprint);
    assert_eq!(suspects.collect::<Vec<_>>(), [deadly.0]);
    assert_ne!(common, deadly);
}

/// A node that has seen a request completed must object to its quarantine.
#[test]
fn a_node_objects_to_the_quarantine_of_a_completed_request() {
    let class = WireClass::Lookup;
    let mut simulation = CallSimulation::new(class);
    let harmless = fingerprint_of(&mut simulation, "harmless");
    let destination = simulation.called_destination();
    simulation.deliver_all();
    simulation.quarantine(class, &[harmless]);
    let [report] = &simulation.crash_reports[..] else {
        panic!("{:?}", simulation.crash_reports);
    };
    assert_eq!(report.completed, [harmless.0]);
    assert_eq!(report.upstream, destination);
}

/// An upstream that refuses a request without running it, or fails it, has not shown that the
/// request is harmless.
#[test]
fn a_request_that_was_refused_or_failed_is_not_completed() {
    for status in [503, 500] {
        let class = WireClass::Lookup;
        let mut simulation = CallSimulation::new(class);
        let deadly = fingerprint_of(&mut simulation, DEADLY_BODY);
        for name in UPSTREAMS {
            let response = HttpResponse {
                status: final_status(status),
                ..HttpResponse::default()
            };
            simulation.queue_result(name, Ok(response));
        }
        simulation.deliver_all();
        for name in UPSTREAMS {
            simulation.clear_results(name);
        }
        simulation.quarantine(class, &[deadly]);
        assert_eq!(simulation.crash_reports, [], "status {status}");
    }
}

/// A request must not be sent again to a node that has restarted, and may not know the quarantine,
/// after its entry node has learnt of it.
#[test]
fn a_quarantined_request_is_not_sent_again_to_a_restarted_node() {
    let class = WireClass::AtMostOnce;
    let mut simulation = CallSimulation::new(class);
    for name in UPSTREAMS {
        simulation.restart(name, 2, "booking");
    }
    let deadly = fingerprint_of(&mut simulation, DEADLY_BODY);
    let request = simulation.queue.pop_front().unwrap();
    simulation.deliver(request);
    simulation.quarantine(class, &[deadly]);
    let refusal = simulation.queue.pop_front().unwrap();
    simulation.deliver(refusal);
    assert!(simulation.queue.is_empty(), "the request was sent again");
    assert_eq!(simulation.answers.values().next(), Some(&QUARANTINED));
}
