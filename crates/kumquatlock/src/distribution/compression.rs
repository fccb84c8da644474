//! Compression of large updates for nodes.
//!
//! Routes repeat the same hosts, services and field tags, so an update shrinks to about a quarter.
//! Nodes have narrow links, over which thousands of routes would take half a second.

use std::io::{self, Read};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};

use super::MAX_SNAPSHOT_BYTES;

/// Compresses an encoded update. Uses the fastest level, because parents have little CPU time and
/// higher levels save little more.
pub(super) fn compress_update(bytes: &[u8]) -> Bytes {
    let mut compressed = Vec::new();
    let mut encoder = DeflateEncoder::new(bytes, Compression::fast());
    // Reading from memory cannot fail.
    let _ = encoder.read_to_end(&mut compressed);
    compressed.into()
}

/// Decompresses an update. Fails if the bytes are invalid or contain more than
/// [`MAX_SNAPSHOT_BYTES`].
pub(super) fn decompress_update(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(compressed);
    decoder
        .take(MAX_SNAPSHOT_BYTES + 1)
        .read_to_end(&mut bytes)?;
    match bytes.len() as u64 > MAX_SNAPSHOT_BYTES {
        true => Err(io::ErrorKind::InvalidData.into()),
        false => Ok(bytes),
    }
}
