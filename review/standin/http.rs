//! A small HTTP/1.1 client, for the stand-ins of clients, backends and the operator.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A complete response.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Why there is no complete response.
#[derive(Debug)]
pub enum Failure {
    /// The connection was not established.
    NoConnection,
    /// The connection ended before a complete response.
    Closed(String),
    /// Nothing complete arrived in time.
    TimedOut,
}

/// Sends one request on a new connection and reads the whole response.
pub fn exchange(address: SocketAddr, text: &[u8], limit: Duration) -> Result<Response, Failure> {
    let deadline = Instant::now() + limit;
    let connect = limit.min(Duration::from_secs(1));
    let mut stream =
        TcpStream::connect_timeout(&address, connect).map_err(|_| Failure::NoConnection)?;
    let _ = stream.set_nodelay(true);
    let closed = |error: io::Error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Failure::TimedOut,
        _ => Failure::Closed(error.to_string()),
    };
    stream.write_all(text).map_err(closed)?;
    let left = deadline.saturating_duration_since(Instant::now());
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let mut reader = BufReader::new(stream);
    read_response(&mut reader).map_err(closed)
}

fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let early_end = || io::Error::new(io::ErrorKind::UnexpectedEof, "ended early");
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(early_end());
    }
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).map_err(|_| early_end())?;
    Ok(Response {
        status,
        headers,
        body,
    })
}

/// Reads headers up to the empty line.
pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Sends a request with a JSON body (none if empty), as the platform and the backends do.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<Response, Failure> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    exchange(address, text.as_bytes(), limit)
}
