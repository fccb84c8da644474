//! Responses that an upstream sends a second time, late, on a connection that is in use again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{ExchangeLoop, job, request_id};
use crate::http::carried::{CarriedRequests, MAX_CARRIED_REQUESTS};
use crate::http::{HttpResponse, UpstreamFailure, UpstreamJob};

/// Delay of the second copy of a response.
const COPY_DELAY: Duration = Duration::from_millis(20);
/// Time that the upstream works on a request; longer than the delay of a copy.
const WORK_TIME: Duration = Duration::from_millis(80);

const UNNAMED_REFUSAL: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

/// What the upstream sends for the request that it reads at this position, over all connections.
#[derive(Clone, Copy)]
enum ScriptedAnswer {
    /// Refuses the request at once.
    Refusal,
    /// Refuses the request at once, and sends the refusal again after [`COPY_DELAY`].
    RefusalTwice,
    /// Answers after [`WORK_TIME`].
    Success,
    /// Answers after [`WORK_TIME`] without naming the request.
    Unnamed,
    /// Refuses the request without naming it, and sends the refusal again after [`COPY_DELAY`].
    UnnamedRefusalTwice,
    /// Repeats an answer to the request `old`, and then answers.
    SuccessAfterCopy,
    /// Sends the beginning of such a copy, and then answers.
    SuccessAfterCutCopy,
    /// Repeats a refusal of the request `old` without a length while it works, and closes the
    /// connection.
    CopyUntilClose,
}

struct ScriptedUpstream {
    address: SocketAddr,
    connections: Arc<AtomicU32>,
}

impl ScriptedUpstream {
    /// Starts an upstream that answers its requests by `script`, and all later ones with success.
    fn start(script: &[ScriptedAnswer]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicU32::new(0));
        let opened = connections.clone();
        let script = Arc::new(Mutex::new(script.to_vec()));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                opened.fetch_add(1, Ordering::SeqCst);
                let script = script.clone();
                thread::spawn(move || serve(stream, &script));
            }
        });
        ScriptedUpstream {
            address,
            connections,
        }
    }

    fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, script: &Mutex<Vec<ScriptedAnswer>>) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        let request = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
        let named = request.split("request-id: ").nth(1);
        let id = named.and_then(|rest| rest.split("\r\n").next());
        let id = id.unwrap_or_default().to_owned();
        let answer = {
            let mut script = script.lock().unwrap();
            match script.is_empty() {
                true => ScriptedAnswer::Success,
                false => script.remove(0),
            }
        };
        let refusal = response("503 Full", &id, "full");
        match answer {
            ScriptedAnswer::Refusal => send(&mut stream, &refusal),
            ScriptedAnswer::RefusalTwice => send_twice(&mut stream, refusal),
            ScriptedAnswer::UnnamedRefusalTwice => send_twice(&mut stream, UNNAMED_REFUSAL.into()),
            ScriptedAnswer::Success => {
                thread::sleep(WORK_TIME);
                send(&mut stream, &response("200 OK", &id, "done"));
            }
            ScriptedAnswer::Unnamed => {
                thread::sleep(WORK_TIME);
                send(&mut stream, UNNAMED_REFUSAL);
            }
            ScriptedAnswer::SuccessAfterCopy => {
                send(&mut stream, &response("503 Full", "old", "full"));
                send(&mut stream, &response("200 OK", &id, "done"));
            }
            ScriptedAnswer::CopyUntilClose => {
                send(
                    &mut stream,
                    "HTTP/1.1 503 Full\r\nRequest-Id: old\r\n\r\nfull",
                );
                return;
            }
            ScriptedAnswer::SuccessAfterCutCopy => {
                let copy = response("503 Full", "old", &"full".repeat(8));
                send(&mut stream, &copy[..copy.len() - 28]);
                send(&mut stream, &response("200 OK", &id, "done"));
            }
        }
    }
}

/// Sends `bytes` at once, and again after [`COPY_DELAY`].
fn send_twice(stream: &mut TcpStream, bytes: String) {
    send(stream, &bytes);
    let mut late = stream.try_clone().unwrap();
    thread::spawn(move || {
        thread::sleep(COPY_DELAY);
        send(&mut late, &bytes);
    });
}

fn send(stream: &mut TcpStream, bytes: &str) {
    // The node may have closed the connection.
    let _ = stream.write_all(bytes.as_bytes());
}

fn response(status: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn named_job(upstream: &ScriptedUpstream, id: &str) -> UpstreamJob<u32> {
    let mut job = job(upstream.address, "POST", Vec::new());
    let header = ("Request-Id".to_owned(), id.to_owned());
    job.request.headers.push(header);
    job.echoed = Some(request_id(id));
    job
}

fn status_of(result: Result<HttpResponse, UpstreamFailure>) -> Result<u16, UpstreamFailure> {
    result.map(|response| response.status.code())
}

/// Guards against a late copy of a refusal that is taken for the response to the next attempt of
/// the same request: the attempt runs, counts as refused, and the request is run again.
#[test]
fn a_late_copy_of_a_refusal_does_not_answer_the_next_attempt() {
    let upstream = ScriptedUpstream::start(&[ScriptedAnswer::RefusalTwice]);
    let mut exchanges = ExchangeLoop::new();
    let first = exchanges.run(named_job(&upstream, "visit"));
    assert_eq!(status_of(first), Ok(503));
    let second = exchanges.run(named_job(&upstream, "visit"));
    assert_eq!(status_of(second), Ok(200));
}

/// Guards against a late copy that answers an attempt which arrives after the deadline of the one
/// before it, over a slow link: the caller would be told that the request did not run.
#[test]
fn a_late_copy_does_not_answer_an_attempt_after_the_deadline_of_the_earlier_one() {
    let upstream = ScriptedUpstream::start(&[ScriptedAnswer::RefusalTwice]);
    let mut exchanges = ExchangeLoop::new();
    let mut first = named_job(&upstream, "visit");
    first.timeout = Duration::from_secs(2);
    assert_eq!(status_of(exchanges.run(first)), Ok(503));
    exchanges.started -= Duration::from_secs(2);
    let second = exchanges.run(named_job(&upstream, "visit"));
    assert_eq!(status_of(second), Ok(200));
}

/// Guards against new connections, which occupy the upstream, when no response can be confused with
/// another one.
#[test]
fn requests_of_other_callers_reuse_a_connection_after_a_refusal() {
    let upstream = ScriptedUpstream::start(&[ScriptedAnswer::Success, ScriptedAnswer::Refusal]);
    let mut exchanges = ExchangeLoop::new();
    for (id, expected) in [("a", 200), ("b", 503), ("c", 200), ("d", 200)] {
        let status = status_of(exchanges.run(named_job(&upstream, id)));
        assert_eq!(status, Ok(expected), "{id}");
    }
    assert_eq!(upstream.connections(), 1);
}

/// Guards against a response without an id, from an upstream that names the request in all others,
/// that is taken for the response to the current request.
#[test]
fn an_unnamed_response_on_a_connection_with_named_ones_answers_nothing() {
    let upstream = ScriptedUpstream::start(&[ScriptedAnswer::Success, ScriptedAnswer::Unnamed]);
    let mut exchanges = ExchangeLoop::new();
    assert_eq!(status_of(exchanges.run(named_job(&upstream, "a"))), Ok(200));
    let second = exchanges.run(named_job(&upstream, "b"));
    assert_eq!(status_of(second), Err(UpstreamFailure::Garbled));
    assert_eq!(status_of(exchanges.run(named_job(&upstream, "c"))), Ok(200));
    assert_eq!(upstream.connections(), 2);
}

/// Guards against further use of a connection on which the upstream has sent a response twice.
#[test]
fn a_connection_with_a_repeated_response_is_not_reused() {
    let script = [ScriptedAnswer::Success, ScriptedAnswer::SuccessAfterCopy];
    let upstream = ScriptedUpstream::start(&script);
    let mut exchanges = ExchangeLoop::new();
    for id in ["old", "b", "c"] {
        let status = status_of(exchanges.run(named_job(&upstream, id)));
        assert_eq!(status, Ok(200), "{id}");
    }
    assert_eq!(upstream.connections(), 2);
}

/// Guards against a response that is taken for the rest of another one, and passed on.
#[test]
fn a_copy_that_is_cut_short_leaves_the_outcome_unknown() {
    let script = [ScriptedAnswer::Success, ScriptedAnswer::SuccessAfterCutCopy];
    let upstream = ScriptedUpstream::start(&script);
    let mut exchanges = ExchangeLoop::new();
    let statuses = ["old", "b", "c"].map(|id| status_of(exchanges.run(named_job(&upstream, id))));
    assert_eq!(statuses, [Ok(200), Err(UpstreamFailure::Garbled), Ok(200)]);
}

/// Guards against a late copy without a length, which ends with the connection, that is taken for the
/// response to the request that is running: the caller gets another request's answer, or a request
/// that runs counts as refused and is run again.
#[test]
fn a_late_copy_that_ends_with_the_connection_answers_nothing() {
    let script = [ScriptedAnswer::Success, ScriptedAnswer::CopyUntilClose];
    let upstream = ScriptedUpstream::start(&script);
    let mut exchanges = ExchangeLoop::new();
    let statuses = ["old", "b", "c"].map(|id| status_of(exchanges.run(named_job(&upstream, id))));
    assert_eq!(statuses, [Ok(200), Err(UpstreamFailure::Garbled), Ok(200)]);
}

/// Guards against a caller that identifies no request and gets a late copy of another response.
#[test]
fn a_request_without_an_id_uses_no_connection_with_named_responses() {
    let upstream = ScriptedUpstream::start(&[]);
    let mut exchanges = ExchangeLoop::new();
    assert_eq!(status_of(exchanges.run(named_job(&upstream, "a"))), Ok(200));
    for _ in 0..2 {
        let unnamed = job(upstream.address, "POST", Vec::new());
        assert_eq!(status_of(exchanges.run(unnamed)), Ok(200));
    }
    assert_eq!(upstream.connections(), 2);
}

/// Guards against a late copy of a refusal without an id that is taken for the response to the next
/// caller's request: the request runs, counts as refused, and is run again.
#[test]
fn a_late_copy_of_an_unnamed_refusal_does_not_answer_the_next_request() {
    for is_named in [false, true] {
        let upstream = ScriptedUpstream::start(&[ScriptedAnswer::UnnamedRefusalTwice]);
        let first = match is_named {
            true => named_job(&upstream, "a"),
            false => job(upstream.address, "POST", Vec::new()),
        };
        let mut exchanges = ExchangeLoop::new();
        assert_eq!(status_of(exchanges.run(first)), Ok(503));
        let second = exchanges.run(named_job(&upstream, "b"));
        assert_eq!(status_of(second), Ok(200), "first named: {is_named}");
    }
}

/// Guards against a record of carried requests that grows without end, and against one that forgets
/// a request while its connection is open.
#[test]
fn the_requests_of_a_connection_are_bounded_and_not_forgotten() {
    let mut carried = CarriedRequests::default();
    for number in 0..MAX_CARRIED_REQUESTS {
        assert!(!carried.is_full());
        assert!(carried.accepts(&number.to_string()));
        carried.record(&number.to_string());
    }
    assert!(carried.is_full());
    let mut numbers = 0..MAX_CARRIED_REQUESTS;
    assert!(numbers.all(|number| !carried.accepts(&number.to_string())));
}

/// Guards against a connection that is used for more requests than are recorded.
#[test]
fn a_connection_with_a_full_record_is_not_reused() {
    let upstream = ScriptedUpstream::start(&[ScriptedAnswer::Refusal; MAX_CARRIED_REQUESTS + 1]);
    let mut exchanges = ExchangeLoop::new();
    for (number, connections) in [(MAX_CARRIED_REQUESTS, 1), (1, 2)] {
        for request in 0..number {
            let job = named_job(&upstream, &format!("{connections}-{request}"));
            assert_eq!(status_of(exchanges.run(job)), Ok(503));
        }
        assert_eq!(exchanges.table.opened_connections(), connections);
    }
}
