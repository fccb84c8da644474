//! Tokens that expire.

use std::collections::VecDeque;

use crate::core::Timestamp;

/// Tokens of one account, each with its expiry.
#[derive(Clone, Debug, Default)]
pub struct HeldTokens {
    /// Sorted by expiry, the earliest first.
    batches: VecDeque<(Timestamp, u32)>,
    /// Sum over `batches`.
    count: u32,
}

impl HeldTokens {
    /// Returns the number of tokens, without regard to their expiry.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds tokens.
    pub fn add(&mut self, expires_at: Timestamp, count: u32) {
        if count == 0 {
            return;
        }
        self.count += count;
        let position = self.batches.partition_point(|(at, _)| *at <= expires_at);
        match position.checked_sub(1).map(|last| &mut self.batches[last]) {
            Some((at, tokens)) if *at == expires_at => *tokens += count,
            _ => self.batches.insert(position, (expires_at, count)),
        }
    }

    /// Adds all tokens of `other`.
    pub fn merge(&mut self, other: HeldTokens) {
        for (expires_at, count) in other.batches {
            self.add(expires_at, count);
        }
    }

    /// Removes up to `count` tokens, those that expire first, and returns them.
    pub fn take(&mut self, count: u32) -> HeldTokens {
        let mut taken = HeldTokens::default();
        while taken.count < count
            && let Some((expires_at, tokens)) = self.batches.front_mut()
        {
            let part = (*tokens).min(count - taken.count);
            taken.batches.push_back((*expires_at, part));
            taken.count += part;
            *tokens -= part;
            self.count -= part;
            if *tokens == 0 {
                self.batches.pop_front();
            }
        }
        taken
    }

    /// Removes the tokens that have expired and returns them.
    pub fn take_expired(&mut self, now: Timestamp) -> HeldTokens {
        let mut expired = HeldTokens::default();
        while let Some((expires_at, count)) = self.batches.front().copied()
            && expires_at <= now
        {
            self.batches.pop_front();
            self.count -= count;
            expired.batches.push_back((expires_at, count));
            expired.count += count;
        }
        expired
    }

    /// Returns the batches, the earliest expiry first.
    pub fn batches(&self) -> impl Iterator<Item = (Timestamp, u32)> + '_ {
        self.batches.iter().copied()
    }
}
