//! Answers to callers.

use bytes::Bytes;
use kumquatlock_wire::call::{CallReason, CallResponse, HeaderField};
use serde::Serialize;

use super::names::HeaderNames;
use super::request::is_forwarded;
use crate::http::HttpResponse;

/// Header that says which of the outcomes the answer is.
pub const OUTCOME_HEADER: &str = "kumquatlock-outcome";

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The whole answer of an upstream.
    Answered {
        /// Status of the upstream.
        status: u16,
        /// Headers of the upstream.
        headers: Vec<HeaderField>,
        /// Whole body.
        body: Bytes,
    },
    /// Proved: the request did not run. With a key, no request of this key ever runs.
    NotRun(CallReason),
    /// The request may have run.
    Unknown(CallReason),
    /// The request is not acceptable. Says nothing of earlier requests with the same key.
    Rejected(RejectReason),
}

/// Why a request is not acceptable.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The key is empty, too long or holds invisible characters.
    InvalidKey,
    /// The timeout is not in 1..=3,600,000 ms.
    InvalidTimeout,
    /// The depth is no number.
    InvalidDepth,
    /// The chain of calls is deeper than [`super::MAX_DEPTH`].
    DepthExceeded,
    /// No route matches host and path.
    NoRoute,
    /// The key was used with another request.
    KeyReused,
    /// The request of this key has run, but its answer is no longer kept.
    FinishedAnswerGone,
}

impl RejectReason {
    fn status(self) -> u16 {
        match self {
            RejectReason::InvalidKey
            | RejectReason::InvalidTimeout
            | RejectReason::InvalidDepth
            | RejectReason::DepthExceeded => 400,
            RejectReason::NoRoute => 404,
            RejectReason::KeyReused | RejectReason::FinishedAnswerGone => 409,
        }
    }
}

#[derive(Serialize)]
struct OutcomeBody {
    outcome: &'static str,
    reason: &'static str,
}

impl CallerAnswer {
    /// Value of [`OUTCOME_HEADER`].
    pub fn outcome(&self) -> &'static str {
        match self {
            CallerAnswer::Answered { .. } => "answered",
            CallerAnswer::NotRun(_) => "not_run",
            CallerAnswer::Unknown(_) => "unknown",
            CallerAnswer::Rejected(_) => "rejected",
        }
    }

    /// Reason in the body; empty for an upstream's answer.
    pub fn reason(&self) -> &'static str {
        match self {
            CallerAnswer::Answered { .. } => "",
            CallerAnswer::NotRun(reason) | CallerAnswer::Unknown(reason) => reason_label(*reason),
            CallerAnswer::Rejected(reason) => reason.into(),
        }
    }

    /// The answer as HTTP.
    pub fn into_http(self, names: &HeaderNames) -> HttpResponse {
        let outcome = self.outcome();
        let body = OutcomeBody {
            outcome,
            reason: self.reason(),
        };
        let response = match self {
            CallerAnswer::Answered {
                status,
                headers,
                body,
            } => {
                let headers = headers
                    .into_iter()
                    .filter(|field| is_forwarded(&field.name));
                let headers = headers.map(|field| (field.name, field.value)).collect();
                HttpResponse {
                    status,
                    headers,
                    body,
                }
            }
            CallerAnswer::NotRun(_) => HttpResponse::json(503, &body),
            CallerAnswer::Unknown(_) => HttpResponse::json(504, &body),
            CallerAnswer::Rejected(reason) => HttpResponse::json(reason.status(), &body),
        };
        match names.outcome {
            Some(name) => response.with_header(name, outcome),
            None => response,
        }
    }

    pub(super) fn from_response(response: CallResponse) -> Self {
        CallerAnswer::Answered {
            status: u16::try_from(response.status).unwrap_or(502),
            headers: response.headers,
            body: response.body,
        }
    }
}

/// Name of a reason in answers, logs and metrics.
pub fn reason_label(reason: CallReason) -> &'static str {
    match reason {
        CallReason::None => "none",
        CallReason::Draining => "draining",
        CallReason::Overloaded => "overloaded",
        CallReason::DeadlineTooShort => "deadline_too_short",
        CallReason::WrongIncarnation => "wrong_incarnation",
        CallReason::ClaimUnavailable => "claim_unavailable",
        CallReason::ClaimCapacity => "claim_capacity",
        CallReason::UpstreamUnreachable => "upstream_unreachable",
        CallReason::UpstreamFailed => "upstream_failed",
        CallReason::Cancelled => "cancelled",
        CallReason::KeyReused => "key_reused",
        CallReason::KeyFenced => "key_fenced",
        CallReason::Frozen => "frozen",
        CallReason::DepthExceeded => "depth_exceeded",
        CallReason::AnswerGone => "answer_gone",
        CallReason::LinkLost => "link_lost",
        CallReason::Timeout => "timeout",
        CallReason::NoUpstream => "no_upstream",
        CallReason::ConfigUnavailable => "config_unavailable",
        CallReason::NoRoute => "no_route",
        CallReason::TruncatedAnswer => "truncated_answer",
        CallReason::TooLarge => "too_large",
        CallReason::UpstreamRefused => "upstream_refused",
    }
}
