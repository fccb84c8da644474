//! Tests of the parsing of request and response heads.

use super::super::head::{
    BodyFraming, HeadError, HeadProgress, parse_request_head, parse_response_head,
};
use super::super::status::ResponseStatus;

const LIMIT: usize = 1_024;

fn rejection(text: &str) -> HeadError {
    match parse_request_head(text.as_bytes(), LIMIT) {
        HeadProgress::Invalid(error) => error,
        other => panic!("{text:?} was not rejected: {other:?}"),
    }
}

/// Guards against a head that is parsed differently if it arrives in pieces.
#[test]
fn every_prefix_of_a_head_is_partial() {
    let text = b"POST /book HTTP/1.1\r\nHost: a.test\r\nContent-Length: 3\r\n\r\nabc";
    let length = text.len() - 3;
    for prefix in 0..length {
        let progress = parse_request_head(&text[..prefix], LIMIT);
        assert!(
            matches!(progress, HeadProgress::Partial),
            "after {prefix} bytes: {progress:?}"
        );
    }
    let HeadProgress::Complete { head, bytes } = parse_request_head(text, LIMIT) else {
        panic!("the whole head is not complete");
    };
    assert_eq!(bytes, length);
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("POST", "/book")
    );
    assert_eq!(head.framing, BodyFraming::Length(3));
    assert!(head.keep_alive && !head.expects_continue);
}

/// Guards against request smuggling: if the sender and the receiver disagree about the end of a
/// body, the rest of one request is taken for another caller's request.
#[test]
fn invalid_or_contradictory_framing_headers_are_rejected() {
    let head = |headers: &str| format!("POST / HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    for headers in [
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length:\r\n",
        "Content-Length: 99999999999999999999999\r\n",
    ] {
        assert_eq!(
            rejection(&head(headers)),
            HeadError::Malformed,
            "{headers:?}"
        );
    }
}

/// Guards against a caller that sends headers endlessly.
#[test]
fn a_head_beyond_the_limit_is_too_large() {
    let filler = "a".repeat(LIMIT);
    let whole = format!("GET / HTTP/1.1\r\nA: {filler}\r\n\r\n");
    assert_eq!(rejection(&whole), HeadError::TooLarge);
    assert_eq!(rejection(&whole[..LIMIT + 1]), HeadError::TooLarge);
    let progress = parse_request_head(&whole.as_bytes()[..LIMIT], LIMIT);
    assert!(matches!(progress, HeadProgress::Partial));
}

/// Guards against connections that are closed too early, or kept although the peer closes them.
#[test]
fn keep_alive_follows_the_version_and_the_connection_header() {
    let keep_alive = |text: &str| match parse_request_head(text.as_bytes(), LIMIT) {
        HeadProgress::Complete { head, .. } => head.keep_alive,
        other => panic!("{other:?}"),
    };
    assert!(keep_alive("GET / HTTP/1.1\r\n\r\n"));
    assert!(!keep_alive("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"));
    assert!(!keep_alive("GET / HTTP/1.0\r\n\r\n"));
    assert!(keep_alive(
        "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
    ));
}

/// Guards against waiting for a body that never arrives, and against taking the next response for
/// the body.
#[test]
fn response_framing_follows_the_status_the_method_and_the_headers() {
    let framing = |text: &str, is_head| match parse_response_head(text.as_bytes(), is_head) {
        HeadProgress::Complete { head, .. } => head.framing,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        framing("HTTP/1.1 204 No\r\n\r\n", false),
        BodyFraming::Empty
    );
    assert_eq!(
        framing("HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", false),
        BodyFraming::Empty
    );
    assert_eq!(
        framing("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true),
        BodyFraming::Empty
    );
    assert_eq!(
        framing("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false),
        BodyFraming::Length(9)
    );
    assert_eq!(
        framing("HTTP/1.1 200 OK\r\n\r\n", false),
        BodyFraming::UntilClose
    );
    assert_eq!(
        framing(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            false
        ),
        BodyFraming::Chunked
    );
}

/// Guards against a protocol version in a header, such as that of a proxy, that is taken for another
/// response.
#[test]
fn a_protocol_version_in_a_header_is_no_status_line() {
    let text = b"\r\nHTTP/1.1 200 OK\r\nVia: HTTP/1.1 cache, 1.0 edge\r\n\r\n";
    let progress = parse_response_head(text, false);
    assert!(matches!(progress, HeadProgress::Complete { .. }));
}

/// Guards against a status that no response has: one below 200 was taken for that of an interim
/// response, and the caller waited for a final one; one from 600 reached the caller.
#[test]
fn only_interim_and_final_statuses_are_accepted() {
    for code in 0..=999_u16 {
        let text = format!("HTTP/1.1 {code:03} Reason\r\nContent-Length: 0\r\n\r\n");
        let progress = parse_response_head(text.as_bytes(), false);
        match (code, progress) {
            (100 | 102..=199, HeadProgress::Complete { head, .. }) => {
                assert_eq!(head.status, ResponseStatus::Interim, "{code}");
            }
            (200..=599, HeadProgress::Complete { head, .. }) => {
                let ResponseStatus::Final(status) = head.status else {
                    panic!("{code} is not final");
                };
                assert_eq!(status, code);
            }
            (0..=99 | 101 | 600..=999, HeadProgress::Invalid(HeadError::Status(error))) => {
                assert_eq!(error.0, u32::from(code));
            }
            (_, progress) => panic!("{code}: {progress:?}"),
        }
    }
}
