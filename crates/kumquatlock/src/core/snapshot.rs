//! The configuration that a node has applied.
//!
//! A snapshot is immutable. A delta produces a new snapshot, which is validated and then swapped in
//! as a whole, so no reader ever sees a partial version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::{
    CatalogChange, CatalogState, Delta, LimitsItem, RouteItem, ServiceItem, SplitItem,
    UpstreamItem, WireClass, WireState, catalog_change,
};
use kumquatlock_wire::quarantine::QuarantineList;
use kumquatlock_wire::rollout::RolloutList;

use super::{
    ClientAccount, ConfigVersion, IncarnationId, KeyDigest, RequestClass, RequestFingerprint,
    ServiceVersions, SharedName, UpstreamState, route_digest, service_digest, upstream_digest,
};

/// Why a configuration was rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The delta does not start at the current version.
    #[error("delta starts at version {base}, but the current version is {current}")]
    WrongBase {
        /// Version that the delta starts at.
        base: ConfigVersion,
        /// Current version.
        current: ConfigVersion,
    },
    /// The version is not newer than the current one.
    #[error("version {offered} is not newer than the current version {current}")]
    NotNewer {
        /// Version of the configuration that was offered.
        offered: ConfigVersion,
        /// Current version.
        current: ConfigVersion,
    },
    /// A route refers to a service that the configuration does not contain.
    #[error("route {route} refers to service {service}, which is not in the configuration")]
    DanglingRoute {
        /// Name of the route.
        route: SharedName,
        /// Name of the missing service.
        service: SharedName,
    },
    /// The resulting state differs from the state computed by the source.
    #[error("digest of version {version} does not match the digest from the source")]
    DigestMismatch {
        /// Version whose digest differs.
        version: ConfigVersion,
    },
    /// The node address of an upstream can't be parsed.
    #[error("upstream {upstream} has an invalid node address")]
    InvalidAddress {
        /// Name of the upstream.
        upstream: SharedName,
    },
    /// An item contains an enum value, or is a kind of change, that this release does not know.
    #[error("item {item} contains an unknown value")]
    UnknownValue {
        /// Name of the item.
        item: SharedName,
    },
}

/// One upstream in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name, unique in the mesh.
    pub name: SharedName,
    /// Service that the upstream announced.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Address of the node beside the upstream.
    pub address: SocketAddr,
    /// Incarnation of the node; calls to any other incarnation are refused.
    pub incarnation: IncarnationId,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// Whether this is the first upstream recorded for its service and region since the service was
    /// created.
    pub first_in_region: bool,
    /// Version of the upstream's software; empty if it states none.
    pub version: SharedName,
    digest: u64,
}

impl UpstreamEntry {
    /// Converts an item, or returns what is wrong with it.
    pub fn from_item(item: &UpstreamItem) -> Result<Self, SnapshotError> {
        let name: SharedName = item.name.as_str().into();
        let address = item
            .node_address
            .parse()
            .map_err(|_| SnapshotError::InvalidAddress {
                upstream: name.clone(),
            })?;
        let state = match WireState::try_from(item.state) {
            Ok(WireState::Serving) => UpstreamState::Serving,
            Ok(WireState::Draining) => UpstreamState::Draining,
            Ok(WireState::Left) | Err(_) => {
                return Err(SnapshotError::UnknownValue { item: name });
            }
        };
        Ok(UpstreamEntry {
            name,
            service: item.service.as_str().into(),
            zone: item.zone.as_str().into(),
            region: item.region.as_str().into(),
            address,
            incarnation: IncarnationId(item.incarnation),
            slots: item.slots,
            state,
            first_in_region: item.first_in_region,
            version: item.version.as_str().into(),
            digest: upstream_digest(item),
        })
    }
}

/// One service in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Name, unique in the manifest.
    pub name: SharedName,
    /// Exact upstream names, or prefixes that end in `*`.
    pub patterns: Vec<SharedName>,
    /// All upstreams that announced this service and match a pattern, including draining ones,
    /// sorted by name. Derived; each member is also in [`ConfigSnapshot::upstreams`].
    pub members: Vec<Arc<UpstreamEntry>>,
    /// Number of connections that each upstream accepts; zero if not stated.
    pub connections: u32,
    /// Versions of the service; `None` if no upstream states one. Derived; also in
    /// [`ConfigSnapshot::versions`].
    pub versions: Option<Arc<ServiceVersions>>,
    digest: u64,
}

impl ServiceEntry {
    fn from_item(item: &ServiceItem) -> Self {
        ServiceEntry {
            name: item.name.as_str().into(),
            patterns: item
                .patterns
                .iter()
                .map(|pattern| pattern.as_str().into())
                .collect(),
            members: Vec::new(),
            connections: item.connections,
            versions: None,
            digest: service_digest(item),
        }
    }

    /// Whether an upstream with this name may provide the service.
    pub fn admits(&self, upstream: &str) -> bool {
        self.patterns
            .iter()
            .any(|pattern| match pattern.strip_suffix('*') {
                Some(prefix) => upstream.starts_with(prefix),
                None => &**pattern == upstream,
            })
    }
}

/// One part of a split route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitPart {
    /// Service that receives this part; contained in the same snapshot.
    pub service: SharedName,
    /// Share of the requests, relative to the sum of all weights.
    pub weight: u32,
}

/// One route in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name, unique in the manifest.
    pub name: SharedName,
    /// Host that the route is limited to; empty for any host.
    pub host: SharedName,
    /// Path prefix.
    pub prefix: SharedName,
    /// Class of the requests.
    pub class: RequestClass,
    /// Service that runs the requests; contained in the same snapshot.
    pub service: SharedName,
    /// Services that share the requests; empty if `service` receives all of them.
    pub split: Vec<SplitPart>,
    /// Maximum time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer has its full value to the caller.
    pub latency_target: Option<Duration>,
    /// Priority of the requests; zero is served first.
    pub rank: u32,
    /// Maximum number of upstreams that one request may be sent to; `None` if the node decides.
    pub max_attempts: Option<u32>,
    /// Whether only paths below the prefix match, but not the prefix itself.
    pub below_prefix_only: bool,
    /// Whether requests need no API key.
    pub public: bool,
    digest: u64,
}

fn nonzero_millis(millis: u32) -> Option<Duration> {
    (millis > 0).then(|| Duration::from_millis(millis.into()))
}

impl RouteEntry {
    fn from_item(item: &RouteItem) -> Result<Self, SnapshotError> {
        let name: SharedName = item.name.as_str().into();
        let class = WireClass::try_from(item.class)
            .map_err(|_| SnapshotError::UnknownValue { item: name.clone() })?;
        Ok(RouteEntry {
            name,
            host: item.host.as_str().into(),
            prefix: item.prefix.as_str().into(),
            class: class.into(),
            service: item.service.as_str().into(),
            split: item.split.iter().map(SplitPart::from_item).collect(),
            timeout: nonzero_millis(item.timeout_ms),
            latency_target: nonzero_millis(item.target_ms),
            rank: item.rank,
            max_attempts: (item.attempts > 0).then_some(item.attempts),
            below_prefix_only: item.below,
            public: item.public,
            digest: route_digest(item),
        })
    }
}

impl SplitPart {
    fn from_item(item: &SplitItem) -> Self {
        SplitPart {
            service: item.service.as_str().into(),
            weight: item.weight,
        }
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: u64,
    /// Maximum time for the arrival of a request's head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    fn from_item(item: &LimitsItem) -> Self {
        CallerLimits {
            header_bytes: item.header_bytes as usize,
            body_bytes: item.body_bytes,
            header_timeout: Duration::from_millis(item.header_timeout_ms.into()),
            idle_timeout: Duration::from_millis(item.idle_timeout_ms.into()),
        }
    }
}

/// The complete configuration that a node routes by, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// Position in the committed log.
    pub version: ConfigVersion,
    /// Version number that the operator gave to the accepted manifest; zero before the first
    /// manifest.
    pub manifest_version: u64,
    /// Services by name.
    pub services: IndexMap<SharedName, Arc<ServiceEntry>>,
    /// Routes by name. The service of every route is in `services`.
    pub routes: IndexMap<SharedName, Arc<RouteEntry>>,
    /// Upstreams by name, whether or not a service admits them.
    pub upstreams: IndexMap<SharedName, Arc<UpstreamEntry>>,
    /// Client accounts by name. Empty if no request needs a key. A table without accounts is one entry
    /// without keys, [`AccountItem::empty_table`].
    accounts: IndexMap<SharedName, Arc<ClientAccount>>,
    /// Account of each API key. Derived from `accounts`.
    pub account_keys: Arc<IndexMap<KeyDigest, Arc<ClientAccount>>>,
    /// Limits on callers; `None` if the manifest states none.
    pub limits: Option<CallerLimits>,
    /// Requests that are refused, because they have ended upstreams.
    pub quarantined: IndexSet<RequestFingerprint>,
    /// Versions of services, by service, whether or not the manifest names the service.
    pub versions: IndexMap<SharedName, Arc<ServiceVersions>>,
    /// Wrapping sum of the digests of all items.
    pub digest: u64,
}

impl ConfigSnapshot {
    /// Builds a snapshot from a transferred state and validates it.
    pub fn from_state(state: &CatalogState, digest: u64) -> Result<Self, SnapshotError> {
        let mut snapshot = ConfigSnapshot {
            version: ConfigVersion(state.version),
            manifest_version: state.manifest_version,
            limits: state.limits.as_ref().map(CallerLimits::from_item),
            quarantined: quarantined_of(state.quarantine.as_ref()),
            ..ConfigSnapshot::default()
        };
        for item in &state.upstreams {
            snapshot.insert_upstream(UpstreamEntry::from_item(item)?);
        }
        for item in &state.services {
            snapshot.insert_service(ServiceEntry::from_item(item));
        }
        for item in &state.routes {
            snapshot.insert_route(RouteEntry::from_item(item)?);
        }
        for item in &state.accounts {
            snapshot.insert_account(ClientAccount::from_item(item)?);
        }
        snapshot.rebuild_keys();
        let mut affected = snapshot.services.keys().cloned().collect();
        snapshot.apply_versions(state.rollouts.as_ref(), &mut affected);
        snapshot.rebuild_members(&affected);
        snapshot.validate(digest)?;
        Ok(snapshot)
    }

    /// Whether requests need the key of a client account, unless their route is public.
    pub fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the client accounts.
    pub fn client_accounts(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        let accounts = self.accounts.values();
        accounts.filter(|account| !account.is_empty_table)
    }

    /// Applies a delta to a copy, validates the result and returns it. `self` remains unchanged.
    pub fn apply(&self, delta: &Delta) -> Result<Self, SnapshotError> {
        if delta.base != self.version.0 {
            let base = ConfigVersion(delta.base);
            return Err(SnapshotError::WrongBase {
                base,
                current: self.version,
            });
        }
        if delta.version <= self.version.0 {
            let offered = ConfigVersion(delta.version);
            return Err(SnapshotError::NotNewer {
                offered,
                current: self.version,
            });
        }
        let mut snapshot = self.clone();
        snapshot.version = ConfigVersion(delta.version);
        let mut affected = IndexSet::new();
        for change in &delta.changes {
            snapshot.apply_change(change.kind.as_ref(), &mut affected)?;
        }
        if delta.quarantine.is_some() {
            snapshot.quarantined = quarantined_of(delta.quarantine.as_ref());
        }
        snapshot.apply_versions(delta.rollouts.as_ref(), &mut affected);
        snapshot.rebuild_members(&affected);
        if delta.changes.iter().any(is_account_change) {
            snapshot.rebuild_keys();
        }
        snapshot.validate(delta.digest)?;
        Ok(snapshot)
    }

    fn apply_change(
        &mut self,
        change: Option<&catalog_change::Kind>,
        affected: &mut IndexSet<SharedName>,
    ) -> Result<(), SnapshotError> {
        use catalog_change::Kind;
        match change {
            Some(Kind::UpsertService(item)) => {
                let service = ServiceEntry::from_item(item);
                affected.insert(service.name.clone());
                self.insert_service(service);
            }
            Some(Kind::RemoveService(name)) => self.remove_service(name),
            Some(Kind::UpsertRoute(item)) => self.insert_route(RouteEntry::from_item(item)?),
            Some(Kind::RemoveRoute(name)) => self.remove_route(name),
            Some(Kind::UpsertUpstream(item)) => {
                let upstream = UpstreamEntry::from_item(item)?;
                affected.insert(upstream.service.clone());
                if let Some(old) = self.insert_upstream(upstream) {
                    affected.insert(old.service.clone());
                }
            }
            Some(Kind::RemoveUpstream(name)) => {
                if let Some(old) = self.upstreams.swap_remove(name.as_str()) {
                    self.digest = self.digest.wrapping_sub(old.digest);
                    affected.insert(old.service.clone());
                }
            }
            Some(Kind::UpsertAccount(item)) => {
                self.insert_account(ClientAccount::from_item(item)?);
            }
            Some(Kind::RemoveAccount(name)) => self.remove_account(name),
            Some(Kind::ManifestVersion(version)) => {
                self.manifest_version = *version;
                // They follow in the same delta if the manifest has any.
                self.limits = None;
            }
            Some(Kind::Limits(item)) => self.limits = Some(CallerLimits::from_item(item)),
            None => {
                return Err(SnapshotError::UnknownValue {
                    item: "change".into(),
                });
            }
        }
        Ok(())
    }

    fn insert_service(&mut self, service: ServiceEntry) {
        self.digest = self.digest.wrapping_add(service.digest);
        let old = self
            .services
            .insert(service.name.clone(), Arc::new(service));
        self.digest = self.digest.wrapping_sub(old.map_or(0, |old| old.digest));
    }

    fn remove_service(&mut self, name: &str) {
        let old = self.services.swap_remove(name);
        self.digest = self.digest.wrapping_sub(old.map_or(0, |old| old.digest));
    }

    fn insert_route(&mut self, route: RouteEntry) {
        self.digest = self.digest.wrapping_add(route.digest);
        let old = self.routes.insert(route.name.clone(), Arc::new(route));
        self.digest = self.digest.wrapping_sub(old.map_or(0, |old| old.digest));
    }

    fn remove_route(&mut self, name: &str) {
        let old = self.routes.swap_remove(name);
        self.digest = self.digest.wrapping_sub(old.map_or(0, |old| old.digest));
    }

    fn insert_account(&mut self, account: ClientAccount) {
        self.digest = self.digest.wrapping_add(account.digest);
        let old = self
            .accounts
            .insert(account.name.clone(), Arc::new(account));
        self.digest = self.digest.wrapping_sub(old.map_or(0, |old| old.digest));
    }

    fn remove_account(&mut self, name: &str) {
        let old = self.accounts.swap_remove(name);
        self.digest = self.digest.wrapping_sub(old.map_or(0, |old| old.digest));
    }

    fn rebuild_keys(&mut self) {
        let accounts = self.accounts.values();
        let keys = accounts.flat_map(|account| {
            let keys = account.keys.iter();
            keys.map(|key| (*key, account.clone()))
        });
        self.account_keys = Arc::new(keys.collect());
    }

    fn apply_versions(&mut self, list: Option<&RolloutList>, affected: &mut IndexSet<SharedName>) {
        for item in list.into_iter().flat_map(|list| &list.items) {
            let service: SharedName = item.service.as_str().into();
            affected.insert(service.clone());
            let versions = Arc::new(ServiceVersions::from_item(item));
            self.versions.insert(service, versions);
        }
    }

    fn insert_upstream(&mut self, upstream: UpstreamEntry) -> Option<Arc<UpstreamEntry>> {
        self.digest = self.digest.wrapping_add(upstream.digest);
        let old = self
            .upstreams
            .insert(upstream.name.clone(), Arc::new(upstream));
        self.digest = self
            .digest
            .wrapping_sub(old.as_ref().map_or(0, |old| old.digest));
        old
    }

    /// Recomputes the members of the affected services in one pass over the upstreams.
    fn rebuild_members(&mut self, affected: &IndexSet<SharedName>) {
        let mut members: IndexMap<SharedName, Vec<Arc<UpstreamEntry>>> = affected
            .iter()
            .map(|name| (name.clone(), Vec::new()))
            .collect();
        for upstream in self.upstreams.values() {
            let Some(list) = members.get_mut(&upstream.service) else {
                continue;
            };
            let service = self.services.get(&upstream.service);
            if service.is_some_and(|service| service.admits(&upstream.name)) {
                list.push(upstream.clone());
            }
        }
        for (name, mut list) in members {
            if let Some(service) = self.services.get_mut(&name) {
                list.sort_unstable_by(|left, right| left.name.cmp(&right.name));
                let service = Arc::make_mut(service);
                service.members = list;
                service.versions = self.versions.get(&name).cloned();
            }
        }
    }

    fn validate(&self, digest: u64) -> Result<(), SnapshotError> {
        for route in self.routes.values() {
            let parts = route.split.iter().map(|part| &part.service);
            let mut services = parts.chain([&route.service]);
            if let Some(missing) = services.find(|name| !self.services.contains_key(*name)) {
                return Err(SnapshotError::DanglingRoute {
                    route: route.name.clone(),
                    service: missing.clone(),
                });
            }
        }
        if self.digest != digest {
            return Err(SnapshotError::DigestMismatch {
                version: self.version,
            });
        }
        Ok(())
    }
}

fn is_account_change(change: &CatalogChange) -> bool {
    matches!(
        change.kind,
        Some(catalog_change::Kind::UpsertAccount(_) | catalog_change::Kind::RemoveAccount(_))
    )
}

fn quarantined_of(list: Option<&QuarantineList>) -> IndexSet<RequestFingerprint> {
    let fingerprints = list.into_iter().flat_map(|list| &list.fingerprints);
    fingerprints.copied().map(RequestFingerprint).collect()
}
