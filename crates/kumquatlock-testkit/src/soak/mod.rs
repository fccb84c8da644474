//! A soak: the real programs on one machine, traffic, and faults from outside.
//!
//! [`plan`] draws the faults of a seed, [`fleet`] starts the processes and does to them what the
//! plan says, [`traffic`] and [`operator`] are the users, and [`check`] compares what they and the
//! upstreams saw with the promises of the pages. The soak ends only processes that it started.

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

/// Time after the last fault within which every node serves again.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Time between two looks at the plan.
const STEP: Duration = Duration::from_millis(20);

/// What a soak plays.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Time with faults.
    pub duration: Duration,
    /// Voters.
    pub voters: usize,
    /// Upstreams of each of the three services in each of the two regions.
    pub upstreams_per_region: usize,
    /// Callers of each node.
    pub callers_per_node: usize,
    /// Mean time from one fault to the next.
    pub mean_fault_interval: Duration,
    /// Faults that may be drawn.
    pub faults: Vec<FaultKind>,
    /// Whether the folder with the logs is kept in any case.
    pub keep_logs: bool,
}

/// Starts a fleet, plays the faults of the seed, and checks the promises.
pub fn run_soak(options: &SoakOptions) -> Result<SoakReport, ProcessError> {
    let mut fleet = SoakFleet::start(options)?;
    let size = FleetSize {
        controls: fleet.mesh.controls.len(),
        nodes: fleet.mesh.nodes.len(),
    };
    let plan = FaultPlan::draw(options, size);
    let stop = CancelToken::new();
    let history = SoakHistory::start();
    history.submitting(&fleet::first_submission());
    let played: Result<(), ProcessError> = thread::scope(|scope| {
        for (node, address) in fleet.caller_addresses().into_iter().enumerate() {
            for index in 0..options.callers_per_node {
                let (history, stop) = (&history, stop.clone());
                let place = traffic::CallerId { node, index };
                scope.spawn(move || traffic::run_caller(place, address, history, &stop));
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
        let played = play(&mut fleet, &plan, &history);
        stop.cancel();
        played
    });
    played?;
    let mut broken = fleet.check_recovery(&history);
    broken.extend(history.check(fleet.mesh.ledger()));
    if options.keep_logs || !broken.is_empty() {
        fleet.mesh.keep_dir();
    }
    Ok(SoakReport::new(options, &plan, &history, broken, &fleet))
}

/// Does to the fleet what the plan says, and lets it rest for a while after the last fault.
fn play(
    fleet: &mut SoakFleet,
    plan: &FaultPlan,
    history: &SoakHistory,
) -> Result<(), ProcessError> {
    let started = Instant::now();
    let mut waiting = plan.faults.iter().peekable();
    let mut lasting = Vec::new();
    while started.elapsed() < plan.length || !lasting.is_empty() {
        let now = started.elapsed();
        while let Some(fault) = waiting.next_if(|fault| fault.at <= now) {
            history.fault_began(fault);
            fleet.begin_fault(fault)?;
            lasting.push(fault);
        }
        let mut index = 0;
        while index < lasting.len() {
            let fault = lasting[index];
            if fault.at + fault.lasts > now {
                index += 1;
                continue;
            }
            fleet.end_fault(fault)?;
            history.fault_ended(fault);
            lasting.swap_remove(index);
        }
        fleet.observe(history);
        thread::sleep(STEP);
    }
    history.faults_ended();
    thread::sleep(check::STABLE_WINDOW);
    fleet.observe(history);
    Ok(())
}
