//! Operators that concurrently submit manifests and read the newest accepted manifest.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock::util::cancel::CancelToken;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::check::{SoakHistory, Submission, SubmitEnd};
use crate::caller::{HttpCaller, HttpRequest};

/// Number of operators that work concurrently.
pub const OPERATOR_COUNT: usize = 2;

/// Services between which the route `moved` alternates: versions with an even number lead to the
/// first one, versions with an odd number to the second one.
const MOVED_ROUTE_SERVICES: [&str; 2] = ["catalogue", "orders"];

/// Timeout of each request of an operator.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum number of times that a manifest is sent while its outcome is unclear.
const RESENDS: usize = 20;

/// Returns the service that the route `moved` leads to in a manifest version.
pub fn moved_service(version: u64) -> &'static str {
    MOVED_ROUTE_SERVICES[(version % 2) as usize]
}

/// Returns the manifest of an operator with this version, which builds on the version `follows`.
pub fn manifest_of(template: &Value, version: u64, follows: u64, operator: usize) -> Value {
    let mut manifest = template.clone();
    manifest["version"] = json!(version);
    if follows > 0 {
        manifest["follows"] = json!(follows);
    }
    manifest["source"] = json!(source_of(version, operator));
    let moved_route = json!({
        "name": "moved", "prefix": "/moved", "class": "lookup",
        "service": moved_service(version),
    });
    if let Some(routes) = manifest["routes"].as_array_mut() {
        routes.push(moved_route);
    }
    manifest
}

fn source_of(version: u64, operator: usize) -> String {
    format!("soak:{version}:{operator}")
}

/// Submits manifests until `stop` is cancelled. Every operator builds on the newest version that it
/// reads, so two operators often build on the same version and conflict.
pub fn run_operator(
    operator: usize,
    template: &Value,
    controls: &[SocketAddr],
    history: &SoakHistory,
    stop: &CancelToken,
) {
    let mut rng = SmallRng::seed_from_u64(operator as u64);
    let mut turn = operator;
    while !stop.wait_timeout(Duration::from_millis(rng.random_range(500..4_000))) {
        turn += 1;
        let address = controls[turn % controls.len()];
        let Some(follows) = read_version(address, history) else {
            continue;
        };
        let version = follows + rng.random_range(1..4);
        let manifest = manifest_of(template, version, follows, operator);
        let mut submission = Submission {
            version,
            follows,
            operator,
            sent: history.now(),
            ended: None,
            end: SubmitEnd::Unclear,
        };
        history.record_submission(&submission);
        for attempt in 0..RESENDS {
            submission.end = submit(controls[(turn + attempt) % controls.len()], &manifest);
            if submission.end != SubmitEnd::Unclear || stop.is_cancelled() {
                break;
            }
        }
        submission.ended = Some(history.now());
        let is_accepted = submission.end == SubmitEnd::Accepted;
        history.record_submission_end(submission.clone());
        if is_accepted && rng.random_bool(0.3) {
            let resend_end = submit(controls[(turn + 1) % controls.len()], &manifest);
            history.record_resend(&submission, resend_end);
        }
    }
}

/// Reads the version of the newest manifest from one control instance, which must not return an
/// older version than was acknowledged before the read. Returns 0 if there is no manifest yet, and
/// `None` if the instance does not respond with status 200.
fn read_version(address: SocketAddr, history: &SoakHistory) -> Option<u64> {
    let sent = history.now();
    let request = HttpRequest::get("/v1/source").timeout(RESPONSE_TIMEOUT);
    let response = HttpCaller::new(address).send(&request).ok()?;
    if response.status != 200 {
        return None;
    }
    let text = response.text();
    let version = text
        .split_once("soak:")
        .and_then(|(_, rest)| rest.split(':').next()?.parse().ok())
        .unwrap_or(0);
    history.record_read(sent, version);
    Some(version)
}

fn submit(address: SocketAddr, manifest: &Value) -> SubmitEnd {
    let request = HttpRequest::post("/v1/manifests", manifest.to_string())
        .header("Content-Type", "application/json")
        .timeout(RESPONSE_TIMEOUT);
    match HttpCaller::new(address).send(&request) {
        Ok(response) if response.status == 200 => SubmitEnd::Accepted,
        Ok(response) if response.status == 409 => SubmitEnd::Refused,
        Ok(response) if response.status == 422 => SubmitEnd::Invalid,
        Ok(_) | Err(_) => SubmitEnd::Unclear,
    }
}
