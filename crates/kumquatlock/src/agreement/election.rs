//! Pre-votes, votes and election timeouts.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatlock_wire::agreement::{VoteReply, VoteRequest, VoterIdentity, peer_message::Kind};
use rand::Rng;
use rand::rngs::SmallRng;

use super::machine::{AgreementEngine, RoleState};
use super::types::PersistTicket;
use crate::core::{SharedName, Timestamp};

/// The first election timeout after a start is at least the minimum election timeout divided by
/// this number.
const FIRST_TIMEOUT_DIVISOR: u32 = 4;

/// Votes received in one election or pre-vote.
#[derive(Debug)]
pub(super) struct VoteTally {
    votes: IndexSet<VoterIdentity>,
    /// Write that makes the candidate's own vote durable. The vote counts only after this write.
    own_vote: PersistTicket,
    /// Time at which the vote request is resent to the peers that have not voted. After a start of
    /// the whole group, the links to some peers come up only after the first request was sent, so
    /// it does not reach them.
    resend_at: Timestamp,
}

impl AgreementEngine {
    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        let min = self.settings.election_timeout_min;
        let max = self.settings.election_timeout_max.max(min);
        self.election_deadline = now + self.rng.random_range(min..=max);
    }

    /// Sets a shorter election deadline after a start, because the whole group may have been
    /// restarted and may have no leader. If there is a leader, the other voters reject the
    /// pre-vote, so an early attempt does no harm.
    pub(super) fn set_first_election_deadline(&mut self, now: Timestamp) {
        let last = self.settings.election_timeout_min;
        let first = last / FIRST_TIMEOUT_DIVISOR;
        self.election_deadline = now + self.rng.random_range(first..=last);
    }

    pub(super) fn on_election_tick(&mut self, now: Timestamp) {
        if now < self.election_deadline {
            return self.resend_vote_requests(now);
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
            resend_at: now + self.random_vote_resend_delay(),
        });
        self.request_votes(true, false);
        self.check_tally(now);
    }

    fn random_vote_resend_delay(&mut self) -> Duration {
        vote_resend_delay(&mut self.rng, self.settings.heartbeat_interval)
    }

    /// Resends the vote request to the peers that have not voted, if it is due.
    fn resend_vote_requests(&mut self, now: Timestamp) {
        let (is_pre_vote, tally) = match &mut self.role {
            RoleState::PreCandidate(tally) => (true, tally),
            RoleState::Candidate(tally) => (false, tally),
            _ => return,
        };
        if now >= tally.resend_at {
            let interval = self.settings.heartbeat_interval;
            tally.resend_at = now + vote_resend_delay(&mut self.rng, interval);
            self.request_votes(is_pre_vote, false);
        }
    }

    /// Starts an election in the next term.
    pub(super) fn start_election(&mut self, now: Timestamp, is_transfer: bool) {
        self.metadata.term += 1;
        self.metadata.vote = Some(self.identity.clone());
        self.leader = None;
        let own_vote = self.persist_metadata();
        self.role = RoleState::Candidate(VoteTally {
            votes: IndexSet::new(),
            own_vote,
            resend_at: now + self.random_vote_resend_delay(),
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
            self.send_with_term(&peer, term, Kind::VoteRequest(request.clone()));
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Timestamp,
        from: VoterIdentity,
        term: u64,
        request: VoteRequest,
    ) {
        let Some(peer) = self.member_name(&from.name) else {
            return;
        };
        // A member that is not a voter in its own log answers, too. It may be one in the candidate's
        // log, which alone determines whose votes count.
        if !self.is_peer(&from.name) {
            return;
        }
        let has_recent_leader = self.has_recent_leader(now) && !request.leadership_transfer;
        let is_up_to_date = self
            .log
            .is_other_up_to_date(request.last_index, request.last_term);
        if request.pre_vote {
            let granted = term > self.metadata.term && is_up_to_date && !has_recent_leader;
            let reply_term = if granted { term } else { self.metadata.term };
            let reply = VoteReply {
                pre_vote: true,
                granted,
            };
            return self.send_with_term(&peer, reply_term, Kind::VoteReply(reply));
        }
        if term > self.metadata.term {
            if has_recent_leader {
                return;
            }
            self.become_follower(now, term);
        }
        let can_vote = self.metadata.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.metadata.term && is_up_to_date && can_vote;
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
        // The request was compared with the log in memory, so the log, like the vote, must be
        // durable before the reply is sent.
        self.send_when_synced(&peer, Kind::VoteReply(reply));
    }

    /// Whether this instance is the leader, or had contact with the leader within the minimum
    /// election timeout.
    fn has_recent_leader(&self, now: Timestamp) -> bool {
        let is_recent =
            |contact: Timestamp| now.since(contact) < self.settings.election_timeout_min;
        self.leader_state.is_some()
            || (self.leader.is_some() && self.last_leader_contact.is_some_and(is_recent))
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

    /// Becomes a follower in `term`, which must be at least the current term.
    pub(super) fn become_follower(&mut self, now: Timestamp, term: u64) {
        if let Some(state) = self.leader_state.take() {
            self.fail_pending_requests(state);
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

/// Returns the delay until a vote request is resent. It is random, so that two candidates that
/// sent their requests at the same time do not keep doing so.
fn vote_resend_delay(rng: &mut SmallRng, heartbeat_interval: Duration) -> Duration {
    rng.random_range(heartbeat_interval / 2..=heartbeat_interval)
}
