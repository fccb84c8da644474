//! The version of the local upstream, and what is observed of it during a rollout.

use std::time::Duration;

use kumquatlock_wire::rollout::RolloutEvidence;

use super::DestinationCalls;
use super::run::{CallRun, ResponseVerdict};
use crate::core::{ConfigSnapshot, Timestamp};
use crate::http::{HttpResponse, UpstreamFailure};
use crate::rollout::EvidenceKind;

/// Time before the deadline within which a cancellation counts as caused by it. Entry and destination
/// compute the deadline on their own clocks from the time left.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

impl DestinationCalls {
    /// Sets the time for which the upstream will still be slow after its start.
    pub fn set_warm_up(&mut self, now: Timestamp, left: Duration) {
        self.evidence.set_warm_up(now, left);
    }

    /// Returns the report on the running rollout that is due.
    pub fn take_evidence(&mut self, now: Timestamp) -> Option<RolloutEvidence> {
        self.evidence.take_due(now)
    }

    pub(super) fn apply_versions(&mut self, snapshot: &ConfigSnapshot) {
        self.evidence.apply(snapshot, &self.name, self.incarnation);
        let upstream = snapshot.upstreams.get(&self.name);
        // An entry node that has not heard of a roll-back may still send requests.
        self.is_version_withdrawn = upstream.is_some_and(|upstream| {
            let versions = snapshot.versions.get(&upstream.service);
            let is_current = upstream.incarnation == self.incarnation;
            is_current && versions.is_some_and(|versions| versions.is_rolled_back(upstream))
        });
    }

    /// Counts the end of a run for a rollout. Runs that were cancelled or cut off, or that did not
    /// reach the upstream, say nothing about its version.
    pub(super) fn record_evidence(
        &mut self,
        now: Timestamp,
        run: &CallRun,
        verdict: &Result<(ResponseVerdict, HttpResponse), UpstreamFailure>,
    ) {
        let Some(sent) = run.sent else {
            return;
        };
        let status = match verdict {
            Ok((ResponseVerdict::Answered, response)) => Some(response.status.code()),
            Err(UpstreamFailure::Timeout) => None,
            // The entry node gives up a request at its deadline, so a version that is too slow shows
            // by that.
            Err(UpstreamFailure::Cancelled) if now + DEADLINE_MARGIN >= run.deadline => None,
            _ => return,
        };
        let kind = EvidenceKind {
            class: run.request.class,
            rank: run.request.rank,
            is_inner: run.request.inner,
        };
        self.evidence.record(now, kind, sent.at, status);
    }
}
