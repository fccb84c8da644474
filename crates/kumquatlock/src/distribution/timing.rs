//! Times of a child, which its environment may shorten.

use std::time::Duration;

use super::{ATTACH_TIMEOUT, MAX_BACKOFF, PARENT_TIMEOUT, PING_INTERVAL};

/// When a parent counts as silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTiming {
    /// Interval between pings of an attached child.
    pub ping_interval: Duration,
    /// Silence after which the child leaves its parent.
    pub parent_timeout: Duration,
    /// Time for a connection and its greeting.
    pub attach_timeout: Duration,
    /// Last bound of the jittered delay between connection attempts.
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
