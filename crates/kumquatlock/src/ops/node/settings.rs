//! Settings of a node.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::SharedName;
use crate::distribution::StreamTiming;
use crate::retry::{BudgetScope, BudgetSettings};
use crate::transport::LinkTiming;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node and its upstream.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Address for other nodes.
    pub listen: SocketAddr,
    /// Address at which other nodes reach the listener.
    pub advertise: SocketAddr,
    /// Address for callers and metrics.
    pub http: SocketAddr,
    /// Address for the upstream beside this node.
    pub upstream_http: SocketAddr,
    /// Further address for questions of readiness.
    pub ready_http: Option<SocketAddr>,
    /// Further address for metrics.
    pub metrics_http: Option<SocketAddr>,
    /// Control instances, the preferred one first.
    pub parents: Vec<SocketAddr>,
    /// Caller requests that the node is sized for; half of them may be deferred ones.
    pub http_workers: usize,
    /// Connections to the upstream.
    pub upstream_connections: usize,
    /// Longest time that a caller may wait.
    pub longest_timeout: Duration,
    /// How long claims and kept answers are remembered.
    pub claim_retention: Duration,
    /// What follows from the environment rather than from an operator.
    pub tuning: NodeTuning,
}

impl NodeSettings {
    /// Whether both describe the same node at the same addresses.
    pub(super) fn has_identity_of(&self, other: &NodeSettings) -> bool {
        let place = |settings: &NodeSettings| {
            let NodeSettings {
                name, zone, region, ..
            } = settings;
            (name.clone(), zone.clone(), region.clone())
        };
        let addresses = |settings: &NodeSettings| {
            (
                [settings.listen, settings.advertise],
                [settings.http, settings.upstream_http],
                [settings.ready_http, settings.metrics_http],
            )
        };
        place(self) == place(other) && addresses(self) == addresses(other)
    }
}

/// Bounds that an environment sets. The defaults are those of the product on its own.
#[derive(Clone, Debug, Default)]
pub struct NodeTuning {
    /// Service that runs beside the node; told to upstreams as the origin of calls.
    pub origin: SharedName,
    /// Longest wait of a call for a configuration that names an upstream; none for the default.
    pub upstream_wait: Option<Duration>,
    /// Longest search for the outcome of a lost attempt; none for the time of the caller.
    pub search_limit: Option<Duration>,
    /// Whether late lookups get no second attempt.
    pub without_hedges: bool,
    /// Whether requests carry no keys, so that no claims are kept.
    pub without_claims: bool,
    /// Whether an upstream that answers nothing for long gets no work until it does.
    pub detects_stalls: bool,
    /// Time before its deadline at which a call that waits is refused, so that the refusal reaches
    /// the caller.
    pub refusal_time: Duration,
    /// Bounds of further attempts.
    pub budget: BudgetSettings,
    /// Which attempts draw on the budget.
    pub scope: BudgetScope,
    /// Time for which a stopping node still serves those callers that have not turned away.
    pub shutdown_grace: Duration,
    /// Time after which a stopping node ends in any case; none for the default.
    pub shutdown_timeout: Option<Duration>,
    /// When links to other nodes count as silent.
    pub links: LinkTiming,
    /// When a parent counts as silent.
    pub stream: StreamTiming,
}
