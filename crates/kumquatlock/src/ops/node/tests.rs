//! Tests of the claim settings that a node derives from its own settings, and of the
//! acknowledgement of upstreams that drain or leave.

use super::acknowledge::{EndDecision, RECORD_TIMEOUT, WaitingEnds};
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

/// Returns requests of an upstream that leaves, of which one came at the start.
fn waiting_end(progress: EndProgress) -> WaitingEnds {
    let mut ends = WaitingEnds::default();
    let decision = ends.decide(Timestamp(0), RequestId::default(), LEFT, progress);
    assert_eq!(decision, EndDecision::Wait);
    ends
}

/// Guards against a leave that is acknowledged and then forgotten, because the node ends before
/// control knows of it.
#[test]
fn the_end_of_a_run_is_acknowledged_once_it_is_recorded() {
    let mut ends = waiting_end(EndProgress::Reported);
    let now = Timestamp(1_000);
    assert_eq!(ends.take_due(now, EndProgress::Reported), None);
    let due = ends.take_due(now, EndProgress::Recorded);
    assert_eq!(due, Some((RequestId::default(), LEFT)));
    assert_eq!(ends.take_due(now, EndProgress::Recorded), None);
    let decision = ends.decide(now, RequestId::default(), LEFT, EndProgress::Recorded);
    assert_eq!(decision, EndDecision::Answer(LEFT));
}

/// Guards against an upstream that gets no answer in time, and against an acknowledgement while
/// control can't be reached.
#[test]
fn the_end_of_a_run_is_answered_in_time() {
    let timeout = Timestamp(0) + RECORD_TIMEOUT;
    let mut ends = waiting_end(EndProgress::Reported);
    let due = ends.take_due(timeout, EndProgress::Reported);
    assert_eq!(due, Some((RequestId::default(), LEFT)));
    let mut ends = waiting_end(EndProgress::Unreported);
    let due = ends.take_due(timeout, EndProgress::Unreported);
    assert_eq!(due, Some((RequestId::default(), LocalAnswer::Unrecorded)));
}
