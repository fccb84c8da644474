//! Placement of claims: maps a key to its shard and a shard to its holders.
//!
//! A key may begin with the name of its home region, followed by a colon. The keys are divided into
//! groups, one for keys without a home region and the others by the hash of the region name, and
//! each group is divided into shards. The shard number depends only on the key, and the holders are
//! chosen from the configuration by rendezvous hashing. Therefore a membership change, even a new
//! region, changes views but never moves a key to a shard that does not know its claim.

use std::cmp::Reverse;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::claim::{ShardHolder, ShardId, ShardView};

use crate::core::{ConfigSnapshot, ServiceEntry, SharedName, UpstreamEntry, stable_hash};

/// Number of holders of a shard if the service has enough upstreams. Three holders survive the loss
/// of one.
pub const HOLDERS_PER_SHARD: usize = 3;

/// Number of shards in each group of keys; spreads the claims of a service over its upstreams.
/// Every membership change moves some shards with two messages each, so more shards cost more bytes
/// of control messages.
pub const SHARDS_PER_GROUP: u32 = 8;

/// Number of groups of keys that name a home region, chosen by hash of the region name. Regions
/// that share a group share holders, which costs only locality. The limit keeps the number of
/// shards independent of the prefixes that callers choose. With 31 groups the six known region
/// names do not collide; with 32 two of them share a group.
pub const REGION_GROUPS: u32 = 31;

/// Number of shards of a service: one group for keys without a region, followed by the region
/// groups.
pub const SHARDS_PER_SERVICE: u32 = SHARDS_PER_GROUP * (1 + REGION_GROUPS);

/// Separates the home region from the rest of a key.
const REGION_SEPARATOR: char = ':';

/// Returns the shard number of a key.
pub fn shard_number(key: &str) -> u32 {
    let group = match key.split_once(REGION_SEPARATOR) {
        Some((region, _)) => 1 + region_group(region),
        None => 0,
    };
    let shard_in_group = (stable_hash(key.as_bytes()) % u64::from(SHARDS_PER_GROUP)) as u32;
    group * SHARDS_PER_GROUP + shard_in_group
}

/// Returns the shard of a key of a service.
pub fn shard_of(service: &str, key: &str) -> ShardId {
    ShardId {
        service: service.to_owned(),
        number: shard_number(key),
    }
}

/// Returns the number of grants that form a majority of `holders` holders. Any two majorities share
/// a holder.
pub fn majority(holders: usize) -> usize {
    holders / 2 + 1
}

fn region_group(region: &str) -> u32 {
    (stable_hash(region.as_bytes()) % u64::from(REGION_GROUPS)) as u32
}

fn rendezvous_score(member_hash: u64, shard_hash: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&member_hash.to_le_bytes());
    bytes[8..].copy_from_slice(&shard_hash.to_le_bytes());
    stable_hash(&bytes)
}

/// The claim views of one configuration, computed on first use.
#[derive(Debug, Default)]
pub struct PlacementTable {
    snapshot: Arc<ConfigSnapshot>,
    services: IndexMap<SharedName, ServicePlacement>,
    /// Auxiliary holders of the services that need them.
    auxiliaries: IndexMap<SharedName, Vec<AuxiliaryHolder>>,
}

/// A node of another service that holds claims for a service with too few upstreams.
#[derive(Clone, Debug, PartialEq)]
struct AuxiliaryHolder {
    holder: ShardHolder,
    region: SharedName,
}

#[derive(Debug)]
struct ServicePlacement {
    entry: Arc<ServiceEntry>,
    /// Configuration version at which this membership was first seen.
    epoch: u64,
    member_hashes: Vec<u64>,
    auxiliaries: Vec<AuxiliaryHolder>,
    regions: IndexSet<SharedName>,
    /// Computed views, indexed by shard number.
    views: Vec<Option<Arc<ShardView>>>,
}

impl PlacementTable {
    /// Applies another configuration. Views of services whose members and auxiliary holders are
    /// unchanged are kept.
    pub fn update(&mut self, snapshot: Arc<ConfigSnapshot>) {
        let services = &snapshot.services;
        let small = services.values().filter(|entry| needs_auxiliaries(entry));
        self.auxiliaries = small
            .map(|entry| (entry.name.clone(), find_auxiliaries(entry, &snapshot)))
            .collect();
        let auxiliaries = &self.auxiliaries;
        self.services.retain(|name, placement| {
            services
                .get(name)
                .is_some_and(|entry| entry.members == placement.entry.members)
                && auxiliaries.get(name).map_or(&[][..], Vec::as_slice) == placement.auxiliaries
        });
        self.snapshot = snapshot;
    }

    /// Whether the node is an auxiliary holder of the service.
    pub(super) fn is_auxiliary(&self, service: &str, node: &ShardHolder) -> bool {
        let auxiliaries = self.auxiliaries.get(service);
        auxiliaries.is_some_and(|auxiliaries| {
            auxiliaries
                .iter()
                .any(|auxiliary| auxiliary.holder == *node)
        })
    }

    /// Whether the table has views of the service from an earlier configuration.
    pub(super) fn is_computed(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    pub(super) fn has_service(&self, service: &str) -> bool {
        self.snapshot.services.contains_key(service)
    }

    /// Returns the configuration that the views are computed from.
    pub fn snapshot(&self) -> &Arc<ConfigSnapshot> {
        &self.snapshot
    }

    /// Returns the view of a shard, or `None` if the service has no upstream or does not exist.
    pub fn view_of(&mut self, service: &str, number: u32) -> Option<Arc<ShardView>> {
        if !self.services.contains_key(service) {
            let entry = self.snapshot.services.get(service)?.clone();
            let auxiliaries = self.auxiliaries.get(service).cloned().unwrap_or_default();
            let placement = ServicePlacement::new(entry, auxiliaries, self.snapshot.version.0);
            let name = placement.entry.name.clone();
            self.services.insert(name, placement);
        }
        self.services.get_mut(service)?.view_of(number)
    }

    /// Returns the views of a service that have been computed so far, by shard number.
    pub(super) fn computed_views(&self, service: &str) -> Vec<Option<Arc<ShardView>>> {
        let placement = self.services.get(service);
        placement.map_or_else(Vec::new, |placement| placement.views.clone())
    }

    /// Returns the shard of a key and its view.
    pub fn locate(&mut self, service: &str, key: &str) -> Option<(ShardId, Arc<ShardView>)> {
        let shard = shard_of(service, key);
        let view = self.view_of(service, shard.number)?;
        Some((shard, view))
    }
}

impl ServicePlacement {
    fn new(entry: Arc<ServiceEntry>, auxiliaries: Vec<AuxiliaryHolder>, epoch: u64) -> Self {
        ServicePlacement {
            auxiliaries,
            epoch,
            member_hashes: entry
                .members
                .iter()
                .map(|member| stable_hash(member.name.as_bytes()))
                .collect(),
            regions: entry
                .members
                .iter()
                .map(|member| member.region.clone())
                .collect(),
            views: vec![None; SHARDS_PER_SERVICE as usize],
            entry,
        }
    }

    fn view_of(&mut self, number: u32) -> Option<Arc<ShardView>> {
        let slot = self.views.get(number as usize)?;
        if let Some(view) = slot {
            return Some(view.clone());
        }
        if self.entry.members.is_empty() {
            return None;
        }
        let view = Arc::new(self.compute_view(number));
        self.views[number as usize] = Some(view.clone());
        Some(view)
    }

    /// Chooses the holders of a shard: members in the home region before other members, and in each
    /// of these parts at first only one member per zone. Auxiliary holders fill the places that are
    /// left.
    fn compute_view(&self, number: u32) -> ShardView {
        let shard_hash = stable_hash(&number.to_le_bytes());
        let home = self.home_region(number, shard_hash);
        let mut ranked: Vec<(u64, &UpstreamEntry)> = self
            .entry
            .members
            .iter()
            .zip(&self.member_hashes)
            .map(|(member, hash)| (rendezvous_score(*hash, shard_hash), &**member))
            .collect();
        ranked.sort_unstable_by_key(|(score, member)| {
            (member.region != home, Reverse(*score), member.name.clone())
        });
        let mut chosen: Vec<&UpstreamEntry> = Vec::with_capacity(HOLDERS_PER_SHARD);
        for local in [true, false] {
            for new_zone in [true, false] {
                for (_, member) in &ranked {
                    let known_zone = chosen.iter().any(|other| other.zone == member.zone);
                    let known = chosen.iter().any(|other| other.name == member.name);
                    if chosen.len() < HOLDERS_PER_SHARD
                        && (member.region == home) == local
                        && known_zone != new_zone
                        && !known
                    {
                        chosen.push(member);
                    }
                }
            }
        }
        let mut holders: Vec<ShardHolder> = chosen
            .into_iter()
            .map(|member| ShardHolder {
                name: member.name.to_string(),
                incarnation: member.incarnation.0,
            })
            .collect();
        let auxiliaries = self
            .auxiliaries
            .iter()
            .filter(|auxiliary| auxiliary.region == home);
        let missing = HOLDERS_PER_SHARD - holders.len();
        holders.extend(
            auxiliaries
                .take(missing)
                .map(|auxiliary| auxiliary.holder.clone()),
        );
        holders.sort_unstable();
        ShardView {
            view: view_id(&holders),
            holders,
            config_version: self.epoch,
        }
    }

    /// Returns the region whose name belongs to the shard's group, if the service has upstreams
    /// there. Otherwise picks one of the service's regions by hash.
    fn home_region(&self, number: u32, shard_hash: u64) -> SharedName {
        let group = number / SHARDS_PER_GROUP;
        let named = |region: &&SharedName| group > 0 && region_group(region) == group - 1;
        let by_rendezvous_score = |region: &&SharedName| {
            (
                rendezvous_score(stable_hash(region.as_bytes()), shard_hash),
                (*region).clone(),
            )
        };
        self.regions
            .iter()
            .filter(named)
            .max_by_key(by_rendezvous_score)
            .or_else(|| self.regions.iter().max_by_key(by_rendezvous_score))
            .cloned()
            .unwrap_or_default()
    }
}

/// Whether the service has too few upstreams and needs auxiliary holders.
fn needs_auxiliaries(service: &ServiceEntry) -> bool {
    (1..HOLDERS_PER_SHARD).contains(&service.members.len())
}

/// Picks the auxiliary holders of a service in each of its regions. They are the same for all its
/// shards, so one pass finds them. Nodes in zones other than those of the service's own upstreams
/// come first, if there are any.
fn find_auxiliaries(service: &ServiceEntry, snapshot: &ConfigSnapshot) -> Vec<AuxiliaryHolder> {
    let service_hash = stable_hash(service.name.as_bytes());
    let members = &service.members;
    let regions: IndexSet<&SharedName> = members.iter().map(|member| &member.region).collect();
    let own_zones: IndexSet<&SharedName> = members.iter().map(|member| &member.zone).collect();
    let mut auxiliaries = Vec::new();
    for region in regions {
        let is_candidate = |upstream: &&Arc<UpstreamEntry>| {
            upstream.region == *region && upstream.service != service.name
        };
        let candidates = snapshot.upstreams.values().filter(is_candidate);
        let mut ranked: Vec<(u64, &UpstreamEntry)> = candidates
            .map(|other| {
                (
                    rendezvous_score(stable_hash(other.name.as_bytes()), service_hash),
                    &**other,
                )
            })
            .collect();
        ranked.sort_unstable_by_key(|(score, other)| (Reverse(*score), other.name.clone()));
        let mut zones = IndexSet::new();
        let (new_zones, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, other)| !own_zones.contains(&other.zone) && zones.insert(&other.zone));
        let chosen = new_zones.into_iter().chain(rest);
        auxiliaries.extend(
            chosen
                .take(HOLDERS_PER_SHARD - 1)
                .map(|(_, other)| AuxiliaryHolder {
                    holder: ShardHolder {
                        name: other.name.to_string(),
                        incarnation: other.incarnation.0,
                    },
                    region: other.region.clone(),
                }),
        );
    }
    auxiliaries
}

/// Returns a hash of the holders. They are sorted by name, so all nodes compute the same hash.
fn view_id(holders: &[ShardHolder]) -> u64 {
    let mut bytes = Vec::with_capacity(128);
    for holder in holders {
        bytes.extend_from_slice(holder.name.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&holder.incarnation.to_le_bytes());
    }
    stable_hash(&bytes)
}
