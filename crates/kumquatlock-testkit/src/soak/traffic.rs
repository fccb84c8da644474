//! Callers that keep their connections for as long as the node holds them.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock::util::cancel::CancelToken;

use super::check::{CallEnd, CallKind, SoakCall, SoakHistory};
use crate::caller::{CallFailure, HttpCaller, HttpRequest, HttpResponse};

/// Time that a caller waits.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Times that a request with a key is sent again while its outcome is unknown.
const RESENDS: usize = 2;

/// One caller of one node.
#[derive(Clone, Copy, Debug)]
pub struct CallerId {
    /// Position of the node.
    pub node: usize,
    /// Number of the caller at the node.
    pub index: usize,
}

/// Calls until `stop`, each kind in turn.
pub fn run_caller(place: CallerId, address: SocketAddr, history: &SoakHistory, stop: &CancelToken) {
    let caller = HttpCaller::new(address);
    let kinds = [
        CallKind::Lookup,
        CallKind::Booking,
        CallKind::Moved,
        CallKind::Keyed,
    ];
    for number in 0.. {
        if stop.wait_timeout(PAUSE) {
            return;
        }
        let kind = kinds[(number + place.index) % kinds.len()];
        let body = format!("{}-{}-{number}", place.node, place.index);
        let attempts = if kind == CallKind::Keyed {
            RESENDS + 1
        } else {
            1
        };
        for _ in 0..attempts {
            let sent = history.now();
            let end = send_once(&caller, kind, &body);
            let is_known = !matches!(end, CallEnd::Unknown | CallEnd::Broken);
            history.call_ended(SoakCall {
                node: place.node,
                kind,
                body: body.clone(),
                sent,
                ended: history.now(),
                end,
            });
            if is_known {
                break;
            }
        }
    }
}

/// Sends one request and reads its end from the answer.
pub fn send_once(caller: &HttpCaller, kind: CallKind, body: &str) -> CallEnd {
    let plan = match kind {
        CallKind::Lookup | CallKind::Moved => {
            HttpRequest::get(&format!("{}/{body}", kind.prefix()))
        }
        CallKind::Booking => HttpRequest::post(kind.prefix(), body),
        CallKind::Keyed => HttpRequest::post(kind.prefix(), body).key(body),
    };
    match caller.send(&plan.timeout(CALL_TIMEOUT)) {
        Ok(response) => end_of(kind, body, &response),
        Err(CallFailure::Incomplete { .. } | CallFailure::NoResponse { .. }) => CallEnd::Broken,
        Err(CallFailure::InvalidRequest { .. }) => CallEnd::Rejected("bad plan".to_owned()),
    }
}

fn end_of(kind: CallKind, body: &str, response: &HttpResponse) -> CallEnd {
    match (response.status, response.outcome.as_deref()) {
        (200, _) => {
            let echo = response.json();
            let is_own = match kind {
                CallKind::Lookup | CallKind::Moved => {
                    echo["path"] == format!("{}/{body}", kind.prefix())
                }
                CallKind::Booking | CallKind::Keyed => echo["body"] == body,
            };
            match echo["service"].as_str() {
                Some(service) if is_own => CallEnd::Answered(service.to_owned()),
                _ => CallEnd::Foreign(response.text()),
            }
        }
        (_, Some("not_run")) => CallEnd::NotRun,
        (_, Some("unknown")) => CallEnd::Unknown,
        // A failure of the upstream is passed on as it is.
        (500..=599, _) => CallEnd::Unknown,
        (status, outcome) => {
            CallEnd::Rejected(format!("{status} {outcome:?}: {}", response.text()))
        }
    }
}
