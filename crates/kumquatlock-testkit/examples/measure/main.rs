//! Measures the costs from which the capacity page is calculated.
//!
//! `slopes` runs only the decision code, at several fleet sizes and without processes. `mesh` and
//! `latency` run the real binaries on loopback. Every result is printed and written as one line of
//! JSON. Results that have a bound from the design target are shown as met or missed. Run with
//! `cargo build --release --locked && cargo run --release --locked --example measure -- all`.

mod claims;
mod fleet;
mod host;
mod latency;
mod mesh;
mod record;
mod scrape;
mod slopes;
mod storm;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use eyre::{Result, WrapErr, bail, ensure};
use kumquatlock::catalog::SnapshotDetail;

use fleet::{FleetCatalog, FleetSize};
use mesh::MeshSize;
use record::ResultRecorder;

/// Number of replicas per region in the run with replicas.
const REPLICAS_PER_REGION: usize = 2;

/// Measure costs and compare them with the design target.
#[derive(FromArgs)]
struct MeasureCommand {
    /// seed of random choices (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// fleet sizes for `slopes` as <upstreams>/<services>, the design target last (default
    /// 1000/36,5000/180,19000/620)
    #[argh(option, default = "\"1000/36,5000/180,19000/620\".to_owned()")]
    sizes: String,

    /// numbers of nodes for the runs of `mesh`, multiples of 6 (default 6,18,60,150)
    #[argh(option, default = "\"6,18,60,150\".to_owned()")]
    nodes: String,

    /// number of nodes for the run of `mesh` with replicas (default 60; 0 skips this run)
    #[argh(option, default = "60")]
    replica_nodes: usize,

    /// heartbeat-ms of the voters of `mesh` (default: that of the binary)
    #[argh(option)]
    heartbeat_ms: Option<u64>,

    /// election-timeout-ms of the voters of `mesh` (default: that of the binary)
    #[argh(option)]
    election_timeout_ms: Option<u64>,

    /// number of direct calls, and of calls through the mesh, in each round of `latency`, at least
    /// one for each caller (default 1000)
    #[argh(option, default = "1000", from_str_fn(latency::parse_calls))]
    calls: usize,

    /// file for the results, as lines of JSON (default target/measure.jsonl)
    #[argh(option, default = "PathBuf::from(\"target/measure.jsonl\")")]
    record: PathBuf,

    #[argh(subcommand)]
    part: MeasurePart,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum MeasurePart {
    Slopes(SlopesCommand),
    Mesh(MeshCommand),
    Latency(LatencyCommand),
    All(AllCommand),
}

/// Measure the decision code without starting processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesCommand {}

/// Measure convergence, traffic, CPU and memory of real processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "mesh")]
struct MeshCommand {}

/// Measure the latency that real processes add to a call.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
struct LatencyCommand {}

/// Run all measurements.
#[derive(FromArgs)]
#[argh(subcommand, name = "all")]
struct AllCommand {}

fn main() -> ExitCode {
    let command: MeasureCommand = argh::from_env();
    match run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: &MeasureCommand) -> Result<()> {
    let mut recorder = ResultRecorder::create(&command.record)?;
    let is_selected = |part: fn(&MeasurePart) -> bool| {
        part(&command.part) || matches!(command.part, MeasurePart::All(_))
    };
    if is_selected(|part| matches!(part, MeasurePart::Slopes(_))) {
        run_slopes(&mut recorder, command).wrap_err("measuring slopes")?;
    }
    if is_selected(|part| matches!(part, MeasurePart::Latency(_))) {
        latency::run(&mut recorder, command.calls).wrap_err("measuring latency")?;
    }
    if is_selected(|part| matches!(part, MeasurePart::Mesh(_))) {
        run_meshes(&mut recorder, command).wrap_err("measuring a mesh")?;
    }
    recorder.print_bounds();
    Ok(())
}

fn run_slopes(recorder: &mut ResultRecorder, command: &MeasureCommand) -> Result<()> {
    let sizes = parse_sizes(&command.sizes)?;
    for (index, &size) in sizes.iter().enumerate() {
        let is_target = index + 1 == sizes.len();
        slopes::run(recorder, size, is_target, command.seed)?;
        storm::run(recorder, size, command.seed)?;
    }
    claims::run(recorder)
}

fn run_meshes(recorder: &mut ResultRecorder, command: &MeasureCommand) -> Result<()> {
    let mut sizes = Vec::new();
    for nodes in command.nodes.split(',') {
        sizes.push(MeshSize {
            nodes: nodes.parse().wrap_err("parsing --nodes")?,
            replicas_per_region: 0,
        });
    }
    let largest = sizes.iter().map(|size| size.nodes).max().unwrap_or(0);
    if command.replica_nodes > 0 {
        sizes.push(MeshSize {
            nodes: command.replica_nodes,
            replicas_per_region: REPLICAS_PER_REGION,
        });
    }
    let mut control_arguments = Vec::new();
    for (flag, millis) in [
        ("--heartbeat-ms", command.heartbeat_ms),
        ("--election-timeout-ms", command.election_timeout_ms),
    ] {
        if let Some(millis) = millis {
            control_arguments.extend([flag.to_owned(), millis.to_string()]);
        }
    }
    for size in sizes {
        let fleet = FleetCatalog::new(FleetSize {
            upstreams: size.nodes,
            services: 2,
        });
        let encoded = fleet.catalog.encode_snapshot(SnapshotDetail::Routing);
        let snapshot_bytes = encoded.bytes.len() as f64;
        let is_largest = size.nodes == largest && size.replicas_per_region == 0;
        mesh::run(
            recorder,
            size,
            &control_arguments,
            snapshot_bytes,
            is_largest,
        )?;
    }
    Ok(())
}

fn parse_sizes(text: &str) -> Result<Vec<FleetSize>> {
    let mut sizes = Vec::new();
    for pair in text.split(',') {
        let Some((upstreams, services)) = pair.split_once('/') else {
            bail!("--sizes contains {pair}, which is not of the form <upstreams>/<services>");
        };
        let (upstreams, services) = (upstreams.parse()?, services.parse()?);
        ensure!(
            (3..=40_000).contains(&upstreams) && (1..=1_000).contains(&services),
            "--sizes contains {pair}; upstreams must be 3..=40000 and services 1..=1000"
        );
        sizes.push(FleetSize {
            upstreams,
            services,
        });
    }
    Ok(sizes)
}
