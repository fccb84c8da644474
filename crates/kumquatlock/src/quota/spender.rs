//! The quotas at a node, which decides on each request of an account.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant};

use super::{
    AccountId, AskSession, HeldTokens, QuotaLimits, QuotaSettings, QuotaShares, ReceivedTokens,
    WindowLedger,
};
use crate::core::Timestamp;

/// Time of demand for which tokens are requested ahead.
const PREFETCH: Duration = Duration::from_secs(1);
/// Weight of the latest report interval in the average demand.
const DEMAND_WEIGHT: f64 = 0.2;
/// Average demand in [`PREFETCH`] below which no token is requested ahead. Accounts with little
/// demand at many nodes would otherwise bind a token at each of them.
const MIN_PREFETCH: f64 = 0.2;
/// Demand below this is forgotten, so that accounts without requests leave the table.
const NEGLIGIBLE_DEMAND: f64 = 0.01;
/// Time after which a request should try again if the node has no parent that it could ask.
const UNATTACHED_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of requests of an account that wait for a token.
const MAX_WAITING: usize = 256;

/// A token that admitted a request. Given back with [`QuotaSpender::refund`] if the request did not
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToken {
    account: AccountId,
    source: TokenSource,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenSource {
    /// The node's own allowance, spent at this time.
    Allowance { spent_at: Timestamp },
    /// A token that was granted in this session and expires at this time.
    Granted { session: u64, expires_at: Timestamp },
}

/// What happens to a request of an account that has a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It may run.
    Admit(QuotaToken),
    /// It waits for a token until this time at the latest; see [`SpenderEvent`].
    Wait {
        /// When to call [`QuotaSpender::expire`].
        until: Timestamp,
    },
    /// The account has used its quota. There is no token for this time.
    OverQuota {
        /// Time after which there may be a token.
        retry_after: Duration,
    },
    /// The node has no token, and no parent that could grant one.
    Unavailable {
        /// Time after which there may be one.
        retry_after: Duration,
    },
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpenderEvent {
    /// It may run.
    Admit {
        /// The waiting request.
        waiter: u64,
        /// Its token.
        token: QuotaToken,
    },
    /// The account has used its quota.
    OverQuota {
        /// The waiting request.
        waiter: u64,
        /// Time after which there may be a token.
        retry_after: Duration,
    },
    /// There is nothing to grant from.
    Unavailable {
        /// The waiting request.
        waiter: u64,
    },
}

/// Counters of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpenderCounters {
    /// Requests admitted from the node's own allowance.
    pub from_allowance: u64,
    /// Requests admitted with a granted token that was there.
    pub from_held: u64,
    /// Requests admitted after a wait for a token.
    pub after_wait: u64,
    /// Requests refused because the account has used its quota.
    pub over_quota: u64,
    /// Requests refused because no token came in time, or the node has no parent.
    pub without_token: u64,
    /// Admitted requests that did not run, whose token was given back.
    pub refunded: u64,
    /// Asks sent to the parent.
    pub asks: u64,
    /// Tokens that expired unused.
    pub expired: u64,
}

/// State of one account at the node.
#[derive(Clone, Debug, Default)]
struct SpentAccount {
    /// Requests admitted from the allowance. In each window at most the allowance.
    allowance: WindowLedger,
    /// Tokens of the current session.
    held: HeldTokens,
    /// Tokens of earlier sessions. They may be spent but not reported.
    orphans: HeldTokens,
    /// Requests that wait for a token, the oldest first. At most [`MAX_WAITING`].
    waiting: VecDeque<u64>,
    /// Until when the parent has no tokens.
    denied_until: Option<Timestamp>,
    /// Whether the parent has none because it has nothing to grant from.
    is_unavailable: bool,
    /// Requests since the last report that the allowance did not cover.
    demand: u32,
    /// Average of `demand` in [`PREFETCH`].
    average: f64,
    /// When a request was last refused, if that is less than a window ago. Logged when it begins
    /// and ends.
    refused_at: Option<Timestamp>,
}

/// Decides on the requests that enter at one node.
///
/// The node admits a request only with a token. In each window it spends at most its allowance from
/// its own, and other tokens only until their expiry.
#[derive(Clone, Debug)]
pub struct QuotaSpender {
    settings: QuotaSettings,
    limits: Arc<QuotaLimits>,
    /// Number of nodes in the configuration.
    nodes: usize,
    /// From when the allowance may be used: a window after the start, because the process before
    /// may have used it up.
    allowance_from: Timestamp,
    session: AskSession,
    is_attached: bool,
    /// Only accounts with a limit; accounts in no use are dropped.
    accounts: IndexMap<AccountId, SpentAccount>,
    /// Accounts with waiting requests that are not in the latest ask.
    urgent: IndexSet<AccountId>,
    reported_at: Timestamp,
    counters: SpenderCounters,
}

impl QuotaSpender {
    /// Creates the state of a node that starts now. The seed must differ between processes.
    pub fn new(settings: QuotaSettings, now: Timestamp, seed: u64) -> Self {
        QuotaSpender {
            settings,
            limits: Arc::default(),
            nodes: 0,
            allowance_from: now + settings.window,
            session: AskSession::new(seed),
            is_attached: false,
            accounts: IndexMap::new(),
            urgent: IndexSet::new(),
            reported_at: now,
            counters: SpenderCounters::default(),
        }
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> SpenderCounters {
        self.counters
    }

    /// Returns the number of accounts in use and of tokens held.
    pub fn sizes(&self) -> (usize, u64) {
        let held = self.accounts.values();
        let held = held.map(|account| u64::from(account.held.count() + account.orphans.count()));
        (self.accounts.len(), held.sum())
    }

    /// Switches to the limits and the number of nodes of a newer configuration. Tokens of accounts
    /// with a lower limit are given back.
    pub fn set_limits(&mut self, limits: Arc<QuotaLimits>, nodes: usize) {
        for id in limits.lowered_since(&self.limits) {
            if let Some(account) = self.accounts.get_mut(&id) {
                account.orphans = HeldTokens::default();
                let returned = std::mem::take(&mut account.held).count();
                if returned > 0 {
                    self.session.report(id).returned += returned;
                }
            }
        }
        self.accounts
            .retain(|id, account| limits.get(*id).is_some() || !account.waiting.is_empty());
        self.limits = limits;
        self.nodes = nodes;
    }

    /// Handles the attachment to a parent, or its loss.
    pub fn set_attached(&mut self, is_attached: bool) {
        self.is_attached = is_attached;
        self.session.restart();
        self.urgent.clear();
        for (id, account) in &mut self.accounts {
            account.orphans.merge(std::mem::take(&mut account.held));
            account.denied_until = None;
            if !account.waiting.is_empty() {
                self.urgent.insert(*id);
            }
        }
    }

    /// Decides on a request. `waiter` names it if it has to wait. Returns `None` if the account has
    /// no quota.
    pub fn spend(&mut self, now: Timestamp, id: AccountId, waiter: u64) -> Option<QuotaDecision> {
        let limit = self.limits.get(id)?;
        let shares = QuotaShares::divide(limit, self.nodes, 1);
        let account = self.accounts.entry(id).or_default();
        if now >= self.allowance_from && account.allowance.spent(now) < shares.node {
            account.allowance.spend(now, 1, self.settings.window);
            self.counters.from_allowance += 1;
            let source = TokenSource::Allowance { spent_at: now };
            return Some(QuotaDecision::Admit(QuotaToken {
                account: id,
                source,
            }));
        }
        account.demand += 1;
        self.counters.expired += account.drop_expired(now);
        if let Some(source) = account.take_token(&mut self.session, id) {
            self.counters.from_held += 1;
            return Some(QuotaDecision::Admit(QuotaToken {
                account: id,
                source,
            }));
        }
        Some(self.refuse_or_wait(now, id, waiter))
    }

    fn refuse_or_wait(&mut self, now: Timestamp, id: AccountId, waiter: u64) -> QuotaDecision {
        if !self.is_attached {
            self.counters.without_token += 1;
            let retry_after = UNATTACHED_DELAY;
            return QuotaDecision::Unavailable { retry_after };
        }
        let account = self.accounts.entry(id).or_default();
        let denied_for = account.denied_until.map(|until| until.since(now));
        let denied_for = denied_for.filter(|time| !time.is_zero());
        let is_full = account.waiting.len() >= MAX_WAITING;
        if let Some(retry_after) = denied_for.filter(|_| account.is_unavailable) {
            self.counters.without_token += 1;
            return QuotaDecision::Unavailable { retry_after };
        }
        if denied_for.is_some() || is_full {
            self.counters.over_quota += 1;
            self.record_refusal(now, id);
            let retry_after = denied_for.unwrap_or(self.settings.max_wait);
            return QuotaDecision::OverQuota { retry_after };
        }
        account.waiting.push_back(waiter);
        self.urgent.insert(id);
        QuotaDecision::Wait {
            until: now + self.settings.max_wait,
        }
    }

    fn record_refusal(&mut self, now: Timestamp, id: AccountId) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        if account.refused_at.replace(now).is_none() {
            let name = self.limits.name(id).map_or("", |name| name);
            let limit = self.limits.get(id).unwrap_or_default();
            log::info!(account = name, limit; "quota_exceeded");
        }
    }

    /// Ends the wait of a request that got no token in time.
    pub fn expire(&mut self, id: AccountId, waiter: u64) {
        self.forget(id, waiter);
        self.counters.without_token += 1;
    }

    /// Ends the wait of a request that no longer needs a token.
    pub fn forget(&mut self, id: AccountId, waiter: u64) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.waiting.retain(|waiting| *waiting != waiter);
        }
    }

    /// Gives back the token of a request that did not run and never will.
    pub fn refund(&mut self, now: Timestamp, token: QuotaToken) {
        let Some(account) = self.accounts.get_mut(&token.account) else {
            return;
        };
        match token.source {
            TokenSource::Allowance { spent_at } if now.since(spent_at) < self.settings.window => {
                account.allowance.refund(1);
            }
            TokenSource::Granted {
                session,
                expires_at,
            } if session == self.session.id() && now < expires_at => {
                self.session.report(token.account).refunded += 1;
            }
            _ => return,
        }
        self.counters.refunded += 1;
    }

    /// Returns the ask for the parent that is due, if any. At most one is unanswered at a time.
    pub fn poll(&mut self, now: Timestamp) -> Option<QuotaAsk> {
        if !self.is_attached {
            return None;
        }
        if self.session.is_overdue(now) {
            self.set_attached(true);
        }
        let is_report_due = now.since(self.reported_at) >= self.settings.report_interval;
        if (self.urgent.is_empty() && !is_report_due) || !self.session.may_ask(now) {
            return None;
        }
        let mut wanted = IndexMap::new();
        if is_report_due {
            self.reported_at = now;
            wanted = self.update_demand(now);
        }
        if self.urgent.is_empty() && wanted.is_empty() && !self.session.has_reports() {
            return None;
        }
        self.urgent.clear();
        self.counters.asks += 1;
        let accounts = &self.accounts;
        let waiting = accounts
            .iter()
            .filter(|(_, account)| !account.waiting.is_empty());
        let mut demands: IndexMap<AccountId, (u32, u32)> = waiting
            .map(|(id, account)| (*id, (account.waiting.len() as u32, 0)))
            .collect();
        for (id, wanted) in wanted {
            demands.entry(id).or_default().1 = wanted;
        }
        let demands = demands.into_iter();
        let demands = demands.map(|(id, (waiting, wanted))| (id, waiting, wanted));
        Some(self.session.ask(now, demands))
    }

    /// Returns when to call [`QuotaSpender::poll`] for waiting requests. Reports need no wakeup of
    /// their own.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let is_needed = self.is_attached && !self.urgent.is_empty();
        is_needed.then(|| self.session.next_ask()).flatten()
    }

    /// Updates the average demand of each account, and returns the tokens to request ahead. Gives
    /// back tokens that would expire before the next reports, and drops accounts in no use.
    fn update_demand(&mut self, now: Timestamp) -> IndexMap<AccountId, u32> {
        let per_prefetch = PREFETCH.as_secs_f64() / self.settings.report_interval.as_secs_f64();
        let soon = now + 2 * self.settings.report_interval;
        let mut wanted = IndexMap::new();
        for (id, account) in &mut self.accounts {
            self.counters.expired += account.drop_expired(now);
            let unused = account.held.take_expired(soon).count();
            if unused > 0 {
                self.session.report(*id).returned += unused;
            }
            let demand = f64::from(std::mem::take(&mut account.demand)) * per_prefetch;
            account.average += DEMAND_WEIGHT * (demand - account.average);
            let refused_at = account.refused_at;
            if refused_at.is_some_and(|at| now.since(at) >= self.settings.window) {
                account.refused_at = None;
                let name = self.limits.name(*id).map_or("", |name| name);
                log::info!(account = name; "quota_kept");
            }
            if account.average < NEGLIGIBLE_DEMAND {
                account.average = 0.0;
            }
            if account.average >= MIN_PREFETCH && account.denied_until.is_none_or(|at| at <= now) {
                let held = account.held.count() + account.orphans.count();
                let missing = (account.average.ceil() as u32).saturating_sub(held);
                if missing > 0 {
                    wanted.insert(*id, missing);
                }
            }
        }
        self.accounts.retain(|_, account| !account.is_idle(now));
        wanted
    }

    /// Handles the answer of the parent, and returns what becomes of waiting requests.
    pub fn on_grant(&mut self, now: Timestamp, grant: &QuotaGrant) -> Vec<SpenderEvent> {
        let mut events = Vec::new();
        for received in self.session.receive(grant) {
            self.add_tokens(now, received, &mut events);
        }
        events
    }

    fn add_tokens(
        &mut self,
        now: Timestamp,
        received: ReceivedTokens,
        events: &mut Vec<SpenderEvent>,
    ) {
        let id = received.account;
        let account = self.accounts.entry(id).or_default();
        account.held.add(received.expires_at, received.tokens);
        account.drop_expired(now);
        while let Some(waiter) = account.waiting.front().copied()
            && let Some(source) = account.take_token(&mut self.session, id)
        {
            account.waiting.pop_front();
            self.counters.after_wait += 1;
            let token = QuotaToken {
                account: id,
                source,
            };
            events.push(SpenderEvent::Admit { waiter, token });
        }
        if let Some(retry_after) = received.denied_for {
            account.denied_until = Some(now + retry_after);
            account.is_unavailable = received.is_unavailable;
            let waiting = std::mem::take(&mut account.waiting);
            if received.is_unavailable {
                self.counters.without_token += waiting.len() as u64;
                let waiting = waiting.into_iter();
                events.extend(waiting.map(|waiter| SpenderEvent::Unavailable { waiter }));
                return;
            }
            for waiter in waiting {
                self.counters.over_quota += 1;
                events.push(SpenderEvent::OverQuota {
                    waiter,
                    retry_after,
                });
            }
            self.record_refusal(now, id);
        }
    }
}

impl SpentAccount {
    /// Takes the token that expires first. Tokens of earlier sessions come first.
    fn take_token(&mut self, session: &mut AskSession, id: AccountId) -> Option<TokenSource> {
        if let Some((expires_at, _)) = self.orphans.take(1).batches().next() {
            // No session has this id, so the token is never reported.
            let session = 0;
            return Some(TokenSource::Granted {
                session,
                expires_at,
            });
        }
        let (expires_at, _) = self.held.take(1).batches().next()?;
        session.report(id).spent += 1;
        Some(TokenSource::Granted {
            session: session.id(),
            expires_at,
        })
    }

    fn drop_expired(&mut self, now: Timestamp) -> u64 {
        let expired = self.held.take_expired(now).count() + self.orphans.take_expired(now).count();
        u64::from(expired)
    }

    fn is_idle(&mut self, now: Timestamp) -> bool {
        self.allowance.spent(now) == 0
            && self.held.is_empty()
            && self.orphans.is_empty()
            && self.waiting.is_empty()
            && self.average == 0.0
            && self.refused_at.is_none()
            && self.denied_until.is_none_or(|until| until <= now)
    }
}
