//! Measures the request policies against plain baselines.
//!
//! Drives the decision code of `routing`, `admission` and `retry` with a discrete-event queue of
//! stand-in upstreams. The baselines choose at random among all upstreams or in turn within the
//! region, queue without bound, and retry every failure and every 250 ms of silence at once
//! until the deadline. Prints a JSON line per run and a table of means over the seeds.

mod run;
mod standin;

use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::{SeedableRng, rngs::SmallRng};

use run::{COLUMNS, Run};
use standin::{Policy, SCENARIOS, START, entry, service};

/// Measures the request policies against plain baselines.
#[derive(FromArgs)]
pub(crate) struct PolicyArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// seeds per scenario and policy, interleaved
    #[argh(option, default = "3")]
    seeds: u64,
    /// upstreams of the service
    #[argh(option, default = "31")]
    upstreams: usize,
    /// entry nodes that call the service
    #[argh(option, default = "60")]
    entries: usize,
    /// simulated seconds per run
    #[argh(option, default = "6")]
    seconds: u64,
}

/// Nanoseconds per choice over the subset of a service.
fn choose_cost(upstreams: usize) -> f64 {
    const ROUNDS: u32 = 2_000_000;
    let entry = entry(0, &service(upstreams));
    let mut rng = SmallRng::seed_from_u64(1);
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = START + Duration::from_micros(u64::from(round));
        std::hint::black_box(entry.balancer.choose(now, &mut rng, &[]));
    }
    started.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn main() {
    let args: PolicyArgs = argh::from_env();
    let policies = [
        Policy::Kumquatlock,
        Policy::RandomAll,
        Policy::TurnsInRegion,
    ];
    let mut table = format!("{:<25}", "");
    COLUMNS
        .iter()
        .for_each(|name| table += &format!("{name:>12}"));
    for scenario in SCENARIOS {
        let mut sums = [[0.0; COLUMNS.len()]; 3];
        for seed in args.seed..args.seed + args.seeds {
            for (policy, sums) in policies.into_iter().zip(&mut sums) {
                let mut run = Run::new(&args, policy, scenario, seed);
                let figures = run.figures(&args);
                let names = COLUMNS.iter().map(|name| (*name).to_owned());
                let named: serde_json::Map<_, _> =
                    names.zip(figures.map(serde_json::Value::from)).collect();
                let name = format!("{:?}/{policy:?}", scenario.0);
                let calls = run.call_count();
                let line = serde_json::json!({"run": name, "seed": seed, "calls": calls, "good_by_class": run.good, "figures": named});
                println!("{line}");
                for (sum, figure) in sums.iter_mut().zip(figures) {
                    *sum += figure / args.seeds as f64;
                }
            }
        }
        for (policy, means) in policies.into_iter().zip(sums) {
            table += &format!("\n{:<25}", format!("{:?}/{policy:?}", scenario.0));
            means
                .iter()
                .for_each(|mean| table += &format!("{mean:>12.3}"));
        }
    }
    println!("{table}");
    for upstreams in [args.upstreams, 1_000] {
        let cost = choose_cost(upstreams);
        println!("choose among 12 of {upstreams} upstreams: {cost:.0} ns");
    }
}
