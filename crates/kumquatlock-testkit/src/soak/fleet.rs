//! The processes of a soak, the relays between them, and what a fault does to them.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kumquatlock::core::RequestClass;

use super::check::{
    CallEnd, CallKind, InvariantViolation, SoakHistory, Submission, SubmitEnd, ViolationKind,
};
use super::plan::{FaultKind, FaultScope, PlannedFault};
use super::{RECOVERY_LIMIT, SoakOptions, traffic};
use crate::caller::{HttpCaller, HttpRequest};
use crate::process::{Mesh, MeshBuilder, MeshPlan, ProcessError, wait_for};
use crate::relay::{FlowDirection, TcpRelay};
use crate::upstream::ResponseFault;

/// Delay that a slow path adds in each direction.
const PATH_DELAY: Duration = Duration::from_millis(120);

/// Bytes that an upstream announces and does not send.
const MISSING_BYTES: usize = 7;

/// Time between two questions for the configuration of the nodes.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the first manifest to be accepted and for the upstreams to serve.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Version of the manifest that the fleet starts with.
const FIRST_VERSION: u64 = 1;

/// A mesh whose connections all go through relays.
#[derive(Debug)]
pub struct SoakFleet {
    /// The processes.
    pub mesh: Mesh,
    /// In front of each node.
    node_paths: Vec<TcpRelay>,
    /// In front of each control instance, from everybody else.
    control_paths: Vec<TcpRelay>,
    /// Starts of each node.
    runs: Vec<u32>,
    /// Faults that last, by node.
    lasting: Vec<u32>,
    observed: Instant,
}

impl SoakFleet {
    /// Starts the processes and waits until they serve by the first manifest.
    pub fn start(options: &SoakOptions) -> Result<SoakFleet, ProcessError> {
        let mut plan = MeshBuilder::default()
            .voters(options.voters)
            .regions(&[("osrednja", 2), ("stajerska", 2)])
            .service("catalogue", RequestClass::Lookup)
            .service("booking", RequestClass::AtMostOnce)
            .service("orders", RequestClass::AtMostOnce)
            .upstreams_per_region(options.upstreams_per_region)
            .build()?;
        let control_paths = relay_controls(&mut plan)?;
        let mut node_paths = Vec::new();
        for node in &mut plan.nodes {
            let relay = start_relay(node.flags.listen)?;
            let advertise = relay.address().to_string();
            let extra = &mut node.flags.extra;
            extra.extend(["--advertise".to_owned(), advertise]);
            node_paths.push(relay);
        }
        let mesh = plan.start()?;
        let nodes = mesh.nodes.len();
        let fleet = SoakFleet {
            mesh,
            node_paths,
            control_paths,
            runs: vec![0; nodes],
            lasting: vec![0; nodes],
            observed: Instant::now(),
        };
        fleet.submit_first()?;
        Ok(fleet)
    }

    fn submit_first(&self) -> Result<(), ProcessError> {
        let template = self.mesh.manifest(0);
        let manifest = super::operator::manifest_of(&template, FIRST_VERSION, 0, 0);
        wait_for("the first manifest is accepted", START_LIMIT, || {
            let response = self.mesh.controls[0].submit(&manifest);
            match response.map_err(|error| error.to_string())? {
                response if response.status == 200 => Ok(()),
                response => Err(response.text()),
            }
        })?;
        for node in 0..self.mesh.nodes.len() {
            self.wait_serving(node, START_LIMIT, "start")?;
        }
        Ok(())
    }

    /// Addresses for callers, by node.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.mesh.nodes.iter();
        nodes.map(|node| node.flags.http).collect()
    }

    /// Addresses for operators.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let controls = self.mesh.controls.iter();
        controls.map(|control| control.flags.http).collect()
    }

    /// Does to a process or path what the fault says.
    pub fn begin_fault(&mut self, fault: &PlannedFault) -> Result<(), ProcessError> {
        self.note_nodes(fault, 1);
        let target = fault.target;
        match fault.kind {
            FaultKind::ControlKill => {
                self.mesh.controls[target].process.kill()?;
            }
            FaultKind::ControlPause => self.mesh.controls[target].process.pause()?,
            FaultKind::ControlStop => self.mesh.controls[target].process.terminate()?,
            FaultKind::ControlWipe => {
                let control = &mut self.mesh.controls[target];
                control.process.kill()?;
                fs::remove_dir_all(&control.flags.data_dir)
                    .map_err(ProcessError::prepare("the loss of a disk"))?;
            }
            FaultKind::ControlSilence => self.control_paths[target].stall(),
            FaultKind::ControlMute => {
                self.control_paths[target].stall_direction(FlowDirection::ToClient)
            }
            FaultKind::NodeKill => {
                self.mesh.nodes[target].process.kill()?;
            }
            FaultKind::NodePause => self.mesh.nodes[target].process.pause()?,
            FaultKind::NodeStop => self.mesh.nodes[target].process.terminate()?,
            FaultKind::ServiceKill => {
                for node in self.service_of(target) {
                    self.mesh.nodes[node].process.kill()?;
                }
            }
            FaultKind::NodeDelay => self.node_paths[target].set_delay(PATH_DELAY),
            FaultKind::NodeReset => self.node_paths[target].close_open(),
            FaultKind::NodeSilence => self.node_paths[target].stall(),
            FaultKind::NodeMute => self.node_paths[target].stall_direction(FlowDirection::ToClient),
            FaultKind::UpstreamHang => self.set_response_fault(target, ResponseFault::Hang),
            FaultKind::UpstreamCut => self.set_response_fault(target, ResponseFault::CloseAfterRun),
            FaultKind::UpstreamClose => {
                self.set_response_fault(target, ResponseFault::CloseBeforeRun)
            }
            FaultKind::UpstreamShort => {
                let missing = MISSING_BYTES;
                self.set_response_fault(target, ResponseFault::Truncate { missing });
            }
        }
        Ok(())
    }

    /// Ends the fault. Processes that ended are started again.
    pub fn end_fault(&mut self, fault: &PlannedFault) -> Result<(), ProcessError> {
        let target = fault.target;
        match fault.kind {
            FaultKind::ControlKill | FaultKind::ControlStop | FaultKind::ControlWipe => {
                self.mesh.controls[target].process.restart()?;
            }
            FaultKind::ControlPause => self.mesh.controls[target].process.resume()?,
            FaultKind::ControlSilence | FaultKind::ControlMute => {
                self.control_paths[target].resume();
            }
            FaultKind::NodeKill | FaultKind::NodeStop => self.restart_node(target)?,
            FaultKind::ServiceKill => {
                for node in self.service_of(target) {
                    self.restart_node(node)?;
                }
            }
            FaultKind::NodePause => self.mesh.nodes[target].process.resume()?,
            FaultKind::NodeDelay => self.node_paths[target].set_delay(Duration::ZERO),
            FaultKind::NodeReset => {}
            FaultKind::NodeSilence | FaultKind::NodeMute => self.node_paths[target].resume(),
            FaultKind::UpstreamHang
            | FaultKind::UpstreamCut
            | FaultKind::UpstreamClose
            | FaultKind::UpstreamShort => self.mesh.nodes[target].upstream.clear_fault(),
        }
        self.note_nodes(fault, -1);
        Ok(())
    }

    /// Asks the nodes without a fault which configuration they have applied, now and then.
    pub fn observe(&mut self, history: &SoakHistory) {
        if self.observed.elapsed() < OBSERVE_INTERVAL {
            return;
        }
        for (node, instance) in self.mesh.nodes.iter().enumerate() {
            if self.lasting[node] > 0 {
                continue;
            }
            let plan = HttpRequest::get("/metrics").timeout(OBSERVE_INTERVAL);
            let response = instance.caller().send(&plan);
            let version = response
                .ok()
                .and_then(|response| config_version(&response.text()));
            if let Some(version) = version {
                history.applied(node, self.runs[node], version);
            }
        }
        self.observed = Instant::now();
    }

    /// What does not serve within the limit after the last fault, and what is not as acknowledged.
    pub fn check_recovery(&mut self, history: &SoakHistory) -> Vec<InvariantViolation> {
        let mut broken = Vec::new();
        let started = Instant::now();
        let left = || RECOVERY_LIMIT.saturating_sub(started.elapsed());
        for node in 0..self.mesh.nodes.len() {
            if let Err(error) = self.wait_serving(node, left(), "end") {
                let seen = error.to_string();
                broken.push(InvariantViolation::new(ViolationKind::NotRecovered, seen));
            }
        }
        let newest = history.newest_accepted();
        for control in &self.mesh.controls {
            let what = format!("{} reads {newest} or later", control.flags.name);
            let read = wait_for(&what, left(), || {
                let response = HttpCaller::new(control.flags.http).get("/v1/manifests/latest");
                let response = response.map_err(|error| error.to_string())?;
                match response.json()["manifest_version"].as_u64() {
                    Some(version) if version >= newest => Ok(()),
                    _ => Err(response.text()),
                }
            });
            if let Err(error) = read {
                let seen = error.to_string();
                broken.push(InvariantViolation::new(ViolationKind::NotRecovered, seen));
            }
        }
        broken
    }

    /// Waits until a node serves a lookup and a booking.
    fn wait_serving(&self, node: usize, limit: Duration, label: &str) -> Result<(), ProcessError> {
        let caller = self.mesh.nodes[node].caller();
        let mut attempt = 0;
        for kind in [CallKind::Lookup, CallKind::Booking, CallKind::Moved] {
            let what = format!("{kind} is served at {}", self.mesh.nodes[node].flags.name);
            wait_for(&what, limit, || {
                attempt += 1;
                let body = format!("{label}-{node}-{attempt}");
                match traffic::send_once(&caller, kind, &body) {
                    CallEnd::Answered(_) => Ok(()),
                    end => Err(format!("{end:?}")),
                }
            })?;
        }
        Ok(())
    }

    fn restart_node(&mut self, node: usize) -> Result<(), ProcessError> {
        self.runs[node] += 1;
        self.mesh.nodes[node].process.restart()
    }

    fn set_response_fault(&self, node: usize, fault: ResponseFault) {
        self.mesh.nodes[node].upstream.set_fault(fault);
    }

    /// Nodes of the service of one of them.
    fn service_of(&self, node: usize) -> Vec<usize> {
        let service = |index: usize| {
            let name = &self.mesh.nodes[index].flags.name;
            name.split('-').next().unwrap_or_default().to_owned()
        };
        let nodes = 0..self.mesh.nodes.len();
        nodes
            .filter(|index| service(*index) == service(node))
            .collect()
    }

    fn note_nodes(&mut self, fault: &PlannedFault, change: i32) {
        let nodes = match fault.kind.scope() {
            FaultScope::Node => vec![fault.target],
            FaultScope::Service => self.service_of(fault.target),
            FaultScope::Control | FaultScope::Upstream => Vec::new(),
        };
        for node in nodes {
            self.lasting[node] = self.lasting[node].saturating_add_signed(change);
        }
    }
}

/// The manifest that the fleet starts with, as its operator sees it.
pub fn first_submission() -> Submission {
    Submission {
        version: FIRST_VERSION,
        follows: 0,
        operator: 0,
        sent: Duration::ZERO,
        ended: Some(Duration::ZERO),
        end: SubmitEnd::Accepted,
    }
}

fn start_relay(target: SocketAddr) -> Result<TcpRelay, ProcessError> {
    TcpRelay::start(target).map_err(ProcessError::prepare(format!("a relay to {target}")))
}

/// Puts a relay in front of each control instance, for the others and for all nodes.
fn relay_controls(plan: &mut MeshPlan) -> Result<Vec<TcpRelay>, ProcessError> {
    let mut paths = Vec::new();
    for target in 0..plan.controls.len() {
        let direct = plan.controls[target].flags.listen;
        let relay = start_relay(direct)?;
        let address = relay.address();
        let others = plan.controls.iter_mut().enumerate();
        for (_, control) in others.filter(|(index, _)| *index != target) {
            let voters = control.flags.voters.iter_mut();
            voters
                .filter(|(_, voter)| *voter == direct)
                .for_each(|(_, voter)| *voter = address);
        }
        for node in &mut plan.nodes {
            let parents = node.flags.parents.iter_mut();
            parents
                .filter(|parent| **parent == direct)
                .for_each(|parent| *parent = address);
        }
        paths.push(relay);
    }
    Ok(paths)
}

fn config_version(metrics: &str) -> Option<u64> {
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("kumquatlock_config_version"))?;
    line.rsplit(' ').next()?.parse().ok()
}
