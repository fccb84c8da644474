//! Tests of the start share and the throttle.

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
}
