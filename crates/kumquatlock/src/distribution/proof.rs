//! Batched currency proofs.
//!
//! A proof answers only those who asked before it began. Everyone who asks while one is under way
//! is answered by the next, so a storm of children costs one proof per round trip.

use std::time::Duration;

use super::parent::ChildId;
use super::{PROOF_RENEWAL, PROOF_TIMEOUT};
use crate::core::Timestamp;

/// Who waits for a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProofWaiter {
    /// A child that said `Hello`.
    Hello(ChildId),
    /// A replica that needs the proof for its own children.
    Confirm { child: ChildId, request_id: u64 },
    /// The parent itself, for the proof in its pongs.
    Renewal,
}

/// How a proof ended for those who waited for it.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ProofVerdict {
    /// The catalog is at or above everything committed before the waiters asked.
    Current(Vec<ProofWaiter>),
    /// Currency could not be proved.
    NotCurrent(Vec<ProofWaiter>),
}

#[derive(Debug, PartialEq, Eq)]
enum ProofPhase {
    Idle,
    Asked {
        since: Timestamp,
    },
    /// Proved, but the catalog has yet to reach the proved index.
    Proved {
        index: u64,
        since: Timestamp,
    },
}

/// One proof under way and those who wait for this or the next one.
#[derive(Debug)]
pub(super) struct ProofBatch {
    phase: ProofPhase,
    /// Number of the latest round.
    round: u64,
    /// Waiters with the first round that may answer them. Bounded by the number of children,
    /// each of which waits at most once as `Hello` and `MAX_CONFIRMS` times as `Confirm`.
    waiters: Vec<(u64, ProofWaiter)>,
    /// When the latest successful round began.
    proved_at: Option<Timestamp>,
}

impl ProofBatch {
    pub(super) fn new() -> Self {
        ProofBatch {
            phase: ProofPhase::Idle,
            round: 0,
            waiters: Vec::new(),
            proved_at: None,
        }
    }

    /// Age of the latest proof.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Starts a round if the latest proof is older than [`PROOF_RENEWAL`] and none is under way.
    pub(super) fn renew(&mut self, now: Timestamp) -> Option<u64> {
        let is_fresh = self.age(now).is_some_and(|age| age < PROOF_RENEWAL);
        if is_fresh || self.phase != ProofPhase::Idle {
            return None;
        }
        self.request(now, ProofWaiter::Renewal)
    }

    /// Adds a waiter. Returns the round to start, if none is under way.
    pub(super) fn request(&mut self, now: Timestamp, waiter: ProofWaiter) -> Option<u64> {
        self.waiters.push((self.round + 1, waiter));
        self.start_next(now)
    }

    /// Starts a round if someone waits and none is under way.
    pub(super) fn start_next(&mut self, now: Timestamp) -> Option<u64> {
        if self.phase != ProofPhase::Idle || self.waiters.is_empty() {
            return None;
        }
        self.round += 1;
        self.phase = ProofPhase::Asked { since: now };
        Some(self.round)
    }

    /// Takes the result of a round. Results of other rounds are late and mean nothing.
    pub(super) fn finish(&mut self, round: u64, index: Option<u64>) -> Option<ProofVerdict> {
        let ProofPhase::Asked { since } = self.phase else {
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
            None => Some(ProofVerdict::NotCurrent(self.settle())),
        }
    }

    /// Settles the round when the catalog has reached the proved index or time is up.
    pub(super) fn poll(&mut self, now: Timestamp, applied_index: u64) -> Option<ProofVerdict> {
        match self.phase {
            ProofPhase::Proved { index, since } if applied_index >= index => {
                self.proved_at = Some(since);
                Some(ProofVerdict::Current(self.settle()))
            }
            ProofPhase::Asked { since } | ProofPhase::Proved { since, .. }
                if now.since(since) >= PROOF_TIMEOUT =>
            {
                Some(ProofVerdict::NotCurrent(self.settle()))
            }
            _ => None,
        }
    }

    fn settle(&mut self) -> Vec<ProofWaiter> {
        self.phase = ProofPhase::Idle;
        let round = self.round;
        let mut settled = Vec::new();
        self.waiters.retain(|&(first, waiter)| {
            if first <= round {
                settled.push(waiter);
            }
            first > round
        });
        settled
    }

    /// Forgets a child that disconnected.
    pub(super) fn remove(&mut self, gone: ChildId) {
        self.waiters.retain(|&(_, waiter)| match waiter {
            ProofWaiter::Hello(child) | ProofWaiter::Confirm { child, .. } => child != gone,
            ProofWaiter::Renewal => true,
        });
    }

    /// Requests of one child that wait.
    pub(super) fn waiting(&self, of: ChildId) -> usize {
        let is_of = |waiter: &ProofWaiter| match *waiter {
            ProofWaiter::Hello(child) | ProofWaiter::Confirm { child, .. } => child == of,
            ProofWaiter::Renewal => false,
        };
        self.waiters
            .iter()
            .filter(|(_, waiter)| is_of(waiter))
            .count()
    }
}
