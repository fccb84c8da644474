//! Tables of accounts that are absent, empty or not, on their way from the manifest to a node.

use kumquatlock_wire::distribution::{CatalogCommand, CatalogState, catalog_command::Kind};
use prost::Message;

use crate::catalog::{Catalog, CatalogUpdate, SnapshotDetail};
use crate::core::{ConfigSnapshot, ConfigVersion};
use crate::manifest::ManifestDocument;

const NO_TABLE: &str = "";
const EMPTY_TABLE: &str = r#","accounts":[]"#;
const ONE_ACCOUNT: &str = r#","accounts":[{"name":"crew","keys":["k-crew"]}]"#;
const ACCOUNT_WITHOUT_KEYS: &str = r#","accounts":[{"name":"crew"}]"#;
/// Each table, and whether requests need a key with it.
const TABLES: [(&str, bool); 4] = [
    (NO_TABLE, false),
    (EMPTY_TABLE, true),
    (ONE_ACCOUNT, true),
    (ACCOUNT_WITHOUT_KEYS, true),
];

fn text(version: u64, accounts: &str) -> String {
    format!(
        r#"{{"version":{version},"services":[{{"name":"a","upstreams":["*"]}}],
        "routes":[{{"name":"a","prefix":"/","class":"lookup","service":"a"}}]{accounts}}}"#
    )
}

fn document(version: u64, accounts: &str) -> ManifestDocument {
    ManifestDocument::parse(text(version, accounts).as_bytes()).unwrap()
}

/// Applies the log entry by which the leader accepts the manifest.
fn accept(catalog: &mut Catalog, version: u64, accounts: &str) {
    let change = catalog.diff_manifest(&document(version, accounts));
    let kind = Some(Kind::Change(change));
    let entry = CatalogCommand { kind }.encode_to_vec();
    let command = CatalogCommand::decode(&*entry).unwrap();
    catalog.apply(catalog.applied_index() + 1, &command);
    assert_eq!(catalog.manifest_version(), version);
}

fn snapshot_of(catalog: &Catalog, detail: SnapshotDetail) -> ConfigSnapshot {
    let encoded = catalog.encode_snapshot(detail);
    let state = CatalogState::decode(encoded.bytes).unwrap();
    ConfigSnapshot::from_state(&state, encoded.digest).unwrap()
}

/// Brings a node and a read replica from `base` to the state of `catalog` by a delta.
fn follow(catalog: &Catalog, base: &Catalog) -> (ConfigSnapshot, Catalog) {
    let CatalogUpdate::Delta(delta) = catalog.delta_since(base.version()) else {
        panic!("a small change is sent as a delta");
    };
    let node = snapshot_of(base, SnapshotDetail::Routing);
    let node = node.apply(&delta).unwrap();
    let mut replica = Catalog::from_state(&base.to_state()).unwrap();
    replica.apply_delta(&delta).unwrap();
    (node, replica)
}

/// Guards against a stage that takes an empty table for none, so that the nodes below it let every
/// request in.
#[test]
fn an_empty_table_differs_from_none_at_every_stage() {
    for (before, _) in TABLES {
        for (after, needs_keys) in TABLES {
            let mut base = Catalog::new();
            accept(&mut base, 1, before);
            let mut catalog = base.clone();
            accept(&mut catalog, 2, after);
            let restored = Catalog::from_state(&catalog.to_state()).unwrap();
            let (node, replica) = follow(&catalog, &base);
            let stages = [
                ("node", node),
                ("catalog", snapshot_of(&catalog, SnapshotDetail::Routing)),
                ("restored", snapshot_of(&restored, SnapshotDetail::Routing)),
                ("replica", snapshot_of(&replica, SnapshotDetail::Full)),
            ];
            for (stage, snapshot) in stages {
                assert_eq!(
                    snapshot.needs_keys(),
                    needs_keys,
                    "{stage}: {before} to {after}"
                );
            }
        }
    }
}

/// Guards against a resend of one table that is answered as a resend of another, and against a node
/// that holds another table than its parent under the same digest.
#[test]
fn tables_that_differ_have_different_digests() {
    for (position, (table, _)) in TABLES.iter().enumerate() {
        for (other, _) in &TABLES[position + 1..] {
            let [mut left, mut right] = [Catalog::new(), Catalog::new()];
            accept(&mut left, 1, table);
            accept(&mut right, 1, other);
            assert_ne!(left.digest(), right.digest(), "{table} and {other}");
            let digests = [table, other].map(|table| document(1, table).digest);
            assert_ne!(digests[0], digests[1], "{table} and {other}");
        }
    }
}

/// Guards against an entry for the empty table that operators are shown, that gets a quota, or that
/// stays when accounts are added.
#[test]
fn an_empty_table_shows_no_account() {
    let mut catalog = Catalog::new();
    for (position, (table, _)) in TABLES.iter().enumerate() {
        accept(&mut catalog, position as u64 + 1, table);
        let count = usize::from(table.contains("crew"));
        assert_eq!(catalog.accounts().count(), count, "{table}");
        let snapshot = snapshot_of(&catalog, SnapshotDetail::Routing);
        assert_eq!(snapshot.client_accounts().count(), count, "{table}");
    }
    assert!(catalog.version() > ConfigVersion(0));
}
