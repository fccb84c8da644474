//! TCP relay that simulates faults of the network path between two processes.
//!
//! Each direction of a connection has a reader thread and a writer thread with a queue between
//! them. The reader stamps every chunk with the time at which it may be forwarded. The writer
//! waits for that time, and as long as the direction is stalled. A stalled connection keeps both
//! sockets open and forwards nothing. Once the queue is full, the socket buffer of the sender
//! fills up as well, as on a real network path that drops all packets.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Maximum number of bytes that a reader thread reads at once.
const CHUNK_BYTES: usize = 16 * 1_024;

/// Maximum number of chunks queued in one direction. With [`CHUNK_BYTES`] this is 8 MiB, which is
/// more than 30 ms of traffic at 1 Gbit/s.
const MAX_QUEUED_CHUNKS: usize = 512;

/// Maximum number of open connections of one relay. Further connections are closed at once and
/// counted in [`RelayCounters::refused`].
pub const MAX_RELAY_CONNECTIONS: usize = 1_024;

/// Maximum time to wait for the target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counters of the bytes forwarded and connections handled by a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Bytes forwarded from clients to the target.
    pub to_target: u64,
    /// Bytes forwarded from the target to clients.
    pub to_client: u64,
    /// Connections that were accepted and connected to the target.
    pub accepted: u64,
    /// Connections that were closed at once: above [`MAX_RELAY_CONNECTIONS`], while
    /// [`TcpRelay::refuse_new`] is in effect, or because the target did not accept.
    pub refused: u64,
}

/// A TCP relay on loopback. Dropping it closes its connections and joins its threads.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    shared: Arc<RelayShared>,
    acceptor: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct RelayShared {
    target: SocketAddr,
    mode: Mutex<RelayMode>,
    connections: Mutex<Vec<RelayConnection>>,
    to_target: AtomicU64,
    to_client: AtomicU64,
    accepted: AtomicU64,
    refused: AtomicU64,
    stopping: AtomicBool,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayMode {
    delay: Duration,
    /// Directions in which new connections are stalled.
    new_stalled: StalledDirections,
    refuses_new: bool,
}

#[derive(Debug)]
struct RelayConnection {
    link: Arc<ConnectionLink>,
    threads: Vec<JoinHandle<()>>,
}

impl RelayConnection {
    fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }
}

/// The two sockets of a connection and the state that both writer threads check before they
/// forward bytes.
#[derive(Debug)]
struct ConnectionLink {
    client: TcpStream,
    target: TcpStream,
    state: Mutex<ForwardingState>,
    state_changed: Condvar,
}

/// Directions in which nothing is forwarded while the connection stays open.
#[derive(Clone, Copy, Debug, Default)]
struct StalledDirections {
    to_target: bool,
    to_client: bool,
}

impl StalledDirections {
    const BOTH: StalledDirections = StalledDirections {
        to_target: true,
        to_client: true,
    };

    fn contains(self, direction: FlowDirection) -> bool {
        match direction {
            FlowDirection::ToTarget => self.to_target,
            FlowDirection::ToClient => self.to_client,
        }
    }
}

#[derive(Debug, Default)]
struct ForwardingState {
    stalled: StalledDirections,
    closed: bool,
    /// Whether [`TcpRelay::stall_open`] stalled the connection.
    held: bool,
    /// Whether bytes for the target are sent over a new connection.
    reconnects: bool,
    /// Whether the connection is closed once the last bytes from the target are forwarded.
    closes_after_target: bool,
}

struct QueuedChunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowDirection {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

impl TcpRelay {
    /// Starts a relay on a free port of 127.0.0.1.
    pub fn start(target: SocketAddr) -> io::Result<TcpRelay> {
        TcpRelay::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a relay at `listen`.
    pub fn start_at(listen: SocketAddr, target: SocketAddr) -> io::Result<TcpRelay> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(RelayShared {
            target,
            mode: Mutex::default(),
            connections: Mutex::default(),
            to_target: AtomicU64::new(0),
            to_client: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        });
        let acceptor = thread::Builder::new().name("relay-accept".into()).spawn({
            let shared = Arc::clone(&shared);
            move || shared.accept_all(&listener)
        })?;
        Ok(TcpRelay {
            address,
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters since the start of the relay.
    pub fn counters(&self) -> RelayCounters {
        RelayCounters {
            to_target: self.shared.to_target.load(Ordering::Relaxed),
            to_client: self.shared.to_client.load(Ordering::Relaxed),
            accepted: self.shared.accepted.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
        }
    }

    /// Sets the delay, in each direction, of all bytes that are read from now on.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.mode).delay = delay;
    }

    /// Stalls open and new connections: they stay open, but nothing is forwarded.
    pub fn stall(&self) {
        self.stall_directions(StalledDirections::BOTH);
    }

    /// Stalls open and new connections in one direction; the other direction works.
    pub fn stall_direction(&self, direction: FlowDirection) {
        self.stall_directions(StalledDirections {
            to_target: direction == FlowDirection::ToTarget,
            to_client: direction == FlowDirection::ToClient,
        });
    }

    /// Stalls open connections; new connections work. Bytes of the client are held even if it
    /// closes the connection meanwhile.
    pub fn stall_open(&self) {
        lock(&self.shared.mode).new_stalled = StalledDirections::default();
        self.update_states(|state| {
            state.stalled = StalledDirections::BOTH;
            state.held = true;
        });
    }

    /// Returns the number of connections that [`TcpRelay::stall_open`] stalled and that have not
    /// ended.
    pub fn held_connections(&self) -> usize {
        let connections = lock(&self.shared.connections);
        let is_held = |connection: &&RelayConnection| {
            lock(&connection.link.state).held && !connection.is_finished()
        };
        connections.iter().filter(is_held).count()
    }

    /// Ends the stall of all connections. Held bytes are forwarded first.
    pub fn resume(&self) {
        self.stall_directions(StalledDirections::default());
    }

    /// Ends the stall of all connections. Held bytes are sent to the target over new connections,
    /// as by a proxy that connects to its target late. Nothing is forwarded back to the clients.
    pub fn resume_reconnected(&self) {
        self.update_states(|state| state.reconnects = state.held);
        self.resume();
    }

    /// Closes all open connections; new connections work.
    pub fn close_open(&self) {
        for connection in lock(&self.shared.connections).iter() {
            connection.link.close();
        }
    }

    /// Sets whether new connections are closed at once.
    pub fn refuse_new(&self, refuse: bool) {
        lock(&self.shared.mode).refuses_new = refuse;
    }

    /// Closes the connection that the target sees as coming from `peer`, after forwarding the
    /// bytes that the target has already written. Returns whether such a connection exists.
    pub fn close_from_target(&self, peer: SocketAddr) -> bool {
        let connections = lock(&self.shared.connections);
        let found = connections
            .iter()
            .find(|connection| connection.link.target.local_addr().ok() == Some(peer));
        let Some(connection) = found else {
            return false;
        };
        lock(&connection.link.state).closes_after_target = true;
        // The reader still reads the bytes that have arrived, then the end of the stream.
        let _ = connection.link.target.shutdown(Shutdown::Read);
        true
    }

    fn stall_directions(&self, stalled: StalledDirections) {
        lock(&self.shared.mode).new_stalled = stalled;
        self.set_stalled(stalled);
    }

    fn set_stalled(&self, stalled: StalledDirections) {
        self.update_states(|state| state.stalled = stalled);
    }

    fn update_states(&self, update: impl Fn(&mut ForwardingState)) {
        for connection in lock(&self.shared.connections).iter() {
            update(&mut lock(&connection.link.state));
            connection.link.state_changed.notify_all();
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        // Unblocks the acceptor thread, which waits for a connection.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        let connections = std::mem::take(&mut *lock(&self.shared.connections));
        for connection in &connections {
            connection.link.close();
        }
        for thread in connections
            .into_iter()
            .flat_map(|connection| connection.threads)
        {
            let _ = thread.join();
        }
    }
}

impl RelayShared {
    fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        for client in listener.incoming() {
            if self.stopping.load(Ordering::Acquire) {
                return;
            }
            let Ok(client) = client else { continue };
            match self.open(client) {
                Ok(()) => self.accepted.fetch_add(1, Ordering::Relaxed),
                Err(_) => self.refused.fetch_add(1, Ordering::Relaxed),
            };
        }
    }

    fn open(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        if lock(&self.mode).refuses_new {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        lock(&self.connections).retain(|connection| !connection.is_finished());
        if lock(&self.connections).len() >= MAX_RELAY_CONNECTIONS {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let target = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let link = Arc::new(ConnectionLink {
            client,
            target,
            state: Mutex::default(),
            state_changed: Condvar::new(),
        });
        // The mode is read while the connection list is locked, so that a change of mode either
        // finds this connection in the list or is already visible here.
        let mut connections = lock(&self.connections);
        lock(&link.state).stalled = lock(&self.mode).new_stalled;
        let mut threads = Vec::with_capacity(4);
        for direction in [FlowDirection::ToTarget, FlowDirection::ToClient] {
            let (sender, receiver) = sync_channel(MAX_QUEUED_CHUNKS);
            let (shared, reader) = (Arc::clone(self), Arc::clone(&link));
            threads.push(thread::spawn(move || {
                shared.read_all(&reader, direction, &sender);
            }));
            let (shared, writer) = (Arc::clone(self), Arc::clone(&link));
            threads.push(thread::spawn(move || {
                shared.write_all(&writer, direction, &receiver);
            }));
        }
        connections.push(RelayConnection { link, threads });
        Ok(())
    }

    fn read_all(
        &self,
        link: &ConnectionLink,
        direction: FlowDirection,
        sender: &SyncSender<QueuedChunk>,
    ) {
        let mut source = match direction {
            FlowDirection::ToTarget => &link.client,
            FlowDirection::ToClient => &link.target,
        };
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            match source.read(&mut buffer) {
                Ok(0) => return,
                Ok(length) => {
                    let chunk = QueuedChunk {
                        due: Instant::now() + lock(&self.mode).delay,
                        bytes: buffer[..length].to_vec(),
                    };
                    if sender.send(chunk).is_err() {
                        return;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // What was read before the reset is still forwarded.
                Err(_) => return,
            }
        }
    }

    fn write_all(
        &self,
        link: &ConnectionLink,
        direction: FlowDirection,
        receiver: &Receiver<QueuedChunk>,
    ) {
        let (open, counter) = match direction {
            FlowDirection::ToTarget => (&link.target, &self.to_target),
            FlowDirection::ToClient => (&link.client, &self.to_client),
        };
        let mut reconnected = None;
        while let Ok(chunk) = receiver.recv() {
            if !link.wait_until_forwardable(chunk.due, direction) {
                return;
            }
            if direction == FlowDirection::ToTarget && lock(&link.state).reconnects {
                reconnected = reconnected
                    .or_else(|| TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT).ok());
            }
            let mut destination = reconnected.as_ref().unwrap_or(open);
            if destination.write_all(&chunk.bytes).is_err() {
                match direction {
                    FlowDirection::ToTarget => link.close(),
                    // The target still gets what the client sent before it closed.
                    FlowDirection::ToClient => {}
                }
                return;
            }
            counter.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
        }
        if !link.wait_until_forwardable(Instant::now(), direction) {
            return;
        }
        let closes = lock(&link.state).closes_after_target;
        if closes && direction == FlowDirection::ToClient {
            return link.close();
        }
        let _ = reconnected
            .as_ref()
            .unwrap_or(open)
            .shutdown(Shutdown::Write);
        if let Some(mut target) = reconnected {
            // Reads until the target has closed the connection.
            let _ = io::copy(&mut target, &mut io::sink());
            link.close();
        }
    }
}

impl ConnectionLink {
    /// Waits until `due` has passed and this direction is not stalled. Returns false if the
    /// connection was closed.
    fn wait_until_forwardable(&self, due: Instant, direction: FlowDirection) -> bool {
        let mut state = lock(&self.state);
        loop {
            let remaining = due.saturating_duration_since(Instant::now());
            if state.closed {
                return false;
            }
            let stalled = state.stalled.contains(direction);
            if !stalled && remaining.is_zero() {
                return true;
            }
            state = if stalled {
                let waited = self.state_changed.wait(state);
                waited.unwrap_or_else(PoisonError::into_inner)
            } else {
                let waited = self.state_changed.wait_timeout(state, remaining);
                waited.unwrap_or_else(PoisonError::into_inner).0
            };
        }
    }

    fn close(&self) {
        lock(&self.state).closed = true;
        self.state_changed.notify_all();
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}
