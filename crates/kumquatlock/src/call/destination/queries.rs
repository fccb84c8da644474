//! Queries for the outcome of attempts.

use std::time::Duration;

use kumquatlock_wire::call::{AttemptId, CallOutcome, CallReason};
use kumquatlock_wire::claim::OutcomeQuery;

use super::{CallSource, DestinationCalls, DestinationStep};
use crate::claim::{QueryAnswer, QueryReply};
use crate::core::Timestamp;

impl DestinationCalls {
    /// Handles a query for the outcome of an attempt.
    pub fn on_query(
        &mut self,
        now: Timestamp,
        source: CallSource,
        query: OutcomeQuery,
    ) -> Vec<DestinationStep> {
        let mut steps = Vec::new();
        let deadline = now + Duration::from_micros(query.deadline_us);
        let is_recorded = self.outcomes.contains(&query.owner.attempt);
        match self.outcomes.query(now, &query.id, &query.owner, deadline) {
            Some(answer) => {
                if answer == QueryAnswer::NeverRuns && !is_recorded {
                    self.record_query_fence(now, source, &query);
                }
                if answer == QueryAnswer::NeverRuns && !query.key.is_empty() {
                    // The holders may have granted the claim before this node lost track of the
                    // attempt.
                    self.release_claim(now, &query, &mut steps);
                }
                steps.push(self.query_response(source, query.id, answer));
            }
            None => {
                self.queries.insert(query.id, source);
            }
        }
        steps
    }

    fn query_response(
        &self,
        to: CallSource,
        query: AttemptId,
        answer: QueryAnswer,
    ) -> DestinationStep {
        let (outcome, reason) = match answer {
            QueryAnswer::Answered(answer) => {
                let response = self.answer_response(query, answer);
                return DestinationStep::Respond { to, response };
            }
            QueryAnswer::NeverRuns => (CallOutcome::NotRun, CallReason::Cancelled),
            QueryAnswer::AnswerGone => (CallOutcome::Unknown, CallReason::AnswerGone),
            QueryAnswer::Unknown => (CallOutcome::Unknown, CallReason::UpstreamFailed),
            QueryAnswer::StillRunning => (CallOutcome::Unknown, CallReason::Timeout),
            QueryAnswer::TooManyWaiters => (CallOutcome::Unknown, CallReason::Overloaded),
        };
        let response = self.response(query, outcome, reason);
        DestinationStep::Respond { to, response }
    }

    pub(super) fn answer_queries(
        &mut self,
        due: Vec<QueryReply>,
        steps: &mut Vec<DestinationStep>,
    ) {
        for QueryReply { query, answer } in due {
            if let Some(source) = self.queries.swap_remove(&query) {
                steps.push(self.query_response(source, query, answer));
            }
        }
    }
}
