//! The follower: handles appends from the leader.

use kumquatlock_wire::agreement::{
    AppendReply, AppendRequest, LogEntry, VoterIdentity, peer_message::Kind,
};

use super::machine::{AgreementEngine, RoleState};
use super::outbox::WriteEffect;
use crate::core::{SharedName, Timestamp};
use crate::journal::JournalWrite;

/// Result of applying an append to the local log.
enum AppendOutcome {
    /// The log now matches the leader's log up to this index.
    Matched(u64),
    /// The entry before the append is missing or differs. Holds the last index at which the logs
    /// may match, which the leader probes next.
    Mismatched(u64),
    /// The append has gaps in its indices or contradicts a committed entry.
    Invalid,
}

impl AgreementEngine {
    /// Answers an append or snapshot chunk of an earlier term, so that its sender learns the
    /// current term.
    pub(super) fn reject_old_term(&mut self, from: &VoterIdentity, kind: &Kind) {
        if !matches!(kind, Kind::AppendRequest(_) | Kind::SnapshotChunk(_)) {
            return;
        }
        if let Some(peer) = self.member_name(&from.name) {
            self.send(&peer, Kind::AppendReply(AppendReply::default()));
        }
    }

    /// Records a message from the leader of the current term. Returns the leader's name, or `None`
    /// if the sender cannot be that leader.
    pub(super) fn record_leader_contact(
        &mut self,
        now: Timestamp,
        from: &VoterIdentity,
    ) -> Option<SharedName> {
        let leader = self.member_name(&from.name)?;
        if self.leader_state.is_some() || matches!(self.role, RoleState::Forming(_)) {
            log::error!(from = from.name.as_str(); "second_leader_of_term");
            return None;
        }
        self.become_follower(now, self.metadata.term);
        self.leader = Some(leader.clone());
        self.last_leader_contact = Some(now);
        self.reset_election_deadline(now);
        Some(leader)
    }

    pub(super) fn on_append_request(
        &mut self,
        now: Timestamp,
        from: &VoterIdentity,
        request: AppendRequest,
    ) {
        let Some(leader) = self.record_leader_contact(now, from) else {
            return;
        };
        let (round, leader_commit) = (request.round, request.commit_index);
        let (success, match_index) = match self.append_from_leader(request) {
            AppendOutcome::Matched(index) => (true, index),
            AppendOutcome::Mismatched(hint) => (false, hint),
            AppendOutcome::Invalid => return,
        };
        let reply = Kind::AppendReply(AppendReply {
            success,
            match_index,
            round,
        });
        if !success {
            return self.send(&leader, reply);
        }
        self.commit_index = self.commit_index.max(leader_commit.min(match_index));
        self.send_when_synced(&leader, reply);
        self.apply_committed();
    }

    fn append_from_leader(&mut self, request: AppendRequest) -> AppendOutcome {
        let previous = request.previous_index;
        let indices = request.entries.iter().map(|entry| entry.index);
        if !indices.eq((previous + 1..).take(request.entries.len())) {
            log::error!(previous = previous; "append_has_gap");
            return AppendOutcome::Invalid;
        }
        // Compacted entries are committed, so they match the leader's.
        if previous >= self.log.base_index() {
            match self.log.term(previous) {
                Some(term) if term == request.previous_term => {}
                Some(_) => return AppendOutcome::Mismatched(self.log.index_before_term(previous)),
                None => return AppendOutcome::Mismatched(self.log.last_index()),
            }
        }
        let matched = previous + request.entries.len() as u64;
        let base_index = self.log.base_index();
        let new_entries: Vec<LogEntry> = request
            .entries
            .into_iter()
            .skip_while(|entry| {
                entry.index <= base_index || self.log.term(entry.index) == Some(entry.term)
            })
            .collect();
        if let Some(first) = new_entries.first().map(|entry| entry.index) {
            if first <= self.commit_index {
                log::error!(entry = first; "append_contradicts_commit");
                return AppendOutcome::Invalid;
            }
            self.replace_suffix(first, new_entries);
        }
        AppendOutcome::Matched(matched)
    }

    fn replace_suffix(&mut self, first: u64, entries: Vec<LogEntry>) {
        if first <= self.log.last_index() {
            self.log.truncate_from(first);
            self.voters.record_truncated(first);
            self.outbox.record_truncated(first);
            self.synced_index = self.synced_index.min(first - 1);
        }
        for entry in &entries {
            self.voters.record_appended(entry);
            self.log.push(entry.clone());
        }
        self.written_index = self.log.last_index();
        let effect = WriteEffect::Entries(self.written_index);
        self.persist(JournalWrite::Append(entries), effect);
    }
}
