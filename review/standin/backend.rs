//! A backend: runs `slots` requests at a time, queues a few more, announces itself to its node.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, find, read_headers};
use crate::record::Record;

/// What a backend saw of one request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub backend: String,
    /// When the request was read completely, and when work on it began and ended; seconds since the
    /// start of the script.
    pub reached: f64,
    pub began: Option<f64>,
    pub ended: Option<f64>,
    /// Whether the work was finished and its answer written.
    pub answered: bool,
}

#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn list(&self) -> Vec<Run> {
        self.0.lock().expect("the runs should be usable").clone()
    }

    fn add(&self, run: Run) -> usize {
        let mut runs = self.0.lock().expect("the runs should be usable");
        runs.push(run);
        runs.len() - 1
    }

    fn change(&self, index: usize, change: impl FnOnce(&mut Run)) {
        change(&mut self.0.lock().expect("the runs should be usable")[index]);
    }
}

pub struct Options {
    pub service: &'static str,
    pub id: String,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
    /// A fault: this request is rejected when it comes for the first time, and the answer is sent a
    /// second time somewhat later.
    pub rejected_twice: Option<String>,
}

/// How late the second copy of an answer is sent.
const LATE: Duration = Duration::from_millis(20);

struct Shared {
    options: Options,
    record: Record,
    runs: Runs,
    /// Number of busy slots and of waiting requests.
    load: Mutex<(u32, u32)>,
    slot_freed: Condvar,
    has_ended: AtomicBool,
    is_draining: AtomicBool,
    is_silent: AtomicBool,
    sequence: AtomicU64,
    born: u64,
    has_rejected: AtomicBool,
}

#[derive(Clone)]
pub struct Backend(Arc<Shared>);

impl Backend {
    /// Starts to listen, and to send heartbeats every 1.5 s.
    pub fn start(options: Options, record: &Record, runs: &Runs) -> Self {
        let listener = TcpListener::bind(options.address).expect("the address should be free");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            options,
            record: record.clone(),
            runs: runs.clone(),
            load: Mutex::new((0, 0)),
            slot_freed: Condvar::new(),
            has_ended: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            born: born.map_or(0, |elapsed| elapsed.as_millis() as u64),
            has_rejected: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let shared = accepting.clone();
                if let Ok(stream) = stream {
                    thread::spawn(move || serve(&shared, stream));
                }
            }
        });
        let beating = shared.clone();
        thread::spawn(move || {
            while !beating.has_ended.load(Ordering::SeqCst) {
                if !beating.is_silent.load(Ordering::SeqCst) {
                    beat(&beating);
                }
                thread::sleep(Duration::from_millis(1500));
            }
        });
        Backend(shared)
    }

    /// Waits until the node has acknowledged a heartbeat.
    pub fn await_acknowledged(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if beat(&self.0) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Says that it is draining. Returns when the node has acknowledged it, and whether it has.
    pub fn drain(&self) -> bool {
        self.0.is_draining.store(true, Ordering::SeqCst);
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end {
            if beat(&self.0) {
                let id = &self.0.options.id;
                self.0
                    .record
                    .line(format!("backend {id}: draining is acknowledged"));
                return true;
            }
        }
        false
    }

    /// Takes a heartbeat that is on its way, and will arrive late.
    pub fn take_heartbeat(&self) -> String {
        heartbeat(&self.0)
    }

    /// Lets a heartbeat arrive.
    pub fn deliver(&self, heartbeat: &str) {
        let is_acknowledged = deliver(&self.0, heartbeat);
        self.0.record.line(format!(
            "backend {}: a late heartbeat arrives, acknowledged: {is_acknowledged}",
            self.0.options.id
        ));
    }

    /// Sends DELETE and sends no more heartbeats. Returns whether it is acknowledged.
    pub fn delete(&self) -> bool {
        let options = &self.0.options;
        self.0.is_silent.store(true, Ordering::SeqCst);
        let path = format!("/-/instances/{}", options.id);
        let body = format!("{{\"born\":{}}}", self.0.born);
        let answer = http::call(
            options.admin,
            "DELETE",
            &path,
            &body,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status);
        self.0.record.line(format!(
            "backend {}: DELETE is answered {status}",
            options.id
        ));
        (200..300).contains(&status)
    }

    /// Exits: the listener and all connections are closed.
    pub fn exit(&self) {
        let options = &self.0.options;
        self.0.record.line(format!("backend {}: exits", options.id));
        self.0.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(options.address);
    }

    /// Sends DELETE and exits.
    pub fn leave(&self) {
        self.delete();
        self.exit();
    }
}

fn beat(shared: &Shared) -> bool {
    deliver(shared, &heartbeat(shared))
}

/// Returns the body of the next heartbeat.
fn heartbeat(shared: &Shared) -> String {
    let options = &shared.options;
    let sequence = shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
    let state = match shared.is_draining.load(Ordering::SeqCst) {
        true => "draining",
        false => "ready",
    };
    format!(
        "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
         \"zone\":\"north-a\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
         \"sequence\":{sequence},\"warmup_left\":\"0ms\"}}}}",
        options.address, shared.born, options.service, options.slots
    )
}

/// Sends a heartbeat. Returns whether it is acknowledged.
fn deliver(shared: &Shared, body: &str) -> bool {
    let options = &shared.options;
    let path = format!("/-/instances/{}", options.id);
    let answer = http::call(options.admin, "PUT", &path, body, Duration::from_secs(1));
    answer.is_ok_and(|answer| (200..300).contains(&answer.status))
}

/// Serves the requests of one connection, one at a time.
fn serve(shared: &Shared, stream: TcpStream) {
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(clone);
    let mut stream = stream;
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
            return;
        }
        let Ok(headers) = read_headers(&mut reader) else {
            return;
        };
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        if reader.read_exact(&mut body).is_err() || shared.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let Some(answer) = answer(shared, &mut stream, &headers) else {
            return;
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns the answer to a request, or `None` if the connection ends without one.
fn answer(shared: &Shared, stream: &mut TcpStream, headers: &[(String, String)]) -> Option<String> {
    let options = &shared.options;
    let request = find(headers, "request-id").unwrap_or("none").to_owned();
    let head = |status: &str, more: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {request}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    if find(headers, "expected-instance").is_some_and(|id| id != options.id) {
        return Some(head("421 Misdirected Request", "Not-Executed: 1\r\n", ""));
    }
    if options.rejected_twice.as_ref() == Some(&request)
        && !shared.has_rejected.swap(true, Ordering::SeqCst)
    {
        let answer = head("503 Service Unavailable", "Not-Executed: 1\r\n", "");
        send_again(shared, stream, request.clone(), answer.clone());
        return Some(answer);
    }
    let reached = shared.record.now();
    shared.record.line(format!(
        "backend {}: request {request} reaches it",
        options.id
    ));
    let millis = find(headers, "deadline-ms").and_then(|text| text.parse().ok());
    let deadline = Instant::now() + Duration::from_millis(millis.unwrap_or(60_000));
    let index = shared.runs.add(Run {
        request: request.clone(),
        backend: options.id.clone(),
        reached,
        began: None,
        ended: None,
        answered: false,
    });
    if !take_slot(shared, deadline) {
        return Some(head("503 Service Unavailable", "Not-Executed: 1\r\n", ""));
    }
    shared
        .record
        .line(format!("backend {}: begins to run {request}", options.id));
    let began = shared.record.now();
    shared.runs.change(index, |run| run.began = Some(began));
    let is_done = work(shared, stream, deadline);
    let ended = shared.record.now();
    shared.runs.change(index, |run| {
        run.ended = Some(ended);
        run.answered = is_done;
    });
    free_slot(shared);
    let outcome = match is_done {
        true => "finished",
        false => "given up: its connection, its time or the backend has ended",
    };
    shared.record.line(format!(
        "backend {}: run of {request} {outcome}",
        options.id
    ));
    let signature = format!("Response-Signature: {}.{index}\r\n", options.id);
    is_done.then(|| head("200 OK", &signature, "done"))
}

/// Sends the answer a second time on the same connection, somewhat late.
fn send_again(shared: &Shared, stream: &TcpStream, request: String, answer: String) {
    let id = shared.options.id.clone();
    let record = shared.record.clone();
    record.line(format!(
        "backend {id}: rejects {request} with 503 and Not-Executed"
    ));
    let Ok(mut stream) = stream.try_clone() else {
        return;
    };
    thread::spawn(move || {
        thread::sleep(LATE);
        let is_sent = stream.write_all(answer.as_bytes()).is_ok();
        record.line(format!(
            "backend {id}: sends that answer a second time: {is_sent}"
        ));
    });
}

fn take_slot(shared: &Shared, deadline: Instant) -> bool {
    let options = &shared.options;
    let mut load = shared.load.lock().expect("the load should be usable");
    if load.0 >= options.slots {
        if load.1 >= options.queue {
            return false;
        }
        load.1 += 1;
        while load.0 >= options.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            let waited = shared.slot_freed.wait_timeout(load, left);
            load = waited.expect("the load should be usable").0;
            if Instant::now() >= deadline {
                load.1 -= 1;
                return false;
            }
        }
        load.1 -= 1;
    }
    load.0 += 1;
    true
}

fn free_slot(shared: &Shared) {
    shared.load.lock().expect("the load should be usable").0 -= 1;
    shared.slot_freed.notify_one();
}

/// Works on a request. Returns false if the connection or the backend ends, or at the deadline.
fn work(shared: &Shared, stream: &mut TcpStream, deadline: Instant) -> bool {
    let end = Instant::now() + shared.options.work;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
    let mut is_done = true;
    while Instant::now() < end {
        let mut byte = [0];
        let is_closed = match stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => {
                thread::sleep(Duration::from_millis(10));
                false
            }
            Err(error) => !matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        };
        let has_ended = shared.has_ended.load(Ordering::SeqCst);
        if is_closed || has_ended || Instant::now() >= deadline {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            is_done = false;
            break;
        }
    }
    let _ = stream.set_read_timeout(None);
    is_done
}
