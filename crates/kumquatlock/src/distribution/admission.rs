//! Which children a parent admits now and when the others come back.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::{HELLO_BURST, HELLO_RATE, MAX_RETRY_AFTER, MAX_SNAPSHOT_QUEUE, MAX_SNAPSHOT_TRANSFERS};
use crate::core::Timestamp;

/// Assumed time of a snapshot transfer before the first one was measured.
const FIRST_TRANSFER_MICROS: u64 = 100_000;
/// Added to each delay, so that refused children do not come back at the same instant.
const JITTER_MICROS: u64 = 50_000;

/// Bounds of one parent.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// `Hello` messages per second.
    pub hello_rate: u64,
    /// `Hello` messages at once. Half of them only from children without a configuration.
    pub hello_burst: u64,
    /// Snapshots in transfer at once.
    pub transfers: usize,
    /// Children without a configuration that wait for a transfer.
    pub queue: usize,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        AdmissionLimits {
            hello_rate: HELLO_RATE,
            hello_burst: HELLO_BURST,
            transfers: MAX_SNAPSHOT_TRANSFERS,
            queue: MAX_SNAPSHOT_QUEUE,
        }
    }
}

/// Token bucket of `Hello` messages with an estimate of who waits outside.
#[derive(Debug)]
pub(super) struct HelloAdmission {
    pub(super) limits: AdmissionLimits,
    /// Time at which everything admitted so far has been paid for at the rate. At most the burst
    /// ahead of the present.
    used_until: u64,
    /// Expected end of the queue of refused children without a configuration.
    cold_until: u64,
    /// Expected end of the queue of all refused children. At or above `cold_until`.
    warm_until: u64,
    /// Moving average of the time of a snapshot transfer.
    transfer_micros: u64,
}

impl HelloAdmission {
    pub(super) fn new(limits: AdmissionLimits) -> Self {
        HelloAdmission {
            limits,
            used_until: 0,
            cold_until: 0,
            warm_until: 0,
            transfer_micros: FIRST_TRANSFER_MICROS,
        }
    }

    /// Admits a `Hello` or names the delay after which the child should come back.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        holds_config: bool,
        random: &mut SmallRng,
    ) -> Result<(), Duration> {
        let per_hello = 1_000_000 / self.limits.hello_rate.max(1);
        let used = self.used_until.max(now.0);
        let limit = now.0 + self.limits.hello_burst * per_hello;
        let reserved = if holds_config {
            self.limits.hello_burst / 2
        } else {
            0
        };
        if used + (1 + reserved) * per_hello <= limit {
            self.used_until = used + per_hello;
            return Ok(());
        }
        let until = if holds_config {
            self.warm_until = self.warm_until.max(self.cold_until).max(now.0) + per_hello;
            self.warm_until
        } else {
            self.cold_until = self.cold_until.max(now.0) + per_hello;
            self.cold_until
        };
        Err(spread(until - now.0, random))
    }

    /// Delay for a child that needs a snapshot when `ahead` others are served first.
    pub(super) fn snapshot_delay(&self, ahead: usize, random: &mut SmallRng) -> Duration {
        let queue = self.transfer_micros * (1 + ahead / self.limits.transfers.max(1)) as u64;
        spread(random.random_range(0..=queue), random)
    }

    /// Learns the time of a finished transfer.
    pub(super) fn record_transfer(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.transfer_micros = (self.transfer_micros * 7 + micros.min(10_000_000)) / 8;
    }
}

fn spread(micros: u64, random: &mut SmallRng) -> Duration {
    let jitter = random.random_range(0..=JITTER_MICROS);
    Duration::from_micros(micros + jitter).min(MAX_RETRY_AFTER)
}
