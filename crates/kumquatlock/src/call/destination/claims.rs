//! Claims of the calls that run on this node's upstream.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::{CallOutcome, CallReason};
use kumquatlock_wire::claim::{ClaimOwner, ClaimReply, OutcomeQuery, ShardView};

use super::{DestinationCalls, DestinationStep, RunId};
use crate::claim::{AcquireDecision, AcquireSteps, ClaimAcquirer, RefusalReason, shard_of};
use crate::core::Timestamp;

/// Maximum time that a call waits for its claim. The call occupies a slot of the upstream
/// meanwhile, so if it waited for the default deadline of 5 s, unreachable holders would cause all
/// slots to fill up. Long enough for a view change after the loss of one holder and for several
/// resends.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(2);

impl DestinationCalls {
    pub(super) fn acquire_claim(
        &mut self,
        now: Timestamp,
        id: RunId,
        steps: &mut Vec<DestinationStep>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let Some(key) = run.claim_key() else { return };
        let request = &run.request;
        let owner = ClaimOwner {
            attempt: request.id.clone(),
            destination: self.name.to_string(),
            destination_incarnation: self.incarnation.0,
            request_digest: request.request_digest,
        };
        let service = request.service.as_str();
        let shard = shard_of(service, key);
        let view = self.placement.view_of(service, shard.number);
        let number = claim_number(id);
        let deadline = run.deadline.min(now + MAX_CLAIM_WAIT);
        let mut acquirer = ClaimAcquirer::new(number, owner, shard, key, deadline);
        let acquired = acquirer.on_view(now, view);
        self.claims.insert(number, acquirer);
        self.apply_claim_steps(now, number, acquired, steps);
    }

    /// Releases the claim of a key whose attempt may have been granted but will never run here.
    pub(super) fn release_claim(
        &mut self,
        now: Timestamp,
        query: &OutcomeQuery,
        steps: &mut Vec<DestinationStep>,
    ) {
        let id = RunId(self.next_run);
        self.next_run += 1;
        let number = claim_number(id);
        let shard = shard_of(&query.service, &query.key);
        let view = self.placement.view_of(&query.service, shard.number);
        let owner = query.owner.clone();
        let mut acquirer = ClaimAcquirer::new(number, owner, shard, &query.key, now);
        let mut released = acquirer.abandon(now);
        released
            .messages
            .extend(acquirer.on_view(now, view).messages);
        self.claims.insert(number, acquirer);
        self.apply_claim_steps(now, number, released, steps);
    }

    pub(super) fn finish_claim(
        &mut self,
        now: Timestamp,
        id: RunId,
        steps: &mut Vec<DestinationStep>,
    ) {
        self.advance_claim(now, claim_number(id), steps, |claim| claim.finish(now));
    }

    pub(super) fn abandon_claim(
        &mut self,
        now: Timestamp,
        id: RunId,
        steps: &mut Vec<DestinationStep>,
    ) {
        self.advance_claim(now, claim_number(id), steps, |claim| claim.abandon(now));
    }

    pub(super) fn drop_claim(&mut self, id: RunId) {
        let number = claim_number(id);
        self.claims.swap_remove(&number);
        self.pending_claims.remove(&number);
    }

    pub(super) fn advance_claim_reply(
        &mut self,
        now: Timestamp,
        from: &str,
        reply: &ClaimReply,
        steps: &mut Vec<DestinationStep>,
    ) {
        let number = ClaimAcquirer::number_of(reply.request_id);
        self.advance_claim(now, number, steps, |claim| claim.on_reply(now, from, reply));
    }

    pub(super) fn advance_claims(&mut self, now: Timestamp, steps: &mut Vec<DestinationStep>) {
        for number in self.pending_claims.iter().copied().collect::<Vec<_>>() {
            self.advance_claim(now, number, steps, |claim| claim.on_tick(now));
        }
    }

    /// Updates the shard views of all claims in progress after a configuration change.
    pub(super) fn refresh_claims(&mut self, now: Timestamp, steps: &mut Vec<DestinationStep>) {
        for number in self.claims.keys().copied().collect::<Vec<_>>() {
            let Some(acquirer) = self.claims.get_mut(&number) else {
                continue;
            };
            let shard = acquirer.shard().clone();
            let view: Option<Arc<ShardView>> = self.placement.view_of(&shard.service, shard.number);
            let advanced = acquirer.on_view(now, view);
            self.apply_claim_steps(now, number, advanced, steps);
        }
    }

    /// Passes an event to a claim, if it is still in progress, and applies the resulting steps.
    fn advance_claim(
        &mut self,
        now: Timestamp,
        number: u64,
        steps: &mut Vec<DestinationStep>,
        event: impl FnOnce(&mut ClaimAcquirer) -> AcquireSteps,
    ) {
        if let Some(acquirer) = self.claims.get_mut(&number) {
            let advanced = event(acquirer);
            self.apply_claim_steps(now, number, advanced, steps);
        }
    }

    fn apply_claim_steps(
        &mut self,
        now: Timestamp,
        number: u64,
        advanced: AcquireSteps,
        steps: &mut Vec<DestinationStep>,
    ) {
        let sends = advanced.messages.into_iter();
        steps.extend(sends.map(|send| DestinationStep::Claim {
            to: send.to,
            body: send.body,
        }));
        if let Some(acquirer) = self.claims.get(&number) {
            if acquirer.is_done() {
                self.claims.swap_remove(&number);
                self.pending_claims.remove(&number);
            } else if acquirer.is_holding() {
                self.pending_claims.remove(&number);
            } else {
                self.pending_claims.insert(number);
            }
        }
        if let Some(decision) = advanced.decision {
            self.apply_claim_decision(now, RunId(number >> 1), decision, steps);
        }
    }

    fn apply_claim_decision(
        &mut self,
        now: Timestamp,
        id: RunId,
        decision: AcquireDecision,
        steps: &mut Vec<DestinationStep>,
    ) {
        match decision {
            AcquireDecision::Run => self.send_to_upstream(now, id, steps),
            AcquireDecision::ClaimedElsewhere(owner) | AcquireDecision::Finished(owner) => {
                let (outcome, reason) = (CallOutcome::ClaimedElsewhere, CallReason::None);
                self.answer_without_running(now, id, outcome, reason, Some(owner), steps);
            }
            AcquireDecision::Fenced => {
                self.refuse_run(now, id, CallReason::KeyFenced, steps);
            }
            AcquireDecision::Refuse(RefusalReason::KeyReused) => {
                self.refuse_run(now, id, CallReason::KeyReused, steps);
            }
            AcquireDecision::Refuse(RefusalReason::ClaimCapacity) => {
                self.refuse_run(now, id, CallReason::ClaimCapacity, steps);
            }
            AcquireDecision::Refuse(RefusalReason::AttemptReleased | RefusalReason::NoHolders) => {
                self.refuse_run(now, id, CallReason::ClaimUnavailable, steps)
            }
            AcquireDecision::Unknown => {
                let (outcome, reason) = (CallOutcome::Unknown, CallReason::ClaimUnavailable);
                self.answer_without_running(now, id, outcome, reason, None, steps);
            }
        }
    }
}

/// Returns the request number of a run's claim. Claims have odd numbers; fences of the entry role
/// on the same node have even ones.
fn claim_number(id: RunId) -> u64 {
    (id.0 << 1) | 1
}
