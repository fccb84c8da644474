//! The budget of bytes that a process holds for others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

use super::ProcessLimits;

/// Part of the memory that the budget covers, in eighths. The rest is for the configuration, the
/// state of calls, the allocator and the socket buffers.
const BUDGET_EIGHTHS: usize = 3;
/// Part of the budget that large bodies may use, in quarters. The rest lets small requests through
/// while large bodies wait for their end.
const LARGE_QUARTERS: usize = 3;

/// Copies of a request body that are held at once: the received one, and one that is being written
/// to a link or to the upstream.
pub const BODY_COPIES: usize = 2;

/// Whether a body counts as large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldSize {
    /// May use the whole budget.
    Small,
    /// May use the part for large bodies.
    Large,
}

#[derive(Debug)]
struct BudgetState {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
}

/// Bytes that a process may hold for others, and those that it holds. Clones share both.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    state: Arc<BudgetState>,
}

impl MemoryBudget {
    /// Creates the budget of a process.
    pub fn new(limits: ProcessLimits) -> Self {
        let state = BudgetState {
            limit_bytes: limits.memory_bytes / 8 * BUDGET_EIGHTHS,
            held_bytes: AtomicUsize::new(0),
        };
        MemoryBudget {
            state: Arc::new(state),
        }
    }

    /// Returns the number of bytes that may be held.
    pub fn limit_bytes(&self) -> usize {
        self.state.limit_bytes
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.state.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes up to which bodies of a size are admitted.
    pub fn limit_for(&self, size: HoldSize) -> usize {
        match size {
            HoldSize::Small => self.state.limit_bytes,
            HoldSize::Large => self.state.limit_bytes / 4 * LARGE_QUARTERS,
        }
    }

    /// Returns the length of the longest body that the budget admits.
    pub fn longest_body(&self) -> usize {
        self.limit_for(HoldSize::Large) / BODY_COPIES
    }

    /// Whether more bytes are held than the limit. Bytes that have already been received, such as
    /// an upstream's answer, are charged even if this exceeds the limit.
    pub fn is_exceeded(&self) -> bool {
        self.held_bytes() > self.state.limit_bytes
    }

    /// Returns a charge of zero bytes.
    pub fn empty_charge(&self) -> MemoryCharge {
        MemoryCharge {
            state: self.state.clone(),
            bytes: 0,
        }
    }

    /// Charges `bytes`, even beyond the limit.
    pub fn charge(&self, bytes: usize) -> MemoryCharge {
        let mut charge = self.empty_charge();
        charge.resize(bytes);
        charge
    }

    /// Raises `charge` to `bytes` if they fit into the budget. Returns whether they did.
    #[must_use]
    pub fn try_raise(&self, charge: &mut MemoryCharge, bytes: usize, size: HoldSize) -> bool {
        let added = bytes.saturating_sub(charge.bytes);
        let fits = self.held_bytes().saturating_add(added) <= self.limit_for(size);
        if fits {
            charge.resize(bytes.max(charge.bytes));
        }
        fits
    }
}

impl Default for MemoryBudget {
    fn default() -> Self {
        MemoryBudget::new(ProcessLimits::default())
    }
}

/// A part of the budget, which is given back when the charge is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    state: Arc<BudgetState>,
    /// Included in the held bytes of `state`.
    bytes: usize,
}

impl MemoryCharge {
    /// Returns the charged bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns a charge of zero bytes of the same budget.
    pub fn split(&self) -> Self {
        MemoryCharge {
            state: self.state.clone(),
            bytes: 0,
        }
    }

    /// Changes the charge, even beyond the limit.
    pub fn resize(&mut self, bytes: usize) {
        let held = &self.state.held_bytes;
        match bytes >= self.bytes {
            true => held.fetch_add(bytes - self.bytes, Ordering::Relaxed),
            false => held.fetch_sub(self.bytes - bytes, Ordering::Relaxed),
        };
        self.bytes = bytes;
    }

    /// Returns the same content, which keeps the charge until its last clone is dropped.
    pub fn hold(self, content: Bytes) -> Bytes {
        match content.is_empty() {
            true => content,
            false => Bytes::from_owner(ChargedContent {
                content,
                _charge: self,
            }),
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

struct ChargedContent {
    content: Bytes,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
