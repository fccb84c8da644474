//! A blocking HTTP caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kumquatlock::util::trace::{TRACEPARENT_HEADER, TraceContext};
use thiserror::Error;
use ureq::http::{Method, Request};

/// Header that identifies a request that must not run twice.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// Header with the time that the caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";

/// Header of an answer with its outcome word.
pub const OUTCOME_HEADER: &str = "kumquatlock-outcome";

/// How much longer than its stated timeout a caller waits, so that the typed answer of a node
/// arrives before the caller gives up.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Time that a caller waits if its request states none. The default of the nodes.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle connections that one caller keeps.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Bound on the length of an answer in bytes: twice the longest body that the mesh carries, so
/// that an overlong answer is seen as such.
const MAX_RESPONSE_BYTES: u64 = 2 << 20;

/// One request to send.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    method: Method,
    path: String,
    body: Vec<u8>,
    timeout: Option<Duration>,
    headers: Vec<(String, String)>,
}

impl HttpRequest {
    /// A GET of `path`, which starts with a slash.
    pub fn get(path: &str) -> Self {
        HttpRequest {
            method: Method::GET,
            path: path.to_owned(),
            body: Vec::new(),
            timeout: None,
            headers: Vec::new(),
        }
    }

    /// A POST of `body` to `path`.
    pub fn post(path: &str, body: impl Into<Vec<u8>>) -> Self {
        HttpRequest {
            method: Method::POST,
            body: body.into(),
            ..HttpRequest::get(path)
        }
    }

    /// Sets the `Idempotency-Key`.
    pub fn key(self, key: &str) -> Self {
        self.header(KEY_HEADER, key)
    }

    /// Sets the `Request-Timeout-Ms`.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self.header(TIMEOUT_HEADER, &timeout.as_millis().to_string())
    }

    /// Sets the `traceparent`.
    pub fn trace(self, context: TraceContext) -> Self {
        self.header(TRACEPARENT_HEADER, &context.to_string())
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `kumquatlock-outcome`.
    pub outcome: Option<String>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Time from sending to the last byte of the body.
    pub duration: Duration,
}

impl HttpResponse {
    /// The body as JSON; null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A call without a complete answer.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The plan holds a path or header that HTTP does not allow.
    #[error("request to {target} cannot be built")]
    InvalidRequest {
        /// Address of the request.
        target: SocketAddr,
        /// What HTTP does not allow.
        source: ureq::http::Error,
    },
    /// The connection failed or broke before the headers of the answer.
    #[error("no answer from {target} after {after:?}")]
    NoResponse {
        /// Address that was called.
        target: SocketAddr,
        /// Time from sending to the failure.
        after: Duration,
        /// What went wrong.
        source: ureq::Error,
    },
    /// The body broke off.
    #[error("incomplete answer with status {status} from {target} after {after:?}")]
    Incomplete {
        /// Address that was called.
        target: SocketAddr,
        /// Status of the broken answer.
        status: u16,
        /// Time from sending to the failure.
        after: Duration,
        /// What went wrong.
        source: ureq::Error,
    },
}

/// A caller with kept-alive connections to one address. Clones share the connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    agent: ureq::Agent,
    target: SocketAddr,
}

impl HttpCaller {
    /// A caller of `target`. No connection is opened before the first call.
    pub fn new(target: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            // A proxy from the environment would carry the traffic away from loopback.
            .proxy(None)
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .build();
        HttpCaller {
            agent: config.new_agent(),
            target,
        }
    }

    /// Address that is called.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Sends a GET of `path`.
    pub fn get(&self, path: &str) -> Result<HttpResponse, CallFailure> {
        self.send(&HttpRequest::get(path))
    }

    /// Sends a POST of `body` to `path`.
    pub fn post(&self, path: &str, body: impl Into<Vec<u8>>) -> Result<HttpResponse, CallFailure> {
        self.send(&HttpRequest::post(path, body))
    }

    /// Sends one request once and waits for the whole answer.
    pub fn send(&self, plan: &HttpRequest) -> Result<HttpResponse, CallFailure> {
        let target = self.target;
        let started = Instant::now();
        let sent = if plan.body.is_empty() && plan.method == Method::GET {
            self.run(plan, ())
        } else {
            self.run(plan, plan.body.as_slice())
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
            outcome: outcome.and_then(|word| word.to_str().ok().map(str::to_owned)),
            body,
            duration: started.elapsed(),
        })
    }

    fn run<B: ureq::AsSendBody>(
        &self,
        plan: &HttpRequest,
        body: B,
    ) -> Result<ureq::http::Response<ureq::Body>, SendFailure> {
        let uri = format!("http://{}{}", self.target, plan.path);
        let mut builder = Request::builder().method(&plan.method).uri(uri);
        for (name, value) in &plan.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(body).map_err(SendFailure::Build)?;
        let timeout = plan.timeout.unwrap_or(DEFAULT_TIMEOUT) + RESPONSE_GRACE;
        let configured = self.agent.configure_request(request);
        let request = configured.timeout_global(Some(timeout)).build();
        self.agent.run(request).map_err(SendFailure::Run)
    }
}

enum SendFailure {
    Build(ureq::http::Error),
    Run(ureq::Error),
}
