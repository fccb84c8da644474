//! Listeners and connections for the callers of one process.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use super::connection::{CallerConnection, ConnectionStatus, HttpLimits, ReadContext};
use super::counters::{CloseReason, RefusalCounters, RefusalRecorder};
use super::listener::{AcceptStep, HttpListener};
use super::message::{HttpRequest, HttpResponse};
use crate::core::Timestamp;
use crate::memory::MemoryBudget;
use crate::transport::POLL_PRIORITY;

/// Maximum number of open connections of one process.
const MAX_CONNECTIONS: usize = 3_000;
/// Part of the descriptors that connections may use, in quarters. The rest is for links, the
/// upstream and files.
const CONNECTION_QUARTERS: usize = 3;
/// Maximum number of connections whose turns are taken before other events are handled.
const MAX_TURNS: usize = 16;

/// Time for which handshakes in progress are awaited before the listeners close. Longer than a round
/// trip between regions.
const HANDSHAKE_TIME: Duration = Duration::from_millis(100);
/// Maximum time for which a table that has stopped listening waits for connections on which no
/// response is pending.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(3);

/// Identifies a request of a caller. Never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RequestId {
    connection: u64,
    sequence: u64,
}

/// Event on a connection from a caller.
#[derive(Debug)]
pub enum HttpEvent<P> {
    /// A complete request arrived.
    Request {
        /// Identifies the request when it is answered.
        id: RequestId,
        /// Listener that accepted the connection.
        port: P,
        /// The request.
        request: HttpRequest,
    },
    /// The connection ended before the request was answered.
    Disconnected {
        /// Identifies the unanswered request.
        id: RequestId,
    },
}

/// Readiness event of a listener or a connection.
pub struct HttpReady {
    source: ReadySource,
    ready: Ready,
}

#[derive(Clone, Copy)]
enum ReadySource {
    Listener(usize),
    Connection(u64),
}

/// Progress of closing a table, see [`HttpTable::poll_close`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseStep {
    /// A connection is open.
    Waiting,
    /// All connections have ended, or the time for closing them is over.
    Closed,
}

/// How to read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadStep {
    /// The socket has reported bytes.
    Read,
    /// Bytes that were left unread earlier, if any.
    Resume,
}

struct PortListener<P> {
    port: P,
    /// `None` once the table has stopped listening and all connections are accepted.
    listener: Option<HttpListener>,
    /// When the table stopped listening on the port.
    stopped_at: Option<Timestamp>,
}

/// Listeners and connections for callers. `P` identifies a listener.
pub struct HttpTable<P> {
    poll: MioPoll,
    ready: Fwd<HttpReady>,
    limits: HttpLimits,
    pub(super) budget: MemoryBudget,
    /// Maximum number of open connections.
    pub(super) max_connections: usize,
    listeners: Vec<PortListener<P>>,
    /// Connections, each with the index of its listener.
    pub(super) connections: IndexMap<u64, (usize, CallerConnection)>,
    /// Connections with unread bytes that wait for their next turn, in order.
    backlog: VecDeque<u64>,
    /// Connections that are not read because there is no memory for their bodies, in order.
    pub(super) starved: IndexSet<u64>,
    /// Bytes held when the starved connections were last tried. They cannot continue before fewer are
    /// held.
    starved_at_bytes: usize,
    pub(super) refusals: RefusalRecorder,
    next_connection: u64,
    events: VecDeque<HttpEvent<P>>,
    /// Connections that have ended. They are dropped once the events before their end are handled.
    closed: Vec<u64>,
    /// Whether each connection closes after its last response.
    is_closing: bool,
}

impl<P: Copy> HttpTable<P> {
    /// Creates a table without listeners. `ready` must forward its events to
    /// [`HttpTable::handle_ready`].
    pub fn new(poll: MioPoll, ready: Fwd<HttpReady>, limits: HttpLimits) -> Self {
        HttpTable {
            poll,
            ready,
            limits,
            budget: MemoryBudget::default(),
            max_connections: MAX_CONNECTIONS,
            listeners: Vec::new(),
            connections: IndexMap::new(),
            backlog: VecDeque::new(),
            starved: IndexSet::new(),
            starved_at_bytes: usize::MAX,
            refusals: RefusalRecorder::new(Arc::default()),
            next_connection: 0,
            events: VecDeque::new(),
            closed: Vec::new(),
            is_closing: false,
        }
    }

    /// Starts to accept connections on `address` and returns the bound address.
    pub fn listen(&mut self, address: SocketAddr, port: P) -> io::Result<SocketAddr> {
        let forward = self.forward_ready(ReadySource::Listener(self.listeners.len()));
        let (listener, bound) = HttpListener::bind(&self.poll, address, forward)?;
        self.listeners.push(PortListener {
            port,
            listener: Some(listener),
            stopped_at: None,
        });
        Ok(bound)
    }

    /// Sets the memory of the process that the connections draw on, and the number of descriptors of
    /// the process. Called before the first connection.
    pub fn set_memory(&mut self, budget: MemoryBudget, descriptors: usize) {
        self.budget = budget;
        let connections = descriptors / 4 * CONNECTION_QUARTERS;
        self.max_connections = connections.clamp(1, MAX_CONNECTIONS);
    }

    /// Sets the counters of refused requests and closed connections.
    pub fn set_counters(&mut self, counters: Arc<RefusalCounters>) {
        self.refusals = RefusalRecorder::new(counters);
    }

    /// Replaces the limits. They apply to requests that arrive from now on.
    pub fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = limits;
    }

    /// From now on, closes each connection after the response to its last pending request.
    pub fn close_after_responses(&mut self) {
        self.is_closing = true;
    }

    /// Stops accepting connections on the selected ports. Connections that were established before
    /// are accepted first. Each connection of these ports closes after the response to its last
    /// pending request, or after a second without a request: its caller may be sending one, which
    /// still gets a response.
    pub fn stop_listening(&mut self, now: Timestamp, is_selected: impl Fn(P) -> bool) {
        self.is_closing = true;
        for entry in &mut self.listeners {
            if let Some(listener) = &entry.listener
                && entry.stopped_at.is_none()
                && is_selected(entry.port)
            {
                listener.refuse_handshakes();
                entry.stopped_at = Some(now);
            }
        }
    }

    /// Closes the listeners whose handshakes in progress have ended, after accepting their
    /// connections.
    fn close_listeners(&mut self, now: Timestamp) {
        for index in 0..self.listeners.len() {
            let entry = &self.listeners[index];
            let is_due = entry
                .stopped_at
                .is_some_and(|stopped_at| now.since(stopped_at) >= HANDSHAKE_TIME);
            if is_due && entry.listener.is_some() {
                self.accept(now, index);
                self.listeners[index].listener = None;
            }
        }
    }

    /// Returns whether all connections have ended after the table stopped listening on all ports.
    pub fn poll_close(&self, now: Timestamp) -> CloseStep {
        let is_listening = self.listeners.iter().any(|entry| entry.listener.is_some());
        let stopped_at = self
            .listeners
            .iter()
            .filter_map(|entry| entry.stopped_at)
            .max();
        let is_over = stopped_at.is_some_and(|stopped_at| now.since(stopped_at) >= MAX_CLOSE_TIME);
        let has_ended = self.connections.is_empty() || is_over && self.is_flushed();
        match has_ended && !is_listening {
            true => CloseStep::Closed,
            false => CloseStep::Waiting,
        }
    }

    /// Whether every request has been answered and all responses are written.
    pub fn is_flushed(&self) -> bool {
        self.connections
            .values()
            .all(|(_, connection)| !connection.is_busy())
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Answers a request. Each connection sends its responses in the order of its requests.
    pub fn respond(&mut self, now: Timestamp, id: RequestId, response: HttpResponse) {
        let close_after_last = self.is_closing;
        let Some((_, connection)) = self.connections.get_mut(&id.connection) else {
            return;
        };
        connection.respond(id.sequence, response, close_after_last);
        self.advance(now, id.connection, ReadStep::Resume);
    }

    /// Writes to a connection and reads from it, as far as its limits allow.
    pub(super) fn advance(&mut self, now: Timestamp, id: u64, step: ReadStep) {
        let Some((_, connection)) = self.connections.get_mut(&id) else {
            return;
        };
        let context = ReadContext {
            limits: &self.limits,
            budget: &self.budget,
        };
        let mut requests = Vec::new();
        let mut status = connection.flush(now);
        if status == ConnectionStatus::Open {
            status = match step {
                ReadStep::Read => connection.read(now, &context, &mut requests),
                ReadStep::Resume => connection.resume(now, &context, &mut requests),
            };
        }
        // Requests that were complete before the connection ended are passed on first, so that an
        // immediate response can still be sent.
        if status == ConnectionStatus::Open {
            status = connection.flush(now);
        }
        self.finish(now, id, status, requests);
    }

    /// Updates what the table knows about a connection after its use, and queues its events.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        id: u64,
        status: ConnectionStatus,
        requests: Vec<(u64, HttpRequest)>,
    ) {
        if let Some((_, connection)) = self.connections.get_mut(&id) {
            connection.settle();
            if let Some(refusal) = connection.take_refusal() {
                self.refusals.count_refusal(now, refusal);
            }
            match connection.starved_since() {
                Some(_) => self.starved.insert(id),
                None => self.starved.shift_remove(&id),
            };
            if status == ConnectionStatus::Open
                && connection.awaits_turn()
                && !self.backlog.contains(&id)
            {
                self.backlog.push_back(id);
            }
        }
        self.queue_events(id, status, requests);
    }

    /// Reads from connections that have waited for their turn or for memory. Returns whether this
    /// led to an event. Called when all earlier events are handled.
    pub fn serve_waiting(&mut self, now: Timestamp) -> bool {
        if self.starved.is_empty() {
            self.starved_at_bytes = usize::MAX;
        } else if self.budget.held_bytes() < self.starved_at_bytes {
            for id in self.starved.clone() {
                self.advance(now, id, ReadStep::Resume);
            }
            self.starved_at_bytes = self.budget.held_bytes();
        }
        !self.events.is_empty()
    }

    /// Whether a connection waits for its turn.
    pub fn has_backlog(&self) -> bool {
        !self.backlog.is_empty()
    }

    /// Reads from the connections whose turn it is.
    pub fn take_turns(&mut self, now: Timestamp) {
        for _ in 0..MAX_TURNS.min(self.backlog.len()) {
            if let Some(id) = self.backlog.pop_front() {
                self.advance(now, id, ReadStep::Resume);
            }
        }
    }

    /// Handles a readiness event from the poll loop.
    pub fn handle_ready(&mut self, now: Timestamp, ready: HttpReady) {
        match ready.source {
            ReadySource::Listener(index) => self.accept(now, index),
            ReadySource::Connection(id) => self.handle_connection_ready(now, id, &ready.ready),
        }
    }

    /// Applies the timeouts of all connections. Called several times a second.
    pub fn handle_tick(&mut self, now: Timestamp) {
        self.close_listeners(now);
        let limits = self.limits;
        let mut ended = Vec::new();
        for (id, (index, connection)) in &mut self.connections {
            let stopped_at = self.listeners[*index].stopped_at;
            let status = connection.check_timeouts(now, &limits, stopped_at);
            if status == ConnectionStatus::Closed || connection.has_refusal() {
                ended.push((*id, status));
            }
        }
        for (id, status) in ended {
            self.finish(now, id, status, Vec::new());
        }
        self.relieve(now);
        self.take_turns(now);
    }

    /// Returns the next event, in order of occurrence.
    pub fn next_event(&mut self) -> Option<HttpEvent<P>> {
        self.events.pop_front()
    }

    fn accept(&mut self, now: Timestamp, index: usize) {
        loop {
            let entry = self.listeners.get(index);
            let Some(listener) = entry.and_then(|entry| entry.listener.as_ref()) else {
                return;
            };
            match listener.accept() {
                Ok(AcceptStep::Accepted(stream)) => self.add_connection(now, index, stream),
                Ok(AcceptStep::Empty) => return,
                Err(error) => {
                    log::warn!(error:% = error; "connection_accept_failed");
                    return;
                }
            }
        }
    }

    fn add_connection(&mut self, now: Timestamp, index: usize, stream: TcpStream) {
        if self.connections.len() >= self.max_connections && !self.close_idlest(now) {
            self.refusals.count_close(now, CloseReason::NoDescriptor);
            return;
        }
        let id = self.next_connection;
        self.next_connection += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let forward = self.forward_ready(ReadySource::Connection(id));
        let registered = stream.set_nodelay(true);
        let registered =
            registered.and_then(|()| self.poll.add(stream, interest, POLL_PRIORITY, forward));
        match registered {
            Ok(socket) => {
                let connection = CallerConnection::new(socket, &self.budget, now);
                self.connections.insert(id, (index, connection));
            }
            Err(error) => log::warn!(error:% = error; "connection_register_failed"),
        }
    }

    fn handle_connection_ready(&mut self, now: Timestamp, id: u64, ready: &Ready) {
        let is_readable = ready.is_readable() || ready.is_read_closed() || ready.is_error();
        let step = match is_readable {
            true => ReadStep::Read,
            false => ReadStep::Resume,
        };
        self.advance(now, id, step);
        if self.budget.is_exceeded() {
            self.relieve(now);
        }
    }

    fn queue_events(
        &mut self,
        id: u64,
        status: ConnectionStatus,
        requests: Vec<(u64, HttpRequest)>,
    ) {
        let Some((index, connection)) = self.connections.get(&id) else {
            return;
        };
        let port = self.listeners[*index].port;
        for (sequence, request) in requests {
            let id = RequestId {
                connection: id,
                sequence,
            };
            self.events
                .push_back(HttpEvent::Request { id, port, request });
        }
        if status == ConnectionStatus::Closed {
            for sequence in connection.unanswered() {
                let id = RequestId {
                    connection: id,
                    sequence,
                };
                self.events.push_back(HttpEvent::Disconnected { id });
            }
            self.closed.push(id);
            self.starved.shift_remove(&id);
        }
    }

    /// Drops connections that have ended. Called after the events before their end are handled.
    pub fn drop_closed(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.closed) {
            if let Some((_, mut connection)) = self.connections.swap_remove(&id) {
                // The caller may have closed only its sending side, so responses are still written.
                let _ = connection.flush(now);
            }
        }
    }

    fn forward_ready(&self, source: ReadySource) -> Fwd<Ready> {
        let forward = self.ready.clone();
        Fwd::new(move |ready| forward.fwd(HttpReady { source, ready }))
    }
}
