//! Decision after a failed attempt.

use std::time::Duration;

use kumquatlock_wire::call::CallReason;
use rand::Rng;
use rand::rngs::SmallRng;

use super::budget::RetryBudget;
use crate::core::{RequestClass, Timestamp};

/// Attempts of one call, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Attempts of a call inside a chain, if the first was proved not run. A chain of 14 in which
/// each level tried three times would run its last call 3^14 times.
const MAX_INNER_ATTEMPTS: u32 = 2;
/// Attempts of a deferred call. At a mean of 30 s between them they outlast an hour, so that the
/// last ones fall into the time in which admission reserves starts for them.
const MAX_DEFERRED_ATTEMPTS: u32 = 160;

/// Upper bound of the first backoff; doubles with each attempt. The delay is drawn evenly below
/// the bound, so that calls that failed together do not return together.
const BACKOFF: Duration = Duration::from_millis(4);
const BACKOFF_MAX: Duration = Duration::from_millis(250);
const DEFERRED_BACKOFF: Duration = Duration::from_secs(1);
const DEFERRED_BACKOFF_MAX: Duration = Duration::from_secs(60);

/// What the entry knows of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The attempt did not run and never will: refused, fenced, or no byte was sent.
    NotRun(CallReason),
    /// The attempt may have run.
    Unknown(CallReason),
    /// The upstream answered with a server failure. It ran, even if it answered 503: the status
    /// may stem from a call further down the chain.
    Failed,
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallProgress {
    /// Class of the route.
    pub class: RequestClass,
    /// Calls above this one in the chain.
    pub depth: u32,
    /// Attempts made so far, hedges included.
    pub attempts: u32,
    /// Attempts of which it is not proved that they never reached an upstream.
    pub arrived: u32,
    /// Most upstreams that the route allows for one call.
    pub max_arrivals: Option<u32>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send another attempt after the delay; its token is taken.
    Retry {
        /// Time to wait before sending.
        after: Duration,
    },
    /// The budget is spent but the call can wait: ask again after the delay.
    Postpone {
        /// Time to wait before asking.
        after: Duration,
    },
    /// Answer the caller with what is known.
    GiveUp(GiveUpReason),
}

/// Why a call gets no other attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum GiveUpReason {
    /// The attempt may have run and the class does not allow another.
    NotRepeatable,
    /// The refusal follows from the request and would be the same everywhere.
    Final,
    /// The call is inside a chain, whose first level retries.
    InnerLevel,
    /// The bound of attempts is reached.
    AttemptsSpent,
    /// Too little time is left for another attempt.
    DeadlineSpent,
    /// The node's budget is spent.
    BudgetSpent,
}

/// Which attempts draw on the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BudgetScope {
    /// Every further attempt but those after a leave.
    #[default]
    Attempts,
    /// Further attempts of calls of which an earlier one may have reached an upstream. A refusal
    /// by a node costs its upstream nothing.
    Arrivals,
}

/// Decides on retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy {
    /// Which attempts draw on the budget.
    pub scope: BudgetScope,
}

impl RetryPolicy {
    /// Decides after a failed attempt. `expected` is the usual time of an attempt, zero if
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
        if let Some(reason) = rule_out(progress, failure) {
            return RetryDecision::GiveUp(reason);
        }
        let after = backoff(rng, progress, failure);
        if now + after + expected >= progress.deadline {
            return RetryDecision::GiveUp(GiveUpReason::DeadlineSpent);
        }
        let cost = match self.scope {
            BudgetScope::Attempts if left_service(failure) => 0.0,
            BudgetScope::Attempts => 1.0,
            BudgetScope::Arrivals if progress.arrived == 0 => 0.0,
            BudgetScope::Arrivals => arrival_cost(failure),
        };
        if cost > 0.0 && !budget.try_take_fraction(now, cost, 0.0) {
            return if progress.class == RequestClass::Deferred {
                RetryDecision::Postpone { after }
            } else {
                RetryDecision::GiveUp(GiveUpReason::BudgetSpent)
            };
        }
        RetryDecision::Retry { after }
    }
}

fn rule_out(progress: &CallProgress, failure: AttemptFailure) -> Option<GiveUpReason> {
    let proved = match failure {
        AttemptFailure::NotRun(reason) if is_final(reason) => return Some(GiveUpReason::Final),
        AttemptFailure::NotRun(_) => true,
        AttemptFailure::Unknown(_) | AttemptFailure::Failed => false,
    };
    if !proved && !progress.class.is_repeatable() {
        return Some(GiveUpReason::NotRepeatable);
    }
    if progress
        .max_arrivals
        .is_some_and(|most| progress.arrived >= most)
    {
        return Some(GiveUpReason::AttemptsSpent);
    }
    let inner = progress.depth > 0;
    if inner && !proved {
        return Some(GiveUpReason::InnerLevel);
    }
    let most = match progress.class {
        _ if inner => MAX_INNER_ATTEMPTS,
        RequestClass::Deferred => MAX_DEFERRED_ATTEMPTS,
        _ => MAX_ATTEMPTS,
    };
    (progress.attempts >= most).then_some(GiveUpReason::AttemptsSpent)
}

/// Refusals that another upstream would repeat.
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
    )
}

/// Whether an attempt that did not run for this reason may have reached the upstream.
pub fn reached_upstream(reason: CallReason) -> bool {
    reason == CallReason::UpstreamRefused
}

/// An upstream that left refuses each entry once, whatever the load, so the retry is not a sign
/// of overload and always allowed. Otherwise a restart under load would lose calls.
fn left_service(failure: AttemptFailure) -> bool {
    matches!(
        failure,
        AttemptFailure::NotRun(CallReason::Draining | CallReason::WrongIncarnation)
    )
}

/// Tokens for a further attempt of a call of which an earlier one may have reached an upstream. A node
/// that has gone silent has most likely not passed the call on.
fn arrival_cost(failure: AttemptFailure) -> f64 {
    match failure {
        AttemptFailure::Unknown(CallReason::LinkLost) => 0.25,
        _ => 1.0,
    }
}

fn backoff(rng: &mut SmallRng, progress: &CallProgress, failure: AttemptFailure) -> Duration {
    if left_service(failure) {
        return Duration::ZERO;
    }
    let (first, longest) = if progress.class == RequestClass::Deferred {
        (DEFERRED_BACKOFF, DEFERRED_BACKOFF_MAX)
    } else {
        (BACKOFF, BACKOFF_MAX)
    };
    let doublings = progress.attempts.saturating_sub(1).min(16);
    let bound = first.saturating_mul(1 << doublings).min(longest);
    bound.mul_f32(rng.random::<f32>())
}
