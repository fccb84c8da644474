//! Tests of the answers to submissions, in a simulated group with slow links and disks.

use std::time::Duration;

mod group;
mod instance;
mod operator;
mod schedule;

use group::TestGroup;

const THREE_REGIONS: [&str; 3] = ["osr-a", "pri-a", "sta-a"];

const FIVE_INSTANCES: [&str; 5] = ["osr-a", "osr-b", "pri-a", "pri-b", "sta-a"];

/// Delay of a request that arrives at once.
const NOW: Duration = Duration::ZERO;

/// Delay of a copy that arrives after the leader has committed an entry of its term.
const LATER: Duration = Duration::from_secs(2);

fn kill_all(group: &mut TestGroup) {
    for name in group.names() {
        group.kill(&name);
    }
}

fn restart_all(group: &mut TestGroup) {
    for name in group.names() {
        group.restart(&name);
    }
}

/// Guards against a new leader that refuses a change which the log of a quorum already contains,
/// before it has committed an entry of its term.
#[test]
fn a_new_leader_does_not_refuse_a_change_that_its_log_contains() {
    for end_process in [TestGroup::kill, TestGroup::cut_power] {
        let mut group = TestGroup::new(&THREE_REGIONS, 1);
        let (leader, base) = group.accept_change(None);
        let change = group.add_change(Some(base));
        group.submit(&leader, change, NOW);
        group.run_until("a quorum has stored the change", |group| {
            group.stored_count(change) >= 2
        });
        for name in group.names() {
            end_process(&mut group, &name);
        }
        assert!(!group.changes[change].is_acknowledged);
        restart_all(&mut group);
        let leader = group.elect();
        group.submit(&leader, change, NOW);
        group.recover();
        assert!(group.changes[change].is_acknowledged);
    }
}

/// Guards against a new leader that refuses a change on top of one which it has not applied yet, and
/// accepts a late copy of it.
#[test]
fn a_new_leader_that_was_behind_does_not_refuse_a_change_before_it_accepts_a_copy() {
    let mut group = TestGroup::new(&THREE_REGIONS, 2);
    let (old, base) = group.accept_change(None);
    let change = group.add_change(Some(base));
    group.submit(&old, change, NOW);
    group.run_until("only the leader has stored the change", |group| {
        group.stored_count(change) == 1
    });
    kill_all(&mut group);
    for name in group.names().iter().filter(|name| **name != old) {
        group.restart(name);
    }
    let leader = group.elect();
    group.submit(&leader, change, NOW);
    group.submit(&leader, change, LATER);
    group.run_for(LATER);
    group.recover();
    assert!(group.changes[change].is_acknowledged);
}

/// Guards against a refusal by a leader that loses its leadership before it knows what is committed,
/// while other leaders are asked for the same change.
#[test]
fn a_submission_that_waits_during_several_elections_is_not_refused() {
    let mut group = TestGroup::new(&THREE_REGIONS, 3);
    let (leader, base) = group.accept_change(None);
    let change = group.add_change(Some(base));
    group.submit(&leader, change, NOW);
    group.run_until("a quorum has stored the change", |group| {
        group.stored_count(change) >= 2
    });
    kill_all(&mut group);
    restart_all(&mut group);
    let mut leader = group.elect();
    for _ in 0..3 {
        group.submit(&leader, change, NOW);
        group.run_for(NOW);
        group.heal();
        group.isolate(&leader);
        leader = group.elect_other_than(&leader);
    }
    group.recover();
    assert!(group.changes[change].is_acknowledged);
}

/// Guards against a leader that was replaced during a pause and, as the first thing after it,
/// refuses a change on top of one that it does not know.
#[test]
fn a_leader_that_was_replaced_during_a_pause_does_not_refuse_a_newer_change() {
    let mut group = TestGroup::new(&THREE_REGIONS, 4);
    let (old, base) = group.accept_change(None);
    group.pause(&old);
    group.elect_other_than(&old);
    let (leader, base) = group.accept_change(Some(base));
    let change = group.add_change(Some(base));
    group.submit(&old, change, NOW);
    group.run_for(NOW);
    group.resume(&old, true);
    group.submit(&leader, change, LATER);
    group.recover();
    assert!(group.changes[change].is_acknowledged);
}

/// Guards against a leader that has handed over, does not hear that the other one was elected, and
/// refuses a change on top of one that it does not know.
#[test]
fn a_leader_that_is_cut_off_while_it_hands_over_does_not_refuse_a_newer_change() {
    let mut group = TestGroup::new(&THREE_REGIONS, 5);
    let (old, base) = group.accept_change(None);
    group.hand_over(&old);
    group.run_until("another instance is a candidate", TestGroup::has_candidate);
    group.isolate(&old);
    group.elect_other_than(&old);
    let (leader, base) = group.accept_change(Some(base));
    assert!(group.is_leader(&old), "the old leader stepped down");
    let change = group.add_change(Some(base));
    group.submit(&old, change, NOW);
    group.run_for(NOW);
    group.submit(&leader, change, LATER);
    group.recover();
    assert!(group.changes[change].is_acknowledged);
}

/// Guards against a leader that refuses a change on top of one which it has proposed but which is not
/// committed yet, and accepts a late copy of it.
#[test]
fn a_change_on_top_of_a_proposed_one_is_not_refused_before_a_copy_is_accepted() {
    let mut group = TestGroup::new(&THREE_REGIONS, 6);
    let (leader, base) = group.accept_change(None);
    let first = group.add_change(Some(base));
    let second = group.add_change(Some(first));
    group.submit(&leader, first, NOW);
    group.submit(&leader, second, NOW);
    group.submit(&leader, second, LATER);
    group.run_for(LATER);
    group.recover();
    assert!(group.changes[second].is_acknowledged);
}
