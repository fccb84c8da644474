//! The lease by which this node accepts API keys.

use super::actor::NodeActor;
use crate::account::{KeyLease, LeaseState};
use crate::core::Timestamp;

impl NodeActor {
    /// Returns the time at which the lease is checked for a request that has been read. It differs
    /// from the time of the turn, because the process may have stood still before it read the request.
    pub(super) fn lease_time(&self, now: Timestamp) -> Timestamp {
        match self.settings.tuning.revocation_limit {
            Some(_) => self.now(),
            None => now,
        }
    }

    /// Tells the entry as of when its configuration is proved current.
    pub(super) fn confirm_lease(&mut self) {
        if let Some(at) = self.child.confirmed_at() {
            self.entry.confirm_config(at);
        }
    }

    /// Applies the limit of the settings.
    pub(super) fn set_revocation_limit(&mut self, limit: Option<std::time::Duration>) {
        self.settings.tuning.revocation_limit = limit;
        self.entry.set_revocation_limit(limit);
        self.child
            .set_proof_interval(KeyLease::renewal_interval(limit));
    }

    /// Logs when the lease lapses and when it is valid again.
    pub(super) fn watch_lease(&mut self, now: Timestamp) {
        let is_lapsed = self.entry.lease_state(now) == LeaseState::Lapsed;
        if is_lapsed == self.is_lease_lapsed {
            return;
        }
        self.is_lease_lapsed = is_lapsed;
        let version = self.applied.as_ref().map_or(0, |applied| applied.version.0);
        let attached = self.child.is_attached();
        match is_lapsed {
            true => {
                let age_ms = self.lease_age_ms(now);
                log::warn!(version, attached, age_ms; "key_lease_lapsed");
            }
            false => log::info!(version, attached; "key_lease_valid"),
        }
    }

    /// Returns the age of the proof on which the lease rests; the uptime if there was none yet.
    pub(super) fn lease_age_ms(&self, now: Timestamp) -> u64 {
        let confirmed_at = self.child.confirmed_at().unwrap_or_default();
        now.since(confirmed_at).as_millis() as u64
    }
}
