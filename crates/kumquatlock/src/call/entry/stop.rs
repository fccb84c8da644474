//! Calls of an entry node that stops.

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{CallCancel, CallReason};

use super::state::CallPhase;
use super::{CallId, EntryCalls, EntryStep, micros};
use crate::call::answer::CallerAnswer;
use crate::core::Timestamp;

impl EntryCalls {
    /// Sets until when answers can be passed on. Destination nodes are told, so that they refuse
    /// the calls that can't be answered by then: otherwise such a call would be cut off without an
    /// answer, and would run when nobody waits for it.
    pub fn set_end(&mut self, now: Timestamp, ends_at: Timestamp) -> Vec<EntryStep> {
        self.ends_at = Some(ends_at);
        let mut steps = Vec::new();
        for (id, call) in &self.calls {
            for sent in &call.outstanding {
                let limit = CallCancel {
                    id: self.attempt_id(*id, sent.number),
                    answer_within_us: Some(micros(ends_at.since(now))),
                };
                steps.push(EntryStep::Send {
                    to: self.peer(&sent.chosen.entry),
                    body: Body::Cancel(limit),
                    ticket: None,
                });
            }
        }
        steps
    }

    /// Refuses new calls from now on and ends the calls that are only waiting for their next
    /// attempt: deferred work may wait for an hour, and its caller can use another node. All other
    /// calls continue.
    pub fn drain(&mut self, now: Timestamp) -> Vec<EntryStep> {
        self.draining = true;
        let mut steps = Vec::new();
        let waiting = self.calls.iter().filter(|(_, call)| call.is_waiting());
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(call) = self.calls.get_mut(&id) {
                call.reason = CallReason::Draining;
            }
            self.give_up(now, id, &mut steps);
        }
        steps
    }

    /// Answers all calls that are still open, because the process is about to end.
    pub fn end_calls(&mut self, now: Timestamp) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        for id in self.calls.keys().copied().collect::<Vec<_>>() {
            self.end_call(now, id, &mut steps);
        }
        steps
    }

    fn end_call(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.reason = CallReason::Draining;
        // A key can't be fenced in the time that is left.
        if call.is_waiting() && call.claim_key().is_none() {
            return self.give_up(now, id, steps);
        }
        let answer = match (call.failed_answer.take(), &call.phase) {
            (Some(answer), CallPhase::Attempting) => answer,
            _ => CallerAnswer::Unknown(CallReason::Draining),
        };
        self.answer(now, id, answer, steps);
    }
}
