//! Parsing of request and response heads: the start line and the headers.

use super::message::MAX_HEADERS;
use super::status::{InvalidStatus, ResponseStatus};

/// Length of the start of a status line: the version, a space and the status.
const STATUS_LINE_START_BYTES: usize = "HTTP/1.1 200".len();

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    Empty,
    Length(u64),
    Chunked,
    /// The body ends when the connection is closed. Only for responses.
    UntilClose,
}

/// Reason why a head is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadError {
    Malformed,
    TooLarge,
    /// A response has a status that no interim or final response has.
    Status(InvalidStatus),
}

/// Result of parsing the bytes of a head that have arrived so far.
#[derive(Debug)]
pub(super) enum HeadProgress<H> {
    Partial,
    Complete { head: H, bytes: usize },
    Invalid(HeadError),
}

/// Request line and headers of a request.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) framing: BodyFraming,
    /// Whether the caller keeps the connection open after the response.
    pub(super) keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

/// Status line and headers of a response.
#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) status: ResponseStatus,
    pub(super) headers: Vec<(String, String)>,
    pub(super) framing: BodyFraming,
    pub(super) keep_alive: bool,
    /// Idle timeout that the upstream announced in its `Keep-Alive` header, in seconds.
    pub(super) idle_timeout_secs: Option<u64>,
}

/// Values of the headers that delimit the body or control the connection.
#[derive(Default)]
struct FramingHeaders {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
}

/// Parses the head of a request of at most `limit` bytes.
pub(super) fn parse_request_head(bytes: &[u8], limit: usize) -> HeadProgress<RequestHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let consumed = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(consumed)) if consumed <= limit => consumed,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return HeadProgress::Partial,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return HeadProgress::Invalid(HeadError::TooLarge);
        }
        Err(_) => return HeadProgress::Invalid(HeadError::Malformed),
    };
    let malformed = HeadProgress::Invalid(HeadError::Malformed);
    let Some((fields, framing)) = copy_headers(parsed.headers) else {
        return malformed;
    };
    let is_http_1_0 = parsed.version == Some(0);
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        framing: match (framing.chunked, framing.length) {
            (true, _) => BodyFraming::Chunked,
            (false, None | Some(0)) => BodyFraming::Empty,
            (false, Some(length)) => BodyFraming::Length(length),
        },
        keep_alive: !framing.close && (!is_http_1_0 || framing.keep_alive),
        expects_continue: fields
            .iter()
            .any(|(name, _)| name.eq_ignore_ascii_case("expect")),
        headers: fields,
    };
    HeadProgress::Complete {
        head,
        bytes: consumed,
    }
}

/// Parses the head of a response; `is_head` tells whether the method of its request was HEAD. The
/// connection bounds the length of an incomplete head.
pub(super) fn parse_response_head(bytes: &[u8], is_head: bool) -> HeadProgress<ResponseHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let consumed = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(consumed)) => consumed,
        Ok(httparse::Status::Partial) => return HeadProgress::Partial,
        Err(_) => return HeadProgress::Invalid(HeadError::Malformed),
    };
    let malformed = HeadProgress::Invalid(HeadError::Malformed);
    if holds_second_status_line(&bytes[..consumed]) {
        return malformed;
    }
    let Some((fields, framing)) = copy_headers(parsed.headers) else {
        return malformed;
    };
    let code = parsed.code.unwrap_or_default();
    let status = match ResponseStatus::try_from(code) {
        Ok(status) => status,
        Err(error) => return HeadProgress::Invalid(HeadError::Status(error)),
    };
    let has_no_body = is_head || code < 200 || code == 204 || code == 304;
    let body = match (framing.chunked, framing.length) {
        _ if has_no_body => BodyFraming::Empty,
        (true, _) => BodyFraming::Chunked,
        (false, Some(0)) => BodyFraming::Empty,
        (false, Some(length)) => BodyFraming::Length(length),
        (false, None) => BodyFraming::UntilClose,
    };
    let is_http_1_0 = parsed.version == Some(0);
    let head = ResponseHead {
        status,
        framing: body,
        keep_alive: !framing.close
            && (!is_http_1_0 || framing.keep_alive)
            && body != BodyFraming::UntilClose,
        idle_timeout_secs: parse_idle_timeout_secs(&fields),
        headers: fields,
    };
    HeadProgress::Complete {
        head,
        bytes: consumed,
    }
}

/// Whether a head consists of two responses: one that was cut short, and the next one, whose status
/// line then seems to be a part of the reason phrase or of a header value. The status and the
/// headers would belong to different requests.
fn holds_second_status_line(head: &[u8]) -> bool {
    let status_lines = head
        .windows(STATUS_LINE_START_BYTES)
        .filter(|bytes| starts_status_line(bytes));
    status_lines.count() > 1
}

fn starts_status_line(bytes: &[u8]) -> bool {
    let Some([minor_version, b' ', status @ ..]) = bytes.strip_prefix(b"HTTP/1.") else {
        return false;
    };
    minor_version.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
}

/// Copies the headers and parses the ones that delimit the body. Returns `None` if a value is not
/// valid UTF-8 or the framing headers are invalid.
fn copy_headers(
    headers: &[httparse::Header<'_>],
) -> Option<(Vec<(String, String)>, FramingHeaders)> {
    let owned = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).ok()?;
        Some((header.name.to_owned(), value.trim().to_owned()))
    };
    let fields: Vec<(String, String)> = headers.iter().map(owned).collect::<Option<_>>()?;
    let framing = parse_framing_headers(&fields)?;
    Some((fields, framing))
}

/// Parses the headers that delimit the body. Returns `None` if one is invalid or two contradict
/// each other: the sender and the receiver could then disagree about the length of the body, and
/// one of them would take a part of it for another message.
fn parse_framing_headers(headers: &[(String, String)]) -> Option<FramingHeaders> {
    let mut framing = FramingHeaders::default();
    for (name, value) in headers {
        if name.eq_ignore_ascii_case("content-length") {
            let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length = value.parse().ok().filter(|_| is_number)?;
            if framing.length.is_some_and(|previous| previous != length) {
                return None;
            }
            framing.length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || framing.chunked {
                return None;
            }
            framing.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for token in value.split(',').map(str::trim) {
                framing.close |= token.eq_ignore_ascii_case("close");
                framing.keep_alive |= token.eq_ignore_ascii_case("keep-alive");
            }
        }
    }
    (!(framing.chunked && framing.length.is_some())).then_some(framing)
}

/// Returns the `timeout` parameter of the `Keep-Alive` header.
fn parse_idle_timeout_secs(headers: &[(String, String)]) -> Option<u64> {
    let keep_alive = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("keep-alive"));
    let (_, value) = keep_alive?;
    let mut parameters = value.split(',').map(str::trim);
    parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.trim().parse().ok())
}
