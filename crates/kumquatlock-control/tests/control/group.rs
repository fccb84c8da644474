//! Helpers that start a group of voters, send it requests and wait for its state.

use std::time::Duration;

use kumquatlock_testkit::process::{ControlInstance, Mesh, MeshBuilder, ProcessError, wait_for};
use kumquatlock_testkit::relay::TcpRelay;
use serde_json::{Value, json};

/// Timeout of each wait; far above the usual time, so that tests also pass on a busy host.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Plans three voters with short timings, so that elections take little of the tests' time.
pub(crate) fn builder() -> MeshBuilder {
    builder_with_election_timeout("400")
}

/// Plans three voters whose shortest election timeout is `timeout_ms` milliseconds.
pub(crate) fn builder_with_election_timeout(timeout_ms: &str) -> MeshBuilder {
    let mut builder = MeshBuilder::default();
    for argument in ["--heartbeat-ms", "50", "--election-timeout-ms", timeout_ms] {
        builder = builder.control_argument(argument);
    }
    builder
}

/// Starts a group and waits for its leader.
pub(crate) fn start(builder: MeshBuilder) -> Mesh {
    let mesh = builder.build().unwrap().start().unwrap();
    wait_leader(&mesh, &[0, 1, 2]);
    mesh
}

/// Relays, each with the indices of the voter that connects to it and of the voter behind it.
pub(crate) type VoterRelays = Vec<((usize, usize), TcpRelay)>;

/// Starts a group whose voters reach each other through relays only.
pub(crate) fn start_with_relays() -> (Mesh, VoterRelays) {
    let mut plan = builder().build().unwrap();
    let mut relays = Vec::new();
    for from in 0..3 {
        for to in (0..3).filter(|to| *to != from) {
            let relay = TcpRelay::start(plan.controls[to].flags.listen).unwrap();
            plan.controls[from].flags.voters[to].1 = relay.address();
            relays.push(((from, to), relay));
        }
    }
    (plan.start().unwrap(), relays)
}

/// Returns the relays from and to a voter.
pub(crate) fn relays_of(relays: &VoterRelays, voter: usize) -> impl Iterator<Item = &TcpRelay> {
    let connects_voter =
        move |entry: &&((usize, usize), TcpRelay)| entry.0.0 == voter || entry.0.1 == voter;
    relays.iter().filter(connects_voter).map(|(_, relay)| relay)
}

pub(crate) fn manifest(version: u64) -> Value {
    json!({
        "version": version,
        "services": [{ "name": "booking", "upstreams": ["booking-*"] }],
        "routes": [{
            "name": "book", "prefix": "/booking", "class": "at-most-once", "service": "booking",
        }],
    })
}

/// Returns a manifest of the same version as `manifest(version)` with different content.
pub(crate) fn conflicting_manifest(version: u64) -> Value {
    let mut other = manifest(version);
    other["routes"][0]["prefix"] = json!("/other");
    other
}

pub(crate) fn status(instance: &ControlInstance) -> Result<Value, ProcessError> {
    Ok(instance.caller().get("/v1/status")?.json())
}

/// Waits until one of the `running` instances leads and all of them report the same leader and
/// term; returns the index of the leader.
pub(crate) fn wait_leader(mesh: &Mesh, running: &[usize]) -> usize {
    wait_for("leader", WAIT_TIMEOUT, || {
        let mut leaders = Vec::new();
        for index in running {
            let status = status(&mesh.controls[*index]).map_err(|error| error.to_string())?;
            leaders.push((status["leader"].clone(), status["term"].clone(), status));
        }
        let (leader, term, _) = &leaders[0];
        if leaders
            .iter()
            .any(|(other_leader, other_term, _)| other_leader != leader || other_term != term)
        {
            return Err(format!("{leaders:?}"));
        }
        running
            .iter()
            .copied()
            .zip(&leaders)
            .find(|(_, (_, _, status))| status["role"] == "leader")
            .map(|(index, _)| index)
            .ok_or_else(|| format!("{leaders:?}"))
    })
    .unwrap()
}

/// Submits a manifest, as an operator does, and repeats until the answer is neither 503 nor 504.
pub(crate) fn submit_until_decided(instance: &ControlInstance, manifest: &Value) -> (u16, Value) {
    wait_for("decision", WAIT_TIMEOUT, || {
        let answer = instance
            .submit(manifest)
            .map_err(|error| error.to_string())?;
        match answer.status {
            503 | 504 => Err(answer.text()),
            status => Ok((status, answer.json())),
        }
    })
    .unwrap()
}

/// Requests the state of a manifest and repeats while the answer is 503, which means that there is
/// no leader.
pub(crate) fn show(instance: &ControlInstance, version: &str) -> Value {
    wait_for("answer", WAIT_TIMEOUT, || {
        let answer = instance.caller().get(&format!("/v1/manifests/{version}"));
        let answer = answer.map_err(|error| error.to_string())?;
        match answer.status {
            503 => Err(answer.text()),
            _ => Ok(answer.json()),
        }
    })
    .unwrap()
}

/// Waits until a field of the instance's status has the expected value.
pub(crate) fn wait_status(instance: &ControlInstance, field: &str, expected: &Value) {
    wait_for(&format!("{field} {expected}"), WAIT_TIMEOUT, || {
        let status = status(instance).map_err(|error| error.to_string())?;
        match status[field] == *expected {
            true => Ok(()),
            false => Err(status.to_string()),
        }
    })
    .unwrap();
}

/// Waits until exactly `nodes` nodes are attached and the manifest is in force on all of them.
pub(crate) fn wait_in_force(instance: &ControlInstance, version: u64, nodes: u64) {
    wait_for(
        &format!("manifest {version} in force on {nodes}"),
        WAIT_TIMEOUT,
        || {
            let shown = show(instance, &version.to_string());
            let counts = (&shown["state"], &shown["attached"], &shown["applied"]);
            match counts == (&json!("in_force"), &json!(nodes), &json!(nodes)) {
                true => Ok(()),
                false => Err(shown.to_string()),
            }
        },
    )
    .unwrap();
}
