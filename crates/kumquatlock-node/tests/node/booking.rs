//! A loop of bookings from several callers, and the check of what became of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use kumquatlock_testkit::caller::{CallFailure, HttpCaller, HttpRequest, HttpResponse};
use kumquatlock_testkit::process::{Mesh, wait_until};
use kumquatlock_testkit::upstream::RunLedger;

use crate::support::LONG;

/// Caller threads of one loop.
const CALLERS: u64 = 6;
/// Bound on the bookings of one caller.
const MAX_BOOKINGS: u64 = 4_000;
/// Pause between two bookings of a caller, so that the bound outlasts the failures.
const PAUSE: Duration = Duration::from_millis(2);
/// Times that a booking with a key is sent again after its connection broke.
const RESENDS: usize = 3;
/// Time that a caller waits.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(4);

/// One booking and everything that its caller saw.
#[derive(Debug)]
pub(crate) struct Booking {
    pub(crate) body: String,
    pub(crate) key: Option<String>,
    /// Entry and result of each sending.
    pub(crate) results: Vec<(SocketAddr, Result<HttpResponse, CallFailure>)>,
}

/// Callers that book until they are told to stop.
pub(crate) struct BookingLoop {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    threads: Vec<JoinHandle<Vec<Booking>>>,
}

impl BookingLoop {
    /// Starts callers of `entries`. Every second booking has a key.
    pub(crate) fn start(entries: &[SocketAddr]) -> BookingLoop {
        // Keys and bodies of two loops of one mesh must differ.
        static LOOPS: AtomicU64 = AtomicU64::new(0);
        let label = LOOPS.fetch_add(1, Ordering::Relaxed);
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicU64::new(0));
        let spawn = |caller: u64| {
            let (stop, sent) = (stop.clone(), sent.clone());
            let entries = entries.to_vec();
            thread::spawn(move || book_until((label, caller), &entries, &stop, &sent))
        };
        BookingLoop {
            threads: (0..CALLERS).map(spawn).collect(),
            stop,
            sent,
        }
    }

    /// Waits until `count` more bookings have ended.
    pub(crate) fn wait_more(&self, count: u64) {
        let target = self.sent.load(Ordering::Relaxed) + count;
        let reached = || self.sent.load(Ordering::Relaxed) >= target;
        wait_until("more bookings end", LONG, reached).unwrap();
    }

    /// Stops and returns all bookings.
    pub(crate) fn finish(self) -> Vec<Booking> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn book_until(
    (label, caller): (u64, u64),
    entries: &[SocketAddr],
    stop: &AtomicBool,
    sent: &AtomicU64,
) -> Vec<Booking> {
    let callers: Vec<_> = entries
        .iter()
        .map(|entry| HttpCaller::new(*entry))
        .collect();
    let mut bookings = Vec::new();
    for number in 0..MAX_BOOKINGS {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let body = format!("order-{label}-{caller}-{number}");
        let key = (number % 2 == 0).then(|| format!("key-{label}-{caller}-{number}"));
        let start = (caller + number) as usize;
        bookings.push(book(&callers, start, body, key));
        sent.fetch_add(1, Ordering::Relaxed);
        thread::sleep(PAUSE);
    }
    bookings
}

/// Sends one booking; with a key, again through the next entry if the connection breaks.
pub(crate) fn book(
    callers: &[HttpCaller],
    start: usize,
    body: String,
    key: Option<String>,
) -> Booking {
    let mut plan = HttpRequest::post("/booking", body.as_str()).timeout(TIMEOUT);
    if let Some(key) = &key {
        plan = plan.key(key);
    }
    let mut results = Vec::new();
    for resend in 0..=RESENDS {
        let caller = &callers[(start + resend) % callers.len()];
        let result = caller.send(&plan);
        let again = result.is_err() && key.is_some();
        results.push((caller.target(), result));
        if !again {
            break;
        }
    }
    Booking { body, key, results }
}

/// What the callers saw, by outcome word.
pub(crate) type OutcomeCounts = BTreeMap<String, usize>;

/// Checks every booking against the ledger. Connections may break only at the entries in
/// `broken`.
///
/// Shows P4: an answer echoes the body and the key of its own request. P5: a booking answered
/// "not run" never ran. P6: nothing ran twice.
pub(crate) fn check(mesh: &Mesh, bookings: &[Booking], broken: &[SocketAddr]) -> OutcomeCounts {
    // An abandoned run still counts, so all runs must have ended before the ledger is read.
    for node in &mesh.nodes {
        assert!(node.upstream.wait_idle(LONG), "{} runs", node.flags.name);
    }
    let ledger = mesh.ledger();
    assert_eq!(ledger.repeated_bodies(), 0, "P6: bodies ran twice");
    assert_eq!(ledger.repeated_keys(), [], "P6: keys ran twice");
    let mut counts = OutcomeCounts::new();
    for booking in bookings {
        let mut last = "broken".to_owned();
        for (entry, result) in &booking.results {
            match result {
                Ok(answer) => last = check_answer(ledger, booking, answer),
                Err(error) => assert!(broken.contains(entry), "{}: {error}", booking.body),
            }
        }
        *counts.entry(last).or_default() += 1;
    }
    counts
}

fn check_answer(ledger: &RunLedger, booking: &Booking, answer: &HttpResponse) -> String {
    let outcome = answer.outcome.clone().unwrap_or_default();
    let runs = ledger.runs_of_body(booking.body.as_bytes()).started;
    let shown = || format!("{booking:?}: {}", answer.text());
    match (outcome.as_str(), answer.status) {
        ("answered", 200) => {
            let echo = answer.json();
            assert_eq!(echo["body"], booking.body.as_str(), "P4: {}", shown());
            assert_eq!(
                echo["key"].as_str(),
                booking.key.as_deref(),
                "P4: {}",
                shown()
            );
            assert_eq!(runs, 1, "{}", shown());
        }
        // The stand-in refuses in this way what it did not start, and cancels what it did.
        ("answered", 499 | 503 | 504) => {}
        ("not_run", 503) => assert_eq!(runs, 0, "P5: {}", shown()),
        ("unknown", 504) => {}
        _ => panic!("unexpected answer {}: {}", answer.status, shown()),
    }
    let reason = answer.json();
    let reason = reason["reason"].as_str().unwrap_or_default();
    match reason {
        "" => format!("{outcome} {}", answer.status),
        reason => format!("{outcome} {reason}"),
    }
}
