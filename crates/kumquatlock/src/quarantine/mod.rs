//! Requests that end every upstream that runs them ("query of death").
//!
//! A request is recognised by its [`RequestFingerprint`]. The node beside an upstream notices its
//! crashes ([`CrashDetector`]) and knows which requests were running then.

mod detector;
mod fingerprint;

pub use detector::CrashDetector;
pub use fingerprint::RequestFingerprint;

/// Maximum number of suspects of one crash. More than an upstream usually runs at once.
pub const MAX_SUSPECTS: usize = 256;
