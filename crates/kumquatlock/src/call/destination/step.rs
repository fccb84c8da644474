//! Inputs and outputs of the calls at their destination node.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{CallOutcome, CallResponse};
use kumquatlock_wire::quarantine::CrashReport;

use crate::admission::AdmissionLimits;
use crate::core::{SharedName, Timestamp};
use crate::http::{EchoedHeader, HttpRequest};
use crate::transport::LinkId;
use crate::util::trace::HopSpan;

/// Identifies a call at its destination node, whether it runs or still waits. Never reused within
/// an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// Where a call came from and where its answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallSource {
    /// Another node.
    Link(LinkId),
    /// This node, in its role as the entry node.
    Local,
}

/// The upstream beside this node, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEndpoint {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Identifies the upstream's current process, as announced by the upstream; empty if it
    /// announced none.
    pub instance: SharedName,
    /// Start of that process in milliseconds since 1970; zero if it announced none.
    pub run_started_ms: u64,
    /// Service that the upstream provides.
    pub service: SharedName,
    /// Number of concurrent requests and connections that the upstream accepts.
    pub limits: AdmissionLimits,
}

impl UpstreamEndpoint {
    pub(super) fn is_same_run(&self, other: &UpstreamEndpoint) -> bool {
        self.instance == other.instance && self.run_started_ms == other.run_started_ms
    }
}

/// An action that [`DestinationCalls`] requests from its driver.
#[derive(Debug)]
pub enum DestinationStep {
    /// Answer the node that sent the call or the query.
    Respond {
        /// Receiver of the answer.
        to: CallSource,
        /// Answer to send.
        response: CallResponse,
    },
    /// Send a message about a claim to the node beside an upstream.
    Claim {
        /// Name of the upstream.
        to: SharedName,
        /// Message to send.
        body: Body,
    },
    /// Send a request to the upstream.
    Run {
        /// Value to pass to [`DestinationCalls::on_result`].
        run: RunId,
        /// Address of the upstream.
        address: SocketAddr,
        /// Request to send.
        request: HttpRequest,
        /// Time to wait for the upstream's answer.
        timeout: Duration,
        /// Whether the request may run more than once.
        is_repeatable: bool,
        /// Header that the upstream must repeat in its answer.
        echoed: Option<EchoedHeader>,
    },
    /// Tell the upstream that nobody is waiting for a request any more.
    Cancel {
        /// The run of the request.
        run: RunId,
        /// Address of the upstream.
        address: SocketAddr,
        /// Identifier of the attempt; `None` if it is cancelled by closing its connection.
        attempt: Option<String>,
    },
    /// Report that the upstream is draining: its answers state that it is leaving.
    Leaving,
    /// Report a crash of the upstream, or that it has completed a request in quarantine.
    ReportCrash(CrashReport),
    /// Record the end of a run in its trace.
    Ended {
        /// Span of the run.
        span: HopSpan,
        /// When the call arrived.
        arrived_at: Timestamp,
        /// Outcome of the run.
        outcome: CallOutcome,
    },
}
