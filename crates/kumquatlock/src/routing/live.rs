//! What an entry knows of one upstream from its own calls.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::{CallReason, LoadReport};

use super::silence::SilenceTracker;
use super::subset::{LocalityTier, SubsetSeat};
use crate::core::{Timestamp, UpstreamEntry};

/// Consecutive failures that eject an upstream. Fewer would eject on coincidence: at a failure
/// rate of 5%, three in a row happen once in 8,000 calls.
const FAILURES_TO_EJECT: u32 = 3;
/// Consecutive refusals that eject an upstream.
const REFUSALS_TO_EJECT: u32 = 3;
/// First ejection after failures; doubles with each further one.
const FAILURE_EJECTION: Duration = Duration::from_secs(1);
const FAILURE_EJECTION_MAX: Duration = Duration::from_secs(30);
/// First ejection after refusals. Short, because a full queue drains within a few service times.
const REFUSAL_EJECTION: Duration = Duration::from_millis(50);
const REFUSAL_EJECTION_MAX: Duration = Duration::from_secs(2);

/// Weight of a new latency sample in the estimate.
const LATENCY_GAIN: f32 = 0.2;
/// Half-life of the distance between an estimate without new samples and the tier's mean.
const LATENCY_HALF_LIFE_US: f32 = 5_000_000.0;
/// Weight of a new outcome in the failure share.
const FAILURE_GAIN: f32 = 0.2;
/// Half-life of a failure share without new outcomes.
const FAILURE_HALF_LIFE_US: f32 = 5_000_000.0;
/// Cost factor added at a failure share of one.
const FAILURE_PENALTY: f32 = 20.0;

/// Time over which a new upstream's share grows to a full one.
const COLD_START: Duration = Duration::from_secs(10);
/// Share of a new upstream at first; above zero so that it gets samples.
const COLD_WEIGHT: f32 = 0.05;

/// Time after which a load report no longer counts. Queues of 2 × slots drain faster.
const REPORT_VALID: Duration = Duration::from_millis(500);
/// Time after which a hint no longer counts.
const HINT_VALID: Duration = Duration::from_secs(10);
/// Weight of an upstream whose health endpoint reports it unhealthy. Above zero, because the
/// endpoint may be wrong.
const UNHEALTHY_WEIGHT: f32 = 0.25;

/// Identifies one upstream's live state within a balancer. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamToken(pub(super) u64);

/// What became of an attempt, as far as it says something about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// A whole answer that is no server failure.
    Answered,
    /// A server failure or a truncated answer.
    Failed,
    /// The destination refused the attempt before running it.
    Refused(CallReason),
    /// No byte was sent: no connection, or one that broke before.
    Unreachable,
    /// Sent, then silence until the deadline or the loss of the link.
    Lost,
    /// The entry withdrew the attempt, for example because a hedge answered first.
    Cancelled,
}

/// What an upstream's health or load endpoint says. Lags or misleads, so it only lowers a weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthHint {
    /// The endpoint reports health; removes an earlier hint and changes nothing else.
    Healthy,
    /// The endpoint reports a load between 0 (idle) and 1 (full).
    Loaded(f32),
    /// The endpoint reports the upstream unhealthy.
    Unhealthy,
}

#[derive(Clone, Debug)]
pub(super) struct LiveUpstream {
    pub(super) token: UpstreamToken,
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) tier: LocalityTier,
    /// Attempts of this entry that have started and not finished.
    pub(super) in_flight: u32,
    /// Takes no new work for the rest of its incarnation.
    pub(super) retired: bool,
    /// The node beside the upstream has left a ping unanswered.
    pub(super) is_node_silent: bool,
    /// When the incarnation joined the service, if this entry saw it join.
    cold_since: Option<Timestamp>,
    /// None until the first sample.
    latency_us: Option<f32>,
    latency_at: Timestamp,
    failure_share: f32,
    failure_at: Timestamp,
    report: LoadReport,
    report_until: Timestamp,
    silence: SilenceTracker,
    failures: u32,
    refusals: u32,
    /// Ejections since the last success; sets the length of the next one.
    ejections: u32,
    ejected_until: Timestamp,
    hint_weight: f32,
    hint_until: Timestamp,
}

impl LiveUpstream {
    pub(super) fn new(
        token: UpstreamToken,
        entry: Arc<UpstreamEntry>,
        tier: LocalityTier,
        cold_since: Option<Timestamp>,
    ) -> Self {
        LiveUpstream {
            token,
            entry,
            tier,
            in_flight: 0,
            retired: false,
            is_node_silent: false,
            cold_since,
            latency_us: None,
            latency_at: Timestamp::default(),
            failure_share: 0.0,
            failure_at: Timestamp::default(),
            report: LoadReport::default(),
            report_until: Timestamp::default(),
            silence: SilenceTracker::default(),
            failures: 0,
            refusals: 0,
            ejections: 0,
            ejected_until: Timestamp::default(),
            hint_weight: 1.0,
            hint_until: Timestamp::default(),
        }
    }

    /// The same state under the entry of a newer snapshot.
    pub(super) fn with_seat(self, seat: SubsetSeat) -> Self {
        LiveUpstream {
            entry: seat.entry,
            tier: seat.tier,
            ..self
        }
    }

    /// Whether the upstream takes no attempts for now, after failures or while it is silent.
    pub(super) fn is_ejected(&self, now: Timestamp, mean_us: f32) -> bool {
        self.is_node_silent || now < self.ejected_until || self.silence.is_silent(now, mean_us)
    }

    /// Records the start of an attempt.
    pub(super) fn observe_start(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.silence.started(now);
    }

    /// Work at the upstream in units of its slots: own attempts, or the reported load if higher.
    pub(super) fn fullness(&self, now: Timestamp) -> f32 {
        let mut slots = self.entry.slots;
        let mut load = self.in_flight;
        if now < self.report_until {
            load = load.max(self.report.running + self.report.queued);
            if self.report.slots > 0 {
                slots = self.report.slots;
            }
        }
        load as f32 / slots.max(1) as f32
    }

    /// Share of the draws that the upstream takes part in, between 0 and 1.
    pub(super) fn weight(&self, now: Timestamp) -> f32 {
        let cold = self.cold_since.map_or(1.0, |since| {
            let age = now.since(since).as_micros() as f32;
            (age / COLD_START.as_micros() as f32).clamp(COLD_WEIGHT, 1.0)
        });
        if now < self.hint_until {
            cold * self.hint_weight
        } else {
            cold
        }
    }

    /// Expected cost of one more attempt. `mean_us` is the mean latency of the tier.
    pub(super) fn cost(&self, now: Timestamp, mean_us: f32) -> f32 {
        let queued = if now < self.report_until {
            self.report.queued
        } else {
            0
        };
        let latency = match self.latency_us {
            None => mean_us,
            Some(latency) => {
                let kept = half_life(now, self.latency_at, LATENCY_HALF_LIFE_US);
                mean_us + (latency - mean_us) * kept
            }
        };
        let failures = self.failing_share(now);
        (self.in_flight + queued + 1) as f32 * latency * (1.0 + FAILURE_PENALTY * failures)
    }

    /// Age of the last load report.
    pub(super) fn load_age(&self, now: Timestamp) -> Option<Duration> {
        let reported = self
            .report_until
            .0
            .checked_sub(REPORT_VALID.as_micros() as u64)?;
        (self.report_until > Timestamp::default()).then(|| now.since(Timestamp(reported)))
    }

    /// Share of the calls that failed lately, between 0 and 1.
    pub(super) fn failing_share(&self, now: Timestamp) -> f32 {
        self.failure_share * half_life(now, self.failure_at, FAILURE_HALF_LIFE_US)
    }

    /// Records a load report. `draining` holds for the rest of the incarnation.
    pub(super) fn observe_report(&mut self, now: Timestamp, report: LoadReport) {
        self.report = report;
        self.report_until = now + REPORT_VALID;
        self.retired |= report.draining;
    }

    pub(super) fn observe_hint(&mut self, now: Timestamp, hint: HealthHint) {
        self.hint_until = now + HINT_VALID;
        self.hint_weight = match hint {
            HealthHint::Healthy => 1.0,
            HealthHint::Loaded(load) => (1.0 - load).clamp(UNHEALTHY_WEIGHT, 1.0),
            HealthHint::Unhealthy => UNHEALTHY_WEIGHT,
        };
    }

    /// Records the outcome of an attempt that took `latency`. `mean_us` is that of the tier.
    pub(super) fn observe_outcome(
        &mut self,
        now: Timestamp,
        outcome: UpstreamOutcome,
        latency: Duration,
        mean_us: f32,
    ) {
        let latency_us = latency.as_micros() as f32;
        self.silence.finished(outcome, latency, mean_us);
        match outcome {
            UpstreamOutcome::Answered => {
                self.observe_latency(now, latency_us);
                self.observe_share(now, 0.0);
                self.failures = 0;
                self.refusals = 0;
                self.ejections = 0;
            }
            UpstreamOutcome::Refused(CallReason::Draining | CallReason::WrongIncarnation) => {
                self.retired = true;
            }
            UpstreamOutcome::Refused(reason) if blames_upstream(reason) => {
                self.observe_share(now, 1.0);
                self.refusals += 1;
                if self.refusals >= REFUSALS_TO_EJECT {
                    self.eject(now, REFUSAL_EJECTION, REFUSAL_EJECTION_MAX);
                }
            }
            UpstreamOutcome::Refused(_) => {}
            UpstreamOutcome::Failed => self.observe_failure(now, 1),
            UpstreamOutcome::Unreachable => self.observe_failure(now, FAILURES_TO_EJECT),
            UpstreamOutcome::Lost => {
                self.observe_lower_bound(now, latency_us);
                self.observe_failure(now, 1);
            }
            UpstreamOutcome::Cancelled => self.observe_lower_bound(now, latency_us),
        }
    }

    fn observe_failure(&mut self, now: Timestamp, count: u32) {
        self.observe_share(now, 1.0);
        self.failures = self.failures.saturating_add(count);
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now, FAILURE_EJECTION, FAILURE_EJECTION_MAX);
        }
    }

    /// Counters stay at their bound, so one more failure after the ejection ejects again.
    fn eject(&mut self, now: Timestamp, first: Duration, longest: Duration) {
        if now < self.ejected_until {
            return;
        }
        let time = first.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.ejected_until = now + time.min(longest);
    }

    fn observe_latency(&mut self, now: Timestamp, sample_us: f32) {
        let latency = self.latency_us.get_or_insert(sample_us);
        *latency += (sample_us - *latency) * LATENCY_GAIN;
        self.latency_at = now;
    }

    /// A withdrawn attempt took at least this long; it says nothing if the estimate is higher.
    fn observe_lower_bound(&mut self, now: Timestamp, bound_us: f32) {
        if self.latency_us.is_some_and(|latency| bound_us > latency) {
            self.observe_latency(now, bound_us);
        }
    }

    fn observe_share(&mut self, now: Timestamp, failed: f32) {
        let kept = half_life(now, self.failure_at, FAILURE_HALF_LIFE_US);
        let share = self.failure_share * kept;
        self.failure_share = share + (failed - share) * FAILURE_GAIN;
        self.failure_at = now;
    }
}

/// Refusals that follow from the request itself, not from the upstream's condition.
fn blames_upstream(reason: CallReason) -> bool {
    !matches!(
        reason,
        CallReason::Cancelled
            | CallReason::KeyReused
            | CallReason::KeyFenced
            | CallReason::DepthExceeded
            | CallReason::AnswerGone
            | CallReason::NoRoute
            | CallReason::TooLarge
    )
}

fn half_life(now: Timestamp, since: Timestamp, half_life_us: f32) -> f32 {
    (-(now.since(since).as_micros() as f32) / half_life_us).exp2()
}
