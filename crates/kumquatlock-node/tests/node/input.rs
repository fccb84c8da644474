//! Invalid input: requests of callers, settings, and bytes on the port for other nodes.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;

use indexmap::IndexMap;
use kumquatlock_testkit::process::ProgramName;

use crate::support::{WAIT_TIMEOUT, builder, config_version, start, wait_serving};

/// Flags with which a node can start.
const VALID_FLAGS: [(&str, &str); 7] = [
    ("--name", "booking-1"),
    ("--zone", "osrednja-1"),
    ("--region", "osrednja"),
    ("--listen", "127.0.0.1:1"),
    ("--http", "127.0.0.1:0"),
    ("--upstream-http", "127.0.0.1:0"),
    ("--parents", "127.0.0.1:1"),
];

/// Sends `request`, closes the sending side and returns the status line, the outcome and the body
/// of the answer.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
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

/// Guards against invalid requests that run, get an answer without an outcome, or disturb the node.
/// Verifies P5.
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
    // A body that ends early means that the caller is gone; the HTTP library closes the connection
    // without an answer.
    let cut = format!("{head}Content-Length: 10\r\n\r\nhalf");
    writeln!(answers, "cut body: {}", exchange(address, &cut)).unwrap();
    insta::assert_snapshot!(answers);
    assert_eq!(mesh.ledger().total(), ledger, "P5: a refused request ran");
    wait_serving(&mesh, 0, "bad-requests");
}

/// Guards against a node that starts with an invalid setting or whose error does not name it.
#[test]
fn an_invalid_setting_prevents_the_start_with_one_error() {
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
        let mut flags: IndexMap<&str, &str> = VALID_FLAGS.into_iter().collect();
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

/// Guards against invalid bytes on the port for other nodes that end the process, change its
/// configuration, or do not close the link.
#[test]
fn invalid_bytes_on_the_node_port_close_only_that_link() {
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
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        // Both the end of the stream and a reset mean that the node closed the link.
        let read_result = stream.read_to_end(&mut answer);
        let stays_open =
            read_result.is_err_and(|error| error.kind() != std::io::ErrorKind::ConnectionReset);
        assert!(
            !stays_open,
            "the node did not close the link after {bytes:?}"
        );
        assert!(answer.is_empty());
    }
    mesh.nodes[0].process.check_running().unwrap();
    assert_eq!(config_version(&mesh, 0), before);
    wait_serving(&mesh, 1, "garbage");
}
