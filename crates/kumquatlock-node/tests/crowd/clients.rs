//! Clients that send a part of what they announce and stay open.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that one client writes before the next client's turn.
const TURN_BYTES: usize = 64 * 1024;
/// A crowd has sent what it can once no client could write for this time.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// Maximum time of sending, so that a receiver that keeps reading does not prolong the test.
const MAX_PRESS_TIME: Duration = Duration::from_secs(20);

/// What one client of a crowd sends.
pub(crate) type ClientPayload = Rc<[u8]>;

/// Whether the clients read what they get back.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadMode {
    Discard,
    Unread,
}

struct CrowdClient {
    stream: TcpStream,
    payload: ClientPayload,
    sent: usize,
}

enum ClientTurn {
    Progress,
    Waiting,
    /// The receiver has closed the connection.
    Closed,
}

/// Open connections that send the same payload.
pub(crate) struct ClientCrowd {
    clients: Vec<CrowdClient>,
    mode: ReadMode,
}

impl ClientCrowd {
    /// Connects `count` clients. A refused connection leaves the crowd smaller.
    pub(crate) fn connect(
        target: SocketAddr,
        count: usize,
        payload: Vec<u8>,
        mode: ReadMode,
    ) -> Self {
        let payload: ClientPayload = payload.into();
        let connect = |_| {
            let stream = TcpStream::connect(target).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(CrowdClient {
                stream,
                payload: payload.clone(),
                sent: 0,
            })
        };
        let clients = (0..count).filter_map(connect).collect();
        ClientCrowd { clients, mode }
    }

    /// Sends in turns until no client can write any more. The connections stay open.
    pub(crate) fn press(&mut self) {
        let started = Instant::now();
        let mut moved_at = started;
        while moved_at.elapsed() < QUIET_TIME && started.elapsed() < MAX_PRESS_TIME {
            let mode = self.mode;
            self.clients.retain_mut(|client| match client.turn(mode) {
                ClientTurn::Progress => {
                    moved_at = Instant::now();
                    true
                }
                ClientTurn::Waiting => true,
                ClientTurn::Closed => false,
            });
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl CrowdClient {
    fn turn(&mut self, mode: ReadMode) -> ClientTurn {
        if mode == ReadMode::Discard && self.discard_input().is_err() {
            return ClientTurn::Closed;
        }
        let rest = &self.payload[self.sent..];
        if rest.is_empty() {
            return ClientTurn::Waiting;
        }
        match self.stream.write(&rest[..rest.len().min(TURN_BYTES)]) {
            Ok(0) => ClientTurn::Closed,
            Ok(count) => {
                self.sent += count;
                ClientTurn::Progress
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => ClientTurn::Waiting,
            Err(_) => ClientTurn::Closed,
        }
    }

    fn discard_input(&mut self) -> std::io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::ConnectionReset.into()),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }
}

/// Returns the head of a POST request with `framing` as its last header line.
pub(crate) fn post_head(path: &str, framing: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: mesh\r\n{framing}\r\n\r\n").into_bytes()
}

/// Returns a request whose body of `announced` bytes is cut short after `sent` bytes.
pub(crate) fn announced_body(path: &str, announced: u64, sent: usize) -> Vec<u8> {
    let mut request = post_head(path, &format!("Content-Length: {announced}"));
    request.resize(request.len() + sent, b'x');
    request
}

/// Returns a request with `bytes` of content in chunks of `chunk_bytes`, without its end.
pub(crate) fn chunked_body(path: &str, bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut request = post_head(path, "Transfer-Encoding: chunked");
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..bytes / chunk_bytes {
        request.extend_from_slice(&chunk);
    }
    request
}
