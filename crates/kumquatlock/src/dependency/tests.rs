//! Tests of the start share, the throttle and the pressure by rank.

use std::time::Duration;

use super::*;
use crate::core::Timestamp;

const START: Timestamp = Timestamp(1_000_000);

fn record_runs(throttle: &mut DependencyThrottle, now: Timestamp, route: &str, fate: RunFate) {
    for _ in 0..10 {
        throttle.record(now, route, fate);
    }
}

/// Guards against a share that never ends, and against one that holds everything back, so that
/// nothing shows when the callee has room again.
#[test]
fn a_share_is_never_nothing_and_ends_by_itself() {
    let mut throttle = DependencyThrottle::default();
    let mut now = START;
    for _ in 0..100 {
        record_runs(&mut throttle, now, "search", RunFate::LostCall);
        now = now + Duration::from_millis(300);
    }
    let decisions = (0..100).map(|_| throttle.admit(now, "search"));
    let started = decisions.filter(|decision| *decision == StartDecision::Start);
    assert!((5..50).contains(&started.count()));
    let later = now + Duration::from_secs(3);
    assert_eq!(throttle.admit(later, "search"), StartDecision::Start);
    assert_eq!(throttle.throttled_routes(later), 0);
}

/// Guards against routes that suffer for the lost calls of another one.
#[test]
fn routes_are_held_back_by_their_own_runs_only() {
    let mut throttle = DependencyThrottle::default();
    record_runs(&mut throttle, START, "search", RunFate::LostCall);
    record_runs(&mut throttle, START, "book", RunFate::Complete);
    assert!(throttle.share(START, "search") < 1.0);
    assert!((0..100).all(|_| throttle.admit(START, "book") == StartDecision::Start));
}

/// Guards against a table that grows with the names in messages.
#[test]
fn the_table_of_routes_is_bounded() {
    let mut throttle = DependencyThrottle::default();
    for number in 0..10_000 {
        record_runs(&mut throttle, START, &number.to_string(), RunFate::LostCall);
    }
    assert!(throttle.throttled_routes(START) <= 256);
    let mut pressure = RankPressure::default();
    for rank in (0..10_000).rev() {
        pressure.record(START, rank, true);
    }
    assert_eq!(pressure.refused_rank(START), None);
}

/// Guards against a rank that counts as refused by a single refusal, or long after the last one.
#[test]
fn a_rank_is_refused_while_a_share_of_its_requests_is() {
    let mut pressure = RankPressure::default();
    for number in 0..100 {
        pressure.record(START, 1, number % 50 == 0);
        pressure.record(START, 2, number % 2 == 0);
    }
    assert_eq!(pressure.refused_rank(START), Some(2));
    for _ in 0..50 {
        pressure.record(START, 1, true);
    }
    assert_eq!(pressure.refused_rank(START), Some(1));
    assert_eq!(pressure.refused_rank(START + Duration::from_secs(3)), None);
}
