//! Requests to the upstream beside this node.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use indexmap::IndexMap;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, MioSource, Ready};

use super::body::{BodyFault, BodyReader, BodyStep};
use super::encode::encode_request;
use super::head::{BodyFraming, HeadStep, ResponseHead, read_response_head};
use super::message::{HttpRequest, HttpResponse, MAX_BODY_BYTES};
use crate::core::Timestamp;
use crate::transport::POLL_PRIORITY;

/// Idle connections are closed before usual upstreams close them, so that a request rarely meets
/// a connection that is being closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Time before the idle timeout that the upstream announced at which a connection is not used any
/// more. Covers the way of a request and of the end of the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle connections up to this age carry requests that must not run twice. The upstream may
/// forget a connection without a word, and what is sent on it then has an unknown outcome.
const FRESH_IDLE_AGE: Duration = Duration::from_secs(1);
/// Time for a connect. The upstream is on the same machine.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Idle connections that are kept.
const MAX_IDLE: usize = 64;
/// Bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Answers to other requests that are skipped on one connection before it is given up.
const MAX_STRAY_ANSWERS: u32 = 4;

/// One request for the upstream.
#[derive(Debug)]
pub struct UpstreamJob<T> {
    /// Returned with the result.
    pub tag: T,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The request.
    pub request: HttpRequest,
    /// Time left for the whole exchange.
    pub timeout: Duration,
    /// Whether the request may run again. If not, it is only sent on fresh connections.
    pub is_repeatable: bool,
    /// Header that the upstream repeats in its answer. An answer with another value belongs to
    /// another request and is skipped.
    pub echoed: Option<(&'static str, String)>,
}

/// Result of one [`UpstreamJob`].
#[derive(Debug)]
pub struct UpstreamResult<T> {
    /// Tag of the job.
    pub tag: T,
    /// The whole answer, or why there is none.
    pub outcome: Result<HttpResponse, UpstreamFailure>,
}

/// Why the upstream gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamFailure {
    /// No connection could be made, so the request did not reach the upstream.
    Unreachable,
    /// The time for the exchange ran out after the request may have been sent.
    Timeout,
    /// The connection broke after the request may have been sent.
    Broken,
    /// What arrived is no answer in the protocol, or belongs to another request.
    Garbled,
    /// The body ended before its announced length.
    Truncated,
    /// The body exceeds the bound.
    TooLarge,
    /// The exchange was cancelled.
    Cancelled,
}

impl UpstreamFailure {
    /// Whether the upstream cannot have seen the request.
    pub fn proves_not_run(self) -> bool {
        self == UpstreamFailure::Unreachable
    }
}

/// Readiness of a connection.
pub struct ExchangeReady {
    connection: u64,
    ready: Ready,
}

enum ExchangePhase<T> {
    Connecting(UpstreamExchange<T>),
    Running(UpstreamExchange<T>),
    Idle { since: Timestamp },
}

/// One request and its answer, as far as it has arrived.
struct UpstreamExchange<T> {
    tag: T,
    deadline: Timestamp,
    is_head: bool,
    echoed: Option<(&'static str, String)>,
    /// Whether a byte of the request was written.
    is_sent: bool,
    answer: Option<(ResponseHead, BodyReader)>,
    /// Answers to other requests that were skipped.
    strays: u32,
}

struct UpstreamConnection<T> {
    socket: MioSource<TcpStream>,
    address: SocketAddr,
    opened_at: Timestamp,
    phase: ExchangePhase<T>,
    inbox: BytesMut,
    outbox: BytesMut,
    /// Time for which the connection may be idle.
    idle_limit: Duration,
}

/// What became of a connection.
enum ExchangeStep {
    Wait,
    /// The answer is whole; the connection may stay.
    Finished(HttpResponse, bool),
    Failed(UpstreamFailure),
    /// An idle connection ended.
    Dropped,
}

/// The connections to the upstream, one request each at a time.
pub struct ExchangeTable<T> {
    poll: MioPoll,
    ready: Fwd<ExchangeReady>,
    /// Idle ones are in the order of their last use.
    connections: IndexMap<u64, UpstreamConnection<T>>,
    next_connection: u64,
    events: VecDeque<UpstreamResult<T>>,
    opened: u64,
}

impl<T: Copy + PartialEq> ExchangeTable<T> {
    /// Creates an empty table. `ready` must lead back to [`ExchangeTable::handle_ready`].
    pub fn new(poll: MioPoll, ready: Fwd<ExchangeReady>) -> Self {
        ExchangeTable {
            poll,
            ready,
            connections: IndexMap::new(),
            next_connection: 0,
            events: VecDeque::new(),
            opened: 0,
        }
    }

    /// Connections opened so far.
    pub fn opened_connections(&self) -> u64 {
        self.opened
    }

    /// Sends a request, on an idle connection if there is one that is fresh enough.
    pub fn start(&mut self, now: Timestamp, job: UpstreamJob<T>) {
        let mut outbox = BytesMut::new();
        encode_request(&job.request, job.address, &mut outbox);
        let exchange = UpstreamExchange {
            tag: job.tag,
            deadline: now + job.timeout,
            is_head: job.request.method == "HEAD",
            echoed: job.echoed,
            is_sent: false,
            answer: None,
            strays: 0,
        };
        match self.take_idle(now, job.address, job.is_repeatable) {
            Some(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.outbox = outbox;
                    connection.phase = ExchangePhase::Running(exchange);
                }
                self.advance(now, id, false);
            }
            None => self.connect(now, job.address, exchange, outbox),
        }
    }

    /// Ends an exchange by closing its connection. Its result is [`UpstreamFailure::Cancelled`].
    pub fn cancel(&mut self, tag: T) {
        let running = self.connections.iter().find(|(_, connection)| {
            let exchange = connection.exchange();
            exchange.is_some_and(|exchange| exchange.tag == tag)
        });
        if let Some(id) = running.map(|(id, _)| *id) {
            self.fail(id, UpstreamFailure::Cancelled);
        }
    }

    /// Handles readiness that the poll loop reported.
    pub fn handle_ready(&mut self, now: Timestamp, ready: ExchangeReady) {
        let ExchangeReady { connection, ready } = ready;
        let is_readable = ready.is_readable() || ready.is_read_closed() || ready.is_error();
        self.advance(now, connection, is_readable);
    }

    /// Ends exchanges and connections whose time is up. Called several times a second.
    pub fn handle_tick(&mut self, now: Timestamp) {
        let mut ended = Vec::new();
        for (id, connection) in &self.connections {
            match &connection.phase {
                ExchangePhase::Idle { since } => {
                    if now.since(*since) >= connection.idle_limit {
                        ended.push((*id, None));
                    }
                }
                ExchangePhase::Connecting(_)
                    if now.since(connection.opened_at) >= CONNECT_LIMIT =>
                {
                    ended.push((*id, Some(UpstreamFailure::Unreachable)));
                }
                ExchangePhase::Connecting(exchange) if now >= exchange.deadline => {
                    ended.push((*id, Some(UpstreamFailure::Unreachable)));
                }
                ExchangePhase::Running(exchange) if now >= exchange.deadline => {
                    ended.push((*id, Some(UpstreamFailure::Timeout)));
                }
                ExchangePhase::Connecting(_) | ExchangePhase::Running(_) => {}
            }
        }
        for (id, failure) in ended {
            match failure {
                Some(failure) => self.fail(id, failure),
                None => {
                    self.connections.shift_remove(&id);
                }
            }
        }
    }

    /// The earliest deadline of a running exchange.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let exchanges = self.connections.values().filter_map(|held| held.exchange());
        exchanges.map(|exchange| exchange.deadline).min()
    }

    /// Next result, in the order in which they came.
    pub fn next_event(&mut self) -> Option<UpstreamResult<T>> {
        self.events.pop_front()
    }

    /// Takes the idle connection that was used last. Connections to other addresses are those of
    /// an earlier upstream and are closed.
    fn take_idle(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        is_repeatable: bool,
    ) -> Option<u64> {
        self.connections.retain(|_, connection| {
            connection.address == address || connection.exchange().is_some()
        });
        let most_age = match is_repeatable {
            true => MAX_IDLE_AGE,
            false => FRESH_IDLE_AGE,
        };
        let mut connections = self.connections.iter().rev();
        let idle = connections.find(|(_, connection)| match connection.phase {
            ExchangePhase::Idle { since } => now.since(since) < most_age.min(connection.idle_limit),
            _ => false,
        });
        idle.map(|(id, _)| *id)
    }

    fn connect(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        exchange: UpstreamExchange<T>,
        outbox: BytesMut,
    ) {
        let id = self.next_connection;
        self.next_connection += 1;
        self.opened += 1;
        let forward = self.ready.clone();
        let forward = Fwd::new(move |ready| {
            forward.fwd(ExchangeReady {
                connection: id,
                ready,
            });
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        let added = TcpStream::connect(address)
            .and_then(|stream| self.poll.add(stream, interest, POLL_PRIORITY, forward));
        match added {
            Ok(socket) => {
                let connection = UpstreamConnection {
                    socket,
                    address,
                    opened_at: now,
                    phase: ExchangePhase::Connecting(exchange),
                    inbox: BytesMut::new(),
                    outbox,
                    idle_limit: MAX_IDLE_AGE,
                };
                self.connections.insert(id, connection);
            }
            Err(error) => {
                log::debug!(error:% = error; "upstream_connect_failed");
                self.events.push_back(UpstreamResult {
                    tag: exchange.tag,
                    outcome: Err(UpstreamFailure::Unreachable),
                });
            }
        }
    }

    fn advance(&mut self, now: Timestamp, id: u64, is_readable: bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match connection.advance(is_readable) {
            ExchangeStep::Wait => {}
            ExchangeStep::Dropped => {
                self.connections.shift_remove(&id);
            }
            ExchangeStep::Failed(failure) => self.fail(id, failure),
            ExchangeStep::Finished(response, keeps) => self.finish(now, id, response, keeps),
        }
    }

    fn finish(&mut self, now: Timestamp, id: u64, response: HttpResponse, keeps: bool) {
        // Removed and added again, so that the connections stay in the order of their use.
        let Some(mut connection) = self.connections.shift_remove(&id) else {
            return;
        };
        if let Some(exchange) = connection.exchange() {
            self.events.push_back(UpstreamResult {
                tag: exchange.tag,
                outcome: Ok(response),
            });
        }
        let idle = self.connections.values();
        let idle = idle.filter(|held| held.exchange().is_none()).count();
        if keeps && idle < MAX_IDLE {
            connection.phase = ExchangePhase::Idle { since: now };
            self.connections.insert(id, connection);
        }
    }

    fn fail(&mut self, id: u64, failure: UpstreamFailure) {
        let Some(connection) = self.connections.shift_remove(&id) else {
            return;
        };
        let Some(exchange) = connection.exchange() else {
            return;
        };
        // What was not written cannot have been seen.
        let outcome = match exchange.is_sent {
            true => failure,
            false => UpstreamFailure::Unreachable,
        };
        self.events.push_back(UpstreamResult {
            tag: exchange.tag,
            outcome: Err(outcome),
        });
    }
}

impl<T> UpstreamConnection<T> {
    fn exchange(&self) -> Option<&UpstreamExchange<T>> {
        match &self.phase {
            ExchangePhase::Connecting(exchange) | ExchangePhase::Running(exchange) => {
                Some(exchange)
            }
            ExchangePhase::Idle { .. } => None,
        }
    }

    fn advance(&mut self, is_readable: bool) -> ExchangeStep {
        if matches!(self.phase, ExchangePhase::Connecting(_)) {
            match self.finish_connect() {
                Ok(true) => {}
                Ok(false) => return ExchangeStep::Wait,
                Err(_) => return ExchangeStep::Failed(UpstreamFailure::Unreachable),
            }
        }
        if let Err(failure) = self.write() {
            // The upstream may have answered before it closed.
            return match self.read() {
                ExchangeStep::Wait => ExchangeStep::Failed(failure),
                step => step,
            };
        }
        match is_readable {
            true => self.read(),
            false => ExchangeStep::Wait,
        }
    }

    fn finish_connect(&mut self) -> io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(false),
            Err(error) => return Err(error),
        }
        self.socket.set_nodelay(true)?;
        let phase = ExchangePhase::Idle {
            since: self.opened_at,
        };
        if let ExchangePhase::Connecting(exchange) = std::mem::replace(&mut self.phase, phase) {
            self.phase = ExchangePhase::Running(exchange);
        }
        Ok(true)
    }

    fn write(&mut self) -> Result<(), UpstreamFailure> {
        while !self.outbox.is_empty() {
            match self.socket.write(&self.outbox) {
                Ok(0) => return Err(UpstreamFailure::Broken),
                Ok(count) => {
                    self.outbox.advance(count);
                    if let ExchangePhase::Running(exchange) = &mut self.phase {
                        exchange.is_sent = true;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(UpstreamFailure::Broken),
            }
        }
        Ok(())
    }

    fn read(&mut self) -> ExchangeStep {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            let is_ended = match self.socket.read(&mut chunk) {
                Ok(0) => true,
                Ok(count) => {
                    self.inbox.extend_from_slice(&chunk[..count]);
                    false
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ExchangeStep::Wait;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.end(true),
            };
            if is_ended {
                return self.end(false);
            }
            match self.parse() {
                ExchangeStep::Wait => {}
                step => return step,
            }
        }
    }

    /// The connection ended. A body without a length is whole only if it was not reset.
    fn end(&mut self, is_reset: bool) -> ExchangeStep {
        let ExchangePhase::Running(exchange) = &mut self.phase else {
            return ExchangeStep::Dropped;
        };
        match exchange.answer.take() {
            Some((head, body)) if !is_reset && body.ends_with_connection() => {
                ExchangeStep::Finished(head.into_response(body), false)
            }
            Some(_) => ExchangeStep::Failed(UpstreamFailure::Truncated),
            None => ExchangeStep::Failed(UpstreamFailure::Broken),
        }
    }

    fn parse(&mut self) -> ExchangeStep {
        let ExchangePhase::Running(exchange) = &mut self.phase else {
            // Bytes that no request waits for.
            return ExchangeStep::Dropped;
        };
        loop {
            if exchange.answer.is_none() {
                match read_response_head(&self.inbox, exchange.is_head) {
                    HeadStep::Partial => return ExchangeStep::Wait,
                    HeadStep::Invalid(_) => {
                        return ExchangeStep::Failed(UpstreamFailure::Garbled);
                    }
                    HeadStep::Complete { head, bytes } => {
                        self.inbox.advance(bytes);
                        if head.status < 200 {
                            continue;
                        }
                        let body = BodyReader::new(head.framing, MAX_BODY_BYTES as u64);
                        exchange.answer = Some((head, body));
                    }
                }
            }
            let Some((_, body)) = &mut exchange.answer else {
                return ExchangeStep::Wait;
            };
            match body.feed(&mut self.inbox) {
                BodyStep::More => return ExchangeStep::Wait,
                BodyStep::Invalid(BodyFault::TooLarge) => {
                    return ExchangeStep::Failed(UpstreamFailure::TooLarge);
                }
                BodyStep::Invalid(BodyFault::Malformed) => {
                    return ExchangeStep::Failed(UpstreamFailure::Garbled);
                }
                BodyStep::Done => {}
            }
            let Some((head, body)) = exchange.answer.take() else {
                return ExchangeStep::Wait;
            };
            if exchange.is_stray(&head) {
                exchange.strays += 1;
                if !head.keep_alive || exchange.strays > MAX_STRAY_ANSWERS {
                    return ExchangeStep::Failed(UpstreamFailure::Garbled);
                }
                continue;
            }
            // Further bytes belong to no request, and an answer that came before the whole request
            // was written leaves the rest of the request in the way of the next one.
            let keeps = head.keep_alive && self.inbox.is_empty() && self.outbox.is_empty();
            let stated = head.idle_secs.map(Duration::from_secs);
            let stated = stated.map(|limit| limit.saturating_sub(IDLE_MARGIN));
            self.idle_limit = stated.unwrap_or(MAX_IDLE_AGE).min(MAX_IDLE_AGE);
            return ExchangeStep::Finished(head.into_response(body), keeps);
        }
    }
}

impl<T> UpstreamExchange<T> {
    /// Whether the answer names another request.
    fn is_stray(&self, head: &ResponseHead) -> bool {
        let Some((name, expected)) = &self.echoed else {
            return false;
        };
        let named = head
            .headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name));
        named.is_some_and(|(_, value)| value != expected)
    }
}

impl ResponseHead {
    fn into_response(self, body: BodyReader) -> HttpResponse {
        debug_assert!(self.framing != BodyFraming::Empty || !body.ends_with_connection());
        HttpResponse {
            status: self.status,
            headers: self.headers,
            body: body.into_body(),
        }
    }
}
