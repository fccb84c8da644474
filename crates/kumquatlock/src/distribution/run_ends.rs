//! Confirmation that the ends of runs, which nodes report, are committed to the log.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::distribution::{EndedRun, EndedStart, RecordedEnds};

use super::MAX_CHILDREN;
use super::parent::{ChildId, ParentStep, send};
use crate::catalog::Catalog;
use crate::core::Timestamp;

/// Maximum number of reported ends that children wait for. More than one for each child; a report
/// beyond it is confirmed when it is repeated.
const MAX_WAITING_ENDS: usize = 2 * MAX_CHILDREN;
/// Time after which a child that has not repeated its report does not wait any more.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// An end that a child has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReportedEnd {
    Run(EndedRun),
    Start(EndedStart),
}

impl ReportedEnd {
    fn is_recorded_in(&self, catalog: &Catalog) -> bool {
        match self {
            ReportedEnd::Run(run) => catalog.records_run(run),
            ReportedEnd::Start(start) => catalog.records_start(start),
        }
    }

    /// Whether the end is among those that the parent of this instance has confirmed.
    fn is_covered_by(&self, recorded: &RecordedEnds) -> bool {
        match self {
            ReportedEnd::Run(run) => {
                let mut runs = recorded.runs.iter();
                runs.any(|other| other.run == run.run && other.state >= run.state)
            }
            ReportedEnd::Start(start) => {
                let mut starts = recorded.starts.iter();
                starts.any(|other| other.covers(start.instance, start.latest_start_ms))
            }
        }
    }

    fn confirmation(self, child: ChildId) -> ParentStep {
        let mut recorded = RecordedEnds::default();
        match self {
            ReportedEnd::Run(run) => recorded.runs.push(run),
            ReportedEnd::Start(start) => recorded.starts.push(start),
        }
        let forward = Forward {
            request_id: 0,
            content: Some(Content::RecordedEnds(recorded)),
        };
        send(child, Body::Forward(forward))
    }
}

/// Children that wait until the ends that they reported are recorded.
#[derive(Debug, Default)]
pub(super) struct EndWaiters {
    /// With the time of the last report. At most [`MAX_WAITING_ENDS`].
    waiting: IndexMap<(ReportedEnd, ChildId), Timestamp>,
}

impl EndWaiters {
    /// Confirms a reported end if it is recorded. Otherwise the child waits for it.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        child: ChildId,
        end: ReportedEnd,
        catalog: &Catalog,
    ) -> Option<ParentStep> {
        if end.is_recorded_in(catalog) {
            return Some(end.confirmation(child));
        }
        let key = (end, child);
        if self.waiting.len() < MAX_WAITING_ENDS || self.waiting.contains_key(&key) {
            self.waiting.insert(key, now);
        }
        None
    }

    /// Confirms the ends that the catalog has recorded meanwhile.
    pub(super) fn confirm_recorded(&mut self, catalog: &Catalog) -> Vec<ParentStep> {
        self.confirm(|end| end.is_recorded_in(catalog))
    }

    /// Confirms the ends that the parent of this instance has confirmed.
    pub(super) fn confirm_relayed(&mut self, recorded: &RecordedEnds) -> Vec<ParentStep> {
        self.confirm(|end| end.is_covered_by(recorded))
    }

    fn confirm(&mut self, is_recorded: impl Fn(&ReportedEnd) -> bool) -> Vec<ParentStep> {
        let mut steps = Vec::new();
        self.waiting.retain(|(end, child), _| {
            let is_recorded = is_recorded(end);
            if is_recorded {
                steps.push(end.confirmation(*child));
            }
            !is_recorded
        });
        steps
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.waiting
            .retain(|_, reported_at| now.since(*reported_at) < WAIT_TIMEOUT);
    }

    pub(super) fn remove(&mut self, child: ChildId) {
        self.waiting.retain(|(_, waiting), _| *waiting != child);
    }
}
