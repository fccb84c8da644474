//! Responses to calls, and the refusal of calls that were not admitted.

use std::time::Duration;

use kumquatlock_wire::call::{AttemptId, CallOutcome, CallReason, CallRequest, CallResponse};

use super::{CallSource, DestinationCalls, DestinationStep, is_repeatable};
use crate::claim::StoredAnswer;
use crate::core::Timestamp;

impl DestinationCalls {
    /// Refuses a call that was not admitted. The refusal also applies to later deliveries of the
    /// same attempt.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        source: CallSource,
        request: &CallRequest,
        reason: CallReason,
        steps: &mut Vec<DestinationStep>,
    ) {
        let outcome = CallOutcome::NotRun;
        self.log_end(now, source, request, outcome, reason, Duration::ZERO);
        let is_fenced = is_repeatable(request) || self.fence(now, &request.id, steps);
        if !is_fenced && self.outcomes.contains(&request.id) {
            // An earlier delivery of this attempt has already started; it is answered when it ends.
            return;
        }
        // A full table does not record the refusal. The attempt has arrived, and is not sent again.
        steps.push(self.refusal(source, request, reason));
    }

    pub(super) fn fence(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        steps: &mut Vec<DestinationStep>,
    ) -> bool {
        let (fenced, due) = self.outcomes.fence(now, attempt);
        self.answer_queries(due, steps);
        fenced
    }

    pub(super) fn refusal(
        &self,
        to: CallSource,
        request: &CallRequest,
        reason: CallReason,
    ) -> DestinationStep {
        let mut response = self.response(request.id.clone(), CallOutcome::NotRun, reason);
        // The entry node takes an answer that states another incarnation than the attempt names only
        // as a refusal for that reason.
        match reason {
            // The attempt reached the address of another node, whose processes this one can't state.
            CallReason::WrongIncarnation if *request.upstream != *self.name => {}
            CallReason::WrongIncarnation => response.process = self.process.0,
            _ => response.incarnation = request.incarnation,
        }
        DestinationStep::Respond { to, response }
    }

    pub(super) fn response(
        &self,
        id: AttemptId,
        outcome: CallOutcome,
        reason: CallReason,
    ) -> CallResponse {
        CallResponse {
            id,
            incarnation: self.incarnation.0,
            outcome: outcome as i32,
            reason: reason as i32,
            load: Some(self.load()),
            notice: self.notice_message(),
            ..CallResponse::default()
        }
    }

    pub(super) fn answer_response(&self, id: AttemptId, answer: StoredAnswer) -> CallResponse {
        CallResponse {
            status: answer.status,
            headers: answer.headers,
            body_len: answer.body.len() as u64,
            body: answer.body,
            ..self.response(id, CallOutcome::Answered, CallReason::None)
        }
    }
}
