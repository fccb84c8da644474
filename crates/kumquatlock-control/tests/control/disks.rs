//! Lost and corrupted data folders.

use std::fs;
use std::time::Duration;

use kumquatlock_testkit::process::{Mesh, wait_for};
use serde_json::{Value, json};

use crate::group::{
    WAIT_TIMEOUT, builder, manifest, show, start, status, submit_until_decided, wait_leader,
    wait_status,
};

/// Waits until the instance is a follower and its voter set lists a new disk for it.
fn wait_disk_replaced(mesh: &Mesh, replaced: usize, old_disk_id: &Value) {
    let name = &mesh.controls[replaced].flags.name;
    wait_for("new disk in the voter set", WAIT_TIMEOUT, || {
        let status = status(&mesh.controls[replaced]).map_err(|error| error.to_string())?;
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        let disk = voters.iter().find(|voter| voter["name"] == name.as_str());
        match disk {
            Some(disk) if disk["disk_id"] != *old_disk_id && status["role"] == "follower" => Ok(()),
            _ => Err(status.to_string()),
        }
    })
    .unwrap();
}

fn disk_id_in(status: &Value, name: &str) -> Value {
    let voters = status["voters"].as_array().unwrap();
    let disk = voters.iter().find(|voter| voter["name"] == name).unwrap();
    disk["disk_id"].clone()
}

/// Guards against the loss of an accepted manifest, or of the ability to accept one, when a second
/// voter fails right after the first one came back with a new disk.
#[test]
fn a_lost_disk_is_replaced_and_a_second_voter_may_fail() {
    let mut mesh = start(builder());
    let accepted = mesh.controls[0].submit(&manifest(1)).unwrap().json();
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let (replaced, second) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = mesh.controls[replaced].flags.name.clone();
    let old_disk_id = disk_id_in(&status(&mesh.controls[leader]).unwrap(), &name);
    mesh.controls[replaced].process.kill().unwrap();
    fs::remove_dir_all(&mesh.controls[replaced].flags.data_dir).unwrap();
    mesh.controls[replaced].process.restart().unwrap();
    mesh.controls[replaced].wait_ready().unwrap();
    wait_disk_replaced(&mesh, replaced, &old_disk_id);

    mesh.controls[second].process.kill().unwrap();
    let (code, answer) = submit_until_decided(&mesh.controls[replaced], &manifest(2));
    assert_eq!(code, 200, "{answer}");
    mesh.controls[leader].process.kill().unwrap();
    mesh.controls[second].process.restart().unwrap();
    mesh.controls[second].wait_ready().unwrap();
    let (code, answer) = submit_until_decided(&mesh.controls[second], &manifest(1));
    assert_eq!((code, answer), (200, accepted));
    assert_eq!(
        show(&mesh.controls[replaced], "latest")["manifest_version"],
        2
    );
}

/// Guards against a voter that starts with a log that has lost acknowledged entries.
#[test]
fn a_corrupt_log_prevents_the_start() {
    let mut mesh = start(builder());
    for version in 1..=3 {
        mesh.controls[0].submit(&manifest(version)).unwrap();
    }
    let corrupted = &mut mesh.controls[0];
    corrupted.process.kill().unwrap();
    let data_dir = fs::read_dir(&corrupted.flags.data_dir).unwrap();
    let mut logs: Vec<_> = data_dir
        .map(|item| item.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    logs.sort();
    let mut bytes = fs::read(&logs[0]).unwrap();
    bytes[12] ^= 1;
    fs::write(&logs[0], bytes).unwrap();
    corrupted.process.restart().unwrap();
    let exit_status = corrupted.process.wait_exit(WAIT_TIMEOUT).unwrap();
    assert_eq!(exit_status.code(), Some(1));
    assert!(
        corrupted
            .process
            .log_tail()
            .contains("is corrupt at byte 0"),
        "{}",
        corrupted.process.log_tail()
    );
}

/// Guards against two processes that write to the same data folder.
#[test]
fn a_data_folder_in_use_is_refused() {
    let mut mesh = start(builder());
    let data_dir = mesh.controls[0].flags.data_dir.clone();
    let other = &mut mesh.controls[1];
    other.process.kill().unwrap();
    let arguments = &mut other.process.plan_mut().arguments;
    let position = arguments.iter().position(|flag| flag == "--data-dir");
    arguments[position.unwrap() + 1] = data_dir.display().to_string();
    other.process.restart().unwrap();
    let exit_status = other.process.wait_exit(Duration::from_secs(10)).unwrap();
    assert_eq!(exit_status.code(), Some(1));
    assert!(
        other
            .process
            .log_tail()
            .contains("is in use by another process")
    );
}

/// Guards against a voter that acknowledges entries it could not write, whose failure stops the
/// whole group, or that does not recover when its disk has space again.
#[test]
fn a_voter_that_cannot_write_stops_acknowledging() {
    const LIMITED_SHELL_SCRIPT: &str = "trap '' XFSZ; ulimit -f 16; exec \"$0\" \"$@\"";
    let mut mesh = start(builder());
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let limited = (leader + 1) % 3;
    let process = &mut mesh.controls[limited].process;
    process.kill().unwrap();
    let plan = process.plan_mut();
    let (program, arguments) = (plan.program.clone(), plan.arguments.clone());
    // The shell limits the size of the files that the program it executes may write.
    plan.arguments = vec![
        "-c".into(),
        LIMITED_SHELL_SCRIPT.into(),
        program.display().to_string(),
    ];
    plan.arguments.extend(arguments.iter().cloned());
    plan.program = "/bin/sh".into();
    process.restart().unwrap();
    mesh.controls[limited].wait_ready().unwrap();
    wait_leader(&mesh, &[0, 1, 2]);

    let mut version = 0;
    let mut accepted = Value::Null;
    wait_for("the voter with limited space halts", WAIT_TIMEOUT, || {
        version += 1;
        let (code, answer) = submit_until_decided(&mesh.controls[leader], &manifest(version));
        assert_eq!(code, 200, "{answer}");
        accepted = answer;
        match status(&mesh.controls[limited]).unwrap()["role"] == "halted" {
            true => Ok(()),
            false => Err(version),
        }
    })
    .unwrap();
    let answer = mesh.controls[limited]
        .submit(&manifest(version + 1))
        .unwrap();
    assert_eq!(
        (answer.status, answer.json()),
        (
            503,
            json!({ "outcome": "not_run", "reason": "storage_failed" })
        )
    );
    // The other two voters still accept manifests.
    let (code, _) = submit_until_decided(&mesh.controls[leader], &manifest(version + 1));
    assert_eq!(code, 200);

    let process = &mut mesh.controls[limited].process;
    process.kill().unwrap();
    process.plan_mut().program = program;
    process.plan_mut().arguments = arguments;
    process.restart().unwrap();
    mesh.controls[limited].wait_ready().unwrap();
    wait_status(
        &mesh.controls[limited],
        "manifest_version",
        &json!(version + 1),
    );
}
