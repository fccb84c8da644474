//! Runs of upstreams that have announced that they drain or leave.
//!
//! A node keeps nothing over a restart. If it restarts beside an upstream that has left, an
//! announcement that was delayed looks like the first one of a new upstream. The catalog therefore
//! remembers which runs have ended.

use indexmap::IndexMap;
use kumquatlock_wire::distribution::{EndedRun, EndedStart, RunEnd, UpstreamReport, WireState};

use crate::core::stable_hash;

/// Maximum number of remembered runs. Announcements are delayed by seconds; this many runs end
/// within hours even in a mesh of the largest size.
pub const MAX_ENDED_RUNS: usize = 20_000;

/// Maximum number of upstreams whose [`EndedStart`]s are remembered. An upstream leaves right after
/// a restart of its node only rarely.
pub const MAX_ENDED_STARTS: usize = 20_000;
/// Maximum number of [`EndedStart`]s of one upstream. A node that reports ends of runs that never
/// were displaces only records of its own upstream.
const MAX_STARTS_PER_UPSTREAM: usize = 4;

/// Returns the run that the report states to have ended.
pub fn ended_run(report: &UpstreamReport) -> Option<EndedRun> {
    let state = WireState::try_from(report.upstream.state).ok()?;
    let is_ended = report.is_run_ended && report.run != 0 && state != WireState::Serving;
    is_ended.then_some(EndedRun {
        run: report.run,
        state: state as i32,
    })
}

/// Returns which runs a report without an announcement states to have ended.
pub fn ended_start(end: &RunEnd) -> EndedStart {
    EndedStart {
        upstream: stable_hash(end.name.as_bytes()),
        instance: end.instance,
        latest_start_ms: end.latest_start_ms,
    }
}

/// Ended runs with their last state, by digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct EndedRuns {
    /// Oldest first. At most [`MAX_ENDED_RUNS`].
    states: IndexMap<u64, WireState>,
}

impl EndedRuns {
    /// Whether the run has announced a later state than this one.
    pub(super) fn excludes(&self, run: u64, state: WireState) -> bool {
        let ended = self.states.get(&run);
        ended.is_some_and(|ended| state < *ended)
    }

    /// Whether recording the state of a run would change anything.
    pub(super) fn is_changed_by(&self, run: u64, state: WireState) -> bool {
        let ended = self.states.get(&run);
        run != 0 && state != WireState::Serving && ended.is_none_or(|ended| *ended < state)
    }

    /// Records that a run has announced a state. A run never returns to an earlier one.
    pub(super) fn record(&mut self, run: u64, state: WireState) {
        if !self.is_changed_by(run, state) {
            return;
        }
        self.states.insert(run, state);
        while self.states.len() > MAX_ENDED_RUNS {
            self.states.shift_remove_index(0);
        }
    }

    pub(super) fn to_list(&self) -> Vec<EndedRun> {
        let entry = |(run, state): (&u64, &WireState)| EndedRun {
            run: *run,
            state: *state as i32,
        };
        self.states.iter().map(entry).collect()
    }

    /// Restores the runs of a log snapshot. Entries with an unknown state are left out.
    pub(super) fn from_list(list: &[EndedRun]) -> Self {
        let mut runs = EndedRuns::default();
        for ended in list {
            if let Ok(state) = WireState::try_from(ended.state) {
                runs.record(ended.run, state);
            }
        }
        runs
    }
}

/// Ends that nodes reported without announcements of the runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct EndedStarts {
    /// By the digest of the upstream's name, the one with the oldest report first. At most
    /// [`MAX_ENDED_STARTS`], each with at most [`MAX_STARTS_PER_UPSTREAM`] records, oldest first.
    upstreams: IndexMap<u64, Vec<EndedStart>>,
}

impl EndedStarts {
    /// Whether a record shows that the run of this identifier, started at this time, has ended.
    pub(super) fn excludes(&self, start: &EndedStart) -> bool {
        let records = self.upstreams.get(&start.upstream);
        let mut records = records.into_iter().flatten();
        records.any(|record| record.covers(start.instance, start.latest_start_ms))
    }

    pub(super) fn record(&mut self, start: EndedStart) {
        if self.excludes(&start) {
            return;
        }
        let mut records = self
            .upstreams
            .shift_remove(&start.upstream)
            .unwrap_or_default();
        records.retain(|record| record.instance != start.instance);
        if records.len() >= MAX_STARTS_PER_UPSTREAM {
            records.remove(0);
        }
        records.push(start);
        self.upstreams.insert(start.upstream, records);
        while self.upstreams.len() > MAX_ENDED_STARTS {
            self.upstreams.shift_remove_index(0);
        }
    }

    pub(super) fn to_list(&self) -> Vec<EndedStart> {
        self.upstreams.values().flatten().copied().collect()
    }

    pub(super) fn from_list(list: &[EndedStart]) -> Self {
        let mut starts = EndedStarts::default();
        for start in list {
            starts.record(*start);
        }
        starts
    }
}
