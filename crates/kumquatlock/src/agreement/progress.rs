//! What the leader knows of each other voter.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use kumquatlock_wire::agreement::VoterIdentity;

use super::currency::CurrencyQueue;
use super::transfer::LeadershipTransfer;
use super::types::ProposalTicket;
use crate::core::{SharedName, Timestamp};
use crate::journal::StoredSnapshot;

/// How the leader feeds one voter.
#[derive(Clone, Debug)]
pub(super) enum ReplicationMode {
    /// The matching point is unknown: only empty appends are sent.
    Probing,
    /// Batches are sent, one at a time.
    Replicating {
        /// Last index and time of the batch that is not yet acknowledged.
        outstanding: Option<(u64, Timestamp)>,
    },
    /// The voter needs entries from before the base of the log.
    SendingSnapshot {
        snapshot: Arc<StoredSnapshot>,
        offset: u64,
        sent_at: Timestamp,
    },
}

/// One voter other than the leader.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// Disk identity that the rest of the state belongs to; `None` before the first answer.
    pub(super) disk_id: Option<u64>,
    /// Round in which the identity was first heard.
    pub(super) first_round: u64,
    /// Highest round that the identity answered.
    pub(super) acked_round: u64,
    /// Last index known to be synced there and equal to the leader's.
    pub(super) match_index: u64,
    /// Next index to send. Greater than `match_index`.
    pub(super) next_index: u64,
    /// Highest index that the latest append lets the voter commit.
    pub(super) told_commit: u64,
    pub(super) last_heard: Timestamp,
    pub(super) mode: ReplicationMode,
}

impl PeerProgress {
    pub(super) fn new(last_index: u64, now: Timestamp) -> Self {
        PeerProgress {
            disk_id: None,
            first_round: 0,
            acked_round: 0,
            match_index: 0,
            next_index: last_index + 1,
            told_commit: 0,
            last_heard: now,
            mode: ReplicationMode::Probing,
        }
    }

    /// Notes an answer. Returns whether the rest of the answer applies to this state.
    ///
    /// Another disk identity starts from nothing, and only if it answers a later round than the
    /// one known: a delayed answer of a lost disk must not displace its successor.
    pub(super) fn note_heard(
        &mut self,
        disk_id: u64,
        round: u64,
        last_index: u64,
        now: Timestamp,
    ) -> bool {
        if self.disk_id != Some(disk_id) {
            if self.disk_id.is_some() && round <= self.acked_round {
                return false;
            }
            *self = PeerProgress::new(last_index, now);
            self.disk_id = Some(disk_id);
            self.first_round = round;
        }
        self.acked_round = self.acked_round.max(round);
        self.last_heard = now;
        true
    }

    pub(super) fn note_matched(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.match_index + 1;
        let outstanding = match &self.mode {
            ReplicationMode::Replicating { outstanding } => *outstanding,
            ReplicationMode::Probing | ReplicationMode::SendingSnapshot { .. } => None,
        };
        let outstanding = outstanding.filter(|(last, _)| *last > self.match_index);
        self.mode = ReplicationMode::Replicating { outstanding };
    }

    /// Whether the voter holds committed entries that no append has let it commit, and nothing is
    /// under way that will.
    pub(super) fn lacks_commit(&self, commit_index: u64) -> bool {
        matches!(
            self.mode,
            ReplicationMode::Replicating { outstanding: None }
        ) && self.match_index.min(commit_index) > self.told_commit
    }

    /// Goes back after a mismatch; `hint` is the last index that may match. Returns whether there
    /// is an earlier index to probe at once; a doubled answer gives none.
    pub(super) fn note_mismatch(&mut self, hint: u64) -> bool {
        if matches!(self.mode, ReplicationMode::SendingSnapshot { .. }) {
            return false;
        }
        let next_index = (hint + 1).clamp(self.match_index + 1, self.next_index);
        let is_earlier = next_index < self.next_index;
        self.next_index = next_index;
        self.mode = ReplicationMode::Probing;
        is_earlier
    }
}

/// A proposal that waits for its commit.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProposal {
    pub(super) index: u64,
    pub(super) ticket: ProposalTicket,
    pub(super) bytes: usize,
}

/// State that exists only while this instance leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: IndexMap<SharedName, PeerProgress>,
    /// Index of this leader's first entry. Once it is committed, so is all before it.
    pub(super) first_index: u64,
    /// By ascending index.
    pub(super) proposals: VecDeque<PendingProposal>,
    /// Payload bytes of `proposals`.
    pub(super) proposal_bytes: usize,
    pub(super) currency: CurrencyQueue,
    /// Number of the latest heartbeat round.
    pub(super) round: u64,
    pub(super) next_heartbeat: Timestamp,
    pub(super) transfer: Option<LeadershipTransfer>,
}

impl LeaderState {
    /// Value of the named voter, if its present disk identity is the given one.
    pub(super) fn value_of(
        &self,
        identity: &VoterIdentity,
        value: impl Fn(&PeerProgress) -> u64,
    ) -> u64 {
        self.progress
            .get(identity.name.as_str())
            .filter(|progress| progress.disk_id == Some(identity.disk_id))
            .map_or(0, value)
    }
}
