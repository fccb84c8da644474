//! The connections of all callers of one process.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

use indexmap::IndexMap;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use super::connection::{CallerConnection, ConnectionStep, HttpLimits};
use super::message::{HttpRequest, HttpResponse};
use crate::core::Timestamp;
use crate::transport::POLL_PRIORITY;

/// Connections that one process accepts. Further ones are closed at once.
const MAX_CONNECTIONS: usize = 3_000;

/// One request of a caller. Never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    connection: u64,
    sequence: u64,
}

/// What happened on a connection.
#[derive(Debug)]
pub enum HttpEvent<P> {
    /// A whole request arrived.
    Request {
        /// Names the request in its answer.
        id: RequestId,
        /// Listener that the connection came through.
        port: P,
        /// The request.
        request: HttpRequest,
    },
    /// The caller closed the connection before the answer.
    Disconnected {
        /// The request.
        id: RequestId,
    },
}

/// Readiness of a listener or connection.
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
    /// None once the table stopped listening.
    socket: Option<MioSource<TcpListener>>,
}

/// Listeners and connections of callers. `P` tells the listeners apart.
pub struct HttpTable<P> {
    poll: MioPoll,
    ready: Fwd<HttpReady>,
    limits: HttpLimits,
    listeners: Vec<HttpListener<P>>,
    connections: IndexMap<u64, (P, CallerConnection)>,
    next_connection: u64,
    events: VecDeque<HttpEvent<P>>,
    /// Connections that ended and are dropped once the events before that are handled.
    closed: Vec<u64>,
    /// Answers end their connections.
    is_closing: bool,
}

impl<P: Copy> HttpTable<P> {
    /// Creates a table without listeners. `ready` must lead back to [`HttpTable::handle_ready`].
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

    /// Starts to accept connections.
    pub fn listen(&mut self, address: SocketAddr, port: P) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        let forward = self.forward(ReadySource::Listener(self.listeners.len()));
        let socket = self
            .poll
            .add(listener, Interest::READABLE, POLL_PRIORITY, forward)?;
        self.listeners.push(HttpListener {
            port,
            socket: Some(socket),
        });
        Ok(bound)
    }

    /// Takes over other limits; they hold for requests that arrive from now on.
    pub fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = limits;
    }

    /// From now on, the last answer of each connection ends it.
    pub fn close_after_responses(&mut self) {
        self.is_closing = true;
    }

    /// Stops accepting. Open connections stay.
    pub fn stop_listening(&mut self) {
        for listener in &mut self.listeners {
            listener.socket = None;
        }
    }

    /// Whether every request that was read has been answered and the answers are written.
    pub fn is_flushed(&self) -> bool {
        self.connections
            .values()
            .all(|(_, connection)| !connection.is_busy())
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Answers a request. Answers leave in the order of the requests of their connection.
    pub fn respond(&mut self, now: Timestamp, id: RequestId, response: HttpResponse) {
        let closes = self.is_closing;
        let Some((_, connection)) = self.connections.get_mut(&id.connection) else {
            return;
        };
        connection.answer(id.sequence, response, closes);
        let mut requests = Vec::new();
        let mut step = connection.flush(now);
        if step == ConnectionStep::Open {
            step = connection.resume(now, &self.limits, &mut requests);
        }
        self.finish(id.connection, step, requests);
    }

    /// Handles readiness that the poll loop reported.
    pub fn handle_ready(&mut self, now: Timestamp, ready: HttpReady) {
        match ready.source {
            ReadySource::Listener(index) => self.accept(now, index),
            ReadySource::Connection(id) => self.serve(now, id, &ready.ready),
        }
    }

    /// Closes what took too long. Called several times a second.
    pub fn handle_tick(&mut self, now: Timestamp) {
        let limits = self.limits;
        let mut closed = Vec::new();
        for (id, (_, connection)) in &mut self.connections {
            if connection.check(now, &limits) == ConnectionStep::Closed {
                closed.push(*id);
            }
        }
        for id in closed {
            self.finish(id, ConnectionStep::Closed, Vec::new());
        }
    }

    /// Next event, in the order in which things happened.
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
                Ok((stream, _)) => self.add(now, port, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::warn!(error:% = error; "connection_accept_failed");
                    return;
                }
            }
        }
    }

    fn add(&mut self, now: Timestamp, port: P, stream: TcpStream) {
        if self.connections.len() >= MAX_CONNECTIONS {
            log::warn!(open = MAX_CONNECTIONS; "connection_refused");
            return;
        }
        let id = self.next_connection;
        self.next_connection += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let forward = self.forward(ReadySource::Connection(id));
        let added = stream.set_nodelay(true);
        let added = added.and_then(|()| self.poll.add(stream, interest, POLL_PRIORITY, forward));
        match added {
            Ok(socket) => {
                let connection = CallerConnection::new(socket, now);
                self.connections.insert(id, (port, connection));
            }
            Err(error) => log::warn!(error:% = error; "connection_register_failed"),
        }
    }

    fn serve(&mut self, now: Timestamp, id: u64, ready: &Ready) {
        let Some((_, connection)) = self.connections.get_mut(&id) else {
            return;
        };
        let mut requests = Vec::new();
        let mut step = ConnectionStep::Open;
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            step = connection.read(now, &self.limits, &mut requests);
        }
        // Requests that were whole before the end of the connection are passed on first, so that
        // an answer that is given at once still leaves.
        if step == ConnectionStep::Open {
            step = connection.flush(now);
        }
        self.finish(id, step, requests);
    }

    fn finish(&mut self, id: u64, step: ConnectionStep, requests: Vec<(u64, HttpRequest)>) {
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
        if step == ConnectionStep::Closed {
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

    /// Drops connections that ended. Called after the events before their end were handled.
    pub fn drop_closed(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.closed) {
            if let Some((_, mut connection)) = self.connections.swap_remove(&id) {
                // The other end may only have ended its own direction.
                let _ = connection.flush(now);
            }
        }
    }

    fn forward(&self, source: ReadySource) -> Fwd<Ready> {
        let forward = self.ready.clone();
        Fwd::new(move |ready| forward.fwd(HttpReady { source, ready }))
    }
}
