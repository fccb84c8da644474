//! Rate limit for log lines that are written per request.

use crate::core::Timestamp;

/// Burst that is allowed after a quiet time, in seconds at the full rate.
const BURST_SECONDS: u64 = 2;

/// Token bucket that limits the log lines of one kind per second. The number of lines left out is
/// reported with the next line that is written, so that a reader knows how many are missing.
#[derive(Debug)]
pub struct LogQuota {
    per_second: u64,
    /// Available tokens in millionths of a line; at most `BURST_SECONDS` at the full rate.
    micro_tokens: u64,
    updated_at: Timestamp,
    left_out: u64,
}

/// Decision on one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaStep {
    /// Write the line.
    Write {
        /// Number of lines left out since the last line that was written.
        left_out: u64,
    },
    /// Leave the line out.
    LeaveOut,
}

impl LogQuota {
    /// Creates a quota with a full bucket.
    pub fn new(per_second: u64) -> Self {
        LogQuota {
            per_second,
            micro_tokens: per_second * BURST_SECONDS * 1_000_000,
            updated_at: Timestamp::default(),
            left_out: 0,
        }
    }

    /// Decides whether one line is written.
    pub fn take(&mut self, now: Timestamp) -> QuotaStep {
        let elapsed = now.since(self.updated_at).as_micros() as u64;
        self.updated_at = self.updated_at.max(now);
        let max_micro_tokens = self.per_second * BURST_SECONDS * 1_000_000;
        self.micro_tokens = max_micro_tokens.min(
            self.micro_tokens
                .saturating_add(elapsed.saturating_mul(self.per_second)),
        );
        if self.micro_tokens < 1_000_000 {
            self.left_out += 1;
            return QuotaStep::LeaveOut;
        }
        self.micro_tokens -= 1_000_000;
        let left_out = std::mem::take(&mut self.left_out);
        QuotaStep::Write { left_out }
    }
}
