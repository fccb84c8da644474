//! A request that was running when an upstream crashed.

use kumquatlock_wire::call::CallRequest;
use kumquatlock_wire::quarantine::CrashSuspect;

use crate::core::{RequestFingerprint, stable_hash};

/// A request that was running when an upstream crashed, and the call that it belonged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SuspectCall {
    /// Identifies the request when it comes again.
    pub fingerprint: RequestFingerprint,
    /// Hash of the name of the entry node.
    pub entry: u64,
    /// Number of the call at the entry node.
    pub call_id: u64,
}

impl SuspectCall {
    /// Returns the suspect for a call; `None` if the entry node, of an earlier release, stated no
    /// fingerprint.
    pub fn of_request(request: &CallRequest) -> Option<Self> {
        Some(SuspectCall {
            fingerprint: RequestFingerprint::from_wire(request.fingerprint)?,
            entry: stable_hash(request.id.entry.as_bytes()),
            call_id: request.id.call_id,
        })
    }

    /// Converts the suspect from a message.
    pub fn from_wire(suspect: &CrashSuspect) -> Option<Self> {
        Some(SuspectCall {
            fingerprint: RequestFingerprint::from_wire(suspect.fingerprint)?,
            entry: suspect.entry,
            call_id: suspect.call_id,
        })
    }

    /// Converts the suspect for a message.
    pub fn to_wire(self) -> CrashSuspect {
        CrashSuspect {
            fingerprint: self.fingerprint.0,
            entry: self.entry,
            call_id: self.call_id,
        }
    }
}
