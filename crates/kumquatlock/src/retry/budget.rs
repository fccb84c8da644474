//! Budget for extra arrivals.
//!
//! An *extra arrival* is the arrival of a request at an upstream of a service beyond the first one of
//! that request, whether the upstream rejects it or not: a retry, a hedge, a duplicate beside a
//! silent node, or a call that is made by a run which was itself an extra arrival. Attempts that are
//! known not to have reached an upstream are not arrivals. Requests of clients for the service earn
//! tokens, and nothing else does: calls of upstreams grow with the runs above them, so what they
//! would earn could be spent on the very repetitions that cause them.

use strum::EnumCount;

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

/// Lowest number of tokens after calls of repeated runs were charged. A larger debt would still
/// refuse retries when the calls that caused it no longer count.
const MAX_DEBT: f64 = 50.0;
/// Fraction of the maximum number of tokens that a call leaves for calls of the next lower rank.
const RESERVE_PER_RANK: f64 = 0.1;
/// Ranks above this one leave no more tokens than this one.
const MAX_RESERVED_RANK: u32 = 5;

/// Why a request arrives at upstreams of a service once more.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ExtraReason {
    /// An earlier attempt has failed.
    Retry,
    /// The first attempt of a lookup is late.
    Hedge,
    /// The node that has an earlier attempt is silent.
    Duplicate,
    /// The run that makes the call was an extra arrival itself.
    RepeatedRun,
}

/// Extra arrivals by [`ExtraReason`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExtraCounters {
    /// Tokens taken. Fractions add up, because the share of a call that counts as extra is known
    /// only in the mean.
    pub taken: [f64; ExtraReason::COUNT],
    /// Attempts that the budget refused.
    pub refused: [u64; ExtraReason::COUNT],
}

impl ExtraCounters {
    /// Adds the counters of another budget.
    pub fn add(&mut self, other: &ExtraCounters) {
        for (sum, taken) in self.taken.iter_mut().zip(other.taken) {
            *sum += taken;
        }
        for (sum, refused) in self.refused.iter_mut().zip(other.refused) {
            *sum += refused;
        }
    }
}

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

/// Limits the extra arrivals that one node causes at one service. Each costs a token, or a fraction of
/// one if it arrives only with some probability.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Between `-MAX_DEBT` and `settings.max_tokens`, and not raised above what clients' requests
    /// have earned. Over any span, a node causes at most `settings.max_tokens` extra arrivals, plus
    /// `settings.tokens_per_call` for each request of a client in it, plus `tokens_per_second`.
    /// Summed over the nodes, of which each has its part of the shared slack, this is at most the
    /// ratio times the clients' requests for the service, plus the slack. Only calls of runs that
    /// were extra arrivals may exceed it, by the debt; while there is one, the node refuses to run
    /// further extra arrivals.
    tokens: f64,
    counters: ExtraCounters,
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
            counters: ExtraCounters::default(),
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

    /// Takes the tokens of one extra arrival if at least `reserve` tokens remain after that. Returns
    /// whether they were taken. `cost` is the probability that it arrives.
    pub fn try_take(
        &mut self,
        now: Timestamp,
        reason: ExtraReason,
        cost: f64,
        reserve: f64,
    ) -> bool {
        self.refill(now);
        let is_enough = self.tokens >= cost + reserve;
        if is_enough {
            self.tokens -= cost;
            self.counters.taken[reason as usize] += cost;
        } else {
            self.counters.refused[reason as usize] += 1;
        }
        is_enough
    }

    /// Charges a call of a run that was an extra arrival with this probability. The call is made in
    /// any case: without it the work of the run would be lost.
    pub fn charge_repeated_run(&mut self, now: Timestamp, cost: f64) {
        self.refill(now);
        self.tokens = (self.tokens - cost).max(-MAX_DEBT);
        self.counters.taken[ExtraReason::RepeatedRun as usize] += cost;
    }

    /// Whether calls of repeated runs have cost more than was available.
    pub fn is_in_debt(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.tokens < 0.0
    }

    /// Returns the tokens that a call of this rank leaves for more urgent ones.
    pub fn reserve_for(&self, rank: u32) -> f64 {
        let max_tokens = self.settings.max_tokens;
        let reserve = max_tokens * RESERVE_PER_RANK * f64::from(rank.min(MAX_RESERVED_RANK));
        reserve.min(max_tokens - 1.0).max(0.0)
    }

    /// Returns the counters since the budget was created.
    pub fn counters(&self) -> ExtraCounters {
        self.counters
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
