//! Tests of the process helpers. They run the example `upstream` instead of the real binaries.

use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::json;
use tempfile::TempDir;

use super::child::profile_folder;
use super::*;
use crate::caller::{HttpCaller, HttpRequest};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Exit status of a process that was ended by a second SIGTERM: 128 + 15.
const SECOND_SIGNAL_STATUS: i32 = 143;

fn start_upstream(dir: &TempDir, arguments: &[&str]) -> (ManagedProcess, HttpCaller) {
    let executable = std::env::current_exe().unwrap();
    let program = profile_folder(&executable).join("examples/upstream");
    assert!(
        program.is_file(),
        "the example `upstream` is missing; build it with `cargo build --examples`"
    );
    let listen = free_address().unwrap();
    let mut all_arguments = vec!["--name", "booking-1", "--service", "booking"];
    let listen_text = listen.to_string();
    all_arguments.extend(["--listen", &listen_text]);
    all_arguments.extend(arguments);
    let plan = ProcessPlan {
        name: "upstream".into(),
        program,
        arguments: all_arguments.into_iter().map(str::to_owned).collect(),
        variables: Vec::new(),
        log_dir: dir.path().to_owned(),
    };
    let mut process = plan.start().unwrap();
    let caller = HttpCaller::new(listen);
    wait_for("the upstream responds", LONG_TIMEOUT, || {
        process.check_running().unwrap();
        caller.get("/health")
    })
    .unwrap();
    (process, caller)
}

fn wait_busy(caller: &HttpCaller) {
    wait_until("the request runs", LONG_TIMEOUT, || {
        caller.get("/load").unwrap().json()["in_flight"] == 1
    })
    .unwrap();
}

/// Guards against a shutdown that aborts a request in flight, and against log lines that are not
/// JSON.
#[test]
fn sigterm_lets_the_request_in_flight_finish() {
    let dir = TempDir::new().unwrap();
    let (mut process, caller) = start_upstream(&dir, &["--service-ms", "400"]);
    let call = thread::spawn({
        let caller = caller.clone();
        move || caller.post("/book", "seat 7")
    });
    wait_busy(&caller);
    process.stop(LONG_TIMEOUT).unwrap();
    assert_eq!(call.join().unwrap().unwrap().status, 200);
    let records = process.log_records();
    assert_eq!(records.len(), process.log_text().lines().count());
    let last_record = records.last().unwrap();
    assert_eq!(
        (&last_record["event"], &last_record["finished"]),
        (&json!("stopped"), &json!(1))
    );
}

/// Guards against a graceful shutdown that an operator cannot end early with a second SIGTERM.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    let dir = TempDir::new().unwrap();
    let (mut process, caller) = start_upstream(&dir, &["--service-ms", "60000"]);
    thread::spawn({
        let caller = caller.clone();
        move || caller.send(&HttpRequest::get("/slow").timeout(LONG_TIMEOUT))
    });
    wait_busy(&caller);
    process.terminate().unwrap();
    let timeout_error = process.wait_exit(Duration::from_millis(200)).unwrap_err();
    assert!(
        matches!(timeout_error, ProcessError::StillRunning { .. }),
        "{timeout_error}"
    );
    process.terminate().unwrap();
    let exit_error = process
        .expect_success(LONG_TIMEOUT)
        .unwrap_err()
        .to_string();
    assert!(
        exit_error.contains("\"event\":\"stopping\""),
        "{exit_error}"
    );
    let code = process.status().unwrap().and_then(|status| status.code());
    assert_eq!(code, Some(SECOND_SIGNAL_STATUS));
}

#[test]
fn a_paused_process_does_not_respond_and_a_killed_one_restarts() {
    let dir = TempDir::new().unwrap();
    let (mut process, caller) = start_upstream(&dir, &[]);
    process.pause().unwrap();
    let call = thread::spawn({
        let caller = caller.clone();
        move || caller.get("/a")
    });
    thread::sleep(Duration::from_millis(200));
    assert!(!call.is_finished());
    process.resume().unwrap();
    assert_eq!(call.join().unwrap().unwrap().status, 200);
    assert_eq!(process.kill().unwrap().signal(), Some(9));
    assert!(process.check_running().is_err());
    process.restart().unwrap();
    let status = wait_for("the process responds again", LONG_TIMEOUT, || {
        caller.get("/a")
    })
    .unwrap()
    .status;
    assert_eq!(status, 200);
}

/// Guards against child processes that keep running after their test has ended.
#[test]
fn drop_kills_the_process() {
    let dir = TempDir::new().unwrap();
    let (process, caller) = start_upstream(&dir, &[]);
    drop(process);
    assert!(HttpCaller::new(caller.target()).get("/health").is_err());
}

#[test]
fn a_missing_binary_error_includes_the_build_command() {
    for (executable, command) in [
        (
            "/none/target/release/examples/mesh",
            "cargo build --release -p",
        ),
        ("/none/target/debug/deps/tests-0", "cargo build -p"),
        ("/none/target/quick/mesh", "cargo build --profile quick -p"),
    ] {
        let error = ProgramName::Node
            .locate_next_to(Path::new(executable))
            .unwrap_err();
        let text = error.to_string();
        assert!(
            text.contains(command) && text.contains("kumquatlock-node is not at"),
            "{text}"
        );
    }
}

#[test]
fn a_failed_wait_includes_the_last_error() {
    let error = wait_for("port open", Duration::from_millis(20), || {
        Err::<(), _>("refused")
    });
    let text = error.unwrap_err().to_string();
    assert!(
        text.starts_with("condition not met within") && text.ends_with(": port open (refused)"),
        "{text}"
    );
}

/// Guards against a layout in which two processes share an address, or in which the first parent of
/// a node is not a replica of its region.
#[test]
fn three_regions_have_unique_addresses_and_regional_parents() {
    let plan = MeshBuilder::three_regions()
        .replicas_per_region(1)
        .build()
        .unwrap();
    assert_eq!((plan.controls.len(), plan.nodes.len()), (6, 18));
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for control in &plan.controls {
        addresses.extend([control.flags.listen, control.flags.http]);
    }
    for node in &plan.nodes {
        let flags = &node.flags;
        addresses.extend([flags.listen, flags.http, flags.upstream_http]);
        let first_parent = plan
            .controls
            .iter()
            .find(|control| control.flags.listen == flags.parents[0]);
        let first_parent = &first_parent.unwrap().flags;
        assert_eq!(
            (&first_parent.region, first_parent.role),
            (&flags.region, ControlRole::Replica)
        );
        assert_eq!(flags.parents.len(), 6);
    }
    let count = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), count);
    let node = &plan.nodes[7].flags;
    assert_eq!(
        (&*node.name, &*node.zone),
        ("booking-osrednja-2", "osrednja-2")
    );
    let line = plan.controls[1].flags.arguments().join(" ");
    assert!(
        line.starts_with("serve --name voter-2 --listen 127."),
        "{line}"
    );
    assert!(
        line.contains(" --role voter --voters voter-1=127."),
        "{line}"
    );
    assert!(
        line.ends_with(" --zone stajerska-1 --region stajerska"),
        "{line}"
    );
    assert_eq!(
        plan.manifest(3)["routes"][1],
        json!({"name": "booking", "prefix": "/booking", "class": "at-most-once",
               "service": "booking"})
    );
}
