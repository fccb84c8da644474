//! Requests that one connection to the upstream has carried.
//!
//! An upstream may send a response a second time, late, while the connection carries another
//! request. The value that the upstream repeats in its responses tells two requests apart, but not
//! two attempts of one request. Two attempts of a request therefore never share a connection.

use indexmap::IndexSet;

use crate::core::stable_hash;

/// Maximum number of requests of one connection, which is closed when it reaches it. Bounds the
/// record to a few tens of kilobytes, at the cost of a new connection per 1,024 requests.
pub(super) const MAX_CARRIED_REQUESTS: usize = 1_024;

/// All requests that a connection has carried. None is forgotten while the connection is open: a
/// copy of a response may be late by any time, and an attempt may arrive after the deadline of the
/// one before it.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    /// Digests of the repeated values. Two values with the same digest only cost a connection.
    digests: IndexSet<u64>,
}

impl CarriedRequests {
    /// Whether the connection may carry a request that is identified by `echoed`.
    pub(super) fn accepts(&self, echoed: &str) -> bool {
        !self.digests.contains(&stable_hash(echoed.as_bytes()))
    }

    /// Records a request that the connection carries.
    pub(super) fn record(&mut self, echoed: &str) {
        self.digests.insert(stable_hash(echoed.as_bytes()));
    }

    /// Whether no further request can be recorded.
    pub(super) fn is_full(&self) -> bool {
        self.digests.len() >= MAX_CARRIED_REQUESTS
    }
}
