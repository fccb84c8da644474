//! Crowds at the addresses of a control instance.

use std::net::SocketAddr;

use kumquatlock_testkit::caller::HttpRequest;

use super::clients::{ClientCrowd, ReadMode, announced_body, chunked_body};
use super::host::{check_limits, start_mesh, wait_answered, wait_status, wait_turn};

/// Maximum size of a manifest, in bytes.
const MANIFEST_BYTES: usize = 8 * 1024 * 1024;
/// Clients of a crowd. With the largest body each, they send more than the memory of the instance.
const CROWD: usize = 20;

fn press_control(
    target: impl Fn(&kumquatlock_testkit::process::ControlInstance) -> SocketAddr,
    payload: Vec<u8>,
) {
    let _turn = wait_turn();
    let mut mesh = start_mesh();
    let target = target(&mesh.controls[0]);
    let mut crowd = ClientCrowd::connect(target, CROWD, payload, ReadMode::Discard);
    crowd.press();
    check_limits(&mut mesh.controls[0].process);
    let status = HttpRequest::get("/v1/status");
    wait_status(&mesh.controls[0].caller(), &status, 200);
    wait_answered(&mesh);
    check_limits(&mut mesh.controls[0].process);
}

/// Guards against memory that is held for incomplete manifests.
#[test]
fn manifests_piece_by_piece_short_of_their_end() {
    let payload = announced_body("/v1/manifests", MANIFEST_BYTES as u64, MANIFEST_BYTES - 1);
    press_control(|control| control.flags.http, payload);
}

/// Guards against memory that is held for many whole manifests at once.
#[test]
fn many_large_manifests_whole() {
    let payload = announced_body("/v1/manifests", MANIFEST_BYTES as u64, MANIFEST_BYTES);
    press_control(|control| control.flags.http, payload);
}

/// Guards against memory that is held for chunked bodies that never end.
#[test]
fn chunked_manifests_short_of_their_end() {
    let payload = chunked_body("/v1/manifests", MANIFEST_BYTES, 64 * 1024);
    press_control(|control| control.flags.http, payload);
}

/// Guards against memory that is held for frames of nodes and other instances that never end.
#[test]
fn frames_short_of_their_end() {
    let frame_bytes = 12 * 1024 * 1024_u32;
    let mut frame = frame_bytes.to_be_bytes().to_vec();
    frame.resize(frame_bytes as usize, b'x');
    press_control(|control| control.flags.listen, frame);
}
