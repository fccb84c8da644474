//! A group of voters and what the tests ask of it.

use std::time::Duration;

use kumquatlock_testkit::process::{ControlInstance, Mesh, MeshBuilder, ProcessError, wait_for};
use serde_json::{Value, json};

/// Longest wait for anything; far above what it takes, for busy machines.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Three voters with short timings, so that elections take little of the tests' time.
pub(crate) fn builder() -> MeshBuilder {
    builder_with_election("400")
}

/// Three voters with this shortest election timeout in milliseconds.
pub(crate) fn builder_with_election(timeout_ms: &str) -> MeshBuilder {
    let mut builder = MeshBuilder::default();
    for argument in ["--heartbeat-ms", "50", "--election-timeout-ms", timeout_ms] {
        builder = builder.control_argument(argument);
    }
    builder
}

/// A started group with a leader.
pub(crate) fn start(builder: MeshBuilder) -> Mesh {
    let mesh = builder.build().unwrap().start().unwrap();
    wait_leader(&mesh, &[0, 1, 2]);
    mesh
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

/// The same version with other content.
pub(crate) fn other_manifest(version: u64) -> Value {
    let mut other = manifest(version);
    other["routes"][0]["prefix"] = json!("/other");
    other
}

pub(crate) fn status(instance: &ControlInstance) -> Result<Value, ProcessError> {
    Ok(instance.caller().get("/v1/status")?.json())
}

/// Waits until one of the instances leads and all of them agree on it and on the group; returns
/// its position.
pub(crate) fn wait_leader(mesh: &Mesh, running: &[usize]) -> usize {
    wait_for("leader", LONG, || {
        let mut leaders = Vec::new();
        for index in running {
            let status = status(&mesh.controls[*index]).map_err(|error| error.to_string())?;
            leaders.push((status["leader"].clone(), status["term"].clone(), status));
        }
        let (leader, term, _) = &leaders[0];
        if leaders
            .iter()
            .any(|(other, at, _)| other != leader || at != term)
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

/// Submits until the answer is a decision, as an operator does.
pub(crate) fn submit_until_decided(instance: &ControlInstance, manifest: &Value) -> (u16, Value) {
    wait_for("decision", LONG, || {
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

/// Asks until the answer is not that there is no leader.
pub(crate) fn show(instance: &ControlInstance, version: &str) -> Value {
    wait_for("answer", LONG, || {
        let answer = instance.caller().get(&format!("/v1/manifests/{version}"));
        let answer = answer.map_err(|error| error.to_string())?;
        match answer.status {
            503 => Err(answer.text()),
            _ => Ok(answer.json()),
        }
    })
    .unwrap()
}

/// Waits until a value of the status is as expected.
pub(crate) fn wait_status(instance: &ControlInstance, field: &str, expected: &Value) {
    wait_for(&format!("{field} {expected}"), LONG, || {
        let status = status(instance).map_err(|error| error.to_string())?;
        match status[field] == *expected {
            true => Ok(()),
            false => Err(status.to_string()),
        }
    })
    .unwrap();
}

/// Waits until the manifest is in force on this number of nodes.
pub(crate) fn wait_in_force(instance: &ControlInstance, version: u64, nodes: u64) {
    wait_for(
        &format!("manifest {version} in force on {nodes}"),
        LONG,
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
