//! File operations of the journal, as a trait so that tests can make them fail.

use std::fmt::Debug;
use std::fs::{self, File, TryLockError};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// Operations on files and directories. The journal uses no others. Tests implement it to simulate
/// a full disk, a failed sync or a loss of power.
pub trait JournalIo {
    /// A file that is open for writing at a position.
    type File: Debug;

    /// Creates the directory. Returns whether it is new.
    fn create_dir(&mut self, dir: &Path) -> io::Result<bool>;

    /// Creates the file if needed and locks it until the returned file is dropped.
    fn lock(&mut self, path: &Path) -> Result<Self::File, TryLockError>;

    /// Returns the names of the files in the directory, in any order.
    fn list(&mut self, dir: &Path) -> io::Result<Vec<String>>;

    /// Returns the content of the file.
    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>>;

    /// Creates an empty file. Truncates a file of the same name.
    fn create(&mut self, path: &Path) -> io::Result<Self::File>;

    /// Opens an existing file at a position, in bytes.
    fn open_at(&mut self, path: &Path, position: u64) -> io::Result<Self::File>;

    /// Writes all bytes at the position of the file.
    fn write_all(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of the file, in bytes, and moves the position to its end.
    fn truncate(&mut self, file: &mut Self::File, length: u64) -> io::Result<()>;

    /// Makes the data and the length of the file durable.
    fn sync(&mut self, file: &Self::File) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files in the directory durable.
    fn sync_dir(&mut self, dir: &Path) -> io::Result<()>;

    /// Renames a file. Replaces a file that has the new name.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;

    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// The file operations of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemIo;

impl JournalIo for SystemIo {
    type File = File;

    fn create_dir(&mut self, dir: &Path) -> io::Result<bool> {
        match fs::create_dir(dir) {
            Ok(()) => Ok(true),
            Err(_) if dir.is_dir() => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn lock(&mut self, path: &Path) -> Result<File, TryLockError> {
        let file = File::create(path).map_err(TryLockError::Error)?;
        file.try_lock()?;
        Ok(file)
    }

    fn list(&mut self, dir: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(dir)? {
            // The journal gives no file a name that is not UTF-8.
            names.extend(item?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create(&mut self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn open_at(&mut self, path: &Path, position: u64) -> io::Result<File> {
        let mut file = File::options().write(true).open(path)?;
        file.seek(SeekFrom::Start(position))?;
        Ok(file)
    }

    fn write_all(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn truncate(&mut self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)?;
        file.seek(SeekFrom::Start(length)).map(drop)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_dir(&mut self, dir: &Path) -> io::Result<()> {
        File::open(dir)?.sync_data()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}
