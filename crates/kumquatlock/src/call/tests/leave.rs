//! Load pattern: an upstream leaves while calls wait for it.

use std::time::Duration;

use kumquatlock_wire::distribution::WireClass;

use super::load::{RETRY_TIME, SLOTS, count, open_calls, work};
use super::simulation::{CallSimulation, UPSTREAMS};
use crate::call::EntrySettings;

const LEAVING: &str = UPSTREAMS[0];
/// Time within which the calls that wait for a leaving upstream must be answered; the default of
/// the node.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// Work of an upstream that answers no waiting call before it leaves.
const SLOW_WORK: Duration = Duration::from_secs(3);
/// Work of an upstream that answers all waiting calls before it leaves.
const QUICK_WORK: Duration = Duration::from_millis(100);
/// Calls that fill all slots, and some places in each queue.
const CALLS: usize = 5 * 3 * SLOTS / 2;

fn runs_at(simulation: &CallSimulation, name: &str) -> usize {
    simulation.runs.iter().filter(|run| *run == name).count()
}

/// Guards against calls that start at an upstream seconds after its leave was acknowledged, and are
/// lost when it ends.
#[test]
fn calls_that_wait_for_a_slow_leaving_upstream_go_to_others_at_once() {
    for class in [WireClass::AtMostOnce, WireClass::Lookup] {
        let mut simulation = CallSimulation::new(class);
        let calls = open_calls(&mut simulation, CALLS);
        work(&mut simulation, SLOW_WORK, SLOW_WORK);
        assert!(simulation.in_progress(LEAVING) > SLOTS, "no call waits");
        let runs = runs_at(&simulation, LEAVING);
        simulation.leave(LEAVING);
        simulation.deliver_all();
        assert_eq!(simulation.in_progress(LEAVING), SLOTS);
        work(&mut simulation, SLOW_WORK, 2 * SLOW_WORK);
        assert_eq!(runs_at(&simulation, LEAVING), runs);
        assert_eq!(count(&simulation, &calls, "answered"), CALLS);
        assert_eq!(simulation.runs.len(), CALLS, "a call ran twice");
    }
}

/// Guards against a wave of calls at the other upstreams when the leaving one can still answer those
/// that wait for it.
#[test]
fn calls_that_a_leaving_upstream_answers_soon_stay() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let calls = open_calls(&mut simulation, CALLS);
    work(&mut simulation, QUICK_WORK, QUICK_WORK);
    let waiting = simulation.in_progress(LEAVING) - SLOTS;
    assert!(waiting > 0, "no call waits");
    let runs = runs_at(&simulation, LEAVING);
    simulation.leave(LEAVING);
    simulation.deliver_all();
    work(&mut simulation, QUICK_WORK, 3 * QUICK_WORK);
    assert_eq!(runs_at(&simulation, LEAVING), runs + waiting);
    assert_eq!(count(&simulation, &calls, "answered"), CALLS);
}

/// Guards against calls that wait without limit because the upstream has not answered any request
/// yet, so that its service time is unknown.
#[test]
fn calls_that_wait_for_a_leaving_upstream_of_unknown_speed_start_in_time_or_elsewhere() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let calls = open_calls(&mut simulation, CALLS);
    simulation.leave(LEAVING);
    simulation.advance(LEAVE_TIME);
    assert_eq!(simulation.in_progress(LEAVING), SLOTS);
    let runs = runs_at(&simulation, LEAVING);
    work(&mut simulation, QUICK_WORK, 5 * QUICK_WORK);
    assert_eq!(runs_at(&simulation, LEAVING), runs);
    // The queues of the other two have no place for all of them.
    let answered = count(&simulation, &calls, "answered");
    assert_eq!(answered + count(&simulation, &calls, "not_run"), CALLS);
    assert_eq!(simulation.runs.len(), answered);
}

/// Guards against callers that wait for their deadline although no other upstream takes their calls.
#[test]
fn calls_that_wait_for_the_last_upstream_are_refused_at_once() {
    let mut settings = EntrySettings::new(4);
    settings.upstream_wait = Duration::ZERO;
    let mut simulation = CallSimulation::with_entry(WireClass::AtMostOnce, settings);
    let calls = open_calls(&mut simulation, CALLS);
    work(&mut simulation, SLOW_WORK, SLOW_WORK);
    let running: usize = UPSTREAMS.iter().map(|name| simulation.running(name)).sum();
    for name in UPSTREAMS {
        simulation.leave(name);
    }
    simulation.advance(RETRY_TIME);
    let answered = count(&simulation, &calls, "answered");
    let refused = count(&simulation, &calls, "not_run");
    assert_eq!(answered + running + refused, CALLS);
    assert!(refused > 0, "no call waited");
}
