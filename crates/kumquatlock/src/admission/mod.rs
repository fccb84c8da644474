//! Which calls the destination passes to its upstream, and when.
//!
//! [`AdmissionQueue`] holds the calls that run on the upstream and a short queue of calls that
//! wait for a slot. [`ConcurrencyLimit`] decides how many may run at once. Work that cannot meet
//! its deadline is refused before it waits, so every refusal is a proof that the call did not
//! run.
//!
//! The owner feeds the queue with [`AdmissionQueue::offer`], [`AdmissionQueue::finished`] and
//! [`AdmissionQueue::cancel`], and after each of them, and at [`AdmissionQueue::next_wakeup`],
//! carries out the steps of [`AdmissionQueue::poll`] until it returns [`QueueStep::Idle`].

mod estimate;
mod lanes;
mod limit;
mod queue;

pub use lanes::RoutePriority;
pub use limit::{AdmissionLimits, ConcurrencyLimit};
pub use queue::{
    AdmissionDecision, AdmissionQueue, AdmissionTicket, CancelOutcome, QueueStep, ServiceOutcome,
};

#[cfg(test)]
mod tests;
