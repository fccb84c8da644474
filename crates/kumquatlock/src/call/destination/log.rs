//! Log lines of calls at their destination node: one per call that ended or was refused, with the
//! reasons.

use std::time::Duration;

use kumquatlock_wire::call::{CallOutcome, CallReason, CallRequest};

use super::DestinationCalls;
use crate::call::answer::reason_label;
use crate::core::{RequestFingerprint, Timestamp};
use crate::util::log_quota::{LogQuota, QuotaStep};

/// Maximum log lines per second for runs that the upstream answered.
const ANSWERED_PER_SECOND: u64 = 30;
/// Maximum log lines per second for all other calls.
const OTHERS_PER_SECOND: u64 = 60;

/// Quotas for the log lines of calls at their destination node.
#[derive(Debug)]
pub(super) struct DestinationLog {
    answered: LogQuota,
    others: LogQuota,
}

impl Default for DestinationLog {
    fn default() -> Self {
        DestinationLog {
            answered: LogQuota::new(ANSWERED_PER_SECOND),
            others: LogQuota::new(OTHERS_PER_SECOND),
        }
    }
}

impl DestinationCalls {
    /// Logs the outcome of a call. `elapsed` is the time since its arrival.
    pub(super) fn log_end(
        &mut self,
        now: Timestamp,
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
        let name = self.names.request_id;
        let id = request
            .headers
            .iter()
            .find(|field| name.is_some_and(|name| field.name.eq_ignore_ascii_case(name)));
        log::info!(
            request = id.map_or("", |field| field.value.as_str()),
            fingerprint:% = RequestFingerprint(request.fingerprint),
            entry = request.id.entry.as_str(),
            attempt = request.id.attempt,
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
}
