//! The share of the version on trial over all entry nodes.

use std::sync::Arc;

use kumquatlock_wire::distribution::UpstreamItem;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::core::{SharedName, UpstreamEntry};
use crate::rollout::{CanaryShare, pick_canaries};

/// What operators are promised: a tenth of the requests and fifty more.
const MAX_SHARE: f64 = 0.1;
const MAX_EXTRA: f64 = 50.0;

/// Sends `requests` from random nodes. Returns how many went to the version on trial. A node knows
/// the rollout only from the request of its number on; `restart` lets a node forget everything.
fn send(seed: u64, nodes: usize, requests: usize, restart: f64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let service: SharedName = "s".into();
    let mut shares = vec![CanaryShare::default(); nodes];
    let mut canaries = 0;
    for number in 0..requests {
        let node = random.random_range(0..nodes);
        if random.random_bool(restart) {
            shares[node] = CanaryShare::default();
        }
        let knows = number >= node;
        let is_canary = knows && shares[node].is_due(&service, 7, &mut random);
        shares[node].record_sent(&service, is_canary);
        canaries += usize::from(is_canary);
    }
    canaries
}

#[test]
fn all_nodes_together_stay_below_the_share() {
    for nodes in [1, 30, 300] {
        for requests in [100, 1_000, 20_000] {
            for seed in 0..50 {
                let sent = send(seed, nodes, requests, 0.0) as f64;
                let allowed = requests as f64 * MAX_SHARE + MAX_EXTRA;
                assert!(sent <= allowed, "{nodes} nodes, seed {seed}: {sent}");
            }
        }
    }
}

#[test]
fn restarts_of_nodes_keep_the_share() {
    for seed in 0..50 {
        let sent = send(seed, 80, 5_000, 0.01) as f64;
        assert!(
            sent <= 5_000.0 * MAX_SHARE + MAX_EXTRA,
            "seed {seed}: {sent}"
        );
    }
}

// A version that gets too few requests can't be judged.
#[test]
fn the_version_on_trial_gets_its_share() {
    let sent = send(1, 80, 20_000, 0.0);
    assert!(sent >= 1_000, "{sent}");
}

fn upstream(number: usize, region: &str, version: &str) -> Arc<UpstreamEntry> {
    let item = UpstreamItem {
        name: format!("u-{number}"),
        service: "s".into(),
        zone: "z".into(),
        region: region.into(),
        node_address: "127.0.0.1:1".into(),
        incarnation: 1,
        slots: 4,
        version: version.into(),
        ..UpstreamItem::default()
    };
    Arc::new(UpstreamEntry::from_item(&item).unwrap())
}

// Spread over all upstreams of the new version, a small share would never load any of them.
#[test]
fn few_upstreams_get_the_share_of_a_region() {
    let mut members: Vec<_> = (0..40).map(|n| upstream(n, "east", "v2")).collect();
    members.extend((40..80).map(|n| upstream(n, "west", "v1")));
    members.push(upstream(80, "west", "v2"));
    let names = |region| {
        let picked = pick_canaries(&members, "v2", region, 7);
        let names = picked.iter().map(|entry| entry.name.clone());
        names.collect::<Vec<_>>()
    };
    assert_eq!(names("east").len(), 3);
    assert_eq!(names("west"), ["u-80".into()]);
    // A region without upstreams of the version uses those of others.
    assert!(!names("north").is_empty());
}
