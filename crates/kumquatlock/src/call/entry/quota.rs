//! Quotas of client accounts: each call of an account with a quota spends a token before its first
//! attempt. Further attempts of the call spend none.

use std::sync::Arc;

use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant};

use super::admit::refuse_unasked;
use super::origin::CallOrigin;
use super::state::{AdmittedCall, CallPhase, EntryCall};
use super::{CallId, EntryCalls, EntryStep, budget_of};
use crate::call::answer::CallerAnswer;
use crate::call::request::CallerRequest;
use crate::core::{ConfigSnapshot, Timestamp};
use crate::quota::{AccountId, QuotaDecision, QuotaLimits, QuotaSpender, QuotaToken, SpenderEvent};

/// How a call begins.
#[derive(Clone, Copy, Debug)]
pub(super) enum QuotaStart {
    /// Its first attempt is sent, with the token that it spent if its account has a quota.
    Send(Option<QuotaToken>),
    /// It waits for a token until this time at the latest.
    Wait(Timestamp),
}

impl EntryCalls {
    /// Returns the state of the quotas, for metrics.
    pub fn quota(&self) -> &QuotaSpender {
        &self.quota
    }

    /// Handles the attachment to a parent, or its loss.
    pub fn set_quota_parent(&mut self, is_attached: bool) {
        self.quota.set_attached(is_attached);
    }

    /// Returns the message for the parent that is due, if any.
    pub fn poll_quota(&mut self, now: Timestamp) -> Option<QuotaAsk> {
        self.quota.poll(now)
    }

    /// Handles the parent's answer.
    pub fn on_quota_grant(&mut self, now: Timestamp, grant: &QuotaGrant) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        for event in self.quota.on_grant(now, grant) {
            match event {
                SpenderEvent::Admit { waiter, token } => {
                    let id = CallId(waiter);
                    match self.is_waiting_for_quota(id) {
                        true => self.send_first(now, id, Some(token), &mut steps),
                        false => self.quota.refund(now, token),
                    }
                }
                SpenderEvent::OverQuota { waiter, .. } => {
                    let reason = CallReason::QuotaExceeded;
                    self.refuse_waiting(now, CallId(waiter), reason, &mut steps);
                }
                SpenderEvent::Unavailable { waiter } => {
                    let reason = CallReason::QuotaUnavailable;
                    self.refuse_waiting(now, CallId(waiter), reason, &mut steps);
                }
            }
        }
        steps
    }

    /// Returns when [`EntryCalls::poll_quota`] has something to send for waiting calls.
    pub(super) fn next_quota_ask(&self) -> Option<Timestamp> {
        self.quota.next_wakeup()
    }

    pub(super) fn set_quotas(&mut self, snapshot: &ConfigSnapshot) {
        let accounts = snapshot.client_accounts();
        let quotas = accounts.filter_map(|account| Some((account.name.clone(), account.quota?)));
        let limits = QuotaLimits::collect(&self.settings.quota, quotas);
        self.quota
            .set_limits(Arc::new(limits), snapshot.upstreams.len());
    }

    /// Spends a token on a request that is otherwise admitted.
    pub(super) fn spend_quota(
        &mut self,
        now: Timestamp,
        id: CallId,
        request: &CallerRequest,
        call: &AdmittedCall,
    ) -> Result<QuotaStart, CallerAnswer> {
        let Some(account) = &call.account else {
            return Ok(QuotaStart::Send(None));
        };
        let account = AccountId::of(&account.name);
        let reason = match self.quota.spend(now, account, id.0) {
            None => return Ok(QuotaStart::Send(None)),
            Some(QuotaDecision::Admit(token)) => return Ok(QuotaStart::Send(Some(token))),
            Some(QuotaDecision::Wait { until }) => {
                return Ok(QuotaStart::Wait(until));
            }
            Some(QuotaDecision::OverQuota { .. }) => CallReason::QuotaExceeded,
            Some(QuotaDecision::Unavailable { .. }) => CallReason::QuotaUnavailable,
        };
        Err(refuse_unasked(request, call.route.class, reason))
    }

    /// Sends the first attempt of a call.
    pub(super) fn send_first(
        &mut self,
        now: Timestamp,
        id: CallId,
        token: Option<QuotaToken>,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.quota_token = token;
        call.phase = CallPhase::Attempting;
        let budget = budget_of(&mut self.budgets, &self.settings, now, &call.service);
        match call.origin {
            CallOrigin::Client => budget.record_first_attempt(now),
            CallOrigin::Upstream => budget.charge_repeated_run(now, call.extra_share),
        }
        self.send_attempt(now, id, steps);
    }

    pub(super) fn wait_for_quota(&mut self, now: Timestamp, id: CallId, until: Timestamp) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = CallPhase::WaitingQuota(until.min(call.deadline));
            self.reschedule(now, id);
        }
    }

    fn is_waiting_for_quota(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| matches!(call.phase, CallPhase::WaitingQuota(_)))
    }

    /// Ends a call that got no token in time.
    pub(super) fn end_quota_wait(
        &mut self,
        now: Timestamp,
        id: CallId,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.reason = CallReason::QuotaUnavailable;
        if let Some(account) = &call.account {
            self.quota.expire(AccountId::of(&account.name), id.0);
        }
        self.give_up(now, id, steps);
    }

    fn refuse_waiting(
        &mut self,
        now: Timestamp,
        id: CallId,
        reason: CallReason,
        steps: &mut Vec<EntryStep>,
    ) {
        if !self.is_waiting_for_quota(id) {
            return;
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.reason = reason;
        }
        self.give_up(now, id, steps);
    }

    /// Gives back the token of a call that did not run, or ends its wait for one.
    pub(super) fn refund_quota(&mut self, now: Timestamp, id: CallId, call: &EntryCall) {
        if let Some(token) = call.quota_token {
            self.quota.refund(now, token);
        } else if let (CallPhase::WaitingQuota(_), Some(account)) = (&call.phase, &call.account) {
            self.quota.forget(AccountId::of(&account.name), id.0);
        }
    }
}
