//! Request handling of a stand-in upstream.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use kumquatlock::util::cancel::CancelToken;
use kumquatlock::util::trace::{SeededIds, TRACEPARENT_HEADER, TraceContext};
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response};

use super::faults::ResponseFault;
use super::gate::{GateRefusal, SlotGate, SlotPermit};
use super::options::UpstreamOptions;
use crate::caller::{HttpCaller, HttpRequest, KEY_HEADER, TIMEOUT_HEADER};
use crate::relay::TcpRelay;

/// Header with the attempt id of a request, by which the request can be cancelled.
pub const ATTEMPT_HEADER: &str = "kumquatlock-attempt";

/// Header with the number of hops that a request has made; forwarded unchanged with chained calls.
pub const DEPTH_HEADER: &str = "kumquatlock-depth";

/// Response header with the reason why a request did not finish.
pub const REFUSAL_HEADER: &str = "stand-in-refusal";

/// Maximum length of a request body in bytes, the same as in the nodes.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// Maximum number of ended attempts that are kept, so that a late cancellation gets the state
/// `ended` instead of `unknown`.
const MAX_ENDED_ATTEMPTS: usize = 1_024;

#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) options: UpstreamOptions,
    pub(super) gate: SlotGate,
    /// Closes connections; `None` if [`UpstreamOptions::can_close_connections`] is false.
    pub(super) relay: Option<TcpRelay>,
    stop: CancelToken,
    attempts: Mutex<AttemptTable>,
    trace_ids: Mutex<SeededIds>,
    chain_caller: Option<HttpCaller>,
}

#[derive(Debug, Default)]
struct AttemptTable {
    /// Cancel tokens of the running attempts, at most one per slot.
    running: IndexMap<String, CancelToken>,
    ended: VecDeque<String>,
}

/// The headers and the body of a request that are needed while it runs.
struct RunRequest {
    key: Option<String>,
    attempt: Option<String>,
    trace: Option<TraceContext>,
    depth: Option<String>,
    deadline: Option<Instant>,
    body: Vec<u8>,
}

/// Outcome of a run.
enum RunOutcome {
    Finished,
    Cancelled,
    DeadlinePassed,
    Stopped,
}

/// Reply to a request.
enum RequestReply {
    Respond(u16, Value),
    Refuse(u16, &'static str),
    Stream(ResponseStream),
    Close,
}

/// A response with status 200 that may be slow or truncated.
struct ResponseStream {
    body: Vec<u8>,
    /// Number of bytes by which the `Content-Length` exceeds the body.
    missing: usize,
    chunks: usize,
    pause: Duration,
    status: u16,
}

impl ServerState {
    pub(super) fn new(
        options: UpstreamOptions,
        relay: Option<TcpRelay>,
        stop: CancelToken,
    ) -> Self {
        ServerState {
            gate: SlotGate::new(&options),
            relay,
            stop,
            attempts: Mutex::default(),
            trace_ids: Mutex::new(SeededIds::new(options.seed)),
            chain_caller: options
                .chain
                .as_ref()
                .map(|chain_call| HttpCaller::new(chain_call.node)),
            options,
        }
    }

    pub(super) fn serve(&self, mut request: Request) {
        let path = request.url().split('?').next().unwrap_or_default();
        let reply = match (request.method(), path) {
            (Method::Get, "/health") => self.report_health(),
            (Method::Get, "/load") => self.report_load(),
            (Method::Post, "/cancel") => self.cancel(&request),
            _ => self.serve_run(&mut request),
        };
        let peer = request.remote_addr().copied();
        match reply {
            RequestReply::Respond(status, value) => {
                respond(request, status, value.to_string().into_bytes(), None);
            }
            RequestReply::Refuse(status, reason) => {
                let body = json!({ "refusal": reason }).to_string().into_bytes();
                respond(request, status, body, Some(reason));
            }
            RequestReply::Stream(stream) => {
                // A write fails only if the caller has closed the connection.
                let _ = stream.write(request, &self.options.response_headers, &self.stop);
                if stream.missing > 0 {
                    self.close(peer);
                }
            }
            RequestReply::Close => {
                drop(request.into_writer());
                self.close(peer);
            }
        }
    }

    fn close(&self, peer: Option<SocketAddr>) {
        let closed = match (&self.relay, peer) {
            (Some(relay), Some(peer)) => relay.close_from_target(peer),
            _ => false,
        };
        if !closed {
            log::warn!(upstream = self.options.name.as_str(); "connection_not_closed");
        }
    }

    fn report_health(&self) -> RequestReply {
        match self.gate.report().healthy {
            true => RequestReply::Respond(200, json!({ "status": "ok" })),
            false => RequestReply::Respond(503, json!({ "status": "draining" })),
        }
    }

    fn report_load(&self) -> RequestReply {
        let in_flight = self.gate.report().in_flight;
        let value = json!({ "slots": self.options.slots, "in_flight": in_flight });
        RequestReply::Respond(200, value)
    }

    fn cancel(&self, request: &Request) -> RequestReply {
        let Some(attempt) = header(request, ATTEMPT_HEADER) else {
            return RequestReply::Respond(400, json!({ "error": "no attempt" }));
        };
        let attempts = self.attempts();
        if let Some(token) = attempts.running.get(attempt) {
            token.cancel();
            RequestReply::Respond(200, json!({ "state": "cancelled" }))
        } else if attempts.ended.iter().any(|ended| ended == attempt) {
            RequestReply::Respond(200, json!({ "state": "ended" }))
        } else {
            RequestReply::Respond(404, json!({ "state": "unknown" }))
        }
    }

    fn serve_run(&self, request: &mut Request) -> RequestReply {
        let run_request = match RunRequest::read(request) {
            Ok(Some(run_request)) => run_request,
            Ok(None) => return RequestReply::Refuse(413, "too-large"),
            Err(_) => return RequestReply::Close,
        };
        let permit = match self.gate.admit() {
            Ok(permit) => permit,
            Err(GateRefusal::Shed) => return RequestReply::Refuse(503, "shed"),
            Err(GateRefusal::Draining) => return RequestReply::Refuse(503, "draining"),
        };
        if permit.fault == ResponseFault::CloseBeforeRun {
            return RequestReply::Close;
        }
        let ledger = &self.options.ledger;
        let Ok(run) = ledger.start(run_request.key.as_deref(), &run_request.body) else {
            return RequestReply::Refuse(507, "ledger-full");
        };
        let token = self.stop.child();
        let _entry = run_request.attempt.as_deref().map(|attempt| {
            let mut attempts = self.attempts();
            attempts.running.insert(attempt.to_owned(), token.clone());
            AttemptEntry {
                state: self,
                attempt,
            }
        });
        match self.run(&run_request, &permit, &token) {
            RunOutcome::Finished => {}
            RunOutcome::Cancelled => return RequestReply::Refuse(499, "cancelled"),
            RunOutcome::DeadlinePassed => return RequestReply::Refuse(504, "deadline"),
            RunOutcome::Stopped => return RequestReply::Close,
        }
        let Ok(chained) = self.call_chain(&run_request) else {
            return RequestReply::Refuse(502, "chain");
        };
        if token.is_cancelled() {
            return RequestReply::Refuse(499, "cancelled");
        }
        ledger.finish(&run);
        let response = self.echo(request, &run_request, chained);
        reply_with(permit.fault, response)
    }

    /// Waits for the service time of a request, its deadline or its cancellation.
    fn run(
        &self,
        run_request: &RunRequest,
        permit: &SlotPermit<'_>,
        token: &CancelToken,
    ) -> RunOutcome {
        let hangs = permit.fault == ResponseFault::Hang;
        let deadline = run_request.deadline.filter(|_| !hangs);
        let remaining = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let service_time = if hangs {
            Duration::MAX
        } else {
            permit.service_time
        };
        let exceeds_deadline = remaining.is_some_and(|remaining| remaining < service_time);
        let wait = remaining.unwrap_or(Duration::MAX).min(service_time);
        match token.wait_timeout(wait) {
            true if self.stop.is_cancelled() => RunOutcome::Stopped,
            true => RunOutcome::Cancelled,
            false if exceeds_deadline => RunOutcome::DeadlinePassed,
            false => RunOutcome::Finished,
        }
    }

    /// Makes the chained call, if one is configured. Any response status but 200 fails the request.
    fn call_chain(&self, run_request: &RunRequest) -> Result<Value, ()> {
        let (Some(caller), Some(chain)) = (&self.chain_caller, &self.options.chain) else {
            return Ok(Value::Null);
        };
        let mut chained_request = HttpRequest::get(&chain.path);
        if let Some(trace) = run_request.trace {
            let mut ids = self
                .trace_ids
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            chained_request = chained_request.trace(trace.child(&mut *ids));
        }
        if let Some(depth) = &run_request.depth {
            chained_request = chained_request.header(DEPTH_HEADER, depth);
        }
        if let Some(deadline) = run_request.deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            chained_request = chained_request.timeout(remaining.max(Duration::from_millis(1)));
        }
        match caller.send(&chained_request) {
            Ok(response) if response.status == 200 => Ok(response.json()),
            _ => Err(()),
        }
    }

    fn echo(&self, request: &Request, run_request: &RunRequest, chained: Value) -> Vec<u8> {
        let mut value = json!({
            "upstream": self.options.name,
            "service": self.options.service,
            "method": request.method().as_str(),
            "path": request.url(),
            "key": run_request.key,
            "body": String::from_utf8_lossy(&run_request.body),
        });
        if let Some(trace) = run_request.trace {
            value["traceparent"] = json!(trace.to_string());
        }
        if !chained.is_null() {
            value["chained"] = chained;
        }
        let mut response = value.to_string().into_bytes();
        // Pads with spaces, since whitespace after a JSON document does not change its value.
        response.resize(response.len().max(self.options.response_bytes), b' ');
        response
    }

    fn attempts(&self) -> MutexGuard<'_, AttemptTable> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn reply_with(fault: ResponseFault, body: Vec<u8>) -> RequestReply {
    let mut stream = ResponseStream {
        body,
        missing: 0,
        chunks: 1,
        pause: Duration::ZERO,
        status: 200,
    };
    match fault {
        ResponseFault::CloseAfterRun | ResponseFault::CloseBeforeRun => return RequestReply::Close,
        ResponseFault::Truncate { missing } => stream.missing = missing,
        ResponseFault::Slow { chunks, pause } => (stream.chunks, stream.pause) = (chunks, pause),
        ResponseFault::Status(status) => (stream.status, stream.body) = (status, Vec::new()),
        ResponseFault::None | ResponseFault::Hang => {}
    }
    RequestReply::Stream(stream)
}

impl ResponseStream {
    /// Writes the response to the connection without tiny_http, which can neither pause nor send a
    /// wrong length, and which sends bodies over 32 KiB in chunks without a `Content-Length`.
    fn write(&self, request: Request, headers: &str, stop: &CancelToken) -> std::io::Result<()> {
        let length = self.body.len() + self.missing;
        let status = self.status;
        let mut head = format!(
            "HTTP/1.1 {status:03} OK\r\nContent-Type: application/json\r\n{headers}\
             Content-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        let mut writer = request.into_writer();
        if self.pause.is_zero() {
            head.extend_from_slice(&self.body);
            writer.write_all(&head)?;
            return writer.flush();
        }
        writer.write_all(&head)?;
        writer.flush()?;
        let chunk_bytes = self.body.len().div_ceil(self.chunks.max(1)).max(1);
        for chunk in self.body.chunks(chunk_bytes) {
            stop.wait_timeout(self.pause);
            writer.write_all(chunk)?;
            writer.flush()?;
        }
        Ok(())
    }
}

/// Moves an attempt from the running to the ended attempts when it is dropped.
struct AttemptEntry<'a> {
    state: &'a ServerState,
    attempt: &'a str,
}

impl Drop for AttemptEntry<'_> {
    fn drop(&mut self) {
        let mut attempts = self.state.attempts();
        attempts.running.swap_remove(self.attempt);
        if attempts.ended.len() == MAX_ENDED_ATTEMPTS {
            attempts.ended.pop_front();
        }
        attempts.ended.push_back(self.attempt.to_owned());
    }
}

impl RunRequest {
    /// Reads a request. Returns `None` if its body is longer than [`MAX_BODY_BYTES`].
    fn read(request: &mut Request) -> std::io::Result<Option<RunRequest>> {
        let received = Instant::now();
        let owned = |name| header(request, name).map(str::to_owned);
        let timeout = header(request, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
        let mut run_request = RunRequest {
            key: owned(KEY_HEADER),
            attempt: owned(ATTEMPT_HEADER),
            trace: header(request, TRACEPARENT_HEADER).and_then(|text| text.parse().ok()),
            depth: owned(DEPTH_HEADER),
            deadline: timeout.map(|millis| received + Duration::from_millis(millis)),
            body: Vec::new(),
        };
        let mut reader = request.as_reader().take(MAX_BODY_BYTES + 1);
        reader.read_to_end(&mut run_request.body)?;
        let is_allowed = run_request.body.len() as u64 <= MAX_BODY_BYTES;
        Ok(is_allowed.then_some(run_request))
    }
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let mut headers = request.headers().iter();
    headers
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

fn respond(request: Request, status: u16, body: Vec<u8>, refusal: Option<&str>) {
    let mut response = Response::from_data(body).with_status_code(status);
    let fields = [
        Some(("Content-Type", "application/json")),
        refusal.map(|reason| (REFUSAL_HEADER, reason)),
    ];
    for (name, value) in fields.into_iter().flatten() {
        response.add_header(Header::from_bytes(name, value).expect("the header is valid"));
    }
    // A write fails only if the caller has closed the connection.
    let _ = request.respond(response);
}
