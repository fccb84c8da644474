//! Operators who submit manifests, race each other, and read what is accepted.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock::util::cancel::CancelToken;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::check::{SoakHistory, Submission, SubmitEnd};
use crate::caller::{HttpCaller, HttpRequest};

/// Operators at work at once.
pub const OPERATOR_COUNT: usize = 2;

/// Services between which the moved route goes to and fro, by the parity of the version.
const MOVED_BETWEEN: [&str; 2] = ["catalogue", "orders"];

/// Time that an operator waits for one answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Times that one order without a clear answer is sent again.
const RESENDS: usize = 20;

/// Service that the moved route of a version leads to.
pub fn moved_service(version: u64) -> &'static str {
    MOVED_BETWEEN[(version % 2) as usize]
}

/// The manifest of one operator under a version, on top of another one.
pub fn manifest_of(template: &Value, version: u64, follows: u64, operator: usize) -> Value {
    let mut manifest = template.clone();
    manifest["version"] = json!(version);
    if follows > 0 {
        manifest["follows"] = json!(follows);
    }
    manifest["source"] = json!(source_of(version, operator));
    let moved = json!({
        "name": "moved", "prefix": "/moved", "class": "lookup",
        "service": moved_service(version),
    });
    if let Some(routes) = manifest["routes"].as_array_mut() {
        routes.push(moved);
    }
    manifest
}

fn source_of(version: u64, operator: usize) -> String {
    format!("soak:{version}:{operator}")
}

/// Submits until `stop`. Every operator builds on the newest version that it reads, so two of them
/// often build on the same one.
pub fn run_operator(
    operator: usize,
    template: &Value,
    controls: &[SocketAddr],
    history: &SoakHistory,
    stop: &CancelToken,
) {
    let mut random = SmallRng::seed_from_u64(operator as u64);
    let mut turn = operator;
    while !stop.wait_timeout(Duration::from_millis(random.random_range(500..4_000))) {
        turn += 1;
        let address = controls[turn % controls.len()];
        let Some(follows) = read_version(address, history) else {
            continue;
        };
        let version = follows + random.random_range(1..4);
        let manifest = manifest_of(template, version, follows, operator);
        let mut submission = Submission {
            version,
            follows,
            operator,
            sent: history.now(),
            ended: None,
            end: SubmitEnd::Unclear,
        };
        history.submitting(&submission);
        for resend in 0..RESENDS {
            submission.end = submit(controls[(turn + resend) % controls.len()], &manifest);
            if submission.end != SubmitEnd::Unclear || stop.is_cancelled() {
                break;
            }
        }
        submission.ended = Some(history.now());
        let is_accepted = submission.end == SubmitEnd::Accepted;
        history.submitted(submission.clone());
        if is_accepted && random.random_bool(0.3) {
            let again = submit(controls[(turn + 1) % controls.len()], &manifest);
            history.resent(&submission, again);
        }
    }
}

/// Version of the newest manifest, as one instance proves it. 0 before the first.
fn read_version(address: SocketAddr, history: &SoakHistory) -> Option<u64> {
    let sent = history.now();
    let plan = HttpRequest::get("/v1/source").timeout(RESPONSE_TIMEOUT);
    let response = HttpCaller::new(address).send(&plan).ok()?;
    if response.status != 200 {
        return None;
    }
    let text = response.text();
    let version = text
        .split_once("soak:")
        .and_then(|(_, rest)| rest.split(':').next()?.parse().ok())
        .unwrap_or(0);
    history.read(sent, version);
    Some(version)
}

fn submit(address: SocketAddr, manifest: &Value) -> SubmitEnd {
    let plan = HttpRequest::post("/v1/manifests", manifest.to_string())
        .header("Content-Type", "application/json")
        .timeout(RESPONSE_TIMEOUT);
    match HttpCaller::new(address).send(&plan) {
        Ok(response) if response.status == 200 => SubmitEnd::Accepted,
        Ok(response) if response.status == 409 => SubmitEnd::Refused,
        Ok(response) if response.status == 422 => SubmitEnd::Invalid,
        Ok(_) | Err(_) => SubmitEnd::Unclear,
    }
}
