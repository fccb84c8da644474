//! Latency that the mesh adds to a call, beside the same call sent to the upstream directly.

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
/// Time for claim shards to become active and connections to open.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const ROUNDS: usize = 5;
const WARM_CALLS: usize = 200;
const CONCURRENCY: [usize; 2] = [1, 8];
/// Bound on the difference of the 99th percentiles, in microseconds.
const ADDED_LIMIT_US: f64 = 1_200.0;

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

    fn plan(self, number: &str) -> HttpRequest {
        match self {
            CallKind::Lookup => HttpRequest::get("/catalogue/tatami"),
            CallKind::AtMostOnce => HttpRequest::post("/booking", number),
            CallKind::Keyed => HttpRequest::post("/booking", number).key(number),
        }
    }
}

/// Durations of one round in microseconds.
struct RoundResult {
    direct: Histogram<u64>,
    mesh: Histogram<u64>,
}

/// Measures one mesh of 18 nodes.
pub(crate) fn run(recorder: &mut ResultRecorder, calls: usize) -> Result<()> {
    recorder.heading("latency: 18 nodes, calls through the mesh and direct ones in turn");
    let mut plan = MeshBuilder::three_regions()
        .upstream_capacity(20, Duration::ZERO)
        .build()?;
    for node in &mut plan.nodes {
        node.upstream.can_close_connections = false;
    }
    let mut mesh = plan.start().wrap_err("starting the mesh")?;
    let manifest = mesh.manifest(1);
    wait_for("the manifest is accepted", START_TIMEOUT, || {
        let answer = mesh.controls[0].submit(&manifest);
        match answer.map_err(|error| error.to_string())? {
            answer if answer.status < 300 => Ok(()),
            answer => Err(answer.text()),
        }
    })?;
    mesh.controls[0].wait_in_force(1, mesh.nodes.len(), START_TIMEOUT)?;
    thread::sleep(SETTLE_TIME);
    let mut worst = [0.0f64; 3];
    for kind in CallKind::ALL {
        for callers in CONCURRENCY {
            let added = measure(recorder, &mesh, kind, callers, calls)?;
            let highest = &mut worst[kind as usize];
            *highest = highest.max(added);
        }
    }
    for (kind, added) in CallKind::ALL.into_iter().zip(worst) {
        let name = format!("added p99, {}, 1 or 8 callers", kind.label());
        recorder.bound(&name, added, ADDED_LIMIT_US, "us")?;
    }
    mesh.stop(STOP_TIMEOUT).wrap_err("stopping the mesh")
}

fn measure(
    recorder: &mut ResultRecorder,
    mesh: &Mesh,
    kind: CallKind,
    callers: usize,
    calls: usize,
) -> Result<f64> {
    round(mesh, kind, callers, WARM_CALLS, "warm")?;
    let (mut direct, mut through, mut added) =
        ([vec![], vec![]], [vec![], vec![]], [vec![], vec![]]);
    let cpu_before = node_cpu(mesh)?;
    for number in 0..ROUNDS {
        let result = round(mesh, kind, callers, calls, &number.to_string())?;
        for (index, quantile) in [0.5, 0.99].into_iter().enumerate() {
            let straight = result.direct.value_at_quantile(quantile) as f64;
            let meshed = result.mesh.value_at_quantile(quantile) as f64;
            direct[index].push(straight);
            through[index].push(meshed);
            added[index].push(meshed - straight);
        }
    }
    let scope = format!("{callers} callers");
    let meshed = (ROUNDS * (calls / callers) * callers) as f64;
    let cpu = (node_cpu(mesh)? - cpu_before) / meshed * 1e6;
    let name = format!("{}: CPU of all nodes per call", kind.label());
    recorder.row(&scope, &name, cpu, "us")?;
    let mut last = 0.0;
    for (index, quantile) in ["p50", "p99"].into_iter().enumerate() {
        let name = |what: &str| format!("{}, {quantile}: {what}", kind.label());
        recorder.spread(&scope, &name("direct"), &direct[index], "us")?;
        recorder.spread(&scope, &name("through the mesh"), &through[index], "us")?;
        last = recorder.spread(&scope, &name("added"), &added[index], "us")?;
    }
    Ok(last)
}

fn node_cpu(mesh: &Mesh) -> Result<f64> {
    let nodes = mesh.nodes.iter();
    nodes.map(|node| cpu_seconds(node.process.id())).sum()
}

fn round(
    mesh: &Mesh,
    kind: CallKind,
    callers: usize,
    calls: usize,
    round: &str,
) -> Result<RoundResult> {
    // The entry belongs to the service `orders`, so every call crosses to another node.
    let entry = mesh.nodes.last().ok_or_else(|| eyre!("no node"))?;
    let target = mesh
        .nodes
        .iter()
        .find(|node| node.flags.name.starts_with(kind.service()))
        .ok_or_else(|| eyre!("no upstream"))?;
    let (entry, target) = (entry.flags.http, target.upstream.address());
    let caller = |index: usize| -> Result<RoundResult> {
        let (mesh, direct) = (HttpCaller::new(entry), HttpCaller::new(target));
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut result = RoundResult {
            direct: histogram()?,
            mesh: histogram()?,
        };
        for call in 0..calls / callers {
            let number = format!("{}-{callers}-{round}-{index}-{call}", kind.label().len());
            for (caller, samples, way) in [
                (&direct, &mut result.direct, "direct"),
                (&mesh, &mut result.mesh, "mesh"),
            ] {
                let plan = kind.plan(&format!("{number}-{way}"));
                let started = Instant::now();
                let answer = caller.send(&plan)?;
                let elapsed = started.elapsed().as_micros() as u64;
                ensure!(
                    answer.status == 200,
                    "{} to a {way} {}: {}",
                    answer.status,
                    kind.label(),
                    answer.text()
                );
                samples.saturating_record(elapsed.max(1));
            }
        }
        Ok(result)
    };
    let mut sum = RoundResult {
        direct: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        mesh: Histogram::new_with_bounds(1, 60_000_000, 3)?,
    };
    thread::scope(|scope| -> Result<()> {
        let caller = &caller;
        let threads: Vec<_> = (0..callers)
            .map(|index| scope.spawn(move || caller(index)))
            .collect();
        for thread in threads {
            let result = thread.join().map_err(|_| eyre!("a caller panicked"))??;
            sum.direct.add(result.direct)?;
            sum.mesh.add(result.mesh)?;
        }
        Ok(())
    })?;
    Ok(sum)
}
