//! Closed-loop load generator: each caller waits for a response before it sends its next request.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::caller::{HttpCaller, HttpRequest};

/// Maximum latency that the histogram can record, in microseconds. This is the longest allowed
/// `Request-Timeout-Ms`.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Significant digits of the histogram; 3 digits limit the error of a percentile to 0.1%.
const HISTOGRAM_DIGITS: u8 = 3;

/// Maximum number of threads of one run.
pub const MAX_LOAD_THREADS: usize = 256;

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses to call; thread `n` calls `targets[n % targets.len()]`.
    pub targets: Vec<SocketAddr>,
    /// Number of callers, each with one call in flight; at most [`MAX_LOAD_THREADS`].
    pub threads: usize,
    /// Time after which a thread starts no further call.
    pub duration: Duration,
    /// Number of calls after which a thread stops.
    pub max_calls_per_thread: u64,
}

/// Result of a load run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latencies of complete responses in microseconds. In a closed loop, a slow response delays
    /// the next request, so the percentiles hold for this number of callers and not for a fixed
    /// request rate.
    pub latency: Histogram<u64>,
    /// Number of responses by status code and `kumquatlock-outcome` header.
    pub responses: IndexMap<(u16, Option<String>), u64>,
    /// Number of calls without a complete response.
    pub failures: u64,
    /// Time from the start of the run until the last call has ended.
    pub elapsed: Duration,
}

impl LoadReport {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS);
        LoadReport {
            latency: latency.expect("the histogram bounds are valid"),
            responses: IndexMap::new(),
            failures: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Returns the number of calls made.
    pub fn calls(&self) -> u64 {
        self.failures + self.responses.values().sum::<u64>()
    }

    /// Returns the number of responses with this status code.
    pub fn responses_with(&self, status: u16) -> u64 {
        let matching = self.responses.iter().filter(|(key, _)| key.0 == status);
        matching.map(|(_, count)| count).sum()
    }

    /// Returns the calls per second.
    pub fn rate(&self) -> f64 {
        self.calls() as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    fn merge(&mut self, other: LoadReport) {
        let addition = self.latency.add(other.latency);
        addition.expect("both histograms have the same bounds");
        for (key, count) in other.responses {
            *self.responses.entry(key).or_default() += count;
        }
        self.failures += other.failures;
    }
}

/// Runs callers in a closed loop. `build_request` builds the request for a thread number and the
/// number of the call within that thread.
///
/// # Panics
///
/// Panics if there is no target or the number of threads is outside 1..=[`MAX_LOAD_THREADS`].
pub fn run_closed_loop<F>(options: &LoadOptions, build_request: F) -> LoadReport
where
    F: Fn(usize, u64) -> HttpRequest + Sync,
{
    assert!(
        !options.targets.is_empty(),
        "a load run needs at least one target"
    );
    assert!(
        (1..=MAX_LOAD_THREADS).contains(&options.threads),
        "the number of threads of a load run must be 1..={MAX_LOAD_THREADS}"
    );
    let started = Instant::now();
    let mut report = LoadReport::new();
    thread::scope(|scope| {
        let build_request = &build_request;
        let callers: Vec<_> = (0..options.threads)
            .map(|thread| scope.spawn(move || run_caller(options, thread, started, build_request)))
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
    build_request: &impl Fn(usize, u64) -> HttpRequest,
) -> LoadReport {
    let caller = HttpCaller::new(options.targets[thread % options.targets.len()]);
    let mut report = LoadReport::new();
    for call in 0..options.max_calls_per_thread {
        if started.elapsed() >= options.duration {
            break;
        }
        match caller.send(&build_request(thread, call)) {
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
