//! Soak test: runs the real binaries on one host under traffic and injects faults.
//!
//! [`plan`] draws a random fault plan from a seed. [`fleet`] starts the processes and injects the
//! faults. [`traffic`] sends requests and [`operator`] submits manifests. [`check`] compares what
//! the callers, the operators and the upstreams observed with the documented guarantees. The soak
//! ends only processes that it started.

pub mod check;
pub mod fleet;
pub mod operator;
pub mod plan;
pub mod report;
pub mod traffic;

#[cfg(test)]
mod tests;

use std::thread;
use std::time::{Duration, Instant};

use kumquatlock::util::cancel::CancelToken;

use crate::process::ProcessError;
use check::SoakHistory;
use fleet::SoakFleet;
use plan::{FaultKind, FaultPlan, FleetSize};
use report::SoakReport;

/// Time within which every node and control instance must serve again, counted from
/// [`check::STABLE_WINDOW`] after the last fault.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Pause between two checks for faults that are due to begin or end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a soak run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the fault plan.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of voters.
    pub voters: usize,
    /// Number of upstreams of each of the three services in each of the two regions.
    pub upstreams_per_region: usize,
    /// Number of callers of each node.
    pub callers_per_node: usize,
    /// Mean time from the start of one fault to the start of the next.
    pub mean_fault_interval: Duration,
    /// Kinds of faults that are injected.
    pub faults: Vec<FaultKind>,
    /// Whether the folder with the logs is kept even if no violation is found.
    pub keep_logs: bool,
}

/// Starts a fleet, injects the faults of the plan under traffic, and checks the guarantees.
pub fn run_soak(options: &SoakOptions) -> Result<SoakReport, ProcessError> {
    let mut fleet = SoakFleet::start(options)?;
    let size = FleetSize {
        controls: fleet.mesh.controls.len(),
        nodes: fleet.mesh.nodes.len(),
    };
    let plan = FaultPlan::draw(options, size);
    let stop = CancelToken::new();
    let history = SoakHistory::start();
    history.record_submission(&fleet::first_submission());
    let injected: Result<(), ProcessError> = thread::scope(|scope| {
        for (node, address) in fleet.caller_addresses().into_iter().enumerate() {
            for index in 0..options.callers_per_node {
                let (history, stop) = (&history, stop.clone());
                let id = traffic::CallerId { node, index };
                scope.spawn(move || traffic::run_caller(id, address, history, &stop));
            }
        }
        let controls = fleet.operator_addresses();
        for index in 0..operator::OPERATOR_COUNT {
            let template = fleet.mesh.manifest(0);
            let (controls, history, stop) = (controls.clone(), &history, stop.clone());
            scope.spawn(move || {
                operator::run_operator(index, &template, &controls, history, &stop);
            });
        }
        let injected = inject_faults(&mut fleet, &plan, &history);
        stop.cancel();
        injected
    });
    injected?;
    let mut violations = fleet.check_recovery(&history);
    violations.extend(history.check(fleet.mesh.ledger()));
    if options.keep_logs || !violations.is_empty() {
        fleet.mesh.keep_dir();
    }
    Ok(SoakReport::new(
        options, &plan, &history, violations, &fleet,
    ))
}

/// Injects the faults of the plan, then lets the fleet run without faults for
/// [`check::STABLE_WINDOW`].
fn inject_faults(
    fleet: &mut SoakFleet,
    plan: &FaultPlan,
    history: &SoakHistory,
) -> Result<(), ProcessError> {
    let started = Instant::now();
    let mut pending = plan.faults.iter().peekable();
    let mut active = Vec::new();
    while started.elapsed() < plan.length || !active.is_empty() {
        let elapsed = started.elapsed();
        while let Some(fault) = pending.next_if(|fault| fault.at <= elapsed) {
            history.record_fault_start(fault);
            fleet.begin_fault(fault)?;
            active.push(fault);
        }
        let mut index = 0;
        while index < active.len() {
            let fault = active[index];
            if fault.at + fault.lasts > elapsed {
                index += 1;
                continue;
            }
            fleet.end_fault(fault)?;
            history.record_fault_end(fault);
            active.swap_remove(index);
        }
        fleet.observe(history);
        thread::sleep(POLL_INTERVAL);
    }
    history.record_end_of_faults();
    thread::sleep(check::STABLE_WINDOW);
    fleet.observe(history);
    Ok(())
}
