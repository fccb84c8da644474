//! Encoding of HTTP/1.1 messages.

use std::net::SocketAddr;

use bytes::BytesMut;
use ureq::http::StatusCode;

use super::message::{HttpRequest, HttpResponse};

/// Headers that the encoder writes itself. The same headers in a message are dropped.
const ENCODER_HEADERS: [&str; 3] = ["connection", "content-length", "transfer-encoding"];

/// Room for the head of a usual response, in bytes.
const HEAD_ROOM_BYTES: usize = 512;

/// Appends a response to `write_buf`. A body always has a `Content-Length`, so that the caller can
/// detect a truncated response.
pub(super) fn encode_response(
    response: &HttpResponse,
    is_head: bool,
    keep_alive: bool,
    write_buf: &mut BytesMut,
) {
    // Without this, the buffer of a large response grows to twice its size.
    write_buf.reserve(response.body.len() + HEAD_ROOM_BYTES);
    let status = StatusCode::from_u16(response.status.code()).ok();
    let reason = status.and_then(|status| status.canonical_reason());
    let line = format!("HTTP/1.1 {} {}\r\n", response.status, reason.unwrap_or("-"));
    write_buf.extend_from_slice(line.as_bytes());
    encode_headers(&response.headers, write_buf);
    if !matches!(response.status.code(), 204 | 304) {
        let length = format!("Content-Length: {}\r\n", response.body.len());
        write_buf.extend_from_slice(length.as_bytes());
    }
    if !keep_alive {
        write_buf.extend_from_slice(b"Connection: close\r\n");
    }
    write_buf.extend_from_slice(b"\r\n");
    if !is_head && !matches!(response.status.code(), 204 | 304) {
        write_buf.extend_from_slice(&response.body);
    }
}

/// Appends a request for the upstream at `address` to `write_buf`.
pub(super) fn encode_request(request: &HttpRequest, address: SocketAddr, write_buf: &mut BytesMut) {
    let line = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    write_buf.reserve(line.len() + request.body.len() + HEAD_ROOM_BYTES);
    write_buf.extend_from_slice(line.as_bytes());
    if request.header("host").is_none() {
        write_buf.extend_from_slice(format!("Host: {address}\r\n").as_bytes());
    }
    encode_headers(&request.headers, write_buf);
    let has_body = !request.body.is_empty();
    if has_body || matches!(request.method.as_str(), "POST" | "PUT" | "PATCH") {
        let length = format!("Content-Length: {}\r\n", request.body.len());
        write_buf.extend_from_slice(length.as_bytes());
    }
    write_buf.extend_from_slice(b"\r\n");
    write_buf.extend_from_slice(&request.body);
}

fn encode_headers(headers: &[(String, String)], write_buf: &mut BytesMut) {
    for (name, value) in headers {
        let is_encoder_header = ENCODER_HEADERS
            .iter()
            .any(|encoder_header| name.eq_ignore_ascii_case(encoder_header));
        // A line break in a value would start another header, so the header is dropped.
        let has_line_break = value.bytes().any(|byte| byte == b'\r' || byte == b'\n');
        if is_encoder_header || has_line_break {
            continue;
        }
        write_buf.extend_from_slice(name.as_bytes());
        write_buf.extend_from_slice(b": ");
        write_buf.extend_from_slice(value.as_bytes());
        write_buf.extend_from_slice(b"\r\n");
    }
}
