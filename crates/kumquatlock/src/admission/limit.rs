//! Adaptive limit of the calls that run on the upstream at the same time.
//!
//! An upstream sheds load by answering 503 because it runs more calls than it can handle. Such an
//! answer lowers the limit.

use std::time::Duration;

use crate::core::Timestamp;

/// Factor by which the limit is multiplied when the upstream sheds load.
const SHED_DECREASE_FACTOR: f32 = 0.75;
/// Shed answers never lower the limit below the announced capacity divided by this number. An
/// upstream that sheds load while it runs no more calls than that does so regardless of them, and
/// the limit returns to the announced capacity: a lower one would only refuse further calls.
const MIN_LIMIT_DIVISOR: u32 = 2;
/// Minimum time between two decreases. Shed answers within this time belong to calls that ran under
/// the earlier limit.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which shed answers are ignored after they have turned out not to depend on the running
/// calls. Longer than the limit would need to fall again.
const IGNORED_SHED_TIME: Duration = Duration::from_secs(2);
/// Time without shed answers after which the limit grows by one.
const RAISE_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity that an upstream announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of requests that the upstream runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that the upstream accepts; each running call uses one.
    pub connections: u32,
}

impl AdmissionLimits {
    fn max_running(self) -> u32 {
        self.slots.min(self.connections).max(1)
    }
}

/// Limit of the running calls: the announced capacity, lowered while the upstream sheds load. For
/// an upstream that has just started it is the whole capacity, because calls that have reached it
/// would otherwise wait or be refused although slots are free.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limits: AdmissionLimits,
    /// At least 1 and at most the announced capacity.
    current: u32,
    /// When `current` was last changed.
    changed_at: Timestamp,
    /// Until when shed answers are ignored.
    ignored_until: Timestamp,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream that starts now.
    pub fn new(limits: AdmissionLimits, now: Timestamp) -> Self {
        ConcurrencyLimit {
            limits,
            current: limits.max_running(),
            changed_at: now,
            ignored_until: Timestamp::default(),
        }
    }

    /// Changes the announced capacity. A limit that was lowered before stays lowered, capped by the
    /// new capacity.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        let is_lowered = self.current < self.limits.max_running();
        self.limits = limits;
        self.current = match is_lowered {
            true => self.current.min(limits.max_running()),
            false => limits.max_running(),
        };
    }

    /// Returns the maximum number of running calls; at least 1.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Lowers the limit after the upstream shed load while `running` calls ran.
    pub fn record_shed(&mut self, now: Timestamp, running: u32) {
        let min_limit = self.limits.max_running().div_ceil(MIN_LIMIT_DIVISOR);
        let is_recent = now.since(self.changed_at) < MIN_DECREASE_INTERVAL;
        if self.current == min_limit && running <= min_limit && !is_recent {
            self.current = self.limits.max_running();
            self.changed_at = now;
            self.ignored_until = now + IGNORED_SHED_TIME;
        }
        if now < self.ignored_until {
            return;
        }
        if is_recent && self.current < self.limits.max_running() {
            return;
        }
        let used = self.current.min(running.max(1));
        self.current = ((used as f32 * SHED_DECREASE_FACTOR) as u32).max(min_limit);
        self.changed_at = now;
    }

    /// Raises a lowered limit by one for each interval without shed answers.
    pub fn advance(&mut self, now: Timestamp) {
        let max_running = self.limits.max_running();
        while self.current < max_running && now.since(self.changed_at) >= RAISE_INTERVAL {
            self.current += 1;
            self.changed_at = self.changed_at + RAISE_INTERVAL;
        }
    }

    /// Returns when the limit next grows, or `None` if it is not lowered.
    pub fn next_raise(&self) -> Option<Timestamp> {
        (self.current < self.limits.max_running()).then(|| self.changed_at + RAISE_INTERVAL)
    }
}
