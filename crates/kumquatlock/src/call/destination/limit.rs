//! Times, before the deadlines of calls, by which calls must be answered.

use std::time::Duration;

use kumquatlock_wire::call::{CallReason, CallRequest};

use super::run::RunPhase;
use super::{DestinationCalls, DestinationStep, RunId};
use crate::core::Timestamp;

/// Time for which a leaving upstream usually still answers requests.
pub(super) const DEFAULT_LEAVE_TIME: Duration = Duration::from_secs(2);

/// Time by which a call must be answered. The call is refused instead of started if it is not
/// expected to be answered by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnswerLimit {
    pub(super) at: Timestamp,
    /// Reason for refusing a call that can't be answered in time.
    pub(super) reason: CallReason,
}

impl AnswerLimit {
    /// Returns the limit of a call whose entry node can pass the answer on for `within_us`
    /// microseconds. Its caller can send the call to another entry node, which waits longer.
    pub(super) fn of_entry(now: Timestamp, within_us: u64) -> Self {
        AnswerLimit {
            at: now + Duration::from_micros(within_us),
            reason: CallReason::Cancelled,
        }
    }

    /// Returns the limit that a request states.
    pub(super) fn of_request(now: Timestamp, request: &CallRequest) -> Option<Self> {
        let within_us = request.answer_within_us?;
        Some(AnswerLimit::of_entry(now, within_us))
    }
}

impl DestinationCalls {
    /// Refuses new calls from now on because the upstream leaves. It may end soon, so calls that
    /// wait for it run only if they are expected to be answered before; the others can go to
    /// another upstream. Running calls finish.
    pub fn drain_upstream(&mut self, now: Timestamp) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        self.leave(now, &mut steps);
        steps
    }

    /// Like [`DestinationCalls::drain_upstream`], within the handling of another event.
    pub(super) fn leave(&mut self, now: Timestamp, steps: &mut Vec<DestinationStep>) {
        self.drain();
        let limit = AnswerLimit {
            at: now + self.leave_time,
            reason: CallReason::Draining,
        };
        self.limit_waiting(now, limit, |_| true, steps);
    }

    /// Sets when the process ends. Calls whose deadline is later are refused from now on, and calls
    /// that wait run only if they are expected to be answered by then.
    pub fn set_end(&mut self, now: Timestamp, ends_at: Timestamp) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        self.ends_at = Some(ends_at);
        let limit = AnswerLimit {
            at: ends_at,
            reason: CallReason::Draining,
        };
        self.limit_waiting(now, limit, |_| true, &mut steps);
        steps
    }

    /// Requires waiting calls to be answered by a certain time. Those that are not expected to be
    /// are refused at once, because another upstream may still run them; the others are refused
    /// later if they are not started in time.
    pub(super) fn limit_waiting(
        &mut self,
        now: Timestamp,
        limit: AnswerLimit,
        is_limited: impl Fn(RunId) -> bool,
        steps: &mut Vec<DestinationStep>,
    ) {
        for (id, run) in &mut self.runs {
            let is_earlier = run.limit.is_none_or(|current| limit.at < current.at);
            if is_limited(*id) && run.phase != RunPhase::Running && is_earlier {
                run.limit = Some(limit);
            }
        }
        let Some(admission) = &mut self.admission else {
            return;
        };
        let tickets = &self.tickets;
        let is_limited = |ticket| tickets.get(&ticket).copied().is_some_and(&is_limited);
        for ticket in admission.limit_queued(now, limit.at, is_limited) {
            self.refuse_ticket(now, ticket, limit.reason, steps);
        }
    }
}
