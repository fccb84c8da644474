//! Measures convergence, traffic, CPU and memory of a mesh of real processes on loopback.

use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, ensure};
use kumquatlock::core::RequestClass;
use kumquatlock_testkit::process::{Mesh, MeshBuilder, wait_for};
use serde_json::Value;

use crate::record::ResultRecorder;
use crate::scrape::{AppliedLog, MeshUsage, TrafficMap, UsageSum, scrape, time_of_day_us};

const REGIONS: usize = 3;
const SERVICES: usize = 2;
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after the last announcement, before idle traffic is counted. The links over which claims
/// were first transferred close after 10 s, and their probes are not idle traffic.
const SETTLE_TIME: Duration = Duration::from_secs(14);
/// Time during which nothing changes and idle traffic is counted.
const IDLE_TIME: Duration = Duration::from_secs(8);
const MANIFEST_CHANGES: u64 = 12;
/// Number of manifest changes whose state is polled until it is `in_force`.
const POLLED_CHANGES: u64 = 3;
const MEMBER_CHANGES: usize = 6;
/// Pause after each change, much longer than the change takes to be applied.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);
const POLL_PAUSE: Duration = Duration::from_millis(5);
/// Upper bound on the convergence time of the largest local mesh, in milliseconds. The design
/// target is 7 s over slow links; a local mesh must be well below one second.
const MAX_CONVERGENCE_MS: f64 = 1_000.0;
/// Upper bound on the control traffic of a node, in bytes per second.
const MAX_TRAFFIC_BYTES_PER_SECOND: f64 = 3_000.0;
/// Mean rate of changes in the design target. One day has 21,000 configuration changes, three
/// changes for each of 7,400 restarts, and two changes for each of 51 failures.
const TARGET_CHANGES_PER_SECOND: f64 = (21_000.0 + 3.0 * 7_400.0 + 2.0 * 51.0) / 86_400.0;
/// Bytes of packet headers for one message and its acknowledgement. Each of the two has 20 bytes
/// of IP header, 20 bytes of TCP header and 12 bytes of TCP timestamps.
const PACKET_HEADER_BYTES: f64 = 104.0;

/// Numbers of nodes and replicas in one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeshSize {
    pub(crate) nodes: usize,
    pub(crate) replicas_per_region: usize,
}

/// Starts, measures and stops one mesh. Every control instance is started with
/// `control_arguments`.
pub(crate) fn run(
    recorder: &mut ResultRecorder,
    size: MeshSize,
    control_arguments: &[String],
    snapshot_bytes: f64,
    is_largest: bool,
) -> Result<()> {
    let upstreams_per_region = size.nodes / (REGIONS * SERVICES);
    ensure!(
        upstreams_per_region > 0 && upstreams_per_region * REGIONS * SERVICES == size.nodes,
        "--nodes contains {}, which is not a multiple of {}",
        size.nodes,
        REGIONS * SERVICES
    );
    let scope = match size.replicas_per_region {
        0 => format!("{} nodes", size.nodes),
        replicas => format!("{} nodes, {} replicas", size.nodes, replicas * REGIONS),
    };
    recorder.print_heading(&format!("mesh: 3 voters, {scope}"));
    let mut builder = MeshBuilder::default();
    for argument in control_arguments {
        builder = builder.control_argument(argument);
    }
    let mut plan = builder
        .regions(&[("osrednja", 2), ("stajerska", 2), ("primorska", 2)])
        .service("catalogue", RequestClass::Lookup)
        .service("booking", RequestClass::AtMostOnce)
        .replicas_per_region(size.replicas_per_region)
        .upstreams_per_region(upstreams_per_region)
        .upstream_capacity(1, Duration::ZERO)
        .node_argument("--http-workers")
        .node_argument("8")
        .node_argument("--upstream-connections")
        .node_argument("4")
        .node_argument("--log")
        .node_argument("info,kumquatlock::ops::node::steps=debug")
        .build()?;
    for node in &mut plan.nodes {
        node.upstream.can_close_connections = false;
    }
    let mut mesh = plan.start().wrap_err("starting the mesh")?;
    let result = measure(recorder, &scope, &mut mesh, snapshot_bytes, is_largest);
    if result.is_err() {
        mesh.keep_dir();
        eprintln!("logs are in {}", mesh.log_dir().display());
    }
    result?;
    mesh.stop(STOP_TIMEOUT).wrap_err("stopping the mesh")
}

fn measure(
    recorder: &mut ResultRecorder,
    scope: &str,
    mesh: &mut Mesh,
    snapshot_bytes: f64,
    is_largest: bool,
) -> Result<()> {
    let nodes = mesh.nodes.len();
    wait_for("the first manifest is accepted", START_TIMEOUT, || {
        submit(mesh, 1).map_err(|error| format!("{error:#}"))
    })?;
    mesh.controls[0].wait_in_force(1, nodes, START_TIMEOUT)?;
    wait_for("every node knows every upstream", START_TIMEOUT, || {
        let text = mesh.nodes[nodes - 1].caller().get("/metrics");
        let text = text.map_err(|error| error.to_string())?.text();
        let reported = text
            .lines()
            .filter(|line| line.starts_with("kumquatlock_upstreams"))
            .find_map(|line| line.rsplit_once(' '))
            .map(|(_, value)| value.to_owned());
        match reported {
            Some(value) if value == nodes.to_string() => Ok(()),
            reported => Err(format!(
                "the last node reports {reported:?} of {nodes} upstreams"
            )),
        }
    })?;
    thread::sleep(SETTLE_TIME);

    let usage_before = scrape(mesh)?;
    let started = Instant::now();
    thread::sleep(IDLE_TIME);
    let idle = record_rates(recorder, scope, "idle", mesh, &usage_before, started)?;

    let usage_before = scrape(mesh)?;
    let started = Instant::now();
    let mut manifest_changes = Vec::new();
    for version in 2..2 + MANIFEST_CHANGES {
        let response = submit(mesh, version)?;
        manifest_changes.push((config_version(&response)?, time_of_day_us()));
        thread::sleep(CHANGE_PAUSE);
    }
    let busy = record_rates(recorder, scope, "manifests", mesh, &usage_before, started)?;
    let manifest_cost = cost_per_change(&idle, &busy, manifest_changes.len());
    let usage_before = scrape(mesh)?;
    let started = Instant::now();
    let mut membership_changes = Vec::new();
    for change in 0..MEMBER_CHANGES {
        let index = change / 2 * 5 % nodes;
        let current_version = config_version(&status(mesh)?)?;
        membership_changes.push((current_version + 1, time_of_day_us()));
        let node = &mut mesh.nodes[index];
        match change % 2 {
            0 => node.upstream.leave()?,
            _ => node.upstream.announce_to(node.flags.upstream_http),
        }
        thread::sleep(CHANGE_PAUSE);
    }
    let busy = record_rates(recorder, scope, "membership", mesh, &usage_before, started)?;
    let membership_cost = cost_per_change(&idle, &busy, membership_changes.len());
    let idle_rate = mean_bytes_with_headers(&idle.0, |_| true) / idle.1;
    recorder.record_value(scope, "node, idle, with packet headers", idle_rate, "B/s")?;
    let name = "node, one manifest change, with packet headers";
    recorder.record_value(scope, name, manifest_cost.stream, "B")?;
    let name = "node, one membership change, stream, with headers";
    recorder.record_value(scope, name, membership_cost.stream, "B")?;
    let name = "node, one membership change, claims, with headers";
    recorder.record_value(scope, name, membership_cost.claims, "B")?;
    // Claims are transferred only within the service that changed, so the capacity page
    // calculates their share at the design target from the measured cost of one restart.
    let stream = manifest_cost.stream.max(membership_cost.stream);
    let target_rate = idle_rate + stream * TARGET_CHANGES_PER_SECOND;
    let name = "node at the target's change rate, without claims";
    recorder.record_value(scope, name, target_rate, "B/s")?;
    if is_largest {
        let name = "a node's stream traffic with packet headers";
        recorder.record_bound(name, target_rate, MAX_TRAFFIC_BYTES_PER_SECOND, "B/s")?;
    }
    recorder.record_value(
        scope,
        "full snapshots to every node instead, per change",
        snapshot_bytes * nodes as f64,
        "B",
    )?;

    let log = AppliedLog::read(mesh)?;
    let delays = |changes: &[(u64, i64)]| -> Vec<f64> {
        let delay = |&(version, start_us): &(u64, i64)| log.delay_ms(version, start_us);
        changes.iter().filter_map(delay).collect()
    };
    let (manifest_ms, membership_ms) = (delays(&manifest_changes), delays(&membership_changes));
    ensure!(
        manifest_ms.len() == manifest_changes.len()
            && membership_ms.len() == membership_changes.len(),
        "a change was not applied on every node"
    );
    recorder.record_samples(
        scope,
        "manifest: answer until applied on every node",
        &manifest_ms,
        "ms",
    )?;
    let name = "membership: request until applied on every node";
    recorder.record_samples(scope, name, &membership_ms, "ms")?;
    let mut polled_ms = Vec::new();
    for version in 2 + MANIFEST_CHANGES..2 + MANIFEST_CHANGES + POLLED_CHANGES {
        submit(mesh, version)?;
        let started = Instant::now();
        loop {
            let manifest_status = mesh.controls[0].show(version)?.json();
            if manifest_status["state"] == "in_force" && manifest_status["applied"] == nodes {
                break;
            }
            ensure!(
                started.elapsed() < START_TIMEOUT,
                "manifest {version} is not in force: {manifest_status}"
            );
            thread::sleep(POLL_PAUSE);
        }
        polled_ms.push(started.elapsed().as_secs_f64() * 1e3);
    }
    recorder.record_samples(
        scope,
        "manifest: answer until shown in force",
        &polled_ms,
        "ms",
    )?;
    if is_largest {
        let delays_ms = manifest_ms.iter().chain(&membership_ms).copied();
        let max_delay_ms = delays_ms.fold(0.0, f64::max);
        let name = format!("convergence, {scope}, worst change");
        recorder.record_bound(&name, max_delay_ms, MAX_CONVERGENCE_MS, "ms")?;
    }
    Ok(())
}

fn submit(mesh: &Mesh, version: u64) -> Result<Value> {
    let mut manifest = mesh.manifest(version);
    // Every version changes the prefix of one route.
    manifest["routes"][0]["prefix"] = format!("/catalogue/{version}").into();
    let response = mesh.controls[0].submit(&manifest)?;
    ensure!(
        (200..300).contains(&response.status),
        "status {} for manifest {version}: {}",
        response.status,
        response.text()
    );
    Ok(response.json())
}

fn status(mesh: &Mesh) -> Result<Value> {
    Ok(mesh.controls[0].caller().get("/v1/status")?.json())
}

fn config_version(response: &Value) -> Result<u64> {
    let version = response["config_version"].as_u64();
    version.ok_or_else(|| eyre::eyre!("no config_version in {response}"))
}

/// Records the resource usage of each role since `usage_before`, per process and second. Returns the
/// usage of the nodes and the elapsed seconds.
fn record_rates(
    recorder: &mut ResultRecorder,
    scope: &str,
    phase: &str,
    mesh: &Mesh,
    usage_before: &MeshUsage,
    started: Instant,
) -> Result<(UsageSum, f64)> {
    let seconds = started.elapsed().as_secs_f64();
    let usage_after = scrape(mesh)?;
    let roles = [
        ("voter", usage_after.voters.since(&usage_before.voters)),
        (
            "replica",
            usage_after.replicas.since(&usage_before.replicas),
        ),
        ("node", usage_after.nodes.since(&usage_before.nodes)),
    ];
    for (role, sum) in &roles {
        if sum.processes == 0 {
            continue;
        }
        let processes = sum.processes as f64;
        let process_seconds = processes * seconds;
        let name = |what: &str| format!("{phase}, {role}: {what}");
        let cpu = sum.cpu_seconds / process_seconds * 100.0;
        recorder.record_value(scope, &name("CPU"), cpu, "% of a core")?;
        let resident_mb = sum.resident_bytes / processes / 1e6;
        recorder.record_value(scope, &name("resident"), resident_mb, "MB")?;
        let bytes = sum.total_bytes() / process_seconds;
        recorder.record_value(scope, &name("control bytes, both directions"), bytes, "B/s")?;
        for ((kind, region_scope), bytes) in &sum.bytes {
            if *bytes > 0.0 {
                let what = format!("  {kind}, {region_scope}");
                recorder.record_value(scope, &name(&what), bytes / process_seconds, "B/s")?;
            }
        }
    }
    let [_, _, (_, nodes)] = roles;
    Ok((nodes, seconds))
}

/// Traffic of one node for one change, in bytes. Packet headers are included, idle traffic is
/// subtracted.
struct ChangeCost {
    /// Configuration stream, reports and probes: all messages except claim messages.
    stream: f64,
    /// Claim messages, such as shard transfers.
    claims: f64,
}

/// Returns the mean cost of a change, if `changes` changes were made during the usage `busy`.
fn cost_per_change(
    (idle, idle_seconds): &(UsageSum, f64),
    (busy, busy_seconds): &(UsageSum, f64),
    changes: usize,
) -> ChangeCost {
    let cost = |includes_kind: fn(&str) -> bool| {
        let expected = mean_bytes_with_headers(idle, includes_kind) / idle_seconds * busy_seconds;
        (mean_bytes_with_headers(busy, includes_kind) - expected).max(0.0) / changes as f64
    };
    ChangeCost {
        stream: cost(|kind| kind != "claim"),
        claims: cost(|kind| kind == "claim"),
    }
}

/// Returns the mean bytes per process, including packet headers, of the message kinds that
/// `includes_kind` selects.
fn mean_bytes_with_headers(sum: &UsageSum, includes_kind: fn(&str) -> bool) -> f64 {
    let total = |map: &TrafficMap| -> f64 {
        map.iter()
            .filter(|((kind, _), _)| includes_kind(kind))
            .map(|(_, value)| value)
            .sum()
    };
    (total(&sum.bytes) + total(&sum.messages) * PACKET_HEADER_BYTES) / sum.processes as f64
}
