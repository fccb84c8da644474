//! A caller's request, checked.

use std::time::Duration;

use bytes::Bytes;
use kumquatlock_wire::call::HeaderField;

use super::answer::RejectReason;
use super::names::HeaderNames;
use crate::core::{RequestClass, RouteEntry, stable_hash};
use crate::http::HttpRequest;
use crate::util::trace::{TRACEPARENT_HEADER, TraceContext};

/// Names a request, so that a resend is recognised.
pub const KEY_HEADER: &str = "idempotency-key";
/// Time that the caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";
/// Calls above this one in the chain; set by nodes and passed on by upstreams.
pub const DEPTH_HEADER: &str = "kumquatlock-depth";
/// Names one attempt towards the upstream, for cancellation.
pub const ATTEMPT_HEADER: &str = "kumquatlock-attempt";

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 128;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Longest time that a caller may wait: deferred work waits up to an hour.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(MAX_TIMEOUT_MS);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
const INTERNAL_TIMEOUT: Duration = Duration::from_secs(1);
const DEFERRED_TIMEOUT: Duration = MAX_TIMEOUT;

/// Headers that end at each hop or that the nodes set themselves.
const HOP_HEADERS: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    TRACEPARENT_HEADER,
];

/// A request as it entered the mesh.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: String,
    /// Host without port; empty if absent.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time that the caller waits, if it said so.
    pub timeout: Option<Duration>,
    /// Trace that the request belongs to. An invalid trace header is ignored, as the trace
    /// context standard asks.
    pub trace: Option<TraceContext>,
    /// Calls above this one in the chain.
    pub depth: u32,
    /// The caller's own name of its attempt, for logs.
    pub id: Option<String>,
    /// Whether an upstream made the request while it ran another one.
    pub is_inner: bool,
    /// Hash of method, target and body.
    pub digest: u64,
}

impl CallerRequest {
    /// Checks the headers that the mesh reads.
    pub fn from_http(request: HttpRequest, names: &HeaderNames) -> Result<Self, RejectReason> {
        let key = optional(&request, names.key).map_err(|_| RejectReason::InvalidKey)?;
        let key = key.map(parse_key).transpose()?;
        let timeout = single(&request, names.timeout).map_err(|_| RejectReason::InvalidTimeout)?;
        let timeout = timeout.map(parse_timeout).transpose()?;
        let depth = optional(&request, names.depth).map_err(|_| RejectReason::InvalidDepth)?;
        let depth = depth.map(parse_depth).transpose()?.unwrap_or(0);
        let trace = request
            .header(TRACEPARENT_HEADER)
            .and_then(|value| value.parse().ok());
        let host = request.header("host").unwrap_or_default();
        let host = host
            .rsplit_once(':')
            .map_or(host, |(name, _)| name)
            .to_ascii_lowercase();
        let digest = digest_of(&request);
        let id = names.request_id.and_then(|name| request.header(name));
        let id = id.map(str::to_owned);
        let headers = request.headers.into_iter();
        let headers = headers
            .filter(|(name, _)| is_forwarded(name) && !names.is_own(name))
            .map(|(name, value)| HeaderField { name, value })
            .collect();
        Ok(CallerRequest {
            method: request.method,
            host,
            target: request.target,
            headers,
            body: request.body,
            key,
            timeout,
            trace,
            depth,
            id,
            is_inner: depth > 0,
            digest,
        })
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// Time that the caller is kept waiting: what it or its class asks for, within the bounds of
    /// the route and of the node.
    pub fn timeout_for(&self, route: &RouteEntry, longest: Duration) -> Duration {
        let waits = self.timeout.or(route.timeout);
        let waits = waits.unwrap_or(match route.class {
            RequestClass::Internal => INTERNAL_TIMEOUT,
            RequestClass::Deferred => DEFERRED_TIMEOUT,
            RequestClass::Lookup | RequestClass::AtMostOnce => DEFAULT_TIMEOUT,
        });
        route
            .timeout
            .map_or(waits, |timeout| waits.min(timeout))
            .min(longest)
    }
}

/// Whether a header of a request or answer is passed on to the next hop.
pub(super) fn is_forwarded(name: &str) -> bool {
    let hop = HOP_HEADERS
        .iter()
        .any(|header| name.eq_ignore_ascii_case(header));
    !hop && !name.to_ascii_lowercase().starts_with("kumquatlock-")
}

/// The header is given more than once.
struct RepeatedHeader;

fn optional<'a>(
    request: &'a HttpRequest,
    name: Option<&str>,
) -> Result<Option<&'a str>, RepeatedHeader> {
    name.map_or(Ok(None), |name| single(request, name))
}

/// A header that must not be given twice. Of two keys, a resend could carry only the other one.
fn single<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, RepeatedHeader> {
    let mut found = request
        .headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    let first = found.next().map(|(_, value)| value.as_str());
    match found.next() {
        None => Ok(first),
        Some(_) => Err(RepeatedHeader),
    }
}

fn parse_key(value: &str) -> Result<String, RejectReason> {
    let visible = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_KEY_BYTES || !visible {
        return Err(RejectReason::InvalidKey);
    }
    Ok(value.to_owned())
}

fn parse_timeout(value: &str) -> Result<Duration, RejectReason> {
    match value.parse::<u64>() {
        Ok(millis @ 1..=MAX_TIMEOUT_MS) => Ok(Duration::from_millis(millis)),
        _ => Err(RejectReason::InvalidTimeout),
    }
}

fn parse_depth(value: &str) -> Result<u32, RejectReason> {
    match value.parse::<u32>() {
        Ok(depth) if depth < super::MAX_DEPTH => Ok(depth),
        Ok(_) => Err(RejectReason::DepthExceeded),
        Err(_) => Err(RejectReason::InvalidDepth),
    }
}

fn digest_of(request: &HttpRequest) -> u64 {
    let mut bytes =
        Vec::with_capacity(request.method.len() + request.target.len() + request.body.len() + 2);
    for part in [
        request.method.as_bytes(),
        request.target.as_bytes(),
        &request.body[..],
    ] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }
    stable_hash(&bytes)
}
