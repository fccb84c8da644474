//! The open journal.

use std::fs::{self, File};
use std::io::{Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use kumquatlock_wire::agreement::LogEntry;

use super::error::JournalError;
use super::files::{JournalIo, SystemIo};
use super::folder::{
    METADATA_FILE, SNAPSHOT_FILE, list_segments, load_file, lock_folder, replace_file,
    segment_path, sync_folder,
};
use super::record::{EntryBatch, encode_record};
use super::recovery::{RecoveredLog, SegmentInfo, entries_after, recover_log};
use super::state::{JournalWrite, RecoveredState, StoredMetadata, StoredSnapshot};

/// Bytes after which a segment is closed and the next one is started.
pub const DEFAULT_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// How the journal is kept.
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

/// The data folder of one voter, held open by one process.
#[derive(Debug)]
pub struct Journal<F: JournalIo = SystemIo> {
    folder: PathBuf,
    settings: JournalSettings,
    files: F,
    /// Never empty; the last one is written to.
    segments: Vec<SegmentInfo>,
    /// The last segment, positioned at the end of its synced records.
    tail: File,
    /// Set when the durable state is unknown. Every later write is refused.
    closed: bool,
    _lock: File,
}

impl<F: JournalIo> Journal<F> {
    /// Opens the folder and recovers its state.
    ///
    /// An empty folder gets `fresh_disk_id` as its identity, which is durable on return. A folder
    /// that holds a log without metadata is refused, because its vote and identity are lost.
    pub fn open(
        folder: &Path,
        settings: JournalSettings,
        mut files: F,
        fresh_disk_id: u64,
    ) -> Result<(Self, RecoveredState), JournalError> {
        let lock = lock_folder(folder)?;
        let metadata = load_or_create_metadata(&mut files, folder, fresh_disk_id)?;
        let snapshot: Option<StoredSnapshot> = load_file(folder, SNAPSHOT_FILE)?;
        let RecoveredLog {
            mut segments,
            entries,
            torn_bytes,
        } = recover_log(folder)?;
        let held = entries.len();
        let entries = entries_after(folder, snapshot.as_ref(), entries)?;
        if entries.is_empty() && held > 0 {
            // The installation of a snapshot was interrupted before the old log was removed.
            remove_segments(&mut files, folder, &mut segments)?;
        }
        if segments.is_empty() {
            segments.push(create_segment(&mut files, folder, 1)?);
        }
        let last = &segments[segments.len() - 1];
        let tail = open_tail(&mut files, folder, last)?;
        let journal = Journal {
            folder: folder.to_path_buf(),
            settings,
            files,
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

    /// Carries out one write and returns when it is durable.
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
        replace_file(&mut self.files, &self.folder, METADATA_FILE, metadata)
    }

    /// Appends a batch as one record and syncs it.
    ///
    /// After a failed write the record is taken back. After a failed sync the journal is closed,
    /// because a later sync may succeed without the lost data.
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
        if let Err(error) = self.files.write_all(&mut self.tail, &record) {
            let error = JournalError::io("append to", &self.tail_path(), error);
            self.take_back();
            return Err(error);
        }
        if let Err(error) = self.files.sync(&self.tail) {
            let error = JournalError::io("sync", &self.tail_path(), error);
            self.take_back();
            self.closed = true;
            return Err(error);
        }
        let position = self.segments.len() - 1;
        let segment = &mut self.segments[position];
        segment.bytes += record.len() as u64;
        segment.highest_index = segment.highest_index.max(highest);
        Ok(())
    }

    /// Number of segment files.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    fn save_snapshot(
        &mut self,
        snapshot: &StoredSnapshot,
        keep_from: u64,
    ) -> Result<(), JournalError> {
        self.check_open()?;
        replace_file(&mut self.files, &self.folder, SNAPSHOT_FILE, snapshot)?;
        self.drop_segments_below(keep_from.min(snapshot.last_index + 1))
    }

    /// Oldest first, so that a crash in between leaves a log without gaps.
    fn drop_segments_below(&mut self, keep_from: u64) -> Result<(), JournalError> {
        while self.segments.len() > 1 && self.segments[0].highest_index < keep_from {
            remove_segment(&self.folder, self.segments[0].sequence)?;
            self.segments.remove(0);
        }
        sync_folder(&mut self.files, &self.folder)
    }

    fn install_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), JournalError> {
        self.check_open()?;
        replace_file(&mut self.files, &self.folder, SNAPSHOT_FILE, snapshot)?;
        let next = self.tail_segment().sequence + 1;
        // Closed until the old log is gone: appending to it would leave a gap.
        self.closed = true;
        remove_segments(&mut self.files, &self.folder, &mut self.segments)?;
        self.start_segment(next)?;
        self.closed = false;
        Ok(())
    }

    fn roll_segment(&mut self) -> Result<(), JournalError> {
        let next = self.tail_segment().sequence + 1;
        self.start_segment(next)
    }

    fn start_segment(&mut self, sequence: u64) -> Result<(), JournalError> {
        let segment = create_segment(&mut self.files, &self.folder, sequence)?;
        self.tail = open_tail(&mut self.files, &self.folder, &segment)?;
        self.segments.push(segment);
        Ok(())
    }

    /// Removes what a failed append left behind the synced records.
    fn take_back(&mut self) {
        let bytes = self.tail_segment().bytes;
        let restored = self
            .tail
            .set_len(bytes)
            .and_then(|()| self.tail.seek(SeekFrom::Start(bytes)));
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
        segment_path(&self.folder, self.tail_segment().sequence)
    }
}

fn load_or_create_metadata<F: JournalIo>(
    files: &mut F,
    folder: &Path,
    fresh_disk_id: u64,
) -> Result<StoredMetadata, JournalError> {
    if let Some(metadata) = load_file(folder, METADATA_FILE)? {
        return Ok(metadata);
    }
    if !list_segments(folder)?.is_empty() || folder.join(SNAPSHOT_FILE).exists() {
        return Err(JournalError::MetadataMissing {
            folder: folder.to_path_buf(),
        });
    }
    let metadata = StoredMetadata {
        disk_id: fresh_disk_id,
        ..StoredMetadata::default()
    };
    replace_file(files, folder, METADATA_FILE, &metadata)?;
    Ok(metadata)
}

fn create_segment<F: JournalIo>(
    files: &mut F,
    folder: &Path,
    sequence: u64,
) -> Result<SegmentInfo, JournalError> {
    let path = segment_path(folder, sequence);
    File::create(&path).map_err(|error| JournalError::io("create", &path, error))?;
    sync_folder(files, folder)?;
    Ok(SegmentInfo {
        sequence,
        highest_index: 0,
        bytes: 0,
    })
}

/// Opens the last segment for appending. Records that an earlier process wrote without reaching
/// its sync are synced here, because recovery reports them as durable.
fn open_tail<F: JournalIo>(
    files: &mut F,
    folder: &Path,
    segment: &SegmentInfo,
) -> Result<File, JournalError> {
    let path = segment_path(folder, segment.sequence);
    let mut tail = File::options()
        .write(true)
        .open(&path)
        .map_err(|error| JournalError::io("open", &path, error))?;
    files
        .sync(&tail)
        .map_err(|error| JournalError::io("sync", &path, error))?;
    tail.seek(SeekFrom::Start(segment.bytes))
        .map_err(|error| JournalError::io("open", &path, error))?;
    Ok(tail)
}

/// Newest first, so that a crash in between leaves a log that still shows its disagreement with
/// the snapshot.
fn remove_segments<F: JournalIo>(
    files: &mut F,
    folder: &Path,
    segments: &mut Vec<SegmentInfo>,
) -> Result<(), JournalError> {
    while let Some(segment) = segments.pop() {
        remove_segment(folder, segment.sequence)?;
        sync_folder(files, folder)?;
    }
    Ok(())
}

fn remove_segment(folder: &Path, sequence: u64) -> Result<(), JournalError> {
    let path = segment_path(folder, sequence);
    fs::remove_file(&path).map_err(|error| JournalError::io("remove", &path, error))
}
