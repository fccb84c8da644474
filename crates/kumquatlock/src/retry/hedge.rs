//! Second attempts for late lookups.

use std::time::Duration;

use super::budget::RetryBudget;
use super::policy::CallProgress;
use crate::core::{RequestClass, Timestamp};

/// Samples before the quantile is trusted.
const MIN_SAMPLES: u32 = 20;
/// Samples at which all counts are halved, so that older ones fade.
const MAX_SAMPLES: u32 = 2_000;
/// Share of the samples that are faster than the hedge delay, in percent.
const HEDGE_PERCENT: u32 = 95;
/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f32 = 4.0;
/// Buckets from 1 µs to about 16 s.
const BUCKETS: usize = 96;
/// Tokens that hedges leave to retries, which follow a known failure.
const RETRY_RESERVE: f64 = 5.0;

/// What to do with a late lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send a second attempt to another upstream; its token is taken.
    Send,
    /// Keep waiting for the first.
    Skip(SkipReason),
}

/// Why no second attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SkipReason {
    /// Only lookups at the first level of a chain are hedged.
    NotHedged,
    /// The call has had a second attempt.
    AlreadyRetried,
    /// Less time is left than an attempt usually takes.
    DeadlineSpent,
    /// The node's budget is spent.
    BudgetSpent,
}

/// Hedges the lookups of one service after the observed p95 latency.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    /// Latencies in logarithmic buckets.
    counts: [u32; BUCKETS],
    /// Sum of `counts`.
    samples: u32,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        HedgePolicy {
            counts: [0; BUCKETS],
            samples: 0,
        }
    }
}

impl HedgePolicy {
    /// Records how long an answered attempt took.
    pub fn observe(&mut self, latency: Duration) {
        let doublings = (latency.as_micros().max(1) as f32).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.samples += 1;
        if self.samples >= MAX_SAMPLES {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.samples = self.counts.iter().sum();
        }
    }

    /// How long to wait for the first attempt of a call before [`HedgePolicy::decide`]; none if
    /// the call is not hedged.
    pub fn delay(&self, progress: &CallProgress) -> Option<Duration> {
        if !is_hedged(progress) || self.samples < MIN_SAMPLES {
            return None;
        }
        Some(self.quantile(HEDGE_PERCENT))
    }

    /// Usual time of an attempt: the median, zero before enough samples.
    pub fn expected_latency(&self) -> Duration {
        if self.samples < MIN_SAMPLES {
            return Duration::ZERO;
        }
        self.quantile(50)
    }

    /// Decides on a second attempt when the delay has passed without an answer.
    pub fn decide(
        &self,
        now: Timestamp,
        budget: &mut RetryBudget,
        progress: &CallProgress,
    ) -> HedgeDecision {
        if !is_hedged(progress) {
            HedgeDecision::Skip(SkipReason::NotHedged)
        } else if progress.attempts > 1 {
            HedgeDecision::Skip(SkipReason::AlreadyRetried)
        } else if now + self.expected_latency() >= progress.deadline {
            HedgeDecision::Skip(SkipReason::DeadlineSpent)
        } else if !budget.try_take(now, RETRY_RESERVE) {
            HedgeDecision::Skip(SkipReason::BudgetSpent)
        } else {
            HedgeDecision::Send
        }
    }

    /// Upper bound of the bucket that holds the quantile.
    fn quantile(&self, percent: u32) -> Duration {
        let rank = (self.samples * percent).div_ceil(100);
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        let upper = (bucket.unwrap_or(BUCKETS - 1) + 1) as f32 / BUCKETS_PER_DOUBLING;
        Duration::from_micros(upper.exp2() as u64)
    }
}

fn is_hedged(progress: &CallProgress) -> bool {
    progress.class == RequestClass::Lookup && progress.depth == 0
}
