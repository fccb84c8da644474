//! Fault: a request is reported as not run although the upstream may run it, or reads it later.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use super::{ExchangeLoop, TIMEOUT, job, outcome_of, raw_upstream, request_id};
use crate::http::{HttpResponse, UpstreamFailure};

/// Longer than the timeout of a connection attempt.
const CONNECT_WAIT: Duration = Duration::from_millis(350);
/// Larger than the socket buffers of both sides, so that a request is written only in part.
const LARGE_BODY_BYTES: usize = 32 * 1024 * 1024;

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Returns the first event of the table without polling its sockets.
fn next_outcome(exchanges: &mut ExchangeLoop) -> Result<HttpResponse, UpstreamFailure> {
    exchanges.table.next_event().unwrap().outcome
}

/// Returns all bytes of the next connection, up to its end.
fn read_to_close(listener: &TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    bytes
}

/// Guards against an upstream that accepts a connection after the node has given it up, and runs a
/// request that was reported as not run.
#[test]
fn a_connection_attempt_that_was_given_up_carries_no_request() {
    for is_cancelled in [true, false] {
        let listener = listen();
        let mut exchanges = ExchangeLoop::new();
        let now = exchanges.now();
        let address = listener.local_addr().unwrap();
        exchanges.table.start(now, job(address, "POST", vec![1]));
        match is_cancelled {
            true => exchanges.table.cancel(7),
            false => exchanges.table.handle_tick(now + CONNECT_WAIT),
        }
        let outcome = next_outcome(&mut exchanges);
        assert_eq!(outcome, Err(UpstreamFailure::Unreachable));
        assert!(read_to_close(&listener).is_empty());
    }
}

/// Guards against a request that waits in the upstream's socket, whole or in part, and is taken for
/// unsent.
#[test]
fn a_request_that_the_upstream_has_not_read_is_not_proved_not_run() {
    for body_bytes in [1, LARGE_BODY_BYTES] {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let mut job = job(address, "POST", vec![1; body_bytes]);
        job.timeout = Duration::from_millis(300);
        let outcome = ExchangeLoop::new().run(job);
        assert_eq!(outcome, Err(UpstreamFailure::Timeout));
    }
}

/// Guards against a request whose rest is read as the beginning of the next one, after the upstream
/// has refused it early.
#[test]
fn a_connection_with_an_unsent_rest_of_a_request_is_not_reused() {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let upstream = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0]).unwrap();
        let refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(refusal).unwrap();
        (listener, stream)
    });
    let mut exchanges = ExchangeLoop::new();
    let refused = exchanges.run(job(address, "POST", vec![1; LARGE_BODY_BYTES]));
    assert_eq!(refused.unwrap().status, 503);
    let _open = upstream.join().unwrap();
    let now = exchanges.now();
    exchanges.table.start(now, job(address, "POST", Vec::new()));
    assert_eq!(exchanges.table.opened_connections(), 2);
}

/// Guards against a request that is reported as lost, or as answered by a copy of an earlier
/// response, although the reset of its idle connection kept it from being written.
#[test]
fn a_request_on_a_connection_that_was_reset_before_is_proved_not_run() {
    for copies in [0, 1] {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let (reset, wait_for_reset) = channel();
        let upstream = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            stream.read_exact(&mut [0]).unwrap();
            let response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(response.as_bytes()).unwrap();
            wait_for_reset.recv_timeout(TIMEOUT).unwrap();
            stream
                .write_all(response.repeat(copies).as_bytes())
                .unwrap();
            // A socket that is closed with unread bytes is reset.
        });
        let mut exchanges = ExchangeLoop::new();
        let first = exchanges.run(job(address, "POST", vec![1]));
        assert_eq!(first.unwrap().status, 200);
        reset.send(()).unwrap();
        upstream.join().unwrap();
        let now = exchanges.now();
        exchanges.table.start(now, job(address, "POST", vec![1]));
        let outcome = next_outcome(&mut exchanges);
        assert_eq!(outcome, Err(UpstreamFailure::Unreachable), "{copies}");
    }
}

/// Guards against an interim response that is taken for the upstream's decision.
#[test]
fn an_interim_response_decides_nothing() {
    let interim = "HTTP/1.1 103 Early\r\nNot-Executed: 1\r\n\r\n";
    let closed = outcome_of(raw_upstream(interim), "POST");
    assert_eq!(closed, Err(UpstreamFailure::Broken));
    let decided = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let response = outcome_of(raw_upstream(decided.leak()), "POST").unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.header("Not-Executed"), None);
}

/// Guards against a refusal that is cut short within its head and continued by the response to the
/// current request, whose id it then seems to have; and against the reverse.
#[test]
fn a_head_that_is_made_of_two_answers_nothing() {
    let own = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 0\r\n\r\n";
    let own_start = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nServer: a";
    let refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let outcomes = [
        ("HTTP/1.1 503 Fu", own),
        ("HTTP/1.1 503 Full\r\nNot-Executed: ", own),
        (own_start, refusal),
    ]
    .map(|(start, rest)| {
        let bytes = format!("{start}{rest}").leak();
        let mut job = job(raw_upstream(bytes), "POST", Vec::new());
        job.echoed = Some(request_id("b"));
        ExchangeLoop::new().run(job)
    });
    assert_eq!(outcomes, [const { Err(UpstreamFailure::Garbled) }; 3]);
}

/// Guards against half of an answer without a length that counts as whole: the upstream ends while
/// it is still being sent the request, and the reset is seen by a write, after which the connection
/// looks closed.
#[test]
fn an_answer_that_is_reset_while_the_request_is_written_is_not_whole() {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    let upstream = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 1024]).unwrap();
        let half = b"HTTP/1.1 200 OK\r\n\r\nhalf of the";
        stream.write_all(half).unwrap();
        thread::sleep(Duration::from_millis(200));
        // The system resets the connection, because unread bytes are left.
        drop(stream);
    });
    let outcome = ExchangeLoop::new().run(job(address, "POST", vec![1; LARGE_BODY_BYTES]));
    assert_eq!(outcome, Err(UpstreamFailure::Truncated));
    upstream.join().unwrap();
}
