//! Queue that admits calls at the destination.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::call::{CallReason, LoadReport};

use super::estimate::ServiceEstimate;
use super::lanes::{AccountHash, CallLanes, PriorityLane, QueueKey, RoutePriority};
use super::limit::{AdmissionLimits, ConcurrencyLimit};
use super::rate::RateLimiter;
use super::reserve::NestedReserve;
use super::share::holds_share;
use crate::core::{RequestClass, RequestRate, Timestamp};

/// Number of queue places per slot. Longer queues only add waiting time: with 2 places per slot a
/// call waits about two service times.
const QUEUE_PLACES_PER_SLOT: u32 = 2;

/// One in this many queue places is reserved for deferred calls. Without these places, a deferred
/// call that has been refused until its deadline is near would still find the queue full of
/// interactive calls.
const DEFERRED_PLACE_DIVISOR: usize = 8;

/// Number of mean service times without any answer after which an upstream that runs several calls
/// counts as stalled. An upstream that is only slow answers some of its calls in that time.
const STALL_SERVICE_TIMES: u32 = 4;
/// Minimum time without any answer after which an upstream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum number of running calls of a stalled upstream. A single long call is not a sign of a
/// stall.
const MIN_STALLED_CALLS: usize = 3;

/// Identifies an admitted call. Never reused within a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdmissionTicket(pub(super) u64);

/// Result of [`AdmissionQueue::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run the call on the upstream now.
    Start(AdmissionTicket),
    /// The call waits; a later [`QueueStep`] names its ticket.
    Queued {
        /// Ticket of the waiting call.
        ticket: AdmissionTicket,
        /// Call that was evicted from the queue. It did not run; refuse it as `Overloaded`.
        evicted: Option<AdmissionTicket>,
    },
    /// The call did not run and never will.
    Refused(CallReason),
}

/// Next action for the queued calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "a step that is not carried out loses the call that it names"]
pub enum QueueStep {
    /// Run this call on the upstream now.
    Start(AdmissionTicket),
    /// Answer this call as not run.
    Refuse(AdmissionTicket, CallReason),
    /// Nothing to do until the next event or [`AdmissionQueue::next_wakeup`].
    Idle,
}

/// How a call on the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// The upstream answered.
    Answered,
    /// The upstream answered 503 because it runs more calls than it can handle.
    Shed,
    /// The upstream failed or timed out, or the call was cancelled while it ran.
    Ended,
}

/// Result of [`AdmissionQueue::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The call was waiting and was removed; it did not run and never will.
    Dequeued,
    /// The call is running. Cancel it at the upstream; its slot is freed by
    /// [`AdmissionQueue::finished`].
    Running,
    /// The call has ended or was never admitted.
    NotFound,
}

/// Whether the queue has a place for a call.
enum QueuePlace {
    Free,
    /// The place of this call, which must be removed.
    Evict(AdmissionTicket),
    None,
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    started_at: Timestamp,
    account: Option<AccountHash>,
}

/// Limits the calls that run on one upstream and orders the waiting ones.
///
/// Internal checks run first, then interactive calls (at-most-once calls and lookups), then
/// deferred calls. Within each of these lanes, calls with a lower rank run first; within a rank,
/// calls that can still meet their target, by earliest target, and then the others by earliest
/// deadline. To prevent starvation, one in eight starts goes to a deferred call whose deadline is
/// near, or else to an interactive call, and one in eight queue places is reserved for deferred
/// calls, with the earliest deadlines first.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    /// Holds at most [`AdmissionQueue::max_queued`] calls after each poll.
    lanes: CallLanes,
    /// Announced slots; at least 1.
    slots: u32,
    /// Running calls.
    running: IndexMap<AdmissionTicket, RunningCall>,
    limit: ConcurrencyLimit,
    reserve: NestedReserve,
    /// Present while the upstream limits the requests per second that it takes.
    rate: Option<RateLimiter>,
    estimate: ServiceEstimate,
    draining: bool,
    /// When the upstream last answered.
    answered_at: Timestamp,
    stall_detection_enabled: bool,
    /// Time that the refusal of a queued call needs to reach its caller.
    refusal_lead_time: Duration,
    next_ticket: u64,
}

impl AdmissionQueue {
    /// Creates the queue of an upstream that starts now.
    pub fn new(limits: AdmissionLimits, now: Timestamp) -> Self {
        AdmissionQueue {
            lanes: CallLanes::default(),
            slots: limits.slots.max(1),
            rate: None,
            running: IndexMap::new(),
            limit: ConcurrencyLimit::new(limits, now),
            reserve: NestedReserve::default(),
            estimate: ServiceEstimate::default(),
            draining: false,
            answered_at: now,
            stall_detection_enabled: false,
            refusal_lead_time: Duration::ZERO,
            next_ticket: 0,
        }
    }

    /// Changes the announced capacity of the upstream. Queued and running calls continue.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.slots = limits.slots.max(1);
        self.limit.set_limits(limits);
    }

    /// Accepts calls again after a drain, for an upstream that starts now. Queued and running calls
    /// continue, and their tickets are not reused.
    pub fn reopen(&mut self, limits: AdmissionLimits, now: Timestamp) {
        self.set_limits(limits);
        self.limit = ConcurrencyLimit::new(limits, now);
        self.rate = None;
        self.estimate = ServiceEstimate::default();
        self.draining = false;
    }

    /// Sets the requests per second that the upstream takes from all nodes together; `None` if it
    /// states no limit.
    pub fn set_rate(&mut self, now: Timestamp, rate: Option<RequestRate>) {
        match (&mut self.rate, rate) {
            (Some(limiter), Some(rate)) => limiter.set_rate(now, rate),
            (limiter, rate) => *limiter = rate.map(|rate| RateLimiter::new(rate, now)),
        }
    }

    /// Decides on a new call that must be answered by `deadline`.
    pub fn offer(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        deadline: Timestamp,
    ) -> AdmissionDecision {
        self.offer_with_priority(now, class, RoutePriority::default(), deadline)
    }

    /// Like [`AdmissionQueue::offer`], for a call whose route has a rank and a target.
    pub fn offer_with_priority(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        priority: RoutePriority,
        deadline: Timestamp,
    ) -> AdmissionDecision {
        if self.draining {
            return AdmissionDecision::Refused(CallReason::Draining);
        }
        if deadline <= self.min_deadline(now) {
            return AdmissionDecision::Refused(CallReason::DeadlineTooShort);
        }
        if self.is_stalled(now) {
            return AdmissionDecision::Refused(CallReason::UpstreamUnreachable);
        }
        let ticket = AdmissionTicket(self.next_ticket + 1);
        let earliest = now + self.estimate.service_time();
        let mut key = QueueKey::new(class, priority, deadline, ticket, earliest);
        key.is_over_share = priority
            .account
            .is_some_and(|account| self.holds_share(account));
        let ahead = self.lanes.ahead_of(&key);
        if ahead == 0 && self.may_start(now, &key) && self.take_rate(now) {
            self.next_ticket += 1;
            self.insert_running(now, &key);
            return AdmissionDecision::Start(ticket);
        }
        let start = self.start_time(now, ahead);
        if start + self.estimate.service_time() > deadline {
            return AdmissionDecision::Refused(CallReason::Overloaded);
        }
        let evicted = match self.find_place(&key) {
            QueuePlace::Free => None,
            QueuePlace::Evict(ticket) => self.lanes.remove(ticket).map(|key| key.ticket),
            QueuePlace::None => return AdmissionDecision::Refused(CallReason::Overloaded),
        };
        self.next_ticket += 1;
        self.lanes.insert(key);
        AdmissionDecision::Queued { ticket, evicted }
    }

    /// Whether the account holds its share of the slots and the queue.
    fn holds_share(&self, account: AccountHash) -> bool {
        let running = self.running.values().filter_map(|call| call.account);
        let queued = self.lanes.queued().filter_map(|key| key.account);
        let places = self.limit.current() as usize + self.max_queued();
        holds_share(account, running.chain(queued), places)
    }

    fn insert_running(&mut self, now: Timestamp, key: &QueueKey) {
        let call = RunningCall {
            started_at: now,
            account: key.account,
        };
        self.running.insert(key.ticket, call);
    }

    /// Whether there is a slot for the call that is not kept for calls for which more runs wait.
    fn may_start(&self, now: Timestamp, key: &QueueKey) -> bool {
        let limit = self.limit.current();
        let kept = self.reserve.kept_slots(now, limit, key.depth.0);
        self.running.len() < (limit - kept) as usize
    }

    /// Takes the share of one call of the upstream's rate. Returns whether there was one.
    fn take_rate(&mut self, now: Timestamp) -> bool {
        self.rate.as_mut().is_none_or(|rate| rate.try_take(now))
    }

    /// Keeps slots free for nested calls of up to this depth for some time, because runs of this
    /// upstream wait for runs that make such calls. Otherwise the runs on both sides could hold all
    /// slots and wait for each other until their deadlines.
    pub fn keep_slots(&mut self, now: Timestamp, depth: u32) {
        self.reserve.observe(now, depth);
    }

    /// Returns the expected start of a call that has `ahead` queued calls before it.
    fn start_time(&self, now: Timestamp, ahead: usize) -> Timestamp {
        let start = now + self.estimate.queueing_time(ahead, self.limit.current());
        let rate = self.rate.as_ref();
        rate.map_or(start, |rate| start.max(rate.start_time(now, ahead)))
    }

    /// Returns the number of calls that the upstream runs at the same time: the limit of the
    /// running calls, or fewer if its rate keeps fewer of them running.
    fn capacity(&self) -> u32 {
        let limit = self.limit.current();
        let rate = self.rate.as_ref();
        rate.map_or(limit, |rate| {
            limit.min(rate.concurrency(self.estimate.service_time()))
        })
    }

    /// Returns the maximum number of queued calls.
    fn max_queued(&self) -> usize {
        let slots = match self.rate {
            Some(_) => self.capacity(),
            None => self.slots,
        };
        (slots * QUEUE_PLACES_PER_SLOT) as usize
    }

    /// Finds a place in the queue.
    ///
    /// Interactive and internal calls may fill all places except those reserved for deferred calls.
    /// Once they have, a new interactive or internal call evicts the last of them if that one has
    /// lower precedence. Otherwise a call takes a free place or, if the queue is full, evicts the
    /// last deferred call if that one would run later.
    fn find_place(&self, key: &QueueKey) -> QueuePlace {
        let deferred = key.lane == PriorityLane::Deferred;
        let max_queued = self.max_queued();
        let deferred_places = (max_queued / DEFERRED_PLACE_DIVISOR).max(1);
        let non_deferred_full = self.lanes.non_deferred_len() >= max_queued - deferred_places;
        let victim = if !deferred && non_deferred_full {
            self.lanes
                .last_non_deferred()
                .filter(|last| last.precedence() > key.precedence())
        } else if self.lanes.len() < max_queued {
            return QueuePlace::Free;
        } else {
            self.lanes.last_deferred().filter(|last| last > key)
        };
        victim.map_or(QueuePlace::None, |victim| QueuePlace::Evict(victim.ticket))
    }

    /// Records that a running call has ended, which frees its slot, and returns the first step that
    /// follows. Call [`AdmissionQueue::poll`] for the others.
    pub fn finished(
        &mut self,
        now: Timestamp,
        ticket: AdmissionTicket,
        outcome: ServiceOutcome,
    ) -> QueueStep {
        let running = self.running.len() as u32;
        if let Some(call) = self.running.swap_remove(&ticket) {
            if outcome != ServiceOutcome::Ended {
                self.answered_at = now;
            }
            match outcome {
                ServiceOutcome::Answered => self.estimate.observe(now.since(call.started_at)),
                ServiceOutcome::Shed => self.limit.record_shed(now, running),
                ServiceOutcome::Ended => {}
            }
        }
        self.poll(now)
    }

    /// Requires queued calls to be answered by a time before their deadlines. Returns those that
    /// are not expected to be, in their order; they are no longer queued.
    pub fn limit_queued(
        &mut self,
        now: Timestamp,
        answer_by: Timestamp,
        is_limited: impl Fn(AdmissionTicket) -> bool,
    ) -> Vec<AdmissionTicket> {
        let mut refused = Vec::new();
        let mut ahead = 0;
        for key in self.lanes.queued().collect::<Vec<_>>() {
            if is_limited(key.ticket) && key.deadline > answer_by {
                self.lanes.remove(key.ticket);
                if self.start_time(now, ahead) + self.service_time() > answer_by {
                    refused.push(key.ticket);
                    continue;
                }
                self.lanes.insert(key.with_deadline(answer_by));
            }
            ahead += 1;
        }
        refused
    }

    /// Returns the mean service time of a call; zero before the first answer.
    pub fn service_time(&self) -> Duration {
        self.estimate.service_time()
    }

    /// Removes a queued call whose caller no longer waits for it.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> CancelOutcome {
        if self.lanes.remove(ticket).is_some() {
            CancelOutcome::Dequeued
        } else if self.running.contains_key(&ticket) {
            CancelOutcome::Running
        } else {
            CancelOutcome::NotFound
        }
    }

    /// Returns the next step. Call until it returns [`QueueStep::Idle`].
    pub fn poll(&mut self, now: Timestamp) -> QueueStep {
        if let Some(expired) = self.lanes.pop_expired(self.min_deadline(now)) {
            return QueueStep::Refuse(expired.ticket, CallReason::DeadlineTooShort);
        }
        if self.is_stalled(now)
            && let Some(waiting) = self.lanes.pop_first_queued()
        {
            return QueueStep::Refuse(waiting.ticket, CallReason::UpstreamUnreachable);
        }
        if self.rate.is_some()
            && self.lanes.len() > self.max_queued()
            && let Some(last) = self.lanes.pop_last_queued()
        {
            // The limit was lowered while the call waited.
            return QueueStep::Refuse(last.ticket, CallReason::Overloaded);
        }
        if let Some(ticket) = self.take_hopeless(now) {
            return QueueStep::Refuse(ticket, CallReason::Overloaded);
        }
        self.limit.advance(now);
        let startable = self.lanes.queued().any(|key| self.may_start(now, &key));
        if !startable || !self.take_rate(now) {
            return QueueStep::Idle;
        }
        self.lanes.demote_late(now + self.estimate.service_time());
        let (reserve, limit) = (self.reserve, self.limit.current());
        let running = self.running.len();
        let may_start = |key: &QueueKey| {
            let kept = reserve.kept_slots(now, limit, key.depth.0);
            running < (limit - kept) as usize
        };
        match self.lanes.pop_next(now, may_start) {
            Some(key) => {
                self.insert_running(now, &key);
                QueueStep::Start(key.ticket)
            }
            None => QueueStep::Idle,
        }
    }

    /// Removes a queued call that is expected to start only when it would be refused for too little
    /// time, because others have come before it. Its caller is told now, and not shortly before its
    /// deadline, so that it can try elsewhere or return.
    fn take_hopeless(&mut self, now: Timestamp) -> Option<AdmissionTicket> {
        let min_left = self.min_time_left();
        let mut queued = self.lanes.queued().enumerate();
        let is_hopeless = |(ahead, key): &(usize, QueueKey)| {
            *ahead > 0 && self.start_time(now, *ahead) + min_left > key.deadline
        };
        let ticket = queued.find(is_hopeless).map(|(_, key)| key.ticket);
        drop(queued);
        self.lanes.remove(ticket?).map(|key| key.ticket)
    }

    /// Returns when to call [`AdmissionQueue::poll`] if no event occurs before, or `None` if no
    /// call is queued.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let expiry = self.lanes.earliest_deadline()?.deadline;
        let expiry = Timestamp(
            expiry
                .0
                .saturating_sub(self.refusal_lead_time.as_micros() as u64),
        );
        let stall = self.stalls_at().unwrap_or(expiry);
        let expiry = expiry.min(stall.max(now));
        let raise = self.limit.next_raise().unwrap_or(expiry);
        let start = self.rate.as_ref().map(|rate| rate.start_time(now, 0));
        let start = start.filter(|_| self.running.len() < self.limit.current() as usize);
        Some(expiry.min(raise).min(start.unwrap_or(expiry)))
    }

    /// Refuses new calls from now on. Queued and running calls finish.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether the queue drains and has no calls left.
    pub fn is_drained(&self) -> bool {
        self.draining && self.running.is_empty() && self.lanes.len() == 0
    }

    /// Returns the load report that is attached to answers and refusals.
    pub fn load(&self) -> LoadReport {
        let slots = self.capacity();
        let (running, queued) = (self.running.len() as u32, self.lanes.len() as u32);
        let service = self.estimate.service_time().as_micros();
        LoadReport {
            running,
            queued,
            slots,
            draining: self.draining,
            service_us: u32::try_from(service).unwrap_or(u32::MAX),
            ..LoadReport::default()
        }
    }

    /// Returns the deadline that a call must exceed to be started. Any other call would occupy a
    /// slot and most likely be answered too late.
    fn min_deadline(&self, now: Timestamp) -> Timestamp {
        now + self.min_time_left()
    }

    /// Returns the time that a call must have left to be started. A call with less time is refused,
    /// and the refusal must still reach the caller before it gives up.
    fn min_time_left(&self) -> Duration {
        (self.estimate.service_time() / 2).max(self.refusal_lead_time)
    }

    /// Makes the queue refuse calls for an upstream that has stopped answering, until it answers
    /// again.
    pub fn enable_stall_detection(&mut self) {
        self.stall_detection_enabled = true;
    }

    /// Sets how long before its deadline a queued call is refused at the latest.
    pub fn set_refusal_lead_time(&mut self, refusal_lead_time: Duration) {
        self.refusal_lead_time = refusal_lead_time;
    }

    /// Returns the time from which the upstream counts as stalled unless it answers before: several
    /// calls are running, and none was answered for several mean service times.
    fn stalls_at(&self) -> Option<Timestamp> {
        let started = self.running.values().map(|call| call.started_at);
        let oldest = started.min()?;
        if !self.stall_detection_enabled
            || self.running.len() < MIN_STALLED_CALLS
            || self.estimate.service_time().is_zero()
        {
            return None;
        }
        let silence = (self.estimate.service_time() * STALL_SERVICE_TIMES).max(MIN_STALL_TIMEOUT);
        Some(oldest.max(self.answered_at) + silence)
    }

    fn is_stalled(&self, now: Timestamp) -> bool {
        self.stalls_at().is_some_and(|at| now >= at)
    }
}
