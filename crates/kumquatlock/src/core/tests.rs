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

fn base() -> ConfigSnapshot {
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
    }
}

/// Guards against routes that reach upstreams which the manifest does not admit.
#[test]
fn members_are_the_admitted_upstreams() {
    let snapshot = base();
    let names: Vec<&str> = snapshot.services["booking"]
        .members
        .iter()
        .map(|member| &*member.name)
        .collect();
    assert_eq!(names, ["booking-1"]);
}

/// Guards against a route whose service the proxy does not hold.
#[test]
fn a_delta_that_leaves_a_dangling_route_is_rejected_whole() {
    let snapshot = base();
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

/// Guards against updates that cross on the way and are applied to another base or backwards.
#[test]
fn crossed_and_doubled_deltas_are_rejected() {
    let snapshot = base();
    let mut crossed = delta(vec![]);
    crossed.base = 4;
    assert!(matches!(
        snapshot.apply(&crossed),
        Err(SnapshotError::WrongBase { .. })
    ));
    let mut backwards = delta(vec![]);
    backwards.version = 5;
    assert!(matches!(
        snapshot.apply(&backwards),
        Err(SnapshotError::NotNewer { .. })
    ));
}

/// Guards against a lost change that leaves the proxy with another state than the source.
#[test]
fn a_delta_with_a_lost_change_is_rejected() {
    let snapshot = base();
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
