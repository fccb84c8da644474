//! Errors of the journal.

use std::io;
use std::path::{Path, PathBuf};

/// Why the journal could not be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The disk or the quota is full. A failed append was undone and never acknowledged.
    #[error("no space left while writing {}", path.display())]
    StorageFull { path: PathBuf },
    /// A record before the end of the log does not match its checksum or cannot be decoded.
    #[error("{} is corrupt at byte {offset}", path.display())]
    CorruptRecord { path: PathBuf, offset: u64 },
    /// The log does not continue where the snapshot or the previous record ends.
    #[error("log in {} continues at index {found}, but index {expected} was expected", path.display())]
    MissingEntries {
        path: PathBuf,
        expected: u64,
        found: u64,
    },
    /// The directory contains a log or a snapshot, but no metadata file.
    #[error("{} holds a log but no metadata", dir.display())]
    MetadataMissing { dir: PathBuf },
    /// The metadata or the snapshot file does not match its checksum.
    #[error("{} does not match its checksum", path.display())]
    CorruptFile { path: PathBuf },
    /// Another process has opened the directory.
    #[error("{} is in use by another process", dir.display())]
    DirectoryInUse { dir: PathBuf },
    /// A record exceeds [`MAX_RECORD_BYTES`](super::MAX_RECORD_BYTES).
    #[error("record of {bytes} bytes exceeds the maximum record size")]
    RecordTooLarge { bytes: usize },
    /// An earlier write failed in a way that leaves the durable state unknown. The directory must
    /// be reopened.
    #[error("journal is closed after a failed write and must be reopened")]
    Closed,
    /// Any other file system error.
    #[error("could not {action} {}: {source}", path.display())]
    Io {
        action: &'static str,
        path: PathBuf,
        source: io::Error,
    },
}

impl JournalError {
    pub(super) fn io(action: &'static str, path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                JournalError::StorageFull { path }
            }
            _ => JournalError::Io {
                action,
                path,
                source,
            },
        }
    }

    /// Whether disk space must be freed before the journal can be written again.
    pub fn is_storage_full(&self) -> bool {
        matches!(self, JournalError::StorageFull { .. })
    }
}
