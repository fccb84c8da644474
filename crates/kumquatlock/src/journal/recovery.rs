//! Recovery of the log after a restart.

use std::path::Path;

use kumquatlock_wire::agreement::LogEntry;
use prost::Message;

use super::directory::{list_segments, segment_path};
use super::error::JournalError;
use super::files::JournalIo;
use super::record::{EntryBatch, RECORD_HEADER_BYTES, read_record};
use super::state::StoredSnapshot;

/// A segment file of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SegmentInfo {
    pub(super) sequence: u64,
    /// Highest index in any record of the segment, including entries that were replaced later.
    pub(super) highest_index: u64,
    /// Total size of the complete records, in bytes.
    pub(super) bytes: u64,
}

/// The log as recovered from disk.
#[derive(Debug, Default)]
pub(super) struct RecoveredLog {
    pub(super) segments: Vec<SegmentInfo>,
    pub(super) entries: Vec<LogEntry>,
    pub(super) torn_bytes: u64,
}

/// Reads all segments. Truncates an incomplete record at the end of the last segment, and fails on
/// any other corruption.
pub(super) fn recover_log<F: JournalIo>(
    io: &mut F,
    dir: &Path,
) -> Result<RecoveredLog, JournalError> {
    let sequences = list_segments(io, dir)?;
    let mut log = RecoveredLog::default();
    for (position, sequence) in sequences.iter().enumerate() {
        let path = segment_path(dir, *sequence);
        let bytes = io
            .read(&path)
            .map_err(|error| JournalError::io("read", &path, error))?;
        let valid_bytes = read_segment(&path, *sequence, &bytes, &mut log)?;
        if valid_bytes == bytes.len() {
            continue;
        }
        let is_last = position + 1 == sequences.len();
        if !is_last || contains_record(&bytes[valid_bytes..]) {
            let offset = valid_bytes as u64;
            return Err(JournalError::CorruptRecord { path, offset });
        }
        log.torn_bytes = (bytes.len() - valid_bytes) as u64;
        truncate_file(io, &path, valid_bytes as u64)?;
    }
    Ok(log)
}

/// Adds the complete records of a segment to the log and returns their total size in bytes.
fn read_segment(
    path: &Path,
    sequence: u64,
    bytes: &[u8],
    log: &mut RecoveredLog,
) -> Result<usize, JournalError> {
    let mut offset = 0;
    let mut highest_index = 0;
    while let Some(payload) = read_record(&bytes[offset..]) {
        let batch = EntryBatch::decode(payload).map_err(|_| JournalError::CorruptRecord {
            path: path.to_path_buf(),
            offset: offset as u64,
        })?;
        for entry in batch.entries {
            highest_index = highest_index.max(entry.index);
            push_entry(path, entry, &mut log.entries)?;
        }
        offset += RECORD_HEADER_BYTES + payload.len();
    }
    log.segments.push(SegmentInfo {
        sequence,
        highest_index,
        bytes: offset as u64,
    });
    Ok(offset)
}

/// Adds an entry to the log. If the log already has an entry at its index, that entry and all later
/// ones are replaced.
fn push_entry(
    path: &Path,
    entry: LogEntry,
    entries: &mut Vec<LogEntry>,
) -> Result<(), JournalError> {
    if let Some(first) = entries.first().map(|first| first.index) {
        let expected = first + entries.len() as u64;
        if entry.index > expected {
            return Err(JournalError::MissingEntries {
                path: path.to_path_buf(),
                expected,
                found: entry.index,
            });
        }
        entries.truncate(entry.index.saturating_sub(first) as usize);
    }
    entries.push(entry);
    Ok(())
}

/// Whether a complete record starts anywhere after the first byte.
///
/// A crash leaves at most one incomplete record, at the end of the log, because each record is
/// synced before the next one is written. A complete record after an invalid one therefore means
/// that synced data is corrupt.
fn contains_record(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|offset| {
        read_record(&bytes[offset..]).is_some_and(|payload| {
            EntryBatch::decode(payload).is_ok_and(|batch| !batch.entries.is_empty())
        })
    })
}

fn truncate_file<F: JournalIo>(io: &mut F, path: &Path, length: u64) -> Result<(), JournalError> {
    let mut truncate = || {
        let mut file = io.open_at(path, length)?;
        io.truncate(&mut file, length)?;
        io.sync(&file)
    };
    truncate().map_err(|error| JournalError::io("truncate", path, error))
}

/// How the log relates to the snapshot.
#[derive(Debug)]
pub(super) enum SnapshotMatch {
    /// The log contains the snapshot's last entry or starts after it. Holds the entries after the
    /// snapshot, possibly none.
    Continued(Vec<LogEntry>),
    /// The log was superseded by a snapshot from the leader: it contains another entry at the
    /// snapshot's last index, or ends before that index.
    Superseded,
}

/// Compares the log with the snapshot.
pub(super) fn match_snapshot(
    dir: &Path,
    snapshot: Option<&StoredSnapshot>,
    mut entries: Vec<LogEntry>,
) -> Result<SnapshotMatch, JournalError> {
    let (last_index, last_term) =
        snapshot.map_or((0, 0), |snapshot| (snapshot.last_index, snapshot.last_term));
    let Some(first) = entries.first().map(|first| first.index) else {
        return Ok(SnapshotMatch::Continued(entries));
    };
    if first > last_index + 1 {
        return Err(JournalError::MissingEntries {
            path: dir.to_path_buf(),
            expected: last_index + 1,
            found: first,
        });
    }
    if first == last_index + 1 {
        return Ok(SnapshotMatch::Continued(entries));
    }
    let position = (last_index - first) as usize;
    let matches_snapshot = entries
        .get(position)
        .is_some_and(|entry| entry.term == last_term);
    if !matches_snapshot {
        return Ok(SnapshotMatch::Superseded);
    }
    Ok(SnapshotMatch::Continued(entries.split_off(position + 1)))
}
