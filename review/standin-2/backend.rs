//! A backend of the platform: answers requests, echoes `Request-Id`, signs its answers and reports
//! itself to the node on its machine.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, request, send_once};
use crate::record::Record;
use crate::system::listen_with_buffer;

/// Slots of a backend.
pub const SLOTS: u32 = 12;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Length of the body of an answer.
const BODY_BYTES: usize = 1_500;
/// Bytes of the body of an early answer that are sent before the rest of the request was read.
pub const EARLY_BYTES: usize = 20_000;

/// Returns the body of the answer to a request.
pub fn answer_body(id: &str) -> Vec<u8> {
    let mut body = format!("answer to {id}\n").into_bytes();
    while body.len() < BODY_BYTES {
        body.extend_from_slice(id.as_bytes());
        body.push(b' ');
    }
    body
}

/// Returns the body of the answer to a long request.
pub fn long_answer_body(id: &str) -> Vec<u8> {
    let mut body = Vec::new();
    while body.len() < 2 * EARLY_BYTES {
        body.extend_from_slice(format!("{:08} of {id}\n", body.len()).as_bytes());
    }
    body
}

pub fn signature(id: &str) -> String {
    format!("stand-in.{id}")
}

/// What is wrong with some of the answers of a backend.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The answer to the previous request on the connection comes once more, late, without a
    /// length, and ends with the connection.
    ExtraLate,
    /// The backend rejects a request without running it. While it runs the next one on the
    /// connection, the rejection comes once more, without a length, and ends with the connection.
    LateRefusal,
    /// Bytes that are no response follow the head.
    EndlessBytes,
}

/// What a backend has run, in order.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: u64,
}

pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddrV4,
    born: u128,
    work: Duration,
    fault: Mutex<Fault>,
    /// One in this many answers is spoiled while there is a fault.
    one_in: usize,
    answers: AtomicUsize,
    pub spoiled: Mutex<Vec<String>>,
    sequence: AtomicU64,
    is_closed: AtomicBool,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Backend {
    /// Starts a backend that answers after `work`. It reports itself once
    /// [`Backend::report_regularly`] is called.
    pub fn start(
        record: &Record,
        address: SocketAddrV4,
        service: &'static str,
        work: Duration,
        one_in: usize,
    ) -> io::Result<Arc<Backend>> {
        let listener = listen_with_buffer(address, None)?;
        let backend = Arc::new(Backend {
            id: format!("i-{service}-{}", address.ip().octets()[3]),
            service,
            address,
            born: unix_ms(),
            work,
            fault: Mutex::new(Fault::None),
            one_in,
            answers: AtomicUsize::new(0),
            spoiled: Mutex::default(),
            sequence: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let served = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_closed.load(Ordering::Relaxed) {
                    return;
                }
                let served = served.clone();
                thread::spawn(move || {
                    let _ = served.serve(stream);
                });
            }
        });
        Ok(backend)
    }

    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Returns what has run here.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Ends the backend: it accepts no further connections and answers nothing.
    pub fn exit(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        let mut previous: Option<String> = None;
        let mut refused: Option<String> = None;
        while let Some(request) = connection.read_request()? {
            if self.is_closed.load(Ordering::Relaxed) {
                return Ok(());
            }
            if request.line.starts_with("GET /healthz") {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                connection.stream.write_all(head.as_bytes())?;
                continue;
            }
            if request
                .header("Expected-Instance")
                .is_some_and(|id| id != self.id)
            {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                connection.stream.write_all(head.as_bytes())?;
                continue;
            }
            let Some(id) = request.header("Request-Id").map(str::to_owned) else {
                let head =
                    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                connection.stream.write_all(head.as_bytes())?;
                continue;
            };
            if refused.is_none() && self.refuses_next() {
                self.record
                    .log(&format!("backend {}: rejects {id}, 503", self.id));
                let head = format!("{}Content-Length: 0\r\n\r\n", refusal_of(&id));
                connection.stream.write_all(head.as_bytes())?;
                refused = Some(id);
                continue;
            }
            self.record_run(&id);
            sleep(self.work);
            if let Some(earlier) = refused.take() {
                lock(&self.spoiled).push(id.clone());
                self.record.log(&format!(
                    "backend {}: late second rejection of {earlier} where the answer to {id} is due",
                    self.id
                ));
                let head = format!("{}\r\n", refusal_of(&earlier));
                return connection.stream.write_all(head.as_bytes());
            }
            match self.next_fault(&id, previous.is_some()) {
                Fault::ExtraLate => {
                    let earlier = previous.take().unwrap_or_default();
                    self.record.log(&format!(
                        "backend {}: late second answer to {earlier} where that to {id} is due",
                        self.id
                    ));
                    let head = head_of(&earlier, None);
                    connection.stream.write_all(head.as_bytes())?;
                    return connection.stream.write_all(&answer_body(&earlier));
                }
                Fault::EndlessBytes => return self.send_endless(&mut connection, &id),
                Fault::None | Fault::LateRefusal => {
                    let body = answer_body(&id);
                    let mut answer = head_of(&id, Some(body.len())).into_bytes();
                    answer.extend_from_slice(&body);
                    connection.stream.write_all(&answer)?;
                    previous = Some(id);
                }
            }
        }
        Ok(())
    }

    fn record_run(&self, id: &str) {
        self.record.log(&format!("backend {}: runs {id}", self.id));
        let at = self.record.now();
        lock(&self.runs).push(Run {
            id: id.to_owned(),
            at,
        });
    }

    /// Whether the backend rejects the next request.
    fn refuses_next(&self) -> bool {
        *lock(&self.fault) == Fault::LateRefusal
            && self.answers.load(Ordering::Relaxed) % self.one_in == self.one_in - 1
            && self.answers.fetch_add(1, Ordering::Relaxed) > 0
    }

    /// Returns what is wrong with the answer to this request.
    fn next_fault(&self, id: &str, has_previous: bool) -> Fault {
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let fault = *lock(&self.fault);
        let is_usable = fault != Fault::ExtraLate || has_previous;
        let is_other = matches!(fault, Fault::None | Fault::LateRefusal);
        if is_other || !number.is_multiple_of(self.one_in) || !is_usable {
            return Fault::None;
        }
        lock(&self.spoiled).push(id.to_owned());
        fault
    }

    /// Sends bytes that are no response, at most 100 MB a second, until the connection is closed.
    fn send_endless(&self, connection: &mut Connection, id: &str) -> io::Result<()> {
        self.record.note(&format!(
            "backend {}: sends bytes that are no response to {id}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\nffffffffffffffff\r\n",
            signature(id)
        );
        connection.stream.write_all(head.as_bytes())?;
        let chunk = vec![b'#'; 500_000];
        let mut sent = 0;
        loop {
            let started = Instant::now();
            if let Err(error) = connection.stream.write_all(&chunk) {
                self.record
                    .note(&format!("backend {}: closed after {sent} bytes", self.id));
                return Err(error);
            }
            sent += chunk.len();
            sleep(Duration::from_millis(5).saturating_sub(started.elapsed()));
        }
    }

    /// Returns the body of the next heartbeat.
    pub fn heartbeat(&self, state: &str) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        heartbeat_body(self.address, self.service, self.born, state, sequence)
    }

    /// Returns the number of the latest heartbeat.
    pub fn last_sequence(&self) -> u64 {
        self.sequence.load(Ordering::Relaxed)
    }

    /// Sends a heartbeat to the node. Returns whether it was acknowledged.
    pub fn report(&self, node: SocketAddr, state: &str) -> bool {
        let body = self.heartbeat(state);
        self.send_report(node, &body)
    }

    pub fn send_report(&self, node: SocketAddr, body: &[u8]) -> bool {
        put_heartbeat(node, &self.id, body)
    }

    /// Reports regularly until the backend has ended.
    pub fn report_regularly(self: &Arc<Self>, node: SocketAddr) {
        let backend = self.clone();
        thread::spawn(move || {
            while !backend.is_closed.load(Ordering::Relaxed) {
                backend.report(node, "ready");
                sleep(HEARTBEAT);
            }
        });
    }

    /// Tells the node that the backend leaves. Returns whether this was acknowledged in time.
    pub fn leave(&self, node: SocketAddr) -> bool {
        let line = format!("DELETE /-/instances/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let headers = [("Content-Type", "application/json")];
        let delete = request(&line, &headers, body.as_bytes());
        let answer = send_once(node, &delete, Duration::from_secs(1));
        let text = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        self.record
            .note(&format!("backend {}: DELETE answered {text}", self.id));
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

fn head_of(id: &str, length: Option<usize>) -> String {
    let length = length.map_or_else(String::new, |bytes| format!("Content-Length: {bytes}\r\n"));
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}\r\n{length}\r\n",
        signature(id)
    )
}

/// Returns the head of a rejection, without a length and its end.
fn refusal_of(id: &str) -> String {
    format!("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n")
}

fn heartbeat_body(
    address: SocketAddrV4,
    service: &str,
    born: u128,
    state: &str,
    sequence: u64,
) -> Vec<u8> {
    format!(
        "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
         \"version\":\"v1\",\"zone\":\"sfax-port\",\"slots\":{SLOTS}}},\"status\":{{\
         \"state\":\"{state}\",\"sequence\":{sequence},\"warmup_left\":\"0ms\"}}}}"
    )
    .into_bytes()
}

fn put_heartbeat(node: SocketAddr, id: &str, body: &[u8]) -> bool {
    let line = format!("PUT /-/instances/{id}");
    let put = request(&line, &[("Content-Type", "application/json")], body);
    let answer = send_once(node, &put, Duration::from_secs(1));
    answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
}

/// A backend in a process of its own: `standin backend ADDRESS ADMIN SERVICE`. It reads long
/// requests slowly, answers them before they are in, and prints a line when it has sent the first
/// part of such an answer.
pub fn run_process(arguments: &[String]) {
    let [address, admin, service] = arguments else {
        eprintln!("usage: standin backend ADDRESS ADMIN SERVICE");
        return;
    };
    let (Ok(address), Ok(admin)) = (address.parse::<SocketAddrV4>(), admin.parse()) else {
        eprintln!("invalid address");
        return;
    };
    let id = format!("i-{service}-{}", address.ip().octets()[3]);
    let Ok(listener) = listen_with_buffer(address, Some(64 * 1024)) else {
        eprintln!("cannot listen");
        return;
    };
    let (beat_id, service, born) = (id.clone(), service.clone(), unix_ms());
    thread::spawn(move || {
        for sequence in 1.. {
            let body = heartbeat_body(address, &service, born, "ready", sequence);
            put_heartbeat(admin, &beat_id, &body);
            sleep(HEARTBEAT);
        }
    });
    let counts = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
    for stream in listener.incoming().flatten() {
        let (id, counts) = (id.clone(), counts.clone());
        thread::spawn(move || {
            let _ = serve_long(Connection::new(stream), &id, &counts);
        });
    }
}

fn serve_long(
    mut connection: Connection,
    instance: &str,
    counts: &Mutex<HashMap<String, usize>>,
) -> io::Result<()> {
    while let Some(head) = connection.read_head()? {
        let length = length_of(&head);
        if head
            .header("Expected-Instance")
            .is_some_and(|id| id != instance)
        {
            connection.skip_body(length)?;
            let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            connection.stream.write_all(answer.as_bytes())?;
            continue;
        }
        let Some(id) = head.header("Request-Id").map(str::to_owned) else {
            let answer = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return connection.stream.write_all(answer.as_bytes());
        };
        *lock(counts).entry(id.clone()).or_default() += 1;
        println!("run {id}");
        // The answer has no length and ends with the connection. Its first half is sent before the
        // rest of the request is read, and the second half after it.
        let body = long_answer_body(&id);
        connection.stream.write_all(head_of(&id, None).as_bytes())?;
        connection.stream.write_all(&body[..EARLY_BYTES])?;
        println!("early {id}");
        sleep(Duration::from_millis(700));
        connection.skip_body(length)?;
        connection.stream.write_all(&body[EARLY_BYTES..])?;
        println!("answered {id}");
        return Ok(());
    }
    Ok(())
}

fn length_of(head: &Message) -> usize {
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok());
    length.unwrap_or(0)
}
