//! Messages about claims: the right of one attempt to run the request of one key.

use crate::call::AttemptId;

/// The attempt that holds a claim and where it runs.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ClaimOwner {
    #[prost(message, required, tag = "1")]
    pub attempt: AttemptId,
    /// Name of the destination upstream.
    #[prost(string, tag = "2")]
    pub destination: String,
    #[prost(uint64, tag = "3")]
    pub destination_incarnation: u64,
    #[prost(uint64, tag = "4")]
    pub request_digest: u64,
}

/// The shard of a key within a service. The number depends on the key alone, never on the
/// configuration, so that no configuration change moves a key to a shard that lacks its claim.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ShardId {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "3")]
    pub number: u32,
}

/// What is asked of a claim holder for one key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimRequest {
    /// Chosen by the sender, echoed in the reply.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(message, required, tag = "2")]
    pub shard: ShardId,
    /// View of the shard that the sender computed from its configuration.
    #[prost(uint64, tag = "3")]
    pub view: u64,
    #[prost(string, tag = "4")]
    pub key: String,
    #[prost(enumeration = "ClaimAction", tag = "5")]
    pub action: i32,
    #[prost(message, required, tag = "6")]
    pub owner: ClaimOwner,
    /// Highest epoch that another holder of the view answered with; zero before any answer. A
    /// holder at a lower epoch missed that the view was formed again and joins it.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
}

/// Action of a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimAction {
    /// Grant the key to the owner, if it is free.
    Acquire = 0,
    /// The owner proved that it never runs; the key becomes free for other attempts.
    Release = 1,
    /// The owner has finished.
    Finish = 2,
    /// Nobody may run the key any more, if it is free.
    Fence = 3,
    /// Asks whether the holder is active in the view. Changes nothing.
    Probe = 4,
}

/// Answers a [`ClaimRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimReply {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(enumeration = "ClaimVerdict", tag = "2")]
    pub verdict: i32,
    /// The attempt that holds the claim, with `Taken` and `Finished`.
    #[prost(message, optional, tag = "3")]
    pub owner: Option<ClaimOwner>,
    /// View of the request.
    #[prost(fixed64, tag = "4")]
    pub view: u64,
    /// Configuration version at which the holder's active view was formed. The same holders can
    /// form a view twice; grants of two epochs never add up.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
}

/// Verdict of a claim holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimVerdict {
    /// Zero is no verdict, so that a missing field is never read as a grant.
    Unspecified = 0,
    /// The action took effect.
    Granted = 1,
    /// Another attempt holds the claim.
    Taken = 2,
    /// Another attempt holds the claim and has finished.
    Finished = 3,
    /// The key is fenced for good.
    Fenced = 4,
    /// The attempt was released before and can never be granted.
    Released = 5,
    /// The holder has another view of the shard.
    WrongView = 6,
    /// The holder is not active in the view yet.
    NotActive = 7,
    /// The holder keeps as many keys as it may.
    Capacity = 8,
    /// The key was used with another request.
    KeyReused = 9,
}

/// One kept claim, as it moves between holders.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimRecord {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(enumeration = "ClaimState", tag = "2")]
    pub state: i32,
    #[prost(message, optional, tag = "3")]
    pub owner: Option<ClaimOwner>,
    /// Attempts that were released and can never be granted.
    #[prost(message, repeated, tag = "4")]
    pub released: Vec<AttemptId>,
    /// Time since the last change, in milliseconds; clocks are not compared.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Further attempts that some holder granted, when a view change met several. None of them
    /// is granted again before the others are released.
    #[prost(message, repeated, tag = "6")]
    pub contenders: Vec<ClaimOwner>,
    /// Some holder fenced the key; set besides an owner when a view change met both.
    #[prost(bool, tag = "7")]
    pub fenced: bool,
}

/// State of one key at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    Free = 0,
    Claimed = 1,
    Finished = 2,
    Fenced = 3,
}

/// One holder of a shard's claims.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct ShardHolder {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// The holders of a shard at a configuration version.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShardView {
    /// Hash of the holders.
    #[prost(uint64, tag = "1")]
    pub view: u64,
    #[prost(message, repeated, tag = "2")]
    pub holders: Vec<ShardHolder>,
    /// Configuration version that the sender computed the view from; orders views.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
}

/// Asks a holder to fence its view and hand over the claims of a shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardFetch {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(message, required, tag = "2")]
    pub shard: ShardId,
    /// The view that the sender is about to become active in.
    #[prost(message, required, tag = "3")]
    pub target: ShardView,
    /// Offset into the holder's records, for shards of more than one chunk.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Digests of the records that the sender has, by bucket. Only with offset zero; empty if it
    /// has few.
    #[prost(fixed64, repeated, tag = "5")]
    pub known: Vec<u64>,
    /// Buckets that the first chunk left out; offsets do not count them.
    #[prost(fixed64, tag = "6")]
    pub skipped: u64,
}

/// Answers a [`ShardFetch`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardChunk {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(message, required, tag = "2")]
    pub shard: ShardId,
    /// The last view that the sender was active in; absent if it never was.
    #[prost(message, optional, tag = "3")]
    pub active: Option<ShardView>,
    /// The sender has promised or entered a later view than the target and hands over nothing.
    #[prost(bool, tag = "4")]
    pub refused: bool,
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    #[prost(uint64, tag = "6")]
    pub total: u64,
    #[prost(message, repeated, tag = "7")]
    pub records: Vec<ClaimRecord>,
    /// The sender itself, so that a restarted process is not taken for the one that was asked.
    #[prost(message, required, tag = "8")]
    pub holder: ShardHolder,
    /// Views later than `active` for which the sender has fenced its active view, without the
    /// target. Any of them may have become active elsewhere.
    #[prost(message, repeated, tag = "9")]
    pub promised: Vec<ShardView>,
    /// Changes when offsets shift; the transfer starts again.
    #[prost(uint64, tag = "10")]
    pub generation: u64,
    /// Bit set of the buckets that are left out because both sides have the same records.
    #[prost(fixed64, tag = "11")]
    pub skipped: u64,
}

/// Asks the destination that ran a key for the kept answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OutcomeQuery {
    /// Id of the asking try; the answer is a [`crate::call::CallResponse`] with this id.
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub key: String,
    /// The owner that a holder named.
    #[prost(message, required, tag = "4")]
    pub owner: ClaimOwner,
    /// Time left to wait for a running request, in microseconds.
    #[prost(uint64, tag = "5")]
    pub deadline_us: u64,
}
