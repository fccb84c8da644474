//! Read-index requests, as in Raft: the leader confirms with a heartbeat round, started after the
//! request, that it is still the leader, and answers with its commit index.

use std::collections::VecDeque;

use super::MAX_READ_INDEX_TICKETS;
use super::machine::AgreementEngine;
use super::types::{AgreementAction, ReadIndex, ReadIndexError, ReadIndexTicket};
use crate::core::Timestamp;

/// A read-index request and the heartbeat round that confirms it.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    ticket: ReadIndexTicket,
    round: u64,
    /// Commit index at the start of the round.
    index: u64,
}

/// Read-index requests that wait on the leader.
#[derive(Debug, Default)]
pub(super) struct ReadIndexQueue {
    /// Requests for which no round has been started yet.
    waiting: VecDeque<ReadIndexTicket>,
    /// Requests whose round is in progress, in ascending order of rounds.
    in_round: VecDeque<PendingRead>,
}

impl ReadIndexQueue {
    /// Returns the requests that are not answered yet.
    pub(super) fn tickets(&self) -> impl Iterator<Item = ReadIndexTicket> {
        let in_round = self.in_round.iter().map(|read| read.ticket);
        in_round.chain(self.waiting.iter().copied())
    }

    fn len(&self) -> usize {
        self.waiting.len() + self.in_round.len()
    }

    /// Assigns all waiting requests to a round that starts now.
    pub(super) fn start_round(&mut self, round: u64, index: u64) {
        let started = self.waiting.drain(..).map(|ticket| PendingRead {
            ticket,
            round,
            index,
        });
        self.in_round.extend(started);
    }

    fn pop_confirmed(&mut self, round: u64) -> Option<PendingRead> {
        self.in_round.pop_front_if(|read| read.round <= round)
    }
}

impl AgreementEngine {
    pub(super) fn on_request_read_index(&mut self, now: Timestamp, ticket: ReadIndexTicket) {
        let error = match &mut self.leader_state {
            None => {
                let leader = self.leader.clone();
                ReadIndexError::NotLeader { leader }
            }
            Some(state) if state.reads.len() >= MAX_READ_INDEX_TICKETS => ReadIndexError::QueueFull,
            Some(state) => {
                state.reads.waiting.push_back(ticket);
                return self.start_read_index_round(now);
            }
        };
        let result = Err(error);
        self.actions
            .push(AgreementAction::AnswerReadIndex { ticket, result });
    }

    /// Starts a heartbeat round for the waiting requests, unless requests are already waiting for a
    /// round in progress. All requests that arrive during a round share the next one.
    pub(super) fn start_read_index_round(&mut self, now: Timestamp) {
        let Some(state) = &self.leader_state else {
            return;
        };
        // Until the leader has committed an entry of its own term, entries of earlier terms may be
        // committed beyond its commit index.
        let knows_commit_index = self.commit_index >= state.term_start_index;
        let queue = &state.reads;
        if knows_commit_index && !queue.waiting.is_empty() && queue.in_round.is_empty() {
            self.broadcast_heartbeat(now);
        }
    }

    /// Answers the requests whose round has been confirmed by a quorum.
    pub(super) fn answer_confirmed_reads(&mut self, now: Timestamp) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let own = &self.identity;
        let round = self.voters.quorum_value(|identity| match identity == own {
            true => state.round,
            false => state.progress_value(identity, |progress| progress.acked_round),
        });
        while let Some(read) = state.reads.pop_confirmed(round) {
            let PendingRead { ticket, index, .. } = read;
            let result = Ok(ReadIndex(index));
            self.actions
                .push(AgreementAction::AnswerReadIndex { ticket, result });
        }
        self.start_read_index_round(now);
    }
}
