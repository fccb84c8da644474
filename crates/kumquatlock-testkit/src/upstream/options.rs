//! How a stand-in upstream behaves from its start.

use std::net::SocketAddr;
use std::time::Duration;

use super::RunLedger;

/// Settings of a stand-in upstream.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Name that is announced.
    pub name: String,
    /// Service that is announced.
    pub service: String,
    /// Address to listen at; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Requests that run at once; further ones are refused with 503.
    pub slots: usize,
    /// Time that a request runs.
    pub service_time: Duration,
    /// The service time varies evenly by up to this much in both directions.
    pub jitter: Duration,
    /// Seed of the jitter.
    pub seed: u64,
    /// Slower service at the start.
    pub cold_start: Option<ColdStart>,
    /// Length that the JSON answer is padded to, in bytes.
    pub response_bytes: usize,
    /// Where runs are counted. Upstreams that share a ledger are counted together.
    pub ledger: RunLedger,
    /// A call that is part of every request.
    pub chain: Option<ChainCall>,
    /// Whether connections can be closed by a fault. The relay that does this adds two hops on
    /// loopback, so measurements turn it off.
    pub can_close_connections: bool,
}

impl UpstreamOptions {
    /// An upstream with 10 slots and a service time of 2 ms on a free port.
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
            ledger: RunLedger::default(),
            chain: None,
            can_close_connections: true,
        }
    }
}

/// Slower service at the start of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Factor on the service time.
    pub slowdown: f64,
    /// When it ends.
    pub span: ColdSpan,
}

/// How long an upstream is cold.
#[derive(Clone, Copy, Debug)]
pub enum ColdSpan {
    /// Until this time after its start.
    Time(Duration),
    /// For this number of admitted requests.
    Requests(u64),
}

/// A call to another service that an upstream makes while it serves a request. It carries the
/// trace, the depth and the remaining time of the request.
#[derive(Clone, Debug)]
pub struct ChainCall {
    /// Caller address of the upstream's own node.
    pub node: SocketAddr,
    /// Path to GET.
    pub path: String,
}
