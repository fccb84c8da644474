//! A stand-in for the network path between two processes.
//!
//! Each direction of a connection has a reader thread, which stamps every chunk with the time at
//! which it may pass, and a writer thread, which waits for that time and for the connection's
//! gate. A closed gate therefore keeps both sockets open and moves nothing, and once the queue
//! between the two threads is full the sender's own socket fills up, as on a real silent path.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Bytes that a reader takes at once.
const CHUNK_BYTES: usize = 16 * 1_024;

/// Chunks that one direction holds; with [`CHUNK_BYTES`] 8 MiB, more than 30 ms at 1 Gbit/s.
const MAX_QUEUED_CHUNKS: usize = 512;

/// Bound on open connections of one relay. Further ones are closed at once and counted.
pub const MAX_RELAY_CONNECTIONS: usize = 1_024;

/// Time to wait for the target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes and connections that a relay has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Bytes forwarded from clients to the target.
    pub to_target: u64,
    /// Bytes forwarded from the target to clients.
    pub to_client: u64,
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that were closed at once, for the bound, for a refusal that was asked for, or
    /// because the target did not accept.
    pub refused: u64,
}

/// A TCP relay on loopback. Ends its connections and threads when it is dropped.
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
    /// Directions in which new connections carry nothing.
    new_are_silent: SilentFlows,
    new_are_refused: bool,
}

#[derive(Debug)]
struct RelayConnection {
    link: Arc<RelayLink>,
    threads: Vec<JoinHandle<()>>,
}

/// The two sockets of a connection and the gate in front of both writers.
#[derive(Debug)]
struct RelayLink {
    client: TcpStream,
    target: TcpStream,
    gate: Mutex<LinkGate>,
    changed: Condvar,
}

/// Directions in which nothing is forwarded.
#[derive(Clone, Copy, Debug, Default)]
struct SilentFlows {
    to_target: bool,
    to_client: bool,
}

impl SilentFlows {
    const BOTH: SilentFlows = SilentFlows {
        to_target: true,
        to_client: true,
    };

    fn covers(self, direction: FlowDirection) -> bool {
        match direction {
            FlowDirection::ToTarget => self.to_target,
            FlowDirection::ToClient => self.to_client,
        }
    }
}

#[derive(Debug, Default)]
struct LinkGate {
    silent: SilentFlows,
    closed: bool,
    /// The whole connection ends once the target's last bytes are forwarded.
    closes_after_target: bool,
}

struct QueuedChunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Where bytes go.
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

    /// Address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What was carried so far.
    pub fn counters(&self) -> RelayCounters {
        RelayCounters {
            to_target: self.shared.to_target.load(Ordering::Relaxed),
            to_client: self.shared.to_client.load(Ordering::Relaxed),
            accepted: self.shared.accepted.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
        }
    }

    /// Delays every byte that is read from now on by `delay` in each direction.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.mode).delay = delay;
    }

    /// Makes open and new connections silent: they stay open and nothing is forwarded.
    pub fn stall(&self) {
        self.silence_flows(SilentFlows::BOTH);
    }

    /// Forwards nothing more in one direction on open and new connections, which stay open.
    pub fn stall_direction(&self, direction: FlowDirection) {
        self.silence_flows(SilentFlows {
            to_target: direction == FlowDirection::ToTarget,
            to_client: direction == FlowDirection::ToClient,
        });
    }

    /// Makes open connections silent while new ones work.
    pub fn stall_open(&self) {
        lock(&self.shared.mode).new_are_silent = SilentFlows::default();
        self.set_silent(SilentFlows::BOTH);
    }

    /// Forwards again on all connections, beginning with the bytes that were held.
    pub fn resume(&self) {
        self.silence_flows(SilentFlows::default());
    }

    /// Closes all open connections. New ones work.
    pub fn close_open(&self) {
        for connection in lock(&self.shared.connections).iter() {
            connection.link.close();
        }
    }

    /// Closes new connections at once, or lets them through again.
    pub fn refuse_new(&self, refuse: bool) {
        lock(&self.shared.mode).new_are_refused = refuse;
    }

    /// Closes the connection that the target sees as coming from `peer`, after forwarding what
    /// the target has already written. Returns whether there is such a connection.
    pub fn close_from_target(&self, peer: SocketAddr) -> bool {
        let connections = lock(&self.shared.connections);
        let found = connections
            .iter()
            .find(|connection| connection.link.target.local_addr().ok() == Some(peer));
        let Some(connection) = found else {
            return false;
        };
        lock(&connection.link.gate).closes_after_target = true;
        // The reader still gets the bytes that have arrived, then the end of the stream.
        let _ = connection.link.target.shutdown(Shutdown::Read);
        true
    }

    fn silence_flows(&self, silent: SilentFlows) {
        lock(&self.shared.mode).new_are_silent = silent;
        self.set_silent(silent);
    }

    fn set_silent(&self, silent: SilentFlows) {
        for connection in lock(&self.shared.connections).iter() {
            lock(&connection.link.gate).silent = silent;
            connection.link.changed.notify_all();
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        // Wakes the acceptor.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        let connections = std::mem::take(&mut *lock(&self.shared.connections));
        for connection in &connections {
            connection.link.close();
        }
        for thread in connections.into_iter().flat_map(|open| open.threads) {
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
        if lock(&self.mode).new_are_refused {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        lock(&self.connections).retain(|connection| {
            let mut threads = connection.threads.iter();
            !threads.all(JoinHandle::is_finished)
        });
        if lock(&self.connections).len() >= MAX_RELAY_CONNECTIONS {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let target = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let link = Arc::new(RelayLink {
            client,
            target,
            gate: Mutex::default(),
            changed: Condvar::new(),
        });
        // The mode is read under the lock of the list, so that a change of mode either finds this
        // connection in the list or is seen here.
        let mut connections = lock(&self.connections);
        lock(&link.gate).silent = lock(&self.mode).new_are_silent;
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
        link: &RelayLink,
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
                Err(_) => return link.close(),
            }
        }
    }

    fn write_all(
        &self,
        link: &RelayLink,
        direction: FlowDirection,
        receiver: &Receiver<QueuedChunk>,
    ) {
        let (mut sink, counter) = match direction {
            FlowDirection::ToTarget => (&link.target, &self.to_target),
            FlowDirection::ToClient => (&link.client, &self.to_client),
        };
        while let Ok(chunk) = receiver.recv() {
            if !link.wait_open_at(chunk.due, direction) {
                return;
            }
            if sink.write_all(&chunk.bytes).is_err() {
                return link.close();
            }
            counter.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
        }
        if !link.wait_open_at(Instant::now(), direction) {
            return;
        }
        let closes = lock(&link.gate).closes_after_target;
        if closes && direction == FlowDirection::ToClient {
            link.close();
        } else {
            let _ = sink.shutdown(Shutdown::Write);
        }
    }
}

impl RelayLink {
    /// Waits until `due` has come and the gate is open in this direction; false if the link was
    /// closed.
    fn wait_open_at(&self, due: Instant, direction: FlowDirection) -> bool {
        let mut gate = lock(&self.gate);
        loop {
            let rest = due.saturating_duration_since(Instant::now());
            if gate.closed {
                return false;
            }
            let silent = gate.silent.covers(direction);
            if !silent && rest.is_zero() {
                return true;
            }
            gate = if silent {
                let waited = self.changed.wait(gate);
                waited.unwrap_or_else(PoisonError::into_inner)
            } else {
                let waited = self.changed.wait_timeout(gate, rest);
                waited.unwrap_or_else(PoisonError::into_inner).0
            };
        }
    }

    fn close(&self) {
        lock(&self.gate).closed = true;
        self.changed.notify_all();
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}
