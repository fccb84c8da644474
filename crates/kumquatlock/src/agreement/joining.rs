//! Membership changes: instances that join a group, and the voter sets that the leader proposes.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatlock_wire::agreement::{FormationQuery, VoterIdentity, VoterSet, peer_message::Kind};

use super::MAX_MEMBERS;
use super::machine::{AgreementEngine, RoleState};
use super::progress::PeerProgress;
use super::types::GroupMembership;
use crate::core::{SharedName, Timestamp};

/// Silence after which the leader removes a learner. A learner that comes back asks to join again.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// State of an instance that looks for the members of its group.
#[derive(Debug, Default)]
pub(super) struct JoinState {
    /// Names that peers reported as voters. At most [`MAX_MEMBERS`].
    reported_voters: IndexSet<SharedName>,
    next_query: Timestamp,
}

/// Change that the leader makes to the voter set.
enum VoterChange {
    None,
    Propose(VoterSet),
}

impl AgreementEngine {
    /// Returns the instances to which this one should keep links.
    pub fn link_targets(&self) -> Vec<SharedName> {
        let GroupMembership::Open { .. } = self.settings.membership else {
            return self.configured_peers();
        };
        let mut targets: IndexSet<SharedName> = self.other_members().into_iter().collect();
        if self.leader.is_none() {
            targets.extend(self.configured_peers());
            targets.extend(self.join_state.reported_voters.iter().cloned());
        }
        targets.extend(self.leader.clone());
        targets.swap_remove(&self.settings.name);
        targets.into_iter().take(MAX_MEMBERS).collect()
    }

    /// Returns the time since the last contact with the leader; zero on the leader itself.
    pub fn leader_silence(&self, now: Timestamp) -> Duration {
        match self.leader_state {
            Some(_) => Duration::ZERO,
            None => now.since(self.last_leader_contact.unwrap_or_default()),
        }
    }

    /// Returns the voters of all sets except this instance, and on the leader also the learners.
    pub(super) fn other_members(&self) -> Vec<SharedName> {
        let own = &self.settings.name;
        let voters = self.voters.identities().map(|voter| voter.name.as_str());
        let mut members: IndexSet<SharedName> = voters.map(SharedName::from).collect();
        if let Some(state) = &self.leader_state {
            members.extend(state.progress.keys().cloned());
        }
        members.swap_remove(own);
        members.into_iter().collect()
    }

    /// Whether this instance may form a group with the other founders.
    pub(super) fn may_form_group(&self) -> bool {
        match self.settings.membership {
            GroupMembership::Fixed => true,
            GroupMembership::Open { may_form_group, .. } => {
                may_form_group && self.settings.voters.contains(&self.settings.name)
            }
        }
    }

    /// Asks the other instances to admit this one to the group, while it knows no leader. It may be
    /// new, or its group may have continued without it.
    pub(super) fn ask_to_join(&mut self, now: Timestamp) {
        let is_open = matches!(self.settings.membership, GroupMembership::Open { .. });
        if !is_open || self.leader.is_some() || now < self.join_state.next_query {
            return;
        }
        self.join_state.next_query = now + self.settings.formation_interval;
        for peer in self.link_targets() {
            self.send(&peer, Kind::FormationQuery(FormationQuery {}));
        }
    }

    pub(super) fn record_reported_voters(&mut self, voters: &[String]) {
        for voter in voters {
            if self.join_state.reported_voters.len() < MAX_MEMBERS {
                self.join_state
                    .reported_voters
                    .insert(voter.as_str().into());
            }
        }
    }

    /// Starts to replicate the log to an instance that asked to join.
    pub(super) fn admit_learner(&mut self, now: Timestamp, peer: &SharedName) {
        let is_open = matches!(self.settings.membership, GroupMembership::Open { .. });
        let last_index = self.log.last_index();
        let Some(state) = self.leader_state.as_mut().filter(|_| is_open) else {
            return;
        };
        if state.progress.contains_key(peer) || state.progress.len() >= MAX_MEMBERS {
            return;
        }
        log::info!(member = &**peer; "member_admitted");
        let progress = PeerProgress::new(last_index, now);
        state.progress.insert(peer.clone(), progress);
        self.broadcast_heartbeat(now);
    }

    pub(super) fn remove_silent_learners(&mut self, now: Timestamp) {
        let voters = &self.voters;
        if let Some(state) = &mut self.leader_state {
            state.progress.retain(|name, progress| {
                voters.contains_name(name) || now.since(progress.last_contact) < LEARNER_TIMEOUT
            });
        }
    }

    /// Proposes the next voter set, if a change is due.
    ///
    /// At most one uncommitted change is in the log at a time, and none is proposed before the
    /// leader knows which entries of earlier terms are committed.
    pub(super) fn propose_voter_change(&mut self, now: Timestamp) {
        if let VoterChange::Propose(set) = self.next_voter_change(now) {
            self.propose_voter_set(now, &set);
        }
    }

    fn next_voter_change(&self, now: Timestamp) -> VoterChange {
        let Some(state) = &self.leader_state else {
            return VoterChange::None;
        };
        if !matches!(self.role, RoleState::Leader)
            || self.voters.has_pending_set()
            || self.applied_index < state.term_start_index
        {
            return VoterChange::None;
        }
        let caught_up = state.progress.iter().filter_map(|(name, progress)| {
            // The disk must have answered a second, later round. A single answer may be a delayed
            // one from a lost disk, which must not become a voter again.
            let is_current = progress.acked_round > progress.first_round
                && progress.match_index >= self.commit_index;
            let disk_id = progress.disk_id.filter(|_| is_current)?;
            let name = name.to_string();
            Some(VoterIdentity { name, disk_id })
        });
        let learners: Vec<VoterIdentity> = caught_up
            .filter(|identity| !self.voters.contains(identity))
            .collect();
        for learner in &learners {
            if self.voters.disk_id(&learner.name).is_some() {
                log::info!(voter = learner.name.as_str(); "voter_disk_replacement_proposed");
                return VoterChange::Propose(self.voters.with_replaced_disk(learner));
            }
        }
        let GroupMembership::Open {
            max_voters,
            replace_after,
            ..
        } = self.settings.membership
        else {
            return VoterChange::None;
        };
        let Some(learner) = learners.into_iter().next() else {
            return VoterChange::None;
        };
        let replaced = self.longest_silent_voter(now, replace_after);
        if replaced.is_none() && self.voters.committed().voters.len() >= max_voters {
            return VoterChange::None;
        }
        log::info!(
            voter = learner.name.as_str(),
            replaces = replaced.as_deref().unwrap_or("");
            "voter_set_proposed"
        );
        VoterChange::Propose(self.voters.with_added_voter(learner, replaced.as_deref()))
    }

    /// Returns the voter that has been silent for the longest time, if that is at least `limit`.
    fn longest_silent_voter(&self, now: Timestamp, limit: Duration) -> Option<String> {
        let state = self.leader_state.as_ref()?;
        let voters = self.voters.committed().voters.iter();
        let silent = voters.filter_map(|voter| {
            let progress = state.progress.get(voter.name.as_str())?;
            let is_silent = now.since(progress.last_contact) >= limit;
            is_silent.then_some((progress.last_contact, voter))
        });
        let longest = silent.min_by_key(|(contact, _)| *contact);
        longest.map(|(_, voter)| voter.name.clone())
    }
}
