//! The balancers of one entry.

use indexmap::IndexMap;

use super::balancer::{LocalityCounters, UpstreamBalancer};
use super::subset::EntryLocation;
use crate::core::{ConfigSnapshot, SharedName, Timestamp};

/// One balancer for each service that the entry has called, bounded by the services of the
/// snapshot.
#[derive(Clone, Debug)]
pub struct BalancerSet {
    location: EntryLocation,
    balancers: IndexMap<SharedName, UpstreamBalancer>,
    /// Counters of services that the snapshot no longer holds.
    removed: LocalityCounters,
}

impl BalancerSet {
    /// Makes an empty set.
    pub fn new(location: EntryLocation) -> Self {
        BalancerSet {
            location,
            balancers: IndexMap::new(),
            removed: LocalityCounters::default(),
        }
    }

    /// Takes over a newer snapshot. Only balancers of services that changed are rebuilt.
    pub fn apply(&mut self, snapshot: &ConfigSnapshot, now: Timestamp) {
        let removed = &mut self.removed;
        self.balancers.retain(|name, balancer| {
            let Some(service) = snapshot.services.get(name) else {
                removed.add(&balancer.counters());
                return false;
            };
            balancer.apply(service, now);
            true
        });
    }

    /// The balancer of a service, made on first use.
    pub fn get_or_create(
        &mut self,
        snapshot: &ConfigSnapshot,
        service: &str,
        now: Timestamp,
    ) -> Option<&mut UpstreamBalancer> {
        if !self.balancers.contains_key(service) {
            let entry = snapshot.services.get(service)?;
            let balancer = UpstreamBalancer::new(self.location.clone(), entry, now);
            self.balancers.insert(entry.name.clone(), balancer);
        }
        self.balancers.get_mut(service)
    }

    /// The balancer of a service that has been called, whether or not the snapshot still holds it.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut UpstreamBalancer> {
        self.balancers.get_mut(service)
    }

    /// Tells which upstreams' nodes are silent.
    pub fn set_silent_nodes(&mut self, names: &[SharedName]) {
        for balancer in self.balancers.values_mut() {
            balancer.set_silent_nodes(names);
        }
    }

    /// Attempts over all services.
    pub fn counters(&self) -> LocalityCounters {
        let mut sum = self.removed;
        for balancer in self.balancers.values() {
            sum.add(&balancer.counters());
        }
        sum
    }
}
