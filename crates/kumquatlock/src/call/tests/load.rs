//! Upstreams that work on many calls at the same time.

use std::time::Duration;

use super::simulation::{CallSimulation, UPSTREAMS};
use crate::call::CallId;

/// Slots of each upstream.
pub(super) const SLOTS: usize = 10;
/// Time in which a refused call has been offered to all upstreams.
pub(super) const RETRY_TIME: Duration = Duration::from_millis(50);

/// Opens `calls` calls without a key, which the upstreams answer only in [`work`].
pub(super) fn open_calls(simulation: &mut CallSimulation, calls: usize) -> Vec<CallId> {
    simulation.timeout_ms = Some("10000");
    for name in UPSTREAMS {
        simulation.hold_answers(name);
    }
    let open = |_| {
        let call = simulation.open(None);
        simulation.deliver_all();
        call
    };
    (0..calls).map(open).collect()
}

/// Lets all upstreams answer what they are running after each `turn`, and after `duration`.
pub(super) fn work(simulation: &mut CallSimulation, turn: Duration, duration: Duration) {
    let end = simulation.now + duration;
    while simulation.now < end {
        let left = end.since(simulation.now);
        simulation.advance(left.min(turn));
        for name in UPSTREAMS {
            for _ in 0..simulation.running(name) {
                simulation.finish_next_run(name);
            }
        }
        simulation.deliver_all();
    }
}

/// Returns how many of the calls have an outcome.
pub(super) fn count(simulation: &CallSimulation, calls: &[CallId], outcome: &str) -> usize {
    let outcomes = calls.iter().map(|call| simulation.outcome(*call));
    outcomes.filter(|found| *found == outcome).count()
}
