//! Continuous bookings from several callers, and the check of their answers against the ledger.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use kumquatlock_testkit::caller::{CallFailure, HttpCaller, HttpRequest, HttpResponse};
use kumquatlock_testkit::process::{Mesh, wait_until};
use kumquatlock_testkit::upstream::RunLedger;

use crate::support::WAIT_TIMEOUT;

/// Number of caller threads of one loop.
const CALLERS: u64 = 6;
/// Maximum number of bookings of one caller.
const MAX_BOOKINGS: u64 = 4_000;
/// Pause between two bookings of a caller, so that the maximum is not reached before the failures
/// of the test are over.
const BOOKING_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of times that a keyed booking is sent again after its connection broke.
const MAX_RESENDS: usize = 3;
/// Timeout that a caller requests for a booking.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// A booking with the results that its caller received.
#[derive(Debug)]
pub(crate) struct Booking {
    pub(crate) body: String,
    pub(crate) key: Option<String>,
    /// Address of the entry and result of each attempt.
    pub(crate) results: Vec<(SocketAddr, Result<HttpResponse, CallFailure>)>,
}

/// Callers that send bookings until they are stopped.
pub(crate) struct BookingLoop {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicU64>,
    threads: Vec<JoinHandle<Vec<Booking>>>,
}

impl BookingLoop {
    /// Starts callers that send bookings to `entries`. Every second booking has a key.
    pub(crate) fn start(entries: &[SocketAddr]) -> BookingLoop {
        // The label keeps keys and bodies of two loops in one mesh distinct.
        static LOOPS: AtomicU64 = AtomicU64::new(0);
        let label = LOOPS.fetch_add(1, Ordering::Relaxed);
        let stop = Arc::new(AtomicBool::new(false));
        let completed = Arc::new(AtomicU64::new(0));
        let spawn = |caller: u64| {
            let (stop, completed) = (stop.clone(), completed.clone());
            let entries = entries.to_vec();
            thread::spawn(move || book_until_stopped((label, caller), &entries, &stop, &completed))
        };
        BookingLoop {
            threads: (0..CALLERS).map(spawn).collect(),
            stop,
            completed,
        }
    }

    /// Waits until `count` more bookings have completed.
    pub(crate) fn wait_more_bookings(&self, count: u64) {
        let target = self.completed.load(Ordering::Relaxed) + count;
        let reached = || self.completed.load(Ordering::Relaxed) >= target;
        wait_until("more bookings complete", WAIT_TIMEOUT, reached).unwrap();
    }

    /// Stops the callers and returns all bookings.
    pub(crate) fn finish(self) -> Vec<Booking> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn book_until_stopped(
    (label, caller): (u64, u64),
    entries: &[SocketAddr],
    stop: &AtomicBool,
    completed: &AtomicU64,
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
        completed.fetch_add(1, Ordering::Relaxed);
        thread::sleep(BOOKING_INTERVAL);
    }
    bookings
}

/// Sends a booking. If the connection breaks, a keyed booking is sent again through the next entry.
pub(crate) fn book(
    callers: &[HttpCaller],
    start: usize,
    body: String,
    key: Option<String>,
) -> Booking {
    let mut request = HttpRequest::post("/booking", body.as_str()).timeout(CALLER_TIMEOUT);
    if let Some(key) = &key {
        request = request.key(key);
    }
    let mut results = Vec::new();
    for resend in 0..=MAX_RESENDS {
        let caller = &callers[(start + resend) % callers.len()];
        let result = caller.send(&request);
        let should_resend = result.is_err() && key.is_some();
        results.push((caller.target(), result));
        if !should_resend {
            break;
        }
    }
    Booking { body, key, results }
}

/// Number of bookings by the outcome and reason, or status, of their last answer; `broken` if they
/// got no answer.
pub(crate) type OutcomeCounts = BTreeMap<String, usize>;

/// Checks every booking against the ledger. Connections may break only at the entries in
/// `may_break`.
///
/// Verifies P4: an answer echoes the body and the key of its own request. P5: a booking answered
/// `not_run` never ran. P6: no booking ran twice.
pub(crate) fn check_bookings(
    mesh: &Mesh,
    bookings: &[Booking],
    may_break: &[SocketAddr],
) -> OutcomeCounts {
    // The run of an abandoned call also counts, so all runs must end before the ledger is read.
    for node in &mesh.nodes {
        assert!(
            node.upstream.wait_idle(WAIT_TIMEOUT),
            "{} still runs bookings",
            node.flags.name
        );
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
                Err(error) => assert!(may_break.contains(entry), "{}: {error}", booking.body),
            }
        }
        *counts.entry(last).or_default() += 1;
    }
    counts
}

fn check_answer(ledger: &RunLedger, booking: &Booking, answer: &HttpResponse) -> String {
    let outcome = answer.outcome.clone().unwrap_or_default();
    let runs = ledger.runs_of_body(booking.body.as_bytes()).started;
    let failure_message = || format!("{booking:?}: {}", answer.text());
    match (outcome.as_str(), answer.status) {
        ("answered", 200) => {
            let echo = answer.json();
            assert_eq!(
                echo["body"],
                booking.body.as_str(),
                "P4: {}",
                failure_message()
            );
            assert_eq!(
                echo["key"].as_str(),
                booking.key.as_deref(),
                "P4: {}",
                failure_message()
            );
            assert_eq!(runs, 1, "{}", failure_message());
        }
        // The stand-in upstream answers 503 to a request that it did not start, and 499 or 504 to
        // one that it started and cancelled.
        ("answered", 499 | 503 | 504) => {}
        ("not_run", 503) => assert_eq!(runs, 0, "P5: {}", failure_message()),
        ("unknown", 504) => {}
        _ => panic!("unexpected answer {}: {}", answer.status, failure_message()),
    }
    let reason = answer.json();
    let reason = reason["reason"].as_str().unwrap_or_default();
    match reason {
        "" => format!("{outcome} {}", answer.status),
        reason => format!("{outcome} {reason}"),
    }
}
