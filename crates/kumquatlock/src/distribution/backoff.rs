//! Which parent a child tries next, and when.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::{BACKOFF_FIRST, BACKOFF_LAST};
use crate::core::Timestamp;

/// The parents in order of preference with the earliest time of the next try at each.
#[derive(Debug)]
pub(super) struct ParentChoice {
    parents: Vec<ParentSlot>,
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
    pub(super) fn new(parents: Vec<SocketAddr>) -> Self {
        let slot = |address| ParentSlot {
            address,
            not_before: Timestamp::default(),
        };
        ParentChoice {
            parents: parents.into_iter().map(slot).collect(),
            failures: 0,
            pause_until: Timestamp::default(),
            next: 0,
        }
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
        let doubled = BACKOFF_FIRST * 2u32.saturating_pow(self.failures.min(16));
        let bound = doubled.min(BACKOFF_LAST).as_micros() as u64;
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
        let bound = BACKOFF_FIRST.as_micros() as u64;
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
