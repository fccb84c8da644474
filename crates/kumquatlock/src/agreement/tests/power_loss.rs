//! Random histories of open groups in which all machines lose power at once.

use std::hash::{BuildHasher, RandomState};

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use strum::VariantArray;

use super::group::TestGroup;
use crate::core::SharedName;
use crate::journal::tests::disk::DiskModel;
use crate::journal::tests::history::number_from;

/// Change of the group that is under way when the power is lost.
#[derive(Clone, Copy, Debug, VariantArray)]
enum GroupChange {
    None,
    LearnerJoins,
    /// A machine is lost for good, and another one joins.
    VoterReplaced,
    /// A machine returns with an empty disk.
    DiskReplaced,
    /// A voter was out of touch.
    VoterBehind,
}

struct GroupHistory {
    rng: SmallRng,
    group: TestGroup,
    /// Members that rarely carry out a write while the group changes.
    slow: Vec<SharedName>,
    /// Number of the next proposal.
    next_number: u64,
}

impl GroupHistory {
    /// Forms a group of three to five voters.
    fn new(seed: u64) -> Self {
        let mut history = GroupHistory {
            rng: SmallRng::seed_from_u64(seed),
            group: TestGroup::open(&["a", "b", "c"], seed),
            slow: Vec::new(),
            next_number: 1,
        };
        for name in ["a", "b", "c"] {
            history.group.start_on(name, DiskModel::default());
        }
        history.group.elect();
        for joiner in &["d", "e"][..history.rng.random_range(0..=2)] {
            history.join(joiner);
            history.group.run(2_000);
        }
        history
    }

    fn run(&mut self) {
        // Voters that have recovered a snapshot send it to members that join in a later round.
        for joiner in ["f", "g", "h"] {
            let voters = self.group.voter_names();
            let mut tolerated = (voters.len() - 1) / 2;
            let changes = GroupChange::VARIANTS;
            let change = changes[self.rng.random_range(0..changes.len())];
            println!("{change:?}, {voters:?}");
            let names = self.shuffled_names();
            match change {
                GroupChange::None => {}
                GroupChange::LearnerJoins => self.join(joiner),
                GroupChange::VoterReplaced => {
                    self.group.crash(&names[0]);
                    self.join(joiner);
                    let millis = self.rng.random_range(0..8_000);
                    self.group.run(millis);
                }
                GroupChange::DiskReplaced => {
                    self.group.start_on(&names[0], DiskModel::default());
                    tolerated -= 1;
                }
                GroupChange::VoterBehind => self.leave_behind(&names[0]),
            }
            self.slow = self.shuffled_names();
            self.slow.truncate(self.rng.random_range(0..=names.len()));
            for _ in 0..self.rng.random_range(0..500) {
                self.step();
            }
            self.lose_power(tolerated);
            self.recover();
        }
    }

    fn join(&mut self, name: &str) {
        self.group.start_joining(name);
        self.group.start_on(name, DiskModel::default());
    }

    fn leave_behind(&mut self, name: &SharedName) {
        self.group.isolated.insert(name.clone());
        let leader = self.group.elect();
        for _ in 0..12 {
            self.propose(&leader);
            self.group.run(100);
        }
        self.group.isolated.clear();
    }

    fn propose(&mut self, name: &str) {
        self.group.propose(name, self.next_number);
        self.next_number += 1;
    }

    fn shuffled_names(&mut self) -> Vec<SharedName> {
        let mut names: Vec<SharedName> = self.group.voters.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        names
    }

    fn step(&mut self) {
        let name = self.shuffled_names().remove(0);
        match self.rng.random_range(0..100) {
            0..12 => self.group.tick(),
            12..45 if self.slow.contains(&name) && self.rng.random_bool(0.9) => {}
            12..45 => drop(self.group.write_next(&name)),
            45..90 => {
                let position = self.rng.random_range(0..=self.group.queue.len());
                if let Some((to, message)) = self.group.queue.remove(position) {
                    self.group.deliver(&to, message);
                }
            }
            90..92 if self.group.voters[&name].is_running => {
                self.interrupt(&name);
                self.group.restart(&name);
            }
            _ => {
                let leader = self.group.leader();
                self.propose(&leader.unwrap_or(name));
            }
        }
    }

    /// Ends a process, perhaps in the middle of a write.
    fn interrupt(&mut self, name: &str) {
        let disk = self.disk(name);
        disk.stop_after(self.rng.random_range(0..30));
        while self.rng.random_bool(0.4) && self.group.write_next(name) {}
        self.group.crash(name);
        disk.resume();
    }

    /// Stops all machines by a loss of power and starts them again. At most this number of disks is
    /// lost.
    fn lose_power(&mut self, tolerated: usize) {
        let mut names = self.shuffled_names();
        // The leader's disk is the one that holds everything acknowledged.
        if self.rng.random() {
            let leader = self.group.leader();
            names.sort_by_key(|name| Some(name) != leader.as_ref());
        }
        for name in &names {
            self.interrupt(name);
            self.disk(name).lose_power(&mut self.rng);
        }
        self.group.queue.clear();
        let lost = self.rng.random_range(0..=tolerated);
        for (position, name) in names.iter().enumerate() {
            let disk = match position < lost {
                true => DiskModel::default(),
                false => self.disk(name),
            };
            self.group.start_on(name, disk);
        }
    }

    fn disk(&self, name: &str) -> DiskModel {
        let storage = self.group.voters[name].storage.as_ref();
        storage.expect("each member has a journal").disk.clone()
    }

    /// Lets the group recover, and checks that every member has applied what was acknowledged.
    fn recover(&mut self) {
        self.group.run(12_000);
        let leader = self.group.elect();
        let number = self.next_number;
        self.propose(&leader);
        self.group.run(1_000);
        assert!(self.group.proposals[&number].is_ok());
        self.group.assert_nothing_lost();
    }
}

/// Guards against an acknowledged proposal that is not on the synced disks of a quorum: after a loss
/// of power of all machines and of as many disks as a quorum tolerates, it would be lost or another
/// entry applied in its place. Set `KUMQUATLOCK_TEST_SEED` to the printed seed to repeat a failed
/// history as the first one, and `KUMQUATLOCK_TEST_CASES` to run more histories.
#[test]
fn a_loss_of_power_and_of_disks_loses_no_acknowledged_proposal() {
    let first = number_from("KUMQUATLOCK_TEST_SEED", || RandomState::new().hash_one(0));
    let cases = number_from("KUMQUATLOCK_TEST_CASES", || 20);
    for case in 0..cases {
        let seed = first.wrapping_add(case);
        println!("KUMQUATLOCK_TEST_SEED={seed}");
        GroupHistory::new(seed).run();
    }
}
