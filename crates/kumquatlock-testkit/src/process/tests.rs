//! Tests of the process helpers. The example `upstream` takes the place of the binaries.

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

const LONG: Duration = Duration::from_secs(20);

/// Status of a process that a second SIGTERM ended: 128 + 15.
const SECOND_SIGNAL_STATUS: i32 = 143;

fn start_upstream(dir: &TempDir, arguments: &[&str]) -> (ManagedProcess, HttpCaller) {
    let executable = std::env::current_exe().unwrap();
    let program = profile_folder(&executable).join("examples/upstream");
    assert!(program.is_file(), "build it with `cargo build --examples`");
    let listen = free_address().unwrap();
    let mut all = vec!["--name", "booking-1", "--service", "booking"];
    let listen_text = listen.to_string();
    all.extend(["--listen", &listen_text]);
    all.extend(arguments);
    let plan = ProcessPlan {
        name: "upstream".into(),
        program,
        arguments: all.into_iter().map(str::to_owned).collect(),
        variables: Vec::new(),
        log_dir: dir.path().to_owned(),
    };
    let mut process = plan.start().unwrap();
    let caller = HttpCaller::new(listen);
    wait_for("upstream answers", LONG, || {
        process.check_running().unwrap();
        caller.get("/health")
    })
    .unwrap();
    (process, caller)
}

fn wait_busy(caller: &HttpCaller) {
    wait_until("request runs", LONG, || {
        caller.get("/load").unwrap().json()["in_flight"] == 1
    })
    .unwrap();
}

/// Guards against a shutdown that breaks a request in flight, and against log lines that are not
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
    process.stop(LONG).unwrap();
    assert_eq!(call.join().unwrap().unwrap().status, 200);
    let records = process.log_records();
    assert_eq!(records.len(), process.log_text().lines().count());
    let last = records.last().unwrap();
    assert_eq!(
        (&last["event"], &last["finished"]),
        (&json!("stopped"), &json!(1))
    );
}

/// Guards against a shutdown that cannot be cut short by the operator.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    let dir = TempDir::new().unwrap();
    let (mut process, caller) = start_upstream(&dir, &["--service-ms", "60000"]);
    thread::spawn({
        let caller = caller.clone();
        move || caller.send(&HttpRequest::get("/slow").timeout(LONG))
    });
    wait_busy(&caller);
    process.terminate().unwrap();
    let running = process.wait_exit(Duration::from_millis(200)).unwrap_err();
    assert!(
        matches!(running, ProcessError::StillRunning { .. }),
        "{running}"
    );
    process.terminate().unwrap();
    let ended = process.expect_success(LONG).unwrap_err().to_string();
    assert!(ended.contains("\"event\":\"stopping\""), "{ended}");
    let code = process.status().unwrap().and_then(|status| status.code());
    assert_eq!(code, Some(SECOND_SIGNAL_STATUS));
}

#[test]
fn a_paused_process_is_silent_and_a_killed_one_starts_again() {
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
    let status = wait_for("answers again", LONG, || caller.get("/a"))
        .unwrap()
        .status;
    assert_eq!(status, 200);
}

/// Guards against processes that outlive their test.
#[test]
fn drop_kills_the_process() {
    let dir = TempDir::new().unwrap();
    let (process, caller) = start_upstream(&dir, &[]);
    drop(process);
    assert!(HttpCaller::new(caller.target()).get("/health").is_err());
}

#[test]
fn a_missing_binary_names_the_command_that_builds_it() {
    for (executable, command) in [
        (
            "/none/target/release/examples/mesh",
            "cargo build --release -p",
        ),
        ("/none/target/debug/deps/tests-0", "cargo build -p"),
        ("/none/target/quick/mesh", "cargo build --profile quick -p"),
    ] {
        let error = ProgramName::Node
            .locate_beside(Path::new(executable))
            .unwrap_err();
        let text = error.to_string();
        assert!(
            text.contains(command) && text.contains("kumquatlock-node is not at"),
            "{text}"
        );
    }
}

#[test]
fn a_wait_that_fails_says_why() {
    let error = wait_for("port open", Duration::from_millis(20), || {
        Err::<(), _>("refused")
    });
    let text = error.unwrap_err().to_string();
    assert!(
        text.starts_with("not reached within") && text.ends_with(": port open (refused)"),
        "{text}"
    );
}

/// Guards against a layout in which processes share an address or a node has no parent.
#[test]
fn the_layout_of_kranjc() {
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
        let first = plan
            .controls
            .iter()
            .find(|control| control.flags.listen == flags.parents[0]);
        let first = &first.unwrap().flags;
        assert_eq!(
            (&first.region, first.role),
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
