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
    create_dir(io, dir).map_err(|error| JournalError::io("create", dir, error))?;
    let path = dir.join(LOCK_FILE);
    io.lock(&path).map_err(|error| match error {
        TryLockError::WouldBlock => JournalError::DirectoryInUse {
            dir: dir.to_path_buf(),
        },
        TryLockError::Error(error) => JournalError::io("lock", &path, error),
    })
}

/// Creates the directory and its missing parents, and makes the new names durable.
fn create_dir<F: JournalIo>(io: &mut F, dir: &Path) -> io::Result<()> {
    let parent = match dir.parent() {
        None => return Ok(()),
        Some(parent) if parent.as_os_str().is_empty() => Path::new("."),
        Some(parent) => parent,
    };
    let is_new = match io.create_dir(dir) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            create_dir(io, parent)?;
            io.create_dir(dir)?
        }
        created => created?,
    };
    match is_new {
        true => io.sync_dir(parent),
        false => Ok(()),
    }
}

/// Syncs the directories above `dir`, because an earlier process may have created some of them and
/// stopped before it synced them. Those above an instance's own directories may be out of reach for
/// it, so a failure is only logged.
pub(super) fn sync_parents<F: JournalIo>(io: &mut F, dir: &Path) {
    let parents = dir.ancestors().skip(1);
    for parent in parents.filter(|parent| !parent.as_os_str().is_empty()) {
        if let Err(error) = io.sync_dir(parent) {
            let parent = parent.display().to_string();
            log::warn!(folder = parent.as_str(), error = error.to_string().as_str(); "parent_not_synced");
        }
    }
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
