//! State that a parent keeps for each child.

use indexmap::IndexSet;
use kumquatlock_wire::distribution::{
    ChildRole, Hello, Progress, SnapshotChunk, UpstreamIncarnation,
};

use super::SNAPSHOT_CHUNK_BYTES;
use crate::catalog::{EncodedSnapshot, SnapshotDetail};
use crate::core::{ConfigVersion, SharedName, Timestamp};

/// An update that was sent to a child and that the child has not answered yet.
#[derive(Debug)]
pub(super) enum OutstandingUpdate {
    Delta {
        version: ConfigVersion,
        since: Timestamp,
    },
    Snapshot(SnapshotTransfer),
}

/// A snapshot transfer to one child.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: EncodedSnapshot,
    pub(super) sent_bytes: usize,
    pub(super) started_at: Timestamp,
    /// Time at which the latest chunk was sent.
    pub(super) last_chunk_at: Timestamp,
}

impl SnapshotTransfer {
    /// Returns the next chunk, or `None` after the last one. Chunks share the memory of the encoded
    /// snapshot.
    pub(super) fn next_chunk(&mut self) -> Option<SnapshotChunk> {
        let total = self.snapshot.bytes.len();
        if self.sent_bytes >= total {
            return None;
        }
        let end = total.min(self.sent_bytes + SNAPSHOT_CHUNK_BYTES);
        let chunk = SnapshotChunk {
            version: self.snapshot.version.0,
            offset: self.sent_bytes as u64,
            total_bytes: total as u64,
            digest: self.snapshot.digest,
            data: self.snapshot.bytes.slice(self.sent_bytes..end),
        };
        self.sent_bytes = end;
        Some(chunk)
    }
}

impl OutstandingUpdate {
    pub(super) fn version(&self) -> ConfigVersion {
        match self {
            OutstandingUpdate::Delta { version, .. } => *version,
            OutstandingUpdate::Snapshot(transfer) => transfer.snapshot.version,
        }
    }

    /// Returns the time at which the latest part of the update was sent.
    pub(super) fn sent_at(&self) -> Timestamp {
        match self {
            OutstandingUpdate::Delta { since, .. } => *since,
            OutstandingUpdate::Snapshot(transfer) => transfer.last_chunk_at,
        }
    }
}

/// State of one admitted child.
#[derive(Debug)]
pub(super) struct ChildRecord {
    pub(super) name: SharedName,
    pub(super) incarnation: u64,
    pub(super) role: ChildRole,
    /// Whether the `Welcome` was sent. The child receives no updates before.
    pub(super) is_welcomed: bool,
    /// Version that the child has applied; zero without a configuration. Never decreases.
    pub(super) applied: ConfigVersion,
    /// Floor of the `Welcome` that was sent to the child.
    pub(super) floor: ConfigVersion,
    /// Whether the next update must be a snapshot, because the child rejected an update or has
    /// diverged.
    pub(super) needs_snapshot: bool,
    /// Version that the child reported with a different digest than the catalog's. The child does
    /// not count as having applied it.
    pub(super) diverged: Option<ConfigVersion>,
    /// Latest version of a snapshot that the child rejected. Snapshots up to this version are not
    /// sent again.
    pub(super) rejected_up_to: ConfigVersion,
    /// The update that the child has not answered yet; at most one.
    pub(super) outstanding: Option<OutstandingUpdate>,
    pub(super) last_heard: Timestamp,
    /// Upstreams of a node. At most `MAX_UPSTREAMS_PER_NODE`.
    pub(super) upstreams: IndexSet<UpstreamIncarnation>,
    /// Latest progress that a replica reported for its subtree.
    pub(super) subtree_progress: Progress,
}

impl ChildRecord {
    pub(super) fn new(now: Timestamp, hello: &Hello) -> Self {
        ChildRecord {
            name: hello.name.as_str().into(),
            incarnation: hello.incarnation,
            role: child_role(hello),
            is_welcomed: false,
            applied: ConfigVersion(hello.applied_version),
            floor: ConfigVersion(0),
            needs_snapshot: false,
            diverged: None,
            rejected_up_to: ConfigVersion(0),
            outstanding: None,
            last_heard: now,
            upstreams: IndexSet::new(),
            subtree_progress: Progress::default(),
        }
    }

    pub(super) fn holds_config(&self) -> bool {
        self.applied != ConfigVersion(0)
    }

    /// Returns whether the child's configuration has the content that belongs to its version.
    fn is_consistent(&self) -> bool {
        self.diverged != Some(self.applied)
    }

    pub(super) fn is_in_transfer(&self) -> bool {
        matches!(self.outstanding, Some(OutstandingUpdate::Snapshot(_)))
    }

    /// Returns the detail of the child's snapshots. Snapshots for replicas include the history, so
    /// that replicas can compute deltas from earlier versions.
    pub(super) fn detail(&self) -> SnapshotDetail {
        match self.role {
            ChildRole::Node => SnapshotDetail::Routing,
            ChildRole::Replica => SnapshotDetail::Full,
        }
    }

    /// Returns the progress of the child's subtree, for the sum of its parent.
    pub(super) fn progress(&self, current: ConfigVersion) -> Progress {
        match self.role {
            ChildRole::Replica => self.subtree_progress.clone(),
            ChildRole::Node => Progress {
                reporter: String::new(),
                nodes: 1,
                lowest_applied: self.applied.0 - u64::from(!self.is_consistent()),
                current_version: current.0,
                current_nodes: u64::from(self.applied >= current && self.is_consistent()),
            },
        }
    }
}

pub(super) fn child_role(hello: &Hello) -> ChildRole {
    ChildRole::try_from(hello.role).unwrap_or(ChildRole::Node)
}
