//! A blocking HTTP client for tests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kumquatlock::util::trace::{TRACEPARENT_HEADER, TraceContext};
use thiserror::Error;
use ureq::http::{Method, Request};

/// Header with the idempotency key of a request that must not run twice.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// Header with the time that the caller waits for the response, in milliseconds.
pub const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";

/// Response header with the outcome of the call, such as `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "kumquatlock-outcome";

/// Time that a caller waits beyond the timeout it sends, so that the error response of a node
/// arrives before the caller gives up.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Timeout of a request that sets none; equal to the default timeout of the nodes.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of idle connections that one caller keeps open.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Maximum length of a response body in bytes: twice the longest body that the mesh forwards, so
/// that a caller can receive, and detect, a body that exceeds the limit of the mesh.
const MAX_RESPONSE_BYTES: u64 = 2 << 20;

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    method: Method,
    path: String,
    body: Vec<u8>,
    timeout: Option<Duration>,
    headers: Vec<(String, String)>,
}

impl HttpRequest {
    /// Creates a GET request for `path`, which must start with a slash.
    pub fn get(path: &str) -> Self {
        HttpRequest {
            method: Method::GET,
            path: path.to_owned(),
            body: Vec::new(),
            timeout: None,
            headers: Vec::new(),
        }
    }

    /// Creates a POST request that sends `body` to `path`.
    pub fn post(path: &str, body: impl Into<Vec<u8>>) -> Self {
        HttpRequest {
            method: Method::POST,
            body: body.into(),
            ..HttpRequest::get(path)
        }
    }

    /// Creates a PUT request that sends `body` to `path`.
    pub fn put(path: &str, body: impl Into<Vec<u8>>) -> Self {
        HttpRequest {
            method: Method::PUT,
            ..HttpRequest::post(path, body)
        }
    }

    /// Sets the `Idempotency-Key` header.
    pub fn key(self, key: &str) -> Self {
        self.header(KEY_HEADER, key)
    }

    /// Sets the `Request-Timeout-Ms` header and how long the caller waits for the response.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self.header(TIMEOUT_HEADER, &timeout.as_millis().to_string())
    }

    /// Sets the `traceparent` header.
    pub fn trace(self, context: TraceContext) -> Self {
        self.header(TRACEPARENT_HEADER, &context.to_string())
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// An HTTP response that was received completely.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `kumquatlock-outcome` header.
    pub outcome: Option<String>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Time from sending the request to receiving the last byte of the body.
    pub duration: Duration,
}

impl HttpResponse {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Error of a call that got no complete response.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The request has a path or header that HTTP does not allow.
    #[error("invalid path or header in a request to {target}")]
    InvalidRequest {
        /// Address that the request was for.
        target: SocketAddr,
        /// The part of the request that HTTP does not allow.
        source: ureq::http::Error,
    },
    /// The connection failed or was closed before the headers of the response arrived.
    #[error("no response from {target} after {after:?}")]
    NoResponse {
        /// Address that was called.
        target: SocketAddr,
        /// Time from sending to the failure.
        after: Duration,
        /// Cause of the failure.
        source: ureq::Error,
    },
    /// The headers arrived, but the body could not be read to its end.
    #[error("incomplete response with status {status} from {target} after {after:?}")]
    Incomplete {
        /// Address that was called.
        target: SocketAddr,
        /// Status of the incomplete response.
        status: u16,
        /// Time from sending to the failure.
        after: Duration,
        /// Cause of the failure.
        source: ureq::Error,
    },
}

/// An HTTP client that calls one address over kept-alive connections. Clones share the
/// connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    agent: ureq::Agent,
    target: SocketAddr,
}

impl HttpCaller {
    /// Creates a caller of `target`. No connection is opened before the first call.
    pub fn new(target: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            // A proxy set in the environment would route the traffic away from loopback.
            .proxy(None)
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .build();
        HttpCaller {
            agent: config.new_agent(),
            target,
        }
    }

    /// Returns the address that is called.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Sends a GET request for `path`.
    pub fn get(&self, path: &str) -> Result<HttpResponse, CallFailure> {
        self.send(&HttpRequest::get(path))
    }

    /// Sends a POST request with `body` to `path`.
    pub fn post(&self, path: &str, body: impl Into<Vec<u8>>) -> Result<HttpResponse, CallFailure> {
        self.send(&HttpRequest::post(path, body))
    }

    /// Sends the request once, without retries, and waits for the complete response.
    pub fn send(&self, request: &HttpRequest) -> Result<HttpResponse, CallFailure> {
        let target = self.target;
        let started = Instant::now();
        let sent = if request.body.is_empty() && request.method == Method::GET {
            self.run(request, ())
        } else {
            self.run(request, request.body.as_slice())
        };
        let response = sent.map_err(|failure| match failure {
            SendFailure::Build(source) => CallFailure::InvalidRequest { target, source },
            SendFailure::Run(source) => CallFailure::NoResponse {
                target,
                after: started.elapsed(),
                source,
            },
        })?;
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        let body = body.into_with_config().limit(MAX_RESPONSE_BYTES);
        let body = body
            .read_to_vec()
            .map_err(|source| CallFailure::Incomplete {
                target,
                status,
                after: started.elapsed(),
                source,
            })?;
        let outcome = head.headers.get(OUTCOME_HEADER);
        Ok(HttpResponse {
            status,
            outcome: outcome.and_then(|value| value.to_str().ok().map(str::to_owned)),
            body,
            duration: started.elapsed(),
        })
    }

    fn run<B: ureq::AsSendBody>(
        &self,
        request: &HttpRequest,
        body: B,
    ) -> Result<ureq::http::Response<ureq::Body>, SendFailure> {
        let uri = format!("http://{}{}", self.target, request.path);
        let mut builder = Request::builder().method(&request.method).uri(uri);
        for (name, value) in &request.headers {
            builder = builder.header(name, value);
        }
        let built = builder.body(body).map_err(SendFailure::Build)?;
        let timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT) + RESPONSE_GRACE;
        let configured = self.agent.configure_request(built);
        let configured = configured.timeout_global(Some(timeout)).build();
        self.agent.run(configured).map_err(SendFailure::Run)
    }
}

enum SendFailure {
    Build(ureq::http::Error),
    Run(ureq::Error),
}
