//! Batched currency proofs.
//!
//! A currency proof shows that the parent's catalog contains everything committed before the proof
//! began. A proof therefore only answers requests made before it began. Requests made while a proof
//! is in progress are answered by the next one, so a burst of connecting children costs one proof
//! per round trip.

use std::time::Duration;

use super::parent::ChildId;
use super::{CONFIRM_INTERVAL, PROOF_RENEWAL, PROOF_TIMEOUT};
use crate::core::Timestamp;

/// A request that waits for a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProofWaiter {
    /// A child that sent `Hello`.
    Hello(ChildId),
    /// A child that asked for a proof.
    Confirm {
        child: ChildId,
        request_id: u64,
        urgency: ProofUrgency,
    },
    /// The parent itself, which reports the age of the proof in its pongs.
    Renewal,
}

/// When the round for a request starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProofUrgency {
    /// As soon as no other round is in progress. A replica asks on behalf of its own children.
    Immediate,
    /// At the latest [`CONFIRM_INTERVAL`] after the latest round, so that regular requests of many
    /// children share one round.
    Paced,
}

impl ProofWaiter {
    fn is_paced(self) -> bool {
        let urgency = ProofUrgency::Paced;
        matches!(self, ProofWaiter::Confirm { urgency: found, .. } if found == urgency)
    }
}

/// Result of a proof, with the requests that waited for it.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ProofOutcome {
    /// The catalog contains everything that was committed before the requests were made.
    Current(Vec<ProofWaiter>),
    /// The catalog could not be proved current.
    NotCurrent(Vec<ProofWaiter>),
}

#[derive(Debug, PartialEq, Eq)]
enum ProofPhase {
    Idle,
    Requested {
        since: Timestamp,
    },
    /// The proof succeeded, but the catalog has not reached the proved index yet.
    Proved {
        index: u64,
        since: Timestamp,
    },
}

/// The proof in progress, and the requests that wait for this proof or the next one.
#[derive(Debug)]
pub(super) struct ProofBatch {
    phase: ProofPhase,
    /// Number of the latest proof round.
    round: u64,
    /// When the latest round started.
    started_at: Option<Timestamp>,
    /// Waiting requests, each with the first round that may answer it. The number is bounded,
    /// because each child waits at most once as `Hello` and `MAX_PENDING_PROOFS` times as
    /// `Confirm`.
    waiters: Vec<(u64, ProofWaiter)>,
    /// Time at which the latest successful round began.
    proved_at: Option<Timestamp>,
}

impl ProofBatch {
    pub(super) fn new() -> Self {
        ProofBatch {
            phase: ProofPhase::Idle,
            round: 0,
            started_at: None,
            waiters: Vec::new(),
            proved_at: None,
        }
    }

    /// Returns the age of the latest successful proof.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Starts a round if the latest proof is older than [`PROOF_RENEWAL`] and no round is in
    /// progress.
    pub(super) fn renew(&mut self, now: Timestamp) -> Option<u64> {
        self.renew_older(now, PROOF_RENEWAL)
    }

    /// Starts a round if the latest proof is at least this old and no round is in progress.
    pub(super) fn renew_older(&mut self, now: Timestamp, max_age: Duration) -> Option<u64> {
        let is_fresh = self.age(now).is_some_and(|age| age < max_age);
        if is_fresh || self.phase != ProofPhase::Idle {
            return None;
        }
        self.request(now, ProofWaiter::Renewal)
    }

    /// Adds a waiting request. Returns the round to start, unless one is in progress.
    pub(super) fn request(&mut self, now: Timestamp, waiter: ProofWaiter) -> Option<u64> {
        self.waiters.push((self.round + 1, waiter));
        self.start_next(now)
    }

    /// Starts a round if a request waits and no round is in progress. A round that only paced requests
    /// wait for starts [`CONFIRM_INTERVAL`] after the latest one.
    pub(super) fn start_next(&mut self, now: Timestamp) -> Option<u64> {
        if self.phase != ProofPhase::Idle || self.waiters.is_empty() {
            return None;
        }
        let is_recent = |started: Timestamp| now.since(started) < CONFIRM_INTERVAL;
        let may_wait = self.waiters.iter().all(|(_, waiter)| waiter.is_paced());
        if may_wait && self.started_at.is_some_and(is_recent) {
            return None;
        }
        self.round += 1;
        self.started_at = Some(now);
        self.phase = ProofPhase::Requested { since: now };
        Some(self.round)
    }

    /// Records the result of the current round. Results of earlier rounds are ignored.
    pub(super) fn record_result(&mut self, round: u64, index: Option<u64>) -> Option<ProofOutcome> {
        let ProofPhase::Requested { since } = self.phase else {
            return None;
        };
        if round != self.round {
            return None;
        }
        match index {
            Some(index) => {
                self.phase = ProofPhase::Proved { index, since };
                None
            }
            None => Some(ProofOutcome::NotCurrent(self.end_round())),
        }
    }

    /// Ends the round when the catalog has reached the proved index, or after [`PROOF_TIMEOUT`].
    pub(super) fn poll(&mut self, now: Timestamp, applied_index: u64) -> Option<ProofOutcome> {
        match self.phase {
            ProofPhase::Proved { index, since } if applied_index >= index => {
                self.proved_at = Some(since);
                Some(ProofOutcome::Current(self.end_round()))
            }
            ProofPhase::Requested { since } | ProofPhase::Proved { since, .. }
                if now.since(since) >= PROOF_TIMEOUT =>
            {
                Some(ProofOutcome::NotCurrent(self.end_round()))
            }
            _ => None,
        }
    }

    fn end_round(&mut self) -> Vec<ProofWaiter> {
        self.phase = ProofPhase::Idle;
        let round = self.round;
        let mut ended = Vec::new();
        self.waiters.retain(|&(first, waiter)| {
            if first <= round {
                ended.push(waiter);
            }
            first > round
        });
        ended
    }

    /// Removes the requests of a child that disconnected.
    pub(super) fn remove(&mut self, removed: ChildId) {
        self.waiters.retain(|&(_, waiter)| match waiter {
            ProofWaiter::Hello(child) | ProofWaiter::Confirm { child, .. } => child != removed,
            ProofWaiter::Renewal => true,
        });
    }

    /// Returns the number of waiting requests of one child.
    pub(super) fn pending_count(&self, child_id: ChildId) -> usize {
        let is_of = |waiter: &ProofWaiter| match *waiter {
            ProofWaiter::Hello(child) | ProofWaiter::Confirm { child, .. } => child == child_id,
            ProofWaiter::Renewal => false,
        };
        self.waiters
            .iter()
            .filter(|(_, waiter)| is_of(waiter))
            .count()
    }
}
