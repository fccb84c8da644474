//! Requests to the node itself: of the upstream beside it, and of those who watch the node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::HeaderNames;
use crate::core::SharedName;
use crate::http::{HttpRequest, HttpResponse};
use crate::manifest::is_valid_name;
use crate::membership::AnnounceAnswer;

/// Most slots that an upstream may announce.
const MAX_SLOTS: u32 = 100_000;

/// Listener that a request came through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NodePort {
    /// Of callers; requests that are not for the node itself are calls.
    Callers,
    /// Of the upstream beside the node.
    Upstream,
    /// Of whoever asks whether the node is ready.
    Readiness,
    /// Of scrapers.
    Metrics,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalAnnouncement {
    /// Name of the upstream; that of its node if it states none.
    pub name: Option<String>,
    /// Service that it serves.
    pub service: String,
    /// Address on which it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes at once; defaults to the slots.
    pub connections: Option<u32>,
    /// Run of the upstream; empty if it states none.
    pub instance: SharedName,
    /// Start of the run in milliseconds since 1970; zero if it states none.
    pub run_started_ms: u64,
    /// Number of the announcement within the run; zero if it is not numbered.
    pub sequence: u64,
    /// The upstream takes no new work any more.
    pub is_draining: bool,
}

/// A checked request to the node itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalRequest {
    /// The upstream announces itself.
    Announce(LocalAnnouncement),
    /// The upstream takes no new work any more.
    Drain,
    /// The upstream is gone; with its run if it names one.
    Leave(Option<SharedName>),
    /// Whether callers may send requests.
    Ready,
    /// The metrics page.
    Metrics,
}

/// An answer to a [`LocalRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalAnswer {
    /// To the upstream.
    Announced(AnnounceAnswer),
    /// The node stops and takes no announcement.
    Stopping,
    /// The announcement is for another name.
    WrongName,
    /// Whether callers may send requests.
    Ready(bool),
}

/// How callers, the upstream and the platform speak to a node: names of headers, and functions
/// between their requests and the product's.
#[derive(Clone, Copy, Debug)]
pub struct NodeAdapter {
    /// Headers of calls.
    pub names: HeaderNames,
    /// Reads a request to the node itself; none if it is a call.
    pub read: fn(NodePort, &HttpRequest) -> Option<Result<LocalRequest, HttpResponse>>,
    /// Words an answer.
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

/// Body of an announcement.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceBody {
    name: String,
    service: String,
    address: SocketAddr,
    slots: u32,
    #[serde(default)]
    connections: Option<u32>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum LocalRefusal {
    UnknownPath,
    WrongMethod,
    InvalidBody,
    InvalidName,
    InvalidService,
    InvalidSlots,
    WrongName,
    Stopping,
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
            LocalRefusal::Stopping => 503,
            _ => 422,
        };
        HttpResponse::json(status, &RefusalBody { error: self.into() })
    }
}

/// Checks what an announcement says, whatever its form. Returns what is wrong with it.
pub fn check_announcement(announcement: &LocalAnnouncement) -> Option<&'static str> {
    let refusal = refuse_announcement(announcement)?;
    Some(refusal.into())
}

fn refuse_announcement(announcement: &LocalAnnouncement) -> Option<LocalRefusal> {
    let name = announcement.name.as_deref();
    if name.is_some_and(|name| !is_valid_name(name)) {
        return Some(LocalRefusal::InvalidName);
    }
    if !is_valid_name(&announcement.service) {
        return Some(LocalRefusal::InvalidService);
    }
    let connections = announcement.connections.unwrap_or(announcement.slots);
    let counts = [announcement.slots, connections];
    let are_usable = counts.iter().all(|count| (1..=MAX_SLOTS).contains(count));
    (!are_usable).then_some(LocalRefusal::InvalidSlots)
}

fn read(port: NodePort, request: &HttpRequest) -> Option<Result<LocalRequest, HttpResponse>> {
    match (port, request.path()) {
        (NodePort::Callers | NodePort::Metrics, "/metrics") => Some(Ok(LocalRequest::Metrics)),
        (NodePort::Callers, _) => None,
        (NodePort::Upstream | NodePort::Readiness, "/v1/ready") => Some(Ok(LocalRequest::Ready)),
        _ => Some(read_upstream(request).map_err(LocalRefusal::response)),
    }
}

/// Checks a request of the upstream.
fn read_upstream(request: &HttpRequest) -> Result<LocalRequest, LocalRefusal> {
    let parsed = match request.path() {
        "/v1/announce" => read_announcement(request).map(LocalRequest::Announce),
        "/v1/drain" => Ok(LocalRequest::Drain),
        "/v1/leave" => Ok(LocalRequest::Leave(None)),
        _ => return Err(LocalRefusal::UnknownPath),
    };
    match request.method.as_str() {
        "POST" => parsed,
        _ => Err(LocalRefusal::WrongMethod),
    }
}

fn read_announcement(request: &HttpRequest) -> Result<LocalAnnouncement, LocalRefusal> {
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
    };
    match refuse_announcement(&announcement) {
        None => Ok(announcement),
        Some(refusal) => Err(refusal),
    }
}

fn write(answer: LocalAnswer) -> HttpResponse {
    match answer {
        LocalAnswer::Announced(answer) => announce_response(answer),
        LocalAnswer::Stopping => LocalRefusal::Stopping.response(),
        LocalAnswer::WrongName => LocalRefusal::WrongName.response(),
        LocalAnswer::Ready(true) => HttpResponse::json(200, &StateBody { state: "ready" }),
        LocalAnswer::Ready(false) => HttpResponse::json(503, &StateBody { state: "not_ready" }),
    }
}

fn announce_response(answer: AnnounceAnswer) -> HttpResponse {
    let status = match answer {
        AnnounceAnswer::Serving { .. }
        | AnnounceAnswer::Draining
        | AnnounceAnswer::Left
        | AnnounceAnswer::Late => 200,
        AnnounceAnswer::OtherUpstream | AnnounceAnswer::NameTaken => 409,
        AnnounceAnswer::Invalid => 422,
    };
    let state: &'static str = answer.into();
    HttpResponse::json(status, &StateBody { state })
}
