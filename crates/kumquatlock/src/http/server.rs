//! A multi-threaded HTTP server with a bounded number of concurrent requests.

use std::io::{self, Cursor, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server, StatusCode};

use super::accept_waker::{AcceptWaker, WakerSignals};
use super::message::{HttpRequest, HttpResponse, MAX_HEADERS};

/// Reason why a server could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address could not be bound.
    #[error("failed to listen on {address}: {reason}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error reported by the operating system.
        reason: String,
    },
    /// A thread could not be started.
    #[error("failed to start a server thread: {0}")]
    Thread(#[from] io::Error),
}

/// Handles requests on the server's threads. A handler may block.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request and returns its response.
    fn handle(&self, request: HttpRequest) -> HttpResponse;
}

impl<F> RequestHandler for F
where
    F: Fn(HttpRequest) -> HttpResponse + Send + Sync + 'static,
{
    fn handle(&self, request: HttpRequest) -> HttpResponse {
        self(request)
    }
}

/// Sends the response of one request from the actor to the thread that waits for it.
#[derive(Debug)]
pub struct ReplySender {
    sender: SyncSender<HttpResponse>,
}

impl ReplySender {
    /// Creates a sender and the receiver of its response.
    pub fn new() -> (Self, Receiver<HttpResponse>) {
        let (sender, receiver) = sync_channel(1);
        (ReplySender { sender }, receiver)
    }

    /// Sends the response. Does nothing if the receiver has been dropped.
    pub fn send(self, response: HttpResponse) {
        let _ = self.sender.try_send(response);
    }
}

/// Maximum wait for requests in progress when a server is dropped. A client that stalls in the
/// middle of its body, or does not read its response, must not keep the process alive.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a stopping server checks whether a thread has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A running HTTP server. Dropping it stops the server; requests in progress have [`STOP_TIMEOUT`]
/// to finish.
pub struct HttpServer {
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    address: SocketAddr,
    _waker: AcceptWaker,
}

impl HttpServer {
    /// Listens on `address` and handles at most `workers` requests at once. Further requests wait. A
    /// body of more than `body_bytes` is refused.
    pub fn start<H: RequestHandler>(
        address: SocketAddr,
        workers: usize,
        body_bytes: usize,
        handler: H,
    ) -> Result<Self, ServerError> {
        let listen_error = |reason: String| ServerError::Listen { address, reason };
        let server = Server::http(address).map_err(|error| listen_error(error.to_string()))?;
        let bound = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| listen_error("no IP address".into()))?;
        let server = Arc::new(server);
        let stopping = Arc::new(AtomicBool::new(false));
        let handler = Arc::new(handler);
        let waker = AcceptWaker::start(bound)?;
        let mut threads = Vec::with_capacity(workers);
        for _ in 0..workers {
            let (server, stopping, handler) = (server.clone(), stopping.clone(), handler.clone());
            let signals = waker.signals();
            let worker =
                move || serve_requests(&server, &stopping, &signals, body_bytes, &*handler);
            threads.push(
                thread::Builder::new()
                    .name("http-server".into())
                    .spawn(worker)?,
            );
        }
        Ok(HttpServer {
            server,
            stopping,
            threads,
            address: bound,
            _waker: waker,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        for _ in &self.threads {
            self.server.unblock();
        }
        let stop_started_at = Instant::now();
        for thread in self.threads.drain(..) {
            while !thread.is_finished() && stop_started_at.elapsed() < STOP_TIMEOUT {
                thread::sleep(STOP_POLL_INTERVAL);
            }
            if thread.is_finished() {
                // A worker that panicked has already been reported by the panic hook.
                let _ = thread.join();
            } else {
                log::warn!("http_client_stalls_at_stop");
            }
        }
    }
}

fn serve_requests<H: RequestHandler>(
    server: &Server,
    stopping: &AtomicBool,
    signals: &WakerSignals,
    body_bytes: usize,
    handler: &H,
) {
    loop {
        match server.recv() {
            Ok(request) => {
                signals.mark_active();
                serve_request(request, body_bytes, handler);
            }
            Err(_) if stopping.load(Ordering::Acquire) => return,
            Err(error) => log::warn!(error:% = error; "http_receive_failed"),
        }
    }
}

fn serve_request<H: RequestHandler>(mut request: Request, body_bytes: usize, handler: &H) {
    let response = match read_request(&mut request, body_bytes) {
        Ok(request) => handler.handle(request),
        Err(refusal) => refusal.response(),
    };
    // The write fails if the caller has disconnected. The error needs no handling.
    let _ = request.respond(encode_response(response));
}

/// Reason for refusing a request before it is passed on for handling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RequestRefusal {
    BodyTooLarge,
    TooManyHeaders,
    TruncatedBody,
    /// The received bytes are not a valid request.
    Malformed,
    /// The head did not arrive in time.
    HeadTimeout,
}

#[derive(Serialize)]
struct RefusalBody {
    outcome: &'static str,
    reason: &'static str,
}

impl RequestRefusal {
    pub(super) fn response(self) -> HttpResponse {
        let status = match self {
            RequestRefusal::HeadTimeout => 408,
            RequestRefusal::Malformed => 400,
            RequestRefusal::BodyTooLarge => 413,
            RequestRefusal::TooManyHeaders => 431,
            RequestRefusal::TruncatedBody => 400,
        };
        let body = RefusalBody {
            outcome: "rejected",
            reason: self.into(),
        };
        HttpResponse::json(status, &body).with_header("kumquatlock-outcome", "rejected")
    }
}

fn read_request(request: &mut Request, body_bytes: usize) -> Result<HttpRequest, RequestRefusal> {
    if request.headers().len() > MAX_HEADERS {
        return Err(RequestRefusal::TooManyHeaders);
    }
    if request
        .body_length()
        .is_some_and(|length| length > body_bytes)
    {
        return Err(RequestRefusal::BodyTooLarge);
    }
    let body = read_body(request, body_bytes)?;
    let headers = request.headers().iter();
    Ok(HttpRequest {
        method: request.method().as_str().to_owned(),
        target: request.url().to_owned(),
        headers: headers
            .map(|header| (header.field.as_str().to_string(), header.value.to_string()))
            .collect(),
        body,
    })
}

fn read_body(request: &mut Request, body_bytes: usize) -> Result<Bytes, RequestRefusal> {
    let expected = request.body_length();
    let mut body = Vec::with_capacity(expected.unwrap_or_default());
    let mut reader = request.as_reader().take(body_bytes as u64 + 1);
    reader
        .read_to_end(&mut body)
        .map_err(|_| RequestRefusal::TruncatedBody)?;
    if body.len() > body_bytes {
        return Err(RequestRefusal::BodyTooLarge);
    }
    if expected.is_some_and(|expected| expected != body.len()) {
        return Err(RequestRefusal::TruncatedBody);
    }
    Ok(body.into())
}

fn encode_response(response: HttpResponse) -> Response<Cursor<Bytes>> {
    let headers = response
        .headers
        .iter()
        .filter_map(|(name, value)| Header::from_bytes(name.as_bytes(), value.as_bytes()).ok())
        .collect();
    let length = response.body.len();
    let reader = Cursor::new(response.body);
    // A `Content-Length` lets the caller detect a truncated response. Old clients detect a
    // truncated chunked response less reliably.
    Response::new(
        StatusCode(response.status),
        headers,
        reader,
        Some(length),
        None,
    )
    .with_chunked_threshold(usize::MAX)
}
