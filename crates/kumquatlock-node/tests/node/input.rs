//! Bad input: requests of callers, settings, and bytes on the port for other nodes.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;

use indexmap::IndexMap;
use kumquatlock_testkit::process::ProgramName;

use crate::support::{LONG, builder, config_version, start, wait_serving};

/// Flags of a node that could start.
const GOOD: [(&str, &str); 7] = [
    ("--name", "booking-1"),
    ("--zone", "osrednja-1"),
    ("--region", "osrednja"),
    ("--listen", "127.0.0.1:1"),
    ("--http", "127.0.0.1:0"),
    ("--upstream-http", "127.0.0.1:0"),
    ("--parents", "127.0.0.1:1"),
];

/// Sends bytes, ends the stream and returns the status line, the outcome and the body.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.lines().next().unwrap_or("closed").to_owned();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let outcome = text.lines().find_map(|line| {
        line.to_ascii_lowercase()
            .strip_prefix("kumquatlock-outcome: ")
            .map(str::to_owned)
    });
    format!("{status} | {} | {body}", outcome.unwrap_or_default())
}

/// Guards against bad requests that run, that get an untyped answer or that harm the node. Shows
/// P5.
#[test]
fn bad_requests_get_a_typed_answer() {
    let mesh = start(builder().upstreams_per_region(1));
    let ledger = mesh.ledger().total();
    let long_key = "k".repeat(129);
    let cases = [
        ("unknown route", "GET /nothing HTTP/1.1\r\n", ""),
        (
            "empty key",
            "POST /booking HTTP/1.1\r\nIdempotency-Key: \r\n",
            "a",
        ),
        (
            "key with a space",
            "POST /booking HTTP/1.1\r\nIdempotency-Key: a b\r\n",
            "b",
        ),
        (
            "long key",
            &format!("POST /booking HTTP/1.1\r\nIdempotency-Key: {long_key}\r\n"),
            "c",
        ),
        (
            "timeout of zero",
            "POST /booking HTTP/1.1\r\nRequest-Timeout-Ms: 0\r\n",
            "d",
        ),
        (
            "long timeout",
            "POST /booking HTTP/1.1\r\nRequest-Timeout-Ms: 3600001\r\n",
            "e",
        ),
        (
            "timeout in words",
            "POST /booking HTTP/1.1\r\nRequest-Timeout-Ms: soon\r\n",
            "f",
        ),
        (
            "negative depth",
            "POST /booking HTTP/1.1\r\nkumquatlock-depth: -1\r\n",
            "g",
        ),
        (
            "depth over the bound",
            "POST /booking HTTP/1.1\r\nkumquatlock-depth: 17\r\n",
            "h",
        ),
        (
            "two keys",
            "POST /booking HTTP/1.1\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n",
            "i",
        ),
    ];
    let mut answers = String::new();
    let address = mesh.nodes[0].flags.http;
    for (label, head, body) in cases {
        let length = body.len();
        let request = format!(
            "{head}Host: node\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        writeln!(answers, "{label}: {}", exchange(address, &request)).unwrap();
    }
    let head = "POST /booking HTTP/1.1\r\nHost: node\r\nConnection: close\r\n";
    let announced = format!("{head}Content-Length: 1048577\r\n\r\n");
    writeln!(
        answers,
        "announced too large: {}",
        exchange(address, &announced)
    )
    .unwrap();
    // A body that ends early belongs to a caller that is gone; the HTTP library closes without an
    // answer.
    let cut = format!("{head}Content-Length: 10\r\n\r\nhalf");
    writeln!(answers, "cut body: {}", exchange(address, &cut)).unwrap();
    insta::assert_snapshot!(answers);
    assert_eq!(mesh.ledger().total(), ledger, "P5: a refused request ran");
    wait_serving(&mesh, 0, "bad-requests");
}

/// Guards against a node that starts with a setting it cannot use, or does not name it.
#[test]
fn a_bad_setting_ends_the_start_with_one_error() {
    let changes = [
        "--name=",
        "--name=Booking 1",
        "--listen=localhost:1",
        "--advertise=here",
        "--http=1",
        "--parents=",
        "--parents=127.0.0.1",
        "--http-workers=3",
        "--http-workers=1025",
        "--upstream-connections=0",
        "--longest-timeout-ms=999",
        "--longest-timeout-ms=3600001",
        "--claim-retention-ms=9999",
        "--claim-retention-ms=1h",
    ];
    let mut errors = String::new();
    for change in changes {
        let mut flags: IndexMap<&str, &str> = GOOD.into_iter().collect();
        let (flag, value) = change.split_once('=').unwrap();
        flags.insert(flag, value);
        flags.retain(|_, value| !value.is_empty());
        let output = Command::new(ProgramName::Node.locate().unwrap())
            .env_clear()
            .arg("serve")
            .args(flags.into_iter().flat_map(<[&str; 2]>::from))
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).unwrap();
        writeln!(
            errors,
            "{change}: {:?} {}",
            output.status.code(),
            text.trim()
        )
        .unwrap();
    }
    insta::assert_snapshot!(errors);
}

/// Guards against bytes on the port for other nodes that end the process, change its
/// configuration or hold the link open.
#[test]
fn garbage_on_the_node_port_closes_that_link_only() {
    let mut mesh = start(builder().upstreams_per_region(2));
    let before = config_version(&mesh, 0);
    let oversized = [0xff_u8, 0xff, 0xff, 0xff, 1, 2, 3, 4];
    let no_envelope = [0_u8, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    for bytes in [
        &oversized[..],
        &no_envelope,
        b"GET / HTTP/1.1\r\nHost: node\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(mesh.nodes[0].flags.listen).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        // The end of the stream or a reset: both mean that the link was closed.
        let closed = stream.read_to_end(&mut answer);
        let reset = closed.is_err_and(|error| error.kind() != std::io::ErrorKind::ConnectionReset);
        assert!(!reset, "the link stays open after {bytes:?}");
        assert!(answer.is_empty());
    }
    mesh.nodes[0].process.check_running().unwrap();
    assert_eq!(config_version(&mesh, 0), before);
    wait_serving(&mesh, 1, "garbage");
}
