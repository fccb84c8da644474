//! Parsing and validation of a caller's request.

use std::time::Duration;

use bytes::Bytes;
use kumquatlock_wire::call::HeaderField;

use super::answer::RejectReason;
use super::names::HeaderNames;
use crate::account::{KeyHeader, PresentedKey};
use crate::call::RunId;
use crate::core::{RequestClass, RouteEntry, SharedName, Timestamp, stable_hash};
use crate::http::HttpRequest;
use crate::util::trace::{TRACEPARENT_HEADER, TraceContext};

/// Idempotency key, by which a resend of the same request is recognised.
pub const KEY_HEADER: &str = "idempotency-key";
/// Time that the caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";
/// Header with the API key of the caller's account.
pub const API_KEY_HEADER: KeyHeader = KeyHeader {
    name: "authorization",
    scheme: "Bearer",
};
/// Name of the client account that sent a request. Nodes set it.
pub const ACCOUNT_HEADER: &str = "kumquatlock-account";
/// Number of calls above this one in the call chain. Nodes set it, upstreams pass it on.
pub const DEPTH_HEADER: &str = "kumquatlock-depth";
/// Identifies one attempt to the upstream, so that it can be cancelled.
pub const ATTEMPT_HEADER: &str = "kumquatlock-attempt";
/// Requests per second that an upstream takes, stated in its answers.
pub const RATE_LIMIT_HEADER: &str = "kumquatlock-rate-limit";
/// States in an upstream's answers that it is leaving.
pub const LEAVING_HEADER: &str = "kumquatlock-leaving";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Maximum time that a caller may wait. Deferred work may wait up to an hour.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(MAX_TIMEOUT_MS);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
const INTERNAL_TIMEOUT: Duration = Duration::from_secs(1);
const DEFERRED_TIMEOUT: Duration = MAX_TIMEOUT;

/// Headers that are valid for a single hop or that the nodes set themselves.
const NOT_FORWARDED_HEADERS: [&str; 12] = [
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

/// The run of an upstream beside the entry node, during which the upstream made a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParentRun {
    /// Identifies the run at the node, in its role as the destination node.
    pub run: RunId,
    /// Number of calls above the run.
    pub depth: u32,
    /// Rank of the run's route.
    pub rank: u32,
    /// When the caller of the run stops waiting.
    pub deadline: Timestamp,
    /// Services of the runs above the call, the outermost first. The last one is that of this run.
    pub callers: Vec<SharedName>,
}

/// A validated request as it entered the mesh.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: String,
    /// Host without the port; empty if absent.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Headers to forward.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Option<String>,
    /// Header fields that may contain the caller's API key; not in `headers`.
    pub api_key: PresentedKey,
    /// Time that the caller waits, if it states one.
    pub timeout: Option<Duration>,
    /// Trace that the request belongs to. An invalid trace header is ignored, as the W3C Trace
    /// Context standard requires.
    pub trace: Option<TraceContext>,
    /// Number of calls above this one in the call chain.
    pub depth: u32,
    /// Caller's own identifier of its attempt, for logs.
    pub id: Option<String>,
    /// Whether an upstream sent the request while it was running another one.
    pub is_nested: bool,
    /// The run that made the request, if it is known.
    pub parent: Option<ParentRun>,
    /// Hash of method, target and body.
    pub digest: u64,
}

impl CallerRequest {
    /// Validates the headers that the mesh reads and converts the request.
    pub fn from_http(request: HttpRequest, names: &HeaderNames) -> Result<Self, RejectReason> {
        let key = optional_header(&request, names.key).map_err(|_| RejectReason::InvalidKey)?;
        let key = key.map(parse_key).transpose()?;
        let timeout =
            single_header(&request, names.timeout).map_err(|_| RejectReason::InvalidTimeout)?;
        let timeout = timeout.map(parse_timeout).transpose()?;
        let depth =
            optional_header(&request, names.depth).map_err(|_| RejectReason::InvalidDepth)?;
        let depth = depth.map(parse_depth).transpose()?.unwrap_or(0);
        let trace = request
            .header(TRACEPARENT_HEADER)
            .and_then(|value| value.parse().ok());
        let host = request.header("host").unwrap_or_default();
        let host = host
            .rsplit_once(':')
            .map_or(host, |(name, _)| name)
            .to_ascii_lowercase();
        let digest = request_digest(&request);
        let id = names.request_id.and_then(|name| request.header(name));
        let id = id.map(str::to_owned);
        let headers = request.headers.into_iter();
        let headers = headers
            .filter(|(name, _)| is_forwarded(name) && !names.is_set_by_mesh(name))
            .map(|(name, value)| HeaderField { name, value });
        let (key_fields, headers) = headers.partition(|field| names.is_api_key(&field.name));
        Ok(CallerRequest {
            method: request.method,
            host,
            target: request.target,
            headers,
            body: request.body,
            key,
            api_key: PresentedKey::new(key_fields),
            timeout,
            trace,
            depth,
            id,
            is_nested: depth > 0,
            parent: None,
            digest,
        })
    }

    /// Marks the request as made by a run. Nobody waits for its answer once the caller of the run
    /// no longer waits.
    pub fn set_parent(&mut self, now: Timestamp, parent: ParentRun) {
        let left = parent.deadline.since(now);
        self.timeout = Some(self.timeout.map_or(left, |timeout| timeout.min(left)));
        self.depth = parent.depth + 1;
        self.is_nested = true;
        self.parent = Some(parent);
    }

    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// Returns how long the caller is kept waiting: the time that the caller states, or else the
    /// route's timeout, or else the default of the class; limited by the route's timeout and by
    /// `max_timeout`, the node's limit.
    pub fn timeout_for(&self, route: &RouteEntry, max_timeout: Duration) -> Duration {
        let requested = self.timeout.or(route.timeout);
        let requested = requested.unwrap_or(match route.class {
            RequestClass::Internal => INTERNAL_TIMEOUT,
            RequestClass::Deferred => DEFERRED_TIMEOUT,
            RequestClass::Lookup | RequestClass::AtMostOnce => DEFAULT_TIMEOUT,
        });
        route
            .timeout
            .map_or(requested, |timeout| requested.min(timeout))
            .min(max_timeout)
    }
}

/// Whether a header of a request or an answer is forwarded to the next hop.
pub(super) fn is_forwarded(name: &str) -> bool {
    let is_listed = NOT_FORWARDED_HEADERS
        .iter()
        .any(|header| name.eq_ignore_ascii_case(header));
    !is_listed && !name.to_ascii_lowercase().starts_with("kumquatlock-")
}

/// Error for a header that occurs more than once.
struct RepeatedHeader;

fn optional_header<'a>(
    request: &'a HttpRequest,
    name: Option<&str>,
) -> Result<Option<&'a str>, RepeatedHeader> {
    name.map_or(Ok(None), |name| single_header(request, name))
}

/// Returns a header that must not occur twice. If a request carried two keys, its resend could
/// carry only the other one and would not be recognised.
fn single_header<'a>(
    request: &'a HttpRequest,
    name: &str,
) -> Result<Option<&'a str>, RepeatedHeader> {
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
    let is_visible = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_KEY_BYTES || !is_visible {
        return Err(RejectReason::InvalidKey);
    }
    Ok(value.to_owned())
}

/// Separates an idempotency key from the account that used it; occurs in neither.
const KEY_SCOPE_SEPARATOR: char = ' ';

/// Returns an idempotency key that is distinct from those of all other accounts.
pub(super) fn scope_key(key: &str, account: &str) -> String {
    format!("{key}{KEY_SCOPE_SEPARATOR}{account}")
}

/// Returns the idempotency key as the caller sent it.
pub(super) fn unscoped_key(key: &str) -> &str {
    let scoped = key.split_once(KEY_SCOPE_SEPARATOR);
    scoped.map_or(key, |(key, _)| key)
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

fn request_digest(request: &HttpRequest) -> u64 {
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
