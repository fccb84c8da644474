//! Raft consensus: a log that is replicated among the voters.
//!
//! [`AgreementEngine`] makes the decisions and does no I/O. The caller passes it
//! [`AgreementEvent`]s and carries out the returned [`AgreementAction`]s in order. Writes go to the
//! [`journal`](crate::journal) as [`PersistRequest`]s. The engine holds back each message that
//! depends on a write until the caller reports [`AgreementEvent::Persisted`], so the caller may
//! send every [`ReleasedMessage`] immediately.
//!
//! The submodules are: `formation` (forming a group at the first start), `election` (pre-votes,
//! votes and timeouts), `leader` and `follower` (append and commit), `read_index` (confirming
//! that a commit index is current), `transfer` (leadership transfer), `snapshot` (log compaction,
//! and snapshots for members that need compacted entries), `joining` (membership changes),
//! `bounds` (numbers that are accepted from other members),
//! `voters` (which votes and acknowledgements count) and `outbox` (ordering of messages after
//! writes).
//!
//! The members of a group are its *voters* and its *learners*. A quorum of the voters must have
//! stored an entry before it is committed. A learner receives the log, but its votes and
//! acknowledgements do not count. A voter is identified by its name and its *disk identity*, a
//! random number that is stored in its data directory.
//!
//! A voter that lost its disk comes back with a new disk identity and is then a learner. Once it
//! has caught up, the leader commits a voter set that names the new identity. The quorum for that
//! commit counts neither the old nor the new identity.
//!
//! In an open group ([`GroupMembership::Open`]) an instance joins by asking any member. It is a
//! learner until the leader commits a voter set that contains it. While an uncommitted voter set
//! is in the log, every decision needs a quorum of the committed set and of the new set, so the
//! two sets may differ in any number of voters.

mod bounds;
mod election;
mod follower;
mod formation;
mod joining;
mod leader;
mod log;
mod machine;
mod outbox;
mod progress;
mod read_index;
mod snapshot;
mod transfer;
mod types;
mod voters;

pub use machine::AgreementEngine;
pub use outbox::ReleasedMessage;
pub use types::{
    AgreementAction, AgreementEvent, AgreementRole, AgreementSettings, AgreementStatus,
    GroupMembership, PersistFailure, PersistRequest, PersistTicket, ProposalError, ProposalTicket,
    ReadIndex, ReadIndexError, ReadIndexTicket,
};

/// Interval at which the caller passes in [`AgreementEvent::Tick`], in milliseconds. It is a third
/// of the default heartbeat interval, so that a heartbeat is late by at most a third of that
/// interval.
pub const TICK_INTERVAL_MS: u64 = 50;

/// Maximum number of proposals that wait for their commit on a leader.
pub const MAX_PENDING_PROPOSALS: usize = 4_096;

/// Maximum total payload of the proposals that wait for their commit on a leader, in bytes.
pub const MAX_PENDING_PROPOSAL_BYTES: usize = 32 * 1024 * 1024;

/// Maximum number of read-index requests that wait for a heartbeat round on a leader.
pub const MAX_READ_INDEX_TICKETS: usize = 4_096;

/// Maximum payload of one entry, in bytes. Room for the largest manifest and the names of all items
/// that it removes, and its entry still fits into one frame.
pub const MAX_ENTRY_BYTES: usize = 10 * 1024 * 1024;

/// Maximum number of entries in one append.
pub const MAX_BATCH_ENTRIES: usize = 512;

/// Maximum total payload in one append, in bytes. A larger single entry is sent alone.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Maximum snapshot data in one chunk, in bytes.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Maximum size of a snapshot that is sent or received, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// Number of entries that stay in the log although a new snapshot covers them, so that a voter
/// that is slightly behind can be sent entries instead of the snapshot.
pub const RETAINED_ENTRIES: u64 = 512;

/// Maximum number of members that one instance tracks or connects to.
pub const MAX_MEMBERS: usize = 64;

/// Maximum number of messages that wait for a write. Further messages are dropped and logged,
/// which is safe because the protocol resends every kind of message.
pub const MAX_HELD_MESSAGES: usize = 4_096;

#[cfg(test)]
mod tests;
