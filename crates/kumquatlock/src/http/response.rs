//! Decides whether the bytes of a connection are the whole response to its request.
//!
//! The decision needs no socket: the connection passes in what it has read, how far its request is
//! written, and how it ended. Nothing else makes a response whole, or the request's own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};

use super::body::{BodyError, BodyProgress, BodyReader};
use super::carried::CarriedRequests;
use super::exchange::{EchoedHeader, MAX_IDLE_AGE, UpstreamFailure};
use super::head::{BodyFraming, HeadError, HeadProgress, ResponseHead, parse_response_head};
use super::message::{HttpResponse, MAX_BODY_BYTES};
use super::status::{FinalStatus, ResponseStatus};

/// A connection is no longer used when less than this time remains of the idle timeout that the
/// upstream announced. Covers the transit times of a request and of the connection's close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of responses to other requests that one exchange skips before it fails.
const MAX_MISMATCHED_RESPONSES: u32 = 4;
/// Maximum number of interim (1xx) responses that one exchange skips before it fails. An upstream
/// could send them without end.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// How far the request of a connection is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    Unsent,
    PartlySent,
    Sent,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The upstream has closed its side.
    Closed,
    /// The connection was reset, or counts as such: a write to it has failed. A write that reports a
    /// reset clears it, and a read then sees a connection that seems closed.
    Reset,
}

/// What follows from the bytes that have arrived.
#[derive(Debug, PartialEq)]
pub(super) enum ResponseStep {
    Pending,
    Finished(FinishedResponse),
    Failed(UpstreamFailure),
}

/// The whole response to the request.
#[derive(Debug, PartialEq)]
pub(super) struct FinishedResponse {
    pub(super) response: HttpResponse,
    /// Whether the connection can carry another request.
    pub(super) is_reusable: bool,
    /// Maximum time for which the connection may stay idle.
    pub(super) idle_limit: Duration,
}

/// What the requests and responses of a connection were, as far as it matters for later ones.
#[derive(Debug, Default)]
pub(super) struct ConnectionHistory {
    /// Whether the connection has carried an earlier request.
    pub(super) is_reused: bool,
    carried: CarriedRequests,
    /// Whether a response has named its request. If so, all of them do.
    names_requests: bool,
    /// Whether a request or a response was not identified.
    has_unidentified: bool,
}

impl ConnectionHistory {
    /// Whether the responses to a request can be told from those to earlier requests.
    pub(super) fn may_carry(&self, echoed: Option<&EchoedHeader>) -> bool {
        match echoed {
            Some(echoed) if echoed.is_guaranteed && self.has_unidentified => false,
            Some(echoed) => self.carried.accepts(&echoed.value),
            None => !self.names_requests,
        }
    }

    /// Records a request that the connection carries.
    pub(super) fn record(&mut self, echoed: Option<&EchoedHeader>) {
        match echoed {
            Some(echoed) => self.carried.record(&echoed.value),
            None => self.has_unidentified = true,
        }
    }
}

/// Whose response it is, according to its echoed header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseOwner {
    /// The current request.
    Own,
    /// Another request, such as a late second copy. It is read to its end and dropped, and the
    /// connection is not used again.
    Other,
}

/// A response of which the head has arrived.
#[derive(Debug)]
struct ArrivingResponse {
    head: ResponseHead,
    status: FinalStatus,
    owner: ResponseOwner,
    body: BodyReader,
}

/// Result of reading a head.
enum HeadStep {
    Complete(ArrivingResponse),
    Partial,
    Failed(UpstreamFailure),
}

/// Reads the responses of a connection up to the one of its request.
#[derive(Debug)]
pub(super) struct ResponseReader {
    /// Address of the upstream, for the log.
    upstream: SocketAddr,
    is_head: bool,
    echoed: Option<EchoedHeader>,
    arriving: Option<ArrivingResponse>,
    /// Number of skipped responses to other requests.
    mismatched_responses: u32,
    /// Number of skipped interim responses.
    interim_responses: u32,
}

impl ResponseReader {
    /// Creates the reader of one request; `is_head` tells whether its method is HEAD.
    pub(super) fn new(upstream: SocketAddr, is_head: bool, echoed: Option<EchoedHeader>) -> Self {
        ResponseReader {
            upstream,
            is_head,
            echoed,
            arriving: None,
            mismatched_responses: 0,
            interim_responses: 0,
        }
    }

    pub(super) fn echoed(&self) -> Option<&EchoedHeader> {
        self.echoed.as_ref()
    }

    /// Returns the number of bytes allocated for the content of the response that is arriving.
    pub(super) fn allocated_bytes(&self) -> usize {
        let arriving = self.arriving.as_ref();
        arriving.map_or(0, |arriving| arriving.body.allocated_bytes())
    }

    /// Consumes the bytes of responses at the front of `read_buf`.
    pub(super) fn feed(
        &mut self,
        read_buf: &mut BytesMut,
        phase: RequestPhase,
        history: &mut ConnectionHistory,
    ) -> ResponseStep {
        if history.is_reused && phase == RequestPhase::Unsent {
            // A response to an earlier request. On a new connection, the upstream may refuse a
            // request before it reads it.
            return ResponseStep::Failed(UpstreamFailure::Garbled);
        }
        loop {
            let mut arriving = match self.arriving.take() {
                Some(arriving) => arriving,
                None => match self.read_head(read_buf, history) {
                    HeadStep::Complete(arriving) => arriving,
                    HeadStep::Partial => return ResponseStep::Pending,
                    HeadStep::Failed(failure) => return ResponseStep::Failed(failure),
                },
            };
            match arriving.body.feed(read_buf) {
                BodyProgress::Partial => {
                    self.arriving = Some(arriving);
                    return ResponseStep::Pending;
                }
                // All of the limit is granted from the start.
                BodyProgress::NeedsRoom | BodyProgress::Invalid(BodyError::TooLarge) => {
                    return ResponseStep::Failed(UpstreamFailure::TooLarge);
                }
                BodyProgress::Invalid(BodyError::Malformed) => {
                    return ResponseStep::Failed(UpstreamFailure::Garbled);
                }
                BodyProgress::Complete if arriving.owner == ResponseOwner::Other => {}
                BodyProgress::Complete => {
                    // The connection cannot be reused if it holds bytes that belong to no request,
                    // if the upstream has sent a response twice, or if the response arrived before
                    // the whole request was written: the rest of the request would precede the next
                    // request.
                    let is_reusable = arriving.head.keep_alive
                        && self.mismatched_responses == 0
                        && read_buf.is_empty()
                        && phase == RequestPhase::Sent
                        && !history.carried.is_full();
                    return ResponseStep::Finished(arriving.finish(is_reusable));
                }
            }
        }
    }

    /// Handles the end of the connection. A body that ends with the connection is complete only if
    /// the upstream has closed the connection after it was sent the whole request. If it ends while a
    /// part is unsent, nothing tells the end of its response from that of its process.
    pub(super) fn end(&mut self, end: ConnectionEnd, phase: RequestPhase) -> ResponseStep {
        let may_be_whole = end == ConnectionEnd::Closed && phase == RequestPhase::Sent;
        match self.arriving.take() {
            Some(arriving) if may_be_whole && arriving.body.ends_with_connection() => {
                ResponseStep::Finished(arriving.finish(false))
            }
            Some(_) => ResponseStep::Failed(UpstreamFailure::Truncated),
            None => ResponseStep::Failed(UpstreamFailure::Broken),
        }
    }

    /// Reads the next head of a final response.
    fn read_head(&mut self, read_buf: &mut BytesMut, history: &mut ConnectionHistory) -> HeadStep {
        loop {
            let head = match parse_response_head(read_buf, self.is_head) {
                HeadProgress::Partial => return HeadStep::Partial,
                HeadProgress::Invalid(HeadError::Status(error)) => {
                    log::info!(status = error.0, upstream:% = self.upstream; "response_status_invalid");
                    return HeadStep::Failed(UpstreamFailure::InvalidStatus);
                }
                HeadProgress::Invalid(HeadError::Malformed | HeadError::TooLarge) => {
                    return HeadStep::Failed(UpstreamFailure::Garbled);
                }
                HeadProgress::Complete { head, bytes } => {
                    read_buf.advance(bytes);
                    head
                }
            };
            let ResponseStatus::Final(status) = head.status else {
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM_RESPONSES {
                    return HeadStep::Failed(UpstreamFailure::Garbled);
                }
                continue;
            };
            let owner = match self.find_owner(&head, history) {
                Ok(owner) => owner,
                Err(failure) => return HeadStep::Failed(failure),
            };
            return HeadStep::Complete(ArrivingResponse {
                body: BodyReader::new(head.framing, MAX_BODY_BYTES as u64),
                head,
                status,
                owner,
            });
        }
    }

    /// Decides whose response it is, and whether the connection can go on with it.
    fn find_owner(
        &mut self,
        head: &ResponseHead,
        history: &mut ConnectionHistory,
    ) -> Result<ResponseOwner, UpstreamFailure> {
        let Some(echoed) = &self.echoed else {
            return Ok(ResponseOwner::Own);
        };
        let mut headers = head.headers.iter();
        let named = headers.find(|(header, _)| header.eq_ignore_ascii_case(echoed.name));
        match named {
            Some((_, value)) if *value == echoed.value => {
                history.names_requests = true;
                Ok(ResponseOwner::Own)
            }
            None if !history.names_requests => {
                history.has_unidentified = true;
                Ok(ResponseOwner::Own)
            }
            None => Err(UpstreamFailure::Garbled),
            Some(_) => {
                history.names_requests = true;
                self.mismatched_responses += 1;
                let is_last = !head.keep_alive;
                match is_last || self.mismatched_responses > MAX_MISMATCHED_RESPONSES {
                    true => Err(UpstreamFailure::Garbled),
                    false => Ok(ResponseOwner::Other),
                }
            }
        }
    }
}

impl ArrivingResponse {
    fn finish(self, is_reusable: bool) -> FinishedResponse {
        debug_assert!(self.head.framing != BodyFraming::Empty || !self.body.ends_with_connection());
        let announced = self.head.idle_timeout_secs.map(Duration::from_secs);
        let announced = announced.map(|limit| limit.saturating_sub(IDLE_TIMEOUT_MARGIN));
        let response = HttpResponse {
            status: self.status,
            headers: self.head.headers,
            body: self.body.into_body(),
        };
        FinishedResponse {
            response,
            is_reusable,
            idle_limit: announced.unwrap_or(MAX_IDLE_AGE).min(MAX_IDLE_AGE),
        }
    }
}
