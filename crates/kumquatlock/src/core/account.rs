//! Client accounts and their API keys.

use std::fmt;
use std::num::NonZeroU64;

use kumquatlock_wire::distribution::AccountItem;
use sha2::{Digest, Sha256};

use super::{SharedName, SnapshotError, account_digest};

/// Length of a key digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of an API key. Nodes hold and compare only digests, so neither their memory nor
/// the time of a comparison discloses a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(KeyDigest)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Requests that an account may send, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountQuota {
    /// Requests in 1,000 s.
    pub rate_millis: NonZeroU64,
    /// Requests that may come at once beyond the rate.
    pub burst: u64,
}

impl AccountQuota {
    /// Returns the quota of an account; `None` if it has no limit.
    pub fn from_item(item: &AccountItem) -> Option<Self> {
        Some(AccountQuota {
            rate_millis: NonZeroU64::new(item.quota_millis)?,
            burst: item.burst,
        })
    }
}

/// One client account in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name, unique in the manifest.
    pub name: SharedName,
    /// Digests of the keys; no other account of the same snapshot has any of them.
    pub keys: Vec<KeyDigest>,
    /// Rank of the account's requests; `None` if the route decides.
    pub rank: Option<u32>,
    /// Limit on the account's requests; `None` for no limit.
    pub quota: Option<AccountQuota>,
    /// Whether this is not an account, but stands for a table without any.
    pub(super) is_empty_table: bool,
    pub(super) digest: u64,
}

impl ClientAccount {
    pub(super) fn from_item(item: &AccountItem) -> Result<Self, SnapshotError> {
        let name: SharedName = item.name.as_str().into();
        let keys = item.key_digests.iter();
        let keys: Option<Vec<KeyDigest>> = keys.map(|key| KeyDigest::from_bytes(key)).collect();
        let keys = keys.ok_or_else(|| SnapshotError::UnknownValue { item: name.clone() })?;
        Ok(ClientAccount {
            name,
            keys,
            rank: item.rank,
            quota: AccountQuota::from_item(item),
            is_empty_table: item.is_empty_table(),
            digest: account_digest(item),
        })
    }
}
