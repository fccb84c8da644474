//! Tests of the heads of requests and responses.

use super::super::head::{BodyFraming, HeadFault, HeadStep, read_request_head, read_response_head};

const LIMIT: usize = 1_024;

fn fault(text: &str) -> HeadFault {
    match read_request_head(text.as_bytes(), LIMIT) {
        HeadStep::Invalid(fault) => fault,
        other => panic!("{text:?} was taken: {other:?}"),
    }
}

/// Guards against a head that is read differently when it comes in pieces.
#[test]
fn a_head_is_partial_at_every_cut() {
    let text = b"POST /book HTTP/1.1\r\nHost: a.test\r\nContent-Length: 3\r\n\r\nabc";
    let length = text.len() - 3;
    for cut in 0..length {
        let step = read_request_head(&text[..cut], LIMIT);
        assert!(matches!(step, HeadStep::Partial), "at {cut}: {step:?}");
    }
    let HeadStep::Complete { head, bytes } = read_request_head(text, LIMIT) else {
        panic!("not complete");
    };
    assert_eq!(bytes, length);
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("POST", "/book")
    );
    assert_eq!(head.framing, BodyFraming::Length(3));
    assert!(head.keep_alive && !head.expects_continue);
}

/// Guards against two ends that disagree about where a body ends: the rest of one request would
/// then be taken for another caller's request.
#[test]
fn headers_that_disagree_are_refused() {
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
        assert_eq!(fault(&head(headers)), HeadFault::Malformed, "{headers:?}");
    }
}

/// Guards against a caller that sends headers without an end.
#[test]
fn a_head_beyond_the_limit_is_too_large() {
    let filler = "a".repeat(LIMIT);
    let whole = format!("GET / HTTP/1.1\r\nA: {filler}\r\n\r\n");
    assert_eq!(fault(&whole), HeadFault::TooLarge);
    assert_eq!(fault(&whole[..LIMIT + 1]), HeadFault::TooLarge);
    let step = read_request_head(&whole.as_bytes()[..LIMIT], LIMIT);
    assert!(matches!(step, HeadStep::Partial));
}

/// Guards against connections that are closed too early or kept although the other end closes.
#[test]
fn the_connection_stays_as_its_version_and_headers_say() {
    let keeps = |text: &str| match read_request_head(text.as_bytes(), LIMIT) {
        HeadStep::Complete { head, .. } => head.keep_alive,
        other => panic!("{other:?}"),
    };
    assert!(keeps("GET / HTTP/1.1\r\n\r\n"));
    assert!(!keeps("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"));
    assert!(!keeps("GET / HTTP/1.0\r\n\r\n"));
    assert!(keeps("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

/// Guards against a node that waits for a body that never comes, or takes the next answer for it.
#[test]
fn answers_without_a_body_have_none() {
    let framing = |text: &str, is_head| match read_response_head(text.as_bytes(), is_head) {
        HeadStep::Complete { head, .. } => head.framing,
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
