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

/// Bounds of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Tokens gained for each first attempt.
    pub tokens_per_call: f64,
    /// Tokens gained per second, at least.
    pub tokens_per_second: f64,
    /// Most tokens held.
    pub max_tokens: f64,
    /// Extra attempts beyond the share that all nodes together may make to one service in a short
    /// time; none if each node stands for itself. Divided among the nodes.
    pub shared_slack: Option<f64>,
}

/// Part of the shared slack that the nodes use. The rest covers nodes that this one does not know
/// of yet, and the calls that repeated runs make.
const SLACK_SHARE: f64 = 0.7;

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings {
            tokens_per_call: TOKENS_PER_CALL,
            tokens_per_second: TOKENS_PER_SECOND,
            max_tokens: MAX_TOKENS,
            shared_slack: None,
        }
    }
}

impl BudgetSettings {
    /// Takes over the number of nodes that share the slack.
    pub fn set_node_count(&mut self, nodes: usize) {
        if let Some(slack) = self.shared_slack {
            self.max_tokens = (slack * SLACK_SHARE / nodes.max(1) as f64).max(1.0);
        }
    }
}

/// Bounds retries and hedges of one node: one token each.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// In 0..=`settings.max_tokens`.
    tokens: f64,
    /// Tokens gained from calls that the gain per second has not yet covered. The gain per second
    /// only counts as far as calls gained less; in 0..=`settings.tokens_per_second`.
    gained_by_calls: f64,
    updated_at: Timestamp,
}

impl RetryBudget {
    /// Makes a budget for a node that starts now.
    pub fn new(now: Timestamp) -> Self {
        RetryBudget::with_settings(BudgetSettings::default(), now)
    }

    /// The same with other bounds than the default ones.
    pub fn with_settings(settings: BudgetSettings, now: Timestamp) -> Self {
        RetryBudget {
            settings,
            tokens: INITIAL_TOKENS.min(settings.max_tokens),
            gained_by_calls: 0.0,
            updated_at: now,
        }
    }

    /// Takes over other bounds. Tokens above the new bound are lost.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
        self.tokens = self.tokens.min(settings.max_tokens);
    }

    /// Counts the first attempt of a call.
    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.advance(now);
        let BudgetSettings {
            tokens_per_call,
            tokens_per_second,
            ..
        } = self.settings;
        self.gain(tokens_per_call);
        self.gained_by_calls = (self.gained_by_calls + tokens_per_call).min(tokens_per_second);
    }

    /// Takes one token if more than `reserve` would stay.
    pub fn try_take(&mut self, now: Timestamp, reserve: f64) -> bool {
        self.try_take_fraction(now, 1.0, reserve)
    }

    /// Takes a part of a token, for an attempt of which it is likely that it adds no load.
    pub fn try_take_fraction(&mut self, now: Timestamp, part: f64, reserve: f64) -> bool {
        self.advance(now);
        let enough = self.tokens >= part + reserve;
        if enough {
            self.tokens -= part;
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
        let floor = elapsed * self.settings.tokens_per_second;
        let covered = floor.min(self.gained_by_calls);
        self.gained_by_calls -= covered;
        self.gain(floor - covered);
    }

    fn gain(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.max_tokens);
    }
}
