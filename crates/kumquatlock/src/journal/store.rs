//! The open journal: writes and compaction.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use kumquatlock_wire::agreement::LogEntry;

use super::directory::{
    METADATA_FILE, SNAPSHOT_FILE, has_snapshot, list_segments, load_file, lock_dir, replace_file,
    segment_path, sync_dir, sync_parents,
};
use super::error::JournalError;
use super::files::{JournalIo, SystemIo};
use super::record::{EntryBatch, encode_record};
use super::recovery::{RecoveredLog, SegmentInfo, SnapshotMatch, match_snapshot, recover_log};
use super::state::{JournalWrite, RecoveredState, StoredMetadata, StoredSnapshot};

/// Default size at which a segment is closed and the next one is started, in bytes.
pub const DEFAULT_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Settings of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalSettings {
    /// Size at which a segment is closed, in bytes.
    pub segment_bytes: u64,
}

impl Default for JournalSettings {
    fn default() -> Self {
        JournalSettings {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}

/// The journal in the data directory of one instance, opened and locked by this process.
#[derive(Debug)]
pub struct Journal<F: JournalIo = SystemIo> {
    dir: PathBuf,
    settings: JournalSettings,
    io: F,
    /// Segments of the log. Never empty; records are appended to the last segment.
    segments: Vec<SegmentInfo>,
    /// File of the last segment, positioned at the end of its synced records.
    tail: F::File,
    /// Whether the durable state is unknown after a failed write. If so, every later write fails.
    closed: bool,
    _lock: F::File,
}

impl<F: JournalIo> Journal<F> {
    /// Opens the directory and recovers its state.
    ///
    /// An empty directory gets `new_disk_id` as its disk identity, which is durable on return.
    /// Fails for a directory that contains a log or a snapshot but no metadata, because its vote
    /// and identity are lost.
    pub fn open(
        dir: &Path,
        settings: JournalSettings,
        mut io: F,
        new_disk_id: u64,
    ) -> Result<(Self, RecoveredState), JournalError> {
        let lock = lock_dir(&mut io, dir)?;
        // An earlier process may have stopped between a change of a name and the sync of the
        // directory. What is recovered from that name counts as durable from here on.
        sync_dir(&mut io, dir)?;
        let metadata = load_or_create_metadata(&mut io, dir, new_disk_id)?;
        let snapshot: Option<StoredSnapshot> = load_file(&mut io, dir, SNAPSHOT_FILE)?;
        let RecoveredLog {
            mut segments,
            entries,
            torn_bytes,
        } = recover_log(&mut io, dir)?;
        let entries = match match_snapshot(dir, snapshot.as_ref(), entries)? {
            // The segments are kept even if no entry remains. The removal of some of them could
            // bring back entries that a later segment replaced.
            SnapshotMatch::Continued(entries) => entries,
            // The installation of a snapshot was interrupted before the old log was removed.
            SnapshotMatch::Superseded => {
                remove_segments(&mut io, dir, &mut segments)?;
                Vec::new()
            }
        };
        if segments.is_empty() {
            segments.push(create_segment(&mut io, dir, 1)?);
        }
        let last = &segments[segments.len() - 1];
        let tail = open_tail(&mut io, dir, last)?;
        let journal = Journal {
            dir: dir.to_path_buf(),
            settings,
            io,
            segments,
            tail,
            closed: false,
            _lock: lock,
        };
        let recovered = RecoveredState {
            metadata,
            snapshot: snapshot.map(Arc::new),
            entries,
            torn_bytes,
        };
        Ok((journal, recovered))
    }

    /// Carries out a write and returns once it is durable.
    pub fn write(&mut self, write: &JournalWrite) -> Result<(), JournalError> {
        match write {
            JournalWrite::Metadata(metadata) => self.save_metadata(metadata),
            JournalWrite::Append(entries) => self.append(entries),
            JournalWrite::SaveSnapshot {
                snapshot,
                keep_from,
            } => self.save_snapshot(snapshot, *keep_from),
            JournalWrite::InstallSnapshot(snapshot) => self.install_snapshot(snapshot),
        }
    }

    /// Replaces the metadata file.
    pub fn save_metadata(&mut self, metadata: &StoredMetadata) -> Result<(), JournalError> {
        self.check_open()?;
        replace_file(&mut self.io, &self.dir, METADATA_FILE, metadata)
    }

    /// Appends a batch as one record and syncs it.
    ///
    /// If the write fails, the record is removed. If the sync fails, the record is removed and the
    /// journal is closed, because a later sync may succeed although the data was lost.
    pub fn append(&mut self, entries: &[LogEntry]) -> Result<(), JournalError> {
        self.check_open()?;
        let Some(highest) = entries.last().map(|entry| entry.index) else {
            return Ok(());
        };
        if self.tail_segment().bytes >= self.settings.segment_bytes {
            self.roll_segment()?;
        }
        let record = encode_record(&EntryBatch {
            entries: entries.to_vec(),
        })?;
        if let Err(error) = self.io.write_all(&mut self.tail, &record) {
            let error = JournalError::io("append to", &self.tail_path(), error);
            self.undo_append();
            return Err(error);
        }
        if let Err(error) = self.io.sync(&self.tail) {
            let error = JournalError::io("sync", &self.tail_path(), error);
            self.undo_append();
            self.closed = true;
            return Err(error);
        }
        let position = self.segments.len() - 1;
        let segment = &mut self.segments[position];
        segment.bytes += record.len() as u64;
        segment.highest_index = segment.highest_index.max(highest);
        Ok(())
    }

    /// Returns the number of segment files.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    fn save_snapshot(
        &mut self,
        snapshot: &StoredSnapshot,
        keep_from: u64,
    ) -> Result<(), JournalError> {
        self.check_open()?;
        replace_file(&mut self.io, &self.dir, SNAPSHOT_FILE, snapshot)?;
        self.remove_segments_below(keep_from.min(snapshot.last_index + 1))
    }

    /// Removes the segments that contain only entries below `keep_from`, oldest first. Each removal
    /// is durable before the next one, because a loss of power may undo any of several unsynced
    /// removals, which would leave a gap in the log.
    fn remove_segments_below(&mut self, keep_from: u64) -> Result<(), JournalError> {
        while self.segments.len() > 1 && self.segments[0].highest_index < keep_from {
            remove_segment(&mut self.io, &self.dir, self.segments[0].sequence)?;
            self.segments.remove(0);
            sync_dir(&mut self.io, &self.dir)?;
        }
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), JournalError> {
        self.check_open()?;
        replace_file(&mut self.io, &self.dir, SNAPSHOT_FILE, snapshot)?;
        let next = self.tail_segment().sequence + 1;
        // If this fails halfway, the journal stays closed, because appending to the rest of the old
        // log would leave a gap.
        self.closed = true;
        remove_segments(&mut self.io, &self.dir, &mut self.segments)?;
        self.start_segment(next)?;
        self.closed = false;
        Ok(())
    }

    fn roll_segment(&mut self) -> Result<(), JournalError> {
        let next = self.tail_segment().sequence + 1;
        self.start_segment(next)
    }

    fn start_segment(&mut self, sequence: u64) -> Result<(), JournalError> {
        let segment = create_segment(&mut self.io, &self.dir, sequence)?;
        self.tail = open_tail(&mut self.io, &self.dir, &segment)?;
        self.segments.push(segment);
        Ok(())
    }

    /// Removes the bytes that a failed append left after the synced records. Closes the journal if
    /// that fails.
    fn undo_append(&mut self) {
        let bytes = self.tail_segment().bytes;
        let restored = self.io.truncate(&mut self.tail, bytes);
        self.closed |= restored.is_err();
    }

    fn check_open(&self) -> Result<(), JournalError> {
        if self.closed {
            return Err(JournalError::Closed);
        }
        Ok(())
    }

    fn tail_segment(&self) -> &SegmentInfo {
        &self.segments[self.segments.len() - 1]
    }

    fn tail_path(&self) -> PathBuf {
        segment_path(&self.dir, self.tail_segment().sequence)
    }
}

fn load_or_create_metadata<F: JournalIo>(
    io: &mut F,
    dir: &Path,
    new_disk_id: u64,
) -> Result<StoredMetadata, JournalError> {
    if let Some(metadata) = load_file(io, dir, METADATA_FILE)? {
        return Ok(metadata);
    }
    if !list_segments(io, dir)?.is_empty() || has_snapshot(io, dir)? {
        return Err(JournalError::MetadataMissing {
            dir: dir.to_path_buf(),
        });
    }
    let metadata = StoredMetadata {
        disk_id: new_disk_id,
        ..StoredMetadata::default()
    };
    sync_parents(io, dir);
    replace_file(io, dir, METADATA_FILE, &metadata)?;
    Ok(metadata)
}

fn create_segment<F: JournalIo>(
    io: &mut F,
    dir: &Path,
    sequence: u64,
) -> Result<SegmentInfo, JournalError> {
    let path = segment_path(dir, sequence);
    io.create(&path)
        .map_err(|error| JournalError::io("create", &path, error))?;
    sync_dir(io, dir)?;
    Ok(SegmentInfo {
        sequence,
        highest_index: 0,
        bytes: 0,
    })
}

/// Opens the last segment for appending. Syncs it, because an earlier process may have stopped
/// before it synced its last record, and recovery reports that record as durable.
fn open_tail<F: JournalIo>(
    io: &mut F,
    dir: &Path,
    segment: &SegmentInfo,
) -> Result<F::File, JournalError> {
    let path = segment_path(dir, segment.sequence);
    let tail = io
        .open_at(&path, segment.bytes)
        .map_err(|error| JournalError::io("open", &path, error))?;
    io.sync(&tail)
        .map_err(|error| JournalError::io("sync", &path, error))?;
    Ok(tail)
}

/// Removes all given segments, newest first, so that after a crash between two removals the
/// remaining log still does not match the snapshot and is discarded.
fn remove_segments<F: JournalIo>(
    io: &mut F,
    dir: &Path,
    segments: &mut Vec<SegmentInfo>,
) -> Result<(), JournalError> {
    while let Some(segment) = segments.pop() {
        remove_segment(io, dir, segment.sequence)?;
        sync_dir(io, dir)?;
    }
    Ok(())
}

fn remove_segment<F: JournalIo>(io: &mut F, dir: &Path, sequence: u64) -> Result<(), JournalError> {
    let path = segment_path(dir, sequence);
    io.remove(&path)
        .map_err(|error| JournalError::io("remove", &path, error))
}
