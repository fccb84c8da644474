//! Tests of the journal under failures.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use kumquatlock_wire::agreement::{LogEntry, VoterIdentity};
use tempfile::TempDir;

use super::*;

pub(crate) mod disk;
mod faulty;
pub(crate) mod history;
mod power_loss;

use faulty::FaultyIo;

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

fn open(dir: &TempDir) -> Result<(Journal, RecoveredState), JournalError> {
    let settings = JournalSettings { segment_bytes: 500 };
    Journal::open(dir.path(), settings, SystemIo, 7)
}

fn recover(dir: &TempDir) -> RecoveredState {
    open(dir).unwrap().1
}

fn segments(dir: &Path) -> Vec<PathBuf> {
    let paths = fs::read_dir(dir).unwrap().map(|item| item.unwrap().path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    paths.sort();
    paths
}

fn append_bytes(path: &Path, bytes: &[u8]) {
    let mut content = fs::read(path).unwrap();
    content.extend_from_slice(bytes);
    fs::write(path, content).unwrap();
}

/// Guards against a restart that loses the disk identity, the vote or the term.
#[test]
fn metadata_survives_a_restart() {
    let dir = TempDir::new().unwrap();
    let (mut journal, recovered) = open(&dir).unwrap();
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
    let (_, recovered) = Journal::open(dir.path(), settings, SystemIo, 8).unwrap();
    assert_eq!(recovered.metadata, metadata);
}

/// Guards against replaced entries that reappear after a restart, and against gaps between
/// segments.
#[test]
fn a_replaced_suffix_stays_replaced() {
    let dir = TempDir::new().unwrap();
    let (mut journal, _) = open(&dir).unwrap();
    (1..=10).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    journal.append(&entries(6..=7, 2)).unwrap();
    assert!(journal.segment_count() > 1);
    drop(journal);
    let expected = [entries(1..=5, 1), entries(6..=7, 2)].concat();
    assert_eq!(recover(&dir).entries, expected);
}

/// Guards against an incomplete last record that is kept, or that prevents the journal from being
/// opened.
#[test]
fn a_torn_tail_is_truncated_at_every_length() {
    let dir = TempDir::new().unwrap();
    let (mut journal, _) = open(&dir).unwrap();
    journal.append(&entries(1..=2, 1)).unwrap();
    let path = segments(dir.path())[0].clone();
    let synced = fs::read(&path).unwrap();
    journal.append(&entries(3..=4, 1)).unwrap();
    drop(journal);
    let whole = fs::read(&path).unwrap();
    for length in synced.len()..whole.len() {
        fs::write(&path, &whole[..length]).unwrap();
        let recovered = recover(&dir);
        assert_eq!(recovered.entries, entries(1..=2, 1));
        assert_eq!(recovered.torn_bytes as usize, length - synced.len());
        assert_eq!(fs::read(&path).unwrap(), synced);
    }
    // A crash may also leave the new length of the file without the data, which then reads as
    // zeros.
    append_bytes(&path, &[0; 64]);
    let (mut journal, recovered) = open(&dir).unwrap();
    assert_eq!(
        (recovered.entries, recovered.torn_bytes),
        (entries(1..=2, 1), 64)
    );
    journal.append(&entries(3..=3, 2)).unwrap();
    drop(journal);
    assert_eq!(recover(&dir).entries[2..], entries(3..=3, 2));
}

/// Guards against a journal that opens without entries that were acknowledged before.
#[test]
fn corruption_before_the_end_is_refused() {
    let dir = TempDir::new().unwrap();
    let (mut journal, _) = open(&dir).unwrap();
    (1..=10).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    drop(journal);
    let paths = segments(dir.path());
    assert!(paths.len() >= 2);
    // Corrupts each of the first 100 bytes of the first record, which cover length, checksum and
    // payload.
    for path in [&paths[0], &paths[paths.len() - 1]] {
        let whole = fs::read(path).unwrap();
        for position in 0..100 {
            let mut damaged = whole.clone();
            damaged[position] ^= 0x40;
            fs::write(path, damaged).unwrap();
            let error = open(&dir).unwrap_err();
            assert!(
                matches!(error, JournalError::CorruptRecord { offset: 0, .. }),
                "{error}"
            );
        }
        fs::write(path, whole).unwrap();
    }
    fs::remove_file(&paths[0]).unwrap();
    let error = open(&dir).unwrap_err();
    assert!(
        matches!(error, JournalError::MissingEntries { .. }),
        "{error}"
    );
}

/// Guards against a second vote in the same term after the metadata was lost.
#[test]
fn missing_or_damaged_metadata_is_refused() {
    let dir = TempDir::new().unwrap();
    drop(open(&dir).unwrap());
    let path = dir.path().join("metadata");
    let mut bytes = fs::read(&path).unwrap();
    bytes[8] ^= 1;
    fs::write(&path, bytes).unwrap();
    assert!(matches!(open(&dir), Err(JournalError::CorruptFile { .. })));
    fs::remove_file(&path).unwrap();
    assert!(matches!(
        open(&dir),
        Err(JournalError::MetadataMissing { .. })
    ));
}

/// Guards against a damaged file that ends the process at its start, or that is used as if it were
/// whole. Only the latest record may be taken for one that was not completely written.
#[test]
fn one_flipped_byte_is_noticed_wherever_it_is() {
    let dir = TempDir::new().unwrap();
    let (mut journal, _) = open(&dir).unwrap();
    (1..=12).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    let write = JournalWrite::SaveSnapshot {
        snapshot: snapshot(6, 1),
        keep_from: 7,
    };
    journal.write(&write).unwrap();
    drop(journal);
    let whole = recover(&dir);
    let paths = fs::read_dir(dir.path()).unwrap();
    let paths: Vec<PathBuf> = paths.map(|item| item.unwrap().path()).collect();
    for path in &paths {
        let bytes = fs::read(path).unwrap();
        for position in 0..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[position] ^= 1 << (position % 8);
            fs::write(path, &damaged).unwrap();
            if let Ok((_, recovered)) = open(&dir) {
                assert_eq!(recovered.metadata, whole.metadata, "{path:?}, {position}");
                assert_eq!(recovered.snapshot, whole.snapshot, "{path:?}, {position}");
                let kept = recovered.entries.len();
                assert!(kept + 1 >= whole.entries.len(), "{path:?}, {position}");
                assert_eq!(recovered.entries, whole.entries[..kept]);
            }
            // Opening truncates an incomplete record.
            fs::write(path, &bytes).unwrap();
        }
    }
    assert_eq!(recover(&dir).entries, whole.entries);
}

/// Guards against two processes that write the same log.
#[test]
fn a_directory_in_use_is_refused() {
    let dir = TempDir::new().unwrap();
    let _journal = open(&dir).unwrap();
    assert!(matches!(
        open(&dir),
        Err(JournalError::DirectoryInUse { .. })
    ));
}

/// Guards against an incomplete record that stays in the log after the disk was full.
#[test]
fn a_failed_append_on_a_full_disk_is_undone() {
    let dir = TempDir::new().unwrap();
    let io: FaultyIo = FaultyIo::default();
    let settings = JournalSettings::default();
    let opened = Journal::open(dir.path(), settings, io.clone(), 7);
    let (mut journal, recovered) = opened.unwrap();
    journal.append(&entries(1..=2, 1)).unwrap();
    let path = segments(dir.path())[0].clone();
    let synced = fs::read(&path).unwrap();
    for space in [0, 1, 9, 150] {
        io.faults.borrow_mut().space = Some(space);
        let error = journal.append(&entries(3..=4, 1)).unwrap_err();
        assert!(error.is_storage_full(), "{error}");
        assert_eq!(fs::read(&path).unwrap(), synced);
        let error = journal
            .save_metadata(&StoredMetadata::default())
            .unwrap_err();
        assert!(space > 0 || error.is_storage_full(), "{error}");
    }
    io.faults.borrow_mut().space = None;
    journal.append(&entries(3..=3, 2)).unwrap();
    drop(journal);
    let state = recover(&dir);
    assert_eq!(state.metadata, recovered.metadata);
    assert_eq!(
        state.entries,
        [entries(1..=2, 1), entries(3..=3, 2)].concat()
    );
}

/// Guards against relying on a later sync after a failed sync lost data.
#[test]
fn a_failed_sync_closes_the_journal() {
    let dir = TempDir::new().unwrap();
    let io: FaultyIo = FaultyIo::default();
    let settings = JournalSettings::default();
    let opened = Journal::open(dir.path(), settings, io.clone(), 7);
    let mut journal = opened.unwrap().0;
    journal.append(&entries(1..=1, 1)).unwrap();
    io.faults.borrow_mut().fail_sync = true;
    assert!(matches!(
        journal.append(&entries(2..=2, 1)),
        Err(JournalError::Io { .. })
    ));
    io.faults.borrow_mut().fail_sync = false;
    assert!(matches!(
        journal.append(&entries(2..=2, 1)),
        Err(JournalError::Closed)
    ));
    drop(journal);
    assert_eq!(recover(&dir).entries, entries(1..=1, 1));
}

/// Guards against a compaction that removes entries after the snapshot or never removes a segment.
#[test]
fn compaction_keeps_entries_after_the_snapshot() {
    let dir = TempDir::new().unwrap();
    let (mut journal, _) = open(&dir).unwrap();
    (1..=30).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    let before = journal.segment_count();
    let write = JournalWrite::SaveSnapshot {
        snapshot: snapshot(20, 1),
        keep_from: 21,
    };
    journal.write(&write).unwrap();
    assert!(journal.segment_count() < before);
    drop(journal);
    let recovered = recover(&dir);
    assert_eq!(recovered.snapshot, Some(snapshot(20, 1)));
    assert_eq!(recovered.entries, entries(21..=30, 1));
}

/// Guards against a superseded log that reappears after a snapshot was installed, even if a crash
/// interrupted the installation.
#[test]
fn an_installed_snapshot_discards_the_log() {
    let dir = TempDir::new().unwrap();
    let (mut journal, _) = open(&dir).unwrap();
    (1..=30).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
    let old: Vec<(PathBuf, Vec<u8>)> = segments(dir.path())
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
        let new = segments(dir.path());
        new[old.len() - removed..]
            .iter()
            .for_each(|path| fs::remove_file(path).unwrap());
        let (mut journal, recovered) = open(&dir).unwrap();
        assert_eq!(recovered.entries, []);
        journal.append(&entries(21..=21, 2)).unwrap();
        drop(journal);
        assert_eq!(recover(&dir).entries, entries(21..=21, 2));
        segments(dir.path())
            .iter()
            .for_each(|path| fs::remove_file(path).unwrap());
    }
}
