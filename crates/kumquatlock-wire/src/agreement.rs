//! Messages between voters: elections, log replication and currency proofs.
//!
//! A sender identifies itself by instance name and disk identity. Votes and acknowledgements
//! count only when the disk identity matches the one recorded in the voter set.

use bytes::Bytes;

/// One entry of the replicated log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Kind of the payload. The consensus component itself reads only voter-set entries.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// Kind of the payload of a [`LogEntry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// No effect. A new leader commits one to learn the commit index of earlier terms.
    Noop = 0,
    /// A [`crate::distribution::CatalogCommand`].
    Command = 1,
    /// A [`VoterSet`].
    VoterSet = 2,
}

/// A voter and the identity of its data directory.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VoterIdentity {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub disk_id: u64,
}

/// The voters of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoterSet {
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<VoterIdentity>,
}

/// A message between voters.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// Identity of the group; zero while the sender has none.
    #[prost(uint64, tag = "1")]
    pub group_id: u64,
    #[prost(message, required, tag = "2")]
    pub from: VoterIdentity,
    #[prost(uint64, tag = "3")]
    pub term: u64,
    #[prost(
        oneof = "peer_message::Kind",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21"
    )]
    pub kind: Option<peer_message::Kind>,
}

/// Variants of [`PeerMessage`].
pub mod peer_message {
    /// What a [`super::PeerMessage`] asks or answers.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        #[prost(message, tag = "10")]
        VoteRequest(super::VoteRequest),
        #[prost(message, tag = "11")]
        VoteReply(super::VoteReply),
        #[prost(message, tag = "12")]
        AppendRequest(super::AppendRequest),
        #[prost(message, tag = "13")]
        AppendReply(super::AppendReply),
        #[prost(message, tag = "14")]
        SnapshotChunk(super::LogSnapshotChunk),
        #[prost(message, tag = "15")]
        SnapshotReply(super::LogSnapshotReply),
        #[prost(message, tag = "16")]
        TimeoutNow(super::TimeoutNow),
        #[prost(message, tag = "17")]
        FormationQuery(super::FormationQuery),
        #[prost(message, tag = "18")]
        FormationReply(super::FormationReply),
        #[prost(message, tag = "19")]
        FormGroup(super::FormGroup),
        #[prost(message, tag = "20")]
        Forward(super::Forward),
        #[prost(message, tag = "21")]
        Greeting(super::VoterGreeting),
    }
}

/// First message on a link between voters. The region tells whether traffic on the link is billed;
/// both names tell children which parents are near.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoterGreeting {
    #[prost(string, tag = "1")]
    pub region: String,
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// Requests a vote, or with `pre_vote` asks whether a vote would be granted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteRequest {
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Whether the leader requested this election. The leader's lease then does not block the vote.
    #[prost(bool, tag = "4")]
    pub leadership_transfer: bool,
}

/// Answers a [`VoteRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteReply {
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Replicates log entries. Without entries, it is a heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    #[prost(uint64, tag = "1")]
    pub previous_index: u64,
    #[prost(uint64, tag = "2")]
    pub previous_term: u64,
    #[prost(uint64, tag = "3")]
    pub commit_index: u64,
    /// Number of the heartbeat round, echoed in the reply. The leader needs the replies to a round
    /// to answer a [`ConfirmRequest`].
    #[prost(uint64, tag = "4")]
    pub round: u64,
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<LogEntry>,
}

/// Answers an [`AppendRequest`] after the entries have been synced to disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendReply {
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// On success, the last index that matches the leader's log and is synced. Otherwise, a hint
    /// for the index from which the leader should retry.
    #[prost(uint64, tag = "2")]
    pub match_index: u64,
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A chunk of a log snapshot, for a voter that needs entries from before the start of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogSnapshotChunk {
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    #[prost(message, required, tag = "3")]
    pub voters: VoterSet,
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    #[prost(uint64, tag = "5")]
    pub total_bytes: u64,
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
}

/// Answers a [`LogSnapshotChunk`] with the offset of the next chunk to send.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogSnapshotReply {
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
}

/// Asks a voter that has caught up to start an election immediately.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TimeoutNow {}

/// Asks a voter whether its data directory is empty.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FormationQuery {}

/// Answers a [`FormationQuery`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct FormationReply {
    /// Whether the data directory belongs to no group yet.
    #[prost(bool, tag = "1")]
    pub empty: bool,
    /// The group and the voters it was formed with. Absent if the data directory belongs to no
    /// group.
    #[prost(message, optional, tag = "2")]
    pub formed: Option<FormGroup>,
    /// Names of the current voters, as far as the sender knows them.
    #[prost(string, repeated, tag = "3")]
    pub voters: Vec<String>,
}

/// Tells a voter that the group has been formed. Sent by the founder that formed the group, which
/// is the one with the lowest name, to all other voters.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FormGroup {
    #[prost(uint64, tag = "1")]
    pub group_id: u64,
    #[prost(message, required, tag = "2")]
    pub voters: VoterSet,
}

/// Carries a request of another component to the leader, or the answer back.
///
/// Used for manifests and status requests of operators, for the reports of nodes and parents
/// (upstream states, progress and attachments) and for currency proofs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    #[prost(
        oneof = "forward::Content",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub content: Option<forward::Content>,
}

/// Variants of [`Forward`].
pub mod forward {
    /// The forwarded request or answer.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Content {
        /// Manifest text from an operator.
        #[prost(bytes = "bytes", tag = "2")]
        Submit(bytes::Bytes),
        #[prost(message, tag = "3")]
        SubmitReply(crate::distribution::SubmitReply),
        #[prost(message, tag = "4")]
        Report(crate::distribution::UpstreamReport),
        #[prost(message, tag = "5")]
        ConfirmRequest(super::ConfirmRequest),
        #[prost(message, tag = "6")]
        ConfirmReply(super::ConfirmReply),
        #[prost(message, tag = "7")]
        Progress(crate::distribution::Progress),
        #[prost(message, tag = "8")]
        Attachment(crate::distribution::Attachment),
        #[prost(message, tag = "9")]
        StatusRequest(crate::distribution::StatusRequest),
        #[prost(message, tag = "10")]
        StatusReply(crate::distribution::StatusReply),
        #[prost(message, tag = "11")]
        Crash(crate::quarantine::CrashReport),
        #[prost(message, tag = "12")]
        Evidence(crate::rollout::RolloutEvidence),
        #[prost(message, tag = "13")]
        RolloutOrder(crate::rollout::RolloutOrder),
        #[prost(message, tag = "14")]
        QuotaAsk(crate::quota::QuotaAsk),
        #[prost(message, tag = "15")]
        QuotaGrant(crate::quota::QuotaGrant),
        #[prost(message, tag = "16")]
        RunEnd(crate::distribution::RunEnd),
        #[prost(message, tag = "17")]
        RecordedEnds(crate::distribution::RecordedEnds),
    }
}

/// Requests a currency proof, which shows whether a catalog is up to date. The proof is a log index
/// that is at or above everything committed before the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfirmRequest {}

/// Answers a [`ConfirmRequest`]. `index` is absent if the proof failed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfirmReply {
    #[prost(uint64, optional, tag = "1")]
    pub index: Option<u64>,
}
