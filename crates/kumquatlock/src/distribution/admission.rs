//! Admission control of a parent: decides which children are admitted and computes the delay after
//! which a refused child may retry.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::{HELLO_BURST, HELLO_RATE, MAX_RETRY_AFTER, MAX_SNAPSHOT_QUEUE, MAX_SNAPSHOT_TRANSFERS};
use crate::core::Timestamp;

/// Estimated duration of a snapshot transfer until the first transfer has finished.
const INITIAL_TRANSFER_MICROS: u64 = 100_000;
/// Maximum jitter added to each delay, so that refused children don't all retry at the same time.
const MAX_JITTER_MICROS: u64 = 50_000;

/// Admission limits of one parent.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Maximum rate of admitted `Hello` messages, per second.
    pub hello_rate: u64,
    /// Number of `Hello` messages admitted in a burst. Half of the burst is reserved for children
    /// without a configuration.
    pub hello_burst: u64,
    /// Maximum cost of concurrent snapshot transfers. A paced transfer costs 1, any other as much
    /// as the memory of its chunk relative to a paced window.
    pub transfers: usize,
    /// Maximum cost of the transfers for which children without a configuration wait.
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

/// Rate limiter for `Hello` messages, with an estimate of how many refused children are waiting
/// to retry.
#[derive(Debug)]
pub(super) struct HelloAdmission {
    pub(super) limits: AdmissionLimits,
    /// Time by which the messages admitted so far would have arrived at the configured rate (the
    /// theoretical arrival time of the GCRA algorithm). At most one burst ahead of the current
    /// time.
    theoretical_arrival: u64,
    /// Estimated time at which the last refused child without a configuration can be admitted.
    unconfigured_queue_end: u64,
    /// Estimated time at which the last refused child that holds a configuration can be admitted.
    /// These children are admitted after all refused children without a configuration.
    configured_queue_end: u64,
    /// Moving average of the duration of a snapshot transfer.
    mean_transfer_micros: u64,
}

impl HelloAdmission {
    pub(super) fn new(limits: AdmissionLimits) -> Self {
        HelloAdmission {
            limits,
            theoretical_arrival: 0,
            unconfigured_queue_end: 0,
            configured_queue_end: 0,
            mean_transfer_micros: INITIAL_TRANSFER_MICROS,
        }
    }

    /// Admits a `Hello`, or returns the delay after which the child should retry.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        holds_config: bool,
        random: &mut SmallRng,
    ) -> Result<(), Duration> {
        let micros_per_hello = 1_000_000 / self.limits.hello_rate.max(1);
        let arrival = self.theoretical_arrival.max(now.0);
        let limit = now.0 + self.limits.hello_burst * micros_per_hello;
        let reserved = if holds_config {
            self.limits.hello_burst / 2
        } else {
            0
        };
        if arrival + (1 + reserved) * micros_per_hello <= limit {
            self.theoretical_arrival = arrival + micros_per_hello;
            return Ok(());
        }
        let until = if holds_config {
            self.configured_queue_end = self
                .configured_queue_end
                .max(self.unconfigured_queue_end)
                .max(now.0)
                + micros_per_hello;
            self.configured_queue_end
        } else {
            self.unconfigured_queue_end = self.unconfigured_queue_end.max(now.0) + micros_per_hello;
            self.unconfigured_queue_end
        };
        Err(add_jitter(until - now.0, random))
    }

    /// Returns the retry delay for a child that needs a snapshot while transfers of the cost `ahead`
    /// come before its own.
    pub(super) fn snapshot_delay(&self, ahead: usize, random: &mut SmallRng) -> Duration {
        let queue = self.mean_transfer_micros * (1 + ahead / self.limits.transfers.max(1)) as u64;
        add_jitter(random.random_range(0..=queue), random)
    }

    /// Adds the duration of a finished transfer to the moving average.
    pub(super) fn record_transfer(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.mean_transfer_micros = (self.mean_transfer_micros * 7 + micros.min(10_000_000)) / 8;
    }
}

fn add_jitter(micros: u64, random: &mut SmallRng) -> Duration {
    let jitter = random.random_range(0..=MAX_JITTER_MICROS);
    Duration::from_micros(micros + jitter).min(MAX_RETRY_AFTER)
}
