//! Names and whole-file operations in the data folder.

use std::fs::{self, File};
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

/// Path of the segment with this sequence number.
pub(super) fn segment_path(folder: &Path, sequence: u64) -> PathBuf {
    folder.join(format!("{sequence:016}{SEGMENT_SUFFIX}"))
}

/// Sequence numbers of all segments, in ascending order.
pub(super) fn list_segments(folder: &Path) -> Result<Vec<u64>, JournalError> {
    let listed = fs::read_dir(folder).map_err(|error| JournalError::io("list", folder, error))?;
    let mut sequences = Vec::new();
    for item in listed {
        let item = item.map_err(|error| JournalError::io("list", folder, error))?;
        let name = item.file_name();
        let sequence: Option<u64> = name
            .to_str()
            .and_then(|name| name.strip_suffix(SEGMENT_SUFFIX))
            .and_then(|stem| stem.parse().ok());
        sequences.extend(sequence);
    }
    sequences.sort_unstable();
    Ok(sequences)
}

/// Creates the folder if needed and keeps other processes out while the result is held.
pub(super) fn lock_folder(folder: &Path) -> Result<File, JournalError> {
    fs::create_dir_all(folder).map_err(|error| JournalError::io("create", folder, error))?;
    let path = folder.join(LOCK_FILE);
    let lock = File::create(&path).map_err(|error| JournalError::io("create", &path, error))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(fs::TryLockError::WouldBlock) => Err(JournalError::DirectoryInUse {
            folder: folder.to_path_buf(),
        }),
        Err(fs::TryLockError::Error(error)) => Err(JournalError::io("lock", &path, error)),
    }
}

/// Makes created, renamed and removed names durable.
pub(super) fn sync_folder<F: JournalIo>(files: &mut F, folder: &Path) -> Result<(), JournalError> {
    let handle = File::open(folder).map_err(|error| JournalError::io("open", folder, error))?;
    files
        .sync(&handle)
        .map_err(|error| JournalError::io("sync", folder, error))
}

/// Replaces a file by one record. After a crash either the old or the new content is there.
pub(super) fn replace_file<F: JournalIo, M: Message>(
    files: &mut F,
    folder: &Path,
    name: &str,
    message: &M,
) -> Result<(), JournalError> {
    let record = encode_record(message)?;
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let mut file =
        File::create(&temporary).map_err(|error| JournalError::io("create", &temporary, error))?;
    files
        .write_all(&mut file, &record)
        .map_err(|error| JournalError::io("write", &temporary, error))?;
    files
        .sync(&file)
        .map_err(|error| JournalError::io("sync", &temporary, error))?;
    fs::rename(&temporary, &path).map_err(|error| JournalError::io("rename", &path, error))?;
    sync_folder(files, folder)
}

/// Reads a file of one record; `None` if there is no such file.
pub(super) fn load_file<M: Message + Default>(
    folder: &Path,
    name: &str,
) -> Result<Option<M>, JournalError> {
    let path = folder.join(name);
    let bytes = match fs::read(&path) {
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
