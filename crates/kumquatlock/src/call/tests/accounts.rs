//! Requests of client accounts, from the caller's headers to those that the upstream gets.

use kumquatlock_wire::Body;
use kumquatlock_wire::call::CallRequest;
use kumquatlock_wire::distribution::{
    AccountItem, CatalogChange, Delta, RouteItem, WireClass, catalog_change::Kind,
};

use super::simulation::{CallSimulation, booking_request, endpoint, snapshot_of, upstreams};
use crate::call::*;
use crate::claim::ClaimSettings;
use crate::core::*;
use crate::transport::LinkId;

const KEY: &str = "s3cret-of-the-crew";
const ROUTE_RANK: u32 = 4;

fn account(rank: Option<u32>) -> AccountItem {
    AccountItem {
        name: "crew".into(),
        key_digests: vec![KeyDigest::of(KEY.as_bytes()).as_bytes().to_vec().into()],
        rank,
        ..AccountItem::default()
    }
}

fn route(public: bool) -> RouteItem {
    RouteItem {
        name: "book".into(),
        prefix: "/booking".into(),
        class: WireClass::Lookup as i32,
        service: "booking".into(),
        rank: ROUTE_RANK,
        public,
        ..RouteItem::default()
    }
}

/// Builds a simulation whose configuration has the account, which arrives in a delta.
fn simulation(account: AccountItem, public: bool) -> CallSimulation {
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    let base = snapshot_of(5, WireClass::Lookup, upstreams());
    let old = RouteItem {
        rank: 0,
        ..route(false)
    };
    let digest = base
        .digest
        .wrapping_sub(route_digest(&old))
        .wrapping_add(route_digest(&route(public)))
        .wrapping_add(account_digest(&account));
    let kinds = [
        Kind::UpsertRoute(route(public)),
        Kind::UpsertAccount(account),
    ];
    let changes = kinds.map(|kind| CatalogChange { kind: Some(kind) });
    let delta = Delta {
        base: 5,
        version: 6,
        changes: changes.into(),
        digest,
        ..Delta::default()
    };
    let snapshot = base.apply(&delta).unwrap().into();
    simulation.entry.on_snapshot(simulation.now, snapshot);
    simulation
}

fn open(simulation: &mut CallSimulation, headers: &[(&str, &str)]) -> EntryStep {
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    let request = booking_request(headers.collect(), "");
    let (_, mut steps) = simulation
        .entry
        .open(simulation.now, request, LocalRuns::default());
    assert_eq!(steps.len(), 1, "{steps:?}");
    steps.remove(0)
}

fn sent(step: EntryStep) -> CallRequest {
    match step {
        EntryStep::Send {
            body: Body::Call(request),
            ..
        } => request,
        other => panic!("the request was not sent: {other:?}"),
    }
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Returns the headers that the upstream gets for a call.
fn upstream_headers(request: CallRequest) -> Vec<(String, String)> {
    let now = Timestamp::from_millis(1);
    let name = request.upstream.as_str().into();
    let mut calls = DestinationCalls::new(name, IncarnationId(1), ClaimSettings::default());
    calls.on_announce(now, endpoint());
    let steps = calls.on_call(now, CallSource::Link(LinkId(0)), request, false);
    let headers = steps.into_iter().find_map(|step| match step {
        DestinationStep::Run { request, .. } => Some(request.headers),
        _ => None,
    });
    headers.expect("the call should run")
}

/// Guards against an API key that reaches another node, the upstream or a log line, and against an
/// upstream that takes the caller's word for its account.
#[test]
fn the_upstream_gets_the_account_and_not_the_key() {
    let mut simulation = simulation(account(None), false);
    let headers = [
        ("authorization", bearer(KEY)),
        ("KUMQUATLOCK-ACCOUNT", "admin".to_owned()),
        ("accept", "*/*".to_owned()),
    ];
    let headers = headers
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()));
    let request = sent(open(&mut simulation, &headers));
    assert!(!format!("{request:?}").contains(KEY));
    let received = upstream_headers(request);
    let accounts: Vec<&str> = received
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case(ACCOUNT_HEADER))
        .map(|(_, value)| value.as_str())
        .collect();
    assert_eq!(accounts, ["crew"]);
    let has = |name: &str| {
        received
            .iter()
            .any(|(other, _)| other.eq_ignore_ascii_case(name))
    };
    assert!(!has("authorization"));
    assert!(has("accept"));
}

/// Guards against a caller that names an account on a public route or in a call that claims to be
/// nested.
#[test]
fn an_account_that_the_caller_names_is_dropped_on_a_public_route() {
    for depth in ["0", "1"] {
        let mut simulation = simulation(account(None), true);
        let headers = [
            (ACCOUNT_HEADER, "admin"),
            (DEPTH_HEADER, depth),
            ("authorization", "Bearer k-nobody"),
        ];
        let request = sent(open(&mut simulation, &headers));
        assert_eq!(request.account, None);
        let received = upstream_headers(request);
        let names = received.iter().map(|(name, _)| name.as_str());
        let dropped = [ACCOUNT_HEADER, "authorization"];
        assert_eq!(names.filter(|name| dropped.contains(name)).count(), 0);
    }
}

/// Guards against calls that skip the check of the key by a header that callers can set.
#[test]
fn a_request_without_a_known_key_is_rejected() {
    let mut simulation = simulation(account(None), false);
    for headers in [
        &[][..],
        &[("authorization", "Bearer k-nobody")],
        &[(DEPTH_HEADER, "1")],
        &[(ACCOUNT_HEADER, "crew")],
    ] {
        let step = open(&mut simulation, headers);
        let EntryStep::Answer { answer, .. } = step else {
            panic!("the request was sent: {step:?}");
        };
        assert_eq!(answer, CallerAnswer::Rejected(RejectReason::UnknownKey));
        let response = answer.into_http(&HeaderNames::default());
        assert_eq!(response.status, 401);
        assert_eq!(response.header("www-authenticate"), Some("Bearer"));
    }
}

/// Guards against an account's requests that are served in the order of their route.
#[test]
fn the_rank_of_the_account_goes_before_that_of_the_route() {
    let key = bearer(KEY);
    for (rank, expected) in [(None, ROUTE_RANK), (Some(0), 0), (Some(9), 9)] {
        let mut simulation = simulation(account(rank), false);
        let request = sent(open(&mut simulation, &[("authorization", &key)]));
        assert_eq!(request.rank, expected);
    }
}

/// Guards against an account that gets the stored answer to another account's request with the same
/// idempotency key, and against an upstream that sees a changed key.
#[test]
fn idempotency_keys_are_distinct_for_each_account() {
    let key = bearer(KEY);
    let mut simulation = simulation(account(None), true);
    let headers = [("idempotency-key", "osrednja:42")];
    let anonymous = sent(open(&mut simulation, &headers));
    let headers = [("idempotency-key", "osrednja:42"), ("authorization", &key)];
    let owned = sent(open(&mut simulation, &headers));
    assert_ne!(anonymous.key, owned.key);
    let received = upstream_headers(owned);
    let header = received.iter().find(|(name, _)| name == KEY_HEADER);
    assert_eq!(header.map(|(_, value)| value.as_str()), Some("osrednja:42"));
}

/// Guards against a mesh without accounts that hides a header of its callers from its upstreams.
#[test]
fn without_accounts_the_header_of_the_key_is_forwarded() {
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    let request = sent(open(&mut simulation, &[("authorization", "Basic YTpi")]));
    let received = upstream_headers(request);
    assert!(received.contains(&("authorization".to_owned(), "Basic YTpi".to_owned())));
}

/// Guards against a key that the upstream is shown, or that is accepted, after the last account was
/// removed from the table.
#[test]
fn with_an_empty_table_no_key_is_accepted_and_none_is_forwarded() {
    let key = bearer(KEY);
    for headers in [&[][..], &[("authorization", &*key)]] {
        let mut closed = simulation(AccountItem::empty_table(), false);
        let step = open(&mut closed, headers);
        let EntryStep::Answer { answer, .. } = step else {
            panic!("the request was sent: {step:?}");
        };
        assert_eq!(answer, CallerAnswer::Rejected(RejectReason::UnknownKey));
        let mut public = simulation(AccountItem::empty_table(), true);
        let request = sent(open(&mut public, headers));
        assert_eq!(request.account, None);
        let received = upstream_headers(request);
        let is_key = |(name, _): &(String, String)| name == "authorization";
        assert!(!received.iter().any(is_key), "{received:?}");
    }
}
