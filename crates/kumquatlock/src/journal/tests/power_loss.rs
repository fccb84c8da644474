//! Tests of the journal on a disk that loses unsynced operations.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::disk::DiskModel;
use super::*;

pub(super) const DIR: &str = "/data/node";

/// Number of different losses of power that a test tries after each operation.
const LOSSES: u64 = 20;

fn open_on(
    disk: &DiskModel,
    disk_id: u64,
) -> Result<(Journal<DiskModel>, RecoveredState), JournalError> {
    let settings = JournalSettings { segment_bytes: 300 };
    Journal::open(Path::new(DIR), settings, disk.clone(), disk_id)
}

fn recover_on(disk: &DiskModel) -> RecoveredState {
    open_on(disk, 8).unwrap().1
}

fn lose_power(disk: &DiskModel, seed: u64) {
    disk.lose_power(&mut SmallRng::seed_from_u64(seed));
}

/// Guards against an instance that creates its data directory, acknowledges writes and then starts
/// as an empty one, with a new disk identity.
#[test]
fn a_new_data_directory_survives_a_loss_of_power() {
    for (operations, seed) in (0..12).flat_map(|stop| (0..LOSSES).map(move |seed| (stop, seed))) {
        let disk = DiskModel::default();
        disk.stop_after(operations);
        drop(open_on(&disk, 6));
        disk.resume();
        let recovered = open_on(&disk, 7).unwrap().1;
        lose_power(&disk, seed);
        assert_eq!(recover_on(&disk), recovered, "{operations}, {seed}");
    }
}

/// Guards against a vote, a snapshot or a segment that a restarted process recovers and relies on,
/// and that is lost later because the process before it stopped before a sync of the directory.
#[test]
fn a_recovered_state_survives_a_loss_of_power() {
    let metadata = StoredMetadata {
        disk_id: 7,
        term: 3,
        ..StoredMetadata::default()
    };
    let writes = [
        JournalWrite::Metadata(metadata),
        JournalWrite::Append(entries(4..=4, 1)),
        JournalWrite::InstallSnapshot(snapshot(20, 2)),
    ];
    for (operations, seed) in (0..12).flat_map(|stop| (0..LOSSES).map(move |seed| (stop, seed))) {
        for write in &writes {
            let disk = DiskModel::default();
            let mut journal = open_on(&disk, 7).unwrap().0;
            journal.append(&entries(1..=3, 1)).unwrap();
            disk.stop_after(operations);
            drop(journal.write(write));
            disk.resume();
            let (mut journal, mut recovered) = open_on(&disk, 7).unwrap();
            if seed % 2 == 0 {
                let last = recovered.entries.last().map_or(20, |entry| entry.index);
                let next = entries(last + 1..=last + 1, 3);
                journal.append(&next).unwrap();
                recovered.entries.extend(next);
            }
            lose_power(&disk, seed);
            assert_eq!(recover_on(&disk), recovered, "{operations}, {seed}");
        }
    }
}

/// Guards against a voter that cannot start, because a loss of power undid the removal of some of
/// the compacted segments and left a gap in the log.
#[test]
fn a_loss_of_power_during_a_compaction_leaves_no_gap() {
    for (operations, seed) in (0..16).flat_map(|stop| (0..LOSSES).map(move |seed| (stop, seed))) {
        let disk = DiskModel::default();
        let mut journal = open_on(&disk, 7).unwrap().0;
        (1..=20).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
        let write = JournalWrite::SaveSnapshot {
            snapshot: snapshot(15, 1),
            keep_from: 16,
        };
        disk.stop_after(operations);
        drop(journal.write(&write));
        disk.resume();
        lose_power(&disk, seed);
        let recovered = open_on(&disk, 7).map(|(_, recovered)| recovered.entries);
        let recovered = recovered.unwrap_or_else(|error| panic!("{operations}, {seed}: {error}"));
        assert!(recovered.ends_with(&entries(16..=20, 1)));
    }
}

/// Guards against replaced entries that come back after the snapshot, because a process was stopped
/// while it recovered a log that ends at the snapshot.
#[test]
fn a_stop_during_recovery_brings_back_no_replaced_entry() {
    for operations in 0..12 {
        let disk = DiskModel::default();
        let mut journal = open_on(&disk, 7).unwrap().0;
        (1..=6).for_each(|index| journal.append(&entries(index..=index, 1)).unwrap());
        journal.append(&entries(3..=3, 2)).unwrap();
        // The first segment, which ends with the replaced entry 3, is removed. The second one holds
        // the replaced entries 4 to 6.
        let write = JournalWrite::SaveSnapshot {
            snapshot: snapshot(3, 2),
            keep_from: 4,
        };
        journal.write(&write).unwrap();
        assert_eq!(journal.segment_count(), 2);
        disk.stop_after(operations);
        drop(open_on(&disk, 7));
        disk.resume();
        assert_eq!(recover_on(&disk).entries, [], "{operations}");
    }
}
