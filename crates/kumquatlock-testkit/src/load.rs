//! A closed-loop load generator.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::caller::{HttpCaller, HttpRequest};

/// Longest latency that the histogram tells apart, in microseconds: the longest allowed
/// `Request-Timeout-Ms`.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Significant digits of the histogram; 3 keep the error of a percentile at 0.1%.
const HISTOGRAM_DIGITS: u8 = 3;

/// Bound on the number of threads of one run.
pub const MAX_LOAD_THREADS: usize = 256;

/// Size of a run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses to call; thread n uses the address n modulo their number.
    pub targets: Vec<SocketAddr>,
    /// Callers that each have one call in flight, at most [`MAX_LOAD_THREADS`].
    pub threads: usize,
    /// A thread starts no further call after this time.
    pub duration: Duration,
    /// A thread stops after this number of calls.
    pub max_calls_per_thread: u64,
}

/// What came back of a run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Durations of complete answers in microseconds. A closed loop waits for a slow answer
    /// before it sends the next request, so the percentiles hold for this number of callers and
    /// not for a fixed rate.
    pub latency: Histogram<u64>,
    /// Answers by status and outcome word.
    pub responses: IndexMap<(u16, Option<String>), u64>,
    /// Calls without a complete answer.
    pub failures: u64,
    /// Time from the first to the last call.
    pub elapsed: Duration,
}

impl LoadReport {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS);
        LoadReport {
            latency: latency.expect("the bounds are valid"),
            responses: IndexMap::new(),
            failures: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Calls that were made.
    pub fn calls(&self) -> u64 {
        self.failures + self.responses.values().sum::<u64>()
    }

    /// Answers with this status.
    pub fn responses_with(&self, status: u16) -> u64 {
        let matching = self.responses.iter().filter(|(key, _)| key.0 == status);
        matching.map(|(_, count)| count).sum()
    }

    /// Calls per second.
    pub fn rate(&self) -> f64 {
        self.calls() as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    fn merge(&mut self, other: LoadReport) {
        let added = self.latency.add(other.latency);
        added.expect("both histograms have the same bounds");
        for (key, count) in other.responses {
            *self.responses.entry(key).or_default() += count;
        }
        self.failures += other.failures;
    }
}

/// Runs callers in a closed loop. `plan` makes the request for a thread and its call number.
///
/// # Panics
///
/// Panics if there is no target or the number of threads is outside of 1..=[`MAX_LOAD_THREADS`].
pub fn run_closed_loop<F>(options: &LoadOptions, plan: F) -> LoadReport
where
    F: Fn(usize, u64) -> HttpRequest + Sync,
{
    assert!(!options.targets.is_empty(), "a load run needs a target");
    assert!(
        (1..=MAX_LOAD_THREADS).contains(&options.threads),
        "a load run has 1..={MAX_LOAD_THREADS} threads"
    );
    let started = Instant::now();
    let mut report = LoadReport::new();
    thread::scope(|scope| {
        let plan = &plan;
        let callers: Vec<_> = (0..options.threads)
            .map(|thread| scope.spawn(move || run_caller(options, thread, started, plan)))
            .collect();
        for caller in callers {
            report.merge(caller.join().expect("a caller thread panicked"));
        }
    });
    report.elapsed = started.elapsed();
    report
}

fn run_caller(
    options: &LoadOptions,
    thread: usize,
    started: Instant,
    plan: &impl Fn(usize, u64) -> HttpRequest,
) -> LoadReport {
    let caller = HttpCaller::new(options.targets[thread % options.targets.len()]);
    let mut report = LoadReport::new();
    for call in 0..options.max_calls_per_thread {
        if started.elapsed() >= options.duration {
            break;
        }
        match caller.send(&plan(thread, call)) {
            Ok(response) => {
                let micros = u64::try_from(response.duration.as_micros()).unwrap_or(u64::MAX);
                report.latency.saturating_record(micros.max(1));
                let key = (response.status, response.outcome);
                *report.responses.entry(key).or_default() += 1;
            }
            Err(_) => report.failures += 1,
        }
    }
    report
}
