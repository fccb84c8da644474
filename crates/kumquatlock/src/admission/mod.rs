//! Admission control: decides which calls the destination passes to its upstream, and when.
//!
//! [`AdmissionQueue`] tracks the calls that run on the upstream and a short queue of calls that
//! wait for a slot. [`ConcurrencyLimit`] limits how many calls run at the same time. A call that
//! cannot meet its deadline is refused before it waits, so a refusal proves that the call did not
//! run.
//!
//! The owner of the queue reports events with [`AdmissionQueue::offer`],
//! [`AdmissionQueue::finished`] and [`AdmissionQueue::cancel`]. After each of them, and at
//! [`AdmissionQueue::next_wakeup`], it calls [`AdmissionQueue::poll`] and carries out the returned
//! step, until that is [`QueueStep::Idle`].

mod estimate;
mod lanes;
mod limit;
mod queue;
mod rate;
mod reserve;
mod share;

pub use lanes::{AccountHash, RoutePriority};
pub use limit::{AdmissionLimits, ConcurrencyLimit};
pub use queue::{
    AdmissionDecision, AdmissionQueue, AdmissionTicket, CancelOutcome, QueueStep, ServiceOutcome,
};

#[cfg(test)]
mod tests;
