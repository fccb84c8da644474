//! Failure tests of the journal.

use tempfile::TempDir;

use super::*;

/// Guards against a restart that forgets a synced identity.
#[test]
fn an_empty_folder_keeps_its_first_identity() {
    let folder = TempDir::new().unwrap();
    for fresh_disk_id in [7, 8] {
        let settings = JournalSettings::default();
        let opened = Journal::open(folder.path(), settings, SystemFiles, fresh_disk_id);
        assert_eq!(opened.unwrap().1.metadata.disk_id, 7);
    }
}
