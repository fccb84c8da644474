//! Voter sets, and which votes and acknowledgements count in them.

use indexmap::IndexSet;
use kumquatlock_wire::agreement::{EntryKind, LogEntry, VoterIdentity, VoterSet};
use prost::Message;

/// The committed voter set and the uncommitted voter sets after it in the log.
#[derive(Debug, Default)]
pub(super) struct VoterState {
    committed: VoterSet,
    committed_index: u64,
    /// Uncommitted sets in the log after `committed_index`, with their indices. A leader adds at
    /// most one.
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

    pub(super) fn has_pending_set(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the disk identity of the named voter in the committed set.
    pub(super) fn disk_id(&self, name: &str) -> Option<u64> {
        self.committed
            .voters
            .iter()
            .find(|voter| voter.name == name)
            .map(|voter| voter.disk_id)
    }

    /// Returns the committed set and all pending sets.
    fn sets(&self) -> impl Iterator<Item = &VoterSet> {
        let pending = self.pending.iter().map(|(_, set)| set);
        std::iter::once(&self.committed).chain(pending)
    }

    /// Returns the identities of the committed set and all pending sets. An identity that is in
    /// several sets occurs several times.
    pub(super) fn identities(&self) -> impl Iterator<Item = &VoterIdentity> {
        self.sets().flat_map(|set| &set.voters)
    }

    /// Whether the identity is in the committed set or a pending set, and so may vote.
    pub(super) fn contains(&self, identity: &VoterIdentity) -> bool {
        self.sets().any(|set| set.voters.contains(identity))
    }

    /// Whether any set contains a voter of this name, with any disk identity.
    pub(super) fn contains_name(&self, name: &str) -> bool {
        self.identities().any(|voter| voter.name == name)
    }

    /// Whether a vote or acknowledgement from this identity counts in all sets.
    ///
    /// While the replacement of a disk is uncommitted, neither the old nor the new identity counts:
    /// a vote that was given by the old disk must never be combined with an acknowledgement from
    /// the new disk.
    pub(super) fn counts_in_all_sets(&self, identity: &VoterIdentity) -> bool {
        self.sets().all(|set| set.voters.contains(identity))
    }

    /// Whether any set contains a voter of the same name with another disk identity. Such an
    /// identity counts in no quorum.
    fn has_conflicting_disk(&self, identity: &VoterIdentity) -> bool {
        let mut others = self.identities();
        others.any(|other| other.name == identity.name && other.disk_id != identity.disk_id)
    }

    /// Whether the identities are a majority of the committed set and of each pending set.
    pub(super) fn is_quorum<'a>(
        &self,
        identities: impl IntoIterator<Item = &'a VoterIdentity>,
    ) -> bool {
        let counted: IndexSet<&VoterIdentity> = identities
            .into_iter()
            .filter(|identity| !self.has_conflicting_disk(identity))
            .collect();
        self.sets().all(|set| {
            let votes = set.voters.iter().filter(|voter| counted.contains(voter));
            votes.count() >= quorum_size(set)
        })
    }

    /// Returns the highest value that a majority of the committed set and a majority of each
    /// pending set have reached.
    pub(super) fn quorum_value(&self, value: impl Fn(&VoterIdentity) -> u64) -> u64 {
        let reached = |set: &VoterSet| {
            let counted = set
                .voters
                .iter()
                .filter(|voter| !self.has_conflicting_disk(voter));
            let mut values: Vec<u64> = counted.map(&value).collect();
            values.sort_unstable_by(|left, right| right.cmp(left));
            values.get(quorum_size(set) - 1).copied().unwrap_or(0)
        };
        self.sets().map(reached).min().unwrap_or(0)
    }

    /// Records an entry that was appended to the log.
    pub(super) fn record_appended(&mut self, entry: &LogEntry) {
        if entry.index <= self.committed_index {
            return;
        }
        if let Some(set) = decode_voter_set(entry) {
            self.pending.push((entry.index, set));
        }
    }

    pub(super) fn record_truncated(&mut self, from: u64) {
        self.pending.retain(|(index, _)| *index < from);
    }

    /// Records that an entry is committed. Returns whether the committed set changed.
    pub(super) fn record_committed(&mut self, entry: &LogEntry) -> bool {
        if entry.index <= self.committed_index {
            return false;
        }
        let Some(set) = decode_voter_set(entry) else {
            return false;
        };
        self.committed = set;
        self.committed_index = entry.index;
        self.pending.retain(|(index, _)| *index > entry.index);
        true
    }

    /// Returns the committed set with an additional voter, which replaces the voter `lost` if that
    /// is given.
    pub(super) fn with_added_voter(&self, identity: VoterIdentity, lost: Option<&str>) -> VoterSet {
        let mut set = self.committed.clone();
        set.voters.retain(|voter| Some(voter.name.as_str()) != lost);
        set.voters.push(identity);
        set
    }

    /// Returns the committed set with `identity` in place of the identity that has the same name.
    pub(super) fn with_replaced_disk(&self, identity: &VoterIdentity) -> VoterSet {
        let mut set = self.committed.clone();
        for voter in &mut set.voters {
            if voter.name == identity.name {
                voter.disk_id = identity.disk_id;
            }
        }
        set
    }
}

fn quorum_size(set: &VoterSet) -> usize {
    set.voters.len() / 2 + 1
}

fn decode_voter_set(entry: &LogEntry) -> Option<VoterSet> {
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
