//! Share of the requests that an entry node sends to a version on trial.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CANARY_SHARE;
use crate::core::{SharedName, UpstreamEntry, UpstreamState};

/// What an entry node owes the versions on trial, by service.
///
/// Each request that it sends adds the share to the credit of the service, and each one to the
/// version on trial takes one off. So the node is never more than one request above the share, and
/// all nodes together are above it by at most their number; as each starts at a random credit, by
/// far less.
#[derive(Clone, Debug, Default)]
pub struct CanaryShare {
    /// Only services with a running rollout.
    credits: IndexMap<SharedName, CanaryCredit>,
}

#[derive(Clone, Copy, Debug)]
struct CanaryCredit {
    /// Rollout that the credit belongs to.
    order: u64,
    /// Below one plus [`CANARY_SHARE`].
    credit: f64,
}

impl CanaryShare {
    /// Whether the next request to the service may go to the version on trial.
    pub fn is_due(&mut self, service: &SharedName, order: u64, random: &mut SmallRng) -> bool {
        match self.credits.get_mut(service) {
            Some(found) if found.order == order => found.credit >= 1.0,
            _ => {
                let credit = random.random_range(0.0..1.0);
                let fresh = CanaryCredit { order, credit };
                self.credits.insert(service.clone(), fresh);
                false
            }
        }
    }

    /// Counts a request that was sent to the service.
    pub fn record_sent(&mut self, service: &str, is_canary: bool) {
        if let Some(found) = self.credits.get_mut(service) {
            let spent = if is_canary { 1.0 } else { 0.0 };
            // Requests that could not go to the version on trial aren't made up for in a burst.
            found.credit = (found.credit + CANARY_SHARE - spent).min(1.0 + CANARY_SHARE);
        }
    }

    /// Forgets the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&SharedName) -> bool) {
        self.credits.retain(|service, _| keep(service));
    }
}

/// Selects the upstreams of a version on trial that get requests. They are as few as keep the load
/// of each near that of the version in force, so that a version that fails only under load shows
/// it. Every entry node of a region selects the same ones, at least one in each region.
pub fn pick_canaries(
    members: &[Arc<UpstreamEntry>],
    version: &str,
    region: &str,
    order: u64,
) -> Vec<Arc<UpstreamEntry>> {
    let serves = |entry: &&Arc<UpstreamEntry>| {
        *entry.version == *version && entry.state == UpstreamState::Serving
    };
    let targets: Vec<_> = members.iter().filter(serves).collect();
    let is_near = |entry: &&Arc<UpstreamEntry>| *entry.region == *region;
    let near: Vec<_> = targets.iter().copied().filter(is_near).collect();
    let mut pool = if near.is_empty() { targets } else { near };
    let count = (pool.len() as f64 * CANARY_SHARE).ceil() as usize;
    pool.sort_by_key(|entry| xxh3_64_with_seed(entry.name.as_bytes(), order));
    pool.into_iter().take(count.max(1)).cloned().collect()
}
