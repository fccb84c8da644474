//! Assembly of an update, a snapshot or a large delta, from the chunks that a parent sends.

use kumquatlock_wire::distribution::{CatalogState, Delta, SnapshotChunk};
use prost::Message;

use super::MAX_SNAPSHOT_BYTES;
use super::compression::decompress_update;

/// Why received chunks could not be assembled into an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// The chunk does not start where the previous one ended.
    #[error("chunk starts at offset {offset}, but only {received} bytes were received before it")]
    Gap {
        /// Offset of the chunk, in bytes.
        offset: u64,
        /// Number of bytes received so far.
        received: u64,
    },
    /// The chunks add up to more than the announced size, or the announced size exceeds
    /// [`MAX_SNAPSHOT_BYTES`].
    #[error("update exceeds its announced size or the maximum of {MAX_SNAPSHOT_BYTES} bytes")]
    Oversized,
    /// The assembled bytes do not decode to a state or delta of the announced versions.
    #[error("update cannot be decoded or has another version than announced")]
    Malformed,
}

/// A partially received update.
#[derive(Debug)]
pub(super) struct UpdateAssembly {
    version: u64,
    /// Base of a delta; zero for a snapshot.
    base: u64,
    is_compressed: bool,
    digest: u64,
    total: u64,
    data: Vec<u8>,
}

/// Result of adding a chunk.
#[derive(Debug, PartialEq)]
pub(super) enum AssemblyProgress {
    /// More chunks are needed.
    Partial {
        /// Number of bytes received without a gap.
        received_bytes: u64,
    },
    /// The decoded state, and the digest that the sender computed for it.
    State(Box<CatalogState>, u64),
    /// The decoded delta.
    Delta(Box<Delta>),
}

impl UpdateAssembly {
    /// Adds a chunk to the update in `slot`. A chunk of a different update discards the current
    /// one and starts a new one. After the last chunk and after an error, the slot is empty.
    pub(super) fn accept(
        slot: &mut Option<UpdateAssembly>,
        chunk: &SnapshotChunk,
    ) -> Result<AssemblyProgress, ChunkError> {
        let assembly = match slot.take() {
            Some(assembly) if assembly.is_same_update(chunk) => assembly,
            _ => UpdateAssembly::start(chunk)?,
        };
        let received = assembly.data.len() as u64;
        if chunk.offset < received {
            // The chunk is a duplicate.
            *slot = Some(assembly);
            return Ok(AssemblyProgress::Partial {
                received_bytes: received,
            });
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
        // No memory is reserved for the announced size: the buffer grows as chunks arrive.
        Ok(UpdateAssembly {
            version: chunk.version,
            base: chunk.base,
            is_compressed: chunk.is_compressed,
            digest: chunk.digest,
            total: chunk.total_bytes,
            data: Vec::new(),
        })
    }

    fn is_same_update(&self, chunk: &SnapshotChunk) -> bool {
        (self.version, self.base) == (chunk.version, chunk.base)
            && self.is_compressed == chunk.is_compressed
            && (self.digest, self.total) == (chunk.digest, chunk.total_bytes)
    }

    fn extend(
        mut self,
        slot: &mut Option<UpdateAssembly>,
        chunk: &SnapshotChunk,
    ) -> Result<AssemblyProgress, ChunkError> {
        self.data.extend_from_slice(&chunk.data);
        let received = self.data.len() as u64;
        if received > self.total {
            return Err(ChunkError::Oversized);
        }
        if received < self.total {
            *slot = Some(self);
            return Ok(AssemblyProgress::Partial {
                received_bytes: received,
            });
        }
        if self.is_compressed {
            self.data = decompress_update(&self.data).map_err(|_| ChunkError::Malformed)?;
        }
        match self.base {
            0 => self.decode_state(),
            _ => self.decode_delta(),
        }
    }

    fn decode_state(&self) -> Result<AssemblyProgress, ChunkError> {
        let state = CatalogState::decode(&self.data[..]).map_err(|_| ChunkError::Malformed)?;
        if state.version != self.version {
            return Err(ChunkError::Malformed);
        }
        Ok(AssemblyProgress::State(Box::new(state), self.digest))
    }

    fn decode_delta(&self) -> Result<AssemblyProgress, ChunkError> {
        let delta = Delta::decode(&self.data[..]).map_err(|_| ChunkError::Malformed)?;
        if (delta.base, delta.version, delta.digest) != (self.base, self.version, self.digest) {
            return Err(ChunkError::Malformed);
        }
        Ok(AssemblyProgress::Delta(Box::new(delta)))
    }
}
