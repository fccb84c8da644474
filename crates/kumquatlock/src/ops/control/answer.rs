//! Answers to operators.

use serde::Serialize;

use super::operator::SUBMIT_PATH;
use super::requests::{RequestAnswer, RequestKind};
use crate::agreement::{ProposalError, ReadIndexError};
use crate::catalog::{CurrentCatalog, ManifestDecision};
use crate::distribution::InForceCount;
use crate::http::HttpResponse;
use crate::manifest::ManifestError;
use crate::submission::SubmissionAnswer;

/// Body for a request that was provably not carried out or whose outcome is unknown.
#[derive(Serialize)]
struct OutcomeBody<'a> {
    outcome: &'a str,
    reason: &'a str,
}

#[derive(Serialize)]
struct AcceptedBody {
    state: &'static str,
    manifest_version: u64,
    config_version: u64,
}

#[derive(Serialize)]
struct RefusedBody<'a> {
    state: &'static str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    manifest_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    path: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

#[derive(Serialize)]
struct ManifestStatusBody {
    state: &'static str,
    manifest_version: u64,
    config_version: u64,
    attached: u64,
    applied: u64,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    detail: &'a str,
}

pub(super) fn json_answer(status: u16, body: &impl Serialize) -> RequestAnswer {
    let json = serde_json::to_string(body).unwrap_or_default();
    RequestAnswer::Operator { status, json }
}

/// Returns the answer to a request that was provably not carried out.
pub(super) fn not_run(reason: &str) -> RequestAnswer {
    let outcome = "not_run";
    json_answer(503, &OutcomeBody { outcome, reason })
}

/// Returns the answer to a request that may have been carried out.
pub(super) fn unknown(reason: &str) -> RequestAnswer {
    let outcome = "unknown";
    json_answer(504, &OutcomeBody { outcome, reason })
}

/// Returns the answer to a request that provably did not reach the leader.
pub(super) fn unavailable(kind: RequestKind, reason: &str) -> RequestAnswer {
    match kind {
        RequestKind::Submit | RequestKind::Status { .. } | RequestKind::RolloutOrder => {
            not_run(reason)
        }
        RequestKind::ReadIndex => RequestAnswer::ReadIndex(None),
    }
}

/// Returns the answer to a request that may have reached the leader.
pub(super) fn uncertain(kind: RequestKind, reason: &str) -> RequestAnswer {
    match kind {
        RequestKind::Submit | RequestKind::RolloutOrder => unknown(reason),
        // A status request has no effect, so it counts as not run.
        RequestKind::Status { .. } => not_run(reason),
        RequestKind::ReadIndex => RequestAnswer::ReadIndex(None),
    }
}

/// Returns the answer to a submission.
pub(super) fn submission(answer: &SubmissionAnswer) -> RequestAnswer {
    match answer {
        SubmissionAnswer::Decided { decision, .. } => decided_manifest(decision),
        SubmissionAnswer::Unconfirmed(ReadIndexError::QueueFull) => not_run("busy"),
        SubmissionAnswer::Unconfirmed(_) => not_run("not_current"),
        SubmissionAnswer::UnknownBase => not_run("unknown_base"),
        SubmissionAnswer::Failed(error) => failed_proposal(error),
        SubmissionAnswer::Undecided => unknown("not_decided"),
    }
}

/// Returns the answer to a submission whose proposal failed.
pub(super) fn failed_proposal(error: &ProposalError) -> RequestAnswer {
    match error {
        ProposalError::NotLeader { .. } => not_run("no_leader"),
        ProposalError::LostLeadership => unknown("leadership_lost"),
        ProposalError::StorageFull => not_run("storage_full"),
        ProposalError::StorageFailed => not_run("storage_failed"),
        ProposalError::QueueFull => not_run("busy"),
        ProposalError::TooLarge => not_run("too_large"),
    }
}

/// Returns the answer for the catalog's decision on a manifest.
fn decided_manifest(decision: &ManifestDecision) -> RequestAnswer {
    let refused = |reason, manifest_version, accepted_version| RefusedBody {
        state: "refused",
        reason,
        manifest_version: Some(manifest_version),
        accepted_version,
        path: None,
        detail: None,
    };
    match decision {
        ManifestDecision::Accepted {
            manifest_version,
            config_version,
        } => json_answer(
            200,
            &AcceptedBody {
                state: "accepted",
                manifest_version: *manifest_version,
                config_version: config_version.0,
            },
        ),
        ManifestDecision::Conflict {
            manifest_version, ..
        } => json_answer(409, &refused("conflict", *manifest_version, None)),
        ManifestDecision::Stale {
            manifest_version,
            accepted_version,
        } => json_answer(
            409,
            &refused("stale", *manifest_version, Some(*accepted_version)),
        ),
        ManifestDecision::OtherBase {
            manifest_version,
            accepted_version,
        } => json_answer(
            409,
            &refused("other_base", *manifest_version, Some(*accepted_version)),
        ),
        // The submission is normally decided again before it is answered. The overtaken attempt had
        // no effect.
        ManifestDecision::Overtaken => not_run("overtaken"),
        ManifestDecision::Invalid(error) => invalid_manifest(error),
    }
}

/// Returns the answer to a submission of an invalid manifest.
pub(super) fn invalid_manifest(error: &ManifestError) -> RequestAnswer {
    let body = RefusedBody {
        state: "refused",
        reason: error.reason(),
        manifest_version: None,
        accepted_version: None,
        path: Some(&error.path),
        detail: Some(error.fault.to_string()),
    };
    json_answer(422, &body)
}

/// Returns the state of a manifest as the leader knows it. `count` also returns whether the leader
/// knows of every attached node; until then, no manifest is reported as in force.
pub(super) fn manifest_status(
    current: &CurrentCatalog<'_>,
    requested_version: Option<u64>,
    count: impl Fn(crate::core::ConfigVersion) -> (InForceCount, bool),
) -> RequestAnswer {
    let newest_version = current.state().manifest_version();
    let manifest_version = requested_version.unwrap_or(newest_version);
    let Some(record) = current.accepted(manifest_version) else {
        let body = ManifestStatusBody {
            state: "unknown",
            manifest_version,
            config_version: 0,
            attached: 0,
            applied: 0,
        };
        return json_answer(404, &body);
    };
    let (count, is_complete) = count(record.config_version);
    let state = if manifest_version != newest_version {
        "superseded"
    } else if is_complete && count.is_in_force() {
        "in_force"
    } else {
        "accepted"
    };
    let body = ManifestStatusBody {
        state,
        manifest_version,
        config_version: record.config_version.0,
        attached: count.attached,
        applied: count.applied,
    };
    json_answer(200, &body)
}

/// Converts an answer into an HTTP response.
pub(super) fn response(answer: RequestAnswer) -> HttpResponse {
    match answer {
        RequestAnswer::Operator { status, json } => HttpResponse::json_text(status, json),
        RequestAnswer::Redirect(address) => {
            let location = format!("http://{address}{SUBMIT_PATH}");
            HttpResponse::json_text(307, "{}").with_header("Location", &location)
        }
        // Operators cannot request this kind of answer.
        RequestAnswer::ReadIndex(_) => HttpResponse::json_text(500, "{}"),
    }
}

/// Returns the response to an HTTP request that matches no operation.
pub(super) fn bad_request(status: u16, error: &str, detail: &str) -> HttpResponse {
    HttpResponse::json(status, &ErrorBody { error, detail })
}
