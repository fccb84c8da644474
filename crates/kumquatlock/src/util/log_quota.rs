//! A bound on the lines that decisions about single requests write.

use crate::core::Timestamp;

/// Lines that may be written at once after a quiet time, in seconds of the rate.
const BURST_SECONDS: u64 = 2;

/// Bounds the lines of one kind per second. What is left out is counted and told with the next line
/// that is written, so a reader knows that lines are missing and how many.
#[derive(Debug)]
pub struct LogQuota {
    per_second: u64,
    /// Millionths of a line; at most `BURST_SECONDS` of the rate.
    credit: u64,
    updated_at: Timestamp,
    left_out: u64,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaStep {
    /// Write it; so many were left out since the last one.
    Write {
        /// Lines left out.
        left_out: u64,
    },
    /// Leave it out.
    LeaveOut,
}

impl LogQuota {
    /// A quota that is full.
    pub fn new(per_second: u64) -> Self {
        LogQuota {
            per_second,
            credit: per_second * BURST_SECONDS * 1_000_000,
            updated_at: Timestamp::default(),
            left_out: 0,
        }
    }

    /// Decides on one line.
    pub fn take(&mut self, now: Timestamp) -> QuotaStep {
        let elapsed = now.since(self.updated_at).as_micros() as u64;
        self.updated_at = self.updated_at.max(now);
        let most = self.per_second * BURST_SECONDS * 1_000_000;
        self.credit = most.min(
            self.credit
                .saturating_add(elapsed.saturating_mul(self.per_second)),
        );
        if self.credit < 1_000_000 {
            self.left_out += 1;
            return QuotaStep::LeaveOut;
        }
        self.credit -= 1_000_000;
        let left_out = std::mem::take(&mut self.left_out);
        QuotaStep::Write { left_out }
    }
}
