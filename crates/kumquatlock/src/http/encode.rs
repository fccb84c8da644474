//! Messages as bytes.

use std::net::SocketAddr;

use bytes::BytesMut;
use ureq::http::StatusCode;

use super::message::{HttpRequest, HttpResponse};

/// Headers that the encoder writes itself.
const OWN_HEADERS: [&str; 3] = ["connection", "content-length", "transfer-encoding"];

/// Appends a response. A body always has a length, so that the caller notices a cut answer.
pub(super) fn encode_response(
    response: &HttpResponse,
    is_head: bool,
    keep_alive: bool,
    outbox: &mut BytesMut,
) {
    let status = StatusCode::from_u16(response.status).ok();
    let reason = status.and_then(|status| status.canonical_reason());
    let line = format!("HTTP/1.1 {} {}\r\n", response.status, reason.unwrap_or("-"));
    outbox.extend_from_slice(line.as_bytes());
    encode_headers(&response.headers, outbox);
    if !matches!(response.status, 204 | 304) {
        let length = format!("Content-Length: {}\r\n", response.body.len());
        outbox.extend_from_slice(length.as_bytes());
    }
    if !keep_alive {
        outbox.extend_from_slice(b"Connection: close\r\n");
    }
    outbox.extend_from_slice(b"\r\n");
    if !is_head && !matches!(response.status, 204 | 304) {
        outbox.extend_from_slice(&response.body);
    }
}

/// Appends a request to the upstream at `address`.
pub(super) fn encode_request(request: &HttpRequest, address: SocketAddr, outbox: &mut BytesMut) {
    let line = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    outbox.extend_from_slice(line.as_bytes());
    if request.header("host").is_none() {
        outbox.extend_from_slice(format!("Host: {address}\r\n").as_bytes());
    }
    encode_headers(&request.headers, outbox);
    let has_body = !request.body.is_empty();
    if has_body || matches!(request.method.as_str(), "POST" | "PUT" | "PATCH") {
        let length = format!("Content-Length: {}\r\n", request.body.len());
        outbox.extend_from_slice(length.as_bytes());
    }
    outbox.extend_from_slice(b"\r\n");
    outbox.extend_from_slice(&request.body);
}

fn encode_headers(headers: &[(String, String)], outbox: &mut BytesMut) {
    for (name, value) in headers {
        let is_own = OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own));
        // A line break in a value would begin another header.
        let breaks = value.bytes().any(|byte| byte == b'\r' || byte == b'\n');
        if is_own || breaks {
            continue;
        }
        outbox.extend_from_slice(name.as_bytes());
        outbox.extend_from_slice(b": ");
        outbox.extend_from_slice(value.as_bytes());
        outbox.extend_from_slice(b"\r\n");
    }
}
