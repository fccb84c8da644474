//! API keys that are taken away from nodes that are stopped or cut off.

use std::thread;
use std::time::Duration;

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::{Mesh, wait_for};
use serde_json::{Value, json};

use crate::support::{WAIT_TIMEOUT, builder, start};

const KEY: &str = "k-of-the-crew";
/// Time within which a key that was taken away must stop.
const LIMIT: Duration = Duration::from_secs(2);

/// Starts a mesh whose nodes limit revocations, and submits an account with [`KEY`] as version 2.
fn start_with_key() -> Mesh {
    let limit = LIMIT.as_millis().to_string();
    let builder = builder()
        .node_argument("--revocation-limit-ms")
        .node_argument(&limit);
    let mesh = start(builder);
    submit(&mesh, 2, &[KEY]);
    mesh
}

fn submit(mesh: &Mesh, version: u64, keys: &[&str]) {
    let mut manifest = mesh.manifest(version);
    manifest["accounts"] = json!([{ "name": "crew", "keys": keys }]);
    submit_manifest(mesh, &manifest);
}

fn submit_manifest(mesh: &Mesh, manifest: &Value) {
    wait_for("manifest accepted", WAIT_TIMEOUT, || {
        let answer = mesh.controls[0].submit(manifest).unwrap();
        match answer.status {
            200 => Ok(()),
            _ => Err(answer.text()),
        }
    })
    .unwrap();
}

fn booking(body: &str) -> HttpRequest {
    let authorization = format!("Bearer {KEY}");
    HttpRequest::post("/booking", body).header("Authorization", &authorization)
}

fn wait_answer(mesh: &Mesh, node: usize, label: &str, expected: u16) {
    let mut attempt = 0;
    wait_for(label, WAIT_TIMEOUT, || {
        attempt += 1;
        let request = booking(&format!("{label}-{attempt}"));
        let answer = mesh.nodes[node].caller().send(&request).unwrap();
        match answer.status == expected {
            true => Ok(()),
            false => Err(format!("{}: {}", answer.status, answer.text())),
        }
    })
    .unwrap();
}

/// Guards against a node that stands still, wakes up, and runs a request that was sent to it later
/// than the limit after the key had been taken away.
#[test]
fn a_resumed_node_accepts_no_revoked_key() {
    let mut mesh = start_with_key();
    wait_answer(&mesh, 1, "key-known", 200);
    mesh.nodes[1].process.pause().unwrap();
    submit(&mesh, 3, &[]);
    // The request has to be sent later than the limit, so the test waits for a fixed time.
    thread::sleep(LIMIT + Duration::from_millis(100));
    let caller = mesh.nodes[1].caller();
    let waiting = thread::spawn(move || caller.send(&booking("after-revocation")).unwrap());
    thread::sleep(Duration::from_millis(200));
    mesh.nodes[1].process.resume().unwrap();
    let answer = waiting.join().unwrap();
    let text = answer.text();
    assert!(
        [401, 503].contains(&answer.status),
        "{}: {text}",
        answer.status
    );
    assert_eq!(mesh.ledger().runs_of_body(b"after-revocation").started, 0);
    wait_answer(&mesh, 1, "key-revoked", 401);
}

/// Guards against a node that is cut off from control and goes on accepting keys, and against one
/// that does not accept them again afterwards.
#[test]
fn a_node_that_is_cut_off_stops_accepting_keys() {
    let mut mesh = start_with_key();
    wait_answer(&mesh, 0, "key-known", 200);
    mesh.controls[0].process.pause().unwrap();
    thread::sleep(LIMIT);
    let answer = mesh.nodes[0].caller().send(&booking("cut-off")).unwrap();
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.json()["reason"], "config_unproved");
    assert_eq!(mesh.ledger().runs_of_body(b"cut-off").started, 0);
    mesh.controls[0].process.resume().unwrap();
    wait_answer(&mesh, 0, "key-accepted", 200);
}

/// Guards against a mesh that lets every request in once the last account is removed, at once or after
/// its processes have restarted.
#[test]
fn no_key_is_accepted_after_the_last_account_was_removed() {
    let mut mesh = start_with_key();
    wait_answer(&mesh, 0, "key-known", 200);
    let mut manifest = mesh.manifest(3);
    manifest["accounts"] = json!([]);
    submit_manifest(&mesh, &manifest);
    wait_answer(&mesh, 0, "key-revoked", 401);
    for control in &mut mesh.controls {
        control.process.kill().unwrap();
        control.process.restart().unwrap();
    }
    mesh.nodes[0].process.kill().unwrap();
    mesh.nodes[0].process.restart().unwrap();
    mesh.nodes[0].wait_ready().unwrap();
    wait_answer(&mesh, 0, "key-revoked-restarted", 401);
    let keyless = HttpRequest::post("/booking", "keyless");
    let answer = mesh.nodes[0].caller().send(&keyless).unwrap();
    assert_eq!(answer.status, 401, "{}", answer.text());
    let ledger = mesh.ledger();
    for body in ["key-revoked-restarted-1", "keyless"] {
        assert_eq!(ledger.runs_of_body(body.as_bytes()).started, 0);
    }
}
