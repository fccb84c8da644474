//! The granting side: sessions with requesters, and the tokens that they may still spend.

use std::hash::Hash;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::quota::{QuotaAsk, QuotaAskItem, QuotaGrant, QuotaGrantItem};

use super::{AccountId, AccountReport, HeldTokens, QuotaSettings, WindowLedger};
use crate::core::Timestamp;

/// Part of a capacity, in hundredths, up to which tokens are granted ahead of demand. Beyond it
/// they go only to requests that are waiting.
const RELAXED_PERCENT: u64 = 85;
/// Lent tokens that expire sooner are not passed on: they would expire on the way.
const MIN_LIFE: Duration = Duration::from_millis(100);
/// Minimum interval between searches for expired tokens of an account.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest and longest time for which requesters are told that there are no tokens. The longest
/// bounds how long tokens that come back early stay unused.
const DENIAL: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_millis(500);

/// How many tokens may be granted for an account in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantCapacity {
    /// At most this number.
    Tokens(u64),
    /// The account has no quota any more.
    Unlimited,
}

/// Counters of a granter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GranterCounters {
    /// Asks received.
    pub asks: u64,
    /// Tokens granted.
    pub granted: u64,
    /// Tokens that requests waited for and that were not there.
    pub denied: u64,
}

/// Tokens of one account in one session.
#[derive(Clone, Debug, Default)]
struct SessionTokens {
    /// Granted from the own capacity, neither reported nor expired.
    own: HeldTokens,
    /// Passed on from a granter above.
    lent: HeldTokens,
    /// Reported as spent from the own capacity, until they expire. Only these can be refunded: they
    /// still count in the ledger.
    own_refundable: HeldTokens,
    lent_refundable: HeldTokens,
}

impl SessionTokens {
    /// Removes the token that expires first, and returns its expiry and whether it was lent. What
    /// remains then expires no sooner than what the requester still has.
    fn take_first(&mut self) -> Option<(Timestamp, bool)> {
        let own = self.own.batches().next();
        let lent = self.lent.batches().next();
        let is_lent = match (own, lent) {
            (Some((own, _)), Some((lent, _))) => lent <= own,
            (own, _) => own.is_none(),
        };
        let tokens = match is_lent {
            true => self.lent.take(1),
            false => self.own.take(1),
        };
        tokens.batches().next().map(|(at, _)| (at, is_lent))
    }

    fn is_empty(&self) -> bool {
        let parts = [&self.own, &self.lent];
        let refundable = [&self.own_refundable, &self.lent_refundable];
        parts
            .into_iter()
            .chain(refundable)
            .all(HeldTokens::is_empty)
    }
}

/// Tokens of one account.
#[derive(Clone, Debug)]
struct GrantAccount<K> {
    /// Tokens of the own capacity that were spent, or expired without a report.
    ledger: WindowLedger,
    /// Own tokens of sessions that have ended. They count as spent when they expire.
    orphans: HeldTokens,
    /// Tokens lent by the granter above and not passed on.
    lent: HeldTokens,
    /// Sum of the own tokens in `holders`.
    outstanding: u64,
    holders: IndexMap<K, SessionTokens>,
    swept_at: Timestamp,
}

impl<K> Default for GrantAccount<K> {
    fn default() -> Self {
        GrantAccount {
            ledger: WindowLedger::default(),
            orphans: HeldTokens::default(),
            lent: HeldTokens::default(),
            outstanding: 0,
            holders: IndexMap::new(),
            swept_at: Timestamp::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct GrantSession {
    session: u64,
    number: u64,
}

/// Grants tokens to requesters.
///
/// For each account, the tokens that may still be spent and those spent in the last window are
/// together at most the capacity, as of the latest grant. A token counts as spent from when it was
/// reported, or else from when it expired; both are no earlier than the request that it admitted.
#[derive(Clone, Debug)]
pub struct QuotaGranter<K> {
    settings: QuotaSettings,
    accounts: IndexMap<AccountId, GrantAccount<K>>,
    sessions: IndexMap<K, GrantSession>,
    /// What became of lent tokens, to be reported to the granter above.
    lent_reports: IndexMap<AccountId, AccountReport>,
    counters: GranterCounters,
}

impl<K: Clone + Eq + Hash> QuotaGranter<K> {
    /// Creates a granter that has granted nothing.
    pub fn new(settings: QuotaSettings) -> Self {
        QuotaGranter {
            settings,
            accounts: IndexMap::new(),
            sessions: IndexMap::new(),
            lent_reports: IndexMap::new(),
            counters: GranterCounters::default(),
        }
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> GranterCounters {
        self.counters
    }

    /// Returns the number of accounts in use, and of sessions.
    pub fn sizes(&self) -> (usize, usize) {
        (self.accounts.len(), self.sessions.len())
    }

    /// Returns the ask's session number that a later grant can refer to.
    pub fn session_of(&self, holder: &K) -> Option<(u64, u64)> {
        let session = self.sessions.get(holder)?;
        Some((session.session, session.number))
    }

    /// Begins or continues the session of an ask and applies its reports. Returns whether the ask
    /// is new.
    pub fn accept(&mut self, now: Timestamp, holder: &K, ask: &QuotaAsk) -> bool {
        match self.sessions.get(holder) {
            Some(known) if known.session == ask.session && known.number >= ask.number => {
                return false;
            }
            Some(known) if known.session == ask.session => {}
            _ => self.end_session(holder),
        }
        let session = GrantSession {
            session: ask.session,
            number: ask.number,
        };
        self.sessions.insert(holder.clone(), session);
        self.counters.asks += 1;
        for item in &ask.items {
            self.apply_report(now, holder, item);
        }
        true
    }

    /// Ends the session of a requester. Its tokens can still be spent until they expire.
    pub fn end_session(&mut self, holder: &K) {
        if self.sessions.swap_remove(holder).is_none() {
            return;
        }
        for account in self.accounts.values_mut() {
            if let Some(tokens) = account.holders.swap_remove(holder) {
                account.outstanding -= u64::from(tokens.own.count());
                account.orphans.merge(tokens.own);
            }
        }
    }

    fn apply_report(&mut self, now: Timestamp, holder: &K, item: &QuotaAskItem) {
        let id = AccountId(item.account);
        if item.spent == 0 && item.returned == 0 && item.refunded == 0 {
            return;
        }
        let window = self.settings.window;
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        account.expire(now, window);
        let mut unknown = HeldTokens::default();
        let tokens = account.holders.get_mut(holder);
        let Some(tokens) = tokens else {
            // The tokens have expired and count as spent since then, which may be too early.
            account.ledger.spend(now, item.spent, window);
            return;
        };
        let report = self.lent_reports.entry(id).or_default();
        for _ in 0..item.spent {
            match tokens.take_first() {
                Some((expires_at, true)) => {
                    report.spent += 1;
                    tokens.lent_refundable.add(expires_at, 1);
                }
                Some((expires_at, false)) => {
                    account.outstanding -= 1;
                    account.ledger.spend(now, 1, window);
                    tokens.own_refundable.add(expires_at, 1);
                }
                None => unknown.add(now, 1),
            }
        }
        account.ledger.spend(now, unknown.count(), window);
        for _ in 0..item.returned {
            match tokens.take_first() {
                Some((expires_at, true)) => account.lent.add(expires_at, 1),
                Some((_, false)) => account.outstanding -= 1,
                None => break,
            }
        }
        tokens.own_refundable.take_expired(now);
        tokens.lent_refundable.take_expired(now);
        let own = tokens.own_refundable.take(item.refunded).count();
        let lent = tokens.lent_refundable.take(item.refunded - own).count();
        account.ledger.refund(own);
        report.refunded += lent;
        if *report == AccountReport::default() {
            self.lent_reports.swap_remove(&id);
        }
    }

    /// Grants up to `waiting` tokens to waiting requests, and up to `wanted` more if the account is
    /// far below its capacity.
    pub fn grant(
        &mut self,
        now: Timestamp,
        holder: &K,
        id: AccountId,
        capacity: GrantCapacity,
        waiting: u32,
        wanted: u32,
    ) -> Vec<QuotaGrantItem> {
        let life = self.settings.token_life;
        if capacity == GrantCapacity::Unlimited {
            return grant_item(id, waiting + wanted, life).into_iter().collect();
        }
        let GrantCapacity::Tokens(capacity) = capacity else {
            return Vec::new();
        };
        if waiting == 0 && wanted == 0 {
            return Vec::new();
        }
        let account = self.accounts.entry(id).or_default();
        account.expire(now, self.settings.window);
        let committed = account.committed(now);
        let free = capacity.saturating_sub(committed);
        let own = u64::from(waiting).min(free);
        let relaxed = (capacity * RELAXED_PERCENT / 100).saturating_sub(committed + own);
        let own = own + u64::from(wanted).min(relaxed);
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        let mut items = Vec::new();
        let tokens = account.holders.entry(holder.clone()).or_default();
        if own > 0 {
            tokens.own.add(now + life, own);
            account.outstanding += u64::from(own);
            items.extend(grant_item(id, own, life));
        }
        let missing = waiting.saturating_sub(own);
        for (expires_at, count) in account.lent.take(missing).batches() {
            tokens.lent.add(expires_at, count);
            items.extend(grant_item(id, count, expires_at.since(now).min(life)));
        }
        if tokens.is_empty() {
            account.holders.swap_remove(holder);
        }
        let granted: u32 = items.iter().map(|item| item.tokens).sum();
        self.counters.granted += u64::from(granted);
        items
    }

    /// Adds tokens that the granter above has lent.
    pub fn add_lent(&mut self, id: AccountId, expires_at: Timestamp, count: u32) {
        let account = self.accounts.entry(id).or_default();
        account.lent.add(expires_at, count);
    }

    /// Returns the number of lent tokens that were not passed on.
    pub fn lent(&self, id: AccountId) -> u32 {
        self.accounts
            .get(&id)
            .map_or(0, |account| account.lent.count())
    }

    /// Gives lent tokens back: those of the account, or of all accounts, that were not passed on.
    pub fn return_lent(&mut self, id: AccountId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            let returned = std::mem::take(&mut account.lent).count();
            if returned > 0 {
                self.lent_reports.entry(id).or_default().returned += returned;
            }
        }
    }

    /// Forgets lent tokens and what would be reported about them, because the session with the
    /// granter above has ended. It counts them as spent when they expire.
    pub fn forget_lent(&mut self) {
        self.lent_reports.clear();
        for account in self.accounts.values_mut() {
            account.lent = HeldTokens::default();
        }
    }

    /// Takes the reports for the granter above.
    pub fn take_lent_reports(&mut self) -> IndexMap<AccountId, AccountReport> {
        std::mem::take(&mut self.lent_reports)
    }

    /// Whether there are reports for the granter above.
    pub fn has_lent_reports(&self) -> bool {
        !self.lent_reports.is_empty()
    }

    /// Counts tokens that waiting requests did not get, and returns for how long there are none.
    pub fn deny(&mut self, now: Timestamp, id: AccountId, missing: u32) -> Duration {
        self.counters.denied += u64::from(missing);
        let account = self.accounts.get(&id);
        let release = account.and_then(|account| account.ledger.next_release());
        let release = release.map_or(*DENIAL.end(), |at| at.since(now));
        release.clamp(*DENIAL.start(), *DENIAL.end())
    }

    /// Gives back lent tokens that would soon expire unused, and drops accounts without tokens. To
    /// be called once per report interval.
    pub fn tick(&mut self, now: Timestamp) {
        let window = self.settings.window;
        let soon = now + 2 * self.settings.report_interval;
        let lent_reports = &mut self.lent_reports;
        self.accounts.retain(|id, account| {
            account.expire(now, window);
            account.ledger.spent(now);
            let unused = account.lent.take_expired(soon).count();
            if unused > 0 {
                lent_reports.entry(*id).or_default().returned += unused;
            }
            !account.is_idle()
        });
    }

    /// Returns the tokens that may still be spent and those that count in the window.
    pub fn committed(&mut self, now: Timestamp, id: AccountId) -> u64 {
        let window = self.settings.window;
        self.accounts.get_mut(&id).map_or(0, |account| {
            account.expire(now, window);
            account.committed(now)
        })
    }
}

impl<K: Clone + Eq + Hash> GrantAccount<K> {
    /// Counts expired tokens as spent.
    fn expire(&mut self, now: Timestamp, window: Duration) {
        let expired = self.orphans.take_expired(now).count();
        self.ledger.spend(now, expired, window);
        // Tokens that would expire on the way are given up.
        self.lent.take_expired(now + MIN_LIFE);
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for tokens in self.holders.values_mut() {
            let expired = tokens.own.take_expired(now).count();
            self.outstanding -= u64::from(expired);
            self.ledger.spend(now, expired, window);
            tokens.lent.take_expired(now);
            tokens.own_refundable.take_expired(now);
            tokens.lent_refundable.take_expired(now);
        }
        self.holders.retain(|_, tokens| !tokens.is_empty());
    }

    fn committed(&mut self, now: Timestamp) -> u64 {
        self.outstanding + u64::from(self.orphans.count()) + self.ledger.spent(now)
    }

    fn is_idle(&self) -> bool {
        self.holders.is_empty()
            && self.ledger.is_empty()
            && self.orphans.is_empty()
            && self.lent.is_empty()
    }
}

fn grant_item(id: AccountId, tokens: u32, life: Duration) -> Option<QuotaGrantItem> {
    (tokens > 0).then(|| QuotaGrantItem {
        account: id.0,
        tokens,
        life_ms: u32::try_from(life.as_millis()).unwrap_or(u32::MAX),
        denied_ms: 0,
        is_unavailable: false,
    })
}

/// Builds the denial of waiting requests.
pub(super) fn denial_item(
    id: AccountId,
    denied_for: Duration,
    is_unavailable: bool,
) -> QuotaGrantItem {
    QuotaGrantItem {
        account: id.0,
        tokens: 0,
        life_ms: 0,
        denied_ms: u32::try_from(denied_for.as_millis())
            .unwrap_or(u32::MAX)
            .max(1),
        is_unavailable,
    }
}

/// Builds the answer to an ask.
pub(super) fn grant_message(session: (u64, u64), items: Vec<QuotaGrantItem>) -> QuotaGrant {
    let (session, number) = session;
    QuotaGrant {
        session,
        number,
        items,
    }
}
