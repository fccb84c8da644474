//! Timeouts and intervals of a child, which the process that embeds it may shorten.

use std::time::Duration;

use super::{ATTACH_TIMEOUT, MAX_BACKOFF, PARENT_TIMEOUT, PING_INTERVAL};

/// Timeouts and intervals of a child's connection to its parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTiming {
    /// Interval between pings of an attached child.
    pub ping_interval: Duration,
    /// Time without a message from the parent after which the child disconnects.
    pub parent_timeout: Duration,
    /// Timeout for connecting, and again for the answer to `Hello`.
    pub attach_timeout: Duration,
    /// Maximum bound of the jittered delay between connection attempts.
    pub max_backoff: Duration,
}

impl Default for StreamTiming {
    fn default() -> Self {
        StreamTiming {
            ping_interval: PING_INTERVAL,
            parent_timeout: PARENT_TIMEOUT,
            attach_timeout: ATTACH_TIMEOUT,
            max_backoff: MAX_BACKOFF,
        }
    }
}
