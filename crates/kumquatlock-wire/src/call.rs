//! Messages of one call between the entry node and the destination node.

use bytes::Bytes;

/// One HTTP header.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeaderField {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Identifies one try of one call. Unique for the lifetime of the entry node's incarnation.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct AttemptId {
    /// Name of the entry node.
    #[prost(string, tag = "1")]
    pub entry: String,
    #[prost(uint64, tag = "2")]
    pub entry_incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub call_id: u64,
    #[prost(uint32, tag = "4")]
    pub attempt: u32,
}

/// Asks the destination node to run a request on its upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallRequest {
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
    /// The incarnation that the entry chose; another one refuses the call.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Name of the upstream that the entry chose.
    #[prost(string, tag = "3")]
    pub upstream: String,
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    #[prost(string, tag = "5")]
    pub service: String,
    #[prost(enumeration = "crate::distribution::WireClass", tag = "6")]
    pub class: i32,
    #[prost(string, optional, tag = "7")]
    pub key: Option<String>,
    /// Time left when the message was sent, in microseconds.
    #[prost(uint64, tag = "8")]
    pub deadline_us: u64,
    /// W3C trace context.
    #[prost(string, optional, tag = "9")]
    pub traceparent: Option<String>,
    /// Calls above this one in the chain.
    #[prost(uint32, tag = "10")]
    pub depth: u32,
    #[prost(string, tag = "11")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "12")]
    pub path: String,
    #[prost(message, repeated, tag = "13")]
    pub headers: Vec<HeaderField>,
    #[prost(bytes = "bytes", tag = "14")]
    pub body: Bytes,
    /// Digest of method, path and body, to notice a key that is reused for another request.
    #[prost(uint64, tag = "15")]
    pub request_digest: u64,
    /// Rank of the route; zero is served first.
    #[prost(uint32, tag = "16")]
    pub rank: u32,
    /// Time left when the message was sent within which the answer is worth most, in microseconds;
    /// absent if the route has no target.
    #[prost(uint64, optional, tag = "17")]
    pub target_us: Option<u64>,
    /// Service that runs beside the entry.
    #[prost(string, tag = "18")]
    pub origin: String,
    /// Whether an upstream made the call while it ran another one.
    #[prost(bool, tag = "19")]
    pub inner: bool,
}

/// What became of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum CallOutcome {
    /// Zero is no outcome, so that a missing field is never read as one.
    Unspecified = 0,
    /// The upstream answered in full.
    Answered = 1,
    /// The try did not run and never will.
    NotRun = 2,
    /// The try may have run.
    Unknown = 3,
    /// Another attempt holds the claim of the key; `owner` names it.
    ClaimedElsewhere = 4,
}

/// Why a try was refused or its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum CallReason {
    None = 0,
    Draining = 1,
    Overloaded = 2,
    DeadlineTooShort = 3,
    WrongIncarnation = 4,
    ClaimUnavailable = 5,
    ClaimCapacity = 6,
    UpstreamUnreachable = 7,
    UpstreamFailed = 8,
    Cancelled = 9,
    KeyReused = 10,
    KeyFenced = 11,
    Frozen = 12,
    DepthExceeded = 13,
    AnswerGone = 14,
    LinkLost = 15,
    Timeout = 16,
    NoUpstream = 17,
    ConfigUnavailable = 18,
    NoRoute = 19,
    TruncatedAnswer = 20,
    TooLarge = 21,
    /// The upstream says that it did not run the request.
    UpstreamRefused = 22,
}

/// Load of the destination, carried on every answer.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoadReport {
    #[prost(uint32, tag = "1")]
    pub running: u32,
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Set when the upstream drains or leaves.
    #[prost(bool, tag = "4")]
    pub draining: bool,
    /// Mean time that the upstream takes for a call, in microseconds; zero if unknown.
    #[prost(uint32, tag = "6")]
    pub service_us: u32,
}

/// Answers a [`CallRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallResponse {
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
    /// Incarnation of the destination.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(enumeration = "CallOutcome", tag = "3")]
    pub outcome: i32,
    #[prost(enumeration = "CallReason", tag = "4")]
    pub reason: i32,
    #[prost(uint32, tag = "5")]
    pub status: u32,
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<HeaderField>,
    /// Length of the whole body; a different length of `body` is a truncated answer.
    #[prost(uint64, tag = "7")]
    pub body_len: u64,
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
    #[prost(message, optional, tag = "9")]
    pub load: Option<LoadReport>,
    /// The attempt that holds the claim, with `ClaimedElsewhere`.
    #[prost(message, optional, tag = "10")]
    pub owner: Option<crate::claim::ClaimOwner>,
}

/// Tells the destination that nobody waits for the try any more.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallCancel {
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
}
