//! Buffers of sockets.

use std::ops::{Deref, DerefMut};

use bytes::BytesMut;

/// Largest empty buffer that a connection keeps, in bytes. Larger ones are given back.
const MAX_EMPTY_BYTES: usize = 4 * 1024;

/// Bytes that were read from a socket or are to be written to it.
#[derive(Debug, Default)]
pub(super) struct SocketBuffer {
    bytes: BytesMut,
    /// Largest capacity since the buffer was replaced. `BytesMut` states only the capacity behind
    /// its first byte, which falls while the allocation stays.
    allocated: usize,
}

impl SocketBuffer {
    /// Gives back a large empty buffer. Returns the number of allocated bytes.
    pub(super) fn settle(&mut self) -> usize {
        self.allocated = self.allocated.max(self.bytes.capacity());
        if self.bytes.is_empty() && self.allocated > MAX_EMPTY_BYTES {
            *self = SocketBuffer::default();
        }
        self.allocated
    }
}

impl From<BytesMut> for SocketBuffer {
    fn from(bytes: BytesMut) -> Self {
        let allocated = bytes.capacity();
        SocketBuffer { bytes, allocated }
    }
}

impl Deref for SocketBuffer {
    type Target = BytesMut;

    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for SocketBuffer {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}
