//! One connection to the upstream, and the exchange that it carries.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;

use super::body::{BodyError, BodyProgress, BodyReader};
use super::buffer::SocketBuffer;
use super::carried::CarriedRequests;
use super::exchange::{EchoedHeader, MAX_IDLE_AGE, UpstreamFailure, UpstreamJob};
use super::head::{BodyFraming, HeadError, HeadProgress, ResponseHead, parse_response_head};
use super::message::{HttpResponse, MAX_BODY_BYTES};
use super::status::{FinalStatus, ResponseStatus};
use crate::core::Timestamp;
use crate::memory::MemoryCharge;

/// A connection is no longer used when less than this time remains of the idle timeout that the
/// upstream announced. Covers the transit times of a request and of the connection's close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that a connection holds unparsed, whatever its parser waits for. An
/// incomplete head takes the most; upstreams are not expected to send a longer one.
const MAX_UNPARSED_BYTES: usize = 64 * 1024;
/// Maximum number of responses to other requests that one exchange skips before it fails.
const MAX_MISMATCHED_RESPONSES: u32 = 4;
/// Maximum number of interim (1xx) responses that one exchange skips before it fails. An upstream
/// could send them without end.
const MAX_INTERIM_RESPONSES: u32 = 16;

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
    is_head: bool,
    echoed: Option<EchoedHeader>,
    /// Whether any byte of the request was written.
    pub(super) is_sent: bool,
    response: Option<(ResponseHead, BodyReader)>,
    /// Status of `response`.
    status: FinalStatus,
    /// Number of skipped responses to other requests.
    mismatched_responses: u32,
    /// Number of skipped interim responses.
    interim_responses: u32,
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
    /// Whether the connection has carried an earlier request.
    is_reused: bool,
    carried: CarriedRequests,
    /// Whether a response on this connection has named its request. If so, all of them do.
    names_requests: bool,
    /// Whether a request or a response on this connection was not identified.
    has_unidentified: bool,
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
            is_reused: false,
            carried: CarriedRequests::default(),
            names_requests: false,
            has_unidentified: false,
        };
        connection.record_request(&exchange);
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
        match &exchange.echoed {
            Some(echoed) if echoed.is_guaranteed && self.has_unidentified => false,
            Some(echoed) => self.carried.accepts(&echoed.value),
            None => !self.names_requests,
        }
    }

    /// Begins an exchange on an idle connection.
    pub(super) fn begin(&mut self, exchange: UpstreamExchange<T>, write_buf: BytesMut) {
        self.record_request(&exchange);
        self.is_reused = true;
        self.write_buf = write_buf.into();
        self.phase = ExchangePhase::Running(exchange);
    }

    /// Updates the charge after any use of the connection. Gives back large empty buffers.
    pub(super) fn settle(&mut self) {
        self.write_buf.settle();
        let exchange = self.exchange();
        let response = exchange.and_then(|exchange| exchange.response.as_ref());
        let body = response.map_or(0, |(_, body)| body.allocated_bytes());
        self.charge.resize(self.read_buf.settle() + body);
    }

    /// Lets the body of a complete response keep its part of the budget.
    pub(super) fn hold_body(&mut self, response: &mut HttpResponse) {
        let mut charge = self.charge.split();
        charge.resize(response.body.len());
        response.body = charge.hold(std::mem::take(&mut response.body));
    }

    fn record_request(&mut self, exchange: &UpstreamExchange<T>) {
        match &exchange.echoed {
            Some(echoed) => self.carried.record(&echoed.value),
            None => self.has_unidentified = true,
        }
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
            return match self.read() {
                ExchangeProgress::Pending => ExchangeProgress::Failed(failure),
                progress => progress,
            };
        }
        match is_readable {
            true => self.read(),
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

    fn read(&mut self) -> ExchangeProgress {
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
                Err(_) => return self.on_close(true),
            };
            if is_ended {
                return self.on_close(false);
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

    /// Handles the end of the connection. A body that ends with the connection is complete only if
    /// the connection was not reset.
    fn on_close(&mut self, is_reset: bool) -> ExchangeProgress {
        let ExchangePhase::Running(exchange) = &mut self.phase else {
            return ExchangeProgress::Closed;
        };
        match exchange.response.take() {
            Some((head, body)) if !is_reset && body.ends_with_connection() => {
                ExchangeProgress::Finished(head.into_response(exchange.status, body), false)
            }
            Some(_) => ExchangeProgress::Failed(UpstreamFailure::Truncated),
            None => ExchangeProgress::Failed(UpstreamFailure::Broken),
        }
    }

    fn parse(&mut self) -> ExchangeProgress {
        let ExchangePhase::Running(exchange) = &mut self.phase else {
            // Bytes that belong to no request.
            return ExchangeProgress::Closed;
        };
        if self.is_reused && !exchange.is_sent {
            // A response to an earlier request. On a new connection, the upstream may refuse a
            // request before it reads it.
            return ExchangeProgress::Failed(UpstreamFailure::Garbled);
        }
        loop {
            if exchange.response.is_none() {
                match parse_response_head(&self.read_buf, exchange.is_head) {
                    HeadProgress::Partial => return ExchangeProgress::Pending,
                    HeadProgress::Invalid(HeadError::Status(error)) => {
                        log::info!(status = error.0, upstream:% = self.address; "response_status_invalid");
                        return ExchangeProgress::Failed(UpstreamFailure::InvalidStatus);
                    }
                    HeadProgress::Invalid(HeadError::Malformed | HeadError::TooLarge) => {
                        return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                    }
                    HeadProgress::Complete { head, bytes } => {
                        self.read_buf.advance(bytes);
                        let ResponseStatus::Final(status) = head.status else {
                            exchange.interim_responses += 1;
                            if exchange.interim_responses > MAX_INTERIM_RESPONSES {
                                return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                            }
                            continue;
                        };
                        let body = BodyReader::new(head.framing, MAX_BODY_BYTES as u64);
                        exchange.status = status;
                        exchange.response = Some((head, body));
                    }
                }
            }
            let Some((_, body)) = &mut exchange.response else {
                return ExchangeProgress::Pending;
            };
            match body.feed(&mut self.read_buf) {
                BodyProgress::Partial => return ExchangeProgress::Pending,
                // All of the limit is granted from the start.
                BodyProgress::NeedsRoom | BodyProgress::Invalid(BodyError::TooLarge) => {
                    return ExchangeProgress::Failed(UpstreamFailure::TooLarge);
                }
                BodyProgress::Invalid(BodyError::Malformed) => {
                    return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                }
                BodyProgress::Complete => {}
            }
            let Some((head, body)) = exchange.response.take() else {
                return ExchangeProgress::Pending;
            };
            match exchange.attribution(&head) {
                ResponseAttribution::Own => self.names_requests |= exchange.echoed.is_some(),
                ResponseAttribution::Unnamed if !self.names_requests => {
                    self.has_unidentified = true;
                }
                ResponseAttribution::Unnamed => {
                    return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                }
                ResponseAttribution::OtherRequest => {
                    self.names_requests = true;
                    exchange.mismatched_responses += 1;
                    if !head.keep_alive || exchange.mismatched_responses > MAX_MISMATCHED_RESPONSES
                    {
                        return ExchangeProgress::Failed(UpstreamFailure::Garbled);
                    }
                    continue;
                }
            }
            // The connection cannot be reused if it holds bytes that belong to no request, if the
            // upstream has sent a response twice, or if the response arrived before the whole
            // request was written: the rest of the request would precede the next request.
            let is_reusable = head.keep_alive
                && exchange.mismatched_responses == 0
                && self.read_buf.is_empty()
                && self.write_buf.is_empty()
                && !self.carried.is_full();
            let announced = head.idle_timeout_secs.map(Duration::from_secs);
            let announced = announced.map(|limit| limit.saturating_sub(IDLE_TIMEOUT_MARGIN));
            self.idle_limit = announced.unwrap_or(MAX_IDLE_AGE).min(MAX_IDLE_AGE);
            return ExchangeProgress::Finished(
                head.into_response(exchange.status, body),
                is_reusable,
            );
        }
    }
}

pub(super) fn connect_failure(error: &io::Error) -> UpstreamFailure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => UpstreamFailure::NotListening,
        _ => UpstreamFailure::Unreachable,
    }
}

/// Which request a response belongs to, according to its echoed header.
enum ResponseAttribution {
    /// The current request.
    Own,
    OtherRequest,
    /// The header is missing.
    Unnamed,
}

impl<T> UpstreamExchange<T> {
    /// Creates the exchange of a job, of which nothing has been sent.
    pub(super) fn new(now: Timestamp, job: UpstreamJob<T>) -> Self {
        UpstreamExchange {
            tag: job.tag,
            deadline: now + job.timeout,
            is_head: job.request.method == "HEAD",
            echoed: job.echoed,
            is_sent: false,
            response: None,
            status: FinalStatus::OK,
            mismatched_responses: 0,
            interim_responses: 0,
        }
    }

    fn attribution(&self, head: &ResponseHead) -> ResponseAttribution {
        let Some(echoed) = &self.echoed else {
            return ResponseAttribution::Own;
        };
        let mut headers = head.headers.iter();
        let named = headers.find(|(header, _)| header.eq_ignore_ascii_case(echoed.name));
        match named {
            Some((_, value)) if *value == echoed.value => ResponseAttribution::Own,
            Some(_) => ResponseAttribution::OtherRequest,
            None => ResponseAttribution::Unnamed,
        }
    }
}

impl ResponseHead {
    fn into_response(self, status: FinalStatus, body: BodyReader) -> HttpResponse {
        debug_assert!(self.framing != BodyFraming::Empty || !body.ends_with_connection());
        HttpResponse {
            status,
            headers: self.headers,
            body: body.into_body(),
        }
    }
}
