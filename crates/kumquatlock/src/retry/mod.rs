//! Whether and when a call gets another attempt.
//!
//! [`RetryPolicy`] decides after a failed attempt, [`HedgePolicy`] while a lookup is late. Both
//! draw from the node's one [`RetryBudget`], so that under a wide failure the extra attempts of a
//! node stay a fixed share of its calls.

mod budget;
mod hedge;
mod policy;

pub use budget::RetryBudget;
pub use hedge::{HedgeDecision, HedgePolicy, HedgeSkip};
pub use policy::{AttemptFailure, CallProgress, GiveUpReason, RetryDecision, RetryPolicy};

#[cfg(test)]
mod tests;
