//! Processes with lowered limits, and what the operating system reports about them.

use std::fs;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kumquatlock::core::RequestClass;
use kumquatlock_testkit::caller::{HttpCaller, HttpRequest};
use kumquatlock_testkit::process::{ManagedProcess, Mesh, MeshBuilder, wait_for};

/// Memory of each process in these tests, in megabytes.
pub(crate) const MEMORY_MB: usize = 64;
/// Number of descriptors of each process in these tests.
pub(crate) const DESCRIPTORS: usize = 300;
/// Maximum size of a body without limits in the manifest, in bytes.
pub(crate) const BODY_BYTES: usize = 1024 * 1024;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Service that the crowds call.
pub(crate) const SERVICE: &str = "upload";
const PATH: &str = "/upload";

static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test of this binary runs. The guard must be kept until the end.
pub(crate) fn wait_turn() -> MutexGuard<'static, ()> {
    // A failed test does not affect the next one.
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts one voter and one node beside an upstream, and waits until requests are served.
pub(crate) fn start_mesh() -> Mesh {
    start_services(&[SERVICE])
}

/// Starts one voter and one node for each service, of which [`SERVICE`] is the first.
pub(crate) fn start_services(services: &[&str]) -> Mesh {
    let mut builder = MeshBuilder::default().voters(1);
    for service in services {
        builder = builder.service(service, RequestClass::Lookup);
    }
    let limits = [
        ("--memory-mb", MEMORY_MB),
        ("--max-descriptors", DESCRIPTORS),
    ];
    for (flag, value) in limits {
        for argument in [flag, &value.to_string()] {
            builder = builder.control_argument(argument).node_argument(argument);
        }
    }
    let mesh = builder.build().unwrap().start().unwrap();
    let manifest = mesh.manifest(1);
    wait_for("manifest accepted", WAIT_TIMEOUT, || {
        let answer = mesh.controls[0].submit(&manifest).unwrap();
        match answer.status {
            200 => Ok(()),
            _ => Err(answer.text()),
        }
    })
    .unwrap();
    wait_answered(&mesh);
    mesh
}

/// Waits until an ordinary request of a caller is answered by the upstream.
pub(crate) fn wait_answered(mesh: &Mesh) {
    let request = HttpRequest::post(PATH, "ordinary");
    wait_status(&mesh.nodes[0].caller(), &request, 200);
}

/// Waits until a request gets a status. Each attempt uses a new connection.
pub(crate) fn wait_status(caller: &HttpCaller, request: &HttpRequest, status: u16) {
    let target = caller.target();
    wait_for("an ordinary request is answered", WAIT_TIMEOUT, || {
        let answer = HttpCaller::new(target).send(request);
        let answer = answer.map_err(|error| error.to_string())?;
        match answer.status == status {
            true => Ok(()),
            false => Err(format!("{}: {}", answer.status, answer.text())),
        }
    })
    .unwrap();
}

/// Checks that a process lives and that its peak memory and its descriptors are within its
/// settings.
pub(crate) fn check_limits(process: &mut ManagedProcess) {
    process.check_running().unwrap();
    let peak = status_bytes(process, "VmHWM:");
    let descriptors = open_descriptors(process);
    println!(
        "{}: peak {} MB, now {} MB, {descriptors} descriptors",
        process.name(),
        peak / 1_000_000,
        status_bytes(process, "VmRSS:") / 1_000_000
    );
    assert!(
        peak <= MEMORY_MB * 1_000_000,
        "peak memory of {} is {peak} bytes",
        process.name()
    );
    assert!(
        descriptors <= DESCRIPTORS,
        "{} has {descriptors} open descriptors",
        process.name()
    );
}

/// Returns a size in the status file of a process, in bytes.
pub(crate) fn status_bytes(process: &ManagedProcess, field: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    let kibibytes = value.and_then(|value| value.trim().strip_suffix(" kB"));
    kibibytes.unwrap().parse::<usize>().unwrap() * 1024
}

fn open_descriptors(process: &ManagedProcess) -> usize {
    let folder = fs::read_dir(format!("/proc/{}/fd", process.id())).unwrap();
    folder.count()
}
