//! Log lines of submissions: one for each step from the receipt to the answer.
//!
//! All lines of one submission in one process have the same `id`. An instance that forwards a
//! submission sends this id along, and the receiver logs it as `sender_id`.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;

use super::actor::ControlActor;
use super::requests::{RequestAnswer, RequestKind, RequestRoute, Requester};
use crate::core::{SharedName, Timestamp};
use crate::manifest::ManifestDocument;
use crate::submission::DecisionBasis;
use crate::util::log_quota::{LogQuota, QuotaStep};

/// Maximum log lines per second for all steps of submissions except those below.
const STEPS_PER_SECOND: u64 = 60;
/// Maximum log lines per second for refused submissions and for those with an unknown outcome.
const FAILURES_PER_SECOND: u64 = 60;

/// Step of a submission. The name is the event of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case", prefix = "submission_")]
pub(super) enum LoggedStep {
    Received,
    Proposed,
    Redirected,
    Forwarded,
    /// The sender was told a decision, or that the submission was provably not carried out.
    Answered,
    /// The sender was told that the outcome is unknown.
    Lost,
}

/// What an answer to a submission is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum AnswerBasis {
    /// Nothing but this instance's own situation, or the text of the manifest.
    #[default]
    Local,
    /// The catalog as far as this instance had applied the log. Nothing was proposed.
    AppliedState,
    /// The catalog after a read index had confirmed that it was current. Nothing was proposed.
    CurrentState,
    /// The outcome of the entry that was proposed for the submission.
    Proposal,
    /// The answer of another instance, or the loss of the path to it.
    Forwarded,
}

impl From<DecisionBasis> for AnswerBasis {
    fn from(basis: DecisionBasis) -> Self {
        match basis {
            DecisionBasis::AppliedState => AnswerBasis::AppliedState,
            DecisionBasis::CurrentState => AnswerBasis::CurrentState,
            DecisionBasis::Proposal => AnswerBasis::Proposal,
        }
    }
}

/// Who sent a submission to this instance.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum SubmissionSender {
    Operator,
    Voter { name: SharedName, id: u64 },
    Child { link: u64, id: u64 },
}

impl SubmissionSender {
    fn of(requester: &Requester) -> Option<Self> {
        match requester {
            Requester::Operator(_) => Some(SubmissionSender::Operator),
            Requester::Voter { name, request_id } => Some(SubmissionSender::Voter {
                name: name.clone(),
                id: *request_id,
            }),
            Requester::Child { child, request_id } => Some(SubmissionSender::Child {
                link: child.0,
                id: *request_id,
            }),
            Requester::Reader(..) | Requester::LocalProof { .. } => None,
        }
    }

    /// Returns the id of the submission at its sender; 0 for an operator.
    fn id(&self) -> u64 {
        match self {
            SubmissionSender::Operator => 0,
            SubmissionSender::Voter { id, .. } | SubmissionSender::Child { id, .. } => *id,
        }
    }

    /// Returns the name of the voter, or the number of the child's link.
    fn name(&self) -> String {
        match self {
            SubmissionSender::Operator => String::new(),
            SubmissionSender::Voter { name, .. } => name.to_string(),
            SubmissionSender::Child { link, .. } => link.to_string(),
        }
    }
}

/// Identifies the content of a submission. All fields are 0 while the manifest is not parsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DocumentSummary {
    pub(super) manifest_version: u64,
    /// Version that the manifest follows; 0 if it may follow any.
    pub(super) base: u64,
    pub(super) digest: u64,
}

impl From<&ManifestDocument> for DocumentSummary {
    fn from(document: &ManifestDocument) -> Self {
        DocumentSummary {
            manifest_version: document.version,
            base: document.follows.unwrap_or(0),
            digest: document.digest,
        }
    }
}

/// What this instance knew at the time of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownState {
    /// Newest manifest version in the applied catalog.
    pub(super) newest_version: u64,
    pub(super) applied: u64,
    /// At least `applied` on a voter; 0 on a replica, which has no log.
    pub(super) committed: u64,
    /// Last index of the log, committed or not; 0 on a replica.
    pub(super) last: u64,
    pub(super) term: u64,
    /// First index of the term at the leader, otherwise 0.
    pub(super) term_start: u64,
}

/// What the sender of a submission was told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SubmissionVerdict {
    pub(super) outcome: String,
    pub(super) reason: String,
    /// HTTP status before the translation for a platform.
    pub(super) status: u16,
}

/// The fields of an answer's JSON text that name the outcome.
#[derive(Default, Deserialize)]
#[serde(default)]
struct VerdictBody {
    state: String,
    outcome: String,
    reason: String,
}

impl SubmissionVerdict {
    fn of(answer: &RequestAnswer) -> Self {
        let RequestAnswer::Operator { status, json } = answer else {
            return SubmissionVerdict::default();
        };
        let body: VerdictBody = serde_json::from_str(json).unwrap_or_default();
        let outcome = match body.state.is_empty() {
            true => body.outcome,
            false => body.state,
        };
        SubmissionVerdict {
            outcome,
            reason: body.reason,
            status: *status,
        }
    }

    fn step(&self) -> LoggedStep {
        match self.status {
            200 | 409 | 422 | 503 => LoggedStep::Answered,
            _ => LoggedStep::Lost,
        }
    }

    /// Returns the reason for the metrics, or `None` if the submission was accepted.
    pub(super) fn refusal_reason(&self) -> Option<RefusalReason> {
        match self.status {
            200 => None,
            422 => Some(RefusalReason::Invalid),
            _ => Some(self.reason.parse().unwrap_or(RefusalReason::Other)),
        }
    }
}

/// Why a submission was not accepted, as a label of the metrics. The names are the reasons that
/// senders see.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RefusalReason {
    Conflict,
    Stale,
    OtherBase,
    /// A check of the manifest failed; the log line has the failed check.
    Invalid,
    Overtaken,
    NoLeader,
    Leaving,
    Busy,
    TooLarge,
    StorageFull,
    StorageFailed,
    LeadershipLost,
    LeaderLost,
    ParentLost,
    Timeout,
    NotDecided,
    NotCurrent,
    UnknownBase,
    /// A reason of an instance of another version.
    Other,
}

/// A submission that this instance has not answered yet.
#[derive(Clone, Debug)]
struct OpenSubmission {
    sender: SubmissionSender,
    document: DocumentSummary,
    basis: AnswerBasis,
    received_at: Timestamp,
}

/// Content of one log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SubmissionLine {
    pub(super) step: LoggedStep,
    pub(super) id: u64,
    pub(super) sender: SubmissionSender,
    pub(super) document: DocumentSummary,
    pub(super) basis: AnswerBasis,
    /// Where it was redirected or forwarded to, otherwise empty.
    pub(super) to: String,
    /// Empty until the answer.
    pub(super) verdict: SubmissionVerdict,
    pub(super) state: KnownState,
    pub(super) elapsed: Duration,
    /// Number of lines of the same quota left out since the last one.
    pub(super) left_out: u64,
}

impl SubmissionLine {
    fn write(&self) {
        let state = &self.state;
        log::info!(
            id = self.id,
            sender = <&str>::from(&self.sender),
            sender_name = self.sender.name().as_str(),
            sender_id = self.sender.id(),
            manifest_version = self.document.manifest_version,
            base = self.document.base,
            digest = format!("{:016x}", self.document.digest).as_str(),
            to = self.to.as_str(),
            basis = <&str>::from(self.basis),
            outcome = self.verdict.outcome.as_str(),
            reason = self.verdict.reason.as_str(),
            status = self.verdict.status,
            newest_version = state.newest_version,
            applied = state.applied,
            committed = state.committed,
            last = state.last,
            term = state.term,
            term_start = state.term_start,
            elapsed_ms = self.elapsed.as_millis() as u64,
            left_out = self.left_out;
            "{}", <&str>::from(self.step)
        );
    }

    fn is_failure(&self) -> bool {
        self.step == LoggedStep::Lost || matches!(self.verdict.status, 409 | 422)
    }
}

/// The open submissions and the quotas of their lines.
#[derive(Debug)]
pub(super) struct SubmissionLog {
    /// By the id of the request. Contains the submissions in the table of requests, and those that
    /// are being answered in the current turn without entering it.
    open: IndexMap<u64, OpenSubmission>,
    steps: LogQuota,
    failures: LogQuota,
}

impl Default for SubmissionLog {
    fn default() -> Self {
        SubmissionLog {
            open: IndexMap::new(),
            steps: LogQuota::new(STEPS_PER_SECOND),
            failures: LogQuota::new(FAILURES_PER_SECOND),
        }
    }
}

impl SubmissionLog {
    /// Starts to follow a submission. Ids that were not passed in here are ignored elsewhere, so
    /// that requests of other kinds need no check.
    pub(super) fn open(
        &mut self,
        now: Timestamp,
        id: u64,
        sender: SubmissionSender,
        document: DocumentSummary,
    ) {
        let submission = OpenSubmission {
            sender,
            document,
            basis: AnswerBasis::default(),
            received_at: now,
        };
        self.open.insert(id, submission);
    }

    pub(super) fn set_document(&mut self, id: u64, document: DocumentSummary) {
        if let Some(submission) = self.open.get_mut(&id) {
            submission.document = document;
        }
    }

    pub(super) fn set_basis(&mut self, id: u64, basis: AnswerBasis) {
        if let Some(submission) = self.open.get_mut(&id) {
            submission.basis = basis;
        }
    }

    /// Returns the line of a step before the answer, unless the quota is used up.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        id: u64,
        step: LoggedStep,
        to: String,
        state: KnownState,
    ) -> Option<SubmissionLine> {
        let submission = self.open.get(&id)?;
        let line = submission.line(now, id, step, state);
        self.limit(now, SubmissionLine { to, ..line })
    }

    /// Stops following a submission, which has got its answer.
    fn close(&mut self, id: u64) -> Option<OpenSubmission> {
        self.open.swap_remove(&id)
    }

    /// Returns the line of the answer, unless the quota is used up.
    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        id: u64,
        verdict: SubmissionVerdict,
        state: KnownState,
    ) -> Option<SubmissionLine> {
        let submission = self.close(id)?;
        let line = submission.line(now, id, verdict.step(), state);
        self.limit(now, SubmissionLine { verdict, ..line })
    }

    fn limit(&mut self, now: Timestamp, line: SubmissionLine) -> Option<SubmissionLine> {
        let quota = match line.is_failure() {
            true => &mut self.failures,
            false => &mut self.steps,
        };
        match quota.take(now) {
            QuotaStep::Write { left_out } => Some(SubmissionLine { left_out, ..line }),
            QuotaStep::LeaveOut => None,
        }
    }
}

impl OpenSubmission {
    fn line(&self, now: Timestamp, id: u64, step: LoggedStep, state: KnownState) -> SubmissionLine {
        SubmissionLine {
            step,
            id,
            sender: self.sender.clone(),
            document: self.document,
            basis: self.basis,
            to: String::new(),
            verdict: SubmissionVerdict::default(),
            state,
            elapsed: now.since(self.received_at),
            left_out: 0,
        }
    }
}

impl ControlActor {
    /// Logs the receipt of a request if it is a submission.
    pub(super) fn submission_received(
        &mut self,
        now: Timestamp,
        id: u64,
        requester: &Requester,
        kind: RequestKind,
    ) {
        let sender = SubmissionSender::of(requester).filter(|_| kind == RequestKind::Submit);
        let Some(sender) = sender else {
            return;
        };
        let document = requester.document_summary().unwrap_or_default();
        self.submission_log.open(now, id, sender, document);
        self.log_submission(now, id, LoggedStep::Received, String::new());
    }

    /// Logs a submission that the thread that received it refused as invalid.
    pub(super) fn invalid_submission_received(&mut self, now: Timestamp, reason: &str) {
        let id = self.requests.next_id();
        let sender = SubmissionSender::Operator;
        self.submission_log
            .open(now, id, sender, DocumentSummary::default());
        let verdict = SubmissionVerdict {
            outcome: "refused".to_owned(),
            reason: reason.to_owned(),
            status: 422,
        };
        self.log_submission(now, id, LoggedStep::Received, String::new());
        self.log_verdict(now, id, verdict);
    }

    pub(super) fn submission_redirected(&mut self, now: Timestamp, id: u64, address: SocketAddr) {
        self.log_submission(now, id, LoggedStep::Redirected, address.to_string());
        self.submission_log.close(id);
    }

    pub(super) fn submission_forwarded(&mut self, now: Timestamp, id: u64, route: RequestRoute) {
        let leader = self.voter.as_ref().and_then(|voter| voter.leader.as_ref());
        let to = match (route, leader) {
            (RequestRoute::Link(_), Some(leader)) => leader.to_string(),
            _ => "parent".to_owned(),
        };
        self.submission_log.set_basis(id, AnswerBasis::Forwarded);
        self.log_submission(now, id, LoggedStep::Forwarded, to);
    }

    pub(super) fn submission_proposed(&mut self, now: Timestamp, id: u64) {
        self.submission_log.set_basis(id, AnswerBasis::Proposal);
        self.log_submission(now, id, LoggedStep::Proposed, String::new());
    }

    /// Logs the answer to a request if it is a submission, and counts it if an operator sent it.
    pub(super) fn submission_answered(&mut self, now: Timestamp, id: u64, answer: &RequestAnswer) {
        let Some(submission) = self.submission_log.open.get(&id) else {
            return;
        };
        let verdict = SubmissionVerdict::of(answer);
        if submission.sender == SubmissionSender::Operator {
            self.metrics
                .observe_submission(now.since(submission.received_at));
        }
        self.log_verdict(now, id, verdict);
    }

    fn log_verdict(&mut self, now: Timestamp, id: u64, verdict: SubmissionVerdict) {
        let submission = self.submission_log.open.get(&id);
        let is_own = submission.is_some_and(|open| open.sender == SubmissionSender::Operator);
        if let Some(reason) = verdict.refusal_reason().filter(|_| is_own) {
            self.metrics.count_refusal(reason);
        }
        let state = self.known_state();
        let line = self.submission_log.record_answer(now, id, verdict, state);
        line.iter().for_each(SubmissionLine::write);
    }

    fn log_submission(&mut self, now: Timestamp, id: u64, step: LoggedStep, to: String) {
        let state = self.known_state();
        let line = self.submission_log.record(now, id, step, to, state);
        line.iter().for_each(SubmissionLine::write);
    }

    fn known_state(&self) -> KnownState {
        let status = self.voter.as_ref().map(|voter| voter.agreement.status());
        let status = status.as_ref();
        KnownState {
            newest_version: self.catalog.manifest_version(),
            applied: self.catalog.applied_index(),
            committed: status.map_or(0, |status| status.commit_index),
            last: status.map_or(0, |status| status.last_index),
            term: status.map_or(0, |status| status.term),
            term_start: status.map_or(0, |status| status.term_start_index),
        }
    }
}
