//! Log lines of calls at their entry node: one per call that ended or was refused, with the
//! reasons, and one per attempt without an answer for the caller, with the proof that it did not
//! run.

use kumquatlock_wire::call::{CallReason, CallResponse};

use super::message::{AttemptResult, classify_response};
use super::processes::DestinationProcess;
use super::proof::AttemptProof;
use super::state::{CallPhase, EntryCall, OutcomeSearch, SentAttempt};
use super::{CallId, EntryCalls, Timestamp};
use crate::call::answer::{CallerAnswer, reason_label};
use crate::call::request::CallerRequest;
use crate::util::log_quota::{LogQuota, QuotaStep};

/// Maximum log lines per second for calls that an upstream answered.
const ANSWERED_PER_SECOND: u64 = 30;
/// Maximum log lines per second for all other calls.
const OTHERS_PER_SECOND: u64 = 60;
/// Maximum log lines per second for attempts that were refused, or that may be repeated. They are
/// frequent under overload.
const COMMON_ATTEMPTS_PER_SECOND: u64 = 30;
/// Maximum log lines per second for all other attempts, and for queries and their answers each.
const RARE_ATTEMPTS_PER_SECOND: u64 = 30;
/// Maximum log lines per second for queries that are sent again. Each call that waits for a node
/// that can't be reached sends several a second.
const REPEATED_QUERIES_PER_SECOND: u64 = 10;

/// Quotas for the log lines of calls at their entry node.
#[derive(Debug)]
pub(super) struct EntryLog {
    answered: LogQuota,
    others: LogQuota,
    common_attempts: LogQuota,
    rare_attempts: LogQuota,
    queries: LogQuota,
    repeated_queries: LogQuota,
    query_answers: LogQuota,
}

/// How an attempt ended that gave no answer for the caller.
#[derive(Clone, Copy, Debug)]
struct AttemptEnd<'a> {
    number: u32,
    upstream: &'a str,
    /// Incarnation that the attempt was addressed to.
    incarnation: u64,
    /// Incarnation that answered; zero if none did.
    answered_by: u64,
    outcome: &'static str,
    reason: &'static str,
    proof: AttemptProof,
}

impl<'a> AttemptEnd<'a> {
    /// An attempt that ended without an answer from its destination node.
    fn unanswered(
        number: u32,
        upstream: &'a str,
        addressed: DestinationProcess,
        reason: CallReason,
    ) -> Self {
        AttemptEnd {
            number,
            upstream,
            incarnation: addressed.incarnation.0,
            answered_by: 0,
            outcome: AttemptResult::Unknown(reason).into(),
            reason: reason_label(reason),
            proof: AttemptProof::None,
        }
    }

    /// An outstanding attempt that ended without an answer.
    fn of_sent(sent: &'a SentAttempt, reason: CallReason) -> Self {
        AttemptEnd::unanswered(sent.number, &sent.chosen.entry.name, sent.addressed, reason)
    }

    /// The attempt that a search was about.
    fn of_search(search: &'a OutcomeSearch, reason: &'static str) -> Self {
        AttemptEnd {
            number: search.owner.attempt.attempt,
            upstream: &search.destination,
            incarnation: search.owner.destination_incarnation,
            answered_by: 0,
            outcome: AttemptResult::Unknown(search.reason).into(),
            reason,
            proof: AttemptProof::None,
        }
    }
}

impl Default for EntryLog {
    fn default() -> Self {
        EntryLog {
            answered: LogQuota::new(ANSWERED_PER_SECOND),
            others: LogQuota::new(OTHERS_PER_SECOND),
            common_attempts: LogQuota::new(COMMON_ATTEMPTS_PER_SECOND),
            rare_attempts: LogQuota::new(RARE_ATTEMPTS_PER_SECOND),
            queries: LogQuota::new(RARE_ATTEMPTS_PER_SECOND),
            repeated_queries: LogQuota::new(REPEATED_QUERIES_PER_SECOND),
            query_answers: LogQuota::new(RARE_ATTEMPTS_PER_SECOND),
        }
    }
}

impl EntryLog {
    fn take(&mut self, now: Timestamp, answer: Option<&CallerAnswer>) -> QuotaStep {
        let is_answered = answer.is_some_and(
            |answer| matches!(answer, CallerAnswer::Answered { status, .. } if *status < 500),
        );
        match is_answered {
            true => self.answered.take(now),
            false => self.others.take(now),
        }
    }

    fn write_attempt(&mut self, now: Timestamp, id: CallId, call: &EntryCall, end: AttemptEnd<'_>) {
        let is_common = call.route.class.is_repeatable() || end.proof == AttemptProof::Refused;
        let quota = match is_common {
            true => &mut self.common_attempts,
            false => &mut self.rare_attempts,
        };
        let QuotaStep::Write { left_out } = quota.take(now) else {
            return;
        };
        let proof: &'static str = end.proof.into();
        log::info!(
            request = call.request.id.as_deref().unwrap_or(""),
            fingerprint:% = call.fingerprint,
            call = id.0,
            attempt = end.number,
            route = &*call.route.name,
            upstream = end.upstream,
            incarnation = end.incarnation,
            answered_by = end.answered_by,
            outcome = end.outcome,
            reason = end.reason,
            proof,
            elapsed_ms = now.since(call.opened_at).as_millis() as u64,
            left_out;
            "attempt_ended"
        );
    }
}

impl EntryCalls {
    /// Logs the end of a call. `answer` is `None` if the caller disconnected.
    pub(super) fn log_end(
        &mut self,
        now: Timestamp,
        id: CallId,
        call: &EntryCall,
        answer: Option<&CallerAnswer>,
    ) {
        self.record_open_search(now, id, call, answer);
        let QuotaStep::Write { left_out } = self.log.take(now, answer) else {
            return;
        };
        let status = match answer {
            Some(CallerAnswer::Answered { status, .. }) => *status,
            _ => 0,
        };
        let waiting = call.outstanding.first();
        let waiting = waiting.map_or("", |sent| &*sent.chosen.entry.name);
        log::info!(
            request = call.request.id.as_deref().unwrap_or(""),
            fingerprint:% = call.fingerprint,
            call = id.0,
            route = &*call.route.name,
            service = &*call.service,
            account = call.account_name(),
            rank = call.rank,
            inner = call.request.is_nested,
            version = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.version.0),
            outcome = answer.map_or("caller_left", |answer| answer.outcome()),
            reason = answer.map_or("", |answer| answer.reason()),
            status,
            attempts = call.attempts_sent,
            arrived = call.possibly_arrived,
            upstream = call.last_upstream.as_deref().unwrap_or(""),
            waiting_for = waiting,
            load_age_ms = call.load_age.as_millis() as u64,
            elapsed_ms = now.since(call.opened_at).as_millis() as u64,
            left_ms = call.deadline.since(now).as_millis() as u64,
            tokens = self.budgets.get(&call.service).map_or(0.0, |budget| budget.tokens()),
            left_out;
            "call_ended"
        );
    }

    /// Logs a request that was refused before it became a call.
    pub(super) fn log_refusal(
        &mut self,
        now: Timestamp,
        request: &CallerRequest,
        answer: &CallerAnswer,
    ) {
        let QuotaStep::Write { left_out } = self.log.take(now, Some(answer)) else {
            return;
        };
        log::info!(
            request = request.id.as_deref().unwrap_or(""),
            fingerprint:% = self.fingerprint(request),
            host = request.host.as_str(),
            path = request.path(),
            version = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.version.0),
            outcome = answer.outcome(),
            reason = answer.reason(),
            in_progress = self.calls.len(),
            left_out;
            "call_refused"
        );
    }

    /// Counts and logs an attempt whose answer is not passed to the caller at once.
    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        id: CallId,
        sent: &SentAttempt,
        result: AttemptResult,
        response: &CallResponse,
    ) {
        if result == AttemptResult::Answer {
            return;
        }
        let end = AttemptEnd {
            answered_by: response.incarnation,
            outcome: result.into(),
            reason: reason_label(reason_of(response)),
            proof: AttemptProof::of_result(&result, response.owner.is_some()),
            ..AttemptEnd::of_sent(sent, CallReason::None)
        };
        self.record_attempt(now, id, end);
    }

    /// Counts and logs an attempt of which no byte was written.
    pub(super) fn record_unsent(&mut self, now: Timestamp, id: CallId, sent: &SentAttempt) {
        let reason = CallReason::LinkLost;
        let end = AttemptEnd {
            outcome: AttemptResult::NotRun(reason).into(),
            proof: AttemptProof::Unsent,
            ..AttemptEnd::of_sent(sent, reason)
        };
        self.record_attempt(now, id, end);
    }

    /// Counts and logs an attempt whose link was lost, and whose outcome is not queried.
    pub(super) fn record_lost(
        &mut self,
        now: Timestamp,
        id: CallId,
        number: u32,
        upstream: &str,
        addressed: DestinationProcess,
    ) {
        let end = AttemptEnd::unanswered(number, upstream, addressed, CallReason::LinkLost);
        self.record_attempt(now, id, end);
    }

    /// Counts and logs an attempt that was outstanding at the end of its call.
    pub(super) fn record_cancelled(
        &mut self,
        now: Timestamp,
        id: CallId,
        call: &EntryCall,
        sent: &SentAttempt,
    ) {
        let reason = match now >= call.deadline {
            true => CallReason::Timeout,
            false => CallReason::Cancelled,
        };
        let end = AttemptEnd::of_sent(sent, reason);
        self.counters.count_ended(end.proof);
        self.log.write_attempt(now, id, call, end);
    }

    /// Counts and logs the attempt of a call that ends before the outcome of the attempt was found.
    fn record_open_search(
        &mut self,
        now: Timestamp,
        id: CallId,
        call: &EntryCall,
        answer: Option<&CallerAnswer>,
    ) {
        let CallPhase::Querying(search) = &call.phase else {
            return;
        };
        let is_answered = matches!(answer, Some(CallerAnswer::Answered { .. }));
        if is_answered || !self.is_attempt_of(id, search) {
            return;
        }
        let reason = answer.map_or("caller_left", CallerAnswer::reason);
        let end = AttemptEnd::of_search(search, reason);
        self.counters.count_ended(end.proof);
        self.log.write_attempt(now, id, call, end);
    }

    fn record_attempt(&mut self, now: Timestamp, id: CallId, end: AttemptEnd<'_>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        self.counters.count_ended(end.proof);
        self.log.write_attempt(now, id, call, end);
    }

    /// Whether a search is about an attempt of the call itself, and not about the owner of its key.
    fn is_attempt_of(&self, id: CallId, search: &OutcomeSearch) -> bool {
        let attempt = &search.owner.attempt;
        self.is_own_attempt(attempt) && attempt.call_id == id.0
    }

    /// Logs a query for the outcome of an attempt. `is_repeated` is whether the same search has sent
    /// a query before.
    pub(super) fn log_query(&mut self, now: Timestamp, id: CallId, is_repeated: bool) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let CallPhase::Querying(search) = &call.phase else {
            return;
        };
        let quota = match is_repeated {
            true => &mut self.log.repeated_queries,
            false => &mut self.log.queries,
        };
        let QuotaStep::Write { left_out } = quota.take(now) else {
            return;
        };
        let asked = &search.owner.attempt;
        log::info!(
            request = call.request.id.as_deref().unwrap_or(""),
            call = id.0,
            query = search.query_number,
            owner = asked.entry.as_str(),
            owner_process = asked.entry_incarnation,
            owner_call = asked.call_id,
            attempt = asked.attempt,
            upstream = &*search.destination,
            incarnation = search.owner.destination_incarnation,
            reason = reason_label(search.reason),
            repeated = is_repeated,
            elapsed_ms = now.since(call.opened_at).as_millis() as u64,
            left_out;
            "outcome_queried"
        );
    }

    /// Logs the answer to a query. If it proves that an attempt of this call did not run, the
    /// attempt has ended.
    pub(super) fn record_query_answer(
        &mut self,
        now: Timestamp,
        id: CallId,
        response: &CallResponse,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let CallPhase::Querying(search) = &call.phase else {
            return;
        };
        let result = classify_response(response);
        if let QuotaStep::Write { left_out } = self.log.query_answers.take(now) {
            write_query_answer(id, call, search, result, response, left_out);
        }
        let is_proof = matches!(result, AttemptResult::NotRun(_))
            && response.incarnation == search.owner.destination_incarnation;
        if is_proof && self.is_attempt_of(id, search) {
            let end = AttemptEnd {
                answered_by: response.incarnation,
                outcome: result.into(),
                proof: AttemptProof::Fenced,
                ..AttemptEnd::of_search(search, reason_label(reason_of(response)))
            };
            self.counters.count_ended(end.proof);
            self.log.write_attempt(now, id, call, end);
        }
    }
}

fn write_query_answer(
    id: CallId,
    call: &EntryCall,
    search: &OutcomeSearch,
    result: AttemptResult,
    response: &CallResponse,
    left_out: u64,
) {
    let asked = &search.owner.attempt;
    let outcome: &'static str = result.into();
    log::info!(
        request = call.request.id.as_deref().unwrap_or(""),
        call = id.0,
        query = search.query_number,
        owner = asked.entry.as_str(),
        owner_process = asked.entry_incarnation,
        owner_call = asked.call_id,
        attempt = asked.attempt,
        upstream = &*search.destination,
        incarnation = search.owner.destination_incarnation,
        answered_by = response.incarnation,
        outcome,
        reason = reason_label(reason_of(response)),
        left_out;
        "outcome_learned"
    );
}

fn reason_of(response: &CallResponse) -> CallReason {
    CallReason::try_from(response.reason).unwrap_or(CallReason::UpstreamFailed)
}
