//! Sending of attempts and hedges, and handling of their answers and failures.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{CallCancel, CallOutcome, CallReason, CallResponse, LoadReport};

use super::message::{AttemptResult, build_request, classify_response};
use super::processes::DestinationProcess;
use super::state::{CallPhase, EntryCall, SentAttempt};
use super::{CallId, EntryCalls, EntryStep, budget_of, micros, ticket_of};
use crate::call::answer::{CallerAnswer, RejectReason};
use crate::core::{RequestClass, SharedName, Timestamp};
use crate::retry::{AttemptFailure, HedgeDecision, RetryDecision, reached_upstream};
use crate::routing::{
    ChosenUpstream, NoChoiceReason, UpstreamChoice, UpstreamOutcome, VersionGroup,
};

/// Interval at which a call without an upstream tries again to choose one.
const UPSTREAM_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a deferred call whose service is full tries again.
const FULL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl EntryCalls {
    /// Sends the next attempt of a call. If there is no usable upstream, the call waits for one for
    /// a limited time.
    pub(super) fn send_attempt(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let call = self.calls.get_mut(&id);
        if let Some(fingerprint) = call.map(|call| call.fingerprint)
            && self.is_quarantined(fingerprint)
        {
            return self.refuse_quarantined(now, id, steps);
        }
        match self.choose(now, id) {
            Some(UpstreamChoice::Chosen(chosen)) => self.send_to(now, id, chosen, steps),
            Some(UpstreamChoice::None(NoChoiceReason::AllFull)) => {
                self.refuse_overloaded(now, id, steps);
            }
            Some(UpstreamChoice::None(_)) | None => self.wait_for_upstream(now, id, steps),
        }
        self.reschedule(now, id);
    }

    fn choose(&mut self, now: Timestamp, id: CallId) -> Option<UpstreamChoice> {
        if let Some(chosen) = self.choose_canary(now, id) {
            return Some(UpstreamChoice::Chosen(chosen));
        }
        let call = self.calls.get_mut(&id)?;
        let snapshot = self.snapshot.as_ref()?;
        let balancer = self.balancers.get_or_create(snapshot, &call.service, now)?;
        let demand = call.demand(now);
        let choice = balancer.choose(now, &mut self.random, &call.tried, demand);
        if let Some(change) = balancer.take_share_change(now) {
            self.log.write_share_change(now, &call.service, change);
        }
        let is_exhausted =
            matches!(choice, UpstreamChoice::None(reason) if reason != NoChoiceReason::AllFull);
        if is_exhausted && !call.tried.is_empty() {
            // Every upstream has been tried; the earliest refusals may no longer apply.
            call.tried.clear();
            return Some(balancer.choose(now, &mut self.random, &[], demand));
        }
        Some(choice)
    }

    /// Ends a call whose service is known to be full, unless an earlier attempt is still open. A
    /// deferred call can wait and tries again later.
    fn refuse_overloaded(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if !call.outstanding.is_empty() {
            return;
        }
        call.reason = CallReason::Overloaded;
        match call.route.class {
            RequestClass::Deferred if !self.draining => {
                call.phase = CallPhase::Backoff(now + FULL_RETRY_INTERVAL)
            }
            _ => self.give_up(now, id, steps),
        }
    }

    pub(super) fn send_to(
        &mut self,
        now: Timestamp,
        id: CallId,
        chosen: ChosenUpstream,
        steps: &mut Vec<EntryStep>,
    ) {
        let to = self.peer(&chosen.entry);
        let version = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.version.0);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(balancer) = self.balancers.of_token(&call.service, chosen.token) else {
            return;
        };
        let is_canary = VersionGroup::of_token(chosen.token) == VersionGroup::Canary;
        self.canary_share.record_sent(&call.service, is_canary);
        self.counters.canary_attempts += u64::from(is_canary);
        let addressed = match call.claim_key() {
            Some(_) => DestinationProcess::of_config(&chosen.entry),
            None => self.stated_processes.current(&chosen.entry),
        };
        let ticket = balancer.start_attempt(now, &chosen);
        let extra_share = match call.possibly_arrived {
            0 => call.extra_share,
            _ => 1.0,
        };
        let number = call.next_number();
        call.attempts_sent += 1;
        call.possibly_arrived += 1;
        call.sent_at = now;
        call.phase = CallPhase::Attempting;
        call.tried.push(chosen.token);
        call.last_upstream = Some(chosen.entry.name.clone());
        call.load_age = chosen.load_age.unwrap_or_default();
        let mut request = build_request(call, &chosen, now, version);
        request.incarnation = addressed.incarnation.0;
        request.client_route = call.client_route;
        request.extra_permille = (extra_share * 1e3) as u32;
        request.process = addressed.process.unwrap_or_default().0;
        request.origin = self.settings.origin.to_string();
        let ends_at = self.ends_at.filter(|ends_at| *ends_at < call.deadline);
        request.answer_within_us = ends_at.map(|ends_at| micros(ends_at.since(now)));
        request.notice = self.notices.get(&chosen.entry.name).cloned();
        call.outstanding.push(SentAttempt {
            number,
            chosen,
            addressed,
            ticket,
        });
        request.id = self.attempt_id(id, number);
        self.counters.attempts += 1;
        let ticket = Some(ticket_of(id, number));
        steps.push(EntryStep::Send {
            to,
            body: Body::Call(request),
            ticket,
        });
    }

    fn wait_for_upstream(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if !call.outstanding.is_empty() {
            return;
        }
        let until = match call.phase {
            CallPhase::WaitingUpstream { until, .. } => until,
            _ => (now + self.settings.upstream_wait).min(call.deadline),
        };
        if now >= until {
            call.reason = CallReason::NoUpstream;
            self.give_up(now, id, steps);
            return;
        }
        call.phase = CallPhase::WaitingUpstream {
            until,
            retry_at: now + UPSTREAM_RETRY_INTERVAL,
        };
    }

    /// Handles a call whose timer is due.
    pub(super) fn on_timer(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match &call.phase {
            CallPhase::Fencing(_) => self.on_fence_tick(now, id, steps),
            _ if now >= call.deadline => self.expire(now, id, steps),
            CallPhase::WaitingQuota(until) if now >= *until => {
                self.end_quota_wait(now, id, steps);
            }
            CallPhase::WaitingQuota(_) => {}
            CallPhase::Attempting => self.try_hedge(now, id, steps),
            CallPhase::Backoff(at) if now >= *at => self.send_attempt(now, id, steps),
            CallPhase::WaitingUpstream { .. } => self.send_attempt(now, id, steps),
            CallPhase::Querying(_) => self.send_outcome_query(now, id, steps),
            CallPhase::Backoff(_) => {}
        }
    }

    fn expire(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match &call.phase {
            CallPhase::Attempting if !call.outstanding.is_empty() => {
                self.answer(now, id, CallerAnswer::Unknown(CallReason::Timeout), steps);
            }
            CallPhase::Querying(search) => {
                let answer = CallerAnswer::Unknown(search.reason);
                self.answer(now, id, answer, steps);
            }
            _ => {
                if matches!(call.phase, CallPhase::WaitingUpstream { .. }) {
                    call.reason = CallReason::NoUpstream;
                } else if call.reason == CallReason::None {
                    call.reason = CallReason::DeadlineTooShort;
                }
                self.give_up(now, id, steps);
            }
        }
    }

    fn try_hedge(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(policy) = self.hedge_policies.get(&call.service) else {
            return;
        };
        let progress = call.progress();
        let budget = budget_of(&mut self.budgets, &self.settings, now, &call.service);
        let decision = policy.decide(now, budget, &progress);
        if decision != HedgeDecision::Send || self.is_quarantined(call.fingerprint) {
            return;
        }
        if let Some(UpstreamChoice::Chosen(chosen)) = self.choose(now, id) {
            self.counters.hedges += 1;
            self.send_to(now, id, chosen, steps);
        }
    }

    /// Sends another attempt of a call whose only attempt waits for a silent node.
    pub(super) fn send_beside_silent(
        &mut self,
        now: Timestamp,
        id: CallId,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.outstanding.len() != 1 {
            return;
        }
        let Some(balancer) = self.balancers.get_mut(&call.service) else {
            return;
        };
        let UpstreamChoice::Chosen(chosen) =
            balancer.choose(now, &mut self.random, &call.tried, call.demand(now))
        else {
            return;
        };
        let progress = call.progress();
        let budget = budget_of(&mut self.budgets, &self.settings, now, &call.service);
        if self.policy.allows_duplicate(now, budget, &progress) {
            self.counters.retries += 1;
            self.send_to(now, id, chosen, steps);
            self.reschedule(now, id);
        }
    }

    /// Handles the answer to an attempt.
    pub(super) fn finish_attempt(
        &mut self,
        now: Timestamp,
        id: CallId,
        response: CallResponse,
        steps: &mut Vec<EntryStep>,
    ) {
        let call = self.calls.get_mut(&id);
        let matching = call.as_deref().and_then(|call| {
            call.outstanding
                .iter()
                .find(|sent| sent.number == response.id.attempt)
        });
        let expected = matching.map(|sent| sent.addressed.incarnation.0);
        let refused = response.reason == CallReason::WrongIncarnation as i32;
        // An answer must state the incarnation that the attempt was addressed to. The exception is
        // a refusal for a wrong incarnation, which comes from a later incarnation of the same
        // upstream.
        if expected.is_none_or(|expected| expected != response.incarnation && !refused) {
            self.counters.stray_answers += 1;
            return;
        }
        let sent = call.and_then(|call| call.take_attempt(response.id.attempt));
        let Some(sent) = sent else { return };
        if let Some(call) = self.calls.get_mut(&id) {
            call.observe_lost_call(&response);
        }
        let outcome = classify_response(&response);
        self.record_answer(now, id, &sent, outcome, &response);
        if self.adopt_process(&sent, &response) && !self.has_claim_key(id) {
            return self.readdress(now, id, sent, steps);
        }
        self.record_notice(&sent.chosen.entry.name, &response);
        self.record_outcome(now, id, sent, &outcome, response.load);
        match outcome {
            AttemptResult::Answer => {
                self.answer(now, id, CallerAnswer::from_response(response), steps);
            }
            AttemptResult::ServerError => {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.failed_answer = Some(CallerAnswer::from_response(response));
                }
                self.handle_failure(now, id, AttemptFailure::Failed, steps);
            }
            AttemptResult::NotRun(CallReason::KeyReused) => {
                let answer = CallerAnswer::Rejected(RejectReason::KeyReused);
                self.answer(now, id, answer, steps);
            }
            AttemptResult::NotRun(CallReason::KeyFenced) => {
                // Possibly only one holder reported the fence; a "not run" answer needs a majority.
                if let Some(call) = self.calls.get_mut(&id) {
                    call.reason = CallReason::KeyFenced;
                }
                self.answer_not_run(now, id, steps);
            }
            AttemptResult::NotRun(reason) => {
                self.record_refused(id, response.id.attempt);
                self.handle_failure(now, id, AttemptFailure::NotRun(reason), steps);
            }
            AttemptResult::Unknown(reason) => {
                self.handle_failure(now, id, AttemptFailure::Unknown(reason), steps);
            }
            AttemptResult::AnswerGone => {
                self.answer(now, id, CallerAnswer::AnswerGone, steps);
            }
            AttemptResult::ClaimedElsewhere => match response.owner {
                Some(owner) => {
                    // The destination did not run an attempt whose claim another one holds.
                    self.record_refused(id, response.id.attempt);
                    if let Some(call) = self.calls.get_mut(&id) {
                        call.possibly_arrived = call.possibly_arrived.saturating_sub(1);
                    }
                    self.search_claim_owner(now, id, owner, steps);
                }
                None => {
                    let failure = AttemptFailure::Unknown(CallReason::ClaimUnavailable);
                    self.handle_failure(now, id, failure, steps);
                }
            },
        }
    }

    /// Keeps what an upstream states about itself, to repeat it with further calls. It ends with an
    /// answer that states nothing; a refusal may come from a node that has heard nothing yet.
    fn record_notice(&mut self, upstream: &SharedName, response: &CallResponse) {
        match &response.notice {
            Some(notice) => {
                self.notices.insert(upstream.clone(), notice.clone());
            }
            None if response.outcome == CallOutcome::Answered as i32 => {
                self.notices.swap_remove(upstream);
            }
            None => {}
        }
    }

    /// Records that an attempt is proved not to have run.
    pub(super) fn record_refused(&mut self, id: CallId, number: u32) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.refused_attempts.push(number);
        }
    }

    fn record_outcome(
        &mut self,
        now: Timestamp,
        id: CallId,
        sent: SentAttempt,
        result: &AttemptResult,
        load: Option<LoadReport>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let service = call.service.clone();
        let outcome = match result {
            AttemptResult::Answer | AttemptResult::AnswerGone | AttemptResult::ClaimedElsewhere => {
                UpstreamOutcome::Answered
            }
            AttemptResult::ServerError => UpstreamOutcome::Failed,
            AttemptResult::NotRun(reason) => UpstreamOutcome::Refused(*reason),
            AttemptResult::Unknown(_) => UpstreamOutcome::Failed,
        };
        if matches!(result, AttemptResult::Answer) && call.route.class == RequestClass::Lookup {
            let latency = now.since(call.sent_at);
            self.hedge_policies
                .entry(service.clone())
                .or_default()
                .observe(latency);
        }
        self.finish_ticket(now, &service, sent, outcome, load);
    }

    pub(super) fn finish_ticket(
        &mut self,
        now: Timestamp,
        service: &str,
        sent: SentAttempt,
        outcome: UpstreamOutcome,
        load: Option<LoadReport>,
    ) {
        if let Some(balancer) = self.balancers.of_token(service, sent.chosen.token) {
            balancer.finish_attempt(now, sent.ticket, outcome, load);
        }
    }

    pub(super) fn fail_unsent(
        &mut self,
        now: Timestamp,
        id: CallId,
        number: u32,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let service = call.service.clone();
        let Some(sent) = call.take_attempt(number) else {
            return;
        };
        self.record_unsent(now, id, &sent);
        self.finish_ticket(now, &service, sent, UpstreamOutcome::Unreachable, None);
        self.record_refused(id, number);
        self.handle_failure(now, id, AttemptFailure::NotRun(CallReason::LinkLost), steps);
    }

    /// Handles, for one call, a peer whose link was lost.
    pub(super) fn on_peer_lost(
        &mut self,
        now: Timestamp,
        id: CallId,
        peer: &str,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let CallPhase::Querying(search) = &call.phase
            && *search.destination == *peer
        {
            self.retry_query(now, id);
            return;
        }
        let service = call.service.clone();
        let lost = call
            .outstanding
            .iter()
            .position(|sent| *sent.chosen.entry.name == *peer);
        let Some(sent) = lost.map(|index| call.outstanding.swap_remove(index)) else {
            return;
        };
        let repeatable = call.route.class.is_repeatable();
        let (number, addressed) = (sent.number, sent.addressed);
        self.finish_ticket(now, &service, sent, UpstreamOutcome::Lost, None);
        if repeatable {
            self.record_lost(now, id, number, peer, addressed);
            self.handle_failure(
                now,
                id,
                AttemptFailure::Unknown(CallReason::LinkLost),
                steps,
            );
        } else {
            self.search_own_attempt(now, id, number, peer, addressed, steps);
        }
    }

    /// Decides what to do after a failed attempt: retry, wait, or answer the caller.
    pub(super) fn handle_failure(
        &mut self,
        now: Timestamp,
        id: CallId,
        failure: AttemptFailure,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let AttemptFailure::NotRun(reason) | AttemptFailure::Unknown(reason) = failure {
            call.reason = reason;
        }
        call.may_have_run |= matches!(failure, AttemptFailure::Unknown(_));
        if matches!(failure, AttemptFailure::NotRun(reason) if !reached_upstream(reason)) {
            call.possibly_arrived = call.possibly_arrived.saturating_sub(1);
        }
        if !call.outstanding.is_empty() {
            // The call was hedged, and its other attempt may still answer.
            return;
        }
        let hedge = self.hedge_policies.get(&call.service);
        let expected = hedge.map_or(Duration::ZERO, |policy| policy.expected_latency());
        let mut progress = call.progress();
        if let Some(ends_at) = self.ends_at {
            progress.deadline = progress.deadline.min(ends_at);
        }
        let budget = budget_of(&mut self.budgets, &self.settings, now, &call.service);
        let decision =
            self.policy
                .after_failure(now, &mut self.random, budget, &progress, failure, expected);
        match decision {
            // A stopping node waits for no deferred call; its caller can use another node.
            RetryDecision::Retry { .. } | RetryDecision::Postpone { .. }
                if self.draining && call.is_deferred() =>
            {
                self.answer_failure(now, id, failure, steps);
                return;
            }
            RetryDecision::Retry { after } => {
                self.counters.retries += 1;
                call.phase = CallPhase::Backoff(now + after);
                if after.is_zero() {
                    self.send_attempt(now, id, steps);
                    return;
                }
            }
            RetryDecision::Postpone { after } => call.phase = CallPhase::Backoff(now + after),
            RetryDecision::GiveUp(_) => {
                self.answer_failure(now, id, failure, steps);
                return;
            }
        }
        self.reschedule(now, id);
    }

    fn answer_failure(
        &mut self,
        now: Timestamp,
        id: CallId,
        failure: AttemptFailure,
        steps: &mut Vec<EntryStep>,
    ) {
        match failure {
            AttemptFailure::Unknown(reason) => {
                self.answer(now, id, CallerAnswer::Unknown(reason), steps);
            }
            AttemptFailure::NotRun(_) | AttemptFailure::Failed => self.give_up(now, id, steps),
        }
    }

    /// Answers with the best available result: an upstream's failed answer, or else "not run".
    pub(super) fn give_up(&mut self, now: Timestamp, id: CallId, steps: &mut Vec<EntryStep>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match call.failed_answer.take() {
            Some(answer) => self.answer(now, id, answer, steps),
            None => self.answer_not_run(now, id, steps),
        }
    }

    /// Tells the destination nodes to cancel the outstanding attempts of a call.
    pub(super) fn cancel_attempts(
        &mut self,
        now: Timestamp,
        id: CallId,
        call: &mut EntryCall,
        steps: &mut Vec<EntryStep>,
    ) {
        for sent in std::mem::take(&mut call.outstanding) {
            self.record_cancelled(now, id, call, &sent);
            let cancel = CallCancel {
                id: self.attempt_id(id, sent.number),
                answer_within_us: None,
            };
            let to = self.peer(&sent.chosen.entry);
            steps.push(EntryStep::Send {
                to,
                body: Body::Cancel(cancel),
                ticket: None,
            });
            // At the deadline the upstream was too slow. Before it, another attempt was faster or
            // the caller has disconnected.
            let outcome = match now >= call.deadline {
                true => UpstreamOutcome::Lost,
                false => UpstreamOutcome::Cancelled,
            };
            self.finish_ticket(now, &call.service, sent, outcome, None);
        }
    }
}
