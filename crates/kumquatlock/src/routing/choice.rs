//! Results of a choice, and the counters of the attempts that follow.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::{CallReason, LoadReport};
use strum::EnumCount;

use super::spill::SpillReason;
use super::subset::LocalityTier;
use super::tracked::{UpstreamOutcome, UpstreamToken};
use crate::core::{Timestamp, UpstreamEntry};

/// Result of [`super::UpstreamBalancer::choose`].
#[derive(Clone, Debug)]
pub enum UpstreamChoice {
    /// The attempt should be sent to this upstream.
    Chosen(ChosenUpstream),
    /// No upstream can take the attempt.
    None(NoChoiceReason),
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoiceReason {
    /// The service has no serving upstream.
    NoUpstream,
    /// Every upstream of the subset is draining or was replaced.
    AllDraining,
    /// The caller excluded every upstream that could take the attempt.
    AllExcluded,
    /// Every upstream that could take the attempt has just refused a call as overloaded.
    AllFull,
}

/// Circumstances of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceMode {
    /// The upstream was expected to have a free slot.
    Normal,
    /// The upstream was expected to be saturated, and so were all that would have been better.
    Saturated,
    /// More than half of the upstreams of every tier are ejected, so ejection was ignored. If most
    /// upstreams appear to fail, the observation is probably wrong, and the remaining upstreams
    /// could not carry the load.
    Panic,
}

/// An upstream that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenUpstream {
    /// Identifies the upstream in later calls, for example to exclude it.
    pub token: UpstreamToken,
    /// The upstream, with the incarnation that the attempt must state.
    pub entry: Arc<UpstreamEntry>,
    /// Distance from the entry node.
    pub tier: LocalityTier,
    /// Circumstances of the choice.
    pub mode: ChoiceMode,
    /// Age of the upstream's load report; `None` if it has sent none.
    pub load_age: Option<Duration>,
    /// Rank of the call.
    pub rank: u32,
    /// Present if the call leaves its zone or region.
    pub(super) spill: Option<SpillBasis>,
}

/// Why a call left its zone or region, and what it left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SpillBasis {
    pub(super) reason: SpillReason,
    /// Way and wait that were expected nearer; `None` if no upstream there could take the call.
    pub(super) near_us: Option<f32>,
}

/// An attempt in flight. Each ticket must be passed to [`super::UpstreamBalancer::finish_attempt`] exactly
/// once.
#[derive(Debug)]
#[must_use = "an attempt that is never finished counts as in flight forever"]
pub struct AttemptTicket {
    pub(super) token: UpstreamToken,
    pub(super) rank: u32,
    pub(super) started_at: Timestamp,
    pub(super) spill: Option<SpillBasis>,
}

/// Counters of attempts: by distance, in panic mode, and while every healthy upstream was
/// saturated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalityCounters {
    /// Attempts started, indexed by [`LocalityTier`]. The last element counts attempts to other
    /// regions, whose traffic is billed by volume.
    pub started: [u64; 3],
    /// Attempts started in panic mode.
    pub panic: u64,
    /// Attempts started at an upstream that was expected to be saturated.
    pub saturated: u64,
    /// Attempts started outside the zone, by tier and [`SpillReason`].
    pub spilled: [[u64; SpillReason::COUNT]; 3],
}

impl LocalityCounters {
    /// Returns the number of attempts to other regions, whose traffic is billed by volume.
    pub fn cross_region(&self) -> u64 {
        self.started[LocalityTier::CrossRegion as usize]
    }

    pub(super) fn add(&mut self, other: &LocalityCounters) {
        for (sum, started) in self.started.iter_mut().zip(other.started) {
            *sum += started;
        }
        let by_reason = self.spilled.iter_mut().flatten();
        for (sum, spilled) in by_reason.zip(other.spilled.iter().flatten()) {
            *sum += spilled;
        }
        self.panic += other.panic;
        self.saturated += other.saturated;
    }
}

/// Returns whether a call that left has waited less, with its way, than it would have nearer; `None`
/// if that isn't known.
pub(super) fn judge_spill(
    spill: Option<SpillBasis>,
    outcome: UpstreamOutcome,
    latency: Duration,
    load: Option<LoadReport>,
) -> Option<bool> {
    let near_us = spill?.near_us?;
    match (outcome, load) {
        (UpstreamOutcome::Refused(CallReason::Overloaded), _) => Some(false),
        (UpstreamOutcome::Answered, Some(report)) if report.held_us > 0 => {
            let served_us = report.held_us.saturating_sub(report.waited_us);
            Some(latency.as_micros() as f32 - served_us as f32 <= near_us)
        }
        _ => None,
    }
}
