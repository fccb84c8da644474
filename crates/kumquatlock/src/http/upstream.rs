//! One connection to the upstream, and the exchange that it carries.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;

use super::buffer::SocketBuffer;
use super::exchange::{MAX_IDLE_AGE, UpstreamFailure, UpstreamJob};
use super::message::HttpResponse;
use super::response::{
    ConnectionEnd, ConnectionHistory, FinishedResponse, RequestPhase, ResponseReader, ResponseStep,
};
use crate::core::Timestamp;
use crate::memory::MemoryCharge;

/// Maximum number of bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that a connection holds unparsed, whatever its parser waits for. An
/// incomplete head takes the most; upstreams are not expected to send a longer one.
const MAX_UNPARSED_BYTES: usize = 64 * 1024;

/// State of a connection to the upstream.
pub(super) enum ExchangePhase<T> {
    Connecting(UpstreamExchange<T>),
    Running(UpstreamExchange<T>),
    Idle { since: Timestamp },
}

/// A request that was started, and the part of its response that has arrived.
pub(super) struct UpstreamExchange<T> {
    pub(super) tag: T,
    pub(super) deadline: Timestamp,
    /// Whether any byte of the request was written.
    pub(super) is_sent: bool,
    reader: ResponseReader,
}

/// A connection to the upstream, with its buffers and its exchange.
pub(super) struct UpstreamConnection<T> {
    socket: MioSource<TcpStream>,
    pub(super) address: SocketAddr,
    pub(super) opened_at: Timestamp,
    pub(super) phase: ExchangePhase<T>,
    read_buf: SocketBuffer,
    write_buf: SocketBuffer,
    /// Covers the buffers and the response that is arriving. The request is covered by its own
    /// charge.
    charge: MemoryCharge,
    /// Maximum time for which the connection may stay idle.
    pub(super) idle_limit: Duration,
    history: ConnectionHistory,
}

/// Result of reading from and writing to a connection.
pub(super) enum ExchangeProgress {
    Pending,
    /// The response is complete. The flag tells whether the connection can be reused.
    Finished(HttpResponse, bool),
    Failed(UpstreamFailure),
    /// The connection was idle and cannot be used any more.
    Closed,
}

impl<T> UpstreamConnection<T> {
    /// Creates a connection that is being opened for an exchange.
    pub(super) fn connecting(
        now: Timestamp,
        socket: MioSource<TcpStream>,
        address: SocketAddr,
        exchange: UpstreamExchange<T>,
        write_buf: BytesMut,
        charge: MemoryCharge,
    ) -> Self {
        let mut connection = UpstreamConnection {
            socket,
            address,
            opened_at: now,
            phase: ExchangePhase::Idle { since: now },
            read_buf: SocketBuffer::default(),
            write_buf: write_buf.into(),
            charge,
            idle_limit: MAX_IDLE_AGE,
            history: ConnectionHistory::default(),
        };
        connection.history.record(exchange.reader.echoed());
        connection.phase = ExchangePhase::Connecting(exchange);
        connection
    }

    pub(super) fn exchange(&self) -> Option<&UpstreamExchange<T>> {
        match &self.phase {
            ExchangePhase::Connecting(exchange) | ExchangePhase::Running(exchange) => {
                Some(exchange)
            }
            ExchangePhase::Idle { .. } => None,
        }
    }

    /// Whether the responses to the exchange can be told from those to earlier requests.
    pub(super) fn may_carry(&self, exchange: &UpstreamExchange<T>) -> bool {
        self.history.may_carry(exchange.reader.echoed())
    }

    /// Begins an exchange on an idle connection.
    pub(super) fn begin(&mut self, exchange: UpstreamExchange<T>, write_buf: BytesMut) {
        self.history.record(exchange.reader.echoed());
        self.history.is_reused = true;
        self.write_buf = write_buf.into();
        self.phase = ExchangePhase::Running(exchange);
    }

    /// Updates the charge after any use of the connection. Gives back large empty buffers.
    pub(super) fn settle(&mut self) {
        self.write_buf.settle();
        let body = self
            .exchange()
            .map_or(0, |exchange| exchange.reader.allocated_bytes());
        self.charge.resize(self.read_buf.settle() + body);
    }

    /// Lets the body of a complete response keep its part of the budget.
    pub(super) fn hold_body(&mut self, response: &mut HttpResponse) {
        let mut charge = self.charge.split();
        charge.resize(response.body.len());
        response.body = charge.hold(std::mem::take(&mut response.body));
    }

    pub(super) fn advance(&mut self, is_readable: bool) -> ExchangeProgress {
        if matches!(self.phase, ExchangePhase::Connecting(_)) {
            match self.finish_connect() {
                Ok(true) => {}
                Ok(false) => return ExchangeProgress::Pending,
                Err(error) => return ExchangeProgress::Failed(connect_failure(&error)),
            }
        }
        if let Err(failure) = self.write() {
            // The upstream may have responded before it closed the connection.
            return match self.read(ConnectionEnd::Reset) {
                ExchangeProgress::Pending => ExchangeProgress::Failed(failure),
                progress => progress,
            };
        }
        match is_readable {
            true => self.read(ConnectionEnd::Closed),
            false => ExchangeProgress::Pending,
        }
    }

    fn finish_connect(&mut self) -> io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(false),
            Err(error) => return Err(error),
        }
        self.socket.set_nodelay(true)?;
        let phase = ExchangePhase::Idle {
            since: self.opened_at,
        };
        if let ExchangePhase::Connecting(exchange) = std::mem::replace(&mut self.phase, phase) {
            self.phase = ExchangePhase::Running(exchange);
        }
        Ok(true)
    }

    fn write(&mut self) -> Result<(), UpstreamFailure> {
        while !self.write_buf.is_empty() {
            match self.socket.write(&self.write_buf) {
                Ok(0) => return Err(UpstreamFailure::Broken),
                Ok(count) => {
                    self.write_buf.advance(count);
                    if let ExchangePhase::Running(exchange) = &mut self.phase {
                        exchange.is_sent = true;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(UpstreamFailure::Broken),
            }
        }
        Ok(())
    }

    /// Reads from the socket. `end` tells what an end of the stream means: after a failed write, the
    /// connection was reset.
    fn read(&mut self, end: ConnectionEnd) -> ExchangeProgress {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            let is_ended = match self.socket.read(&mut chunk) {
                Ok(0) => true,
                Ok(count) => {
                    self.read_buf.extend_from_slice(&chunk[..count]);
                    false
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ExchangeProgress::Pending;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.on_close(ConnectionEnd::Reset),
            };
            if is_ended {
                return self.on_close(end);
            }
            match self.parse() {
                ExchangeProgress::Pending if self.read_buf.len() > MAX_UNPARSED_BYTES => {
                    return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                }
                ExchangeProgress::Pending => {}
                progress => return progress,
            }
        }
    }

    fn on_close(&mut self, end: ConnectionEnd) -> ExchangeProgress {
        let phase = self.request_phase();
        match &mut self.phase {
            ExchangePhase::Running(exchange) => {
                let step = exchange.reader.end(end, phase);
                self.progress(step)
            }
            _ => ExchangeProgress::Closed,
        }
    }

    fn parse(&mut self) -> ExchangeProgress {
        let phase = self.request_phase();
        let ExchangePhase::Running(exchange) = &mut self.phase else {
            // Bytes that belong to no request.
            return ExchangeProgress::Closed;
        };
        let reader = &mut exchange.reader;
        let step = reader.feed(&mut self.read_buf, phase, &mut self.history);
        self.progress(step)
    }

    fn request_phase(&self) -> RequestPhase {
        let is_sent = self.exchange().is_some_and(|exchange| exchange.is_sent);
        match (is_sent, self.write_buf.is_empty()) {
            (false, _) => RequestPhase::Unsent,
            (true, false) => RequestPhase::PartlySent,
            (true, true) => RequestPhase::Sent,
        }
    }

    fn progress(&mut self, step: ResponseStep) -> ExchangeProgress {
        match step {
            ResponseStep::Pending => ExchangeProgress::Pending,
            ResponseStep::Failed(failure) => ExchangeProgress::Failed(failure),
            ResponseStep::Finished(finished) => {
                let FinishedResponse {
                    response,
                    is_reusable,
                    idle_limit,
                } = finished;
                self.idle_limit = idle_limit;
                ExchangeProgress::Finished(response, is_reusable)
            }
        }
    }
}

pub(super) fn connect_failure(error: &io::Error) -> UpstreamFailure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => UpstreamFailure::NotListening,
        _ => UpstreamFailure::Unreachable,
    }
}

impl<T> UpstreamExchange<T> {
    /// Creates the exchange of a job, of which nothing has been sent.
    pub(super) fn new(now: Timestamp, job: UpstreamJob<T>) -> Self {
        let is_head = job.request.method == "HEAD";
        UpstreamExchange {
            tag: job.tag,
            deadline: now + job.timeout,
            is_sent: false,
            reader: ResponseReader::new(job.address, is_head, job.echoed),
        }
    }
}
