//! Events, actions, settings and errors of the engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquatlock_wire::agreement::{LogEntry, PeerMessage, VoterSet};

use super::outbox::ReleasedMessage;
use crate::core::{GroupId, SharedName};
use crate::journal::{JournalWrite, RecoveredState, StoredSnapshot};

/// Rules for which instances may become voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupMembership {
    /// The voters are those listed in the settings. Only the identity of a lost disk is replaced.
    Fixed,
    /// Instances may join a running group. The voters listed in the settings are the founders.
    Open {
        /// Whether the instance may form a new group in this run. Never set for an instance that
        /// lost its disk.
        may_form_group: bool,
        /// Maximum number of voters. Further members are learners that replace lost voters.
        max_voters: usize,
        /// Silence after which a voter is replaced by a learner that has caught up.
        replace_after: Duration,
    },
}

/// Settings of one instance's engine: names, timings and thresholds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementSettings {
    /// Name of this instance. In a fixed group it is one of `voters`.
    pub name: SharedName,
    /// Names of all voters, or of the founders of an open group.
    pub voters: Vec<SharedName>,
    pub membership: GroupMembership,
    pub heartbeat_interval: Duration,
    /// Minimum of the randomised election timeout. Also the time without contact to a quorum after
    /// which a leader steps down, and the time since the last contact with the leader during which
    /// a follower grants votes only for a leadership transfer.
    pub election_timeout_min: Duration,
    pub election_timeout_max: Duration,
    /// Time after which an unacknowledged append or snapshot chunk is resent.
    pub resend_interval: Duration,
    /// Interval of the formation queries that an instance sends while it has no group, and of the
    /// join requests in an open group.
    pub formation_interval: Duration,
    /// A snapshot is taken once this many entries have been applied since the last one.
    pub compaction_entries: u64,
    /// A snapshot is also taken once this many payload bytes have been applied since the last one.
    pub compaction_bytes: u64,
}

impl AgreementSettings {
    /// Creates settings for a fixed group with the default timings.
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

/// Identifies one write request. Later requests have greater tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PersistTicket(pub(super) u64);

/// Identifies a proposal. Chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProposalTicket(pub u64);

/// Identifies a read-index request. Chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadIndexTicket(pub u64);

/// Log index at or above everything that was committed when a request arrived. A state that includes
/// the entries up to it is current for that request.
///
/// Only the engine that leads creates one, after a quorum has confirmed after the request that it
/// still leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadIndex(pub(super) u64);

impl ReadIndex {
    pub fn index(self) -> u64 {
        self.0
    }

    /// Returns the index that the leader has sent in its answer to a forwarded request.
    pub(crate) fn from_leader(index: u64) -> Self {
        ReadIndex(index)
    }
}

/// Input of the [`AgreementEngine`](super::AgreementEngine).
#[derive(Clone, Debug)]
pub enum AgreementEvent {
    /// Passed in every [`TICK_INTERVAL_MS`](super::TICK_INTERVAL_MS).
    Tick,
    /// A message from another member. The caller handles forwarded requests of other components
    /// itself and does not pass them in.
    Received(PeerMessage),
    /// This write request and all earlier ones are durable.
    Persisted(PersistTicket),
    /// This write request failed. The caller drops all later write requests.
    PersistFailed {
        ticket: PersistTicket,
        reason: PersistFailure,
    },
    /// The journal was reopened after a failed write, by the same process and with the same disk
    /// identity.
    StorageReopened(RecoveredState),
    Propose {
        ticket: ProposalTicket,
        payload: Bytes,
    },
    /// Asks for an index at or above everything committed so far, as for a linearizable read.
    RequestReadIndex(ReadIndexTicket),
    /// Asks the leader to hand over leadership, normally because its process is stopping.
    TransferLeadership,
    /// The applied state that [`AgreementAction::TakeSnapshot`] asked for.
    SnapshotTaken { last_index: u64, data: Bytes },
}

/// Why a write failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistFailure {
    StorageFull,
    Other,
}

/// Writes to the journal, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistRequest {
    pub ticket: PersistTicket,
    pub writes: Vec<JournalWrite>,
}

/// An action for the caller. Actions must be carried out in the order in which they are returned.
#[expect(
    clippy::large_enum_variant,
    reason = "an action is moved once and never stored"
)]
#[derive(Clone, Debug, PartialEq)]
pub enum AgreementAction {
    /// Send the message now. Every write that it depends on is durable.
    Send(ReleasedMessage),
    /// Carry out the writes, then pass in [`AgreementEvent::Persisted`]. Requests must be carried
    /// out in order.
    Persist(PersistRequest),
    /// Apply a committed entry. Indices are consecutive except for those that an installed
    /// snapshot covers.
    Apply(LogEntry),
    /// Replace the applied state with a snapshot.
    InstallSnapshot(Arc<StoredSnapshot>),
    /// Pass in [`AgreementEvent::SnapshotTaken`] with the state applied so far, which includes
    /// exactly the entries up to `last_index`. Always the last action that a call returns.
    TakeSnapshot { last_index: u64 },
    /// Report that the proposal was committed at this index and its entry applied, or that it
    /// failed.
    AnswerProposal {
        ticket: ProposalTicket,
        result: Result<u64, ProposalError>,
    },
    /// Answer a read-index request.
    AnswerReadIndex {
        ticket: ReadIndexTicket,
        result: Result<ReadIndex, ReadIndexError>,
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
    /// The entry was not proposed. The leader, if known, may accept it.
    #[error("this instance is not the leader")]
    NotLeader { leader: Option<SharedName> },
    /// The entry was proposed. It may still be committed later, or never.
    #[error("leadership was lost before the result was known")]
    LostLeadership,
    /// The entry was not proposed.
    #[error("the disk is full")]
    StorageFull,
    /// The entry was not proposed.
    #[error("writing to the disk failed")]
    StorageFailed,
    /// The entry was not proposed, because too many proposals or payload bytes are waiting.
    #[error("too many proposals are waiting; the limit is {MAX}", MAX = super::MAX_PENDING_PROPOSALS)]
    QueueFull,
    /// The entry was not proposed.
    #[error("the payload exceeds {MAX} bytes", MAX = super::MAX_ENTRY_BYTES)]
    TooLarge,
}

/// Why a read-index request was not answered with an index.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadIndexError {
    /// The leader, if known, may be able to answer the request.
    #[error("this instance is not the leader")]
    NotLeader { leader: Option<SharedName> },
    /// The leader lost its leadership, or no quorum answered.
    #[error("no quorum confirmed that this instance is still the leader")]
    LostLeadership,
    #[error("{MAX} read-index requests are waiting", MAX = super::MAX_READ_INDEX_TICKETS)]
    QueueFull,
}

/// Role of an instance in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AgreementRole {
    /// The data directory is empty and the instance knows no group.
    Forming,
    /// Receives the log, but its disk identity is in no voter set.
    Learner,
    Follower,
    Candidate,
    Leader,
    /// A write failed. The instance waits for the journal to be reopened.
    Halted,
}

/// Status of the replicated log, for operators and metrics.
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
    /// Index of the first entry of the current term if this instance is the leader, otherwise 0.
    /// On the leader it is at least 1 and at most `last_index`. While `applied_index` is below it,
    /// the leader's log may hold entries that earlier leaders committed and acknowledged but that
    /// are not applied here yet.
    pub term_start_index: u64,
    /// Committed voter set.
    pub voters: VoterSet,
}
