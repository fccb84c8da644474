//! Updates that were sent to a child, and the transfer of large ones in chunks.

use bytes::Bytes;
use kumquatlock_wire::distribution::SnapshotChunk;

use super::{PACED_WINDOW_BYTES, SNAPSHOT_CHUNK_BYTES};
use crate::catalog::EncodedSnapshot;
use crate::core::{ConfigVersion, Timestamp};

/// An update that was sent to a child and that the child has not answered yet.
#[derive(Debug)]
pub(super) enum OutstandingUpdate {
    /// A delta in one message.
    Delta {
        version: ConfigVersion,
        since: Timestamp,
    },
    /// A snapshot or a large delta in chunks.
    Chunked(UpdateTransfer),
}

/// Transfer of one update in chunks to one child.
///
/// A paced transfer never has more than [`PACED_WINDOW_BYTES`] in flight. Calls and signs of life
/// share the child's narrow link with the update, and would otherwise wait behind all of it.
#[derive(Debug)]
pub(super) struct UpdateTransfer {
    version: ConfigVersion,
    /// Base of a delta; zero for a snapshot.
    base: ConfigVersion,
    digest: u64,
    /// The encoded update, shared by all transfers. Compressed if the transfer is paced.
    bytes: Bytes,
    is_paced: bool,
    /// At most the length of `bytes`.
    sent_bytes: usize,
    /// Number of bytes that the child has acknowledged; at most `sent_bytes`.
    received_bytes: usize,
    pub(super) started_at: Timestamp,
    /// Time at which the latest chunk was sent.
    last_chunk_at: Timestamp,
}

impl UpdateTransfer {
    /// Returns the transfer of an encoded snapshot to a child that accepts no paced updates.
    pub(super) fn of_snapshot(now: Timestamp, snapshot: EncodedSnapshot) -> Self {
        let EncodedSnapshot {
            version,
            digest,
            bytes,
        } = snapshot;
        UpdateTransfer::new(now, (ConfigVersion(0), version), digest, bytes, false)
    }

    /// Returns the paced transfer of a compressed update from version `base`, or of a snapshot if
    /// `base` is zero, to `version`.
    pub(super) fn of_compressed(
        now: Timestamp,
        (base, version): (ConfigVersion, ConfigVersion),
        digest: u64,
        bytes: Bytes,
    ) -> Self {
        UpdateTransfer::new(now, (base, version), digest, bytes, true)
    }

    fn new(
        now: Timestamp,
        (base, version): (ConfigVersion, ConfigVersion),
        digest: u64,
        bytes: Bytes,
        is_paced: bool,
    ) -> Self {
        UpdateTransfer {
            version,
            base,
            digest,
            bytes,
            is_paced,
            sent_bytes: 0,
            received_bytes: 0,
            started_at: now,
            last_chunk_at: now,
        }
    }

    pub(super) fn is_snapshot(&self) -> bool {
        self.base == ConfigVersion(0)
    }

    pub(super) fn is_paced(&self) -> bool {
        self.is_paced
    }

    /// Records that the child has received all bytes up to `received_bytes`.
    pub(super) fn record_received(&mut self, version: ConfigVersion, received_bytes: u64) {
        let received = usize::try_from(received_bytes).unwrap_or(usize::MAX);
        if version == self.version && received <= self.sent_bytes {
            self.received_bytes = self.received_bytes.max(received);
        }
    }

    /// Returns the next chunk, or `None` if the window is full or all chunks are sent. Chunks share
    /// the memory of the encoded update.
    pub(super) fn next_chunk(&mut self, now: Timestamp) -> Option<SnapshotChunk> {
        let chunk_bytes = match self.is_paced {
            true if self.in_flight_bytes() > 0 => return None,
            true => PACED_WINDOW_BYTES,
            false => SNAPSHOT_CHUNK_BYTES,
        };
        let total = self.bytes.len();
        if self.sent_bytes >= total {
            return None;
        }
        let end = total.min(self.sent_bytes + chunk_bytes);
        let chunk = SnapshotChunk {
            version: self.version.0,
            offset: self.sent_bytes as u64,
            total_bytes: total as u64,
            digest: self.digest,
            data: self.bytes.slice(self.sent_bytes..end),
            base: self.base.0,
            is_paced: self.is_paced,
            is_compressed: self.is_paced,
        };
        self.sent_bytes = end;
        self.last_chunk_at = now;
        Some(chunk)
    }

    fn in_flight_bytes(&self) -> usize {
        self.sent_bytes - self.received_bytes
    }
}

impl OutstandingUpdate {
    pub(super) fn version(&self) -> ConfigVersion {
        match self {
            OutstandingUpdate::Delta { version, .. } => *version,
            OutstandingUpdate::Chunked(transfer) => transfer.version,
        }
    }

    /// Returns the time at which the latest part of the update was sent.
    pub(super) fn sent_at(&self) -> Timestamp {
        match self {
            OutstandingUpdate::Delta { since, .. } => *since,
            OutstandingUpdate::Chunked(transfer) => transfer.last_chunk_at,
        }
    }
}
