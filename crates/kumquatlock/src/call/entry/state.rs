//! State of one call at its entry.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::claim::ClaimOwner;

use crate::call::answer::CallerAnswer;
use crate::call::request::CallerRequest;
use crate::claim::ClaimFencer;
use crate::core::{RequestClass, RouteEntry, SharedName, Timestamp};
use crate::retry::{CallProgress, HedgePolicy};
use crate::routing::{AttemptTicket, ChosenUpstream, UpstreamToken};
use crate::util::trace::HopSpan;

/// Interval at which unanswered fences are checked.
const FENCE_INTERVAL: Duration = Duration::from_millis(50);

pub(super) struct EntryCall {
    pub(super) request: CallerRequest,
    pub(super) span: Option<HopSpan>,
    pub(super) route: Arc<RouteEntry>,
    /// Service that runs the call: that of the route, or one part of its split.
    pub(super) service: SharedName,
    pub(super) opened_at: Timestamp,
    pub(super) deadline: Timestamp,
    /// Attempts that were sent and not answered. Empty unless the phase is `Attempting`.
    pub(super) outstanding: Vec<SentAttempt>,
    /// Attempts and queries made so far; numbers the next.
    pub(super) numbers: u32,
    /// Attempts made so far.
    pub(super) made: u32,
    /// Attempts of which it is not proved that they never reached an upstream.
    pub(super) arrived: u32,
    pub(super) tried: Vec<UpstreamToken>,
    pub(super) phase: CallPhase,
    /// Upstream of the latest attempt.
    pub(super) last_upstream: Option<SharedName>,
    /// Age of the load report by which it was chosen; zero if there was none.
    pub(super) load_age: Duration,
    /// Whole answer of a failed attempt, passed on if no attempt does better.
    pub(super) failed_answer: Option<CallerAnswer>,
    /// Why the latest attempt did not run.
    pub(super) reason: CallReason,
    /// Whether an attempt has ended without an answer or a proof that it did not run. What becomes of
    /// later attempts then proves nothing.
    pub(super) may_have_run: bool,
    /// When the latest attempt was sent.
    pub(super) sent_at: Timestamp,
    /// The call is in the timer set at this time.
    pub(super) wake_at: Timestamp,
}

pub(super) struct SentAttempt {
    pub(super) number: u32,
    pub(super) chosen: ChosenUpstream,
    pub(super) ticket: AttemptTicket,
}

pub(super) enum CallPhase {
    /// Attempts are outstanding.
    Attempting,
    /// The next attempt goes out at this time.
    Backoff(Timestamp),
    /// No upstream can take the call now; a newer configuration may name one.
    WaitingUpstream {
        until: Timestamp,
        retry_at: Timestamp,
    },
    /// The outcome of an attempt is asked of its destination.
    Querying(OutcomeSearch),
    /// The key is being fenced before a "not run" answer.
    Fencing(Box<ClaimFencer>),
}

/// A search for the outcome of an attempt of this or of another call.
pub(super) struct OutcomeSearch {
    /// The attempt and its destination.
    pub(super) owner: ClaimOwner,
    pub(super) destination: SharedName,
    /// Number of the query that is outstanding.
    pub(super) number: u32,
    /// The search ends then without an answer.
    pub(super) until: Timestamp,
    /// When to ask again; none while a query is outstanding.
    pub(super) retry_at: Option<Timestamp>,
    /// Answered if the search fails.
    pub(super) reason: CallReason,
}

impl EntryCall {
    pub(super) fn new(
        request: CallerRequest,
        span: Option<HopSpan>,
        route: Arc<RouteEntry>,
        service: SharedName,
        now: Timestamp,
        deadline: Timestamp,
    ) -> Self {
        EntryCall {
            request,
            span,
            route,
            service,
            opened_at: now,
            deadline,
            outstanding: Vec::new(),
            numbers: 0,
            made: 0,
            arrived: 0,
            tried: Vec::new(),
            phase: CallPhase::Attempting,
            last_upstream: None,
            load_age: Duration::ZERO,
            failed_answer: None,
            reason: CallReason::None,
            may_have_run: false,
            sent_at: now,
            wake_at: deadline,
        }
    }

    pub(super) fn is_deferred(&self) -> bool {
        self.route.class == RequestClass::Deferred
    }

    /// Whether the call waits without an attempt of which the outcome is open.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(
            self.phase,
            CallPhase::Backoff(_) | CallPhase::WaitingUpstream { .. }
        )
    }

    /// Whether claims protect the request.
    pub(super) fn claim_key(&self) -> Option<&str> {
        let repeatable = self.route.class.is_repeatable();
        self.request.key.as_deref().filter(|_| !repeatable)
    }

    pub(super) fn progress(&self) -> CallProgress {
        CallProgress {
            class: self.route.class,
            depth: self.request.depth,
            attempts: self.made,
            arrived: self.arrived,
            max_arrivals: self.route.max_attempts,
            deadline: self.deadline,
        }
    }

    pub(super) fn next_number(&mut self) -> u32 {
        self.numbers += 1;
        self.numbers
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
            CallPhase::Attempting if self.made == 1 => hedge
                .and_then(|policy| policy.delay(&self.progress()))
                .map(|delay| self.sent_at + delay)
                .filter(|at| *at > now),
            CallPhase::Attempting => None,
            CallPhase::Backoff(at) => Some(*at),
            CallPhase::WaitingUpstream { until, retry_at } => Some(*retry_at.min(until)),
            CallPhase::Querying(search) => {
                let retry_at = search.retry_at.unwrap_or(search.until);
                Some(retry_at.min(search.until))
            }
            CallPhase::Fencing(_) => return now + FENCE_INTERVAL,
        };
        due.map_or(self.deadline, |at| at.min(self.deadline))
    }
}
