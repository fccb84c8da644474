//! The record of one key at a holder.
//!
//! A record is a set of facts: attempts that some holder granted, attempts that were released, the
//! attempt that finished, and whether some holder fenced the key. Facts are only added, so merging
//! two records is their union and the order of merges does not matter. A grant or a fence is
//! decided from the whole set of facts, see [`KeyRecord::acquire`] and [`KeyRecord::fence`].

use std::sync::Arc;

use indexmap::{Equivalent, IndexSet};
use kumquatlock_wire::call::AttemptId;
use kumquatlock_wire::claim::{ClaimOwner, ClaimRecord, ClaimState, ClaimVerdict, ShardHolder};
use prost::Message;

use crate::core::{Timestamp, stable_hash};

/// Borrowed lookup key for a [`ShardHolder`], which avoids copying the name. Must hash the same
/// fields in the same order.
#[derive(Hash)]
struct ProcessRef<'a> {
    name: &'a str,
    incarnation: u64,
}

impl Equivalent<Arc<ShardHolder>> for ProcessRef<'_> {
    fn equivalent(&self, known: &Arc<ShardHolder>) -> bool {
        known.incarnation == self.incarnation && known.name == self.name
    }
}

/// Interns process names for the records of one holder. A claim names two processes, and many
/// claims name the same ones.
#[derive(Debug, Default)]
pub(super) struct ProcessInterner {
    names: IndexSet<Arc<ShardHolder>>,
}

impl ProcessInterner {
    fn intern(&mut self, name: &str, incarnation: u64) -> Arc<ShardHolder> {
        if let Some(known) = self.names.get(&ProcessRef { name, incarnation }) {
            return known.clone();
        }
        let process = Arc::new(ShardHolder {
            name: name.to_owned(),
            incarnation,
        });
        self.names.insert(process.clone());
        process
    }

    /// Drops the names that no record uses.
    pub(super) fn drop_unused(&mut self) {
        self.names.retain(|name| Arc::strong_count(name) > 1);
    }
}

/// A [`ClaimOwner`] with interned names.
#[derive(Clone, Debug, PartialEq)]
struct RecordOwner {
    entry: Arc<ShardHolder>,
    call_id: u64,
    attempt: u32,
    destination: Arc<ShardHolder>,
    request_digest: u64,
}

impl RecordOwner {
    fn new(owner: &ClaimOwner, interner: &mut ProcessInterner) -> Self {
        let attempt = &owner.attempt;
        RecordOwner {
            entry: interner.intern(&attempt.entry, attempt.entry_incarnation),
            call_id: attempt.call_id,
            attempt: attempt.attempt,
            destination: interner.intern(&owner.destination, owner.destination_incarnation),
            request_digest: owner.request_digest,
        }
    }

    fn matches_attempt(&self, attempt: &AttemptId) -> bool {
        self.call_id == attempt.call_id
            && self.attempt == attempt.attempt
            && self.entry.incarnation == attempt.entry_incarnation
            && self.entry.name == attempt.entry
    }

    fn matches_owner(&self, owner: &ClaimOwner) -> bool {
        self.matches_attempt(&owner.attempt)
            && self.request_digest == owner.request_digest
            && self.destination.incarnation == owner.destination_incarnation
            && self.destination.name == owner.destination
    }

    fn to_wire(&self) -> ClaimOwner {
        ClaimOwner {
            attempt: AttemptId {
                entry: self.entry.name.clone(),
                entry_incarnation: self.entry.incarnation,
                call_id: self.call_id,
                attempt: self.attempt,
            },
            destination: self.destination.name.clone(),
            destination_incarnation: self.destination.incarnation,
            request_digest: self.request_digest,
        }
    }
}

/// Maximum number of released attempts that the record of one key stores. An attempt is released
/// only after it lost a race or its destination refused it, so more than this many for one key come
/// from a caller in a loop.
pub const MAX_RELEASED_PER_KEY: usize = 32;

/// Facts about one key.
///
/// Invariant: a fact that a majority of a view's holders has recorded is recorded at every holder
/// that becomes active in a later view. `merge` never removes a fact, with two exceptions: a
/// release removes the grant of the same attempt, and a finish removes every other grant, because
/// the finished attempt had a majority and no other attempt can ever have one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct KeyRecord {
    /// Attempts that some holder granted. More than one only after a view change that found
    /// several.
    owners: Vec<RecordOwner>,
    /// Whether the only owner has finished.
    finished: bool,
    /// Whether some holder fenced the key.
    fenced: bool,
    /// Attempts whose destination proved that they never run.
    released: Vec<AttemptId>,
    /// Time of the last change, by the holder's own clock.
    pub(super) changed_at: Timestamp,
}

impl KeyRecord {
    /// Grants the key if no other attempt and no fence is on record.
    pub(super) fn acquire(
        &mut self,
        owner: &ClaimOwner,
        interner: &mut ProcessInterner,
    ) -> (ClaimVerdict, Option<ClaimOwner>) {
        if self.released.contains(&owner.attempt) {
            return (ClaimVerdict::Released, None);
        }
        if self.finished {
            return (self.refusal_verdict(owner), self.first_owner());
        }
        if let Some(other) = self.owners.iter().find(|other| !other.matches_owner(owner)) {
            return (self.refusal_verdict(owner), Some(other.to_wire()));
        }
        if self.fenced {
            return (ClaimVerdict::Fenced, None);
        }
        if self.released.len() >= MAX_RELEASED_PER_KEY {
            return (ClaimVerdict::Capacity, None);
        }
        if self.owners.is_empty() {
            self.add_owner(RecordOwner::new(owner, interner));
        }
        (ClaimVerdict::Granted, None)
    }

    fn first_owner(&self) -> Option<ClaimOwner> {
        self.owners.first().map(RecordOwner::to_wire)
    }

    /// Adds an owner. Reserves exactly one slot, because most keys have one owner and default
    /// growth would allocate four.
    fn add_owner(&mut self, owner: RecordOwner) {
        self.owners.reserve_exact(1);
        self.owners.push(owner);
    }

    fn refusal_verdict(&self, owner: &ClaimOwner) -> ClaimVerdict {
        let differs = |other: &RecordOwner| other.request_digest != owner.request_digest;
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
        if let Some(owner) = self.first_owner() {
            let verdict = if self.finished {
                ClaimVerdict::Finished
            } else {
                ClaimVerdict::Taken
            };
            return (verdict, Some(owner));
        }
        self.fenced = true;
        (ClaimVerdict::Granted, None)
    }

    /// Records that the attempt never runs. Returns false if too many releases are on record.
    pub(super) fn release(&mut self, attempt: &AttemptId) -> bool {
        if self.released.contains(attempt) {
            return true;
        }
        let owned = self
            .owners
            .iter()
            .any(|owner| owner.matches_attempt(attempt));
        if owned && self.finished {
            return true;
        }
        // The owner can always be released, because refusing its release would block the key.
        if !owned && self.released.len() >= MAX_RELEASED_PER_KEY {
            return false;
        }
        self.owners.retain(|owner| !owner.matches_attempt(attempt));
        self.released.push(attempt.clone());
        true
    }

    /// Records that the owner has finished its run.
    pub(super) fn finish(&mut self, owner: &ClaimOwner, interner: &mut ProcessInterner) {
        if !self.finished {
            self.owners.clear();
            self.add_owner(RecordOwner::new(owner, interner));
            self.finished = true;
        }
    }

    /// Adds the facts of another holder's record.
    pub(super) fn merge(&mut self, other: KeyRecord) {
        self.changed_at = self.changed_at.max(other.changed_at);
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
                self.add_owner(owner);
            }
        }
        let released = &self.released;
        self.owners.retain(|owner| {
            !released
                .iter()
                .any(|attempt| owner.matches_attempt(attempt))
        });
    }

    /// Returns a hash of the key and its facts, without the time of the last change. Equal sets of
    /// facts give equal hashes, regardless of the order in which they were learned.
    pub(super) fn digest(&self, key: &str) -> u64 {
        let owners = self.owners.iter().map(|owner| {
            let bytes = owner.to_wire().encode_to_vec();
            stable_hash(&bytes)
        });
        let released = self.released.iter();
        let released = released.map(|attempt| !stable_hash(&attempt.encode_to_vec()));
        let facts = owners.chain(released).fold(0, u64::wrapping_add);
        let mut bytes = Vec::with_capacity(key.len() + 10);
        bytes.extend_from_slice(&facts.to_le_bytes());
        bytes.extend_from_slice(&[u8::from(self.finished), u8::from(self.fenced)]);
        bytes.extend_from_slice(key.as_bytes());
        stable_hash(&bytes)
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
            owner: self.first_owner(),
            released: self.released.clone(),
            age_ms: now.since(self.changed_at).as_millis() as u64,
            contenders: self
                .owners
                .iter()
                .skip(1)
                .map(RecordOwner::to_wire)
                .collect(),
            fenced: self.fenced,
        }
    }

    pub(super) fn from_wire(
        record: ClaimRecord,
        now: Timestamp,
        interner: &mut ProcessInterner,
    ) -> (String, Self) {
        let owners = record.owner.iter().chain(&record.contenders);
        let mut owners: Vec<_> = owners
            .map(|owner| RecordOwner::new(owner, interner))
            .collect();
        owners.shrink_to_fit();
        let changed_at = Timestamp(now.0.saturating_sub(record.age_ms.saturating_mul(1_000)));
        let facts = KeyRecord {
            finished: record.state == ClaimState::Finished as i32 && !owners.is_empty(),
            owners,
            fenced: record.fenced,
            released: record.released,
            changed_at,
        };
        (record.key, facts)
    }
}
