//! Messages of a call between the entry node, which received the request from the caller, and the
//! destination node, whose upstream runs it.

use bytes::Bytes;

/// One HTTP header.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeaderField {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Identifies one attempt of one call. Never reused by the entry node.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct AttemptId {
    /// Name of the entry node.
    #[prost(string, tag = "1")]
    pub entry: String,
    /// Number of the entry node's process, chosen at random when it started. Earlier releases send
    /// the time of the start.
    #[prost(uint64, tag = "2")]
    pub entry_incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub call_id: u64,
    #[prost(uint32, tag = "4")]
    pub attempt: u32,
}

/// What one run of an upstream has stated about itself in its answers. Entry nodes repeat it to the
/// node beside the upstream, which may have started again since.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpstreamNotice {
    /// Identifier of the run, as the upstream announced it.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Start of the run in milliseconds since 1970; zero if it announced none.
    #[prost(uint64, tag = "2")]
    pub run_started_ms: u64,
    /// Requests that the upstream takes in 1,000 s. Absent if it states no limit.
    #[prost(uint32, optional, tag = "3")]
    pub rate_limit_millis: Option<u32>,
    /// Whether it is leaving.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}

/// Asks the destination node to run a request on its upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallRequest {
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
    /// Incarnation of the upstream that the entry node selected. Any other incarnation refuses the
    /// call.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Name of the upstream that the entry node selected.
    #[prost(string, tag = "3")]
    pub upstream: String,
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    #[prost(string, tag = "5")]
    pub service: String,
    #[prost(enumeration = "crate::distribution::WireClass", tag = "6")]
    pub class: i32,
    /// Idempotency key, followed by a space and the account if the request belongs to one.
    #[prost(string, optional, tag = "7")]
    pub key: Option<String>,
    /// Time until the deadline when the message was sent, in microseconds.
    #[prost(uint64, tag = "8")]
    pub deadline_us: u64,
    /// W3C trace context.
    #[prost(string, optional, tag = "9")]
    pub traceparent: Option<String>,
    /// Number of calls above this one in the chain of nested calls.
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
    /// Digest of method, path and body, to detect a key that is reused for another request.
    #[prost(uint64, tag = "15")]
    pub request_digest: u64,
    /// Rank of the client account, or else of the route. Calls with a lower rank are served first.
    #[prost(uint32, tag = "16")]
    pub rank: u32,
    /// Time left until the route's target latency, in microseconds, when the message was sent. An
    /// answer within this time has its full value. Absent if the route has no target.
    #[prost(uint64, optional, tag = "17")]
    pub target_us: Option<u64>,
    /// Service of the upstream beside the entry node.
    #[prost(string, tag = "18")]
    pub origin: String,
    /// Whether an upstream made the call while it was running another call.
    #[prost(bool, tag = "19")]
    pub inner: bool,
    /// What the upstream stated in the last answer that the entry node got from it.
    #[prost(message, optional, tag = "20")]
    pub notice: Option<UpstreamNotice>,
    /// Identifies requests that an upstream can't tell apart; zero if the sender, of an earlier
    /// release, states none.
    #[prost(fixed64, tag = "21")]
    pub fingerprint: u64,
    /// Time in which the entry node can still pass the answer on, in microseconds when the message
    /// was sent. Present only if that ends before the deadline because the entry node stops.
    #[prost(uint64, optional, tag = "22")]
    pub answer_within_us: Option<u64>,
    /// Process of the destination node that stated `incarnation`; any other process refuses the
    /// call. Zero if the incarnation is that of the configuration.
    #[prost(uint64, tag = "23")]
    pub process: u64,
    /// Name of the client account that sent the request; absent if it belongs to none.
    #[prost(string, optional, tag = "24")]
    pub account: Option<String>,
    /// Services of the runs above a nested call, the outermost first. Empty for a call of a caller.
    #[prost(string, repeated, tag = "25")]
    pub callers: Vec<String>,
    /// Name of the route. Empty if the sender, of an earlier release, states none.
    #[prost(string, tag = "26")]
    pub route: String,
    /// Probability, in thousandths, that the arrival of this attempt at the upstream is an extra one:
    /// 1,000 for an attempt after one that may have arrived, and the share of such runs at the
    /// upstream that makes the call otherwise.
    #[prost(uint32, tag = "28")]
    pub extra_permille: u32,
    /// Mark of the route if the entry node knows that clients use it, where no header tells calls of
    /// upstreams from those of clients; zero otherwise.
    #[prost(fixed32, tag = "29")]
    pub client_route: u32,
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum CallOutcome {
    /// Not a valid outcome. Zero is reserved, so that a missing field is never read as an outcome.
    Unspecified = 0,
    /// The upstream sent a complete answer.
    Answered = 1,
    /// The attempt did not run and never will.
    NotRun = 2,
    /// The attempt may have run.
    Unknown = 3,
    /// Another attempt holds the claim of the key; `owner` names it.
    ClaimedElsewhere = 4,
}

/// Why an attempt was refused or its outcome is unknown.
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
    /// The request has ended several upstreams and is in quarantine.
    Quarantined = 23,
    /// The services that the run would call have no room.
    DependencyOverloaded = 24,
    /// The node's configuration is not proved recent enough to decide on the caller's API key.
    ConfigUnproved = 28,
    /// The client account has used its quota.
    QuotaExceeded = 30,
    /// The node could not find out in time whether the client account may send the request.
    QuotaUnavailable = 31,
    /// The attempt would be an extra arrival, and the calls of such runs have spent the node's retry
    /// budget.
    BudgetSpent = 32,
}

/// Load of the destination node's upstream, sent with every answer.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoadReport {
    #[prost(uint32, tag = "1")]
    pub running: u32,
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Whether the upstream is draining or leaving.
    #[prost(bool, tag = "4")]
    pub draining: bool,
    /// Mean service time of a call at the upstream, in microseconds; zero if unknown.
    #[prost(uint32, tag = "6")]
    pub service_us: u32,
    /// Time for which the destination node held the attempt that this answers, in microseconds; the
    /// rest of the entry node's latency was spent on the way. Zero if unknown.
    #[prost(uint32, tag = "7")]
    pub held_us: u32,
    /// Part of `held_us` in which the attempt waited for a slot of the upstream.
    #[prost(uint32, tag = "8")]
    pub waited_us: u32,
}

/// Answers a [`CallRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallResponse {
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
    /// Incarnation of the destination node.
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
    /// Length of the complete body. If `body` has another length, the answer is truncated.
    #[prost(uint64, tag = "7")]
    pub body_len: u64,
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
    #[prost(message, optional, tag = "9")]
    pub load: Option<LoadReport>,
    /// The attempt that holds the claim. Set with `ClaimedElsewhere`.
    #[prost(message, optional, tag = "10")]
    pub owner: Option<crate::claim::ClaimOwner>,
    /// What the upstream states about itself, if it states anything.
    #[prost(message, optional, tag = "11")]
    pub notice: Option<UpstreamNotice>,
    /// Process of the destination node. Set with `WrongIncarnation`.
    #[prost(uint64, tag = "12")]
    pub process: u64,
}

/// Tells the destination node that the entry node no longer waits for the attempt, or how long it
/// still does.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallCancel {
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
    /// Time in which the entry node can still pass the answer on, in microseconds when the message
    /// was sent. If present, an attempt that is running continues, and one that is waiting is
    /// refused if it can't be answered within this time.
    #[prost(uint64, optional, tag = "2")]
    pub answer_within_us: Option<u64>,
}
