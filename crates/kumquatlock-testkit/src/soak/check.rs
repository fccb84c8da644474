//! What callers, operators and upstreams saw, compared with the promises of the pages.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::Serialize;
use strum::Display;

use super::operator::moved_service;
use super::plan::{FaultKind, FaultScope, PlannedFault};
use super::traffic::CALL_TIMEOUT;
use crate::upstream::RunLedger;

/// Time without a fault after which promises with a bound on time hold again.
pub const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Time in which an acknowledged manifest comes into force at a node.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

/// How late an answer may come after its deadline.
const OVERDUE: Duration = Duration::from_secs(1);

/// Times are counted from the start of traffic.
pub type SoakTime = Duration;

/// One kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// May run more than once.
    Lookup,
    /// Runs once at most.
    Booking,
    /// A lookup on a route that the manifests lead to and fro.
    Moved,
    /// Runs once at most and is sent again with its key.
    Keyed,
}

impl CallKind {
    /// Start of its paths.
    pub fn prefix(self) -> &'static str {
        match self {
            CallKind::Lookup => "/catalogue",
            CallKind::Booking => "/booking",
            CallKind::Moved => "/moved",
            CallKind::Keyed => "/orders",
        }
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEnd {
    /// With the whole answer of an upstream of this service.
    Answered(String),
    /// With the answer of another request.
    Foreign(String),
    /// With the promise that it has not run and never will.
    NotRun,
    /// Without a promise.
    Unknown,
    /// As a request that may not be sent.
    Rejected(String),
    /// Without a complete answer.
    Broken,
}

/// One attempt of a caller.
#[derive(Clone, Debug, Serialize)]
pub struct SoakCall {
    /// Position of the node that was called.
    pub node: usize,
    /// Its kind.
    pub kind: CallKind,
    /// Body or last part of the path; its key, if it has one.
    pub body: String,
    /// When it was sent.
    pub sent: SoakTime,
    /// When its end was known.
    pub ended: SoakTime,
    /// How it ended.
    pub end: CallEnd,
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubmitEnd {
    /// Acknowledged.
    Accepted,
    /// Another manifest is in its place.
    Refused,
    /// Said to break a check. All manifests of the soak are valid.
    Invalid,
    /// Not known.
    Unclear,
}

/// One manifest of an operator.
#[derive(Clone, Debug, Serialize)]
pub struct Submission {
    /// Its version.
    pub version: u64,
    /// The version that it builds on; 0 for the first.
    pub follows: u64,
    /// Who sent it.
    pub operator: usize,
    /// When it was first sent.
    pub sent: SoakTime,
    /// When its end was known; nothing while it is on its way.
    pub ended: Option<SoakTime>,
    /// How it ended.
    pub end: SubmitEnd,
}

/// A promise that was not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ViolationKind {
    /// A request that runs at most once ran twice.
    Doubled,
    /// A request ran though its caller was told that it did not.
    NotRunButRan,
    /// A caller got the answer of another request.
    ForeignAnswer,
    /// A proper request was called improper.
    ProperRejected,
    /// A node without a fault broke a request off.
    CutOff,
    /// A request that had been passed on was broken off by a planned stop.
    LostByStop,
    /// A node without a fault answered long after the deadline.
    Overdue,
    /// A request was routed by a manifest that had been replaced.
    StaleRoute,
    /// A node went back to an earlier configuration within one run.
    WentBack,
    /// Two manifests were accepted on top of the same one.
    Forked,
    /// A read returned an older manifest than was acknowledged before it.
    StaleRead,
    /// A manifest that was refused, or that nobody submitted, is in force.
    RefusedInForce,
    /// A valid manifest was called invalid.
    ValidRefused,
    /// An accepted manifest was refused when it was sent again.
    ResendRefused,
    /// A node or control instance did not recover after the last fault.
    NotRecovered,
}

/// One case of a promise that was not kept.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantViolation {
    /// Which one.
    pub kind: ViolationKind,
    /// What was seen.
    pub seen: String,
}

impl InvariantViolation {
    /// A case with what was seen.
    pub fn new(kind: ViolationKind, seen: impl Into<String>) -> Self {
        let seen = seen.into();
        InvariantViolation { kind, seen }
    }
}

/// Time of one fault as it was played.
#[derive(Clone, Copy, Debug)]
struct FaultSpan {
    kind: FaultKind,
    target: usize,
    from: SoakTime,
    /// Nothing while it lasts.
    until: Option<SoakTime>,
}

impl FaultSpan {
    /// Whether the fault lasted in this time, or in the stable window before it.
    fn touches(&self, from: SoakTime, until: SoakTime) -> bool {
        let lasts_until = self.until.map_or(SoakTime::MAX, |end| end + STABLE_WINDOW);
        self.from <= until && from <= lasts_until
    }
}

#[derive(Debug, Default)]
struct HistoryState {
    calls: Vec<SoakCall>,
    submissions: Vec<Submission>,
    reads: Vec<(SoakTime, u64)>,
    spans: Vec<FaultSpan>,
    /// Run and configuration version of each node when last asked.
    versions: IndexMap<usize, (u32, u64)>,
    broken: Vec<InvariantViolation>,
    faults_ended: Option<SoakTime>,
}

/// What was seen so far. Shared by all threads of a soak.
#[derive(Debug)]
pub struct SoakHistory {
    started: Instant,
    state: Mutex<HistoryState>,
}

impl SoakHistory {
    /// Begins now.
    pub fn start() -> Self {
        SoakHistory {
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> SoakTime {
        self.started.elapsed()
    }

    /// A call has ended.
    pub fn call_ended(&self, call: SoakCall) {
        self.state().calls.push(call);
    }

    /// A manifest is about to be sent for the first time.
    pub fn submitting(&self, submission: &Submission) {
        self.state().submissions.push(submission.clone());
    }

    /// The end of a submission is known, or it was given up.
    pub fn submitted(&self, submission: Submission) {
        let mut state = self.state();
        let mut known = state.submissions.iter_mut();
        if let Some(known) = known.find(|known| {
            (known.version, known.operator, known.sent)
                == (submission.version, submission.operator, submission.sent)
        }) {
            *known = submission;
        }
    }

    /// An accepted manifest was sent once more, with this end.
    pub fn resent(&self, submission: &Submission, end: SubmitEnd) {
        let mut state = self.state();
        let others = state.submissions.iter();
        let is_newest = others
            .filter(|other| other.operator != submission.operator)
            .all(|other| other.ended.is_some_and(|ended| ended < submission.sent));
        if is_newest && matches!(end, SubmitEnd::Refused | SubmitEnd::Invalid) {
            let seen = format!("{submission:?}");
            let broken = InvariantViolation::new(ViolationKind::ResendRefused, seen);
            state.broken.push(broken);
        }
    }

    /// A read that was sent at `sent` returned this version as the newest.
    pub fn read(&self, sent: SoakTime, version: u64) {
        self.state().reads.push((sent, version));
    }

    /// A fault begins.
    pub fn fault_began(&self, fault: &PlannedFault) {
        let from = self.now();
        self.state().spans.push(FaultSpan {
            kind: fault.kind,
            target: fault.target,
            from,
            until: None,
        });
    }

    /// A fault has been lifted.
    pub fn fault_ended(&self, fault: &PlannedFault) {
        let until = self.now();
        let mut state = self.state();
        let mut spans = state.spans.iter_mut();
        if let Some(span) = spans.find(|span| {
            span.until.is_none() && (span.kind, span.target) == (fault.kind, fault.target)
        }) {
            span.until = Some(until);
        }
    }

    /// The last fault has been lifted.
    pub fn faults_ended(&self) {
        let now = self.now();
        self.state().faults_ended = Some(now);
    }

    /// A node says in its `run`th run that it has applied this configuration.
    pub fn applied(&self, node: usize, run: u32, version: u64) {
        let mut state = self.state();
        let before = state.versions.insert(node, (run, version));
        if let Some((same, earlier)) = before.filter(|(same, _)| *same == run)
            && version < earlier
        {
            let seen = format!("node {node}, run {same}: {earlier}, then {version}");
            let broken = InvariantViolation::new(ViolationKind::WentBack, seen);
            state.broken.push(broken);
        }
    }

    /// Calls by kind and end, without what they carried.
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
            let order = |(kind, end): &(CallKind, &'static str)| (kind.prefix(), *end);
            order(left).cmp(&order(right))
        });
        counts
    }

    /// Manifests that were acknowledged.
    pub fn accepted(&self) -> usize {
        let state = self.state();
        let accepted = state.submissions.iter();
        accepted
            .filter(|submission| submission.end == SubmitEnd::Accepted)
            .count()
    }

    /// The newest acknowledged version; 0 if there is none.
    pub fn newest_accepted(&self) -> u64 {
        self.state().newest_accepted_before(SoakTime::MAX)
    }

    /// All promises that were not kept.
    pub fn check(&self, ledger: &RunLedger) -> Vec<InvariantViolation> {
        let state = self.state();
        let mut broken = state.broken.clone();
        for call in &state.calls {
            let kind = state.broken_by(call, ledger);
            broken.extend(kind.map(|kind| InvariantViolation::new(kind, format!("{call:?}"))));
        }
        broken.extend(state.broken_manifests());
        broken
    }

    fn state(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HistoryState {
    fn broken_by(&self, call: &SoakCall, ledger: &RunLedger) -> Option<ViolationKind> {
        let runs = match call.kind {
            CallKind::Lookup | CallKind::Moved => 0,
            CallKind::Booking => ledger.runs_of_body(call.body.as_bytes()).started,
            CallKind::Keyed => ledger.runs_of_key(&call.body).started,
        };
        if runs > 1 {
            return Some(ViolationKind::Doubled);
        }
        let is_calm = !self.touches_node(call);
        match &call.end {
            CallEnd::NotRun if runs > 0 => Some(ViolationKind::NotRunButRan),
            CallEnd::Foreign(_) => Some(ViolationKind::ForeignAnswer),
            CallEnd::Rejected(_) => Some(ViolationKind::ProperRejected),
            CallEnd::Broken if is_calm => Some(ViolationKind::CutOff),
            CallEnd::Broken if runs > 0 && self.only_planned(call) => {
                Some(ViolationKind::LostByStop)
            }
            _ if is_calm && call.ended - call.sent > CALL_TIMEOUT + OVERDUE => {
                Some(ViolationKind::Overdue)
            }
            CallEnd::Answered(service) if call.kind == CallKind::Moved && is_calm => {
                let expected = self.settled_service(call)?;
                (service != expected).then_some(ViolationKind::StaleRoute)
            }
            _ => None,
        }
    }

    /// Whether a fault of the called node itself may have met the call.
    fn touches_node(&self, call: &SoakCall) -> bool {
        self.spans.iter().any(|span| {
            let is_own = match span.kind.scope() {
                FaultScope::Node => span.target == call.node,
                FaultScope::Service => true,
                FaultScope::Control | FaultScope::Upstream => false,
            };
            is_own && span.touches(call.sent, call.ended)
        })
    }

    /// Whether nothing but planned stops was going on.
    fn only_planned(&self, call: &SoakCall) -> bool {
        let mut near = self.spans.iter();
        near.all(|span| span.kind.is_graceful_stop() || !span.touches(call.sent, call.ended))
    }

    /// Where the moved route leads at the time of the call, if that is certain: the newest
    /// acknowledged manifest is old enough, no later one may be in force, and the control
    /// instances were calm.
    fn settled_service(&self, call: &SoakCall) -> Option<&'static str> {
        let since = call.sent.checked_sub(CONFIG_APPLY)?;
        let newest = self.newest_accepted_before(since);
        let may_be_newer = |other: &Submission| {
            let is_out = matches!(other.end, SubmitEnd::Refused | SubmitEnd::Invalid);
            other.version > newest && other.sent < call.ended && !is_out
        };
        let mut control = self.spans.iter();
        let is_disturbed = control.any(|span| {
            span.kind.scope() == FaultScope::Control && span.touches(since, call.ended)
        });
        let is_open = newest == 0 || is_disturbed || self.submissions.iter().any(may_be_newer);
        (!is_open).then(|| moved_service(newest))
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

    fn broken_manifests(&self) -> Vec<InvariantViolation> {
        let mut broken = Vec::new();
        let mut accepted_on: IndexMap<u64, &Submission> = IndexMap::new();
        for submission in &self.submissions {
            if submission.end == SubmitEnd::Invalid {
                let seen = format!("{submission:?}");
                broken.push(InvariantViolation::new(ViolationKind::ValidRefused, seen));
            }
            if submission.end == SubmitEnd::Accepted
                && let Some(other) = accepted_on.insert(submission.follows, submission)
            {
                let seen = format!("{other:?} and {submission:?}");
                broken.push(InvariantViolation::new(ViolationKind::Forked, seen));
            }
        }
        for (sent, version) in &self.reads {
            let newest = self.newest_accepted_before(*sent);
            if *version < newest {
                let seen = format!("read {version} at {sent:?}, after {newest}");
                broken.push(InvariantViolation::new(ViolationKind::StaleRead, seen));
            }
            // Nobody at all submitted a version that came from nowhere.
            let mut named = self
                .submissions
                .iter()
                .filter(|other| other.version == *version);
            if named.all(|other| other.end == SubmitEnd::Refused) {
                let seen = format!("read {version} at {sent:?}");
                broken.push(InvariantViolation::new(ViolationKind::RefusedInForce, seen));
            }
        }
        broken
    }
}
