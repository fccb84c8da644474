//! Tests of the claim settings that a node derives from its own settings, and of the
//! acknowledgement of upstreams that drain or leave.

use super::acknowledge::{EndDecision, RECORD_TIMEOUT, WaitingEnd, WaitingEnds};
use super::*;
use crate::call::MAX_TIMEOUT;
use crate::http::RequestId;
use crate::membership::{AnnounceAnswer, EndProgress};
use crate::memory::ProcessLimits;

/// Guards against dropping the claim of an unfinished key while its request may still be running.
#[test]
fn unfinished_keys_are_kept_for_the_longest_deadline_and_the_retention() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = NodeSettings {
        name: "node".into(),
        zone: "zone".into(),
        region: "region".into(),
        listen: address,
        advertise: address,
        http: address,
        upstream_http: address,
        ready_http: None,
        metrics_http: None,
        parents: vec![address],
        http_workers: 4,
        limits: ProcessLimits::default(),
        upstream_connections: 1,
        longest_timeout: MAX_TIMEOUT,
        claim_retention: Duration::from_secs(3_600),
        tuning: NodeTuning::default(),
    };
    let claims = claim_settings(&settings);
    assert_eq!(claims.retention, Duration::from_secs(3_600));
    assert_eq!(claims.key_retention, Duration::from_secs(7_200));
}

const LEFT: LocalAnswer = LocalAnswer::Announced(AnnounceAnswer::Left);

fn leave_request() -> WaitingEnd {
    WaitingEnd {
        request: RequestId::default(),
        instance: "run-1".into(),
        answer: LEFT,
        since: Timestamp(0),
    }
}

/// Returns requests of an upstream that leaves, of which one came at the start.
fn waiting_end(progress: EndProgress) -> WaitingEnds {
    let mut ends = WaitingEnds::default();
    let decision = ends.decide(leave_request(), Some(progress));
    assert_eq!(decision, EndDecision::Wait);
    ends
}

fn take_due(
    ends: &mut WaitingEnds,
    now: Timestamp,
    progress: Option<EndProgress>,
) -> Option<LocalAnswer> {
    ends.take_due(now, |_| progress).map(|due| due.answer)
}

/// Guards against a leave that is acknowledged and then forgotten, because the node ends before
/// control knows of it.
#[test]
fn the_end_of_a_run_is_acknowledged_once_it_is_recorded() {
    let mut ends = waiting_end(EndProgress::Reported);
    let now = Timestamp(1_000);
    let (reported, recorded) = (Some(EndProgress::Reported), Some(EndProgress::Recorded));
    assert_eq!(take_due(&mut ends, now, reported), None);
    assert_eq!(take_due(&mut ends, now, recorded), Some(LEFT));
    assert_eq!(take_due(&mut ends, now, recorded), None);
    let decision = ends.decide(leave_request(), recorded);
    assert_eq!(decision, EndDecision::Answer(LEFT));
}

/// Guards against an upstream that gets no answer in time, and against an acknowledgement of an end
/// that control has not recorded: it can't be reached, does not confirm the report, or the node has
/// forgotten the run.
#[test]
fn an_end_that_is_not_recorded_is_refused_in_time() {
    let timeout = Timestamp(0) + RECORD_TIMEOUT;
    let unrecorded = [
        Some(EndProgress::Reported),
        Some(EndProgress::Unreported),
        None,
    ];
    for progress in unrecorded {
        let mut ends = waiting_end(EndProgress::Reported);
        let answer = take_due(&mut ends, timeout, progress);
        assert_eq!(answer, Some(LocalAnswer::Unrecorded), "{progress:?}");
    }
}

/// Guards against an acknowledgement of one run's end because another run's is recorded.
#[test]
fn each_request_waits_for_the_end_of_its_own_run() {
    let mut ends = waiting_end(EndProgress::Reported);
    let other = WaitingEnd {
        instance: "run-2".into(),
        ..leave_request()
    };
    ends.decide(other, Some(EndProgress::Reported));
    let progress = |instance: &str| {
        Some(match instance {
            "run-2" => EndProgress::Recorded,
            _ => EndProgress::Reported,
        })
    };
    let due = ends.take_due(Timestamp(1_000), progress);
    assert_eq!(&*due.unwrap().instance, "run-2");
    assert!(ends.take_due(Timestamp(1_000), progress).is_none());
}
