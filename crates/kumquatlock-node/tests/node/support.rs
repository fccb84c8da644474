//! Helpers that start a mesh of a few nodes and wait for its state.

use std::time::Duration;

use kumquatlock::core::RequestClass;
use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::{
    Mesh, MeshBuilder, MeshPlan, ProgramName, wait_for, wait_until,
};
use kumquatlock_testkit::relay::TcpRelay;

/// Timeout of each wait; far above the usual time, so that tests also pass on a busy host.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Plans one voter, and four nodes beside upstreams of the service `booking`, in one region.
pub(crate) fn builder() -> MeshBuilder {
    let mut builder = MeshBuilder::default()
        .voters(1)
        .regions(&[("osrednja", 3)])
        .service("booking", RequestClass::AtMostOnce)
        .upstreams_per_region(4)
        .upstream_capacity(16, Duration::from_millis(3));
    for argument in ["--heartbeat-ms", "50", "--election-timeout-ms", "400"] {
        builder = builder.control_argument(argument);
    }
    builder
}

/// Builds and starts a mesh and waits until every node serves keyed bookings.
pub(crate) fn start(builder: MeshBuilder) -> Mesh {
    start_plan(builder.build().unwrap())
}

/// Starts a planned mesh and waits until every node serves keyed bookings.
pub(crate) fn start_plan(plan: MeshPlan) -> Mesh {
    assert!(
        ProgramName::Control.locate().is_ok(),
        "build kumquatlock-control first: cargo build --workspace"
    );
    let mesh = plan.start().unwrap();
    let manifest = mesh.manifest(1);
    wait_for("manifest accepted", WAIT_TIMEOUT, || {
        let answer = mesh.controls[0].submit(&manifest).unwrap();
        match answer.status {
            200 => Ok(()),
            _ => Err(answer.text()),
        }
    })
    .unwrap();
    mesh.controls[0]
        .wait_in_force(1, mesh.nodes.len(), WAIT_TIMEOUT)
        .unwrap();
    let nodes = mesh.nodes.len();
    let are_registered =
        || (0..nodes).all(|node| metric(&mesh, node, "kumquatlock_upstreams") == nodes as u64);
    wait_until("all upstreams are known", WAIT_TIMEOUT, are_registered).unwrap();
    wait_claim_shards_active(&mesh, 0);
    for node in 0..nodes {
        wait_serving(&mesh, node, "start");
    }
    mesh
}

/// Puts a relay in front of the listener of every node.
pub(crate) fn add_relays(plan: &mut MeshPlan) -> Vec<TcpRelay> {
    let mut relays = Vec::new();
    for node in &mut plan.nodes {
        let relay = TcpRelay::start(node.flags.listen).unwrap();
        let advertise = relay.address().to_string();
        node.flags
            .extra
            .extend(["--advertise".to_owned(), advertise]);
        relays.push(relay);
    }
    relays
}

/// Waits until a node answers 16 keyed bookings in a row; returns the time that it took. A single
/// booking could succeed by chance, because the holders of its claim shard are already ready.
pub(crate) fn wait_serving(mesh: &Mesh, node: usize, label: &str) -> Duration {
    let started = std::time::Instant::now();
    let caller = mesh.nodes[node].caller();
    let mut attempt = 0;
    wait_for("keyed bookings are served", WAIT_TIMEOUT, || {
        for _ in 0..16 {
            attempt += 1;
            let key = format!("probe-{label}-{node}-{attempt}");
            let request = HttpRequest::post("/booking", key.as_str()).key(&key);
            let answer = caller.send(&request).map_err(|error| error.to_string())?;
            if answer.status != 200 {
                return Err(format!("{}: {}", answer.status, answer.text()));
            }
        }
        Ok(())
    })
    .unwrap_or_else(|error| panic!("{error}\n{}", format_claim_metrics(mesh)));
    started.elapsed()
}

/// Waits until every node has a configuration newer than `version` and has taken over the claims of
/// all its shards; returns the time that it took. If another holder is lost earlier, two of the
/// three holders of a shard may be missing, and by design its keys then stay unknown until the
/// retention has passed.
pub(crate) fn wait_claim_shards_active(mesh: &Mesh, version: u64) -> Duration {
    let are_active = || {
        (0..mesh.nodes.len()).all(|node| {
            config_version(mesh, node) > version
                && metric(mesh, node, "kumquatlock_claim_shards_joining") == 0
        })
    };
    wait_until("all claim shards are active", WAIT_TIMEOUT, are_active)
        .unwrap_or_else(|error| panic!("{error}\n{}", format_claim_metrics(mesh)))
}

/// Returns the version of the configuration that a node has applied.
pub(crate) fn config_version(mesh: &Mesh, node: usize) -> u64 {
    metric(mesh, node, "kumquatlock_config_version")
}

/// Returns the value of an unlabelled metric of a node.
pub(crate) fn metric(mesh: &Mesh, node: usize, name: &str) -> u64 {
    let answer = mesh.nodes[node].caller().get("/metrics").unwrap();
    let text = answer.text();
    let mut values = text.lines().filter_map(|line| {
        let (found, value) = line.split_once(['{', ' '])?;
        (found == name).then(|| value.trim_start_matches(['}', ' ']).parse().unwrap())
    });
    values
        .next()
        .unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// Formats the claim and configuration metrics of all nodes for failure messages.
fn format_claim_metrics(mesh: &Mesh) -> String {
    let lines = mesh.nodes.iter().map(|node| {
        let metrics = node.caller().get("/metrics");
        let text = metrics.map(|answer| answer.text()).unwrap_or_default();
        let lines = text.lines().filter(|line| {
            !line.starts_with('#') && (line.contains("claim") || line.contains("config"))
        });
        format!(
            "{}: {}",
            node.flags.name,
            lines.collect::<Vec<_>>().join("; ")
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Waits until a reachable control instance is the leader; returns its index.
pub(crate) fn wait_control_leader(mesh: &Mesh) -> usize {
    wait_for("leader", WAIT_TIMEOUT, || {
        let is_leader = |index: &usize| {
            let status = mesh.controls[*index].caller().get("/v1/status");
            status.is_ok_and(|status| status.json()["role"] == "leader")
        };
        (0..mesh.controls.len()).find(is_leader).ok_or("no leader")
    })
    .unwrap()
}
