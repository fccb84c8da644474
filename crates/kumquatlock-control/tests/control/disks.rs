//! Lost and damaged data folders.

use std::fs;
use std::time::Duration;

use kumquatlock_testkit::process::{Mesh, wait_for};
use serde_json::{Value, json};

use crate::group::{
    LONG, builder, manifest, show, start, status, submit_until_decided, wait_leader, wait_status,
};

/// Waits until the leader's voter set names the disk that the instance has now.
fn wait_replaced(mesh: &Mesh, lost: usize, old: &Value) {
    let name = &mesh.controls[lost].flags.name;
    wait_for("new disk in the voter set", LONG, || {
        let status = status(&mesh.controls[lost]).map_err(|error| error.to_string())?;
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        let disk = voters.iter().find(|voter| voter["name"] == name.as_str());
        match disk {
            Some(disk) if disk["disk_id"] != *old && status["role"] == "follower" => Ok(()),
            _ => Err(status.to_string()),
        }
    })
    .unwrap();
}

fn disk_of(status: &Value, name: &str) -> Value {
    let voters = status["voters"].as_array().unwrap();
    let disk = voters.iter().find(|voter| voter["name"] == name).unwrap();
    disk["disk_id"].clone()
}

/// Guards against a second failure, right after a voter came back with a new disk, that loses an
/// accepted manifest or the ability to accept.
#[test]
fn a_lost_disk_is_replaced_and_a_second_voter_may_fail() {
    let mut mesh = start(builder());
    let accepted = mesh.controls[0].submit(&manifest(1)).unwrap().json();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let (lost, second) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = mesh.controls[lost].flags.name.clone();
    let old = disk_of(&status(&mesh.controls[leader]).unwrap(), &name);
    mesh.controls[lost].process.kill().unwrap();
    fs::remove_dir_all(&mesh.controls[lost].flags.data_dir).unwrap();
    mesh.controls[lost].process.restart().unwrap();
    mesh.controls[lost].wait_ready().unwrap();
    wait_replaced(&mesh, lost, &old);

    mesh.controls[second].process.kill().unwrap();
    let (code, answer) = submit_until_decided(&mesh.controls[lost], &manifest(2));
    assert_eq!(code, 200, "{answer}");
    mesh.controls[leader].process.kill().unwrap();
    mesh.controls[second].process.restart().unwrap();
    mesh.controls[second].wait_ready().unwrap();
    let (code, answer) = submit_until_decided(&mesh.controls[second], &manifest(1));
    assert_eq!((code, answer), (200, accepted));
    assert_eq!(show(&mesh.controls[lost], "latest")["manifest_version"], 2);
}

/// Guards against a start with a log that has lost what was acknowledged.
#[test]
fn a_damaged_log_is_refused() {
    let mut mesh = start(builder());
    for version in 1..=3 {
        mesh.controls[0].submit(&manifest(version)).unwrap();
    }
    let damaged = &mut mesh.controls[0];
    damaged.process.kill().unwrap();
    let folder = fs::read_dir(&damaged.flags.data_dir).unwrap();
    let mut logs: Vec<_> = folder
        .map(|item| item.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    logs.sort();
    let mut bytes = fs::read(&logs[0]).unwrap();
    bytes[12] ^= 1;
    fs::write(&logs[0], bytes).unwrap();
    damaged.process.restart().unwrap();
    let ended = damaged.process.wait_exit(LONG).unwrap();
    assert_eq!(ended.code(), Some(1));
    assert!(
        damaged.process.log_tail().contains("is corrupt at byte 0"),
        "{}",
        damaged.process.log_tail()
    );
}

/// Guards against two processes that write to one folder.
#[test]
fn a_folder_belongs_to_one_process() {
    let mut mesh = start(builder());
    let folder = mesh.controls[0].flags.data_dir.clone();
    let other = &mut mesh.controls[1];
    other.process.kill().unwrap();
    let arguments = &mut other.process.plan_mut().arguments;
    let position = arguments.iter().position(|flag| flag == "--data-dir");
    arguments[position.unwrap() + 1] = folder.display().to_string();
    other.process.restart().unwrap();
    let ended = other.process.wait_exit(Duration::from_secs(10)).unwrap();
    assert_eq!(ended.code(), Some(1));
    assert!(
        other
            .process
            .log_tail()
            .contains("is in use by another process")
    );
}

/// Guards against a voter that acknowledges what it could not write, that takes the group down
/// with it, or that does not come back when the disk has space again.
#[test]
fn a_voter_that_cannot_write_stops_acknowledging() {
    const LIMITED: &str = "trap '' XFSZ; ulimit -f 16; exec \"$0\" \"$@\"";
    let mut mesh = start(builder());
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let victim = (leader + 1) % 3;
    let process = &mut mesh.controls[victim].process;
    process.kill().unwrap();
    let plan = process.plan_mut();
    let (program, arguments) = (plan.program.clone(), plan.arguments.clone());
    // The shell limits the size of the files that its successor may write.
    plan.arguments = vec!["-c".into(), LIMITED.into(), program.display().to_string()];
    plan.arguments.extend(arguments.iter().cloned());
    plan.program = "/bin/sh".into();
    process.restart().unwrap();
    mesh.controls[victim].wait_ready().unwrap();
    wait_leader(&mesh, &[0, 1, 2]);

    let mut version = 0;
    let mut accepted = Value::Null;
    wait_for("the victim stops", LONG, || {
        version += 1;
        let (code, answer) = submit_until_decided(&mesh.controls[leader], &manifest(version));
        assert_eq!(code, 200, "{answer}");
        accepted = answer;
        match status(&mesh.controls[victim]).unwrap()["role"] == "halted" {
            true => Ok(()),
            false => Err(version),
        }
    })
    .unwrap();
    let answer = mesh.controls[victim]
        .submit(&manifest(version + 1))
        .unwrap();
    assert_eq!(
        (answer.status, answer.json()),
        (
            503,
            json!({ "outcome": "not_run", "reason": "storage_failed" })
        )
    );
    // The other two go on.
    let (code, _) = submit_until_decided(&mesh.controls[leader], &manifest(version + 1));
    assert_eq!(code, 200);

    let process = &mut mesh.controls[victim].process;
    process.kill().unwrap();
    process.plan_mut().program = program;
    process.plan_mut().arguments = arguments;
    process.restart().unwrap();
    mesh.controls[victim].wait_ready().unwrap();
    wait_status(
        &mesh.controls[victim],
        "manifest_version",
        &json!(version + 1),
    );
}
