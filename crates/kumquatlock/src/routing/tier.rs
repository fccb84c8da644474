//! Statistics that an entry node keeps about the upstreams of one locality tier together.

use std::time::Duration;

use kumquatlock_wire::call::LoadReport;

use super::silence::SilenceTracker;
use super::spill::SpillController;
use super::subset::LocalityTier;
use crate::core::Timestamp;

/// Latency estimate for a tier without samples.
const DEFAULT_LATENCY_US: f32 = 1_000.0;
/// Mean latency assumed for the silence detection of a tier without samples. Above the usual
/// latency of first answers, so that waiting for them does not count as silence.
const DEFAULT_SILENCE_LATENCY_US: f32 = 100_000.0;
/// Time on the way to a tier and back that is assumed before the first sample: usual values within
/// a zone, between zones and between regions.
const DEFAULT_WAY_US: [f32; 3] = [400.0, 4_000.0, 60_000.0];
/// Weight of a new sample in the means of a tier.
const MEAN_GAIN: f32 = 0.05;
/// Weight of a new load report in the load of a tier: the mean of about the last ten.
const LOAD_GAIN: f32 = 0.2;
/// Time for which the load of a tier counts as known after a report.
const LOAD_VALIDITY: Duration = Duration::from_secs(1);
/// Half-life of what the last reports say about a tier's load.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TierStatistics {
    /// Mean latency; `None` before the first sample.
    latency_us: Option<f32>,
    /// Mean time on the way there and back; `None` before the first sample.
    way_us: Option<f32>,
    /// Mean service time; `None` before the first report.
    service_us: Option<f32>,
    /// Mean number of calls for each slot.
    load: f32,
    /// When the latest load report came; `None` before the first.
    reported_at: Option<Timestamp>,
    /// The loss of a zone is detected after three attempts to any of its upstreams.
    pub(super) silence: SilenceTracker,
    /// Limits the calls that leave nearer tiers for this one.
    pub(super) spill: SpillController,
}

impl TierStatistics {
    pub(super) fn mean_latency_us(&self) -> f32 {
        self.latency_us.unwrap_or(DEFAULT_LATENCY_US)
    }

    pub(super) fn silence_latency_us(&self) -> f32 {
        self.latency_us.unwrap_or(DEFAULT_SILENCE_LATENCY_US)
    }

    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        self.silence.is_silent(now, self.silence_latency_us())
    }

    pub(super) fn way_us(&self, tier: LocalityTier) -> f32 {
        self.way_us.unwrap_or(DEFAULT_WAY_US[tier as usize])
    }

    /// Returns the mean service time, or else the mean latency.
    pub(super) fn service_us(&self) -> f32 {
        self.service_us.unwrap_or_else(|| self.mean_latency_us())
    }

    /// Returns the usual number of calls for each slot. Without recent reports the tier counts as
    /// loaded as the nearest one, `home_load`: what isn't known is no reason to leave.
    pub(super) fn load(&self, now: Timestamp, home_load: f32) -> f32 {
        let Some(reported_at) = self.reported_at else {
            return home_load;
        };
        let age = now.since(reported_at).as_secs_f32() / LOAD_HALF_LIFE.as_secs_f32();
        home_load + (self.load - home_load) * (-age).exp2()
    }

    /// Returns the mean number of calls for each slot in the latest reports, whatever their age.
    pub(super) fn reported_load(&self) -> f32 {
        self.load
    }

    /// Whether an upstream of the tier has reported its load recently.
    pub(super) fn is_load_known(&self, now: Timestamp) -> bool {
        self.reported_at
            .is_some_and(|reported_at| now.since(reported_at) < LOAD_VALIDITY)
    }

    pub(super) fn observe_latency(&mut self, latency: Duration) {
        observe_mean(&mut self.latency_us, latency.as_micros() as f32);
    }

    /// Records the load report of an answer that came after `latency`.
    pub(super) fn observe_report(&mut self, now: Timestamp, report: &LoadReport) {
        if report.slots == 0 {
            return;
        }
        let calls = report.running.saturating_add(report.queued);
        let load = calls as f32 / report.slots as f32;
        let gain = self.reported_at.map_or(1.0, |_| LOAD_GAIN);
        self.load += (load - self.load) * gain;
        self.reported_at = Some(now);
        if report.service_us > 0 {
            observe_mean(&mut self.service_us, report.service_us as f32);
        }
    }

    /// Records the time on the way that an answer tells.
    pub(super) fn observe_way(&mut self, way: Duration) {
        observe_mean(&mut self.way_us, way.as_micros() as f32);
    }
}

fn observe_mean(mean: &mut Option<f32>, sample: f32) {
    let mean = mean.get_or_insert(sample);
    *mean += (sample - *mean) * MEAN_GAIN;
}
