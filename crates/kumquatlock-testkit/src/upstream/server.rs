//! Serving one request.

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

/// Header that names the attempt of a request, for its cancellation.
pub const ATTEMPT_HEADER: &str = "kumquatlock-attempt";

/// Header with the number of hops behind a request; passed on to chained calls as received.
pub const DEPTH_HEADER: &str = "kumquatlock-depth";

/// Header of an answer that says why a request did not run to its end.
pub const REFUSAL_HEADER: &str = "stand-in-refusal";

/// Bound on the length of a request body in bytes, as in the nodes.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// Ended attempts that a cancellation can still be told about.
const MAX_ENDED_ATTEMPTS: usize = 1_024;

#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) options: UpstreamOptions,
    pub(super) gate: SlotGate,
    /// Closes connections; absent if the upstream is not breakable.
    pub(super) relay: Option<TcpRelay>,
    stop: CancelToken,
    attempts: Mutex<AttemptTable>,
    trace_ids: Mutex<SeededIds>,
    chain: Option<HttpCaller>,
}

#[derive(Debug, Default)]
struct AttemptTable {
    /// Running attempts; at most one per slot.
    running: IndexMap<String, CancelToken>,
    ended: VecDeque<String>,
}

/// The parts of a request that matter while it runs.
struct WorkRequest {
    key: Option<String>,
    attempt: Option<String>,
    trace: Option<TraceContext>,
    depth: Option<String>,
    deadline: Option<Instant>,
    body: Vec<u8>,
}

/// How a run came to its end.
enum RunEnd {
    Finished,
    Cancelled,
    DeadlinePassed,
    Stopped,
}

/// What to do with the connection of a request.
enum WorkReply {
    Respond(u16, Value),
    Refuse(u16, &'static str),
    Stream(StreamPlan),
    Close,
}

/// A 200 answer that may be slow or cut short.
struct StreamPlan {
    body: Vec<u8>,
    /// Bytes that the Content-Length announces beyond the body.
    missing: usize,
    chunks: usize,
    pause: Duration,
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
            chain: options
                .chain
                .as_ref()
                .map(|chain| HttpCaller::new(chain.node)),
            options,
        }
    }

    pub(super) fn serve(&self, mut request: Request) {
        let path = request.url().split('?').next().unwrap_or_default();
        let reply = match (request.method(), path) {
            (Method::Get, "/health") => self.report_health(),
            (Method::Get, "/load") => self.report_load(),
            (Method::Post, "/cancel") => self.cancel(&request),
            _ => self.work(&mut request),
        };
        let peer = request.remote_addr().copied();
        match reply {
            WorkReply::Respond(status, value) => {
                respond(request, status, value.to_string().into_bytes(), None);
            }
            WorkReply::Refuse(status, word) => {
                let body = json!({ "refusal": word }).to_string().into_bytes();
                respond(request, status, body, Some(word));
            }
            WorkReply::Stream(plan) => {
                // A failed write means that the caller is gone.
                let _ = plan.write(request, &self.stop);
                if plan.missing > 0 {
                    self.close(peer);
                }
            }
            WorkReply::Close => {
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

    fn report_health(&self) -> WorkReply {
        match self.gate.report().healthy {
            true => WorkReply::Respond(200, json!({ "status": "ok" })),
            false => WorkReply::Respond(503, json!({ "status": "draining" })),
        }
    }

    fn report_load(&self) -> WorkReply {
        let in_flight = self.gate.report().in_flight;
        let value = json!({ "slots": self.options.slots, "in_flight": in_flight });
        WorkReply::Respond(200, value)
    }

    fn cancel(&self, request: &Request) -> WorkReply {
        let Some(attempt) = header(request, ATTEMPT_HEADER) else {
            return WorkReply::Respond(400, json!({ "error": "no attempt" }));
        };
        let attempts = self.attempts();
        if let Some(token) = attempts.running.get(attempt) {
            token.cancel();
            WorkReply::Respond(200, json!({ "state": "cancelled" }))
        } else if attempts.ended.iter().any(|ended| ended == attempt) {
            WorkReply::Respond(200, json!({ "state": "ended" }))
        } else {
            WorkReply::Respond(404, json!({ "state": "unknown" }))
        }
    }

    fn work(&self, request: &mut Request) -> WorkReply {
        let work = match WorkRequest::read(request) {
            Ok(Some(work)) => work,
            Ok(None) => return WorkReply::Refuse(413, "too-large"),
            Err(_) => return WorkReply::Close,
        };
        let permit = match self.gate.admit() {
            Ok(permit) => permit,
            Err(GateRefusal::Shed) => return WorkReply::Refuse(503, "shed"),
            Err(GateRefusal::Draining) => return WorkReply::Refuse(503, "draining"),
        };
        if permit.fault == ResponseFault::CloseBeforeRun {
            return WorkReply::Close;
        }
        let ledger = &self.options.ledger;
        let Ok(run) = ledger.start(work.key.as_deref(), &work.body) else {
            return WorkReply::Refuse(507, "ledger-full");
        };
        let token = self.stop.child();
        let _entry = work.attempt.as_deref().map(|attempt| {
            let mut attempts = self.attempts();
            attempts.running.insert(attempt.to_owned(), token.clone());
            AttemptEntry {
                state: self,
                attempt,
            }
        });
        match self.run(&work, &permit, &token) {
            RunEnd::Finished => {}
            RunEnd::Cancelled => return WorkReply::Refuse(499, "cancelled"),
            RunEnd::DeadlinePassed => return WorkReply::Refuse(504, "deadline"),
            RunEnd::Stopped => return WorkReply::Close,
        }
        let Ok(chained) = self.call_chain(&work) else {
            return WorkReply::Refuse(502, "chain");
        };
        if token.is_cancelled() {
            return WorkReply::Refuse(499, "cancelled");
        }
        ledger.finish(&run);
        let response = self.echo(request, &work, chained);
        reply_with(permit.fault, response)
    }

    /// Spends the service time of a request.
    fn run(&self, work: &WorkRequest, permit: &SlotPermit<'_>, token: &CancelToken) -> RunEnd {
        let hangs = permit.fault == ResponseFault::Hang;
        let deadline = work.deadline.filter(|_| !hangs);
        let left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let service_time = if hangs {
            Duration::MAX
        } else {
            permit.service_time
        };
        let ends_late = left.is_some_and(|left| left < service_time);
        let wait = left.unwrap_or(Duration::MAX).min(service_time);
        match token.wait_timeout(wait) {
            true if self.stop.is_cancelled() => RunEnd::Stopped,
            true => RunEnd::Cancelled,
            false if ends_late => RunEnd::DeadlinePassed,
            false => RunEnd::Finished,
        }
    }

    /// Makes the chained call, if there is one. Any answer but 200 fails the request.
    fn call_chain(&self, work: &WorkRequest) -> Result<Value, ()> {
        let (Some(caller), Some(chain)) = (&self.chain, &self.options.chain) else {
            return Ok(Value::Null);
        };
        let mut plan = HttpRequest::get(&chain.path);
        if let Some(trace) = work.trace {
            let mut ids = self
                .trace_ids
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            plan = plan.trace(trace.child(&mut *ids));
        }
        if let Some(depth) = &work.depth {
            plan = plan.header(DEPTH_HEADER, depth);
        }
        if let Some(deadline) = work.deadline {
            let rest = deadline.saturating_duration_since(Instant::now());
            plan = plan.timeout(rest.max(Duration::from_millis(1)));
        }
        match caller.send(&plan) {
            Ok(response) if response.status == 200 => Ok(response.json()),
            _ => Err(()),
        }
    }

    fn echo(&self, request: &Request, work: &WorkRequest, chained: Value) -> Vec<u8> {
        let mut value = json!({
            "upstream": self.options.name,
            "service": self.options.service,
            "method": request.method().as_str(),
            "path": request.url(),
            "key": work.key,
            "body": String::from_utf8_lossy(&work.body),
        });
        if let Some(trace) = work.trace {
            value["traceparent"] = json!(trace.to_string());
        }
        if !chained.is_null() {
            value["chained"] = chained;
        }
        let mut response = value.to_string().into_bytes();
        // White space after a JSON document does not change it.
        response.resize(response.len().max(self.options.response_bytes), b' ');
        response
    }

    fn attempts(&self) -> MutexGuard<'_, AttemptTable> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn reply_with(fault: ResponseFault, body: Vec<u8>) -> WorkReply {
    let mut plan = StreamPlan {
        body,
        missing: 0,
        chunks: 1,
        pause: Duration::ZERO,
    };
    match fault {
        ResponseFault::CloseAfterRun | ResponseFault::CloseBeforeRun => return WorkReply::Close,
        ResponseFault::Truncate { missing } => plan.missing = missing,
        ResponseFault::Slow { chunks, pause } => (plan.chunks, plan.pause) = (chunks, pause),
        ResponseFault::None | ResponseFault::Hang => {}
    }
    WorkReply::Stream(plan)
}

impl StreamPlan {
    /// Writes the answer by hand, since tiny_http neither pauses nor misstates a length, and
    /// sends bodies over 32 KiB in chunks without a Content-Length.
    fn write(&self, request: Request, stop: &CancelToken) -> std::io::Result<()> {
        let length = self.body.len() + self.missing;
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
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

/// Moves an attempt from the running to the ended ones.
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

impl WorkRequest {
    /// Reads a request; nothing if its body is too long.
    fn read(request: &mut Request) -> std::io::Result<Option<WorkRequest>> {
        let received = Instant::now();
        let owned = |name| header(request, name).map(str::to_owned);
        let timeout = header(request, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
        let mut work = WorkRequest {
            key: owned(KEY_HEADER),
            attempt: owned(ATTEMPT_HEADER),
            trace: header(request, TRACEPARENT_HEADER).and_then(|text| text.parse().ok()),
            depth: owned(DEPTH_HEADER),
            deadline: timeout.map(|millis| received + Duration::from_millis(millis)),
            body: Vec::new(),
        };
        let mut reader = request.as_reader().take(MAX_BODY_BYTES + 1);
        reader.read_to_end(&mut work.body)?;
        let is_allowed = work.body.len() as u64 <= MAX_BODY_BYTES;
        Ok(is_allowed.then_some(work))
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
        refusal.map(|word| (REFUSAL_HEADER, word)),
    ];
    for (name, value) in fields.into_iter().flatten() {
        response.add_header(Header::from_bytes(name, value).expect("the header is valid"));
    }
    // A failed write means that the caller is gone.
    let _ = request.respond(response);
}
