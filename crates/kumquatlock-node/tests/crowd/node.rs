//! Crowds at the addresses of a node.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::Mesh;

use super::clients::{ClientCrowd, ReadMode, announced_body, chunked_body, post_head};
use super::host::{
    BODY_BYTES, DESCRIPTORS, SERVICE, check_limits, start_mesh, start_services, status_bytes,
    wait_answered, wait_status, wait_turn,
};

/// Clients of a crowd. With the largest body each, they send more than the memory of the node.
const CROWD: usize = 80;

/// Presses the callers' address of a node, and checks the node while the crowd stays open.
fn press_callers(payload: Vec<u8>, mode: ReadMode) {
    let _turn = wait_turn();
    let mut mesh = start_mesh();
    let target = mesh.nodes[0].flags.http;
    press_node(&mut mesh, target, CROWD, payload, mode);
}

fn press_node(mesh: &mut Mesh, target: SocketAddr, count: usize, payload: Vec<u8>, mode: ReadMode) {
    let mut crowd = ClientCrowd::connect(target, count, payload, mode);
    crowd.press();
    check_limits(&mut mesh.nodes[0].process);
    wait_answered(mesh);
    check_limits(&mut mesh.nodes[0].process);
    drop(crowd);
}

/// Guards against memory that is held without bound for chunked bodies that never end.
#[test]
fn chunked_bodies_in_large_chunks_short_of_their_end() {
    press_callers(
        chunked_body("/upload", BODY_BYTES, 64 * 1024),
        ReadMode::Discard,
    );
}

/// Guards against memory and time that are spent without bound on very small chunks.
#[test]
fn chunked_bodies_in_small_chunks_short_of_their_end() {
    press_callers(chunked_body("/upload", BODY_BYTES, 8), ReadMode::Discard);
}

/// Guards against a body of any announced length being read.
#[test]
fn bodies_far_over_the_limit_announced() {
    press_callers(
        announced_body("/upload", 1 << 40, 4 * BODY_BYTES),
        ReadMode::Discard,
    );
}

/// Guards against a body without an announced length being held beyond the limit.
#[test]
fn bodies_far_over_the_limit_just_sent() {
    press_callers(
        chunked_body("/upload", 4 * BODY_BYTES, 256 * 1024),
        ReadMode::Discard,
    );
}

/// Guards against a process that hangs or ends because of chunk sizes that no body can have. The
/// clients are few, so that the budget has room for the largest body of each.
#[test]
fn chunk_sizes_beyond_any_body() {
    let _turn = wait_turn();
    let mut mesh = start_mesh();
    let target = mesh.nodes[0].flags.http;
    for size in ["ffffffffffffffff", "fffffffffffffffe", "8000000000000000"] {
        let mut request = post_head("/upload", "Transfer-Encoding: chunked");
        let chunks = format!("1\r\nx\r\n{size}\r\n");
        request.extend_from_slice(chunks.as_bytes());
        request.resize(request.len() + 2 * BODY_BYTES, b'x');
        press_node(&mut mesh, target, 3, request, ReadMode::Discard);
    }
}

/// Guards against memory that is held for many whole bodies at once.
#[test]
fn many_large_bodies_whole() {
    press_callers(
        announced_body("/upload", BODY_BYTES as u64, BODY_BYTES),
        ReadMode::Discard,
    );
}

/// Guards against memory that is held for many incomplete bodies at once.
#[test]
fn many_large_bodies_piece_by_piece_short_of_their_end() {
    press_callers(
        announced_body("/upload", BODY_BYTES as u64, BODY_BYTES - 1),
        ReadMode::Discard,
    );
}

/// Guards against bodies whose last chunk came but whose trailers never end.
#[test]
fn bodies_with_trailers_short_of_their_end() {
    let mut request = chunked_body("/upload", BODY_BYTES, 64 * 1024);
    request.extend_from_slice(b"0\r\nTrailing: ");
    request.resize(request.len() + 2 * 1024, b'x');
    press_callers(request, ReadMode::Discard);
}

/// Guards against memory that one connection holds for requests sent behind each other.
#[test]
fn pipelined_bodies() {
    let request = announced_body("/upload", (BODY_BYTES / 2) as u64, BODY_BYTES / 2);
    press_callers(request.repeat(4), ReadMode::Discard);
}

/// Guards against memory that is held for answers that callers do not read.
#[test]
fn answers_that_are_not_read() {
    let request = announced_body("/upload", (BODY_BYTES / 2) as u64, BODY_BYTES / 2);
    press_callers(request.repeat(24), ReadMode::Unread);
}

/// Guards against descriptors and memory that are held for heads that never end.
#[test]
fn heads_short_of_their_end() {
    let mut head = post_head("/upload", "Padding: ");
    head.truncate(head.len() - 4);
    head.resize(15 * 1024, b'x');
    let _turn = wait_turn();
    let mut mesh = start_mesh();
    let target = mesh.nodes[0].flags.http;
    press_node(&mut mesh, target, 2 * DESCRIPTORS, head, ReadMode::Discard);
}

/// Guards against memory that is held for bodies at the address for the upstream, which has to get
/// through with its own requests.
#[test]
fn bodies_at_the_address_for_the_upstream() {
    let _turn = wait_turn();
    let mut mesh = start_mesh();
    let target = mesh.nodes[0].flags.upstream_http;
    let payload = announced_body("/upload", BODY_BYTES as u64, BODY_BYTES - 1);
    press_node(&mut mesh, target, CROWD, payload, ReadMode::Discard);
    let caller = kumquatlock_testkit::caller::HttpCaller::new(target);
    wait_status(&caller, &HttpRequest::get("/unknown"), 404);
}

/// Guards against memory that is held for frames of other nodes that never end.
#[test]
fn frames_short_of_their_end() {
    let mut frame = (2 * BODY_BYTES as u32).to_be_bytes().to_vec();
    frame.resize(2 * BODY_BYTES, b'x');
    let _turn = wait_turn();
    let mut mesh = start_mesh();
    let target = mesh.nodes[0].flags.listen;
    press_node(&mut mesh, target, CROWD, frame, ReadMode::Discard);
}

/// Guards against memory that is not given back once a crowd has gone.
#[test]
fn memory_falls_after_a_crowd() {
    let _turn = wait_turn();
    let mut mesh = start_mesh();
    let before = status_bytes(&mesh.nodes[0].process, "VmRSS:");
    let target = mesh.nodes[0].flags.http;
    let payload = announced_body("/upload", BODY_BYTES as u64, BODY_BYTES - 1);
    press_node(&mut mesh, target, CROWD, payload, ReadMode::Discard);
    // The allocator may keep an eighth of the memory for later use.
    let allowed = before + super::host::MEMORY_MB * 1_000_000 / 8;
    let process = &mesh.nodes[0].process;
    kumquatlock_testkit::process::wait_until("memory falls", Duration::from_secs(30), || {
        status_bytes(process, "VmRSS:") <= allowed
    })
    .unwrap();
}

/// Guards against a body within the limit of the manifest that is refused although nothing else is
/// held: at the node beside the upstream, and at one that passes it on over a link.
#[test]
fn a_single_large_body_is_served() {
    let _turn = wait_turn();
    let mut mesh = start_services(&[SERVICE, "other"]);
    let mut manifest = mesh.manifest(2);
    manifest["limits"] = serde_json::json!({
        "header_bytes": 16_384,
        "body_bytes": 8 * BODY_BYTES,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    });
    assert_eq!(mesh.controls[0].submit(&manifest).unwrap().status, 200);
    let timeout = Duration::from_secs(30);
    mesh.controls[0]
        .wait_in_force(2, mesh.nodes.len(), timeout)
        .unwrap();
    for node in 0..mesh.nodes.len() {
        let caller = mesh.nodes[node].caller();
        let send = |bytes: usize| caller.post("/upload", vec![b'x'; bytes]).unwrap();
        // The stand-in reads the whole body and answers 413 above 1 MiB.
        let answer = send(4 * BODY_BYTES);
        let outcome = (answer.status, answer.outcome.as_deref());
        assert_eq!(outcome, (413, Some("answered")), "{}", answer.text());
        let beyond = send(8 * BODY_BYTES + 1);
        assert_eq!(
            (beyond.status, beyond.outcome.as_deref()),
            (413, Some("rejected"))
        );
    }
    for node in &mut mesh.nodes {
        check_limits(&mut node.process);
    }
}
