//! Metrics of the quotas at a control instance.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::quota::QuotaState;
use crate::core::Timestamp;
use crate::quota::GranterCounters;

/// Who grants: this instance to its children, or the leader to the parents.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GranterLabel {
    granter: &'static str,
}

/// Gauges of the quotas. Those of a granter count from its start, which for the leader's pool is
/// the election.
#[derive(Debug, Default)]
pub(super) struct QuotaMetrics {
    share_voters: Gauge,
    pool_available: Gauge,
    accounts: Family<GranterLabel, Gauge>,
    sessions: Family<GranterLabel, Gauge>,
    asks: Family<GranterLabel, Gauge>,
    granted: Family<GranterLabel, Gauge>,
    denied: Family<GranterLabel, Gauge>,
}

impl QuotaMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "quota_share_voters",
            "Voters that share the voters' part of each quota; 0 without a share",
            self.share_voters.clone(),
        );
        registry.register(
            "quota_pool_available",
            "Whether this leader grants from its part of each quota",
            self.pool_available.clone(),
        );
        let mut family = |name, help, family: &Family<GranterLabel, Gauge>| {
            registry.register(name, help, family.clone());
        };
        family("quota_accounts", "Accounts in use", &self.accounts);
        family("quota_sessions", "Requesters of tokens", &self.sessions);
        family("quota_asks", "Messages of requesters", &self.asks);
        family("quota_granted", "Tokens granted", &self.granted);
        family(
            "quota_denied",
            "Tokens that requests waited for in vain",
            &self.denied,
        );
    }

    pub(super) fn update(&self, now: Timestamp, quota: &QuotaState) {
        let (parent, pool) = quota.granters();
        let now = quota.now(now);
        let share = parent.share(now).unwrap_or(0);
        self.share_voters.set(gauge_value(share as u64));
        let is_available = pool.is_some_and(|pool| pool.is_available(now));
        self.pool_available.set(is_available.into());
        let granter = parent.granter();
        self.update_granter("parent", granter.counters(), granter.sizes());
        let granter = pool.map(|pool| pool.granter());
        let counters = granter.map(|granter| granter.counters());
        let sizes = granter.map(|granter| granter.sizes());
        self.update_granter(
            "pool",
            counters.unwrap_or_default(),
            sizes.unwrap_or_default(),
        );
    }

    fn update_granter(
        &self,
        granter: &'static str,
        counters: GranterCounters,
        sizes: (usize, usize),
    ) {
        let (accounts, sessions) = sizes;
        let values = [
            (&self.accounts, accounts as u64),
            (&self.sessions, sessions as u64),
            (&self.asks, counters.asks),
            (&self.granted, counters.granted),
            (&self.denied, counters.denied),
        ];
        for (family, value) in values {
            let gauge = family.get_or_create(&GranterLabel { granter });
            gauge.set(gauge_value(value));
        }
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
