//! Durable state of one instance: the log, the metadata file and the snapshot file.
//!
//! All files are in one data directory. [`Journal::open`] recovers the state that an earlier run
//! stored there and returns it as a [`RecoveredState`]. After that, each call of [`Journal::write`]
//! carries out one [`JournalWrite`] and returns only when it is durable.
//!
//! The log is a sequence of segment files that consist of records (length, checksum, payload). One
//! record holds one batch of entries and is synced before the next one is written, so after a crash
//! at most the last record of the last segment is incomplete. A batch that starts at or below the
//! last index replaces the log from its first index on, so truncating the log never rewrites a
//! file. The metadata file and the snapshot file are replaced by writing and syncing a new file,
//! renaming it and syncing the directory.

mod directory;
mod error;
mod files;
mod record;
mod recovery;
mod state;
mod store;

pub use error::JournalError;
pub use files::{JournalIo, SystemIo};
pub use record::MAX_RECORD_BYTES;
pub use state::{JournalWrite, RecoveredState, StoredMetadata, StoredSnapshot};
pub use store::{DEFAULT_SEGMENT_BYTES, Journal, JournalSettings};

#[cfg(test)]
pub(crate) mod tests;
