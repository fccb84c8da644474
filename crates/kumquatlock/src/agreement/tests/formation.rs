//! Every order of one loss and one cut during the first start of an open group, within bounds.

use std::collections::BTreeSet;

use super::group::TestGroup;
use crate::journal::RecoveredState;

const FOUNDERS: [&str; 3] = ["a", "b", "c"];
/// Instance with an empty disk that is started in place of a lost one and may not form a group.
const JOINER: &str = "d";
/// Ticks of the start after which the loss comes at the latest. The group is formed before.
const MAX_TICKS: usize = 4;
/// Writes and deliveries of the last tick that come before the loss, at most.
const MAX_STEPS: usize = 12;
/// Time until the lost instance is back or replaced.
const RETURN_MS: u64 = 1_000;
/// Time for which the cut lasts, from the loss on.
const CUT_MS: u64 = 1_500;
/// Time after the cut within which the group has to have a leader. Operators repeat their first
/// configuration for longer.
const START_MS: u64 = 15_000;

/// What happens to a founder.
#[derive(Clone, Copy, Debug)]
enum FounderLoss {
    /// It is killed and comes back with its disk.
    Kill,
    /// It comes back under its name with an empty disk.
    Disk,
    /// It is gone for good; an empty instance with another name takes its place.
    Machine,
}

/// One order of events.
#[derive(Clone, Copy, Debug)]
struct StartOrder {
    lost: &'static str,
    loss: FounderLoss,
    /// Whole ticks before the loss.
    ticks: usize,
    /// Writes and deliveries of the next tick before the loss.
    steps: usize,
    /// Founder that is cut off from the loss on.
    cut: Option<&'static str>,
}

/// Returns all orders within the bounds.
fn all_orders() -> Vec<StartOrder> {
    let mut orders = Vec::new();
    for lost in FOUNDERS {
        for loss in [FounderLoss::Kill, FounderLoss::Disk, FounderLoss::Machine] {
            for ticks in 0..=MAX_TICKS {
                for steps in 0..=MAX_STEPS {
                    let cuts = FOUNDERS.into_iter().filter(|name| *name != lost);
                    for cut in cuts.map(Some).chain([None]) {
                        orders.push(StartOrder {
                            lost,
                            loss,
                            ticks,
                            steps,
                            cut,
                        });
                    }
                }
            }
        }
    }
    orders
}

/// Carries out one write, or else one delivery.
fn step(group: &mut TestGroup) {
    let names: Vec<_> = group.voters.keys().cloned().collect();
    if names.iter().any(|name| group.write_next(name)) {
        return;
    }
    if let Some((to, message)) = group.queue.pop_front() {
        group.deliver(&to, message);
    }
}

fn play(order: StartOrder) -> TestGroup {
    let mut group = TestGroup::open(&FOUNDERS, 71);
    for _ in 0..order.ticks {
        group.tick();
        group.settle();
    }
    group.tick();
    for _ in 0..order.steps {
        step(&mut group);
    }
    group.crash(order.lost);
    group.isolated.extend(order.cut.map(Into::into));
    group.run(RETURN_MS);
    match order.loss {
        FounderLoss::Kill => {
            group.forbid_forming();
            group.restart(order.lost);
        }
        FounderLoss::Disk => group.start_joining(order.lost),
        FounderLoss::Machine => group.start_joining(JOINER),
    }
    group.run(CUT_MS - RETURN_MS);
    group.isolated.clear();
    group.run(START_MS);
    group
}

/// Returns the groups that running instances belong to.
fn groups_of(group: &TestGroup) -> BTreeSet<u64> {
    let voters = group.voters.values().filter(|voter| voter.is_running);
    let ids = voters.map(|voter| voter.engine.status().group_id.0);
    ids.filter(|id| *id != 0).collect()
}

/// Guards against two groups, each of which would accept configurations of its own.
#[test]
fn no_order_of_a_loss_and_a_cut_forms_two_groups() {
    for order in all_orders() {
        let group = play(order);
        assert!(groups_of(&group).len() <= 1, "{order:?}");
    }
}

/// Guards against a mesh that never starts because one founder is lost before the group is formed.
#[test]
fn a_group_is_formed_whichever_founder_is_lost() {
    let orders = all_orders();
    let hung: Vec<StartOrder> = orders
        .iter()
        .copied()
        .filter(|order| play(*order).leader().is_none())
        .collect();
    assert!(
        hung.is_empty(),
        "{} of {} orders end without a leader, the first with {:?}",
        hung.len(),
        orders.len(),
        hung[0]
    );
}

/// Guards against a search that never reaches the formation, and so shows nothing.
#[test]
fn without_a_loss_the_group_is_formed_within_the_bounds() {
    let mut group = TestGroup::open(&FOUNDERS, 71);
    assert!(groups_of(&group).is_empty());
    for _ in 0..=MAX_TICKS {
        group.tick();
        group.settle();
    }
    assert_eq!(groups_of(&group).len(), 1);
    assert!(group.voters.values().all(|voter| {
        let disk: &RecoveredState = &voter.disk;
        disk.metadata.formed.is_some()
    }));
}
