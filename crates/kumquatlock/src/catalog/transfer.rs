//! Conversion of the catalog to and from deltas, snapshots for children and log snapshots.

use bytes::Bytes;
use indexmap::IndexSet;
use kumquatlock_wire::distribution::{
    AcceptedManifest, AccountItem, CatalogChange, CatalogHistory, CatalogState, Delta, ItemKind,
    RouteItem, SeenRegion, ServiceItem, Tombstone, UpstreamItem, catalog_change::Kind,
};
use kumquatlock_wire::quarantine::QuarantineList;
use prost::Message;

use super::ended::{EndedRuns, EndedStarts};
use super::store::{CatalogItem, encoded_field_len};
use super::{AcceptedRecord, Catalog, MAX_DELTA_BYTES};
use crate::core::ConfigVersion;
use crate::quarantine::MAX_QUARANTINED;

/// How a child is brought from its version to the current one.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogUpdate {
    /// The child already has the current version or a later one.
    Current,
    /// One delta with all changes since the child's version.
    Delta(Delta),
    /// The child needs a snapshot; see [`Catalog::encode_snapshot`].
    Snapshot,
}

/// How much of the catalog a snapshot contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SnapshotDetail {
    /// Only what a node needs for routing.
    Routing,
    /// Also the history, so that a replica can serve deltas from versions before the snapshot.
    Full,
}

/// An encoded [`CatalogState`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedSnapshot {
    /// Version of the state.
    pub version: ConfigVersion,
    /// Digest of the state.
    pub digest: u64,
    /// The encoded message, shared by all transfers.
    pub bytes: Bytes,
}

/// Why a received state or delta could not be applied. The catalog is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CatalogError {
    /// The history does not match the items, for example in the number of change versions.
    #[error("the history does not match the items of the state")]
    MalformedHistory,
    /// The delta does not start at the current version of the catalog.
    #[error("delta starts at version {base}, but the catalog is at version {current}")]
    WrongBase {
        /// Version at which the delta starts.
        base: ConfigVersion,
        /// Current version of the catalog.
        current: ConfigVersion,
    },
    /// The delta contains a change that this release does not know.
    #[error("the delta contains a change of an unknown kind")]
    UnknownChange,
}

impl Catalog {
    /// Returns the changes since `base` as one merged delta. Returns [`CatalogUpdate::Snapshot`] if
    /// a snapshot is smaller, the delta would exceed [`MAX_DELTA_BYTES`], or removals since `base`
    /// are no longer remembered.
    pub fn delta_since(&self, base: ConfigVersion) -> CatalogUpdate {
        if base >= self.version {
            return CatalogUpdate::Current;
        }
        if base.0 < self.store.min_delta_base {
            return CatalogUpdate::Snapshot;
        }
        let limit = self.store.bytes().min(MAX_DELTA_BYTES);
        let mut bytes = 0;
        let mut changes = Vec::new();
        if self.manifest_changed_at > base {
            let kind = Some(Kind::ManifestVersion(self.manifest_version));
            changes.push(CatalogChange { kind });
            let limits = self.limits.map(Kind::Limits);
            changes.extend(limits.map(|kind| CatalogChange { kind: Some(kind) }));
        }
        for change in self.store.changes_after(base.0) {
            bytes += encoded_field_len(change.encoded_len());
            if bytes > limit {
                return CatalogUpdate::Snapshot;
            }
            changes.push(change);
        }
        CatalogUpdate::Delta(Delta {
            base: base.0,
            version: self.version.0,
            changes,
            digest: self.digest(),
            quarantine: (self.quarantine_changed_at > base).then(|| self.quarantine_list()),
            rollouts: self.rollouts.changed_since(base.0),
        })
    }

    fn quarantine_list(&self) -> QuarantineList {
        QuarantineList {
            fingerprints: self.quarantined.iter().copied().collect(),
        }
    }

    /// Returns the whole catalog, encoded for children.
    pub fn encode_snapshot(&self, detail: SnapshotDetail) -> EncodedSnapshot {
        let mut state = self.to_state();
        if detail == SnapshotDetail::Routing {
            state.history = None;
            for service in &mut state.services {
                service.source.clear();
            }
            for route in &mut state.routes {
                route.source.clear();
            }
            for account in &mut state.accounts {
                account.source.clear();
            }
        }
        EncodedSnapshot {
            version: self.version,
            digest: self.digest(),
            bytes: state.encode_to_vec().into(),
        }
    }

    /// Returns the whole catalog including its history, for log snapshots.
    pub fn to_state(&self) -> CatalogState {
        let store = &self.store;
        let history = CatalogHistory {
            service_changed_at: store.services.values().map(|s| s.changed_at).collect(),
            route_changed_at: store.routes.values().map(|s| s.changed_at).collect(),
            upstream_changed_at: store.upstreams.values().map(|s| s.changed_at).collect(),
            account_changed_at: store.accounts.values().map(|s| s.changed_at).collect(),
            manifest_changed_at: self.manifest_changed_at.0,
            tombstones: store
                .tombstones
                .iter()
                .map(|(key, record)| Tombstone {
                    kind: key.kind as i32,
                    name: key.name.to_string(),
                    version: record.version,
                    incarnation: record.incarnation,
                })
                .collect(),
            tombstone_floor: store.min_delta_base,
            accepted: self
                .accepted
                .iter()
                .map(|(&manifest_version, record)| AcceptedManifest {
                    manifest_version,
                    digest: record.digest,
                    config_version: record.config_version.0,
                })
                .collect(),
            seen_regions: self
                .seen_regions
                .iter()
                .map(|(service, region)| SeenRegion {
                    service: service.to_string(),
                    region: region.to_string(),
                })
                .collect(),
            applied_index: self.applied_index,
            manifest_source: self.manifest_source.clone(),
            quarantine_changed_at: self.quarantine_changed_at.0,
            ended_runs: self.ended_runs.to_list(),
            ended_starts: self.ended_starts.to_list(),
        };
        CatalogState {
            version: self.version.0,
            manifest_version: self.manifest_version,
            services: self.services().cloned().collect(),
            routes: self.routes().cloned().collect(),
            upstreams: self.upstreams().cloned().collect(),
            history: Some(history),
            limits: self.limits,
            quarantine: (!self.quarantined.is_empty()).then(|| self.quarantine_list()),
            accounts: self.account_items().cloned().collect(),
            rollouts: self.rollouts.changed_since(0),
        }
    }

    /// Creates a catalog from a state. If the state has no history, only children at the version of
    /// the state or above can be sent deltas.
    pub fn from_state(state: &CatalogState) -> Result<Self, CatalogError> {
        let mut catalog = Catalog {
            version: ConfigVersion(state.version),
            applied_index: state.version,
            manifest_version: state.manifest_version,
            manifest_changed_at: ConfigVersion(state.version),
            limits: state.limits,
            quarantined: quarantined_of(state.quarantine.as_ref()),
            quarantine_changed_at: ConfigVersion(state.version),
            ..Catalog::default()
        };
        catalog.rollouts.merge(state.rollouts.as_ref());
        let history = state.history.as_ref();
        let change_versions =
            |list: fn(&CatalogHistory) -> &Vec<u64>| history.map(list).map(Vec::as_slice);
        catalog.insert_items(
            &state.services,
            change_versions(|history| &history.service_changed_at),
        )?;
        catalog.insert_items(
            &state.routes,
            change_versions(|history| &history.route_changed_at),
        )?;
        catalog.insert_items(
            &state.upstreams,
            change_versions(|history| &history.upstream_changed_at),
        )?;
        catalog.insert_items(
            &state.accounts,
            change_versions(|history| &history.account_changed_at),
        )?;
        match history {
            Some(history) => catalog.restore_history(history)?,
            None => catalog.store.min_delta_base = state.version,
        }
        Ok(catalog)
    }

    fn insert_items<I: CatalogItem>(
        &mut self,
        items: &[I],
        change_versions: Option<&[u64]>,
    ) -> Result<(), CatalogError> {
        if change_versions.is_some_and(|change_versions| change_versions.len() != items.len()) {
            return Err(CatalogError::MalformedHistory);
        }
        for (position, item) in items.iter().enumerate() {
            let version =
                change_versions.map_or(self.version.0, |change_versions| change_versions[position]);
            if version > self.version.0 {
                return Err(CatalogError::MalformedHistory);
            }
            self.store.upsert(item.clone(), version);
        }
        Ok(())
    }

    fn restore_history(&mut self, history: &CatalogHistory) -> Result<(), CatalogError> {
        self.applied_index = history.applied_index.max(self.version.0);
        self.manifest_changed_at = ConfigVersion(history.manifest_changed_at);
        self.manifest_source = history.manifest_source.clone();
        self.quarantine_changed_at = ConfigVersion(history.quarantine_changed_at);
        self.ended_runs = EndedRuns::from_list(&history.ended_runs);
        self.ended_starts = EndedStarts::from_list(&history.ended_starts);
        self.store.min_delta_base = history.tombstone_floor;
        for tombstone in &history.tombstones {
            let kind = ItemKind::try_from(tombstone.kind);
            let kind = kind.map_err(|_| CatalogError::MalformedHistory)?;
            let Tombstone { name, version, .. } = tombstone;
            self.store
                .insert_tombstone(kind, name, *version, tombstone.incarnation);
        }
        for accepted in &history.accepted {
            let record = AcceptedRecord {
                digest: accepted.digest,
                config_version: ConfigVersion(accepted.config_version),
            };
            self.accepted.insert(accepted.manifest_version, record);
        }
        for seen in &history.seen_regions {
            let pair = (seen.service.as_str().into(), seen.region.as_str().into());
            self.seen_regions.insert(pair);
        }
        Ok(())
    }

    /// Applies a delta of the configuration stream on a read replica. The caller must first have
    /// validated the resulting configuration as a [`crate::core::ConfigSnapshot`].
    pub fn apply_delta(&mut self, delta: &Delta) -> Result<(), CatalogError> {
        let (base, current) = (ConfigVersion(delta.base), self.version);
        if base != current || delta.version <= delta.base {
            return Err(CatalogError::WrongBase { base, current });
        }
        if delta.changes.iter().any(|change| change.kind.is_none()) {
            return Err(CatalogError::UnknownChange);
        }
        let version = delta.version;
        for kind in delta
            .changes
            .iter()
            .filter_map(|change| change.kind.as_ref())
        {
            self.apply_delta_change(kind, version);
        }
        self.version = ConfigVersion(version);
        self.applied_index = version;
        self.rollouts.merge(delta.rollouts.as_ref());
        if delta.quarantine.is_some() {
            self.quarantined = quarantined_of(delta.quarantine.as_ref());
            self.quarantine_changed_at = self.version;
        }
        Ok(())
    }

    fn apply_delta_change(&mut self, kind: &Kind, version: u64) {
        let store = &mut self.store;
        match kind {
            Kind::UpsertService(item) => store.insert_item(item.clone(), version),
            Kind::UpsertRoute(item) => store.insert_item(item.clone(), version),
            Kind::UpsertUpstream(item) => store.insert_item(item.clone(), version),
            Kind::UpsertAccount(item) => store.insert_item(item.clone(), version),
            Kind::RemoveAccount(name) => {
                if !store.remove::<AccountItem>(name, version) {
                    store.insert_tombstone(ItemKind::Account, name, version, 0);
                }
            }
            Kind::RemoveService(name) => {
                if !store.remove::<ServiceItem>(name, version) {
                    store.insert_tombstone(ItemKind::Service, name, version, 0);
                }
            }
            Kind::RemoveRoute(name) => {
                if !store.remove::<RouteItem>(name, version) {
                    store.insert_tombstone(ItemKind::Route, name, version, 0);
                }
            }
            Kind::RemoveUpstream(name) => {
                if !store.remove::<UpstreamItem>(name, version) {
                    store.insert_tombstone(ItemKind::Upstream, name, version, 0);
                }
            }
            Kind::ManifestVersion(manifest_version) => {
                self.manifest_version = *manifest_version;
                self.manifest_changed_at = ConfigVersion(version);
                // The limits follow in the same delta if the manifest has any; a delta has no source.
                self.limits = None;
                self.manifest_source = Bytes::new();
            }
            Kind::Limits(limits) => self.limits = Some(*limits),
        }
    }
}

fn quarantined_of(list: Option<&QuarantineList>) -> IndexSet<u64> {
    let fingerprints = list.into_iter().flat_map(|list| &list.fingerprints);
    fingerprints.copied().take(MAX_QUARANTINED).collect()
}
