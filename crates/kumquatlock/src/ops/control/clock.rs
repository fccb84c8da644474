//! Clocks and random seed of the process.

use std::hash::{BuildHasher, RandomState};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::core::Timestamp;

/// Monotonic clock that measures the time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessClock {
    started: Instant,
}

impl ProcessClock {
    pub(super) fn start() -> Self {
        ProcessClock {
            started: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        let micros = self.started.elapsed().as_micros();
        Timestamp(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
pub(super) fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Returns a seed that differs between runs and instances. The entropy comes from the standard
/// library, which seeds its hashers from the operating system.
pub(super) fn random_seed() -> u64 {
    RandomState::new().hash_one((wall_clock_ms(), std::process::id()))
}
