//! Calls to nodes that have started again, which the configuration does not show yet.

use std::time::Duration;

use kumquatlock_wire::distribution::WireClass;

use super::simulation::{CallSimulation, UPSTREAMS};

fn restarted_mesh(class: WireClass, service: &str) -> CallSimulation {
    let mut simulation = CallSimulation::new(class);
    for name in UPSTREAMS {
        simulation.restart(name, 2, service);
    }
    simulation
}

/// A refusal under an earlier incarnation must not be dropped as stray: the caller would wait for
/// its deadline. The upstreams drain, so that lookups that name the earlier incarnation are refused.
#[test]
fn a_refusal_states_the_incarnation_that_the_attempt_names() {
    let mut simulation = restarted_mesh(WireClass::Lookup, "booking");
    for name in UPSTREAMS {
        simulation.drain(name);
    }
    let call = simulation.open(None);
    simulation.deliver_all();
    simulation.advance(Duration::from_millis(2_500));
    assert_eq!(simulation.outcome(call), "not_run");
    assert_eq!(simulation.entry.counters().stray_answers, 0);
}
