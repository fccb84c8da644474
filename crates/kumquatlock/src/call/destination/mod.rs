//! Calls at their destination node, the node beside the upstream that runs them.

mod answers;
mod claims;
mod counters;
mod crash;
mod dependency;
mod limit;
mod local_runs;
mod log;
mod notice;
mod parents;
mod queries;
mod run;
mod settings;
mod step;
mod versions;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::call::{AttemptId, CallCancel, CallReason, CallRequest, LoadReport};
use kumquatlock_wire::claim::ClaimReply;
use kumquatlock_wire::distribution::WireClass;

use super::{HeaderNames, MAX_DEPTH, MAX_TIMEOUT};
use crate::admission::{
    AccountHash, AdmissionDecision, AdmissionQueue, AdmissionTicket, RoutePriority,
};
use crate::claim::{AttemptAdmission, ClaimAcquirer, ClaimSettings, OutcomeTable, PlacementTable};
use crate::core::{
    ConfigSnapshot, IncarnationId, ProcessId, RequestClass, RequestFingerprint, RequestRate,
    SharedName, Timestamp, stable_hash,
};
use crate::dependency::{DependencyThrottle, StartDecision};
use crate::http::{HttpResponse, UpstreamFailure};
use crate::quarantine::{CompletedRequests, CrashDetector};
use crate::rollout::EvidenceRecorder;
use crate::util::trace::SeededIds;
pub use counters::DestinationCounters;
use dependency::NestedCounters;
pub(super) use dependency::lacked_room;
use limit::{AnswerLimit, DEFAULT_LEAVE_TIME};
pub use local_runs::LocalRuns;
use log::DestinationLog;
use notice::UpstreamStatement;
use parents::RunningRequests;
use queries::WaitingQuery;
use run::{CallRun, RunPhase};
pub use step::{CallSource, DestinationStep, RunId, UpstreamEndpoint};

/// Interval at which claims that wait for holders are checked.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which stored outcomes are checked for the end of their retention.
const OUTCOME_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The calls that run, or wait to run, on the upstream beside this node.
pub struct DestinationCalls {
    name: SharedName,
    incarnation: IncarnationId,
    /// Stated with the incarnation in refusals, so that entry nodes can use an incarnation that is
    /// not in the configuration yet. Zero if they shall wait for the configuration.
    process: ProcessId,
    names: HeaderNames,
    /// Whether calls addressed to an earlier incarnation are accepted.
    accepts_earlier_incarnations: bool,
    detects_stalls: bool,
    /// Time that a refusal needs to reach the caller.
    refusal_time: Duration,
    /// Time within which the calls that wait for a leaving upstream must be answered.
    leave_time: Duration,
    endpoint: Option<UpstreamEndpoint>,
    /// Number of the upstream's current run; increases with each process that announces itself.
    upstream_run: u64,
    /// What the upstream's current run states about itself; `None` before its first answer.
    notice: Option<UpstreamStatement>,
    crash_detector: CrashDetector,
    completed: CompletedRequests,
    evidence: EvidenceRecorder,
    /// Whether the version of the upstream was rolled back.
    is_version_withdrawn: bool,
    /// Requests that the configuration refuses.
    quarantined: IndexSet<RequestFingerprint>,
    /// Whether attempts that are certain to be extra arrivals are refused.
    refuses_extra_runs: bool,
    /// When a run was given up that may go on at the upstream. Initially the start of the process,
    /// because the upstream may go on with runs that an earlier process has started.
    abandoned_at: Timestamp,
    /// Number of times that the upstream ended while it was running requests.
    crashes: u64,
    /// Present once the upstream has announced itself.
    admission: Option<AdmissionQueue>,
    draining: bool,
    /// When the process ends at the latest. Calls that may last longer are refused.
    ends_at: Option<Timestamp>,
    placement: PlacementTable,
    /// Attempts that must not run twice, with their answers.
    outcomes: OutcomeTable,
    runs: IndexMap<RunId, CallRun>,
    /// Runs in the phase `Running`.
    running: RunningRequests,
    throttle: DependencyThrottle,
    nested: NestedCounters,
    /// Services that the upstream has called, with the time of the latest call.
    callees: IndexMap<SharedName, Timestamp>,
    /// Run of each admission ticket.
    tickets: IndexMap<AdmissionTicket, RunId>,
    /// Run of each unanswered attempt.
    attempts: IndexMap<AttemptId, RunId>,
    /// Outcome queries that wait for an answer, by id.
    queries: IndexMap<AttemptId, WaitingQuery>,
    /// Claims that are being acquired, held or settled, by request number. The numbers are odd.
    claims: IndexMap<u64, ClaimAcquirer>,
    /// Numbers of the claims that still have something to send or to decide.
    pending_claims: BTreeSet<u64>,
    next_run: u64,
    ids: SeededIds,
    /// When stored outcomes are checked next.
    next_outcome_check: Timestamp,
    counters: DestinationCounters,
    log: DestinationLog,
}

impl DestinationCalls {
    /// Creates the state of a destination node whose upstream has not announced itself yet.
    pub fn new(name: SharedName, incarnation: IncarnationId, settings: ClaimSettings) -> Self {
        DestinationCalls {
            outcomes: OutcomeTable::new(name.clone(), incarnation, &settings),
            ids: SeededIds::new(incarnation.0 ^ stable_hash(name.as_bytes())),
            name,
            incarnation,
            process: ProcessId::default(),
            names: HeaderNames::default(),
            accepts_earlier_incarnations: false,
            detects_stalls: false,
            refusal_time: Duration::ZERO,
            leave_time: DEFAULT_LEAVE_TIME,
            endpoint: None,
            upstream_run: 0,
            notice: None,
            crash_detector: CrashDetector::default(),
            completed: CompletedRequests::default(),
            evidence: EvidenceRecorder::default(),
            is_version_withdrawn: false,
            quarantined: IndexSet::new(),
            refuses_extra_runs: false,
            abandoned_at: Timestamp::default(),
            crashes: 0,
            admission: None,
            draining: false,
            ends_at: None,
            placement: PlacementTable::default(),
            runs: IndexMap::new(),
            running: RunningRequests::default(),
            throttle: DependencyThrottle::default(),
            nested: NestedCounters::default(),
            callees: IndexMap::new(),
            tickets: IndexMap::new(),
            attempts: IndexMap::new(),
            queries: IndexMap::new(),
            claims: IndexMap::new(),
            pending_claims: BTreeSet::new(),
            next_run: 1,
            next_outcome_check: Timestamp::default(),
            counters: DestinationCounters::default(),
            log: DestinationLog::default(),
        }
    }

    /// Starts a new incarnation after the upstream has left and announced itself again. Waiting
    /// calls of the old incarnation are refused; running ones are answered as usual.
    pub fn set_incarnation(
        &mut self,
        now: Timestamp,
        incarnation: IncarnationId,
    ) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        if incarnation == self.incarnation {
            return steps;
        }
        let is_waiting = |run: &CallRun| run.phase != RunPhase::Running;
        let waiting = self.runs.iter().filter(|(_, run)| is_waiting(run));
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            // The call may have started in a slot that an earlier refusal in this loop freed.
            if self.runs.get(&id).is_some_and(is_waiting) {
                self.refuse_run(now, id, CallReason::WrongIncarnation, &mut steps);
            }
        }
        let previous = std::mem::replace(&mut self.incarnation, incarnation);
        self.log_incarnation(previous);
        self.outcomes.add_incarnation(incarnation);
        // An upstream that names no instance shows only by a new incarnation that it started again.
        let has_instance = |endpoint: &UpstreamEndpoint| !endpoint.instance.is_empty();
        if !self.endpoint.as_ref().is_some_and(has_instance) {
            self.start_upstream_run(now, &mut steps);
        }
        steps
    }

    /// Handles an announcement of the upstream.
    pub fn on_announce(
        &mut self,
        now: Timestamp,
        endpoint: UpstreamEndpoint,
    ) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        let changed = self
            .endpoint
            .as_ref()
            .is_none_or(|current| current.limits != endpoint.limits);
        let is_other_run = self
            .endpoint
            .as_ref()
            .is_some_and(|current| !current.is_same_run(&endpoint));
        if is_other_run {
            self.start_upstream_run(now, &mut steps);
        }
        let limits = endpoint.limits;
        self.endpoint = Some(endpoint);
        if self.is_upstream_leaving() {
            // Announcements that were made before may still arrive.
            return steps;
        }
        let needs_reopen = self.admission.is_none() || self.draining || is_other_run;
        match &mut self.admission {
            None => {
                let mut admission = AdmissionQueue::new(limits, now);
                admission.set_refusal_lead_time(self.refusal_time);
                if self.detects_stalls {
                    admission.enable_stall_detection();
                }
                self.admission = Some(admission);
            }
            // The queue is reopened, not replaced, because its calls continue.
            Some(admission) if needs_reopen => admission.reopen(limits, now),
            Some(admission) if changed => admission.set_limits(limits),
            Some(_) => {}
        }
        self.draining = false;
        self.apply_rate_limit(now);
        steps
    }

    /// Forgets what an earlier run of the upstream stated about itself.
    fn start_upstream_run(&mut self, now: Timestamp, steps: &mut Vec<DestinationStep>) {
        self.record_gone(now, steps);
        self.upstream_run += 1;
        self.notice = None;
        self.apply_rate_limit(now);
    }

    /// Returns the requests per second that the upstream says it takes, if it states a limit.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.notice?.rate_limit
    }

    /// Refuses new calls from now on because the node stops. Queued and running calls finish.
    pub fn drain(&mut self) {
        self.draining = true;
        if let Some(admission) = &mut self.admission {
            admission.drain();
        }
    }

    /// Whether no call is queued or running.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether no claim is left to be settled with its holders.
    pub fn is_settled(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the number of queued and running calls.
    pub fn in_progress(&self) -> usize {
        self.runs.len()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> DestinationCounters {
        self.counters
    }

    /// Returns the load report that answers carry.
    pub fn load(&self) -> LoadReport {
        match &self.admission {
            Some(admission) => admission.load(),
            None => LoadReport {
                draining: true,
                ..LoadReport::default()
            },
        }
    }

    /// Switches to a newer configuration.
    pub fn on_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: Arc<ConfigSnapshot>,
    ) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        self.apply_quarantine(now, &snapshot.quarantined, &mut steps);
        self.apply_versions(&snapshot);
        self.placement.update(snapshot);
        self.refresh_claims(now, &mut steps);
        steps
    }

    /// Sets whether attempts that are certain to be extra arrivals are refused, because the calls of
    /// such runs have spent the retry budget of this node.
    pub fn set_refuses_extra_runs(&mut self, refuses: bool) {
        self.refuses_extra_runs = refuses;
    }

    /// Handles a call. `frozen` means that this process was just suspended for so long that the
    /// deadlines in the messages it now reads can't be trusted.
    pub fn on_call(
        &mut self,
        now: Timestamp,
        source: CallSource,
        request: CallRequest,
        frozen: bool,
    ) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        if let Some(notice) = &request.notice {
            self.adopt_notice(now, notice, &mut steps);
        }
        match self.check_request(now, &request, frozen) {
            Ok(class) => self.admit(now, source, request, class, &mut steps),
            Err(reason) => self.refuse(now, source, &request, reason, &mut steps),
        }
        steps
    }

    /// Handles the message that the entry node no longer waits for the call, or will soon no longer
    /// do so.
    pub fn on_cancel(&mut self, now: Timestamp, cancel: &CallCancel) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        let Some(id) = self.attempts.get(&cancel.id).copied() else {
            return steps;
        };
        match cancel.answer_within_us {
            None => self.cancel_run(now, id, &mut steps),
            Some(within) => {
                let limit = AnswerLimit::of_entry(now, within);
                self.limit_waiting(now, limit, |run| run == id, &mut steps);
            }
        }
        steps
    }

    /// Handles the upstream's answer, or the reason why there is none.
    pub fn on_result(
        &mut self,
        now: Timestamp,
        id: RunId,
        outcome: Result<HttpResponse, UpstreamFailure>,
    ) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        self.end_run(now, id, outcome, &mut steps);
        steps
    }

    /// Handles a claim holder's reply.
    pub fn on_claim_reply(
        &mut self,
        now: Timestamp,
        from: &str,
        reply: &ClaimReply,
    ) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        self.advance_claim_reply(now, from, reply, &mut steps);
        steps
    }

    /// Returns when to call [`DestinationCalls::on_tick`] if no event occurs earlier.
    pub fn next_wakeup(&self, now: Timestamp) -> Timestamp {
        let mut wakeup = self.next_outcome_check;
        if let Some(at) = self
            .admission
            .as_ref()
            .and_then(|queue| queue.next_wakeup(now))
        {
            wakeup = wakeup.min(at);
        }
        if !self.pending_claims.is_empty() {
            wakeup = wakeup.min(now + CLAIM_TICK_INTERVAL);
        }
        wakeup
    }

    /// Handles everything that is due.
    pub fn on_tick(&mut self, now: Timestamp) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        self.advance_claims(now, &mut steps);
        self.poll_queue(now, &mut steps);
        if now >= self.next_outcome_check {
            self.next_outcome_check = now + OUTCOME_CHECK_INTERVAL;
            let due = self.outcomes.on_tick(now);
            self.answer_queries(due, &mut steps);
        }
        steps
    }

    fn check_request(
        &self,
        now: Timestamp,
        request: &CallRequest,
        frozen: bool,
    ) -> Result<RequestClass, CallReason> {
        if *request.upstream != *self.name || !self.accepts_incarnation(request) {
            return Err(CallReason::WrongIncarnation);
        }
        if frozen {
            return Err(CallReason::Frozen);
        }
        let fingerprint = RequestFingerprint(request.fingerprint);
        if self.quarantined.contains(&fingerprint) {
            return Err(CallReason::Quarantined);
        }
        if self.refuses_extra_runs && request.extra_permille >= local_runs::CERTAIN_PERMILLE {
            return Err(CallReason::BudgetSpent);
        }
        if request.depth >= MAX_DEPTH || request.callers.len() > MAX_DEPTH as usize {
            return Err(CallReason::DepthExceeded);
        }
        let deadline = now + Duration::from_micros(request.deadline_us);
        let outlasts_process = self.ends_at.is_some_and(|ends_at| deadline > ends_at);
        let takes_none = self.draining || self.is_version_withdrawn;
        if takes_none || self.endpoint.is_none() || outlasts_process {
            return Err(CallReason::Draining);
        }
        let class = WireClass::try_from(request.class).map_err(|_| CallReason::NoRoute)?;
        Ok(class.into())
    }

    /// Whether the node may accept a call that names the service and the incarnation of this
    /// request. An entry node that has heard of a later incarnation before the configuration shows
    /// it does not know which service the upstream of that incarnation provides.
    ///
    /// After a restart, entry nodes learn of the new incarnation only through the configuration
    /// log. Until then, a repeatable call is accepted under any earlier incarnation. A call that
    /// must not run twice is accepted only under an incarnation whose attempts the outcome table
    /// covers. The process that had any other may have answered that the attempt never runs, and
    /// the attempt may have been held on its way until now. Calls with a key are excluded because
    /// claims are bound to one incarnation.
    fn accepts_incarnation(&self, request: &CallRequest) -> bool {
        let endpoint = self.endpoint.as_ref();
        let is_other_service = endpoint.is_some_and(|found| *found.service != *request.service);
        if is_other_service || self.is_other_process(request.process) {
            return false;
        }
        let named = IncarnationId(request.incarnation);
        let is_known = match is_repeatable(request) {
            true => named < self.incarnation,
            false => self.outcomes.covers(named),
        };
        named == self.incarnation
            || (self.accepts_earlier_incarnations
                && endpoint.is_some()
                && request.key.is_none()
                && is_known)
    }

    /// Whether an attempt or a query names another process of this node.
    fn is_other_process(&self, named: u64) -> bool {
        named != 0 && named != self.process.0
    }

    fn admit(
        &mut self,
        now: Timestamp,
        source: CallSource,
        request: CallRequest,
        class: RequestClass,
        steps: &mut Vec<DestinationStep>,
    ) {
        if !class.is_repeatable() {
            let registered = match request.key {
                Some(_) => self.outcomes.register_keyed(now, &request.id),
                None => {
                    let left = Duration::from_micros(request.deadline_us).min(MAX_TIMEOUT);
                    self.outcomes.register_unkeyed(now, &request.id, left)
                }
            };
            match registered {
                AttemptAdmission::Admitted => self.record_accepted(now, source, &request),
                AttemptAdmission::Duplicate => return,
                AttemptAdmission::Fenced => {
                    self.record_late_attempt(now, source, &request);
                    let reason = CallReason::Cancelled;
                    steps.push(self.refusal(source, &request, reason));
                    return;
                }
                AttemptAdmission::Full => {
                    let reason = CallReason::Overloaded;
                    steps.push(self.refusal(source, &request, reason));
                    return;
                }
            }
        }
        self.keep_slots(now, &request);
        if self.admit_start(now, &request) == StartDecision::Refuse {
            let reason = CallReason::DependencyOverloaded;
            return self.refuse(now, source, &request, reason, steps);
        }
        let deadline = now + Duration::from_micros(request.deadline_us);
        let Some(admission) = &mut self.admission else {
            return;
        };
        let rank = RoutePriority {
            rank: request.rank,
            target: request
                .target_us
                .map(|left| now + Duration::from_micros(left)),
            depth: request.depth,
            account: account_of(&request),
        };
        // The caller of a nested request occupies a slot of an upstream while it waits, so the
        // request uses the lane of internal calls.
        let lane = match request.inner {
            true => RequestClass::Internal,
            false => class,
        };
        let limit = AnswerLimit::of_request(now, &request);
        let answer_by = limit.map_or(deadline, |limit| limit.at.min(deadline));
        let decision = admission.offer_with_priority(now, lane, rank, answer_by);
        let ticket = match decision {
            AdmissionDecision::Start(ticket) | AdmissionDecision::Queued { ticket, .. } => ticket,
            AdmissionDecision::Refused(reason) => {
                self.refuse(now, source, &request, reason, steps);
                return;
            }
        };
        let id = RunId(self.next_run);
        self.next_run += 1;
        self.tickets.insert(ticket, id);
        self.attempts.insert(request.id.clone(), id);
        self.runs.insert(
            id,
            CallRun::new(source, request, class, deadline, ticket, now, &mut self.ids),
        );
        match decision {
            AdmissionDecision::Start(_) => self.start_run(now, id, steps),
            AdmissionDecision::Queued {
                evicted: Some(evicted),
                ..
            } => {
                self.refuse_ticket(now, evicted, CallReason::Overloaded, steps);
            }
            _ => {}
        }
    }

    fn refuse_ticket(
        &mut self,
        now: Timestamp,
        ticket: AdmissionTicket,
        reason: CallReason,
        steps: &mut Vec<DestinationStep>,
    ) {
        if let Some(id) = self.tickets.get(&ticket).copied() {
            self.refuse_run(now, id, reason, steps);
        }
    }

    fn phase_mut(&mut self, id: RunId) -> Option<&mut RunPhase> {
        self.runs.get_mut(&id).map(|run| &mut run.phase)
    }
}

/// Returns the account whose share of the upstream the call uses. Nested calls use none: the call of
/// the account above them has used its share already.
fn account_of(request: &CallRequest) -> Option<AccountHash> {
    let account = request.account.as_deref().filter(|_| !request.inner);
    account.map(|account| AccountHash(stable_hash(account.as_bytes())))
}

/// Whether the request may run more than once. One of an unknown class may not.
fn is_repeatable(request: &CallRequest) -> bool {
    WireClass::try_from(request.class).is_ok_and(|class| RequestClass::from(class).is_repeatable())
}
