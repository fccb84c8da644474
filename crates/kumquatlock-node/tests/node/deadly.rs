//! A request that ends every upstream that runs it, and comes again at any node.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use kumquatlock_testkit::caller::{HttpCaller, HttpRequest};
use kumquatlock_testkit::process::{NodeInstance, wait_until};
use serde_json::json;

use crate::support::{WAIT_TIMEOUT, builder, start};

/// Body of the request that ends upstreams.
const DEADLY_BODY: &str = "deadly";
/// Time that the upstream works on each request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time until an ended upstream is back.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time after the third crash from which at most [`MAX_LATE_RUNS`] more are allowed.
const LEARNING_TIME: Duration = Duration::from_secs(4);
const MAX_LATE_RUNS: usize = 3;
/// Interval at which the deadly request comes again, each time at another node.
const DEADLY_INTERVAL: Duration = Duration::from_millis(100);

/// An upstream whose listener and connections all close when it runs the deadly request.
struct FragileUpstream {
    state: Arc<FragileState>,
    server: Option<JoinHandle<()>>,
}

struct FragileState {
    /// Runs of the deadly request at all upstreams.
    deadly_runs: Arc<AtomicUsize>,
    is_ended: AtomicBool,
    is_stopped: AtomicBool,
}

impl FragileUpstream {
    /// Takes the place of the stand-in beside a node.
    fn start(node: &NodeInstance, deadly_runs: &Arc<AtomicUsize>) -> Self {
        node.upstream.leave().unwrap();
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(FragileState {
            deadly_runs: deadly_runs.clone(),
            is_ended: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
        });
        let server = state.clone();
        let server = std::thread::spawn(move || server.serve(listener, address));
        let announcement = json!({
            "name": node.flags.name,
            "service": "booking",
            "address": address.to_string(),
            "slots": 8,
        });
        let announced = HttpCaller::new(node.flags.upstream_http)
            .post("/v1/announce", announcement.to_string())
            .unwrap();
        assert_eq!(announced.status, 200, "{}", announced.text());
        FragileUpstream {
            state,
            server: Some(server),
        }
    }
}

impl Drop for FragileUpstream {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.take() {
            let _ = server.join();
        }
    }
}

impl FragileState {
    fn serve(self: Arc<Self>, mut listener: TcpListener, address: SocketAddr) {
        loop {
            let mut open = Vec::new();
            listener.set_nonblocking(true).unwrap();
            while !self.is_ended.load(Ordering::SeqCst) {
                if self.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        open.push(stream.try_clone().unwrap());
                        let state = self.clone();
                        std::thread::spawn(move || state.serve_connection(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            for stream in open {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            std::thread::sleep(RESTART_TIME);
            self.is_ended.store(false, Ordering::SeqCst);
            listener = TcpListener::bind(address).unwrap();
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(body) = read_request(&mut reader) {
            if body == DEADLY_BODY.as_bytes() {
                self.deadly_runs.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(SERVICE_TIME);
                self.is_ended.store(true, Ordering::SeqCst);
                return;
            }
            std::thread::sleep(SERVICE_TIME);
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Reads a request and returns its body; `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Callers whose requests are all different and harmless.
struct InnocentLoop {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<(u16, String)>>>,
}

impl InnocentLoop {
    fn start(nodes: &[NodeInstance]) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let start_caller = |(number, node): (usize, &NodeInstance)| {
            let (caller, is_stopped) = (node.caller(), is_stopped.clone());
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                while !is_stopped.load(Ordering::SeqCst) {
                    let body = format!("innocent-{number}-{}", answers.len());
                    let request = HttpRequest::post("/booking", body).timeout(DEADLY_INTERVAL * 5);
                    if let Ok(answer) = caller.send(&request) {
                        answers.push((answer.status, answer.text()));
                    }
                }
                answers
            })
        };
        let threads = nodes.iter().enumerate().map(start_caller).collect();
        InnocentLoop {
            is_stopped,
            threads,
        }
    }

    fn finish(self) -> Vec<(u16, String)> {
        self.is_stopped.store(true, Ordering::SeqCst);
        let answers = self.threads.into_iter();
        answers.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

/// A request that has ended three upstreams must not go on to end one after the other, and no
/// request that ran beside it may be refused for it.
#[test]
fn a_request_that_ends_upstreams_is_stopped_after_a_few() {
    let mesh = start(builder());
    let deadly_runs = Arc::new(AtomicUsize::new(0));
    let start_upstream = |node| FragileUpstream::start(node, &deadly_runs);
    let _upstreams: Vec<FragileUpstream> = mesh.nodes.iter().map(start_upstream).collect();
    let is_served = |caller: &HttpCaller| {
        let request = HttpRequest::post("/booking", "warm-up");
        caller
            .send(&request)
            .is_ok_and(|answer| answer.status == 200)
    };
    let are_serving = || mesh.nodes.iter().all(|node| is_served(&node.caller()));
    wait_until("fragile upstreams serve", WAIT_TIMEOUT, are_serving).unwrap();
    let innocents = InnocentLoop::start(&mesh.nodes);
    let started = Instant::now();
    let mut learned_at = None;
    let mut runs_when_learned = 0;
    for number in 0.. {
        let caller = mesh.nodes[number % mesh.nodes.len()].caller();
        let request = HttpRequest::post("/booking", DEADLY_BODY).timeout(DEADLY_INTERVAL * 5);
        let _ = caller.send(&request);
        std::thread::sleep(DEADLY_INTERVAL);
        let runs = deadly_runs.load(Ordering::SeqCst);
        if learned_at.is_none() && runs >= 3 {
            learned_at = Some(Instant::now() + LEARNING_TIME);
        }
        match learned_at {
            Some(at) if Instant::now() < at => runs_when_learned = runs,
            Some(at) if Instant::now() >= at + LEARNING_TIME => break,
            None => assert!(started.elapsed() < WAIT_TIMEOUT, "three crashes"),
            Some(_) => {}
        }
    }
    let runs = deadly_runs.load(Ordering::SeqCst);
    let answers = innocents.finish();
    println!("{runs} deadly runs, {runs_when_learned} within the learning time");
    let quarantined = answers
        .iter()
        .filter(|(_, text)| text.contains("quarantined"));
    assert_eq!(quarantined.count(), 0, "innocent requests were refused");
    let served = answers.iter().filter(|(status, _)| *status == 200).count();
    assert!(served > 0);
    let late = runs - runs_when_learned;
    assert!(late <= MAX_LATE_RUNS, "{late} runs after the learning time");
}
