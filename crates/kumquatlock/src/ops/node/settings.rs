//! The settings of a node.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::SharedName;
use crate::distribution::StreamTiming;
use crate::memory::ProcessLimits;
use crate::quota::QuotaSettings;
use crate::retry::{BudgetScope, BudgetSettings};
use crate::routing::SpillSettings;
use crate::transport::LinkTiming;

/// Settings with which a node runs.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node and of its upstream.
    pub name: SharedName,
    /// Availability zone of the node.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Address to listen on for other nodes.
    pub listen: SocketAddr,
    /// Address under which other nodes reach `listen`.
    pub advertise: SocketAddr,
    /// Address to listen on for callers and metrics scrapers.
    pub http: SocketAddr,
    /// Address to listen on for requests of the local upstream.
    pub upstream_http: SocketAddr,
    /// Additional address to listen on for readiness probes.
    pub ready_http: Option<SocketAddr>,
    /// Additional address to listen on for metrics scrapers.
    pub metrics_http: Option<SocketAddr>,
    /// Addresses of the control instances, the preferred one first.
    pub parents: Vec<SocketAddr>,
    /// Number of concurrent caller requests that the node is sized for; at most half of them may be
    /// deferred.
    pub http_workers: usize,
    /// Maximum number of connections to the upstream.
    pub upstream_connections: usize,
    /// Maximum timeout that a caller may ask for.
    pub longest_timeout: Duration,
    /// How long claims and stored answers are retained.
    pub claim_retention: Duration,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
    /// Settings that depend on the platform on which the node runs, not on its operator.
    pub tuning: NodeTuning,
}

impl NodeSettings {
    /// Returns whether both settings describe the same node at the same addresses.
    pub(super) fn has_same_identity(&self, other: &NodeSettings) -> bool {
        let location = |settings: &NodeSettings| {
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
        location(self) == location(other) && addresses(self) == addresses(other)
    }
}

/// Settings that depend on the platform on which a node runs. The defaults are for standalone use.
#[derive(Clone, Debug, Default)]
pub struct NodeTuning {
    /// Name of the local service, sent to upstreams as the origin of its calls.
    pub origin: SharedName,
    /// Maximum wait of a call for a configuration that names an upstream; `None` for the default.
    pub upstream_wait: Option<Duration>,
    /// Maximum time spent on finding out the outcome of a lost attempt; `None` for as long as the
    /// caller waits.
    pub search_limit: Option<Duration>,
    /// Disables the second (hedged) attempt for slow lookups.
    pub without_hedges: bool,
    /// Disables claims; set where requests carry no idempotency keys.
    pub without_claims: bool,
    /// Whether an upstream that has not answered any request for a while gets no new requests until
    /// it answers again.
    pub detects_stalls: bool,
    /// How long before its deadline a queued call is refused, so that the refusal still reaches the
    /// caller in time.
    pub refusal_time: Duration,
    /// How long calls that wait for a leaving upstream may still take to be answered; `None` for the
    /// default.
    pub leave_time: Option<Duration>,
    /// Whether the versions that upstreams state mean nothing, because none are rolled out.
    pub ignores_versions: bool,
    /// Retry budget.
    pub budget: BudgetSettings,
    /// Which attempts consume the budget.
    pub scope: BudgetScope,
    /// Quotas of client accounts.
    pub quota: QuotaSettings,
    /// Cost of traffic between zones and regions.
    pub spill: SpillSettings,
    /// How long a stopping node still serves callers, which need time to switch to another node.
    pub shutdown_grace: Duration,
    /// Time after which a stopping node exits even if work is in progress; `None` for no limit.
    pub shutdown_timeout: Option<Duration>,
    /// Timeouts of the links to other nodes.
    pub links: LinkTiming,
    /// Timeouts of the configuration stream from a parent.
    pub stream: StreamTiming,
    /// Time within which an API key that was taken away must stop, on this node, whether or not the
    /// change reaches it; `None` for no limit.
    pub revocation_limit: Option<Duration>,
    /// Whether the parents of the settings are in no order of preference. All nodes get the same
    /// few, and would otherwise start at the same one.
    pub shuffles_parents: bool,
}
