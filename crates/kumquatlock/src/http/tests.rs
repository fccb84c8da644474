//! Tests of the HTTP threads over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts one connection, reads one request and sends `answer`, then closes.
fn raw_upstream(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

fn pool() -> (UpstreamPool<u32>, Receiver<UpstreamResult<u32>>) {
    let (sender, results) = channel();
    let report = move |result| sender.send(result).unwrap();
    (UpstreamPool::start(1, report).unwrap(), results)
}

fn outcome_of(address: SocketAddr, method: &str) -> Result<HttpResponse, UpstreamFailure> {
    let (pool, results) = pool();
    let request = HttpRequest {
        method: method.into(),
        target: "/booking".into(),
        body: "body".into(),
        ..HttpRequest::default()
    };
    pool.submit(UpstreamJob {
        tag: 7,
        address,
        request,
        timeout: TIMEOUT,
    });
    let result = results.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(result.tag, 7);
    result.outcome
}

/// Guards against an answer that was cut on the way and is passed on as whole.
#[test]
fn a_cut_answer_is_a_failure() {
    let address = raw_upstream("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    assert_eq!(outcome_of(address, "POST"), Err(UpstreamFailure::Truncated));
}

/// Guards against a request that may have run and is taken for not run.
#[test]
fn only_a_failed_connect_proves_not_run() {
    let closing = raw_upstream("");
    let failure = outcome_of(closing, "POST").unwrap_err();
    assert!(!failure.proves_not_run(), "{failure}");

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let unused = listener.local_addr().unwrap();
    drop(listener);
    let failure = outcome_of(unused, "POST").unwrap_err();
    assert!(failure.proves_not_run(), "{failure}");
}

/// Guards against bodies over the bound that fill the memory of the process.
#[test]
fn bad_requests_are_refused_with_a_typed_body() {
    let echo = |request: HttpRequest| HttpResponse::json(200, &request.body.len());
    let server = HttpServer::start("127.0.0.1:0".parse().unwrap(), 2, echo).unwrap();
    let send = |body: Vec<u8>| {
        let (pool, results) = pool();
        let request = HttpRequest {
            method: "POST".into(),
            target: "/".into(),
            body: body.into(),
            ..HttpRequest::default()
        };
        let job = UpstreamJob {
            tag: 0,
            address: server.address(),
            request,
            timeout: TIMEOUT,
        };
        pool.submit(job);
        results.recv_timeout(TIMEOUT).unwrap().outcome.unwrap()
    };
    assert_eq!(send(vec![0; MAX_BODY_BYTES]).status, 200);
    let refused = send(vec![0; MAX_BODY_BYTES + 1]);
    assert_eq!(refused.status, 413);
    assert_eq!(
        &refused.body[..],
        br#"{"outcome":"rejected","reason":"body_too_large"}"#
    );
}

/// Guards against a connection that is accepted and not served while others stay open, which
/// happens to some of those that arrive together.
#[test]
fn connections_that_arrive_together_are_all_served() {
    let handler = |_: HttpRequest| HttpResponse::json(200, &"served");
    let server = HttpServer::start(([127, 0, 0, 1], 0).into(), 8, handler).unwrap();
    let address = server.address();
    let mut streams: Vec<_> = (0..24)
        .map(|_| std::net::TcpStream::connect(address).unwrap())
        .collect();
    for stream in &mut streams {
        let timeout = Some(std::time::Duration::from_secs(5));
        stream.set_read_timeout(timeout).unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: node\r\n\r\n")
            .unwrap();
    }
    for stream in &mut streams {
        let mut start = [0; 12];
        stream.read_exact(&mut start).unwrap();
        assert_eq!(&start, b"HTTP/1.1 200");
    }
}
