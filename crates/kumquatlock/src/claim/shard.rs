//! State of one shard at one holder.

use indexmap::IndexMap;

use super::joining::{JoiningView, ViewReport};
use super::record::KeyRecord;
use crate::core::Timestamp;

/// One shard at one holder.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    /// Id of the view that the configuration names; zero if it does not name this node.
    pub(super) current: u64,
    pub(super) report: ViewReport,
    /// Set while the holder is not active in `current`. No claim is granted meanwhile: the holder
    /// counts as fenced in its own read of the earlier views.
    pub(super) joining: Option<JoiningView>,
    /// Last proof that the configuration named the view that the holder is active in, once it
    /// names another one.
    pub(super) unnamed_since: Option<Timestamp>,
    pub(super) records: IndexMap<Box<str>, KeyRecord>,
    /// Counts removals of records, which shift the offsets of a transfer.
    pub(super) generation: u64,
}

impl ShardState {
    pub(super) fn grants_in(&self, view: u64) -> bool {
        self.joining.is_none() && self.report.is_unfenced() && self.report.is_active_in(view)
    }

    /// Sets the view that the configuration names, and the last proof of the one before.
    pub(super) fn name_view(&mut self, view: u64, confirmed_at: Option<Timestamp>) {
        self.current = view;
        if self.report.is_active_in(view) {
            self.unnamed_since = None;
        } else {
            self.unnamed_since = self.unnamed_since.or(confirmed_at);
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        let active = self.report.active.as_ref();
        active.map_or(0, |view| view.config_version)
    }
}
