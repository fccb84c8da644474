//! Times of a child, which its environment may shorten.

use std::time::Duration;

use super::{ATTACH_TIMEOUT, BACKOFF_LAST, PARENT_SILENCE, PING_INTERVAL};

/// When a parent counts as silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTiming {
    /// Interval between pings of an attached child.
    pub ping_interval: Duration,
    /// Silence after which the child leaves its parent.
    pub parent_silence: Duration,
    /// Time for a connection and its greeting.
    pub attach_timeout: Duration,
    /// Last bound of the jittered delay between connection attempts.
    pub backoff_last: Duration,
}

impl Default for StreamTiming {
    fn default() -> Self {
        StreamTiming {
            ping_interval: PING_INTERVAL,
            parent_silence: PARENT_SILENCE,
            attach_timeout: ATTACH_TIMEOUT,
            backoff_last: BACKOFF_LAST,
        }
    }
}
