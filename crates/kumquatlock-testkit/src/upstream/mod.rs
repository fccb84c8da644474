//! A stand-in for a customer's upstream.
//!
//! [`StandInUpstream`] is an HTTP server in this process. `options` says how it behaves from the
//! start, `faults` what it may be told to do later, `ledger` counts what ran, `gate` bounds the
//! requests in flight, `server` serves them and `announce` talks to the node.
//!
//! | request | answer |
//! |---|---|
//! | `GET /health` | 200 or 503 |
//! | `GET /load` | slots and requests in flight |
//! | `POST /cancel` | stops the request with the same `kumquatlock-attempt` |
//! | anything else | runs for the service time and answers 200 with a JSON echo |
//!
//! A request that does not run to its end is answered with the header `stand-in-refusal`:
//!
//! | status | `stand-in-refusal` | ran |
//! |---|---|---|
//! | 413 | `too-large` | no |
//! | 503 | `shed`, `draining` | no |
//! | 507 | `ledger-full` | no |
//! | 499 | `cancelled` | started |
//! | 504 | `deadline` | started |
//! | 502 | `chain` | started |

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

use kumquatlock::http::AcceptWaker;
use kumquatlock::util::cancel::CancelToken;
use thiserror::Error;

use crate::caller::CallFailure;
use crate::relay::TcpRelay;
use announce::NodeContact;
use server::ServerState;

pub use faults::{ReportMode, ResponseFault};
pub use ledger::{LedgerFull, MAX_LEDGER_ENTRIES, RunCount, RunLedger};
pub use options::{ChainCall, ColdSpan, ColdStart, UpstreamOptions};
pub use server::{ATTEMPT_HEADER, DEPTH_HEADER, MAX_BODY_BYTES, REFUSAL_HEADER};

/// Workers beyond the slots, which refuse, cancel and report while all slots are taken.
const SPARE_WORKERS: usize = 4;

/// The stand-in could not do what it was asked.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The server could not be started.
    #[error("failed to start the stand-in upstream at {address}")]
    Start {
        /// Address to listen at.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// No node was named by [`StandInUpstream::announce_to`].
    #[error("the stand-in upstream has no node")]
    NoNode,
    /// The node gave no answer.
    #[error("failed to reach the node of the stand-in upstream")]
    Node(#[from] CallFailure),
    /// The node refused.
    #[error("the node answered {status} to {path}: {body}")]
    Refused {
        /// Path of the request.
        path: &'static str,
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        body: String,
    },
}

/// A running stand-in upstream. Dropping it cancels its requests and joins its threads.
#[derive(Debug)]
pub struct StandInUpstream {
    address: SocketAddr,
    state: Arc<ServerState>,
    server: Arc<ServerHandle>,
    stop: CancelToken,
    threads: Vec<JoinHandle<()>>,
    contact: Option<Arc<NodeContact>>,
    announcer_stop: CancelToken,
    nudge: ServerNudge,
}

struct ServerNudge(AcceptWaker);

impl std::fmt::Debug for ServerNudge {
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
    /// Starts the server. It serves at once and announces itself only when told to.
    pub fn start(options: UpstreamOptions) -> Result<StandInUpstream, UpstreamError> {
        let listen = options.listen;
        let error = |source| UpstreamError::Start {
            address: listen,
            source,
        };
        // tiny_http cannot close a connection, so a relay in front of it does.
        let server_address = if options.can_close_connections {
            SocketAddr::from(([127, 0, 0, 1], 0))
        } else {
            listen
        };
        let server = tiny_http::Server::http(server_address)
            .map_err(|source| error(io::Error::other(source)))?;
        let server_address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| error(io::ErrorKind::AddrNotAvailable.into()))?;
        let relay = match options.can_close_connections {
            true => Some(TcpRelay::start_at(listen, server_address).map_err(error)?),
            false => None,
        };
        let address = relay.as_ref().map_or(server_address, TcpRelay::address);
        let stop = CancelToken::new();
        let workers = options.slots + SPARE_WORKERS;
        let state = Arc::new(ServerState::new(options, relay, stop.clone()));
        let server = Arc::new(ServerHandle(server));
        let nudge = AcceptWaker::start(server_address).map_err(error)?;
        let mut upstream = StandInUpstream {
            address,
            state,
            server,
            announcer_stop: stop.child(),
            stop,
            threads: Vec::with_capacity(workers + 1),
            contact: None,
            nudge: ServerNudge(nudge),
        };
        for _ in 0..workers {
            let (state, server) = (Arc::clone(&upstream.state), Arc::clone(&upstream.server));
            let signals = upstream.nudge.0.signals();
            let worker = thread::Builder::new().name("upstream".into());
            let worker = worker.spawn(move || {
                while let Ok(request) = server.0.recv() {
                    signals.mark_active();
                    state.serve(request);
                }
            });
            upstream.threads.push(worker.map_err(error)?);
        }
        Ok(upstream)
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name that is announced.
    pub fn name(&self) -> &str {
        &self.state.options.name
    }

    /// Counts of what ran.
    pub fn ledger(&self) -> &RunLedger {
        &self.state.options.ledger
    }

    /// Requests that are running.
    pub fn in_flight(&self) -> usize {
        self.state.gate.in_flight()
    }

    /// Applies `fault` to all requests from now on.
    pub fn set_fault(&self, fault: ResponseFault) {
        self.state.gate.set_fault(fault, None);
    }

    /// Applies `fault` to the next `count` requests that are admitted.
    pub fn inject_faults(&self, count: u64, fault: ResponseFault) {
        self.state.gate.set_fault(fault, Some(count));
    }

    /// Serves normally again. Hanging requests stay as they are.
    pub fn clear_fault(&self) {
        self.set_fault(ResponseFault::None);
    }

    /// Sets how the health and load endpoints report.
    pub fn set_report_mode(&self, mode: ReportMode) {
        self.state.gate.set_report_mode(mode);
    }

    /// Changes the service time of requests admitted from now on.
    pub fn set_service_time(&self, service_time: Duration) {
        self.state.gate.set_service_time(service_time);
    }

    /// Announces the upstream to the node at `node` now and every 2 s from then on. Failures are
    /// logged and tried again at the next turn. Replaces an earlier node.
    pub fn announce_to(&mut self, node: SocketAddr) {
        self.announcer_stop.cancel();
        self.announcer_stop = self.stop.child();
        let contact = Arc::new(NodeContact::new(node, &self.state.options, self.address));
        self.contact = Some(Arc::clone(&contact));
        let stop = self.announcer_stop.clone();
        let announcer = thread::spawn(move || contact.announce_until(&stop));
        self.threads.push(announcer);
    }

    /// Refuses new requests, stops announcing and tells the node to drain.
    pub fn drain(&self) -> Result<(), UpstreamError> {
        self.refuse_new();
        self.contact()?.post_drain()
    }

    /// Refuses new requests without telling the node.
    pub fn refuse_new(&self) {
        self.announcer_stop.cancel();
        self.state.gate.set_draining();
    }

    /// Tells the node that the upstream leaves. It does not stop the server.
    pub fn leave(&self) -> Result<(), UpstreamError> {
        self.announcer_stop.cancel();
        self.contact()?.post_leave()
    }

    /// Waits until nothing is running; false if `timeout` passed before.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        self.state.gate.wait_idle(timeout)
    }

    fn contact(&self) -> Result<&NodeContact, UpstreamError> {
        self.contact.as_deref().ok_or(UpstreamError::NoNode)
    }
}

impl Drop for StandInUpstream {
    fn drop(&mut self) {
        self.stop.cancel();
        for _ in 0..self.threads.len() {
            self.server.0.unblock();
        }
        // Callers of a stopped upstream see a closed connection instead of silence.
        if let Some(relay) = &self.state.relay {
            relay.refuse_new(true);
            relay.close_open();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
