use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::quarantine::CrashReport;
use prost::Message;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::*;
use crate::core::{RequestFingerprint, Timestamp};

const DEADLY: RequestFingerprint = RequestFingerprint(1_000_000);
const OTHER_DEADLY: RequestFingerprint = RequestFingerprint(2_000_000);

fn start() -> Timestamp {
    Timestamp::from_millis(1_000)
}

fn crash(number: u64) -> CrashId {
    CrashId {
        upstream: "booking-1".into(),
        incarnation: 1,
        number,
    }
}

/// Returns the running calls of a crash, each from another entry node.
fn running(numbers: &[u64]) -> Vec<SuspectCall> {
    static CALLS: AtomicU64 = AtomicU64::new(1);
    let next_call = |number: &u64| {
        let call_id = CALLS.fetch_add(1, Ordering::Relaxed);
        suspect(RequestFingerprint(*number), call_id, call_id)
    };
    numbers.iter().map(next_call).collect()
}

fn suspect(fingerprint: RequestFingerprint, entry: u64, call_id: u64) -> SuspectCall {
    SuspectCall {
        fingerprint,
        entry,
        call_id,
    }
}

fn requests(numbers: &[u64]) -> Vec<RequestFingerprint> {
    numbers.iter().copied().map(RequestFingerprint).collect()
}

/// Guards against a request that ends one upstream after the other, unnoticed.
#[test]
fn the_only_request_in_three_crashes_is_quarantined() {
    let mut tally = CrashTally::default();
    let crashes = [[1, 2, 3], [1, 4, 5], [1, 6, 7]];
    let found = crashes.iter().enumerate().map(|(number, requests)| {
        tally.record_crash(start(), crash(number as u64), &running(requests))
    });
    let found: Vec<_> = found.collect();
    assert_eq!(found, [None, None, Some(RequestFingerprint(1))]);
}

/// Guards against a count that grows by repeated reports of one crash.
#[test]
fn a_repeated_report_counts_once() {
    let mut tally = CrashTally::default();
    for _ in 0..5 {
        assert_eq!(tally.record_crash(start(), crash(1), &running(&[1])), None);
    }
}

/// Guards against the quarantine of an innocent request that was in the same crashes.
#[test]
fn requests_that_were_always_together_are_not_told_apart() {
    let mut tally = CrashTally::default();
    for number in 0..5 {
        let found = tally.record_crash(start(), crash(number), &running(&[1, 2]));
        assert_eq!(found, None);
    }
    let found = tally.record_crash(start(), crash(5), &running(&[2, 3]));
    assert_eq!(found, Some(RequestFingerprint(2)));
}

/// Guards against the quarantine of requests that ran beside a deadly one that is known.
#[test]
fn crashes_that_a_quarantined_request_explains_count_against_no_other() {
    let mut tally = CrashTally::default();
    for number in 0..3 {
        tally.record_crash(start(), crash(number), &running(&[1, 10 + number]));
    }
    tally.set_quarantined(start(), &requests(&[1]));
    for number in 3..9 {
        let found = tally.record_crash(start(), crash(number), &running(&[1, 2]));
        assert_eq!(found, None, "crash {number}");
    }
    for number in 9..11 {
        let found = tally.record_crash(start(), crash(number), &running(&[2]));
        assert_eq!(found, None, "crash {number}");
    }
}

/// Guards against the quarantine of a request that runs everywhere, and so at every crash.
#[test]
fn a_completed_request_is_never_quarantined() {
    let mut tally = CrashTally::default();
    assert!(!tally.clear(RequestFingerprint(1)));
    for number in 0..9 {
        let running = running(&[1]);
        assert_eq!(tally.record_crash(start(), crash(number), &running), None);
    }
    tally.set_quarantined(start(), &requests(&[5]));
    assert!(tally.clear(RequestFingerprint(5)), "it must be released");
}

/// Guards against a quarantine without end.
#[test]
fn a_quarantine_expires() {
    let mut tally = CrashTally::default();
    tally.set_quarantined(start(), &requests(&[1]));
    assert_eq!(tally.take_expired(start() + QUARANTINE_TIME / 2), []);
    let end = start() + QUARANTINE_TIME;
    assert_eq!(tally.take_expired(end), requests(&[1]));
    assert_eq!(tally.take_expired(end), [], "proposed twice");
    tally.set_quarantined(end, &[]);
    assert_eq!(tally.take_expired(end + QUARANTINE_TIME), []);
}

/// Guards against the quarantine of a request that one caller repeats, and against one that is never
/// found because it always comes through the same entry node.
#[test]
fn calls_of_one_caller_are_no_evidence() {
    let mut tally = CrashTally::default();
    let request = RequestFingerprint(1);
    for number in 0..6 {
        let repeated = [suspect(request, 7, number / 2)];
        assert_eq!(tally.record_crash(start(), crash(number), &repeated), None);
    }
    let again = [suspect(request, 7, 99)];
    assert_eq!(tally.record_crash(start(), crash(6), &again), Some(request));
}

/// Crashes are forgotten after a time, and their number is bounded.
#[test]
fn old_crashes_do_not_count() {
    let mut tally = CrashTally::default();
    let mut now = start();
    for number in 0..6 {
        let found = tally.record_crash(now, crash(number), &running(&[1]));
        assert_eq!(found, None);
        now = now + Duration::from_secs(301);
    }
    for number in 6..3_000 {
        tally.record_crash(now, crash(number), &running(&[number + 100]));
    }
    assert_eq!(tally.record_crash(now, crash(9_999), &running(&[1])), None);
}

/// A caller's request that was lost, and what its caller still does about it.
#[derive(Clone, Copy)]
struct LostRequest {
    suspect: SuspectCall,
    /// Whether the entry node may pass the same call on once more.
    is_first_attempt: bool,
    calls_left: u32,
}

impl LostRequest {
    /// Returns the next attempt: of the same call, or of the caller's next one at the same entry
    /// node.
    fn retry(mut self) -> Option<Self> {
        if self.is_first_attempt {
            self.is_first_attempt = false;
            return Some(self);
        }
        self.calls_left = self.calls_left.checked_sub(1)?;
        self.suspect.call_id += 1;
        self.is_first_attempt = true;
        Some(self)
    }
}

/// Number of entry nodes that callers and the deadly requests use.
const ENTRIES: u64 = 6;

/// Upstreams of a service that a deadly request ends, with callers that retry what was lost.
struct CrashModel {
    random: SmallRng,
    next_request: u64,
    lost: Vec<LostRequest>,
}

impl CrashModel {
    fn new(seed: u64) -> Self {
        CrashModel {
            random: SmallRng::seed_from_u64(seed),
            next_request: 0,
            lost: Vec::new(),
        }
    }

    /// Returns the running calls of one crash, with a deadly one among them. Half of the lost
    /// requests are retried at the upstream that ends next.
    fn next_crash(&mut self, deadly: RequestFingerprint) -> Vec<SuspectCall> {
        let mut running = std::mem::take(&mut self.lost);
        running.retain(|_| self.random.random_bool(0.5));
        while running.len() < 11 {
            self.next_request += 1;
            let fingerprint = RequestFingerprint(self.next_request);
            let entry = self.random.random_range(0..ENTRIES);
            running.push(LostRequest {
                suspect: suspect(fingerprint, entry, self.next_request * 10),
                is_first_attempt: true,
                calls_left: 2,
            });
        }
        self.lost = running.iter().filter_map(|lost| lost.retry()).collect();
        let mut all: Vec<_> = running.iter().map(|lost| lost.suspect).collect();
        let (entry, call_id) = (self.random.random_range(0..ENTRIES), self.random.random());
        all.push(suspect(deadly, entry, call_id));
        all.shuffle(&mut self.random);
        all
    }
}

/// Guards against innocent victims of the quarantine: retries bring a lost request to the upstreams
/// that the deadly one ends next.
#[test]
fn no_innocent_request_is_quarantined_beside_a_deadly_one() {
    for seed in 0..500 {
        let mut model = CrashModel::new(seed);
        let mut tally = CrashTally::default();
        let mut found = None;
        for number in 0..40 {
            let running = model.next_crash(DEADLY);
            found = tally.record_crash(start(), crash(number), &running);
            assert!(found.is_none_or(|f| f == DEADLY), "seed {seed}: {found:?}");
            if found.is_some() {
                break;
            }
        }
        assert_eq!(found, Some(DEADLY), "seed {seed}: not found");
    }
}

/// The same with two deadly requests that take turns.
#[test]
fn two_deadly_requests_are_both_found() {
    for seed in 0..500 {
        let mut model = CrashModel::new(seed);
        let mut tally = CrashTally::default();
        let mut found = Vec::new();
        for number in 0..100 {
            let deadly = match model.random.random_bool(0.5) {
                true => DEADLY,
                false => OTHER_DEADLY,
            };
            if found.contains(&deadly) {
                continue;
            }
            let running = model.next_crash(deadly);
            if let Some(request) = tally.record_crash(start(), crash(number), &running) {
                assert!(request.0 >= DEADLY.0, "seed {seed}: innocent {request}");
                found.push(request);
                tally.set_quarantined(start(), &found);
            }
        }
        assert_eq!(found.len(), 2, "seed {seed}");
    }
}

/// Guards against a reset, a full upstream or one lost answer that is taken for a crash.
#[test]
fn a_broken_run_alone_is_no_crash() {
    let deadly = suspect(DEADLY, 1, 1);
    let mut detector = CrashDetector::default();
    let (broken, later) = (start(), start() + Duration::from_millis(5));
    detector.on_broken(broken, deadly);
    detector.on_answered(later);
    assert_eq!(detector.on_gone(later), []);
    detector.on_broken(later, deadly);
    detector.on_answered(broken);
    assert_eq!(detector.on_gone(later), [deadly], "sent before it broke");
    assert_eq!(detector.on_gone(later), [], "reported twice");
    detector.on_broken(later, deadly);
    assert_eq!(detector.on_gone(later + Duration::from_secs(60)), []);
}

/// Guards against a report that is lost while a node has no parent.
#[test]
fn a_report_is_sent_several_times() {
    let mut reporter = CrashReporter::default();
    reporter.add(start(), CrashReport::default());
    let times = (0..200).map(|tick| start() + Duration::from_millis(100) * tick);
    let sent: usize = times.map(|now| reporter.take_due(now).len()).sum();
    assert_eq!(sent, 5);
    for _ in 0..100 {
        reporter.add(start(), CrashReport::default());
    }
    assert!(reporter.take_due(start()).len() <= 16);
}

/// Guards against requests that look alike and are told apart by what an upstream can see.
#[test]
fn a_fingerprint_covers_origin_host_and_content() {
    let base = RequestFingerprint::new("orders", "kranjc.si", 7);
    assert_eq!(base, RequestFingerprint::new("orders", "kranjc.si", 7));
    for other in [
        RequestFingerprint::new("booking", "kranjc.si", 7),
        RequestFingerprint::new("orders", "sfax.tn", 7),
        RequestFingerprint::new("orders", "kranjc.si", 8),
        RequestFingerprint::new("ordersk", "ranjc.si", 7),
    ] {
        assert_ne!(base, other);
    }
}

/// Guards against a memory of completed requests without bound, and against one that forgets what
/// was completed a moment ago.
#[test]
fn completed_requests_are_remembered_for_a_while() {
    let mut completed = CompletedRequests::default();
    for number in 1..=10_000 {
        completed.insert(RequestFingerprint(number));
    }
    assert!(completed.contains(RequestFingerprint(8_000)));
    assert!(!completed.contains(RequestFingerprint(1)));
}

/// Guards against a report that makes a control instance of an earlier release close the link: it
/// knows the message that carries the report, but not this content.
#[test]
fn a_crash_report_travels_in_a_message_that_earlier_releases_know() {
    let forward = Forward {
        request_id: 0,
        content: Some(Content::Crash(CrashReport::default())),
    };
    /// The message as an earlier release knows it.
    #[derive(Clone, PartialEq, prost::Message)]
    struct EarlierForward {
        #[prost(uint64, tag = "1")]
        request_id: u64,
    }
    let decoded = EarlierForward::decode(&forward.encode_to_vec()[..]);
    assert_eq!(decoded, Ok(EarlierForward { request_id: 0 }));
}
