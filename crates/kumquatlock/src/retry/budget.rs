//! Token bucket for extra attempts.

use crate::core::Timestamp;

/// Tokens gained for each first attempt.
const TOKENS_PER_CALL: f64 = 0.2;
/// Minimum number of tokens gained per second, so that a node with little traffic can still retry.
/// With 10, nodes with 4 calls/s doubled their load while the service was overloaded.
const TOKENS_PER_SECOND: f64 = 2.0;
/// Tokens of a node that has just started; its first calls may reach upstreams that are starting as
/// well.
const INITIAL_TOKENS: f64 = 10.0;
/// Maximum number of tokens, which limits the burst of retries after a quiet period.
const MAX_TOKENS: f64 = 100.0;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Tokens gained for each first attempt.
    pub tokens_per_call: f64,
    /// Minimum number of tokens gained per second.
    pub tokens_per_second: f64,
    /// Maximum number of tokens.
    pub max_tokens: f64,
    /// Number of extra attempts, beyond those gained from calls, that all nodes together may make
    /// to one service in a short time. It is divided among the nodes. `None` if the limit of each
    /// node is independent of the others.
    pub shared_slack: Option<f64>,
}

/// Fraction of [`BudgetSettings::shared_slack`] that is divided among the known nodes. The rest
/// covers nodes that this one does not know of yet, and the further calls that a request makes when
/// it is run again.
const SLACK_FRACTION: f64 = 0.7;

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
    /// Divides the shared slack, if there is one, among this many nodes.
    pub fn set_node_count(&mut self, node_count: usize) {
        if let Some(slack) = self.shared_slack {
            self.max_tokens = (slack * SLACK_FRACTION / node_count.max(1) as f64).max(1.0);
        }
    }
}

/// Limits the retries and hedges that one node makes to one service. Each costs a token, or a
/// fraction of one if it is likely to add no load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Between 0 and `settings.max_tokens`.
    tokens: f64,
    /// Tokens gained from calls and not yet deducted from the minimum gain per second. Time adds
    /// only the part of that minimum that calls have not gained already. Between 0 and
    /// `settings.tokens_per_second`.
    tokens_from_calls: f64,
    updated_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget with default settings for a node that starts now.
    pub fn new(now: Timestamp) -> Self {
        RetryBudget::with_settings(BudgetSettings::default(), now)
    }

    /// Creates a budget with the given settings.
    pub fn with_settings(settings: BudgetSettings, now: Timestamp) -> Self {
        RetryBudget {
            settings,
            tokens: INITIAL_TOKENS.min(settings.max_tokens),
            tokens_from_calls: 0.0,
            updated_at: now,
        }
    }

    /// Changes the settings. Tokens above the new maximum are lost.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
        self.tokens = self.tokens.min(settings.max_tokens);
    }

    /// Records the first attempt of a call.
    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.refill(now);
        let BudgetSettings {
            tokens_per_call,
            tokens_per_second,
            ..
        } = self.settings;
        self.add_tokens(tokens_per_call);
        self.tokens_from_calls = (self.tokens_from_calls + tokens_per_call).min(tokens_per_second);
    }

    /// Takes one token if at least `reserve` tokens remain after that. Returns whether it was
    /// taken.
    pub fn try_take(&mut self, now: Timestamp, reserve: f64) -> bool {
        self.try_take_fraction(now, 1.0, reserve)
    }

    /// Like [`RetryBudget::try_take`], but takes only a fraction of a token, for an attempt that is
    /// likely to add no load.
    pub fn try_take_fraction(&mut self, now: Timestamp, fraction: f64, reserve: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= fraction + reserve;
        if enough {
            self.tokens -= fraction;
        }
        enough
    }

    /// Returns the number of available tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let minimum = elapsed * self.settings.tokens_per_second;
        let covered = minimum.min(self.tokens_from_calls);
        self.tokens_from_calls -= covered;
        self.add_tokens(minimum - covered);
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.max_tokens);
    }
}
