//! Events, steps, settings and errors.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquatlock_wire::agreement::{LogEntry, PeerMessage, VoterSet};

use super::outbox::ReleasedMessage;
use crate::core::{GroupId, SharedName};
use crate::journal::{JournalWrite, RecoveredState, StoredSnapshot};

/// Who may become a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupMembership {
    /// The voters of the settings; only their lost disks are replaced.
    Fixed,
    /// Instances join by themselves. The voters of the settings are the founders.
    Open {
        /// Whether this start may form a group. Never set for an instance that lost its disk.
        may_form_group: bool,
        /// Most voters; further members receive the log and replace voters that are lost.
        max_voters: usize,
        /// A voter that is silent for this long is replaced by a member that has caught up.
        replace_after: Duration,
    },
}

/// Names, timings and thresholds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementSettings {
    /// Name of this instance; one of `voters`.
    pub name: SharedName,
    /// Names of all voters, or of the founders of an open group.
    pub voters: Vec<SharedName>,
    pub membership: GroupMembership,
    pub heartbeat_interval: Duration,
    /// Lower end of the randomised election timeout. Also the time without a quorum after which a
    /// leader steps down, and the time for which a follower trusts its leader.
    pub election_timeout_min: Duration,
    pub election_timeout_max: Duration,
    /// Time after which an unanswered append or snapshot chunk is sent again.
    pub resend_interval: Duration,
    /// Interval of the questions that an instance with an empty folder asks.
    pub formation_interval: Duration,
    /// Applied entries since the last snapshot after which the next one is due.
    pub compaction_entries: u64,
    /// Applied payload bytes since the last snapshot after which the next one is due.
    pub compaction_bytes: u64,
}

impl AgreementSettings {
    /// Settings with the default timings.
    pub fn new(name: SharedName, voters: Vec<SharedName>) -> Self {
        AgreementSettings {
            name,
            voters,
            membership: GroupMembership::Fixed,
            heartbeat_interval: Duration::from_millis(150),
            election_timeout_min: Duration::from_secs(1),
            election_timeout_max: Duration::from_secs(2),
            resend_interval: Duration::from_millis(300),
            formation_interval: Duration::from_millis(500),
            compaction_entries: 4_096,
            compaction_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Identifies one write. Later writes have greater tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PersistTicket(pub(super) u64);

/// Identifies a proposal; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProposalTicket(pub u64);

/// Identifies a request for a currency proof; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadIndexTicket(pub u64);

/// What happened.
#[derive(Clone, Debug)]
pub enum AgreementEvent {
    /// Time has passed.
    Tick,
    /// A message from another voter. Forwarded requests of other duties are not for this duty.
    Received(PeerMessage),
    /// This request and all earlier ones are durable.
    Persisted(PersistTicket),
    /// This request failed. The caller drops the later ones.
    PersistFailed {
        ticket: PersistTicket,
        reason: PersistFailure,
    },
    /// The journal was opened again after a failure, in the same process and with the same disk
    /// identity.
    StorageReopened(RecoveredState),
    Propose {
        ticket: ProposalTicket,
        payload: Bytes,
    },
    RequestReadIndex(ReadIndexTicket),
    /// The leader should hand over, normally because its process is stopping.
    TransferLeadership,
    /// The state that [`AgreementAction::TakeSnapshot`] asked for.
    SnapshotTaken {
        last_index: u64,
        data: Bytes,
    },
}

/// Why a write failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistFailure {
    StorageFull,
    Other,
}

/// Writes to carry out in order.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistRequest {
    pub ticket: PersistTicket,
    pub writes: Vec<JournalWrite>,
}

/// What the caller must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum AgreementAction {
    /// Send now; every write that the message depends on is durable.
    Send(ReleasedMessage),
    /// Write, then feed [`AgreementEvent::Persisted`]. Requests are carried out in order.
    Persist(PersistRequest),
    /// Apply a committed entry. Indices follow each other without gaps, but for those covered by
    /// an installed snapshot.
    Apply(LogEntry),
    /// Replace the applied state by a snapshot.
    InstallSnapshot(Arc<StoredSnapshot>),
    /// Feed [`AgreementEvent::SnapshotTaken`] with the state as applied so far, which is exactly
    /// up to `last_index`. Always the last step of a call.
    TakeSnapshot { last_index: u64 },
    /// The proposal was committed at this index and the entry applied, or it failed.
    AnswerProposal {
        ticket: ProposalTicket,
        result: Result<u64, ProposalError>,
    },
    /// Everything committed before the request is at or below this index, or it is unknown.
    AnswerReadIndex {
        ticket: ReadIndexTicket,
        result: Result<u64, ReadIndexError>,
    },
    RoleChanged {
        role: AgreementRole,
        term: u64,
        leader: Option<SharedName>,
    },
}

/// Why a proposal was not committed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Not proposed. The leader, if known, may accept it.
    #[error("this instance is not the leader")]
    NotLeader { leader: Option<SharedName> },
    /// The entry may be committed later or never.
    #[error("leadership was lost before the result was known")]
    LostLeadership,
    /// Not proposed.
    #[error("the disk is full")]
    StorageFull,
    /// Not proposed.
    #[error("the disk failed")]
    StorageFailed,
    /// Not proposed.
    #[error("{MAX} proposals are waiting", MAX = super::MAX_PENDING_PROPOSALS)]
    QueueFull,
    /// Not proposed.
    #[error("the payload exceeds {MAX} bytes", MAX = super::MAX_ENTRY_BYTES)]
    TooLarge,
}

/// Why currency could not be proved.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadIndexError {
    /// The leader, if known, may be able to prove it.
    #[error("this instance is not the leader")]
    NotLeader { leader: Option<SharedName> },
    /// Leadership was lost, or no quorum answered.
    #[error("no quorum confirmed the leader")]
    LostLeadership,
    #[error("{MAX} currency requests are waiting", MAX = super::MAX_READ_INDEX_TICKETS)]
    QueueFull,
}

/// What an instance is in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AgreementRole {
    /// The folder is empty and no group is known.
    Forming,
    /// Receives the log, but its disk identity is not in the committed voter set.
    Learner,
    Follower,
    Candidate,
    Leader,
    /// A write failed; waits for the storage to be opened again.
    Halted,
}

/// Figures for operators and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreementStatus {
    pub role: AgreementRole,
    pub group_id: GroupId,
    pub term: u64,
    pub leader: Option<SharedName>,
    pub last_index: u64,
    pub synced_index: u64,
    pub commit_index: u64,
    pub applied_index: u64,
    pub snapshot_index: u64,
    /// Committed voter set.
    pub voters: VoterSet,
}
