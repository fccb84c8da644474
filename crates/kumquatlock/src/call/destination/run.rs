//! Path of one call through admission, claim and upstream.

use std::time::Duration;

use kumquatlock_wire::call::{CallOutcome, CallReason, CallRequest, HeaderField};

use super::crash::LifeSign;
use super::limit::AnswerLimit;
use super::{CallSource, DestinationCalls, DestinationStep, RunId, UpstreamEndpoint};
use crate::admission::{AdmissionQueue, AdmissionTicket, CancelOutcome, QueueStep, ServiceOutcome};
use crate::call::HeaderNames;
use crate::call::request::unscoped_key;
use crate::claim::StoredAnswer;
use crate::core::{RequestClass, Timestamp};
use crate::http::{EchoedHeader, HttpRequest, HttpResponse, UpstreamFailure};
use crate::util::trace::{HopSpan, SeededIds, TRACEPARENT_HEADER};

/// Time after the caller's deadline within which a keyed request may still be answered, so that a
/// resend with the same key gets the answer. Otherwise its outcome would stay unknown.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(10);
/// HTTP status by which an upstream refuses a request addressed to another instance.
const MISDIRECTED_STATUS: u16 = 421;
/// HTTP status by which an upstream sheds load.
const SHED_STATUS: u16 = 503;
/// Lowest status of a failed run.
const MIN_SERVER_ERROR_STATUS: u32 = 500;
/// HTTP statuses that state that the request did not run, to callers that get no outcome header.
const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED_STATUS, 429, 503];

pub(super) struct CallRun {
    pub(super) source: CallSource,
    pub(super) request: CallRequest,
    pub(super) class: RequestClass,
    pub(super) deadline: Timestamp,
    /// Present if the call must be answered before its deadline.
    pub(super) limit: Option<AnswerLimit>,
    pub(super) ticket: AdmissionTicket,
    pub(super) arrived_at: Timestamp,
    /// Present once the request was sent to the upstream.
    pub(super) sent: Option<SentRequest>,
    /// Present if the call is traced.
    pub(super) span: Option<HopSpan>,
    pub(super) phase: RunPhase,
    /// Whether a call that the run made found no room.
    pub(super) has_lost_call: bool,
}

/// A request at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SentRequest {
    pub(super) at: Timestamp,
    /// Run of the upstream that it was sent to.
    pub(super) upstream_run: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// Waits for a slot of the upstream.
    Queued,
    /// Has a slot and waits for its claim.
    Claiming,
    /// The request was sent to the upstream.
    Running,
}

impl CallRun {
    pub(super) fn new(
        source: CallSource,
        request: CallRequest,
        class: RequestClass,
        deadline: Timestamp,
        ticket: AdmissionTicket,
        now: Timestamp,
        ids: &mut SeededIds,
    ) -> Self {
        let phase = RunPhase::Queued;
        let received = request
            .traceparent
            .as_deref()
            .and_then(|value| value.parse().ok());
        let span = received.map(|received| HopSpan::child_of(&received, ids));
        CallRun {
            limit: AnswerLimit::of_request(now, &request),
            source,
            request,
            class,
            deadline,
            ticket,
            arrived_at: now,
            sent: None,
            span,
            phase,
            has_lost_call: false,
        }
    }

    /// Returns the key if the request is protected by claims.
    pub(super) fn claim_key(&self) -> Option<&str> {
        let repeatable = self.class.is_repeatable();
        self.request.key.as_deref().filter(|_| !repeatable)
    }

    /// Returns how long to wait for the upstream's answer.
    fn exchange_timeout(&self, now: Timestamp) -> Duration {
        let left = self.deadline.since(now);
        match self.claim_key() {
            Some(_) => left + LATE_ANSWER_GRACE,
            None => left,
        }
    }

    /// Returns why the call has too little time left.
    fn short_time_reason(&self) -> CallReason {
        let limit = self.limit.filter(|limit| limit.at < self.deadline);
        limit.map_or(CallReason::DeadlineTooShort, |limit| limit.reason)
    }

    fn attempt_label(&self) -> String {
        let id = &self.request.id;
        format!(
            "{}/{}/{}/{}",
            id.entry, id.entry_incarnation, id.call_id, id.attempt
        )
    }

    /// Returns the header that identifies the request in the upstream's answer: the caller's
    /// identifier if the platform has one, or else the attempt, which an upstream may repeat.
    fn echoed(&self, names: &HeaderNames) -> Option<EchoedHeader> {
        let Some(name) = names.request_id else {
            return names.attempt.map(|name| EchoedHeader {
                name,
                value: self.attempt_label(),
                is_guaranteed: false,
            });
        };
        Some(EchoedHeader {
            name,
            value: self.request_id(names)?.to_owned(),
            is_guaranteed: true,
        })
    }

    fn upstream_request(
        &self,
        now: Timestamp,
        names: &HeaderNames,
        endpoint: &UpstreamEndpoint,
    ) -> HttpRequest {
        let request = &self.request;
        let millis = self.deadline.since(now).as_millis().max(1);
        let fields = request.headers.iter();
        let mut headers: Vec<(String, String)> = fields
            .map(|field| (field.name.clone(), field.value.clone()))
            .collect();
        let mut add = |name: &str, value: String| headers.push((name.to_owned(), value));
        add(names.timeout, millis.to_string());
        if let Some(name) = names.depth {
            add(name, (request.depth + 1).to_string());
        }
        if let Some(name) = names.attempt {
            add(name, self.attempt_label());
        }
        if let (Some(name), Some(key)) = (names.key, &request.key) {
            add(name, unscoped_key(key).to_owned());
        }
        if let Some(name) = names.expected_instance
            && !endpoint.instance.is_empty()
        {
            add(name, endpoint.instance.to_string());
        }
        if let Some(name) = names.origin {
            add(name, request.origin.clone());
        }
        if let (Some(name), Some(account)) = (names.account, &request.account) {
            add(name, account.clone());
        }
        if let Some(span) = &self.span {
            add(TRACEPARENT_HEADER, span.context.to_string());
        }
        HttpRequest {
            method: request.method.clone(),
            target: request.path.clone(),
            headers,
            body: request.body.clone(),
        }
    }
}

/// What a response from the upstream says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseVerdict {
    Answered,
    NotRun,
    /// A success without the upstream's signature header; something else may have sent it.
    Unsigned,
    /// A status that callers would take for "not run", without a statement of the upstream that the
    /// request, which must not run twice, has not run.
    UnprovedRefusal,
}

fn classify_response(
    names: &HeaderNames,
    is_repeatable: bool,
    response: &HttpResponse,
) -> ResponseVerdict {
    let is_marked = names
        .not_executed
        .is_some_and(|name| response.header(name).is_some());
    let is_other_instance =
        names.expected_instance.is_some() && response.status == MISDIRECTED_STATUS;
    if is_marked || is_other_instance {
        return ResponseVerdict::NotRun;
    }
    let promises_not_run =
        names.outcome.is_none() && NOT_RUN_STATUSES.contains(&response.status.code());
    if promises_not_run && !is_repeatable {
        return ResponseVerdict::UnprovedRefusal;
    }
    let is_success = (200..300).contains(&response.status.code());
    let is_signed = names.response_signature.is_none_or(|name| {
        response.header(name).is_some() && response.header("content-encoding").is_none()
    });
    match is_success && !is_signed {
        true => ResponseVerdict::Unsigned,
        false => ResponseVerdict::Answered,
    }
}

impl DestinationCalls {
    /// Starts a call that has a slot: acquires the claim, if one is needed, and then sends the
    /// request to the upstream.
    pub(super) fn start_run(
        &mut self,
        now: Timestamp,
        id: RunId,
        steps: &mut Vec<DestinationStep>,
    ) {
        let keyed = self
            .runs
            .get(&id)
            .is_some_and(|run| run.claim_key().is_some());
        if keyed {
            if let Some(phase) = self.phase_mut(id) {
                *phase = RunPhase::Claiming;
            }
            self.acquire_claim(now, id, steps);
        } else {
            self.send_to_upstream(now, id, steps);
        }
    }

    /// Sends a call to the upstream. From then on it counts as run.
    pub(super) fn send_to_upstream(
        &mut self,
        now: Timestamp,
        id: RunId,
        steps: &mut Vec<DestinationStep>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(endpoint) = &self.endpoint else {
            self.refuse_run(now, id, CallReason::Draining, steps);
            return;
        };
        let service_time = self.admission.as_ref().map(AdmissionQueue::service_time);
        let answered_at = now + service_time.unwrap_or_default();
        if now >= run.deadline || run.limit.is_some_and(|limit| answered_at > limit.at) {
            self.refuse_run(now, id, CallReason::DeadlineTooShort, steps);
            return;
        }
        let is_at_most_once = !run.class.is_repeatable();
        if is_at_most_once && !self.outcomes.start_run(now, &run.request.id) {
            self.refuse_run(now, id, CallReason::Cancelled, steps);
            return;
        }
        run.phase = RunPhase::Running;
        if let Some(request) = run.request_id(&self.names) {
            self.running.insert(request, id);
        }
        run.sent = Some(SentRequest {
            at: now,
            upstream_run: self.upstream_run,
        });
        steps.push(DestinationStep::Run {
            run: id,
            address: endpoint.address,
            request: run.upstream_request(now, &self.names, endpoint),
            timeout: run.exchange_timeout(now),
            is_repeatable: run.class.is_repeatable(),
            echoed: run.echoed(&self.names),
        });
        self.log_start(now, id);
    }

    /// Answers a call that has not reached the upstream with a final "not run".
    pub(super) fn refuse_run(
        &mut self,
        now: Timestamp,
        id: RunId,
        reason: CallReason,
        steps: &mut Vec<DestinationStep>,
    ) {
        let Some(run) = self.remove_run(now, id, ServiceOutcome::Ended, steps) else {
            return;
        };
        if !run.class.is_repeatable() {
            self.fence(now, &run.request.id, steps);
            self.abandon_claim(now, id, steps);
        }
        let reason = match reason {
            CallReason::DeadlineTooShort => run.short_time_reason(),
            reason => reason,
        };
        let outcome = CallOutcome::NotRun;
        let response = self.response(run.request.id.clone(), outcome, reason);
        self.send_response(now, &run, response, outcome, steps);
    }

    /// Answers a call that did not run with an outcome other than a plain refusal.
    pub(super) fn answer_without_running(
        &mut self,
        now: Timestamp,
        id: RunId,
        outcome: CallOutcome,
        reason: CallReason,
        owner: Option<kumquatlock_wire::claim::ClaimOwner>,
        steps: &mut Vec<DestinationStep>,
    ) {
        let Some(run) = self.remove_run(now, id, ServiceOutcome::Ended, steps) else {
            return;
        };
        self.fence(now, &run.request.id, steps);
        let mut response = self.response(run.request.id.clone(), outcome, reason);
        response.owner = owner;
        self.send_response(now, &run, response, outcome, steps);
    }

    /// Ends a call that was sent to the upstream.
    pub(super) fn end_run(
        &mut self,
        now: Timestamp,
        id: RunId,
        outcome: Result<HttpResponse, UpstreamFailure>,
        steps: &mut Vec<DestinationStep>,
    ) {
        let run = self.runs.get(&id);
        let is_repeatable = run.is_some_and(|run| run.class.is_repeatable());
        let sent = run.and_then(|run| run.sent);
        let verdict = outcome.map(|response| {
            let verdict = classify_response(&self.names, is_repeatable, &response);
            (verdict, response)
        });
        let service = match &verdict {
            Ok((_, response)) if response.status == SHED_STATUS => ServiceOutcome::Shed,
            Ok((ResponseVerdict::Answered, _)) => ServiceOutcome::Answered,
            Ok(_) | Err(_) => ServiceOutcome::Ended,
        };
        if let (Some(sent), Ok((verdict, response))) = (sent, &verdict) {
            self.observe_notice(now, sent, *verdict, response, steps);
        }
        let sign = match &verdict {
            Ok((verdict, response)) => LifeSign::of_response(*verdict, response.status),
            Err(failure) => LifeSign::of_failure(*failure),
        };
        self.watch_for_crash(now, id, sign, steps);
        let Some(run) = self.remove_run(now, id, service, steps) else {
            return;
        };
        self.record_evidence(now, &run, &verdict);
        match verdict {
            Ok((ResponseVerdict::Answered, response)) => {
                self.end_answered(now, id, &run, response, steps);
            }
            Ok((ResponseVerdict::NotRun, _)) => {
                self.end_not_run(now, id, &run, CallReason::UpstreamRefused, steps);
            }
            Ok((ResponseVerdict::Unsigned | ResponseVerdict::UnprovedRefusal, _)) => {
                self.end_failed(now, id, &run, UpstreamFailure::Garbled, steps);
            }
            Err(failure) if failure.proves_not_run() => {
                self.end_not_run(now, id, &run, CallReason::UpstreamUnreachable, steps);
            }
            Err(failure) => self.end_failed(now, id, &run, failure, steps),
        }
    }

    fn end_answered(
        &mut self,
        now: Timestamp,
        id: RunId,
        run: &CallRun,
        response: HttpResponse,
        steps: &mut Vec<DestinationStep>,
    ) {
        let headers = response.headers.into_iter();
        let answer = StoredAnswer {
            status: response.status.code().into(),
            headers: headers
                .map(|(name, value)| HeaderField { name, value })
                .collect(),
            body: response.body,
        };
        if !run.class.is_repeatable() {
            let due = self.outcomes.finish(now, &run.request.id, answer.clone());
            self.answer_queries(due, steps);
            self.finish_claim(now, id, steps);
        }
        let has_failed = answer.status >= MIN_SERVER_ERROR_STATUS;
        let mut response = self.answer_response(run.request.id.clone(), answer);
        if has_failed && run.has_lost_call {
            response.reason = CallReason::DependencyOverloaded.into();
        }
        self.send_response(now, run, response, CallOutcome::Answered, steps);
    }

    /// Ends a call that did not run because the upstream could not be connected to, or stated that
    /// it did not run the request.
    fn end_not_run(
        &mut self,
        now: Timestamp,
        id: RunId,
        run: &CallRun,
        reason: CallReason,
        steps: &mut Vec<DestinationStep>,
    ) {
        if !run.class.is_repeatable() {
            let due = self.outcomes.mark_not_run(now, &run.request.id);
            self.answer_queries(due, steps);
            self.abandon_claim(now, id, steps);
        }
        let response = self.response(run.request.id.clone(), CallOutcome::NotRun, reason);
        self.send_response(now, run, response, CallOutcome::NotRun, steps);
    }

    fn end_failed(
        &mut self,
        now: Timestamp,
        id: RunId,
        run: &CallRun,
        failure: UpstreamFailure,
        steps: &mut Vec<DestinationStep>,
    ) {
        let reason = match failure {
            UpstreamFailure::Timeout => CallReason::Timeout,
            UpstreamFailure::Truncated => CallReason::TruncatedAnswer,
            UpstreamFailure::TooLarge => CallReason::TooLarge,
            _ => CallReason::UpstreamFailed,
        };
        if !run.class.is_repeatable() {
            let due = self.outcomes.mark_lost(now, &run.request.id);
            self.answer_queries(due, steps);
            // Stops tracking the claim without releasing it. The holders keep it, so that no resend
            // runs.
            self.drop_claim(id);
        }
        let response = self.response(run.request.id.clone(), CallOutcome::Unknown, reason);
        self.send_response(now, run, response, CallOutcome::Unknown, steps);
    }

    pub(super) fn cancel_run(
        &mut self,
        now: Timestamp,
        id: RunId,
        steps: &mut Vec<DestinationStep>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        match run.phase {
            RunPhase::Queued | RunPhase::Claiming => {
                self.refuse_run(now, id, CallReason::Cancelled, steps);
            }
            // A resend of the key will ask for the answer, so the run continues.
            RunPhase::Running if run.claim_key().is_some() => {}
            RunPhase::Running => {
                let Some(endpoint) = &self.endpoint else {
                    return;
                };
                let attempt = self.names.attempt.map(|_| run.attempt_label());
                if attempt.is_none() && !run.class.is_repeatable() {
                    // Closing the connection would leave open whether the request ran, and the
                    // caller can't send it again. The run ends by itself.
                    return;
                }
                steps.push(DestinationStep::Cancel {
                    run: id,
                    address: endpoint.address,
                    attempt,
                });
            }
        }
    }

    /// Performs the actions that the admission queue requests.
    pub(super) fn poll_queue(&mut self, now: Timestamp, steps: &mut Vec<DestinationStep>) {
        loop {
            let Some(admission) = &mut self.admission else {
                return;
            };
            let next = admission.poll(now);
            if next == QueueStep::Idle {
                return;
            }
            self.apply_queue_step(now, next, steps);
        }
    }

    fn apply_queue_step(
        &mut self,
        now: Timestamp,
        step: QueueStep,
        steps: &mut Vec<DestinationStep>,
    ) {
        match step {
            QueueStep::Start(ticket) => {
                if let Some(id) = self.tickets.get(&ticket).copied() {
                    self.start_run(now, id, steps);
                }
            }
            QueueStep::Refuse(ticket, reason) => self.refuse_ticket(now, ticket, reason, steps),
            QueueStep::Idle => {}
        }
    }

    /// Removes a run, frees its slot and starts the calls that wait for a slot.
    fn remove_run(
        &mut self,
        now: Timestamp,
        id: RunId,
        outcome: ServiceOutcome,
        steps: &mut Vec<DestinationStep>,
    ) -> Option<CallRun> {
        self.record_fate(now, id);
        let run = self.runs.swap_remove(&id)?;
        self.record_abandoned(now, &run, outcome);
        self.tickets.swap_remove(&run.ticket);
        self.attempts.swap_remove(&run.request.id);
        if let Some(request) = run.request_id(&self.names) {
            self.running.remove(request, id);
        }
        if let Some(admission) = &mut self.admission {
            if run.phase == RunPhase::Queued
                && admission.cancel(run.ticket) != CancelOutcome::Running
            {
                return Some(run);
            }
            let next = admission.finished(now, run.ticket, outcome);
            self.apply_queue_step(now, next, steps);
            self.poll_queue(now, steps);
        }
        Some(run)
    }

    fn send_response(
        &mut self,
        now: Timestamp,
        run: &CallRun,
        mut response: kumquatlock_wire::call::CallResponse,
        outcome: CallOutcome,
        steps: &mut Vec<DestinationStep>,
    ) {
        let reason = CallReason::try_from(response.reason).unwrap_or(CallReason::None);
        let elapsed = now.since(run.arrived_at);
        self.log_end(now, run.source, &run.request, outcome, reason, elapsed);
        // The node may have started a new incarnation since the call was sent.
        response.incarnation = run.request.incarnation;
        if let Some(load) = &mut response.load {
            let waited = run
                .sent
                .map_or(elapsed, |sent| sent.at.since(run.arrived_at));
            load.held_us = u32::try_from(elapsed.as_micros()).unwrap_or(u32::MAX);
            load.waited_us = u32::try_from(waited.as_micros()).unwrap_or(u32::MAX);
        }
        steps.push(DestinationStep::Respond {
            to: run.source,
            response,
        });
        if let Some(span) = run.span.filter(|span| span.context.is_sampled()) {
            steps.push(DestinationStep::Ended {
                span,
                arrived_at: run.arrived_at,
                outcome,
            });
        }
    }
}
