//! A parent: grants to its children from its own share and from tokens of the leader.

use std::collections::VecDeque;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant, QuotaGrantItem};

use super::granter::{denial_item, grant_message};
use super::{
    AccountId, AskSession, GrantCapacity, QuotaGranter, QuotaLimits, QuotaSettings, QuotaShares,
    ReceivedTokens,
};
use crate::core::Timestamp;

/// Maximum number of waiting requests per account that a parent remembers. Those of further asks
/// are denied.
const MAX_PENDING: usize = 1_024;

/// What a voter knows at its start about earlier shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareStart {
    /// Another voter may have had its share until recently.
    #[default]
    Joining,
    /// It was one of this number of voters; the process before may have used the share until now.
    Restarted(usize),
    /// It founds its group: nobody has had a share.
    Founding,
}

/// The share of a voter.
///
/// Voters that know different voter sets must not use more than the whole together. A smaller share
/// therefore takes effect at once, and a larger one only when nobody can have a share of the earlier
/// set any more. A voter uses its share only as long as the latest proof that its configuration, and
/// with it its voter set, is current is younger than the contact life: it may have been replaced.
#[derive(Clone, Copy, Debug)]
pub struct ParentShare {
    start: ShareStart,
    started_at: Timestamp,
    /// Number of voters that share; `None` without a share.
    effective: Option<usize>,
    /// Number of voters of a set that gives a larger share, and when it was first seen.
    candidate: Option<(usize, Timestamp)>,
    proved_at: Option<Timestamp>,
}

impl ParentShare {
    /// Creates the share of a voter that starts now.
    pub fn new(now: Timestamp, start: ShareStart) -> Self {
        ParentShare {
            start,
            started_at: now,
            effective: match start {
                ShareStart::Restarted(voters) => Some(voters),
                ShareStart::Founding | ShareStart::Joining => None,
            },
            candidate: None,
            proved_at: None,
        }
    }

    /// Records the number of voters of the committed set, `None` if this instance is not one of
    /// them, and when the set was last proved to be current.
    pub fn update(
        &mut self,
        now: Timestamp,
        settings: &QuotaSettings,
        voters: Option<usize>,
        proved_at: Option<Timestamp>,
    ) {
        self.proved_at = self.proved_at.max(proved_at);
        let Some(voters) = voters else {
            if self.start == ShareStart::Founding && self.effective.is_none() {
                return;
            }
            self.start = ShareStart::Joining;
            self.effective = None;
            self.candidate = None;
            return;
        };
        let is_founder = self.start == ShareStart::Founding && self.effective.is_none();
        if is_founder || self.effective.is_some_and(|effective| effective <= voters) {
            self.effective = Some(voters);
            self.candidate = None;
            return;
        }
        let since = match self.candidate {
            Some((candidate, since)) if candidate == voters => since,
            _ => now,
        };
        self.candidate = Some((voters, since));
        if now.since(since) >= settings.takeover_time() {
            self.effective = Some(voters);
            self.candidate = None;
        }
    }

    /// Returns the number of voters that share the voters' part, or `None` if this instance has no
    /// share now.
    pub fn voters(&self, now: Timestamp, settings: &QuotaSettings) -> Option<usize> {
        let is_settled = match self.start {
            ShareStart::Restarted(_) => now.since(self.started_at) >= settings.settle_time(),
            ShareStart::Founding | ShareStart::Joining => true,
        };
        let is_current = now.since(self.proved_at?) < settings.contact_life;
        self.effective.filter(|_| is_settled && is_current)
    }
}

/// Requests at children that wait for tokens of the leader.
#[derive(Clone, Debug)]
struct PendingDemand<K> {
    holder: K,
    count: u32,
    since: Timestamp,
}

/// Quotas at a parent.
#[derive(Clone, Debug)]
pub struct QuotaParent<K> {
    settings: QuotaSettings,
    limits: Arc<QuotaLimits>,
    /// Number of nodes in the configuration.
    nodes: usize,
    share: ParentShare,
    granter: QuotaGranter<K>,
    /// Session with the leader, or with the parent of a replica.
    uplink: AskSession,
    is_connected: bool,
    /// At most [`MAX_PENDING`] for each account.
    pending: IndexMap<AccountId, VecDeque<PendingDemand<K>>>,
    /// Until when the granter above has no tokens for an account.
    denied_until: IndexMap<AccountId, Timestamp>,
    reported_at: Timestamp,
}

impl<K: Clone + Eq + Hash> QuotaParent<K> {
    /// Creates the state of a parent that has granted nothing. The seed must differ between
    /// processes.
    pub fn new(settings: QuotaSettings, share: ParentShare, seed: u64) -> Self {
        QuotaParent {
            settings,
            limits: Arc::default(),
            nodes: 0,
            share,
            granter: QuotaGranter::new(settings),
            uplink: AskSession::new(seed),
            is_connected: false,
            pending: IndexMap::new(),
            denied_until: IndexMap::new(),
            reported_at: Timestamp::default(),
        }
    }

    /// Returns the granter, for metrics.
    pub fn granter(&self) -> &QuotaGranter<K> {
        &self.granter
    }

    /// Returns the number of voters that share the voters' part, if this instance is one of them.
    pub fn share(&self, now: Timestamp) -> Option<usize> {
        self.share.voters(now, &self.settings)
    }

    /// Switches to the limits and the number of nodes of a newer configuration.
    pub fn set_limits(&mut self, limits: Arc<QuotaLimits>, nodes: usize) {
        for account in limits.lowered_since(&self.limits) {
            self.granter.return_lent(account);
        }
        self.limits = limits;
        self.nodes = nodes;
    }

    /// Records the voter set and when it was proved; see [`ParentShare::update`].
    pub fn update_share(
        &mut self,
        now: Timestamp,
        voters: Option<usize>,
        proved_at: Option<Timestamp>,
    ) {
        self.share.update(now, &self.settings, voters, proved_at);
    }

    /// Begins a session with another granter above, or ends the session with none.
    pub fn set_uplink(&mut self, is_connected: bool) {
        self.is_connected = is_connected;
        self.uplink.restart();
        self.granter.forget_lent();
        self.denied_until.clear();
    }

    /// Handles the ask of a child and returns the answer.
    pub fn on_ask(&mut self, now: Timestamp, holder: &K, ask: &QuotaAsk) -> Option<QuotaGrant> {
        if !self.granter.accept(now, holder, ask) {
            return None;
        }
        let mut items = Vec::new();
        for item in &ask.items {
            let id = AccountId(item.account);
            let granted = self.grant(now, holder, id, item.waiting, item.wanted);
            let tokens: u32 = granted.iter().map(|item| item.tokens).sum();
            items.extend(granted);
            let missing = item.waiting.saturating_sub(tokens);
            self.forget_pending(holder, id);
            if missing > 0 && !self.await_leader(now, holder, id, missing) {
                items.push(self.denial(now, id, missing));
            }
        }
        let session = self.granter.session_of(holder)?;
        Some(grant_message(session, items))
    }

    /// Handles a child that is no longer connected.
    pub fn end_session(&mut self, holder: &K) {
        self.granter.end_session(holder);
        for demands in self.pending.values_mut() {
            demands.retain(|demand| demand.holder != *holder);
        }
    }

    fn grant(
        &mut self,
        now: Timestamp,
        holder: &K,
        id: AccountId,
        waiting: u32,
        wanted: u32,
    ) -> Vec<QuotaGrantItem> {
        let capacity = self.capacity(now, id);
        self.granter
            .grant(now, holder, id, capacity, waiting, wanted)
    }

    fn capacity(&self, now: Timestamp, id: AccountId) -> GrantCapacity {
        let Some(limit) = self.limits.get(id) else {
            return GrantCapacity::Unlimited;
        };
        let voters = self.share(now);
        let voter = voters.map(|voters| QuotaShares::divide(limit, self.nodes, voters).voter);
        GrantCapacity::Tokens(voter.unwrap_or(0))
    }

    /// An ask states all that its sender is waiting for, so earlier demands are replaced.
    fn forget_pending(&mut self, holder: &K, id: AccountId) {
        if let Some(demands) = self.pending.get_mut(&id) {
            demands.retain(|demand| demand.holder != *holder);
        }
    }

    /// Lets a demand wait for tokens of the granter above. Returns whether there may be any.
    fn await_leader(&mut self, now: Timestamp, holder: &K, id: AccountId, missing: u32) -> bool {
        let is_denied = self.denied_until.get(&id).is_some_and(|until| now < *until);
        let demands = self.pending.entry(id).or_default();
        if !self.is_connected || is_denied || demands.len() >= MAX_PENDING {
            return false;
        }
        demands.push_back(PendingDemand {
            holder: holder.clone(),
            count: missing,
            since: now,
        });
        true
    }

    /// Denies tokens. Without a share, the denial says nothing about the quota.
    fn denial(&mut self, now: Timestamp, id: AccountId, missing: u32) -> QuotaGrantItem {
        let is_unavailable = self.share(now).is_none();
        let denied_for = self.denied_for(now, id, missing);
        denial_item(id, denied_for, is_unavailable)
    }

    fn denied_for(&mut self, now: Timestamp, id: AccountId, missing: u32) -> Duration {
        let own = self.granter.deny(now, id, missing);
        let above = self.denied_until.get(&id).map(|until| until.since(now));
        above
            .filter(|time| !time.is_zero())
            .map_or(own, |time| time.min(own))
    }

    /// Returns the ask for the granter above that is due, if any.
    pub fn poll(&mut self, now: Timestamp) -> Option<QuotaAsk> {
        if self.uplink.is_overdue(now) {
            self.set_uplink(self.is_connected);
        }
        if !self.is_connected || !self.uplink.may_ask(now) {
            return None;
        }
        let is_report_due = now.since(self.reported_at) >= self.settings.report_interval;
        let has_demand = self.pending.values().any(|demands| !demands.is_empty());
        let has_reports = self.granter.has_lent_reports() && is_report_due;
        if !has_demand && !has_reports {
            return None;
        }
        self.reported_at = now;
        for (account, report) in self.granter.take_lent_reports() {
            *self.uplink.report(account) = report;
        }
        let demands = self.pending.iter().map(|(account, demands)| {
            let waiting = demands.iter().map(|demand| demand.count).sum();
            // As many again, because requests at other children follow.
            (*account, waiting, waiting)
        });
        let demands = demands.filter(|(_, waiting, _)| *waiting > 0);
        Some(self.uplink.ask(now, demands))
    }

    /// Handles the answer of the granter above, and returns what the children get.
    pub fn on_grant(&mut self, now: Timestamp, grant: &QuotaGrant) -> Vec<(K, QuotaGrant)> {
        let received = self.uplink.receive(grant);
        for tokens in &received {
            let ReceivedTokens {
                account,
                tokens,
                expires_at,
                denied_for,
                ..
            } = *tokens;
            self.granter.add_lent(account, expires_at, tokens);
            if let Some(denied_for) = denied_for {
                self.denied_until.insert(account, now + denied_for);
            }
        }
        let mut answers = IndexMap::new();
        for tokens in received {
            self.serve_pending(now, tokens.account, &mut answers);
            if tokens.denied_for.is_some() {
                self.deny_pending(now, tokens.account, Timestamp(u64::MAX), &mut answers);
            }
        }
        self.build_messages(answers)
    }

    /// Denies demands that have waited for too long. Called regularly.
    pub fn on_tick(&mut self, now: Timestamp) -> Vec<(K, QuotaGrant)> {
        self.granter.tick(now);
        self.denied_until.retain(|_, until| *until > now);
        let mut answers = IndexMap::new();
        let accounts: Vec<AccountId> = self.pending.keys().copied().collect();
        for account in accounts {
            self.serve_pending(now, account, &mut answers);
            let latest = Timestamp(
                now.0
                    .saturating_sub(self.settings.max_wait.as_micros() as u64),
            );
            self.deny_pending(now, account, latest, &mut answers);
        }
        self.pending.retain(|_, demands| !demands.is_empty());
        self.build_messages(answers)
    }

    /// Grants what is there now to waiting demands, in their order.
    fn serve_pending(
        &mut self,
        now: Timestamp,
        id: AccountId,
        answers: &mut IndexMap<K, Vec<QuotaGrantItem>>,
    ) {
        let Some(mut demands) = self.pending.swap_remove(&id) else {
            return;
        };
        while let Some(demand) = demands.front_mut() {
            let items = self.grant(now, &demand.holder.clone(), id, demand.count, 0);
            let tokens: u32 = items.iter().map(|item| item.tokens).sum();
            if tokens > 0 {
                answers
                    .entry(demand.holder.clone())
                    .or_default()
                    .extend(items);
            }
            demand.count -= tokens.min(demand.count);
            if demand.count > 0 {
                break;
            }
            demands.pop_front();
        }
        self.pending.insert(id, demands);
    }

    /// Denies the demands that have waited since `latest` or before.
    fn deny_pending(
        &mut self,
        now: Timestamp,
        id: AccountId,
        latest: Timestamp,
        answers: &mut IndexMap<K, Vec<QuotaGrantItem>>,
    ) {
        while let Some(demands) = self.pending.get_mut(&id)
            && let Some(demand) = demands.front()
            && demand.since <= latest
        {
            let demand = demands.pop_front();
            let Some(demand) = demand else { return };
            let denial = self.denial(now, id, demand.count);
            answers.entry(demand.holder).or_default().push(denial);
        }
    }

    fn build_messages(&self, answers: IndexMap<K, Vec<QuotaGrantItem>>) -> Vec<(K, QuotaGrant)> {
        let answers = answers.into_iter();
        answers
            .filter_map(|(holder, items)| {
                let session = self.granter.session_of(&holder)?;
                Some((holder, grant_message(session, items)))
            })
            .collect()
    }
}

/// The leader's pool.
#[derive(Clone, Debug)]
pub struct QuotaPool<K> {
    limits: Arc<QuotaLimits>,
    nodes: usize,
    granter: QuotaGranter<K>,
    /// Before this time, tokens of an earlier leader may still be spent or count in a window.
    available_from: Timestamp,
}

impl<K: Clone + Eq + Hash> QuotaPool<K> {
    /// Creates the pool of a leader that was elected now. An earlier leader may go on granting for
    /// `step_down_time`.
    pub fn new(settings: QuotaSettings, now: Timestamp, step_down_time: Duration) -> Self {
        QuotaPool {
            limits: Arc::default(),
            nodes: 0,
            granter: QuotaGranter::new(settings),
            available_from: now + step_down_time + settings.settle_time(),
        }
    }

    /// Returns the granter, for metrics.
    pub fn granter(&self) -> &QuotaGranter<K> {
        &self.granter
    }

    /// Whether tokens are granted.
    pub fn is_available(&self, now: Timestamp) -> bool {
        now >= self.available_from
    }

    /// Switches to the limits and the number of nodes of a newer configuration.
    pub fn set_limits(&mut self, limits: Arc<QuotaLimits>, nodes: usize) {
        self.limits = limits;
        self.nodes = nodes;
    }

    /// Handles the ask of a parent and returns the answer.
    pub fn on_ask(&mut self, now: Timestamp, holder: &K, ask: &QuotaAsk) -> Option<QuotaGrant> {
        if !self.granter.accept(now, holder, ask) {
            return None;
        }
        let mut items = Vec::new();
        for item in &ask.items {
            let id = AccountId(item.account);
            let capacity = match self.limits.get(id) {
                Some(limit) if self.is_available(now) => {
                    let shares = QuotaShares::divide(limit, self.nodes, 1);
                    GrantCapacity::Tokens(shares.pool)
                }
                _ => GrantCapacity::Tokens(0),
            };
            let granted = self
                .granter
                .grant(now, holder, id, capacity, item.waiting, item.wanted);
            let tokens: u32 = granted.iter().map(|item| item.tokens).sum();
            items.extend(granted);
            let missing = item.waiting.saturating_sub(tokens);
            if missing > 0 {
                let denied_for = self.granter.deny(now, id, missing);
                items.push(denial_item(id, denied_for, !self.is_available(now)));
            }
        }
        let session = self.granter.session_of(holder)?;
        Some(grant_message(session, items))
    }

    /// Handles a parent that is no longer connected.
    pub fn end_session(&mut self, holder: &K) {
        self.granter.end_session(holder);
    }

    /// Drops what no longer counts. Called regularly.
    pub fn on_tick(&mut self, now: Timestamp) {
        self.granter.tick(now);
    }
}
