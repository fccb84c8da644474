//! Callers that send requests to the nodes during a soak. They reuse their connections until the
//! node closes them.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock::util::cancel::CancelToken;

use super::check::{CallEnd, CallKind, SoakCall, SoakHistory};
use crate::caller::{CallFailure, HttpCaller, HttpRequest, HttpResponse};

/// Timeout of each call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two calls of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(15);

/// Maximum number of times that a request with an idempotency key is resent while its outcome is
/// unknown.
const MAX_RESENDS: usize = 2;

/// Identifies one caller of one node.
#[derive(Clone, Copy, Debug)]
pub struct CallerId {
    /// Index of the node in the mesh.
    pub node: usize,
    /// Index of the caller among the callers of the node.
    pub index: usize,
}

/// Sends requests of each kind in turn until `stop` is cancelled.
pub fn run_caller(id: CallerId, address: SocketAddr, history: &SoakHistory, stop: &CancelToken) {
    let caller = HttpCaller::new(address);
    let kinds = [
        CallKind::Lookup,
        CallKind::Booking,
        CallKind::Moved,
        CallKind::Keyed,
    ];
    for number in 0.. {
        if stop.wait_timeout(CALL_PAUSE) {
            return;
        }
        let kind = kinds[(number + id.index) % kinds.len()];
        let body = format!("{}-{}-{number}", id.node, id.index);
        let attempts = if kind == CallKind::Keyed {
            MAX_RESENDS + 1
        } else {
            1
        };
        for _ in 0..attempts {
            let sent = history.now();
            let end = send_once(&caller, kind, &body);
            let is_outcome_known = !matches!(end, CallEnd::Unknown | CallEnd::Broken);
            history.record_call(SoakCall {
                node: id.node,
                kind,
                body: body.clone(),
                sent,
                ended: history.now(),
                end,
            });
            if is_outcome_known {
                break;
            }
        }
    }
}

/// Sends one request and returns how the call ended.
pub fn send_once(caller: &HttpCaller, kind: CallKind, body: &str) -> CallEnd {
    let request = match kind {
        CallKind::Lookup | CallKind::Moved => {
            HttpRequest::get(&format!("{}/{body}", kind.prefix()))
        }
        CallKind::Booking => HttpRequest::post(kind.prefix(), body),
        CallKind::Keyed => HttpRequest::post(kind.prefix(), body).key(body),
    };
    match caller.send(&request.timeout(CALL_TIMEOUT)) {
        Ok(response) => classify_response(kind, body, &response),
        Err(CallFailure::Incomplete { .. } | CallFailure::NoResponse { .. }) => CallEnd::Broken,
        Err(CallFailure::InvalidRequest { .. }) => CallEnd::Rejected("invalid request".to_owned()),
    }
}

fn classify_response(kind: CallKind, body: &str, response: &HttpResponse) -> CallEnd {
    match (response.status, response.outcome.as_deref()) {
        (200, _) => {
            let echo = response.json();
            let is_own_echo = match kind {
                CallKind::Lookup | CallKind::Moved => {
                    echo["path"] == format!("{}/{body}", kind.prefix())
                }
                CallKind::Booking | CallKind::Keyed => echo["body"] == body,
            };
            match echo["service"].as_str() {
                Some(service) if is_own_echo => CallEnd::Answered(service.to_owned()),
                _ => CallEnd::Foreign(response.text()),
            }
        }
        (_, Some("not_run")) => CallEnd::NotRun,
        (_, Some("unknown")) => CallEnd::Unknown,
        // The node forwards a failure of the upstream unchanged, so the outcome is not known.
        (500..=599, _) => CallEnd::Unknown,
        (status, outcome) => {
            CallEnd::Rejected(format!("{status} {outcome:?}: {}", response.text()))
        }
    }
}
