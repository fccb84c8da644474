//! A monotonic clock that also counts the time for which the machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::core::Timestamp;

/// Measures the time since the start of the process. `Instant` stops while the machine is suspended,
/// so what expires after a time, such as a lease, would outlive a suspension.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started: Duration,
}

impl BootClock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        BootClock { started: uptime() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Timestamp {
        let elapsed = uptime().saturating_sub(self.started);
        Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns the time since the boot of the machine.
fn uptime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds)
        + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or_default())
}
