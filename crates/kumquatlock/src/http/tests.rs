//! Tests of the HTTP client and server over loopback.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

mod endless;
mod heads;
mod late;
mod proofs;
mod stops;
mod whole;

use crate::core::Timestamp;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an upstream that accepts one connection, reads a request, sends `response` and closes the
/// connection.
fn raw_upstream(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
    });
    address
}

/// An [`ExchangeTable`] with its own event loop.
struct ExchangeLoop {
    stakker: Stakker,
    poll: MioPoll,
    table: ExchangeTable<u32>,
    ready: Rc<RefCell<Vec<ExchangeReady>>>,
    started: Instant,
}

impl ExchangeLoop {
    fn new() -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let events = Events::with_capacity(16);
        let poll = MioPoll::new(&mut stakker, Poll::new().unwrap(), events, 5).unwrap();
        let ready = Rc::new(RefCell::new(Vec::new()));
        let sink = ready.clone();
        let forward = Fwd::new(move |event| sink.borrow_mut().push(event));
        ExchangeLoop {
            table: ExchangeTable::new(poll.clone(), forward),
            stakker,
            poll,
            ready,
            started: Instant::now(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed().as_micros() as u64)
    }

    fn run(&mut self, job: UpstreamJob<u32>) -> Result<HttpResponse, UpstreamFailure> {
        let tag = job.tag;
        let now = self.now();
        self.table.start(now, job);
        while self.started.elapsed() < TIMEOUT * 2 {
            if let Some(result) = self.table.next_event() {
                assert_eq!(result.tag, tag);
                return result.outcome;
            }
            self.poll.poll(Duration::from_millis(10)).unwrap();
            self.stakker.run(Instant::now(), false);
            let now = self.now();
            for event in self.ready.take() {
                self.table.handle_ready(now, event);
            }
            self.table.handle_tick(now);
        }
        panic!("the exchange has no result after twice its timeout");
    }
}

fn job(address: SocketAddr, method: &str, body: Vec<u8>) -> UpstreamJob<u32> {
    let request = HttpRequest {
        method: method.into(),
        target: "/booking".into(),
        body: body.into(),
        ..HttpRequest::default()
    };
    UpstreamJob {
        tag: 7,
        address,
        request,
        timeout: TIMEOUT,
        is_repeatable: true,
        echoed: None,
    }
}

/// Returns the header that identifies a request, which every upstream repeats.
fn request_id(id: &str) -> EchoedHeader {
    EchoedHeader {
        name: "request-id",
        value: id.to_owned(),
        is_guaranteed: true,
    }
}

fn outcome_of(address: SocketAddr, method: &str) -> Result<HttpResponse, UpstreamFailure> {
    ExchangeLoop::new().run(job(address, method, b"body".to_vec()))
}

/// Guards against a truncated response that is passed on as complete.
#[test]
fn a_truncated_response_is_a_failure() {
    let address = raw_upstream("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    assert_eq!(outcome_of(address, "POST"), Err(UpstreamFailure::Truncated));
}

/// Guards against reporting a request as not run although it may have run.
#[test]
fn only_a_failed_connection_attempt_proves_that_a_request_did_not_run() {
    let closing = raw_upstream("");
    let failure = outcome_of(closing, "POST").unwrap_err();
    assert!(!failure.proves_not_run(), "{failure}");

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let unused = listener.local_addr().unwrap();
    drop(listener);
    let failure = outcome_of(unused, "POST").unwrap_err();
    assert!(failure.proves_not_run(), "{failure}");
}

/// Guards against oversized bodies that exhaust the memory of the process.
#[test]
fn an_oversized_body_is_refused_with_a_typed_response() {
    let server = stops::TableServer::start();
    let send = |body: Vec<u8>| {
        let job = job(server.address, "POST", body);
        ExchangeLoop::new().run(job).unwrap()
    };
    assert_eq!(send(vec![0; MAX_BODY_BYTES]).status, 200);
    let refused = send(vec![0; MAX_BODY_BYTES + 1]);
    assert_eq!(refused.status, 413);
    assert_eq!(
        &refused.body[..],
        br#"{"outcome":"rejected","reason":"body_too_large"}"#
    );
}

/// Guards against a connection that is accepted but not served while other connections stay open.
/// This happened to some of the connections that arrived together.
#[test]
fn connections_that_arrive_together_are_all_served() {
    let server = stops::TableServer::start();
    let address = server.address;
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

/// Guards against a response to an earlier request that is taken for the response to the current
/// one.
#[test]
fn a_late_response_to_another_request_is_skipped() {
    let bytes = "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 \
                  OK\r\nRequest-Id: new\r\nContent-Length: 3\r\n\r\nnew";
    let mut job = job(raw_upstream(bytes), "GET", Vec::new());
    job.echoed = Some(request_id("new"));
    let response = ExchangeLoop::new().run(job).unwrap();
    assert_eq!(&response.body[..], b"new");
}

/// Guards against bytes after a response that are taken for the response to the connection's next
/// request.
#[test]
fn a_connection_with_bytes_after_the_response_is_not_reused() {
    let address = raw_upstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    let mut exchanges = ExchangeLoop::new();
    let first = exchanges.run(job(address, "GET", Vec::new())).unwrap();
    assert_eq!(&first.body[..], b"ok");
    assert_eq!(exchanges.table.opened_connections(), 1);
    // The upstream accepts only one connection, so the exchange on the second connection fails.
    let mut second = job(address, "GET", Vec::new());
    second.timeout = Duration::from_millis(200);
    exchanges.run(second).unwrap_err();
    assert_eq!(exchanges.table.opened_connections(), 2);
}

/// Guards against bytes that are not an HTTP response but are passed on as one.
#[test]
fn an_invalid_response_is_a_failure() {
    for garbage in [
        "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    ] {
        let address = raw_upstream(garbage);
        assert_eq!(outcome_of(address, "GET"), Err(UpstreamFailure::Garbled));
    }
}

/// Guards against a truncated chunked response that is taken for complete.
#[test]
fn chunked_responses_are_read_to_their_end() {
    let whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    assert_eq!(
        &outcome_of(raw_upstream(whole), "GET").unwrap().body[..],
        b"ok"
    );
    let truncated = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
    let failure = outcome_of(raw_upstream(truncated), "GET").unwrap_err();
    assert_eq!(failure, UpstreamFailure::Truncated);
}

/// Guards against a request on a connection whose upstream has not responded to an earlier one: some
/// upstreams that are full respond to nothing on that connection any more.
#[test]
fn a_connection_without_a_response_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut exchanges = ExchangeLoop::new();
    let mut first = job(address, "GET", Vec::new());
    first.timeout = Duration::from_millis(200);
    let outcome = exchanges.run(first);
    assert_eq!(outcome, Err(UpstreamFailure::Timeout));
    let (mut hanging, _) = listener.accept().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream
            .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
            .unwrap();
    });
    let second = exchanges.run(job(address, "GET", Vec::new())).unwrap();
    assert_eq!(second.status, 204);
    assert_eq!(exchanges.table.opened_connections(), 2);
    // The node has closed the connection, so the upstream gets nothing more on it.
    let mut received = Vec::new();
    hanging.set_read_timeout(Some(TIMEOUT)).unwrap();
    hanging.read_to_end(&mut received).unwrap();
    assert_eq!(
        received.windows(4).filter(|part| part == b"GET ").count(),
        1
    );
}
