//! Requests to the node itself: from the local upstream, readiness probes and metrics scrapers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::HeaderNames;
use crate::core::SharedName;
use crate::http::{HttpRequest, HttpResponse};
use crate::manifest::is_valid_name;
use crate::membership::AnnounceAnswer;
use crate::rollout::is_valid_version;

/// Maximum number of slots or connections that an upstream may announce.
const MAX_SLOTS: u32 = 100_000;

/// Listener through which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NodePort {
    /// Listener for callers. A request that is not for the node itself is a call.
    Callers,
    /// Listener for the local upstream.
    Upstream,
    /// Listener for readiness probes.
    Readiness,
    /// Listener for metrics scrapers.
    Metrics,
}

/// What an upstream announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalAnnouncement {
    /// Name of the upstream; defaults to the name of the node.
    pub name: Option<String>,
    /// Service that the upstream provides.
    pub service: String,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Number of connections that the upstream accepts concurrently; defaults to `slots`.
    pub connections: Option<u32>,
    /// Identifier of this run of the upstream; empty if the announcement has none.
    pub instance: SharedName,
    /// Start of this run in milliseconds since 1970; zero if the announcement has none.
    pub run_started_ms: u64,
    /// Sequence number of the announcement within the run; zero if it has none.
    pub sequence: u64,
    /// Whether the upstream accepts no new requests.
    pub is_draining: bool,
    /// Version of the upstream's software; empty if the announcement has none.
    pub version: String,
    /// Time for which the upstream will still be slow after its start.
    pub warm_up: Duration,
}

/// A validated request to the node itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalRequest {
    /// The upstream announces itself.
    Announce(LocalAnnouncement),
    /// The upstream accepts no new requests.
    Drain,
    /// The upstream has left; with the identifier of its run if the request has one.
    Leave(Option<SharedName>),
    /// Asks whether callers may send requests.
    Ready,
    /// Asks for the metrics page.
    Metrics,
}

/// An answer to a [`LocalRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalAnswer {
    /// Answer to an announcement, drain or leave request.
    Announced(AnnounceAnswer),
    /// The node is stopping and accepts no announcement.
    Stopping,
    /// The upstream drains or leaves, and gets no new calls, but control is not known to have
    /// recorded that.
    Unrecorded,
    /// The announced name is not the name of this node.
    WrongName,
    /// Whether callers may send requests.
    Ready(bool),
}

/// Adapts the HTTP interface of a node to a platform: the header names of calls, and functions that
/// translate local requests and answers.
#[derive(Clone, Copy, Debug)]
pub struct NodeAdapter {
    /// Header names of calls.
    pub names: HeaderNames,
    /// Parses a request to the node itself; returns `None` if the request is a call.
    pub read: fn(NodePort, &HttpRequest) -> Option<Result<LocalRequest, HttpResponse>>,
    /// Builds the HTTP response for an answer.
    pub write: fn(LocalAnswer) -> HttpResponse,
}

impl Default for NodeAdapter {
    fn default() -> Self {
        NodeAdapter {
            names: HeaderNames::default(),
            read,
            write,
        }
    }
}

/// JSON body of an announcement.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceBody {
    name: String,
    service: String,
    address: SocketAddr,
    slots: u32,
    #[serde(default)]
    connections: Option<u32>,
    #[serde(default)]
    version: String,
    #[serde(default)]
    warm_up_ms: u32,
}

/// Reason for refusing a local request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum LocalRefusal {
    UnknownPath,
    WrongMethod,
    InvalidBody,
    InvalidName,
    InvalidService,
    InvalidSlots,
    InvalidVersion,
    WrongName,
    Stopping,
    Unrecorded,
}

#[derive(Serialize)]
struct RefusalBody {
    error: &'static str,
}

#[derive(Serialize)]
struct StateBody {
    state: &'static str,
}

impl LocalRefusal {
    fn response(self) -> HttpResponse {
        let status = match self {
            LocalRefusal::UnknownPath => 404,
            LocalRefusal::WrongMethod => 405,
            LocalRefusal::WrongName => 409,
            LocalRefusal::Stopping | LocalRefusal::Unrecorded => 503,
            _ => 422,
        };
        HttpResponse::json(status, &RefusalBody { error: self.into() })
    }
}

/// Validates an announcement independently of its format on the wire. Returns the reason if it is
/// invalid.
pub fn check_announcement(announcement: &LocalAnnouncement) -> Option<&'static str> {
    let refusal = validate_announcement(announcement)?;
    Some(refusal.into())
}

fn validate_announcement(announcement: &LocalAnnouncement) -> Option<LocalRefusal> {
    let name = announcement.name.as_deref();
    if name.is_some_and(|name| !is_valid_name(name)) {
        return Some(LocalRefusal::InvalidName);
    }
    if !is_valid_name(&announcement.service) {
        return Some(LocalRefusal::InvalidService);
    }
    let connections = announcement.connections.unwrap_or(announcement.slots);
    let counts = [announcement.slots, connections];
    let are_valid = counts.iter().all(|count| (1..=MAX_SLOTS).contains(count));
    if !are_valid {
        return Some(LocalRefusal::InvalidSlots);
    }
    let version = &announcement.version;
    let is_valid = version.is_empty() || is_valid_version(version);
    (!is_valid).then_some(LocalRefusal::InvalidVersion)
}

fn read(port: NodePort, request: &HttpRequest) -> Option<Result<LocalRequest, HttpResponse>> {
    match (port, request.path()) {
        (NodePort::Callers | NodePort::Metrics, "/metrics") => Some(Ok(LocalRequest::Metrics)),
        (NodePort::Callers, _) => None,
        (NodePort::Upstream | NodePort::Readiness, "/v1/ready") => Some(Ok(LocalRequest::Ready)),
        _ => Some(parse_upstream_request(request).map_err(LocalRefusal::response)),
    }
}

/// Parses and validates a request of the local upstream.
fn parse_upstream_request(request: &HttpRequest) -> Result<LocalRequest, LocalRefusal> {
    let parsed = match request.path() {
        "/v1/announce" => parse_announcement(request).map(LocalRequest::Announce),
        "/v1/drain" => Ok(LocalRequest::Drain),
        "/v1/leave" => Ok(LocalRequest::Leave(None)),
        _ => return Err(LocalRefusal::UnknownPath),
    };
    match request.method.as_str() {
        "POST" => parsed,
        _ => Err(LocalRefusal::WrongMethod),
    }
}

fn parse_announcement(request: &HttpRequest) -> Result<LocalAnnouncement, LocalRefusal> {
    let body: AnnounceBody =
        serde_json::from_slice(&request.body).map_err(|_| LocalRefusal::InvalidBody)?;
    let announcement = LocalAnnouncement {
        name: Some(body.name),
        service: body.service,
        address: body.address,
        slots: body.slots,
        connections: body.connections,
        instance: SharedName::default(),
        run_started_ms: 0,
        sequence: 0,
        is_draining: false,
        version: body.version,
        warm_up: Duration::from_millis(body.warm_up_ms.into()),
    };
    match validate_announcement(&announcement) {
        None => Ok(announcement),
        Some(refusal) => Err(refusal),
    }
}

fn write(answer: LocalAnswer) -> HttpResponse {
    match answer {
        LocalAnswer::Announced(answer) => announce_response(answer),
        LocalAnswer::Stopping => LocalRefusal::Stopping.response(),
        LocalAnswer::Unrecorded => LocalRefusal::Unrecorded.response(),
        LocalAnswer::WrongName => LocalRefusal::WrongName.response(),
        LocalAnswer::Ready(true) => HttpResponse::json(200, &StateBody { state: "ready" }),
        LocalAnswer::Ready(false) => HttpResponse::json(503, &StateBody { state: "not_ready" }),
    }
}

fn announce_response(answer: AnnounceAnswer) -> HttpResponse {
    let status = match answer {
        AnnounceAnswer::Serving { .. } | AnnounceAnswer::Draining | AnnounceAnswer::Left => 200,
        AnnounceAnswer::Late | AnnounceAnswer::OtherUpstream | AnnounceAnswer::NameTaken => 409,
        AnnounceAnswer::UnknownService => 422,
        AnnounceAnswer::Invalid => 422,
        AnnounceAnswer::TooManyEnds => 503,
    };
    let state: &'static str = answer.into();
    HttpResponse::json(status, &StateBody { state })
}
