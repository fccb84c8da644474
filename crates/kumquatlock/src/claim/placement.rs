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
}

#[derive(Debug)]
struct ServicePlacement {
    entry: Arc<ServiceEntry>,
    /// Configuration version at which this membership was first seen.
    epoch: u64,
    member_hashes: Vec<u64>,
    regions: IndexSet<SharedName>,
    /// One slot per shard number.
    views: Vec<Option<Arc<ShardView>>>,
}

impl PlacementTable {
    /// Moves to another configuration. Views of services whose members are unchanged are kept.
    pub fn update(&mut self, snapshot: Arc<ConfigSnapshot>) {
        self.services.retain(|name, placement| {
            snapshot
                .services
                .get(name)
                .is_some_and(|entry| entry.members == placement.entry.members)
        });
        self.snapshot = snapshot;
    }

    /// The configuration that the views are computed from.
    pub fn snapshot(&self) -> &Arc<ConfigSnapshot> {
        &self.snapshot
    }

    /// The view of a shard; none if the service has no upstream or does not exist.
    pub fn view_of(&mut self, service: &str, number: u32) -> Option<Arc<ShardView>> {
        if !self.services.contains_key(service) {
            let entry = self.snapshot.services.get(service)?.clone();
            let placement = ServicePlacement::new(entry, self.snapshot.version.0);
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
    fn new(entry: Arc<ServiceEntry>, epoch: u64) -> Self {
        ServicePlacement {
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
