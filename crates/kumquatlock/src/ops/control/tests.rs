//! Tests of the links to other control instances, of the threads for operators, and of the log
//! lines of submissions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use stakker::sync::Channel;
use stakker::{Fwd, Stakker};

use super::http::{OperatorWorkers, WorkerResult};
use super::metrics::ControlMetrics;
use super::operator::{OperatorAdapter, OperatorRequest};
use super::peers::PeerLinks;
use super::requests::RequestTable;
use super::submission_log::{
    AnswerBasis, DocumentSummary, KnownState, LoggedStep, SubmissionLine, SubmissionLog,
    SubmissionSender, SubmissionVerdict,
};
use crate::core::Timestamp;
use crate::http::{HttpRequest, RequestId};
use crate::memory::ProcessLimits;
use crate::transport::LinkId;

const PEER: &str = "voter-2";

/// Returns links with one peer, to which a connection attempt started at time zero.
fn connecting_links() -> PeerLinks {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut peers = PeerLinks::new([(PEER.into(), address)].into_iter());
    assert_eq!(peers.due(Timestamp(0)).len(), 1);
    peers.set_connecting(Timestamp(0), PEER, LinkId(1));
    peers
}

/// Guards against a voter that waits a second for a peer that started after the connection attempt.
/// The first packet to an instance that is down is lost and repeated only after a second. After a
/// power loss, that delays the election of a leader.
#[test]
fn a_connection_attempt_before_the_peer_is_up_is_repeated_early() {
    // A peer that was up when the attempt began would have answered it before.
    let mut peers = connecting_links();
    let reachable_at = Timestamp::from_millis(70);
    peers.set_reachable(reachable_at, PEER);
    assert_eq!(peers.take_stalled(reachable_at), [LinkId(1)]);
    assert_eq!(peers.due(reachable_at).len(), 1);

    // The answer may still be on its way.
    let mut peers = connecting_links();
    let reachable_at = Timestamp::from_millis(69);
    peers.set_reachable(reachable_at, PEER);
    let soon = reachable_at + Duration::from_millis(149);
    assert_eq!(peers.take_stalled(soon), []);
    let later = reachable_at + Duration::from_millis(150);
    assert_eq!(peers.take_stalled(later), [LinkId(1)]);
    assert_eq!(peers.due(later).len(), 1);
    // Closing the abandoned link does not change the new attempt.
    peers.set_closed(later, PEER, LinkId(1), &mut SmallRng::seed_from_u64(1));
    assert_eq!(peers.due(later).len(), 1);
}

/// Guards against abandoning a connection attempt to a peer that is not known to be up, and against
/// abandoning an established link.
#[test]
fn attempts_to_silent_peers_and_connected_links_are_kept() {
    let late = Timestamp::from_millis(900);
    assert_eq!(connecting_links().take_stalled(late), []);
    let mut peers = connecting_links();
    peers.set_reachable(Timestamp::from_millis(100), PEER);
    peers.set_connected(PEER, LinkId(1));
    assert_eq!(peers.take_stalled(late), []);
    peers.set_reachable(late, PEER);
    assert_eq!(peers.take_stalled(late + Duration::from_secs(1)), []);
}

/// Guards against a request that ends the threads for operators, so that the instance runs on but
/// accepts no manifest any more.
#[test]
fn a_panic_in_a_request_leaves_the_threads_for_later_ones() {
    const REQUESTS: usize = 8;
    let adapter = OperatorAdapter {
        read: |request| match request.target.as_str() {
            "/panic" => panic!("expected by the test"),
            _ => Ok(OperatorRequest::Metrics),
        },
        ..OperatorAdapter::default()
    };
    let mut stakker = Stakker::new(Instant::now());
    stakker.set_poll_waker(|| {});
    let statuses = Rc::new(RefCell::new(Vec::new()));
    let received = statuses.clone();
    let forward = Fwd::new(move |result: WorkerResult| match result {
        WorkerResult::Response { response, .. } => received.borrow_mut().push(response.status),
        WorkerResult::Call(_) | WorkerResult::Parsed { .. } => {
            panic!("metrics are not passed to the actor")
        }
    });
    let (results, _guard) = Channel::new(&mut stakker, forward);
    let metrics = Arc::new(ControlMetrics::new(ProcessLimits::default()));
    let mut workers = OperatorWorkers::start(adapter, &metrics, &results).unwrap();
    for number in 0..REQUESTS {
        let target = match number {
            0..4 => "/panic",
            _ => "/metrics",
        };
        let request = HttpRequest {
            method: "GET".into(),
            target: target.into(),
            ..HttpRequest::default()
        };
        workers.read(RequestId::default(), request);
    }
    let start = Instant::now();
    while statuses.borrow().len() < REQUESTS && start.elapsed() < Duration::from_secs(10) {
        stakker.poll_wake();
        stakker.run(Instant::now(), false);
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut statuses = statuses.take();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 200, 200, 503, 503, 503, 503]);
}

const SUMMARY: DocumentSummary = DocumentSummary {
    manifest_version: 7,
    base: 6,
    digest: 0xd1,
};

fn refusal() -> SubmissionVerdict {
    SubmissionVerdict {
        outcome: "refused".to_owned(),
        reason: "other_base".to_owned(),
        status: 409,
    }
}

fn open_submission(log: &mut SubmissionLog, now: Timestamp, id: u64) -> Option<SubmissionLine> {
    log.open(now, id, SubmissionSender::Operator, SUMMARY);
    let state = KnownState::default();
    log.record(now, id, LoggedStep::Received, String::new(), state)
}

/// Guards against a refusal from which one can't tell which state of the log it was based on, and
/// against a redirected or lost submission without a line.
#[test]
fn the_lines_of_a_submission_name_its_steps_and_the_known_state() {
    let mut log = SubmissionLog::default();
    let later = Timestamp::from_millis(30);
    // A leader that has not yet applied the first entry of its term.
    let state = KnownState {
        newest_version: 5,
        applied: 9,
        committed: 9,
        last: 12,
        term: 4,
        term_start: 12,
    };
    let received = open_submission(&mut log, Timestamp(0), 1).unwrap();
    assert_eq!(
        (received.step, received.document),
        (LoggedStep::Received, SUMMARY)
    );
    log.set_basis(1, AnswerBasis::AppliedState);
    let answered = log.record_answer(later, 1, refusal(), state).unwrap();
    let expected = SubmissionLine {
        step: LoggedStep::Answered,
        id: 1,
        sender: SubmissionSender::Operator,
        document: SUMMARY,
        basis: AnswerBasis::AppliedState,
        to: String::new(),
        verdict: refusal(),
        state,
        elapsed: Duration::from_millis(30),
        left_out: 0,
    };
    assert_eq!(answered, expected);
    assert_eq!(log.record_answer(later, 1, refusal(), state), None);

    open_submission(&mut log, later, 2).unwrap();
    let (step, to) = (LoggedStep::Redirected, "10.0.0.1:80".to_owned());
    let redirected = log.record(later, 2, step, to, state).unwrap();
    assert_eq!(
        (<&str>::from(redirected.step), redirected.to.as_str()),
        ("submission_redirected", "10.0.0.1:80")
    );
    log.set_basis(2, AnswerBasis::Forwarded);
    let unknown = SubmissionVerdict {
        outcome: "unknown".to_owned(),
        reason: "leader_lost".to_owned(),
        status: 504,
    };
    let lost = log.record_answer(later, 2, unknown, state).unwrap();
    assert_eq!(
        (<&str>::from(lost.step), <&str>::from(lost.basis)),
        ("submission_lost", "forwarded")
    );
}

/// Guards against a storm of submissions that fills the log, and against refusals whose lines are
/// left out because of it.
#[test]
fn a_storm_of_submissions_is_bounded_and_leaves_room_for_refusals() {
    let mut log = SubmissionLog::default();
    let accepted = SubmissionVerdict {
        outcome: "accepted".to_owned(),
        status: 200,
        ..SubmissionVerdict::default()
    };
    let now = Timestamp::from_millis(5_000);
    let state = KnownState::default();
    let mut written = 0;
    for id in 1..=1_000 {
        let received = open_submission(&mut log, now, id);
        let answered = log.record_answer(now, id, accepted.clone(), state);
        written += usize::from(received.is_some()) + usize::from(answered.is_some());
    }
    // 60 lines per second, for the two seconds of a burst.
    assert_eq!(written, 120);
    assert_eq!(open_submission(&mut log, now, 1_001), None);
    let refused = log.record_answer(now, 1_001, refusal(), state).unwrap();
    assert_eq!(refused.left_out, 0);
    let second_later = now + Duration::from_secs(1);
    let received = open_submission(&mut log, second_later, 1_002).unwrap();
    assert_eq!(received.left_out, 2_001 - 120);
}

/// Guards against an answer to a request of an earlier process that is taken for the answer to one of
/// this process. The leader sends an answer to the voter of that name, over its newest link.
#[test]
fn processes_do_not_share_request_ids() {
    let [mut earlier, mut later] = [RequestTable::default(), RequestTable::default()];
    let earlier: Vec<u64> = (0..100).map(|_| earlier.next_id()).collect();
    let shared = (0..100).filter(|_| earlier.contains(&later.next_id()));
    assert_eq!(shared.count(), 0);
}
