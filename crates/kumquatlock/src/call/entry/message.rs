//! Messages of attempts: the call that is sent, and the meaning of its answer.

use kumquatlock_wire::call::{CallOutcome, CallReason, CallRequest, CallResponse};
use kumquatlock_wire::distribution::WireClass;

use super::micros;
use super::state::EntryCall;
use crate::call::request::CallerRequest;
use crate::core::Timestamp;
use crate::http::{FinalStatus, InvalidStatus};
use crate::routing::ChosenUpstream;

/// Lowest HTTP status that counts as a failure of the upstream.
const MIN_SERVER_ERROR_STATUS: u32 = 500;

/// What is known of an attempt by the response to it, or by the response to a query for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum AttemptResult {
    /// It ran, and the response has its whole answer.
    #[strum(serialize = "answered")]
    Answer,
    /// It ran, and the response has its whole answer, a server error.
    #[strum(serialize = "failed")]
    ServerError,
    /// It ran, and its answer is no longer stored.
    AnswerGone,
    /// It did not run and never will.
    NotRun(CallReason),
    /// It may have run.
    Unknown(CallReason),
    /// It did not run, because another attempt holds the claim of its key.
    ClaimedElsewhere,
}

/// Returns what a response says of an attempt.
pub(super) fn classify_response(response: &CallResponse) -> AttemptResult {
    let reason = CallReason::try_from(response.reason).unwrap_or(CallReason::UpstreamFailed);
    match CallOutcome::try_from(response.outcome) {
        Ok(CallOutcome::Answered) if response.body_len != response.body.len() as u64 => {
            AttemptResult::Unknown(CallReason::TruncatedAnswer)
        }
        Ok(CallOutcome::Answered) if check_status(response).is_err() => {
            AttemptResult::Unknown(CallReason::UpstreamFailed)
        }
        Ok(CallOutcome::Answered) if response.status >= MIN_SERVER_ERROR_STATUS => {
            AttemptResult::ServerError
        }
        Ok(CallOutcome::Answered) => AttemptResult::Answer,
        Ok(CallOutcome::NotRun) => AttemptResult::NotRun(reason),
        Ok(CallOutcome::ClaimedElsewhere) => AttemptResult::ClaimedElsewhere,
        Ok(CallOutcome::Unknown) if reason == CallReason::AnswerGone => AttemptResult::AnswerGone,
        Ok(CallOutcome::Unknown | CallOutcome::Unspecified) | Err(_) => {
            AttemptResult::Unknown(reason)
        }
    }
}

/// Checks that an answer has the status of a final response, as every upstream's answer that was
/// parsed has.
fn check_status(response: &CallResponse) -> Result<FinalStatus, InvalidStatus> {
    let status = FinalStatus::try_from(response.status);
    if let Err(error) = status {
        log::info!(status = error.0, entry = response.id.entry.as_str(), call = response.id.call_id;
            "answer_status_invalid");
    }
    status
}

/// Builds the message that sends an attempt to the chosen upstream, without its id and the
/// incarnation that it names.
pub(super) fn build_request(
    call: &EntryCall,
    chosen: &ChosenUpstream,
    now: Timestamp,
    version: u64,
) -> CallRequest {
    let request = &call.request;
    CallRequest {
        upstream: chosen.entry.name.to_string(),
        config_version: version,
        service: call.service.to_string(),
        class: WireClass::from(call.route.class) as i32,
        key: request.key.clone(),
        deadline_us: micros(call.deadline.since(now)),
        traceparent: call.span.map(|span| span.context.to_string()),
        depth: request.depth,
        method: request.method.clone(),
        path: request.target.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        request_digest: request.digest,
        fingerprint: call.fingerprint.0,
        rank: call.rank(),
        account: call
            .account
            .as_ref()
            .map(|account| account.name.to_string()),
        inner: request.is_nested,
        target_us: call.route.latency_target.map(|target| {
            let left = (call.opened_at + target).since(now);
            micros(left)
        }),
        callers: callers_of(request),
        route: call.route.name.to_string(),
        ..CallRequest::default()
    }
}

fn callers_of(request: &CallerRequest) -> Vec<String> {
    let callers = request.parent.iter().flat_map(|parent| &parent.callers);
    callers.map(|service| service.to_string()).collect()
}
