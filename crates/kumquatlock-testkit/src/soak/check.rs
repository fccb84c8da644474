//! Records what callers, operators and upstreams observe during a soak, and checks it against the
//! documented guarantees.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;
use strum::Display;

use super::operator::moved_service;
use super::plan::{FaultKind, FaultScope, PlannedFault};
use super::traffic::CALL_TIMEOUT;
use crate::upstream::RunLedger;

/// Time after the end of a fault from which guarantees with a time limit hold again.
pub const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Time within which every node must apply an acknowledged manifest.
const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum time by which a response may arrive after its deadline.
const DEADLINE_TOLERANCE: Duration = Duration::from_secs(1);

/// Point in time, counted from the start of the traffic.
pub type SoakTime = Duration;

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A lookup, which may run more than once.
    Lookup,
    /// A request without an idempotency key, which may run at most once.
    Booking,
    /// A lookup on the route `moved`, which alternates between two services from one manifest
    /// version to the next.
    Moved,
    /// A request with an idempotency key, which may run at most once even if it is resent.
    Keyed,
}

impl CallKind {
    /// Returns the prefix of the request paths.
    pub fn prefix(self) -> &'static str {
        match self {
            CallKind::Lookup => "/catalogue",
            CallKind::Booking => "/booking",
            CallKind::Moved => "/moved",
            CallKind::Keyed => "/orders",
        }
    }
}

/// How a call ended, as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEnd {
    /// With the complete response of an upstream of this service.
    Answered(String),
    /// With a response with status 200 that belongs to another request; the value is its body.
    Foreign(String),
    /// With the outcome `not_run`: the request has not run and never will.
    NotRun,
    /// With the outcome `unknown` or a status 5xx: the request may or may not have run.
    Unknown,
    /// With any other response, or with a request that could not be built. All requests of the soak
    /// are valid.
    Rejected(String),
    /// Without a complete response.
    Broken,
}

/// One attempt of a call.
#[derive(Clone, Debug, Serialize)]
pub struct SoakCall {
    /// Index of the node that was called.
    pub node: usize,
    /// Kind of the request.
    pub kind: CallKind,
    /// Body of the request, or last part of its path. Also its idempotency key, if it has one.
    pub body: String,
    /// Time at which the request was sent.
    pub sent: SoakTime,
    /// Time at which the call ended.
    pub ended: SoakTime,
    /// How the call ended.
    pub end: CallEnd,
}

/// How the submission of a manifest ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubmitEnd {
    /// The manifest was accepted.
    Accepted,
    /// The manifest was refused because another manifest had been accepted in its place.
    Refused,
    /// The manifest was rejected by a validity check, although all manifests of the soak are valid.
    Invalid,
    /// It is not known whether the manifest was accepted.
    Unclear,
}

/// Submission of a manifest by an operator.
#[derive(Clone, Debug, Serialize)]
pub struct Submission {
    /// Version of the manifest.
    pub version: u64,
    /// Version that the manifest builds on; 0 for the first manifest.
    pub follows: u64,
    /// Index of the operator that submitted it.
    pub operator: usize,
    /// Time at which it was first sent.
    pub sent: SoakTime,
    /// Time at which its end was known or the operator gave up; `None` before.
    pub ended: Option<SoakTime>,
    /// How the submission ended.
    pub end: SubmitEnd,
}

/// Kind of violation of a guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ViolationKind {
    /// An at-most-once request ran more than once.
    Doubled,
    /// A request ran although its caller got the outcome `not_run`.
    NotRunButRan,
    /// A caller got the response to another request.
    ForeignAnswer,
    /// A valid request was rejected, see [`CallEnd::Rejected`].
    ProperRejected,
    /// A call to a node without a fault got no complete response.
    CutOff,
    /// A request that had started at its upstream got no complete response because of a planned
    /// stop.
    LostByStop,
    /// A call to a node without a fault ended long after its deadline.
    Overdue,
    /// A request was routed by a manifest that had been replaced.
    StaleRoute,
    /// A node went back to an earlier configuration without a restart.
    WentBack,
    /// Two accepted manifests build on the same version.
    Forked,
    /// A read returned an older manifest than one that had been acknowledged before the read.
    StaleRead,
    /// A manifest that was refused, or that was never submitted, is in force.
    RefusedInForce,
    /// A valid manifest was rejected as invalid.
    ValidRefused,
    /// An accepted manifest was refused when it was resent.
    ResendRefused,
    /// A node or control instance did not recover in time after the last fault.
    NotRecovered,
}

/// A violation of a documented guarantee that the soak has found.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantViolation {
    /// Kind of the violation.
    pub kind: ViolationKind,
    /// Description of the observations that show the violation.
    pub seen: String,
}

impl InvariantViolation {
    /// Creates a violation with a description of the observations that show it.
    pub fn new(kind: ViolationKind, seen: impl Into<String>) -> Self {
        let seen = seen.into();
        InvariantViolation { kind, seen }
    }
}

/// Time span of an injected fault.
#[derive(Clone, Copy, Debug)]
struct FaultSpan {
    kind: FaultKind,
    target: usize,
    from: SoakTime,
    /// End of the fault; `None` while it is active.
    until: Option<SoakTime>,
}

impl FaultSpan {
    /// Returns whether the fault was active between `from` and `until`, or ended less than
    /// [`STABLE_WINDOW`] before `from`.
    fn overlaps(&self, from: SoakTime, until: SoakTime) -> bool {
        let unstable_until = self.until.map_or(SoakTime::MAX, |end| end + STABLE_WINDOW);
        self.from <= until && from <= unstable_until
    }
}

#[derive(Debug, Default)]
struct HistoryState {
    calls: Vec<SoakCall>,
    submissions: Vec<Submission>,
    reads: Vec<(SoakTime, u64)>,
    fault_spans: Vec<FaultSpan>,
    /// Number of restarts and configuration version of each node at its last observation.
    applied_versions: IndexMap<usize, (u32, u64)>,
    violations: Vec<InvariantViolation>,
    faults_ended: Option<SoakTime>,
}

/// Observations of a soak so far. Shared by all threads of the soak.
#[derive(Debug)]
pub struct SoakHistory {
    started: Instant,
    state: Mutex<HistoryState>,
}

impl SoakHistory {
    /// Creates an empty history; its times are counted from now.
    pub fn start() -> Self {
        SoakHistory {
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> SoakTime {
        self.started.elapsed()
    }

    /// Records a call that has ended.
    pub fn record_call(&self, call: SoakCall) {
        self.state().calls.push(call);
    }

    /// Records a manifest that is about to be sent for the first time.
    pub fn record_submission(&self, submission: &Submission) {
        self.state().submissions.push(submission.clone());
    }

    /// Records how a submission ended, or that its operator gave up.
    pub fn record_submission_end(&self, submission: Submission) {
        let mut state = self.state();
        let mut submissions = state.submissions.iter_mut();
        if let Some(known) = submissions.find(|known| {
            (known.version, known.operator, known.sent)
                == (submission.version, submission.operator, submission.sent)
        }) {
            *known = submission;
        }
    }

    /// Records how the resend of an accepted manifest ended. A refusal is a violation if all
    /// submissions of other operators had ended before the manifest was first sent, since none of
    /// them can then have replaced it.
    pub fn record_resend(&self, submission: &Submission, end: SubmitEnd) {
        let mut state = self.state();
        let others = state.submissions.iter();
        let is_newest = others
            .filter(|other| other.operator != submission.operator)
            .all(|other| other.ended.is_some_and(|ended| ended < submission.sent));
        if is_newest && matches!(end, SubmitEnd::Refused | SubmitEnd::Invalid) {
            let seen = format!("{submission:?}");
            let violation = InvariantViolation::new(ViolationKind::ResendRefused, seen);
            state.violations.push(violation);
        }
    }

    /// Records a read that was sent at `sent` and returned `version` as the newest version.
    pub fn record_read(&self, sent: SoakTime, version: u64) {
        self.state().reads.push((sent, version));
    }

    /// Records the start of a fault.
    pub fn record_fault_start(&self, fault: &PlannedFault) {
        let from = self.now();
        self.state().fault_spans.push(FaultSpan {
            kind: fault.kind,
            target: fault.target,
            from,
            until: None,
        });
    }

    /// Records the end of a fault.
    pub fn record_fault_end(&self, fault: &PlannedFault) {
        let until = self.now();
        let mut state = self.state();
        let mut spans = state.fault_spans.iter_mut();
        if let Some(span) = spans.find(|span| {
            span.until.is_none() && (span.kind, span.target) == (fault.kind, fault.target)
        }) {
            span.until = Some(until);
        }
    }

    /// Records the end of the last fault.
    pub fn record_end_of_faults(&self) {
        let now = self.now();
        self.state().faults_ended = Some(now);
    }

    /// Records the configuration version that a node has applied after this number of restarts.
    pub fn record_applied(&self, node: usize, restarts: u32, version: u64) {
        let mut state = self.state();
        let previous = state.applied_versions.insert(node, (restarts, version));
        if let Some((run, earlier_version)) = previous.filter(|(run, _)| *run == restarts)
            && version < earlier_version
        {
            let seen = format!("node {node}, run {run}: {earlier_version}, then {version}");
            let violation = InvariantViolation::new(ViolationKind::WentBack, seen);
            state.violations.push(violation);
        }
    }

    /// Returns the number of calls by kind and by name of their end.
    pub fn count_ends(&self) -> IndexMap<(CallKind, &'static str), u64> {
        let mut counts: IndexMap<(CallKind, &'static str), u64> = IndexMap::new();
        for call in &self.state().calls {
            let end = match call.end {
                CallEnd::Answered(_) => "answered",
                CallEnd::Foreign(_) => "foreign",
                CallEnd::NotRun => "not-run",
                CallEnd::Unknown => "unknown",
                CallEnd::Rejected(_) => "rejected",
                CallEnd::Broken => "broken",
            };
            *counts.entry((call.kind, end)).or_default() += 1;
        }
        counts.sort_unstable_by(|left, _, right, _| {
            let sort_key = |(kind, end): &(CallKind, &'static str)| (kind.prefix(), *end);
            sort_key(left).cmp(&sort_key(right))
        });
        counts
    }

    /// Returns the number of accepted manifests.
    pub fn accepted(&self) -> usize {
        let state = self.state();
        let accepted = state.submissions.iter();
        accepted
            .filter(|submission| submission.end == SubmitEnd::Accepted)
            .count()
    }

    /// Returns the newest accepted version, or 0 if there is none.
    pub fn newest_accepted(&self) -> u64 {
        self.state().newest_accepted_before(SoakTime::MAX)
    }

    /// Returns all violations of the guarantees.
    pub fn check(&self, ledger: &RunLedger) -> Vec<InvariantViolation> {
        let state = self.state();
        let mut violations = state.violations.clone();
        for call in &state.calls {
            let kind = state.violation_of_call(call, ledger);
            violations.extend(kind.map(|kind| InvariantViolation::new(kind, format!("{call:?}"))));
        }
        violations.extend(state.manifest_violations());
        violations
    }

    fn state(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HistoryState {
    fn violation_of_call(&self, call: &SoakCall, ledger: &RunLedger) -> Option<ViolationKind> {
        let runs = match call.kind {
            CallKind::Lookup | CallKind::Moved => 0,
            CallKind::Booking => ledger.runs_of_body(call.body.as_bytes()).started,
            CallKind::Keyed => ledger.runs_of_key(&call.body).started,
        };
        if runs > 1 {
            return Some(ViolationKind::Doubled);
        }
        let is_node_healthy = !self.is_affected_by_node_fault(call);
        match &call.end {
            CallEnd::NotRun if runs > 0 => Some(ViolationKind::NotRunButRan),
            CallEnd::Foreign(_) => Some(ViolationKind::ForeignAnswer),
            CallEnd::Rejected(_) => Some(ViolationKind::ProperRejected),
            CallEnd::Broken if is_node_healthy => Some(ViolationKind::CutOff),
            CallEnd::Broken if runs > 0 && self.only_graceful_stops(call) => {
                Some(ViolationKind::LostByStop)
            }
            _ if is_node_healthy && call.ended - call.sent > CALL_TIMEOUT + DEADLINE_TOLERANCE => {
                Some(ViolationKind::Overdue)
            }
            CallEnd::Answered(service) if call.kind == CallKind::Moved && is_node_healthy => {
                let expected = self.expected_moved_service(call)?;
                (service != expected).then_some(ViolationKind::StaleRoute)
            }
            _ => None,
        }
    }

    /// Returns whether a fault of the called node, or of a service, may have affected the call.
    fn is_affected_by_node_fault(&self, call: &SoakCall) -> bool {
        self.fault_spans.iter().any(|span| {
            let affects_node = match span.kind.scope() {
                FaultScope::Node => span.target == call.node,
                FaultScope::Service => true,
                FaultScope::Control | FaultScope::Upstream => false,
            };
            affects_node && span.overlaps(call.sent, call.ended)
        })
    }

    /// Returns whether all faults that may have affected the call were planned stops.
    fn only_graceful_stops(&self, call: &SoakCall) -> bool {
        let mut spans = self.fault_spans.iter();
        spans.all(|span| span.kind.is_graceful_stop() || !span.overlaps(call.sent, call.ended))
    }

    /// Returns the service that the route `moved` leads to at the time of the call, if that is
    /// certain: the newest accepted manifest was acknowledged at least [`CONFIG_APPLY_TIMEOUT`]
    /// before the call, no newer manifest may be in force, and no fault of a control instance was
    /// active.
    fn expected_moved_service(&self, call: &SoakCall) -> Option<&'static str> {
        let since = call.sent.checked_sub(CONFIG_APPLY_TIMEOUT)?;
        let newest = self.newest_accepted_before(since);
        let may_have_replaced = |other: &Submission| {
            let is_rejected = matches!(other.end, SubmitEnd::Refused | SubmitEnd::Invalid);
            other.version > newest && other.sent < call.ended && !is_rejected
        };
        let mut spans = self.fault_spans.iter();
        let has_control_fault = spans.any(|span| {
            span.kind.scope() == FaultScope::Control && span.overlaps(since, call.ended)
        });
        let is_uncertain =
            newest == 0 || has_control_fault || self.submissions.iter().any(may_have_replaced);
        (!is_uncertain).then(|| moved_service(newest))
    }

    fn newest_accepted_before(&self, time: SoakTime) -> u64 {
        let accepted = self.submissions.iter().filter(|submission| {
            submission.end == SubmitEnd::Accepted
                && submission.ended.is_some_and(|ended| ended <= time)
        });
        accepted
            .map(|submission| submission.version)
            .max()
            .unwrap_or(0)
    }

    fn manifest_violations(&self) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        let mut accepted_by_parent: IndexMap<u64, &Submission> = IndexMap::new();
        for submission in &self.submissions {
            if submission.end == SubmitEnd::Invalid {
                let seen = format!("{submission:?}");
                violations.push(InvariantViolation::new(ViolationKind::ValidRefused, seen));
            }
            if submission.end == SubmitEnd::Accepted
                && let Some(other) = accepted_by_parent.insert(submission.follows, submission)
            {
                let seen = format!("{other:?} and {submission:?}");
                violations.push(InvariantViolation::new(ViolationKind::Forked, seen));
            }
        }
        for (sent, version) in &self.reads {
            let newest = self.newest_accepted_before(*sent);
            if *version < newest {
                let seen = format!("read {version} at {sent:?}, after {newest}");
                violations.push(InvariantViolation::new(ViolationKind::StaleRead, seen));
            }
            // `all` is also true if there is no such submission, that is, if no operator has
            // submitted this version.
            let mut with_same_version = self
                .submissions
                .iter()
                .filter(|other| other.version == *version);
            if with_same_version.all(|other| other.end == SubmitEnd::Refused) {
                let seen = format!("read {version} at {sent:?}");
                violations.push(InvariantViolation::new(ViolationKind::RefusedInForce, seen));
            }
        }
        violations
    }
}
