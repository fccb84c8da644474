//! Reload of settings while a node runs.

use std::time::Instant;

use super::actor::NodeActor;
use super::settings::NodeSettings;

/// Source from which a running node gets changed settings.
pub trait SettingsSource {
    /// Returns the settings if they have changed since the last call. Called in every iteration of
    /// the event loop, so it must not block.
    fn take_changed(&mut self, now: Instant) -> Option<NodeSettings>;
}

/// Settings source for settings that never change while the process runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedSettings;

impl SettingsSource for FixedSettings {
    fn take_changed(&mut self, _now: Instant) -> Option<NodeSettings> {
        None
    }
}

/// Outcome of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum ReloadOutcome {
    /// All changes were applied.
    Applied,
    /// The name, zone, region or an address has changed as well; those changes take effect at the
    /// next start.
    NeedsRestart,
}

impl NodeActor {
    /// Applies changed parents, retry budgets, shutdown times and the limit on revoked API keys.
    pub(super) fn apply_settings(&mut self, changed: NodeSettings) {
        let current = &self.settings;
        let outcome = match current.has_same_identity(&changed) {
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
        self.set_revocation_limit(changed.tuning.revocation_limit);
        self.settings.parents = changed.parents;
        let tuning = &mut self.settings.tuning;
        tuning.budget = changed.tuning.budget;
        tuning.shutdown_grace = changed.tuning.shutdown_grace;
        tuning.shutdown_timeout = changed.tuning.shutdown_timeout;
    }
}
