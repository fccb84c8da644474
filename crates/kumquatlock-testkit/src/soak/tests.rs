//! Tests of the fault plan and of the checks. Each check must report the violation that it is for,
//! and must not report allowed behaviour.

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

const FLEET_SIZE: FleetSize = FleetSize {
    controls: 3,
    nodes: 6,
};

fn seconds(seconds: u64) -> SoakTime {
    Duration::from_secs(seconds)
}

/// Returns a call to node 0 that is sent 10 s and ends 11 s after the start.
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

fn violation_kinds(history: &SoakHistory, ledger: &RunLedger) -> Vec<ViolationKind> {
    let violation = history.check(ledger);
    violation
        .into_iter()
        .map(|violation| violation.kind)
        .collect()
}

/// Returns the kinds of violations that the checks find in one call after the first manifest, with
/// this number of runs and with these faults of target 0.
fn violations_of_call(call: SoakCall, runs: usize, faults: &[FaultKind]) -> Vec<ViolationKind> {
    let history = SoakHistory::start();
    history.record_submission(&first_submission());
    let ledger = RunLedger::default();
    for _ in 0..runs {
        ledger.start(Some("7"), b"7").unwrap();
    }
    for kind in faults {
        history.record_fault_start(&PlannedFault {
            at: Duration::ZERO,
            lasts: seconds(1),
            kind: *kind,
            target: 0,
        });
    }
    history.record_call(call);
    violation_kinds(&history, &ledger)
}

/// Guards against a seed whose fault plan cannot be reproduced.
#[test]
fn same_seed_gives_the_same_plan() {
    let plan = FaultPlan::draw(&options(7), FLEET_SIZE);
    assert_eq!(plan, FaultPlan::draw(&options(7), FLEET_SIZE));
    assert_ne!(plan, FaultPlan::draw(&options(8), FLEET_SIZE));
    assert!(plan.faults.len() > 10, "{plan:?}");
}

/// Guards against seeds whose other faults change because of faults with held links.
#[test]
fn held_links_do_not_change_the_other_faults() {
    for seed in 0..20 {
        let mut options = options(seed);
        let mut plan = FaultPlan::draw(&options, FLEET_SIZE);
        let all = plan.faults.len();
        plan.faults.retain(|fault| !fault.kind.holds_links());
        assert!(plan.faults.len() < all, "{plan:?}");
        options.faults.retain(|kind| !kind.holds_links());
        assert_eq!(plan, FaultPlan::draw(&options, FLEET_SIZE));
    }
}

/// Guards against plans in which faults of control instances overlap, which can stop more of them
/// than the system is guaranteed to tolerate.
#[test]
fn control_instances_have_one_fault_at_a_time() {
    for seed in 0..50 {
        let plan = FaultPlan::draw(&options(seed), FLEET_SIZE);
        let faults = plan.faults.iter();
        let control_faults: Vec<_> = faults
            .filter(|fault| fault.kind.scope() == FaultScope::Control)
            .collect();
        let ends_before = |pair: &[&PlannedFault]| pair[0].at + pair[0].lasts < pair[1].at;
        assert!(
            control_faults.windows(2).all(ends_before),
            "seed {seed}: {plan:?}"
        );
    }
}

/// Guards against kinds of faults that no plan contains.
#[test]
fn every_fault_kind_is_drawn() {
    let mut kinds: Vec<FaultKind> = FaultKind::iter().collect();
    for seed in 0..50 {
        let plan = FaultPlan::draw(&options(seed), FLEET_SIZE);
        kinds.retain(|kind| plan.faults.iter().all(|fault| fault.kind != *kind));
    }
    assert_eq!(kinds, []);
}

/// Guards against checks of calls that miss a violation, and against checks that report allowed
/// behaviour.
#[test]
fn call_checks_report_only_violations() {
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
        let kinds = violations_of_call(call.clone(), runs, &faults);
        assert_eq!(kinds, expected, "{call:?}, {runs} runs, {faults:?}");
    }
    let late = SoakCall {
        ended: seconds(14),
        ..call(CallKind::Lookup, CallEnd::Unknown)
    };
    assert_eq!(violations_of_call(late, 0, &[]), [Overdue]);
}

/// Guards against a check that reports a stale route while the nodes still have time to apply the
/// new manifest.
#[test]
fn stale_route_is_reported_only_after_the_apply_timeout() {
    for (accepted_at, expected) in [(9, vec![]), (7, vec![ViolationKind::StaleRoute])] {
        let history = SoakHistory::start();
        history.record_submission(&first_submission());
        history.record_submission(&accepted(2, 1, accepted_at));
        history.record_call(call(CallKind::Moved, answered("orders")));
        assert_eq!(violation_kinds(&history, &RunLedger::default()), expected);
    }
}

/// Guards against checks of manifests that miss a violation, or that report an unclear submission.
#[test]
fn manifest_checks_report_only_violations() {
    let ledger = RunLedger::default();
    let history = SoakHistory::start();
    history.record_submission(&first_submission());
    history.record_submission(&accepted(2, 1, 1));
    history.record_read(seconds(2), 2);
    assert_eq!(violation_kinds(&history, &ledger), []);
    history.record_read(seconds(2), 1);
    assert_eq!(
        violation_kinds(&history, &ledger),
        [ViolationKind::StaleRead]
    );

    let history = SoakHistory::start();
    history.record_submission(&first_submission());
    history.record_submission(&accepted(2, 1, 1));
    history.record_submission(&accepted(3, 1, 2));
    assert_eq!(violation_kinds(&history, &ledger), [ViolationKind::Forked]);

    for (end, expected) in [
        (SubmitEnd::Refused, vec![ViolationKind::RefusedInForce]),
        (SubmitEnd::Invalid, vec![ViolationKind::ValidRefused]),
        (SubmitEnd::Unclear, vec![]),
    ] {
        let history = SoakHistory::start();
        history.record_submission(&first_submission());
        let submission = Submission {
            end,
            ..accepted(2, 1, 1)
        };
        history.record_submission(&submission);
        history.record_read(seconds(2), 2);
        assert_eq!(violation_kinds(&history, &ledger), expected);
    }
    let history = SoakHistory::start();
    history.record_submission(&first_submission());
    history.record_resend(&first_submission(), SubmitEnd::Refused);
    assert_eq!(
        violation_kinds(&history, &ledger),
        [ViolationKind::ResendRefused]
    );
}

/// Guards against a check that misses a node that goes back to an earlier configuration, and
/// against one that reports a node that has an earlier configuration after a restart.
#[test]
fn a_node_that_returns_to_an_earlier_version_is_reported() {
    for (run, expected) in [(0, vec![ViolationKind::WentBack]), (1, vec![])] {
        let history = SoakHistory::start();
        history.record_applied(3, 0, 9);
        history.record_applied(3, run, 8);
        assert_eq!(violation_kinds(&history, &RunLedger::default()), expected);
    }
}
