//! Load pattern: runs call services that have less room than the runs need. Compares the decisions
//! of the library with the plain baseline in one run of the same model.

use std::time::Duration;

#[path = "../examples/policy/chain.rs"]
mod chain;

use chain::{ChainModel, RouteFigures, compare, loop_of_calls, mutual_calls};
use chain::{shared_callee, three_deep};

const SEEDS: std::ops::Range<u64> = 1..4;
const OVERLOADS: [f64; 3] = [1.5, 2.0, 3.0];

/// Share of the baseline's served calls that the library must reach at least. Starts are held back
/// on an estimate, so some room of the callee may stay unused.
const MIN_GOODPUT: f64 = 0.95;

fn assert_goodput(name: &str, load: f64, with: RouteFigures, plain: RouteFigures) {
    let ratio = f64::from(with.served) / f64::from(plain.served);
    assert!(
        ratio >= MIN_GOODPUT,
        "{name} at {load}: {with:?}, plain {plain:?}"
    );
}

/// Guards against starts whose work is thrown away because the callee is full, and against a
/// throttle that leaves the callee idle.
#[test]
fn runs_that_would_lose_their_calls_are_not_started() {
    for load in OVERLOADS {
        for (name, (routes, slots)) in [
            ("two services", shared_callee(load, 0.0)),
            ("three services", three_deep(load)),
        ] {
            let [with, plain] = compare(&routes, &slots, SEEDS);
            assert_goodput(name, load, with[0], plain[0]);
            let bound = f64::from(plain[0].wasted) * if load < 2.0 { 0.75 } else { 0.5 };
            let wasted = f64::from(with[0].wasted);
            assert!(
                wasted <= bound,
                "{name} at {load}: {with:?}, plain {plain:?}"
            );
        }
    }
}

/// Guards against costs where the callee is well.
#[test]
fn a_callee_with_room_holds_nothing_back() {
    let (routes, slots) = shared_callee(0.5, 10.0);
    let [with, _] = compare(&routes, &slots, SEEDS);
    assert!(with[0].served_share() > 0.97, "{with:?}");
    assert_eq!(with[0].wasted, 0);
}

/// Guards against runs of two services that hold all slots of both and wait for each other.
#[test]
fn services_that_call_each_other_do_not_block_each_other() {
    for load in [0.9, 1.5, 3.0] {
        for (name, (routes, slots)) in [
            ("mutual calls", mutual_calls(load)),
            ("loop", loop_of_calls(load)),
        ] {
            let [with, plain] = compare(&routes, &slots, SEEDS);
            assert_goodput(name, load, with[0], plain[0]);
            let wasted = f64::from(with[0].wasted) / f64::from(with[0].served.max(1));
            assert!(wasted < 0.1, "{name} at {load}: {with:?}, plain {plain:?}");
        }
    }
}

/// Guards against callers' requests of the callee that starve behind the calls of runs.
#[test]
fn calls_of_runs_leave_room_to_callers_of_the_callee() {
    for load in OVERLOADS {
        let (routes, slots) = shared_callee(load, 40.0);
        let [with, _] = compare(&routes, &slots, SEEDS);
        let all: RouteFigures = with.iter().sum();
        let callee = with[1].served_share();
        assert!(callee >= all.served_share() / 4.0, "{load}: {with:?}");
    }
}

/// Guards against a share of starts that stays low after the overload.
#[test]
fn all_calls_start_again_after_the_overload() {
    let (routes, slots) = shared_callee(3.0, 0.0);
    for seed in SEEDS {
        let mut model = ChainModel::new(routes.clone(), &slots, true, seed);
        model.play(Duration::from_secs(5));
        model.set_rate(0, 25.0);
        model.play(Duration::from_secs(3));
        let figures = model.play(Duration::from_secs(4))[0];
        assert!(figures.served_share() > 0.97, "seed {seed}: {figures:?}");
    }
}
