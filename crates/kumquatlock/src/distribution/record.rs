//! What a parent knows of one child.

use indexmap::IndexSet;
use kumquatlock_wire::distribution::{
    ChildRole, Hello, Progress, SnapshotChunk, UpstreamIncarnation,
};

use super::SNAPSHOT_CHUNK_BYTES;
use crate::catalog::{EncodedSnapshot, SnapshotDetail};
use crate::core::{ConfigVersion, SharedName, Timestamp};

/// The update that a child has been sent and not yet answered.
#[derive(Debug)]
pub(super) enum OutstandingUpdate {
    Delta {
        version: ConfigVersion,
        since: Timestamp,
    },
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way to one child.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: EncodedSnapshot,
    pub(super) sent: usize,
    pub(super) since: Timestamp,
    /// When the latest chunk was sent.
    pub(super) chunk_at: Timestamp,
}

impl SnapshotTransfer {
    /// The next chunk; `None` after the last. Chunks share the encoded bytes.
    pub(super) fn next_chunk(&mut self) -> Option<SnapshotChunk> {
        let total = self.snapshot.bytes.len();
        if self.sent >= total {
            return None;
        }
        let end = total.min(self.sent + SNAPSHOT_CHUNK_BYTES);
        let chunk = SnapshotChunk {
            version: self.snapshot.version.0,
            offset: self.sent as u64,
            total_bytes: total as u64,
            digest: self.snapshot.digest,
            data: self.snapshot.bytes.slice(self.sent..end),
        };
        self.sent = end;
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

    /// When the latest byte was sent.
    pub(super) fn sent_at(&self) -> Timestamp {
        match self {
            OutstandingUpdate::Delta { since, .. } => *since,
            OutstandingUpdate::Snapshot(transfer) => transfer.chunk_at,
        }
    }
}

/// One admitted child.
#[derive(Debug)]
pub(super) struct ChildRecord {
    pub(super) name: SharedName,
    pub(super) incarnation: u64,
    pub(super) role: ChildRole,
    /// Nothing but pings is answered before.
    pub(super) is_welcomed: bool,
    /// Zero while the child holds no configuration. Only grows.
    pub(super) applied: ConfigVersion,
    /// Floor of the welcome.
    pub(super) floor: ConfigVersion,
    /// The next update must be a snapshot, because a delta was rejected or would be.
    pub(super) needs_snapshot: bool,
    /// The child said that it holds this version with another content. It counts as not applied.
    pub(super) diverged: Option<ConfigVersion>,
    /// Snapshots up to this version were rejected and are not sent again.
    pub(super) refused: ConfigVersion,
    /// At most one update is on its way.
    pub(super) outstanding: Option<OutstandingUpdate>,
    pub(super) last_heard: Timestamp,
    /// Upstreams of a node. At most `MAX_UPSTREAMS_PER_NODE`.
    pub(super) upstreams: IndexSet<UpstreamIncarnation>,
    /// Latest progress of a replica's subtree.
    pub(super) subtree: Progress,
}

impl ChildRecord {
    pub(super) fn new(now: Timestamp, hello: &Hello) -> Self {
        ChildRecord {
            name: hello.name.as_str().into(),
            incarnation: hello.incarnation,
            role: role_of(hello),
            is_welcomed: false,
            applied: ConfigVersion(hello.applied_version),
            floor: ConfigVersion(0),
            needs_snapshot: false,
            diverged: None,
            refused: ConfigVersion(0),
            outstanding: None,
            last_heard: now,
            upstreams: IndexSet::new(),
            subtree: Progress::default(),
        }
    }

    pub(super) fn holds_config(&self) -> bool {
        self.applied != ConfigVersion(0)
    }

    /// Whether the child holds what its version stands for.
    fn is_sound(&self) -> bool {
        self.diverged != Some(self.applied)
    }

    pub(super) fn is_in_transfer(&self) -> bool {
        matches!(self.outstanding, Some(OutstandingUpdate::Snapshot(_)))
    }

    /// Replicas get the history too, so that they can serve deltas from earlier versions.
    pub(super) fn detail(&self) -> SnapshotDetail {
        match self.role {
            ChildRole::Node => SnapshotDetail::Routing,
            ChildRole::Replica => SnapshotDetail::Full,
        }
    }

    /// What the child's subtree adds to its parent's progress.
    pub(super) fn progress(&self, current: ConfigVersion) -> Progress {
        match self.role {
            ChildRole::Replica => self.subtree.clone(),
            ChildRole::Node => Progress {
                reporter: String::new(),
                nodes: 1,
                lowest_applied: self.applied.0 - u64::from(!self.is_sound()),
                current_version: current.0,
                current_nodes: u64::from(self.applied >= current && self.is_sound()),
            },
        }
    }
}

pub(super) fn role_of(hello: &Hello) -> ChildRole {
    ChildRole::try_from(hello.role).unwrap_or(ChildRole::Node)
}
