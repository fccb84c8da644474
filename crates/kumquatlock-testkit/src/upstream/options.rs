//! Settings of a stand-in upstream.

use std::net::SocketAddr;
use std::time::Duration;

use super::RunLedger;

/// Settings of a stand-in upstream at its start.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Name that is announced to the node.
    pub name: String,
    /// Service that is announced to the node.
    pub service: String,
    /// Address to listen at; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Maximum number of requests that run at once. Further requests are refused with 503.
    pub slots: usize,
    /// Time that each request runs.
    pub service_time: Duration,
    /// Maximum deviation from the service time. The deviation is uniformly distributed in both
    /// directions.
    pub jitter: Duration,
    /// Seed of the jitter and of the span ids of chained calls.
    pub seed: u64,
    /// Slower service after the start, if any.
    pub cold_start: Option<ColdStart>,
    /// Minimum length of the JSON response body in bytes; shorter bodies are padded.
    pub response_bytes: usize,
    /// Headers of each successful response, as lines that end with CRLF.
    pub response_headers: String,
    /// Counts the runs of requests. Upstreams can share a ledger to be counted together.
    pub ledger: RunLedger,
    /// Call to another service that is part of every request, if any.
    pub chain: Option<ChainCall>,
    /// Whether faults can close connections. This needs a relay, which adds two hops on loopback;
    /// measurements therefore turn it off.
    pub can_close_connections: bool,
}

impl UpstreamOptions {
    /// Returns the settings of an upstream with 10 slots and a service time of 2 ms on a free port.
    pub fn new(name: &str, service: &str) -> Self {
        UpstreamOptions {
            name: name.to_owned(),
            service: service.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 10,
            service_time: Duration::from_millis(2),
            jitter: Duration::ZERO,
            seed: 0,
            cold_start: None,
            response_bytes: 0,
            response_headers: String::new(),
            ledger: RunLedger::default(),
            chain: None,
            can_close_connections: true,
        }
    }
}

/// Slower service after the start of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Factor by which the service time is multiplied.
    pub slowdown: f64,
    /// Time or number of requests after which the cold start ends.
    pub span: ColdSpan,
}

/// Length of a cold start.
#[derive(Clone, Copy, Debug)]
pub enum ColdSpan {
    /// The upstream is slow until this time after its start.
    Time(Duration),
    /// The upstream is slow for this number of admitted requests.
    Requests(u64),
}

/// A call to another service that an upstream makes while it serves a request. It forwards the
/// trace, the call depth and the remaining time of the request.
#[derive(Clone, Debug)]
pub struct ChainCall {
    /// Address at which the upstream's own node accepts calls.
    pub node: SocketAddr,
    /// Path of the GET request.
    pub path: String,
}
