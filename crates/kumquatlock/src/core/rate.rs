//! Rate of requests.

use std::fmt;
use std::time::Duration;

/// Largest rate that is represented, in requests per second. A higher one is no limit in practice.
const MAX_PER_SECOND: f64 = 1_000_000.0;
const MILLIS_PER_REQUEST: f64 = 1_000.0;

/// A number of requests per second. May be zero or a fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    /// Thousandths of a request per second.
    millis: u32,
}

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    pub const fn from_millis(millis: u32) -> Self {
        RequestRate { millis }
    }

    /// Parses a decimal number of requests per second. Returns `None` unless it is finite and not
    /// negative.
    pub fn parse(value: &str) -> Option<Self> {
        let per_second = value.trim().parse::<f64>().ok()?;
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| RequestRate {
            millis: (per_second.min(MAX_PER_SECOND) * MILLIS_PER_REQUEST) as u32,
        })
    }

    /// Returns the rate in thousandths of a request per second.
    pub fn millis(self) -> u32 {
        self.millis
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.millis) / MILLIS_PER_REQUEST
    }

    /// Returns the mean number of requests in a time.
    pub fn requests_in(self, time: Duration) -> f64 {
        self.per_second() * time.as_secs_f64()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
