//! Answers of control instances to operators' requests and commands.

use std::fmt::Write as _;
use std::fs;
use std::process::Command;

use kumquatlock::manifest::MAX_MANIFEST_BYTES;
use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::{Mesh, ProgramName};
use serde_json::{Value, json};

use crate::group::{
    builder, builder_with_election_timeout, conflicting_manifest, manifest, show, start, status,
    wait_status,
};

/// Starts a group with a long election timeout, so that it keeps its leader while a busy host
/// stalls its processes. These tests check decisions, and a leader that lost its quorum decides
/// nothing.
fn start_with_long_election_timeout() -> Mesh {
    start(builder_with_election_timeout("2000"))
}

/// Guards against answers that differ between instances, and against an accepted manifest that
/// another instance does not know.
#[test]
fn every_voter_accepts_and_shows_a_manifest() {
    let mesh = start_with_long_election_timeout();
    for (index, instance) in mesh.controls.iter().enumerate() {
        let version = index as u64 + 1;
        let answer = instance.submit(&manifest(version)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        let accepted = answer.json();
        assert_eq!(accepted["state"], "accepted");
        for other in &mesh.controls {
            let shown = show(other, "latest");
            assert_eq!(shown["manifest_version"], version);
            assert_eq!(shown["config_version"], accepted["config_version"]);
            let resubmitted = other.submit(&manifest(version)).unwrap();
            assert_eq!(
                (resubmitted.status, resubmitted.json()),
                (200, accepted.clone())
            );
            wait_status(other, "manifest_version", &json!(version));
        }
    }
    let older = show(&mesh.controls[0], "1");
    assert_eq!(older["state"], "superseded");
    assert_eq!(show(&mesh.controls[1], "9")["state"], "unknown");
}

/// Guards against two manifests of the same version being accepted, and against a return to an
/// older version.
#[test]
fn conflicting_and_stale_manifests_are_refused() {
    let mesh = start_with_long_election_timeout();
    let submit = |index: usize, manifest: &Value| {
        let answer = mesh.controls[index].submit(manifest).unwrap();
        (answer.status, answer.json())
    };
    let (_, first) = submit(0, &manifest(5));
    for index in 0..3 {
        let (code, answer) = submit(index, &conflicting_manifest(5));
        assert_eq!((code, &answer["reason"]), (409, &json!("conflict")));
        let (code, answer) = submit(index, &manifest(4));
        assert_eq!((code, &answer["reason"]), (409, &json!("stale")));
        assert_eq!(answer["accepted_version"], 5);
    }
    submit(1, &manifest(6));
    assert_eq!(submit(2, &manifest(5)), (200, first));
    // Of concurrent submissions of one version with different contents, exactly one is accepted.
    let submissions: Vec<_> = (0..6)
        .map(|index| {
            let caller = mesh.controls[index % 3].caller();
            let mut content = manifest(7);
            content["routes"][0]["prefix"] = json!(format!("/{index}"));
            let request = HttpRequest::post("/v1/manifests", content.to_string());
            std::thread::spawn(move || caller.send(&request).unwrap().status)
        })
        .collect();
    let mut codes: Vec<u16> = submissions
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    codes.sort_unstable();
    assert_eq!(codes, [200, 409, 409, 409, 409, 409]);
}

/// Returns an invalid manifest of each kind with the label of the kind.
fn bad_manifests() -> Vec<(&'static str, Vec<u8>)> {
    let replace_value = |path: &str, value: Value| {
        let mut edited = manifest(1);
        *edited.pointer_mut(path).unwrap() = value;
        edited.to_string().into_bytes()
    };
    let with_field = |field: &str, value: Value| {
        let mut edited = manifest(1);
        edited[field] = value;
        edited.to_string().into_bytes()
    };
    let route = |name: &str, prefix: &str| {
        let mut route = manifest(1)["routes"][0].clone();
        route["name"] = json!(name);
        route["prefix"] = json!(prefix);
        route
    };
    let service = |name: String| json!({ "name": name, "upstreams": [] });
    vec![
        ("empty", Vec::new()),
        ("not json", b"version: 1".to_vec()),
        (
            "cut off",
            manifest(1).to_string().into_bytes()[..40].to_vec(),
        ),
        (
            "not utf-8",
            b"{\"version\":1,\"services\":[{\"name\":\"\xff\"".to_vec(),
        ),
        (
            "trailing text",
            [manifest(1).to_string().as_bytes(), b" x"].concat(),
        ),
        ("deeply nested", "[".repeat(100_000).into_bytes()),
        ("list", b"[]".to_vec()),
        (
            "fields as a list",
            b"[9,[[\"booking\",[\"*\"]]],[]]".to_vec(),
        ),
        (
            "service as a list",
            replace_value("/services/0", json!(["booking", ["booking-*"]])),
        ),
        ("missing field", b"{\"version\":1,\"services\":[]}".to_vec()),
        ("doubled field", b"{\"version\":1,\"version\":2}".to_vec()),
        ("unknown field", with_field("owner", json!("x"))),
        (
            "unknown route field",
            replace_value("/routes/0", json!({ "weight": 1 })),
        ),
        ("version zero", replace_value("/version", json!(0))),
        ("negative version", replace_value("/version", json!(-1))),
        ("fractional version", replace_value("/version", json!(1.5))),
        ("version text", replace_value("/version", json!("1"))),
        (
            "huge version",
            b"{\"version\":18446744073709551616}".to_vec(),
        ),
        ("no services", replace_value("/services", json!([]))),
        (
            "bad service name",
            replace_value("/services/0/name", json!("Booking")),
        ),
        ("empty name", replace_value("/routes/0/name", json!(""))),
        (
            "long name",
            replace_value("/services/0/name", json!("n".repeat(64))),
        ),
        (
            "bad pattern",
            replace_value("/services/0/upstreams/0", json!("a*b")),
        ),
        (
            "doubled pattern",
            replace_value("/services/0/upstreams", json!(["a-*", "a-*"])),
        ),
        (
            "doubled service",
            replace_value(
                "/services",
                json!([service("booking".into()), service("booking".into())]),
            ),
        ),
        (
            "doubled route",
            replace_value("/routes", json!([route("a", "/a"), route("a", "/b")])),
        ),
        (
            "doubled match",
            replace_value("/routes", json!([route("a", "/a"), route("b", "/a")])),
        ),
        (
            "dangling service",
            replace_value("/routes/0/service", json!("payments")),
        ),
        (
            "bad prefix",
            replace_value("/routes/0/prefix", json!("booking")),
        ),
        (
            "bad class",
            replace_value("/routes/0/class", json!("sometimes")),
        ),
        ("bad host", {
            let mut host = manifest(1);
            host["routes"][0]["host"] = json!("a b");
            host.to_string().into_bytes()
        }),
        (
            "too many services",
            replace_value(
                "/services",
                (0..1_001).map(|n| service(format!("s{n}"))).collect(),
            ),
        ),
        ("too large", vec![b' '; MAX_MANIFEST_BYTES + 1]),
    ]
}

/// Guards against an invalid manifest that has any effect, and against answers that do not say what
/// is wrong.
#[test]
fn bad_submissions_have_no_effect() {
    let mesh = start(builder());
    let accepted = mesh.controls[0].submit(&manifest(1)).unwrap().json();
    let mut table = String::new();
    for (index, (name, body)) in bad_manifests().into_iter().enumerate() {
        let caller = mesh.controls[index % 3].caller();
        let answer = caller
            .send(&HttpRequest::post("/v1/manifests", body))
            .unwrap();
        assert!(!answer.json().is_null(), "{name}: {}", answer.text());
        writeln!(table, "{name}: {} {}", answer.status, answer.text()).unwrap();
    }
    insta::assert_snapshot!("bad_manifests", table);
    for instance in &mesh.controls {
        wait_status(instance, "config_version", &accepted["config_version"]);
        let final_status = status(instance).unwrap();
        // The log holds the entry of the leader's start and the accepted manifest, and none of a
        // refused submission.
        assert_eq!(final_status["commit_index"], accepted["config_version"]);
    }
}

/// Guards against an invalid HTTP request that gets no answer with an error type.
#[test]
fn bad_requests_get_typed_answers() {
    let mesh = start(builder());
    let caller = mesh.controls[0].caller();
    let mut table = String::new();
    let requests = [
        ("GET /", HttpRequest::get("/")),
        ("GET /v1/manifests", HttpRequest::get("/v1/manifests")),
        ("GET /v1/manifests/", HttpRequest::get("/v1/manifests/")),
        ("GET /v1/manifests/0", HttpRequest::get("/v1/manifests/0")),
        ("GET /v1/manifests/-1", HttpRequest::get("/v1/manifests/-1")),
        ("GET /v1/manifests/+1", HttpRequest::get("/v1/manifests/+1")),
        (
            "GET /v1/manifests/1e3",
            HttpRequest::get("/v1/manifests/1e3"),
        ),
        (
            "GET /v1/manifests/18446744073709551616",
            HttpRequest::get("/v1/manifests/18446744073709551616"),
        ),
        (
            "GET /v1/manifests/1/2",
            HttpRequest::get("/v1/manifests/1/2"),
        ),
        ("GET /v1/manifests/1", HttpRequest::get("/v1/manifests/1")),
        (
            "GET /v1/manifests/latest",
            HttpRequest::get("/v1/manifests/latest"),
        ),
        ("GET /v1/manifestsx", HttpRequest::get("/v1/manifestsx")),
        (
            "POST /v1/manifests/1",
            HttpRequest::post("/v1/manifests/1", "x"),
        ),
        ("POST /v1/status", HttpRequest::post("/v1/status", "x")),
        ("POST /metrics", HttpRequest::post("/metrics", "x")),
        ("GET /v1/status/x", HttpRequest::get("/v1/status/x")),
    ];
    for (name, request) in requests {
        let answer = caller.send(&request).unwrap();
        writeln!(table, "{name}: {} {}", answer.status, answer.text()).unwrap();
    }
    insta::assert_snapshot!("bad_requests", table);
}

fn run_command(mesh: &Mesh, arguments: &[&str]) -> (Option<i32>, String) {
    let http = mesh
        .controls
        .iter()
        .map(|control| control.flags.http.to_string());
    let output = Command::new(ProgramName::Control.locate().unwrap())
        .env_clear()
        .args(arguments)
        .args(["--control", &http.collect::<Vec<_>>().join(",")])
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against a command whose exit code contradicts the answer that it prints.
#[test]
fn exit_codes_match_the_outcome() {
    let mut mesh = start(builder());
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("manifest.json");
    let file = path.to_str().unwrap();
    fs::write(&path, manifest(3).to_string()).unwrap();
    let submit = ["submit", "--file", file];
    let (code, text) = run_command(&mesh, &submit);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.starts_with(r#"{"state":"accepted","manifest_version":3"#));
    let (code, text) = run_command(&mesh, &["show", "--wait-in-force-ms", "10000"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.starts_with(r#"{"state":"in_force","manifest_version":3"#));
    assert_eq!(run_command(&mesh, &["show", "--version", "4"]).0, Some(2));
    fs::write(&path, conflicting_manifest(3).to_string()).unwrap();
    assert_eq!(run_command(&mesh, &submit).0, Some(1));
    fs::write(&path, "{}").unwrap();
    assert_eq!(run_command(&mesh, &submit).0, Some(1));
    let (code, text) = run_command(&mesh, &["status"]);
    assert_eq!((code, text.lines().count()), (Some(0), 3), "{text}");

    // The first instance is killed; the other two still have a quorum.
    mesh.controls[0].process.kill().unwrap();
    fs::write(&path, manifest(4).to_string()).unwrap();
    let (code, text) = run_command(&mesh, &submit);
    assert_eq!(code, Some(0), "{text}");
    // Without a quorum, the group does not decide.
    mesh.controls[1].process.kill().unwrap();
    fs::write(&path, manifest(5).to_string()).unwrap();
    let submit_with_timeout = ["submit", "--file", file, "--timeout-ms", "500"];
    let (code, text) = run_command(&mesh, &submit_with_timeout);
    assert_eq!(code, Some(2), "{text}");
}
