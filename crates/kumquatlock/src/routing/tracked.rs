//! Statistics that an entry node keeps about one upstream, mostly from its own calls.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::{CallReason, LoadReport};

use super::silence::SilenceTracker;
use super::spill::LoadEstimate;
use super::subset::{LocalityTier, SubsetMember};
use crate::core::{Timestamp, UpstreamEntry};

/// Number of consecutive failures after which an upstream is ejected. A lower number would eject on
/// coincidence: at a failure rate of 5%, three failures in a row occur once in 8,000 calls.
const FAILURES_TO_EJECT: u32 = 3;
/// Number of consecutive refusals after which an upstream is ejected.
const REFUSALS_TO_EJECT: u32 = 3;
/// Duration of the first ejection after failures; doubles with each further ejection.
const FAILURE_EJECTION: Duration = Duration::from_secs(1);
const FAILURE_EJECTION_MAX: Duration = Duration::from_secs(30);
/// Time for which an upstream that refused a call as overloaded counts as full: half of the time in
/// which its queue drains, within these limits.
const MIN_FULL_TIME: Duration = Duration::from_millis(50);
const MAX_FULL_TIME: Duration = Duration::from_millis(500);
/// Limits of that time for an upstream in another region, where each refusal costs billed traffic.
/// It starts at the minimum and doubles with each refusal until the next answer.
const MIN_DISTANT_FULL_TIME: Duration = Duration::from_millis(250);
const MAX_DISTANT_FULL_TIME: Duration = Duration::from_secs(4);
/// Duration of the first ejection after refusals. Short, because a full queue drains within a few
/// service times.
const REFUSAL_EJECTION: Duration = Duration::from_millis(50);
const REFUSAL_EJECTION_MAX: Duration = Duration::from_secs(2);

/// Weight of a new sample in the latency estimate.
const LATENCY_GAIN: f32 = 0.2;
/// Half-life of the difference between an estimate without new samples and the mean of the tier.
const LATENCY_HALF_LIFE_US: f32 = 5_000_000.0;
/// Weight of a new outcome in the failure rate.
const FAILURE_RATE_GAIN: f32 = 0.2;
/// Half-life of a failure rate without new outcomes.
const FAILURE_RATE_HALF_LIFE_US: f32 = 5_000_000.0;
/// At a failure rate of one, the cost is multiplied by one plus this value.
const FAILURE_PENALTY: f32 = 20.0;

/// Time over which the weight of a new upstream grows to its full value.
const COLD_START: Duration = Duration::from_secs(10);
/// Initial weight of a new upstream; above zero, so that it gets samples.
const COLD_START_MIN_WEIGHT: f32 = 0.05;

/// Largest number of calls that is taken from a load report; leaves room for adding to it.
const MAX_REPORTED_CALLS: u32 = 1 << 20;
/// Time for which a load report is used. Queues of 2 × slots drain faster than this.
const LOAD_REPORT_VALIDITY: Duration = Duration::from_millis(500);
/// Half-life of the influence of a load report. Calls come and go within a few service times, so
/// an old report says little about the number of calls now.
const LOAD_REPORT_HALF_LIFE_US: f32 = 250_000.0;
/// Time for which a health hint is used.
const HINT_VALIDITY: Duration = Duration::from_secs(10);
/// Weight of an upstream whose health endpoint reports it as unhealthy. Above zero, because the
/// endpoint may be wrong.
const UNHEALTHY_WEIGHT: f32 = 0.25;

/// Identifies the statistics of one upstream within a balancer. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamToken(pub(super) u64);

/// Outcome of an attempt, reduced to what it says about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// A complete answer other than a server error.
    Answered,
    /// A server error or a truncated answer.
    Failed,
    /// The destination refused the attempt before running it.
    Refused(CallReason),
    /// No byte was sent, because there was no connection or it broke before the first byte.
    Unreachable,
    /// The attempt was sent, but no answer came before the deadline or the loss of the link.
    Lost,
    /// The entry node cancelled the attempt, for example because a hedge answered first.
    Cancelled,
}

/// Report of an upstream's health or load endpoint. Such reports may be late or wrong, so a hint
/// only lowers the weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthHint {
    /// The upstream is healthy; removes an earlier hint and has no other effect.
    Healthy,
    /// The load of the upstream, from 0 (idle) to 1 (full).
    Loaded(f32),
    /// The upstream is unhealthy.
    Unhealthy,
}

#[derive(Clone, Debug)]
pub(super) struct TrackedUpstream {
    pub(super) token: UpstreamToken,
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) tier: LocalityTier,
    /// Attempts of this entry node that have started but not finished.
    pub(super) in_flight: u32,
    /// Whether the upstream takes no new work for the rest of its incarnation.
    pub(super) is_retired: bool,
    /// Whether the node beside the upstream has left a ping unanswered.
    pub(super) is_node_silent: bool,
    /// When the incarnation joined the service; `None` if this balancer did not see it join.
    cold_since: Option<Timestamp>,
    /// `None` before the first sample.
    latency_us: Option<f32>,
    latency_at: Timestamp,
    failure_rate: f32,
    failure_rate_at: Timestamp,
    report: LoadReport,
    report_until: Timestamp,
    /// When the latest load report came; `None` before the first.
    reported_at: Option<Timestamp>,
    /// `in_flight` when the latest load report came.
    in_flight_at_report: u32,
    silence: SilenceTracker,
    consecutive_failures: u32,
    consecutive_refusals: u32,
    /// Ejections since the last answer; determines the duration of the next one.
    ejections: u32,
    ejected_until: Timestamp,
    /// Until when the upstream counts as full for calls of rank `full_rank` and higher.
    full_until: Timestamp,
    full_rank: u32,
    hint_weight: f32,
    hint_until: Timestamp,
}

impl TrackedUpstream {
    pub(super) fn new(
        token: UpstreamToken,
        entry: Arc<UpstreamEntry>,
        tier: LocalityTier,
        cold_since: Option<Timestamp>,
    ) -> Self {
        TrackedUpstream {
            token,
            entry,
            tier,
            in_flight: 0,
            is_retired: false,
            is_node_silent: false,
            cold_since,
            latency_us: None,
            latency_at: Timestamp::default(),
            failure_rate: 0.0,
            failure_rate_at: Timestamp::default(),
            report: LoadReport::default(),
            report_until: Timestamp::default(),
            reported_at: None,
            in_flight_at_report: 0,
            silence: SilenceTracker::default(),
            consecutive_failures: 0,
            consecutive_refusals: 0,
            ejections: 0,
            ejected_until: Timestamp::default(),
            full_until: Timestamp::default(),
            full_rank: 0,
            hint_weight: 1.0,
            hint_until: Timestamp::default(),
        }
    }

    /// Returns the same statistics with the upstream's entry from a newer snapshot.
    pub(super) fn with_member(self, member: SubsetMember) -> Self {
        TrackedUpstream {
            entry: member.entry,
            tier: member.tier,
            ..self
        }
    }

    /// Whether the upstream gets no attempts for now, because of failures, refusals or silence.
    pub(super) fn is_ejected(&self, now: Timestamp, mean_us: f32) -> bool {
        self.is_node_silent || now < self.ejected_until || self.silence.is_silent(now, mean_us)
    }

    /// Whether the upstream has recently refused a call of this rank, or of one that is served
    /// before it, because it was full.
    pub(super) fn is_full(&self, now: Timestamp, rank: u32) -> bool {
        now < self.full_until && rank >= self.full_rank
    }

    fn observe_full(&mut self, now: Timestamp, rank: u32) {
        self.full_rank = match now < self.full_until {
            true => self.full_rank.min(rank),
            false => rank,
        };
        let LoadReport {
            queued,
            slots,
            service_us,
            ..
        } = self.report;
        let time = match self.tier {
            LocalityTier::CrossRegion => MIN_DISTANT_FULL_TIME
                .saturating_mul(1 << self.consecutive_refusals.min(16))
                .min(MAX_DISTANT_FULL_TIME),
            LocalityTier::Zone | LocalityTier::Region => {
                let drain_us = u64::from(queued) * u64::from(service_us) / u64::from(slots.max(1));
                Duration::from_micros(drain_us / 2).clamp(MIN_FULL_TIME, MAX_FULL_TIME)
            }
        };
        self.full_until = now + time;
        self.consecutive_refusals += 1;
    }

    /// Records the start of an attempt.
    pub(super) fn observe_start(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.silence.observe_start(now);
    }

    /// Returns the expected number of calls at the upstream. The report counts less the older it
    /// is; `tier_load`, the usual number of calls for each slot in the tier, takes its place.
    pub(super) fn load_estimate(&self, now: Timestamp, tier_load: f32) -> LoadEstimate {
        let slots = match self.report.slots {
            0 => self.entry.slots.max(1),
            slots => slots,
        } as f32;
        let certainty = self.reported_at.map_or(0.0, |reported_at| {
            decay_factor(now, reported_at, LOAD_REPORT_HALF_LIFE_US)
        });
        let started = self.in_flight as f32 - self.in_flight_at_report as f32;
        let reported = (self.report.running + self.report.queued) as f32 + started;
        let usual = tier_load * slots;
        let calls = usual + (reported.max(0.0) - usual) * certainty;
        LoadEstimate {
            calls: calls.max(self.in_flight as f32),
            slots,
            certainty,
        }
    }

    /// Returns the service time that the upstream has reported; `None` before the first report.
    pub(super) fn reported_service_us(&self) -> Option<f32> {
        (self.report.service_us > 0).then_some(self.report.service_us as f32)
    }

    /// Returns the weight of the upstream in the random choice, between 0 and 1.
    pub(super) fn weight(&self, now: Timestamp) -> f32 {
        let cold = self.cold_since.map_or(1.0, |since| {
            let age = now.since(since).as_micros() as f32;
            (age / COLD_START.as_micros() as f32).clamp(COLD_START_MIN_WEIGHT, 1.0)
        });
        if now < self.hint_until {
            cold * self.hint_weight
        } else {
            cold
        }
    }

    /// Returns the expected cost of one more attempt. `mean_us` is the mean latency of the tier.
    pub(super) fn cost(&self, now: Timestamp, mean_us: f32) -> f32 {
        let queued = if now < self.report_until {
            self.report.queued
        } else {
            0
        };
        let latency = match self.latency_us {
            None => mean_us,
            Some(latency) => {
                let decay = decay_factor(now, self.latency_at, LATENCY_HALF_LIFE_US);
                mean_us + (latency - mean_us) * decay
            }
        };
        let failures = self.current_failure_rate(now);
        (self.in_flight + queued + 1) as f32 * latency * (1.0 + FAILURE_PENALTY * failures)
    }

    /// Returns the age of the latest load report.
    pub(super) fn load_age(&self, now: Timestamp) -> Option<Duration> {
        self.reported_at.map(|reported_at| now.since(reported_at))
    }

    /// Returns the recent failure rate of attempts, between 0 and 1.
    pub(super) fn current_failure_rate(&self, now: Timestamp) -> f32 {
        self.failure_rate * decay_factor(now, self.failure_rate_at, FAILURE_RATE_HALF_LIFE_US)
    }

    /// Records a load report. The `draining` flag applies for the rest of the incarnation.
    pub(super) fn observe_report(&mut self, now: Timestamp, report: LoadReport) {
        self.report = LoadReport {
            running: report.running.min(MAX_REPORTED_CALLS),
            queued: report.queued.min(MAX_REPORTED_CALLS),
            slots: report.slots.min(MAX_REPORTED_CALLS),
            ..report
        };
        self.report_until = now + LOAD_REPORT_VALIDITY;
        self.reported_at = Some(now);
        self.in_flight_at_report = self.in_flight;
        self.is_retired |= report.draining;
    }

    pub(super) fn observe_hint(&mut self, now: Timestamp, hint: HealthHint) {
        self.hint_until = now + HINT_VALIDITY;
        self.hint_weight = match hint {
            HealthHint::Healthy => 1.0,
            HealthHint::Loaded(load) => (1.0 - load).clamp(UNHEALTHY_WEIGHT, 1.0),
            HealthHint::Unhealthy => UNHEALTHY_WEIGHT,
        };
    }

    /// Records the outcome of an attempt of a call of this rank that took `latency`. `mean_us` is
    /// the mean latency of the tier.
    pub(super) fn observe_outcome(
        &mut self,
        now: Timestamp,
        outcome: UpstreamOutcome,
        rank: u32,
        latency: Duration,
        mean_us: f32,
    ) {
        let latency_us = latency.as_micros() as f32;
        self.silence.observe_outcome(outcome, latency, mean_us);
        match outcome {
            UpstreamOutcome::Answered => {
                self.observe_latency(now, latency_us);
                self.observe_failure_rate(now, 0.0);
                self.consecutive_failures = 0;
                self.consecutive_refusals = 0;
                self.ejections = 0;
                self.full_until = now;
            }
            UpstreamOutcome::Refused(CallReason::Draining | CallReason::WrongIncarnation) => {
                self.is_retired = true;
            }
            UpstreamOutcome::Refused(CallReason::Overloaded) => {
                self.observe_failure_rate(now, 1.0);
                self.observe_full(now, rank);
            }
            UpstreamOutcome::Refused(reason) if counts_against_upstream(reason) => {
                self.observe_failure_rate(now, 1.0);
                self.consecutive_refusals += 1;
                if self.consecutive_refusals >= REFUSALS_TO_EJECT {
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
        self.observe_failure_rate(now, 1.0);
        self.consecutive_failures = self.consecutive_failures.saturating_add(count);
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.eject(now, FAILURE_EJECTION, FAILURE_EJECTION_MAX);
        }
    }

    /// Ejects the upstream unless it is ejected already. The counters of failures and refusals keep
    /// their values, so one more failure after the ejection ejects the upstream again.
    fn eject(&mut self, now: Timestamp, first: Duration, max: Duration) {
        if now < self.ejected_until {
            return;
        }
        let time = first.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.ejected_until = now + time.min(max);
    }

    fn observe_latency(&mut self, now: Timestamp, sample_us: f32) {
        let latency = self.latency_us.get_or_insert(sample_us);
        *latency += (sample_us - *latency) * LATENCY_GAIN;
        self.latency_at = now;
    }

    /// Records that an attempt without an answer took at least `bound_us`. Ignored unless this is
    /// above the estimate.
    fn observe_lower_bound(&mut self, now: Timestamp, bound_us: f32) {
        if self.latency_us.is_some_and(|latency| bound_us > latency) {
            self.observe_latency(now, bound_us);
        }
    }

    fn observe_failure_rate(&mut self, now: Timestamp, failed: f32) {
        let decay = decay_factor(now, self.failure_rate_at, FAILURE_RATE_HALF_LIFE_US);
        let rate = self.failure_rate * decay;
        self.failure_rate = rate + (failed - rate) * FAILURE_RATE_GAIN;
        self.failure_rate_at = now;
    }
}

/// Whether a refusal reflects the state of the upstream and not just the request.
fn counts_against_upstream(reason: CallReason) -> bool {
    !matches!(
        reason,
        CallReason::Cancelled
            | CallReason::KeyReused
            | CallReason::KeyFenced
            | CallReason::DepthExceeded
            | CallReason::AnswerGone
            | CallReason::NoRoute
            | CallReason::TooLarge
            | CallReason::Quarantined
            | CallReason::QuotaExceeded
            | CallReason::QuotaUnavailable
            | CallReason::BudgetSpent
            | CallReason::DependencyOverloaded
    )
}

fn decay_factor(now: Timestamp, since: Timestamp, half_life_us: f32) -> f32 {
    (-(now.since(since).as_micros() as f32) / half_life_us).exp2()
}
