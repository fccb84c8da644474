//! Draws a random fault plan from a seed.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString};

use super::SoakOptions;

/// Minimum time between the end of a control-instance fault and the start of the next one. In this
/// time a majority of the voters stores every acknowledged manifest again, before the next disk is
/// lost.
const CONTROL_RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Time that a process has to end after SIGTERM before it is killed and restarted.
const STOP_GRACE: Duration = Duration::from_secs(8);

/// Changes the seed for the faults with held links. They have a generator of their own, so that they
/// don't change the other faults of a seed.
const HELD_LINK_SEED: u64 = 0x68_656c_645f_6c69;

/// Mean time between faults with held links, as a multiple of that between other faults.
const HELD_LINK_INTERVAL_FACTOR: u32 = 3;

/// Range of the duration of a held link in milliseconds. A node gives up a silent link after 3 s.
const HELD_LINK_MILLIS: Range<u64> = 2_500..6_000;

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A control instance is killed with SIGKILL and restarted.
    ControlKill,
    /// A control instance is paused with SIGSTOP.
    ControlPause,
    /// A control instance is stopped with SIGTERM and restarted.
    ControlStop,
    /// A control instance is killed, loses its data on disk and is restarted.
    ControlWipe,
    /// The connections to a control instance are stalled in both directions and stay open.
    ControlSilence,
    /// The connections to a control instance are stalled in the direction from the instance to its
    /// peers and stay open.
    ControlMute,
    /// A node is killed with SIGKILL and restarted.
    NodeKill,
    /// A node is paused with SIGSTOP.
    NodePause,
    /// A node is stopped with SIGTERM and restarted.
    NodeStop,
    /// All nodes of a service are killed with SIGKILL and restarted.
    ServiceKill,
    /// The connections from other nodes to a node are delayed.
    NodeDelay,
    /// The connections from other nodes to a node are closed; new connections work.
    NodeReset,
    /// The connections from other nodes to a node are stalled in both directions and stay open.
    NodeSilence,
    /// The connections from other nodes to a node are stalled in the direction from the node and
    /// stay open.
    NodeMute,
    /// The connections from other nodes to a node are stalled and stay open; new connections work.
    /// What was sent on the stalled ones arrives at the end of the fault.
    NodeHold,
    /// As [`FaultKind::NodeHold`]. The upstream leaves and announces itself again before the end.
    NodeHoldRejoin,
    /// As [`FaultKind::NodeHold`]. The node is killed and restarted before the end, and the held bytes
    /// arrive at the new process.
    NodeHoldRestart,
    /// An upstream starts requests and never responds.
    UpstreamHang,
    /// An upstream runs requests and closes the connection without a response.
    UpstreamCut,
    /// An upstream sends fewer bytes than its `Content-Length` states.
    UpstreamShort,
    /// An upstream closes connections before it runs the request.
    UpstreamClose,
}

/// Scope of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// A control instance.
    Control,
    /// A node, including the connections from other nodes.
    Node,
    /// Every node of a service.
    Service,
    /// An upstream.
    Upstream,
}

impl FaultKind {
    /// Returns the scope of the fault.
    pub fn scope(self) -> FaultScope {
        match self {
            FaultKind::ControlKill
            | FaultKind::ControlPause
            | FaultKind::ControlStop
            | FaultKind::ControlWipe
            | FaultKind::ControlSilence
            | FaultKind::ControlMute => FaultScope::Control,
            FaultKind::NodeKill
            | FaultKind::NodePause
            | FaultKind::NodeStop
            | FaultKind::NodeDelay
            | FaultKind::NodeReset
            | FaultKind::NodeSilence
            | FaultKind::NodeMute
            | FaultKind::NodeHold
            | FaultKind::NodeHoldRejoin
            | FaultKind::NodeHoldRestart => FaultScope::Node,
            FaultKind::ServiceKill => FaultScope::Service,
            FaultKind::UpstreamHang
            | FaultKind::UpstreamCut
            | FaultKind::UpstreamShort
            | FaultKind::UpstreamClose => FaultScope::Upstream,
        }
    }

    /// Returns whether connections of a node are held while new ones work.
    pub fn holds_links(self) -> bool {
        matches!(
            self,
            FaultKind::NodeHold | FaultKind::NodeHoldRejoin | FaultKind::NodeHoldRestart
        )
    }

    /// Returns whether the fault is a stop that an operator would perform on purpose, which must not
    /// lose any request.
    pub fn is_graceful_stop(self) -> bool {
        matches!(self, FaultKind::ControlStop | FaultKind::NodeStop)
    }
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// Start of the fault, counted from the start of traffic.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected control instance or node. For a fault of a service, index of any of
    /// its nodes.
    pub target: usize,
}

/// Number of processes that faults can affect.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of control instances.
    pub controls: usize,
    /// Number of nodes.
    pub nodes: usize,
}

/// All faults drawn from a seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Faults, ordered by start.
    pub faults: Vec<PlannedFault>,
    /// Time during which faults begin.
    pub length: Duration,
}

impl FaultPlan {
    /// Draws the faults of the seed in `options`. The same options and size always give the same
    /// plan. Faults may overlap, but two faults of control instances never do, and a process never
    /// has two faults at a time.
    pub fn draw(options: &SoakOptions, size: FleetSize) -> FaultPlan {
        let kinds = options.faults.iter().copied();
        let (held, others): (Vec<_>, Vec<_>) = kinds.partition(|kind| kind.holds_links());
        let mut faults = Vec::new();
        let interval = options.mean_fault_interval;
        let rng = SmallRng::seed_from_u64(options.seed);
        draw_faults(rng, &others, interval, options.duration, size, &mut faults);
        let interval = interval * HELD_LINK_INTERVAL_FACTOR;
        let rng = SmallRng::seed_from_u64(options.seed ^ HELD_LINK_SEED);
        draw_faults(rng, &held, interval, options.duration, size, &mut faults);
        faults.sort_by_key(|fault| fault.at);
        FaultPlan {
            faults,
            length: options.duration,
        }
    }
}

/// Adds faults of `kinds` that are compatible with those in `faults`.
fn draw_faults(
    mut rng: SmallRng,
    kinds: &[FaultKind],
    interval: Duration,
    length: Duration,
    size: FleetSize,
    faults: &mut Vec<PlannedFault>,
) {
    let mut at = interval;
    while at < length && !kinds.is_empty() {
        let kind = kinds[rng.random_range(0..kinds.len())];
        let targets = match kind.scope() {
            FaultScope::Control => size.controls,
            FaultScope::Node | FaultScope::Service | FaultScope::Upstream => size.nodes,
        };
        let target = rng.random_range(0..targets.max(1));
        let lasts = match kind {
            kind if kind.is_graceful_stop() => STOP_GRACE,
            kind if kind.holds_links() => Duration::from_millis(rng.random_range(HELD_LINK_MILLIS)),
            _ => Duration::from_millis(rng.random_range(200..5_000)),
        };
        let fault = PlannedFault {
            at,
            lasts,
            kind,
            target,
        };
        if targets > 0 && faults.iter().all(|other| are_compatible(other, &fault)) {
            faults.push(fault);
        }
        at += interval.mul_f64(rng.random_range(0.1..1.9));
    }
}

/// Returns whether both faults can be part of a plan: either the later one begins after the earlier
/// one has ended, or they may overlap.
fn are_compatible(one: &PlannedFault, other: &PlannedFault) -> bool {
    let (earlier, later) = match one.at <= other.at {
        true => (one, other),
        false => (other, one),
    };
    let is_sequential = earlier.at + earlier.lasts <= later.at;
    match (earlier.kind.scope(), later.kind.scope()) {
        (FaultScope::Control, FaultScope::Control) => {
            earlier.at + earlier.lasts + CONTROL_RECOVERY_TIME <= later.at
        }
        (FaultScope::Control, _) | (_, FaultScope::Control) => true,
        (FaultScope::Service, _) | (_, FaultScope::Service) => is_sequential,
        _ => is_sequential || earlier.target != later.target,
    }
}
