//! Tests of the catalog.

use kumquatlock_wire::distribution::{
    CatalogCommand, CatalogState, Delta, UpstreamIncarnation, UpstreamItem, UpstreamReport,
    WireState, catalog_command::Kind,
};
use kumquatlock_wire::quarantine::QuarantineChange;
use prost::Message;

mod accounts;
mod verdicts;

use super::*;
use crate::core::{ConfigSnapshot, IncarnationId};
use crate::manifest::ManifestDocument;

fn manifest(version: u64, services: &[&str]) -> CatalogCommand {
    let list: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"upstreams\":[\"{name}-*\"]}}"))
        .collect();
    let routes: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"prefix\":\"/{name}\",\"class\":\"lookup\",\"service\":\"{name}\"}}")
        })
        .collect();
    let text = format!(
        "{{\"version\":{version},\"services\":[{}],\"routes\":[{}]}}",
        list.join(","),
        routes.join(",")
    );
    let kind = Some(Kind::Manifest(text.into()));
    CatalogCommand { kind }
}

fn report(name: &str, incarnation: u64, state: WireState) -> CatalogCommand {
    let service = name.split('-').next().unwrap();
    let upstream = UpstreamItem {
        name: name.into(),
        service: service.into(),
        zone: "osrednja-1".into(),
        region: "osrednja".into(),
        node_address: "127.0.0.1:7000".into(),
        incarnation,
        slots: 10,
        state: state as i32,
        first_in_region: false,
        version: String::new(),
    };
    let kind = Some(Kind::Report(UpstreamReport {
        upstream,
        ..UpstreamReport::default()
    }));
    CatalogCommand { kind }
}

fn serving(name: &str) -> CatalogCommand {
    report(name, 1, WireState::Serving)
}

fn apply_all(catalog: &mut Catalog, commands: &[CatalogCommand]) {
    for command in commands {
        catalog.apply(catalog.applied_index() + 1, command);
    }
}

fn node_snapshot(catalog: &Catalog) -> ConfigSnapshot {
    let snapshot = catalog.encode_snapshot(SnapshotDetail::Routing);
    let state = CatalogState::decode(snapshot.bytes).unwrap();
    ConfigSnapshot::from_state(&state, snapshot.digest).unwrap()
}

fn delta(catalog: &Catalog, base: ConfigVersion) -> Delta {
    match catalog.delta_since(base) {
        CatalogUpdate::Delta(delta) => delta,
        other => panic!("expected a delta, got {other:?}"),
    }
}

fn accepted(manifest_version: u64, index: u64) -> ApplyOutcome {
    ApplyOutcome::Manifest(ManifestDecision::Accepted {
        manifest_version,
        config_version: ConfigVersion(index),
    })
}

/// Guards against a resent manifest that is refused or accepted twice, and against two operators
/// whose manifests are both accepted under one version, even if a new leader restored the catalog
/// from a snapshot.
#[test]
fn resends_conflicts_and_stale_versions_get_deterministic_answers() {
    let mut catalog = Catalog::new();
    assert_eq!(catalog.apply(3, &manifest(5, &["a"])), accepted(5, 3));
    assert_eq!(catalog.apply(4, &manifest(6, &["b"])), accepted(6, 4));
    let mut restored = Catalog::from_state(&catalog.to_state()).unwrap();
    assert_eq!(restored, catalog);
    for catalog in [&mut catalog, &mut restored] {
        let before = (catalog.version(), catalog.digest());
        assert_eq!(catalog.apply(5, &manifest(6, &["b"])), accepted(6, 4));
        assert_eq!(catalog.apply(6, &manifest(5, &["a"])), accepted(5, 3));
        assert!(matches!(
            catalog.apply(7, &manifest(6, &["c"])),
            ApplyOutcome::Manifest(ManifestDecision::Conflict {
                manifest_version: 6,
                ..
            })
        ));
        assert!(matches!(
            catalog.apply(8, &manifest(5, &["c"])),
            ApplyOutcome::Manifest(ManifestDecision::Conflict {
                manifest_version: 5,
                ..
            })
        ));
        let stale = ManifestDecision::Stale {
            manifest_version: 4,
            accepted_version: 6,
        };
        assert_eq!(
            catalog.apply(9, &manifest(4, &["a"])),
            ApplyOutcome::Manifest(stale)
        );
        let bad = Kind::Manifest("{\"version\":7}".into());
        let bad = CatalogCommand { kind: Some(bad) };
        assert!(matches!(
            catalog.apply(10, &bad),
            ApplyOutcome::Manifest(ManifestDecision::Invalid(_))
        ));
        assert_eq!((catalog.version(), catalog.digest()), before);
        assert_eq!(
            catalog.apply(10, &manifest(7, &["c"])),
            ApplyOutcome::AlreadyApplied
        );
    }
}

/// Guards against duplicated, delayed and reordered reports that change the result, especially
/// against a report that brings back an upstream that left or expired.
#[test]
fn reports_are_idempotent_and_never_revert_a_newer_state() {
    use WireState::{Draining, Left, Serving};
    let recorded = ApplyOutcome::Report(ReportDecision::Recorded);
    let unchanged = ApplyOutcome::Report(ReportDecision::Unchanged);
    let refused = |refusal| ApplyOutcome::Report(ReportDecision::Refused(refusal));
    let recorded_as = |recorded| ReportRefusal::LowerIncarnation {
        recorded: IncarnationId(recorded),
    };
    let table = [
        (5, Serving, recorded.clone()),
        (5, Serving, unchanged.clone()),
        (5, Draining, recorded.clone()),
        (5, Serving, refused(ReportRefusal::AlreadyDraining)),
        (4, Left, refused(recorded_as(5))),
        (5, Left, recorded.clone()),
        (5, Left, unchanged),
        (5, Serving, refused(ReportRefusal::EndedIncarnation)),
        (4, Serving, refused(recorded_as(5))),
        (6, Serving, recorded),
    ];
    let mut catalog = Catalog::new();
    for (step, (incarnation, state, expected)) in table.into_iter().enumerate() {
        let outcome = catalog.apply(step as u64 + 1, &report("a-1", incarnation, state));
        assert_eq!(outcome, expected, "step {step}");
    }
    let expire = |incarnation| {
        let name = "a-1".into();
        let kind = Some(Kind::Expire(UpstreamIncarnation { name, incarnation }));
        CatalogCommand { kind }
    };
    assert_eq!(catalog.apply(20, &expire(5)), ApplyOutcome::NotExpired);
    assert_eq!(catalog.apply(21, &expire(6)), ApplyOutcome::Expired);
    let outcome = catalog.apply(22, &report("a-1", 6, Serving));
    assert_eq!(outcome, refused(ReportRefusal::EndedIncarnation));
    let mut unusable = report("a-2", 1, Serving);
    if let Some(Kind::Report(report)) = &mut unusable.kind {
        report.upstream.node_address = "nowhere".into();
    }
    assert_eq!(
        catalog.apply(23, &unusable),
        refused(ReportRefusal::Invalid)
    );
    assert_eq!(catalog.version(), ConfigVersion(21));
}

/// Guards against two first upstreams in one region of a service, and against a first upstream that
/// is still marked as such after a restart. A first upstream is taken to know every claim of the
/// service since its start.
#[test]
fn one_admitted_upstream_per_service_and_region_is_first() {
    let first_upstreams = |catalog: &Catalog| -> Vec<String> {
        let first_upstreams = catalog.upstreams().filter(|item| item.first_in_region);
        first_upstreams.map(|item| item.name.clone()).collect()
    };
    let mut catalog = Catalog::new();
    apply_all(&mut catalog, &[serving("a-2"), serving("a-1")]);
    assert!(
        first_upstreams(&catalog).is_empty(),
        "no upstream is admitted yet"
    );
    apply_all(&mut catalog, &[manifest(1, &["a"])]);
    assert_eq!(first_upstreams(&catalog), ["a-1"]);
    apply_all(
        &mut catalog,
        &[serving("a-0"), report("a-1", 2, WireState::Serving)],
    );
    assert!(
        first_upstreams(&catalog).is_empty(),
        "the new incarnation of a-1 has no claims"
    );
    apply_all(&mut catalog, &[manifest(2, &["b"]), manifest(3, &["a"])]);
    assert!(first_upstreams(&catalog).is_empty());
}

/// Guards against a merged delta that lacks a change. Checks deltas of the leader and of a replica
/// that itself received merged deltas, for children at every version in between.
#[test]
fn merged_deltas_lead_from_every_version_to_the_current_one() {
    let mut leader = Catalog::new();
    apply_all(&mut leader, &[manifest(1, &["a", "b"])]);
    for number in 0..40 {
        apply_all(&mut leader, &[serving(&format!("a-{number}"))]);
    }
    let mut replica = Catalog::from_state(&leader.to_state()).unwrap();
    let mut nodes = vec![node_snapshot(&leader)];
    // Service b is removed and created again unchanged. Upstream a-41 joins and leaves between two
    // deltas of the replica.
    let steps = [
        manifest(2, &["a"]),
        serving("a-41"),
        report("a-3", 1, WireState::Draining),
        report("a-41", 1, WireState::Left),
        manifest(3, &["a", "b"]),
        report("a-3", 1, WireState::Left),
    ];
    for (step, command) in steps.iter().enumerate() {
        apply_all(&mut leader, std::slice::from_ref(command));
        if step % 3 == 2 {
            let update = delta(&leader, replica.version());
            replica.apply_delta(&update).unwrap();
        }
        let newest = nodes.last().unwrap();
        nodes.push(newest.apply(&delta(&leader, newest.version)).unwrap());
    }
    assert_eq!(replica.version(), leader.version());
    for node in &nodes[..nodes.len() - 1] {
        for source in [&leader, &replica] {
            let next = node.apply(&delta(source, node.version)).unwrap();
            assert_eq!(next.digest, leader.digest());
        }
    }
}

/// Guards against a delta that lacks removals whose tombstones were dropped, and against a delta
/// that is larger than the snapshot.
#[test]
fn a_snapshot_replaces_deltas_that_are_incomplete_or_larger() {
    let mut catalog = Catalog::new();
    apply_all(&mut catalog, &[manifest(1, &["a"]), serving("a-0")]);
    let base = catalog.version();
    for number in 1..=MAX_TOMBSTONES {
        let name = format!("a-{number}");
        apply_all(
            &mut catalog,
            &[serving(&name), report(&name, 1, WireState::Left)],
        );
    }
    assert_eq!(catalog.min_delta_base(), ConfigVersion(0));
    assert_eq!(
        catalog.delta_since(base),
        CatalogUpdate::Snapshot,
        "a delta would be larger"
    );
    let recent = ConfigVersion(catalog.version().0 - 2);
    assert!(matches!(
        catalog.delta_since(recent),
        CatalogUpdate::Delta(_)
    ));
    apply_all(
        &mut catalog,
        &[serving("b-1"), report("b-1", 1, WireState::Left)],
    );
    assert_eq!(catalog.tombstone_count(), MAX_TOMBSTONES);
    let min_base = catalog.min_delta_base();
    assert!(min_base > base);
    let restored = Catalog::from_state(&catalog.to_state()).unwrap();
    assert_eq!(restored, catalog);
    assert_eq!(
        restored.delta_since(ConfigVersion(min_base.0 - 1)),
        CatalogUpdate::Snapshot
    );
}

/// Guards against a delta cost that grows with the size of the catalog. Prints the cost at two
/// sizes.
#[test]
fn delta_cost_does_not_depend_on_catalog_size() {
    let nanos = |upstreams: usize| {
        let mut catalog = Catalog::new();
        for number in 0..upstreams {
            apply_all(&mut catalog, &[serving(&format!("a-{number}"))]);
        }
        let base = ConfigVersion(catalog.version().0 - 10);
        // The minimum of several rounds excludes rounds in which the test was preempted.
        let round = |_| {
            let started = std::time::Instant::now();
            for _ in 0..50 {
                assert_eq!(delta(&catalog, base).changes.len(), 10);
            }
            started.elapsed().as_nanos() / 50
        };
        (0..8).map(round).min().unwrap_or_default()
    };
    let (small, large) = (nanos(200), nanos(20_000));
    println!("delta of 10 changes: {small} ns of 200 upstreams, {large} ns of 20000");
    // The large catalog is 100 times the small one, so a linear cost would give a factor of about
    // 100.
    assert!(large < small * 20, "{small} ns -> {large} ns");
}

fn change_command(catalog: &Catalog, command: &CatalogCommand) -> CatalogCommand {
    let Some(Kind::Manifest(text)) = &command.kind else {
        panic!("the command is not a manifest");
    };
    let document = ManifestDocument::parse(text).unwrap();
    let kind = Some(Kind::Change(catalog.diff_manifest(&document)));
    CatalogCommand { kind }
}

/// Guards against a manifest difference that results in another catalog than the whole manifest,
/// so that two instances have different configurations under one version.
#[test]
fn a_manifest_difference_gives_the_same_catalog_as_the_whole_manifest() {
    let steps: [&[&str]; 5] = [&["a", "b"], &["b", "c", "d"], &["d"], &["a"], &["a", "e"]];
    let (mut whole, mut incremental) = (Catalog::new(), Catalog::new());
    for upstream in ["a-1", "c-1"] {
        apply_all(&mut whole, &[serving(upstream)]);
        apply_all(&mut incremental, &[serving(upstream)]);
    }
    for (version, services) in (1..).zip(steps) {
        let command = manifest(version, services);
        let change = change_command(&incremental, &command);
        apply_all(&mut whole, &[command]);
        apply_all(&mut incremental, &[change]);
        let state = |catalog: &Catalog| catalog.encode_snapshot(SnapshotDetail::Full);
        assert_eq!(state(&whole), state(&incremental), "at version {version}");
    }
}

/// Guards against a manifest difference that is applied to another manifest than the one from which
/// it was computed.
#[test]
fn an_outdated_manifest_difference_changes_nothing() {
    let mut catalog = Catalog::new();
    apply_all(&mut catalog, &[manifest(1, &["a"])]);
    let late = change_command(&catalog, &manifest(3, &["a", "late"]));
    apply_all(&mut catalog, &[manifest(2, &["a", "b"])]);
    let before = catalog.encode_snapshot(SnapshotDetail::Routing);
    let outcome = catalog.apply(catalog.applied_index() + 1, &late);
    assert_eq!(outcome, ApplyOutcome::Manifest(ManifestDecision::Overtaken));
    assert_eq!(before, catalog.encode_snapshot(SnapshotDetail::Routing));
    // A difference with the same content is accepted when it is computed again, and a resend of it
    // gets the same answer.
    let recomputed = change_command(&catalog, &manifest(3, &["a", "late"]));
    let first = catalog.apply(catalog.applied_index() + 1, &recomputed);
    assert!(matches!(
        first,
        ApplyOutcome::Manifest(ManifestDecision::Accepted { .. })
    ));
    assert_eq!(catalog.apply(catalog.applied_index() + 1, &late), first);
}

/// Guards against an operator that overwrites a manifest that it has not read.
#[test]
fn a_manifest_that_follows_an_outdated_version_is_refused() {
    let mut catalog = Catalog::new();
    apply_all(&mut catalog, &[manifest(1, &["a"]), manifest(2, &["b"])]);
    let decision = |base: u64| {
        let Some(Kind::Manifest(text)) = manifest(3, &["c"]).kind else {
            panic!("the command is not a manifest");
        };
        let mut text: serde_json::Value = serde_json::from_slice(&text).unwrap();
        text["follows"] = base.into();
        let text = text.to_string();
        let document = ManifestDocument::parse(text.as_bytes()).unwrap();
        catalog.decide_manifest(&document)
    };
    assert_eq!(decision(2), None);
    let refused = ManifestDecision::OtherBase {
        manifest_version: 3,
        accepted_version: 2,
    };
    assert_eq!(decision(1), Some(refused));
}

fn quarantine(added: &[u64], removed: &[u64]) -> CatalogCommand {
    let (added, removed) = (added.to_vec(), removed.to_vec());
    let change = QuarantineChange { added, removed };
    CatalogCommand {
        kind: Some(Kind::Quarantine(change)),
    }
}

/// A quarantine must reach every child, by delta and by snapshot, and must survive the restart of
/// all voters.
#[test]
fn a_quarantine_is_part_of_deltas_and_snapshots() {
    let mut catalog = Catalog::new();
    apply_all(
        &mut catalog,
        &[manifest(1, &["booking"]), quarantine(&[7, 8], &[])],
    );
    let (base, before) = (catalog.version(), node_snapshot(&catalog));
    assert_eq!(before.quarantined.len(), 2);
    let digest = catalog.digest();
    let index = catalog.applied_index() + 1;
    let outcome = catalog.apply(index, &quarantine(&[9], &[7]));
    assert_eq!(outcome, ApplyOutcome::Quarantine(true));
    let delta = delta(&catalog, base);
    let after = before.apply(&delta).unwrap();
    assert_eq!(after, node_snapshot(&catalog));
    let expected = [8, 9].map(RequestFingerprint);
    assert_eq!(
        after.quarantined.iter().copied().collect::<Vec<_>>(),
        expected
    );
    assert_eq!(catalog.digest(), digest, "earlier releases ignore the list");
    let restarted = Catalog::from_state(&catalog.to_state()).unwrap();
    assert_eq!(restarted, catalog);
    let unchanged = catalog.apply(index + 1, &quarantine(&[9], &[7]));
    assert_eq!(unchanged, ApplyOutcome::Quarantine(false));
    assert_eq!(catalog.version().0, index);
}

/// The list of quarantined requests is bounded; the oldest is released first.
#[test]
fn the_number_of_quarantined_requests_is_bounded() {
    let mut catalog = Catalog::new();
    for number in 1..=1_000 {
        apply_all(&mut catalog, &[quarantine(&[number], &[])]);
    }
    let quarantined = catalog.quarantined();
    assert_eq!(quarantined.len(), crate::quarantine::MAX_QUARANTINED);
    assert_eq!(quarantined.last(), Some(&RequestFingerprint(1_000)));
}

/// Returns a manifest with a source text and, if `has_limits`, with limits.
fn sourced_manifest(version: u64, has_limits: bool) -> CatalogCommand {
    let limits = match has_limits {
        true => {
            r#""limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"#
        }
        false => "",
    };
    let text = format!(
        r#"{{"version":{version},{limits}"source":"text {version}","services":[{{"name":"a","upstreams":["a-*"]}}],"routes":[]}}"#
    );
    let kind = Some(Kind::Manifest(text.into()));
    CatalogCommand { kind }
}

/// Guards against a read replica that answers a read of the newest manifest's sources with the
/// source text of an earlier one.
#[test]
fn a_replica_keeps_no_source_of_an_earlier_manifest() {
    let mut catalog = Catalog::new();
    apply_all(&mut catalog, &[sourced_manifest(1, true)]);
    let snapshot = catalog.encode_snapshot(SnapshotDetail::Full);
    let state = CatalogState::decode(snapshot.bytes).unwrap();
    let mut replica = Catalog::from_state(&state).unwrap();
    apply_all(&mut catalog, &[sourced_manifest(2, true)]);
    let delta = delta(&catalog, replica.version());
    replica.apply_delta(&delta).unwrap();
    assert_eq!(replica.manifest_version(), 2);
    assert!(replica.manifest_source().is_empty());
}

/// Guards against children that keep the limits of an earlier manifest.
#[test]
fn a_delta_removes_limits_that_the_manifest_does_not_have_any_more() {
    let mut catalog = Catalog::new();
    apply_all(&mut catalog, &[sourced_manifest(1, true)]);
    let before = node_snapshot(&catalog);
    apply_all(&mut catalog, &[sourced_manifest(2, false)]);
    let delta = delta(&catalog, before.version);
    assert_eq!(before.apply(&delta).unwrap(), node_snapshot(&catalog));
}
