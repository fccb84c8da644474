//! A mesh of about 100 nodes under faults: the limits hold, and legal demand is served.

use std::time::Duration;

use rand::Rng;

use super::model::{Model, Omission, quota};

/// Demand of 87 accounts, a few of them large, 2,000 requests/s together.
pub(super) fn demands(count: usize, total: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count)
        .map(|rank| 1.0 / (rank as f64).powf(1.1))
        .collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum * total).collect()
}

/// Runs a day with faults and returns the worst ratio of a window to its limit.
fn play_faults(seed: u64, omission: Omission) -> f64 {
    let mut model = Model::new(seed, 100, 5, &demands(40, 800.0));
    model.omission = omission;
    model.not_run = 0.1;
    let usual = demands(40, 800.0);
    for _ in 0..30 {
        let hot: Vec<usize> = (0..6).map(|_| model.random.random_range(0..40)).collect();
        let factor = model.random.random_range(4.0..9.0);
        model.set_demand(|index| usual[index] * if hot.contains(&index) { factor } else { 1.0 });
        let zone = model.random.random_range(0..5);
        for (index, weight) in model.weights.iter_mut().enumerate() {
            *weight = if index % 5 == zone { 3.0 } else { 1.0 };
        }
        model.jitter = Duration::from_millis(model.random.random_range(0..40));
        inject_fault(&mut model);
        let time = Duration::from_millis(model.random.random_range(300..2_000));
        model.run(time);
    }
    model.worst_ratio(Default::default())
}

fn inject_fault(model: &mut Model) {
    let nodes = model.nodes.len();
    let parents = model.parents.len();
    let index = model.random.random_range(0..nodes);
    let parent = model.random.random_range(0..parents);
    let time = Duration::from_millis(model.random.random_range(200..6_000));
    match model.random.random_range(0..7) {
        0 => model.replace_leader(),
        1 => model.restart_parent(parent),
        2 => model.parents[parent].frozen_until = model.now + time,
        3 => (0..30).for_each(|_| {
            let node = model.random.random_range(0..nodes);
            model.restart_node(node);
        }),
        4 => (0..40).for_each(|_| {
            let node = model.random.random_range(0..nodes);
            model.nodes[node].frozen_until = model.now + time;
        }),
        5 => (0..nodes).for_each(|node| {
            let is_cut = model.random.random_bool(0.5);
            model.set_cut(node, is_cut);
        }),
        _ => model.set_cut(index, false),
    }
}

/// Guards against requests over the limit: nodes cut off, frozen or restarted, parents restarted or
/// frozen, leaders replaced, hot accounts, demand that moves, late messages.
#[test]
fn limit_holds_in_every_window() {
    let mut worst: f64 = 0.0;
    for seed in 0..12 {
        let ratio = play_faults(seed, Omission::Nothing);
        assert!(ratio <= 1.0, "seed {seed}: {ratio:.3} of the limit");
        worst = worst.max(ratio);
    }
    println!("worst window: {worst:.3} of the limit");
}

/// Runs all accounts far over their limits, with one kind of restart, and returns the worst ratio.
fn play_restarts(omission: Omission, restart: impl Fn(&mut Model)) -> f64 {
    let usual = demands(2, 400.0);
    let mut model = Model::new(1, 100, 5, &usual);
    model.omission = omission;
    model.set_demand(|index| usual[index] * 6.0);
    model.run(Duration::from_secs(6));
    for _ in 0..3 {
        restart(&mut model);
        model.run(Duration::from_secs(2));
    }
    model.worst_ratio(Default::default())
}

/// A restart of part of the mesh.
type ModelRestart = fn(&mut Model);

fn restart_nodes(model: &mut Model) {
    (0..model.nodes.len()).for_each(|node| model.restart_node(node));
}

fn restart_parents(model: &mut Model) {
    (0..model.parents.len()).for_each(|parent| model.restart_parent(parent));
}

/// Guards against a limit that is exceeded after restarts, and shows that each wait after a restart
/// is needed for it.
#[test]
fn restarts_never_renew_what_was_spent() {
    let cases: [(Omission, ModelRestart); 3] = [
        (Omission::LeaderWait, Model::replace_leader),
        (Omission::ShareWait, restart_parents),
        (Omission::AllowanceWait, restart_nodes),
    ];
    for (omission, restart) in cases {
        let kept = play_restarts(Omission::Nothing, restart);
        let broken = play_restarts(omission, restart);
        println!("{omission:?}: {kept:.3} of the limit, without it {broken:.3}");
        assert!(kept <= 1.0, "{omission:?}: {kept:.3} of the limit");
        assert!(broken > 1.0, "{omission:?}: only {broken:.3} without it");
    }
}

/// Guards against refusals of legal requests because the share of their account lies elsewhere:
/// unequal accounts and zones, demand that moves, accounts that use all of their rate.
#[test]
fn legal_demand_is_served() {
    for full_use in [false, true] {
        let usual = demands(87, 2_000.0);
        let mut model = Model::new(7, 82, 5, &usual);
        let factor = if full_use { 1.6 } else { 1.0 };
        model.set_demand(|index| usual[index] * factor);
        model.run(Duration::from_secs(5));
        model.reset_counts();
        for zone in 0..5 {
            for (index, weight) in model.weights.iter_mut().enumerate() {
                *weight = if index % 5 == zone { 2.0 } else { 1.0 };
            }
            model.run(Duration::from_secs(4));
        }
        let refused = model.refused_share(0..87);
        let tail = model.refused_share(40..87);
        println!("demand of {factor} x usual: refused {refused:.4}, small accounts {tail:.4}");
        let bound = if full_use { 0.02 } else { 0.001 };
        assert!(
            refused <= bound,
            "{refused:.4} of the requests were refused"
        );
    }
}

/// Guards against an account that suffers from another one's demand, and against a hot account
/// that gets much less than its rate.
#[test]
fn hot_account_gets_its_rate_and_no_more() {
    let usual = demands(87, 2_000.0);
    let mut model = Model::new(3, 82, 5, &usual);
    let hot = 10;
    model.run(Duration::from_secs(5));
    model.set_demand(|index| usual[index] * if index == hot { 8.0 } else { 1.0 });
    model.run(Duration::from_secs(6));
    model.reset_counts();
    let from = model.accounts[hot].admitted.len();
    model.run(Duration::from_secs(10));
    let rate = (model.accounts[hot].admitted.len() - from) as f64 / 10.0;
    let allowed = usual[hot] * 1.6;
    let others = model.refused_share((0..87).filter(|index| *index != hot));
    println!("hot account: {rate:.1}/s of {allowed:.1}/s allowed; others refused {others:.4}");
    assert!(rate >= allowed, "{rate:.1}/s of {allowed:.1}/s");
    assert!(
        others <= 0.001,
        "{others:.4} of the others' requests were refused"
    );
    assert!(model.worst_ratio(Default::default()) <= 1.0);
}

/// Guards against old tokens that are spent under a lower limit.
#[test]
fn lower_limit_binds_after_a_window() {
    for seed in 0..4 {
        let usual = demands(20, 800.0);
        let mut model = Model::new(seed, 100, 5, &usual);
        model.run(Duration::from_secs(6));
        model.set_quota(0, quota(usual[0] * 0.2));
        let from = model.now;
        model.run(Duration::from_secs(15));
        let ratio = model.worst_ratio(from);
        assert!(ratio <= 1.0, "seed {seed}: {ratio:.3} of the lower limit");
    }
}

/// Guards against service that ends with the leader: large accounts live on shares meanwhile.
#[test]
fn service_continues_without_a_leader() {
    let usual = demands(87, 2_000.0);
    let mut model = Model::new(5, 82, 5, &usual);
    model.run(Duration::from_secs(6));
    model.reset_counts();
    model.replace_leader();
    model.run(Duration::from_secs(8));
    let refused = model.refused_share(0..87);
    println!("refused in 8 s after a change of leader: {refused:.4}");
    assert!(refused <= 0.1, "{refused:.4} of the requests were refused");
}
