//! Order of queued work.

use std::collections::BTreeSet;
use std::time::Duration;

use super::queue::AdmissionTicket;
use crate::core::{RequestClass, Timestamp};

/// Time left from which on deferred work takes part in the reserved starts. Twice the longest
/// backoff of a deferred call, so that a refused one comes back at least once within it.
const DEADLINE_NEAR: Duration = Duration::from_secs(120);
/// One in this many starts is reserved for the lower classes, so that a flood of a higher class
/// cannot starve them.
const RESERVED_START: u32 = 8;

/// Order of service; the lower lane runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WorkLane {
    Internal,
    Waiting,
    Deferred,
}

impl WorkLane {
    /// The lower bound of the lane's keys.
    fn first_key(self) -> QueueKey {
        QueueKey {
            lane: self,
            rank: 0,
            is_late: false,
            due: Timestamp(0),
            deadline: Timestamp(0),
            ticket: AdmissionTicket(0),
        }
    }
}

impl From<RequestClass> for WorkLane {
    fn from(class: RequestClass) -> Self {
        match class {
            RequestClass::Internal => WorkLane::Internal,
            RequestClass::AtMostOnce | RequestClass::Lookup => WorkLane::Waiting,
            RequestClass::Deferred => WorkLane::Deferred,
        }
    }
}

/// What the route of a call says about its urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoutePriority {
    /// Zero is served first.
    pub rank: u32,
    /// When the answer is late; none if the route has no target.
    pub target: Option<Timestamp>,
}

/// Position of queued work: within a lane, the lower rank runs first; within a rank, calls that can
/// still meet their target, the earliest first, and then the others by deadline.
///
/// Serving late calls by their place in the queue would make those behind them late as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) lane: WorkLane,
    pub(super) rank: u32,
    pub(super) is_late: bool,
    /// Target of a call that can meet it, deadline of others.
    pub(super) due: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) ticket: AdmissionTicket,
}

impl QueueKey {
    /// A call that would be answered at `earliest` if it ran now.
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
            rank: rank.rank,
            is_late: rank.target.is_some() && target.is_none(),
            due: target.unwrap_or(deadline),
            deadline,
            ticket,
        }
    }

    /// Order in which places in a full queue are given up.
    pub(super) fn precedence(&self) -> (WorkLane, u32, bool) {
        (self.lane, self.rank, self.is_late)
    }

    /// Whether the call was queued in time and cannot meet its target any more.
    fn became_late(&self, earliest: Timestamp) -> bool {
        !self.is_late && self.due < self.deadline && self.due < earliest
    }

    fn into_late(self) -> Self {
        QueueKey {
            is_late: true,
            due: self.deadline,
            ..self
        }
    }
}

/// Queued work by lane and deadline. The owner bounds its length.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkLanes {
    queued: BTreeSet<QueueKey>,
    /// Starts since the last reserved one.
    starts: u32,
}

impl WorkLanes {
    pub(super) fn len(&self) -> usize {
        self.queued.len()
    }

    pub(super) fn insert(&mut self, key: QueueKey) {
        self.queued.insert(key);
    }

    /// Queued work that runs before `key`.
    pub(super) fn ahead_of(&self, key: &QueueKey) -> usize {
        self.queued.range(..key).count()
    }

    /// Work of waiting callers and internal checks.
    pub(super) fn prompt_len(&self) -> usize {
        let first = WorkLane::Deferred.first_key();
        self.queued.range(..first).count()
    }

    /// The deferred work with the latest deadline.
    pub(super) fn last_deferred(&self) -> Option<QueueKey> {
        let first = WorkLane::Deferred.first_key();
        self.queued.range(first..).next_back().copied()
    }

    /// The waiting or internal work to give up first: the latest deadline of the last lane.
    pub(super) fn last_prompt(&self) -> Option<QueueKey> {
        let first = WorkLane::Deferred.first_key();
        self.queued.range(..first).next_back().copied()
    }

    pub(super) fn remove(&mut self, ticket: AdmissionTicket) -> Option<QueueKey> {
        let key = self.queued.iter().find(|key| key.ticket == ticket).copied();
        key.filter(|key| self.queued.remove(key))
    }

    /// Takes work whose deadline is at or before `bound`.
    pub(super) fn pop_expired(&mut self, bound: Timestamp) -> Option<QueueKey> {
        let key = self.earliest().filter(|key| key.deadline <= bound)?;
        self.queued.remove(&key);
        Some(key)
    }

    /// Takes any work.
    pub(super) fn pop_any(&mut self) -> Option<QueueKey> {
        self.queued.pop_first()
    }

    /// Moves calls that cannot meet their target any more behind those of their rank that can.
    pub(super) fn move_late(&mut self, earliest: Timestamp) {
        let late = self.queued.iter().filter(|key| key.became_late(earliest));
        for key in late.copied().collect::<Vec<_>>() {
            self.queued.remove(&key);
            self.queued.insert(key.into_late());
        }
    }

    /// Takes the work to run next.
    ///
    /// One in eight starts goes to deferred work whose deadline is near, or else to a waiting
    /// caller, ahead of the lanes above.
    pub(super) fn pop_next(&mut self, now: Timestamp) -> Option<QueueKey> {
        self.starts += 1;
        let mut key = self.queued.first().copied();
        if self.starts >= RESERVED_START {
            self.starts = 0;
            let near = self
                .first(WorkLane::Deferred)
                .filter(|first| first.deadline <= now + DEADLINE_NEAR);
            key = near.or_else(|| self.first(WorkLane::Waiting)).or(key);
        }
        key.filter(|key| self.queued.remove(key))
    }

    /// The earliest deadline of all lanes.
    pub(super) fn earliest(&self) -> Option<QueueKey> {
        self.queued.iter().min_by_key(|key| key.deadline).copied()
    }

    fn first(&self, lane: WorkLane) -> Option<QueueKey> {
        let key = self.queued.range(lane.first_key()..).next().copied();
        key.filter(|key| key.lane == lane)
    }
}
