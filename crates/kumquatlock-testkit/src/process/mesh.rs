//! A running mesh.

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

/// Time in which a started process must answer.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for one answer of a process that starts; short, so that its end is noticed soon.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Path that every process answers from its start on.
const READY_PATH: &str = "/metrics";

/// Path of manifests on control instances.
const MANIFESTS_PATH: &str = "/v1/manifests";

/// Value of `state` in the answer about a manifest that every node has applied.
const IN_FORCE_STATE: &str = "in_force";

/// A running control instance.
#[derive(Debug)]
pub struct ControlInstance {
    /// Its command line.
    pub flags: ControlFlags,
    /// Its process.
    pub process: ManagedProcess,
}

/// A running node with its upstream.
#[derive(Debug)]
pub struct NodeInstance {
    /// Its command line.
    pub flags: NodeFlags,
    /// Its process.
    pub process: ManagedProcess,
    /// Its upstream, in this process.
    pub upstream: StandInUpstream,
}

impl ControlInstance {
    /// A caller of the operator address.
    pub fn caller(&self) -> HttpCaller {
        HttpCaller::new(self.flags.http)
    }

    /// Submits a manifest and returns the answer, whatever it says.
    pub fn submit(&self, manifest: &Value) -> Result<HttpResponse, ProcessError> {
        let plan = HttpRequest::post(MANIFESTS_PATH, manifest.to_string())
            .header("Content-Type", "application/json");
        Ok(self.caller().send(&plan)?)
    }

    /// What the instance says about a manifest.
    pub fn show(&self, version: u64) -> Result<HttpResponse, ProcessError> {
        Ok(self.caller().get(&format!("{MANIFESTS_PATH}/{version}"))?)
    }

    /// Waits until the instance answers that the manifest is in force on at least `nodes` nodes.
    pub fn wait_in_force(
        &self,
        version: u64,
        nodes: usize,
        timeout: Duration,
    ) -> Result<Value, ProcessError> {
        let what = format!("manifest {version} in force");
        let shown = wait_for(&what, timeout, || {
            let response = self.show(version)?;
            let shown = response.json();
            let applied = shown["applied"].as_u64().unwrap_or(0);
            if shown["state"] == IN_FORCE_STATE && applied >= nodes as u64 {
                return Ok(shown);
            }
            Err(ProcessError::UnexpectedResponse {
                name: self.flags.name.clone(),
                request: format!("GET {MANIFESTS_PATH}/{version}"),
                response: Box::new(response),
            })
        });
        Ok(shown?)
    }

    /// Waits until the process answers.
    pub fn wait_ready(&mut self) -> Result<(), ProcessError> {
        wait_ready(&self.caller(), &mut self.process)
    }
}

impl NodeInstance {
    /// A caller of the address for callers.
    pub fn caller(&self) -> HttpCaller {
        HttpCaller::new(self.flags.http)
    }

    /// Waits until the process answers.
    pub fn wait_ready(&mut self) -> Result<(), ProcessError> {
        wait_ready(&self.caller(), &mut self.process)
    }
}

fn wait_ready(caller: &HttpCaller, process: &mut ManagedProcess) -> Result<(), ProcessError> {
    let what = format!("{} answers", process.name());
    let ready = wait_for(&what, START_TIMEOUT, || {
        if let Err(ended) = process.check_running() {
            // An ended process is not waited for.
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

/// A running mesh. Dropping it kills its processes; if the test is panicking, the folder with the
/// logs is kept and named on standard error.
#[derive(Debug)]
pub struct Mesh {
    /// Nodes by service, then region. They end before the control instances.
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
        // A mesh of control instances only does not need the other binary to be built.
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
            // Before, the announcement would fail and be repeated only 2 s later.
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

    /// A manifest with all services and their routes.
    pub fn manifest(&self, version: u64) -> Value {
        manifest(&self.services, version)
    }

    /// The ledger that all upstreams share.
    ///
    /// # Panics
    ///
    /// Panics if the mesh has no upstream.
    pub fn ledger(&self) -> &RunLedger {
        self.nodes[0].upstream.ledger()
    }

    /// Folder of the logs.
    pub fn log_dir(&self) -> &Path {
        &self.log_dir
    }

    /// Keeps the folder of the mesh when the mesh is dropped.
    pub fn keep_dir(&mut self) {
        if let Some(dir) = self.dir.take() {
            let _ = dir.keep();
        }
    }

    /// Stops the nodes and then the control instances with SIGTERM. Every process must end with
    /// status 0 within `timeout`; those that do not are killed.
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
