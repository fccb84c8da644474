//! Client accounts as catalog items.

use bytes::Bytes;

/// A client account: the API keys that its requests carry, and what it may ask for.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AccountItem {
    #[prost(string, tag = "1")]
    pub name: String,
    /// SHA-256 digests of the API keys, so that no child holds the keys themselves.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub key_digests: Vec<Bytes>,
    /// Rank of the account's requests, in place of the rank of their route. Absent if the route
    /// decides.
    #[prost(uint32, optional, tag = "3")]
    pub rank: Option<u32>,
    /// Requests that the account may send in 1,000 s, over all nodes; zero for no limit.
    #[prost(uint64, tag = "4")]
    pub quota_millis: u64,
    /// Requests that the account may send at once beyond its rate.
    #[prost(uint64, tag = "5")]
    pub burst: u64,
    /// Source text from which the item of the manifest was generated. Present only in the log,
    /// because children don't need it.
    #[prost(string, tag = "6")]
    pub source: String,
}

impl AccountItem {
    /// Name of the item that stands for a table without accounts. No manifest can name an account so.
    const EMPTY_TABLE_NAME: &str = "<none>";

    /// Returns the item that stands for a table without accounts, with which every request needs a
    /// key and no key is valid. A list without any item means that no request needs a key.
    ///
    /// An item is used rather than a field beside the list, because releases that don't know it take
    /// it for an account without keys, and so refuse all keys too.
    pub fn empty_table() -> Self {
        AccountItem {
            name: AccountItem::EMPTY_TABLE_NAME.to_owned(),
            ..AccountItem::default()
        }
    }

    /// Whether the item stands for a table without accounts.
    pub fn is_empty_table(&self) -> bool {
        self.name == AccountItem::EMPTY_TABLE_NAME
    }
}
