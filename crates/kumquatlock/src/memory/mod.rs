//! Memory that one process holds for others: callers, upstreams and other nodes.
//!
//! All buffers with bytes from outside the process draw on one [`MemoryBudget`]. The owners of the
//! buffers decide whom to stop, refuse or disconnect when the budget is used up; see
//! `docs/design/memory.md`.

mod allocator;
mod budget;
mod settings;

pub(crate) use allocator::{MemoryRelease, return_large_buffers};
pub use budget::{BODY_COPIES, HoldSize, MemoryBudget, MemoryCharge};
pub use settings::{MAX_DESCRIPTORS, MEMORY, ProcessLimits};

#[cfg(test)]
mod tests;
