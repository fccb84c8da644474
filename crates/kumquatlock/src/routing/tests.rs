//! Tests of route matching and of the choice of an upstream.

mod full;
mod zones;

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

/// Drives a balancer with sequential calls.
struct BalancerDriver {
    balancer: UpstreamBalancer,
    rng: SmallRng,
    now: Timestamp,
}

impl BalancerDriver {
    fn new(upstreams: &[UpstreamItem]) -> Self {
        BalancerDriver {
            balancer: UpstreamBalancer::new(location("entry"), &service(upstreams), START),
            rng: SmallRng::seed_from_u64(7),
            now: START,
        }
    }

    fn choose(&mut self) -> ChosenUpstream {
        match self.balancer.choose(self.now, &mut self.rng, &[], 0) {
            UpstreamChoice::Chosen(chosen) => chosen,
            UpstreamChoice::None(reason) => panic!("no upstream was chosen: {reason:?}"),
        }
    }

    /// Makes `calls` calls, each 1 ms after the end of the previous one, and counts them by
    /// upstream.
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

fn upstreams_in(names: &[&str], zone: &str) -> Vec<UpstreamItem> {
    names.iter().map(|name| upstream(name, zone)).collect()
}

/// A prefix must not match part of a path segment, and a route for the host must take precedence
/// over a longer prefix for any host.
#[test]
fn the_longest_prefix_for_the_host_matches() {
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

/// A path must not reach an at-most-once route under the class of another route.
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

/// Entry nodes must not all select the same few upstreams, and the failure of one zone must not
/// leave a subset without upstreams.
#[test]
fn subsets_differ_and_include_upstreams_beyond_the_zone() {
    let mut items = Vec::new();
    for index in 0..300 {
        let zone = ["north-1", "north-2", "south-1", "east-1"][index % 4];
        items.push(upstream(&format!("u{index}"), zone));
    }
    let service = service(&items);
    let mut uses: IndexMap<String, u32> = IndexMap::new();
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
            *uses.entry(entry.name.to_string()).or_default() += 1;
        }
    }
    // 300 entry nodes select 8 upstreams each from 75, so each upstream is selected 32 times on
    // average.
    assert_eq!(uses.len(), 75);
    assert!(
        uses.values().all(|uses| (12..=60).contains(uses)),
        "{uses:?}"
    );
}

/// A leaving upstream must get no new work, whether this is learned from a refusal while the
/// configuration source is down or from the snapshot.
#[test]
fn a_draining_upstream_gets_no_new_work() {
    let mut items = upstreams_in(&["a", "b", "c"], "north-1");
    let mut driver = BalancerDriver::new(&items);
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

/// Statistics must survive a configuration change, but those of an old incarnation must not be
/// applied to its successor.
#[test]
fn statistics_survive_a_snapshot_but_not_a_restart() {
    let mut items = upstreams_in(&["a", "b"], "north-1");
    let mut driver = BalancerDriver::new(&items);
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

/// A health endpoint that reports the wrong state must have a limited effect: "healthy" must not
/// bring a failing upstream back, and "unhealthy" must not exclude a working one.
#[test]
fn health_hints_only_lower_the_weight() {
    let mut driver = BalancerDriver::new(&upstreams_in(&["liar", "b", "c", "d"], "north-1"));
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

    let mut driver = BalancerDriver::new(&upstreams_in(&["sick", "b", "c", "d"], "north-1"));
    driver
        .balancer
        .apply_hint(driver.now, "sick", HealthHint::Unhealthy);
    let counts = driver.run(1_000, answered);
    assert!((30..200).contains(&counts["sick"]), "{counts:?}");
}

/// A slow upstream must not get an even share of the calls.
#[test]
fn a_slow_upstream_gets_a_small_share() {
    let mut driver = BalancerDriver::new(&upstreams_in(&["slow", "b", "c", "d"], "north-1"));
    let slow = (UpstreamOutcome::Answered, 20_000, None);
    let outcome = |name: &str| if name == "slow" { slow } else { answered(name) };
    let counts = driver.run(2_000, outcome);
    assert!((1..100).contains(&counts["slow"]), "{counts:?}");
}

/// An upstream that refuses at once must not attract calls by appearing fast and idle.
#[test]
fn fast_refusals_do_not_attract_calls() {
    let mut driver = BalancerDriver::new(&upstreams_in(&["refuses", "b", "c", "d"], "north-1"));
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

/// When a zone is lost, callers must stop trying it, and must not leave the region while the rest
/// of the region works.
#[test]
fn calls_to_a_lost_zone_spill_within_the_region() {
    let mut items = upstreams_in(&["a1", "a2", "a3"], "north-1");
    items.extend(upstreams_in(&["b1", "b2", "b3"], "north-2"));
    items.extend(upstreams_in(&["c1", "c2"], "south-1"));
    let mut driver = BalancerDriver::new(&items);
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
    let cross_region = remote["c1"] + remote["c2"];
    assert!(cross_region > 80, "{remote:?}");
    assert_eq!(
        driver.balancer.counters().cross_region(),
        u64::from(cross_region)
    );
}

/// Calls must not leave the region while it has capacity, because that traffic is billed, must not
/// queue while another zone of the region is free, and must leave the region before their wait there
/// exceeds the way and its cost.
#[test]
fn a_saturated_tier_spills_into_the_next() {
    let mut items = upstreams_in(&["a"], "north-1");
    items.extend(upstreams_in(&["b"], "north-2"));
    items.extend(upstreams_in(&["c"], "south-1"));
    let mut driver = BalancerDriver::new(&items);
    driver.balancer.set_spill_settings(SpillSettings {
        zone_cost_per_kib: Duration::from_millis(1),
        region_cost_per_kib: Duration::from_millis(10),
    });
    let idle = LoadReport {
        slots: 10,
        service_us: 200_000,
        ..LoadReport::default()
    };
    let mut tokens = Vec::new();
    for _ in 0..3 {
        let choice = driver
            .balancer
            .choose(driver.now, &mut driver.rng, &tokens, 0);
        let UpstreamChoice::Chosen(chosen) = choice else {
            panic!("an idle upstream was not chosen");
        };
        tokens.push(chosen.token);
        let ticket = driver.balancer.start_attempt(driver.now, &chosen);
        let outcome = UpstreamOutcome::Answered;
        driver
            .balancer
            .finish_attempt(driver.now, ticket, outcome, Some(idle));
    }
    let before = driver.balancer.counters();
    let mut names = Vec::new();
    for _ in 0..50 {
        let chosen = driver.choose();
        let _in_flight = driver.balancer.start_attempt(driver.now, &chosen);
        names.push(chosen.entry.name.to_string());
    }
    assert!(names[..10].iter().all(|name| name == "a"), "{names:?}");
    assert!(names[10..20].iter().all(|name| name == "b"), "{names:?}");
    // Twelve calls at ten slots: the next one waits for 60 ms, the way there and back.
    assert!(names[20..24].iter().all(|name| name != "c"), "{names:?}");
    let count = |name: &str| names.iter().filter(|chosen| *chosen == name).count();
    assert!(
        count("c") >= 10 && count("a") <= 20 && count("b") <= 20,
        "{names:?}"
    );
    let saturated = driver.balancer.counters().saturated - before.saturated;
    assert_eq!(saturated, 20, "{names:?}");
}

/// A new upstream must not get a full share of the calls before its caches are warm.
#[test]
fn a_cold_upstream_is_not_flooded() {
    let mut items = upstreams_in(&["a", "b", "c"], "north-1");
    let mut driver = BalancerDriver::new(&items);
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

/// A wrong observation must not direct all calls to the few upstreams that look healthy.
#[test]
fn ejection_is_ignored_when_most_look_bad() {
    let mut driver = BalancerDriver::new(&upstreams_in(&["a", "b", "c", "d"], "north-1"));
    let fails = (UpstreamOutcome::Unreachable, 100, None);
    let outcome = |name: &str| if name == "d" { answered(name) } else { fails };
    let counts = driver.run(400, outcome);
    assert!(driver.balancer.counters().panic > 0);
    assert!(counts["d"] < 390, "{counts:?}");
    let all = driver.run(200, |_| fails);
    assert!(all.len() == 4, "{all:?}");
}

/// Calls must avoid a zone whose links went silent before these links are closed, which takes
/// seconds. Hedges that are cancelled early must not make a working tier look silent.
#[test]
fn a_silent_zone_is_avoided_before_its_links_close() {
    let mut items = upstreams_in(&["a1", "a2"], "north-1");
    items.extend(upstreams_in(&["b1", "b2"], "north-2"));
    let mut driver = BalancerDriver::new(&items);
    driver.run(100, answered);
    // Each call is cancelled when a hedge answers, so it never counts as failed.
    let cancelled = |after_us: u64| {
        move |name: &str| match name.starts_with('a') {
            true => (UpstreamOutcome::Cancelled, after_us, None),
            false => answered(name),
        }
    };
    let from_zone = |counts: IndexMap<String, u32>| {
        let names = ["a1", "a2"].iter();
        names.filter_map(|name| counts.get(*name)).sum::<u32>()
    };
    assert_eq!(from_zone(driver.run(100, cancelled(500))), 100);
    let lost = from_zone(driver.run(450, cancelled(3_000)));
    assert!((3..15).contains(&lost), "{lost} of 450 calls");
    driver.run(1_000, answered);
    assert_eq!(from_zone(driver.run(100, answered)), 100);
}

/// An attempt must not return to an upstream that the call already tried.
#[test]
fn excluded_upstreams_are_not_chosen() {
    let mut driver = BalancerDriver::new(&upstreams_in(&["a", "b"], "north-1"));
    let first = driver.choose().token;
    for _ in 0..50 {
        let choice = driver
            .balancer
            .choose(driver.now, &mut driver.rng, &[first], 0);
        assert!(matches!(choice, UpstreamChoice::Chosen(chosen) if chosen.token != first));
    }
    let tokens = [UpstreamToken(1), UpstreamToken(2)];
    let choice = driver
        .balancer
        .choose(driver.now, &mut driver.rng, &tokens, 0);
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

/// The shares of a split must be accurate even over a few calls, so that they also hold on a node
/// with little traffic.
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

/// Nodes must not all send their first call to the same part, and new weights must apply at once,
/// not only after the credit from the old weights is used up.
#[test]
fn a_split_starts_at_a_random_part_and_follows_new_weights() {
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

/// Calls must not cross a link while the upstream beside the entry node is free, and must not fill
/// that upstream while others are free.
#[test]
fn the_upstream_beside_the_entry_is_used_while_it_has_room() {
    let upstreams = upstreams_in(&["entry", "b-1", "b-2"], "north-1");
    let mut driver = BalancerDriver::new(&upstreams);
    driver.now = START + Duration::from_secs(60);
    let counts = driver.run(50, answered);
    assert_eq!(counts.get("entry"), Some(&50));
    // From here on the calls stay open: eight of ten slots of the local upstream are used first,
    // then other upstreams.
    let mut open = IndexMap::<String, u32>::new();
    for _ in 0..20 {
        let chosen = driver.choose();
        let _ = driver.balancer.start_attempt(driver.now, &chosen);
        *open.entry(chosen.entry.name.to_string()).or_default() += 1;
    }
    assert!(open["entry"] >= 8, "{open:?}");
    assert!(open.values().all(|count| *count <= 10), "{open:?}");
}

/// An entry node must not keep using the upstream beside it while that upstream fails.
#[test]
fn a_failing_upstream_beside_the_entry_is_avoided() {
    let upstreams = upstreams_in(&["entry", "b-1", "b-2"], "north-1");
    let mut driver = BalancerDriver::new(&upstreams);
    driver.now = START + Duration::from_secs(60);
    let counts = driver.run(200, |name| match name {
        "entry" => (UpstreamOutcome::Failed, 1_000, None),
        _ => answered(name),
    });
    assert!(counts["entry"] < 100, "{counts:?}");
}
