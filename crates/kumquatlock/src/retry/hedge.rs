//! Hedged requests: second attempts for late lookups.

use std::time::Duration;

use super::budget::{ExtraReason, RetryBudget};
use super::policy::CallProgress;
use crate::core::{RequestClass, Timestamp};

/// Minimum number of samples before a percentile is used.
const MIN_SAMPLES: u32 = 20;
/// Number of samples at which all counts are halved, so that older samples lose weight.
const MAX_SAMPLES: u32 = 2_000;
/// Percentile of the latency after which a lookup is hedged.
const HEDGE_DELAY_PERCENTILE: u32 = 95;
/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f32 = 4.0;
/// Number of buckets, from 1 µs to about 16 s.
const BUCKET_COUNT: usize = 96;
/// Tokens that hedges leave for retries, because a retry follows a known failure.
const RETRY_RESERVE_TOKENS: f64 = 5.0;

/// Decision on a late lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send a second attempt to another upstream; its token has been taken.
    Send,
    /// Keep waiting for the first attempt.
    Skip(SkipReason),
}

/// Why no second attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SkipReason {
    /// Only lookups at the first level of a call chain are hedged.
    NotHedged,
    /// The call already had a second attempt.
    AlreadyRetried,
    /// Less time is left than an attempt usually takes.
    DeadlineSpent,
    /// The node's budget has no token to spare.
    BudgetSpent,
}

/// Hedges the lookups of one service after the observed 95th percentile of the latency.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    /// Histogram of the latencies in logarithmic buckets.
    counts: [u32; BUCKET_COUNT],
    /// Sum of `counts`.
    samples: u32,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        HedgePolicy {
            counts: [0; BUCKET_COUNT],
            samples: 0,
        }
    }
}

impl HedgePolicy {
    /// Records the latency of an answered attempt.
    pub fn observe(&mut self, latency: Duration) {
        let doublings = (latency.as_micros().max(1) as f32).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.samples += 1;
        if self.samples >= MAX_SAMPLES {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.samples = self.counts.iter().sum();
        }
    }

    /// Returns how long to wait for the first attempt of a call before [`HedgePolicy::decide`], or
    /// `None` if the call is not hedged.
    pub fn delay(&self, progress: &CallProgress) -> Option<Duration> {
        if !is_hedgeable(progress) || self.samples < MIN_SAMPLES {
            return None;
        }
        Some(self.percentile(HEDGE_DELAY_PERCENTILE))
    }

    /// Returns the median latency of an attempt, or zero if there are too few samples.
    pub fn expected_latency(&self) -> Duration {
        if self.samples < MIN_SAMPLES {
            return Duration::ZERO;
        }
        self.percentile(50)
    }

    /// Decides on a second attempt after the delay has passed without an answer.
    pub fn decide(
        &self,
        now: Timestamp,
        budget: &mut RetryBudget,
        progress: &CallProgress,
    ) -> HedgeDecision {
        if !is_hedgeable(progress) {
            HedgeDecision::Skip(SkipReason::NotHedged)
        } else if progress.attempts > 1 {
            HedgeDecision::Skip(SkipReason::AlreadyRetried)
        } else if now + self.expected_latency() >= progress.deadline {
            HedgeDecision::Skip(SkipReason::DeadlineSpent)
        } else if !budget.try_take(now, ExtraReason::Hedge, 1.0, RETRY_RESERVE_TOKENS) {
            HedgeDecision::Skip(SkipReason::BudgetSpent)
        } else {
            HedgeDecision::Send
        }
    }

    /// Returns the upper bound of the bucket that contains the percentile.
    fn percentile(&self, percent: u32) -> Duration {
        let rank = (self.samples * percent).div_ceil(100);
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        let upper = (bucket.unwrap_or(BUCKET_COUNT - 1) + 1) as f32 / BUCKETS_PER_DOUBLING;
        Duration::from_micros(upper.exp2() as u64)
    }
}

fn is_hedgeable(progress: &CallProgress) -> bool {
    progress.class == RequestClass::Lookup && progress.depth == 0
}
