//! Which votes and acknowledgements count.

use kumquatlock_wire::agreement::{EntryKind, LogEntry, VoterIdentity, VoterSet};
use prost::Message;

/// The committed voter set and those in the log behind it.
#[derive(Debug, Default)]
pub(super) struct VoterState {
    committed: VoterSet,
    committed_index: u64,
    /// Sets in the log after `committed_index`, by index. A leader adds at most one.
    pending: Vec<(u64, VoterSet)>,
}

impl VoterState {
    pub(super) fn new(committed: VoterSet, committed_index: u64) -> Self {
        VoterState {
            committed,
            committed_index,
            pending: Vec::new(),
        }
    }

    pub(super) fn committed(&self) -> &VoterSet {
        &self.committed
    }

    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Disk identity of the named voter in the committed set.
    pub(super) fn disk_id(&self, name: &str) -> Option<u64> {
        self.committed
            .voters
            .iter()
            .find(|voter| voter.name == name)
            .map(|voter| voter.disk_id)
    }

    pub(super) fn is_committed(&self, identity: &VoterIdentity) -> bool {
        self.committed.voters.contains(identity)
    }

    /// Whether a vote or acknowledgement of this identity counts.
    ///
    /// While a replacement is in the log, neither the old nor the new identity counts: a vote
    /// that the old disk gave must never be combined with an acknowledgement of the new one.
    pub(super) fn counts(&self, identity: &VoterIdentity) -> bool {
        self.is_committed(identity)
            && self
                .pending
                .iter()
                .all(|(_, set)| set.voters.contains(identity))
    }

    /// Number of counted voters that decide. Sets differ in identities only, never in size.
    pub(super) fn quorum(&self) -> usize {
        self.committed.voters.len() / 2 + 1
    }

    pub(super) fn is_quorum<'a>(
        &self,
        identities: impl IntoIterator<Item = &'a VoterIdentity>,
    ) -> bool {
        let counted = identities
            .into_iter()
            .filter(|identity| self.counts(identity))
            .count();
        counted >= self.quorum()
    }

    /// Highest value that a quorum of counted voters has reached.
    pub(super) fn quorum_value(&self, value: impl Fn(&VoterIdentity) -> u64) -> u64 {
        let mut values: Vec<u64> = self
            .committed
            .voters
            .iter()
            .filter(|voter| self.counts(voter))
            .map(value)
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Notes an entry added to the log.
    pub(super) fn note_appended(&mut self, entry: &LogEntry) {
        if entry.index <= self.committed_index {
            return;
        }
        if let Some(set) = decode_set(entry) {
            self.pending.push((entry.index, set));
        }
    }

    pub(super) fn note_truncated(&mut self, from: u64) {
        self.pending.retain(|(index, _)| *index < from);
    }

    /// Notes that an entry is committed; returns whether the committed set changed.
    pub(super) fn note_committed(&mut self, entry: &LogEntry) -> bool {
        if entry.index <= self.committed_index {
            return false;
        }
        let Some(set) = decode_set(entry) else {
            return false;
        };
        self.committed = set;
        self.committed_index = entry.index;
        self.pending.retain(|(index, _)| *index > entry.index);
        true
    }

    /// The committed set in which `identity` replaces the one recorded for its name.
    pub(super) fn replaced(&self, identity: &VoterIdentity) -> VoterSet {
        let mut set = self.committed.clone();
        for voter in &mut set.voters {
            if voter.name == identity.name {
                voter.disk_id = identity.disk_id;
            }
        }
        set
    }
}

fn decode_set(entry: &LogEntry) -> Option<VoterSet> {
    if entry.kind != EntryKind::VoterSet as i32 {
        return None;
    }
    match VoterSet::decode(entry.payload.clone()) {
        Ok(set) => Some(set),
        Err(error) => {
            ::log::error!(index = entry.index, error:% = error; "voter_set_invalid");
            None
        }
    }
}
