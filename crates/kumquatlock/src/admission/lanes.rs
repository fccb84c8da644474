//! Priority lanes, which determine the order of queued calls.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use super::queue::AdmissionTicket;
use crate::core::{RequestClass, Timestamp};

/// A deferred call becomes eligible for reserved starts this long before its deadline. Twice the
/// longest backoff of a deferred call, so that a refused call returns at least once within this
/// time.
const NEAR_DEADLINE: Duration = Duration::from_secs(120);
/// One in this many starts is reserved for the lower lanes, so that a flood of calls in a higher
/// lane cannot starve them.
const RESERVED_START_INTERVAL: u32 = 8;

/// Priority lane; calls of the first lane run first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PriorityLane {
    Internal,
    Interactive,
    Deferred,
}

impl PriorityLane {
    /// Returns a lower bound of the lane's keys.
    fn min_key(self) -> QueueKey {
        QueueKey {
            lane: self,
            depth: Reverse(u32::MAX),
            rank: 0,
            is_over_share: false,
            is_late: false,
            due: Timestamp(0),
            deadline: Timestamp(0),
            ticket: AdmissionTicket(0),
            account: None,
        }
    }
}

impl From<RequestClass> for PriorityLane {
    fn from(class: RequestClass) -> Self {
        match class {
            RequestClass::Internal => PriorityLane::Internal,
            RequestClass::AtMostOnce | RequestClass::Lookup => PriorityLane::Interactive,
            RequestClass::Deferred => PriorityLane::Deferred,
        }
    }
}

/// Urgency of a call, as its route defines it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoutePriority {
    /// Calls with a lower rank run first.
    pub rank: u32,
    /// Time after which the answer is late; `None` if the route has no target.
    pub target: Option<Timestamp>,
    /// Number of runs that wait for the call; 0 for a call of a caller. Calls of a higher depth run
    /// first.
    pub depth: u32,
    /// Client account whose share of the upstream the call uses; `None` if it belongs to none.
    pub account: Option<AccountHash>,
}

/// Identifies a client account in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountHash(pub u64);

/// Sort key of a queued call. Within a lane, the call for which more runs wait runs first, then the
/// lower rank. Within a rank, the calls of accounts that use more than their share come last. Before
/// them, and among them, calls that
/// can still meet their target run first, earliest target first, followed by the others by
/// deadline.
///
/// If late calls kept their position in the queue, the calls behind them would become late as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) lane: PriorityLane,
    /// Higher depths come first.
    pub(super) depth: Reverse<u32>,
    pub(super) rank: u32,
    /// Whether the account held its share of the places and slots when the call arrived.
    pub(super) is_over_share: bool,
    pub(super) is_late: bool,
    /// Target of a call that can meet it, otherwise the deadline.
    pub(super) due: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) ticket: AdmissionTicket,
    pub(super) account: Option<AccountHash>,
}

impl QueueKey {
    /// Creates the key of a call that would be answered at `earliest` if it started now.
    pub(super) fn new(
        class: RequestClass,
        rank: RoutePriority,
        deadline: Timestamp,
        ticket: AdmissionTicket,
        earliest: Timestamp,
    ) -> Self {
        let target = rank.target.filter(|target| *target >= earliest);
        QueueKey {
            lane: class.into(),
            depth: Reverse(rank.depth),
            rank: rank.rank,
            is_over_share: false,
            is_late: rank.target.is_some() && target.is_none(),
            due: target.unwrap_or(deadline),
            deadline,
            ticket,
            account: rank.account,
        }
    }

    /// Returns the precedence in a full queue. The call with the greatest value is evicted first.
    pub(super) fn precedence(&self) -> (PriorityLane, Reverse<u32>, u32, bool, bool) {
        let QueueKey {
            lane, depth, rank, ..
        } = *self;
        (lane, depth, rank, self.is_over_share, self.is_late)
    }

    /// Whether the call has a target that it can no longer meet, and is not marked as late yet.
    /// `earliest` is the earliest time at which the call could be answered.
    fn became_late(&self, earliest: Timestamp) -> bool {
        !self.is_late && self.due < self.deadline && self.due < earliest
    }

    /// Returns the key of the same call with an earlier deadline.
    pub(super) fn with_deadline(self, deadline: Timestamp) -> Self {
        QueueKey {
            due: self.due.min(deadline),
            deadline,
            ..self
        }
    }

    fn into_late(self) -> Self {
        QueueKey {
            is_late: true,
            due: self.deadline,
            ..self
        }
    }
}

/// Queued calls in the order of their keys. [`AdmissionQueue`](super::AdmissionQueue) limits their
/// number.
#[derive(Clone, Debug, Default)]
pub(super) struct CallLanes {
    queued: BTreeSet<QueueKey>,
    /// Number of starts since the last reserved one.
    starts_since_reserved: u32,
}

impl CallLanes {
    pub(super) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns the queued calls in their order.
    pub(super) fn queued(&self) -> impl Iterator<Item = QueueKey> {
        self.queued.iter().copied()
    }

    pub(super) fn insert(&mut self, key: QueueKey) {
        self.queued.insert(key);
    }

    /// Returns the number of queued calls that run before `key`.
    pub(super) fn ahead_of(&self, key: &QueueKey) -> usize {
        self.queued.range(..key).count()
    }

    /// Returns the number of queued interactive and internal calls.
    pub(super) fn non_deferred_len(&self) -> usize {
        let first = PriorityLane::Deferred.min_key();
        self.queued.range(..first).count()
    }

    /// Returns the deferred call that runs last.
    pub(super) fn last_deferred(&self) -> Option<QueueKey> {
        let first = PriorityLane::Deferred.min_key();
        self.queued.range(first..).next_back().copied()
    }

    /// Returns the interactive or internal call to evict first, which is the last interactive one,
    /// or else the last internal one.
    pub(super) fn last_non_deferred(&self) -> Option<QueueKey> {
        let first = PriorityLane::Deferred.min_key();
        self.queued.range(..first).next_back().copied()
    }

    pub(super) fn remove(&mut self, ticket: AdmissionTicket) -> Option<QueueKey> {
        let key = self.queued.iter().find(|key| key.ticket == ticket).copied();
        key.filter(|key| self.queued.remove(key))
    }

    /// Removes the call with the earliest deadline if that is at or before `bound`.
    pub(super) fn pop_expired(&mut self, bound: Timestamp) -> Option<QueueKey> {
        let key = self
            .earliest_deadline()
            .filter(|key| key.deadline <= bound)?;
        self.queued.remove(&key);
        Some(key)
    }

    /// Removes the first queued call.
    pub(super) fn pop_first_queued(&mut self) -> Option<QueueKey> {
        self.queued.pop_first()
    }

    /// Removes the queued call that would run last.
    pub(super) fn pop_last_queued(&mut self) -> Option<QueueKey> {
        self.queued.pop_last()
    }

    /// Moves calls that can no longer meet their target behind those of their rank that can.
    pub(super) fn demote_late(&mut self, earliest: Timestamp) {
        let late = self.queued.iter().filter(|key| key.became_late(earliest));
        for key in late.copied().collect::<Vec<_>>() {
            self.queued.remove(&key);
            self.queued.insert(key.into_late());
        }
    }

    /// Removes the call to run next among those that may start now.
    ///
    /// One in eight starts goes to a deferred call whose deadline is near, or else to an
    /// interactive call, ahead of the higher lanes.
    pub(super) fn pop_next(
        &mut self,
        now: Timestamp,
        may_start: impl Fn(&QueueKey) -> bool,
    ) -> Option<QueueKey> {
        self.starts_since_reserved += 1;
        let mut key = self.queued.iter().find(|key| may_start(key)).copied();
        if self.starts_since_reserved >= RESERVED_START_INTERVAL {
            self.starts_since_reserved = 0;
            let near = self
                .first(PriorityLane::Deferred)
                .filter(|first| first.deadline <= now + NEAR_DEADLINE);
            key = near
                .or_else(|| self.first(PriorityLane::Interactive))
                .filter(|key| may_start(key))
                .or(key);
        }
        key.filter(|key| self.queued.remove(key))
    }

    /// Returns the queued call with the earliest deadline in any lane.
    pub(super) fn earliest_deadline(&self) -> Option<QueueKey> {
        self.queued.iter().min_by_key(|key| key.deadline).copied()
    }

    fn first(&self, lane: PriorityLane) -> Option<QueueKey> {
        let key = self.queued.range(lane.min_key()..).next().copied();
        key.filter(|key| key.lane == lane)
    }
}
