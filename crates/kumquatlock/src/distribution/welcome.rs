//! The steps from a child's `Hello` to its `Welcome`, which needs a proof that this parent is
//! current.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::{Hello, RetryAfter, RetryReason, Welcome};
use rand::Rng;
use rand::rngs::SmallRng;

use super::parent::{ChildId, ParentState, ParentStep, confirm_reply, send};
use super::proof::{ProofOutcome, ProofWaiter};
use super::record::ChildRecord;
use super::{HELLO_HOLD_TIME, MAX_CHILDREN};
use crate::catalog::Catalog;
use crate::core::{GroupId, Timestamp};

/// Range of the jittered retry delay after a failed proof, in milliseconds. A proof fails
/// immediately while there is no leader; a child that waited as long as an election takes would
/// often retry well after the end of the election.
const NOT_CURRENT_DELAY_MS: std::ops::RangeInclusive<u32> = 150..=450;

impl ParentState {
    /// Requests the proof that must precede the `Welcome` of a child.
    pub(super) fn prove(&mut self, now: Timestamp, child: ChildId, steps: &mut Vec<ParentStep>) {
        if let Some(round) = self.proofs.request(now, ProofWaiter::Hello(child)) {
            steps.push(ParentStep::RequestProof { round });
        }
    }

    /// Requests proofs again for the children that wait for a leader.
    pub(super) fn prove_held(&mut self, now: Timestamp, steps: &mut Vec<ParentStep>) {
        for child in std::mem::take(&mut self.held) {
            self.prove(now, child, steps);
        }
    }

    /// Refuses the children that have waited for a leader for [`HELLO_HOLD_TIME`]. They may try
    /// another parent at once, because they have waited here.
    pub(super) fn expire_held(&mut self, now: Timestamp, steps: &mut Vec<ParentStep>) {
        let children = &self.children;
        let is_over = |child: &ChildId| {
            let record = children.get(child);
            record.is_none_or(|record| now.since(record.hello_at) >= HELLO_HOLD_TIME)
        };
        let expired: Vec<ChildId> = self.held.iter().copied().filter(is_over).collect();
        for child in expired {
            self.remove_record(child);
            refuse_child(child, RetryReason::NotCurrent, Duration::ZERO, steps);
        }
    }

    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        hello: &Hello,
        random: &mut SmallRng,
    ) -> Result<(), (RetryReason, Duration)> {
        if self.is_shutting_down {
            return Err((RetryReason::Leaving, Duration::ZERO));
        }
        let holds_config = hello.applied_version != 0;
        if self.group == GroupId(0) || self.is_leader_silent && holds_config {
            let delay = random.random_range(NOT_CURRENT_DELAY_MS);
            return Err((RetryReason::NotCurrent, Duration::from_millis(delay.into())));
        }
        if hello.group_id != 0 && hello.group_id != self.group.0 {
            return Err((RetryReason::WrongGroup, Duration::ZERO));
        }
        let ahead = self.expected_transfers();
        // The limit does not apply to children that hold a configuration: they rarely need a
        // snapshot, and can wait for one at another parent.
        let is_transfer_queue_full =
            !holds_config && ahead >= self.admission.limits.transfers + self.admission.limits.queue;
        if is_transfer_queue_full || self.children.len() >= MAX_CHILDREN {
            let delay = self.admission.snapshot_delay(ahead, random);
            return Err((RetryReason::Busy, delay));
        }
        self.admission
            .admit(now, holds_config, random)
            .map_err(|delay| (RetryReason::Busy, delay))
    }

    /// Returns the cost of the snapshot transfers that are in progress, queued or expected for
    /// children that have not been welcomed yet.
    fn expected_transfers(&self) -> usize {
        let needs_first_snapshot =
            |record: &&ChildRecord| !record.is_welcomed && !record.holds_config();
        let unwelcomed = self.children.values().filter(needs_first_snapshot);
        let unwelcomed: usize = unwelcomed.map(ChildRecord::transfer_cost).sum();
        let queued = self.snapshot_queue.iter();
        let queued = queued.filter_map(|child| self.children.get(child));
        let queued: usize = queued.map(ChildRecord::transfer_cost).sum();
        self.transfer_cost() + queued + unwelcomed
    }

    pub(super) fn handle_proof_outcome(
        &mut self,
        now: Timestamp,
        outcome: Option<ProofOutcome>,
        catalog: &Catalog,
        random: &mut SmallRng,
        steps: &mut Vec<ParentStep>,
    ) {
        match outcome {
            Some(ProofOutcome::Current(waiters)) => self.welcome(now, &waiters, catalog, steps),
            Some(ProofOutcome::NotCurrent(waiters)) => {
                self.reject_waiters(now, &waiters, random, steps);
            }
            None => {}
        }
    }

    fn welcome(
        &mut self,
        now: Timestamp,
        waiters: &[ProofWaiter],
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let floor = catalog.version().0;
        let mut children = Vec::new();
        for &waiter in waiters {
            match waiter {
                ProofWaiter::Hello(child) => children.push(child),
                ProofWaiter::Confirm {
                    child, request_id, ..
                } => {
                    steps.push(confirm_reply(child, request_id, Some(floor)));
                }
                ProofWaiter::Renewal => {}
            }
        }
        for child in &children {
            if let Some(record) = self.children.get_mut(child) {
                record.is_welcomed = true;
                record.floor = catalog.version();
            }
        }
        if children.is_empty() {
            return;
        }
        let group_id = self.group.0;
        let (parents, locations) = self.offered_parents.iter().cloned().unzip();
        let body = Body::Welcome(Welcome {
            group_id,
            floor,
            parents,
            locations,
        });
        steps.push(ParentStep::Send {
            children: children.clone(),
            body,
        });
        self.serve(now, &children, catalog, steps);
    }

    fn reject_waiters(
        &mut self,
        now: Timestamp,
        waiters: &[ProofWaiter],
        random: &mut SmallRng,
        steps: &mut Vec<ParentStep>,
    ) {
        for &waiter in waiters {
            match waiter {
                ProofWaiter::Hello(child) if self.may_hold(now, child) => {
                    self.held.insert(child);
                }
                ProofWaiter::Hello(child) => {
                    self.remove_record(child);
                    let delay = random.random_range(NOT_CURRENT_DELAY_MS);
                    let delay = Duration::from_millis(delay.into());
                    refuse_child(child, RetryReason::NotCurrent, delay, steps);
                }
                ProofWaiter::Confirm {
                    child, request_id, ..
                } => {
                    steps.push(confirm_reply(child, request_id, None));
                }
                ProofWaiter::Renewal => {}
            }
        }
    }

    /// Returns whether a child may wait for a leader. A child that holds a configuration serves
    /// meanwhile, and should find a parent that is current.
    fn may_hold(&self, now: Timestamp, child: ChildId) -> bool {
        self.children.get(&child).is_some_and(|record| {
            !record.holds_config() && now.since(record.hello_at) < HELLO_HOLD_TIME
        })
    }
}

pub(super) fn refuse_child(
    child: ChildId,
    reason: RetryReason,
    delay: Duration,
    steps: &mut Vec<ParentStep>,
) {
    let retry = RetryAfter {
        delay_ms: u32::try_from(delay.as_millis()).unwrap_or(u32::MAX),
        reason: reason as i32,
    };
    steps.push(send(child, Body::RetryAfter(retry)));
    steps.push(ParentStep::Close { child });
}
