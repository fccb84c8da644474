//! Tests of the applied configuration.

use kumquatlock_wire::distribution::{
    CatalogChange, CatalogState, Delta, RouteItem, ServiceItem, UpstreamItem, catalog_change::Kind,
};

use super::*;

fn service(name: &str) -> ServiceItem {
    ServiceItem {
        name: name.into(),
        patterns: vec![format!("{name}-*")],
        ..ServiceItem::default()
    }
}

fn upstream(name: &str, service: &str) -> UpstreamItem {
    UpstreamItem {
        name: name.into(),
        service: service.into(),
        zone: "osrednja-1".into(),
        region: "osrednja".into(),
        node_address: "127.0.0.1:1".into(),
        incarnation: 1,
        slots: 10,
        ..UpstreamItem::default()
    }
}

fn route(name: &str, service: &str) -> RouteItem {
    RouteItem {
        name: name.into(),
        prefix: format!("/{name}"),
        service: service.into(),
        ..RouteItem::default()
    }
}

fn base_snapshot() -> ConfigSnapshot {
    let state = CatalogState {
        version: 5,
        manifest_version: 1,
        services: vec![service("booking")],
        routes: vec![route("book", "booking")],
        upstreams: vec![
            upstream("booking-1", "booking"),
            upstream("other-1", "booking"),
        ],
        history: None,
        ..CatalogState::default()
    };
    let digest = service_digest(&state.services[0])
        .wrapping_add(route_digest(&state.routes[0]))
        .wrapping_add(upstream_digest(&state.upstreams[0]))
        .wrapping_add(upstream_digest(&state.upstreams[1]));
    ConfigSnapshot::from_state(&state, digest).unwrap()
}

fn delta(kinds: Vec<Kind>) -> Delta {
    let changes = kinds
        .into_iter()
        .map(|kind| CatalogChange { kind: Some(kind) })
        .collect();
    Delta {
        base: 5,
        version: 6,
        changes,
        digest: 0,
        quarantine: None,
        rollouts: None,
    }
}

/// A route must not reach upstreams that the manifest does not admit.
#[test]
fn members_are_the_admitted_upstreams() {
    let snapshot = base_snapshot();
    let names: Vec<&str> = snapshot.services["booking"]
        .members
        .iter()
        .map(|member| &*member.name)
        .collect();
    assert_eq!(names, ["booking-1"]);
}

/// A delta must not leave a route whose service the node doesn't have.
#[test]
fn a_delta_that_leaves_a_dangling_route_is_rejected() {
    let snapshot = base_snapshot();
    let before = snapshot.clone();
    let error = snapshot
        .apply(&delta(vec![Kind::RemoveService("booking".into())]))
        .unwrap_err();
    assert_eq!(
        error,
        SnapshotError::DanglingRoute {
            route: "book".into(),
            service: "booking".into()
        }
    );
    assert_eq!(snapshot, before);
}

/// A delta must not be applied to a base other than its own, and must not move the version
/// backwards. Either can happen when updates arrive out of order.
#[test]
fn deltas_with_a_wrong_base_or_an_old_version_are_rejected() {
    let snapshot = base_snapshot();
    let mut wrong_base = delta(vec![]);
    wrong_base.base = 4;
    assert!(matches!(
        snapshot.apply(&wrong_base),
        Err(SnapshotError::WrongBase { .. })
    ));
    let mut backwards = delta(vec![]);
    backwards.version = 5;
    assert!(matches!(
        snapshot.apply(&backwards),
        Err(SnapshotError::NotNewer { .. })
    ));
}

/// If a change of a delta is lost, the node must not switch to a state that differs from the state
/// of the source.
#[test]
fn a_delta_with_a_lost_change_is_rejected() {
    let snapshot = base_snapshot();
    let added = upstream("booking-2", "booking");
    let mut whole = delta(vec![Kind::UpsertUpstream(added.clone())]);
    whole.digest = snapshot.digest.wrapping_add(upstream_digest(&added));
    let next = snapshot.apply(&whole).unwrap();
    assert_eq!(next.services["booking"].members.len(), 2);
    whole.changes.clear();
    assert!(matches!(
        snapshot.apply(&whole),
        Err(SnapshotError::DigestMismatch { .. })
    ));
}
