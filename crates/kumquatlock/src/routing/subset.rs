//! Which of a service's upstreams an entry keeps live state for.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{SharedName, UpstreamEntry, UpstreamState, stable_hash};

/// Upstreams per service that an entry keeps live state for.
pub const SUBSET_SIZE: usize = 12;

/// Seats that each outer tier gets even where the zone could fill the subset. Without them the
/// loss of a zone would leave an entry of a large service with no upstream at all.
const RESERVED_SEATS: usize = 2;

/// Where an entry runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLocation {
    /// Name of the entry's own node; seeds the subset so that entries spread.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
}

/// How far an upstream is from the entry.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LocalityTier {
    /// Same availability zone.
    Zone = 0,
    /// Same region, other zone.
    Region = 1,
    /// Other region; traffic is paid by volume.
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

/// One member of the subset.
pub(super) struct SubsetSeat {
    pub(super) tier: LocalityTier,
    pub(super) entry: Arc<UpstreamEntry>,
}

/// Picks at most [`SUBSET_SIZE`] serving upstreams, nearest tier first.
///
/// Within a tier the order is by rendezvous hash with the entry's name, so that each entry keeps
/// other upstreams and a change of one member moves one seat. Outer tiers take turns between
/// their zones or regions, so that their few seats do not share one failure.
pub(super) fn pick_subset(
    location: &EntryLocation,
    members: &[Arc<UpstreamEntry>],
) -> Vec<SubsetSeat> {
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
    take_turns(&mut tiers[LocalityTier::Region as usize], |entry| {
        &entry.zone
    });
    take_turns(&mut tiers[LocalityTier::CrossRegion as usize], |entry| {
        &entry.region
    });

    let reserved = |tier: LocalityTier| tiers[tier as usize].len().min(RESERVED_SEATS);
    let mut free = SUBSET_SIZE;
    let mut seats = Vec::with_capacity(SUBSET_SIZE);
    for tier in LocalityTier::ALL {
        let outer: usize = LocalityTier::ALL
            .into_iter()
            .filter(|other| *other > tier)
            .map(reserved)
            .sum();
        let taken = tiers[tier as usize].len().min(free - outer);
        free -= taken;
        let entries = tiers[tier as usize].iter().take(taken);
        seats.extend(entries.map(|(_, entry)| SubsetSeat {
            tier,
            entry: Arc::clone(entry),
        }));
    }
    seats
}

/// Reorders a tier: first the best of each domain, then the second best, and so on.
fn take_turns<'a>(
    tier: &mut Vec<(u64, &'a Arc<UpstreamEntry>)>,
    domain: impl Fn(&'a UpstreamEntry) -> &'a SharedName,
) {
    let mut turns: IndexMap<&SharedName, u32> = IndexMap::new();
    let mut ordered: Vec<(u32, (u64, &Arc<UpstreamEntry>))> = tier
        .drain(..)
        .map(|(hash, entry)| {
            let turn = turns.entry(domain(entry)).or_default();
            *turn += 1;
            (*turn, (hash, entry))
        })
        .collect();
    ordered.sort_by_key(|(turn, _)| *turn);
    tier.extend(ordered.into_iter().map(|(_, item)| item));
}
