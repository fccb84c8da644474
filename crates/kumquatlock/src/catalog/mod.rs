//! The catalog: the replicated state machine that applies the committed log.
//!
//! Every voter applies the same entries at the same indices and so has the same catalog. The answer
//! to an operator or a node is determined when the entry is applied ([`apply`]). A read replica
//! builds its catalog from the configuration stream instead ([`Catalog::apply_delta`],
//! [`Catalog::from_state`]). Voters and replicas send merged deltas to their children, which are
//! the replicas and nodes attached to them ([`Catalog::delta_since`]). The cost of a delta depends
//! on the number of changes and not on the size of the catalog, because [`store`] indexes the items
//! by the version of their last change.

mod apply;
mod current;
mod ended;
mod store;
mod transfer;

use std::collections::BTreeSet;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::{
    AccountItem, LimitsItem, RouteItem, ServiceItem, UpstreamItem,
};

pub use apply::{ApplyOutcome, ManifestDecision, ReportDecision, ReportRefusal};
pub use current::{CurrentCatalog, ManifestVerdict};
use ended::{EndedRuns, EndedStarts};
pub use ended::{MAX_ENDED_RUNS, MAX_ENDED_STARTS, ended_run, ended_start};
use store::ItemStore;
pub use transfer::{CatalogError, CatalogUpdate, EncodedSnapshot, SnapshotDetail};

use crate::core::{ConfigVersion, RequestFingerprint, SharedName};
use crate::rollout::RolloutTable;

/// Maximum number of accepted manifests that are remembered to recognise resends.
pub const MAX_ACCEPTED_MANIFESTS: usize = 1_000;
/// Maximum number of removed items that are remembered. Children whose version is below the oldest
/// remembered removal are sent a snapshot.
pub const MAX_TOMBSTONES: usize = 20_000;
/// Maximum number of upstreams. Twice the design target.
pub const MAX_UPSTREAMS: usize = 40_000;
/// Maximum number of remembered (service, region) pairs. At the limit, no further upstream is
/// marked as the first of its service and region. This is safe: without a first upstream, the
/// holders of a service grant no claims until all earlier claims would be past their retention
/// time.
pub const MAX_SEEN_REGIONS: usize = 20_000;
/// Maximum encoded size of a delta, in bytes. A child that is further behind gets a snapshot.
pub const MAX_DELTA_BYTES: usize = 1_536 * 1024;

/// Record of an accepted manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedRecord {
    /// Digest of the manifest's content.
    pub digest: u64,
    /// Log index at which the manifest was accepted.
    pub config_version: ConfigVersion,
}

/// The accepted configuration and the known upstreams at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    version: ConfigVersion,
    /// Index of the last applied entry. At least `version`, because an entry without effect
    /// advances only this index.
    applied_index: u64,
    /// Operator's version of the newest accepted manifest; zero before the first.
    manifest_version: u64,
    manifest_changed_at: ConfigVersion,
    /// Limits of the newest accepted manifest.
    limits: Option<LimitsItem>,
    /// Source of the newest accepted manifest. On a read replica it is empty unless that manifest came
    /// with a snapshot.
    manifest_source: Bytes,
    /// Accepted manifests, keyed by the operator's version, oldest first. At most
    /// [`MAX_ACCEPTED_MANIFESTS`].
    accepted: IndexMap<u64, AcceptedRecord>,
    /// (service, region) pairs in which an upstream has already been marked as the first one that
    /// a manifest admits. Never cleared, because a service that is removed and created again within
    /// the claim retention would otherwise start without claims while old claims are still in use.
    seen_regions: BTreeSet<(SharedName, SharedName)>,
    /// Fingerprints of the requests in quarantine, oldest first. At most [`MAX_QUARANTINED`].
    quarantined: IndexSet<u64>,
    quarantine_changed_at: ConfigVersion,
    /// Versions and rollouts of services.
    rollouts: RolloutTable,
    /// Runs of upstreams that must not serve again. Read replicas do not keep them.
    ended_runs: EndedRuns,
    /// Further such runs, by their start. Read replicas do not keep them.
    ended_starts: EndedStarts,
    store: ItemStore,
}

impl Catalog {
    /// Creates an empty catalog, before the first entry.
    pub fn new() -> Self {
        Catalog::default()
    }

    /// Returns the index of the last entry that changed the catalog.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the index of the last applied entry. On a read replica it equals
    /// [`Catalog::version`].
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Records that an entry without a catalog command was applied.
    pub fn skip_entry(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
    }

    /// Returns the digest of all items.
    pub fn digest(&self) -> u64 {
        self.store.digest()
    }

    /// Returns the operator's version of the newest accepted manifest, or zero before the first.
    pub fn manifest_version(&self) -> u64 {
        self.manifest_version
    }

    /// Returns the source of the newest accepted manifest, as it was submitted; empty if the
    /// manifest had no source.
    pub fn manifest_source(&self) -> &Bytes {
        &self.manifest_source
    }

    /// Returns the version at which the newest manifest was accepted. A read replica that did not
    /// receive that exact version returns a later one.
    pub fn manifest_changed_at(&self) -> ConfigVersion {
        self.manifest_changed_at
    }

    /// Returns the record of an accepted manifest, if it is still remembered.
    pub fn accepted(&self, manifest_version: u64) -> Option<AcceptedRecord> {
        self.accepted.get(&manifest_version).copied()
    }

    /// Returns the requests in quarantine.
    pub fn quarantined(&self) -> Vec<RequestFingerprint> {
        let fingerprints = self.quarantined.iter();
        fingerprints.copied().map(RequestFingerprint).collect()
    }

    /// Returns the versions and rollouts of services.
    pub fn rollouts(&self) -> &RolloutTable {
        &self.rollouts
    }

    /// Returns the upstream of this name.
    pub fn upstream(&self, name: &str) -> Option<&UpstreamItem> {
        self.store.upstreams.get(name).map(|stored| &stored.item)
    }

    /// Returns all upstreams, sorted by name.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamItem> {
        self.store.upstreams.values().map(|stored| &stored.item)
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceItem> {
        self.store.services.values().map(|stored| &stored.item)
    }

    /// Returns all routes, sorted by name.
    pub fn routes(&self) -> impl Iterator<Item = &RouteItem> {
        self.store.routes.values().map(|stored| &stored.item)
    }

    /// Returns all client accounts, sorted by name.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountItem> {
        self.account_items().filter(|item| !item.is_empty_table())
    }

    /// Returns the client accounts as they are encoded.
    fn account_items(&self) -> impl Iterator<Item = &AccountItem> {
        self.store.accounts.values().map(|stored| &stored.item)
    }

    /// Returns the number of removed items that are still remembered.
    pub fn tombstone_count(&self) -> usize {
        self.store.tombstones.len()
    }

    /// Returns the lowest version from which a delta can be computed.
    pub fn min_delta_base(&self) -> ConfigVersion {
        ConfigVersion(self.store.min_delta_base)
    }
}

#[cfg(test)]
mod tests;
