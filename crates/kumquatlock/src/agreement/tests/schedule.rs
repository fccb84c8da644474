//! Property tests with random schedules of message loss, reordering, crashes and a lost disk.

use std::hash::{BuildHasher, RandomState};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use super::group::TestGroup;
use crate::core::SharedName;
use crate::journal::RecoveredState;

/// One step of a random schedule. The numbers select a voter or a message.
#[derive(Clone, Copy, Debug)]
enum ScheduleStep {
    Tick,
    Settle,
    Write(usize),
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    Crash(usize),
    Restart(usize),
    LoseDisk(usize),
    Isolate(usize),
    Reconnect,
    Propose(usize),
}

fn schedule_step() -> impl Strategy<Value = ScheduleStep> {
    let number = 0..64_usize;
    prop_oneof![
        10 => Just(ScheduleStep::Tick),
        3 => Just(ScheduleStep::Settle),
        30 => number.clone().prop_map(ScheduleStep::Write),
        50 => number.clone().prop_map(ScheduleStep::Deliver),
        3 => number.clone().prop_map(ScheduleStep::Drop),
        3 => number.clone().prop_map(ScheduleStep::Duplicate),
        1 => number.clone().prop_map(ScheduleStep::Crash),
        6 => number.clone().prop_map(ScheduleStep::Restart),
        1 => number.clone().prop_map(ScheduleStep::LoseDisk),
        1 => number.clone().prop_map(ScheduleStep::Isolate),
        6 => Just(ScheduleStep::Reconnect),
        10 => number.prop_map(ScheduleStep::Propose),
    ]
}

impl TestGroup {
    /// Carries out one step. At most one disk is lost in a schedule, because a group of three does
    /// not survive the loss of a second disk before the first one is replaced.
    fn run_step(&mut self, step: ScheduleStep, number: u64, is_disk_lost: &mut bool) {
        let names: Vec<SharedName> = self.voters.keys().cloned().collect();
        let name = |pick: usize| &*names[pick % names.len()];
        let position = |pick: usize, length: usize| pick.checked_rem(length);
        match step {
            ScheduleStep::Tick => self.tick(),
            ScheduleStep::Settle => self.settle(),
            ScheduleStep::Write(pick) => drop(self.write_next(name(pick))),
            ScheduleStep::Deliver(pick) => {
                let position = position(pick, self.queue.len());
                if let Some((to, message)) = position.and_then(|at| self.queue.remove(at)) {
                    self.deliver(&to, message);
                }
            }
            ScheduleStep::Drop(pick) => {
                let position = position(pick, self.queue.len());
                position.and_then(|at| self.queue.remove(at));
            }
            ScheduleStep::Duplicate(pick) => {
                let position = position(pick, self.queue.len());
                self.queue.extend(position.map(|at| self.queue[at].clone()));
            }
            ScheduleStep::Crash(pick) => self.crash(name(pick)),
            ScheduleStep::Restart(pick) if !self.voters[name(pick)].is_running => {
                self.restart(name(pick));
            }
            ScheduleStep::LoseDisk(pick) if !std::mem::replace(is_disk_lost, true) => {
                self.start(name(pick), RecoveredState::default());
            }
            ScheduleStep::Propose(pick) => self.propose(name(pick), number),
            ScheduleStep::Isolate(pick) => drop(self.isolated.insert(name(pick).into())),
            ScheduleStep::Reconnect => self.isolated.clear(),
            ScheduleStep::Restart(_) | ScheduleStep::LoseDisk(_) => {}
        }
    }
}

fn fresh_seed() -> u64 {
    RandomState::new().hash_one(0)
}

/// Runs random schedules on groups that `start` creates from a seed, lets each group recover and
/// checks that no committed entry is lost. Set `KUMQUATLOCK_TEST_SEED` to the printed seed to
/// repeat a run.
fn run_schedules(cases: u32, start: impl Fn(u64) -> TestGroup) {
    let given = std::env::var("KUMQUATLOCK_TEST_SEED").ok();
    let seed: u64 = given.map_or_else(fresh_seed, |seed| seed.parse().unwrap());
    println!("KUMQUATLOCK_TEST_SEED={seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedule = prop::collection::vec(schedule_step(), 200..1_500);
    let outcome = runner.run(&(schedule, any::<u32>()), |(steps, seed)| {
        let mut group = start(u64::from(seed));
        let mut is_disk_lost = false;
        for (number, step) in (1_000..).zip(steps) {
            group.run_step(step, number, &mut is_disk_lost);
        }
        group.isolated.clear();
        let names: Vec<SharedName> = group.voters.keys().cloned().collect();
        for name in &names {
            if !group.voters[name].is_running {
                group.restart(name);
            }
        }
        group.run(12_000);
        let leader = group.elect();
        group.propose(&leader, 1);
        group.run(1_000);
        prop_assert!(group.proposals[&1].is_ok());
        group.assert_nothing_lost();
        Ok(())
    });
    outcome.unwrap();
}

/// Guards against committed entries that differ between voters or are lost after lost, duplicated
/// and reordered messages, crashes and a lost disk.
#[test]
fn committed_entries_never_differ_or_vanish() {
    for names in [&["a", "b", "c"][..], &["a", "b", "c", "d", "e"]] {
        run_schedules(100, |seed| {
            let mut group = TestGroup::new(names, seed);
            group.elect();
            group
        });
    }
}

/// Guards against committed entries that differ or are lost while, in addition, voters are
/// replaced.
#[test]
fn replacing_voters_loses_no_committed_entry() {
    run_schedules(60, |seed| {
        let mut group = TestGroup::open(&["a", "b", "c"], seed);
        group.elect();
        for joiner in ["d", "e", "f"] {
            group.start_joining(joiner);
            group.run(2_000);
        }
        group.elect();
        group
    });
}
