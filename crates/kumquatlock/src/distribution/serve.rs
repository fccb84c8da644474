//! Selection of the next update for each child: a delta or a snapshot.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::ChunkReceived;
use kumquatlock_wire::{Body, EncodedFrame};
use prost::Message;

use super::compression::compress_update;
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
    fn first(&self) -> Option<ChildId> {
        self.iter().next().copied()
    }

    /// Returns the waiting children, the next one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ChildId> {
        self.unconfigured.iter().chain(&self.configured)
    }

    fn push(&mut self, child: ChildId, holds_config: bool) {
        let queue = if holds_config {
            &mut self.configured
        } else {
            &mut self.unconfigured
        };
        queue.insert(child);
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
    /// The compressed delta, if it does not fit into the window of a paced transfer in one message.
    compressed: Option<Bytes>,
}

impl EncodedDelta {
    fn new(delta: kumquatlock_wire::distribution::Delta) -> Option<Self> {
        let len = delta.encoded_len();
        let frame = EncodedFrame::new(Body::Delta(delta)).ok()?;
        // The delta is the only field of the envelope, so its encoding ends the frame.
        let start = frame.bytes().len() - len;
        let compressed =
            (len > PACED_WINDOW_BYTES).then(|| compress_update(&frame.bytes()[start..]));
        Some(EncodedDelta { frame, compressed })
    }
}

/// A snapshot, encoded once for all children.
#[derive(Clone, Debug)]
pub(super) struct ServedSnapshot {
    encoded: EncodedSnapshot,
    /// The compressed snapshot; `None` until a paced transfer needs it.
    compressed: Option<Bytes>,
}

impl ServedSnapshot {
    fn start_transfer(&mut self, now: Timestamp, is_paced: bool) -> UpdateTransfer {
        if !is_paced {
            return UpdateTransfer::of_snapshot(now, self.encoded.clone());
        }
        let encoded = &self.encoded;
        let compressed = self
            .compressed
            .get_or_insert_with(|| compress_update(&encoded.bytes));
        let range = (ConfigVersion(0), encoded.version);
        UpdateTransfer::of_compressed(now, range, encoded.digest, compressed.clone())
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
        let mut whole = Vec::new();
        for child in children {
            let Some(record) = self.children.get_mut(&child) else {
                continue;
            };
            if let Some(bytes) = delta.compressed.clone().filter(|_| record.is_paced) {
                let range = (base, version);
                let transfer = UpdateTransfer::of_compressed(now, range, catalog.digest(), bytes);
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
        let limit = self.admission.limits.transfers;
        let mut used = self.transfer_cost();
        while let Some(child) = self.snapshot_queue.first() {
            let record = self.children.get(&child);
            let cost = record.map_or(0, ChildRecord::transfer_cost);
            // A transfer that exceeds the limit on its own still gets its turn.
            if used > 0 && used + cost > limit {
                return;
            }
            self.snapshot_queue.remove(child);
            if self.start_transfer(now, child, catalog, steps) {
                used += cost;
            }
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
        let (detail, is_paced) = (record.detail(), record.is_paced);
        let snapshot = self.snapshot(detail, lowest, catalog);
        let transfer = snapshot.start_transfer(now, is_paced);
        if let Some(record) = self.children.get_mut(&child) {
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
    ) -> &mut ServedSnapshot {
        let is_usable = |served: &ServedSnapshot| {
            let version = served.encoded.version;
            version >= lowest && catalog.delta_since(version) != CatalogUpdate::Snapshot
        };
        if !self.snapshots.get(&detail).is_some_and(is_usable) {
            let served = ServedSnapshot {
                encoded: catalog.encode_snapshot(detail),
                compressed: None,
            };
            self.snapshots.insert(detail, served);
        }
        &mut self.snapshots[&detail]
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
