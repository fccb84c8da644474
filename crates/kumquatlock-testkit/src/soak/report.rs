//! What a soak played and found.

use indexmap::IndexMap;
use serde::Serialize;

use super::SoakOptions;
use super::check::{InvariantViolation, SoakHistory};
use super::fleet::SoakFleet;
use super::plan::{FaultPlan, PlannedFault};

/// Cases of broken promises that a report shows.
const MAX_SHOWN: usize = 40;

/// The outcome of one soak.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Seed of the faults.
    pub seed: u64,
    /// Processes.
    pub processes: usize,
    /// Faults as planned.
    pub faults: Vec<PlannedFault>,
    /// Calls by kind and end.
    pub calls: IndexMap<String, u64>,
    /// Manifests that were acknowledged.
    pub accepted: usize,
    /// Cases of broken promises, of which the first are shown.
    pub broken_count: usize,
    /// The first cases of broken promises.
    pub broken: Vec<InvariantViolation>,
    /// Folder of the logs, kept if a promise was broken.
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
        broken.truncate(MAX_SHOWN);
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

    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.broken_count == 0
    }
}
