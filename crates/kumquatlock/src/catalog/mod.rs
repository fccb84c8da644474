//! The catalog: the deterministic state machine over the committed log.
//!
//! Every voter applies the same entries at the same indexes and so holds the same catalog; what
//! an operator or a node is answered is decided here, when the entry is applied ([`apply`]).
//! A read replica builds its catalog from the configuration stream instead
//! ([`Catalog::apply_delta`], [`Catalog::from_state`]). Both serve merged deltas to their
//! children ([`Catalog::delta_since`]), whose cost depends on the number of changes and not on
//! the size of the catalog, because [`store`] keeps an index of items by the version of their
//! last change.

mod apply;
mod store;
mod transfer;

use std::collections::BTreeSet;

use bytes::Bytes;
use indexmap::IndexMap;
use kumquatlock_wire::distribution::{LimitsItem, RouteItem, ServiceItem, UpstreamItem};

pub use apply::{ApplyOutcome, ManifestDecision, ReportDecision, ReportRefusal};
use store::ItemStore;
pub use transfer::{CatalogError, CatalogUpdate, EncodedSnapshot, SnapshotDetail};

use crate::core::{ConfigVersion, SharedName};

/// Most accepted manifests that are remembered for resends.
pub const MAX_ACCEPTED_MANIFESTS: usize = 1_000;
/// Most removed items that are remembered. Children below the oldest get a snapshot.
pub const MAX_TOMBSTONES: usize = 20_000;
/// Most upstreams; twice the design target.
pub const MAX_UPSTREAMS: usize = 40_000;
/// Most remembered (service, region) pairs. At the bound no upstream is flagged as the first,
/// which is safe: its claims then wait for the retention time.
pub const MAX_SEEN_REGIONS: usize = 20_000;
/// Largest delta, in encoded bytes. Leaves room for the envelope in a frame of 2 MiB.
pub const MAX_DELTA_BYTES: usize = 1_536 * 1024;

/// A manifest that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedRecord {
    /// Digest of the content.
    pub digest: u64,
    /// Log index of the acceptance.
    pub config_version: ConfigVersion,
}

/// The accepted configuration and the known upstreams at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    version: ConfigVersion,
    /// At or above `version`; entries without effect advance only this.
    applied_index: u64,
    /// Version that the operator gave to the newest accepted manifest; zero before the first.
    manifest_version: u64,
    manifest_changed_at: ConfigVersion,
    /// Limits of the newest accepted manifest.
    limits: Option<LimitsItem>,
    /// Source of the newest accepted manifest. Not kept by read replicas.
    manifest_source: Bytes,
    /// Accepted manifests by the operator's version, oldest first. At most
    /// [`MAX_ACCEPTED_MANIFESTS`].
    accepted: IndexMap<u64, AcceptedRecord>,
    /// (service, region) pairs that have had a flagged first upstream. Never cleared: a service
    /// that is removed and created again within the retention of claims would otherwise start
    /// with no claims while old ones are still in use.
    seen_regions: BTreeSet<(SharedName, SharedName)>,
    store: ItemStore,
}

impl Catalog {
    /// A catalog before the first entry.
    pub fn new() -> Self {
        Catalog::default()
    }

    /// Index of the last entry that changed the catalog.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Index of the last applied entry. On a read replica the same as [`Catalog::version`].
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Records that an entry without a catalog command was applied.
    pub fn skip_entry(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
    }

    /// Digest of all items.
    pub fn digest(&self) -> u64 {
        self.store.digest()
    }

    /// Operator's version of the newest accepted manifest; zero before the first.
    pub fn manifest_version(&self) -> u64 {
        self.manifest_version
    }

    /// Source of the newest accepted manifest, as it was submitted; empty if it had none.
    pub fn manifest_source(&self) -> &Bytes {
        &self.manifest_source
    }

    /// Version at which the newest manifest was accepted. On a read replica that missed the
    /// exact entry, a later version.
    pub fn manifest_changed_at(&self) -> ConfigVersion {
        self.manifest_changed_at
    }

    /// An accepted manifest that is still remembered.
    pub fn accepted(&self, manifest_version: u64) -> Option<AcceptedRecord> {
        self.accepted.get(&manifest_version).copied()
    }

    /// One upstream.
    pub fn upstream(&self, name: &str) -> Option<&UpstreamItem> {
        self.store.upstreams.get(name).map(|stored| &stored.item)
    }

    /// All upstreams, sorted by name.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamItem> {
        self.store.upstreams.values().map(|stored| &stored.item)
    }

    /// All services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceItem> {
        self.store.services.values().map(|stored| &stored.item)
    }

    /// All routes, sorted by name.
    pub fn routes(&self) -> impl Iterator<Item = &RouteItem> {
        self.store.routes.values().map(|stored| &stored.item)
    }

    /// Removed items that are still remembered.
    pub fn tombstone_count(&self) -> usize {
        self.store.tombstones.len()
    }

    /// Lowest version from which a delta can be computed.
    pub fn min_delta_base(&self) -> ConfigVersion {
        ConfigVersion(self.store.floor)
    }
}

#[cfg(test)]
mod tests;
