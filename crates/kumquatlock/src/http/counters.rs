//! Counters and log lines of refused requests and closed connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::EnumCount;

use super::refusal::RequestRefusal;
use crate::core::Timestamp;
use crate::util::log_quota::{LogQuota, QuotaStep};

/// Maximum number of log lines per second. A crowd of callers is refused thousands of times.
const LOG_LINES_PER_SECOND: u64 = 5;

/// Reason for closing a connection of a caller before its end.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum CloseReason {
    /// The caller does not read its responses while memory is short.
    UnreadResponse,
    /// It was idle while all connections were in use.
    Idle,
    /// All connections are in use by requests in progress.
    NoDescriptor,
}

/// Number of refused requests and closed connections of one process.
#[derive(Debug, Default)]
pub struct RefusalCounters {
    refused: [AtomicU64; RequestRefusal::COUNT],
    closed: [AtomicU64; CloseReason::COUNT],
}

impl RefusalCounters {
    /// Returns the number of requests that were refused for a reason before they were complete.
    pub fn refused(&self, reason: RequestRefusal) -> u64 {
        self.refused[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were closed for a reason.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.closed[reason as usize].load(Ordering::Relaxed)
    }
}

/// Counts and logs refused requests and closed connections.
#[derive(Debug)]
pub(super) struct RefusalRecorder {
    counters: Arc<RefusalCounters>,
    quota: LogQuota,
}

impl RefusalRecorder {
    pub(super) fn new(counters: Arc<RefusalCounters>) -> Self {
        RefusalRecorder {
            counters,
            quota: LogQuota::new(LOG_LINES_PER_SECOND),
        }
    }

    pub(super) fn count_refusal(&mut self, now: Timestamp, reason: RequestRefusal) {
        self.counters.refused[reason as usize].fetch_add(1, Ordering::Relaxed);
        if let QuotaStep::Write { left_out } = self.quota.take(now) {
            log::info!(reason:% = reason, left_out; "request_refused");
        }
    }

    pub(super) fn count_close(&mut self, now: Timestamp, reason: CloseReason) {
        self.counters.closed[reason as usize].fetch_add(1, Ordering::Relaxed);
        if let QuotaStep::Write { left_out } = self.quota.take(now) {
            log::info!(reason:% = reason, left_out; "connection_dropped");
        }
    }
}
