//! Load pattern: a node stops while calls that it has taken wait at other nodes.

use std::time::Duration;

use kumquatlock_wire::distribution::WireClass;

use super::load::{RETRY_TIME, SLOTS, count, open_calls, work};
use super::simulation::{CallSimulation, UPSTREAMS};

/// Time that the upstreams need for a request.
const WORK_TIME: Duration = Duration::from_secs(1);
/// Time from the stop signal until answers can no longer be passed on.
const STOP_TIME: Duration = Duration::from_millis(1_500);

/// Guards against calls that a stopping node cuts off without an answer while they wait in the
/// queues of other nodes, and that run there afterwards for nobody.
#[test]
fn calls_that_wait_at_other_nodes_are_answered_before_the_entry_node_ends() {
    for class in [WireClass::AtMostOnce, WireClass::Lookup] {
        let mut simulation = CallSimulation::new(class);
        let calls = open_calls(&mut simulation, 4 * 3 * SLOTS);
        work(&mut simulation, WORK_TIME, WORK_TIME);
        let refused = count(&simulation, &calls, "not_run");
        simulation.end_entry_after(STOP_TIME);
        simulation.advance(RETRY_TIME);
        // What runs can be answered in time. Of what waits, the last calls are refused at once.
        assert_eq!(count(&simulation, &calls, "answered"), 3 * SLOTS);
        let withdrawn = count(&simulation, &calls, "not_run") - refused;
        assert!(withdrawn > 0, "calls wait that can't be answered in time");
        work(&mut simulation, WORK_TIME, WORK_TIME);
        simulation.advance(RETRY_TIME);
        assert_eq!(count(&simulation, &calls, "open"), 0);
        assert_eq!(count(&simulation, &calls, "unknown"), 0);
        simulation.end_entry();
        let answered = count(&simulation, &calls, "answered");
        let runs = simulation.runs.len();
        work(&mut simulation, WORK_TIME, 3 * WORK_TIME);
        assert_eq!((runs, simulation.runs.len()), (answered, answered));
    }
}

/// Guards against a call that runs longer than the stop lasts and is cut off without an answer.
#[test]
fn calls_that_run_until_the_end_of_the_entry_node_are_answered_as_unknown() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let calls = open_calls(&mut simulation, 5);
    simulation.end_entry_after(STOP_TIME);
    simulation.advance(STOP_TIME);
    assert_eq!(count(&simulation, &calls, "open"), 5);
    simulation.end_entry();
    assert_eq!(count(&simulation, &calls, "unknown"), 5);
}

/// Guards against calls that are sent during the stop, wait, and can't be answered before its end.
#[test]
fn a_call_that_is_sent_during_the_stop_waits_no_longer_than_the_entry_node() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let calls = open_calls(&mut simulation, 3 * SLOTS);
    work(&mut simulation, WORK_TIME, WORK_TIME);
    assert_eq!(count(&simulation, &calls, "answered"), 3 * SLOTS);
    open_calls(&mut simulation, 3 * SLOTS);
    simulation.end_entry_after(STOP_TIME);
    let runs = simulation.runs.len();
    let late = open_calls(&mut simulation, 5);
    work(&mut simulation, WORK_TIME, WORK_TIME);
    simulation.advance(RETRY_TIME);
    assert_eq!(count(&simulation, &late, "not_run"), 5);
    assert_eq!(simulation.runs.len(), runs);
}

/// Guards against calls that are cut off, with an unknown outcome, while they wait in the queue of
/// a node that stops, instead of being sent to another node.
#[test]
fn calls_that_wait_at_a_stopping_node_are_sent_to_another_one() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    let calls = open_calls(&mut simulation, 5 * 3 * SLOTS / 2);
    work(&mut simulation, WORK_TIME, WORK_TIME);
    let stopping = UPSTREAMS[0];
    assert!(simulation.in_progress(stopping) > SLOTS, "no call waits");
    simulation.end_after(stopping, WORK_TIME + WORK_TIME / 20);
    simulation.advance(RETRY_TIME);
    assert_eq!(simulation.in_progress(stopping), SLOTS);
    work(&mut simulation, WORK_TIME, WORK_TIME - RETRY_TIME);
    work(&mut simulation, WORK_TIME, 2 * WORK_TIME);
    assert_eq!(count(&simulation, &calls, "answered"), calls.len());
    assert_eq!(simulation.runs.len(), calls.len());
}

/// Guards against a stop that lasts as long as deferred calls may wait, which can be an hour.
#[test]
fn a_deferred_call_that_is_refused_during_the_stop_is_answered() {
    let mut simulation = CallSimulation::new(WireClass::Deferred);
    let calls = open_calls(&mut simulation, 1);
    let steps = simulation.entry.drain(simulation.now);
    assert!(steps.is_empty(), "the call is at work");
    simulation.refuse_next_run();
    assert_eq!(count(&simulation, &calls, "not_run"), 1);
}
