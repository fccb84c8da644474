//! Compares the request policies of kumquatlock with simple baselines.
//!
//! Runs the decision code of `routing`, `admission` and `retry` in a discrete-event simulation of
//! entry nodes and upstreams. The baselines choose an upstream at random among all, or round-robin
//! within the region. They queue without a limit, and until the deadline they retry immediately
//! after every failure and after every 250 ms without a response. Prints one line of JSON per run
//! and a table of the means over all seeds.

mod chain;
mod model;
mod run;

use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::{SeedableRng, rngs::SmallRng};

use model::{RequestPolicy, SCENARIOS, START, new_entry, new_service};
use run::{COLUMNS, PolicyRun};

/// Compare the request policies with simple baselines.
#[derive(FromArgs)]
pub(crate) struct PolicyArgs {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds per scenario; each seed runs with every policy in turn (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// number of upstreams of the service (default 31)
    #[argh(option, default = "31")]
    upstreams: usize,
    /// number of entry nodes that call the service (default 60)
    #[argh(option, default = "60")]
    entries: usize,
    /// simulated seconds per run (default 6)
    #[argh(option, default = "6", from_str_fn(parse_seconds))]
    seconds: u64,
}

/// Parses the length of a run. A run of no length has no figures.
fn parse_seconds(text: &str) -> Result<u64, String> {
    let seconds: u64 = text.parse().map_err(|_| "not a number".to_owned())?;
    match seconds {
        0 => Err("must be at least 1".to_owned()),
        seconds => Ok(seconds),
    }
}

/// Returns the mean time to choose an upstream from the subset of a service, in nanoseconds.
fn mean_choice_nanos(upstreams: usize) -> f64 {
    const ROUNDS: u32 = 2_000_000;
    let mut entry = new_entry(0, &new_service(upstreams));
    let mut rng = SmallRng::seed_from_u64(1);
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = START + Duration::from_micros(u64::from(round));
        std::hint::black_box(entry.balancer.choose(now, &mut rng, &[], 0));
    }
    started.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

/// Prints the figures of services whose runs call each other, for loads of the callee in multiples
/// of its capacity.
fn print_chains(args: &PolicyArgs) {
    println!(
        "calls of runs: served and wasted starts of the callers' first route, with and without"
    );
    for load in [0.5, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0] {
        for (name, (routes, slots)) in [
            ("two services", chain::shared_callee(load, 0.0)),
            ("with callers", chain::shared_callee(load, 40.0)),
            ("three deep", chain::three_deep(load)),
            ("mutual calls", chain::mutual_calls(load)),
            ("loop", chain::loop_of_calls(load)),
        ] {
            let seeds = args.seed..args.seed + args.seeds;
            let [with, plain] = chain::compare(&routes, &slots, seeds);
            println!(
                "{name:<14}{load:>5.1} of {:>6} calls: served {:.3} and {:.3}, wasted {:>5} and {:>5}",
                with[0].offered,
                with[0].served_share(),
                plain[0].served_share(),
                with[0].wasted,
                plain[0].wasted
            );
        }
    }
}

fn main() {
    let args: PolicyArgs = argh::from_env();
    let policies = [
        RequestPolicy::Kumquatlock,
        RequestPolicy::RandomAll,
        RequestPolicy::TurnsInRegion,
    ];
    let mut table = format!("{:<25}", "");
    COLUMNS
        .iter()
        .for_each(|name| table += &format!("{name:>12}"));
    for scenario in SCENARIOS {
        let mut sums = [[0.0; COLUMNS.len()]; 3];
        for seed in args.seed..args.seed + args.seeds {
            for (policy, sums) in policies.into_iter().zip(&mut sums) {
                let mut run = PolicyRun::new(&args, policy, scenario, seed);
                let figures = run.figures(&args);
                let names = COLUMNS.iter().map(|name| (*name).to_owned());
                let values_by_column: serde_json::Map<_, _> =
                    names.zip(figures.map(serde_json::Value::from)).collect();
                let name = format!("{:?}/{policy:?}", scenario.0);
                let calls = run.call_count();
                let line = serde_json::json!({"run": name, "seed": seed, "calls": calls, "good_by_class": run.answered_by_class, "figures": values_by_column});
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
    print_chains(&args);
    for upstreams in [args.upstreams, 1_000] {
        let nanos = mean_choice_nanos(upstreams);
        println!("choose among 12 of {upstreams} upstreams: {nanos:.0} ns");
    }
}
