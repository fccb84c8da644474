//! Tests of route match and upstream choice.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::call::{CallReason, LoadReport};
use kumquatlock_wire::distribution::{
    CatalogState, RouteItem, ServiceItem, SplitItem, UpstreamItem, WireState,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::core::{
    ConfigSnapshot, RouteEntry, ServiceEntry, Timestamp, route_digest, service_digest,
    upstream_digest,
};

/// Time of the first choice in each test.
const START: Timestamp = Timestamp::from_millis(1_000);

fn upstream(name: &str, zone: &str) -> UpstreamItem {
    UpstreamItem {
        name: name.into(),
        service: "booking".into(),
        zone: zone.into(),
        region: zone.split('-').next().unwrap().into(),
        node_address: "127.0.0.1:1".into(),
        incarnation: 1,
        slots: 10,
        ..UpstreamItem::default()
    }
}

fn snapshot(upstreams: &[UpstreamItem], routes: &[(&str, &str, &str)]) -> ConfigSnapshot {
    let service = ServiceItem {
        name: "booking".into(),
        patterns: vec!["*".into()],
        ..ServiceItem::default()
    };
    let route = |(name, host, prefix): &(&str, &str, &str)| RouteItem {
        name: (*name).into(),
        host: (*host).into(),
        prefix: (*prefix).into(),
        service: "booking".into(),
        ..RouteItem::default()
    };
    let routes: Vec<RouteItem> = routes.iter().map(route).collect();
    let digests = upstreams.iter().map(upstream_digest);
    let digest = digests
        .chain(routes.iter().map(route_digest))
        .fold(service_digest(&service), u64::wrapping_add);
    let state = CatalogState {
        version: 1,
        services: vec![service],
        routes,
        upstreams: upstreams.to_vec(),
        ..CatalogState::default()
    };
    ConfigSnapshot::from_state(&state, digest).unwrap()
}

fn service(upstreams: &[UpstreamItem]) -> Arc<ServiceEntry> {
    snapshot(upstreams, &[]).services["booking"].clone()
}

fn location(name: &str) -> EntryLocation {
    EntryLocation {
        name: name.into(),
        zone: "north-1".into(),
        region: "north".into(),
    }
}

/// Drives a balancer with one call after the other.
struct CallDriver {
    balancer: UpstreamBalancer,
    rng: SmallRng,
    now: Timestamp,
}

impl CallDriver {
    fn new(upstreams: &[UpstreamItem]) -> Self {
        CallDriver {
            balancer: UpstreamBalancer::new(location("entry"), &service(upstreams), START),
            rng: SmallRng::seed_from_u64(7),
            now: START,
        }
    }

    fn choose(&mut self) -> ChosenUpstream {
        match self.balancer.choose(self.now, &mut self.rng, &[]) {
            UpstreamChoice::Chosen(chosen) => chosen,
            UpstreamChoice::None(reason) => panic!("no choice: {reason:?}"),
        }
    }

    /// Makes `calls` calls 1 ms apart and counts them by upstream.
    fn run(
        &mut self,
        calls: u32,
        outcome: impl Fn(&str) -> (UpstreamOutcome, u64, Option<LoadReport>),
    ) -> IndexMap<String, u32> {
        let mut counts = IndexMap::new();
        for _ in 0..calls {
            let chosen = self.choose();
            let ticket = self.balancer.start_attempt(self.now, &chosen);
            let (outcome, latency_us, load) = outcome(&chosen.entry.name);
            let end = self.now + Duration::from_micros(latency_us);
            self.balancer.finish_attempt(end, ticket, outcome, load);
            *counts.entry(chosen.entry.name.to_string()).or_default() += 1;
            self.now = end + Duration::from_millis(1);
        }
        counts
    }
}

fn answered(_: &str) -> (UpstreamOutcome, u64, Option<LoadReport>) {
    (UpstreamOutcome::Answered, 1_000, None)
}

fn zone_of(names: &[&str], zone: &str) -> Vec<UpstreamItem> {
    names.iter().map(|name| upstream(name, zone)).collect()
}

/// Guards against a prefix that matches half a segment, and against a host's route that loses to
/// a longer one for any host.
#[test]
fn the_longest_whole_prefix_of_the_host_wins() {
    let table = RouteTable::new(&snapshot(
        &[],
        &[
            ("root", "", "/"),
            ("book", "", "/booking"),
            ("deep", "", "/booking/deposit/"),
            ("hosted", "kranjc.si", "/booking"),
        ],
    ));
    let find = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    let expect = |name: &str| Some(name.to_owned());
    assert_eq!(find("x", "/bookings"), expect("root"));
    assert_eq!(find("x", "/booking?a=/b"), expect("book"));
    assert_eq!(find("x", "/booking/deposit"), expect("deep"));
    assert_eq!(find("x", "/booking/deposits/1"), expect("book"));
    assert_eq!(find("KRANJC.si.:80", "/booking/deposit"), expect("hosted"));
    assert_eq!(find("kranjc.si", "/other"), expect("root"));
    assert_eq!(find("[::1]:80", "/"), expect("root"));
}

/// Guards against an at-most-once path that is reached under the class of another route.
#[test]
fn a_path_with_dot_segments_has_no_route() {
    let table = RouteTable::new(&snapshot(&[], &[("lots", "", "/lots")]));
    for path in [
        "/lots/../book",
        "/lots/%2e%2E/book",
        "/lots/./x",
        "/lots/.%2e",
    ] {
        assert!(table.find("x", path).is_none(), "{path}");
    }
    assert!(table.find("x", "/lots/...").is_some());
    assert!(table.find("x", "/lots/.a").is_some());
}

/// Guards against entries that all keep the same few upstreams, and against a subset that one
/// zone's failure empties.
#[test]
fn subsets_spread_and_reach_beyond_the_zone() {
    let mut items = Vec::new();
    for index in 0..300 {
        let zone = ["north-1", "north-2", "south-1", "east-1"][index % 4];
        items.push(upstream(&format!("u{index}"), zone));
    }
    let service = service(&items);
    let mut seats: IndexMap<String, u32> = IndexMap::new();
    for entry in 0..300 {
        let location = location(&format!("entry-{entry}"));
        let balancer = UpstreamBalancer::new(location, &service, START);
        let tiers: Vec<LocalityTier> = balancer.subset().map(|(tier, _)| tier).collect();
        assert!(tiers.is_sorted() && tiers.len() == SUBSET_SIZE);
        assert_eq!(
            tiers[7..10],
            [
                LocalityTier::Zone,
                LocalityTier::Region,
                LocalityTier::Region
            ]
        );
        let remote: Vec<_> = balancer
            .subset()
            .skip(10)
            .map(|(_, entry)| &entry.region)
            .collect();
        assert_ne!(remote[0], remote[1]);
        for (_, entry) in balancer.subset().take(8) {
            *seats.entry(entry.name.to_string()).or_default() += 1;
        }
    }
    // 300 entries × 8 seats over 75 upstreams: 32 each on average.
    assert_eq!(seats.len(), 75);
    assert!(
        seats.values().all(|seats| (12..=60).contains(seats)),
        "{seats:?}"
    );
}

/// Guards against an upstream that leaves and still gets work: learned from a refusal while the
/// source is down, or from the snapshot.
#[test]
fn a_draining_upstream_gets_no_new_work() {
    let mut items = zone_of(&["a", "b", "c"], "north-1");
    let mut driver = CallDriver::new(&items);
    let leaving = LoadReport {
        draining: true,
        ..LoadReport::default()
    };
    let refused = (
        UpstreamOutcome::Refused(CallReason::Draining),
        100,
        Some(leaving),
    );
    let outcome = |name: &str| if name == "a" { refused } else { answered(name) };
    let counts = driver.run(500, outcome);
    assert_eq!(counts["a"], 1);

    items[1].state = WireState::Draining as i32;
    driver.balancer.apply(&service(&items), driver.now);
    assert_eq!(driver.run(100, answered).keys().collect::<Vec<_>>(), ["c"]);
}

/// Guards against lost state at each change of the configuration, and against state of an old
/// incarnation that is held against its successor.
#[test]
fn state_survives_a_snapshot_but_not_a_restart() {
    let mut items = zone_of(&["a", "b"], "north-1");
    let mut driver = CallDriver::new(&items);
    let refused = (
        UpstreamOutcome::Refused(CallReason::WrongIncarnation),
        100,
        None,
    );
    let outcome = |name: &str| if name == "a" { refused } else { answered(name) };
    assert_eq!(driver.run(100, outcome)["a"], 1);
    items.push(upstream("c", "north-1"));
    driver.balancer.apply(&service(&items), driver.now);
    assert!(!driver.run(100, answered).contains_key("a"));
    items[0].incarnation = 2;
    driver.balancer.apply(&service(&items), driver.now);
    assert!(driver.run(5_000, answered).contains_key("a"));
}

/// Guards against a health endpoint that lies: "healthy" must not bring a failing upstream back,
/// "unhealthy" must not take a working one away.
#[test]
fn health_hints_only_lower_a_weight() {
    let mut driver = CallDriver::new(&zone_of(&["liar", "b", "c", "d"], "north-1"));
    let fails = (UpstreamOutcome::Failed, 100, None);
    let outcome = |name: &str| {
        if name == "liar" {
            fails
        } else {
            answered(name)
        }
    };
    let mut failed = 0;
    for _ in 0..20 {
        driver
            .balancer
            .apply_hint(driver.now, "liar", HealthHint::Healthy);
        failed += driver.run(100, outcome).get("liar").copied().unwrap_or(0);
    }
    assert!(failed < 20, "{failed} of 2,000 calls to a failing upstream");

    let mut driver = CallDriver::new(&zone_of(&["sick", "b", "c", "d"], "north-1"));
    driver
        .balancer
        .apply_hint(driver.now, "sick", HealthHint::Unhealthy);
    let counts = driver.run(1_000, answered);
    assert!((30..200).contains(&counts["sick"]), "{counts:?}");
}

/// Guards against a slow upstream that keeps an even share of the calls.
#[test]
fn a_slow_upstream_gets_a_small_share() {
    let mut driver = CallDriver::new(&zone_of(&["slow", "b", "c", "d"], "north-1"));
    let slow = (UpstreamOutcome::Answered, 20_000, None);
    let outcome = |name: &str| if name == "slow" { slow } else { answered(name) };
    let counts = driver.run(2_000, outcome);
    assert!((1..100).contains(&counts["slow"]), "{counts:?}");
}

/// Guards against an upstream that refuses at once and so looks fast and idle.
#[test]
fn fast_refusals_do_not_attract_calls() {
    let mut driver = CallDriver::new(&zone_of(&["refuses", "b", "c", "d"], "north-1"));
    let refused = UpstreamOutcome::Refused(CallReason::Overloaded);
    let idle = LoadReport {
        slots: 10,
        ..LoadReport::default()
    };
    let outcome = |name: &str| match name {
        "refuses" => (refused, 50, Some(idle)),
        _ => (UpstreamOutcome::Answered, 5_000, Some(idle)),
    };
    let counts = driver.run(2_000, outcome);
    assert!(counts["refuses"] < 40, "{counts:?}");
}

/// Guards against a lost zone whose callers keep trying it, or leave the region while the rest
/// of it works.
#[test]
fn a_lost_zone_spills_within_the_region() {
    let mut items = zone_of(&["a1", "a2", "a3"], "north-1");
    items.extend(zone_of(&["b1", "b2", "b3"], "north-2"));
    items.extend(zone_of(&["c1", "c2"], "south-1"));
    let mut driver = CallDriver::new(&items);
    let near = driver.run(200, answered);
    assert!(near.keys().all(|name| name.starts_with('a')), "{near:?}");
    let lost = (UpstreamOutcome::Unreachable, 1_000, None);
    let outcome = |name: &str| {
        if name.starts_with('a') {
            lost
        } else {
            answered(name)
        }
    };
    let counts = driver.run(1_000, outcome);
    let tried: u32 = ["a1", "a2", "a3"]
        .iter()
        .filter_map(|name| counts.get(*name))
        .sum();
    assert!(tried < 15, "{counts:?}");
    assert_eq!(driver.balancer.counters().cross_region(), 0);

    let lost_region = |name: &str| {
        if name.starts_with('c') {
            answered(name)
        } else {
            lost
        }
    };
    let remote = driver.run(100, lost_region);
    let paid = remote["c1"] + remote["c2"];
    assert!(paid > 80, "{remote:?}");
    assert_eq!(driver.balancer.counters().cross_region(), u64::from(paid));
}

/// Guards against paid traffic while the region has room, and calls that queue while it has.
#[test]
fn a_saturated_ring_spills_to_the_next() {
    let mut items = zone_of(&["a"], "north-1");
    items.extend(zone_of(&["b"], "north-2"));
    items.extend(zone_of(&["c"], "south-1"));
    let mut driver = CallDriver::new(&items);
    let mut names = Vec::new();
    for _ in 0..50 {
        let chosen = driver.choose();
        let _in_flight = driver.balancer.start_attempt(driver.now, &chosen);
        names.push(chosen.entry.name.to_string());
    }
    assert!(names[..10].iter().all(|name| name == "a"));
    assert!(names[10..30].iter().all(|name| name == "b"));
    assert!(names[30..40].iter().all(|name| name == "c"));
    assert!(names[40..].iter().all(|name| name != "c"));
    assert_eq!(driver.balancer.counters().saturated, 10);
}

/// Guards against a new upstream that gets a full share before its caches are warm.
#[test]
fn a_cold_upstream_is_not_flooded() {
    let mut items = zone_of(&["a", "b", "c"], "north-1");
    let mut driver = CallDriver::new(&items);
    driver.run(100, answered);
    items.push(upstream("cold", "north-1"));
    driver.balancer.apply(&service(&items), driver.now);
    let share = |counts: IndexMap<String, u32>| counts.get("cold").copied().unwrap_or(0);
    let first = share(driver.run(500, answered));
    assert!(
        (1..75).contains(&first),
        "{first} of 500 calls in the first second"
    );
    driver.run(4_500, answered);
    let warm = share(driver.run(1_000, answered));
    assert!(warm > 180, "{warm} of 1,000 calls after ten seconds");
}

/// Guards against a wrong observation that leaves all calls to the few upstreams that look well.
#[test]
fn ejection_is_ignored_when_most_look_bad() {
    let mut driver = CallDriver::new(&zone_of(&["a", "b", "c", "d"], "north-1"));
    let fails = (UpstreamOutcome::Unreachable, 100, None);
    let outcome = |name: &str| if name == "d" { answered(name) } else { fails };
    let counts = driver.run(400, outcome);
    assert!(driver.balancer.counters().panic > 0);
    assert!(counts["d"] < 390, "{counts:?}");
    let all = driver.run(200, |_| fails);
    assert!(all.len() == 4, "{all:?}");
}

/// Guards against calls that are lost to a zone whose links went silent, in the seconds until
/// the links are closed, and against hedges that make a working tier look silent.
#[test]
fn a_silent_zone_is_avoided_before_its_links_close() {
    let mut items = zone_of(&["a1", "a2"], "north-1");
    items.extend(zone_of(&["b1", "b2"], "north-2"));
    let mut driver = CallDriver::new(&items);
    driver.run(100, answered);
    // Each call is withdrawn when a hedge answers, so it never counts as failed.
    let withdrawn = |after_us: u64| {
        move |name: &str| match name.starts_with('a') {
            true => (UpstreamOutcome::Cancelled, after_us, None),
            false => answered(name),
        }
    };
    let from_zone = |counts: IndexMap<String, u32>| {
        let names = ["a1", "a2"].iter();
        names.filter_map(|name| counts.get(*name)).sum::<u32>()
    };
    assert_eq!(from_zone(driver.run(100, withdrawn(500))), 100);
    let lost = from_zone(driver.run(450, withdrawn(3_000)));
    assert!((3..15).contains(&lost), "{lost} of 450 calls");
    driver.run(1_000, answered);
    assert_eq!(from_zone(driver.run(100, answered)), 100);
}

/// Guards against an attempt that returns to an upstream that the call already tried.
#[test]
fn excluded_upstreams_are_not_chosen() {
    let mut driver = CallDriver::new(&zone_of(&["a", "b"], "north-1"));
    let first = driver.choose().token;
    for _ in 0..50 {
        let choice = driver
            .balancer
            .choose(driver.now, &mut driver.rng, &[first]);
        assert!(matches!(choice, UpstreamChoice::Chosen(chosen) if chosen.token != first));
    }
    let tokens = [UpstreamToken(1), UpstreamToken(2)];
    let choice = driver.balancer.choose(driver.now, &mut driver.rng, &tokens);
    assert!(matches!(
        choice,
        UpstreamChoice::None(NoChoiceReason::AllExcluded)
    ));
}

fn split_route(parts: &[(&str, u32)]) -> Arc<RouteEntry> {
    let split = parts.iter().map(|(service, weight)| SplitItem {
        service: (*service).into(),
        weight: *weight,
    });
    let item = RouteItem {
        name: "look".into(),
        prefix: "/".into(),
        service: parts[0].0.into(),
        split: split.collect(),
        ..RouteItem::default()
    };
    let services = parts.iter().map(|(name, _)| ServiceItem {
        name: (*name).into(),
        ..ServiceItem::default()
    });
    let services: Vec<ServiceItem> = services.collect();
    let digests = services.iter().map(service_digest);
    let digest = digests.fold(route_digest(&item), u64::wrapping_add);
    let state = CatalogState {
        version: 1,
        services,
        routes: vec![item],
        ..CatalogState::default()
    };
    let snapshot = ConfigSnapshot::from_state(&state, digest).unwrap();
    snapshot.routes[0].clone()
}

/// Guards against shares that are kept only over many calls: a node of little traffic must give
/// each part its own.
#[test]
fn parts_of_a_split_get_their_share_within_few_calls() {
    let route = split_route(&[("old", 900), ("new", 100), ("off", 0)]);
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut split = SplitChooser::default();
        for _ in 0..10 {
            let chosen: Vec<_> = (0..20).map(|_| split.choose(&route, &mut random)).collect();
            let new = chosen.iter().filter(|name| &***name == "new").count();
            assert!((1..=3).contains(&new), "{new} of 20 calls");
            assert!(chosen.iter().all(|name| &**name != "off"));
        }
    }
}

/// Guards against nodes that all send their first call to the same part, and against weights that
/// take effect only after the credit of the former ones is spent.
#[test]
fn a_split_starts_anywhere_and_follows_new_weights() {
    let route = split_route(&[("old", 500), ("new", 500)]);
    let first = |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        SplitChooser::default().choose(&route, &mut random)
    };
    let old = (0..100).filter(|seed| &*first(*seed) == "old").count();
    assert!(
        (30..=70).contains(&old),
        "{old} of 100 nodes start with the same part"
    );
    let moved = split_route(&[("old", 0), ("new", 1)]);
    let mut random = SmallRng::seed_from_u64(1);
    let mut split = SplitChooser::default();
    split.choose(&route, &mut random);
    assert!((0..20).all(|_| &*split.choose(&moved, &mut random) == "new"));
}

/// Guards against calls that cross a link although the upstream beside the entry is free, and
/// against an entry that fills its own upstream while others are free.
#[test]
fn the_upstream_beside_the_entry_is_used_while_it_has_room() {
    let upstreams = zone_of(&["entry", "b-1", "b-2"], "north-1");
    let mut driver = CallDriver::new(&upstreams);
    driver.now = START + Duration::from_secs(60);
    let counts = driver.run(50, answered);
    assert_eq!(counts.get("entry"), Some(&50));
    // The calls stay open now: eight of ten slots are its own, the others go elsewhere.
    let mut open = IndexMap::<String, u32>::new();
    for _ in 0..20 {
        let chosen = driver.choose();
        let _ = driver.balancer.start_attempt(driver.now, &chosen);
        *open.entry(chosen.entry.name.to_string()).or_default() += 1;
    }
    assert!(open["entry"] >= 8, "{open:?}");
    assert!(open.values().all(|count| *count <= 10), "{open:?}");
}

/// Guards against an entry that goes on using its own upstream although that one fails.
#[test]
fn a_failing_upstream_beside_the_entry_is_left() {
    let upstreams = zone_of(&["entry", "b-1", "b-2"], "north-1");
    let mut driver = CallDriver::new(&upstreams);
    driver.now = START + Duration::from_secs(60);
    let counts = driver.run(200, |name| match name {
        "entry" => (UpstreamOutcome::Failed, 1_000, None),
        _ => answered(name),
    });
    assert!(counts["entry"] < 100, "{counts:?}");
}
