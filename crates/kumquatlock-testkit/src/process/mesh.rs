//! Starts, controls and stops a whole mesh of child processes.

use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

use super::ProcessError;
use super::child::{ManagedProcess, ProcessPlan, ProgramName};
use super::flags::{ControlFlags, NodeFlags};
use super::layout::{MeshPlan, ServicePlan, manifest};
use super::wait::wait_for;
use crate::caller::{HttpCaller, HttpRequest, HttpResponse};
use crate::upstream::{RunLedger, StandInUpstream};

/// Time within which a started process must respond to requests.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of one request to a starting process; short, so that an early end of the process is
/// detected soon.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Path that every process serves from its start.
const READY_PATH: &str = "/metrics";

/// Path of the manifests on a control instance.
const MANIFESTS_PATH: &str = "/v1/manifests";

/// Value of `state` in the response about a manifest that every node has applied.
const IN_FORCE_STATE: &str = "in_force";

/// A running control instance.
#[derive(Debug)]
pub struct ControlInstance {
    /// Flags that the process was started with.
    pub flags: ControlFlags,
    /// Child process of the instance.
    pub process: ManagedProcess,
}

/// A running node with its upstream.
#[derive(Debug)]
pub struct NodeInstance {
    /// Flags that the process was started with.
    pub flags: NodeFlags,
    /// Child process of the node.
    pub process: ManagedProcess,
    /// Upstream of the node, which runs in the test process.
    pub upstream: StandInUpstream,
}

impl ControlInstance {
    /// Returns a caller of the address for operators.
    pub fn caller(&self) -> HttpCaller {
        HttpCaller::new(self.flags.http)
    }

    /// Submits a manifest and returns the response, whatever its status.
    pub fn submit(&self, manifest: &Value) -> Result<HttpResponse, ProcessError> {
        let request = HttpRequest::post(MANIFESTS_PATH, manifest.to_string())
            .header("Content-Type", "application/json");
        Ok(self.caller().send(&request)?)
    }

    /// Returns the response about the state of a manifest.
    pub fn show(&self, version: u64) -> Result<HttpResponse, ProcessError> {
        Ok(self.caller().get(&format!("{MANIFESTS_PATH}/{version}"))?)
    }

    /// Waits until the instance reports the manifest as in force and applied by at least `nodes`
    /// nodes.
    pub fn wait_in_force(
        &self,
        version: u64,
        nodes: usize,
        timeout: Duration,
    ) -> Result<Value, ProcessError> {
        let what = format!("manifest {version} in force");
        let shown_manifest = wait_for(&what, timeout, || {
            let response = self.show(version)?;
            let manifest_state = response.json();
            let applied = manifest_state["applied"].as_u64().unwrap_or(0);
            if manifest_state["state"] == IN_FORCE_STATE && applied >= nodes as u64 {
                return Ok(manifest_state);
            }
            Err(ProcessError::UnexpectedResponse {
                name: self.flags.name.clone(),
                request: format!("GET {MANIFESTS_PATH}/{version}"),
                response: Box::new(response),
            })
        });
        Ok(shown_manifest?)
    }

    /// Waits until the process responds to requests.
    pub fn wait_ready(&mut self) -> Result<(), ProcessError> {
        wait_ready(&self.caller(), &mut self.process)
    }
}

impl NodeInstance {
    /// Returns a caller of the address at which the node accepts calls.
    pub fn caller(&self) -> HttpCaller {
        HttpCaller::new(self.flags.http)
    }

    /// Waits until the process responds to requests.
    pub fn wait_ready(&mut self) -> Result<(), ProcessError> {
        wait_ready(&self.caller(), &mut self.process)
    }
}

fn wait_ready(caller: &HttpCaller, process: &mut ManagedProcess) -> Result<(), ProcessError> {
    let what = format!("{} responds to requests", process.name());
    let ready = wait_for(&what, START_TIMEOUT, || {
        if let Err(ended) = process.check_running() {
            // Ends the wait with the error, since an ended process will not become ready.
            return Ok(Err(ended));
        }
        let response = caller.send(&HttpRequest::get(READY_PATH).timeout(READY_TIMEOUT))?;
        if response.status == 200 {
            return Ok(Ok(()));
        }
        Err(ProcessError::UnexpectedResponse {
            name: process.name().to_owned(),
            request: format!("GET {READY_PATH}"),
            response: Box::new(response),
        })
    });
    ready?
}

/// A running mesh. Dropping it kills its processes. If the test is panicking, the drop keeps the
/// folder with the logs and prints its path to standard error.
#[derive(Debug)]
pub struct Mesh {
    /// Nodes, ordered by service, then by region. They are declared first so that they are dropped
    /// before the control instances.
    pub nodes: Vec<NodeInstance>,
    /// Control instances, voters first.
    pub controls: Vec<ControlInstance>,
    services: Vec<ServicePlan>,
    dir: Option<TempDir>,
    log_dir: PathBuf,
}

impl Mesh {
    pub(super) fn start(plan: MeshPlan) -> Result<Mesh, ProcessError> {
        let control_program = ProgramName::Control.locate()?;
        // The node binary does not have to be built for a mesh without nodes.
        let node_program = match plan.nodes.is_empty() {
            true => PathBuf::new(),
            false => ProgramName::Node.locate()?,
        };
        let log_dir = plan.dir.path().join("logs");
        let mut mesh = Mesh {
            nodes: Vec::with_capacity(plan.nodes.len()),
            controls: Vec::with_capacity(plan.controls.len()),
            services: plan.services,
            dir: Some(plan.dir),
            log_dir,
        };
        for control in plan.controls {
            let flags = control.flags;
            let arguments = flags.arguments();
            let process = mesh.spawn(&flags.name, &control_program, arguments)?;
            mesh.controls.push(ControlInstance { flags, process });
        }
        for control in &mut mesh.controls {
            control.wait_ready()?;
        }
        for node in plan.nodes {
            let flags = node.flags;
            let arguments = flags.arguments();
            let process = mesh.spawn(&flags.name, &node_program, arguments)?;
            let upstream = StandInUpstream::start(node.upstream)?;
            mesh.nodes.push(NodeInstance {
                flags,
                process,
                upstream,
            });
        }
        for node in &mut mesh.nodes {
            node.wait_ready()?;
            // An announcement before the node is ready would fail and be repeated only 2 s later.
            node.upstream.announce_to(node.flags.upstream_http);
        }
        Ok(mesh)
    }

    fn spawn(
        &self,
        name: &str,
        program: &Path,
        arguments: Vec<String>,
    ) -> Result<ManagedProcess, ProcessError> {
        ProcessPlan {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments,
            variables: Vec::new(),
            log_dir: self.log_dir.clone(),
        }
        .start()
    }

    /// Returns a manifest with all services of the mesh and their routes.
    pub fn manifest(&self, version: u64) -> Value {
        manifest(&self.services, version)
    }

    /// Returns the ledger that all upstreams share.
    ///
    /// # Panics
    ///
    /// Panics if the mesh has no node.
    pub fn ledger(&self) -> &RunLedger {
        self.nodes[0].upstream.ledger()
    }

    /// Returns the folder of the log files.
    pub fn log_dir(&self) -> &Path {
        &self.log_dir
    }

    /// Keeps the folder of the mesh, with its data and logs, when the mesh is dropped.
    pub fn keep_dir(&mut self) {
        if let Some(dir) = self.dir.take() {
            let _ = dir.keep();
        }
    }

    /// Stops the nodes and then the control instances with SIGTERM. Fails if a process does not
    /// end with status 0 within `timeout`; the processes that still run are killed when the mesh is
    /// dropped.
    pub fn stop(&mut self, timeout: Duration) -> Result<(), ProcessError> {
        stop_all(self.nodes.iter_mut().map(|node| &mut node.process), timeout)?;
        stop_all(
            self.controls.iter_mut().map(|control| &mut control.process),
            timeout,
        )
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        if thread::panicking() && self.dir.is_some() {
            self.keep_dir();
            eprintln!("logs of the mesh: {}", self.log_dir.display());
        }
    }
}

fn stop_all<'a>(
    processes: impl Iterator<Item = &'a mut ManagedProcess>,
    timeout: Duration,
) -> Result<(), ProcessError> {
    let mut processes: Vec<_> = processes.collect();
    for process in &mut processes {
        process.terminate()?;
    }
    for process in processes {
        process.expect_success(timeout)?;
    }
    Ok(())
}
