//! Refusals of invalid input.

use serde::Serialize;

use super::message::HttpResponse;

/// Reason for refusing a request before it is passed on for handling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RequestRefusal {
    BodyTooLarge,
    TooManyHeaders,
    /// The received bytes are not a valid request.
    Malformed,
    /// The head did not arrive in time.
    HeadTimeout,
}

#[derive(Serialize)]
struct RefusalBody {
    outcome: &'static str,
    reason: &'static str,
}

impl RequestRefusal {
    pub(super) fn response(self) -> HttpResponse {
        let status = match self {
            RequestRefusal::HeadTimeout => 408,
            RequestRefusal::Malformed => 400,
            RequestRefusal::BodyTooLarge => 413,
            RequestRefusal::TooManyHeaders => 431,
        };
        let body = RefusalBody {
            outcome: "rejected",
            reason: self.into(),
        };
        HttpResponse::json(status, &body).with_header("kumquatlock-outcome", "rejected")
    }
}
