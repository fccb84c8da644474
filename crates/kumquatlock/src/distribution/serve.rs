//! Selection of the next update for each child: a delta or a snapshot.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::ChunkReceived;
use kumquatlock_wire::{Body, EncodedFrame};
use prost::Message;

use super::parent::{ChildId, ParentState, ParentStep, send};
use super::record::ChildRecord;
use super::transfer::{OutstandingUpdate, UpdateTransfer};
use super::{MAX_DELTA_FRAMES, PACED_WINDOW_BYTES};
use crate::catalog::{Catalog, CatalogUpdate, EncodedSnapshot, SnapshotDetail};
use crate::core::{ConfigVersion, Timestamp};

/// Queue of children that wait for a snapshot transfer. Children without a configuration come
/// first.
#[derive(Debug, Default)]
pub(super) struct SnapshotQueue {
    unconfigured: IndexSet<ChildId>,
    configured: IndexSet<ChildId>,
}

impl SnapshotQueue {
    pub(super) fn len(&self) -> usize {
        self.unconfigured.len() + self.configured.len()
    }

    fn push(&mut self, child: ChildId, holds_config: bool) {
        let queue = if holds_config {
            &mut self.configured
        } else {
            &mut self.unconfigured
        };
        queue.insert(child);
    }

    fn pop(&mut self) -> Option<ChildId> {
        let queue = if self.unconfigured.is_empty() {
            &mut self.configured
        } else {
            &mut self.unconfigured
        };
        queue.shift_remove_index(0)
    }

    pub(super) fn remove(&mut self, child: ChildId) {
        self.unconfigured.shift_remove(&child);
        self.configured.shift_remove(&child);
    }
}

/// A delta, encoded once for all children at its base.
#[derive(Clone, Debug)]
struct EncodedDelta {
    frame: EncodedFrame,
    /// The delta without the envelope. Shares the memory of the frame.
    bytes: Bytes,
}

impl EncodedDelta {
    fn new(delta: kumquatlock_wire::distribution::Delta) -> Option<Self> {
        let len = delta.encoded_len();
        let frame = EncodedFrame::new(Body::Delta(delta)).ok()?;
        // The delta is the only field of the envelope, so its encoding ends the frame.
        let start = frame.bytes().len() - len;
        let bytes = frame.bytes().slice(start..);
        Some(EncodedDelta { frame, bytes })
    }

    /// Returns whether the delta fits into the window of a paced transfer, so that it can be sent
    /// in one message.
    fn fits_window(&self) -> bool {
        self.bytes.len() <= PACED_WINDOW_BYTES
    }
}

/// Cache of encoded deltas to the current state, by base version. Children acknowledge updates one
/// by one, most of them at the same version; without the cache, each of them would need its own
/// merge and encoding.
#[derive(Debug, Default)]
pub(super) struct DeltaCache {
    /// Version and digest of the state that the cached deltas produce.
    target: (ConfigVersion, u64),
    /// At most [`MAX_DELTA_FRAMES`].
    deltas: IndexMap<ConfigVersion, EncodedDelta>,
}

impl DeltaCache {
    /// Returns the delta from `base` to the current state, or `None` if the child needs a snapshot.
    fn get(&mut self, base: ConfigVersion, catalog: &Catalog) -> Option<EncodedDelta> {
        let target = (catalog.version(), catalog.digest());
        if self.target != target {
            self.target = target;
            self.deltas.clear();
        }
        if let Some(delta) = self.deltas.get(&base) {
            return Some(delta.clone());
        }
        let CatalogUpdate::Delta(delta) = catalog.delta_since(base) else {
            return None;
        };
        let delta = EncodedDelta::new(delta)?;
        if self.deltas.len() >= MAX_DELTA_FRAMES {
            self.deltas.shift_remove_index(0);
        }
        self.deltas.insert(base, delta.clone());
        Some(delta)
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

    /// Sends the next update to each of the children that is behind and has no outstanding update.
    /// Children at the same version share one delta.
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
            if !is_ready || catalog.version() <= record.applied.max(record.rejected_up_to) {
                continue;
            }
            if record.holds_config() && !record.needs_snapshot {
                bases.entry(record.applied).or_default().push(*child);
            } else {
                self.snapshot_queue.push(*child, record.holds_config());
            }
        }
        for (base, children) in bases {
            self.send_delta(now, base, children, catalog, steps);
        }
        self.fill_transfers(now, catalog, steps);
    }

    fn send_delta(
        &mut self,
        now: Timestamp,
        base: ConfigVersion,
        children: Vec<ChildId>,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let Some(delta) = self.deltas.get(base, catalog) else {
            for child in children {
                self.snapshot_queue.push(child, true);
            }
            return;
        };
        let version = catalog.version();
        let is_chunked = |record: &ChildRecord| record.is_paced && !delta.fits_window();
        let mut whole = Vec::new();
        for child in children {
            let Some(record) = self.children.get_mut(&child) else {
                continue;
            };
            if is_chunked(record) {
                let range = (base, version);
                let bytes = delta.bytes.clone();
                let transfer = UpdateTransfer::of_delta(now, range, catalog.digest(), bytes);
                record.outstanding = Some(OutstandingUpdate::Chunked(transfer));
                self.send_chunks(now, child, steps);
            } else {
                let since = now;
                record.outstanding = Some(OutstandingUpdate::Delta { version, since });
                whole.push(child);
            }
        }
        if !whole.is_empty() {
            let frame = delta.frame;
            steps.push(ParentStep::SendDelta {
                children: whole,
                frame,
            });
        }
    }

    /// Starts snapshot transfers for waiting children, up to the limit of concurrent transfers.
    pub(super) fn fill_transfers(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        if self.snapshot_queue.len() == 0 {
            return;
        }
        let free = self.admission.limits.transfers;
        let mut free = free.saturating_sub(self.transfer_count());
        while free > 0 {
            let Some(child) = self.snapshot_queue.pop() else {
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
        let lowest = record.floor.max(ConfigVersion(
            record.applied.max(record.rejected_up_to).0 + 1,
        ));
        let snapshot = self.snapshot(record.detail(), lowest, catalog);
        if let Some(record) = self.children.get_mut(&child) {
            let transfer = UpdateTransfer::of_snapshot(now, snapshot, record.is_paced);
            record.outstanding = Some(OutstandingUpdate::Chunked(transfer));
        }
        self.send_chunks(now, child, steps);
        true
    }

    /// Returns an encoded snapshot of version `lowest` or later. The previous snapshot is reused as
    /// long as the catalog can supply a delta from it: sending that delta afterwards is cheaper
    /// than encoding the catalog again.
    fn snapshot(
        &mut self,
        detail: SnapshotDetail,
        lowest: ConfigVersion,
        catalog: &Catalog,
    ) -> EncodedSnapshot {
        if let Some(encoded) = self.encoded_snapshots.get(&detail)
            && encoded.version >= lowest
            && catalog.delta_since(encoded.version) != CatalogUpdate::Snapshot
        {
            return encoded.clone();
        }
        let encoded = catalog.encode_snapshot(detail);
        self.encoded_snapshots.insert(detail, encoded.clone());
        encoded
    }

    /// Sends the next chunks of a transfer: one, or as many as the window of a paced transfer
    /// allows. The output buffer holds at most one chunk or window per child, which bounds the
    /// memory of all transfers however slow the children are.
    fn send_chunks(&mut self, now: Timestamp, child: ChildId, steps: &mut Vec<ParentStep>) {
        let record = self.children.get_mut(&child);
        let outstanding = record.and_then(|record| record.outstanding.as_mut());
        let Some(OutstandingUpdate::Chunked(transfer)) = outstanding else {
            return;
        };
        while let Some(chunk) = transfer.next_chunk(now) {
            steps.push(send(child, Body::Snapshot(chunk)));
            if !transfer.is_paced() {
                return;
            }
        }
    }

    /// Continues a transfer whose latest chunk has left the output buffer. A paced transfer
    /// continues when the child acknowledges a chunk instead.
    pub(super) fn handle_writable(
        &mut self,
        now: Timestamp,
        child: ChildId,
        steps: &mut Vec<ParentStep>,
    ) {
        let record = self.children.get(&child);
        if record.is_some_and(|record| !record.is_paced) {
            self.send_chunks(now, child, steps);
        }
    }

    /// Continues a paced transfer after the child has acknowledged a chunk.
    pub(super) fn handle_chunk_received(
        &mut self,
        now: Timestamp,
        child: ChildId,
        received: ChunkReceived,
        steps: &mut Vec<ParentStep>,
    ) {
        let record = self.children.get_mut(&child);
        let outstanding = record.and_then(|record| record.outstanding.as_mut());
        if let Some(OutstandingUpdate::Chunked(transfer)) = outstanding {
            transfer.record_received(ConfigVersion(received.version), received.received_bytes);
            self.send_chunks(now, child, steps);
        }
    }

    /// Handles the acknowledgement that the child has applied `version`.
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
            Some(OutstandingUpdate::Chunked(transfer)) if transfer.is_snapshot() => {
                self.admission
                    .record_transfer(now.since(transfer.started_at));
                record.needs_snapshot = false;
            }
            _ => {}
        }
        record.outstanding = None;
        self.serve(now, &[child], catalog, steps);
    }

    /// Handles a rejection: the child has kept its old version. A rejected delta is followed by a
    /// snapshot. A rejected snapshot is not sent again; the child waits for a later version.
    pub(super) fn handle_rejection(
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
            record.rejected_up_to = version;
        }
        record.needs_snapshot = true;
        record.outstanding = None;
        self.serve(now, &[child], catalog, steps);
    }
}
