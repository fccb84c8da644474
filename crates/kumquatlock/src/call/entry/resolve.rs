//! Queries for the outcome of an attempt, and fencing of keys: once a key is fenced, no request
//! with it ever runs.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{CallReason, CallResponse};
use kumquatlock_wire::claim::{ClaimOwner, ClaimReply, OutcomeQuery};

use super::message::{AttemptResult, classify_response};
use super::processes::DestinationProcess;
use super::state::{CallPhase, EntryCall, OutcomeSearch};
use super::{CallId, EntryCalls, EntryStep, PeerNode, micros, ticket_of};
use crate::call::answer::{CallerAnswer, RejectReason};
use crate::claim::{ClaimAcquirer, ClaimFencer, ClaimMessage, FenceDecision, FenceSteps};
use crate::core::{ProcessId, Timestamp};
use crate::retry::AttemptFailure;

/// Interval between queries to a destination node that could not be reached.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between attempts while the claim of a refused attempt is not released yet.
const RELEASE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for recording a fence. Fencing may start as late as the caller's deadline.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long beyond the caller's deadline a fence may still be recorded. Covers a round trip between
/// regions and one repetition.
const FENCE_OVERTIME: Duration = Duration::from_millis(500);

impl EntryCalls {
    /// Asks the destination node of this call's lost attempt for the outcome.
    pub(super) fn search_own_attempt(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: u32,
        destination: &str,
        addressed: DestinationProcess,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let owner = ClaimOwner {
            attempt: self.attempt_id(id, attempt),
            destination: destination.to_owned(),
            destination_incarnation: addressed.incarnation.0,
            request_digest: call.request.digest,
        };
        self.counters.resolutions += 1;
        self.start_search(
            now,
            id,
            owner,
            addressed.process,
            CallReason::LinkLost,
            steps,
        );
    }

    /// Asks for the outcome of the attempt that owns the claim on the key. The attempt may belong
    /// to another call with the same key.
    pub(super) fn search_claim_owner(
        &mut self,
        now: Timestamp,
        id: CallId,
        owner: ClaimOwner,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if self.is_refused_attempt(call, id, &owner) {
            return self.await_release(now, id);
        }
        if owner.request_digest != call.request.digest {
            let answer = CallerAnswer::Rejected(RejectReason::KeyReused);
            self.answer(now, id, answer, steps);
            return;
        }
        self.start_search(now, id, owner, None, CallReason::ClaimUnavailable, steps);
    }

    /// Returns whether the claim belongs to an attempt of this call that is proved not to have run.
    fn is_refused_attempt(&self, call: &EntryCall, id: CallId, owner: &ClaimOwner) -> bool {
        let attempt = &owner.attempt;
        self.is_own_attempt(attempt)
            && CallId(attempt.call_id) == id
            && call.refused_attempts.contains(&attempt.attempt)
    }

    /// Tries again shortly, because the destination of a refused attempt has not released its claim
    /// at the holders yet. Asking that destination for the outcome would add nothing, and would
    /// make the outcome unknown if its incarnation has ended.
    fn await_release(&mut self, now: Timestamp, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.reason = CallReason::ClaimUnavailable;
            call.phase = CallPhase::Backoff(now + RELEASE_INTERVAL);
            // The attempt that met the claim used up none of the call's chances.
            call.attempts_sent = call.attempts_sent.saturating_sub(1);
            self.reschedule(now, id);
        }
    }

    fn start_search(
        &mut self,
        now: Timestamp,
        id: CallId,
        owner: ClaimOwner,
        process: Option<ProcessId>,
        reason: CallReason,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let destination = owner.destination.as_str().into();
        let search = OutcomeSearch {
            owner,
            destination,
            process,
            query_number: 0,
            expires_at: now + self.settings.search_limit,
            retry_at: Some(now),
            reason,
        };
        call.phase = CallPhase::Querying(search);
        self.send_outcome_query(now, id, steps);
    }

    /// Sends the next query of a search. Answers "unknown" if the search has expired or the
    /// destination node's incarnation has ended.
    pub(super) fn send_outcome_query(
        &mut self,
        now: Timestamp,
        id: CallId,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let CallPhase::Querying(search) = &mut call.phase else {
            return;
        };
        if now >= search.expires_at {
            let answer = CallerAnswer::Unknown(search.reason);
            return self.answer(now, id, answer, steps);
        }
        if search.retry_at.is_none_or(|at| at > now) {
            return;
        }
        let known = self
            .snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.upstreams.get(&search.destination));
        let addressed = search.addressed();
        let stated = &self.stated_processes;
        let known = known.filter(|upstream| stated.is_current(upstream, addressed));
        let Some(upstream) = known.cloned() else {
            // The incarnation of the node that knew the outcome has ended.
            let answer = CallerAnswer::Unknown(search.reason);
            self.answer(now, id, answer, steps);
            return;
        };
        search.retry_at = None;
        let is_repeated = search.query_number > 0;
        call.last_number += 1;
        search.query_number = call.last_number;
        let number = search.query_number;
        let query = OutcomeQuery {
            service: call.service.to_string(),
            key: call.request.key.clone().unwrap_or_default(),
            owner: search.owner.clone(),
            deadline_us: micros(call.deadline.since(now)),
            process: addressed.process.unwrap_or_default().0,
            id: self.attempt_id(id, number),
        };
        let to = self.peer(&upstream);
        let ticket = Some(ticket_of(id, number));
        steps.push(EntryStep::Send {
            to,
            body: Body::OutcomeQuery(query),
            ticket,
        });
        self.log_query(now, id, is_repeated);
        self.reschedule(now, id);
    }

    pub(super) fn is_query(&self, id: CallId, number: u32) -> bool {
        let phase = self.calls.get(&id).map(|call| &call.phase);
        matches!(phase, Some(CallPhase::Querying(search)) if search.query_number == number)
    }

    /// Schedules another query after one that did not arrive or whose answer was lost.
    pub(super) fn retry_query(&mut self, now: Timestamp, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let CallPhase::Querying(search) = &mut call.phase {
            search.retry_at = Some(now + QUERY_RETRY_INTERVAL);
            self.reschedule(now, id);
        }
    }

    /// Handles the answer to a query.
    pub(super) fn finish_query(
        &mut self,
        now: Timestamp,
        id: CallId,
        response: CallResponse,
        steps: &mut Vec<EntryStep>,
    ) {
        self.record_query_answer(now, id, &response);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let CallPhase::Querying(search) = &call.phase else {
            return;
        };
        if response.incarnation != search.owner.destination_incarnation {
            let answer = CallerAnswer::Unknown(search.reason);
            self.answer(now, id, answer, steps);
            return;
        }
        match classify_response(&response) {
            AttemptResult::Answer | AttemptResult::ServerError => {
                self.answer(now, id, CallerAnswer::from_response(response), steps);
            }
            AttemptResult::AnswerGone => {
                self.answer(now, id, CallerAnswer::AnswerGone, steps);
            }
            // Destination nodes remember an attempt only for a while after its deadline.
            AttemptResult::NotRun(_) if now >= call.deadline => {
                let answer = CallerAnswer::Unknown(search.reason);
                self.answer(now, id, answer, steps);
            }
            AttemptResult::NotRun(_) => {
                call.phase = CallPhase::Attempting;
                let failure = AttemptFailure::NotRun(CallReason::LinkLost);
                self.handle_failure(now, id, failure, steps);
            }
            AttemptResult::Unknown(reason) => {
                self.answer(now, id, CallerAnswer::Unknown(reason), steps);
            }
            // A query asks for one attempt and gets no claim.
            AttemptResult::ClaimedElsewhere => {
                let answer = CallerAnswer::Unknown(search.reason);
                self.answer(now, id, answer, steps);
            }
        }
    }

    /// Answers "not run", or "unknown" if an earlier attempt may have run. A request with a key
    /// gets "not run" only after a majority of the holders has fenced the key.
    pub(super) fn answer_not_run(
        &mut self,
        now: Timestamp,
        id: CallId,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let reason = call.reason;
        if call.may_have_run {
            self.answer(now, id, CallerAnswer::Unknown(reason), steps);
            return;
        }
        let Some(key) = call.claim_key() else {
            self.answer(now, id, CallerAnswer::NotRun(reason), steps);
            return;
        };
        let Some((shard, view)) = self.placement.locate(&call.service, key) else {
            // Without holders, nothing shows whether an earlier request with this key ran.
            self.answer(now, id, CallerAnswer::Unknown(reason), steps);
            return;
        };
        let owner = ClaimOwner {
            attempt: self.attempt_id(id, call.last_number),
            destination: String::new(),
            destination_incarnation: 0,
            request_digest: call.request.digest,
        };
        let latest = call.deadline.max(now) + FENCE_OVERTIME;
        let expires_at = (now + FENCE_TIMEOUT).min(latest);
        let mut fencer = ClaimFencer::new(fence_number(id), owner, shard, key, expires_at);
        let fence = fencer.on_view(now, Some(view));
        self.counters.fences += 1;
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = CallPhase::Fencing(Box::new(fencer));
        }
        self.apply_fence_steps(now, id, fence, steps);
    }

    pub(super) fn on_fence_reply(
        &mut self,
        now: Timestamp,
        from: &str,
        reply: &ClaimReply,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(id) = call_of_fence(ClaimAcquirer::number_of(reply.request_id)) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let CallPhase::Fencing(fencer) = &mut call.phase {
            let fence = fencer.on_reply(now, from, reply);
            self.apply_fence_steps(now, id, fence, steps);
        }
    }

    pub(super) fn on_fence_tick(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let CallPhase::Fencing(fencer) = &mut call.phase {
            let fence = fencer.on_tick(now);
            self.apply_fence_steps(now, id, fence, steps);
        }
    }

    /// Updates the shard views of all fences in progress after a configuration change.
    pub(super) fn refresh_fences(&mut self, now: Timestamp, steps: &mut Vec<EntryStep>) {
        for id in self.calls.keys().copied().collect::<Vec<_>>() {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            let key = call.claim_key().map(str::to_owned);
            let CallPhase::Fencing(fencer) = &mut call.phase else {
                continue;
            };
            let key = key.unwrap_or_default();
            let located = self.placement.locate(&call.service, &key);
            let fence = fencer.on_view(now, located.map(|(_, view)| view));
            self.apply_fence_steps(now, id, fence, steps);
        }
    }

    fn apply_fence_steps(
        &mut self,
        now: Timestamp,
        id: CallId,
        fence: FenceSteps,
        steps: &mut Vec<EntryStep>,
    ) {
        for send in fence.messages {
            steps.extend(self.claim_step(send));
        }
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let reason = call.reason;
        match fence.decision {
            None => self.reschedule(now, id),
            Some(FenceDecision::NotRun) => {
                self.answer(now, id, CallerAnswer::NotRun(reason), steps);
            }
            Some(FenceDecision::Unknown) => {
                let answer = CallerAnswer::Unknown(CallReason::ClaimUnavailable);
                self.answer(now, id, answer, steps);
            }
            Some(FenceDecision::OwnerExists { owner, .. }) if now < call.deadline => {
                self.search_claim_owner(now, id, owner, steps);
            }
            Some(FenceDecision::OwnerExists { .. }) => {
                let answer = CallerAnswer::Unknown(CallReason::Timeout);
                self.answer(now, id, answer, steps);
            }
        }
    }

    fn claim_step(&self, send: ClaimMessage) -> Option<EntryStep> {
        let upstream = self.snapshot.as_ref()?.upstreams.get(&send.to)?;
        let to: PeerNode = self.peer(upstream);
        Some(EntryStep::Send {
            to,
            body: send.body,
            ticket: None,
        })
    }
}

/// Returns the request number of a call's fence. Fences have even numbers; the claim acquirers of
/// the destination role on the same node have odd ones.
fn fence_number(id: CallId) -> u64 {
    id.0 << 1
}

fn call_of_fence(number: u64) -> Option<CallId> {
    (number & 1 == 0).then_some(CallId(number >> 1))
}
