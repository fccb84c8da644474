//! A stand-in for the upstream of a client account.
//!
//! [`StandInUpstream`] is an HTTP server in the test process. `options` holds its settings at the
//! start, `faults` the faults that a test can inject later, `ledger` counts the runs of requests,
//! `gate` limits the requests in flight, `server` serves requests and `announce` sends requests to
//! the node.
//!
//! | request | response |
//! |---|---|
//! | `GET /health` | 200 or 503 |
//! | `GET /load` | number of slots and of requests in flight |
//! | `POST /cancel` | cancels the request with the same `kumquatlock-attempt` header |
//! | any other | runs for the service time and responds with 200 and a JSON echo of the request |
//!
//! The response to a request that does not finish has the header `stand-in-refusal`:
//!
//! | status | `stand-in-refusal` | run |
//! |---|---|---|
//! | 413 | `too-large` | no |
//! | 503 | `shed`, `draining` | no |
//! | 507 | `ledger-full` | no |
//! | 499 | `cancelled` | started |
//! | 504 | `deadline` | started |
//! | 502 | `chain` | started |

mod accept_waker;
mod announce;
mod faults;
mod gate;
mod ledger;
mod options;
mod server;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use accept_waker::AcceptWaker;
use kumquatlock::util::cancel::CancelToken;
use thiserror::Error;

use crate::caller::CallFailure;
use crate::relay::TcpRelay;
use announce::NodeClient;
use server::ServerState;

pub use faults::{ReportMode, ResponseFault};
pub use ledger::{LedgerFull, MAX_LEDGER_ENTRIES, RunCount, RunLedger};
pub use options::{ChainCall, ColdSpan, ColdStart, UpstreamOptions};
pub use server::{ATTEMPT_HEADER, DEPTH_HEADER, MAX_BODY_BYTES, REFUSAL_HEADER};

/// Number of worker threads beyond the number of slots. While all slots are taken, they refuse
/// requests and serve `/health`, `/load` and `/cancel`.
const SPARE_WORKERS: usize = 4;

/// Error of a stand-in upstream.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The server could not be started.
    #[error("failed to start the stand-in upstream at {address}")]
    Start {
        /// Address to listen at.
        address: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// [`StandInUpstream::announce_to`] was not called, so there is no node to send requests to.
    #[error("the stand-in upstream has not been announced to a node")]
    NoNode,
    /// The node sent no complete response.
    #[error("the stand-in upstream failed to get a response from its node")]
    Node(#[from] CallFailure),
    /// The node responded with a status outside 2xx.
    #[error("the node responded to {path} with status {status}: {body}")]
    Refused {
        /// Path of the request.
        path: &'static str,
        /// Status of the response.
        status: u16,
        /// Body of the response.
        body: String,
    },
}

/// A running stand-in upstream. Dropping it cancels the running requests and joins its threads.
#[derive(Debug)]
pub struct StandInUpstream {
    address: SocketAddr,
    state: Arc<ServerState>,
    server: Arc<ServerHandle>,
    stop: CancelToken,
    threads: Vec<JoinHandle<()>>,
    node_client: Option<Arc<NodeClient>>,
    announcer_stop: CancelToken,
    accept_waker: AcceptWakerHandle,
}

struct AcceptWakerHandle(AcceptWaker);

impl std::fmt::Debug for AcceptWakerHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Nudge")
    }
}

struct ServerHandle(tiny_http::Server);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Server")
    }
}

impl StandInUpstream {
    /// Starts the server. It serves requests at once, and announces itself to a node only after
    /// [`StandInUpstream::announce_to`].
    pub fn start(options: UpstreamOptions) -> Result<StandInUpstream, UpstreamError> {
        let listen = options.listen;
        let start_error = |source| UpstreamError::Start {
            address: listen,
            source,
        };
        // tiny_http cannot close a connection, so a relay in front of the server closes it.
        let server_address = if options.can_close_connections {
            SocketAddr::from(([127, 0, 0, 1], 0))
        } else {
            listen
        };
        let server = tiny_http::Server::http(server_address)
            .map_err(|source| start_error(io::Error::other(source)))?;
        let server_address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| start_error(io::ErrorKind::AddrNotAvailable.into()))?;
        let relay = match options.can_close_connections {
            true => Some(TcpRelay::start_at(listen, server_address).map_err(start_error)?),
            false => None,
        };
        let address = relay.as_ref().map_or(server_address, TcpRelay::address);
        let stop = CancelToken::new();
        let workers = options.slots + SPARE_WORKERS;
        let state = Arc::new(ServerState::new(options, relay, stop.clone()));
        let server = Arc::new(ServerHandle(server));
        let accept_waker = AcceptWaker::start(server_address).map_err(start_error)?;
        let mut upstream = StandInUpstream {
            address,
            state,
            server,
            announcer_stop: stop.child(),
            stop,
            threads: Vec::with_capacity(workers + 1),
            node_client: None,
            accept_waker: AcceptWakerHandle(accept_waker),
        };
        for _ in 0..workers {
            let (state, server) = (Arc::clone(&upstream.state), Arc::clone(&upstream.server));
            let signals = upstream.accept_waker.0.signals();
            let worker = thread::Builder::new().name("upstream".into());
            let worker = worker.spawn(move || {
                while let Ok(request) = server.0.recv() {
                    signals.mark_active();
                    state.serve(request);
                }
            });
            upstream.threads.push(worker.map_err(start_error)?);
        }
        Ok(upstream)
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name that is announced to the node.
    pub fn name(&self) -> &str {
        &self.state.options.name
    }

    /// Returns the ledger that counts the runs of requests.
    pub fn ledger(&self) -> &RunLedger {
        &self.state.options.ledger
    }

    /// Returns the number of running requests.
    pub fn in_flight(&self) -> usize {
        self.state.gate.in_flight()
    }

    /// Applies `fault` to all requests that are admitted from now on.
    pub fn set_fault(&self, fault: ResponseFault) {
        self.state.gate.set_fault(fault, None);
    }

    /// Applies `fault` to the next `count` admitted requests; later ones are served normally.
    pub fn inject_faults(&self, count: u64, fault: ResponseFault) {
        self.state.gate.set_fault(fault, Some(count));
    }

    /// Serves new requests normally again. Requests that already hang continue to hang.
    pub fn clear_fault(&self) {
        self.set_fault(ResponseFault::None);
    }

    /// Sets what the health and load endpoints report.
    pub fn set_report_mode(&self, mode: ReportMode) {
        self.state.gate.set_report_mode(mode);
    }

    /// Sets the service time of requests that are admitted from now on.
    pub fn set_service_time(&self, service_time: Duration) {
        self.state.gate.set_service_time(service_time);
    }

    /// Announces the upstream to the node at `node` now and every 2 s afterwards. A failure is
    /// logged; the next announcement follows at its normal time. Announcements to an earlier node
    /// end.
    pub fn announce_to(&mut self, node: SocketAddr) {
        self.announcer_stop.cancel();
        self.announcer_stop = self.stop.child();
        let node_client = Arc::new(NodeClient::new(node, &self.state.options, self.address));
        self.node_client = Some(Arc::clone(&node_client));
        let stop = self.announcer_stop.clone();
        let announcer = thread::spawn(move || node_client.announce_until(&stop));
        self.threads.push(announcer);
    }

    /// Announces the upstream to its node once and waits for the response.
    pub fn announce_now(&self) -> Result<(), UpstreamError> {
        self.node_client()?.post_announce()
    }

    /// Refuses new requests, stops announcing and asks the node to drain the upstream.
    pub fn drain(&self) -> Result<(), UpstreamError> {
        self.refuse_new();
        self.node_client()?.post_drain()
    }

    /// Refuses new requests and stops announcing, without notifying the node.
    pub fn refuse_new(&self) {
        self.announcer_stop.cancel();
        self.state.gate.set_draining();
    }

    /// Stops announcing and notifies the node that the upstream leaves. The server keeps running.
    pub fn leave(&self) -> Result<(), UpstreamError> {
        self.announcer_stop.cancel();
        self.node_client()?.post_leave()
    }

    /// Waits until no request is running. Returns false if `timeout` passes first.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        self.state.gate.wait_idle(timeout)
    }

    fn node_client(&self) -> Result<&NodeClient, UpstreamError> {
        self.node_client.as_deref().ok_or(UpstreamError::NoNode)
    }
}

impl Drop for StandInUpstream {
    fn drop(&mut self) {
        self.stop.cancel();
        for _ in 0..self.threads.len() {
            self.server.0.unblock();
        }
        // Without the close, callers of a stopped upstream would wait for a response until their
        // timeout.
        if let Some(relay) = &self.state.relay {
            relay.refuse_new(true);
            relay.close_open();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
