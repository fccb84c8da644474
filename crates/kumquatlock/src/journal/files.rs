//! The file operations whose failures the journal must survive.

use std::fs::File;
use std::io::{self, Write};

/// Writes and syncs. Tests replace it to run out of space or to lose a sync.
pub trait JournalIo {
    /// Writes all bytes at the file's position.
    fn write_all(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;

    /// Makes the file's data and length durable.
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// The file operations of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemIo;

impl JournalIo for SystemIo {
    fn write_all(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}
