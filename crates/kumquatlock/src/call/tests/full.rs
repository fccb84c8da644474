//! Load pattern: all upstreams of a service are full, and more calls arrive.

use std::time::Duration;

use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::distribution::WireClass;

use super::simulation::{CallSimulation, UPSTREAMS};
use crate::call::CallerAnswer;

/// Calls that fill the slots and queues of all upstreams.
const CAPACITY: usize = 90;

/// A call must be refused at once, and without a message to any node, if the entry node has just
/// been told that all upstreams are full. The refusal must be true, and must end with the overload.
#[test]
fn a_call_to_a_full_service_is_refused_at_once() {
    let mut simulation = CallSimulation::new(WireClass::AtMostOnce);
    for name in UPSTREAMS {
        simulation.hold_answers(name);
    }
    let first = simulation.open(None);
    simulation.deliver_all();
    for _ in 0..CAPACITY + 10 {
        simulation.open(None);
        simulation.deliver_all();
        simulation.advance(Duration::from_millis(10));
    }
    let refused = simulation.open(None);
    assert!(simulation.queue.is_empty(), "a full node was asked");
    let overloaded = CallerAnswer::NotRun(CallReason::Overloaded);
    assert_eq!(simulation.answers[&refused], overloaded);
    assert_eq!(simulation.outcome(first), "open");
    for name in UPSTREAMS {
        for _ in 0..CAPACITY {
            simulation.finish_next_run(name);
            simulation.deliver_all();
        }
    }
    simulation.advance(Duration::from_millis(500));
    let runs = simulation.runs.len();
    let served = simulation.open(None);
    simulation.deliver_all();
    assert_eq!(simulation.outcome(served), "open");
    assert_eq!(simulation.runs.len(), runs + 1);
}
