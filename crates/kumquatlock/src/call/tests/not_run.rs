//! Tests that a proof of "not run" outlives everything that may still arrive.
//!
//! A failure of a random schedule names its seed. A long run by hand, or a single seed:
//! `KUMQUATLOCK_TEST_SEED=1 KUMQUATLOCK_TEST_CASES=20000 cargo test -p kumquatlock --lib tests::not_run`

use indexmap::IndexMap;
use kumquatlock_wire::distribution::WireClass;

use super::not_run_model::{ModelSettings, ProofModel};
use crate::transport::LinkId;

/// Number of random schedules, with the seeds from [`FIRST_SEED`] on.
const CASES: u64 = 600;
const FIRST_SEED: u64 = 1;
const EVENTS_PER_SCHEDULE: usize = 300;
const CLASSES: [WireClass; 3] = [
    WireClass::AtMostOnce,
    WireClass::Deferred,
    WireClass::Lookup,
];
/// Sizes of the tables of outcomes: one that never gets full, and one that often does.
const TABLE_SIZES: [usize; 2] = [1_000, 3];
/// What the schedules must reach: each kind of proof, and a fenced attempt that arrives.
const PROOFS: &str = "unsent query frozen draining wrong_incarnation overloaded upstream_refused \
    upstream_unreachable late_attempt";

/// Longer than the entry of a fence in the table of outcomes is kept.
const LONG_PAUSE_MS: u64 = 4_900_000;

fn settings() -> ModelSettings {
    ModelSettings {
        seed: 1,
        class: WireClass::AtMostOnce,
        accepts_earlier_incarnations: true,
        max_keys: TABLE_SIZES[0],
        refusal_rate: 0.0,
    }
}

/// Opens a request whose first attempt stays held on a link that the entry node gives up, so that
/// the attempt is fenced by a query over a new link and the request runs elsewhere.
fn model_with_held_attempt() -> (ProofModel, LinkId) {
    let mut model = ProofModel::new(settings());
    model.open(0, 4_000);
    let held = model.newest_link();
    model.links[&held].is_held = true;
    model.close_at_entry(held);
    model.settle();
    assert_eq!((model.proofs["query"], model.requests[0].runs), (1, 1));
    (model, held)
}

/// Delivers the held attempt and checks that it doesn't run.
fn check_held_attempt(mut model: ProofModel) {
    model.release_all();
    assert_eq!(model.proofs["late_attempt"], 1);
    model.check();
}

/// A fenced attempt must not run because its destination process forgets the fence when it starts a
/// new incarnation.
#[test]
fn a_fence_outlives_a_new_incarnation_of_its_process() {
    let (mut model, held) = model_with_held_attempt();
    let destination = model.links[&held].destination;
    model.raise_incarnation(destination);
    model.adopt_incarnation(destination);
    check_held_attempt(model);
}

/// A fenced attempt must not run because it arrives only at the next process of its destination,
/// which doesn't know the fence.
#[test]
fn a_fence_outlives_its_process() {
    let (mut model, held) = model_with_held_attempt();
    let destination = model.links[&held].destination;
    model.restart_destination(destination);
    check_held_attempt(model);
}

/// A fenced attempt must not run because its fence is forgotten before the attempt arrives.
#[test]
fn a_fence_outlives_what_a_link_holds() {
    let (mut model, _) = model_with_held_attempt();
    model.advance(LONG_PAUSE_MS);
    check_held_attempt(model);
}

/// An attempt that ran must not be taken for one that never arrived because its outcome is forgotten
/// while its caller still waits.
#[test]
fn an_outcome_is_kept_as_long_as_its_caller_waits() {
    let mut model = ProofModel::new(settings());
    model.open(0, 3_600_000);
    let first = model.newest_link();
    model.deliver_request(first);
    model.finish(0);
    model.close_at_entry(first);
    let second = model.newest_link();
    model.links[&second].is_held = true;
    model.advance(1_300_000);
    model.release_all();
    model.check();
}

fn number_from(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value.map_or(default, |value| value.parse().unwrap())
}

fn play_schedule(settings: ModelSettings) -> ProofModel {
    let mut model = ProofModel::new(settings);
    for _ in 0..EVENTS_PER_SCHEDULE {
        model.step();
        model.check();
    }
    model.release_all();
    model.check();
    model
}

fn check_schedules(accepts_earlier_incarnations: bool) {
    let mut proofs: IndexMap<&str, usize> = IndexMap::new();
    let first = number_from("KUMQUATLOCK_TEST_SEED", FIRST_SEED);
    let cases = number_from("KUMQUATLOCK_TEST_CASES", CASES);
    for seed in first..first + cases {
        let model = play_schedule(ModelSettings {
            seed,
            class: CLASSES[seed as usize % CLASSES.len()],
            accepts_earlier_incarnations,
            max_keys: TABLE_SIZES[seed as usize % TABLE_SIZES.len()],
            refusal_rate: 0.1,
        });
        for (proof, count) in model.proofs {
            *proofs.entry(proof).or_default() += count;
        }
    }
    println!("seeds {first}..{}: {proofs:?}", first + cases);
    for proof in PROOFS.split_whitespace().filter(|_| cases >= CASES) {
        assert!(proofs.contains_key(proof), "no schedule reached {proof}");
    }
}

/// No request may run twice, or be reported as not run although it runs, whatever is lost, held,
/// restarted or forgotten.
#[test]
fn no_request_runs_twice_in_random_schedules() {
    check_schedules(false);
}

/// As above, for a platform that accepts attempts addressed to an earlier incarnation.
#[test]
fn no_request_runs_twice_if_earlier_incarnations_are_accepted() {
    check_schedules(true);
}
