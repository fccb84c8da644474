//! The balancers of one entry node.

use indexmap::IndexMap;

use super::balancer::UpstreamBalancer;
use super::choice::LocalityCounters;
use super::group::VersionGroup;
use super::spill::SpillSettings;
use super::subset::EntryLocation;
use super::tracked::UpstreamToken;
use crate::core::{ConfigSnapshot, ServiceEntry, SharedName, Timestamp};

/// One balancer for each service that the entry node has called, limited to the services of the
/// snapshot.
#[derive(Clone, Debug)]
pub struct BalancerSet {
    location: EntryLocation,
    balancers: IndexMap<SharedName, UpstreamBalancer>,
    /// Balancers of versions on trial, by service.
    canaries: IndexMap<SharedName, UpstreamBalancer>,
    /// Sum of the counters of services that the snapshot no longer contains.
    removed_counters: LocalityCounters,
    spill: SpillSettings,
}

impl BalancerSet {
    /// Creates an empty set with this cost of traffic between zones and regions.
    pub fn new(location: EntryLocation, spill: SpillSettings) -> Self {
        BalancerSet {
            location,
            balancers: IndexMap::new(),
            canaries: IndexMap::new(),
            removed_counters: LocalityCounters::default(),
            spill,
        }
    }

    /// Switches to a newer snapshot. Only the balancers of changed services are updated.
    pub fn apply(&mut self, snapshot: &ConfigSnapshot, now: Timestamp) {
        let removed_counters = &mut self.removed_counters;
        self.canaries.retain(|name, balancer| {
            let service = snapshot.services.get(name);
            let Some(service) = service.filter(|service| canary_order(service).is_some()) else {
                removed_counters.add(&balancer.counters());
                return false;
            };
            balancer.apply(service, now);
            true
        });
        self.balancers.retain(|name, balancer| {
            let Some(service) = snapshot.services.get(name) else {
                removed_counters.add(&balancer.counters());
                return false;
            };
            balancer.apply(service, now);
            true
        });
    }

    /// Returns the balancer of a service and creates it on first use.
    pub fn get_or_create(
        &mut self,
        snapshot: &ConfigSnapshot,
        service: &str,
        now: Timestamp,
    ) -> Option<&mut UpstreamBalancer> {
        if !self.balancers.contains_key(service) {
            let entry = snapshot.services.get(service)?;
            let mut balancer = UpstreamBalancer::new(self.location.clone(), entry, now);
            balancer.set_spill_settings(self.spill);
            self.balancers.insert(entry.name.clone(), balancer);
        }
        self.balancers.get_mut(service)
    }

    /// Returns the balancer of a service that was called before, unless an applied snapshot has
    /// removed the service.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut UpstreamBalancer> {
        self.balancers.get_mut(service)
    }

    /// Returns the balancer of the version on trial, if a rollout of the service is at that phase.
    pub fn canary(
        &mut self,
        snapshot: &ConfigSnapshot,
        service: &str,
        now: Timestamp,
    ) -> Option<&mut UpstreamBalancer> {
        let entry = snapshot.services.get(service)?;
        canary_order(entry)?;
        let location = &self.location;
        let balancer = self.canaries.entry(entry.name.clone()).or_insert_with(|| {
            let group = VersionGroup::Canary;
            let mut balancer = UpstreamBalancer::for_group(location.clone(), group, entry, now);
            balancer.set_spill_settings(self.spill);
            balancer
        });
        Some(balancer)
    }

    /// Returns the balancer that chose an upstream.
    pub fn of_token(
        &mut self,
        service: &str,
        token: UpstreamToken,
    ) -> Option<&mut UpstreamBalancer> {
        match VersionGroup::of_token(token) {
            VersionGroup::Primary => self.balancers.get_mut(service),
            VersionGroup::Canary => self.canaries.get_mut(service),
        }
    }

    /// Sets the upstreams whose nodes are silent.
    pub fn set_silent_nodes(&mut self, names: &[SharedName]) {
        for balancer in self
            .balancers
            .values_mut()
            .chain(self.canaries.values_mut())
        {
            balancer.set_silent_nodes(names);
        }
    }

    /// Returns the sum of the counters of all services.
    pub fn counters(&self) -> LocalityCounters {
        let mut sum = self.removed_counters;
        for balancer in self.balancers.values().chain(self.canaries.values()) {
            sum.add(&balancer.counters());
        }
        sum
    }
}

/// Returns the rollout whose version is on trial.
pub fn canary_order(service: &ServiceEntry) -> Option<u64> {
    let versions = service.versions.as_ref()?;
    versions.canary().map(|_| versions.order)
}
