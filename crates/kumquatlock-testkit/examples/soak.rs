//! Injects the faults of one seed after another into the real programs and checks the invariants.
//!
//! Run with `cargo build --release --locked && cargo run --release --locked --example soak -- \
//! --seed 1 --seeds 50`.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use eyre::{Result, WrapErr, ensure};
use kumquatlock_testkit::soak::plan::FaultKind;
use kumquatlock_testkit::soak::report::SoakReport;
use kumquatlock_testkit::soak::{SoakOptions, run_soak};
use strum::IntoEnumIterator;

/// Inject faults into the real programs and check what users see.
#[derive(FromArgs)]
struct SoakCommand {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// number of seeds (default 1)
    #[argh(option, default = "1")]
    seeds: u64,

    /// seconds during which faults are injected, for each seed (default 20)
    #[argh(option, default = "20")]
    seconds: u64,

    /// number of voters (default 3)
    #[argh(option, default = "3")]
    voters: usize,

    /// number of upstreams of each service in each of the two regions (default 1)
    #[argh(option, default = "1")]
    upstreams_per_region: usize,

    /// number of callers of each node (default 2)
    #[argh(option, default = "2")]
    callers_per_node: usize,

    /// mean milliseconds from one fault to the next (default 800)
    #[argh(option, default = "800")]
    gap_ms: u64,

    /// kinds of faults, separated by commas (default all)
    #[argh(option, default = "String::new()")]
    faults: String,

    /// file for the report, with one line of JSON per seed (default target/soak.jsonl)
    #[argh(option, default = "PathBuf::from(\"target/soak.jsonl\")")]
    report: PathBuf,

    /// also keep the log directories of seeds that violate no invariant
    #[argh(switch)]
    keep: bool,
}

fn main() -> ExitCode {
    let command: SoakCommand = argh::from_env();
    match run(&command) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violating_seeds) => {
            eprintln!(
                "{violating_seeds} of {} seeds violated an invariant",
                command.seeds
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("soak failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all seeds and returns the number of seeds that violated an invariant.
fn run(command: &SoakCommand) -> Result<usize> {
    let is_size_allowed = (1..=5).contains(&command.voters)
        && (1..=20).contains(&command.upstreams_per_region)
        && (1..=8).contains(&command.callers_per_node);
    ensure!(
        is_size_allowed,
        "--voters must be 1..=5, --upstreams-per-region 1..=20 and --callers-per-node 1..=8"
    );
    ensure!(command.gap_ms > 0, "--gap-ms must be above 0");
    let faults = parse_faults(&command.faults)?;
    let mut lines = String::new();
    let mut violating_seeds = 0;
    for seed in command.seed..command.seed.saturating_add(command.seeds) {
        let options = SoakOptions {
            seed,
            duration: Duration::from_secs(command.seconds),
            voters: command.voters,
            upstreams_per_region: command.upstreams_per_region,
            callers_per_node: command.callers_per_node,
            mean_fault_interval: Duration::from_millis(command.gap_ms),
            faults: faults.clone(),
            keep_logs: command.keep,
        };
        let report = run_soak(&options).wrap_err_with(|| format!("running seed {seed}"))?;
        violating_seeds += usize::from(!report.is_clean());
        print_report(&report);
        lines.push_str(&serde_json::to_string(&report).wrap_err("writing a report as JSON")?);
        lines.push('\n');
        fs::write(&command.report, &lines)
            .wrap_err_with(|| format!("writing {}", command.report.display()))?;
    }
    Ok(violating_seeds)
}

fn parse_faults(names: &str) -> Result<Vec<FaultKind>> {
    if names.is_empty() {
        return Ok(FaultKind::iter().collect());
    }
    let kinds = names.split(',').map(|name| {
        let kind = name.parse::<FaultKind>();
        kind.wrap_err_with(|| format!("parsing the fault {name:?}"))
    });
    kinds.collect()
}

fn print_report(report: &SoakReport) {
    println!(
        "seed {}: {} faults on {} processes, {} manifests accepted, {} invariant violations",
        report.seed,
        report.faults.len(),
        report.processes,
        report.accepted,
        report.broken_count
    );
    let calls = report.calls.iter();
    let calls: Vec<_> = calls.map(|(end, count)| format!("{end} {count}")).collect();
    println!("  {}", calls.join(", "));
    for violation in &report.broken {
        println!("  {}: {}", violation.kind, violation.seen);
    }
    if !report.is_clean() {
        println!("  logs: {}", report.logs);
    }
}
