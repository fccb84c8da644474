//! Quarantine of requests that end every upstream that runs them ("query of death").
//!
//! A request is recognised by its [`RequestFingerprint`](crate::core::RequestFingerprint). The node
//! beside an upstream notices its crashes ([`CrashDetector`]) and reports which requests were
//! running then ([`CrashReporter`]), except those that it has seen completed
//! ([`CompletedRequests`]). The leader finds the request that explains the crashes of several
//! upstreams ([`CrashTally`]) and quarantines it with an entry of the log, so that every node
//! refuses it, also after a restart. A node that has seen the request completed objects, and the
//! leader releases it.

mod completed;
mod detector;
mod reporter;
mod suspect;
mod tally;

pub use completed::CompletedRequests;
pub use detector::CrashDetector;
pub use reporter::{CrashReporter, fingerprints_from_wire, fingerprints_to_wire};
pub use suspect::SuspectCall;
pub use tally::{CrashId, CrashTally, QUARANTINE_TIME};

/// Maximum number of suspects of one crash. More than an upstream usually runs at once.
pub const MAX_SUSPECTS: usize = 256;
/// Maximum number of requests that are quarantined at once; above it the oldest is released.
pub const MAX_QUARANTINED: usize = 256;

#[cfg(test)]
mod tests;
