//! The leader: proposals, append, commit, check-quorum and replaced disks.

use std::collections::VecDeque;

use bytes::Bytes;
use kumquatlock_wire::agreement::{
    AppendReply, AppendRequest, EntryKind, LogEntry, VoterIdentity, VoterSet, peer_message::Kind,
};
use prost::Message;

use super::currency::CurrencyQueue;
use super::machine::{AgreementEngine, RoleState};
use super::outbox::WriteEffect;
use super::progress::{LeaderState, PeerProgress, PendingProposal, ReplicationMode};
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
        self.leading = Some(LeaderState {
            progress: peers
                .map(|peer| (peer, PeerProgress::new(last_index, now)))
                .collect(),
            first_index: last_index + 1,
            proposals: VecDeque::new(),
            proposal_bytes: 0,
            currency: CurrencyQueue::default(),
            round: 0,
            next_heartbeat: now,
            transfer: None,
        });
        self.role = RoleState::Leader;
        self.leader = Some(self.settings.name.clone());
        self.incoming = None;
        self.append_own(EntryKind::Noop, Bytes::new());
        self.broadcast_round(now);
    }

    /// Ends what waits for a leader that has stepped down, and writes what it left in memory.
    pub(super) fn fail_waiting(&mut self, leading: LeaderState) {
        while self.written_index < self.log.last_index() {
            self.persist_batch();
        }
        for proposal in leading.proposals {
            self.steps.push(AgreementAction::AnswerProposal {
                ticket: proposal.ticket,
                result: Err(ProposalError::LostLeadership),
            });
        }
        for ticket in leading.currency.tickets() {
            let result = Err(ReadIndexError::LostLeadership);
            self.steps
                .push(AgreementAction::AnswerReadIndex { ticket, result });
        }
        self.leader = None;
    }

    pub(super) fn on_leader_tick(&mut self, now: Timestamp) {
        let timeout = self.settings.election_timeout_min;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let own = &self.identity;
        let heard = self.voters.identities().filter(|voter| {
            let heard = leading
                .progress
                .get(voter.name.as_str())
                .is_some_and(|peer| {
                    let is_identity = peer.disk_id.is_none_or(|disk_id| disk_id == voter.disk_id);
                    is_identity && now.since(peer.last_heard) < timeout
                });
            *voter == own || heard
        });
        if !self.voters.is_quorum(heard) {
            log::warn!("stepped_down_without_quorum");
            return self.become_follower(now, self.metadata.term);
        }
        if leading
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            leading.transfer = None;
        }
        if now >= leading.next_heartbeat {
            self.broadcast_round(now);
            self.continue_transfer();
        }
        for peer in self.peers() {
            self.send_entries(now, &peer);
        }
        self.forget_lost_learners(now);
        self.change_voters(now);
    }

    /// Sends a heartbeat of a new round to every other voter.
    pub(super) fn broadcast_round(&mut self, now: Timestamp) {
        let interval = self.settings.heartbeat_interval;
        let commit_index = self.commit_index;
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.round += 1;
        leading.next_heartbeat = now + interval;
        if commit_index >= leading.first_index {
            leading.currency.start_round(leading.round, commit_index);
        }
        for peer in self.peers() {
            self.send_append(&peer, Vec::new());
        }
        self.answer_proved_currency(now);
    }

    /// Sends the next batch or snapshot chunk, unless one is under way.
    pub(super) fn send_entries(&mut self, now: Timestamp, peer: &SharedName) {
        let resend = self.settings.resend_interval;
        let (base_index, last_index) = (self.log.base_index(), self.log.last_index());
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(peer) else {
            return;
        };
        match &progress.mode {
            ReplicationMode::SendingSnapshot { sent_at, .. } => {
                // A voter that answers no heartbeat either gets no chunk, to save its link.
                let is_heard = progress.last_heard > *sent_at;
                if is_heard && now.since(*sent_at) >= resend {
                    self.send_chunk(now, peer);
                }
            }
            // Entries before the base are gone, so the answer to a probe could not be followed.
            _ if progress.next_index <= base_index && progress.disk_id.is_some() => {
                self.start_snapshot(now, peer);
            }
            ReplicationMode::Probing => {}
            ReplicationMode::Replicating {
                outstanding: Some((_, sent_at)),
            } => {
                if now.since(*sent_at) >= resend {
                    progress.mode = ReplicationMode::Probing;
                }
            }
            ReplicationMode::Replicating { outstanding: None } => {
                if progress.next_index > last_index {
                    return;
                }
                let entries = self.log.batch(progress.next_index);
                let last = progress.next_index + entries.len() as u64 - 1;
                progress.mode = ReplicationMode::Replicating {
                    outstanding: Some((last, now)),
                };
                self.send_append(peer, entries);
            }
        }
    }

    fn send_append(&mut self, peer: &SharedName, entries: Vec<LogEntry>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(peer) else {
            return;
        };
        // A voter that is behind the base gets the base as a probe; it refuses, which still
        // confirms the round.
        let previous_index = (progress.next_index - 1).max(self.log.base_index());
        let covered_index = previous_index + entries.len() as u64;
        progress.announced_index = progress
            .announced_index
            .max(self.commit_index.min(covered_index));
        let request = AppendRequest {
            previous_index,
            previous_term: self.log.term(previous_index).unwrap_or(0),
            commit_index: self.commit_index,
            round: leading.round,
            entries,
        };
        self.post(peer, Kind::AppendRequest(request));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Timestamp,
        from: &VoterIdentity,
        reply: AppendReply,
    ) {
        let last_index = self.log.last_index();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some((_, peer, progress)) = leading.progress.get_full_mut(from.name.as_str()) else {
            return;
        };
        let peer = peer.clone();
        if !progress.note_heard(from.disk_id, reply.round, last_index, now) {
            return;
        }
        if reply.success {
            progress.note_matched(reply.match_index.min(last_index));
        } else if progress.note_mismatch(reply.match_index)
            && progress.next_index > self.log.base_index()
        {
            self.send_append(&peer, Vec::new());
        }
        self.advance_commit(now);
        self.apply_committed();
        self.answer_proved_currency(now);
        self.send_entries(now, &peer);
        self.announce_commit(&peer);
        self.change_voters(now);
        if reply.success {
            self.continue_transfer();
        }
    }

    /// Tells a voter of a commit that the last announcement could not cover.
    ///
    /// When others make the quorum, the announcement leaves before this voter's acknowledgement
    /// has arrived and covers only what was acknowledged earlier. The next heartbeat is up to
    /// 150 ms away.
    fn announce_commit(&mut self, peer: &SharedName) {
        let Some(leading) = &self.leading else {
            return;
        };
        let is_due = leading.progress.get(peer).is_some_and(|progress| {
            let is_replicating = matches!(progress.mode, ReplicationMode::Replicating { .. });
            let known = self.commit_index.min(progress.match_index);
            is_replicating && known > progress.announced_index
        });
        if is_due {
            self.send_append(peer, Vec::new());
        }
    }

    /// Commits up to the highest entry of this term that a quorum has synced.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let Some(leading) = &self.leading else {
            return;
        };
        let own = &self.identity;
        let index = self.voters.quorum_value(|identity| match identity == own {
            true => self.synced_index,
            false => leading.value_of(identity, |progress| progress.match_index),
        });
        if index <= self.commit_index || self.log.term(index) != Some(self.metadata.term) {
            return;
        }
        self.commit_index = index;
        self.apply_committed();
        if self.commit_index == self.log.last_index() {
            // No later append carries the commit index, and the next heartbeat may be 150 ms away.
            self.broadcast_round(now);
        }
        self.start_currency_round(now);
    }

    pub(super) fn on_propose(&mut self, now: Timestamp, ticket: ProposalTicket, payload: Bytes) {
        if let Some(error) = self.refuse_proposal(&payload) {
            let result = Err(error);
            self.steps
                .push(AgreementAction::AnswerProposal { ticket, result });
            return;
        }
        let bytes = payload.len();
        let index = self.append_own(EntryKind::Command, payload);
        if let Some(leading) = &mut self.leading {
            leading.proposal_bytes += bytes;
            leading.proposals.push_back(PendingProposal {
                index,
                ticket,
                bytes,
            });
        }
        for peer in self.peers() {
            self.send_entries(now, &peer);
        }
    }

    fn refuse_proposal(&self, payload: &Bytes) -> Option<ProposalError> {
        match self.role {
            RoleState::Halted(PersistFailure::StorageFull) => {
                return Some(ProposalError::StorageFull);
            }
            RoleState::Halted(PersistFailure::Other) => return Some(ProposalError::StorageFailed),
            _ => {}
        }
        let Some(leading) = &self.leading else {
            let leader = self.leader.clone();
            return Some(ProposalError::NotLeader { leader });
        };
        if let Some(transfer) = &leading.transfer {
            let leader = Some(transfer.target.clone());
            return Some(ProposalError::NotLeader { leader });
        }
        if payload.len() > MAX_ENTRY_BYTES {
            return Some(ProposalError::TooLarge);
        }
        let is_full = leading.proposals.len() >= MAX_PENDING_PROPOSALS
            || leading.proposal_bytes + payload.len() > MAX_PENDING_PROPOSAL_BYTES;
        is_full.then_some(ProposalError::QueueFull)
    }

    /// Answers the proposals up to an applied index.
    pub(super) fn answer_proposals(&mut self, applied: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let proposals = &mut leading.proposals;
        while let Some(proposal) = proposals.pop_front_if(|proposal| proposal.index <= applied) {
            leading.proposal_bytes -= proposal.bytes;
            self.steps.push(AgreementAction::AnswerProposal {
                ticket: proposal.ticket,
                result: Ok(proposal.index),
            });
        }
    }

    fn append_own(&mut self, kind: EntryKind, payload: Bytes) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = LogEntry {
            index,
            term: self.metadata.term,
            kind: kind as i32,
            payload,
        };
        self.voters.note_appended(&entry);
        self.log.push(entry);
        self.persist_own_entries();
        index
    }

    /// Writes the leader's next entries. Those that arrive during a write share the next one.
    pub(super) fn persist_own_entries(&mut self) {
        let is_due = self.written_index < self.log.last_index();
        if self.leading.is_some() && is_due && !self.outbox.is_writing_entries() {
            self.persist_batch();
        }
    }

    fn persist_batch(&mut self) {
        let entries = self.log.batch(self.written_index + 1);
        self.written_index += entries.len() as u64;
        let effect = WriteEffect::Entries(self.written_index);
        self.persist(JournalWrite::Append(entries), effect);
    }

    /// Proposes a voter set.
    pub(super) fn propose_voters(&mut self, now: Timestamp, set: &VoterSet) {
        self.append_own(EntryKind::VoterSet, set.encode_to_vec().into());
        for peer in self.peers() {
            self.send_entries(now, &peer);
        }
    }
}
