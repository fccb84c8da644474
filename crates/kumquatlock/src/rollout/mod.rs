//! Rollouts of new versions of a service.
//!
//! An operator orders that the requests of a service move to upstreams of another version. The
//! orders and their phases are part of the replicated catalog ([`RolloutTable`]). Entry nodes send
//! a small share of the requests to the new version ([`CanaryShare`]); the nodes beside the
//! upstreams count how the requests end ([`EvidenceRecorder`]); the leader compares the versions
//! ([`RolloutJudge`]) and moves each rollout on ([`RolloutDirector`]).

mod director;
mod evidence;
mod judge;
mod share;
mod table;

pub use kumquatlock_wire::rollout::RolloutOrder;

pub use director::{DirectorInput, RolloutDecision, RolloutDirector};
pub use evidence::{EvidenceKind, EvidenceRecorder, LATENCY_BUCKETS, latency_bucket};
pub use judge::{FaultKind, JudgeVerdict, RolloutJudge, TestSummary};
pub use share::{CanaryShare, pick_canaries};
pub use table::{AdvanceOutcome, OrderDecision, OrderFault, RolloutTable};

/// Share of the requests of a service that entry nodes send to a version on trial. Operators are
/// promised at most a tenth; the rest is for what nodes repeat or forget when they restart.
pub const CANARY_SHARE: f64 = 0.06;
/// Maximum number of services with a recorded version. As many as a manifest may name.
pub const MAX_ROLLOUTS: usize = 1_000;
/// Shortest and longest time that a rollout may be ordered to take, in milliseconds.
pub const ROLLOUT_DURATION_MS: std::ops::RangeInclusive<u64> = 1_000..=7 * 24 * 3_600_000;
/// Maximum length of a version, in bytes.
pub const MAX_VERSION_BYTES: usize = 63;

/// Whether a text can name a software version: visible ASCII without quotes, of limited length.
pub fn is_valid_version(version: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    (1..=MAX_VERSION_BYTES).contains(&version.len()) && version.bytes().all(is_allowed)
}

#[cfg(test)]
mod tests;
