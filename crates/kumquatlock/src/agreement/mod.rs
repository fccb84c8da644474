//! Replicated log among the voters, in the manner of Raft.
//!
//! [`AgreementEngine`] decides and does no I/O. The caller feeds [`AgreementEvent`]s and carries out
//! the returned [`AgreementAction`]s in order. Writes go to the [`journal`](crate::journal) as
//! [`PersistRequest`]s; messages that depend on a write stay inside until the caller reports
//! [`AgreementEvent::Persisted`], so a [`ReleasedMessage`] may always leave at once.
//!
//! The parts are: `formation` (first start), `election` (pre-vote, votes, timeouts), `leader`
//! and `follower` (append and commit), `currency` (proofs that an index is current), `transfer`
//! (leadership) and `snapshot` (compaction and voters that are behind). `voters` decides which
//! votes and acknowledgements count, `outbox` orders messages behind writes.
//!
//! A voter that lost its disk answers with a new disk identity. It is a learner: it receives the
//! log, but neither votes nor counts. Once it has caught up, the leader commits a voter set that
//! names the new identity, by a quorum that counts neither the old nor the new one.
//!
//! In an open group ([`GroupMembership::Open`]) instances join by asking any member. They are
//! learners until the leader commits a voter set with them. While a set is in the log, every
//! decision needs a quorum of the committed set and of the new one, so the sets may differ in any
//! number of voters.

mod currency;
mod election;
mod follower;
mod formation;
mod joining;
mod leader;
mod log;
mod machine;
mod outbox;
mod progress;
mod snapshot;
mod transfer;
mod types;
mod voters;

pub use machine::AgreementEngine;
pub use outbox::ReleasedMessage;
pub use types::{
    AgreementAction, AgreementEvent, AgreementRole, AgreementSettings, AgreementStatus,
    GroupMembership, PersistFailure, PersistRequest, PersistTicket, ProposalError, ProposalTicket,
    ReadIndexError, ReadIndexTicket,
};

/// Interval at which the caller feeds [`AgreementEvent::Tick`], in milliseconds. A third of the
/// heartbeat interval, so that a heartbeat is at most a third late.
pub const TICK_INTERVAL_MS: u64 = 50;

/// Proposals that wait for their commit, counted per leader.
pub const MAX_PENDING_PROPOSALS: usize = 4_096;

/// Payload bytes of proposals that wait for their commit, per leader.
pub const MAX_PENDING_PROPOSAL_BYTES: usize = 32 * 1024 * 1024;

/// Currency tickets that wait for a round, counted per leader.
pub const MAX_READ_INDEX_TICKETS: usize = 4_096;

/// Largest payload of one entry, in bytes. A manifest is at most 1 MiB; with its entry it still
/// fits into one frame.
pub const MAX_ENTRY_BYTES: usize = 1_536 * 1024;

/// Entries in one append.
pub const MAX_BATCH_ENTRIES: usize = 512;

/// Payload bytes in one append. A single larger entry is sent alone.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Bytes of snapshot data in one chunk.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Largest snapshot that is sent or received, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// Entries kept in front of a new snapshot, so that a voter that is slightly behind still gets
/// entries rather than the snapshot.
pub const KEPT_ENTRIES: u64 = 512;

/// Members that one instance keeps in touch with.
pub const MAX_MEMBERS: usize = 64;

/// Messages held back behind a write. Further ones are dropped and logged; the protocol sends
/// each kind of message again.
pub const MAX_HELD_MESSAGES: usize = 4_096;

#[cfg(test)]
mod tests;
