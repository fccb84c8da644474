//! Settings that change while a node runs.

use std::time::Instant;

use super::actor::NodeActor;
use super::settings::NodeSettings;

/// Where a running node learns of changed settings.
pub trait SettingsSource {
    /// The settings, if they have changed since the last look. Called in each turn; must not wait.
    fn take_changed(&mut self, now: Instant) -> Option<NodeSettings>;
}

/// Settings that stay as they are while the process runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedSettings;

impl SettingsSource for FixedSettings {
    fn take_changed(&mut self, _now: Instant) -> Option<NodeSettings> {
        None
    }
}

/// What a reload does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum ReloadOutcome {
    /// All changes are in force.
    Applied,
    /// Name, place or addresses have changed as well; those count from the next start.
    NeedsRestart,
}

impl NodeActor {
    /// Takes over changed parents, budgets and times of the stop.
    pub(super) fn apply_settings(&mut self, changed: NodeSettings) {
        let present = &self.settings;
        let outcome = match present.has_identity_of(&changed) {
            true => ReloadOutcome::Applied,
            false => ReloadOutcome::NeedsRestart,
        };
        let added = self.child.add_parents(&changed.parents);
        self.entry.set_budget(changed.tuning.budget);
        let outcome: &str = outcome.into();
        log::info!(
            outcome,
            parents = changed.parents.len(),
            parents_added = added,
            budget_per_call = changed.tuning.budget.tokens_per_call;
            "settings_reloaded"
        );
        self.settings.parents = changed.parents;
        let tuning = &mut self.settings.tuning;
        tuning.budget = changed.tuning.budget;
        tuning.shutdown_grace = changed.tuning.shutdown_grace;
        tuning.shutdown_timeout = changed.tuning.shutdown_timeout;
    }
}
