//! Pre-votes, votes and election timeouts.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatlock_wire::agreement::{VoteReply, VoteRequest, VoterIdentity, peer_message::Kind};
use rand::Rng;
use rand::rngs::SmallRng;

use super::machine::{AgreementEngine, RoleState};
use super::types::PersistTicket;
use crate::core::{SharedName, Timestamp};

/// Divisor of the shortest election timeout, for the first deadline after a start.
const FIRST_TIMEOUT_DIVISOR: u32 = 4;

/// Votes received in one election or pre-vote.
#[derive(Debug)]
pub(super) struct VoteTally {
    votes: IndexSet<VoterIdentity>,
    /// Write that makes the candidate's own vote durable; the vote counts after it.
    own_vote: PersistTicket,
    /// When those who have not voted are asked again: after a start of the whole group the links
    /// to some of them come up later than the first question.
    ask_again_at: Timestamp,
}

impl AgreementEngine {
    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        let min = self.settings.election_timeout_min;
        let max = self.settings.election_timeout_max.max(min);
        self.election_deadline = now + self.generator.random_range(min..=max);
    }

    /// After a start the group may be without a leader as a whole. If it is not, the others refuse
    /// the pre-vote, so trying soon disturbs nobody.
    pub(super) fn set_first_election_deadline(&mut self, now: Timestamp) {
        let last = self.settings.election_timeout_min;
        let first = last / FIRST_TIMEOUT_DIVISOR;
        self.election_deadline = now + self.generator.random_range(first..=last);
    }

    pub(super) fn on_election_tick(&mut self, now: Timestamp) {
        if now < self.election_deadline {
            return self.repeat_vote_request(now);
        }
        self.leader = None;
        self.reset_election_deadline(now);
        if self.is_voter() {
            self.start_pre_vote(now);
        }
    }

    fn start_pre_vote(&mut self, now: Timestamp) {
        let mut votes = IndexSet::new();
        votes.insert(self.identity.clone());
        self.role = RoleState::PreCandidate(VoteTally {
            votes,
            own_vote: PersistTicket::default(),
            ask_again_at: now + self.draw_vote_pause(),
        });
        self.request_votes(true, false);
        self.check_tally(now);
    }

    fn draw_vote_pause(&mut self) -> Duration {
        vote_pause(&mut self.generator, self.settings.heartbeat_interval)
    }

    /// Asks those who have not voted once more, if it is time.
    fn repeat_vote_request(&mut self, now: Timestamp) {
        let (is_pre_vote, tally) = match &mut self.role {
            RoleState::PreCandidate(tally) => (true, tally),
            RoleState::Candidate(tally) => (false, tally),
            _ => return,
        };
        if now >= tally.ask_again_at {
            let interval = self.settings.heartbeat_interval;
            tally.ask_again_at = now + vote_pause(&mut self.generator, interval);
            self.request_votes(is_pre_vote, false);
        }
    }

    /// Campaigns in the next term.
    pub(super) fn start_election(&mut self, now: Timestamp, is_transfer: bool) {
        self.metadata.term += 1;
        self.metadata.vote = Some(self.identity.clone());
        self.leader = None;
        let own_vote = self.persist_metadata();
        self.role = RoleState::Candidate(VoteTally {
            votes: IndexSet::new(),
            own_vote,
            ask_again_at: now + self.draw_vote_pause(),
        });
        self.reset_election_deadline(now);
        self.request_votes(false, is_transfer);
    }

    fn request_votes(&mut self, pre_vote: bool, leadership_transfer: bool) {
        let term = self.metadata.term + u64::from(pre_vote);
        let request = VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            leadership_transfer,
        };
        let (RoleState::PreCandidate(tally) | RoleState::Candidate(tally)) = &self.role else {
            return;
        };
        let has_voted = |peer: &SharedName| tally.votes.iter().any(|voter| *voter.name == **peer);
        let mut peers = self.peers();
        peers.retain(|peer| !has_voted(peer));
        for peer in peers {
            self.post_with_term(&peer, term, Kind::VoteRequest(request.clone()));
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Timestamp,
        from: VoterIdentity,
        term: u64,
        request: VoteRequest,
    ) {
        let Some(peer) = self.shared_name(&from.name) else {
            return;
        };
        if !self.is_voter() || !self.is_peer(&from.name) {
            return;
        }
        let trusts_leader = self.trusts_leader(now) && !request.leadership_transfer;
        let is_covered = self
            .log
            .is_covered_by(request.last_index, request.last_term);
        if request.pre_vote {
            let granted = term > self.metadata.term && is_covered && !trusts_leader;
            let stated = if granted { term } else { self.metadata.term };
            let reply = VoteReply {
                pre_vote: true,
                granted,
            };
            return self.post_with_term(&peer, stated, Kind::VoteReply(reply));
        }
        if term > self.metadata.term {
            if trusts_leader {
                return;
            }
            self.become_follower(now, term);
        }
        let is_free = self.metadata.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.metadata.term && is_covered && is_free;
        if granted {
            self.become_follower(now, term);
            self.reset_election_deadline(now);
            if self.metadata.vote.is_none() {
                self.metadata.vote = Some(from);
                self.persist_metadata();
            }
        }
        let reply = VoteReply {
            pre_vote: false,
            granted,
        };
        // The log was compared as it is in memory, so it must be durable like the vote.
        self.post_when_synced(&peer, Kind::VoteReply(reply));
    }

    /// Whether a leader was heard so recently that no election is due.
    fn trusts_leader(&self, now: Timestamp) -> bool {
        let is_recent = |heard: Timestamp| now.since(heard) < self.settings.election_timeout_min;
        self.leading.is_some()
            || (self.leader.is_some() && self.leader_heard.is_some_and(is_recent))
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Timestamp,
        from: VoterIdentity,
        term: u64,
        reply: VoteReply,
    ) {
        if !reply.granted {
            if term > self.metadata.term {
                self.become_follower(now, term);
            }
            return;
        }
        let current = self.metadata.term;
        let tally = match &mut self.role {
            RoleState::PreCandidate(tally) if reply.pre_vote && term == current + 1 => tally,
            RoleState::Candidate(tally) if !reply.pre_vote && term == current => tally,
            _ => return,
        };
        tally.votes.insert(from);
        self.check_tally(now);
    }

    /// Counts the candidate's own vote once it is durable.
    pub(super) fn count_own_vote(&mut self, now: Timestamp, durable: PersistTicket) {
        let RoleState::Candidate(tally) = &mut self.role else {
            return;
        };
        if durable >= tally.own_vote {
            tally.votes.insert(self.identity.clone());
            self.check_tally(now);
        }
    }

    fn check_tally(&mut self, now: Timestamp) {
        match &self.role {
            RoleState::PreCandidate(tally) if self.voters.is_quorum(&tally.votes) => {
                self.start_election(now, false);
            }
            RoleState::Candidate(tally) if self.voters.is_quorum(&tally.votes) => {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    /// Follows in `term`, which is at least the current one.
    pub(super) fn become_follower(&mut self, now: Timestamp, term: u64) {
        if let Some(leading) = self.leading.take() {
            self.fail_waiting(leading);
        }
        if term > self.metadata.term {
            self.metadata.term = term;
            self.metadata.vote = None;
            self.leader = None;
            self.persist_metadata();
        }
        if !matches!(self.role, RoleState::Follower) {
            self.role = RoleState::Follower;
            self.reset_election_deadline(now);
        }
    }
}

/// Time until those who have not voted are asked again. Drawn, so that two who are asking at once do
/// not go on so.
fn vote_pause(generator: &mut SmallRng, heartbeat_interval: Duration) -> Duration {
    generator.random_range(heartbeat_interval / 2..=heartbeat_interval)
}
