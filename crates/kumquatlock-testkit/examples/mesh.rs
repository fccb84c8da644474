//! Demonstrates the main features on loopback: a mesh in three regions accepts a manifest, serves a
//! lookup, and runs a booking only once although it is sent twice.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::{Result, WrapErr, ensure, eyre};
use kumquatlock_testkit::caller::{HttpRequest, HttpResponse};
use kumquatlock_testkit::process::{Mesh, MeshBuilder, wait_for};

/// Maximum time until a manifest is in force, as in the design target.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Maximum time until the mesh accepts the first manifest. Includes the first election.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time until the announced upstreams serve calls.
const SERVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time for all nodes to stop, and then for all control instances.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Version of the submitted manifest.
const MANIFEST_VERSION: u64 = 1;

/// Outcome of a request that is proved not to have run, in the header of the response.
const NOT_RUN_OUTCOME: &str = "not_run";

/// Run a small mesh on loopback.
#[derive(FromArgs)]
struct MeshCommand {
    /// number of upstreams of each service in each of the three regions (default 2)
    #[argh(option, default = "2")]
    upstreams_per_region: usize,

    /// number of replicas in each region (default 0)
    #[argh(option, default = "0")]
    replicas_per_region: usize,

    /// keep the directory with the data and logs
    #[argh(switch)]
    keep: bool,
}

fn main() -> ExitCode {
    let command: MeshCommand = argh::from_env();
    match run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mesh failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: &MeshCommand) -> Result<()> {
    ensure!(
        (1..=9).contains(&command.upstreams_per_region) && command.replicas_per_region <= 9,
        "--upstreams-per-region must be 1..=9 and --replicas-per-region 0..=9"
    );
    let printer = StepPrinter::start();
    let mut mesh = MeshBuilder::three_regions()
        .upstreams_per_region(command.upstreams_per_region)
        .replicas_per_region(command.replicas_per_region)
        .build()
        .and_then(|plan| plan.start())
        .wrap_err("starting the mesh")?;
    printer.print(&format!(
        "started {} control instances, {} nodes and their upstreams",
        mesh.controls.len(),
        mesh.nodes.len()
    ));
    let result = run_steps(&mut mesh, &printer);
    if command.keep || result.is_err() {
        mesh.keep_dir();
        printer.print(&format!("logs are in {}", mesh.log_dir().display()));
    }
    result
}

fn run_steps(mesh: &mut Mesh, printer: &StepPrinter) -> Result<()> {
    submit(mesh, printer).wrap_err("submitting the manifest")?;
    look_up(mesh, printer).wrap_err("serving a lookup")?;
    let first = book(mesh, printer).wrap_err("serving a booking")?;
    resend(mesh, &first, printer).wrap_err("sending the booking again")?;
    mesh.stop(STOP_TIMEOUT).wrap_err("stopping the mesh")?;
    printer.print("stopped all processes gracefully");
    Ok(())
}

fn submit(mesh: &Mesh, printer: &StepPrinter) -> Result<()> {
    let control = &mesh.controls[0];
    let manifest = mesh.manifest(MANIFEST_VERSION);
    // Submitting the same manifest again returns the first response, so a retry is safe.
    let response = wait_for("the manifest is accepted", ACCEPT_TIMEOUT, || {
        let response = control
            .submit(&manifest)
            .map_err(|error| error.to_string())?;
        match response.status {
            200..=299 => Ok(response),
            status => Err(format!("{status}: {}", response.text())),
        }
    })?;
    printer.print(&format!(
        "{} accepted manifest {MANIFEST_VERSION}: {}",
        control.flags.name,
        response.text().trim()
    ));
    let started = Instant::now();
    let manifest_status =
        control.wait_in_force(MANIFEST_VERSION, mesh.nodes.len(), IN_FORCE_TIMEOUT)?;
    printer.print(&format!(
        "manifest {MANIFEST_VERSION} is in force {} ms after the response: {manifest_status}",
        started.elapsed().as_millis()
    ));
    Ok(())
}

fn look_up(mesh: &Mesh, printer: &StepPrinter) -> Result<()> {
    // The last node belongs to another service, so the lookup has to be forwarded to another
    // node.
    let entry = mesh
        .nodes
        .last()
        .ok_or_else(|| eyre!("the mesh has no nodes"))?;
    let caller = entry.caller();
    let response = wait_for("a lookup is served", SERVE_TIMEOUT, || {
        let result = caller.get("/catalogue/tatami");
        expect_service(result.map_err(|error| error.to_string())?, "catalogue")
    })?;
    printer.print(&format!(
        "lookup through {} was served by {} in {} us",
        entry.flags.name,
        response.json()["upstream"],
        response.duration.as_micros()
    ));
    Ok(())
}

/// A booking that was served: the request, which includes its key, and the response.
struct ServedBooking {
    request: HttpRequest,
    body: String,
    response: HttpResponse,
}

fn book(mesh: &Mesh, printer: &StepPrinter) -> Result<ServedBooking> {
    let entry = &mesh.nodes[0];
    let caller = entry.caller();
    let mut attempt = 0;
    let served = wait_for("a booking is served", SERVE_TIMEOUT, || {
        attempt += 1;
        let body = format!("{{\"order\":{attempt}}}");
        let request = HttpRequest::post("/booking", body.as_str()).key(&format!("order-{attempt}"));
        let response = match caller.send(&request) {
            Ok(response) => response,
            // The booking may have run, so it is not sent again with another key.
            Err(error) => return Ok(Err(error.into())),
        };
        // The outcome `not_run` is final for a key, so a refused booking is sent again with a new
        // key.
        let is_refused = response.outcome.as_deref() == Some(NOT_RUN_OUTCOME);
        match expect_service(response, "booking") {
            Ok(response) => Ok(Ok(ServedBooking {
                request,
                body,
                response,
            })),
            Err(reason) if is_refused => Err(reason),
            Err(reason) => Ok(Err(eyre!("unexpected response: {reason}"))),
        }
    })??;
    let run_count = mesh.ledger().runs_of_body(served.body.as_bytes());
    ensure!(
        run_count.started == 1,
        "the booking ran {} times",
        run_count.started
    );
    printer.print(&format!(
        "booking through {} ran once, at {}, in {} us (attempt {attempt})",
        entry.flags.name,
        served.response.json()["upstream"],
        served.response.duration.as_micros()
    ));
    Ok(served)
}

fn resend(mesh: &Mesh, first: &ServedBooking, printer: &StepPrinter) -> Result<()> {
    let entry = mesh
        .nodes
        .last()
        .ok_or_else(|| eyre!("the mesh has no nodes"))?;
    let response = entry.caller().send(&first.request)?;
    let run_count = mesh.ledger().runs_of_body(first.body.as_bytes());
    ensure!(
        run_count.started == 1,
        "the booking ran {} times",
        run_count.started
    );
    ensure!(
        response.status == first.response.status && response.body == first.response.body,
        "the response to the resent booking differs: {} {}",
        response.status,
        response.text()
    );
    let repeated = mesh.ledger().repeated_bodies();
    ensure!(repeated == 0, "{repeated} bookings ran more than once");
    printer.print(&format!(
        "the same booking through {} got the same response and did not run again",
        entry.flags.name
    ));
    Ok(())
}

fn expect_service(response: HttpResponse, service: &str) -> Result<HttpResponse, String> {
    if response.status == 200 && response.json()["service"] == service {
        return Ok(response);
    }
    let outcome = response.outcome.as_deref().unwrap_or("no outcome");
    Err(format!(
        "{} ({outcome}): {}",
        response.status,
        response.text()
    ))
}

/// Prints each step with the time since the start of the program.
struct StepPrinter(Instant);

impl StepPrinter {
    fn start() -> Self {
        StepPrinter(Instant::now())
    }

    fn print(&self, step: &str) {
        println!("[{:7.3} s] {step}", self.0.elapsed().as_secs_f64());
    }
}
