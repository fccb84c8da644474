//! Answers to callers.

use bytes::Bytes;
use kumquatlock_wire::call::{CallReason, CallResponse, HeaderField};
use serde::Serialize;

use super::names::HeaderNames;
use super::request::is_forwarded;
use crate::http::{FinalStatus, HttpResponse};

/// Header that states the outcome of the call, see [`CallerAnswer::outcome`].
pub const OUTCOME_HEADER: &str = "kumquatlock-outcome";

/// Result of a call as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// Complete answer of an upstream.
    Answered {
        /// HTTP status from the upstream.
        status: FinalStatus,
        /// Headers from the upstream.
        headers: Vec<HeaderField>,
        /// Complete body.
        body: Bytes,
    },
    /// The request provably did not run. If it has a key, no request with this key will ever run.
    NotRun(CallReason),
    /// The request may have run.
    Unknown(CallReason),
    /// The request, or an earlier one with the same key, has run. Its answer is no longer stored.
    AnswerGone,
    /// The request is invalid and did not run. This says nothing about earlier requests with the same key.
    Rejected(RejectReason),
}

/// Why a request is invalid.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The key is empty, too long, repeated, or not made of visible ASCII characters.
    InvalidKey,
    /// The timeout is not within 1..=3,600,000 ms, exceeds the node's limit, or is repeated.
    InvalidTimeout,
    /// The depth is not a number, or is repeated.
    InvalidDepth,
    /// The call chain is deeper than [`super::MAX_DEPTH`].
    DepthExceeded,
    /// The route needs the API key of a client account, and the request has none or an unknown one.
    UnknownKey,
    /// No route matches the host and path.
    NoRoute,
    /// The key was already used with a different request.
    KeyReused,
}

impl RejectReason {
    fn status(self) -> u16 {
        match self {
            RejectReason::InvalidKey
            | RejectReason::InvalidTimeout
            | RejectReason::InvalidDepth
            | RejectReason::DepthExceeded => 400,
            RejectReason::UnknownKey => 401,
            RejectReason::NoRoute => 404,
            RejectReason::KeyReused => 409,
        }
    }
}

#[derive(Serialize)]
struct OutcomeBody {
    outcome: &'static str,
    reason: &'static str,
}

impl CallerAnswer {
    /// Returns the value of [`OUTCOME_HEADER`].
    pub fn outcome(&self) -> &'static str {
        match self {
            CallerAnswer::Answered { .. } => "answered",
            CallerAnswer::NotRun(_) => "not_run",
            CallerAnswer::Unknown(_) => "unknown",
            CallerAnswer::AnswerGone => "ran",
            CallerAnswer::Rejected(_) => "rejected",
        }
    }

    /// Returns the reason that the response body states; empty for an upstream's answer.
    pub fn reason(&self) -> &'static str {
        match self {
            CallerAnswer::Answered { .. } => "",
            CallerAnswer::NotRun(reason) | CallerAnswer::Unknown(reason) => reason_label(*reason),
            CallerAnswer::AnswerGone => reason_label(CallReason::AnswerGone),
            CallerAnswer::Rejected(reason) => reason.into(),
        }
    }

    /// Converts the answer into an HTTP response.
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
            CallerAnswer::NotRun(CallReason::QuotaExceeded) => HttpResponse::json(429, &body),
            CallerAnswer::NotRun(_) => HttpResponse::json(503, &body),
            CallerAnswer::Unknown(_) | CallerAnswer::AnswerGone => HttpResponse::json(504, &body),
            CallerAnswer::Rejected(reason) => {
                let response = HttpResponse::json(reason.status(), &body);
                match names.api_key {
                    Some(header) if reason == RejectReason::UnknownKey => {
                        response.with_header("WWW-Authenticate", header.scheme)
                    }
                    _ => response,
                }
            }
        };
        match names.outcome {
            Some(name) => response.with_header(name, outcome),
            None => response,
        }
    }

    /// Converts an answer whose status has been checked.
    pub(super) fn from_response(response: CallResponse) -> Self {
        CallerAnswer::Answered {
            status: response
                .status
                .try_into()
                .unwrap_or(FinalStatus::BAD_GATEWAY),
            headers: response.headers,
            body: response.body,
        }
    }
}

/// Returns the name of a reason in answers, logs and metrics.
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
        CallReason::Quarantined => "quarantined",
        CallReason::DependencyOverloaded => "dependency_overloaded",
        CallReason::ConfigUnproved => "config_unproved",
        CallReason::QuotaExceeded => "quota_exceeded",
        CallReason::QuotaUnavailable => "quota_unavailable",
        CallReason::BudgetSpent => "budget_spent",
    }
}
