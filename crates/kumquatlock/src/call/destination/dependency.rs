//! Calls that the upstream makes while it runs others, and what their ends mean for further calls.

use std::time::Duration;

use kumquatlock_wire::call::{CallReason, CallRequest};

use super::{DestinationCalls, RunId};
use crate::call::destination::run::{CallRun, RunPhase};
use crate::call::entry::NestedEnd;
use crate::core::Timestamp;
use crate::dependency::{RunFate, StartDecision};
use crate::util::log_quota::QuotaStep;

/// Maximum number of callees that are remembered; upstreams call a few.
const MAX_CALLEES: usize = 64;
/// Time for which a callee is remembered after the latest call.
const CALLEE_TIME: Duration = Duration::from_secs(10);

/// Calls that runs of the upstream have made, since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NestedCounters {
    ended: u64,
    /// Those that found no room; at most `ended`.
    without_room: u64,
}

impl DestinationCalls {
    /// Handles the end of a call that the upstream made.
    pub fn on_nested_end(&mut self, now: Timestamp, end: NestedEnd) {
        if self.callees.len() < MAX_CALLEES || self.callees.contains_key(&end.service) {
            self.callees.insert(end.service, now);
        }
        self.nested.ended += 1;
        self.nested.without_room += u64::from(end.lacked_room);
        if let Some(run) = self.runs.get_mut(&end.run) {
            run.has_lost_call |= end.lacked_room;
        }
    }

    /// Keeps slots for nested calls if one shows that runs of this upstream may wait for it: a run
    /// above it belongs to a service that this upstream calls, or to this service.
    pub(super) fn keep_slots(&mut self, now: Timestamp, request: &CallRequest) {
        let (Some(endpoint), Some(admission)) = (&self.endpoint, &mut self.admission) else {
            return;
        };
        let callees = &self.callees;
        let is_awaited = |caller: &String| {
            let called_at = callees.get(caller.as_str());
            called_at.is_some_and(|at| now.since(*at) < CALLEE_TIME)
                || **caller == *endpoint.service
        };
        if request.callers.iter().any(is_awaited) {
            admission.keep_slots(now, request.depth);
        }
    }

    /// Decides whether a call may wait for the upstream and start.
    pub(super) fn admit_start(&mut self, now: Timestamp, request: &CallRequest) -> StartDecision {
        if request.inner {
            return StartDecision::Start;
        }
        let decision = self.throttle.admit(now, &request.route);
        if decision == StartDecision::Refuse
            && let QuotaStep::Write { left_out } = self.log.held_back.take(now)
        {
            log::info!(
                route = request.route.as_str(),
                share = self.throttle.share(now, &request.route),
                left_out;
                "call_held_back"
            );
        }
        decision
    }

    /// Records the end of a run.
    pub(super) fn record_fate(&mut self, now: Timestamp, id: RunId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.phase == RunPhase::Running {
            let fate = fate_of(run);
            self.throttle.record(now, &run.request.route, fate);
        }
    }

    /// Returns the number of calls that were refused because their runs would lose calls.
    pub fn held_back(&self) -> u64 {
        self.throttle.refused()
    }

    /// Returns the number of ended calls that runs of the upstream have made.
    pub fn nested_calls(&self) -> u64 {
        self.nested.ended
    }

    /// Returns how many of these calls found no room.
    pub fn nested_calls_without_room(&self) -> u64 {
        self.nested.without_room
    }

    /// Returns the number of routes of which only a share of the calls starts.
    pub fn throttled_routes(&self, now: Timestamp) -> usize {
        self.throttle.throttled_routes(now)
    }
}

fn fate_of(run: &CallRun) -> RunFate {
    match run.has_lost_call {
        true => RunFate::LostCall,
        false => RunFate::Complete,
    }
}

/// Whether a call that ended for this reason found no room.
pub(in crate::call) fn lacked_room(reason: CallReason) -> bool {
    matches!(
        reason,
        CallReason::Overloaded | CallReason::DeadlineTooShort | CallReason::DependencyOverloaded
    )
}
