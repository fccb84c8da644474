//! Validation of settings when a control instance starts.

use std::fmt::Write as _;
use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;

use indexmap::IndexMap;
use kumquatlock_testkit::process::{ProgramName, free_address};

/// Flags with which a voter can start.
const VALID_FLAGS: [(&str, &str); 7] = [
    ("--name", "voter-1"),
    ("--listen", "127.0.0.1:0"),
    ("--http", "127.0.0.1:0"),
    ("--data-dir", "data"),
    (
        "--voters",
        "voter-1=127.0.0.1:1,voter-2=127.0.0.1:2,voter-3=127.0.0.1:3",
    ),
    ("--zone", "osrednja-1"),
    ("--region", "osrednja"),
];

/// Starts a voter with changed settings and returns its exit code and output. A change is
/// `--flag=value`, `--flag=` to omit the flag, or `VARIABLE=value`.
fn run_with(dir: &Path, changes: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(ProgramName::Control.locate().unwrap());
    command.env_clear().current_dir(dir).arg("serve");
    let mut flags: IndexMap<&str, &str> = VALID_FLAGS.into_iter().collect();
    for change in changes {
        match change.split_once('=').unwrap() {
            (flag, value) if flag.starts_with("--") => {
                flags.insert(flag, value);
            }
            (variable, value) => {
                command.env(variable, value);
            }
        }
    }
    flags.retain(|_, value| !value.is_empty());
    let output = command
        .args(flags.into_iter().flat_map(<[&str; 2]>::from))
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against a process that starts with an invalid setting or whose error does not name it.
#[test]
fn an_invalid_setting_prevents_the_start_with_one_error() {
    let starts: &[&[&str]] = &[
        &["--name="],
        &["--name=Voter 1"],
        &["--listen=localhost:1"],
        &["--http=127.0.0.1"],
        &["--role=leader"],
        &["--data-dir="],
        &["--voters="],
        &["--voters=voter-2=127.0.0.1:2"],
        &["--voters=voter-1=127.0.0.1:1,voter-2=127.0.0.1:2"],
        &["--voters=voter-1=127.0.0.1:1,"],
        &["--role=replica"],
        &["--role=replica", "--parents=127.0.0.1:0"],
        &["--zone="],
        &["--region=é"],
        &["--log=loud"],
        &["--heartbeat-ms=0"],
        &["KUMQUATLOCK_HEARTBEAT_MS=150ms"],
        &["KUMQUATLOCK_ELECTION_TIMEOUT_MS=400"],
        &["--expiry-ms=99"],
        &["--expiry-grace-ms=x"],
        &["--data-dir=file"],
        &["--data-dir=damaged"],
    ];
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("file"), "").unwrap();
    fs::create_dir(dir.path().join("damaged")).unwrap();
    fs::write(dir.path().join("damaged/metadata"), "garbage").unwrap();
    let mut table = String::new();
    for changes in starts {
        let (code, text) = run_with(dir.path(), changes);
        assert_eq!(code, Some(1), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        // A cause must not be printed twice.
        assert!(text.matches("os error").count() <= 1, "{text}");
        writeln!(table, "{}\n  {text}", changes.join(" ")).unwrap();
    }
    insta::assert_snapshot!("bad_settings", table);
}

/// Guards against a process that keeps running although it cannot listen on its address.
#[test]
fn an_address_in_use_prevents_the_start() {
    let dir = tempfile::tempdir().unwrap();
    let address = free_address().unwrap();
    let _listener = TcpListener::bind(address).unwrap();
    for flag in ["--listen", "--http"] {
        let change = format!("{flag}={address}");
        let (code, output) = run_with(dir.path(), &[&change, "--log=error"]);
        assert_eq!(code, Some(1), "{output}");
        let expected = format!("error: control instance failed: failed to listen on {address}: ");
        assert!(output.starts_with(&expected), "{output}");
    }
}

/// Guards against flags that are missing from the help text.
#[test]
fn help_names_every_flag() {
    let mut command = Command::new(ProgramName::Control.locate().unwrap());
    let output = command.args(["serve", "--help"]).output().unwrap();
    let help = String::from_utf8(output.stdout).unwrap();
    for line in kumquatlock::ops::control::ControlSettings::describe() {
        let flag = line.split(':').next().unwrap();
        assert!(help.contains(&format!("{flag} ")), "{flag} is missing");
    }
}
