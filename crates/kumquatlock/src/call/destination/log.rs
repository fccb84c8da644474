//! Log lines of calls at their destination node: one per call that ended or was refused, with the
//! reasons, and the events that decide whether an attempt may run.

use std::time::Duration;

use kumquatlock_wire::call::{CallOutcome, CallReason, CallRequest};
use kumquatlock_wire::claim::OutcomeQuery;
use log::Level;

use super::{CallSource, DestinationCalls, RunId};
use crate::call::answer::reason_label;
use crate::core::{IncarnationId, RequestFingerprint, Timestamp};
use crate::util::log_quota::{LogQuota, QuotaStep};

/// Maximum log lines per second for runs that the upstream answered.
const ANSWERED_PER_SECOND: u64 = 30;
/// Maximum log lines per second for all other calls.
const OTHERS_PER_SECOND: u64 = 60;
/// Maximum log lines per second of each kind of event that decides whether an attempt may run. Such
/// events are rare unless links are lost or nodes restart.
const EVENTS_PER_SECOND: u64 = 30;
/// Number of a call's first attempt.
const FIRST_ATTEMPT: u32 = 1;

/// Quotas for the log lines of calls at their destination node.
#[derive(Debug)]
pub(super) struct DestinationLog {
    answered: LogQuota,
    others: LogQuota,
    starts: LogQuota,
    fences: LogQuota,
    late_attempts: LogQuota,
    pub(super) held_back: LogQuota,
    other_incarnations: LogQuota,
}

impl Default for DestinationLog {
    fn default() -> Self {
        DestinationLog {
            answered: LogQuota::new(ANSWERED_PER_SECOND),
            others: LogQuota::new(OTHERS_PER_SECOND),
            starts: LogQuota::new(EVENTS_PER_SECOND),
            fences: LogQuota::new(EVENTS_PER_SECOND),
            late_attempts: LogQuota::new(EVENTS_PER_SECOND),
            held_back: LogQuota::new(EVENTS_PER_SECOND),
            other_incarnations: LogQuota::new(EVENTS_PER_SECOND),
        }
    }
}

impl DestinationCalls {
    /// Logs the outcome of a call. `elapsed` is the time since its arrival.
    pub(super) fn log_end(
        &mut self,
        now: Timestamp,
        source: CallSource,
        request: &CallRequest,
        outcome: CallOutcome,
        reason: CallReason,
        elapsed: Duration,
    ) {
        let quota = match outcome {
            CallOutcome::Answered => &mut self.log.answered,
            _ => &mut self.log.others,
        };
        let QuotaStep::Write { left_out } = quota.take(now) else {
            return;
        };
        let load = self.load();
        let limit = self.rate_limit().map(|rate| rate.to_string());
        log::info!(
            request = self.request_id(request),
            fingerprint:% = RequestFingerprint(request.fingerprint),
            entry = request.id.entry.as_str(),
            entry_process = request.id.entry_incarnation,
            call = request.id.call_id,
            attempt = request.id.attempt,
            incarnation = request.incarnation,
            own_incarnation = self.incarnation.0,
            link = link_number(source),
            service = request.service.as_str(),
            rank = request.rank,
            inner = request.inner,
            version = request.config_version,
            instance = self.endpoint.as_ref().map_or("", |endpoint| &*endpoint.instance),
            outcome:? = outcome,
            reason = reason_label(reason),
            held_ms = elapsed.as_millis() as u64,
            running = load.running,
            queued = load.queued,
            slots = load.slots,
            service_ms = load.service_us / 1_000,
            rate_limit = limit.as_deref().unwrap_or("none"),
            draining = load.draining,
            left_out;
            "run_ended"
        );
    }

    /// Logs the start of a run that is not the first attempt of its call, unless the request may run
    /// more than once.
    pub(super) fn log_start(&mut self, now: Timestamp, id: RunId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.class.is_repeatable() || run.request.id.attempt <= FIRST_ATTEMPT {
            return;
        }
        if let QuotaStep::Write { left_out } = self.log.starts.take(now) {
            self.write_attempt(
                Level::Info,
                "run_started",
                run.source,
                &run.request,
                left_out,
            );
        }
    }

    /// Counts and logs an attempt that is accepted under another incarnation than it names.
    pub(super) fn record_accepted(
        &mut self,
        now: Timestamp,
        source: CallSource,
        request: &CallRequest,
    ) {
        if request.incarnation == self.incarnation.0 {
            return;
        }
        self.counters.other_incarnation_attempts += 1;
        if let QuotaStep::Write { left_out } = self.log.other_incarnations.take(now) {
            let event = "other_incarnation_accepted";
            self.write_attempt(Level::Info, event, source, request, left_out);
        }
    }

    /// Counts and logs an attempt that arrived after it had been fenced.
    pub(super) fn record_late_attempt(
        &mut self,
        now: Timestamp,
        source: CallSource,
        request: &CallRequest,
    ) {
        self.counters.attempts_after_fence += 1;
        if let QuotaStep::Write { left_out } = self.log.late_attempts.take(now) {
            let event = "attempt_after_fence";
            self.write_attempt(Level::Warn, event, source, request, left_out);
        }
    }

    fn write_attempt(
        &self,
        level: Level,
        event: &'static str,
        source: CallSource,
        request: &CallRequest,
        left_out: u64,
    ) {
        log::log!(
            level,
            request = self.request_id(request),
            fingerprint:% = RequestFingerprint(request.fingerprint),
            entry = request.id.entry.as_str(),
            entry_process = request.id.entry_incarnation,
            call = request.id.call_id,
            attempt = request.id.attempt,
            incarnation = request.incarnation,
            own_incarnation = self.incarnation.0,
            link = link_number(source),
            upstream_run = self.upstream_run,
            left_out;
            "{event}"
        );
    }

    /// Counts and logs an attempt that had not arrived and was fenced by a query for its outcome.
    pub(super) fn record_query_fence(
        &mut self,
        now: Timestamp,
        source: CallSource,
        query: &OutcomeQuery,
    ) {
        self.counters.query_fences += 1;
        let QuotaStep::Write { left_out } = self.log.fences.take(now) else {
            return;
        };
        let owner = &query.owner;
        log::info!(
            entry = owner.attempt.entry.as_str(),
            entry_process = owner.attempt.entry_incarnation,
            call = owner.attempt.call_id,
            attempt = owner.attempt.attempt,
            incarnation = owner.destination_incarnation,
            own_incarnation = self.incarnation.0,
            link = link_number(source),
            asked_by = query.id.entry.as_str(),
            query = query.id.attempt,
            left_out;
            "attempt_fenced"
        );
    }

    /// Logs a new incarnation.
    pub(super) fn log_incarnation(&self, from: IncarnationId) {
        log::info!(
            from = from.0,
            to = self.incarnation.0,
            upstream_run = self.upstream_run,
            runs = self.runs.len();
            "incarnation_changed"
        );
    }

    fn request_id<'a>(&self, request: &'a CallRequest) -> &'a str {
        let Some(name) = self.names.request_id else {
            return "";
        };
        let mut fields = request.headers.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name));
        field.map_or("", |field| field.value.as_str())
    }
}

/// Returns the number of the link over which a message came; zero if it came from this node.
fn link_number(source: CallSource) -> u64 {
    match source {
        CallSource::Link(link) => link.0,
        CallSource::Local => 0,
    }
}
