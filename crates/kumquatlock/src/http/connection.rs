//! A connection from a caller.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use bytes::Buf;
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;

use super::body::{BodyError, BodyProgress, BodyReader};
use super::buffer::SocketBuffer;
use super::encode::encode_response;
use super::head::{BodyFraming, HeadError, HeadProgress, RequestHead, parse_request_head};
use super::message::{HttpRequest, HttpResponse};
use super::refusal::RequestRefusal;
use crate::core::Timestamp;
use crate::memory::{BODY_COPIES, HoldSize, MemoryBudget, MemoryCharge};

/// Maximum number of requests of one connection that wait for their responses. Further requests
/// stay unread.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Maximum number of bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes read from a connection before others have their turn.
const MAX_TURN_BYTES: usize = 64 * 1024;
/// Number of bytes of unread responses at which a connection reads no further requests.
const MAX_UNREAD_RESPONSE_BYTES: usize = 256 * 1024;
/// Body up to which a request counts as small, in bytes.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// Bytes that may wait in the socket buffer of a connection that is not read.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Content that counts as progress of a body, in bytes. A caller that sends byte by byte makes none.
const PROGRESS_BYTES: usize = 4 * 1024;
/// Maximum time in which a body makes no progress. Far longer than any request within the limits
/// takes to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of buffered, unparsed bytes at which a connection stops reading from its socket.
const MAX_READ_BUF_BYTES: usize = 256 * 1024;
/// Maximum number of empty lines before a request. Old clients send one after a body.
const MAX_EMPTY_LINES: u32 = 8;
/// Maximum wait for the caller to close the connection after the last response. If the node closed
/// first while the caller was still sending, the connection would be reset and the response could
/// be lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time without progress while a response is written. The connection is closed after it.
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

/// What bounds the requests of a connection.
pub(super) struct ReadContext<'a> {
    pub(super) limits: &'a HttpLimits,
    pub(super) budget: &'a MemoryBudget,
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

/// A request whose body is arriving.
#[derive(Debug)]
struct IncomingBody {
    head: RequestHead,
    reader: BodyReader,
    /// Covers all copies of the granted content.
    charge: MemoryCharge,
    /// When [`PROGRESS_BYTES`] of content had last arrived since the previous time.
    progress_at: Timestamp,
    /// Length of the content at `progress_at`.
    progress_bytes: usize,
}

#[derive(Debug)]
enum ReadState {
    Head,
    Body(Box<IncomingBody>),
    /// No further requests are read: a request was refused, or the connection closes after the last
    /// response.
    Closing,
}

/// A connection from a caller, with its buffers and pending requests.
pub(super) struct CallerConnection {
    pub(super) socket: MioSource<TcpStream>,
    read_buf: SocketBuffer,
    write_buf: SocketBuffer,
    /// Covers the buffers and the responses that have not been encoded.
    charge: MemoryCharge,
    state: ReadState,
    /// In order of arrival; never more than [`MAX_PIPELINED_REQUESTS`].
    pending: VecDeque<PendingRequest>,
    next_sequence: u64,
    /// Whether the socket may have unread bytes because the connection reached one of its limits.
    has_unread: bool,
    /// Since when the connection has not been read because there is no memory for its body.
    starved_since: Option<Timestamp>,
    /// Refusal that has not been counted yet.
    refused: Option<RequestRefusal>,
    /// When the connection last became ready for a new request. The idle timeout starts here.
    waiting_since: Timestamp,
    /// When the first byte of the head that is being read arrived. The head timeout starts here, or
    /// at `waiting_since` if that is later.
    head_since: Option<Timestamp>,
    /// Number of empty lines since the last request.
    empty_lines: u32,
    /// When bytes were last written, or there were none to write.
    last_progress_at: Timestamp,
    /// When the last response had been written and the sending side was shut down.
    lingering_since: Option<Timestamp>,
}

impl CallerConnection {
    pub(super) fn new(socket: MioSource<TcpStream>, budget: &MemoryBudget, now: Timestamp) -> Self {
        CallerConnection {
            socket,
            read_buf: SocketBuffer::default(),
            write_buf: SocketBuffer::default(),
            charge: budget.empty_charge(),
            state: ReadState::Head,
            pending: VecDeque::new(),
            next_sequence: 0,
            has_unread: false,
            starved_since: None,
            refused: None,
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

    /// Whether the connection reads no requests until responses are written or memory is free.
    fn is_held_back(&self) -> bool {
        self.read_buf.len() >= MAX_READ_BUF_BYTES
            || self.pending.len() >= MAX_PIPELINED_REQUESTS
            || self.write_buf.len() >= MAX_UNREAD_RESPONSE_BYTES
            || self.starved_since.is_some()
    }

    /// Whether the connection stopped reading only so that others have their turn.
    pub(super) fn awaits_turn(&self) -> bool {
        self.has_unread && !self.is_held_back()
    }

    /// Reads from the socket and appends complete requests, with their sequence numbers, to
    /// `requests`.
    pub(super) fn read(
        &mut self,
        now: Timestamp,
        context: &ReadContext<'_>,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) -> ConnectionStatus {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let mut turn_bytes = 0;
        loop {
            if self.is_held_back() || turn_bytes >= MAX_TURN_BYTES {
                self.has_unread = true;
                return ConnectionStatus::Open;
            }
            self.has_unread = false;
            match self.socket.read(&mut chunk) {
                Ok(0) => return ConnectionStatus::Closed,
                Ok(count) => {
                    turn_bytes += count;
                    if !matches!(self.state, ReadState::Closing) {
                        self.read_buf.extend_from_slice(&chunk[..count]);
                        self.parse(now, context, requests);
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

    /// Continues reading after the connection has come below its limits, or in its turn.
    pub(super) fn resume(
        &mut self,
        now: Timestamp,
        context: &ReadContext<'_>,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) -> ConnectionStatus {
        if self.pending.len() >= MAX_PIPELINED_REQUESTS {
            return ConnectionStatus::Open;
        }
        self.parse(now, context, requests);
        match self.has_unread {
            true => self.read(now, context, requests),
            false => ConnectionStatus::Open,
        }
    }

    fn parse(
        &mut self,
        now: Timestamp,
        context: &ReadContext<'_>,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) {
        while self.pending.len() < MAX_PIPELINED_REQUESTS
            && self.write_buf.len() < MAX_UNREAD_RESPONSE_BYTES
        {
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
                    match parse_request_head(&self.read_buf, context.limits.header_bytes) {
                        HeadProgress::Partial => return,
                        HeadProgress::Invalid(error) => return self.refuse_head(error),
                        HeadProgress::Complete { head, bytes } => {
                            self.read_buf.advance(bytes);
                            self.begin_body(now, head, context);
                        }
                    }
                }
                ReadState::Body(body) => match body.feed(now, &mut self.read_buf) {
                    BodyProgress::Partial => return,
                    BodyProgress::NeedsRoom if body.raise_grant(context.budget) => {
                        self.starved_since = None;
                    }
                    BodyProgress::NeedsRoom => {
                        self.has_unread = true;
                        self.starved_since.get_or_insert(now);
                        return;
                    }
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

    fn begin_body(&mut self, now: Timestamp, head: RequestHead, context: &ReadContext<'_>) {
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
        let reader = BodyReader::new(head.framing, context.limits.body_bytes);
        self.state = ReadState::Body(Box::new(IncomingBody {
            head,
            reader: reader.without_grant(),
            charge: context.budget.empty_charge(),
            progress_at: now,
            progress_bytes: 0,
        }));
    }

    fn finish_request(&mut self, now: Timestamp, requests: &mut Vec<(u64, HttpRequest)>) {
        let ReadState::Body(body) = std::mem::replace(&mut self.state, ReadState::Head) else {
            return;
        };
        let IncomingBody {
            head,
            reader,
            mut charge,
            ..
        } = *body;
        self.waiting_since = now;
        if !head.keep_alive {
            self.state = ReadState::Closing;
        }
        let sequence = self.push_pending(head.method == "HEAD", head.keep_alive);
        charge.resize(BODY_COPIES * reader.allocated_bytes());
        let request = HttpRequest {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: charge.hold(reader.into_body()),
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
            HeadError::Malformed | HeadError::Status(_) => RequestRefusal::Malformed,
        });
    }

    /// Answers invalid input with `refusal`, after the responses to earlier requests, and stops
    /// reading.
    fn refuse(&mut self, refusal: RequestRefusal) {
        let sequence = self.push_pending(false, false);
        self.state = ReadState::Closing;
        self.starved_since = None;
        self.read_buf.clear();
        self.refused = Some(refusal);
        self.set_response(sequence, refusal.response());
    }

    /// Whether a refusal has not been counted yet.
    pub(super) fn has_refusal(&self) -> bool {
        self.refused.is_some()
    }

    /// Takes the refusal that has not been counted yet.
    pub(super) fn take_refusal(&mut self) -> Option<RequestRefusal> {
        self.refused.take()
    }

    /// Refuses the request that is being read and gives back its memory.
    pub(super) fn refuse_incomplete(
        &mut self,
        now: Timestamp,
        refusal: RequestRefusal,
    ) -> ConnectionStatus {
        self.refuse(refusal);
        self.flush(now)
    }

    /// Returns since when there has been no memory for the body that is being read.
    pub(super) fn starved_since(&self) -> Option<Timestamp> {
        self.starved_since
    }

    /// Returns what the connection holds and its peer could release.
    pub(super) fn holding(&self) -> ConnectionHolding {
        match &self.state {
            _ if self.lingering_since.is_some() => ConnectionHolding::Nothing,
            _ if !self.write_buf.is_empty() => ConnectionHolding::UnreadResponse {
                since: self.last_progress_at,
            },
            ReadState::Body(_) if self.starved_since.is_some() => ConnectionHolding::Nothing,
            ReadState::Body(body) => ConnectionHolding::IncompleteRequest {
                since: body.progress_at,
            },
            ReadState::Head => match self.head_since {
                Some(since) if self.pending.is_empty() => {
                    ConnectionHolding::IncompleteRequest { since }
                }
                None if self.pending.is_empty() => ConnectionHolding::Idle {
                    since: self.waiting_since,
                },
                _ => ConnectionHolding::Nothing,
            },
            ReadState::Closing => ConnectionHolding::Nothing,
        }
    }

    /// Updates the charge after any use of the connection. Gives back large empty buffers.
    pub(super) fn settle(&mut self) {
        let responses = self
            .pending
            .iter()
            .filter_map(|request| request.response.as_ref());
        let waiting: usize = responses.map(|response| response.body.len()).sum();
        let unread = match self.is_held_back() && self.has_unread {
            true => SOCKET_BUFFER_BYTES,
            false => 0,
        };
        self.charge
            .resize(self.read_buf.settle() + self.write_buf.settle() + waiting + unread);
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
        if self.write_buf.is_empty() {
            self.last_progress_at = now;
        }
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
            ReadState::Body(body)
                if self.starved_since.is_none() && now.since(body.progress_at) >= BODY_TIMEOUT =>
            {
                self.refuse_incomplete(now, RequestRefusal::BodyTimeout)
            }
            _ => ConnectionStatus::Open,
        }
    }
}

/// What a connection holds without its requests being in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionHolding {
    /// Nothing, or only what is needed to handle its requests.
    Nothing,
    /// A descriptor.
    Idle { since: Timestamp },
    /// A request that has made no progress since then.
    IncompleteRequest { since: Timestamp },
    /// Responses of which the caller has read nothing since then.
    UnreadResponse { since: Timestamp },
}

impl IncomingBody {
    fn feed(&mut self, now: Timestamp, read_buf: &mut SocketBuffer) -> BodyProgress {
        let progress = self.reader.feed(read_buf);
        let content_bytes = self.reader.content_bytes();
        if content_bytes >= self.progress_bytes + PROGRESS_BYTES {
            self.progress_at = now;
            self.progress_bytes = content_bytes;
        }
        progress
    }

    /// Grants more content if the budget has memory for it. Returns whether it has.
    fn raise_grant(&mut self, budget: &MemoryBudget) -> bool {
        let wanted = self.reader.wanted_bytes();
        let size = match wanted <= SMALL_BODY_BYTES {
            true => HoldSize::Small,
            false => HoldSize::Large,
        };
        let copies = usize::try_from(wanted).unwrap_or(usize::MAX / BODY_COPIES) * BODY_COPIES;
        let has_room = budget.try_raise(&mut self.charge, copies, size);
        if has_room {
            self.reader.grant(wanted);
        }
        has_room
    }
}

fn closed_if(is_expired: bool) -> ConnectionStatus {
    match is_expired {
        true => ConnectionStatus::Closed,
        false => ConnectionStatus::Open,
    }
}
