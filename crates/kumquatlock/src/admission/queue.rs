//! Admission of calls at the destination.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::call::{CallReason, LoadReport};

use super::estimate::ServiceEstimate;
use super::lanes::{QueueKey, RoutePriority, WorkLane, WorkLanes};
use super::limit::{AdmissionLimits, ConcurrencyLimit};
use crate::core::{RequestClass, Timestamp};

/// Queue length in units of the slots. Longer queues only add waiting time: at 2 × slots a call
/// waits about two service times.
const QUEUE_PER_SLOT: u32 = 2;

/// One in this many queue places is kept for deferred work. Without it, work that was refused
/// until its deadline nears would meet a queue that is full of waiting callers.
const DEFERRED_SEAT_DIVISOR: usize = 8;

/// Usual service times without any answer after which an upstream that runs several calls counts as
/// stalled. An upstream that is only slow answers some of its calls in that time.
const STALL_SERVICES: u32 = 4;
/// The same at least.
const STALL_LEAST: Duration = Duration::from_millis(300);
/// Calls that have to run for it; a single long one is no sign.
const STALL_CALLS: usize = 3;

/// Identifies admitted work. Never reused within a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdmissionTicket(pub(super) u64);

/// Answer to [`AdmissionQueue::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run the call on the upstream now.
    Start(AdmissionTicket),
    /// The call waits; a later [`QueueStep`] names its ticket.
    Queued {
        /// The call that waits.
        ticket: AdmissionTicket,
        /// Work that gave up its place. It did not run; answer it with `Overloaded`.
        evicted: Option<AdmissionTicket>,
    },
    /// The call did not run and never will.
    Refused(CallReason),
}

/// What to do next with queued work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "a step that is not carried out loses the call that it names"]
pub enum QueueStep {
    /// Run this call on the upstream now.
    Start(AdmissionTicket),
    /// Answer this call as not run.
    Refuse(AdmissionTicket, CallReason),
    /// Nothing until the next event or [`AdmissionQueue::next_wakeup`].
    Idle,
}

/// What became of a call that ran on the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// The upstream answered.
    Answered,
    /// The upstream answered 503: it runs more calls than it can carry.
    Shed,
    /// The upstream failed, timed out, or the call was cancelled while it ran.
    Ended,
}

/// Answer to [`AdmissionQueue::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The call waited and was removed; it did not run and never will.
    Dequeued,
    /// The call runs. Cancel it at the upstream; its slot is free after
    /// [`AdmissionQueue::finished`].
    Running,
    /// The call has ended or was never admitted.
    NotFound,
}

/// Whether a call may join the queue.
enum QueueSeat {
    Free,
    Evict(AdmissionTicket),
    None,
}

/// Bounds the calls that run on one upstream and orders those that wait.
///
/// Internal checks run first, then at-most-once calls and lookups, then deferred work; within
/// these, the lower rank, then calls that can still meet their target, then the earliest target or
/// deadline. Against starvation, one in eight starts goes to deferred work
/// whose deadline is near, or else to a waiting caller, and one in eight queue places is kept for
/// deferred work, the earliest deadlines first.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    /// At most [`QUEUE_PER_SLOT`] × slots.
    lanes: WorkLanes,
    queue_bound: usize,
    /// Queue places that only deferred work may take; at least 1.
    deferred_seats: usize,
    /// Start of each running call.
    running: IndexMap<AdmissionTicket, Timestamp>,
    limit: ConcurrencyLimit,
    estimate: ServiceEstimate,
    draining: bool,
    /// When the upstream last answered.
    answered_at: Timestamp,
    stall_detection_enabled: bool,
    /// Time that the refusal of queued work needs to reach its caller.
    refusal_lead_time: Duration,
    next_ticket: u64,
}

impl AdmissionQueue {
    /// Makes the queue of an upstream that starts now.
    pub fn new(limits: AdmissionLimits, now: Timestamp) -> Self {
        let queue_bound = (limits.slots.max(1) * QUEUE_PER_SLOT) as usize;
        AdmissionQueue {
            lanes: WorkLanes::default(),
            queue_bound,
            deferred_seats: (queue_bound / DEFERRED_SEAT_DIVISOR).max(1),
            running: IndexMap::new(),
            limit: ConcurrencyLimit::new(limits, now),
            estimate: ServiceEstimate::default(),
            draining: false,
            answered_at: now,
            stall_detection_enabled: false,
            refusal_lead_time: Duration::ZERO,
            next_ticket: 0,
        }
    }

    /// Changes what the upstream takes. Queued and running calls go on.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.queue_bound = (limits.slots.max(1) * QUEUE_PER_SLOT) as usize;
        self.deferred_seats = (self.queue_bound / DEFERRED_SEAT_DIVISOR).max(1);
        self.limit.set_limits(limits);
    }

    /// Accepts calls again after a drain, for an upstream that starts now. Tickets stay unique
    /// and queued and running calls go on.
    pub fn reopen(&mut self, limits: AdmissionLimits, now: Timestamp) {
        self.set_limits(limits);
        self.limit = ConcurrencyLimit::new(limits, now);
        self.estimate = ServiceEstimate::default();
        self.draining = false;
    }

    /// Decides on a new call that has to be answered by `deadline`.
    pub fn offer(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        deadline: Timestamp,
    ) -> AdmissionDecision {
        self.offer_with_priority(now, class, RoutePriority::default(), deadline)
    }

    /// The same for a call of a route with a rank and a target.
    pub fn offer_with_priority(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        rank: RoutePriority,
        deadline: Timestamp,
    ) -> AdmissionDecision {
        if self.draining {
            return AdmissionDecision::Refused(CallReason::Draining);
        }
        if deadline <= self.least_deadline(now) {
            return AdmissionDecision::Refused(CallReason::DeadlineTooShort);
        }
        if self.is_stalled(now) {
            return AdmissionDecision::Refused(CallReason::UpstreamUnreachable);
        }
        let limit = self.limit.current();
        let ticket = AdmissionTicket(self.next_ticket + 1);
        if self.running.len() < limit as usize && self.lanes.len() == 0 {
            self.next_ticket += 1;
            self.running.insert(ticket, now);
            return AdmissionDecision::Start(ticket);
        }
        let key = QueueKey::new(class, rank, deadline, ticket, now + self.estimate.service());
        let wait = self.estimate.wait(self.lanes.ahead_of(&key), limit);
        if now + wait + self.estimate.service() > deadline {
            return AdmissionDecision::Refused(CallReason::Overloaded);
        }
        let evicted = match self.find_seat(&key) {
            QueueSeat::Free => None,
            QueueSeat::Evict(ticket) => self.lanes.remove(ticket).map(|key| key.ticket),
            QueueSeat::None => return AdmissionDecision::Refused(CallReason::Overloaded),
        };
        self.next_ticket += 1;
        self.lanes.insert(key);
        AdmissionDecision::Queued { ticket, evicted }
    }

    /// Finds a place in the queue. Deferred work gives up its place to any other class down to
    /// its reserved places, and to deferred work with an earlier deadline; waiting callers give
    /// up theirs to internal checks.
    fn find_seat(&self, key: &QueueKey) -> QueueSeat {
        let deferred = key.lane == WorkLane::Deferred;
        let prompt_full = self.lanes.prompt_len() >= self.queue_bound - self.deferred_seats;
        let victim = if !deferred && prompt_full {
            self.lanes
                .last_prompt()
                .filter(|last| last.precedence() > key.precedence())
        } else if self.lanes.len() < self.queue_bound {
            return QueueSeat::Free;
        } else {
            self.lanes.last_deferred().filter(|last| last > key)
        };
        victim.map_or(QueueSeat::None, |victim| QueueSeat::Evict(victim.ticket))
    }

    /// Frees the slot of a running call and returns the first step that follows; call
    /// [`AdmissionQueue::poll`] for the others.
    pub fn finished(
        &mut self,
        now: Timestamp,
        ticket: AdmissionTicket,
        outcome: ServiceOutcome,
    ) -> QueueStep {
        let running = self.running.len() as u32;
        if let Some(started) = self.running.swap_remove(&ticket) {
            if outcome != ServiceOutcome::Ended {
                self.answered_at = now;
            }
            match outcome {
                ServiceOutcome::Answered => self.estimate.observe(now.since(started)),
                ServiceOutcome::Shed => self.limit.record_shed(now, running),
                ServiceOutcome::Ended => {}
            }
        }
        self.poll(now)
    }

    /// Withdraws a call that nobody waits for any more.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> CancelOutcome {
        if self.lanes.remove(ticket).is_some() {
            CancelOutcome::Dequeued
        } else if self.running.contains_key(&ticket) {
            CancelOutcome::Running
        } else {
            CancelOutcome::NotFound
        }
    }

    /// The next thing to do. Call until it returns [`QueueStep::Idle`].
    pub fn poll(&mut self, now: Timestamp) -> QueueStep {
        if let Some(expired) = self.lanes.pop_expired(self.least_deadline(now)) {
            return QueueStep::Refuse(expired.ticket, CallReason::DeadlineTooShort);
        }
        if self.is_stalled(now)
            && let Some(waiting) = self.lanes.pop_any()
        {
            return QueueStep::Refuse(waiting.ticket, CallReason::UpstreamUnreachable);
        }
        self.limit.advance(now);
        let limit = self.limit.current();
        if self.running.len() >= limit as usize {
            return QueueStep::Idle;
        }
        self.lanes.move_late(now + self.estimate.service());
        match self.lanes.pop_next(now) {
            Some(key) => {
                self.running.insert(key.ticket, now);
                QueueStep::Start(key.ticket)
            }
            None => QueueStep::Idle,
        }
    }

    /// When to call [`AdmissionQueue::poll`] if no event comes first.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let expiry = self.lanes.earliest()?.deadline;
        let expiry = Timestamp(
            expiry
                .0
                .saturating_sub(self.refusal_lead_time.as_micros() as u64),
        );
        let stall = self.stalls_at().unwrap_or(expiry);
        let expiry = expiry.min(stall.max(now));
        let raise = self.limit.next_raise().unwrap_or(expiry);
        Some(expiry.min(raise))
    }

    /// Refuses new calls from now on. Queued and running calls finish.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether the queue drains and no call is left.
    pub fn is_drained(&self) -> bool {
        self.draining && self.running.is_empty() && self.lanes.len() == 0
    }

    /// The load to carry on answers and refusals.
    pub fn load(&self) -> LoadReport {
        let slots = self.limit.current();
        let (running, queued) = (self.running.len() as u32, self.lanes.len() as u32);
        let service = self.estimate.service().as_micros();
        LoadReport {
            running,
            queued,
            slots,
            draining: self.draining,
            service_us: u32::try_from(service).unwrap_or(u32::MAX),
        }
    }

    /// Work with this deadline or an earlier one is not started: it would occupy a slot and most likely
    /// answer too late.
    fn least_deadline(&self, now: Timestamp) -> Timestamp {
        now + self.least_time()
    }

    /// Least time for which work is started. The refusal of work that has less must still reach the
    /// caller before it gives up.
    fn least_time(&self) -> Duration {
        (self.estimate.service() / 2).max(self.refusal_lead_time)
    }

    /// Lets an upstream that answers nothing for long get no work until it does.
    pub fn enable_stall_detection(&mut self) {
        self.stall_detection_enabled = true;
    }

    /// Lets refusals of queued work leave this long before its deadline.
    pub fn set_refusal_lead_time(&mut self, refusal_lead_time: Duration) {
        self.refusal_lead_time = refusal_lead_time;
    }

    /// When the upstream counts as stalled if it does not answer before: calls run, and none was
    /// answered for several usual service times.
    fn stalls_at(&self) -> Option<Timestamp> {
        let oldest = self.running.values().min().copied()?;
        if !self.stall_detection_enabled
            || self.running.len() < STALL_CALLS
            || self.estimate.service().is_zero()
        {
            return None;
        }
        let silence = (self.estimate.service() * STALL_SERVICES).max(STALL_LEAST);
        Some(oldest.max(self.answered_at) + silence)
    }

    fn is_stalled(&self, now: Timestamp) -> bool {
        self.stalls_at().is_some_and(|at| now >= at)
    }
}
