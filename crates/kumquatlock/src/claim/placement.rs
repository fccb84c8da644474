//! Where the claims of a key are kept: key → shard → holders.
//!
//! The shard number depends on the key alone. The holders depend on the configuration, so every
//! change of membership, even a new region, is a change of views and never moves a key to a shard
//! that does not know its claim.

use std::cmp::Reverse;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::claim::{ShardHolder, ShardId, ShardView};

use crate::core::{ConfigSnapshot, ServiceEntry, SharedName, UpstreamEntry, stable_hash};

/// Holders of a shard when the service has enough upstreams. Three survive the loss of one.
pub const HOLDERS_PER_SHARD: usize = 3;

/// Shards of each group of keys; spreads the claims of a service over its upstreams. Every change
/// of membership moves some shards with two messages each, so more shards cost control bytes.
pub const SHARDS_PER_GROUP: u32 = 8;

/// Groups of keys that name a home region, by hash of the name. Region names that share a group
/// share holders, which costs locality only. The bound keeps the number of shards independent of
/// the prefixes that callers choose. With 31 the six known region names have groups of their own,
/// with 32 two of them share one.
pub const REGION_GROUPS: u32 = 31;

/// Shards of a service: one group for keys without a region, then the region groups.
pub const SHARDS_PER_SERVICE: u32 = SHARDS_PER_GROUP * (1 + REGION_GROUPS);

/// Separates the home region from the rest of a key.
const REGION_SEPARATOR: char = ':';

/// Shard number of a key.
pub fn shard_number(key: &str) -> u32 {
    let group = match key.split_once(REGION_SEPARATOR) {
        Some((region, _)) => 1 + region_group(region),
        None => 0,
    };
    let within = (stable_hash(key.as_bytes()) % u64::from(SHARDS_PER_GROUP)) as u32;
    group * SHARDS_PER_GROUP + within
}

/// Shard of a key of a service.
pub fn shard_of(service: &str, key: &str) -> ShardId {
    ShardId {
        service: service.to_owned(),
        number: shard_number(key),
    }
}

/// Grants that a view of `holders` holders needs; any two such sets share a holder.
pub fn majority(holders: usize) -> usize {
    holders / 2 + 1
}

fn region_group(region: &str) -> u32 {
    (stable_hash(region.as_bytes()) % u64::from(REGION_GROUPS)) as u32
}

fn score(member_hash: u64, shard_hash: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&member_hash.to_le_bytes());
    bytes[8..].copy_from_slice(&shard_hash.to_le_bytes());
    stable_hash(&bytes)
}

/// The claim views of one configuration, computed when first asked for.
#[derive(Debug, Default)]
pub struct PlacementTable {
    snapshot: Arc<ConfigSnapshot>,
    services: IndexMap<SharedName, ServicePlacement>,
    /// Fillers of the services that need them.
    fillers: IndexMap<SharedName, Vec<FillerNode>>,
}

/// A node of another service that holds claims for a service with too few upstreams.
#[derive(Clone, Debug, PartialEq)]
struct FillerNode {
    holder: ShardHolder,
    region: SharedName,
}

#[derive(Debug)]
struct ServicePlacement {
    entry: Arc<ServiceEntry>,
    /// Configuration version at which this membership was first seen.
    epoch: u64,
    member_hashes: Vec<u64>,
    fillers: Vec<FillerNode>,
    regions: IndexSet<SharedName>,
    /// One slot per shard number.
    views: Vec<Option<Arc<ShardView>>>,
}

impl PlacementTable {
    /// Moves to another configuration. Views of services whose members and fillers are unchanged
    /// are kept.
    pub fn update(&mut self, snapshot: Arc<ConfigSnapshot>) {
        let services = &snapshot.services;
        let small = services.values().filter(|entry| needs_fillers(entry));
        self.fillers = small
            .map(|entry| (entry.name.clone(), find_fillers(entry, &snapshot)))
            .collect();
        let fillers = &self.fillers;
        self.services.retain(|name, placement| {
            services
                .get(name)
                .is_some_and(|entry| entry.members == placement.entry.members)
                && fillers.get(name).map_or(&[][..], Vec::as_slice) == placement.fillers
        });
        self.snapshot = snapshot;
    }

    /// Whether the node helps a service that has fewer upstreams than a shard has holders.
    pub(super) fn is_filler(&self, service: &str, node: &ShardHolder) -> bool {
        let fillers = self.fillers.get(service);
        fillers.is_some_and(|fillers| fillers.iter().any(|filler| filler.holder == *node))
    }

    /// Whether views of the service are kept since an earlier configuration.
    pub(super) fn is_computed(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    pub(super) fn has_service(&self, service: &str) -> bool {
        self.snapshot.services.contains_key(service)
    }

    /// The configuration that the views are computed from.
    pub fn snapshot(&self) -> &Arc<ConfigSnapshot> {
        &self.snapshot
    }

    /// The view of a shard; none if the service has no upstream or does not exist.
    pub fn view_of(&mut self, service: &str, number: u32) -> Option<Arc<ShardView>> {
        if !self.services.contains_key(service) {
            let entry = self.snapshot.services.get(service)?.clone();
            let fillers = self.fillers.get(service).cloned().unwrap_or_default();
            let placement = ServicePlacement::new(entry, fillers, self.snapshot.version.0);
            let name = placement.entry.name.clone();
            self.services.insert(name, placement);
        }
        self.services.get_mut(service)?.view_of(number)
    }

    /// The views of a service that have been computed so far, by shard number.
    pub(super) fn computed_views(&self, service: &str) -> Vec<Option<Arc<ShardView>>> {
        let placement = self.services.get(service);
        placement.map_or_else(Vec::new, |placement| placement.views.clone())
    }

    /// The shard of a key and its view.
    pub fn locate(&mut self, service: &str, key: &str) -> Option<(ShardId, Arc<ShardView>)> {
        let shard = shard_of(service, key);
        let view = self.view_of(service, shard.number)?;
        Some((shard, view))
    }
}

impl ServicePlacement {
    fn new(entry: Arc<ServiceEntry>, fillers: Vec<FillerNode>, epoch: u64) -> Self {
        ServicePlacement {
            fillers,
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

    fn compute_view(&self, number: u32) -> ShardView {
        let shard_hash = stable_hash(&number.to_le_bytes());
        let home = self.home_region(number, shard_hash);
        let mut ranked: Vec<(u64, &UpstreamEntry)> = self
            .entry
            .members
            .iter()
            .zip(&self.member_hashes)
            .map(|(member, hash)| (score(*hash, shard_hash), &**member))
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
        let fillers = self.fillers.iter().filter(|filler| filler.region == home);
        let missing = HOLDERS_PER_SHARD - holders.len();
        holders.extend(fillers.take(missing).map(|filler| filler.holder.clone()));
        holders.sort_unstable();
        ShardView {
            view: view_id(&holders),
            holders,
            config_version: self.epoch,
        }
    }

    /// The region of the group's name, if the service has upstreams there; otherwise the hash
    /// picks among the service's regions.
    fn home_region(&self, number: u32, shard_hash: u64) -> SharedName {
        let group = number / SHARDS_PER_GROUP;
        let named = |region: &&SharedName| group > 0 && region_group(region) == group - 1;
        let by_score = |region: &&SharedName| {
            (
                score(stable_hash(region.as_bytes()), shard_hash),
                (*region).clone(),
            )
        };
        self.regions
            .iter()
            .filter(named)
            .max_by_key(by_score)
            .or_else(|| self.regions.iter().max_by_key(by_score))
            .cloned()
            .unwrap_or_default()
    }
}

/// Whether nodes of other services have to help with the claims of a service.
fn needs_fillers(service: &ServiceEntry) -> bool {
    (1..HOLDERS_PER_SHARD).contains(&service.members.len())
}

/// The nodes that help a service in each of its regions, the same for all its shards so that they
/// are found in one pass. Enough of them in other zones than those of the service's own upstreams,
/// where there are such.
fn find_fillers(service: &ServiceEntry, snapshot: &ConfigSnapshot) -> Vec<FillerNode> {
    let service_hash = stable_hash(service.name.as_bytes());
    let members = &service.members;
    let regions: IndexSet<&SharedName> = members.iter().map(|member| &member.region).collect();
    let own_zones: IndexSet<&SharedName> = members.iter().map(|member| &member.zone).collect();
    let mut fillers = Vec::new();
    for region in regions {
        let is_candidate = |upstream: &&Arc<UpstreamEntry>| {
            upstream.region == *region && upstream.service != service.name
        };
        let candidates = snapshot.upstreams.values().filter(is_candidate);
        let mut ranked: Vec<(u64, &UpstreamEntry)> = candidates
            .map(|other| {
                (
                    score(stable_hash(other.name.as_bytes()), service_hash),
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
        fillers.extend(
            chosen
                .take(HOLDERS_PER_SHARD - 1)
                .map(|(_, other)| FillerNode {
                    holder: ShardHolder {
                        name: other.name.to_string(),
                        incarnation: other.incarnation.0,
                    },
                    region: other.region.clone(),
                }),
        );
    }
    fillers
}

/// Hash of the holders. Sorted by name, so all nodes compute the same.
fn view_id(holders: &[ShardHolder]) -> u64 {
    let mut bytes = Vec::with_capacity(128);
    for holder in holders {
        bytes.extend_from_slice(holder.name.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&holder.incarnation.to_le_bytes());
    }
    stable_hash(&bytes)
}
