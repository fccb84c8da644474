//! Requests of clients.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::{self, Failure};
use crate::record::Record;

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub request: String,
    pub sent: f64,
    pub ended: f64,
    /// Status of the complete answer; `None` if the connection ended or the time was over.
    pub status: Option<u16>,
    /// Whether the connection ended without a complete answer.
    pub was_closed: bool,
}

/// Sends a request that must not run twice, in a thread of its own, and waits for its answer until
/// its deadline.
pub fn post(
    record: &Record,
    to: SocketAddr,
    request: String,
    deadline_ms: u64,
) -> JoinHandle<Seen> {
    let record = record.clone();
    thread::spawn(move || {
        let text = format!(
            "POST /bookings/visit HTTP/1.1\r\nHost: review.example\r\nRequest-Id: {request}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n\r\nbook"
        );
        record.line(format!("client: sends {request} to {to}"));
        let sent = record.now();
        let limit = Duration::from_millis(deadline_ms);
        let answer = http::exchange(to, text.as_bytes(), limit);
        let ended = record.now();
        let (status, was_closed, what) = match answer {
            Ok(response) => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                let signed = response.header("response-signature").is_some();
                let source = if signed {
                    "of the backend"
                } else {
                    "of the system"
                };
                let what = format!("gets {} {source}: {body}", response.status);
                (Some(response.status), false, what)
            }
            Err(Failure::Closed(how)) => (
                None,
                true,
                format!("its connection ends without an answer ({how})"),
            ),
            Err(failure) => (None, false, format!("{failure:?}")),
        };
        record.line(format!("client: {request} {what}"));
        Seen {
            request,
            sent,
            ended,
            status,
            was_closed,
        }
    })
}

/// A configuration with one route for bookings, which may not run twice.
pub fn configuration(version: u64, base: u64, timeout: &str) -> String {
    configuration_with(version, base, timeout, 2, 0)
}

/// The same with another `max_attempts` and a number of further routes.
pub fn configuration_with(
    version: u64,
    base: u64,
    timeout: &str,
    attempts: u32,
    more: usize,
) -> String {
    let more: String = (0..more)
        .map(|number| {
            format!(
                ",\"r-more-{number}\":{{\"hostname\":\"review.example\",\"path_prefix\":\
                 \"/more/{number}/\",\"kind\":\"safe\",\"timeout\":\"5000ms\",\
                 \"target_latency\":\"2500ms\",\"priority\":2,\"service\":\"shop\",\
                 \"max_attempts\":2}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"r-book\":{{\"hostname\":\"review.example\",\
         \"path_prefix\":\"/bookings/\",\"kind\":\"non_idempotent\",\"timeout\":\"{timeout}\",\
         \"target_latency\":\"2500ms\",\"priority\":1,\"service\":\"booking\",\"max_attempts\":{attempts}}}{more}}},\
         \"services\":{{\"booking\":{{\"health_path\":\"/healthz\",\"max_connections\":530,\
         \"protocol\":\"h1\",\"tls\":false}},\"shop\":{{\"health_path\":\"/healthz\",\
         \"max_connections\":530,\"protocol\":\"h1\",\"tls\":false}}}},\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"base_version\":\"{}\"}}",
        match base {
            0 => "r0".to_owned(),
            base => format!("r{base}"),
        }
    )
}
