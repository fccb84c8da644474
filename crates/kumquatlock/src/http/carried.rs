//! Requests that one connection to the upstream has carried.
//!
//! An upstream may send a response a second time, late, while the connection carries another
//! request. The value that the upstream repeats in its responses tells two requests apart, but not
//! two attempts of one request. Two attempts of a request therefore never share a connection.

use indexmap::IndexMap;

use crate::core::{Timestamp, stable_hash};

/// Maximum number of requests that are kept for one connection. A connection that reaches it is
/// closed, so this bounds the memory of a connection and not the protection.
pub(super) const MAX_CARRIED_REQUESTS: usize = 256;

/// The requests of one connection whose next attempt may still come.
#[derive(Debug, Default)]
pub(super) struct CarriedRequests {
    /// When the caller of each request gives up, by the digest of the repeated value. A request has
    /// no further attempt after that. Two values with the same digest only cost a connection.
    deadlines: IndexMap<u64, Timestamp>,
}

impl CarriedRequests {
    /// Whether the connection may carry a request that is identified by `echoed`.
    pub(super) fn accepts(&self, now: Timestamp, echoed: &str) -> bool {
        let digest = stable_hash(echoed.as_bytes());
        let deadline = self.deadlines.get(&digest);
        deadline.is_none_or(|deadline| now >= *deadline)
    }

    /// Records a request that the connection carries, and forgets those that have no further
    /// attempt.
    pub(super) fn record(&mut self, now: Timestamp, echoed: &str, deadline: Timestamp) {
        self.deadlines.retain(|_, deadline| now < *deadline);
        let digest = stable_hash(echoed.as_bytes());
        self.deadlines.insert(digest, deadline);
    }

    /// Whether no further request can be recorded.
    pub(super) fn is_full(&self) -> bool {
        self.deadlines.len() >= MAX_CARRIED_REQUESTS
    }
}
