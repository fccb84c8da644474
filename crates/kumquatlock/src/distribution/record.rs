//! State that a parent keeps for each child.

use indexmap::IndexSet;
use kumquatlock_wire::distribution::{ChildRole, Hello, Progress, UpstreamIncarnation};

use super::transfer::OutstandingUpdate;
use super::{PACED_WINDOW_BYTES, SNAPSHOT_CHUNK_BYTES};
use crate::catalog::SnapshotDetail;
use crate::core::{ConfigVersion, SharedName, Timestamp};

/// State of one admitted child.
#[derive(Debug)]
pub(super) struct ChildRecord {
    pub(super) name: SharedName,
    pub(super) incarnation: u64,
    pub(super) role: ChildRole,
    /// Whether large updates are sent in small chunks that the child acknowledges.
    pub(super) is_paced: bool,
    /// Whether the `Welcome` was sent. The child receives no updates before.
    pub(super) is_welcomed: bool,
    /// When the `Hello` arrived.
    pub(super) hello_at: Timestamp,
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
            is_paced: hello.accepts_paced_updates,
            is_welcomed: false,
            hello_at: now,
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

    /// Returns whether a snapshot is being sent to the child.
    pub(super) fn is_in_transfer(&self) -> bool {
        matches!(&self.outstanding, Some(OutstandingUpdate::Chunked(transfer)) if transfer.is_snapshot())
    }

    /// Returns the share of the parent's memory that a transfer to the child occupies, in units of
    /// a paced transfer.
    pub(super) fn transfer_cost(&self) -> usize {
        match self.is_paced {
            true => 1,
            false => SNAPSHOT_CHUNK_BYTES.div_ceil(PACED_WINDOW_BYTES),
        }
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
