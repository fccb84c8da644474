//! Ends of runs that the node has no announcement of, or no longer has.
//!
//! A node keeps nothing over a restart, so the first thing that it hears of a run may be that it
//! ends. Also, a run may be replaced by the next one before its end is recorded. Such ends are
//! reported by the identifier of the run and the latest time at which it can have started.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::distribution::{EndedStart, RunEnd};

use super::announcer::{AnnouncerStep, EndProgress};
use super::schedule::ReportSchedule;
use crate::core::{SharedName, Timestamp, stable_hash};

/// Maximum number of ends that are remembered. An upstream announces one.
pub const MAX_RUN_ENDS: usize = 8;
/// Time for which a recorded end is remembered, so that its repetition causes no further report.
/// With [`MAX_RUN_ENDS`], it also bounds the reports of a node that is told of runs that never were.
pub const RUN_END_RETENTION: Duration = Duration::from_secs(10);
/// Difference between the wall clocks of an upstream and its node that is allowed for. A run takes
/// longer to serve, end and start again.
const CLOCK_TOLERANCE_MS: u64 = 2_000;

/// Returns a digest that identifies all runs of an upstream with this identifier; zero if the
/// upstream does not name its runs.
pub(super) fn instance_digest(name: &str, instance: &str) -> u64 {
    match instance.is_empty() {
        true => 0,
        false => stable_hash(format!("{name}/{instance}").as_bytes()),
    }
}

/// What the node does with the end of a run that it has no announcement of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndAdmission {
    /// The end is reported until it is recorded.
    Accepted,
    /// [`MAX_RUN_ENDS`] ends are remembered already.
    Full,
}

/// Ends of runs, by the identifier of the run.
#[derive(Debug, Default)]
pub(super) struct RunEnds {
    /// In the order of the announcements. At most [`MAX_RUN_ENDS`].
    ends: IndexMap<SharedName, AnnouncedEnd>,
}

#[derive(Debug)]
struct AnnouncedEnd {
    end: RunEnd,
    schedule: ReportSchedule,
    /// When control was first known to have recorded the end.
    recorded_at: Option<Timestamp>,
}

impl AnnouncedEnd {
    /// Includes runs that started later.
    fn extend(&mut self, latest_start_ms: u64) {
        if latest_start_ms > self.end.latest_start_ms {
            self.end.latest_start_ms = latest_start_ms;
            self.recorded_at = None;
            self.schedule = ReportSchedule::default();
        }
    }
}

impl RunEnds {
    /// Adds the end of a run that the node has no announcement of. `wall_clock_ms` is the time at
    /// which the run announced it.
    pub(super) fn add_unknown(
        &mut self,
        now: Timestamp,
        wall_clock_ms: u64,
        instance: SharedName,
        mut end: RunEnd,
    ) -> EndAdmission {
        if self.ends.contains_key(&instance) {
            return EndAdmission::Accepted;
        }
        end.latest_start_ms = wall_clock_ms.saturating_add(CLOCK_TOLERANCE_MS);
        log::info!(
            instance = &*instance,
            latest_start_ms = end.latest_start_ms;
            "unknown_run_ended"
        );
        self.add(now, instance, end)
    }

    /// Adds the end of runs that started at the time that it names or earlier.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        instance: SharedName,
        end: RunEnd,
    ) -> EndAdmission {
        self.forget_recorded(now);
        if let Some(announced) = self.ends.get_mut(&instance) {
            announced.extend(end.latest_start_ms);
            return EndAdmission::Accepted;
        }
        if self.ends.len() >= MAX_RUN_ENDS {
            log::warn!(instance = &*instance; "run_end_refused");
            return EndAdmission::Full;
        }
        let announced = AnnouncedEnd {
            end,
            schedule: ReportSchedule::default(),
            recorded_at: None,
        };
        self.ends.insert(instance, announced);
        EndAdmission::Accepted
    }

    fn forget_recorded(&mut self, now: Timestamp) {
        self.ends.retain(|_, announced| {
            let recorded_at = announced.recorded_at;
            recorded_at.is_none_or(|at| now.since(at) < RUN_END_RETENTION)
        });
    }

    /// Whether the run of this identifier, started at this time, has ended.
    pub(super) fn excludes(&self, instance: &str, run_started_ms: u64) -> bool {
        let announced = self.ends.get(instance);
        announced.is_some_and(|announced| run_started_ms <= announced.end.latest_start_ms)
    }

    /// Returns how far the end of a run is known to control; `None` if it is not remembered.
    pub(super) fn progress(&self, instance: &str) -> Option<EndProgress> {
        let announced = self.ends.get(instance)?;
        Some(match (announced.recorded_at, announced.schedule.count()) {
            (Some(_), _) => EndProgress::Recorded,
            (None, 0) => EndProgress::Unreported,
            (None, _) => EndProgress::Reported,
        })
    }

    /// Whether all ends are recorded.
    pub(super) fn are_recorded(&self) -> bool {
        let mut ends = self.ends.values();
        ends.all(|announced| announced.recorded_at.is_some())
    }

    pub(super) fn record(&mut self, now: Timestamp, recorded: &EndedStart) {
        for (instance, announced) in &mut self.ends {
            let end = &announced.end;
            let is_covered = recorded.covers(end.instance, end.latest_start_ms);
            if is_covered && announced.recorded_at.is_none() {
                log::info!(instance = &**instance; "run_end_recorded");
                announced.recorded_at = Some(now);
            }
        }
    }

    /// Makes all reports due at once, because the node has another parent.
    pub(super) fn expedite(&mut self) {
        for announced in self.ends.values_mut() {
            announced.schedule.expedite();
        }
    }

    /// Reports the ends that are not recorded. Called while the node is attached.
    pub(super) fn report(&mut self, now: Timestamp, steps: &mut Vec<AnnouncerStep>) {
        for announced in self.ends.values_mut() {
            if announced.recorded_at.is_none() && announced.schedule.is_due(now) {
                announced.schedule.record(now);
                steps.push(AnnouncerStep::ReportEnd(announced.end.clone()));
            }
        }
    }
}
