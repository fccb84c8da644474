//! Tests of HTTP over loopback.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

mod heads;

use crate::core::Timestamp;

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

/// The table towards the upstream with an event loop of its own.
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
        panic!("no result");
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

fn outcome_of(address: SocketAddr, method: &str) -> Result<HttpResponse, UpstreamFailure> {
    ExchangeLoop::new().run(job(address, method, b"body".to_vec()))
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
        let job = job(server.address(), "POST", body);
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

/// Guards against an answer to an earlier request that is taken for that of the present one.
#[test]
fn a_late_answer_to_another_request_is_skipped() {
    let answer = "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 \
                  OK\r\nRequest-Id: new\r\nContent-Length: 3\r\n\r\nnew";
    let mut job = job(raw_upstream(answer), "GET", Vec::new());
    job.echoed = Some(("request-id", "new".to_owned()));
    let response = ExchangeLoop::new().run(job).unwrap();
    assert_eq!(&response.body[..], b"new");
}

/// Guards against bytes after an answer that reach the next request of the connection.
#[test]
fn a_connection_with_bytes_behind_the_answer_is_not_used_again() {
    let address = raw_upstream("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    let mut exchanges = ExchangeLoop::new();
    let first = exchanges.run(job(address, "GET", Vec::new())).unwrap();
    assert_eq!(&first.body[..], b"ok");
    assert_eq!(exchanges.table.opened_connections(), 1);
    // The stand-in accepts one connection only, so another one shows as a failed exchange.
    let mut second = job(address, "GET", Vec::new());
    second.timeout = Duration::from_millis(200);
    exchanges.run(second).unwrap_err();
    assert_eq!(exchanges.table.opened_connections(), 2);
}

/// Guards against bytes that are no answer and are passed on as one.
#[test]
fn bytes_that_are_no_answer_are_a_failure() {
    for garbage in [
        "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    ] {
        let address = raw_upstream(garbage);
        assert_eq!(outcome_of(address, "GET"), Err(UpstreamFailure::Garbled));
    }
}

/// Guards against a chunked answer that is cut and taken for whole.
#[test]
fn chunked_answers_are_read_to_their_end() {
    let whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    assert_eq!(
        &outcome_of(raw_upstream(whole), "GET").unwrap().body[..],
        b"ok"
    );
    let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
    let failure = outcome_of(raw_upstream(cut), "GET").unwrap_err();
    assert_eq!(failure, UpstreamFailure::Truncated);
}
