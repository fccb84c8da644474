//! Estimate of service time and queueing time.

use std::time::Duration;

/// Weight of a new sample in the mean service time.
const SAMPLE_WEIGHT: f32 = 0.1;

/// Service time of the upstream, as an exponential moving average over answered calls.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceEstimate {
    /// Zero before the first sample; until then no call is refused because of the estimate.
    mean_us: f32,
}

impl ServiceEstimate {
    pub(super) fn observe(&mut self, service: Duration) {
        let sample_us = service.as_micros() as f32;
        if self.mean_us == 0.0 {
            self.mean_us = sample_us;
        } else {
            self.mean_us += (sample_us - self.mean_us) * SAMPLE_WEIGHT;
        }
    }

    pub(super) fn service_time(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// Returns the expected time until a call can start that has `ahead` queued calls before it, if
    /// `limit` calls run at the same time. It can start once `ahead + 1` calls have finished.
    pub(super) fn queueing_time(&self, ahead: usize, limit: u32) -> Duration {
        let turns = (ahead + 1) as f32 / limit.max(1) as f32;
        Duration::from_micros((self.mean_us * turns) as u64)
    }
}
