//! Replication progress of each peer, as tracked by the leader.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use kumquatlock_wire::agreement::VoterIdentity;

use super::read_index::ReadIndexQueue;
use super::transfer::LeadershipTransfer;
use super::types::ProposalTicket;
use crate::core::{SharedName, Timestamp};
use crate::journal::StoredSnapshot;

/// How the leader replicates the log to one peer.
#[derive(Clone, Debug)]
pub(super) enum ReplicationMode {
    /// The last index at which the logs match is unknown. Only empty appends are sent.
    Probing,
    /// Batches of entries are sent, one at a time.
    Replicating {
        /// Last index and sending time of the batch that is not acknowledged yet.
        in_flight: Option<(u64, Timestamp)>,
    },
    /// The peer needs entries that are compacted, so it is sent the snapshot.
    SendingSnapshot {
        snapshot: Arc<StoredSnapshot>,
        offset: u64,
        sent_at: Timestamp,
    },
}

/// Replication progress of one peer of the leader.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// Disk identity that the other fields belong to; `None` before the first answer.
    pub(super) disk_id: Option<u64>,
    /// Heartbeat round of the first answer from this disk identity.
    pub(super) first_round: u64,
    /// Highest heartbeat round that this disk identity has answered.
    pub(super) acked_round: u64,
    /// Last index up to which the peer's log is known to be synced and equal to the leader's log.
    pub(super) match_index: u64,
    /// Next index to send. Greater than `match_index`.
    pub(super) next_index: u64,
    /// Highest commit index that an append has conveyed to the peer. An append conveys no index
    /// beyond its own last entry, because the peer's later entries may differ from the leader's.
    pub(super) sent_commit_index: u64,
    pub(super) last_contact: Timestamp,
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
            sent_commit_index: 0,
            last_contact: now,
            mode: ReplicationMode::Probing,
        }
    }

    /// Records an answer. Returns whether the rest of the answer applies to this progress.
    ///
    /// An answer from another disk identity resets the progress, but only if it answers a later
    /// round than the last answered one: a delayed answer from a lost disk must not displace the
    /// disk that replaced it.
    pub(super) fn record_contact(
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
        self.last_contact = now;
        true
    }

    pub(super) fn record_match(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.match_index + 1;
        let in_flight = match &self.mode {
            ReplicationMode::Replicating { in_flight } => *in_flight,
            ReplicationMode::Probing | ReplicationMode::SendingSnapshot { .. } => None,
        };
        let in_flight = in_flight.filter(|(last, _)| *last > self.match_index);
        self.mode = ReplicationMode::Replicating { in_flight };
    }

    /// Moves the next index back after a mismatch. `hint` is the last index that may match.
    /// Returns whether there is an earlier index to probe immediately. After a duplicate answer
    /// there is none.
    pub(super) fn record_mismatch(&mut self, hint: u64) -> bool {
        if matches!(self.mode, ReplicationMode::SendingSnapshot { .. }) {
            return false;
        }
        let next_index = (hint + 1).clamp(self.match_index + 1, self.next_index);
        let is_earlier = next_index < self.next_index;
        self.next_index = next_index;
        self.sent_commit_index = self.sent_commit_index.min(self.match_index);
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

/// State that exists only while this instance is the leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: IndexMap<SharedName, PeerProgress>,
    /// Index of the first entry that this leader appended in its term. Once that entry is
    /// committed, all earlier entries are committed too.
    pub(super) term_start_index: u64,
    /// Proposals that wait for their commit, in ascending order of indices.
    pub(super) proposals: VecDeque<PendingProposal>,
    /// Total payload of `proposals`, in bytes.
    pub(super) proposal_bytes: usize,
    pub(super) reads: ReadIndexQueue,
    /// Number of the latest heartbeat round.
    pub(super) round: u64,
    pub(super) next_heartbeat: Timestamp,
    pub(super) transfer: Option<LeadershipTransfer>,
}

impl LeaderState {
    /// Returns a value from the progress of a voter, or zero if the leader has no progress of this
    /// disk identity.
    pub(super) fn progress_value(
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
