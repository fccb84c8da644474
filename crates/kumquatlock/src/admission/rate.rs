//! Limit of the requests per second that an upstream takes.

use std::time::Duration;

use crate::core::{RequestRate, Timestamp};

/// Time whose requests may start at once after a pause. Evens out arrivals at random intervals.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Rate at which requests still start if the upstream takes fewer or none: one in 4 s. The answer
/// shows whether the limit has ended.
const MIN_RATE: RequestRate = RequestRate::from_millis(250);

/// Token bucket of one upstream. Every request that reaches the upstream takes a token, whichever
/// entry node sent it and whether it is a first attempt, a retry or a hedge.
#[derive(Clone, Debug)]
pub(super) struct RateLimiter {
    /// At least [`MIN_RATE`].
    rate: RequestRate,
    /// Requests that may start now. Between 0 and `max_tokens`.
    tokens: f64,
    updated_at: Timestamp,
}

impl RateLimiter {
    /// Creates a limiter for an upstream that has just stated its limit. It has no tokens, because
    /// requests are already running.
    pub(super) fn new(rate: RequestRate, now: Timestamp) -> Self {
        RateLimiter {
            rate: rate.max(MIN_RATE),
            tokens: 0.0,
            updated_at: now,
        }
    }

    pub(super) fn set_rate(&mut self, now: Timestamp, rate: RequestRate) {
        self.refill(now);
        self.rate = rate.max(MIN_RATE);
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Takes a token if there is one. Returns whether it was taken.
    pub(super) fn try_take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns when a request can start that has `ahead` requests before it.
    pub(super) fn start_time(&self, now: Timestamp, ahead: usize) -> Timestamp {
        let missing = (ahead + 1) as f64 - self.tokens;
        let wait = Duration::from_secs_f64(missing.max(0.0) / self.rate.per_second());
        // Rounded up, so that the token is there at that time.
        (self.updated_at + wait + Duration::from_micros(1)).max(now)
    }

    /// Returns how many requests run at the same time at this rate if each takes `service_time`;
    /// at least 1.
    pub(super) fn concurrency(&self, service_time: Duration) -> u32 {
        (self.rate.requests_in(service_time).ceil() as u32).max(1)
    }

    fn max_tokens(&self) -> f64 {
        self.rate.requests_in(BURST_TIME).max(1.0)
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = self.rate.requests_in(now.since(self.updated_at));
        self.tokens = (self.tokens + gained).min(self.max_tokens());
        self.updated_at = self.updated_at.max(now);
    }
}
