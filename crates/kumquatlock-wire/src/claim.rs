//! Messages about claims. A claim is the right of one attempt to run the request of one key.

use crate::call::AttemptId;

/// The attempt that holds a claim, and the upstream on which it runs.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ClaimOwner {
    #[prost(message, required, tag = "1")]
    pub attempt: AttemptId,
    /// Name of the upstream that runs the request.
    #[prost(string, tag = "2")]
    pub destination: String,
    #[prost(uint64, tag = "3")]
    pub destination_incarnation: u64,
    #[prost(uint64, tag = "4")]
    pub request_digest: u64,
}

/// Identifies the shard of a key within a service. The number depends on the key alone and not on
/// the configuration, so that a configuration change never moves a key to a shard without its
/// claim.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ShardId {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "3")]
    pub number: u32,
}

/// Requests an action of a claim holder for one key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimRequest {
    /// Identifier that the sender chooses and the reply repeats.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(message, required, tag = "2")]
    pub shard: ShardId,
    /// View (set of holders) of the shard that the sender computed from its configuration.
    #[prost(uint64, tag = "3")]
    pub view: u64,
    #[prost(string, tag = "4")]
    pub key: String,
    #[prost(enumeration = "ClaimAction", tag = "5")]
    pub action: i32,
    #[prost(message, required, tag = "6")]
    pub owner: ClaimOwner,
    /// Highest epoch in the answers of other holders of the view; zero before any answer. If it is
    /// higher than the receiver's own epoch, the view was formed again without the receiver, which
    /// then joins the view at the higher epoch.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
}

/// Action of a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimAction {
    /// Grants the key to the owner, if the key is free.
    Acquire = 0,
    /// Frees the key for other attempts. Sent when it is proved that the owner never runs.
    Release = 1,
    /// Records that the owner has finished.
    Finish = 2,
    /// Fences the key, if it is free, so that no attempt may run it any more.
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
    /// The attempt that holds the claim. Set with `Taken` and `Finished`.
    #[prost(message, optional, tag = "3")]
    pub owner: Option<ClaimOwner>,
    /// View that the request named.
    #[prost(fixed64, tag = "4")]
    pub view: u64,
    /// Configuration version at which the holder's active view was formed. The same holders can
    /// form a view twice; grants from different epochs are never counted together.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
}

/// Answer of a claim holder to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimVerdict {
    /// Not a valid verdict. Zero is reserved, so that a missing field is never read as a grant.
    Unspecified = 0,
    /// The action took effect.
    Granted = 1,
    /// Another attempt holds the claim.
    Taken = 2,
    /// Another attempt holds the claim and has finished.
    Finished = 3,
    /// The key is fenced permanently.
    Fenced = 4,
    /// The attempt was released before and can never be granted again.
    Released = 5,
    /// The holder has a different view of the shard.
    WrongView = 6,
    /// The holder is not active in the view yet.
    NotActive = 7,
    /// The holder has reached its maximum number of keys.
    Capacity = 8,
    /// The key was already used with a different request.
    KeyReused = 9,
}

/// A stored claim, as it is transferred between holders.
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
    /// Time since the last change, in milliseconds. A duration, because clocks of different holders
    /// are not compared.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Further attempts that holders had granted, if a view change found several for the key. None
    /// of them is granted again before the others are released.
    #[prost(message, repeated, tag = "6")]
    pub contenders: Vec<ClaimOwner>,
    /// Whether a holder has fenced the key. If a view change found both a fence and an owner,
    /// `owner` is set too.
    #[prost(bool, tag = "7")]
    pub fenced: bool,
}

/// State of a key at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    Free = 0,
    Claimed = 1,
    Finished = 2,
    Fenced = 3,
}

/// A holder of a shard's claims.
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
    /// Configuration version from which the sender computed the view. Orders the views of a shard.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
}

/// Asks a holder to fence its active view of a shard and to send the shard's claims.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardFetch {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(message, required, tag = "2")]
    pub shard: ShardId,
    /// The view in which the sender is about to become active.
    #[prost(message, required, tag = "3")]
    pub target: ShardView,
    /// Offset into the holder's records, for shards of more than one chunk.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Digests of the records that the sender has, by bucket. Set only with offset zero; empty if
    /// the sender has few records.
    #[prost(fixed64, repeated, tag = "5")]
    pub known: Vec<u64>,
    /// Bit set of the buckets that the first chunk omitted. Offsets don't count their records.
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
    /// The last view in which the sender was active. Absent if it was never active.
    #[prost(message, optional, tag = "3")]
    pub active: Option<ShardView>,
    /// Whether the sender refuses to send claims, because it has promised or entered a later view
    /// than the target.
    #[prost(bool, tag = "4")]
    pub refused: bool,
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    #[prost(uint64, tag = "6")]
    pub total: u64,
    #[prost(message, repeated, tag = "7")]
    pub records: Vec<ClaimRecord>,
    /// The sender itself, so that a restarted process is not mistaken for the one that was asked.
    #[prost(message, required, tag = "8")]
    pub holder: ShardHolder,
    /// Views, other than the target, that the sender has promised. They are later than `active`,
    /// which the sender has fenced for them. Any of them may have become active at other holders.
    #[prost(message, repeated, tag = "9")]
    pub promised: Vec<ShardView>,
    /// Generation of the offsets. If it changes, offsets have shifted and the transfer starts
    /// again.
    #[prost(uint64, tag = "10")]
    pub generation: u64,
    /// Bit set of the buckets that are omitted because both sides have the same records.
    #[prost(fixed64, tag = "11")]
    pub skipped: u64,
}

/// Asks the destination node of an attempt for the outcome, with the stored answer if there is one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OutcomeQuery {
    /// Identifier of the asking attempt. The answer is a [`crate::call::CallResponse`] with this
    /// identifier.
    #[prost(message, required, tag = "1")]
    pub id: AttemptId,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub key: String,
    /// The attempt in question and its destination: a lost attempt of the asking call, or the owner
    /// of the claim as reported by a claim holder.
    #[prost(message, required, tag = "4")]
    pub owner: ClaimOwner,
    /// Maximum time to wait for a request that is still running, in microseconds.
    #[prost(uint64, tag = "5")]
    pub deadline_us: u64,
    /// Process that the attempt in question names, or zero; as in [`crate::call::CallRequest`].
    #[prost(uint64, tag = "6")]
    pub process: u64,
}
