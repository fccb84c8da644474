//! Load pattern: the zones of a service differ in demand, upstreams, speed or health, so that calls
//! wait in one zone while another has room. Compares the decision with the former thresholds and
//! with plain rules; `--nocapture` prints the figures.

mod model;

use strum::IntoEnumIterator;

use model::{SpillRule, ZoneCase, ZoneFigures, ZoneModel};

const SEEDS: u64 = 8;
/// One way in a zone, between zones and between regions.
const NARROW: [u64; 3] = [200, 3_500, 30_000];
const BASE: ZoneCase = ZoneCase {
    name: "even",
    demand: [0.6; 4],
    upstreams: [6; 4],
    speeds: &[1.0],
    way_us: NARROW,
    lost_zone: None,
    lies: false,
};

fn mean(case: &ZoneCase, rule: SpillRule) -> ZoneFigures {
    let mut sum = ZoneFigures::default();
    for seed in 1..=SEEDS {
        let figures = ZoneModel::run(case, rule, seed);
        let part = 1.0 / SEEDS as f64;
        sum.wait_ms += figures.wait_ms * part;
        sum.in_target += figures.in_target * part;
        sum.refused += figures.refused * part;
        sum.out_of_zone += figures.out_of_zone * part;
        sum.out_of_region += figures.out_of_region * part;
        sum.busiest += figures.busiest * part;
        sum.swing += figures.swing * part;
    }
    println!(
        "| {} | {rule:?} | {:.0} | {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {:.3} |",
        case.name,
        sum.wait_ms,
        sum.in_target,
        sum.refused,
        sum.out_of_zone,
        sum.out_of_region,
        sum.busiest,
        sum.swing
    );
    sum
}

/// Returns the figures of all rules, the balancer's first. The balancer must not answer fewer calls
/// in time than the former rule or than calls that stay in their zone, and must not swing between
/// all and nothing.
fn compare(case: ZoneCase) -> [ZoneFigures; 4] {
    let figures: Vec<ZoneFigures> = SpillRule::iter().map(|rule| mean(&case, rule)).collect();
    let [expected, thresholds, zone_only, even] = figures.try_into().unwrap();
    let margin = 0.01;
    assert!(
        expected.in_target >= thresholds.in_target - margin,
        "{}",
        case.name
    );
    assert!(
        expected.in_target >= zone_only.in_target - margin,
        "{}",
        case.name
    );
    assert!(expected.swing <= 0.1, "{}", case.name);
    [expected, thresholds, zone_only, even]
}

/// Guards against calls that leave although nothing is gained.
#[test]
fn calls_stay_while_their_zone_has_room() {
    let [expected, ..] = compare(BASE);
    assert!(expected.out_of_zone < 0.05 && expected.out_of_region < 0.01);
}

/// Guards against calls that wait in a full zone beside one with room.
#[test]
fn a_full_zone_sends_calls_to_its_neighbour() {
    let demand = [1.3, 0.4, 0.6, 0.6];
    compare(ZoneCase {
        name: "one zone full",
        demand,
        ..BASE
    });
    compare(ZoneCase {
        name: "one zone full, short ways",
        demand,
        way_us: [200, 500, 30_000],
        ..BASE
    });
}

/// Guards against calls that are refused at home while only another region has room.
#[test]
fn a_full_region_sends_calls_to_the_other() {
    let [expected, .., even] = compare(ZoneCase {
        name: "one region full",
        demand: [1.3, 1.3, 0.4, 0.4],
        ..BASE
    });
    assert!(expected.out_of_region < even.out_of_region);
}

/// Guards against calls that go to a zone that answers nothing.
#[test]
fn a_lost_zone_is_left() {
    compare(ZoneCase {
        name: "one zone lost",
        lost_zone: Some(0),
        demand: [0.4; 4],
        ..BASE
    });
}

/// Guards against traffic between regions that gains nothing.
#[test]
fn calls_stay_when_everything_is_full() {
    let [expected, ..] = compare(ZoneCase {
        name: "all full",
        demand: [1.5; 4],
        ..BASE
    });
    assert!(expected.out_of_region < 0.1);
}

/// Guards against a decision by the usual way while the links are slow.
#[test]
fn a_zone_that_is_slower_than_it_looks_gets_few_calls() {
    let way_us = [200, 150_000, 150_000];
    let demand = [1.0, 0.4, 0.4, 0.4];
    compare(ZoneCase {
        name: "slow links",
        way_us,
        demand,
        ..BASE
    });
}

/// Guards against an idle report that draws all calls.
#[test]
fn upstreams_that_claim_to_be_idle_are_not_flooded() {
    compare(ZoneCase {
        name: "idle claims",
        demand: [1.2, 0.5, 0.5, 0.5],
        lies: true,
        ..BASE
    });
}

/// Guards against a zone with few upstreams that keeps its calls, and against slow upstreams that
/// get as many calls as fast ones.
#[test]
fn zones_with_few_or_slow_upstreams_share_their_load() {
    compare(ZoneCase {
        name: "1 of 13 upstreams",
        upstreams: [1, 4, 4, 4],
        ..BASE
    });
    compare(ZoneCase {
        name: "speeds 0.5 to 1.5",
        speeds: &[0.5, 1.0, 1.0, 1.5],
        demand: [0.8; 4],
        ..BASE
    });
    compare(ZoneCase {
        name: "30 in each zone",
        upstreams: [30; 4],
        demand: [1.2, 0.4, 0.6, 0.6],
        ..BASE
    });
}
