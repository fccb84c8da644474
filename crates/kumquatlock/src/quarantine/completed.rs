//! Requests that an upstream has completed.

use indexmap::IndexSet;

use crate::core::RequestFingerprint;

/// Number of fingerprints in each of the two generations.
const GENERATION_SIZE: usize = 2_048;

/// The requests that the upstream beside this node completed lately. A completed request does not
/// end upstreams.
///
/// Holds the last [`GENERATION_SIZE`] to twice as many fingerprints.
#[derive(Clone, Debug, Default)]
pub struct CompletedRequests {
    current: IndexSet<RequestFingerprint>,
    previous: IndexSet<RequestFingerprint>,
}

impl CompletedRequests {
    /// Records a completed request.
    pub fn insert(&mut self, fingerprint: RequestFingerprint) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint);
    }

    /// Whether such a request was completed lately.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }
}
