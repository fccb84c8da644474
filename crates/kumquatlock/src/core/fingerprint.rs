//! Recognition of a request that comes again.

use std::fmt;

use super::stable_hash;

/// Identifies requests that an upstream can't tell apart: of the same service of origin, to the
/// same host, with the same method, target and body. Two different requests have the same
/// fingerprint with a probability of about 10^-19.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint. `digest` covers method, target and body.
    pub fn new(origin: &str, host: &str, digest: u64) -> Self {
        let digest = digest.to_le_bytes();
        let parts = [origin.as_bytes(), host.as_bytes(), &digest];
        RequestFingerprint(stable_hash(&parts.join(&0)))
    }

    /// Returns the fingerprint in a message; `None` if the sender, of an earlier release, stated
    /// none.
    pub fn from_wire(value: u64) -> Option<Self> {
        (value != 0).then_some(RequestFingerprint(value))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
