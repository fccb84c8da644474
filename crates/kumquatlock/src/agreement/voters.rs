//! Which votes and acknowledgements count.

use indexmap::IndexSet;
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

    /// The committed set and those in the log behind it.
    fn sets(&self) -> impl Iterator<Item = &VoterSet> {
        let pending = self.pending.iter().map(|(_, set)| set);
        std::iter::once(&self.committed).chain(pending)
    }

    /// Every identity of a committed or pending set; some are named more than once.
    pub(super) fn identities(&self) -> impl Iterator<Item = &VoterIdentity> {
        self.sets().flat_map(|set| &set.voters)
    }

    /// Whether the identity is in the committed set or in one behind it. Such an instance votes.
    pub(super) fn contains(&self, identity: &VoterIdentity) -> bool {
        self.sets().any(|set| set.voters.contains(identity))
    }

    /// Whether a set names the instance, with whatever disk.
    pub(super) fn names(&self, name: &str) -> bool {
        self.identities().any(|voter| voter.name == name)
    }

    /// Whether a vote or acknowledgement of this identity counts in all sets.
    ///
    /// While a replaced disk is in the log, neither the old nor the new identity counts: a vote
    /// that the old disk gave must never be combined with an acknowledgement of the new one.
    pub(super) fn counts(&self, identity: &VoterIdentity) -> bool {
        self.sets().all(|set| set.voters.contains(identity))
    }

    /// Whether another set names the same instance with another disk.
    fn is_ambiguous(&self, identity: &VoterIdentity) -> bool {
        let mut others = self.identities();
        others.any(|other| other.name == identity.name && other.disk_id != identity.disk_id)
    }

    /// Whether the identities hold a majority of the committed set and of each set behind it.
    pub(super) fn is_quorum<'a>(
        &self,
        identities: impl IntoIterator<Item = &'a VoterIdentity>,
    ) -> bool {
        let counted: IndexSet<&VoterIdentity> = identities
            .into_iter()
            .filter(|identity| !self.is_ambiguous(identity))
            .collect();
        self.sets().all(|set| {
            let votes = set.voters.iter().filter(|voter| counted.contains(voter));
            votes.count() >= quorum_of(set)
        })
    }

    /// Highest value that a majority of the committed set and of each set behind it has reached.
    pub(super) fn quorum_value(&self, value: impl Fn(&VoterIdentity) -> u64) -> u64 {
        let reached = |set: &VoterSet| {
            let counted = set.voters.iter().filter(|voter| !self.is_ambiguous(voter));
            let mut values: Vec<u64> = counted.map(&value).collect();
            values.sort_unstable_by(|left, right| right.cmp(left));
            values.get(quorum_of(set) - 1).copied().unwrap_or(0)
        };
        self.sets().map(reached).min().unwrap_or(0)
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

    /// The committed set with one more voter, which takes the place of `lost` if there is one.
    pub(super) fn extended(&self, identity: VoterIdentity, lost: Option<&str>) -> VoterSet {
        let mut set = self.committed.clone();
        set.voters.retain(|voter| Some(voter.name.as_str()) != lost);
        set.voters.push(identity);
        set
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

fn quorum_of(set: &VoterSet) -> usize {
    set.voters.len() / 2 + 1
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
