//! How many calls may run on the upstream at once.

use std::time::Duration;

use crate::core::Timestamp;

/// Share of the limit that is kept when the upstream sheds load.
const SHED_KEEP: f32 = 0.75;
/// Divisor of the slots below which shed answers do not lower the limit. An upstream that sheds with
/// most of its slots free does so whatever runs on it.
const SHED_DIVISOR: u32 = 2;
/// Time in which further shed answers do not lower the limit again; they belong to the calls
/// that ran under the earlier limit.
const SHED_HOLD: Duration = Duration::from_millis(100);
/// Time without shed answers after which the limit grows by one.
const RAISE_INTERVAL: Duration = Duration::from_millis(500);

/// What an upstream announced of its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Connections that the upstream accepts; each running call uses one.
    pub connections: u32,
}

impl AdmissionLimits {
    fn most(self) -> u32 {
        self.slots.min(self.connections).max(1)
    }
}

/// Bound of the running calls: the announced capacity, lowered while the upstream sheds load. A cold
/// upstream has all its slots: what has come to it would only wait or be refused beside free ones.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limits: AdmissionLimits,
    /// At least the slots by [`SHED_DIVISOR`], at most the slots.
    learned: u32,
    /// When `learned` was last changed.
    changed_at: Timestamp,
}

impl ConcurrencyLimit {
    /// Makes the limit of an upstream that starts now.
    pub fn new(limits: AdmissionLimits, now: Timestamp) -> Self {
        ConcurrencyLimit {
            limits,
            learned: limits.most(),
            changed_at: now,
        }
    }

    /// Changes the announced capacity. A lowered limit stays, but for the new capacity.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        let is_lowered = self.learned < self.limits.most();
        self.limits = limits;
        self.learned = match is_lowered {
            true => self.learned.min(limits.most()),
            false => limits.most(),
        };
    }

    /// Calls that may run at once; at least 1.
    pub fn current(&self) -> u32 {
        self.learned
    }

    /// Lowers the limit after the upstream shed load. `running` calls ran when it did.
    pub fn record_shed(&mut self, now: Timestamp, running: u32) {
        if now.since(self.changed_at) < SHED_HOLD && self.learned < self.limits.most() {
            return;
        }
        let used = self.learned.min(running.max(1));
        let least = self.limits.most().div_ceil(SHED_DIVISOR);
        self.learned = ((used as f32 * SHED_KEEP) as u32).max(least);
        self.changed_at = now;
    }

    /// Raises a lowered limit by one for each interval without shed answers.
    pub fn advance(&mut self, now: Timestamp) {
        let most = self.limits.most();
        while self.learned < most && now.since(self.changed_at) >= RAISE_INTERVAL {
            self.learned += 1;
            self.changed_at = self.changed_at + RAISE_INTERVAL;
        }
    }

    /// When the limit next grows without any event; none if it is at its most.
    pub fn next_raise(&self) -> Option<Timestamp> {
        (self.learned < self.limits.most()).then(|| self.changed_at + RAISE_INTERVAL)
    }
}
