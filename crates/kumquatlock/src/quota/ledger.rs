//! Count of the tokens of one account that count in the current window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::Timestamp;

/// Time by which spent tokens are grouped. They are counted until the end of their group, so that
/// the ledger of an account stays small.
const BUCKET: Duration = Duration::from_millis(50);

/// Tokens that were spent in the last window. Tokens that may still be spent are counted by the
/// owner of the ledger.
#[derive(Clone, Debug, Default)]
pub struct WindowLedger {
    /// Time until which the tokens count, and their number. Sorted by time.
    buckets: VecDeque<(Timestamp, u32)>,
    /// Sum over `buckets`.
    spent: u64,
}

impl WindowLedger {
    /// Counts tokens that were spent at `at` or before.
    pub fn spend(&mut self, at: Timestamp, count: u32, window: Duration) {
        if count == 0 {
            return;
        }
        let width = BUCKET.as_micros() as u64;
        let until = at + window;
        let until = Timestamp(until.0.div_ceil(width) * width);
        self.spent += u64::from(count);
        let position = self.buckets.partition_point(|(end, _)| *end <= until);
        match position.checked_sub(1).map(|last| &mut self.buckets[last]) {
            Some((end, tokens)) if *end == until => *tokens += count,
            _ => self.buckets.insert(position, (until, count)),
        }
    }

    /// Returns the number of tokens spent in the window that ends now.
    pub fn spent(&mut self, now: Timestamp) -> u64 {
        while let Some((end, count)) = self.buckets.front().copied()
            && end <= now
        {
            self.buckets.pop_front();
            self.spent -= u64::from(count);
        }
        self.spent
    }

    /// Removes tokens that were counted but never used. The oldest are removed: if the unused one is
    /// newer, it is counted for longer than necessary, never shorter.
    pub fn refund(&mut self, mut count: u32) {
        while count > 0
            && let Some((_, tokens)) = self.buckets.front_mut()
        {
            let part = (*tokens).min(count);
            *tokens -= part;
            count -= part;
            self.spent -= u64::from(part);
            if *tokens == 0 {
                self.buckets.pop_front();
            }
        }
    }

    /// Returns when the next spent tokens stop counting.
    pub fn next_release(&self) -> Option<Timestamp> {
        self.buckets.front().map(|(end, _)| *end)
    }

    /// Returns whether nothing is counted.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
