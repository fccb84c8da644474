//! Retries and hedges: whether and when a call gets another attempt.
//!
//! [`RetryPolicy`] decides after a failed attempt, [`HedgePolicy`] while a lookup is late. Both
//! draw from one [`RetryBudget`] per service, so that during a widespread failure the extra
//! attempts of a node stay a fixed share of its calls.

mod budget;
mod hedge;
mod pacing;
mod policy;

pub use budget::{BudgetSettings, ExtraCounters, ExtraReason, RetryBudget};
pub use hedge::{HedgeDecision, HedgePolicy, SkipReason};
pub use pacing::ReturnPacing;
pub use policy::{
    AttemptFailure, BudgetScope, CallProgress, GiveUpReason, RetryDecision, RetryPolicy,
    reached_upstream,
};

#[cfg(test)]
mod tests;
