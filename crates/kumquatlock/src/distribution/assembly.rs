//! Assembling a snapshot from chunks.

use kumquatlock_wire::distribution::{CatalogState, SnapshotChunk};
use prost::Message;

use super::MAX_SNAPSHOT_BYTES;

/// Why chunks did not make a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// A chunk before this one is missing.
    #[error("chunk at {offset} does not continue at {received}")]
    Gap {
        /// Offset of the chunk.
        offset: u64,
        /// Bytes received so far.
        received: u64,
    },
    /// The chunks are larger than announced, or than any snapshot may be.
    #[error("snapshot exceeds its size")]
    Oversized,
    /// The assembled bytes are not a state of the announced version.
    #[error("snapshot cannot be decoded")]
    Malformed,
}

/// A snapshot of which some chunks have arrived.
#[derive(Debug)]
pub(super) struct SnapshotAssembly {
    version: u64,
    digest: u64,
    total: u64,
    data: Vec<u8>,
}

/// What a chunk led to.
#[derive(Debug, PartialEq)]
pub(super) enum AssemblyProgress {
    /// Chunks are missing.
    Partial,
    /// The state and the digest that its source computed.
    Complete(Box<CatalogState>, u64),
}

impl SnapshotAssembly {
    /// Adds a chunk to the snapshot in `slot`. A chunk of another snapshot starts that one; the
    /// slot is empty again after the last chunk and after an error.
    pub(super) fn accept(
        slot: &mut Option<SnapshotAssembly>,
        chunk: &SnapshotChunk,
    ) -> Result<AssemblyProgress, ChunkError> {
        let assembly = match slot.take() {
            Some(assembly) if assembly.is_of(chunk) => assembly,
            _ => SnapshotAssembly::start(chunk)?,
        };
        let received = assembly.data.len() as u64;
        if chunk.offset < received {
            // A doubled chunk.
            *slot = Some(assembly);
            return Ok(AssemblyProgress::Partial);
        }
        if chunk.offset > received {
            let offset = chunk.offset;
            return Err(ChunkError::Gap { offset, received });
        }
        assembly.extend(slot, chunk)
    }

    fn start(chunk: &SnapshotChunk) -> Result<Self, ChunkError> {
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES {
            return Err(ChunkError::Oversized);
        }
        // The buffer grows with the chunks, so an announced size alone reserves no memory.
        Ok(SnapshotAssembly {
            version: chunk.version,
            digest: chunk.digest,
            total: chunk.total_bytes,
            data: Vec::new(),
        })
    }

    fn is_of(&self, chunk: &SnapshotChunk) -> bool {
        (self.version, self.digest, self.total) == (chunk.version, chunk.digest, chunk.total_bytes)
    }

    fn extend(
        mut self,
        slot: &mut Option<SnapshotAssembly>,
        chunk: &SnapshotChunk,
    ) -> Result<AssemblyProgress, ChunkError> {
        self.data.extend_from_slice(&chunk.data);
        let received = self.data.len() as u64;
        if received > self.total {
            return Err(ChunkError::Oversized);
        }
        if received < self.total {
            *slot = Some(self);
            return Ok(AssemblyProgress::Partial);
        }
        let state = CatalogState::decode(&self.data[..]).map_err(|_| ChunkError::Malformed)?;
        if state.version != self.version {
            return Err(ChunkError::Malformed);
        }
        Ok(AssemblyProgress::Complete(Box::new(state), self.digest))
    }
}
