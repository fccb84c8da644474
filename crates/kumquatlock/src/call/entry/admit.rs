//! Admission of requests: whether a request becomes a call, and of which client account.

use std::time::Duration;

use kumquatlock_wire::call::CallReason;

use super::state::AdmittedCall;
use super::{EntryCalls, MAX_CALLS};
use crate::account::{AccessDecision, LeaseState};
use crate::call::answer::{CallerAnswer, RejectReason};
use crate::call::request::{CallerRequest, scope_key};
use crate::core::{ConfigSnapshot, RequestClass, RouteEntry, Timestamp};

impl EntryCalls {
    /// Decides whether a request becomes a call.
    pub(super) fn admit(
        &self,
        now: Timestamp,
        request: &CallerRequest,
    ) -> Result<AdmittedCall, CallerAnswer> {
        let max_timeout = self.settings.longest_timeout;
        if request.timeout.is_some_and(|timeout| timeout > max_timeout) {
            return Err(CallerAnswer::Rejected(RejectReason::InvalidTimeout));
        }
        let Some(snapshot) = &self.snapshot else {
            return Err(refuse_without_config(
                request,
                CallReason::ConfigUnavailable,
            ));
        };
        let route = self.routes.find(&request.host, request.path());
        let route = route
            .ok_or(CallerAnswer::Rejected(RejectReason::NoRoute))?
            .clone();
        let refuse = |reason| refuse_unasked(request, route.class, reason);
        let access = self.resolve_access(now, snapshot, &route, request);
        let forwards_key = access == AccessDecision::Open;
        let account = match access {
            AccessDecision::Account(account) => Some(account),
            AccessDecision::Anonymous | AccessDecision::Open => None,
            AccessDecision::UnknownKey => {
                return Err(CallerAnswer::Rejected(RejectReason::UnknownKey));
            }
            AccessDecision::Unproved => return Err(refuse(CallReason::ConfigUnproved)),
        };
        if self.draining {
            return Err(refuse(CallReason::Draining));
        }
        let fingerprint = self.fingerprint(request);
        if self.is_quarantined(fingerprint) {
            return Err(refuse(CallReason::Quarantined));
        }
        let deferred = route.class == RequestClass::Deferred;
        if self.calls.len() >= MAX_CALLS
            || (deferred && self.deferred_calls >= self.settings.max_deferred_calls)
        {
            return Err(refuse(CallReason::Overloaded));
        }
        let deadline = now + request.timeout_for(&route, max_timeout);
        Ok(AdmittedCall {
            route,
            account,
            forwards_key,
            fingerprint,
            deadline,
        })
    }

    /// Records that the configuration of this node contains everything that was committed before
    /// `at`.
    pub fn confirm_config(&mut self, at: Timestamp) {
        self.accounts.lease.confirm(at);
    }

    /// Replaces the time within which an API key that was taken away must stop.
    pub fn set_revocation_limit(&mut self, limit: Option<Duration>) {
        self.accounts.lease.set_limit(limit);
    }

    /// Returns whether the configuration is recent enough to decide on API keys.
    pub fn lease_state(&self, now: Timestamp) -> LeaseState {
        self.accounts.lease.state(now)
    }

    fn resolve_access(
        &self,
        now: Timestamp,
        snapshot: &ConfigSnapshot,
        route: &RouteEntry,
        request: &CallerRequest,
    ) -> AccessDecision {
        let header = self.settings.api_key;
        let key = header.and_then(|header| request.api_key.digest(header));
        self.accounts.resolve(now, snapshot, route, key)
    }

    /// Removes the API key from a request that was admitted, unless the key is the upstream's concern.
    ///
    /// The idempotency key is extended with the account, so that no account gets the stored answer of
    /// another one that has used the same key.
    pub(super) fn bind_account(&self, request: &mut CallerRequest, call: &AdmittedCall) {
        if let Some(account) = &call.account {
            let key = request.key.take();
            request.key = key.map(|key| scope_key(&key, &account.name));
        }
        let fields = std::mem::take(&mut request.api_key).into_fields();
        if call.forwards_key {
            request.headers.extend(fields);
        }
    }
}

/// Returns the answer to a request that is refused before the claim holders of its key, if it has
/// one, were asked: an earlier request with the same key may have run.
pub(super) fn refuse_unasked(
    request: &CallerRequest,
    class: RequestClass,
    reason: CallReason,
) -> CallerAnswer {
    match request.key.is_some() && !class.is_repeatable() {
        true => CallerAnswer::Unknown(reason),
        false => CallerAnswer::NotRun(reason),
    }
}

/// Returns the answer to a request that arrives before any configuration. A request with a key is
/// answered "unknown", because an earlier request with the same key may have run. The request
/// class, which decides whether the key has an effect, is not known yet.
fn refuse_without_config(request: &CallerRequest, reason: CallReason) -> CallerAnswer {
    match request.key {
        Some(_) => CallerAnswer::Unknown(reason),
        None => CallerAnswer::NotRun(reason),
    }
}
