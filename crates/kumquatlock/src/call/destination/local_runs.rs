//! What the runs at the upstream beside a node say about the calls that enter there.

use std::time::Duration;

use super::DestinationCalls;
use super::run::CallRun;
use crate::admission::ServiceOutcome;
use crate::core::Timestamp;

/// Value of [`kumquatlock_wire::call::CallRequest::extra_permille`] for an attempt that is certain to
/// be an extra arrival.
pub(super) const CERTAIN_PERMILLE: u32 = 1_000;
/// Time for which an upstream may go on with a run that this node has given up, and make calls.
const ABANDONED_TIME: Duration = Duration::from_secs(5);

/// What is running at the upstream beside the entry node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalRuns {
    /// Whether nothing runs there, so that no call comes from there.
    pub is_idle: bool,
    /// Share of the runs that are extra arrivals. Calls don't name the run that makes them, so this
    /// is the probability that a call comes from such a run.
    pub extra_share: f64,
}

impl DestinationCalls {
    /// Returns what is running at the upstream.
    pub fn local_runs(&self, now: Timestamp) -> LocalRuns {
        let running = self.runs.values().filter(|run| run.sent.is_some());
        let (extra, count) = running.fold((0, 0), |(extra, count), run| {
            let permille = run.request.extra_permille.min(CERTAIN_PERMILLE);
            (extra + permille, count + 1)
        });
        let is_abandoned = now.since(self.abandoned_at) < ABANDONED_TIME;
        LocalRuns {
            is_idle: count == 0 && !is_abandoned,
            extra_share: f64::from(extra) / f64::from(CERTAIN_PERMILLE * count.max(1)),
        }
    }

    /// Records the end of a run here; without an answer it may go on at the upstream.
    pub(super) fn record_abandoned(&mut self, now: Timestamp, run: &CallRun, end: ServiceOutcome) {
        if run.sent.is_some() && end == ServiceOutcome::Ended {
            self.abandoned_at = now;
        }
    }
}
