//! Load pattern: an upstream in need limits the requests per second that it takes, and more arrive.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{
    AttemptId, CallOutcome, CallReason, CallRequest, CallResponse, UpstreamNotice,
};
use kumquatlock_wire::distribution::WireClass;

use super::simulation::{CallSimulation, ENTRY, QueuedMessage};
use crate::admission::AdmissionLimits;
use crate::call::{
    CallSource, DestinationCalls, DestinationStep, LEAVING_HEADER, RATE_LIMIT_HEADER, RunId,
    UpstreamEndpoint,
};
use crate::claim::ClaimSettings;
use crate::core::{IncarnationId, RequestRate, SharedName, Timestamp};
use crate::http::{FinalStatus, HttpResponse};
use crate::transport::LinkId;

const NODE: &str = "booking-1";
/// Time that the upstream needs for a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Span over which arrivals at the upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// One destination node and its upstream, which states a limit in its answers.
struct LimitedUpstream {
    now: Timestamp,
    calls: DestinationCalls,
    stated_limit: Option<&'static str>,
    /// Whether the upstream states that it is leaving.
    states_leaving: bool,
    /// Requests that the upstream is running, by the time of their answer.
    running: BTreeSet<(Timestamp, RunId)>,
    /// Start of each request at the upstream.
    starts: Vec<Timestamp>,
    responses: Vec<CallResponse>,
    /// Notice that the entry nodes repeat with their calls.
    repeated_notice: Option<UpstreamNotice>,
    calls_sent: u64,
}

impl LimitedUpstream {
    fn new(stated_limit: Option<&'static str>) -> Self {
        let now = Timestamp::from_millis(1);
        LimitedUpstream {
            now,
            calls: new_destination(now),
            stated_limit,
            states_leaving: false,
            running: BTreeSet::new(),
            starts: Vec::new(),
            responses: Vec::new(),
            repeated_notice: None,
            calls_sent: 0,
        }
    }

    fn send_call(&mut self) {
        self.calls_sent += 1;
        let request = CallRequest {
            notice: self.repeated_notice.clone(),
            ..call_request(self.calls_sent)
        };
        let source = CallSource::Link(LinkId(0));
        let steps = self.calls.on_call(self.now, source, request, false);
        self.apply(steps);
    }

    /// Advances by `time`, while calls arrive at the given interval.
    fn advance(&mut self, time: Duration, interval: Duration) {
        let end = self.now + time;
        let mut next_call = self.now;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            while let Some((at, run)) = self.running.first().copied()
                && at <= self.now
            {
                self.running.pop_first();
                let steps = self.calls.on_result(self.now, run, Ok(self.answer()));
                self.apply(steps);
            }
            if self.now >= self.calls.next_wakeup(self.now) {
                let steps = self.calls.on_tick(self.now);
                self.apply(steps);
            }
            if self.now >= next_call {
                next_call = next_call + interval;
                self.send_call();
            }
        }
    }

    fn answer(&self) -> HttpResponse {
        let stated = self.stated_limit;
        let stated = stated.map(|value| (RATE_LIMIT_HEADER.to_owned(), value.to_owned()));
        let leaving = self.states_leaving;
        let leaving = leaving.then(|| (LEAVING_HEADER.to_owned(), "1".to_owned()));
        HttpResponse {
            status: FinalStatus::OK,
            headers: stated.into_iter().chain(leaving).collect(),
            ..HttpResponse::default()
        }
    }

    fn apply(&mut self, steps: Vec<DestinationStep>) {
        for step in steps {
            match step {
                DestinationStep::Run { run, .. } => {
                    self.starts.push(self.now);
                    self.running.insert((self.now + SERVICE_TIME, run));
                }
                DestinationStep::Respond { response, .. } => self.responses.push(response),
                _ => {}
            }
        }
    }

    /// Starts the node again beside the running upstream.
    fn restart_node(&mut self) {
        self.calls = new_destination(self.now);
        self.running.clear();
        self.starts.clear();
    }

    /// Returns the largest number of requests that the upstream got within a window that begins at
    /// `from` or later.
    fn most_starts(&self, from: Timestamp) -> usize {
        let starts = self.starts.iter().filter(|start| **start >= from);
        let in_window = |start: &Timestamp| {
            let end = *start + WINDOW;
            let later = self.starts.iter();
            later.filter(|at| *at >= start && **at < end).count()
        };
        starts.map(in_window).max().unwrap_or(0)
    }
}

pub(super) fn new_destination(now: Timestamp) -> DestinationCalls {
    let settings = ClaimSettings::default();
    let mut calls = DestinationCalls::new(NODE.into(), IncarnationId(1), settings);
    calls.on_announce(now, endpoint());
    calls
}

fn endpoint() -> UpstreamEndpoint {
    UpstreamEndpoint {
        address: "127.0.0.1:9".parse().unwrap(),
        instance: "run-1".into(),
        run_started_ms: 1,
        service: "booking".into(),
        limits: AdmissionLimits {
            slots: 12,
            connections: 100,
        },
    }
}

pub(super) fn call_request(call_id: u64) -> CallRequest {
    CallRequest {
        id: AttemptId {
            entry: "front-1".to_owned(),
            entry_incarnation: 1,
            call_id,
            attempt: 1,
        },
        incarnation: 1,
        upstream: NODE.to_owned(),
        service: "booking".to_owned(),
        class: WireClass::Lookup as i32,
        deadline_us: 1_000_000,
        method: "GET".to_owned(),
        path: "/booking/7".to_owned(),
        ..CallRequest::default()
    }
}

/// An upstream in need must not get more requests than it says it takes, from all nodes together.
#[test]
fn an_upstream_gets_no_more_requests_than_it_says_it_takes() {
    // The bound of the users' rules: one and a half times the limit, and 5 requests.
    for (stated, bound) in [("10", 65), ("0.5", 8), ("0", 5)] {
        let mut upstream = LimitedUpstream::new(Some(stated));
        upstream.advance(Duration::from_secs(4), Duration::from_millis(10));
        let from = upstream.now;
        upstream.advance(Duration::from_secs(20), Duration::from_millis(10));
        let most = upstream.most_starts(from);
        assert!(
            most <= bound,
            "{most} requests in 4 s with a limit of {stated}/s"
        );
        assert!(
            most > 0,
            "the end of a limit of {stated}/s would not be noticed"
        );
    }
}

/// A limit must not outlast the upstream's need, or callers are refused for nothing.
#[test]
fn a_limit_ends_with_the_first_later_answer_without_one() {
    let mut upstream = LimitedUpstream::new(Some("5"));
    upstream.advance(Duration::from_secs(5), Duration::from_millis(20));
    upstream.stated_limit = None;
    upstream.advance(Duration::from_secs(1), Duration::from_millis(20));
    let before = upstream.starts.len();
    upstream.advance(Duration::from_secs(1), Duration::from_millis(20));
    let starts = upstream.starts.len() - before;
    assert!(starts >= 50, "{starts} of 50 calls started");
}

/// An answer that was under way when the limit was stated, and one to a request sent before, must
/// not end it.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut upstream = LimitedUpstream::new(None);
    for _ in 0..2 {
        upstream.send_call();
    }
    let (limited, late) = (RunId(1), RunId(2));
    upstream.stated_limit = Some("5");
    let steps = upstream
        .calls
        .on_result(upstream.now, limited, Ok(upstream.answer()));
    upstream.apply(steps);
    upstream.stated_limit = None;
    let steps = upstream
        .calls
        .on_result(upstream.now, late, Ok(upstream.answer()));
    upstream.apply(steps);
    assert_eq!(upstream.calls.rate_limit(), RequestRate::parse("5"));
}

/// A limit must not pass to the next run of the upstream, even under the same identifier.
#[test]
fn a_restarted_upstream_starts_without_a_limit() {
    let mut upstream = LimitedUpstream::new(Some("5"));
    upstream.advance(Duration::from_secs(2), Duration::from_millis(20));
    assert!(upstream.calls.rate_limit().is_some());
    let next_run = UpstreamEndpoint {
        run_started_ms: 2,
        ..endpoint()
    };
    upstream.calls.on_announce(upstream.now, next_run);
    upstream.stated_limit = None;
    let before = upstream.starts.len();
    upstream.advance(Duration::from_millis(200), Duration::from_millis(20));
    assert!(upstream.starts.len() - before >= 10);
}

/// Values that are no rate must be ignored, and none may stop the node.
#[test]
fn a_limit_that_cannot_be_read_changes_nothing() {
    let mut upstream = LimitedUpstream::new(Some("5"));
    upstream.advance(Duration::from_secs(1), Duration::from_millis(20));
    for value in ["", "-1", "NaN", "inf", "many", "1e999"] {
        upstream.stated_limit = Some(value);
        upstream.advance(Duration::from_secs(1), Duration::from_millis(20));
        assert_eq!(
            upstream.calls.rate_limit(),
            RequestRate::parse("5"),
            "{value}"
        );
    }
    upstream.stated_limit = Some("1e300");
    upstream.advance(Duration::from_secs(1), Duration::from_millis(20));
    assert_eq!(upstream.calls.rate_limit(), RequestRate::parse("1000000"));
}

/// Calls beyond the limit must be told at once that they do not run, not at their deadline.
#[test]
fn calls_beyond_the_limit_are_refused_at_once() {
    let mut upstream = LimitedUpstream::new(Some("10"));
    upstream.advance(Duration::from_secs(4), Duration::from_millis(10));
    let waiting = upstream.calls.in_progress();
    assert!(waiting <= 4, "{waiting} calls wait for a rate of 10/s");
}

/// A node that has started again must keep to the limit from its first call on, because its callers
/// still know it.
#[test]
fn a_restarted_node_learns_the_limit_from_its_callers() {
    let mut upstream = LimitedUpstream::new(Some("1"));
    upstream.advance(Duration::from_secs(5), Duration::from_millis(10));
    upstream.repeated_notice = upstream
        .responses
        .last()
        .and_then(|last| last.notice.clone());
    upstream.restart_node();
    upstream.advance(WINDOW, Duration::from_millis(2));
    // One and a half times the limit, and 5 requests.
    let most = upstream.most_starts(Timestamp::default());
    assert!(
        (1..=11).contains(&most),
        "{most} requests in 4 s with a limit of 1/s"
    );
}

/// A limit that an earlier run of the upstream stated must not bind the next one.
#[test]
fn a_repeated_limit_of_an_earlier_run_is_ignored() {
    let mut upstream = LimitedUpstream::new(None);
    upstream.repeated_notice = Some(UpstreamNotice {
        instance: "run-0".to_owned(),
        run_started_ms: 0,
        rate_limit_millis: Some(1_000),
        leaving: false,
    });
    upstream.advance(Duration::from_secs(1), Duration::from_millis(10));
    assert!(upstream.starts.len() >= 100);
}

/// An entry node must repeat what an upstream states, to that upstream only, and until it states
/// nothing any more.
#[test]
fn an_entry_node_repeats_the_notice_of_an_upstream() {
    let notice = UpstreamNotice {
        instance: "run-1".to_owned(),
        run_started_ms: 1,
        rate_limit_millis: Some(1_000),
        leaving: false,
    };
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    let limited = answer_next_call(&mut simulation, Some(notice.clone()));
    let mut repeated = 0;
    while repeated == 0 {
        simulation.open(None);
        let message = simulation.queue.pop_front().unwrap();
        let is_limited = message.to == limited;
        let Body::Call(request) = message.body else {
            continue;
        };
        assert_eq!(request.notice.is_some(), is_limited);
        repeated += usize::from(is_limited);
    }
    while answer_next_call(&mut simulation, None) != limited {}
    simulation.queue.clear();
    for _ in 0..20 {
        simulation.open(None);
    }
    let is_without = |message: &QueuedMessage| match &message.body {
        Body::Call(request) => request.notice.is_none(),
        _ => true,
    };
    assert!(simulation.queue.iter().all(is_without));
}

/// Opens a call and answers it in place of its upstream, whose name is returned.
fn answer_next_call(simulation: &mut CallSimulation, notice: Option<UpstreamNotice>) -> String {
    simulation.open(None);
    let message = simulation.queue.pop_back().unwrap();
    let Body::Call(request) = message.body else {
        panic!("no call was sent");
    };
    let response = CallResponse {
        id: request.id,
        incarnation: request.incarnation,
        outcome: CallOutcome::Answered as i32,
        status: 200,
        notice,
        ..CallResponse::default()
    };
    simulation.deliver(QueuedMessage {
        from: message.to.clone(),
        to: ENTRY.to_owned(),
        body: Body::Response(response),
    });
    message.to
}

/// An upstream that states that it is leaving must get no further call, although its announcements
/// still say that it serves, and also after its node has started again.
#[test]
fn an_upstream_that_states_that_it_leaves_gets_no_more_calls() {
    let mut upstream = LimitedUpstream::new(None);
    upstream.advance(Duration::from_secs(1), Duration::from_millis(10));
    upstream.states_leaving = true;
    upstream.advance(Duration::from_secs(1), Duration::from_millis(10));
    upstream.repeated_notice = upstream
        .responses
        .last()
        .and_then(|last| last.notice.clone());
    for _ in 0..2 {
        upstream.starts.clear();
        upstream.calls.on_announce(upstream.now, endpoint());
        upstream.advance(Duration::from_secs(1), Duration::from_millis(10));
        assert_eq!(upstream.starts, []);
        let last = upstream.responses.last().unwrap();
        assert_eq!(last.reason, CallReason::Draining as i32);
        upstream.restart_node();
    }
}

/// A limit must survive a gap in the announcements, after which the same run serves again.
#[test]
fn a_limit_survives_a_gap_in_the_announcements() {
    let mut upstream = LimitedUpstream::new(Some("5"));
    upstream.advance(Duration::from_secs(2), Duration::from_millis(20));
    upstream.calls.drain();
    upstream.calls.on_announce(upstream.now, endpoint());
    let from = upstream.now;
    upstream.advance(WINDOW, Duration::from_millis(20));
    // One and a half times the limit, and 5 requests.
    let most = upstream.most_starts(from);
    assert!(
        (1..=35).contains(&most),
        "{most} requests in 4 s with a limit of 5/s"
    );
}

/// An upstream that names no run and starts again must not keep the limit of before.
#[test]
fn a_new_incarnation_of_an_unnamed_upstream_starts_without_a_limit() {
    let mut upstream = LimitedUpstream::new(Some("1"));
    let unnamed = UpstreamEndpoint {
        instance: SharedName::default(),
        run_started_ms: 0,
        ..endpoint()
    };
    upstream.calls.on_announce(upstream.now, unnamed.clone());
    upstream.advance(Duration::from_secs(3), Duration::from_millis(20));
    assert!(upstream.calls.rate_limit().is_some());
    let incarnation = IncarnationId(2);
    let steps = upstream.calls.set_incarnation(upstream.now, incarnation);
    upstream.apply(steps);
    upstream.calls.on_announce(upstream.now, unnamed);
    upstream.calls.accept_earlier_incarnations();
    upstream.stated_limit = None;
    let before = upstream.starts.len();
    upstream.advance(Duration::from_secs(1), Duration::from_millis(20));
    let starts = upstream.starts.len() - before;
    assert!(starts >= 50, "{starts} of 50 calls started");
}
