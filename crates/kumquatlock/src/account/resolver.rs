//! Decides which account a request belongs to.

use std::sync::Arc;

use crate::core::{ClientAccount, ConfigSnapshot, KeyDigest, RouteEntry};

/// Decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessDecision {
    /// The request belongs to this account.
    Account(Arc<ClientAccount>),
    /// The request belongs to no account and needs none.
    Anonymous,
    /// The request needs a key, and has none or one that no account has.
    UnknownKey,
}

/// Resolves the accounts of the requests that enter at this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountResolver;

impl AccountResolver {
    /// Decides on a request for `route` with the digest of its key, if it has one. A valid key also
    /// counts on a public route, where a missing or unknown one has no consequence.
    pub fn resolve(
        &self,
        snapshot: &ConfigSnapshot,
        route: &RouteEntry,
        key: Option<KeyDigest>,
    ) -> AccessDecision {
        if snapshot.accounts.is_empty() {
            return AccessDecision::Anonymous;
        }
        let account = key.and_then(|key| snapshot.account_keys.get(&key));
        match account {
            Some(account) => AccessDecision::Account(account.clone()),
            None if route.public => AccessDecision::Anonymous,
            None => AccessDecision::UnknownKey,
        }
    }
}
