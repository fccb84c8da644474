//! Requests to the local upstream of this node.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use indexmap::IndexMap;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use super::encode::encode_request;
use super::message::{HttpRequest, HttpResponse};
use super::upstream::{
    ExchangePhase, ExchangeProgress, UpstreamConnection, UpstreamExchange, connect_failure,
};
use crate::core::Timestamp;
use crate::memory::MemoryBudget;
use crate::transport::POLL_PRIORITY;

/// Maximum time for which a connection stays idle. Shorter than the idle timeout of usual
/// upstreams, so that a request is rarely sent on a connection that the upstream is closing.
pub(super) const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Maximum idle time of a connection that is reused for a request that must not run twice. An
/// upstream may drop an idle connection without closing it, and a request sent on such a connection
/// has an unknown outcome.
const MAX_FRESH_IDLE_AGE: Duration = Duration::from_secs(1);
/// Timeout of a connection attempt. Short because the upstream runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;

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
    /// Identifies the request. The request is not sent on a connection that has carried another
    /// attempt with the same value.
    pub echoed: Option<EchoedHeader>,
}

/// A request header that the upstream repeats in its response. A response with another value
/// belongs to another request and is skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EchoedHeader {
    /// Name of the header.
    pub name: &'static str,
    /// Value of the header, which identifies the request.
    pub value: String,
    /// Whether every upstream repeats the header. If so, the request shares no connection with
    /// requests and responses that are not identified: a late copy of such a response would be
    /// taken for its own.
    pub is_guaranteed: bool,
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
    /// The response has a status that no interim or final response has.
    InvalidStatus,
    /// The connection ended before the body was complete.
    Truncated,
    /// The body exceeds [`MAX_BODY_BYTES`](super::MAX_BODY_BYTES).
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

/// Connections to the upstream. Each connection carries one request at a time.
pub struct ExchangeTable<T> {
    poll: MioPoll,
    ready: Fwd<ExchangeReady>,
    /// Idle connections are in the order of their last use.
    connections: IndexMap<u64, UpstreamConnection<T>>,
    next_connection: u64,
    events: VecDeque<UpstreamResult<T>>,
    opened_connections: u64,
    invalid_statuses: u64,
    budget: MemoryBudget,
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
            invalid_statuses: 0,
            budget: MemoryBudget::default(),
        }
    }

    /// Sets the memory of the process that the connections draw on. Called before the first
    /// exchange.
    pub fn set_memory(&mut self, budget: MemoryBudget) {
        self.budget = budget;
    }

    /// Returns the number of responses with an invalid status.
    pub fn invalid_statuses(&self) -> u64 {
        self.invalid_statuses
    }

    /// Returns the number of connections opened so far.
    pub fn opened_connections(&self) -> u64 {
        self.opened_connections
    }

    /// Sends a request on a suitable idle connection, or on a new one.
    pub fn start(&mut self, now: Timestamp, job: UpstreamJob<T>) {
        let mut write_buf = BytesMut::new();
        encode_request(&job.request, job.address, &mut write_buf);
        let (address, is_repeatable) = (job.address, job.is_repeatable);
        let exchange = UpstreamExchange::new(now, job);
        match self.select_idle(now, address, is_repeatable, &exchange) {
            Some(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.begin(exchange, write_buf);
                }
                self.advance(now, id, false);
            }
            None => self.connect(now, address, exchange, write_buf),
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
                    && connection.may_carry(exchange)
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
                let charge = self.budget.empty_charge();
                let connection = UpstreamConnection::connecting(
                    now, socket, address, exchange, write_buf, charge,
                );
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
        let progress = connection.advance(is_readable);
        connection.settle();
        match progress {
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

    fn finish(&mut self, now: Timestamp, id: u64, mut response: HttpResponse, is_reusable: bool) {
        // Removed and inserted again, to keep the idle connections in the order of their last use.
        let Some(mut connection) = self.connections.shift_remove(&id) else {
            return;
        };
        connection.hold_body(&mut response);
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
        if failure == UpstreamFailure::InvalidStatus {
            self.invalid_statuses += 1;
        }
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
