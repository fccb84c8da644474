//! State of one call at its entry node.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::claim::ClaimOwner;

use super::origin::CallOrigin;
use super::processes::DestinationProcess;
use crate::call::answer::CallerAnswer;
use crate::call::request::CallerRequest;
use crate::claim::ClaimFencer;
use crate::core::{
    ClientAccount, IncarnationId, ProcessId, RequestClass, RequestFingerprint, RouteEntry,
    SharedName, Timestamp,
};
use crate::quota::QuotaToken;
use crate::retry::{CallProgress, HedgePolicy};
use crate::routing::{AttemptTicket, CallDemand, ChosenUpstream, UpstreamToken};
use crate::util::trace::HopSpan;

/// Interval at which unanswered fence requests are checked.
const FENCE_INTERVAL: Duration = Duration::from_millis(50);

/// What the admission of a request decided about its call.
pub(super) struct AdmittedCall {
    pub(super) route: Arc<RouteEntry>,
    /// Account that sent the request; `None` if it belongs to none.
    pub(super) account: Option<Arc<ClientAccount>>,
    /// Whether the upstream gets the header in which callers present API keys.
    pub(super) forwards_key: bool,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) deadline: Timestamp,
}

impl AdmittedCall {
    /// Returns the rank of the call: that of the account, or else that of the route.
    fn rank(&self) -> u32 {
        let rank = self.account.as_ref().and_then(|account| account.rank);
        rank.unwrap_or(self.route.rank)
    }
}

pub(super) struct EntryCall {
    pub(super) request: CallerRequest,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) span: Option<HopSpan>,
    pub(super) route: Arc<RouteEntry>,
    /// Account that sent the request; `None` if it belongs to none.
    pub(super) account: Option<Arc<ClientAccount>>,
    /// Calls with a lower rank are served first.
    pub(super) rank: u32,
    /// Service that runs the call: the route's service, or the chosen part of a split route.
    pub(super) service: SharedName,
    pub(super) opened_at: Timestamp,
    pub(super) deadline: Timestamp,
    /// Attempts that were sent and have not been answered. Empty unless the phase is `Attempting`.
    pub(super) outstanding: Vec<SentAttempt>,
    /// Number of the latest attempt or query; both are numbered in one sequence.
    pub(super) last_number: u32,
    /// Number of attempts sent.
    pub(super) attempts_sent: u32,
    /// Number of attempts that may have reached an upstream: all attempts sent, except those that
    /// are known not to have reached one.
    pub(super) possibly_arrived: u32,
    /// Who made the call.
    pub(super) origin: CallOrigin,
    /// Probability that the call belongs to a run that was an extra arrival.
    pub(super) extra_share: f64,
    /// Mark of the route if clients are known to use it and nodes tell each other; zero otherwise.
    pub(super) client_route: u32,
    pub(super) tried: Vec<UpstreamToken>,
    pub(super) phase: CallPhase,
    /// Upstream of the latest attempt.
    pub(super) last_upstream: Option<SharedName>,
    /// Age of the load report by which that upstream was chosen; zero if there was none.
    pub(super) load_age: Duration,
    /// Complete answer of a failed attempt, returned to the caller if no other attempt succeeds.
    pub(super) failed_answer: Option<CallerAnswer>,
    /// Why the latest attempt failed, or why the call has to end without another attempt. Given to
    /// the caller if the call ends without an answer.
    pub(super) reason: CallReason,
    /// Whether any attempt has ended with neither an answer nor a proof that it did not run. If so,
    /// the results of later attempts can't prove that the request did not run.
    pub(super) may_have_run: bool,
    /// Numbers of the attempts that are proved not to have run and never will. A claim of one of
    /// them is about to be released.
    pub(super) refused_attempts: Vec<u32>,
    /// Token that the client account spent on this call. Given back if the call does not run.
    pub(super) quota_token: Option<QuotaToken>,
    /// Whether a run of the call lost a call of its own for lack of room.
    pub(super) lost_call_below: bool,
    /// When the latest attempt was sent.
    pub(super) sent_at: Timestamp,
    /// Time of the call's entry in the timer set.
    pub(super) wake_at: Timestamp,
}

pub(super) struct SentAttempt {
    pub(super) number: u32,
    pub(super) chosen: ChosenUpstream,
    /// What the attempt names; the incarnation is that of `chosen` or a later one.
    pub(super) addressed: DestinationProcess,
    pub(super) ticket: AttemptTicket,
}

pub(super) enum CallPhase {
    /// The client account has no token; the first attempt follows when one arrives before this
    /// time.
    WaitingQuota(Timestamp),
    /// Attempts are outstanding.
    Attempting,
    /// The next attempt is sent at this time.
    Backoff(Timestamp),
    /// No upstream can take the call now; a newer configuration may contain one.
    WaitingUpstream {
        until: Timestamp,
        retry_at: Timestamp,
    },
    /// The destination node of an attempt is being asked for its outcome.
    Querying(OutcomeSearch),
    /// The key is being fenced, so that no request with it ever runs; a "not run" answer follows.
    Fencing(Box<ClaimFencer>),
}

/// Search for the outcome of an attempt, either of this call or of another call with the same key.
pub(super) struct OutcomeSearch {
    /// The attempt and its destination node.
    pub(super) owner: ClaimOwner,
    pub(super) destination: SharedName,
    /// Number of the latest query.
    pub(super) query_number: u32,
    /// Process that the attempt named, if any.
    pub(super) process: Option<ProcessId>,
    /// When the search ends without a result.
    pub(super) expires_at: Timestamp,
    /// When to send the next query; `None` while a query is outstanding.
    pub(super) retry_at: Option<Timestamp>,
    /// Reason given to the caller if the search fails.
    pub(super) reason: CallReason,
}

impl OutcomeSearch {
    /// Returns what the attempt named of its destination node.
    pub(super) fn addressed(&self) -> DestinationProcess {
        DestinationProcess {
            incarnation: IncarnationId(self.owner.destination_incarnation),
            process: self.process,
        }
    }
}

impl EntryCall {
    pub(super) fn new(
        request: CallerRequest,
        admitted: AdmittedCall,
        span: Option<HopSpan>,
        service: SharedName,
        now: Timestamp,
    ) -> Self {
        EntryCall {
            request,
            fingerprint: admitted.fingerprint,
            span,
            rank: admitted.rank(),
            route: admitted.route,
            account: admitted.account,
            service,
            opened_at: now,
            deadline: admitted.deadline,
            outstanding: Vec::new(),
            last_number: 0,
            attempts_sent: 0,
            possibly_arrived: 0,
            origin: CallOrigin::Client,
            extra_share: 0.0,
            client_route: 0,
            tried: Vec::new(),
            phase: CallPhase::Attempting,
            last_upstream: None,
            load_age: Duration::ZERO,
            failed_answer: None,
            reason: CallReason::None,
            may_have_run: false,
            refused_attempts: Vec::new(),
            quota_token: None,
            lost_call_below: false,
            sent_at: now,
            wake_at: admitted.deadline,
        }
    }

    /// Returns the rank by which destination nodes order the call. That of a nested call is the rank
    /// of the run that waits for it.
    pub(super) fn rank(&self) -> u32 {
        let parent = self.request.parent.as_ref();
        parent.map_or(self.rank, |parent| parent.rank)
    }

    /// Returns the rank by which upstreams are chosen: an upstream that was full for a call of
    /// another rank may have room for this one. Nested calls come before all calls of callers.
    pub(super) fn routing_rank(&self) -> u32 {
        match self.request.is_nested {
            true => 0,
            false => self.rank.saturating_add(1),
        }
    }

    /// Returns the name of the account; empty if the call belongs to none.
    pub(super) fn account_name(&self) -> &str {
        let account = self.account.as_ref();
        account.map_or("", |account| &account.name)
    }

    pub(super) fn is_deferred(&self) -> bool {
        self.route.class == RequestClass::Deferred
    }

    /// Whether the call is only waiting and has no attempt with an open outcome.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(
            self.phase,
            CallPhase::WaitingQuota(_) | CallPhase::Backoff(_) | CallPhase::WaitingUpstream { .. }
        )
    }

    /// Returns the key if the request is protected by claims.
    pub(super) fn claim_key(&self) -> Option<&str> {
        let repeatable = self.route.class.is_repeatable();
        self.request.key.as_deref().filter(|_| !repeatable)
    }

    pub(super) fn progress(&self) -> CallProgress {
        CallProgress {
            class: self.route.class,
            rank: self.route.rank,
            depth: self.request.depth,
            attempts: self.attempts_sent,
            arrived: self.possibly_arrived,
            max_arrivals: self.route.max_attempts,
            deadline: self.deadline,
        }
    }

    /// Returns what the next attempt needs of an upstream.
    pub(super) fn demand(&self, now: Timestamp) -> CallDemand {
        let target = self.route.latency_target;
        CallDemand {
            rank: self.routing_rank(),
            request_bytes: u32::try_from(self.request.body.len()).unwrap_or(u32::MAX),
            target_left: target.map(|target| (self.opened_at + target).since(now)),
        }
    }

    pub(super) fn next_number(&mut self) -> u32 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn take_attempt(&mut self, number: u32) -> Option<SentAttempt> {
        let index = self
            .outstanding
            .iter()
            .position(|sent| sent.number == number)?;
        Some(self.outstanding.swap_remove(index))
    }

    pub(super) fn awaits(&self, peer: &str) -> bool {
        let sent = self
            .outstanding
            .iter()
            .any(|sent| *sent.chosen.entry.name == *peer);
        let asked = match &self.phase {
            CallPhase::Querying(search) => {
                search.retry_at.is_none() && *search.destination == *peer
            }
            _ => false,
        };
        sent || asked
    }

    pub(super) fn next_wakeup(&self, now: Timestamp, hedge: Option<&HedgePolicy>) -> Timestamp {
        let due = match &self.phase {
            CallPhase::Attempting if self.attempts_sent == 1 => hedge
                .and_then(|policy| policy.delay(&self.progress()))
                .map(|delay| self.sent_at + delay)
                .filter(|at| *at > now),
            CallPhase::Attempting => None,
            CallPhase::Backoff(at) | CallPhase::WaitingQuota(at) => Some(*at),
            CallPhase::WaitingUpstream { until, retry_at } => Some(*retry_at.min(until)),
            CallPhase::Querying(search) => {
                let retry_at = search.retry_at.unwrap_or(search.expires_at);
                Some(retry_at.min(search.expires_at))
            }
            CallPhase::Fencing(_) => return now + FENCE_INTERVAL,
        };
        due.map_or(self.deadline, |at| at.min(self.deadline))
    }
}
