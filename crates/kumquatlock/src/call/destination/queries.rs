//! Queries for the outcome of attempts.

use std::time::Duration;

use kumquatlock_wire::call::{AttemptId, CallOutcome, CallReason};
use kumquatlock_wire::claim::OutcomeQuery;

use super::{CallSource, DestinationCalls, DestinationStep};
use crate::claim::{QueryAnswer, QueryReply};
use crate::core::{IncarnationId, Timestamp};

/// An outcome query, and what its answer needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingQuery {
    source: CallSource,
    /// Incarnation that the attempt names. The answer states it, because it speaks for that
    /// incarnation, also after the process has taken a later one.
    incarnation: IncarnationId,
}

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
        let named = IncarnationId(query.owner.destination_incarnation);
        let is_own = self.outcomes.covers(named) && !self.is_other_process(query.process);
        let waiting = WaitingQuery {
            source,
            incarnation: if is_own { named } else { self.incarnation },
        };
        if !is_own {
            steps.push(self.query_response(waiting, query.id, QueryAnswer::Unknown));
            return steps;
        }
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
                steps.push(self.query_response(waiting, query.id, answer));
            }
            None => {
                self.queries.insert(query.id, waiting);
            }
        }
        steps
    }

    fn query_response(
        &self,
        waiting: WaitingQuery,
        query: AttemptId,
        answer: QueryAnswer,
    ) -> DestinationStep {
        let mut response = match answer {
            QueryAnswer::Answered(answer) => self.answer_response(query, answer),
            other => {
                let (outcome, reason) = describe_answer(&other);
                self.response(query, outcome, reason)
            }
        };
        response.incarnation = waiting.incarnation.0;
        DestinationStep::Respond {
            to: waiting.source,
            response,
        }
    }

    pub(super) fn answer_queries(
        &mut self,
        due: Vec<QueryReply>,
        steps: &mut Vec<DestinationStep>,
    ) {
        for QueryReply { query, answer } in due {
            if let Some(waiting) = self.queries.swap_remove(&query) {
                steps.push(self.query_response(waiting, query, answer));
            }
        }
    }
}

fn describe_answer(answer: &QueryAnswer) -> (CallOutcome, CallReason) {
    match answer {
        QueryAnswer::Answered(_) => (CallOutcome::Answered, CallReason::None),
        QueryAnswer::NeverRuns => (CallOutcome::NotRun, CallReason::Cancelled),
        QueryAnswer::AnswerGone => (CallOutcome::Unknown, CallReason::AnswerGone),
        QueryAnswer::Unknown => (CallOutcome::Unknown, CallReason::UpstreamFailed),
        QueryAnswer::StillRunning => (CallOutcome::Unknown, CallReason::Timeout),
        QueryAnswer::TooManyWaiters => (CallOutcome::Unknown, CallReason::Overloaded),
    }
}
