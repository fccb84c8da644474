//! A disk in memory that loses operations which were not synced.
//!
//! A write or a new length is durable after the next sync of its file; a created, renamed or
//! removed name after the next sync of its directory. The sync of a new file does not make its name
//! durable, as some file systems do. When power is lost, each other operation is kept or lost
//! independently of all others, and a write may also be torn. A rename is kept or lost as a whole.

use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::fs::TryLockError;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use rand::Rng;
use rand::rngs::SmallRng;

use super::JournalIo;

/// Size of the parts of a write that are kept or lost independently, in bytes.
const SECTOR_BYTES: usize = 64;

/// The disk of one instance. All clones refer to the same disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskModel {
    state: Rc<RefCell<DiskState>>,
}

/// A file that is open for writing.
#[derive(Debug)]
pub(crate) struct DiskFile {
    id: usize,
    position: usize,
}

#[derive(Debug, Default)]
struct DiskState {
    /// Contents of all files that ever existed. Directories have an entry without content.
    files: Vec<FileContent>,
    /// Files by path, as processes see them.
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    /// Changes after `synced_names`, in order.
    name_changes: Vec<NameChange>,
    /// Operations until the machine stops; unlimited if `None`. A stopped machine fails all of them.
    remaining: Option<usize>,
}

#[derive(Debug, Default)]
struct FileContent {
    bytes: Vec<u8>,
    synced: Vec<u8>,
    /// Changes after `synced`, in order.
    changes: Vec<ContentChange>,
}

#[derive(Clone, Debug)]
enum ContentChange {
    Write(usize, Vec<u8>),
    Truncate(usize),
}

/// Names that one operation changes, with the file that each one has after it.
#[derive(Debug)]
struct NameChange(Vec<(PathBuf, Option<usize>)>);

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<PathBuf, usize>) {
        for (path, id) in &self.0 {
            match id {
                Some(id) => names.insert(path.clone(), *id),
                None => names.remove(path),
            };
        }
    }

    fn is_in(&self, dir: &Path) -> bool {
        self.0.iter().all(|(path, _)| path.parent() == Some(dir))
    }
}

/// What a loss of power keeps of the operations that were not synced.
#[derive(Clone, Copy, Debug)]
enum KeptChanges {
    None,
    All,
    Some,
}

impl KeptChanges {
    fn draw(rng: &mut SmallRng) -> Self {
        match rng.random_range(0..6) {
            0 => KeptChanges::None,
            1 => KeptChanges::All,
            _ => KeptChanges::Some,
        }
    }

    fn keeps(self, rng: &mut SmallRng) -> bool {
        match self {
            KeptChanges::None => false,
            KeptChanges::All => true,
            KeptChanges::Some => rng.random(),
        }
    }
}

impl ContentChange {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            ContentChange::Write(start, written) => {
                let end = start + written.len();
                bytes.resize(bytes.len().max(end), 0);
                bytes[*start..end].copy_from_slice(written);
            }
            ContentChange::Truncate(length) => bytes.resize(*length, 0),
        }
    }

    /// Applies a part of a write: the bytes before some position, or any sectors.
    fn apply_torn(&self, bytes: &mut Vec<u8>, rng: &mut SmallRng) {
        let ContentChange::Write(start, written) = self else {
            return self.apply(bytes);
        };
        if rng.random() {
            let kept = written[..rng.random_range(0..=written.len())].to_vec();
            return ContentChange::Write(*start, kept).apply(bytes);
        }
        bytes.resize(bytes.len().max(start + written.len()), 0);
        for (number, sector) in written.chunks(SECTOR_BYTES).enumerate() {
            if rng.random() {
                let start = start + number * SECTOR_BYTES;
                ContentChange::Write(start, sector.to_vec()).apply(bytes);
            }
        }
    }
}

impl FileContent {
    fn change(&mut self, change: ContentChange) {
        change.apply(&mut self.bytes);
        self.changes.push(change);
    }

    fn lose_power(&mut self, kept: KeptChanges, rng: &mut SmallRng) {
        let mut bytes = std::mem::take(&mut self.synced);
        for change in std::mem::take(&mut self.changes) {
            match (kept, kept.keeps(rng)) {
                (_, false) => {}
                (KeptChanges::Some, true) if rng.random() => change.apply_torn(&mut bytes, rng),
                (_, true) => change.apply(&mut bytes),
            }
        }
        self.synced.clone_from(&bytes);
        self.bytes = bytes;
    }
}

impl DiskState {
    fn change_names(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.name_changes.push(change);
    }

    fn add_file(&mut self, path: &Path) -> usize {
        let id = self.files.len();
        self.files.push(FileContent::default());
        self.change_names(NameChange(vec![(path.to_path_buf(), Some(id))]));
        id
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        let id = self.names.get(path).copied();
        id.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl DiskModel {
    /// Stops the machine after this number of operations that change or sync the disk.
    pub(crate) fn stop_after(&self, operations: usize) {
        self.state.borrow_mut().remaining = Some(operations);
    }

    /// Whether an operation failed because the machine has stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        self.state.borrow().remaining == Some(0)
    }

    /// Lets operations succeed again. Nothing is lost, as after the end of a process.
    pub(crate) fn resume(&self) {
        self.state.borrow_mut().remaining = None;
    }

    /// Undoes operations that were not synced.
    pub(crate) fn lose_power(&self, rng: &mut SmallRng) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let kept = KeptChanges::draw(rng);
        for file in &mut state.files {
            file.lose_power(kept, rng);
        }
        let mut names = std::mem::take(&mut state.synced_names);
        for change in std::mem::take(&mut state.name_changes) {
            if kept.keeps(rng) {
                change.apply(&mut names);
            }
        }
        let all = names.clone();
        let has_dirs = |path: &Path| {
            let mut dirs = path.ancestors().skip(1);
            dirs.all(|dir| dir.parent().is_none() || all.contains_key(dir))
        };
        names.retain(|path, _| has_dirs(path));
        state.synced_names.clone_from(&names);
        state.names = names;
    }

    /// Starts an operation that changes or syncs the disk.
    fn operate(&self) -> io::Result<RefMut<'_, DiskState>> {
        let mut state = self.state.borrow_mut();
        if let Some(remaining) = &mut state.remaining {
            let left = remaining.checked_sub(1);
            *remaining = left.ok_or_else(|| io::Error::other("the machine has stopped"))?;
        }
        Ok(state)
    }
}

impl JournalIo for DiskModel {
    type File = DiskFile;

    fn create_dir(&mut self, dir: &Path) -> io::Result<bool> {
        let mut state = self.operate()?;
        let parent = dir.parent().filter(|parent| parent.parent().is_some());
        parent.map_or(Ok(0), |parent| state.find(parent))?;
        let is_new = !state.names.contains_key(dir);
        if is_new {
            state.add_file(dir);
        }
        Ok(is_new)
    }

    fn lock(&mut self, path: &Path) -> Result<DiskFile, TryLockError> {
        self.create(path).map_err(TryLockError::Error)
    }

    fn list(&mut self, dir: &Path) -> io::Result<Vec<String>> {
        let state = self.state.borrow();
        let paths = state.names.keys();
        let listed = paths.filter(|path| path.parent() == Some(dir));
        let names = listed.filter_map(|path| path.file_name()?.to_str());
        Ok(names.map(str::to_owned).collect())
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.state.borrow();
        Ok(state.files[state.find(path)?].bytes.clone())
    }

    fn create(&mut self, path: &Path) -> io::Result<DiskFile> {
        let mut state = self.operate()?;
        let id = match state.find(path) {
            Ok(id) => id,
            Err(_) => state.add_file(path),
        };
        state.files[id].change(ContentChange::Truncate(0));
        Ok(DiskFile { id, position: 0 })
    }

    fn open_at(&mut self, path: &Path, position: u64) -> io::Result<DiskFile> {
        let id = self.state.borrow().find(path)?;
        let position = position as usize;
        Ok(DiskFile { id, position })
    }

    fn write_all(&mut self, file: &mut DiskFile, bytes: &[u8]) -> io::Result<()> {
        let change = ContentChange::Write(file.position, bytes.to_vec());
        self.operate()?.files[file.id].change(change);
        file.position += bytes.len();
        Ok(())
    }

    fn truncate(&mut self, file: &mut DiskFile, length: u64) -> io::Result<()> {
        file.position = length as usize;
        let change = ContentChange::Truncate(file.position);
        self.operate()?.files[file.id].change(change);
        Ok(())
    }

    fn sync(&mut self, file: &DiskFile) -> io::Result<()> {
        let mut state = self.operate()?;
        let content = &mut state.files[file.id];
        content.synced = content.bytes.clone();
        content.changes.clear();
        Ok(())
    }

    fn sync_dir(&mut self, dir: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        let state = &mut *state;
        let synced = state
            .name_changes
            .extract_if(.., |change| change.is_in(dir));
        synced.for_each(|change| change.apply(&mut state.synced_names));
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        let id = state.find(from)?;
        let names = vec![(from.to_path_buf(), None), (to.to_path_buf(), Some(id))];
        state.change_names(NameChange(names));
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        let mut state = self.operate()?;
        state.find(path)?;
        state.change_names(NameChange(vec![(path.to_path_buf(), None)]));
        Ok(())
    }
}
