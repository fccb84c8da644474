//! The lease by which a node accepts API keys.
//!
//! A key that was taken away has to stop on every node within a limit, also on those that the change
//! does not reach. A node therefore accepts keys only for a time after its configuration was proved
//! current. A key accepted at some moment belongs to a configuration that was current within that
//! time, so the change that took it away was committed later than that, and is not older than the
//! limit.

use std::time::Duration;

use crate::core::Timestamp;

/// Share of the revocation limit for which a proof is valid, in percent. The rest is a margin for
/// clocks that run at different rates. A node that is cut off for six tenths of the limit still
/// serves, because it renews its proof several times in the rest.
const LEASE_PERCENT: u32 = 90;
/// Part of the revocation limit within which a configuration counts as recent enough to say that a
/// key is unknown. An accepted change reaches nodes in less time, unless they are cut off.
const RECENT_DIVISOR: u32 = 4;
/// Part of the revocation limit after which a node asks for the next proof.
const RENEWAL_DIVISOR: u32 = 10;

/// What the age of the latest proof allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LeaseState {
    /// Keys are accepted, and unknown ones are rejected.
    Recent,
    /// Keys are accepted. An unknown one may have been added since the proof.
    Valid,
    /// No key is accepted.
    Lapsed,
}

/// Lease of one node. Without a limit the lease never lapses.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyLease {
    /// Time within which a key that was taken away must stop.
    limit: Option<Duration>,
    /// Time as of which the configuration that the node routes by is proved current. Taken from a
    /// clock that also counts the time for which the machine was suspended.
    confirmed_at: Option<Timestamp>,
}

impl KeyLease {
    /// Creates a lease that has not been confirmed yet.
    pub fn new(limit: Option<Duration>) -> Self {
        KeyLease {
            limit,
            confirmed_at: None,
        }
    }

    /// Returns the interval at which a node renews its proof; `None` if it needs none.
    pub fn renewal_interval(limit: Option<Duration>) -> Option<Duration> {
        limit.map(|limit| limit / RENEWAL_DIVISOR)
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: Option<Duration>) {
        self.limit = limit;
    }

    /// Records that the configuration contains everything that was committed before `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns what the latest proof allows. `now` is read after the request in question has arrived;
    /// an earlier reading would accept requests that arrived while the process stood still.
    pub fn state(&self, now: Timestamp) -> LeaseState {
        let Some(limit) = self.limit else {
            return LeaseState::Recent;
        };
        let Some(confirmed_at) = self.confirmed_at else {
            return LeaseState::Lapsed;
        };
        let age = now.since(confirmed_at);
        if age < limit / RECENT_DIVISOR {
            LeaseState::Recent
        } else if age < limit * LEASE_PERCENT / 100 {
            LeaseState::Valid
        } else {
            LeaseState::Lapsed
        }
    }
}
