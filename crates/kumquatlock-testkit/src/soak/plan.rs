//! The faults of a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString};

use super::SoakOptions;

/// Time without another fault of a control instance after one, so that a majority has what was
/// acknowledged before the next disk is lost.
const CONTROL_REST: Duration = Duration::from_secs(6);

/// Time that a stopped process gets to end by itself.
const STOP_SPAN: Duration = Duration::from_secs(8);

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A control instance is killed and started again.
    ControlKill,
    /// A control instance is frozen.
    ControlPause,
    /// A control instance is stopped by SIGTERM and started again.
    ControlStop,
    /// A control instance is killed, loses its disk and is started again.
    ControlWipe,
    /// Nothing reaches a control instance and nothing leaves it, without a close.
    ControlSilence,
    /// A control instance hears others, but none hears it, without a close.
    ControlMute,
    /// A node is killed and started again.
    NodeKill,
    /// A node is frozen.
    NodePause,
    /// A node is stopped by SIGTERM and started again.
    NodeStop,
    /// All nodes of a service are killed and started again.
    ServiceKill,
    /// The connections to a node are delayed.
    NodeDelay,
    /// The connections to a node are reset; new ones work.
    NodeReset,
    /// The connections to a node go silent.
    NodeSilence,
    /// A node's answers to other nodes are lost, without a close.
    NodeMute,
    /// An upstream takes requests and answers none.
    UpstreamHang,
    /// An upstream runs requests and closes the connection without an answer.
    UpstreamCut,
    /// An upstream announces more than it sends.
    UpstreamShort,
    /// An upstream closes connections before it runs a request.
    UpstreamClose,
}

/// What a fault touches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// A control instance.
    Control,
    /// A node, seen from its callers and from other nodes.
    Node,
    /// Every node of a service.
    Service,
    /// An upstream.
    Upstream,
}

impl FaultKind {
    /// What the fault touches.
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
            | FaultKind::NodeMute => FaultScope::Node,
            FaultKind::ServiceKill => FaultScope::Service,
            FaultKind::UpstreamHang
            | FaultKind::UpstreamCut
            | FaultKind::UpstreamShort
            | FaultKind::UpstreamClose => FaultScope::Upstream,
        }
    }

    /// Whether an operator would do this on purpose, so that no request may be lost by it.
    pub fn is_graceful_stop(self) -> bool {
        matches!(self, FaultKind::ControlStop | FaultKind::NodeStop)
    }
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// Time from the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// Position of the control instance or node; of any node of the service.
    pub target: usize,
}

/// Processes that faults can meet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Control instances.
    pub controls: usize,
    /// Nodes.
    pub nodes: usize,
}

/// All faults of a seed, in the order of their times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// Time with faults.
    pub length: Duration,
}

impl FaultPlan {
    /// Draws the faults. One seed and one size always give the same plan. Faults come one after
    /// the other and overlap; those of control instances do not, and the same process has only one
    /// at a time.
    pub fn draw(options: &SoakOptions, size: FleetSize) -> FaultPlan {
        let mut random = SmallRng::seed_from_u64(options.seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let mut at = options.mean_fault_interval;
        while at < options.duration && !options.faults.is_empty() {
            let kind = options.faults[random.random_range(0..options.faults.len())];
            let targets = match kind.scope() {
                FaultScope::Control => size.controls,
                FaultScope::Node | FaultScope::Service | FaultScope::Upstream => size.nodes,
            };
            let target = random.random_range(0..targets.max(1));
            let lasts = match kind.is_graceful_stop() {
                true => STOP_SPAN,
                false => Duration::from_millis(random.random_range(200..5_000)),
            };
            let fault = PlannedFault {
                at,
                lasts,
                kind,
                target,
            };
            if targets > 0 && faults.iter().all(|other| may_overlap(other, &fault)) {
                faults.push(fault);
            }
            at += options
                .mean_fault_interval
                .mul_f64(random.random_range(0.1..1.9));
        }
        FaultPlan {
            faults,
            length: options.duration,
        }
    }
}

/// Whether a later fault may begin though an earlier one may still last.
fn may_overlap(earlier: &PlannedFault, later: &PlannedFault) -> bool {
    let ended = earlier.at + earlier.lasts <= later.at;
    match (earlier.kind.scope(), later.kind.scope()) {
        (FaultScope::Control, FaultScope::Control) => {
            earlier.at + earlier.lasts + CONTROL_REST <= later.at
        }
        (FaultScope::Control, _) | (_, FaultScope::Control) => true,
        (FaultScope::Service, _) | (_, FaultScope::Service) => ended,
        _ => ended || earlier.target != later.target,
    }
}
