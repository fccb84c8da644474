//! Order of queued work.

use std::collections::BTreeSet;
use std::time::Duration;

use super::queue::AdmissionTicket;
use crate::core::{RequestClass, Timestamp};

/// Time left at which deferred work joins the waiting callers, at least. Twice the default
/// deadline of a caller, so that it then has the earliest deadline among them soon enough.
const PROMOTION_FLOOR: Duration = Duration::from_secs(10);
/// Waits of a full queue that are left, at least, when deferred work joins the waiting callers.
const PROMOTION_WAITS: u32 = 8;
/// One in this many starts takes the earliest deadline of all lanes, so that a flood of a higher
/// class cannot starve a lower one.
const EARLIEST_EVERY: u32 = 8;

/// Order of service; the lower lane runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WorkLane {
    Internal,
    Waiting,
    Deferred,
}

impl WorkLane {
    const ALL: [WorkLane; 3] = [WorkLane::Internal, WorkLane::Waiting, WorkLane::Deferred];
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

/// Position of queued work: within a lane, the earliest deadline runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) lane: WorkLane,
    pub(super) deadline: Timestamp,
    pub(super) ticket: AdmissionTicket,
}

/// Queued work by lane and deadline. The owner bounds its length.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkLanes {
    queued: BTreeSet<QueueKey>,
    /// Starts since the earliest deadline of all lanes was taken.
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

    /// The work to give up first: the latest deadline of the last lane in use.
    pub(super) fn last(&self) -> Option<QueueKey> {
        self.queued.last().copied()
    }

    pub(super) fn remove(&mut self, ticket: AdmissionTicket) -> Option<QueueKey> {
        let key = self.queued.iter().find(|key| key.ticket == ticket).copied();
        key.filter(|key| self.queued.remove(key))
    }

    /// Moves deferred work whose deadline nears to the waiting callers. `full_wait` is the
    /// estimated wait of a full queue.
    pub(super) fn promote(&mut self, now: Timestamp, full_wait: Duration) {
        let horizon = now + PROMOTION_FLOOR.max(full_wait * PROMOTION_WAITS);
        while let Some(key) = self.first(WorkLane::Deferred)
            && key.deadline <= horizon
        {
            self.queued.remove(&key);
            self.queued.insert(QueueKey {
                lane: WorkLane::Waiting,
                ..key
            });
        }
    }

    /// Takes work whose deadline is before `bound`.
    pub(super) fn pop_expired(&mut self, bound: Timestamp) -> Option<QueueKey> {
        let key = self.earliest().filter(|key| key.deadline < bound)?;
        self.queued.remove(&key);
        Some(key)
    }

    /// Takes the work to run next.
    pub(super) fn pop_next(&mut self) -> Option<QueueKey> {
        let key = if self.starts + 1 >= EARLIEST_EVERY {
            self.starts = 0;
            self.earliest()
        } else {
            self.starts += 1;
            self.queued.first().copied()
        };
        key.filter(|key| self.queued.remove(key))
    }

    /// The earliest deadline of all lanes.
    pub(super) fn earliest(&self) -> Option<QueueKey> {
        WorkLane::ALL
            .into_iter()
            .filter_map(|lane| self.first(lane))
            .min_by_key(|key| key.deadline)
    }

    fn first(&self, lane: WorkLane) -> Option<QueueKey> {
        let start = QueueKey {
            lane,
            deadline: Timestamp(0),
            ticket: AdmissionTicket(0),
        };
        let key = self.queued.range(start..).next().copied();
        key.filter(|key| key.lane == lane)
    }
}
