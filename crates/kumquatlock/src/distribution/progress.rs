//! How far the nodes below a parent are, and which of them are attached.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::{Attachment, Progress, UpstreamIncarnation};

use super::{COMPLETE_LIST_INTERVAL, KEEPALIVE_INTERVAL, PROGRESS_INTERVAL, REPORTER_TIMEOUT};
use crate::core::{ConfigVersion, SharedName, Timestamp};

/// Adds one part of a subtree to the sum of the parts.
pub(super) fn add_progress(sum: &mut Progress, part: &Progress) {
    if part.nodes == 0 {
        return;
    }
    sum.lowest_applied = match sum.nodes {
        0 => part.lowest_applied,
        _ => sum.lowest_applied.min(part.lowest_applied),
    };
    sum.nodes += part.nodes;
    // Nodes that hold a later version hold this one too. A part that counted at an earlier
    // version says nothing of this one, unless all its nodes are past it.
    if part.lowest_applied >= sum.current_version {
        sum.current_nodes += part.nodes;
    } else if part.current_version >= sum.current_version {
        sum.current_nodes += part.current_nodes;
    }
}

/// Decides when progress and attachments are reported upwards.
#[derive(Debug)]
pub(super) struct UplinkReporter {
    name: SharedName,
    /// Starts at the reporter's wall clock, so that it also grows over restarts.
    sequence: u64,
    last_progress: Option<Progress>,
    progress_at: Timestamp,
    attachment_at: Timestamp,
    complete_at: Timestamp,
    needs_complete: bool,
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
            complete_at: Timestamp::default(),
            needs_complete: true,
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

    /// Whoever is above now knows nothing of this reporter.
    pub(super) fn restart(&mut self) {
        self.needs_complete = true;
        self.last_progress = None;
    }

    /// The progress to report now.
    pub(super) fn progress_due(&mut self, now: Timestamp, progress: Progress) -> Option<Progress> {
        let changed = self.last_progress.as_ref() != Some(&progress);
        if !is_due(now, self.progress_at, changed) {
            return None;
        }
        self.progress_at = now;
        self.last_progress = Some(progress.clone());
        Some(progress)
    }

    /// The attachments to report now; `all` lists every attached upstream.
    pub(super) fn attachment_due(
        &mut self,
        now: Timestamp,
        all: impl FnOnce() -> Vec<UpstreamIncarnation>,
    ) -> Option<Attachment> {
        let changed = self.needs_complete || !self.attached.is_empty() || !self.detached.is_empty();
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
        if self.needs_complete || now.since(self.complete_at) >= COMPLETE_LIST_INTERVAL {
            self.needs_complete = false;
            self.complete_at = now;
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

/// How many nodes have applied a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForceCount {
    /// Nodes attached anywhere.
    pub attached: u64,
    /// Nodes known to have applied the version. Never too high.
    pub applied: u64,
}

impl InForceCount {
    /// Whether every attached node has applied the version.
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
    /// Records the progress of one voter's subtree. Forgets reporters that went silent.
    pub fn record(&mut self, now: Timestamp, progress: Progress) {
        self.reporters
            .insert(progress.reporter.clone(), (now, progress));
        self.reporters
            .retain(|_, (heard, _)| now.since(*heard) < REPORTER_TIMEOUT);
    }

    /// Forgets a voter that was lost; its nodes attach elsewhere.
    pub fn remove(&mut self, reporter: &str) {
        self.reporters.swap_remove(reporter);
    }

    /// Counts over all reporters that are not silent.
    pub fn count(&self, now: Timestamp, version: ConfigVersion) -> InForceCount {
        let mut sum = Progress {
            current_version: version.0,
            ..Progress::default()
        };
        for (heard, progress) in self.reporters.values() {
            if now.since(*heard) < REPORTER_TIMEOUT {
                add_progress(&mut sum, progress);
            }
        }
        InForceCount {
            attached: sum.nodes,
            applied: sum.current_nodes,
        }
    }
}

/// Upstreams that one child speaks for, with those that came and went.
pub(super) fn replace_upstreams(
    held: &mut IndexSet<UpstreamIncarnation>,
    next: IndexSet<UpstreamIncarnation>,
    reporter: &mut UplinkReporter,
) {
    for gone in held.difference(&next) {
        reporter.record_detached(gone.clone());
    }
    for new in next.difference(held) {
        reporter.record_attached(new.clone());
    }
    *held = next;
}
