//! Property test: random schedules of faults while operators submit changes.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use rand::Rng;

use super::group::{REGION_DELAY, TestGroup};
use super::operator::{ChangeId, MAX_COPY_DELAY};
use super::{FIVE_INSTANCES, THREE_REGIONS};
use crate::core::SharedName;

/// Number of schedules in an ordinary run, which should take no more than a few seconds.
const DEFAULT_CASES: u64 = 100;

/// Number of random steps in a schedule.
const STEPS: usize = 150;

/// Longest time between two steps. Several steps fit into the time from the election of a leader to
/// its first commit, which is over 60 ms.
const MAX_STEP_DELAY: Duration = Duration::from_millis(80);

/// Maximum number of changes that operators submit at the same time.
const MAX_UNDECIDED: usize = 8;

impl TestGroup {
    fn pick<T: Clone>(&mut self, items: &[T]) -> T {
        items[self.rng.random_range(0..items.len())].clone()
    }

    fn pick_delay(&mut self, max: Duration) -> Duration {
        self.rng.random_range(Duration::ZERO..=max)
    }

    /// Takes one random step of a schedule.
    fn take_random_step(&mut self) {
        let names = self.names();
        let name = self.pick(&names);
        match self.rng.random_range(0..100) {
            0..45 => self.submit_random(&name),
            45..48 => self.kill(&name),
            48..51 => self.cut_power(&name),
            51..52 => names.iter().for_each(|name| self.kill(name)),
            52..53 => names.iter().for_each(|name| self.cut_power(name)),
            53..65 => self.restart(&name),
            65..66 => names.iter().for_each(|name| self.restart(name)),
            66..70 => self.pause(&name),
            70..78 => {
                let is_submission_first = self.rng.random();
                self.resume(&name, is_submission_first);
            }
            78..80 => self.isolate(&name),
            80..83 => {
                let other = self.pick(&names);
                self.cut(&name, &other);
            }
            83..87 => self.heal(),
            87..91 => self.hand_over(&name),
            _ => {}
        }
    }

    /// Sends a copy of a change to any instance, more often to one that considers itself the
    /// leader. Some copies take so long that the change is decided before they arrive.
    fn submit_random(&mut self, any_name: &SharedName) {
        let names = self.names();
        let leaders: Vec<SharedName> = names
            .into_iter()
            .filter(|name| self.is_leader(name))
            .collect();
        let is_to_leader = !leaders.is_empty() && self.rng.random();
        let name = if is_to_leader {
            self.pick(&leaders)
        } else {
            any_name.clone()
        };
        let change = self.pick_change();
        let max_delay = match self.rng.random_ratio(1, 5) {
            true => MAX_COPY_DELAY,
            false => REGION_DELAY,
        };
        let delay = self.pick_delay(max_delay);
        self.submit(&name, change, delay);
    }

    /// Returns a new change, or one that was sent before. A new one is mostly on top of the newest
    /// acknowledged change, and sometimes on top of one that is not decided.
    fn pick_change(&mut self) -> ChangeId {
        let ids = 0..self.changes.len();
        let is_undecided = |id: &ChangeId| self.changes[*id].is_undecided();
        let undecided: Vec<ChangeId> = ids.clone().filter(is_undecided).collect();
        let newest = ids.clone().rfind(|id| self.changes[*id].is_acknowledged);
        let is_new = undecided.len() < MAX_UNDECIDED && self.rng.random_ratio(1, 4);
        match newest {
            Some(newest) if self.rng.random_ratio(1, 10) => newest,
            _ if is_new && !undecided.is_empty() && self.rng.random_ratio(1, 4) => {
                let base = self.pick(&undecided);
                self.add_change(Some(base))
            }
            _ if undecided.is_empty() || is_new => self.add_change(newest),
            _ => self.pick(&undecided),
        }
    }
}

fn run_schedule(names: &[&str], seed: u64) {
    let mut group = TestGroup::new(names, seed);
    for _ in 0..STEPS {
        group.take_random_step();
        let delay = group.pick_delay(MAX_STEP_DELAY);
        group.run_for(delay);
    }
    group.recover();
}

/// Guards against answers that contradict each other or what is in force, under kills, losses of
/// power, pauses, cuts and elections.
///
/// `KUMQUATLOCK_TEST_CASES` sets the number of schedules. A failure prints its seed; set
/// `KUMQUATLOCK_TEST_SEED` to it and the number to 1 to repeat it.
#[test]
fn no_schedule_leads_to_contradicting_answers() {
    let number = |name: &str| std::env::var(name).ok().map(|text| text.parse().unwrap());
    let seed = number("KUMQUATLOCK_TEST_SEED").unwrap_or_else(|| RandomState::new().hash_one(0));
    println!("KUMQUATLOCK_TEST_SEED={seed}");
    for case in 0..number("KUMQUATLOCK_TEST_CASES").unwrap_or(DEFAULT_CASES) {
        let seed = seed.wrapping_add(case);
        match seed % 2 {
            0 => run_schedule(&THREE_REGIONS, seed),
            _ => run_schedule(&FIVE_INSTANCES, seed),
        }
    }
}
