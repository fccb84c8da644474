//! Currency proofs: heartbeat rounds that start after the request.

use std::collections::VecDeque;

use super::MAX_READ_INDEX_TICKETS;
use super::machine::AgreementEngine;
use super::types::{AgreementAction, ReadIndexError, ReadIndexTicket};
use crate::core::Timestamp;

/// A request and the round that proves it.
#[derive(Clone, Copy, Debug)]
struct CurrencyProof {
    ticket: ReadIndexTicket,
    round: u64,
    /// Commit index when the round started.
    index: u64,
}

/// Requests for currency proofs at the leader.
#[derive(Debug, Default)]
pub(super) struct CurrencyQueue {
    /// Requests for which no round has started.
    waiting: VecDeque<ReadIndexTicket>,
    /// Requests whose round is under way, by ascending round.
    proving: VecDeque<CurrencyProof>,
}

impl CurrencyQueue {
    /// Requests that are not answered yet.
    pub(super) fn tickets(&self) -> impl Iterator<Item = ReadIndexTicket> {
        let proving = self.proving.iter().map(|proof| proof.ticket);
        proving.chain(self.waiting.iter().copied())
    }

    fn len(&self) -> usize {
        self.waiting.len() + self.proving.len()
    }

    /// Assigns all waiting requests to a round that starts now.
    pub(super) fn start_round(&mut self, round: u64, index: u64) {
        let started = self.waiting.drain(..).map(|ticket| CurrencyProof {
            ticket,
            round,
            index,
        });
        self.proving.extend(started);
    }

    fn take_proved(&mut self, round: u64) -> Option<CurrencyProof> {
        self.proving.pop_front_if(|proof| proof.round <= round)
    }
}

impl AgreementEngine {
    pub(super) fn on_confirm_currency(&mut self, now: Timestamp, ticket: ReadIndexTicket) {
        let error = match &mut self.leading {
            None => {
                let leader = self.leader.clone();
                ReadIndexError::NotLeader { leader }
            }
            Some(leading) if leading.currency.len() >= MAX_READ_INDEX_TICKETS => {
                ReadIndexError::QueueFull
            }
            Some(leading) => {
                leading.currency.waiting.push_back(ticket);
                return self.start_currency_round(now);
            }
        };
        let result = Err(error);
        self.steps
            .push(AgreementAction::AnswerReadIndex { ticket, result });
    }

    /// Starts a round for the waiting requests, unless one is under way. Requests that arrive in
    /// the meantime share the next one.
    pub(super) fn start_currency_round(&mut self, now: Timestamp) {
        let Some(leading) = &self.leading else {
            return;
        };
        // Before that, entries of earlier terms may be committed beyond the known index.
        let knows_commit = self.commit_index >= leading.first_index;
        let queue = &leading.currency;
        if knows_commit && !queue.waiting.is_empty() && queue.proving.is_empty() {
            self.broadcast_round(now);
        }
    }

    /// Answers the requests whose round a quorum has confirmed.
    pub(super) fn answer_proved_currency(&mut self, now: Timestamp) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let own = &self.identity;
        let round = self.voters.quorum_value(|identity| match identity == own {
            true => leading.round,
            false => leading.value_of(identity, |progress| progress.acked_round),
        });
        while let Some(proof) = leading.currency.take_proved(round) {
            let CurrencyProof { ticket, index, .. } = proof;
            let result = Ok(index);
            self.steps
                .push(AgreementAction::AnswerReadIndex { ticket, result });
        }
        self.start_currency_round(now);
    }
}
