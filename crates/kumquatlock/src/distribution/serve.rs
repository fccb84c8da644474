//! Which update each child gets next.

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::{Body, EncodedFrame};

use super::MAX_DELTA_FRAMES;
use super::parent::{ChildId, ParentState, ParentStep, send};
use super::record::{OutstandingUpdate, SnapshotTransfer};
use crate::catalog::{Catalog, CatalogUpdate, EncodedSnapshot, SnapshotDetail};
use crate::core::{ConfigVersion, Timestamp};

/// Children that wait for a snapshot transfer, those without a configuration first.
#[derive(Debug, Default)]
pub(super) struct SnapshotQueue {
    cold: IndexSet<ChildId>,
    warm: IndexSet<ChildId>,
}

impl SnapshotQueue {
    pub(super) fn len(&self) -> usize {
        self.cold.len() + self.warm.len()
    }

    fn push(&mut self, child: ChildId, holds_config: bool) {
        let queue = if holds_config {
            &mut self.warm
        } else {
            &mut self.cold
        };
        queue.insert(child);
    }

    fn pop(&mut self) -> Option<ChildId> {
        let queue = if self.cold.is_empty() {
            &mut self.warm
        } else {
            &mut self.cold
        };
        queue.shift_remove_index(0)
    }

    pub(super) fn remove(&mut self, child: ChildId) {
        self.cold.shift_remove(&child);
        self.warm.shift_remove(&child);
    }
}

/// Encoded deltas to the present state by base. Children confirm one by one, and most of them at
/// the same version, so that each would otherwise cost a merge and an encoding of its own.
#[derive(Debug, Default)]
pub(super) struct DeltaFrames {
    /// Version and digest of the state that the frames lead to.
    target: (ConfigVersion, u64),
    /// At most [`MAX_DELTA_FRAMES`].
    frames: IndexMap<ConfigVersion, EncodedFrame>,
}

impl DeltaFrames {
    /// The delta from `base` to the present state; `None` if a snapshot is due.
    fn get(&mut self, base: ConfigVersion, catalog: &Catalog) -> Option<EncodedFrame> {
        let target = (catalog.version(), catalog.digest());
        if self.target != target {
            self.target = target;
            self.frames.clear();
        }
        if let Some(frame) = self.frames.get(&base) {
            return Some(frame.clone());
        }
        let CatalogUpdate::Delta(delta) = catalog.delta_since(base) else {
            return None;
        };
        let frame = EncodedFrame::new(Body::Delta(delta)).ok()?;
        if self.frames.len() >= MAX_DELTA_FRAMES {
            self.frames.shift_remove_index(0);
        }
        self.frames.insert(base, frame.clone());
        Some(frame)
    }
}

impl ParentState {
    pub(super) fn serve_all(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let children: Vec<ChildId> = self.children.keys().copied().collect();
        self.serve(now, &children, catalog, steps);
    }

    /// Sends the next update to each of the children that is behind and awaits none. Children
    /// at the same version share one delta.
    pub(super) fn serve(
        &mut self,
        now: Timestamp,
        children: &[ChildId],
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let mut bases: IndexMap<ConfigVersion, Vec<ChildId>> = IndexMap::new();
        for child in children {
            let Some(record) = self.children.get(child) else {
                continue;
            };
            let is_ready = record.is_welcomed && record.outstanding.is_none();
            if !is_ready || catalog.version() <= record.applied.max(record.refused) {
                continue;
            }
            if record.holds_config() && !record.needs_snapshot {
                bases.entry(record.applied).or_default().push(*child);
            } else {
                self.queue.push(*child, record.holds_config());
            }
        }
        for (base, children) in bases {
            self.serve_base(now, base, children, catalog, steps);
        }
        self.fill_transfers(now, catalog, steps);
    }

    fn serve_base(
        &mut self,
        now: Timestamp,
        base: ConfigVersion,
        children: Vec<ChildId>,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let Some(frame) = self.deltas.get(base, catalog) else {
            for child in children {
                self.queue.push(child, true);
            }
            return;
        };
        let version = catalog.version();
        for child in &children {
            if let Some(record) = self.children.get_mut(child) {
                let since = now;
                record.outstanding = Some(OutstandingUpdate::Delta { version, since });
            }
        }
        steps.push(ParentStep::SendDelta { children, frame });
    }

    /// Starts transfers for waiting children up to the bound.
    pub(super) fn fill_transfers(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        if self.queue.len() == 0 {
            return;
        }
        let free = self.admission.limits.transfers;
        let mut free = free.saturating_sub(self.transfer_count());
        while free > 0 {
            let Some(child) = self.queue.pop() else {
                return;
            };
            free -= usize::from(self.start_transfer(now, child, catalog, steps));
        }
    }

    fn start_transfer(
        &mut self,
        now: Timestamp,
        child: ChildId,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) -> bool {
        let Some(record) = self.children.get(&child) else {
            return false;
        };
        if record.outstanding.is_some() || catalog.version() <= record.applied {
            return false;
        }
        let lowest = record
            .floor
            .max(ConfigVersion(record.applied.max(record.refused).0 + 1));
        let snapshot = self.snapshot(record.detail(), lowest, catalog);
        if let Some(record) = self.children.get_mut(&child) {
            record.outstanding = Some(OutstandingUpdate::Snapshot(SnapshotTransfer {
                snapshot,
                sent: 0,
                since: now,
                chunk_at: now,
            }));
        }
        self.send_chunk(now, child, steps);
        true
    }

    /// An encoded snapshot at or above `lowest`. An older one is used again while it is cheaper
    /// to follow it with a delta than to encode the catalog once more.
    fn snapshot(
        &mut self,
        detail: SnapshotDetail,
        lowest: ConfigVersion,
        catalog: &Catalog,
    ) -> EncodedSnapshot {
        if let Some(encoded) = self.encoded.get(&detail)
            && encoded.version >= lowest
            && catalog.delta_since(encoded.version) != CatalogUpdate::Snapshot
        {
            return encoded.clone();
        }
        let encoded = catalog.encode_snapshot(detail);
        self.encoded.insert(detail, encoded.clone());
        encoded
    }

    /// Sends the next chunk. One chunk per child is in the output buffer, so the memory of all
    /// transfers is bounded however slow the children are.
    pub(super) fn send_chunk(
        &mut self,
        now: Timestamp,
        child: ChildId,
        steps: &mut Vec<ParentStep>,
    ) {
        let Some(record) = self.children.get_mut(&child) else {
            return;
        };
        if let Some(OutstandingUpdate::Snapshot(transfer)) = &mut record.outstanding
            && let Some(chunk) = transfer.next_chunk()
        {
            transfer.chunk_at = now;
            steps.push(send(child, Body::Snapshot(chunk)));
        }
    }

    /// The child holds `version`.
    pub(super) fn finish_update(
        &mut self,
        now: Timestamp,
        child: ChildId,
        version: ConfigVersion,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let Some(record) = self.children.get_mut(&child) else {
            return;
        };
        match &record.outstanding {
            Some(update) if version < update.version() => return,
            Some(OutstandingUpdate::Snapshot(transfer)) => {
                self.admission.record_transfer(now.since(transfer.since));
                record.needs_snapshot = false;
            }
            _ => {}
        }
        record.outstanding = None;
        self.serve(now, &[child], catalog, steps);
    }

    /// The child kept its old version. A snapshot repairs a delta that did not fit; a snapshot
    /// that is rejected itself is not sent again before there is a newer one.
    pub(super) fn reject(
        &mut self,
        now: Timestamp,
        child: ChildId,
        version: ConfigVersion,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let Some(record) = self.children.get_mut(&child) else {
            return;
        };
        let Some(update) = &record.outstanding else {
            return;
        };
        if update.version() != version {
            return;
        }
        if record.is_in_transfer() {
            record.refused = version;
        }
        record.needs_snapshot = true;
        record.outstanding = None;
        self.serve(now, &[child], catalog, steps);
    }
}
