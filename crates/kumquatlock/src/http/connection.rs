//! One connection of a caller.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;

use super::body::{BodyFault, BodyReader, BodyStep};
use super::encode::encode_response;
use super::head::{BodyFraming, HeadFault, HeadStep, RequestHead, read_request_head};
use super::message::{HttpRequest, HttpResponse};
use super::server::RequestRefusal;
use crate::core::Timestamp;

/// Requests of one connection that may wait for their answers. Further ones stay unread.
const MAX_PIPELINED: usize = 32;
/// Bytes read from a socket at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Unread bytes that a connection holds before it stops reading.
const MAX_INBOX_BYTES: usize = 256 * 1024;
/// Time for the caller to close after the last answer. Closing first would reset the connection if
/// it still sends, and the answer could be lost.
const LINGER_LIMIT: Duration = Duration::from_secs(1);
/// Time without progress after which a body or an answer that is not taken ends the connection.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time in which a head has to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionStep {
    Open,
    Closed,
}

/// A request that has been read, in the order of arrival.
#[derive(Debug)]
struct PendingRequest {
    sequence: u64,
    is_head: bool,
    keep_alive: bool,
    /// Given, but kept until the answers before it have been written.
    answer: Option<HttpResponse>,
}

#[derive(Debug)]
enum ReadState {
    Head,
    Body(Box<(RequestHead, BodyReader)>),
    /// Nothing more is read: a request was refused, or the caller ends the connection after one.
    Closing,
}

pub(super) struct CallerConnection {
    pub(super) socket: MioSource<TcpStream>,
    inbox: BytesMut,
    outbox: BytesMut,
    state: ReadState,
    /// At most [`MAX_PIPELINED`].
    pending: VecDeque<PendingRequest>,
    next_sequence: u64,
    /// The socket may hold bytes that were not read because the connection held enough.
    has_unread: bool,
    /// When the present request began to arrive, or the connection became idle.
    since: Timestamp,
    /// When bytes were last read or written.
    moved_at: Timestamp,
    /// The last answer was written and the sending side is shut down.
    lingering_since: Option<Timestamp>,
}

impl CallerConnection {
    pub(super) fn new(socket: MioSource<TcpStream>, now: Timestamp) -> Self {
        CallerConnection {
            socket,
            inbox: BytesMut::new(),
            outbox: BytesMut::new(),
            state: ReadState::Head,
            pending: VecDeque::new(),
            next_sequence: 0,
            has_unread: false,
            since: now,
            moved_at: now,
            lingering_since: None,
        }
    }

    /// Whether a request was read and not answered in full.
    pub(super) fn is_busy(&self) -> bool {
        !self.pending.is_empty() || !self.outbox.is_empty()
    }

    /// Sequence numbers of the requests that have no answer.
    pub(super) fn unanswered(&self) -> impl Iterator<Item = u64> {
        let open = self
            .pending
            .iter()
            .filter(|request| request.answer.is_none());
        open.map(|request| request.sequence)
    }

    /// Reads what has arrived and appends whole requests with their sequence numbers.
    pub(super) fn read(
        &mut self,
        now: Timestamp,
        limits: &HttpLimits,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) -> ConnectionStep {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            if self.inbox.len() >= MAX_INBOX_BYTES || self.pending.len() >= MAX_PIPELINED {
                self.has_unread = true;
                return ConnectionStep::Open;
            }
            self.has_unread = false;
            match self.socket.read(&mut chunk) {
                Ok(0) => return ConnectionStep::Closed,
                Ok(count) => {
                    self.moved_at = now;
                    if !matches!(self.state, ReadState::Closing) {
                        self.inbox.extend_from_slice(&chunk[..count]);
                        self.parse(now, limits, requests);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ConnectionStep::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ConnectionStep::Closed,
            }
        }
    }

    /// Goes on reading after an answer has made room.
    pub(super) fn resume(
        &mut self,
        now: Timestamp,
        limits: &HttpLimits,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) -> ConnectionStep {
        if self.pending.len() >= MAX_PIPELINED {
            return ConnectionStep::Open;
        }
        self.parse(now, limits, requests);
        match self.has_unread {
            true => self.read(now, limits, requests),
            false => ConnectionStep::Open,
        }
    }

    fn parse(
        &mut self,
        now: Timestamp,
        limits: &HttpLimits,
        requests: &mut Vec<(u64, HttpRequest)>,
    ) {
        while self.pending.len() < MAX_PIPELINED {
            match &mut self.state {
                ReadState::Closing => return,
                ReadState::Head => {
                    while self.inbox.starts_with(b"\r\n") {
                        self.inbox.advance(2);
                    }
                    if self.inbox.is_empty() {
                        return;
                    }
                    match read_request_head(&self.inbox, limits.header_bytes) {
                        HeadStep::Partial => return,
                        HeadStep::Invalid(fault) => return self.refuse_head(fault),
                        HeadStep::Complete { head, bytes } => {
                            self.inbox.advance(bytes);
                            self.begin_body(now, head, limits);
                        }
                    }
                }
                ReadState::Body(parts) => match parts.1.feed(&mut self.inbox) {
                    BodyStep::More => return,
                    BodyStep::Invalid(BodyFault::TooLarge) => {
                        return self.refuse(RequestRefusal::BodyTooLarge);
                    }
                    BodyStep::Invalid(BodyFault::Malformed) => {
                        return self.refuse(RequestRefusal::Malformed);
                    }
                    BodyStep::Done => self.finish_request(now, requests),
                },
            }
        }
    }

    fn begin_body(&mut self, now: Timestamp, head: RequestHead, limits: &HttpLimits) {
        if head.expects_continue && head.framing != BodyFraming::Empty {
            // Written only if nothing is waiting: an interim answer must not overtake answers.
            if self.pending.is_empty() {
                self.outbox
                    .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        self.moved_at = now;
        let reader = BodyReader::new(head.framing, limits.body_bytes);
        self.state = ReadState::Body(Box::new((head, reader)));
    }

    fn finish_request(&mut self, now: Timestamp, requests: &mut Vec<(u64, HttpRequest)>) {
        let ReadState::Body(parts) = std::mem::replace(&mut self.state, ReadState::Head) else {
            return;
        };
        let (head, reader) = *parts;
        self.since = now;
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
            answer: None,
        });
        sequence
    }

    fn refuse_head(&mut self, fault: HeadFault) {
        self.refuse(match fault {
            HeadFault::TooLarge => RequestRefusal::TooManyHeaders,
            HeadFault::Malformed => RequestRefusal::Malformed,
        });
    }

    /// Answers bytes that are no request, in their turn, and reads nothing more.
    fn refuse(&mut self, refusal: RequestRefusal) {
        let sequence = self.push_pending(false, false);
        self.state = ReadState::Closing;
        self.inbox.clear();
        self.set_answer(sequence, refusal.response());
    }

    /// Keeps an answer until its turn. With `closes`, the connection ends after it unless another
    /// request waits behind.
    pub(super) fn answer(&mut self, sequence: u64, response: HttpResponse, closes: bool) {
        self.set_answer(sequence, response);
        self.encode_answers(closes);
    }

    fn set_answer(&mut self, sequence: u64, response: HttpResponse) {
        let mut waiting = self.pending.iter_mut();
        if let Some(request) = waiting.find(|request| request.sequence == sequence) {
            request.answer = Some(response);
        }
    }

    fn encode_answers(&mut self, closes: bool) {
        while let Some(request) = self
            .pending
            .pop_front_if(|request| request.answer.is_some())
        {
            let is_last = self.pending.is_empty();
            let keeps = request.keep_alive && !(closes && is_last);
            if !keeps {
                self.state = ReadState::Closing;
                self.inbox.clear();
            }
            if let Some(response) = request.answer {
                encode_response(&response, request.is_head, keeps, &mut self.outbox);
            }
        }
    }

    /// Writes what the socket takes.
    pub(super) fn flush(&mut self, now: Timestamp) -> ConnectionStep {
        self.encode_answers(false);
        while !self.outbox.is_empty() {
            match self.socket.write(&self.outbox) {
                Ok(0) => return ConnectionStep::Closed,
                Ok(count) => {
                    self.outbox.advance(count);
                    self.moved_at = now;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ConnectionStep::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ConnectionStep::Closed,
            }
        }
        let is_done = matches!(self.state, ReadState::Closing) && self.pending.is_empty();
        if is_done && self.lingering_since.is_none() {
            self.lingering_since = Some(now);
            if self.socket.shutdown(Shutdown::Write).is_err() {
                return ConnectionStep::Closed;
            }
        }
        if self.pending.is_empty() && matches!(self.state, ReadState::Head) && self.inbox.is_empty()
        {
            self.since = now;
        }
        ConnectionStep::Open
    }

    /// Ends what takes too long. A head that does not arrive is answered, an idle connection is
    /// closed.
    pub(super) fn check(&mut self, now: Timestamp, limits: &HttpLimits) -> ConnectionStep {
        let waited = now.since(self.since);
        if let Some(since) = self.lingering_since {
            return closed_if(now.since(since) >= LINGER_LIMIT);
        }
        if !self.outbox.is_empty() {
            return closed_if(now.since(self.moved_at) >= STALL_LIMIT);
        }
        match &self.state {
            ReadState::Head if self.pending.is_empty() && self.inbox.is_empty() => {
                closed_if(waited >= limits.idle_timeout)
            }
            ReadState::Head if self.pending.is_empty() && waited >= limits.header_timeout => {
                self.refuse(RequestRefusal::HeadTimeout);
                self.flush(now)
            }
            ReadState::Body(_) => closed_if(now.since(self.moved_at) >= STALL_LIMIT),
            _ => ConnectionStep::Open,
        }
    }
}

fn closed_if(is_over: bool) -> ConnectionStep {
    match is_over {
        true => ConnectionStep::Closed,
        false => ConnectionStep::Open,
    }
}
