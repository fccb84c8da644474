//! Clocks that count the time for which the machine was suspended.

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
        BootClock {
            started: read(ClockId::Boottime),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Timestamp {
        let elapsed = read(ClockId::Boottime).saturating_sub(self.started);
        Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Measures for how long the machine was suspended since the start of the process. The steady clock
/// stands still meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionClock {
    /// How far the clock that counts suspensions was ahead of the steady one at the start.
    start: Duration,
}

impl SuspensionClock {
    /// Starts measuring.
    pub fn start() -> Self {
        SuspensionClock { start: lead() }
    }

    /// Returns the time for which the machine was suspended.
    pub fn suspended(&self) -> Duration {
        lead().saturating_sub(self.start)
    }
}

/// Returns how far the clock that counts suspensions is ahead of the steady one. The steady clock is
/// read last, so that a process that is preempted between the two is not taken for suspended.
fn lead() -> Duration {
    let boot = read(ClockId::Boottime);
    boot.saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::try_from(time).unwrap_or_default()
}
