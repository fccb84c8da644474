//! Limits of the lease on API keys.

use std::time::Duration;

use super::decisions::configuration;
use crate::account::{AccessDecision, AccountResolver, KeyLease, LeaseState};
use crate::core::{KeyDigest, Timestamp};

const LIMIT: Duration = Duration::from_secs(5);

fn lease(confirmed_ms: u64) -> KeyLease {
    let mut lease = KeyLease::new(Some(LIMIT));
    lease.confirm(Timestamp::from_millis(confirmed_ms));
    lease
}

/// Guards against a lease that lasts as long as the limit or longer, and against one that is too
/// short to bridge six tenths of it.
#[test]
fn a_lease_lasts_longer_than_six_tenths_of_the_limit_and_not_as_long_as_it() {
    let cases = [
        (0, LeaseState::Recent),
        (1_249, LeaseState::Recent),
        (1_250, LeaseState::Valid),
        (4_499, LeaseState::Valid),
        (4_500, LeaseState::Lapsed),
        (60_000, LeaseState::Lapsed),
    ];
    for (age_ms, expected) in cases {
        let now = Timestamp::from_millis(10_000 + age_ms);
        assert_eq!(lease(10_000).state(now), expected, "{age_ms} ms");
    }
}

/// Guards against a lease that is shortened by an answer that was overtaken.
#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut lease = lease(10_000);
    lease.confirm(Timestamp::from_millis(2_000));
    let now = Timestamp::from_millis(10_100);
    assert_eq!(lease.state(now), LeaseState::Recent);
}

/// Guards against keys that are accepted before the first proof, and against meshes without a limit
/// that refuse keys for want of one.
#[test]
fn only_a_limit_asks_for_proofs() {
    let now = Timestamp::from_millis(1);
    assert_eq!(KeyLease::new(Some(LIMIT)).state(now), LeaseState::Lapsed);
    assert_eq!(KeyLease::new(None).state(now), LeaseState::Recent);
    assert_eq!(KeyLease::renewal_interval(None), None);
}

/// Guards against a node that accepts a key on a lapsed lease, that calls a key unknown which may just
/// have been added, or that stops public routes.
#[test]
fn the_age_of_the_proof_decides_between_accepting_rejecting_and_refusing() {
    let configuration = configuration(1, &[("crew", &["k-crew"])]);
    let known = Some(KeyDigest::of(b"k-crew"));
    let unknown = Some(KeyDigest::of(b"k-new"));
    let crew = configuration.client_accounts().next().unwrap().clone();
    let crew = AccessDecision::Account(crew);
    let cases = [
        ("members", known, [&crew, &crew, &AccessDecision::Unproved]),
        (
            "members",
            unknown,
            [
                &AccessDecision::UnknownKey,
                &AccessDecision::Unproved,
                &AccessDecision::Unproved,
            ],
        ),
        ("open", known, [&crew, &crew, &AccessDecision::Anonymous]),
        ("open", None, [&AccessDecision::Anonymous; 3]),
    ];
    let resolver = AccountResolver {
        lease: lease(10_000),
    };
    for (route, key, decisions) in cases {
        let ages = [500, 2_000, 4_600];
        for (age_ms, expected) in ages.into_iter().zip(decisions) {
            let now = Timestamp::from_millis(10_000 + age_ms);
            let route = &configuration.routes[route];
            let decision = resolver.resolve(now, &configuration, route, key);
            assert_eq!(decision, *expected, "{} after {age_ms} ms", route.name);
        }
    }
}

/// Guards against a node that was cut off before keys were introduced, and that goes on running
/// requests with keys that were introduced and taken away meanwhile.
#[test]
fn a_configuration_without_accounts_decides_on_keys_only_while_it_is_proved_recent() {
    let configuration = configuration(1, &[]);
    let key = Some(KeyDigest::of(b"k-crew"));
    let cases = [
        ("members", key, 4_499, AccessDecision::Open),
        ("members", key, 4_500, AccessDecision::Unproved),
        ("members", None, 4_500, AccessDecision::Open),
        ("open", key, 4_500, AccessDecision::Anonymous),
    ];
    let resolver = AccountResolver {
        lease: lease(10_000),
    };
    for (route, key, age_ms, expected) in cases {
        let now = Timestamp::from_millis(10_000 + age_ms);
        let entry = &configuration.routes[route];
        let decision = resolver.resolve(now, &configuration, entry, key);
        assert_eq!(decision, expected, "{route}, {key:?} after {age_ms} ms");
        let unlimited = AccountResolver::default();
        let decision = unlimited.resolve(now, &configuration, entry, key);
        assert_eq!(decision, AccessDecision::Open, "{route} without a limit");
    }
}
