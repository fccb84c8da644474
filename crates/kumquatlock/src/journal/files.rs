//! File operations, as a trait so that tests can make them fail.

use std::fs::File;
use std::io::{self, Write};

/// Writes and syncs files. Tests implement it to simulate a full disk or a failed sync.
pub trait JournalIo {
    /// Writes all bytes at the current position of the file.
    fn write_all(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;

    /// Makes the data and the length of the file durable.
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
