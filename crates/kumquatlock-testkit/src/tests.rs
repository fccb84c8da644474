//! Tests of the HTTP caller, the stand-in upstream, the load generator and the relay.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use kumquatlock::util::trace::{SeededIds, TraceContext};

use crate::caller::{CallFailure, HttpCaller, HttpRequest};
use crate::load::{LoadOptions, run_closed_loop};
use crate::relay::TcpRelay;
use crate::upstream::*;

/// Timeout that only a failing test reaches; longer than any wait in these tests.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn options() -> UpstreamOptions {
    UpstreamOptions {
        service_time: Duration::from_millis(1),
        ..UpstreamOptions::new("booking-1", "booking")
    }
}

fn start(options: UpstreamOptions) -> (StandInUpstream, HttpCaller) {
    let upstream = StandInUpstream::start(options).unwrap();
    let caller = HttpCaller::new(upstream.address());
    (upstream, caller)
}

fn wait_until_true(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < LONG_TIMEOUT,
            "condition not reached in time: {what}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Reads one request from a raw connection. Returns false if the connection ends before it.
fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    let (mut line, mut body_bytes) = (String::new(), 0);
    loop {
        line.clear();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        match line.trim_end().to_ascii_lowercase().split_once(": ") {
            Some(("content-length", length)) => body_bytes = length.parse().unwrap(),
            Some(_) => {}
            None if line == "\r\n" => break,
            None => {}
        }
    }
    reader.read_exact(&mut vec![0; body_bytes]).is_ok()
}

/// Starts a raw server that responds to the first request of every connection and then closes the
/// connection, if `reads_second` after reading a second request. Returns its address and the
/// number of requests that it has read.
fn start_closing_server(reads_second: bool) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&request_count);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.unwrap());
            if read_request(&mut reader) {
                counter.fetch_add(1, Ordering::SeqCst);
                let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                reader.get_mut().write_all(response).unwrap();
            }
            if reads_second && read_request(&mut reader) {
                counter.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, request_count)
}

/// Guards against an HTTP client that resends a request by itself after the connection has failed.
/// Between a node and its upstream this would run an at-most-once request twice.
#[test]
fn ureq_does_not_send_a_request_again_after_it_was_read() {
    for request in [HttpRequest::get("/a"), HttpRequest::post("/a", "seat")] {
        let (address, request_count) = start_closing_server(true);
        let caller = HttpCaller::new(address);
        assert_eq!(caller.send(&request).unwrap().text(), "ok");
        let failure = caller.send(&request).unwrap_err();
        assert!(
            matches!(failure, CallFailure::NoResponse { .. }),
            "{failure}"
        );
        thread::sleep(Duration::from_millis(300));
        assert_eq!(request_count.load(Ordering::SeqCst), 2);
    }
}

/// Guards against a request that is sent twice when the upstream has closed an idle connection.
/// The request must fail or use a new connection, and must be read at most once.
#[test]
fn ureq_sends_at_most_once_on_a_connection_closed_while_idle() {
    for request in [HttpRequest::get("/a"), HttpRequest::post("/a", "seat")] {
        let (address, request_count) = start_closing_server(false);
        let caller = HttpCaller::new(address);
        assert_eq!(caller.send(&request).unwrap().text(), "ok");
        thread::sleep(Duration::from_millis(100));
        let answered = u64::from(caller.send(&request).is_ok());
        thread::sleep(Duration::from_millis(300));
        assert_eq!(request_count.load(Ordering::SeqCst), 1 + answered);
    }
}

/// Guards against a truncated response that is accepted as complete.
#[test]
fn a_body_shorter_than_its_content_length_is_an_error() {
    for (missing, response_bytes) in [(1, 0), (1_000, 0), (1, 200_000)] {
        let (upstream, caller) = start(UpstreamOptions {
            response_bytes,
            ..options()
        });
        upstream.inject_faults(1, ResponseFault::Truncate { missing });
        let failure = caller.post("/book", "seat 7").unwrap_err();
        let is_incomplete = matches!(failure, CallFailure::Incomplete { status: 200, .. });
        assert!(is_incomplete, "{failure}");
        assert_eq!(upstream.ledger().runs_of_body(b"seat 7").finished, 1);
        let whole = caller.post("/book", "seat 8").unwrap();
        assert_eq!(whole.json()["body"], "seat 8");
        assert!(whole.body.len() >= response_bytes);
    }
}

/// Guards against a ledger that counts a request whose connection was closed before its run, or
/// that misses one whose connection was closed after its run.
#[test]
fn ledger_counts_requests_on_closed_connections_only_if_they_ran() {
    let (upstream, caller) = start(options());
    for (fault, runs) in [
        (ResponseFault::CloseBeforeRun, 0),
        (ResponseFault::CloseAfterRun, 1),
    ] {
        let body = format!("{fault:?}");
        upstream.inject_faults(1, fault);
        let failure = caller.post("/book", body.as_str()).unwrap_err();
        assert!(
            matches!(failure, CallFailure::NoResponse { .. }),
            "{failure}"
        );
        assert_eq!(
            upstream.ledger().runs_of_body(body.as_bytes()).started,
            runs
        );
    }
    let request = HttpRequest::post("/book", "same").key("k");
    assert_eq!(caller.send(&request).unwrap().json()["key"], "k");
    assert_eq!(caller.send(&request).unwrap().status, 200);
    assert_eq!(upstream.ledger().repeated_keys()[0].1.finished, 2);
    assert_eq!(upstream.ledger().repeated_bodies(), 1);
}

#[test]
fn requests_above_the_slot_limit_are_shed_and_do_not_run() {
    let (upstream, caller) = start(UpstreamOptions {
        slots: 1,
        ..options()
    });
    upstream.inject_faults(1, ResponseFault::Hang);
    let first = thread::spawn({
        let caller = caller.clone();
        move || caller.post("/book", "first")
    });
    wait_until_true("the first request runs", || upstream.in_flight() == 1);
    let shed = caller.post("/book", "second").unwrap();
    assert_eq!((shed.status, &*shed.text()), (503, r#"{"refusal":"shed"}"#));
    assert_eq!(caller.get("/load").unwrap().json()["in_flight"], 1);
    assert_eq!(upstream.ledger().total().started, 1);
    // Dropping the upstream must not wait for the hanging request.
    let started = Instant::now();
    drop(upstream);
    assert!(started.elapsed() < Duration::from_secs(3));
    assert!(first.join().unwrap().is_err());
}

#[test]
fn deadline_and_cancellation_end_a_running_request() {
    let (upstream, caller) = start(UpstreamOptions {
        service_time: LONG_TIMEOUT,
        ..options()
    });
    let late = HttpRequest::post("/book", "late").timeout(Duration::from_millis(30));
    let response = caller.send(&late).unwrap();
    assert_eq!(response.status, 504);
    assert!(response.duration >= Duration::from_millis(30) && response.duration < LONG_TIMEOUT);
    let cancel = HttpRequest::post("/cancel", Vec::new()).header(ATTEMPT_HEADER, "a-1");
    assert_eq!(caller.send(&cancel).unwrap().json()["state"], "unknown");
    let running = thread::spawn({
        let caller = caller.clone();
        move || caller.send(&HttpRequest::post("/book", "cut").header(ATTEMPT_HEADER, "a-1"))
    });
    wait_until_true("the request runs", || upstream.in_flight() == 1);
    wait_until_true("the request is cancelled", || {
        caller.send(&cancel).unwrap().json()["state"] == "cancelled"
    });
    assert_eq!(running.join().unwrap().unwrap().status, 499);
    assert_eq!(caller.send(&cancel).unwrap().json()["state"], "ended");
    let total = upstream.ledger().total();
    assert_eq!((total.started, total.finished), (2, 0));
}

#[test]
fn health_and_load_reports_can_be_delayed_or_fixed() {
    let (upstream, caller) = start(options());
    let health = || caller.get("/health").unwrap().status;
    upstream.set_report_mode(ReportMode::Delayed(Duration::from_millis(400)));
    upstream.refuse_new();
    assert_eq!(health(), 200);
    wait_until_true("the delayed report shows the drain", || health() == 503);
    upstream.set_report_mode(ReportMode::Fixed {
        healthy: true,
        in_flight: 99,
    });
    assert_eq!(health(), 200);
    assert_eq!(caller.get("/load").unwrap().json()["in_flight"], 99);
    upstream.set_report_mode(ReportMode::Actual);
    assert_eq!(health(), 503);
    assert_eq!(caller.post("/book", "late").unwrap().status, 503);
    assert!(upstream.wait_idle(Duration::ZERO));
}

#[test]
fn cold_start_and_slow_responses_take_their_time() {
    let (upstream, caller) = start(UpstreamOptions {
        service_time: Duration::from_millis(20),
        cold_start: Some(ColdStart {
            slowdown: 5.0,
            span: ColdSpan::Requests(1),
        }),
        ..options()
    });
    assert!(caller.get("/a").unwrap().duration >= Duration::from_millis(100));
    upstream.set_service_time(Duration::ZERO);
    upstream.inject_faults(
        1,
        ResponseFault::Slow {
            chunks: 4,
            pause: Duration::from_millis(25),
        },
    );
    let slow = caller.get("/a").unwrap();
    assert!(slow.duration >= Duration::from_millis(100));
    assert_eq!(slow.json()["path"], "/a");
}

/// Guards against chained calls that do not forward the trace or the deadline of their request.
#[test]
fn chained_calls_carry_trace_and_deadline() {
    let (stock, _) = start(UpstreamOptions::new("stock-1", "stock"));
    let (_booking, caller) = start(UpstreamOptions {
        chain: Some(ChainCall {
            node: stock.address(),
            path: "/stock?seat=7".into(),
        }),
        ..options()
    });
    let trace = TraceContext::new_root(&mut SeededIds::new(3));
    let response = caller
        .send(&HttpRequest::post("/book", "x").trace(trace))
        .unwrap();
    let value = response.json();
    assert_eq!(value["chained"]["path"], "/stock?seat=7");
    let chained = value["chained"]["traceparent"].as_str().unwrap();
    let chained: TraceContext = chained.parse().unwrap();
    assert_eq!(chained.trace_id, trace.trace_id);
    assert_ne!(chained.span_id, trace.span_id);
    stock.set_service_time(LONG_TIMEOUT);
    let late = HttpRequest::post("/book", "y").timeout(Duration::from_millis(50));
    assert_eq!(caller.send(&late).unwrap().status, 502);
}

#[test]
fn announcements_reach_the_node_until_it_drains() {
    // A second stand-in upstream acts as the node and counts the announcements by their body.
    let (node, _) = start(UpstreamOptions::new("node", "node"));
    let (mut upstream, caller) = start(options());
    assert!(matches!(upstream.leave(), Err(UpstreamError::NoNode)));
    let body = serde_json::json!({
        "name": "booking-1", "service": "booking",
        "address": upstream.address().to_string(), "slots": 10,
    })
    .to_string();
    let announced = || node.ledger().runs_of_body(body.as_bytes()).started;
    upstream.announce_to(node.address());
    wait_until_true("the upstream has announced itself twice", || {
        announced() >= 2
    });
    upstream.drain().unwrap();
    upstream.leave().unwrap();
    let after_leave = announced();
    thread::sleep(Duration::from_millis(2_300));
    assert_eq!(announced(), after_leave);
    assert_eq!(caller.get("/health").unwrap().status, 503);
    node.refuse_new();
    let refused = upstream.leave().unwrap_err();
    assert!(matches!(
        refused,
        UpstreamError::Refused { status: 503, .. }
    ));
}

#[test]
fn closed_loop_counts_every_call() {
    let (upstream, _) = start(UpstreamOptions {
        slots: 2,
        can_close_connections: false,
        jitter: Duration::from_millis(1),
        ..options()
    });
    let report = run_closed_loop(
        &LoadOptions {
            targets: vec![upstream.address()],
            threads: 4,
            duration: LONG_TIMEOUT,
            max_calls_per_thread: 25,
        },
        |thread, call| HttpRequest::get(&format!("/a/{thread}/{call}")),
    );
    assert_eq!(
        (report.calls(), report.failures, report.latency.len()),
        (100, 0, 100)
    );
    assert_eq!(
        report.responses_with(200),
        upstream.ledger().total().finished
    );
    assert_eq!(report.responses_with(200) + report.responses_with(503), 100);
}

/// Guards against a relay that loses or reorders the bytes of a stalled connection, or that also
/// stalls new connections.
#[test]
fn a_stalled_connection_holds_its_bytes_while_new_ones_work() {
    let (upstream, _) = start(options());
    let relay = TcpRelay::start(upstream.address()).unwrap();
    let request = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let mut old = TcpStream::connect(relay.address()).unwrap();
    wait_until_true("the connection is accepted", || {
        relay.counters().accepted == 1
    });
    relay.stall_open();
    old.write_all(request).unwrap();
    assert_eq!(
        HttpCaller::new(relay.address()).get("/b").unwrap().status,
        200
    );
    old.set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    assert!(old.read(&mut [0; 1]).is_err());
    assert_eq!(upstream.ledger().total().started, 1);
    let before = relay.counters();
    relay.resume();
    old.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let mut response = String::new();
    old.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let after = relay.counters();
    assert_eq!(after.to_target - before.to_target, request.len() as u64);
    assert_eq!(after.to_client - before.to_client, response.len() as u64);
}

/// Guards against a relay that drops the bytes that it holds when their sender closes the connection,
/// or when the target that the connection led to has ended.
#[test]
fn held_bytes_arrive_after_their_sender_has_closed() {
    for release in [TcpRelay::resume, TcpRelay::resume_reconnected] {
        let (upstream, _) = start(options());
        let relay = TcpRelay::start(upstream.address()).unwrap();
        let mut sender = TcpStream::connect(relay.address()).unwrap();
        wait_until_true("the connection is accepted", || {
            relay.counters().accepted == 1
        });
        relay.stall_open();
        let request = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        sender.write_all(request).unwrap();
        drop(sender);
        assert_eq!(relay.held_connections(), 1);
        assert_eq!(upstream.ledger().total().started, 0);
        release(&relay);
        wait_until_true("the connection has ended", || relay.held_connections() == 0);
        assert_eq!(upstream.ledger().total().started, 1);
    }
}

#[test]
fn a_relay_delays_closes_and_refuses_connections() {
    let (upstream, _) = start(options());
    let relay = TcpRelay::start(upstream.address()).unwrap();
    let caller = HttpCaller::new(relay.address());
    let delay = Duration::from_millis(60);
    relay.set_delay(delay);
    let response = caller.get("/a").unwrap();
    assert!(response.duration >= 2 * delay && response.duration < 20 * delay);
    relay.set_delay(Duration::ZERO);
    upstream.inject_faults(1, ResponseFault::Hang);
    let hanging = thread::spawn(move || caller.get("/hang"));
    wait_until_true("the request runs", || upstream.in_flight() == 1);
    relay.close_open();
    assert!(hanging.join().unwrap().is_err());
    let caller = HttpCaller::new(relay.address());
    assert_eq!(caller.get("/c").unwrap().status, 200);
    relay.refuse_new(true);
    assert!(HttpCaller::new(relay.address()).get("/d").is_err());
    assert_eq!(relay.counters().refused, 1);
}
