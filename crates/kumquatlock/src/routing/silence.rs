//! Detection of an upstream or a locality tier that no longer answers.

use std::time::Duration;

use super::tracked::UpstreamOutcome;
use crate::core::Timestamp;

/// Minimum number of unanswered attempts before an upstream or a tier can count as silent.
const MIN_SILENT_ATTEMPTS: u32 = 3;
/// Time without any answer after which an upstream or a tier counts as silent: this multiple of the
/// mean latency, but at least [`SILENT_MIN_US`]. A dead link is closed only after seconds, and all
/// calls until then would be lost.
const SILENT_LATENCY_FACTOR: f32 = 5.0;
const SILENT_MIN_US: f32 = 20_000.0;
/// Attempts that are cancelled before this multiple of the mean latency are not evidence of
/// silence. Most hedges end this way, and a tier that receives only hedges would appear silent.
const EARLY_CANCEL_FACTOR: f32 = 2.0;
/// Time after the latest attempt to a silent target after which another attempt is allowed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks the attempts since the latest answer of any kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SilenceTracker {
    unanswered_attempts: u32,
    first_start: Timestamp,
    last_start: Timestamp,
}

impl SilenceTracker {
    pub(super) fn observe_start(&mut self, now: Timestamp) {
        if self.unanswered_attempts == 0 {
            self.first_start = now;
        }
        self.unanswered_attempts = self.unanswered_attempts.saturating_add(1);
        self.last_start = now;
    }

    /// Records how an attempt ended and how long it took.
    pub(super) fn observe_outcome(
        &mut self,
        outcome: UpstreamOutcome,
        latency: Duration,
        mean_us: f32,
    ) {
        match outcome {
            UpstreamOutcome::Answered | UpstreamOutcome::Failed | UpstreamOutcome::Refused(_) => {
                self.unanswered_attempts = 0;
            }
            UpstreamOutcome::Cancelled
                if (latency.as_micros() as f32) < mean_us * EARLY_CANCEL_FACTOR =>
            {
                self.unanswered_attempts = self.unanswered_attempts.saturating_sub(1);
            }
            UpstreamOutcome::Cancelled | UpstreamOutcome::Lost | UpstreamOutcome::Unreachable => {}
        }
    }

    /// Whether attempts should go elsewhere. `mean_us` is the mean latency of the tier. Unlike an
    /// upstream's own estimate, it is not raised by unanswered attempts.
    pub(super) fn is_silent(&self, now: Timestamp, mean_us: f32) -> bool {
        if self.unanswered_attempts < MIN_SILENT_ATTEMPTS {
            return false;
        }
        let silence_us = now.since(self.first_start).as_micros() as f32;
        silence_us > (mean_us * SILENT_LATENCY_FACTOR).max(SILENT_MIN_US)
            && now.since(self.last_start) < PROBE_INTERVAL
    }
}
