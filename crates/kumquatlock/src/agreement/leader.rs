//! The leader: proposals, appends, commits, check-quorum and proposed voter sets.

use std::collections::VecDeque;

use bytes::Bytes;
use kumquatlock_wire::agreement::{
    AppendReply, AppendRequest, EntryKind, LogEntry, VoterIdentity, VoterSet, peer_message::Kind,
};
use prost::Message;

use super::machine::{AgreementEngine, RoleState};
use super::outbox::WriteEffect;
use super::progress::{LeaderState, PeerProgress, PendingProposal, ReplicationMode};
use super::read_index::ReadIndexQueue;
use super::types::{
    AgreementAction, PersistFailure, ProposalError, ProposalTicket, ReadIndexError,
};
use super::{MAX_ENTRY_BYTES, MAX_PENDING_PROPOSAL_BYTES, MAX_PENDING_PROPOSALS};
use crate::core::{SharedName, Timestamp};
use crate::journal::JournalWrite;

impl AgreementEngine {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let last_index = self.log.last_index();
        let peers = self.peers().into_iter();
        self.leader_state = Some(LeaderState {
            progress: peers
                .map(|peer| (peer, PeerProgress::new(last_index, now)))
                .collect(),
            term_start_index: last_index + 1,
            proposals: VecDeque::new(),
            proposal_bytes: 0,
            reads: ReadIndexQueue::default(),
            round: 0,
            next_heartbeat: now,
            transfer: None,
        });
        self.role = RoleState::Leader;
        self.leader = Some(self.settings.name.clone());
        self.incoming_snapshot = None;
        self.append_as_leader(EntryKind::Noop, Bytes::new());
        self.broadcast_heartbeat(now);
    }

    /// Cleans up after this instance has stepped down as leader: issues writes for the entries that
    /// it has not written yet, and fails the proposals and read-index requests that wait.
    pub(super) fn fail_pending_requests(&mut self, state: LeaderState) {
        while self.written_index < self.log.last_index() {
            self.persist_batch();
        }
        for proposal in state.proposals {
            self.actions.push(AgreementAction::AnswerProposal {
                ticket: proposal.ticket,
                result: Err(ProposalError::LostLeadership),
            });
        }
        for ticket in state.reads.tickets() {
            let result = Err(ReadIndexError::LostLeadership);
            self.actions
                .push(AgreementAction::AnswerReadIndex { ticket, result });
        }
        self.leader = None;
    }

    pub(super) fn on_leader_tick(&mut self, now: Timestamp) {
        let timeout = self.settings.election_timeout_min;
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let own = &self.identity;
        let responsive = self.voters.identities().filter(|voter| {
            let is_responsive = state.progress.get(voter.name.as_str()).is_some_and(|peer| {
                let is_same_disk = peer.disk_id.is_none_or(|disk_id| disk_id == voter.disk_id);
                is_same_disk && now.since(peer.last_contact) < timeout
            });
            *voter == own || is_responsive
        });
        if !self.voters.is_quorum(responsive) {
            log::warn!("stepped_down_without_quorum");
            return self.become_follower(now, self.metadata.term);
        }
        if state
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            state.transfer = None;
        }
        if now >= state.next_heartbeat {
            self.broadcast_heartbeat(now);
            self.continue_transfer();
        }
        for peer in self.peers() {
            self.send_entries(now, &peer);
        }
        self.remove_silent_learners(now);
        self.propose_voter_change(now);
    }

    /// Starts a new heartbeat round and sends a heartbeat to every peer.
    pub(super) fn broadcast_heartbeat(&mut self, now: Timestamp) {
        let interval = self.settings.heartbeat_interval;
        let commit_index = self.commit_index;
        let Some(state) = &mut self.leader_state else {
            return;
        };
        state.round += 1;
        state.next_heartbeat = now + interval;
        if commit_index >= state.term_start_index {
            state.reads.start_round(state.round, commit_index);
        }
        for peer in self.peers() {
            self.send_append(&peer, Vec::new());
        }
        self.answer_confirmed_reads(now);
    }

    /// Sends the next batch or snapshot chunk to a peer, unless an earlier one is unacknowledged.
    pub(super) fn send_entries(&mut self, now: Timestamp, peer: &SharedName) {
        let resend = self.settings.resend_interval;
        let (base_index, last_index) = (self.log.base_index(), self.log.last_index());
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = state.progress.get_mut(peer) else {
            return;
        };
        match &progress.mode {
            ReplicationMode::SendingSnapshot { sent_at, .. } => {
                // A chunk is resent only if the peer has answered any message since. Resending to a
                // peer that does not even answer heartbeats would waste bandwidth.
                let has_answered = progress.last_contact > *sent_at;
                if has_answered && now.since(*sent_at) >= resend {
                    self.send_chunk(now, peer);
                }
            }
            // The next entry for the peer is compacted, so the leader could not send the entries
            // that the answer to a probe would ask for.
            _ if progress.next_index <= base_index && progress.disk_id.is_some() => {
                self.start_snapshot(now, peer);
            }
            ReplicationMode::Probing => {}
            ReplicationMode::Replicating {
                in_flight: Some((_, sent_at)),
            } => {
                if now.since(*sent_at) >= resend {
                    progress.mode = ReplicationMode::Probing;
                }
            }
            ReplicationMode::Replicating { in_flight: None } => {
                if progress.next_index > last_index {
                    return;
                }
                let entries = self.log.batch(progress.next_index);
                let last = progress.next_index + entries.len() as u64 - 1;
                progress.mode = ReplicationMode::Replicating {
                    in_flight: Some((last, now)),
                };
                self.send_append(peer, entries);
            }
        }
    }

    fn send_append(&mut self, peer: &SharedName, entries: Vec<LogEntry>) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = state.progress.get_mut(peer) else {
            return;
        };
        // If the peer's next entry is compacted, the append names the base of the log as the
        // previous entry. Even if the peer rejects the append, its answer confirms the round.
        let previous_index = (progress.next_index - 1).max(self.log.base_index());
        let covered_index = previous_index + entries.len() as u64;
        progress.sent_commit_index = progress
            .sent_commit_index
            .max(self.commit_index.min(covered_index));
        let request = AppendRequest {
            previous_index,
            previous_term: self.log.term(previous_index).unwrap_or(0),
            commit_index: self.commit_index,
            round: state.round,
            entries,
        };
        self.send(peer, Kind::AppendRequest(request));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Timestamp,
        from: &VoterIdentity,
        reply: AppendReply,
    ) {
        let last_index = self.log.last_index();
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some((_, peer, progress)) = state.progress.get_full_mut(from.name.as_str()) else {
            return;
        };
        let peer = peer.clone();
        if !progress.record_contact(from.disk_id, reply.round, last_index, now) {
            return;
        }
        if reply.success {
            progress.record_match(reply.match_index.min(last_index));
        } else if progress.record_mismatch(reply.match_index)
            && progress.next_index > self.log.base_index()
        {
            self.send_append(&peer, Vec::new());
        }
        self.advance_commit(now);
        self.apply_committed();
        self.answer_confirmed_reads(now);
        self.send_entries(now, &peer);
        self.send_commit_index(&peer);
        self.propose_voter_change(now);
        if reply.success {
            self.continue_transfer();
        }
    }

    /// Sends the commit index to a peer whose last append could not convey it.
    ///
    /// An append conveys the commit index only up to the entries that it covers. If other voters
    /// complete the quorum before this peer acknowledges its entries, the broadcast of the commit
    /// index does not cover these entries. Without another append, the peer would wait for the next
    /// heartbeat, which may be 150 ms away.
    fn send_commit_index(&mut self, peer: &SharedName) {
        let Some(state) = &self.leader_state else {
            return;
        };
        let is_due = state.progress.get(peer).is_some_and(|progress| {
            let is_replicating = matches!(progress.mode, ReplicationMode::Replicating { .. });
            let known = self.commit_index.min(progress.match_index);
            is_replicating && known > progress.sent_commit_index
        });
        if is_due {
            self.send_append(peer, Vec::new());
        }
    }

    /// Advances the commit index to the highest entry that a quorum has synced, if that entry is of
    /// the current term.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let Some(state) = &self.leader_state else {
            return;
        };
        let own = &self.identity;
        let index = self.voters.quorum_value(|identity| match identity == own {
            true => self.synced_index,
            false => state.progress_value(identity, |progress| progress.match_index),
        });
        if index <= self.commit_index || self.log.term(index) != Some(self.metadata.term) {
            return;
        }
        self.commit_index = index;
        self.apply_committed();
        if self.commit_index == self.log.last_index() {
            // No later append would carry the commit index, and the next heartbeat may be 150 ms
            // away.
            self.broadcast_heartbeat(now);
        }
        self.start_read_index_round(now);
    }

    pub(super) fn on_propose(&mut self, now: Timestamp, ticket: ProposalTicket, payload: Bytes) {
        if let Some(error) = self.proposal_error(&payload) {
            let result = Err(error);
            self.actions
                .push(AgreementAction::AnswerProposal { ticket, result });
            return;
        }
        let bytes = payload.len();
        let index = self.append_as_leader(EntryKind::Command, payload);
        if let Some(state) = &mut self.leader_state {
            state.proposal_bytes += bytes;
            state.proposals.push_back(PendingProposal {
                index,
                ticket,
                bytes,
            });
        }
        for peer in self.peers() {
            self.send_entries(now, &peer);
        }
    }

    fn proposal_error(&self, payload: &Bytes) -> Option<ProposalError> {
        match self.role {
            RoleState::Halted(PersistFailure::StorageFull) => {
                return Some(ProposalError::StorageFull);
            }
            RoleState::Halted(PersistFailure::Other) => return Some(ProposalError::StorageFailed),
            _ => {}
        }
        let Some(state) = &self.leader_state else {
            let leader = self.leader.clone();
            return Some(ProposalError::NotLeader { leader });
        };
        if let Some(transfer) = &state.transfer {
            let leader = Some(transfer.target.clone());
            return Some(ProposalError::NotLeader { leader });
        }
        if payload.len() > MAX_ENTRY_BYTES {
            return Some(ProposalError::TooLarge);
        }
        let is_full = state.proposals.len() >= MAX_PENDING_PROPOSALS
            || state.proposal_bytes + payload.len() > MAX_PENDING_PROPOSAL_BYTES;
        is_full.then_some(ProposalError::QueueFull)
    }

    /// Reports the proposals whose index is at most `applied` as committed.
    pub(super) fn answer_proposals(&mut self, applied: u64) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let proposals = &mut state.proposals;
        while let Some(proposal) = proposals.pop_front_if(|proposal| proposal.index <= applied) {
            state.proposal_bytes -= proposal.bytes;
            self.actions.push(AgreementAction::AnswerProposal {
                ticket: proposal.ticket,
                result: Ok(proposal.index),
            });
        }
    }

    fn append_as_leader(&mut self, kind: EntryKind, payload: Bytes) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = LogEntry {
            index,
            term: self.metadata.term,
            kind: kind as i32,
            payload,
        };
        self.voters.record_appended(&entry);
        self.log.push(entry);
        self.persist_next_batch();
        index
    }

    /// Issues a write for the leader's next entries, unless a write of entries is in progress.
    /// Entries that arrive during a write share the next one.
    pub(super) fn persist_next_batch(&mut self) {
        let is_due = self.written_index < self.log.last_index();
        if self.leader_state.is_some() && is_due && !self.outbox.is_writing_entries() {
            self.persist_batch();
        }
    }

    fn persist_batch(&mut self) {
        let entries = self.log.batch(self.written_index + 1);
        self.written_index += entries.len() as u64;
        let effect = WriteEffect::Entries(self.written_index);
        self.persist(JournalWrite::Append(entries), effect);
    }

    /// Appends an entry with a voter set and sends it to every peer.
    pub(super) fn propose_voter_set(&mut self, now: Timestamp, set: &VoterSet) {
        self.append_as_leader(EntryKind::VoterSet, set.encode_to_vec().into());
        for peer in self.peers() {
            self.send_entries(now, &peer);
        }
    }
}
