//! Quotas of client accounts, which hold over all nodes together.
//!
//! The limit of an account in a window is divided into tokens, one for each request, by
//! [`QuotaShares`]: a fixed allowance of each node, a fixed share of each voter, and a pool of the
//! leader. A node spends its allowance, and tokens that its parent has granted to it
//! ([`QuotaSpender`]). A parent grants from its share and from tokens that it has itself got from
//! the leader ([`QuotaParent`]); the leader grants from the pool. Both grant through a
//! [`QuotaGranter`], whose [`WindowLedger`] counts a token from its grant until one window after it
//! was spent or expired.
//!
//! All times are on a clock that also runs while the machine is suspended.

mod flags;
mod granter;
mod held;
mod ledger;
mod limit;
mod parent;
mod session;
mod spender;

use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant};

pub use flags::{QUOTA_OVERAGE, QUOTA_SLACK, QUOTA_WINDOW};
pub use granter::{GrantCapacity, GranterCounters, QuotaGranter};
pub use held::HeldTokens;
pub use ledger::WindowLedger;
pub use limit::{QuotaLimits, QuotaSettings, QuotaShares};
pub use parent::{ParentShare, QuotaParent, QuotaPool, ShareStart};
pub use session::{AccountReport, AskSession, ReceivedTokens};
pub use spender::{QuotaDecision, QuotaSpender, QuotaToken, SpenderCounters, SpenderEvent};

use crate::core::stable_hash;

/// Maximum number of accounts that a table holds. Twice the number of accounts of the design
/// target.
pub const MAX_ACCOUNTS: usize = 20_000;

/// Identifies an account in messages and tables: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountId(pub u64);

impl AccountId {
    /// Returns the id of the account with this name.
    pub fn of(name: &str) -> Self {
        AccountId(stable_hash(name.as_bytes()))
    }
}

/// A message from a requester to its granter.
pub type AskMessage = QuotaAsk;
/// A message from a granter to a requester.
pub type GrantMessage = QuotaGrant;

#[cfg(test)]
mod tests;
