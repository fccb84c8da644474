//! Token bucket for extra attempts.

use crate::core::Timestamp;

/// Tokens gained for each first attempt.
const TOKENS_PER_CALL: f64 = 0.2;
/// Tokens gained per second, at least, so that a node with little traffic can still retry. With
/// 10, nodes of 4 calls/s doubled their load while the service was overloaded.
const TOKENS_PER_SECOND: f64 = 2.0;
/// Tokens of a node that starts; its first calls may meet upstreams that are starting as well.
const INITIAL_TOKENS: f64 = 10.0;
/// Most tokens held: bounds the burst of retries after a quiet time.
const MAX_TOKENS: f64 = 100.0;

/// Bounds retries and hedges of one node: one token each.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// In 0..=`MAX_TOKENS`.
    tokens: f64,
    /// Tokens gained from calls that the gain per second has not yet covered. The gain per second
    /// only counts as far as calls gained less; in 0..=`TOKENS_PER_SECOND`.
    gained_by_calls: f64,
    updated_at: Timestamp,
}

impl RetryBudget {
    /// Makes a budget for a node that starts now.
    pub fn new(now: Timestamp) -> Self {
        RetryBudget {
            tokens: INITIAL_TOKENS,
            gained_by_calls: 0.0,
            updated_at: now,
        }
    }

    /// Counts the first attempt of a call.
    pub fn first_attempt(&mut self, now: Timestamp) {
        self.advance(now);
        self.gain(TOKENS_PER_CALL);
        self.gained_by_calls = (self.gained_by_calls + TOKENS_PER_CALL).min(TOKENS_PER_SECOND);
    }

    /// Takes one token if more than `reserve` would stay.
    pub fn take(&mut self, now: Timestamp, reserve: f64) -> bool {
        self.advance(now);
        let enough = self.tokens >= 1.0 + reserve;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Tokens held.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let floor = elapsed * TOKENS_PER_SECOND;
        let covered = floor.min(self.gained_by_calls);
        self.gained_by_calls -= covered;
        self.gain(floor - covered);
    }

    fn gain(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(MAX_TOKENS);
    }
}
