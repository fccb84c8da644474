//! Settings for the calls that enter at a node.

use std::time::Duration;

use crate::account::KeyHeader;
use crate::call::API_KEY_HEADER;
use crate::core::SharedName;
use crate::retry::{BudgetScope, BudgetSettings};

/// Covers a restart of a service's only upstream. With a longer wait, callers would only pile up.
const UPSTREAM_WAIT: Duration = Duration::from_secs(2);

/// Settings for the calls that enter at a node.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Maximum number of deferred calls in progress. They may wait for an hour and must leave room
    /// for other calls.
    pub max_deferred_calls: usize,
    /// Maximum wait for a configuration that contains an upstream for the call.
    pub upstream_wait: Duration,
    /// Maximum time that a caller may wait. Claims are kept for the same time.
    pub longest_timeout: Duration,
    /// Maximum time spent on finding the outcome of a lost attempt; the caller's deadline also
    /// applies.
    pub search_limit: Duration,
    /// Whether a lookup that is slow to answer gets a second attempt.
    pub hedging_enabled: bool,
    /// Limits on the additional attempts of each service.
    pub budget: BudgetSettings,
    /// Which attempts are charged to the retry budget.
    pub scope: BudgetScope,
    /// Service beside this node; sent to upstreams as the origin of calls.
    pub origin: SharedName,
    /// Time within which an API key that was taken away must stop; `None` for no limit.
    pub revocation_limit: Option<Duration>,
    /// Header with the API key of the caller's account; `None` if callers can't send one.
    pub api_key: Option<KeyHeader>,
}

impl EntrySettings {
    /// Returns the default settings with the given limit on deferred calls.
    pub fn new(max_deferred_calls: usize) -> Self {
        EntrySettings {
            max_deferred_calls,
            upstream_wait: UPSTREAM_WAIT,
            longest_timeout: crate::call::MAX_TIMEOUT,
            search_limit: crate::call::MAX_TIMEOUT,
            hedging_enabled: true,
            budget: BudgetSettings::default(),
            scope: BudgetScope::default(),
            origin: SharedName::default(),
            revocation_limit: None,
            api_key: Some(API_KEY_HEADER),
        }
    }
}
