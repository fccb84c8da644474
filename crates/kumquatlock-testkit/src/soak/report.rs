//! Report of a soak run.

use indexmap::IndexMap;
use serde::Serialize;

use super::SoakOptions;
use super::check::{InvariantViolation, SoakHistory};
use super::fleet::SoakFleet;
use super::plan::{FaultPlan, PlannedFault};

/// Maximum number of violations that a report lists.
const MAX_LISTED_VIOLATIONS: usize = 40;

/// Result of one soak run.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Seed of the fault plan.
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// Planned faults.
    pub faults: Vec<PlannedFault>,
    /// Number of calls by kind and end.
    pub calls: IndexMap<String, u64>,
    /// Number of manifests that were accepted.
    pub accepted: usize,
    /// Number of violations, including those that `broken` does not list.
    pub broken_count: usize,
    /// The first violations, at most `MAX_LISTED_VIOLATIONS`.
    pub broken: Vec<InvariantViolation>,
    /// Folder of the logs, which is kept if there was a violation.
    pub logs: String,
}

impl SoakReport {
    pub(super) fn new(
        options: &SoakOptions,
        plan: &FaultPlan,
        history: &SoakHistory,
        mut broken: Vec<InvariantViolation>,
        fleet: &SoakFleet,
    ) -> Self {
        let ends = history.count_ends();
        let calls = ends
            .into_iter()
            .map(|((kind, end), count)| (format!("{kind} {end}"), count));
        let broken_count = broken.len();
        broken.truncate(MAX_LISTED_VIOLATIONS);
        SoakReport {
            seed: options.seed,
            processes: fleet.mesh.nodes.len() + fleet.mesh.controls.len(),
            faults: plan.faults.clone(),
            calls: calls.collect(),
            accepted: history.accepted(),
            broken_count,
            broken,
            logs: fleet.mesh.log_dir().display().to_string(),
        }
    }

    /// Returns whether no violation was found.
    pub fn is_clean(&self) -> bool {
        self.broken_count == 0
    }
}
