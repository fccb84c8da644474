//! The requesting side: reports, asks and the tokens that arrive.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::quota::{QuotaAsk, QuotaAskItem, QuotaGrant};

use super::AccountId;
use crate::core::{Timestamp, stable_hash};

/// Time after which an unanswered ask is taken for lost. Longer than a round trip to the leader
/// through a slow parent.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval between asks, which bounds the messages of a busy node.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of asks to which a grant may still refer. A parent passes on tokens of the leader within
/// a few asks.
const MAX_REMEMBERED_ASKS: usize = 32;

/// Tokens whose fate the granter does not know yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountReport {
    /// Tokens that were spent.
    pub spent: u32,
    /// Tokens that were given back unspent.
    pub returned: u32,
    /// Tokens reported as spent whose requests did not run.
    pub refunded: u32,
}

/// Tokens that a granter sent, or its denial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedTokens {
    /// The account.
    pub account: AccountId,
    /// Number of tokens.
    pub tokens: u32,
    /// When they expire.
    pub expires_at: Timestamp,
    /// Time for which waiting requests get no token, if they are denied.
    pub denied_for: Option<Duration>,
    /// Whether the denial says nothing about the quota.
    pub is_unavailable: bool,
}

/// Session with one granter. A new one begins when the granter or the connection to it changes, or
/// an ask is lost: reports of earlier tokens then have no meaning any more.
#[derive(Clone, Debug)]
pub struct AskSession {
    seed: u64,
    session: u64,
    number: u64,
    /// When the latest ask was sent, until its answer arrives.
    outstanding_since: Option<Timestamp>,
    last_ask: Option<Timestamp>,
    /// Number and time of the latest asks, at most [`MAX_REMEMBERED_ASKS`]. Tokens expire a time
    /// after the ask was sent, so that a delayed answer does not prolong their life.
    sent: VecDeque<(u64, Timestamp)>,
    reports: IndexMap<AccountId, AccountReport>,
}

impl AskSession {
    /// Creates a session. The seed must differ between processes.
    pub fn new(seed: u64) -> Self {
        let mut session = AskSession {
            seed,
            session: 0,
            number: 0,
            outstanding_since: None,
            last_ask: None,
            sent: VecDeque::new(),
            reports: IndexMap::new(),
        };
        session.restart();
        session
    }

    /// Begins a new session.
    pub fn restart(&mut self) {
        self.seed = self.seed.wrapping_add(1);
        self.session = stable_hash(&self.seed.to_le_bytes());
        self.number = 0;
        self.outstanding_since = None;
        self.last_ask = None;
        self.sent.clear();
        self.reports.clear();
    }

    /// Returns the id of the session.
    pub fn id(&self) -> u64 {
        self.session
    }

    /// Returns the report on an account, to add to it.
    pub fn report(&mut self, account: AccountId) -> &mut AccountReport {
        self.reports.entry(account).or_default()
    }

    /// Returns whether there is something to report.
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Whether an ask may be sent now.
    pub fn may_ask(&self, now: Timestamp) -> bool {
        let is_paced = self
            .last_ask
            .is_none_or(|at| now.since(at) >= MIN_ASK_INTERVAL);
        self.outstanding_since.is_none() && is_paced
    }

    /// Returns when the next ask may be sent; `None` while an answer is outstanding.
    pub fn next_ask(&self) -> Option<Timestamp> {
        let last_ask = self.last_ask.filter(|_| self.outstanding_since.is_none());
        last_ask.map(|at| at + MIN_ASK_INTERVAL)
    }

    /// Whether the answer to the latest ask is overdue.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.outstanding_since
            .is_some_and(|since| now.since(since) >= ASK_TIMEOUT)
    }

    /// Builds an ask with all reports, and with the waiting and wanted tokens of each account.
    pub fn ask(
        &mut self,
        now: Timestamp,
        demands: impl Iterator<Item = (AccountId, u32, u32)>,
    ) -> QuotaAsk {
        self.number += 1;
        self.outstanding_since = Some(now);
        self.last_ask = Some(now);
        self.sent.push_back((self.number, now));
        if self.sent.len() > MAX_REMEMBERED_ASKS {
            self.sent.pop_front();
        }
        let reports = std::mem::take(&mut self.reports).into_iter();
        let mut items: IndexMap<AccountId, QuotaAskItem> = reports
            .map(|(account, report)| {
                let item = QuotaAskItem {
                    account: account.0,
                    spent: report.spent,
                    returned: report.returned,
                    refunded: report.refunded,
                    ..QuotaAskItem::default()
                };
                (account, item)
            })
            .collect();
        for (account, waiting, wanted) in demands {
            let item = items.entry(account).or_insert_with(|| QuotaAskItem {
                account: account.0,
                ..QuotaAskItem::default()
            });
            item.waiting = waiting;
            item.wanted = wanted;
        }
        QuotaAsk {
            session: self.session,
            number: self.number,
            items: items.into_values().collect(),
        }
    }

    /// Reads a grant. Returns nothing if it belongs to another session or refers to no known ask.
    pub fn receive(&mut self, grant: &QuotaGrant) -> Vec<ReceivedTokens> {
        let asked_at = self.sent.iter().find(|(number, _)| *number == grant.number);
        let Some((_, asked_at)) = asked_at.filter(|_| grant.session == self.session) else {
            return Vec::new();
        };
        let asked_at = *asked_at;
        if grant.number == self.number {
            self.outstanding_since = None;
        }
        let items = grant.items.iter();
        items
            .map(|item| ReceivedTokens {
                account: AccountId(item.account),
                tokens: item.tokens,
                expires_at: asked_at + Duration::from_millis(item.life_ms.into()),
                is_unavailable: item.is_unavailable,
                denied_for: (item.denied_ms > 0)
                    .then(|| Duration::from_millis(item.denied_ms.into())),
            })
            .collect()
    }
}
