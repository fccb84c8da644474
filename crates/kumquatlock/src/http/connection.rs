//! A connection from a caller.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;

use super::body::{BodyError, BodyProgress, BodyReader};
use super::encode::encode_response;
use super::head::{BodyFraming, HeadError, HeadProgress, RequestHead, parse_request_head};
use super::message::{HttpRequest, HttpResponse};
use super::refusal::RequestRefusal;
use crate::core::Timestamp;

/// Maximum number of requests of one connection that wait for their responses. Further requests
/// stay unread.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Maximum number of bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Number of buffered, unparsed bytes at which a connection stops reading from its socket.
const MAX_READ_BUF_BYTES: usize = 256 * 1024;
/// Maximum number of empty lines before a request. Old clients send one after a body.
const MAX_EMPTY_LINES: u32 = 8;
/// Maximum wait for the caller to close the connection after the last response. If the node closed
/// first while the caller was still sending, the connection would be reset and the response could
/// be lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time without progress while a request body arrives or a response is written. The
/// connection is closed after it.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which an idle connection of a stopping process stays open. A request that its caller is
/// sending meanwhile is answered.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time until a request's head has arrived.
    pub header_timeout: Duration,
    /// Maximum time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

/// Whether a connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionStatus {
    Open,
    Closed,
}

/// A complete request, or refused input, whose response has not been encoded yet.
#[derive(Debug)]
struct PendingRequest {
    sequence: u64,
    is_head: bool,
    keep_alive: bool,
    /// Set once the request is answered, and kept until the responses to earlier requests are
    /// encoded.
    response: Option<HttpResponse>,
}

#[derive(Debug)]
enum ReadState {
    Head,
    Body(Box<(RequestHead, BodyReader)>),
    /// No further requests are read: a request was refused, or the connection closes after the last
    /// response.
    Closing,
}

/// A connection from a caller, with its buffers and pending requests.
pub(super) struct CallerConnection {
    pub(super) socket: MioSource<TcpStream>,
    read_buf: BytesMut,
    write_buf: BytesMut,
    state: ReadState,
    /// In order of arrival; never more than [`MAX_PIPELINED_REQUESTS`].
    pending: VecDeque<PendingRequest>,
    next_sequence: u64,
    /// Whether the socket may have unread bytes because the connection reached one of its limits.
    has_unread: bool,
    /// When the connection last became ready for a new request. The idle timeout starts here.
    waiting_since: Timestamp,
    /// When the first byte of the head that is being read arrived. The head timeout starts here, or
    /// at `waiting_since` if that is later.
    head_since: Option<Timestamp>,
    /// Number of empty lines since the last request.
    empty_lines: u32,
    /// When bytes were last read or written, or a request body began.
    last_progress_at: Timestamp,
    /// When the last response had been written and the sending side was shut down.
    lingering_since: Option<Timestamp>,
}

impl CallerConnection {
    pub(super) fn new(socket: MioSource<TcpStream>, now: Timestamp) -> Self {
        CallerConnection {
            socket,
            read_buf: BytesMut::new(),
            write_buf: BytesMut::new(),
            state: ReadState::Head,
            pending: VecDeque::new(),
            next_sequence: 0,
            has_unread: false,
            waiting_since: now,
            head_since: None,
            empty_lines: 0,
            last_progress_at: now,
            lingering_since: None,
        }
    }

    /// Whether a response is missing or not written completely.
    pub(super) fn is_busy(&self) -> bool {
        !self.pending.is_empty() || !self.write_buf.is_empty()
    }

    /// Returns the sequence numbers of the requests that have no response.
    pub(super) fn unanswered(&self) -> impl Iterator<Item = u64> {
        let unanswered = self
            .pending
            .iter()
            .filter(|request| request.response.is_none());
        unanswered.map(|request| request.sequence)
    }

    /// Reads from the socket and appends complete requests, with their sequence numbers, to
    /// `requests`.
    pub(super) fn read(
        &mut self,
        now: Timestamp,
        limits: &HttpLimits,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) -> ConnectionStatus {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            if self.read_buf.len() >= MAX_READ_BUF_BYTES
                || self.pending.len() >= MAX_PIPELINED_REQUESTS
            {
                self.has_unread = true;
                return ConnectionStatus::Open;
            }
            self.has_unread = false;
            match self.socket.read(&mut chunk) {
                Ok(0) => return ConnectionStatus::Closed,
                Ok(count) => {
                    self.last_progress_at = now;
                    if !matches!(self.state, ReadState::Closing) {
                        self.read_buf.extend_from_slice(&chunk[..count]);
                        self.parse(now, limits, requests);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ConnectionStatus::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ConnectionStatus::Closed,
            }
        }
    }

    /// Continues reading after a response has brought the connection below its limits.
    pub(super) fn resume(
        &mut self,
        now: Timestamp,
        limits: &HttpLimits,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) -> ConnectionStatus {
        if self.pending.len() >= MAX_PIPELINED_REQUESTS {
            return ConnectionStatus::Open;
        }
        self.parse(now, limits, requests);
        match self.has_unread {
            true => self.read(now, limits, requests),
            false => ConnectionStatus::Open,
        }
    }

    fn parse(
        &mut self,
        now: Timestamp,
        limits: &HttpLimits,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) {
        while self.pending.len() < MAX_PIPELINED_REQUESTS {
            match &mut self.state {
                ReadState::Closing => return,
                ReadState::Head => {
                    if self.read_buf.is_empty() {
                        self.head_since = None;
                        return;
                    }
                    self.head_since.get_or_insert(now);
                    if self.read_buf.starts_with(b"\r\n") {
                        self.read_buf.advance(2);
                        self.empty_lines += 1;
                        if self.empty_lines > MAX_EMPTY_LINES {
                            return self.refuse(RequestRefusal::Malformed);
                        }
                        continue;
                    }
                    match parse_request_head(&self.read_buf, limits.header_bytes) {
                        HeadProgress::Partial => return,
                        HeadProgress::Invalid(error) => return self.refuse_head(error),
                        HeadProgress::Complete { head, bytes } => {
                            self.read_buf.advance(bytes);
                            self.begin_body(now, head, limits);
                        }
                    }
                }
                ReadState::Body(parts) => match parts.1.feed(&mut self.read_buf) {
                    BodyProgress::Partial => return,
                    BodyProgress::Invalid(BodyError::TooLarge) => {
                        return self.refuse(RequestRefusal::BodyTooLarge);
                    }
                    BodyProgress::Invalid(BodyError::Malformed) => {
                        return self.refuse(RequestRefusal::Malformed);
                    }
                    BodyProgress::Complete => self.finish_request(now, requests),
                },
            }
        }
    }

    fn begin_body(&mut self, now: Timestamp, head: RequestHead, limits: &HttpLimits) {
        if head.expects_continue && head.framing != BodyFraming::Empty {
            // Sent only if no earlier request is pending: an interim response must not overtake the
            // responses to earlier requests.
            if self.pending.is_empty() {
                self.write_buf
                    .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        self.head_since = None;
        self.empty_lines = 0;
        self.last_progress_at = now;
        let reader = BodyReader::new(head.framing, limits.body_bytes);
        self.state = ReadState::Body(Box::new((head, reader)));
    }

    fn finish_request(&mut self, now: Timestamp, requests: &mut Vec<(u64, HttpRequest)>) {
        let ReadState::Body(parts) = std::mem::replace(&mut self.state, ReadState::Head) else {
            return;
        };
        let (head, reader) = *parts;
        self.waiting_since = now;
        if !head.keep_alive {
            self.state = ReadState::Closing;
        }
        let sequence = self.push_pending(head.method == "HEAD", head.keep_alive);
        let request = HttpRequest {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: reader.into_body(),
        };
        requests.push((sequence, request));
    }

    fn push_pending(&mut self, is_head: bool, keep_alive: bool) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending.push_back(PendingRequest {
            sequence,
            is_head,
            keep_alive,
            response: None,
        });
        sequence
    }

    fn refuse_head(&mut self, error: HeadError) {
        self.refuse(match error {
            HeadError::TooLarge => RequestRefusal::TooManyHeaders,
            HeadError::Malformed => RequestRefusal::Malformed,
        });
    }

    /// Answers invalid input with `refusal`, after the responses to earlier requests, and stops
    /// reading.
    fn refuse(&mut self, refusal: RequestRefusal) {
        let sequence = self.push_pending(false, false);
        self.state = ReadState::Closing;
        self.read_buf.clear();
        self.set_response(sequence, refusal.response());
    }

    /// Answers a request and encodes the responses that are next in order. With `close_after_last`,
    /// the connection closes after the response to the last pending request.
    pub(super) fn respond(
        &mut self,
        sequence: u64,
        response: HttpResponse,
        close_after_last: bool,
    ) {
        self.set_response(sequence, response);
        self.encode_responses(close_after_last);
    }

    fn set_response(&mut self, sequence: u64, response: HttpResponse) {
        let mut pending = self.pending.iter_mut();
        if let Some(request) = pending.find(|request| request.sequence == sequence) {
            request.response = Some(response);
        }
    }

    fn encode_responses(&mut self, close_after_last: bool) {
        while let Some(request) = self
            .pending
            .pop_front_if(|request| request.response.is_some())
        {
            let is_last = self.pending.is_empty();
            let keep_alive = request.keep_alive && !(close_after_last && is_last);
            if !keep_alive {
                self.state = ReadState::Closing;
                self.read_buf.clear();
            }
            if let Some(response) = request.response {
                encode_response(&response, request.is_head, keep_alive, &mut self.write_buf);
            }
        }
    }

    /// Writes buffered responses until the socket accepts no more bytes.
    pub(super) fn flush(&mut self, now: Timestamp) -> ConnectionStatus {
        self.encode_responses(false);
        let has_response = !self.write_buf.is_empty();
        while !self.write_buf.is_empty() {
            match self.socket.write(&self.write_buf) {
                Ok(0) => return ConnectionStatus::Closed,
                Ok(count) => {
                    self.write_buf.advance(count);
                    self.last_progress_at = now;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ConnectionStatus::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ConnectionStatus::Closed,
            }
        }
        let is_done = matches!(self.state, ReadState::Closing) && self.pending.is_empty();
        if is_done && self.lingering_since.is_none() {
            self.lingering_since = Some(now);
            if self.socket.shutdown(Shutdown::Write).is_err() {
                return ConnectionStatus::Closed;
            }
        }
        if has_response && self.pending.is_empty() {
            self.waiting_since = now;
        }
        ConnectionStatus::Open
    }

    fn is_idle_too_long(
        &self,
        now: Timestamp,
        limits: &HttpLimits,
        stopped_at: Option<Timestamp>,
    ) -> bool {
        let is_over = stopped_at
            .is_some_and(|since| now.since(since.max(self.waiting_since)) >= CLOSING_IDLE_TIMEOUT);
        is_over || now.since(self.waiting_since) >= limits.idle_timeout
    }

    /// Applies the timeouts. An incomplete head is refused with a response; an idle or stalled
    /// connection is closed.
    pub(super) fn check_timeouts(
        &mut self,
        now: Timestamp,
        limits: &HttpLimits,
        stopped_at: Option<Timestamp>,
    ) -> ConnectionStatus {
        if let Some(since) = self.lingering_since {
            return closed_if(now.since(since) >= LINGER_TIMEOUT);
        }
        if !self.write_buf.is_empty() {
            return closed_if(now.since(self.last_progress_at) >= STALL_TIMEOUT);
        }
        match &self.state {
            ReadState::Head if self.pending.is_empty() => match self.head_since {
                None => closed_if(self.is_idle_too_long(now, limits, stopped_at)),
                Some(since)
                    if now.since(since.max(self.waiting_since)) >= limits.header_timeout =>
                {
                    self.refuse(RequestRefusal::HeadTimeout);
                    self.flush(now)
                }
                Some(_) => ConnectionStatus::Open,
            },
            ReadState::Body(_) => closed_if(now.since(self.last_progress_at) >= STALL_TIMEOUT),
            _ => ConnectionStatus::Open,
        }
    }
}

fn closed_if(is_expired: bool) -> ConnectionStatus {
    match is_expired {
        true => ConnectionStatus::Closed,
        false => ConnectionStatus::Open,
    }
}
