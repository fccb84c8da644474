//! Detection of an upstream or tier that no longer answers.

use std::time::Duration;

use super::live::UpstreamOutcome;
use crate::core::Timestamp;

/// Attempts without any answer from which on silence counts.
const SILENT_ATTEMPTS: u32 = 3;
/// Time without any answer, in units of the mean latency and at least, after which it does. A
/// dead link is closed only after seconds; the calls until then would all be lost.
const SILENT_LATENCIES: f32 = 5.0;
const SILENT_MIN_US: f32 = 20_000.0;
/// Attempts that are withdrawn earlier than this, in units of the mean latency, are no sign of
/// silence. Most hedges end this way, and a tier that gets only hedges would look silent.
const EARLY_LATENCIES: f32 = 2.0;
/// Time after the latest attempt after which one more may try.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Attempts since the last answer of any kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SilenceTracker {
    unanswered: u32,
    first_start: Timestamp,
    last_start: Timestamp,
}

impl SilenceTracker {
    pub(super) fn started(&mut self, now: Timestamp) {
        if self.unanswered == 0 {
            self.first_start = now;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.last_start = now;
    }

    /// Records how an attempt ended after `latency`.
    pub(super) fn finished(&mut self, outcome: UpstreamOutcome, latency: Duration, mean_us: f32) {
        match outcome {
            UpstreamOutcome::Answered | UpstreamOutcome::Failed | UpstreamOutcome::Refused(_) => {
                self.unanswered = 0;
            }
            UpstreamOutcome::Cancelled
                if (latency.as_micros() as f32) < mean_us * EARLY_LATENCIES =>
            {
                self.unanswered = self.unanswered.saturating_sub(1);
            }
            UpstreamOutcome::Cancelled | UpstreamOutcome::Lost | UpstreamOutcome::Unreachable => {}
        }
    }

    /// Whether attempts should go elsewhere. `mean_us` is the mean latency of the tier, which,
    /// unlike an upstream's own estimate, is not raised by the attempts that go unanswered.
    pub(super) fn is_silent(&self, now: Timestamp, mean_us: f32) -> bool {
        if self.unanswered < SILENT_ATTEMPTS {
            return false;
        }
        let silence_us = now.since(self.first_start).as_micros() as f32;
        silence_us > (mean_us * SILENT_LATENCIES).max(SILENT_MIN_US)
            && now.since(self.last_start) < PROBE_INTERVAL
    }
}
