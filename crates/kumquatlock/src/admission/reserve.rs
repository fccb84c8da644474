//! Slots that are kept for nested calls.

use std::time::Duration;

use crate::core::Timestamp;

/// Time for which slots are kept after the last nested call that needed them. Longer than the pauses
/// between such calls on a busy service, and short enough that a service whose callers have changed
/// soon uses all slots again.
const KEEP_TIME: Duration = Duration::from_secs(2);
/// For each further level of calls, one in this many slots is kept, at least one.
const SLOTS_PER_KEPT_SLOT: u32 = 8;
/// At most one in this many slots is kept for all levels together.
const MIN_SLOTS_PER_KEPT_SLOT: u32 = 2;

/// Slots of the upstream that calls at a low depth may not take. If runs of two services call each
/// other, each depth needs slots that lower depths can't take: the deepest calls wait for no others,
/// so they end, and after them those above.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NestedReserve {
    /// Highest depth of the nested calls seen in the keep time.
    max_depth: u32,
    until: Timestamp,
}

impl NestedReserve {
    /// Records a nested call of this depth that needs kept slots.
    pub(super) fn observe(&mut self, now: Timestamp, depth: u32) {
        if now >= self.until {
            self.max_depth = 0;
        }
        if depth >= self.max_depth {
            self.max_depth = depth;
            self.until = now + KEEP_TIME;
        }
    }

    /// Returns the number of slots that a call of this depth may not take; less than `limit`.
    pub(super) fn kept_slots(&self, now: Timestamp, limit: u32, depth: u32) -> u32 {
        if now >= self.until {
            return 0;
        }
        let levels = self.max_depth.saturating_sub(depth);
        let kept = levels.saturating_mul((limit / SLOTS_PER_KEPT_SLOT).max(1));
        kept.min(limit / MIN_SLOTS_PER_KEPT_SLOT)
    }
}
