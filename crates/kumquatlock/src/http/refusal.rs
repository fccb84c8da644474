//! Refusals of invalid input.

use std::time::Duration;

use serde::Serialize;

use super::message::HttpResponse;

/// Reason for refusing a request before it is passed on for handling.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RequestRefusal {
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The head exceeds the limit.
    TooManyHeaders,
    /// The received bytes are not a valid request.
    Malformed,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body made too little progress.
    BodyTimeout,
    /// There was no memory for the body.
    MemoryFull,
}

/// Time after which a caller that was refused for lack of memory may send its request again.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct RefusalBody {
    outcome: &'static str,
    reason: &'static str,
}

impl RequestRefusal {
    pub(super) fn response(self) -> HttpResponse {
        let status = match self {
            RequestRefusal::MemoryFull => 503,
            RequestRefusal::HeadTimeout | RequestRefusal::BodyTimeout => 408,
            RequestRefusal::Malformed => 400,
            RequestRefusal::BodyTooLarge => 413,
            RequestRefusal::TooManyHeaders => 431,
        };
        let body = RefusalBody {
            outcome: "rejected",
            reason: self.into(),
        };
        // The request was never complete, so it cannot run. The outcome is not `not_run`, which
        // would be a statement about earlier requests with the same key.
        let response =
            HttpResponse::json(status, &body).with_header("kumquatlock-outcome", "rejected");
        match self {
            RequestRefusal::MemoryFull => {
                response.with_header("Retry-After", &MEMORY_RETRY.as_secs().to_string())
            }
            _ => response,
        }
    }
}
