//! Blocking HTTP/1.1 for the stand-ins: reading heads and bodies, and one request on a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A parsed head. `first` is the request line or the status line.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A response with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// One connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    fn fill(&mut self, until: Option<Instant>) -> io::Result<usize> {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0u8; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head. `None` if the connection ended before its first byte.
    pub fn read_head(&mut self, until: Option<Instant>) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    fields: fields.collect(),
                }));
            }
            if self.fill(until)? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body of a stated length.
    pub fn read_body(&mut self, length: usize, until: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill(until)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a response. The programs under test always state the length of a body.
    pub fn read_response(&mut self, until: Option<Instant>) -> io::Result<Response> {
        let head = self.read_head(until)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head
            .first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let length = head
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let body = self.read_body(length, until)?;
        Ok(Response { status, head, body })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Encodes a request. `fields` are whole header lines without line breaks.
pub fn encode(method: &str, path: &str, fields: &[String], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for field in fields {
        text.push_str(field);
        text.push_str("\r\n");
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Response> {
    let until = Instant::now() + timeout;
    let mut connection = Connection::open(address)?;
    connection.send(request)?;
    connection.read_response(Some(until))
}
