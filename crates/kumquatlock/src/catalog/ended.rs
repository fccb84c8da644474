//! Runs of upstreams that have announced that they drain or leave.
//!
//! A node keeps nothing over a restart. If it restarts beside an upstream that has left, an
//! announcement that was delayed looks like the first one of a new upstream. The catalog therefore
//! remembers which runs have ended.

use indexmap::IndexMap;
use kumquatlock_wire::distribution::{EndedRun, WireState};

/// Maximum number of remembered runs. Announcements are delayed by seconds; this many runs end
/// within hours even in a mesh of the largest size.
pub const MAX_ENDED_RUNS: usize = 20_000;

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
