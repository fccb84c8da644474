//! Fault: bytes that belong to no message arrive without end, in a head or a body, until the
//! receiver closes the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Instant;

use bytes::BytesMut;

use super::super::body::{BodyError, BodyProgress, BodyReader};
use super::super::head::BodyFraming;
use super::{ExchangeLoop, TIMEOUT, UpstreamFailure, job};

/// Bytes that a peer may have written until it notices the close: what the node accepts, and the
/// socket buffers of both sides, which take up to 6 MiB each on loopback.
const MAX_WRITTEN_BYTES: usize = 16 * 1024 * 1024;

/// Starts an upstream that answers one request with `start` and then `repeated` without end.
/// Returns the number of bytes that it wrote until its connection was closed.
fn endless_upstream(start: &'static str, repeated: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, written) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(start.as_bytes()).unwrap();
        let block = repeated.repeat(64 * 1024 / repeated.len() + 1);
        let (started, mut bytes) = (Instant::now(), 0);
        while started.elapsed() < 2 * TIMEOUT {
            match stream.write(block.as_bytes()) {
                Ok(count) => bytes += count,
                Err(_) => break,
            }
        }
        sender.send(bytes).unwrap();
    });
    (address, written)
}

/// Guards against an upstream that occupies the node with bytes that are no response until the
/// route's timeout.
#[test]
fn an_upstream_that_sends_no_response_without_end_is_disconnected() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let length_without_end = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
         1\r\na\r\nffffffffffffffff\r\n";
    let trailers = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    for (start, repeated, failure) in [
        (
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
            UpstreamFailure::Garbled,
        ),
        (
            "",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
            UpstreamFailure::Garbled,
        ),
        ("", "\r\n", UpstreamFailure::Garbled),
        ("", "garbage", UpstreamFailure::Garbled),
        (ok, "A: b\r\n", UpstreamFailure::Garbled),
        (ok, "a", UpstreamFailure::Garbled),
        (
            chunked,
            "1;extension=0123456789012345678901234567890123456789\r\na\r\n",
            UpstreamFailure::Garbled,
        ),
        (chunked, "0", UpstreamFailure::Garbled),
        (chunked, "1\r\na\r\n", UpstreamFailure::TooLarge),
        (length_without_end, "a", UpstreamFailure::TooLarge),
        (trailers, "A: b\r\n", UpstreamFailure::Garbled),
        ("HTTP/1.1 200 OK\r\n\r\n", "a", UpstreamFailure::TooLarge),
    ] {
        let (address, written) = endless_upstream(start, repeated);
        let started = Instant::now();
        let outcome = ExchangeLoop::new().run(job(address, "GET", Vec::new()));
        assert_eq!(outcome, Err(failure), "{start:?} then {repeated:?}");
        let elapsed = started.elapsed();
        assert!(elapsed < TIMEOUT / 2, "{repeated:?} took {elapsed:?}");
        let bytes = written.recv_timeout(3 * TIMEOUT).unwrap();
        assert!(
            bytes < MAX_WRITTEN_BYTES,
            "{repeated:?}: {bytes} bytes were read"
        );
    }
}

/// Guards against a body whose ignored parts are read without end, and against one that is refused
/// although it has extensions or trailers of a usual size.
#[test]
fn ignored_parts_of_a_body_are_bounded() {
    let feed = |parts: &[&str]| {
        let mut reader = BodyReader::new(BodyFraming::Chunked, 1 << 20);
        let mut progress = BodyProgress::Partial;
        for part in parts {
            progress = reader.feed(&mut BytesMut::from(part.as_bytes()));
        }
        progress
    };
    let usual = [
        "3;name=value\r\nabc\r\n",
        "0;last\r\n",
        "Digest: 0123456789\r\n\r\n",
    ];
    assert_eq!(feed(&usual), BodyProgress::Complete);
    let small_chunks = ["1\r\na\r\n"; 50_000];
    assert_eq!(feed(&small_chunks), BodyProgress::Partial);
    let malformed = BodyProgress::Invalid(BodyError::Malformed);
    let extensions = ["1;extension=01234567890123456789\r\na\r\n"; 2_000];
    assert_eq!(feed(&extensions), malformed);
    let mut trailers = vec!["0\r\n"];
    trailers.extend(["Name: 0123456789\r\n"; 2_000]);
    assert_eq!(feed(&trailers), malformed);
}

/// Guards against a length that makes the room that is left for the content wrap around, so that
/// the reader waits for room that it never gets.
#[test]
fn a_length_beyond_the_limit_is_refused_whatever_came_before() {
    const LIMIT: u64 = 100;
    let chunk = |content: u64, next: u64| {
        let mut reader = BodyReader::new(BodyFraming::Chunked, LIMIT).without_grant();
        reader.grant(LIMIT);
        let text = format!("{content:x}\r\n{}\r\n", "a".repeat(content as usize));
        assert_eq!(
            reader.feed(&mut text.as_str().into()),
            BodyProgress::Partial
        );
        reader.feed(&mut format!("{next:x}\r\nb").as_str().into())
    };
    for content in [1, 2, 50, LIMIT - 1, LIMIT] {
        let room = LIMIT - content;
        let beyond = [
            room + 1,
            LIMIT + 1,
            1 << 32,
            1 << 63,
            u64::MAX - room,
            u64::MAX,
        ];
        for next in beyond {
            let too_large = BodyProgress::Invalid(BodyError::TooLarge);
            assert_eq!(chunk(content, next), too_large, "{next:x} after {content}");
        }
        if room > 1 {
            assert_eq!(chunk(content, room), BodyProgress::Partial);
        }
    }
    for length in [LIMIT + 1, 1 << 63, u64::MAX] {
        let mut reader = BodyReader::new(BodyFraming::Length(length), LIMIT).without_grant();
        let too_large = BodyProgress::Invalid(BodyError::TooLarge);
        assert_eq!(reader.feed(&mut "a".into()), too_large, "{length:x}");
    }
}

/// Guards against a connection that asks for room for ever, because what it was granted does not
/// let its body go on.
#[test]
fn a_body_that_needs_room_goes_on_with_each_grant() {
    const LIMIT: u64 = 1 << 20;
    let heads = [
        (BodyFraming::Length(LIMIT), String::new()),
        (BodyFraming::Chunked, format!("{LIMIT:x}\r\n")),
        (BodyFraming::Chunked, "1\r\na\r\nfffff\r\n".into()),
    ];
    for (framing, head) in heads {
        let mut reader = BodyReader::new(framing, LIMIT).without_grant();
        let mut read_buf = BytesMut::from(head.as_str());
        read_buf.extend_from_slice(&vec![b'a'; LIMIT as usize]);
        let mut grants = 0;
        while reader.feed(&mut read_buf) == BodyProgress::NeedsRoom {
            grants += 1;
            assert!(grants <= 6, "{framing:?} asks for room without end");
            reader.grant(reader.wanted_bytes());
        }
        assert!(reader.content_bytes() as u64 <= LIMIT);
    }
}
