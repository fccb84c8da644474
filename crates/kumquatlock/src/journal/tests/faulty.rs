//! File operations that fail on demand.

use std::cell::RefCell;
use std::fs::TryLockError;
use std::io;
use std::path::Path;
use std::rc::Rc;

use super::{JournalIo, SystemIo};

/// Passes operations on to `inner`, except those that are made to fail.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultyIo<F = SystemIo> {
    pub(super) inner: F,
    pub(super) faults: Rc<RefCell<InjectedFaults>>,
}

#[derive(Debug, Default)]
pub(super) struct InjectedFaults {
    /// Free space on the disk, in bytes; unlimited if `None`.
    pub(super) space: Option<usize>,
    pub(super) fail_sync: bool,
}

impl<F> FaultyIo<F> {
    fn check_sync(&self) -> io::Result<()> {
        match self.faults.borrow().fail_sync {
            true => Err(io::Error::other("injected sync failure")),
            false => Ok(()),
        }
    }
}

impl<F: JournalIo> JournalIo for FaultyIo<F> {
    type File = F::File;

    fn write_all(&mut self, file: &mut F::File, bytes: &[u8]) -> io::Result<()> {
        let Some(space) = &mut self.faults.borrow_mut().space else {
            return self.inner.write_all(file, bytes);
        };
        let written = bytes.len().min(*space);
        *space -= written;
        self.inner.write_all(file, &bytes[..written])?;
        match written == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&mut self, file: &F::File) -> io::Result<()> {
        self.check_sync()?;
        self.inner.sync(file)
    }

    fn sync_dir(&mut self, dir: &Path) -> io::Result<()> {
        self.check_sync()?;
        self.inner.sync_dir(dir)
    }

    fn create_dir(&mut self, dir: &Path) -> io::Result<bool> {
        self.inner.create_dir(dir)
    }

    fn lock(&mut self, path: &Path) -> Result<F::File, TryLockError> {
        self.inner.lock(path)
    }

    fn list(&mut self, dir: &Path) -> io::Result<Vec<String>> {
        self.inner.list(dir)
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        self.inner.read(path)
    }

    fn create(&mut self, path: &Path) -> io::Result<F::File> {
        self.inner.create(path)
    }

    fn open_at(&mut self, path: &Path, position: u64) -> io::Result<F::File> {
        self.inner.open_at(path, position)
    }

    fn truncate(&mut self, file: &mut F::File, length: u64) -> io::Result<()> {
        self.inner.truncate(file, length)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.inner.remove(path)
    }
}
