//! Requests to the local upstream of this node.

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

use super::body::{BodyError, BodyProgress, BodyReader};
use super::carried::CarriedRequests;
use super::encode::encode_request;
use super::head::{BodyFraming, HeadProgress, ResponseHead, parse_response_head};
use super::message::{HttpRequest, HttpResponse, MAX_BODY_BYTES};
use crate::core::Timestamp;
use crate::transport::POLL_PRIORITY;

/// Maximum time for which a connection stays idle. Shorter than the idle timeout of usual
/// upstreams, so that a request is rarely sent on a connection that the upstream is closing.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// A connection is no longer used when less than this time remains of the idle timeout that the
/// upstream announced. Covers the transit times of a request and of the connection's close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum idle time of a connection that is reused for a request that must not run twice. An
/// upstream may drop an idle connection without closing it, and a request sent on such a connection
/// has an unknown outcome.
const MAX_FRESH_IDLE_AGE: Duration = Duration::from_secs(1);
/// Timeout of a connection attempt. Short because the upstream runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum number of bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of responses to other requests that one exchange skips before it fails.
const MAX_MISMATCHED_RESPONSES: u32 = 4;
/// Maximum number of interim (1xx) responses that one exchange skips before it fails. An upstream
/// could send them without end.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// A request to be sent to the upstream.
#[derive(Debug)]
pub struct UpstreamJob<T> {
    /// Identifies the request in its result.
    pub tag: T,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The request.
    pub request: HttpRequest,
    /// Maximum time for the whole exchange.
    pub timeout: Duration,
    /// Whether the request may run more than once. If not, it is sent only on a new connection or
    /// on one that has been idle for at most a second.
    pub is_repeatable: bool,
    /// Name and value of a header that the upstream repeats in its response. A response with
    /// another value belongs to another request and is skipped. The request is not sent on a
    /// connection that has carried another attempt with the same value.
    pub echoed: Option<(&'static str, String)>,
}

/// Result of one [`UpstreamJob`].
#[derive(Debug)]
pub struct UpstreamResult<T> {
    /// Tag of the job.
    pub tag: T,
    /// The complete response, or the reason why there is none.
    pub outcome: Result<HttpResponse, UpstreamFailure>,
}

/// Reason why the upstream gave no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamFailure {
    /// No connection could be made or nothing was sent, so the request did not reach the upstream.
    Unreachable,
    /// The connection was refused: no process listens at the address.
    NotListening,
    /// The exchange timed out after the request may have been sent.
    Timeout,
    /// The connection failed, or ended before a response, after the request may have been sent.
    Broken,
    /// The received bytes are not a valid HTTP response, or belong to another request.
    Garbled,
    /// The connection ended before the body was complete.
    Truncated,
    /// The body exceeds [`MAX_BODY_BYTES`].
    TooLarge,
    /// The exchange was cancelled.
    Cancelled,
}

impl UpstreamFailure {
    /// Whether the failure proves that the upstream did not receive the request.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            UpstreamFailure::Unreachable | UpstreamFailure::NotListening
        )
    }
}

/// Readiness event of a connection to the upstream.
pub struct ExchangeReady {
    connection: u64,
    ready: Ready,
}

/// State of a connection to the upstream.
enum ExchangePhase<T> {
    Connecting(UpstreamExchange<T>),
    Running(UpstreamExchange<T>),
    Idle { since: Timestamp },
}

/// A request that was started, and the part of its response that has arrived.
struct UpstreamExchange<T> {
    tag: T,
    deadline: Timestamp,
    is_head: bool,
    echoed: Option<(&'static str, String)>,
    /// Whether any byte of the request was written.
    is_sent: bool,
    response: Option<(ResponseHead, BodyReader)>,
    /// Number of skipped responses to other requests.
    mismatched_responses: u32,
    /// Number of skipped interim responses.
    interim_responses: u32,
}

struct UpstreamConnection<T> {
    socket: MioSource<TcpStream>,
    address: SocketAddr,
    opened_at: Timestamp,
    phase: ExchangePhase<T>,
    read_buf: BytesMut,
    write_buf: BytesMut,
    /// Maximum time for which the connection may stay idle.
    idle_limit: Duration,
    carried: CarriedRequests,
    /// Whether a response on this connection has named its request. If so, all of them do.
    names_requests: bool,
}

/// Result of reading from and writing to a connection.
enum ExchangeProgress {
    Pending,
    /// The response is complete. The flag tells whether the connection can be reused.
    Finished(HttpResponse, bool),
    Failed(UpstreamFailure),
    /// The connection was idle and cannot be used any more.
    Closed,
}

/// Connections to the upstream. Each connection carries one request at a time.
pub struct ExchangeTable<T> {
    poll: MioPoll,
    ready: Fwd<ExchangeReady>,
    /// Idle connections are in the order of their last use.
    connections: IndexMap<u64, UpstreamConnection<T>>,
    next_connection: u64,
    events: VecDeque<UpstreamResult<T>>,
    opened_connections: u64,
}

impl<T: Copy + PartialEq> ExchangeTable<T> {
    /// Creates an empty table. `ready` must forward its events to [`ExchangeTable::handle_ready`].
    pub fn new(poll: MioPoll, ready: Fwd<ExchangeReady>) -> Self {
        ExchangeTable {
            poll,
            ready,
            connections: IndexMap::new(),
            next_connection: 0,
            events: VecDeque::new(),
            opened_connections: 0,
        }
    }

    /// Returns the number of connections opened so far.
    pub fn opened_connections(&self) -> u64 {
        self.opened_connections
    }

    /// Sends a request on a suitable idle connection, or on a new one.
    pub fn start(&mut self, now: Timestamp, job: UpstreamJob<T>) {
        let mut write_buf = BytesMut::new();
        encode_request(&job.request, job.address, &mut write_buf);
        let exchange = UpstreamExchange {
            tag: job.tag,
            deadline: now + job.timeout,
            is_head: job.request.method == "HEAD",
            echoed: job.echoed,
            is_sent: false,
            response: None,
            mismatched_responses: 0,
            interim_responses: 0,
        };
        match self.select_idle(now, job.address, job.is_repeatable, &exchange) {
            Some(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.write_buf = write_buf;
                    connection.begin(now, exchange);
                }
                self.advance(now, id, false);
            }
            None => self.connect(now, job.address, exchange, write_buf),
        }
    }

    /// Cancels an exchange by closing its connection. The result is [`UpstreamFailure::Cancelled`],
    /// or [`UpstreamFailure::Unreachable`] if nothing was sent.
    pub fn cancel(&mut self, tag: T) {
        let running = self.connections.iter().find(|(_, connection)| {
            let exchange = connection.exchange();
            exchange.is_some_and(|exchange| exchange.tag == tag)
        });
        if let Some(id) = running.map(|(id, _)| *id) {
            self.fail(id, UpstreamFailure::Cancelled);
        }
    }

    /// Handles a readiness event from the poll loop.
    pub fn handle_ready(&mut self, now: Timestamp, ready: ExchangeReady) {
        let ExchangeReady { connection, ready } = ready;
        let is_readable = ready.is_readable() || ready.is_read_closed() || ready.is_error();
        self.advance(now, connection, is_readable);
    }

    /// Applies the timeouts of exchanges and idle connections. Called several times a second.
    pub fn handle_tick(&mut self, now: Timestamp) {
        let mut expired = Vec::new();
        for (id, connection) in &self.connections {
            match &connection.phase {
                ExchangePhase::Idle { since } => {
                    if now.since(*since) >= connection.idle_limit {
                        expired.push((*id, None));
                    }
                }
                ExchangePhase::Connecting(_)
                    if now.since(connection.opened_at) >= CONNECT_TIMEOUT =>
                {
                    expired.push((*id, Some(UpstreamFailure::Unreachable)));
                }
                ExchangePhase::Connecting(exchange) if now >= exchange.deadline => {
                    expired.push((*id, Some(UpstreamFailure::Unreachable)));
                }
                ExchangePhase::Running(exchange) if now >= exchange.deadline => {
                    expired.push((*id, Some(UpstreamFailure::Timeout)));
                }
                ExchangePhase::Connecting(_) | ExchangePhase::Running(_) => {}
            }
        }
        for (id, failure) in expired {
            match failure {
                Some(failure) => self.fail(id, failure),
                None => {
                    self.connections.shift_remove(&id);
                }
            }
        }
    }

    /// Returns the earliest deadline of all exchanges.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let exchanges = self
            .connections
            .values()
            .filter_map(|connection| connection.exchange());
        exchanges.map(|exchange| exchange.deadline).min()
    }

    /// Returns the next result, in the order in which the exchanges ended.
    pub fn next_event(&mut self) -> Option<UpstreamResult<T>> {
        self.events.pop_front()
    }

    /// Returns the suitable idle connection that was used last. Idle connections to other addresses
    /// lead to an earlier upstream and are closed.
    fn select_idle(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        is_repeatable: bool,
        exchange: &UpstreamExchange<T>,
    ) -> Option<u64> {
        self.connections.retain(|_, connection| {
            connection.address == address || connection.exchange().is_some()
        });
        let max_age = match is_repeatable {
            true => MAX_IDLE_AGE,
            false => MAX_FRESH_IDLE_AGE,
        };
        let mut connections = self.connections.iter().rev();
        let idle = connections.find(|(_, connection)| match connection.phase {
            ExchangePhase::Idle { since } => {
                now.since(since) < max_age.min(connection.idle_limit)
                    && connection.may_carry(now, exchange)
            }
            _ => false,
        });
        idle.map(|(id, _)| *id)
    }

    fn connect(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        exchange: UpstreamExchange<T>,
        write_buf: BytesMut,
    ) {
        let id = self.next_connection;
        self.next_connection += 1;
        self.opened_connections += 1;
        let forward = self.ready.clone();
        let forward = Fwd::new(move |ready| {
            forward.fwd(ExchangeReady {
                connection: id,
                ready,
            });
        });
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = TcpStream::connect(address)
            .and_then(|stream| self.poll.add(stream, interest, POLL_PRIORITY, forward));
        match registered {
            Ok(socket) => {
                let mut carried = CarriedRequests::default();
                if let Some((_, value)) = &exchange.echoed {
                    carried.record(now, value, exchange.deadline);
                }
                let connection = UpstreamConnection {
                    socket,
                    address,
                    opened_at: now,
                    phase: ExchangePhase::Connecting(exchange),
                    read_buf: BytesMut::new(),
                    write_buf,
                    idle_limit: MAX_IDLE_AGE,
                    carried,
                    names_requests: false,
                };
                self.connections.insert(id, connection);
            }
            Err(error) => {
                log::debug!(error:% = error; "upstream_connect_failed");
                self.events.push_back(UpstreamResult {
                    tag: exchange.tag,
                    outcome: Err(connect_failure(&error)),
                });
            }
        }
    }

    fn advance(&mut self, now: Timestamp, id: u64, is_readable: bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match connection.advance(is_readable) {
            ExchangeProgress::Pending => {}
            ExchangeProgress::Closed => {
                self.connections.shift_remove(&id);
            }
            ExchangeProgress::Failed(failure) => self.fail(id, failure),
            ExchangeProgress::Finished(response, is_reusable) => {
                self.finish(now, id, response, is_reusable)
            }
        }
    }

    fn finish(&mut self, now: Timestamp, id: u64, response: HttpResponse, is_reusable: bool) {
        // Removed and inserted again, to keep the idle connections in the order of their last use.
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
        let idle = idle
            .filter(|connection| connection.exchange().is_none())
            .count();
        if is_reusable && idle < MAX_IDLE_CONNECTIONS {
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
        // If no byte was written, the upstream cannot have received the request.
        let outcome = match exchange.is_sent {
            true => failure,
            false if failure.proves_not_run() => failure,
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

    /// Whether the responses to the exchange can be told from those to earlier requests.
    fn may_carry(&self, now: Timestamp, exchange: &UpstreamExchange<T>) -> bool {
        match &exchange.echoed {
            Some((_, value)) => self.carried.accepts(now, value),
            None => !self.names_requests,
        }
    }

    /// Begins an exchange on an idle connection.
    fn begin(&mut self, now: Timestamp, exchange: UpstreamExchange<T>) {
        if let Some((_, value)) = &exchange.echoed {
            self.carried.record(now, value, exchange.deadline);
        }
        self.phase = ExchangePhase::Running(exchange);
    }

    fn advance(&mut self, is_readable: bool) -> ExchangeProgress {
        if matches!(self.phase, ExchangePhase::Connecting(_)) {
            match self.finish_connect() {
                Ok(true) => {}
                Ok(false) => return ExchangeProgress::Pending,
                Err(error) => return ExchangeProgress::Failed(connect_failure(&error)),
            }
        }
        if let Err(failure) = self.write() {
            // The upstream may have responded before it closed the connection.
            return match self.read() {
                ExchangeProgress::Pending => ExchangeProgress::Failed(failure),
                progress => progress,
            };
        }
        match is_readable {
            true => self.read(),
            false => ExchangeProgress::Pending,
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
        while !self.write_buf.is_empty() {
            match self.socket.write(&self.write_buf) {
                Ok(0) => return Err(UpstreamFailure::Broken),
                Ok(count) => {
                    self.write_buf.advance(count);
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

    fn read(&mut self) -> ExchangeProgress {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            let is_ended = match self.socket.read(&mut chunk) {
                Ok(0) => true,
                Ok(count) => {
                    self.read_buf.extend_from_slice(&chunk[..count]);
                    false
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ExchangeProgress::Pending;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.on_close(true),
            };
            if is_ended {
                return self.on_close(false);
            }
            match self.parse() {
                ExchangeProgress::Pending => {}
                progress => return progress,
            }
        }
    }

    /// Handles the end of the connection. A body that ends with the connection is complete only if
    /// the connection was not reset.
    fn on_close(&mut self, is_reset: bool) -> ExchangeProgress {
        let ExchangePhase::Running(exchange) = &mut self.phase else {
            return ExchangeProgress::Closed;
        };
        match exchange.response.take() {
            Some((head, body)) if !is_reset && body.ends_with_connection() => {
                ExchangeProgress::Finished(head.into_response(body), false)
            }
            Some(_) => ExchangeProgress::Failed(UpstreamFailure::Truncated),
            None => ExchangeProgress::Failed(UpstreamFailure::Broken),
        }
    }

    fn parse(&mut self) -> ExchangeProgress {
        let ExchangePhase::Running(exchange) = &mut self.phase else {
            // Bytes that belong to no request.
            return ExchangeProgress::Closed;
        };
        loop {
            if exchange.response.is_none() {
                match parse_response_head(&self.read_buf, exchange.is_head) {
                    HeadProgress::Partial => return ExchangeProgress::Pending,
                    HeadProgress::Invalid(_) => {
                        return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                    }
                    HeadProgress::Complete { head, bytes } => {
                        self.read_buf.advance(bytes);
                        if head.status < 200 {
                            exchange.interim_responses += 1;
                            if exchange.interim_responses > MAX_INTERIM_RESPONSES {
                                return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                            }
                            continue;
                        }
                        let body = BodyReader::new(head.framing, MAX_BODY_BYTES as u64);
                        exchange.response = Some((head, body));
                    }
                }
            }
            let Some((_, body)) = &mut exchange.response else {
                return ExchangeProgress::Pending;
            };
            match body.feed(&mut self.read_buf) {
                BodyProgress::Partial => return ExchangeProgress::Pending,
                BodyProgress::Invalid(BodyError::TooLarge) => {
                    return ExchangeProgress::Failed(UpstreamFailure::TooLarge);
                }
                BodyProgress::Invalid(BodyError::Malformed) => {
                    return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                }
                BodyProgress::Complete => {}
            }
            let Some((head, body)) = exchange.response.take() else {
                return ExchangeProgress::Pending;
            };
            match exchange.attribution(&head) {
                ResponseAttribution::Own => self.names_requests |= exchange.echoed.is_some(),
                ResponseAttribution::Unnamed if !self.names_requests => {}
                ResponseAttribution::Unnamed => {
                    return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                }
                ResponseAttribution::OtherRequest => {
                    self.names_requests = true;
                    exchange.mismatched_responses += 1;
                    if !head.keep_alive || exchange.mismatched_responses > MAX_MISMATCHED_RESPONSES
                    {
                        return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                    }
                    continue;
                }
            }
            // The connection cannot be reused if it holds bytes that belong to no request, if the
            // upstream has sent a response twice, or if the response arrived before the whole
            // request was written: the rest of the request would precede the next request.
            let is_reusable = head.keep_alive
                && exchange.mismatched_responses == 0
                && self.read_buf.is_empty()
                && self.write_buf.is_empty()
                && !self.carried.is_full();
            let announced = head.idle_timeout_secs.map(Duration::from_secs);
            let announced = announced.map(|limit| limit.saturating_sub(IDLE_TIMEOUT_MARGIN));
            self.idle_limit = announced.unwrap_or(MAX_IDLE_AGE).min(MAX_IDLE_AGE);
            return ExchangeProgress::Finished(head.into_response(body), is_reusable);
        }
    }
}

fn connect_failure(error: &io::Error) -> UpstreamFailure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => UpstreamFailure::NotListening,
        _ => UpstreamFailure::Unreachable,
    }
}

/// Which request a response belongs to, according to its echoed header.
enum ResponseAttribution {
    /// The current request.
    Own,
    OtherRequest,
    /// The header is missing.
    Unnamed,
}

impl<T> UpstreamExchange<T> {
    fn attribution(&self, head: &ResponseHead) -> ResponseAttribution {
        let Some((name, expected)) = &self.echoed else {
            return ResponseAttribution::Own;
        };
        let mut headers = head.headers.iter();
        let named = headers.find(|(header, _)| header.eq_ignore_ascii_case(name));
        match named {
            Some((_, value)) if value == expected => ResponseAttribution::Own,
            Some(_) => ResponseAttribution::OtherRequest,
            None => ResponseAttribution::Unnamed,
        }
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
