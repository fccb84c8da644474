//! File names in the data directory, and operations on whole files.

use std::fs::TryLockError;
use std::io;
use std::path::{Path, PathBuf};

use prost::Message;

use super::error::JournalError;
use super::files::JournalIo;
use super::record::{RECORD_HEADER_BYTES, encode_record, read_record};

pub(super) const METADATA_FILE: &str = "metadata";
pub(super) const SNAPSHOT_FILE: &str = "snapshot";
const LOCK_FILE: &str = "lock";
const SEGMENT_SUFFIX: &str = ".log";

/// Returns the path of the segment with this sequence number.
pub(super) fn segment_path(dir: &Path, sequence: u64) -> PathBuf {
    dir.join(format!("{sequence:016}{SEGMENT_SUFFIX}"))
}

/// Returns the sequence numbers of all segments in ascending order.
pub(super) fn list_segments<F: JournalIo>(
    io: &mut F,
    dir: &Path,
) -> Result<Vec<u64>, JournalError> {
    let names = list_files(io, dir)?;
    let mut sequences: Vec<u64> = names
        .iter()
        .filter_map(|name| name.strip_suffix(SEGMENT_SUFFIX)?.parse().ok())
        .collect();
    sequences.sort_unstable();
    Ok(sequences)
}

pub(super) fn has_snapshot<F: JournalIo>(io: &mut F, dir: &Path) -> Result<bool, JournalError> {
    let names = list_files(io, dir)?;
    Ok(names.iter().any(|name| name == SNAPSHOT_FILE))
}

fn list_files<F: JournalIo>(io: &mut F, dir: &Path) -> Result<Vec<String>, JournalError> {
    io.list(dir)
        .map_err(|error| JournalError::io("list", dir, error))
}

/// Creates the directory if needed and locks it. Other processes cannot lock it until the returned
/// file is dropped.
pub(super) fn lock_dir<F: JournalIo>(io: &mut F, dir: &Path) -> Result<F::File, JournalError> {
    io.create_dir(dir)
        .map_err(|error| JournalError::io("create", dir, error))?;
    let path = dir.join(LOCK_FILE);
    io.lock(&path).map_err(|error| match error {
        TryLockError::WouldBlock => JournalError::DirectoryInUse {
            dir: dir.to_path_buf(),
        },
        TryLockError::Error(error) => JournalError::io("lock", &path, error),
    })
}

/// Makes the creation, renaming and removal of files in the directory durable.
pub(super) fn sync_dir<F: JournalIo>(io: &mut F, dir: &Path) -> Result<(), JournalError> {
    io.sync_dir(dir)
        .map_err(|error| JournalError::io("sync", dir, error))
}

/// Replaces the content of a file with one record. After a crash the file has either the old or
/// the new content.
pub(super) fn replace_file<F: JournalIo, M: Message>(
    io: &mut F,
    dir: &Path,
    name: &str,
    message: &M,
) -> Result<(), JournalError> {
    let record = encode_record(message)?;
    let path = dir.join(name);
    let temporary = dir.join(format!("{name}.new"));
    let mut file = io
        .create(&temporary)
        .map_err(|error| JournalError::io("create", &temporary, error))?;
    io.write_all(&mut file, &record)
        .map_err(|error| JournalError::io("write", &temporary, error))?;
    io.sync(&file)
        .map_err(|error| JournalError::io("sync", &temporary, error))?;
    io.rename(&temporary, &path)
        .map_err(|error| JournalError::io("rename", &path, error))?;
    sync_dir(io, dir)
}

/// Reads a file that consists of one record. Returns `None` if the file does not exist.
pub(super) fn load_file<F: JournalIo, M: Message + Default>(
    io: &mut F,
    dir: &Path,
    name: &str,
) -> Result<Option<M>, JournalError> {
    let path = dir.join(name);
    let bytes = match io.read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(JournalError::io("read", &path, error)),
    };
    read_record(&bytes)
        .filter(|payload| payload.len() + RECORD_HEADER_BYTES == bytes.len())
        .and_then(|payload| M::decode(payload).ok())
        .map(Some)
        .ok_or(JournalError::CorruptFile { path })
}
