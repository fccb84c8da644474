//! Selection of the parent that a child tries next, with back-off between attempts.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock_wire::distribution::{ParentLocation, Welcome};
use rand::Rng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::child::ChildIdentity;
use super::{INITIAL_BACKOFF, MAX_BACKOFF};
use crate::core::{SharedName, Timestamp, stable_hash};

/// Maximum number of parents that a child keeps in its list.
const MAX_PARENTS: usize = 64;

/// Distance of a parent from a child. A parent without a known location counts as distant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ParentDistance {
    SameZone,
    SameRegion,
    OtherRegion,
}

fn shuffled_key(address: SocketAddr, seed: u64) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), seed)
}

/// The parents in order of preference, each with the earliest time of the next attempt.
#[derive(Debug)]
pub(super) struct ParentSelector {
    /// At most [`MAX_PARENTS`], unless the initial settings list more.
    parents: Vec<ParentEntry>,
    /// Seed of the pseudorandom order of parents at the same distance. Differs between children, so
    /// that they spread over the parents.
    order_seed: u64,
    zone: SharedName,
    region: SharedName,
    max_backoff: Duration,
    /// Number of failed attempts since the last `Welcome`.
    failures: u32,
    /// No parent is tried before this time.
    pause_until: Timestamp,
    /// Position at which the next search starts: after the parent that was tried last, so that a
    /// failing parent does not prevent attempts at the others.
    next_position: usize,
}

#[derive(Debug)]
struct ParentEntry {
    address: SocketAddr,
    not_before: Timestamp,
}

impl ParentSelector {
    /// Creates a selector for `parents`, which are in order of preference.
    pub(super) fn new(parents: Vec<SocketAddr>, child: &ChildIdentity) -> Self {
        let entry = |address| ParentEntry {
            address,
            not_before: Timestamp::default(),
        };
        ParentSelector {
            parents: parents.into_iter().map(entry).collect(),
            order_seed: stable_hash(child.name.as_bytes()),
            zone: child.zone.clone(),
            region: child.region.clone(),
            max_backoff: MAX_BACKOFF,
            failures: 0,
            pause_until: Timestamp::default(),
            next_position: 0,
        }
    }

    pub(super) fn set_max_backoff(&mut self, max_backoff: Duration) {
        self.max_backoff = max_backoff;
    }

    /// Sorts the parents into the pseudorandom order of this child.
    pub(super) fn shuffle(&mut self) {
        let seed = self.order_seed;
        self.parents
            .sort_by_cached_key(|entry| shuffled_key(entry.address, seed));
    }

    /// Replaces the list by the parents that the parent at position `current` offers: those of this
    /// child's zone first, then those of its region, which cost no traffic between regions. The
    /// order among equals depends on this child's seed. Parents that are no longer offered move to
    /// the end of the list: if all offered parents are lost, one of these may offer others. Returns
    /// the new position of the current parent.
    pub(super) fn update_parents(&mut self, welcome: &Welcome, current: usize) -> usize {
        let mut offered: Vec<(ParentDistance, SocketAddr)> = Vec::new();
        for (index, address) in welcome.parents.iter().enumerate().take(MAX_PARENTS) {
            if let Ok(address) = address.parse() {
                offered.push((self.distance(welcome.locations.get(index)), address));
            }
        }
        if offered.is_empty() {
            return current;
        }
        let current_address = self.parents.get(current).map(|entry| entry.address);
        let seed = self.order_seed;
        offered.sort_by_cached_key(|(distance, address)| (*distance, shuffled_key(*address, seed)));
        let mut ordered: Vec<SocketAddr> =
            offered.into_iter().map(|(_, address)| address).collect();
        let no_longer_offered = self.parents.iter().map(|entry| entry.address);
        let no_longer_offered: Vec<SocketAddr> = no_longer_offered
            .filter(|address| !ordered.contains(address))
            .collect();
        ordered.extend(no_longer_offered);
        ordered.truncate(MAX_PARENTS);
        let previous = std::mem::take(&mut self.parents);
        let entry = |address| {
            let known = previous.iter().find(|entry| entry.address == address);
            ParentEntry {
                address,
                not_before: known.map_or(Timestamp::default(), |entry| entry.not_before),
            }
        };
        self.parents = ordered.into_iter().map(entry).collect();
        let position = self
            .parents
            .iter()
            .position(|entry| Some(entry.address) == current_address);
        position.unwrap_or(0)
    }

    fn distance(&self, location: Option<&ParentLocation>) -> ParentDistance {
        match location {
            Some(location) if *location.region != *self.region => ParentDistance::OtherRegion,
            Some(location) if *location.zone != *self.zone => ParentDistance::SameRegion,
            Some(_) => ParentDistance::SameZone,
            None => ParentDistance::OtherRegion,
        }
    }

    /// Appends the parents of reloaded settings to the list. Returns the number of new parents.
    pub(super) fn add_parents(&mut self, parents: &[SocketAddr]) -> usize {
        let before = self.parents.len();
        for &address in parents {
            let is_known = self.parents.iter().any(|entry| entry.address == address);
            if !is_known && self.parents.len() < MAX_PARENTS {
                let not_before = Timestamp::default();
                self.parents.push(ParentEntry {
                    address,
                    not_before,
                });
            }
        }
        self.parents.len() - before
    }

    /// Returns the position and address of the parent to try now, if there is one.
    pub(super) fn choose(&mut self, now: Timestamp) -> Option<(usize, SocketAddr)> {
        if now < self.pause_until {
            return None;
        }
        let count = self.parents.len();
        let position = (0..count)
            .map(|offset| (self.next_position + offset) % count)
            .find(|&position| self.parents[position].not_before <= now)?;
        self.next_position = (position + 1) % count;
        Some((position, self.parents[position].address))
    }

    /// Returns the address of the parent at `position`, unless the parent has asked for a delay
    /// that has not passed yet.
    pub(super) fn address(&self, now: Timestamp, position: usize) -> Option<SocketAddr> {
        let entry = self.parents.get(position)?;
        (entry.not_before <= now).then_some(entry.address)
    }

    /// Makes the next search start with the parent after `position`.
    pub(super) fn start_after(&mut self, position: usize) {
        self.next_position = (position + 1) % self.parents.len();
    }

    /// Starts an exponential back-off with full jitter: the pause is chosen between zero and a
    /// bound that doubles with each failure.
    pub(super) fn record_failure(&mut self, now: Timestamp, random: &mut SmallRng) {
        let doubled = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(16));
        let bound = doubled.min(self.max_backoff).as_micros() as u64;
        self.failures = self.failures.saturating_add(1);
        self.pause_until = now + Duration::from_micros(random.random_range(0..=bound));
    }

    /// Skips the parent at `position` for at least `delay` and continues with the others after a
    /// short jittered pause. The parent has already jittered the delays; the pause only prevents
    /// all refused children from trying the next parent at the same time.
    pub(super) fn record_refusal(
        &mut self,
        now: Timestamp,
        position: usize,
        delay: Duration,
        random: &mut SmallRng,
    ) {
        let bound = INITIAL_BACKOFF.as_micros() as u64;
        self.pause_until = now + Duration::from_micros(random.random_range(0..=bound));
        if let Some(entry) = self.parents.get_mut(position) {
            entry.not_before = now + delay;
        }
    }

    /// Resets the back-off after a `Welcome`. The next search starts at the preferred parent.
    pub(super) fn record_welcome(&mut self) {
        self.failures = 0;
        self.next_position = 0;
    }
}
