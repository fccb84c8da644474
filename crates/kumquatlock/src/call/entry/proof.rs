//! Proofs that an attempt did not run.

use kumquatlock_wire::call::CallReason;

use super::message::AttemptResult;

/// What proves that an attempt did not run and never will. Another attempt of a request that must
/// not run twice is sent only after such a proof.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptProof {
    /// Nothing: the attempt may have run.
    None,
    /// No byte of the attempt was written to the link.
    Unsent,
    /// The destination node refused the attempt before it reached the upstream.
    Refused,
    /// The destination node could not connect to the upstream.
    UpstreamUnreachable,
    /// The upstream stated that it did not run the request.
    UpstreamRefused,
    /// Another attempt holds the claim of the key.
    ClaimedElsewhere,
    /// The destination node answered a query: it has fenced the attempt.
    Fenced,
}

impl AttemptProof {
    /// Returns the proof that the answer to an attempt gives. `names_owner` is whether the answer
    /// names the attempt that holds the claim.
    pub(super) fn of_result(result: &AttemptResult, names_owner: bool) -> Self {
        match result {
            AttemptResult::NotRun(CallReason::UpstreamRefused) => AttemptProof::UpstreamRefused,
            AttemptResult::NotRun(CallReason::UpstreamUnreachable) => {
                AttemptProof::UpstreamUnreachable
            }
            AttemptResult::NotRun(_) => AttemptProof::Refused,
            AttemptResult::ClaimedElsewhere if names_owner => AttemptProof::ClaimedElsewhere,
            AttemptResult::ClaimedElsewhere
            | AttemptResult::Unknown(_)
            | AttemptResult::Answer
            | AttemptResult::ServerError
            | AttemptResult::AnswerGone => AttemptProof::None,
        }
    }
}
