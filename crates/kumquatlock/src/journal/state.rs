//! What is kept on disk.

use std::sync::Arc;

use bytes::Bytes;
use kumquatlock_wire::agreement::{FormGroup, LogEntry, VoterIdentity, VoterSet};

/// Content of the metadata file.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoredMetadata {
    /// Random identity of the data folder, never zero.
    #[prost(uint64, tag = "1")]
    pub disk_id: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Candidate that received this instance's vote in `term`.
    #[prost(message, optional, tag = "3")]
    pub vote: Option<VoterIdentity>,
    /// The group as it was formed; absent while the instance belongs to none.
    #[prost(message, optional, tag = "4")]
    pub formed: Option<FormGroup>,
    /// Latest voter set known to be committed.
    #[prost(message, optional, tag = "5")]
    pub voters: Option<VoterSet>,
    /// Log index of `voters`; zero for the set of the formation.
    #[prost(uint64, tag = "6")]
    pub voters_index: u64,
}

impl StoredMetadata {
    /// Identity of the group, zero if there is none.
    pub fn group_id(&self) -> u64 {
        self.formed.as_ref().map_or(0, |formed| formed.group_id)
    }
}

/// State of the applied log up to an index.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoredSnapshot {
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Voter set in force at `last_index`.
    #[prost(message, required, tag = "3")]
    pub voters: VoterSet,
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// One durable change of the journal.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalWrite {
    /// Replaces the metadata file.
    Metadata(StoredMetadata),
    /// Appends consecutive entries. If the first index is at or below the last one, the suffix
    /// from there on is replaced.
    Append(Vec<LogEntry>),
    /// Replaces the snapshot by a newer one of this instance's own state and drops segments
    /// that hold only entries below `keep_from`.
    SaveSnapshot {
        snapshot: Arc<StoredSnapshot>,
        keep_from: u64,
    },
    /// Replaces the snapshot by one received from the leader and discards the whole log.
    InstallSnapshot(Arc<StoredSnapshot>),
}

/// What [`Journal::open`](super::Journal::open) found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    pub metadata: StoredMetadata,
    pub snapshot: Option<Arc<StoredSnapshot>>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
    /// Bytes of an unfinished record that were cut off the end of the log.
    pub torn_bytes: u64,
}
