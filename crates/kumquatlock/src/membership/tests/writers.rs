//! Announcements of several writers in the name of one upstream.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::distribution::{CatalogState, ServiceItem, WireState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Node, run_announcement};
use crate::core::{ConfigSnapshot, service_digest};
use crate::membership::{
    ANNOUNCE_LEASE, AnnounceAnswer, AnnouncerEvent, LEAVE_TIMEOUT, UpstreamAnnouncement,
};

/// Interval between announcements in the tests that draw none.
const INTERVAL_MS: u64 = 1_500;
const SEEDS: u64 = 300;

fn config() -> Arc<ConfigSnapshot> {
    let service = |name: &str| ServiceItem {
        name: name.into(),
        patterns: vec!["*".into()],
        ..ServiceItem::default()
    };
    let services = vec![service("a"), service("b")];
    let digest = services
        .iter()
        .map(service_digest)
        .fold(0, u64::wrapping_add);
    let state = CatalogState {
        version: 1,
        services,
        ..CatalogState::default()
    };
    Arc::new(ConfigSnapshot::from_state(&state, digest).unwrap())
}

fn node() -> Node {
    let mut node = Node::new(100);
    node.handle(AnnouncerEvent::ConfigApplied(config()));
    node
}

fn announce(node: &mut Node, announcement: &UpstreamAnnouncement) -> AnnounceAnswer {
    node.handle(AnnouncerEvent::Announce(announcement.clone()))
        .unwrap()
}

fn is_serving(answer: AnnounceAnswer) -> bool {
    matches!(answer, AnnounceAnswer::Serving { .. })
}

/// Guards against one announcement of another writer, or one before a step of the clock, after which
/// those of the upstream itself have no effect for good.
#[test]
fn no_single_announcement_outweighs_those_that_go_on() {
    let own = run_announcement("run-1", 1_000, 40);
    let other = |change: fn(&mut UpstreamAnnouncement)| {
        let mut other = own.clone();
        other.sequence += 1;
        change(&mut other);
        other
    };
    let cases = [
        ("a high number", other(|it| it.sequence = u64::MAX)),
        ("a late start", other(|it| it.run_started_ms = u64::MAX)),
        (
            "another run",
            other(|it| {
                it.instance = "run-9".into();
                it.run_started_ms = 2_000;
            }),
        ),
        ("another service", other(|it| it.service = "b".into())),
        ("an unknown service", other(|it| it.service = "x".into())),
        (
            "an unknown service of another run",
            other(|it| {
                it.service = "x".into();
                it.run_started_ms = 2_000;
            }),
        ),
        (
            "all at once",
            other(|it| {
                it.instance = "run-9".into();
                it.service = "b".into();
                it.run_started_ms = u64::MAX;
                it.sequence = u64::MAX;
            }),
        ),
    ];
    for (name, other) in cases {
        for is_first in [false, true] {
            let mut node = node();
            if !is_first {
                announce(&mut node, &own);
            }
            announce(&mut node, &other);
            let mut last = own.clone();
            for number in 1..=9 {
                node.run(INTERVAL_MS);
                last.sequence = own.sequence + 1 + number;
                let answer = announce(&mut node, &last);
                assert!(number < 3 || is_serving(answer), "{name}: {answer:?}");
            }
            assert_eq!(node.announcer.announcement(), Some(&last), "{name}");
            assert_eq!(node.last_report().1, WireState::Serving, "{name}");
        }
    }
}

/// Guards against an acknowledgement of `draining` that has no effect.
#[test]
fn draining_is_believed_whatever_its_number() {
    let mut node = node();
    announce(&mut node, &run_announcement("run-1", 1_000, u64::MAX));
    let mut draining = run_announcement("run-1", 1_000, 41);
    draining.is_draining = true;
    assert_eq!(announce(&mut node, &draining), AnnounceAnswer::Draining);
    assert_eq!(node.last_report().1, WireState::Draining);
    // What the run said before does not take it back.
    for sequence in 38..=40 {
        node.run(INTERVAL_MS);
        let late = run_announcement("run-1", 1_000, sequence);
        assert!(!is_serving(announce(&mut node, &late)));
    }
    assert_eq!(node.last_report().1, WireState::Draining);
}

/// Guards against announcements that a partition held up, arrive together, and bring back a run that
/// was replaced, or keep an upstream that is gone.
#[test]
fn announcements_that_arrive_at_once_change_nothing() {
    let mut node = node();
    let own = run_announcement("run-2", 2_000, 1);
    announce(&mut node, &own);
    for sequence in 5..=12 {
        let late = run_announcement("run-1", 1_000, sequence);
        assert_eq!(announce(&mut node, &late), AnnounceAnswer::Late);
        node.run(100);
    }
    assert_eq!(node.announcer.announcement(), Some(&own));
    let silence = ANNOUNCE_LEASE.max(LEAVE_TIMEOUT);
    node.run(u64::try_from(silence.as_millis()).unwrap());
    assert_eq!(node.announcer.announcement(), None);
}

/// Guards against a service that no configuration has and that takes the upstream out of service.
#[test]
fn an_unknown_service_is_refused() {
    let mut node = node();
    let own = run_announcement("run-1", 1_000, 1);
    announce(&mut node, &own);
    let mut other = run_announcement("run-9", 2_000, 1);
    other.service = "x".into();
    assert_eq!(announce(&mut node, &other), AnnounceAnswer::UnknownService);
    assert_eq!(node.announcer.announcement(), Some(&own));
}

/// What the upstream itself says next: its counter goes on, steps ahead or starts anew with a run that
/// started earlier or later.
fn next_own(random: &mut SmallRng, own: &mut UpstreamAnnouncement) {
    own.sequence += match random.random_range(0..10) {
        0 => 1_000,
        _ => 1,
    };
    if random.random_range(0..20) == 0 {
        own.sequence = 1;
        own.run_started_ms = random.random_range(1_000..9_000);
    }
}

/// What another writer says: any field may differ.
fn draw_other(random: &mut SmallRng, own: &UpstreamAnnouncement) -> UpstreamAnnouncement {
    let mut other = own.clone();
    other.sequence = random.random_range(0..5_000);
    if random.random() {
        other.run_started_ms = random.random_range(0..20_000);
    }
    if random.random() {
        other.instance = "run-9".into();
    }
    let services = ["a", "b", "x"];
    other.service = services[random.random_range(0..services.len())].into();
    other.slots = random.random_range(1..9);
    other
}

/// Guards against a state that an upstream says in three announcements in a row and that is not
/// believed, and against an announcement that is ignored and acknowledged as if it had been taken.
#[test]
fn what_is_said_three_times_in_a_row_is_believed() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut node = node();
        let mut own = run_announcement("run-1", 5_000, 1);
        let mut said_in_a_row = 0;
        for step in 0..60 {
            node.run(random.random_range(6..18) * 100);
            let is_own = random.random_range(0..4) != 0;
            let announcement = match is_own {
                true => {
                    let run = own.run_started_ms;
                    next_own(&mut random, &mut own);
                    said_in_a_row = if own.run_started_ms == run {
                        said_in_a_row + 1
                    } else {
                        1
                    };
                    own.clone()
                }
                false => {
                    said_in_a_row = 0;
                    draw_other(&mut random, &own)
                }
            };
            let answer = announce(&mut node, &announcement);
            let believed = node.announcer.announcement().cloned();
            let label = format!("seed {seed}, step {step}: {announcement:?}, {answer:?}");
            if is_serving(answer) {
                let believed = believed.as_ref().unwrap();
                assert!(believed.is_same_run(&announcement), "{label}");
                assert!(believed.has_content_of(&announcement), "{label}");
            }
            if said_in_a_row >= 3 {
                assert_eq!(believed.as_ref(), Some(&announcement), "{label}");
                assert_eq!(node.last_report().1, WireState::Serving, "{label}");
            }
        }
        assert!(node.now.since(Default::default()) > Duration::from_secs(30));
    }
}
