//! Measures the latency that the mesh adds to a call, compared with the same call sent directly to
//! the upstream.

use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, ensure, eyre};
use hdrhistogram::Histogram;
use kumquatlock_testkit::caller::{HttpCaller, HttpRequest};
use kumquatlock_testkit::process::{Mesh, MeshBuilder, wait_for};

use crate::host::cpu_seconds;
use crate::record::ResultRecorder;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause during which claim shards become active and connections are opened.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const ROUNDS: usize = 5;
const WARMUP_CALLS: usize = 200;
const CALLER_COUNTS: [usize; 2] = [1, 8];
/// Upper bound on the difference between the 99th percentiles of calls through the mesh and direct
/// calls.
const MAX_ADDED_LATENCY_US: f64 = 1_200.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Lookup,
    AtMostOnce,
    Keyed,
}

impl CallKind {
    const ALL: [CallKind; 3] = [CallKind::Lookup, CallKind::AtMostOnce, CallKind::Keyed];

    fn label(self) -> &'static str {
        match self {
            CallKind::Lookup => "lookup",
            CallKind::AtMostOnce => "at-most-once without key",
            CallKind::Keyed => "at-most-once with key",
        }
    }

    fn service(self) -> &'static str {
        match self {
            CallKind::Lookup => "catalogue",
            CallKind::AtMostOnce | CallKind::Keyed => "booking",
        }
    }

    fn request(self, call_id: &str) -> HttpRequest {
        match self {
            CallKind::Lookup => HttpRequest::get("/catalogue/tatami"),
            CallKind::AtMostOnce => HttpRequest::post("/booking", call_id),
            CallKind::Keyed => HttpRequest::post("/booking", call_id).key(call_id),
        }
    }
}

/// Latencies of one round in microseconds.
struct RoundResult {
    direct: Histogram<u64>,
    through_mesh: Histogram<u64>,
}

/// Parses the number of calls in a round, of which each caller sends an equal share.
pub(crate) fn parse_calls(text: &str) -> Result<usize, String> {
    let calls: usize = text.parse().map_err(|_| "not a number".to_owned())?;
    let callers = CALLER_COUNTS.into_iter().max().unwrap_or_default();
    match calls >= callers {
        true => Ok(calls),
        false => Err(format!("must be at least {callers}")),
    }
}

/// Starts a mesh of 18 nodes and measures every kind of call.
pub(crate) fn run(recorder: &mut ResultRecorder, calls: usize) -> Result<()> {
    recorder.print_heading("latency: 18 nodes, calls through the mesh alternate with direct calls");
    let mut plan = MeshBuilder::three_regions()
        .upstream_capacity(20, Duration::ZERO)
        .build()?;
    for node in &mut plan.nodes {
        node.upstream.can_close_connections = false;
    }
    let mut mesh = plan.start().wrap_err("starting the mesh")?;
    let manifest = mesh.manifest(1);
    wait_for("the manifest is accepted", START_TIMEOUT, || {
        let response = mesh.controls[0].submit(&manifest);
        match response.map_err(|error| error.to_string())? {
            response if response.status < 300 => Ok(()),
            response => Err(response.text()),
        }
    })?;
    mesh.controls[0].wait_in_force(1, mesh.nodes.len(), START_TIMEOUT)?;
    thread::sleep(SETTLE_TIME);
    let mut max_added = [0.0f64; 3];
    for kind in CallKind::ALL {
        for callers in CALLER_COUNTS {
            let added = measure_kind(recorder, &mesh, kind, callers, calls)?;
            let kind_max = &mut max_added[kind as usize];
            *kind_max = kind_max.max(added);
        }
    }
    for (kind, added) in CallKind::ALL.into_iter().zip(max_added) {
        let name = format!("added p99, {}, 1 or 8 callers", kind.label());
        recorder.record_bound(&name, added, MAX_ADDED_LATENCY_US, "us")?;
    }
    mesh.stop(STOP_TIMEOUT).wrap_err("stopping the mesh")
}

/// Measures one kind of call. Returns the latency that the mesh adds at the 99th percentile, as the
/// median over all rounds.
fn measure_kind(
    recorder: &mut ResultRecorder,
    mesh: &Mesh,
    kind: CallKind,
    callers: usize,
    calls: usize,
) -> Result<f64> {
    run_round(mesh, kind, callers, WARMUP_CALLS, "warm")?;
    let (mut direct, mut through_mesh, mut added) =
        ([vec![], vec![]], [vec![], vec![]], [vec![], vec![]]);
    let cpu_before = total_node_cpu(mesh)?;
    for round in 0..ROUNDS {
        let result = run_round(mesh, kind, callers, calls, &round.to_string())?;
        for (index, quantile) in [0.5, 0.99].into_iter().enumerate() {
            let direct_us = result.direct.value_at_quantile(quantile) as f64;
            let mesh_us = result.through_mesh.value_at_quantile(quantile) as f64;
            direct[index].push(direct_us);
            through_mesh[index].push(mesh_us);
            added[index].push(mesh_us - direct_us);
        }
    }
    let scope = format!("{callers} callers");
    let mesh_calls = (ROUNDS * (calls / callers) * callers) as f64;
    let cpu = (total_node_cpu(mesh)? - cpu_before) / mesh_calls * 1e6;
    let name = format!("{}: CPU of all nodes per call", kind.label());
    recorder.record_value(&scope, &name, cpu, "us")?;
    let mut added_p99 = 0.0;
    for (index, quantile) in ["p50", "p99"].into_iter().enumerate() {
        let name = |what: &str| format!("{}, {quantile}: {what}", kind.label());
        recorder.record_samples(&scope, &name("direct"), &direct[index], "us")?;
        recorder.record_samples(
            &scope,
            &name("through the mesh"),
            &through_mesh[index],
            "us",
        )?;
        added_p99 = recorder.record_samples(&scope, &name("added"), &added[index], "us")?;
    }
    Ok(added_p99)
}

fn total_node_cpu(mesh: &Mesh) -> Result<f64> {
    let nodes = mesh.nodes.iter();
    nodes.map(|node| cpu_seconds(node.process.id())).sum()
}

/// Sends `calls` calls of one kind from concurrent callers, each directly and through the mesh.
fn run_round(
    mesh: &Mesh,
    kind: CallKind,
    callers: usize,
    calls: usize,
    round_label: &str,
) -> Result<RoundResult> {
    // The entry node belongs to the service `orders`, so every call is forwarded to another node.
    let entry = mesh
        .nodes
        .last()
        .ok_or_else(|| eyre!("the mesh has no nodes"))?;
    let target = mesh
        .nodes
        .iter()
        .find(|node| node.flags.name.starts_with(kind.service()))
        .ok_or_else(|| eyre!("no node has an upstream of the service"))?;
    let (entry, target) = (entry.flags.http, target.upstream.address());
    let run_caller = |index: usize| -> Result<RoundResult> {
        let (mesh, direct) = (HttpCaller::new(entry), HttpCaller::new(target));
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut result = RoundResult {
            direct: histogram()?,
            through_mesh: histogram()?,
        };
        for call in 0..calls / callers {
            let call_id = format!(
                "{}-{callers}-{round_label}-{index}-{call}",
                kind.label().len()
            );
            for (caller, samples, path) in [
                (&direct, &mut result.direct, "direct"),
                (&mesh, &mut result.through_mesh, "mesh"),
            ] {
                let request = kind.request(&format!("{call_id}-{path}"));
                let started = Instant::now();
                let response = caller.send(&request)?;
                let elapsed = started.elapsed().as_micros() as u64;
                ensure!(
                    response.status == 200,
                    "status {} for a {path} call ({}): {}",
                    response.status,
                    kind.label(),
                    response.text()
                );
                samples.saturating_record(elapsed.max(1));
            }
        }
        Ok(result)
    };
    let mut total = RoundResult {
        direct: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        through_mesh: Histogram::new_with_bounds(1, 60_000_000, 3)?,
    };
    thread::scope(|scope| -> Result<()> {
        let run_caller = &run_caller;
        let threads: Vec<_> = (0..callers)
            .map(|index| scope.spawn(move || run_caller(index)))
            .collect();
        for thread in threads {
            let result = thread
                .join()
                .map_err(|_| eyre!("a caller thread panicked"))??;
            total.direct.add(result.direct)?;
            total.through_mesh.add(result.through_mesh)?;
        }
        Ok(())
    })?;
    Ok(total)
}
