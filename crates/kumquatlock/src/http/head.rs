//! Heads of requests and responses.

use super::message::MAX_HEADERS;

/// Bytes of a response head that are read; an upstream is not expected to send more.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    Empty,
    Length(u64),
    Chunked,
    /// A response that ends with its connection.
    UntilClose,
}

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadFault {
    Malformed,
    TooLarge,
}

/// A head that was read, or what is missing.
#[derive(Debug)]
pub(super) enum HeadStep<H> {
    Partial,
    Complete { head: H, bytes: usize },
    Invalid(HeadFault),
}

#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) framing: BodyFraming,
    /// Whether the caller keeps the connection open after the answer.
    pub(super) keep_alive: bool,
    /// Whether the caller waits for leave to send the body.
    pub(super) expects_continue: bool,
}

#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
    pub(super) framing: BodyFraming,
    pub(super) keep_alive: bool,
    /// Seconds after which the upstream closes the idle connection, if it says so.
    pub(super) idle_secs: Option<u64>,
}

/// Headers that say where the body ends and whether the connection stays.
#[derive(Default)]
struct FramingHeaders {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
}

pub(super) fn read_request_head(bytes: &[u8], limit: usize) -> HeadStep<RequestHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let consumed = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(consumed)) if consumed <= limit => consumed,
        Ok(httparse::Status::Partial) if bytes.len() <= limit => return HeadStep::Partial,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return HeadStep::Invalid(HeadFault::TooLarge);
        }
        Err(_) => return HeadStep::Invalid(HeadFault::Malformed),
    };
    let malformed = HeadStep::Invalid(HeadFault::Malformed);
    let Some((fields, framing)) = owned_fields(parsed.headers) else {
        return malformed;
    };
    let is_old = parsed.version == Some(0);
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        framing: match (framing.chunked, framing.length) {
            (true, _) => BodyFraming::Chunked,
            (false, None | Some(0)) => BodyFraming::Empty,
            (false, Some(length)) => BodyFraming::Length(length),
        },
        keep_alive: !framing.close && (!is_old || framing.keep_alive),
        expects_continue: fields
            .iter()
            .any(|(name, _)| name.eq_ignore_ascii_case("expect")),
        headers: fields,
    };
    HeadStep::Complete {
        head,
        bytes: consumed,
    }
}

/// Reads the head of the answer to a request; `is_head` is whether its method was HEAD.
pub(super) fn read_response_head(bytes: &[u8], is_head: bool) -> HeadStep<ResponseHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let consumed = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(consumed)) => consumed,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_RESPONSE_HEAD_BYTES => {
            return HeadStep::Partial;
        }
        Ok(httparse::Status::Partial) => return HeadStep::Invalid(HeadFault::TooLarge),
        Err(_) => return HeadStep::Invalid(HeadFault::Malformed),
    };
    let malformed = HeadStep::Invalid(HeadFault::Malformed);
    let Some((fields, framing)) = owned_fields(parsed.headers) else {
        return malformed;
    };
    let status = parsed.code.unwrap_or_default();
    let has_no_body = is_head || status < 200 || status == 204 || status == 304;
    let body = match (framing.chunked, framing.length) {
        _ if has_no_body => BodyFraming::Empty,
        (true, _) => BodyFraming::Chunked,
        (false, Some(0)) => BodyFraming::Empty,
        (false, Some(length)) => BodyFraming::Length(length),
        (false, None) => BodyFraming::UntilClose,
    };
    let is_old = parsed.version == Some(0);
    let head = ResponseHead {
        status,
        framing: body,
        keep_alive: !framing.close
            && (!is_old || framing.keep_alive)
            && body != BodyFraming::UntilClose,
        idle_secs: idle_secs(&fields),
        headers: fields,
    };
    HeadStep::Complete {
        head,
        bytes: consumed,
    }
}

/// Copies the headers and reads what delimits the body; none if a value is not text or two headers
/// disagree.
fn owned_fields(
    headers: &[httparse::Header<'_>],
) -> Option<(Vec<(String, String)>, FramingHeaders)> {
    let owned = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value).ok()?;
        Some((header.name.to_owned(), value.trim().to_owned()))
    };
    let fields: Vec<(String, String)> = headers.iter().map(owned).collect::<Option<_>>()?;
    let framing = framing_headers(&fields)?;
    Some((fields, framing))
}

/// Reads what delimits the body. None if two headers disagree: one of the two ends would then take
/// a part of the body for another message.
fn framing_headers(headers: &[(String, String)]) -> Option<FramingHeaders> {
    let mut found = FramingHeaders::default();
    for (name, value) in headers {
        if name.eq_ignore_ascii_case("content-length") {
            let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length = value.parse().ok().filter(|_| is_number)?;
            if found.length.is_some_and(|held| held != length) {
                return None;
            }
            found.length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || found.chunked {
                return None;
            }
            found.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for token in value.split(',').map(str::trim) {
                found.close |= token.eq_ignore_ascii_case("close");
                found.keep_alive |= token.eq_ignore_ascii_case("keep-alive");
            }
        }
    }
    (!(found.chunked && found.length.is_some())).then_some(found)
}

fn idle_secs(headers: &[(String, String)]) -> Option<u64> {
    let keep_alive = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("keep-alive"));
    let (_, value) = keep_alive?;
    let mut parameters = value.split(',').map(str::trim);
    parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.trim().parse().ok())
}
