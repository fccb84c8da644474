//! Estimate of the time that queued work waits.

use std::time::Duration;

/// Weight of a new sample in the service time.
const SERVICE_GAIN: f32 = 0.1;

/// Service time of the upstream, as a moving mean over finished calls.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceEstimate {
    /// Zero before the first sample; nothing is refused on the estimate until then.
    mean_us: f32,
}

impl ServiceEstimate {
    pub(super) fn observe(&mut self, service: Duration) {
        let sample_us = service.as_micros() as f32;
        if self.mean_us == 0.0 {
            self.mean_us = sample_us;
        } else {
            self.mean_us += (sample_us - self.mean_us) * SERVICE_GAIN;
        }
    }

    pub(super) fn service(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// Time until `ahead` queued calls and one of the running ones are out of the way, if
    /// `limit` calls run at once.
    pub(super) fn wait(&self, ahead: usize, limit: u32) -> Duration {
        let turns = (ahead + 1) as f32 / limit.max(1) as f32;
        Duration::from_micros((self.mean_us * turns) as u64)
    }
}
