//! Load pattern: a node stands still, its links are given up, and it is asked for the outcome of the
//! attempts that were at work.

use std::time::Duration;

use kumquatlock_wire::distribution::WireClass;

use super::simulation::CallSimulation;
use crate::call::{CallId, HeaderNames};
use crate::claim::SMALL_ANSWER_BYTES;
use crate::http::{FinalStatus, HttpResponse, UpstreamFailure};

/// What the upstream does with the attempt.
#[derive(Clone, Copy, Debug)]
enum RunEnd {
    /// It answers with this many bytes.
    Answer(usize),
    /// It breaks off after it has read the request.
    Failure,
    /// It can't be connected to.
    Unreachable,
}

/// When the entry node's query reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskedAt {
    /// While the attempt is running.
    Running,
    /// After it has ended.
    Ended,
}

/// Size of a large answer that a node has room to store, in bytes.
const LARGE_BYTES: usize = SMALL_ANSWER_BYTES + 1;
/// Size of an answer that no node has room to store, in bytes.
const OVERSIZED_BYTES: usize = 2 * 1024 * 1024;
const KEYS: [Option<&str>; 2] = [None, Some("osrednja:order-7")];

/// Plays one attempt whose link is lost, and returns its call.
fn play(simulation: &mut CallSimulation, end: RunEnd, key: Option<&str>, asked: AskedAt) -> CallId {
    let call = simulation.open(key);
    let first = simulation.called_destination();
    simulation.hold_answers(&first);
    simulation.deliver_all();
    if asked == AskedAt::Running {
        simulation.break_link(&first);
        simulation.advance(Duration::from_millis(500));
    }
    simulation.queue_result(
        &first,
        match end {
            RunEnd::Answer(bytes) => Ok(HttpResponse {
                status: FinalStatus::OK,
                body: vec![0; bytes].into(),
                ..HttpResponse::default()
            }),
            RunEnd::Failure => Err(UpstreamFailure::Truncated),
            RunEnd::Unreachable => Err(UpstreamFailure::Unreachable),
        },
    );
    simulation.finish_next_run(&first);
    if asked == AskedAt::Ended {
        simulation.break_link(&first);
    }
    simulation.advance(Duration::from_secs(5));
    call
}

/// Guards against a request that ran, or may have run, and is answered as if it had been refused.
#[test]
fn what_ran_is_never_answered_as_rejected() {
    let cases = [
        (RunEnd::Answer(100), AskedAt::Running, "answered", 200),
        (RunEnd::Answer(100), AskedAt::Ended, "answered", 200),
        (
            RunEnd::Answer(LARGE_BYTES),
            AskedAt::Running,
            "answered",
            200,
        ),
        (RunEnd::Answer(LARGE_BYTES), AskedAt::Ended, "answered", 200),
        (
            RunEnd::Answer(OVERSIZED_BYTES),
            AskedAt::Running,
            "answered",
            200,
        ),
        (RunEnd::Answer(OVERSIZED_BYTES), AskedAt::Ended, "ran", 504),
        (RunEnd::Failure, AskedAt::Running, "unknown", 504),
        (RunEnd::Failure, AskedAt::Ended, "unknown", 504),
        (RunEnd::Unreachable, AskedAt::Running, "answered", 200),
        (RunEnd::Unreachable, AskedAt::Ended, "answered", 200),
    ];
    for (end, asked, outcome, status) in cases {
        for key in KEYS {
            let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
            let call = play(&mut simulation, end, key, asked);
            let label = format!("{end:?}, asked while {asked:?}, key {key:?}");
            assert_eq!(simulation.outcome(call), outcome, "{label}");
            let answer = simulation.answers[&call].clone();
            let response = answer.into_http(&HeaderNames::default());
            assert_eq!(response.status, status, "{label}");
            let runs = match end {
                RunEnd::Unreachable => 2,
                RunEnd::Answer(_) | RunEnd::Failure => 1,
            };
            assert_eq!(simulation.runs.len(), runs, "{label}");
        }
    }
}

/// Guards against a caller that sends a request again under its key and is told that the first one,
/// whose answer is gone, was refused.
#[test]
fn a_resend_learns_that_the_first_request_ran() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let answer = RunEnd::Answer(OVERSIZED_BYTES);
    play(&mut simulation, answer, KEYS[1], AskedAt::Ended);
    let resend = simulation.open(KEYS[1]);
    simulation.advance(Duration::from_secs(5));
    assert_eq!(simulation.outcome(resend), "ran");
    assert_eq!(simulation.runs.len(), 1);
}
