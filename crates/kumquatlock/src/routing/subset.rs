//! Selection of the upstreams of a service that an entry node keeps statistics for.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{SharedName, UpstreamEntry, UpstreamState, stable_hash};

/// Maximum number of upstreams per service that an entry node keeps statistics for.
pub const SUBSET_SIZE: usize = 12;

/// Places in the subset reserved for each outer tier (the rest of the region, and the other
/// regions), even if the zone alone could fill the subset. Without them, the loss of a zone would
/// leave an entry node of a large service with no upstream at all.
const RESERVED_PER_TIER: usize = 2;

/// Where an entry node runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLocation {
    /// Name of the entry node; seeds the subset, so that entry nodes select different upstreams.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
}

/// Distance of an upstream from the entry node.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LocalityTier {
    /// Same availability zone.
    Zone = 0,
    /// Same region, different zone.
    Region = 1,
    /// Different region; traffic is billed by volume.
    CrossRegion = 2,
}

impl LocalityTier {
    pub(super) const ALL: [LocalityTier; 3] = [
        LocalityTier::Zone,
        LocalityTier::Region,
        LocalityTier::CrossRegion,
    ];

    fn between(location: &EntryLocation, upstream: &UpstreamEntry) -> Self {
        if upstream.region != location.region {
            LocalityTier::CrossRegion
        } else if upstream.zone != location.zone {
            LocalityTier::Region
        } else {
            LocalityTier::Zone
        }
    }
}

/// One upstream of the subset.
pub(super) struct SubsetMember {
    pub(super) tier: LocalityTier,
    pub(super) entry: Arc<UpstreamEntry>,
}

/// Selects at most [`SUBSET_SIZE`] serving upstreams, nearest tier first.
///
/// Within a tier the order is by rendezvous hash with the entry node's name, so that entry nodes
/// select different upstreams and the change of one upstream changes only one place in the subset.
/// Outer tiers alternate between their zones or regions, so that the few upstreams selected there
/// don't share one failure domain.
pub(super) fn pick_subset<'a>(
    location: &EntryLocation,
    members: impl Iterator<Item = &'a Arc<UpstreamEntry>>,
) -> Vec<SubsetMember> {
    let seed = stable_hash(location.name.as_bytes());
    let mut tiers: [Vec<(u64, &Arc<UpstreamEntry>)>; 3] = Default::default();
    for entry in members {
        if entry.state == UpstreamState::Serving {
            let hash = xxh3_64_with_seed(entry.name.as_bytes(), seed);
            tiers[LocalityTier::between(location, entry) as usize].push((hash, entry));
        }
    }
    for tier in &mut tiers {
        tier.sort_unstable_by(|left, right| (right.0, &left.1.name).cmp(&(left.0, &right.1.name)));
    }
    interleave_domains(&mut tiers[LocalityTier::Region as usize], |entry| {
        &entry.zone
    });
    interleave_domains(&mut tiers[LocalityTier::CrossRegion as usize], |entry| {
        &entry.region
    });

    let reserved = |tier: LocalityTier| tiers[tier as usize].len().min(RESERVED_PER_TIER);
    let mut free = SUBSET_SIZE;
    let mut subset = Vec::with_capacity(SUBSET_SIZE);
    for tier in LocalityTier::ALL {
        let outer: usize = LocalityTier::ALL
            .into_iter()
            .filter(|other| *other > tier)
            .map(reserved)
            .sum();
        let taken = tiers[tier as usize].len().min(free - outer);
        free -= taken;
        let entries = tiers[tier as usize].iter().take(taken);
        subset.extend(entries.map(|(_, entry)| SubsetMember {
            tier,
            entry: Arc::clone(entry),
        }));
    }
    subset
}

/// Reorders a tier: first the best upstream of each failure domain, then the second best, and so
/// on.
fn interleave_domains<'a>(
    tier: &mut Vec<(u64, &'a Arc<UpstreamEntry>)>,
    domain: impl Fn(&'a UpstreamEntry) -> &'a SharedName,
) {
    let mut rounds: IndexMap<&SharedName, u32> = IndexMap::new();
    let mut ordered: Vec<(u32, (u64, &Arc<UpstreamEntry>))> = tier
        .drain(..)
        .map(|(hash, entry)| {
            let round = rounds.entry(domain(entry)).or_default();
            *round += 1;
            (*round, (hash, entry))
        })
        .collect();
    ordered.sort_by_key(|(round, _)| *round);
    tier.extend(ordered.into_iter().map(|(_, item)| item));
}
