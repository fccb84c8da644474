//! Data that the journal stores, and the writes that change it.

use std::sync::Arc;

use bytes::Bytes;
use kumquatlock_wire::agreement::{FormGroup, LogEntry, VoterIdentity, VoterSet};

/// Content of the metadata file.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoredMetadata {
    /// Random identity of the data directory, never zero.
    #[prost(uint64, tag = "1")]
    pub disk_id: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Candidate that received this instance's vote in `term`.
    #[prost(message, optional, tag = "3")]
    pub vote: Option<VoterIdentity>,
    /// The group as it was formed; absent while the instance belongs to no group.
    #[prost(message, optional, tag = "4")]
    pub formed: Option<FormGroup>,
    /// Latest voter set known to be committed.
    #[prost(message, optional, tag = "5")]
    pub voters: Option<VoterSet>,
    /// Log index of `voters`; zero for the voter set with which the group was formed.
    #[prost(uint64, tag = "6")]
    pub voters_index: u64,
}

impl StoredMetadata {
    /// Returns the identity of the group, or zero if the instance belongs to no group.
    pub fn group_id(&self) -> u64 {
        self.formed.as_ref().map_or(0, |formed| formed.group_id)
    }
}

/// Applied state after all entries up to an index.
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
    /// Appends consecutive entries. If the log already has an entry at the first index, that entry
    /// and all later ones are replaced.
    Append(Vec<LogEntry>),
    /// Replaces the snapshot with a newer one of this instance's own state, and removes the
    /// segments that contain only entries below `keep_from` and covered by the snapshot.
    SaveSnapshot {
        snapshot: Arc<StoredSnapshot>,
        keep_from: u64,
    },
    /// Replaces the snapshot with one that was received from the leader, and discards the whole
    /// log.
    InstallSnapshot(Arc<StoredSnapshot>),
}

/// State that [`Journal::open`](super::Journal::open) recovered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    pub metadata: StoredMetadata,
    pub snapshot: Option<Arc<StoredSnapshot>>,
    /// Entries after the snapshot, with consecutive indices.
    pub entries: Vec<LogEntry>,
    /// Size of the incomplete record that was truncated from the end of the log, in bytes.
    pub torn_bytes: u64,
}

impl RecoveredState {
    /// Returns the index of the last entry, or the last index that the snapshot covers.
    pub fn last_index(&self) -> u64 {
        let snapshot_index = self.snapshot.as_ref().map(|snapshot| snapshot.last_index);
        let entry_index = self.entries.last().map(|entry| entry.index);
        entry_index.or(snapshot_index).unwrap_or(0)
    }
}
