//! What a holder knows of one key.
//!
//! A record is a set of facts: attempts that some holder granted, attempts that were released,
//! the attempt that finished, and whether some holder fenced the key. Facts are only added, so
//! merging two records is their union and the order of merges does not matter. A grant or a fence
//! is given from the whole set of facts, see [`KeyRecord::acquire`] and [`KeyRecord::fence`].

use kumquatlock_wire::call::AttemptId;
use kumquatlock_wire::claim::{ClaimOwner, ClaimRecord, ClaimState, ClaimVerdict};

use crate::core::Timestamp;

/// Released attempts that one key keeps. An attempt is released only after it lost a race or its
/// destination refused it; more than this many for one key is a caller in a loop.
pub const MAX_RELEASED_PER_KEY: usize = 32;

/// Facts about one key.
///
/// Invariant: a fact that a majority of a view's holders has recorded is recorded at every holder
/// that becomes active in a later view. `merge` never removes a fact, except that a release
/// removes the grant of the same attempt and a finish removes every other grant: the finished
/// attempt had a majority, so no other can ever have one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct KeyRecord {
    /// Attempts that some holder granted. Two only after a view change that met both.
    owners: Vec<ClaimOwner>,
    /// The only owner has finished.
    finished: bool,
    /// Some holder fenced the key.
    fenced: bool,
    /// Attempts whose destination proved that they never run.
    released: Vec<AttemptId>,
    /// Last change, on the holder's own clock.
    pub(super) touched: Timestamp,
}

impl KeyRecord {
    pub(super) fn is_claimed(&self) -> bool {
        !self.owners.is_empty() && !self.finished
    }

    /// Grants the key if no other attempt and no fence is on record.
    pub(super) fn acquire(&mut self, owner: &ClaimOwner) -> (ClaimVerdict, Option<ClaimOwner>) {
        if self.released.contains(&owner.attempt) {
            return (ClaimVerdict::Released, None);
        }
        if self.finished {
            return (self.refusal(owner), self.owners.first().cloned());
        }
        if let Some(other) = self.owners.iter().find(|other| *other != owner) {
            return (self.refusal(owner), Some(other.clone()));
        }
        if self.fenced {
            return (ClaimVerdict::Fenced, None);
        }
        if self.released.len() >= MAX_RELEASED_PER_KEY {
            return (ClaimVerdict::Capacity, None);
        }
        if self.owners.is_empty() {
            self.owners.push(owner.clone());
        }
        (ClaimVerdict::Granted, None)
    }

    fn refusal(&self, owner: &ClaimOwner) -> ClaimVerdict {
        let differs = |other: &ClaimOwner| other.request_digest != owner.request_digest;
        if self.owners.iter().any(differs) {
            ClaimVerdict::KeyReused
        } else if self.finished {
            ClaimVerdict::Finished
        } else {
            ClaimVerdict::Taken
        }
    }

    /// Fences the key if no attempt is on record.
    pub(super) fn fence(&mut self) -> (ClaimVerdict, Option<ClaimOwner>) {
        if let Some(owner) = self.owners.first() {
            let verdict = if self.finished {
                ClaimVerdict::Finished
            } else {
                ClaimVerdict::Taken
            };
            return (verdict, Some(owner.clone()));
        }
        self.fenced = true;
        (ClaimVerdict::Granted, None)
    }

    /// Records that the attempt never runs. False if too many are on record.
    pub(super) fn release(&mut self, attempt: &AttemptId) -> bool {
        if self.released.contains(attempt) {
            return true;
        }
        let owned = self.owners.iter().any(|owner| owner.attempt == *attempt);
        if owned && self.finished {
            return true;
        }
        // An owner is always released: refusing would block the key.
        if !owned && self.released.len() >= MAX_RELEASED_PER_KEY {
            return false;
        }
        self.owners.retain(|owner| owner.attempt != *attempt);
        self.released.push(attempt.clone());
        true
    }

    /// Records that the owner ran to its end.
    pub(super) fn finish(&mut self, owner: &ClaimOwner) {
        if !self.finished {
            self.owners.clear();
            self.owners.push(owner.clone());
            self.finished = true;
        }
    }

    /// Adds the facts of another holder's record.
    pub(super) fn merge(&mut self, other: KeyRecord) {
        self.touched = self.touched.max(other.touched);
        self.fenced |= other.fenced;
        for attempt in other.released {
            if !self.released.contains(&attempt) {
                self.released.push(attempt);
            }
        }
        if self.finished {
            return;
        }
        if other.finished {
            self.owners = other.owners;
            self.finished = true;
            return;
        }
        for owner in other.owners {
            if !self.owners.contains(&owner) {
                self.owners.push(owner);
            }
        }
        let released = &self.released;
        self.owners
            .retain(|owner| !released.contains(&owner.attempt));
    }

    pub(super) fn to_wire(&self, key: &str, now: Timestamp) -> ClaimRecord {
        let state = match (self.owners.is_empty(), self.finished, self.fenced) {
            (false, true, _) => ClaimState::Finished,
            (false, false, _) => ClaimState::Claimed,
            (true, _, true) => ClaimState::Fenced,
            (true, _, false) => ClaimState::Free,
        };
        ClaimRecord {
            key: key.to_owned(),
            state: state as i32,
            owner: self.owners.first().cloned(),
            released: self.released.clone(),
            age_ms: now.since(self.touched).as_millis() as u64,
            contenders: self.owners.iter().skip(1).cloned().collect(),
            fenced: self.fenced,
        }
    }

    pub(super) fn from_wire(record: ClaimRecord, now: Timestamp) -> (String, Self) {
        let mut owners: Vec<ClaimOwner> = record.owner.into_iter().collect();
        owners.extend(record.contenders);
        let touched = Timestamp(now.0.saturating_sub(record.age_ms.saturating_mul(1_000)));
        let facts = KeyRecord {
            finished: record.state == ClaimState::Finished as i32 && !owners.is_empty(),
            owners,
            fenced: record.fenced,
            released: record.released,
            touched,
        };
        (record.key, facts)
    }
}
