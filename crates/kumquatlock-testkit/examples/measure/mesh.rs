//! Costs of a mesh of real processes on loopback.

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
/// Pause after the last announcement. Links that moved the first claims close after 10 s, and their
/// probes are no idle traffic.
const SETTLE_TIME: Duration = Duration::from_secs(14);
/// Time in which nothing changes and traffic is counted.
const IDLE_TIME: Duration = Duration::from_secs(8);
const MANIFEST_CHANGES: u64 = 12;
const POLLED_CHANGES: u64 = 3;
const MEMBER_CHANGES: usize = 6;
/// Pause after each change; far above the time to apply it.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);
const POLL_PAUSE: Duration = Duration::from_millis(5);
/// Bound on the convergence of the largest local mesh, in milliseconds. The target is 7 s over
/// slow links; a local mesh has to be well below one second.
const CONVERGENCE_LIMIT_MS: f64 = 1_000.0;
/// Bound on a node's control traffic, in bytes per second.
const TRAFFIC_LIMIT: f64 = 3_000.0;
/// Mean rate of changes at the target: per day, 21,000 configuration changes, three changes for
/// each of 7,400 restarts, and two for each of 51 failures.
const TARGET_CHANGES_PER_SECOND: f64 = (21_000.0 + 3.0 * 7_400.0 + 2.0 * 51.0) / 86_400.0;
/// Bytes of TCP and IP headers for one message and its acknowledgement, each with 20 bytes of IP,
/// 20 of TCP and 12 of timestamps.
const PACKET_BYTES: f64 = 104.0;

/// Nodes and replicas of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeshSize {
    pub(crate) nodes: usize,
    pub(crate) replicas_per_region: usize,
}

/// Starts, measures and stops one mesh. `control_arguments` go to every control instance.
pub(crate) fn run(
    recorder: &mut ResultRecorder,
    size: MeshSize,
    control_arguments: &[String],
    snapshot_bytes: f64,
    is_largest: bool,
) -> Result<()> {
    let per_group = size.nodes / (REGIONS * SERVICES);
    ensure!(
        per_group > 0 && per_group * REGIONS * SERVICES == size.nodes,
        "--nodes holds {}, which is not a multiple of {}",
        size.nodes,
        REGIONS * SERVICES
    );
    let scope = match size.replicas_per_region {
        0 => format!("{} nodes", size.nodes),
        replicas => format!("{} nodes, {} replicas", size.nodes, replicas * REGIONS),
    };
    recorder.heading(&format!("mesh: 3 voters, {scope}"));
    let mut builder = MeshBuilder::default();
    for argument in control_arguments {
        builder = builder.control_argument(argument);
    }
    let mut plan = builder
        .regions(&[("osrednja", 2), ("stajerska", 2), ("primorska", 2)])
        .service("catalogue", RequestClass::Lookup)
        .service("booking", RequestClass::AtMostOnce)
        .replicas_per_region(size.replicas_per_region)
        .upstreams_per_region(per_group)
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
    let measured = measure(recorder, &scope, &mut mesh, snapshot_bytes, is_largest);
    if measured.is_err() {
        mesh.keep_dir();
        eprintln!("logs are in {}", mesh.log_dir().display());
    }
    measured?;
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
        let held = text
            .lines()
            .filter(|line| line.starts_with("kumquatlock_upstreams"))
            .find_map(|line| line.rsplit_once(' '))
            .map(|(_, value)| value.to_owned());
        match held {
            Some(value) if value == nodes.to_string() => Ok(()),
            held => Err(format!("{held:?} of {nodes} upstreams")),
        }
    })?;
    thread::sleep(SETTLE_TIME);

    let before = scrape(mesh)?;
    let started = Instant::now();
    thread::sleep(IDLE_TIME);
    let idle = rates(recorder, scope, "idle", mesh, &before, started)?;

    let before = scrape(mesh)?;
    let started = Instant::now();
    let mut manifests = Vec::new();
    for version in 2..2 + MANIFEST_CHANGES {
        let answer = submit(mesh, version)?;
        manifests.push((config_version(&answer)?, time_of_day_us()));
        thread::sleep(CHANGE_PAUSE);
    }
    let busy = rates(recorder, scope, "manifests", mesh, &before, started)?;
    let per_manifest = per_change(&idle, &busy, manifests.len());
    let before = scrape(mesh)?;
    let started = Instant::now();
    let mut members = Vec::new();
    for change in 0..MEMBER_CHANGES {
        let index = change / 2 * 5 % nodes;
        let held = config_version(&status(mesh)?)?;
        members.push((held + 1, time_of_day_us()));
        let node = &mut mesh.nodes[index];
        match change % 2 {
            0 => node.upstream.leave()?,
            _ => node.upstream.announce_to(node.flags.upstream_http),
        }
        thread::sleep(CHANGE_PAUSE);
    }
    let busy = rates(recorder, scope, "membership", mesh, &before, started)?;
    let per_member = per_change(&idle, &busy, members.len());
    let idle_rate = with_headers(&idle.0, |_| true) / idle.1;
    recorder.row(scope, "node, idle, with packet headers", idle_rate, "B/s")?;
    let name = "node, one manifest change, with packet headers";
    recorder.row(scope, name, per_manifest.stream, "B")?;
    let name = "node, one membership change, stream, with headers";
    recorder.row(scope, name, per_member.stream, "B")?;
    let name = "node, one membership change, claims, with headers";
    recorder.row(scope, name, per_member.claims, "B")?;
    // Claims move only in the service that changed, so at the target their share is worked out
    // on the capacity page from the measured cost of one restart.
    let stream = per_manifest.stream.max(per_member.stream);
    let target = idle_rate + stream * TARGET_CHANGES_PER_SECOND;
    let name = "node at the target's change rate, without claims";
    recorder.row(scope, name, target, "B/s")?;
    if is_largest {
        let name = "a node's stream traffic with packet headers";
        recorder.bound(name, target, TRAFFIC_LIMIT, "B/s")?;
    }
    recorder.row(
        scope,
        "full snapshots to every node instead, per change",
        snapshot_bytes * nodes as f64,
        "B",
    )?;

    let log = AppliedLog::read(mesh)?;
    let delays = |changes: &[(u64, i64)]| -> Vec<f64> {
        let delay = |&(version, from): &(u64, i64)| log.delay_ms(version, from);
        changes.iter().filter_map(delay).collect()
    };
    let (manifest_ms, member_ms) = (delays(&manifests), delays(&members));
    ensure!(
        manifest_ms.len() == manifests.len() && member_ms.len() == members.len(),
        "a change did not reach every node"
    );
    recorder.spread(
        scope,
        "manifest: answer until applied on every node",
        &manifest_ms,
        "ms",
    )?;
    let name = "membership: request until applied on every node";
    recorder.spread(scope, name, &member_ms, "ms")?;
    let mut polled = Vec::new();
    for version in 2 + MANIFEST_CHANGES..2 + MANIFEST_CHANGES + POLLED_CHANGES {
        submit(mesh, version)?;
        let started = Instant::now();
        loop {
            let shown = mesh.controls[0].show(version)?.json();
            if shown["state"] == "in_force" && shown["applied"] == nodes {
                break;
            }
            ensure!(started.elapsed() < START_TIMEOUT, "not in force: {shown}");
            thread::sleep(POLL_PAUSE);
        }
        polled.push(started.elapsed().as_secs_f64() * 1e3);
    }
    recorder.spread(
        scope,
        "manifest: answer until shown in force",
        &polled,
        "ms",
    )?;
    if is_largest {
        let worst = manifest_ms.iter().chain(&member_ms).copied();
        let worst = worst.fold(0.0, f64::max);
        let name = format!("convergence, {scope}, worst change");
        recorder.bound(&name, worst, CONVERGENCE_LIMIT_MS, "ms")?;
    }
    Ok(())
}

fn submit(mesh: &Mesh, version: u64) -> Result<Value> {
    let mut manifest = mesh.manifest(version);
    // One route changes with every version.
    manifest["routes"][0]["prefix"] = format!("/catalogue/{version}").into();
    let answer = mesh.controls[0].submit(&manifest)?;
    ensure!(
        (200..300).contains(&answer.status),
        "{} to manifest {version}: {}",
        answer.status,
        answer.text()
    );
    Ok(answer.json())
}

fn status(mesh: &Mesh) -> Result<Value> {
    Ok(mesh.controls[0].caller().get("/v1/status")?.json())
}

fn config_version(answer: &Value) -> Result<u64> {
    let version = answer["config_version"].as_u64();
    version.ok_or_else(|| eyre::eyre!("no config_version in {answer}"))
}

/// Prints what each role used per process and second since `before`.
fn rates(
    recorder: &mut ResultRecorder,
    scope: &str,
    phase: &str,
    mesh: &Mesh,
    before: &MeshUsage,
    started: Instant,
) -> Result<(UsageSum, f64)> {
    let seconds = started.elapsed().as_secs_f64();
    let after = scrape(mesh)?;
    let roles = [
        ("voter", after.voters.since(&before.voters)),
        ("replica", after.replicas.since(&before.replicas)),
        ("node", after.nodes.since(&before.nodes)),
    ];
    for (role, sum) in &roles {
        if sum.processes == 0 {
            continue;
        }
        let processes = sum.processes as f64;
        let per_second = processes * seconds;
        let name = |what: &str| format!("{phase}, {role}: {what}");
        let cpu = sum.cpu_seconds / per_second * 100.0;
        recorder.row(scope, &name("CPU"), cpu, "% of a core")?;
        let resident = sum.resident / processes / 1e6;
        recorder.row(scope, &name("resident"), resident, "MB")?;
        let bytes = sum.total_bytes() / per_second;
        recorder.row(scope, &name("control bytes, both directions"), bytes, "B/s")?;
        for ((kind, region_scope), bytes) in &sum.bytes {
            if *bytes > 0.0 {
                let what = format!("  {kind}, {region_scope}");
                recorder.row(scope, &name(&what), bytes / per_second, "B/s")?;
            }
        }
    }
    let [_, _, (_, nodes)] = roles;
    Ok((nodes, seconds))
}

/// Bytes that one change costs one node, with packet headers and without the idle traffic.
struct ChangeCost {
    /// Configuration stream, reports and probes.
    stream: f64,
    /// Claims that move.
    claims: f64,
}

fn per_change(
    (idle, idle_seconds): &(UsageSum, f64),
    (busy, busy_seconds): &(UsageSum, f64),
    changes: usize,
) -> ChangeCost {
    let cost = |of_kind: fn(&str) -> bool| {
        let expected = with_headers(idle, of_kind) / idle_seconds * busy_seconds;
        (with_headers(busy, of_kind) - expected).max(0.0) / changes as f64
    };
    ChangeCost {
        stream: cost(|kind| kind != "claim"),
        claims: cost(|kind| kind == "claim"),
    }
}

/// Bytes of one process with packet headers.
fn with_headers(sum: &UsageSum, of_kind: fn(&str) -> bool) -> f64 {
    let total = |map: &TrafficMap| -> f64 {
        map.iter()
            .filter(|((kind, _), _)| of_kind(kind))
            .map(|(_, value)| value)
            .sum()
    };
    (total(&sum.bytes) + total(&sum.messages) * PACKET_BYTES) / sum.processes as f64
}
