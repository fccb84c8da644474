//! Failure tests of the journal.

use std::cell::RefCell;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use kumquatlock_wire::agreement::{LogEntry, VoterIdentity};
use tempfile::TempDir;

use super::*;

/// File operations that fail or forget on demand.
#[derive(Clone, Default)]
struct FaultyFiles {
    faults: Rc<RefCell<InjectedFaults>>,
}

#[derive(Default)]
struct InjectedFaults {
    /// Bytes that still fit on the disk.
    space: Option<usize>,
    fail_sync: bool,
}

impl JournalIo for FaultyFiles {
    fn write_all(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let Some(space) = &mut self.faults.borrow_mut().space else {
            return SystemIo.write_all(file, bytes);
        };
        let written = bytes.len().min(*space);
        *space -= written;
        SystemIo.write_all(file, &bytes[..written])?;
        match written == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        match self.faults.borrow().fail_sync {
            true => Err(io::Error::other("sync lost")),
            false => SystemIo.sync(file),
        }
    }
}

fn entries(indices: std::ops::RangeInclusive<u64>, term: u64) -> Vec<LogEntry> {
    indices
        .map(|index| LogEntry {
            index,
            term,
            payload: Bytes::from(vec![index as u8; 100]),
            ..LogEntry::default()
        })
        .collect()
}

fn snapshot(last_index: u64, last_term: u64) -> Arc<StoredSnapshot> {
    Arc::new(StoredSnapshot {
        last_index,
        last_term,
        data: Bytes::from_static(b"state"),
        ..StoredSnapshot::default()
    })
}

fn open(folder: &TempDir) -> Result<(Journal, RecoveredState), JournalError> {
    let settings = JournalSettings { segment_bytes: 500 };
    Journal::open(folder.path(), settings, SystemIo, 7)
}

fn recover(folder: &TempDir) -> RecoveredState {
    open(folder).unwrap().1
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder)
        .unwrap()
        .map(|item| item.unwrap().path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    paths.sort();
    paths
}

fn append_bytes(path: &Path, bytes: &[u8]) {
    let mut held = fs::read(path).unwrap();
    held.extend_from_slice(bytes);
    fs::write(path, held).unwrap();
}

/// Guards against a restart that forgets the identity, the vote or the term.
#[test]
fn metadata_survives_a_restart() {
    let folder = TempDir::new().unwrap();
    let (mut journal, recovered) = open(&folder).unwrap();
    assert_eq!(recovered.metadata.disk_id, 7);
    let metadata = StoredMetadata {
        term: 3,
        vote: Some(VoterIdentity {
            name: "b".into(),
            disk_id: 2,
        }),
        ..recovered.metadata
    };
    journal.save_metadata(&metadata).unwrap();
    drop(journal);
    let settings = JournalSettings::default();
    let (_, recovered) = Journal::open(folder.path(), settings, SystemIo, 8).unwrap();
    assert_eq!(recovered.metadata, metadata);
}

/// Guards against a replaced suffix that comes back, and against gaps between segments.
#[test]
fn a_replaced_suffix_stays_replaced() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = open(&folder).unwrap();
    (1..=10).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    journal.append(&entries(6..=7, 2)).unwrap();
    assert!(journal.segment_count() > 1);
    drop(journal);
    let expected = [entries(1..=5, 1), entries(6..=7, 2)].concat();
    assert_eq!(recover(&folder).entries, expected);
}

/// Guards against an unfinished record that is kept or that prevents the start.
#[test]
fn a_torn_tail_is_cut_at_every_length() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = open(&folder).unwrap();
    journal.append(&entries(1..=2, 1)).unwrap();
    let path = segments(folder.path())[0].clone();
    let synced = fs::read(&path).unwrap();
    journal.append(&entries(3..=4, 1)).unwrap();
    drop(journal);
    let whole = fs::read(&path).unwrap();
    for length in synced.len()..whole.len() {
        fs::write(&path, &whole[..length]).unwrap();
        let recovered = recover(&folder);
        assert_eq!(recovered.entries, entries(1..=2, 1));
        assert_eq!(recovered.torn_bytes as usize, length - synced.len());
        assert_eq!(fs::read(&path).unwrap(), synced);
    }
    // A crash may also leave the length of the file without its data.
    append_bytes(&path, &[0; 64]);
    let (mut journal, recovered) = open(&folder).unwrap();
    assert_eq!(
        (recovered.entries, recovered.torn_bytes),
        (entries(1..=2, 1), 64)
    );
    journal.append(&entries(3..=3, 2)).unwrap();
    drop(journal);
    assert_eq!(recover(&folder).entries[2..], entries(3..=3, 2));
}

/// Guards against starting without entries that were acknowledged.
#[test]
fn damage_before_the_end_is_refused() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = open(&folder).unwrap();
    (1..=10).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    drop(journal);
    let paths = segments(folder.path());
    assert!(paths.len() >= 2);
    // Each byte of the first record, which covers length, checksum and payload.
    for path in [&paths[0], &paths[paths.len() - 1]] {
        let whole = fs::read(path).unwrap();
        for position in 0..100 {
            let mut damaged = whole.clone();
            damaged[position] ^= 0x40;
            fs::write(path, damaged).unwrap();
            let error = open(&folder).unwrap_err();
            assert!(
                matches!(error, JournalError::CorruptRecord { offset: 0, .. }),
                "{error}"
            );
        }
        fs::write(path, whole).unwrap();
    }
    fs::remove_file(&paths[0]).unwrap();
    let error = open(&folder).unwrap_err();
    assert!(
        matches!(error, JournalError::MissingEntries { .. }),
        "{error}"
    );
}

/// Guards against voting twice in a term after the metadata was lost.
#[test]
fn missing_or_damaged_metadata_is_refused() {
    let folder = TempDir::new().unwrap();
    drop(open(&folder).unwrap());
    let path = folder.path().join("metadata");
    let mut bytes = fs::read(&path).unwrap();
    bytes[8] ^= 1;
    fs::write(&path, bytes).unwrap();
    assert!(matches!(
        open(&folder),
        Err(JournalError::CorruptFile { .. })
    ));
    fs::remove_file(&path).unwrap();
    assert!(matches!(
        open(&folder),
        Err(JournalError::MetadataMissing { .. })
    ));
}

/// Guards against two processes that write one log.
#[test]
fn an_open_folder_is_refused() {
    let folder = TempDir::new().unwrap();
    let _journal = open(&folder).unwrap();
    assert!(matches!(
        open(&folder),
        Err(JournalError::DirectoryInUse { .. })
    ));
}

/// Guards against half a record left behind by a full disk.
#[test]
fn a_full_disk_takes_the_append_back() {
    let folder = TempDir::new().unwrap();
    let files = FaultyFiles::default();
    let settings = JournalSettings::default();
    let opened = Journal::open(folder.path(), settings, files.clone(), 7);
    let (mut journal, recovered) = opened.unwrap();
    journal.append(&entries(1..=2, 1)).unwrap();
    let path = segments(folder.path())[0].clone();
    let synced = fs::read(&path).unwrap();
    for space in [0, 1, 9, 150] {
        files.faults.borrow_mut().space = Some(space);
        let error = journal.append(&entries(3..=4, 1)).unwrap_err();
        assert!(error.is_storage_full(), "{error}");
        assert_eq!(fs::read(&path).unwrap(), synced);
        let error = journal
            .save_metadata(&StoredMetadata::default())
            .unwrap_err();
        assert!(space > 0 || error.is_storage_full(), "{error}");
    }
    files.faults.borrow_mut().space = None;
    journal.append(&entries(3..=3, 2)).unwrap();
    drop(journal);
    let state = recover(&folder);
    assert_eq!(state.metadata, recovered.metadata);
    assert_eq!(
        state.entries,
        [entries(1..=2, 1), entries(3..=3, 2)].concat()
    );
}

/// Guards against trusting a second sync after the first one lost data.
#[test]
fn a_lost_sync_closes_the_journal() {
    let folder = TempDir::new().unwrap();
    let files = FaultyFiles::default();
    let settings = JournalSettings::default();
    let opened = Journal::open(folder.path(), settings, files.clone(), 7);
    let mut journal = opened.unwrap().0;
    journal.append(&entries(1..=1, 1)).unwrap();
    files.faults.borrow_mut().fail_sync = true;
    assert!(matches!(
        journal.append(&entries(2..=2, 1)),
        Err(JournalError::Io { .. })
    ));
    files.faults.borrow_mut().fail_sync = false;
    assert!(matches!(
        journal.append(&entries(2..=2, 1)),
        Err(JournalError::Closed)
    ));
    drop(journal);
    assert_eq!(recover(&folder).entries, entries(1..=1, 1));
}

/// Guards against compaction that drops entries after the snapshot or never frees a segment.
#[test]
fn compaction_keeps_what_follows_the_snapshot() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = open(&folder).unwrap();
    (1..=30).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    let before = journal.segment_count();
    let write = JournalWrite::SaveSnapshot {
        snapshot: snapshot(20, 1),
        keep_from: 21,
    };
    journal.write(&write).unwrap();
    assert!(journal.segment_count() < before);
    drop(journal);
    let recovered = recover(&folder);
    assert_eq!(recovered.snapshot, Some(snapshot(20, 1)));
    assert_eq!(recovered.entries, entries(21..=30, 1));
}

/// Guards against a superseded log that comes back after a received snapshot, also when the
/// installation is interrupted by a crash.
#[test]
fn an_installed_snapshot_discards_the_log() {
    let folder = TempDir::new().unwrap();
    let (mut journal, _) = open(&folder).unwrap();
    (1..=30).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    let old: Vec<(PathBuf, Vec<u8>)> = segments(folder.path())
        .into_iter()
        .map(|path| (path.clone(), fs::read(path).unwrap()))
        .collect();
    journal
        .write(&JournalWrite::InstallSnapshot(snapshot(20, 2)))
        .unwrap();
    drop(journal);
    for removed in 0..old.len() {
        for (path, bytes) in &old[..old.len() - removed] {
            fs::write(path, bytes).unwrap();
        }
        let new = segments(folder.path());
        new[old.len() - removed..]
            .iter()
            .for_each(|path| fs::remove_file(path).unwrap());
        let (mut journal, recovered) = open(&folder).unwrap();
        assert_eq!(recovered.entries, []);
        journal.append(&entries(21..=21, 2)).unwrap();
        drop(journal);
        assert_eq!(recover(&folder).entries, entries(21..=21, 2));
        segments(folder.path())
            .iter()
            .for_each(|path| fs::remove_file(path).unwrap());
    }
}
