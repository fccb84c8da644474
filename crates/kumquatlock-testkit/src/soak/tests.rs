//! Tests of the plan and of every check: each must find what it is there for, and nothing else.

use std::time::Duration;

use strum::IntoEnumIterator;

use super::SoakOptions;
use super::check::{
    CallEnd, CallKind, SoakCall, SoakHistory, SoakTime, Submission, SubmitEnd, ViolationKind,
};
use super::fleet::first_submission;
use super::plan::{FaultKind, FaultPlan, FaultScope, FleetSize, PlannedFault};
use crate::upstream::RunLedger;

fn options(seed: u64) -> SoakOptions {
    SoakOptions {
        seed,
        duration: Duration::from_secs(60),
        voters: 3,
        upstreams_per_region: 1,
        callers_per_node: 1,
        mean_fault_interval: Duration::from_millis(500),
        faults: FaultKind::iter().collect(),
        keep_logs: false,
    }
}

const SIZE: FleetSize = FleetSize {
    controls: 3,
    nodes: 6,
};

fn seconds(seconds: u64) -> SoakTime {
    Duration::from_secs(seconds)
}

/// A call at node 0 from the tenth second.
fn call(kind: CallKind, end: CallEnd) -> SoakCall {
    SoakCall {
        node: 0,
        kind,
        body: "7".to_owned(),
        sent: seconds(10),
        ended: seconds(11),
        end,
    }
}

fn answered(service: &str) -> CallEnd {
    CallEnd::Answered(service.to_owned())
}

fn accepted(version: u64, follows: u64, at: u64) -> Submission {
    Submission {
        version,
        follows,
        sent: seconds(at),
        ended: Some(seconds(at)),
        ..first_submission()
    }
}

fn found(history: &SoakHistory, ledger: &RunLedger) -> Vec<ViolationKind> {
    let broken = history.check(ledger);
    broken.into_iter().map(|broken| broken.kind).collect()
}

/// What the checks find in one call after the first manifest.
fn found_in(call: SoakCall, runs: usize, faults: &[FaultKind]) -> Vec<ViolationKind> {
    let history = SoakHistory::start();
    history.submitting(&first_submission());
    let ledger = RunLedger::default();
    for _ in 0..runs {
        ledger.start(Some("7"), b"7").unwrap();
    }
    for kind in faults {
        history.fault_began(&PlannedFault {
            at: Duration::ZERO,
            lasts: seconds(1),
            kind: *kind,
            target: 0,
        });
    }
    history.call_ended(call);
    found(&history, &ledger)
}

/// Guards against a seed that cannot be played again.
#[test]
fn one_seed_gives_one_plan() {
    let plan = FaultPlan::draw(&options(7), SIZE);
    assert_eq!(plan, FaultPlan::draw(&options(7), SIZE));
    assert_ne!(plan, FaultPlan::draw(&options(8), SIZE));
    assert!(plan.faults.len() > 10, "{plan:?}");
}

/// Guards against plans that break more than the system promises to bear, or the same process
/// twice at once.
#[test]
fn control_instances_have_one_fault_at_a_time() {
    for seed in 0..50 {
        let plan = FaultPlan::draw(&options(seed), SIZE);
        let control = plan.faults.iter();
        let control: Vec<_> = control
            .filter(|fault| fault.kind.scope() == FaultScope::Control)
            .collect();
        let ends_before = |pair: &[&PlannedFault]| pair[0].at + pair[0].lasts < pair[1].at;
        assert!(control.windows(2).all(ends_before), "seed {seed}: {plan:?}");
    }
}

/// Guards against kinds of faults that are never drawn.
#[test]
fn every_kind_is_drawn() {
    let mut kinds: Vec<FaultKind> = FaultKind::iter().collect();
    for seed in 0..50 {
        let plan = FaultPlan::draw(&options(seed), SIZE);
        kinds.retain(|kind| plan.faults.iter().all(|fault| fault.kind != *kind));
    }
    assert_eq!(kinds, []);
}

/// Guards against checks that find nothing, and against those that find what is allowed.
#[test]
fn calls_are_checked() {
    use ViolationKind::*;
    let cases = [
        (
            call(CallKind::Booking, answered("booking")),
            1,
            vec![],
            vec![],
        ),
        (
            call(CallKind::Booking, answered("booking")),
            2,
            vec![],
            vec![Doubled],
        ),
        (
            call(CallKind::Keyed, CallEnd::Unknown),
            2,
            vec![],
            vec![Doubled],
        ),
        (
            call(CallKind::Booking, CallEnd::NotRun),
            1,
            vec![],
            vec![NotRunButRan],
        ),
        (call(CallKind::Booking, CallEnd::NotRun), 0, vec![], vec![]),
        (
            call(CallKind::Lookup, CallEnd::Foreign("x".into())),
            0,
            vec![],
            vec![ForeignAnswer],
        ),
        (
            call(CallKind::Lookup, CallEnd::Rejected("404".into())),
            0,
            vec![],
            vec![ProperRejected],
        ),
        (
            call(CallKind::Lookup, CallEnd::Broken),
            0,
            vec![],
            vec![CutOff],
        ),
        (
            call(CallKind::Lookup, CallEnd::Broken),
            0,
            vec![FaultKind::NodeKill],
            vec![],
        ),
        (
            call(CallKind::Booking, CallEnd::Broken),
            1,
            vec![FaultKind::NodeStop],
            vec![LostByStop],
        ),
        (
            call(CallKind::Booking, CallEnd::Broken),
            0,
            vec![FaultKind::NodeStop],
            vec![],
        ),
        (call(CallKind::Moved, answered("orders")), 0, vec![], vec![]),
        (
            call(CallKind::Moved, answered("catalogue")),
            0,
            vec![],
            vec![StaleRoute],
        ),
        (
            call(CallKind::Moved, answered("catalogue")),
            0,
            vec![FaultKind::ControlPause],
            vec![],
        ),
    ];
    for (call, runs, faults, expected) in cases {
        let found = found_in(call.clone(), runs, &faults);
        assert_eq!(found, expected, "{call:?}, {runs} runs, {faults:?}");
    }
    let late = SoakCall {
        ended: seconds(14),
        ..call(CallKind::Lookup, CallEnd::Unknown)
    };
    assert_eq!(found_in(late, 0, &[]), [Overdue]);
}

/// Guards against a change of route that is taken for an old one while it comes into force.
#[test]
fn a_route_is_settled_a_while_after_its_manifest() {
    for (accepted_at, expected) in [(9, vec![]), (7, vec![ViolationKind::StaleRoute])] {
        let history = SoakHistory::start();
        history.submitting(&first_submission());
        history.submitting(&accepted(2, 1, accepted_at));
        history.call_ended(call(CallKind::Moved, answered("orders")));
        assert_eq!(found(&history, &RunLedger::default()), expected);
    }
}

/// Guards against checks of manifests that find nothing.
#[test]
fn manifests_are_checked() {
    let ledger = RunLedger::default();
    let history = SoakHistory::start();
    history.submitting(&first_submission());
    history.submitting(&accepted(2, 1, 1));
    history.read(seconds(2), 2);
    assert_eq!(found(&history, &ledger), []);
    history.read(seconds(2), 1);
    assert_eq!(found(&history, &ledger), [ViolationKind::StaleRead]);

    let history = SoakHistory::start();
    history.submitting(&first_submission());
    history.submitting(&accepted(2, 1, 1));
    history.submitting(&accepted(3, 1, 2));
    assert_eq!(found(&history, &ledger), [ViolationKind::Forked]);

    for (end, expected) in [
        (SubmitEnd::Refused, vec![ViolationKind::RefusedInForce]),
        (SubmitEnd::Invalid, vec![ViolationKind::ValidRefused]),
        (SubmitEnd::Unclear, vec![]),
    ] {
        let history = SoakHistory::start();
        history.submitting(&first_submission());
        let submission = Submission {
            end,
            ..accepted(2, 1, 1)
        };
        history.submitting(&submission);
        history.read(seconds(2), 2);
        assert_eq!(found(&history, &ledger), expected);
    }
    let history = SoakHistory::start();
    history.submitting(&first_submission());
    history.resent(&first_submission(), SubmitEnd::Refused);
    assert_eq!(found(&history, &ledger), [ViolationKind::ResendRefused]);
}

/// Guards against a node that goes back unseen, and against a restart that is taken for it.
#[test]
fn a_node_that_goes_back_is_found() {
    for (run, expected) in [(0, vec![ViolationKind::WentBack]), (1, vec![])] {
        let history = SoakHistory::start();
        history.applied(3, 0, 9);
        history.applied(3, run, 8);
        assert_eq!(found(&history, &RunLedger::default()), expected);
    }
}
