//! The process beside one upstream.
//!
//! One actor owns the duties of the node: the configuration child, the entry and destination of
//! calls, the claim holder and the upstream's membership. They are plain structs whose steps the
//! actor carries out, so that everything that follows from one event happens in one turn. The
//! links run in the same thread. HTTP threads hand events in through a channel and take answers
//! out through a slot.

mod actor;
mod metrics;
mod peers;
mod steps;
mod upstream_api;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stakker::sync::Channel;
use stakker::{ActorOwn, Stakker, actor, call, fwd_to, ret_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

use crate::call::{CallerAnswer, CallerRequest, MAX_TIMEOUT};
use crate::claim::ClaimSettings;
use crate::core::{IncarnationId, SharedName, Timestamp};
use crate::http::{HttpRequest, HttpResponse, HttpServer, ReplySlot, ServerError};
use crate::transport::{POLL_PRIORITY, TrafficCounters};
use crate::util::cancel::CancelToken;
use actor::{ActorParts, NodeActor, NodeEvent};

/// Poll events that are taken at once.
const POLL_EVENTS: usize = 1_024;
/// Longest sleep of the loop; also bounds how late a cancelled token is noticed.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Threads that serve the node's own upstream; it sends one announcement at a time.
const UPSTREAM_API_WORKERS: usize = 2;

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
    /// Control instances, the preferred one first.
    pub parents: Vec<SocketAddr>,
    /// Caller requests in progress at once.
    pub http_workers: usize,
    /// Connections to the upstream.
    pub upstream_connections: usize,
    /// How long claims and kept answers are remembered.
    pub claim_retention: Duration,
}

/// Why a node could not run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The poll loop could not be set up or failed.
    #[error("failed to poll for events")]
    Poll(#[source] io::Error),
    /// The address for other nodes could not be bound.
    #[error("failed to listen for nodes on {address}: {error}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// What the platform reported.
        error: io::Error,
    },
    /// An HTTP server could not start.
    #[error(transparent)]
    Http(#[from] ServerError),
    /// A thread could not be started.
    #[error("failed to start a thread")]
    Thread(#[source] io::Error),
}

/// Runs a node until the token is cancelled and everything in progress has ended.
pub fn run_node(settings: NodeSettings, cancel: &CancelToken) -> Result<(), NodeError> {
    let started = Instant::now();
    let mut stakker = Stakker::new(started);
    let poll = Poll::new().map_err(NodeError::Poll)?;
    let events = Events::with_capacity(POLL_EVENTS);
    let poll = MioPoll::new(&mut stakker, poll, events, POLL_PRIORITY).map_err(NodeError::Poll)?;
    let wakeup = Rc::new(Cell::new(Timestamp::default()));
    let finished = Rc::new(Cell::new(false));
    let counters = Arc::new(TrafficCounters::default());
    let parts = ActorParts {
        settings: settings.clone(),
        incarnation: new_incarnation(),
        started,
        poll: poll.clone(),
        counters,
        wakeup: wakeup.clone(),
        finished: finished.clone(),
    };
    let node: ActorOwn<NodeActor> = actor!(stakker, NodeActor::init(parts), ret_nop!());
    let (channel, _guard) =
        Channel::new(&mut stakker, fwd_to!([node], handle_event() as (NodeEvent)));
    call!([node], bind(channel.clone()));
    stakker.run(Instant::now(), false);
    if let Some(error) = node_failure(&finished, &node, &mut stakker) {
        return Err(error);
    }
    let _callers = start_caller_server(&settings, channel.clone())?;
    let _upstream = start_upstream_server(&settings, channel.clone())?;
    log::info!(
        name = &*settings.name,
        listen:% = settings.listen,
        http:% = settings.http;
        "node_started"
    );
    let mut stopping = false;
    let mut idle = false;
    while stakker.not_shutdown() && !finished.get() {
        if cancel.is_cancelled() && !stopping {
            stopping = true;
            call!([node], begin_stop());
        }
        let now = Instant::now();
        let due = started + Duration::from_micros(wakeup.get().0);
        let sleep = due.saturating_duration_since(now).min(MAX_SLEEP);
        let sleep = stakker.next_wait_max(now, sleep, idle);
        let active = poll.poll(sleep).map_err(NodeError::Poll)?;
        if Instant::now() >= due {
            call!([node], handle_tick());
        }
        idle = stakker.run(Instant::now(), !active);
        call!([node], end_iteration());
    }
    log::info!(name = &*settings.name; "node_stopped");
    Ok(())
}

fn node_failure(
    finished: &Cell<bool>,
    node: &ActorOwn<NodeActor>,
    stakker: &mut Stakker,
) -> Option<NodeError> {
    if !finished.get() {
        return None;
    }
    let failure = node.query(stakker, |actor, _| actor.take_failure());
    failure.flatten()
}

fn start_caller_server(
    settings: &NodeSettings,
    channel: Channel<NodeEvent>,
) -> Result<HttpServer, NodeError> {
    let handler = move |request: HttpRequest| {
        if request.path() == "/metrics" {
            return ask(&channel, NodeEvent::Metrics);
        }
        match CallerRequest::from_http(request) {
            Ok(request) => ask(&channel, |reply| {
                NodeEvent::Caller(Box::new(request), reply)
            }),
            Err(reason) => CallerAnswer::Rejected(reason).into_http(),
        }
    };
    Ok(HttpServer::start(
        settings.http,
        settings.http_workers,
        handler,
    )?)
}

fn start_upstream_server(
    settings: &NodeSettings,
    channel: Channel<NodeEvent>,
) -> Result<HttpServer, NodeError> {
    let handler = move |request: HttpRequest| match upstream_api::parse(&request) {
        Ok(request) => ask(&channel, |reply| NodeEvent::Upstream(request, reply)),
        Err(refusal) => refusal.response(),
    };
    Ok(HttpServer::start(
        settings.upstream_http,
        UPSTREAM_API_WORKERS,
        handler,
    )?)
}

/// Hands an event to the actor and waits for its answer. Every call has a deadline, so the wait
/// ends.
fn ask(channel: &Channel<NodeEvent>, event: impl FnOnce(ReplySlot) -> NodeEvent) -> HttpResponse {
    let (reply, answer) = ReplySlot::new();
    if !channel.send(event(reply)) {
        return stopped_response();
    }
    answer.recv().unwrap_or_else(|_| stopped_response())
}

/// The node has stopped and cannot tell how far the request came.
fn stopped_response() -> HttpResponse {
    CallerAnswer::Unknown(kumquatlock_wire::call::CallReason::LinkLost).into_http()
}

/// Wall-clock milliseconds, so that a later run of the same node has a higher incarnation.
fn new_incarnation() -> IncarnationId {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    IncarnationId(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

fn claim_settings(settings: &NodeSettings) -> ClaimSettings {
    ClaimSettings {
        retention: settings.claim_retention,
        key_retention: MAX_TIMEOUT + settings.claim_retention,
        isolation_limit: settings.claim_retention / 2,
        ..ClaimSettings::default()
    }
}

#[cfg(test)]
mod tests;
