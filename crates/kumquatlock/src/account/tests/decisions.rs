//! Decisions on the account of a request.

use kumquatlock_wire::call::HeaderField;
use kumquatlock_wire::distribution::{AccountItem, CatalogState, RouteItem, ServiceItem};

use crate::account::{AccessDecision, AccountResolver, KeyHeader, PresentedKey};
use crate::core::{
    ConfigSnapshot, KeyDigest, Timestamp, account_digest, route_digest, service_digest,
};

const HEADER: KeyHeader = KeyHeader {
    name: "authorization",
    scheme: "Token",
};

/// Builds a configuration with a public and a private route, and accounts with their keys.
pub(super) fn configuration(version: u64, accounts: &[(&str, &[&str])]) -> ConfigSnapshot {
    let account = |(name, keys): &(&str, &[&str])| AccountItem {
        name: (*name).to_owned(),
        key_digests: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()).as_bytes().to_vec().into())
            .collect(),
        ..AccountItem::default()
    };
    configuration_of(version, accounts.iter().map(account).collect())
}

fn configuration_of(version: u64, accounts: Vec<AccountItem>) -> ConfigSnapshot {
    let service = ServiceItem {
        name: "booking".into(),
        ..ServiceItem::default()
    };
    let route = |name: &str, public| RouteItem {
        name: name.into(),
        prefix: format!("/{name}"),
        service: "booking".into(),
        class: 1,
        public,
        ..RouteItem::default()
    };
    let state = CatalogState {
        version,
        services: vec![service],
        routes: vec![route("open", true), route("members", false)],
        accounts,
        ..CatalogState::default()
    };
    let digests = state.services.iter().map(service_digest);
    let digest = digests
        .chain(state.routes.iter().map(route_digest))
        .chain(state.accounts.iter().map(account_digest))
        .fold(0, u64::wrapping_add);
    ConfigSnapshot::from_state(&state, digest).unwrap()
}

fn presented(values: &[&str]) -> PresentedKey {
    let field = |value: &&str| HeaderField {
        name: "Authorization".into(),
        value: (*value).to_owned(),
    };
    PresentedKey::new(values.iter().map(field).collect())
}

fn decide(configuration: &ConfigSnapshot, route: &str, values: &[&str]) -> String {
    let key = presented(values).digest(HEADER);
    let route = &configuration.routes[route];
    let now = Timestamp::default();
    match AccountResolver::default().resolve(now, configuration, route, key) {
        AccessDecision::Account(account) => account.name.to_string(),
        AccessDecision::Anonymous => "anonymous".to_owned(),
        AccessDecision::Open => "open".to_owned(),
        AccessDecision::UnknownKey => "unknown_key".to_owned(),
        AccessDecision::Unproved => "unproved".to_owned(),
    }
}

/// Guards against requests that run without a valid key, under the account of another key, or that
/// are refused although they have one.
#[test]
fn the_key_and_the_route_decide_on_the_account() {
    let accounts: [(&str, &[&str]); 3] = [
        ("crew", &["k-crew-1", "k-crew-2"]),
        ("guests", &["k-guests"]),
        ("former", &[]),
    ];
    let configuration = configuration(1, &accounts);
    let cases: [(&str, &[&str], &str); 14] = [
        ("members", &["Token k-crew-1"], "crew"),
        ("members", &["Token k-crew-2"], "crew"),
        ("members", &["Token k-guests"], "guests"),
        ("members", &["token   k-guests "], "guests"),
        ("members", &[], "unknown_key"),
        ("members", &["Token k-nobody"], "unknown_key"),
        ("members", &["Token K-CREW-1"], "unknown_key"),
        ("members", &["Token k-crew-1 k-crew-2"], "unknown_key"),
        ("members", &["Bearer k-crew-1"], "unknown_key"),
        ("members", &["k-crew-1"], "unknown_key"),
        (
            "members",
            &["Token k-crew-1", "Token k-guests"],
            "unknown_key",
        ),
        ("open", &[], "anonymous"),
        ("open", &["Token k-nobody"], "anonymous"),
        ("open", &["Token k-crew-1"], "crew"),
    ];
    for (route, values, expected) in cases {
        let decision = decide(&configuration, route, values);
        assert_eq!(decision, expected, "route {route}, header {values:?}");
    }
}

/// Guards against a mesh without accounts that starts to ask its callers for keys.
#[test]
fn without_accounts_no_key_is_needed() {
    let configuration = configuration(1, &[]);
    for values in [&[][..], &["Token k-crew-1"]] {
        assert_eq!(decide(&configuration, "members", values), "open");
    }
}

/// Guards against a table whose last account was removed and that then lets every request in, with
/// the removed key too.
#[test]
fn a_table_without_accounts_admits_requests_to_public_routes_only() {
    let configuration = configuration_of(1, vec![AccountItem::empty_table()]);
    for values in [&[][..], &["Token k-crew-1"], &["Token <none>"]] {
        let decision = decide(&configuration, "members", values);
        assert_eq!(decision, "unknown_key", "{values:?}");
        assert_eq!(decide(&configuration, "open", values), "anonymous");
    }
}

/// Guards against keys in log lines that contain a request.
#[test]
fn the_debug_output_of_a_key_does_not_show_it() {
    let output = format!("{:?}", presented(&["Token k-crew-1"]));
    assert!(!output.contains("k-crew-1"), "{output}");
}
