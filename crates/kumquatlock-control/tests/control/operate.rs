//! Operators' commands that are sent to an address at which no control instance answers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use kumquatlock_testkit::process::ProgramName;

use crate::group::manifest;

const TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the start and the exit of a process on a busy host.
const PROCESS_OVERHEAD: Duration = Duration::from_secs(2);

fn run(command: &str, address: SocketAddr) -> (Option<i32>, String, Duration) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("manifest.json");
    std::fs::write(&file, manifest(1).to_string()).unwrap();
    let started = Instant::now();
    let mut program = Command::new(ProgramName::Control.locate().unwrap());
    program.args([command, "--control", &address.to_string()]);
    program.args(["--timeout-ms", &TIMEOUT.as_millis().to_string()]);
    if command == "submit" {
        program.arg("--file").arg(&file);
    }
    let output = program.output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    (output.status.code(), text, started.elapsed())
}

/// Guards against a command that runs beyond its timeout because one HTTP exchange does.
#[test]
fn an_unresponsive_instance_does_not_delay_a_command_beyond_its_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    for command in ["submit", "show", "status"] {
        let (code, text, elapsed) = run(command, listener.local_addr().unwrap());
        assert_eq!(code, Some(2), "{command}: {text}");
        assert!(
            elapsed < TIMEOUT + PROCESS_OVERHEAD,
            "{command} took {elapsed:?}"
        );
    }
}

/// Guards against a command that takes the refusal of another service, such as a node, for a
/// decision on the manifest.
#[test]
fn answers_of_other_services_are_no_decision() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let body = r#"{"outcome":"rejected","reason":"no_route"}"#;
            let head = "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length:";
            let _ = write!(stream, "{head} {}\r\n\r\n{body}", body.len());
            // Reads the rest of the request, since closing earlier would reset the connection.
            let _ = stream.shutdown(Shutdown::Write);
            let _ = stream.read_to_end(&mut Vec::new());
        }
    });
    for command in ["submit", "show"] {
        let (code, text, _) = run(command, address);
        assert_eq!(code, Some(2), "{command}: {text}");
        assert!(
            text.starts_with("error: no answer from any instance"),
            "{text}"
        );
    }
}
