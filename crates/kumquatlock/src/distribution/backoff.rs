//! Which parent a child tries next, and when.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{INITIAL_BACKOFF, MAX_BACKOFF};
use crate::core::Timestamp;

/// Parents that a child keeps.
const MAX_PARENTS: usize = 64;

/// The parents in order of preference with the earliest time of the next try at each.
#[derive(Debug)]
pub(super) struct ParentChoice {
    /// At most [`MAX_PARENTS`] beyond those of the settings.
    parents: Vec<ParentSlot>,
    /// Seed of the order of learned parents.
    order: u64,
    max_backoff: Duration,
    /// Failed attempts since the last welcome.
    failures: u32,
    /// No parent is tried before.
    pause_until: Timestamp,
    /// Position after the parent tried last, so that a failing parent does not hide the others.
    next: usize,
}

#[derive(Debug)]
struct ParentSlot {
    address: SocketAddr,
    not_before: Timestamp,
}

impl ParentChoice {
    /// `order` differs between children.
    pub(super) fn new(parents: Vec<SocketAddr>, order: u64) -> Self {
        let slot = |address| ParentSlot {
            address,
            not_before: Timestamp::default(),
        };
        ParentChoice {
            parents: parents.into_iter().map(slot).collect(),
            order,
            max_backoff: MAX_BACKOFF,
            failures: 0,
            pause_until: Timestamp::default(),
            next: 0,
        }
    }

    pub(super) fn set_backoff_last(&mut self, max_backoff: Duration) {
        self.max_backoff = max_backoff;
    }

    /// Takes over the parents that the one at `present` names, in an order of this child's own, so
    /// that children spread over them. Parents that are no longer named stay as the last ones: if
    /// all named ones are lost, one of them may know others. Returns the new position of the
    /// present parent.
    pub(super) fn learn(&mut self, named: &[String], present: usize) -> usize {
        let addresses = named.iter().filter_map(|address| address.parse().ok());
        let mut learned: Vec<SocketAddr> = addresses.take(MAX_PARENTS).collect();
        if learned.is_empty() {
            return present;
        }
        let current = self.parents.get(present).map(|slot| slot.address);
        learned.sort_by_cached_key(|address| {
            xxh3_64_with_seed(address.to_string().as_bytes(), self.order)
        });
        let unnamed = self.parents.iter().map(|slot| slot.address);
        let unnamed: Vec<SocketAddr> = unnamed
            .filter(|address| !learned.contains(address))
            .collect();
        learned.extend(unnamed);
        learned.truncate(MAX_PARENTS);
        let held = std::mem::take(&mut self.parents);
        let slot = |address| {
            let known = held.iter().find(|slot| slot.address == address);
            ParentSlot {
                address,
                not_before: known.map_or(Timestamp::default(), |slot| slot.not_before),
            }
        };
        self.parents = learned.into_iter().map(slot).collect();
        let position = self
            .parents
            .iter()
            .position(|slot| Some(slot.address) == current);
        position.unwrap_or(0)
    }

    /// Takes over parents of changed settings, as the last ones. Returns how many are new.
    pub(super) fn add(&mut self, parents: &[SocketAddr]) -> usize {
        let before = self.parents.len();
        for &address in parents {
            let is_known = self.parents.iter().any(|slot| slot.address == address);
            if !is_known && self.parents.len() < MAX_PARENTS {
                let not_before = Timestamp::default();
                self.parents.push(ParentSlot {
                    address,
                    not_before,
                });
            }
        }
        self.parents.len() - before
    }

    /// The parent to try now, as position and address.
    pub(super) fn choose(&mut self, now: Timestamp) -> Option<(usize, SocketAddr)> {
        if now < self.pause_until {
            return None;
        }
        let count = self.parents.len();
        let position = (0..count)
            .map(|offset| (self.next + offset) % count)
            .find(|&position| self.parents[position].not_before <= now)?;
        self.next = (position + 1) % count;
        Some((position, self.parents[position].address))
    }

    /// Address of the parent at `position`, unless it asked to be left alone until later.
    pub(super) fn address(&self, now: Timestamp, position: usize) -> Option<SocketAddr> {
        let slot = self.parents.get(position)?;
        (slot.not_before <= now).then_some(slot.address)
    }

    /// The next search starts with the parent after `position`.
    pub(super) fn search_after(&mut self, position: usize) {
        self.next = (position + 1) % self.parents.len();
    }

    /// Full jitter: any time up to a bound that doubles with each failure.
    pub(super) fn record_failure(&mut self, now: Timestamp, random: &mut SmallRng) {
        let doubled = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(16));
        let bound = doubled.min(self.max_backoff).as_micros() as u64;
        self.failures = self.failures.saturating_add(1);
        self.pause_until = now + Duration::from_micros(random.random_range(0..=bound));
    }

    /// Leaves one parent alone for `delay` or longer, and goes on with the others. The parent has
    /// spread the delays, so the pause here only keeps children from moving on all at once.
    pub(super) fn record_refusal(
        &mut self,
        now: Timestamp,
        position: usize,
        delay: Duration,
        random: &mut SmallRng,
    ) {
        let bound = INITIAL_BACKOFF.as_micros() as u64;
        self.pause_until = now + Duration::from_micros(random.random_range(0..=bound));
        if let Some(slot) = self.parents.get_mut(position) {
            slot.not_before = now + delay;
        }
    }

    /// The child was welcomed. The next search starts at the preferred parent again.
    pub(super) fn record_welcome(&mut self) {
        self.failures = 0;
        self.next = 0;
    }
}
