//! The processes of a soak, the relays between them, and the injection of faults.

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

/// Delay that [`FaultKind::NodeDelay`] adds in each direction.
const NODE_DELAY: Duration = Duration::from_millis(120);

/// Number of bytes that the `Content-Length` of a truncated response includes but that are not sent.
const MISSING_BYTES: usize = 7;

/// Minimum time between two reads of the configuration versions of the nodes.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time for the first manifest to be accepted, and for each node to serve by it.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Version of the manifest that the fleet starts with.
const FIRST_VERSION: u64 = 1;

/// A mesh in which the connections to every node and control instance from other processes go
/// through a relay.
#[derive(Debug)]
pub struct SoakFleet {
    /// Processes of the fleet.
    pub mesh: Mesh,
    /// Relay in front of each node, for the other nodes.
    node_relays: Vec<TcpRelay>,
    /// Relay in front of each control instance, for the other control instances and all nodes.
    control_relays: Vec<TcpRelay>,
    /// Number of restarts of each node.
    restarts: Vec<u32>,
    /// Number of active faults of each node.
    active_faults: Vec<u32>,
    last_observed: Instant,
}

impl SoakFleet {
    /// Starts the processes, submits the first manifest and waits until every node serves by it.
    pub fn start(options: &SoakOptions) -> Result<SoakFleet, ProcessError> {
        let mut plan = MeshBuilder::default()
            .voters(options.voters)
            .regions(&[("osrednja", 2), ("stajerska", 2)])
            .service("catalogue", RequestClass::Lookup)
            .service("booking", RequestClass::AtMostOnce)
            .service("orders", RequestClass::AtMostOnce)
            .upstreams_per_region(options.upstreams_per_region)
            .build()?;
        let control_relays = relay_controls(&mut plan)?;
        let mut node_relays = Vec::new();
        for node in &mut plan.nodes {
            let relay = start_relay(node.flags.listen)?;
            let advertise = relay.address().to_string();
            let extra = &mut node.flags.extra;
            extra.extend(["--advertise".to_owned(), advertise]);
            node_relays.push(relay);
        }
        let mesh = plan.start()?;
        let nodes = mesh.nodes.len();
        let fleet = SoakFleet {
            mesh,
            node_relays,
            control_relays,
            restarts: vec![0; nodes],
            active_faults: vec![0; nodes],
            last_observed: Instant::now(),
        };
        fleet.submit_first_manifest()?;
        Ok(fleet)
    }

    fn submit_first_manifest(&self) -> Result<(), ProcessError> {
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

    /// Returns the addresses at which the nodes accept calls.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.mesh.nodes.iter();
        nodes.map(|node| node.flags.http).collect()
    }

    /// Returns the addresses of the control instances for operators.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let controls = self.mesh.controls.iter();
        controls.map(|control| control.flags.http).collect()
    }

    /// Injects the fault into its process, relay or upstream.
    pub fn begin_fault(&mut self, fault: &PlannedFault) -> Result<(), ProcessError> {
        self.update_active_faults(fault, 1);
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
                    .map_err(ProcessError::prepare("the removal of a data folder"))?;
            }
            FaultKind::ControlSilence => self.control_relays[target].stall(),
            FaultKind::ControlMute => {
                self.control_relays[target].stall_direction(FlowDirection::ToClient)
            }
            FaultKind::NodeKill => {
                self.mesh.nodes[target].process.kill()?;
            }
            FaultKind::NodePause => self.mesh.nodes[target].process.pause()?,
            FaultKind::NodeStop => self.mesh.nodes[target].process.terminate()?,
            FaultKind::ServiceKill => {
                for node in self.nodes_of_same_service(target) {
                    self.mesh.nodes[node].process.kill()?;
                }
            }
            FaultKind::NodeDelay => self.node_relays[target].set_delay(NODE_DELAY),
            FaultKind::NodeReset => self.node_relays[target].close_open(),
            FaultKind::NodeSilence => self.node_relays[target].stall(),
            FaultKind::NodeMute => {
                self.node_relays[target].stall_direction(FlowDirection::ToClient)
            }
            FaultKind::NodeHold | FaultKind::NodeHoldRejoin | FaultKind::NodeHoldRestart => {
                self.node_relays[target].stall_open();
            }
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

    /// Ends the fault. Processes that it has ended are restarted.
    pub fn end_fault(&mut self, fault: &PlannedFault) -> Result<(), ProcessError> {
        let target = fault.target;
        match fault.kind {
            FaultKind::ControlKill | FaultKind::ControlStop | FaultKind::ControlWipe => {
                self.mesh.controls[target].process.restart()?;
            }
            FaultKind::ControlPause => self.mesh.controls[target].process.resume()?,
            FaultKind::ControlSilence | FaultKind::ControlMute => {
                self.control_relays[target].resume();
            }
            FaultKind::NodeKill | FaultKind::NodeStop => self.restart_node(target)?,
            FaultKind::ServiceKill => {
                for node in self.nodes_of_same_service(target) {
                    self.restart_node(node)?;
                }
            }
            FaultKind::NodePause => self.mesh.nodes[target].process.resume()?,
            FaultKind::NodeDelay => self.node_relays[target].set_delay(Duration::ZERO),
            FaultKind::NodeReset => {}
            FaultKind::NodeSilence | FaultKind::NodeMute | FaultKind::NodeHold => {
                self.node_relays[target].resume();
            }
            FaultKind::NodeHoldRejoin => {
                let node = &mut self.mesh.nodes[target];
                node.upstream.leave()?;
                node.upstream.announce_now()?;
                node.upstream.announce_to(node.flags.upstream_http);
                self.node_relays[target].resume();
            }
            FaultKind::NodeHoldRestart => {
                self.restart_node(target)?;
                let node = &mut self.mesh.nodes[target];
                node.wait_ready()?;
                node.upstream.announce_now()?;
                self.node_relays[target].resume_reconnected();
            }
            FaultKind::UpstreamHang
            | FaultKind::UpstreamCut
            | FaultKind::UpstreamClose
            | FaultKind::UpstreamShort => self.mesh.nodes[target].upstream.clear_fault(),
        }
        self.update_active_faults(fault, -1);
        Ok(())
    }

    /// Reads the configuration version of every node without an active fault and records it. Does
    /// nothing if the last read was less than `OBSERVE_INTERVAL` ago.
    pub fn observe(&mut self, history: &SoakHistory) {
        if self.last_observed.elapsed() < OBSERVE_INTERVAL {
            return;
        }
        for (node, instance) in self.mesh.nodes.iter().enumerate() {
            if self.active_faults[node] > 0 {
                continue;
            }
            let request = HttpRequest::get("/metrics").timeout(OBSERVE_INTERVAL);
            let response = instance.caller().send(&request);
            let version = response
                .ok()
                .and_then(|response| config_version(&response.text()));
            if let Some(version) = version {
                history.record_applied(node, self.restarts[node], version);
            }
        }
        self.last_observed = Instant::now();
    }

    /// Returns a violation for each node that does not serve within [`RECOVERY_LIMIT`], and for each
    /// control instance that does not return the newest accepted manifest within it.
    pub fn check_recovery(&mut self, history: &SoakHistory) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        let started = Instant::now();
        let remaining = || RECOVERY_LIMIT.saturating_sub(started.elapsed());
        for node in 0..self.mesh.nodes.len() {
            if let Err(error) = self.wait_serving(node, remaining(), "end") {
                let seen = error.to_string();
                violations.push(InvariantViolation::new(ViolationKind::NotRecovered, seen));
            }
        }
        let newest = history.newest_accepted();
        for control in &self.mesh.controls {
            let what = format!("{} reads {newest} or later", control.flags.name);
            let result = wait_for(&what, remaining(), || {
                let response = HttpCaller::new(control.flags.http).get("/v1/manifests/latest");
                let response = response.map_err(|error| error.to_string())?;
                match response.json()["manifest_version"].as_u64() {
                    Some(version) if version >= newest => Ok(()),
                    _ => Err(response.text()),
                }
            });
            if let Err(error) = result {
                let seen = error.to_string();
                violations.push(InvariantViolation::new(ViolationKind::NotRecovered, seen));
            }
        }
        violations
    }

    /// Waits until a node serves a lookup, a booking and a request on the route `moved`.
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
        self.restarts[node] += 1;
        self.mesh.nodes[node].process.restart()
    }

    fn set_response_fault(&self, node: usize, fault: ResponseFault) {
        self.mesh.nodes[node].upstream.set_fault(fault);
    }

    /// Returns the indices of all nodes of the service that a node belongs to.
    fn nodes_of_same_service(&self, node: usize) -> Vec<usize> {
        let service = |index: usize| {
            let name = &self.mesh.nodes[index].flags.name;
            name.split('-').next().unwrap_or_default().to_owned()
        };
        let nodes = 0..self.mesh.nodes.len();
        nodes
            .filter(|index| service(*index) == service(node))
            .collect()
    }

    fn update_active_faults(&mut self, fault: &PlannedFault, change: i32) {
        let nodes = match fault.kind.scope() {
            FaultScope::Node => vec![fault.target],
            FaultScope::Service => self.nodes_of_same_service(fault.target),
            FaultScope::Control | FaultScope::Upstream => Vec::new(),
        };
        for node in nodes {
            self.active_faults[node] = self.active_faults[node].saturating_add_signed(change);
        }
    }
}

/// Returns the submission of the manifest that the fleet starts with.
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

/// Inserts a relay in front of each control instance, for the other control instances and all
/// nodes.
fn relay_controls(plan: &mut MeshPlan) -> Result<Vec<TcpRelay>, ProcessError> {
    let mut relays = Vec::new();
    for target in 0..plan.controls.len() {
        let direct = plan.controls[target].flags.listen;
        let relay = start_relay(direct)?;
        let address = relay.address();
        let other_controls = plan.controls.iter_mut().enumerate();
        for (_, control) in other_controls.filter(|(index, _)| *index != target) {
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
        relays.push(relay);
    }
    Ok(relays)
}

fn config_version(metrics: &str) -> Option<u64> {
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("kumquatlock_config_version"))?;
    line.rsplit(' ').next()?.parse().ok()
}
