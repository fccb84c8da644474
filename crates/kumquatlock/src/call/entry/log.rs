//! Log lines of calls at their entry node: one per call that ended or was refused, with the
//! reasons.

use super::state::EntryCall;
use super::{EntryCalls, Timestamp};
use crate::call::answer::CallerAnswer;
use crate::call::request::CallerRequest;
use crate::util::log_quota::{LogQuota, QuotaStep};

/// Maximum log lines per second for calls that an upstream answered.
const ANSWERED_PER_SECOND: u64 = 30;
/// Maximum log lines per second for all other calls.
const OTHERS_PER_SECOND: u64 = 60;

/// Quotas for the log lines of calls at their entry node.
#[derive(Debug)]
pub(super) struct EntryLog {
    answered: LogQuota,
    others: LogQuota,
}

impl Default for EntryLog {
    fn default() -> Self {
        EntryLog {
            answered: LogQuota::new(ANSWERED_PER_SECOND),
            others: LogQuota::new(OTHERS_PER_SECOND),
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
}

impl EntryCalls {
    /// Logs the end of a call. `answer` is `None` if the caller disconnected.
    pub(super) fn log_end(
        &mut self,
        now: Timestamp,
        call: &EntryCall,
        answer: Option<&CallerAnswer>,
    ) {
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
            route = &*call.route.name,
            service = &*call.service,
            rank = call.route.rank,
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
}
