//! Load pattern: a service is full everywhere, and each call would find that out by itself, with
//! several refusals on links that are narrow or billed.

use super::*;

const FULL: LoadReport = LoadReport {
    running: 10,
    queued: 20,
    slots: 10,
    draining: false,
    service_us: 50_000,
    held_us: 0,
    waited_us: 0,
};
/// Longer than any time for which an upstream counts as full.
const LATER: Duration = Duration::from_secs(10);

fn refused(_: &str) -> (UpstreamOutcome, u64, Option<LoadReport>) {
    (
        UpstreamOutcome::Refused(CallReason::Overloaded),
        1_000,
        Some(FULL),
    )
}

fn choice(driver: &mut BalancerDriver, rank: u32) -> UpstreamChoice {
    driver
        .balancer
        .choose(driver.now, &mut driver.rng, &[], rank)
}

/// Makes attempts of this rank until the balancer knows that all upstreams are full. Returns their
/// number.
fn attempts_until_known(driver: &mut BalancerDriver, rank: u32) -> usize {
    for attempts in 0..100 {
        let chosen = match choice(driver, rank) {
            UpstreamChoice::Chosen(chosen) => chosen,
            UpstreamChoice::None(reason) => {
                assert_eq!(reason, NoChoiceReason::AllFull);
                return attempts;
            }
        };
        let ticket = driver.balancer.start_attempt(driver.now, &chosen);
        let (outcome, latency_us, load) = refused("");
        driver.now = driver.now + Duration::from_micros(latency_us);
        driver
            .balancer
            .finish_attempt(driver.now, ticket, outcome, load);
    }
    panic!("the balancer never learns that the service is full");
}

/// Guards against calls that are sent to upstreams although all of them have just refused others.
#[test]
fn a_full_service_is_known_after_one_refusal_of_each_upstream() {
    let mut upstreams = upstreams_in(&["a", "b"], "north-1");
    upstreams.extend(upstreams_in(&["c", "d"], "north-2"));
    let mut driver = BalancerDriver::new(&upstreams);
    assert_eq!(attempts_until_known(&mut driver, 2), 4);
    // Half of the time in which 20 queued calls of 50 ms leave 10 slots.
    driver.now = driver.now + Duration::from_millis(51);
    assert!(matches!(choice(&mut driver, 2), UpstreamChoice::Chosen(_)));
}

/// Guards against urgent calls that are refused because less urgent ones were.
#[test]
fn a_refusal_says_nothing_about_calls_that_are_served_before() {
    let upstreams = upstreams_in(&["a", "b"], "north-1");
    let mut driver = BalancerDriver::new(&upstreams);
    attempts_until_known(&mut driver, 2);
    assert!(matches!(choice(&mut driver, 1), UpstreamChoice::Chosen(_)));
    let known = choice(&mut driver, 3);
    assert!(matches!(
        known,
        UpstreamChoice::None(NoChoiceReason::AllFull)
    ));
}

/// Guards against a service that stays refused after it has room again.
#[test]
fn an_answer_ends_the_time_as_full() {
    let mut driver = BalancerDriver::new(&upstreams_in(&["a"], "north-1"));
    attempts_until_known(&mut driver, 0);
    driver.now = driver.now + LATER;
    driver.run(1, answered);
    assert!(matches!(choice(&mut driver, 0), UpstreamChoice::Chosen(_)));
}

/// Guards against calls that cross regions again and again only to be refused there.
#[test]
fn a_full_upstream_in_another_region_is_asked_ever_more_rarely() {
    let mut distant = upstream("far", "south-1");
    distant.region = "south".into();
    let upstreams = [upstream("near", "north-1"), distant];
    let mut driver = BalancerDriver::new(&upstreams);
    let mut crossings = 0;
    let end = driver.now + Duration::from_secs(20);
    while driver.now < end {
        if let UpstreamChoice::Chosen(chosen) = choice(&mut driver, 0) {
            crossings += u32::from(chosen.tier == LocalityTier::CrossRegion);
            let ticket = driver.balancer.start_attempt(driver.now, &chosen);
            let (outcome, _, load) = refused("");
            driver
                .balancer
                .finish_attempt(driver.now, ticket, outcome, load);
        }
        driver.now = driver.now + Duration::from_millis(10);
    }
    // After 0.25, 0.5, 1 and 2 s, then every 4 s.
    assert!(
        (2..=9).contains(&crossings),
        "{crossings} crossings in 20 s"
    );
}
