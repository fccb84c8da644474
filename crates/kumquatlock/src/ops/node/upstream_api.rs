//! Requests of the upstream beside this node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::http::{HttpRequest, HttpResponse};
use crate::manifest::is_valid_name;

/// Most slots that an upstream may announce.
const MAX_SLOTS: u32 = 100_000;

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AnnounceBody {
    /// Name of the upstream.
    pub(super) name: String,
    /// Service that it serves.
    pub(super) service: String,
    /// Address on which it takes requests.
    pub(super) address: SocketAddr,
    /// Requests that it runs at once.
    pub(super) slots: u32,
    /// Connections that it takes at once; defaults to the slots.
    #[serde(default)]
    pub(super) connections: Option<u32>,
}

/// A checked request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum UpstreamRequest {
    Announce(AnnounceBody),
    Drain,
    Leave,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum UpstreamRefusal {
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

impl UpstreamRefusal {
    /// The refusal as HTTP.
    pub(super) fn response(self) -> HttpResponse {
        let status = match self {
            UpstreamRefusal::UnknownPath => 404,
            UpstreamRefusal::WrongMethod => 405,
            UpstreamRefusal::WrongName => 409,
            UpstreamRefusal::Stopping => 503,
            _ => 422,
        };
        HttpResponse::json(status, &RefusalBody { error: self.into() })
    }
}

/// Checks a request of the upstream.
pub(super) fn parse(request: &HttpRequest) -> Result<UpstreamRequest, UpstreamRefusal> {
    let parsed = match request.path() {
        "/v1/announce" => parse_announce(request),
        "/v1/drain" => Ok(UpstreamRequest::Drain),
        "/v1/leave" => Ok(UpstreamRequest::Leave),
        _ => return Err(UpstreamRefusal::UnknownPath),
    };
    match request.method.as_str() {
        "POST" => parsed,
        _ => Err(UpstreamRefusal::WrongMethod),
    }
}

fn parse_announce(request: &HttpRequest) -> Result<UpstreamRequest, UpstreamRefusal> {
    let body: AnnounceBody =
        serde_json::from_slice(&request.body).map_err(|_| UpstreamRefusal::InvalidBody)?;
    if !is_valid_name(&body.name) {
        return Err(UpstreamRefusal::InvalidName);
    }
    if !is_valid_name(&body.service) {
        return Err(UpstreamRefusal::InvalidService);
    }
    let connections = body.connections.unwrap_or(body.slots);
    if !(1..=MAX_SLOTS).contains(&body.slots) || !(1..=MAX_SLOTS).contains(&connections) {
        return Err(UpstreamRefusal::InvalidSlots);
    }
    Ok(UpstreamRequest::Announce(body))
}
