//! Settings at the start.

use std::fmt::Write as _;
use std::fs;
use std::net::TcpListener;
use std::process::Command;

use kumquatlock_testkit::process::{ProgramName, free_address};

/// Flags of a voter that could start.
const GOOD: [(&str, &str); 7] = [
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

/// A start with some flags replaced or, with an empty value, left out.
struct BadStart<'a> {
    flags: &'a [(&'a str, &'a str)],
    variables: &'a [(&'a str, &'a str)],
}

fn run_in(dir: &std::path::Path, start: &BadStart<'_>) -> (Option<i32>, String) {
    let mut command = Command::new(ProgramName::Control.locate().unwrap());
    command.env_clear().current_dir(dir).arg("serve");
    let replaced = |name: &str| start.flags.iter().find(|(flag, _)| *flag == name);
    for (name, value) in GOOD {
        let value = replaced(name).map_or(value, |(_, value)| value);
        if !value.is_empty() {
            command.args([name, value]);
        }
    }
    let is_added = |(name, _): &&(&str, &str)| GOOD.iter().all(|(good, _)| good != name);
    for (name, value) in start.flags.iter().filter(is_added) {
        command.args([name, value]);
    }
    command.envs(start.variables.iter().copied());
    let output = command.output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against a process that starts with a setting it cannot use, or that does not say which
/// one it is.
#[test]
fn a_bad_setting_ends_the_start_with_one_error() {
    let starts: &[BadStart<'_>] = &[
        BadStart {
            flags: &[("--name", "")],
            variables: &[],
        },
        BadStart {
            flags: &[("--name", "Voter 1")],
            variables: &[],
        },
        BadStart {
            flags: &[("--listen", "localhost:1")],
            variables: &[],
        },
        BadStart {
            flags: &[("--http", "127.0.0.1")],
            variables: &[],
        },
        BadStart {
            flags: &[("--role", "leader")],
            variables: &[],
        },
        BadStart {
            flags: &[("--data-dir", "")],
            variables: &[],
        },
        BadStart {
            flags: &[("--voters", "")],
            variables: &[],
        },
        BadStart {
            flags: &[("--voters", "voter-2=127.0.0.1:2")],
            variables: &[],
        },
        BadStart {
            flags: &[("--voters", "voter-1=127.0.0.1:1,voter-2=127.0.0.1:2")],
            variables: &[],
        },
        BadStart {
            flags: &[("--voters", "voter-1=127.0.0.1:1,")],
            variables: &[],
        },
        BadStart {
            flags: &[("--role", "replica")],
            variables: &[],
        },
        BadStart {
            flags: &[("--role", "replica"), ("--parents", "127.0.0.1:0")],
            variables: &[],
        },
        BadStart {
            flags: &[("--zone", "")],
            variables: &[],
        },
        BadStart {
            flags: &[("--region", "é")],
            variables: &[],
        },
        BadStart {
            flags: &[("--log", "loud")],
            variables: &[],
        },
        BadStart {
            flags: &[("--heartbeat-ms", "0")],
            variables: &[],
        },
        BadStart {
            flags: &[],
            variables: &[("KUMQUATLOCK_HEARTBEAT_MS", "150ms")],
        },
        BadStart {
            flags: &[],
            variables: &[("KUMQUATLOCK_ELECTION_TIMEOUT_MS", "400")],
        },
        BadStart {
            flags: &[("--expiry-ms", "99")],
            variables: &[],
        },
        BadStart {
            flags: &[("--expiry-grace-ms", "x")],
            variables: &[],
        },
        BadStart {
            flags: &[("--data-dir", "file")],
            variables: &[],
        },
        BadStart {
            flags: &[("--data-dir", "damaged")],
            variables: &[],
        },
    ];
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("file"), "").unwrap();
    fs::create_dir(dir.path().join("damaged")).unwrap();
    fs::write(dir.path().join("damaged/metadata"), "garbage").unwrap();
    let mut table = String::new();
    for start in starts {
        let (code, text) = run_in(dir.path(), start);
        assert_eq!(code, Some(1), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        // A cause that is told twice.
        assert!(text.matches("os error").count() <= 1, "{text}");
        let given: Vec<String> = [start.flags, start.variables]
            .concat()
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        writeln!(table, "{}\n  {text}", given.join(" ")).unwrap();
    }
    insta::assert_snapshot!("bad_settings", table);
}

/// Guards against a process that runs without being reachable.
#[test]
fn an_address_in_use_ends_the_start() {
    let dir = tempfile::tempdir().unwrap();
    let address = free_address().unwrap();
    let _listener = TcpListener::bind(address).unwrap();
    let text = address.to_string();
    for flag in ["--listen", "--http"] {
        let flags: &[(&str, &str)] = &[(flag, &text), ("--log", "error")];
        let start = BadStart {
            flags,
            variables: &[],
        };
        let (code, output) = run_in(dir.path(), &start);
        assert_eq!(code, Some(1), "{output}");
        let expected = format!("error: control instance failed: failed to listen on {address}: ");
        assert!(output.starts_with(&expected), "{output}");
    }
}

/// Guards against flags that an operator cannot find out about.
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
