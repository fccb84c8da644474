//! Reports of a parent to the leader: which version its nodes have applied, and which upstreams are
//! attached.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::{Attachment, Progress, UpstreamIncarnation};

use super::{COMPLETE_LIST_INTERVAL, KEEPALIVE_INTERVAL, PROGRESS_INTERVAL, REPORTER_TIMEOUT};
use crate::core::{ConfigVersion, SharedName, Timestamp};

/// Adds the progress of one part of a subtree to `sum`.
pub(super) fn add_progress(sum: &mut Progress, part: &Progress) {
    if part.nodes == 0 {
        return;
    }
    sum.lowest_applied = match sum.nodes {
        0 => part.lowest_applied,
        _ => sum.lowest_applied.min(part.lowest_applied),
    };
    sum.nodes = sum.nodes.saturating_add(part.nodes);
    // A node that holds a later version than `sum.current_version` counts too. If all nodes of
    // `part` have reached `sum.current_version`, all of them count. Otherwise the count in `part`
    // is used, unless it was taken at an earlier version.
    if part.lowest_applied >= sum.current_version {
        sum.current_nodes = sum.current_nodes.saturating_add(part.nodes);
    } else if part.current_version >= sum.current_version {
        sum.current_nodes = sum.current_nodes.saturating_add(part.current_nodes);
    }
}

/// Decides when a parent sends progress and attachment messages towards the leader.
#[derive(Debug)]
pub(super) struct UplinkReporter {
    name: SharedName,
    /// Sequence number of the latest attachment message. It starts at the reporter's wall clock, so
    /// that it also increases across restarts.
    sequence: u64,
    last_progress: Option<Progress>,
    progress_at: Timestamp,
    attachment_at: Timestamp,
    complete_list_at: Timestamp,
    needs_complete_list: bool,
    attached: Vec<UpstreamIncarnation>,
    detached: Vec<UpstreamIncarnation>,
}

impl UplinkReporter {
    pub(super) fn new(name: SharedName, first_sequence: u64) -> Self {
        UplinkReporter {
            name,
            sequence: first_sequence,
            last_progress: None,
            progress_at: Timestamp::default(),
            attachment_at: Timestamp::default(),
            complete_list_at: Timestamp::default(),
            needs_complete_list: true,
            attached: Vec::new(),
            detached: Vec::new(),
        }
    }

    pub(super) fn record_attached(&mut self, upstream: UpstreamIncarnation) {
        self.detached.retain(|other| *other != upstream);
        self.attached.push(upstream);
    }

    pub(super) fn record_detached(&mut self, upstream: UpstreamIncarnation) {
        self.attached.retain(|other| *other != upstream);
        self.detached.push(upstream);
    }

    /// Schedules a complete report, because the parent above this reporter has changed.
    pub(super) fn restart(&mut self) {
        self.needs_complete_list = true;
        self.last_progress = None;
    }

    /// Returns the progress message to send now, if one is due.
    pub(super) fn progress_due(&mut self, now: Timestamp, progress: Progress) -> Option<Progress> {
        let changed = self.last_progress.as_ref() != Some(&progress);
        if !is_due(now, self.progress_at, changed) {
            return None;
        }
        self.progress_at = now;
        self.last_progress = Some(progress.clone());
        Some(progress)
    }

    /// Returns the attachment message to send now, if one is due. `all` lists every attached
    /// upstream.
    pub(super) fn attachment_due(
        &mut self,
        now: Timestamp,
        all: impl FnOnce() -> Vec<UpstreamIncarnation>,
    ) -> Option<Attachment> {
        let changed =
            self.needs_complete_list || !self.attached.is_empty() || !self.detached.is_empty();
        if !is_due(now, self.attachment_at, changed) {
            return None;
        }
        self.attachment_at = now;
        self.sequence += 1;
        let mut attachment = Attachment {
            reporter: self.name.to_string(),
            attached: std::mem::take(&mut self.attached),
            detached: std::mem::take(&mut self.detached),
            sequence: self.sequence,
            complete: false,
        };
        if self.needs_complete_list || now.since(self.complete_list_at) >= COMPLETE_LIST_INTERVAL {
            self.needs_complete_list = false;
            self.complete_list_at = now;
            attachment.complete = true;
            attachment.attached = all();
            attachment.detached = Vec::new();
        }
        Some(attachment)
    }
}

fn is_due(now: Timestamp, last: Timestamp, changed: bool) -> bool {
    let interval: Duration = if changed {
        PROGRESS_INTERVAL
    } else {
        KEEPALIVE_INTERVAL
    };
    now.since(last) >= interval
}

/// Number of nodes that have applied a version, out of all attached nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForceCount {
    /// Number of nodes that are attached to any parent.
    pub attached: u64,
    /// Lower bound of the number of attached nodes that have applied the version.
    pub applied: u64,
}

impl InForceCount {
    /// Returns whether every attached node has applied the version.
    pub fn is_in_force(&self) -> bool {
        self.applied >= self.attached
    }
}

/// The leader's view of the progress that the voters report.
#[derive(Debug, Default)]
pub struct ProgressTable {
    reporters: IndexMap<String, (Timestamp, Progress)>,
}

impl ProgressTable {
    /// Records the progress of one voter's subtree, and removes reporters that have been silent for
    /// [`REPORTER_TIMEOUT`].
    pub fn record(&mut self, now: Timestamp, progress: Progress) {
        self.reporters
            .insert(progress.reporter.clone(), (now, progress));
        self.reporters
            .retain(|_, (heard_at, _)| now.since(*heard_at) < REPORTER_TIMEOUT);
    }

    /// Removes a voter that was lost. Its nodes attach to other parents.
    pub fn remove(&mut self, reporter: &str) {
        self.reporters.swap_remove(reporter);
    }

    /// Returns the counts over all reporters that are not silent.
    pub fn count(&self, now: Timestamp, version: ConfigVersion) -> InForceCount {
        let mut sum = Progress {
            current_version: version.0,
            ..Progress::default()
        };
        for (heard_at, progress) in self.reporters.values() {
            if now.since(*heard_at) < REPORTER_TIMEOUT {
                add_progress(&mut sum, progress);
            }
        }
        InForceCount {
            attached: sum.nodes,
            applied: sum.current_nodes,
        }
    }
}

/// Replaces the upstreams of one child and records the differences in `reporter`.
pub(super) fn replace_upstreams(
    current: &mut IndexSet<UpstreamIncarnation>,
    next: IndexSet<UpstreamIncarnation>,
    reporter: &mut UplinkReporter,
) {
    for removed in current.difference(&next) {
        reporter.record_detached(removed.clone());
    }
    for added in next.difference(current) {
        reporter.record_attached(added.clone());
    }
    *current = next;
}
