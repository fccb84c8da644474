//! Encoding of records, which consist of a length, a CRC-32 checksum and a payload.

use kumquatlock_wire::agreement::LogEntry;
use prost::Message;

use super::error::JournalError;

/// Maximum payload of a record, in bytes. Recovery takes a greater length for corruption, so a
/// corrupt length field cannot make it read more than this.
pub const MAX_RECORD_BYTES: usize = 80 * 1024 * 1024;

/// Size of the length and the checksum before each payload, in bytes.
pub(super) const RECORD_HEADER_BYTES: usize = 8;

/// A batch of log entries; the payload of a record in a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct EntryBatch {
    #[prost(message, repeated, tag = "1")]
    pub(super) entries: Vec<LogEntry>,
}

/// Encodes a message as a record.
pub(super) fn encode_record<M: Message>(message: &M) -> Result<Vec<u8>, JournalError> {
    let bytes = message.encoded_len();
    if bytes > MAX_RECORD_BYTES {
        return Err(JournalError::RecordTooLarge { bytes });
    }
    let mut record = Vec::with_capacity(RECORD_HEADER_BYTES + bytes);
    record.extend_from_slice(&(bytes as u32).to_le_bytes());
    record.extend_from_slice(&[0; 4]);
    message
        .encode(&mut record)
        .expect("encoding into a vector cannot run out of space");
    let checksum = checksum(&record[..4], &record[RECORD_HEADER_BYTES..]);
    record[4..RECORD_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(record)
}

/// Returns the payload of the record at the start of `bytes`, or `None` if there is no complete
/// record with a matching checksum.
pub(super) fn read_record(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let expected = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    let payload = bytes.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES.checked_add(length)?)?;
    (checksum(&bytes[..4], payload) == expected).then_some(payload)
}

/// Returns the checksum of a record. It covers the length too, so that a region of zeros is not a
/// valid record.
fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}
