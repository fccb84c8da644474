//! HTTP/1.1 as the pages describe it, over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message without its first line's meaning: the first line, headers and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_last(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Connection::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?))
    }

    /// Reads more bytes. Returns whether there were any before the end of the connection.
    fn read_more(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head. Returns `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if !self.read_more()? {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Some(message))
    }

    /// Reads the body that `Content-Length` announces, or all up to the end of the connection if a
    /// response announces none.
    fn read_body(&mut self, head: &mut Message, is_response: bool) -> io::Result<()> {
        let length = head
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        let Some(length) = length else {
            if is_response {
                while self.read_more()? {}
                head.body = std::mem::take(&mut self.ahead);
            }
            return Ok(());
        };
        while self.ahead.len() < length {
            if !self.read_more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        head.body = self.ahead.drain(..length).collect();
        Ok(())
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut head, false)?;
        Ok(Some(head))
    }

    /// Reads and drops the rest of a body of this length.
    pub fn skip_body(&mut self, length: usize) -> io::Result<()> {
        let mut left = length - self.ahead.len().min(length);
        self.ahead.clear();
        let mut chunk = [0; 64 * 1024];
        while left > 0 {
            let count = self.stream.read(&mut chunk)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            left -= count.min(left);
        }
        Ok(())
    }

    /// Sends a request and reads the response.
    pub fn exchange(&mut self, request: &[u8], timeout: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        self.stream.set_write_timeout(Some(timeout))?;
        self.stream.write_all(request)?;
        let head = self.read_head()?;
        let mut head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        self.read_body(&mut head, true)?;
        Ok(head)
    }
}

/// Encodes a request.
pub fn request(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || !line.starts_with("GET") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection.
pub fn send_once(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    Connection::open(address)?.exchange(request, timeout)
}

/// A client that keeps its connection open, and opens another one when the node closes it.
pub struct KeptClient {
    address: SocketAddr,
    connection: Option<Connection>,
    /// Number of requests that the open connection has carried.
    pub carried: usize,
}

impl KeptClient {
    pub fn new(address: SocketAddr) -> Self {
        KeptClient {
            address,
            connection: None,
            carried: 0,
        }
    }

    pub fn send(&mut self, request: &[u8], timeout: Duration) -> io::Result<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                self.carried = 0;
                Connection::open(self.address)?
            }
        };
        let answer = connection.exchange(request, timeout)?;
        self.carried += 1;
        if !answer.is_last() {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}
