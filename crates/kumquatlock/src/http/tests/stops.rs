//! Fault: a planned stop while callers keep sending requests, on new, kept and pipelined
//! connections.

use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

use super::super::*;
use super::TIMEOUT;
use crate::core::Timestamp;

const CALLERS: usize = 24;
/// Number of stops for each kind of caller.
const STOPS: usize = 6;
/// Time for which the callers send requests before the stop, after each has got its first answer.
const LOAD_TIME: Duration = Duration::from_millis(60);
const LIMITS: HttpLimits = HttpLimits {
    header_bytes: 4_096,
    body_bytes: MAX_BODY_BYTES as u64,
    header_timeout: Duration::from_millis(400),
    idle_timeout: Duration::from_secs(5),
};

/// An [`HttpTable`] in a thread of its own. It answers every request with 200.
pub(super) struct TableServer {
    pub(super) address: SocketAddr,
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl TableServer {
    pub(super) fn start() -> Self {
        let (stop, stopped) = channel();
        let (sender, address) = channel();
        let thread = thread::spawn(move || run_table(&sender, &stopped));
        TableServer {
            address: address.recv_timeout(TIMEOUT).unwrap(),
            stop,
            thread,
        }
    }

    /// Stops the table and waits until it has closed all connections.
    pub(super) fn stop(self) {
        self.stop.send(()).unwrap();
        self.thread.join().unwrap();
    }
}

fn run_table(address: &Sender<SocketAddr>, stopped: &Receiver<()>) {
    let started = Instant::now();
    let now = || Timestamp(started.elapsed().as_micros() as u64);
    let mut stakker = Stakker::new(started);
    let events = Events::with_capacity(256);
    let poll = MioPoll::new(&mut stakker, Poll::new().unwrap(), events, 5).unwrap();
    let ready = Rc::new(RefCell::new(Vec::new()));
    let sink = ready.clone();
    let forward = Fwd::new(move |event| sink.borrow_mut().push(event));
    let mut table = HttpTable::new(poll.clone(), forward, LIMITS);
    let bound = table.listen(([127, 0, 0, 1], 0).into(), ()).unwrap();
    address.send(bound).unwrap();
    let mut is_stopping = false;
    while !is_stopping || table.poll_close(now()) == CloseStep::Waiting {
        if !is_stopping && stopped.try_recv() != Err(TryRecvError::Empty) {
            is_stopping = true;
            table.stop_listening(now(), |()| true);
        }
        poll.poll(Duration::from_millis(5)).unwrap();
        stakker.run(Instant::now(), false);
        for event in ready.take() {
            table.handle_ready(now(), event);
        }
        table.handle_tick(now());
        while let Some(event) = table.next_event() {
            if let HttpEvent::Request { id, .. } = event {
                table.respond(now(), id, HttpResponse::json(200, &"served"));
            }
        }
        table.drop_closed(now());
    }
}

/// How callers use their connections.
#[derive(Clone, Copy, Debug)]
enum CallerHabit {
    /// A new connection for each request.
    Fresh,
    /// One connection until the server announces its close.
    Kept,
    /// Like `Kept`, but three requests are sent at once.
    Pipelined,
}

/// What one caller saw until the server refused its connection.
#[derive(Debug, Default)]
struct CallerReport {
    answered: usize,
    /// Requests that ended without an answer although the server had not announced a close.
    cut: Vec<String>,
}

/// Sends requests until a connection is refused. `answered` is told of each answer.
fn call_until_refused(
    address: SocketAddr,
    habit: CallerHabit,
    answered: &Sender<()>,
) -> CallerReport {
    let mut report = CallerReport::default();
    while let Ok(stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        if let Err(error) = use_connection(stream, habit, answered, &mut report) {
            report.cut.push(error.to_string());
        }
    }
    report
}

fn use_connection(
    mut stream: TcpStream,
    habit: CallerHabit,
    answered: &Sender<()>,
    report: &mut CallerReport,
) -> io::Result<()> {
    let batch = if matches!(habit, CallerHabit::Pipelined) {
        3
    } else {
        1
    };
    loop {
        for _ in 0..batch {
            stream.write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")?;
        }
        for _ in 0..batch {
            let is_closing = read_response(&mut stream)?;
            report.answered += 1;
            let _ = answered.send(());
            // Requests behind an announced close count as not read.
            if is_closing || matches!(habit, CallerHabit::Fresh) {
                return Ok(());
            }
        }
    }
}

/// Reads one response. Returns whether it announces the close of the connection.
fn read_response(stream: &mut TcpStream) -> io::Result<bool> {
    let mut response = Vec::new();
    while !response.ends_with(b"\"served\"") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        response.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&response).to_ascii_lowercase();
    assert!(text.starts_with("http/1.1 200"), "{text}");
    Ok(text.contains("connection: close"))
}

/// Guards against a stop that cuts requests: of connections that wait to be accepted, that were just
/// accepted, or that were idle when the stop began.
#[test]
fn a_stop_under_load_cuts_no_request() {
    for habit in [
        CallerHabit::Fresh,
        CallerHabit::Kept,
        CallerHabit::Pipelined,
    ] {
        for stop in 0..STOPS {
            let server = TableServer::start();
            let address = server.address;
            let mut first_answers = Vec::new();
            let mut callers = Vec::new();
            for _ in 0..CALLERS {
                let (sender, answered) = channel();
                callers.push(thread::spawn(move || {
                    call_until_refused(address, habit, &sender)
                }));
                first_answers.push(answered);
            }
            // On a busy machine, a stop after a fixed time would come before the callers.
            for answered in &first_answers {
                answered
                    .recv_timeout(TIMEOUT)
                    .expect("a caller got no answer");
            }
            thread::sleep(LOAD_TIME);
            server.stop();
            let reports: Vec<_> = callers
                .into_iter()
                .map(|caller| caller.join().unwrap())
                .collect();
            let answered: usize = reports.iter().map(|report| report.answered).sum();
            let cut: Vec<_> = reports.iter().flat_map(|report| &report.cut).collect();
            assert!(answered >= CALLERS, "{habit:?}: only {answered} requests");
            assert!(
                cut.is_empty(),
                "{habit:?}, stop {stop}: {answered} answered, cut {cut:?}"
            );
        }
    }
}

/// Guards against a stop that closes a kept connection while its caller is about to send a request,
/// and against one that waits for an idle connection for longer.
#[test]
fn an_idle_connection_is_served_once_more_during_a_stop() {
    let server = TableServer::start();
    let connect = || {
        let stream = TcpStream::connect(server.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    };
    let (mut late, mut idle) = (connect(), connect());
    for stream in [&mut late, &mut idle] {
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
        assert!(!read_response(stream).unwrap());
    }
    let stop_started_at = Instant::now();
    let caller = thread::spawn(move || {
        thread::sleep(Duration::from_millis(500));
        late.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
        read_response(&mut late).unwrap()
    });
    server.stop();
    assert!(caller.join().unwrap(), "the close was not announced");
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
    let elapsed = stop_started_at.elapsed();
    assert!(
        elapsed < Duration::from_secs(3),
        "the stop took {elapsed:?}"
    );
}

/// Guards against a caller that holds a connection by sending no request without end, and against
/// one that is refused early because its connection was idle before.
#[test]
fn the_head_timeout_runs_from_the_first_byte_of_a_request() {
    let server = TableServer::start();
    let connect = || {
        let stream = TcpStream::connect(server.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    };
    let mut empty_lines = connect();
    let started = Instant::now();
    while empty_lines.write_all(b"\r\n").is_ok() && started.elapsed() < TIMEOUT {}
    assert!(
        started.elapsed() < TIMEOUT / 2,
        "endless empty lines were read"
    );

    let mut slow = connect();
    thread::sleep(LIMITS.header_timeout + LIMITS.header_timeout / 2);
    slow.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    thread::sleep(LIMITS.header_timeout / 2);
    slow.write_all(b"Host: a\r\n\r\n").unwrap();
    assert!(!read_response(&mut slow).unwrap());

    slow.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    let mut refusal = String::new();
    slow.read_to_string(&mut refusal).unwrap();
    assert!(refusal.starts_with("HTTP/1.1 408"), "{refusal}");
}
