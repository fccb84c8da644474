//! Tests of parsing and validating manifests.

use super::*;

const VALID: &str = r#"{"version": 12,
  "services": [{"name": "booking", "upstreams": ["booking-*", "b.1"]}, {"name": "orders", "upstreams": []}],
  "routes": [{"name": "book", "host": "kranjc.si", "prefix": "/booking", "class": "at-most-once", "service": "booking"},
             {"name": "any", "prefix": "/", "class": "lookup", "service": "orders"}]}"#;

fn refusal_of(from: &str, to: &str) -> String {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID, "the valid manifest must contain {from}");
    let error = ManifestDocument::parse(text.as_bytes()).unwrap_err();
    format!("{} {}", error.path, error.reason())
}

/// Guards against a resent manifest that is taken for a different one because a tool reordered its
/// content.
#[test]
fn digest_ignores_order_and_white_space_only() {
    let first = ManifestDocument::parse(VALID.as_bytes()).unwrap();
    let reordered = r#"{"routes":[
        {"service":"orders","class":"lookup","prefix":"/","name":"any"},
        {"service":"booking","class":"at-most-once","prefix":"/booking","host":"kranjc.si","name":"book"}],
        "services":[{"upstreams":[],"name":"orders"},{"upstreams":["b.1","booking-*"],"name":"booking"}],"version":12}"#;
    assert_eq!(
        ManifestDocument::parse(reordered.as_bytes()).unwrap(),
        first
    );
    let other = VALID.replace("\"/booking\"", "\"/bookings\"");
    assert_ne!(
        ManifestDocument::parse(other.as_bytes()).unwrap().digest,
        first.digest
    );
}

/// Guards against an invalid manifest that is accepted, or refused with the wrong location.
#[test]
fn every_fault_is_refused_with_its_path() {
    let table = [
        (("\"host\"", "\"hots\""), "$.routes[0].hots unknown_field"),
        (
            ("\"version\": 12", "\"version\": 0"),
            "$.version bad_version",
        ),
        (
            ("\"version\": 12", "\"version\": -1"),
            "$.version wrong_shape",
        ),
        (("\"version\": 12,", ""), "$ wrong_shape"),
        (("12,", "12, \"version\": 13,"), "$ wrong_shape"),
        (("lookup", "lookups"), "$.routes[1].class wrong_shape"),
        (
            ("\"service\": \"orders\"", "\"service\": \"order\""),
            "$.routes[1].service dangling_service",
        ),
        (
            ("\"orders\", \"upstreams\"", "\"booking\", \"upstreams\""),
            "$.services[1].name duplicate_name",
        ),
        (("\"any\"", "\"book\""), "$.routes[1].name duplicate_name"),
        (
            ("\"b.1\"", "\"booking-*\""),
            "$.services[0].upstreams[1] duplicate_name",
        ),
        (
            ("\"b.1\"", "\"b*1\""),
            "$.services[0].upstreams[1] bad_name",
        ),
        (("\"b.1\"", "\"\""), "$.services[0].upstreams[1] bad_name"),
        (("\"orders\"", "\"Orders\""), "$.services[1].name bad_name"),
        (("kranjc.si", "kranjc si"), "$.routes[0].host bad_name"),
        (
            ("\"/booking\"", "\"booking\""),
            "$.routes[0].prefix bad_prefix",
        ),
        (
            ("\"/booking\"", "\"/b?x\""),
            "$.routes[0].prefix bad_prefix",
        ),
        (
            (
                "\"any\", \"prefix\": \"/\"",
                "\"any\", \"host\": \"kranjc.si\", \"prefix\": \"/booking\"",
            ),
            "$.routes[1].prefix duplicate_match",
        ),
        (
            ("\"lookup\", \"service\": \"orders\"}]}", ""),
            "$.routes[1].class syntax",
        ),
    ];
    for ((from, to), expected) in table {
        assert_eq!(refusal_of(from, to), expected, "{from} -> {to}");
    }
}

/// Guards against a manifest whose size exhausts the resources of every node.
#[test]
fn manifests_over_a_size_limit_are_refused() {
    let patterns_json = |patterns: usize| {
        let patterns: Vec<String> = (0..patterns).map(|n| format!("\"p{n}\"")).collect();
        patterns.join(",")
    };
    let parse_with = |services: usize, patterns: usize| {
        let list: Vec<String> = (0..services)
            .map(|n| {
                format!(
                    "{{\"name\":\"s{n}\",\"upstreams\":[{}]}}",
                    patterns_json(patterns)
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":1,\"services\":[{}],\"routes\":[]}}",
            list.join(",")
        );
        ManifestDocument::parse(text.as_bytes()).map_err(|error| error.path)
    };
    assert!(parse_with(MAX_SERVICES, 1).is_ok());
    assert_eq!(parse_with(MAX_SERVICES + 1, 1).unwrap_err(), "$.services");
    assert!(parse_with(1, MAX_PATTERNS).is_ok());
    assert_eq!(
        parse_with(1, MAX_PATTERNS + 1).unwrap_err(),
        "$.services[0].upstreams"
    );
    assert_eq!(parse_with(0, 0).unwrap_err(), "$.services");
    let long = format!("{VALID}{}", " ".repeat(MAX_MANIFEST_BYTES));
    let error = ManifestDocument::parse(long.as_bytes()).unwrap_err();
    assert_eq!(error.reason(), "too_large");
}

/// Guards against a table of accounts that a manifest leaves open to interpretation, and against an
/// account that is taken for the entry of an empty table.
#[test]
fn a_table_of_accounts_is_a_list_or_absent() {
    let with = |accounts: &str| VALID.replacen('{', &format!("{{\"accounts\": {accounts},"), 1);
    let refused = [
        ("null", "$.accounts wrong_shape"),
        ("{}", "$.accounts wrong_shape"),
        ("[{\"name\": \"<none>\"}]", "$.accounts[0].name bad_name"),
    ];
    for (accounts, expected) in refused {
        let error = ManifestDocument::parse(with(accounts).as_bytes()).unwrap_err();
        assert_eq!(format!("{} {}", error.path, error.reason()), expected);
    }
    let absent = ManifestDocument::parse(VALID.as_bytes()).unwrap();
    assert!(absent.accounts.is_empty());
    let empty = ManifestDocument::parse(with("[]").as_bytes()).unwrap();
    assert_eq!(empty.accounts, [AccountItem::empty_table()]);
}

/// Guards against a very small quota that becomes no limit at all.
#[test]
fn a_quota_above_zero_is_never_rounded_to_no_limit() {
    let cases = [
        ("0", 0),
        ("1e-9", 1),
        ("0.0004", 1),
        ("0.0026", 3),
        ("591", 591_000),
    ];
    for (rate, expected) in cases {
        let account = format!("{{\"accounts\": [{{\"name\": \"crew\", \"rate\": {rate}}}],");
        let text = VALID.replacen('{', &account, 1);
        let document = ManifestDocument::parse(text.as_bytes()).unwrap();
        assert_eq!(document.accounts[0].quota_millis, expected, "{rate}");
    }
}
