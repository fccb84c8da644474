//! Listeners and connections for the callers of one process.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

use indexmap::IndexMap;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use super::connection::{CallerConnection, ConnectionStatus, HttpLimits};
use super::message::{HttpRequest, HttpResponse};
use crate::core::Timestamp;
use crate::transport::POLL_PRIORITY;

/// Maximum number of open connections of one process. Further connections are closed at once.
const MAX_CONNECTIONS: usize = 3_000;

/// Identifies a request of a caller. Never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
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

struct HttpListener<P> {
    port: P,
    /// `None` once the table has stopped listening.
    socket: Option<MioSource<TcpListener>>,
}

/// Listeners and connections for callers. `P` identifies a listener.
pub struct HttpTable<P> {
    poll: MioPoll,
    ready: Fwd<HttpReady>,
    limits: HttpLimits,
    listeners: Vec<HttpListener<P>>,
    connections: IndexMap<u64, (P, CallerConnection)>,
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
            listeners: Vec::new(),
            connections: IndexMap::new(),
            next_connection: 0,
            events: VecDeque::new(),
            closed: Vec::new(),
            is_closing: false,
        }
    }

    /// Starts to accept connections on `address` and returns the bound address.
    pub fn listen(&mut self, address: SocketAddr, port: P) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        let forward = self.forward_ready(ReadySource::Listener(self.listeners.len()));
        let socket = self
            .poll
            .add(listener, Interest::READABLE, POLL_PRIORITY, forward)?;
        self.listeners.push(HttpListener {
            port,
            socket: Some(socket),
        });
        Ok(bound)
    }

    /// Replaces the limits. They apply to requests that arrive from now on.
    pub fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = limits;
    }

    /// From now on, closes each connection after the response to its last pending request.
    pub fn close_after_responses(&mut self) {
        self.is_closing = true;
    }

    /// Stops accepting connections. Open connections stay open.
    pub fn stop_listening(&mut self) {
        for listener in &mut self.listeners {
            listener.socket = None;
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
        let mut requests = Vec::new();
        let mut status = connection.flush(now);
        if status == ConnectionStatus::Open {
            status = connection.resume(now, &self.limits, &mut requests);
        }
        self.queue_events(id.connection, status, requests);
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
        let limits = self.limits;
        let mut closed = Vec::new();
        for (id, (_, connection)) in &mut self.connections {
            if connection.check_timeouts(now, &limits) == ConnectionStatus::Closed {
                closed.push(*id);
            }
        }
        for id in closed {
            self.queue_events(id, ConnectionStatus::Closed, Vec::new());
        }
    }

    /// Returns the next event, in order of occurrence.
    pub fn next_event(&mut self) -> Option<HttpEvent<P>> {
        self.events.pop_front()
    }

    fn accept(&mut self, now: Timestamp, index: usize) {
        loop {
            let Some(listener) = self.listeners.get(index) else {
                return;
            };
            let Some(socket) = &listener.socket else {
                return;
            };
            let port = listener.port;
            match socket.accept() {
                Ok((stream, _)) => self.add_connection(now, port, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::warn!(error:% = error; "connection_accept_failed");
                    return;
                }
            }
        }
    }

    fn add_connection(&mut self, now: Timestamp, port: P, stream: TcpStream) {
        if self.connections.len() >= MAX_CONNECTIONS {
            log::warn!(open = MAX_CONNECTIONS; "connection_refused");
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
                let connection = CallerConnection::new(socket, now);
                self.connections.insert(id, (port, connection));
            }
            Err(error) => log::warn!(error:% = error; "connection_register_failed"),
        }
    }

    fn handle_connection_ready(&mut self, now: Timestamp, id: u64, ready: &Ready) {
        let Some((_, connection)) = self.connections.get_mut(&id) else {
            return;
        };
        let mut requests = Vec::new();
        let mut status = ConnectionStatus::Open;
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            status = connection.read(now, &self.limits, &mut requests);
        }
        // Requests that were complete before the connection ended are passed on first, so that an
        // immediate response can still be sent.
        if status == ConnectionStatus::Open {
            status = connection.flush(now);
        }
        self.queue_events(id, status, requests);
    }

    fn queue_events(
        &mut self,
        id: u64,
        status: ConnectionStatus,
        requests: Vec<(u64, HttpRequest)>,
    ) {
        let Some((port, connection)) = self.connections.get(&id) else {
            return;
        };
        let port = *port;
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
