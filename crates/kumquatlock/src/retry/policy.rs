//! Retry decision after a failed attempt.

use std::time::Duration;

use kumquatlock_wire::call::CallReason;
use rand::Rng;
use rand::rngs::SmallRng;

use super::budget::{ExtraReason, RetryBudget};
use crate::core::{RequestClass, Timestamp};

/// Maximum number of attempts of one call, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of attempts of a call inside a call chain, if the first was proved not run. If
/// each level of a chain of 14 made three attempts, the last call would run 3^14 times.
const MAX_INNER_ATTEMPTS: u32 = 2;
/// Maximum number of attempts of a deferred call. With a mean of 30 s between them they last longer
/// than an hour, so that the last ones fall into the time in which admission reserves starts for
/// deferred work.
const MAX_DEFERRED_ATTEMPTS: u32 = 160;

/// Upper bound of the first backoff; the bound doubles with each attempt. The delay is drawn
/// uniformly below it (jitter), so that calls that failed together are not retried together.
const FIRST_BACKOFF: Duration = Duration::from_millis(4);
const MAX_BACKOFF: Duration = Duration::from_millis(250);
const FIRST_DEFERRED_BACKOFF: Duration = Duration::from_secs(1);
const MAX_DEFERRED_BACKOFF: Duration = Duration::from_secs(60);

/// What the entry knows about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The attempt did not run and never will: it was refused or fenced, or no byte was sent.
    NotRun(CallReason),
    /// The attempt may have run.
    Unknown(CallReason),
    /// The upstream answered with a server error. The attempt ran, even if the status is 503,
    /// because that may come from a call further down the chain.
    Failed,
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallProgress {
    /// Request class of the route.
    pub class: RequestClass,
    /// Rank of the route; lower ranks are served first.
    pub rank: u32,
    /// Number of calls above this one in the call chain.
    pub depth: u32,
    /// Number of attempts made so far, including hedges.
    pub attempts: u32,
    /// Number of attempts that may have reached an upstream: all attempts so far, except those that
    /// are known not to have reached one.
    pub arrived: u32,
    /// The route allows no further attempt once `arrived` has reached this number; `None` for no
    /// limit.
    pub max_arrivals: Option<u32>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send another attempt after the delay; its token has been taken.
    Retry {
        /// Time to wait before sending.
        after: Duration,
    },
    /// The budget is spent, but the call can wait: decide again after the delay.
    Postpone {
        /// Time to wait before deciding again.
        after: Duration,
    },
    /// Answer the caller with what is known.
    GiveUp(GiveUpReason),
}

/// Why a call gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum GiveUpReason {
    /// The attempt may have run and the request class does not allow another.
    NotRepeatable,
    /// The refusal depends only on the request, so every upstream would refuse it.
    Final,
    /// The call is inside a call chain; the first level of the chain retries.
    InnerLevel,
    /// The maximum number of attempts is reached.
    AttemptsSpent,
    /// Too little time is left for another attempt.
    DeadlineSpent,
    /// The node's budget is spent.
    BudgetSpent,
}

/// Which attempts draw on the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BudgetScope {
    /// Every further attempt draws on the budget, except one after a refusal by an upstream that is
    /// leaving or has left.
    #[default]
    Attempts,
    /// Only further attempts of calls that may already have reached an upstream draw on the budget.
    /// An attempt that a node refused costs the upstream beside that node nothing.
    Arrivals,
}

/// Decides on retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy {
    /// Which attempts draw on the budget.
    pub scope: BudgetScope,
}

impl RetryPolicy {
    /// Decides after a failed attempt. `expected` is the usual latency of an attempt, or zero if
    /// unknown.
    pub fn after_failure(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        budget: &mut RetryBudget,
        progress: &CallProgress,
        failure: AttemptFailure,
        expected: Duration,
    ) -> RetryDecision {
        if let Some(reason) = give_up_reason(progress, failure) {
            return RetryDecision::GiveUp(reason);
        }
        let after = backoff(rng, progress, failure);
        if now + after + expected >= progress.deadline {
            return RetryDecision::GiveUp(GiveUpReason::DeadlineSpent);
        }
        let cost = match self.scope {
            BudgetScope::Attempts if refused_by_leaving_upstream(failure) => 0.0,
            BudgetScope::Attempts => 1.0,
            BudgetScope::Arrivals if progress.arrived == 0 => 0.0,
            BudgetScope::Arrivals => token_cost(failure),
        };
        let reserve = budget.reserve_for(progress.rank);
        if cost > 0.0 && !budget.try_take(now, ExtraReason::Retry, cost, reserve) {
            return if progress.class == RequestClass::Deferred {
                RetryDecision::Postpone { after }
            } else {
                RetryDecision::GiveUp(GiveUpReason::BudgetSpent)
            };
        }
        RetryDecision::Retry { after }
    }
}

impl RetryPolicy {
    /// Decides whether a call gets another attempt while an earlier one is open at a node that has
    /// stopped answering. If so, the attempt's share of a token has been taken.
    pub fn allows_duplicate(
        &self,
        now: Timestamp,
        budget: &mut RetryBudget,
        progress: &CallProgress,
    ) -> bool {
        let failure = AttemptFailure::Unknown(CallReason::LinkLost);
        let reserve = budget.reserve_for(progress.rank);
        give_up_reason(progress, failure).is_none()
            && budget.try_take(now, ExtraReason::Duplicate, token_cost(failure), reserve)
    }
}

fn give_up_reason(progress: &CallProgress, failure: AttemptFailure) -> Option<GiveUpReason> {
    let proved_not_run = match failure {
        AttemptFailure::NotRun(reason) if is_final(reason) => return Some(GiveUpReason::Final),
        AttemptFailure::NotRun(_) => true,
        AttemptFailure::Unknown(_) | AttemptFailure::Failed => false,
    };
    if !proved_not_run && !progress.class.is_repeatable() {
        return Some(GiveUpReason::NotRepeatable);
    }
    if progress
        .max_arrivals
        .is_some_and(|max| progress.arrived >= max)
    {
        return Some(GiveUpReason::AttemptsSpent);
    }
    let inner = progress.depth > 0;
    if inner && !proved_not_run {
        return Some(GiveUpReason::InnerLevel);
    }
    let max_attempts = match progress.class {
        _ if inner => MAX_INNER_ATTEMPTS,
        RequestClass::Deferred => MAX_DEFERRED_ATTEMPTS,
        _ => MAX_ATTEMPTS,
    };
    (progress.attempts >= max_attempts).then_some(GiveUpReason::AttemptsSpent)
}

/// Whether every other upstream would refuse the call for the same reason.
fn is_final(reason: CallReason) -> bool {
    matches!(
        reason,
        CallReason::Cancelled
            | CallReason::KeyReused
            | CallReason::KeyFenced
            | CallReason::DepthExceeded
            | CallReason::AnswerGone
            | CallReason::NoUpstream
            | CallReason::NoRoute
            | CallReason::TooLarge
            | CallReason::Quarantined
            | CallReason::QuotaExceeded
            | CallReason::QuotaUnavailable
            | CallReason::DependencyOverloaded
    )
}

/// Whether an attempt that did not run for this reason may have reached the upstream.
pub fn reached_upstream(reason: CallReason) -> bool {
    reason == CallReason::UpstreamRefused
}

/// Whether the attempt was refused because the upstream is leaving or has left. Each entry gets
/// such a refusal once, regardless of the load, so the retry is not a sign of overload and is
/// always allowed. Otherwise a restart under load would lose calls.
fn refused_by_leaving_upstream(failure: AttemptFailure) -> bool {
    matches!(
        failure,
        AttemptFailure::NotRun(CallReason::Draining | CallReason::WrongIncarnation)
    )
}

/// Returns the cost in tokens of a further attempt of a call that may already have reached an
/// upstream. A node that went silent has most likely not passed the call on, so the attempt costs
/// only a fraction.
fn token_cost(failure: AttemptFailure) -> f64 {
    match failure {
        AttemptFailure::Unknown(CallReason::LinkLost) => 0.25,
        _ => 1.0,
    }
}

fn backoff(rng: &mut SmallRng, progress: &CallProgress, failure: AttemptFailure) -> Duration {
    if refused_by_leaving_upstream(failure) {
        return Duration::ZERO;
    }
    let (first, longest) = if progress.class == RequestClass::Deferred {
        (FIRST_DEFERRED_BACKOFF, MAX_DEFERRED_BACKOFF)
    } else {
        (FIRST_BACKOFF, MAX_BACKOFF)
    };
    let doublings = progress.attempts.saturating_sub(1).min(16);
    let bound = first.saturating_mul(1 << doublings).min(longest);
    bound.mul_f32(rng.random::<f32>())
}
