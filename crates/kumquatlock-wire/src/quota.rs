//! Messages about the quotas of client accounts: use and demand on the way up, grants on the way
//! down. A node exchanges them with its parent, and a parent with the leader.

/// What a requester has done with its tokens since its last ask, and what it needs.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaAsk {
    /// Identifies the requester's session. Tokens of earlier sessions are no longer reported.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// Number of the ask within the session, from 1.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<QuotaAskItem>,
}

/// The part of a [`QuotaAsk`] about one account.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaAskItem {
    /// Hash of the account's name.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Tokens of this session that were spent.
    #[prost(uint32, tag = "2")]
    pub spent: u32,
    /// Tokens of this session that were not spent and have not expired.
    #[prost(uint32, tag = "3")]
    pub returned: u32,
    /// Tokens reported as spent whose requests proved not to have run.
    #[prost(uint32, tag = "4")]
    pub refunded: u32,
    /// Tokens that requests are waiting for.
    #[prost(uint32, tag = "5")]
    pub waiting: u32,
    /// Tokens for requests that are expected soon.
    #[prost(uint32, tag = "6")]
    pub wanted: u32,
}

/// Tokens granted to a requester, or a denial.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaGrant {
    /// Session of the ask.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// Number of the latest ask that arrived before the grant.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<QuotaGrantItem>,
}

/// The part of a [`QuotaGrant`] about one account.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuotaGrantItem {
    /// Hash of the account's name.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Time for which the tokens may be spent, counted from when the ask was sent.
    #[prost(uint32, tag = "3")]
    pub life_ms: u32,
    /// If not zero, the waiting requests get no token, and there is none for this time.
    #[prost(uint32, tag = "4")]
    pub denied_ms: u32,
    /// Whether the denial says nothing about the quota: the granter has nothing to grant from yet.
    #[prost(bool, tag = "5")]
    pub is_unavailable: bool,
}
