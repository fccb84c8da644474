//! Decides which account a request belongs to.

use std::sync::Arc;

use super::lease::{KeyLease, LeaseState};
use crate::core::{ClientAccount, ConfigSnapshot, KeyDigest, RouteEntry, Timestamp};

/// Decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccessDecision {
    /// The request belongs to this account.
    Account(Arc<ClientAccount>),
    /// The request belongs to no account and needs none, because its route is public.
    Anonymous,
    /// The configuration has no accounts, so no request needs a key. The header of the key is a matter
    /// between the caller and the upstream.
    Open,
    /// The request needs a key, and has none or one that no account has.
    UnknownKey,
    /// The request needs a key, and the configuration is not known to be recent enough to decide on
    /// it.
    Unproved,
}

/// Resolves the accounts of the requests that enter at this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountResolver {
    /// Lease on the configuration by which requests are resolved.
    pub lease: KeyLease,
}

impl AccountResolver {
    /// Decides on a request for `route` with the digest of its key, if it has one. A valid key also
    /// counts on a public route, where a missing or unknown one has no consequence.
    pub fn resolve(
        &self,
        now: Timestamp,
        snapshot: &ConfigSnapshot,
        route: &RouteEntry,
        key: Option<KeyDigest>,
    ) -> AccessDecision {
        let lease = self.lease.state(now);
        // A key that is presented may have been introduced and taken away since the latest proof.
        if !snapshot.needs_keys() && (key.is_none() || lease != LeaseState::Lapsed) {
            return AccessDecision::Open;
        }
        let account = key.and_then(|key| snapshot.account_keys.get(&key));
        match (account, lease) {
            (Some(account), LeaseState::Recent | LeaseState::Valid) => {
                AccessDecision::Account(account.clone())
            }
            _ if route.public => AccessDecision::Anonymous,
            (None, LeaseState::Recent) => AccessDecision::UnknownKey,
            _ => AccessDecision::Unproved,
        }
    }
}
