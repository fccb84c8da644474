//! Durable state of one voter: the log, the metadata file and the snapshot file.
//!
//! All files live in one data folder. [`Journal::open`] recovers what an earlier run left there
//! and hands it over as a [`RecoveredState`]; after that, [`Journal::write`] carries out one
//! [`JournalWrite`] at a time and returns only when it is durable.
//!
//! The log is a sequence of segment files of records (length, checksum, payload). One record
//! holds one batch of entries, so at most the last record of the last segment can be unsynced
//! after a crash. A batch that starts at or below the last index replaces the suffix from there
//! on, so truncation never rewrites a file. Metadata and snapshot are replaced by write, sync,
//! rename and sync of the folder.

mod error;
mod files;
mod folder;
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
mod tests;
