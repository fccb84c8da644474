//! The applied configuration of one proxy.
//!
//! A snapshot is immutable. A delta makes a new one, which is checked whole and then swapped
//! whole, so no reader ever sees a part of a version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::{
    CatalogState, Delta, LimitsItem, RouteItem, ServiceItem, SplitItem, UpstreamItem, WireClass,
    WireState, catalog_change,
};

use super::{
    ConfigVersion, IncarnationId, RequestClass, SharedName, UpstreamState, route_digest,
    service_digest, upstream_digest,
};

/// Why a configuration was rejected whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The delta does not start at the held version.
    #[error("delta starts at version {base}, but version {held} is held")]
    WrongBase {
        /// Version that the delta starts at.
        base: ConfigVersion,
        /// Version that is held.
        held: ConfigVersion,
    },
    /// The version does not grow.
    #[error("version {offered} is not above version {held}")]
    NotNewer {
        /// Version of the configuration that was offered.
        offered: ConfigVersion,
        /// Version that is held.
        held: ConfigVersion,
    },
    /// A route names a service that the configuration does not hold.
    #[error("route {route} names service {service}, which is not held")]
    DanglingRoute {
        /// Name of the route.
        route: SharedName,
        /// Name of the missing service.
        service: SharedName,
    },
    /// The resulting state differs from the one that the source computed.
    #[error("digest of version {version} differs from the source")]
    DigestMismatch {
        /// Version whose digest differs.
        version: ConfigVersion,
    },
    /// An upstream has an address that cannot be parsed.
    #[error("upstream {upstream} has an invalid node address")]
    InvalidAddress {
        /// Name of the upstream.
        upstream: SharedName,
    },
    /// An item carries an enum value or a change that this release does not know.
    #[error("item {item} holds an unknown value")]
    UnknownValue {
        /// Name of the item.
        item: SharedName,
    },
}

/// One upstream that the proxy holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Unique in the mesh.
    pub name: SharedName,
    /// Service that the upstream announced.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Address of the node beside the upstream.
    pub address: SocketAddr,
    /// Run of the node; calls to another run are refused.
    pub incarnation: IncarnationId,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the upstream takes new work.
    pub state: UpstreamState,
    /// First upstream ever recorded for its service and region.
    pub first_in_region: bool,
    digest: u64,
}

impl UpstreamEntry {
    /// Converts an item, or names what is wrong with it.
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
            digest: upstream_digest(item),
        })
    }
}

/// One service that the proxy holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Unique in the manifest.
    pub name: SharedName,
    /// Exact upstream names, or prefixes that end in `*`.
    pub patterns: Vec<SharedName>,
    /// Every held upstream that announced this service and matches a pattern, draining ones
    /// included, sorted by name. Derived; each member is in [`ConfigSnapshot::upstreams`].
    pub members: Vec<Arc<UpstreamEntry>>,
    /// Connections that each upstream takes; zero if not stated.
    pub connections: u32,
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
            digest: service_digest(item),
        }
    }

    /// Whether an upstream with this name may serve the service.
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
    /// Service that gets the part; held by the same snapshot.
    pub service: SharedName,
    /// Share of the requests in units of the sum of all weights.
    pub weight: u32,
}

/// One route that the proxy holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Unique in the manifest.
    pub name: SharedName,
    /// Host that the route is limited to; empty for any.
    pub host: SharedName,
    /// Path prefix.
    pub prefix: SharedName,
    /// Class of the requests.
    pub class: RequestClass,
    /// Service that runs the requests; held by the same snapshot.
    pub service: SharedName,
    /// Services that share the requests; empty if `service` gets all.
    pub split: Vec<SplitPart>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is worth most.
    pub latency_target: Option<Duration>,
    /// Zero is served first.
    pub rank: u32,
    /// Most upstreams that one request may be sent to; none if the node decides.
    pub max_attempts: Option<u32>,
    /// Whether only paths below the prefix match, and not the prefix itself.
    pub below_prefix_only: bool,
    digest: u64,
}

fn stated_millis(millis: u32) -> Option<Duration> {
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
            timeout: stated_millis(item.timeout_ms),
            latency_target: stated_millis(item.target_ms),
            rank: item.rank,
            max_attempts: (item.attempts > 0).then_some(item.attempts),
            below_prefix_only: item.below,
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

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time in which a head has to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay open without a request.
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

/// Everything that a proxy routes by, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// Position in the committed log.
    pub version: ConfigVersion,
    /// Version number that the operator gave to the accepted manifest; zero before the first.
    pub manifest_version: u64,
    /// Services by name.
    pub services: IndexMap<SharedName, Arc<ServiceEntry>>,
    /// Routes by name. Every route's service is in `services`.
    pub routes: IndexMap<SharedName, Arc<RouteEntry>>,
    /// Upstreams by name, whether or not a service admits them.
    pub upstreams: IndexMap<SharedName, Arc<UpstreamEntry>>,
    /// Limits of callers; none if the manifest states none.
    pub limits: Option<CallerLimits>,
    /// Wrapping sum of the digests of all items.
    pub digest: u64,
}

impl ConfigSnapshot {
    /// Builds a snapshot from a transferred state and checks it whole.
    pub fn from_state(state: &CatalogState, digest: u64) -> Result<Self, SnapshotError> {
        let mut snapshot = ConfigSnapshot {
            version: ConfigVersion(state.version),
            manifest_version: state.manifest_version,
            limits: state.limits.as_ref().map(CallerLimits::from_item),
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
        let affected = snapshot.services.keys().cloned().collect();
        snapshot.rebuild_members(&affected);
        snapshot.check(digest)?;
        Ok(snapshot)
    }

    /// Applies a delta to a copy, checks the result whole and returns it. `self` is unchanged.
    pub fn apply(&self, delta: &Delta) -> Result<Self, SnapshotError> {
        if delta.base != self.version.0 {
            let base = ConfigVersion(delta.base);
            return Err(SnapshotError::WrongBase {
                base,
                held: self.version,
            });
        }
        if delta.version <= self.version.0 {
            let offered = ConfigVersion(delta.version);
            return Err(SnapshotError::NotNewer {
                offered,
                held: self.version,
            });
        }
        let mut snapshot = self.clone();
        snapshot.version = ConfigVersion(delta.version);
        let mut affected = IndexSet::new();
        for change in &delta.changes {
            snapshot.apply_change(change.kind.as_ref(), &mut affected)?;
        }
        snapshot.rebuild_members(&affected);
        snapshot.check(delta.digest)?;
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
            Some(Kind::ManifestVersion(version)) => self.manifest_version = *version,
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

    /// Derives the members of the named services anew, in one pass over the upstreams.
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
                Arc::make_mut(service).members = list;
            }
        }
    }

    fn check(&self, digest: u64) -> Result<(), SnapshotError> {
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
