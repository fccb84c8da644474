//! The limit of an account, and its division into shares.

use std::time::Duration;

use indexmap::IndexMap;

use super::{AccountId, MAX_ACCOUNTS};
use crate::core::{AccountQuota, SharedName};

/// Part of a limit that is divided among the nodes, in hundredths. A node that is cut off from its
/// parent can spend nothing else.
const NODE_PERCENT: u64 = 15;
/// Part of a limit that is divided among the voters, in hundredths. The rest is the leader's pool,
/// which is unavailable for some time after a change of leader, so the larger part is here.
const VOTER_PERCENT: u64 = 65;
/// Number of nodes for which allowances are reserved, in hundredths of the number that a node
/// knows: others may have joined that it does not know yet.
const NODE_MARGIN_PERCENT: u64 = 125;
/// Same for a few nodes at a time in a small mesh.
const NODE_MARGIN: u64 = 4;
/// A node uses allowances only of accounts whose part for the nodes is this number of times larger
/// than the number of nodes, and the leader uses the part itself only if it is smaller than that
/// number. The gap keeps instances that know different numbers of nodes from both using it.
const NODE_SHARE_FLOOR: u64 = 2;

/// Largest limit; more is no limit in practice, and the shares can be computed without overflow.
const MAX_LIMIT: u64 = u32::MAX as u64;

/// Settings of quotas. Nodes and control instances must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Length of the window in which requests are counted.
    pub window: Duration,
    /// How much the requests of a window may exceed the quota, in hundredths of it.
    pub overage_percent: u32,
    /// Number of requests by which those of a window may also exceed the quota.
    pub slack: u64,
    /// Time for which a granted token may be spent. Bridges the change of a parent. Not longer than
    /// the window.
    pub token_life: Duration,
    /// Time for which a parent still grants from its share without contact with the leader.
    pub contact_life: Duration,
    /// Maximum time that a request waits for a token. Several round trips to a parent in the same
    /// region, or one to another region and on to the leader.
    pub max_wait: Duration,
    /// Interval at which use is reported and tokens are requested ahead of demand.
    pub report_interval: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            window: Duration::from_secs(5),
            overage_percent: 10,
            slack: 20,
            token_life: Duration::from_secs(2),
            contact_life: Duration::from_secs(2),
            max_wait: Duration::from_millis(150),
            report_interval: Duration::from_millis(250),
        }
    }
}

impl QuotaSettings {
    /// Returns how many requests of an account may be admitted in a window.
    pub fn limit(&self, quota: &AccountQuota) -> u64 {
        // Wider than the fields, so that no quota overflows.
        let window_us = self.window.as_micros();
        let by_rate = u128::from(quota.rate_millis.get()) * window_us / 1_000_000_000;
        let allowed = by_rate + u128::from(quota.burst);
        let allowed = allowed * u128::from(100 + self.overage_percent) / 100;
        let allowed = u64::try_from(allowed).unwrap_or(u64::MAX);
        allowed.saturating_add(self.slack).min(MAX_LIMIT)
    }

    /// Returns the time after which a token that was granted at most now can no longer count in a
    /// window.
    pub fn settle_time(&self) -> Duration {
        self.token_life + self.window
    }

    /// Returns the time after which a former holder of a share can no longer spend from it, and
    /// what it spent no longer counts.
    pub fn takeover_time(&self) -> Duration {
        self.contact_life + self.settle_time()
    }
}

/// Division of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaShares {
    /// Requests that each node admits in a window without asking.
    pub node: u64,
    /// Tokens that each voter grants in a window.
    pub voter: u64,
    /// Tokens that the leader grants in a window.
    pub pool: u64,
}

impl QuotaShares {
    /// Divides a limit. The sum over all nodes, voters and the leader is at most the limit.
    pub fn divide(limit: u64, nodes: usize, voters: usize) -> Self {
        let nodes = nodes as u64 * NODE_MARGIN_PERCENT / 100 + NODE_MARGIN;
        let voters = voters.max(1) as u64;
        let for_nodes = limit * NODE_PERCENT / 100;
        let node = match for_nodes >= NODE_SHARE_FLOOR * nodes {
            true => for_nodes / nodes,
            false => 0,
        };
        let reserved = if for_nodes < nodes { 0 } else { for_nodes };
        let for_voters = limit * VOTER_PERCENT / 100;
        QuotaShares {
            node,
            voter: for_voters / voters,
            // The same for every number of voters, which may change before all know it.
            pool: limit - reserved - for_voters,
        }
    }
}

#[derive(Clone, Debug)]
struct AccountLimit {
    name: SharedName,
    limit: u64,
}

/// Limits of all accounts that have a quota.
#[derive(Clone, Debug, Default)]
pub struct QuotaLimits {
    /// At most [`MAX_ACCOUNTS`].
    limits: IndexMap<AccountId, AccountLimit>,
}

impl QuotaLimits {
    /// Collects the limits of the accounts. Accounts beyond the maximum number get no limit.
    pub fn collect(
        settings: &QuotaSettings,
        quotas: impl Iterator<Item = (SharedName, AccountQuota)>,
    ) -> Self {
        let limits = quotas.map(|(name, quota)| {
            let limit = settings.limit(&quota);
            (AccountId::of(&name), AccountLimit { name, limit })
        });
        QuotaLimits {
            limits: limits.take(MAX_ACCOUNTS).collect(),
        }
    }

    /// Returns the limit of an account, or `None` if it has none.
    pub fn get(&self, account: AccountId) -> Option<u64> {
        self.limits.get(&account).map(|account| account.limit)
    }

    /// Returns the name of an account that has a limit.
    pub fn name(&self, account: AccountId) -> Option<&SharedName> {
        self.limits.get(&account).map(|account| &account.name)
    }

    /// Returns whether no account has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the accounts whose limit is lower than in `earlier`, or which had none.
    pub fn lowered_since<'a>(
        &'a self,
        earlier: &'a QuotaLimits,
    ) -> impl Iterator<Item = AccountId> + 'a {
        let limits = self.limits.iter();
        limits
            .filter(|(id, account)| earlier.get(**id).is_none_or(|old| old > account.limit))
            .map(|(account, _)| *account)
    }
}
