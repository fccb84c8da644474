//! Load pattern: a service rejects part of its calls, and the repetitions make further calls. Guards
//! against arrivals that no budget counts.

use kumquatlock_wire::call::{CallReason, CallRequest};
use kumquatlock_wire::distribution::WireClass;

use super::attempt_counters::{destination, request};
use super::simulation::{CallSimulation, booking_request};
use crate::call::*;
use crate::claim::ClaimSettings;
use crate::core::Timestamp;
use crate::retry::ExtraReason;
use crate::transport::LinkId;

const BUSY: LocalRuns = LocalRuns {
    is_idle: false,
    extra_share: 0.5,
};
const IDLE: LocalRuns = LocalRuns {
    is_idle: true,
    extra_share: 0.0,
};

/// Returns what the calls of repeated runs have cost after a call enters.
fn charged(simulation: &mut CallSimulation, runs: LocalRuns) -> f64 {
    let request = booking_request(Vec::new(), "crew 7");
    simulation.entry.open(simulation.now, request, runs);
    simulation.entry.extra_counters().taken[ExtraReason::RepeatedRun as usize]
}

/// Guards against calls of upstreams that are taken for requests of clients where no header tells.
#[test]
fn a_route_counts_as_used_by_clients_after_calls_beside_an_idle_upstream() {
    let mut settings = EntrySettings::new(4);
    settings.infers_nested_calls = true;
    let mut simulation = CallSimulation::with_entry(WireClass::Lookup, settings);
    assert_eq!(charged(&mut simulation, BUSY), 0.5);
    assert_eq!(charged(&mut simulation, IDLE), 0.5);
    assert_eq!(charged(&mut simulation, BUSY), 1.0);
    assert_eq!(charged(&mut simulation, IDLE), 1.0);
    assert_eq!(charged(&mut simulation, BUSY), 1.0);
}

/// Guards against repetitions whose calls exceed the budget, and against first arrivals that are
/// refused for it.
#[test]
fn a_node_in_debt_refuses_repetitions_only() {
    let now = Timestamp::from_millis(1);
    let mut calls = destination(now, ClaimSettings::default());
    calls.set_refuses_extra_runs(true);
    for (call_id, extra_permille, reason) in [
        (1, 0, None),
        (2, 400, None),
        (3, 1_000, Some(CallReason::BudgetSpent)),
    ] {
        let request = CallRequest {
            extra_permille,
            ..request(call_id, 1, WireClass::Lookup)
        };
        let steps = calls.on_call(now, CallSource::Link(LinkId(1)), request, false);
        let refused = steps.iter().find_map(|step| match step {
            DestinationStep::Respond { response, .. } => Some(response.reason),
            _ => None,
        });
        assert_eq!(refused, reason.map(|reason| reason as i32));
    }
    // One run of two is an extra arrival with a probability of 0.4.
    assert_eq!(calls.local_runs(now).extra_share, 0.2);
}

/// Guards against a process that takes the calls of runs it doesn't know for those of clients.
#[test]
fn an_upstream_counts_as_idle_only_some_time_after_the_start() {
    let calls = destination(Timestamp::from_millis(1), ClaimSettings::default());
    assert!(!calls.local_runs(Timestamp::from_millis(4_000)).is_idle);
    assert!(calls.local_runs(Timestamp::from_millis(6_000)).is_idle);
}
