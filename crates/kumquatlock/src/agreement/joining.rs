//! Members that come and go: joining, and the voter sets that a leader proposes.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatlock_wire::agreement::{FormationQuery, VoterIdentity, VoterSet, peer_message::Kind};

use super::MAX_MEMBERS;
use super::machine::{AgreementEngine, RoleState};
use super::progress::PeerProgress;
use super::types::GroupMembership;
use crate::core::{SharedName, Timestamp};

/// A learner of which the leader has heard nothing for this long is forgotten. One that comes back
/// asks to join again.
const LEARNER_LIMIT: Duration = Duration::from_secs(10);

/// What an instance knows of the others beyond the voter sets.
#[derive(Debug, Default)]
pub(super) struct JoinState {
    /// Names that others reported as voters. At most [`MAX_MEMBERS`].
    members: IndexSet<SharedName>,
    next_query: Timestamp,
}

/// What the leader does about the voters.
enum VoterChange {
    None,
    Propose(VoterSet),
}

impl AgreementEngine {
    /// Instances that this one needs links to.
    pub fn link_targets(&self) -> Vec<SharedName> {
        let GroupMembership::Open { .. } = self.settings.membership else {
            return self.founders();
        };
        let mut contacts: IndexSet<SharedName> = self.members().into_iter().collect();
        if self.leader.is_none() {
            contacts.extend(self.founders());
            contacts.extend(self.joining.members.iter().cloned());
        }
        contacts.extend(self.leader.clone());
        contacts.swap_remove(&self.settings.name);
        contacts.into_iter().take(MAX_MEMBERS).collect()
    }

    /// Time since the leader was heard; zero on the leader itself.
    pub fn leader_silence(&self, now: Timestamp) -> Duration {
        match self.leading {
            Some(_) => Duration::ZERO,
            None => now.since(self.leader_heard.unwrap_or_default()),
        }
    }

    /// The other voters of all sets, and on a leader also the learners.
    pub(super) fn members(&self) -> Vec<SharedName> {
        let own = &self.settings.name;
        let voters = self.voters.identities().map(|voter| voter.name.as_str());
        let mut members: IndexSet<SharedName> = voters.map(SharedName::from).collect();
        if let Some(leading) = &self.leading {
            members.extend(leading.progress.keys().cloned());
        }
        members.swap_remove(own);
        members.into_iter().collect()
    }

    /// Whether this instance may form a group with the other founders.
    pub(super) fn may_form(&self) -> bool {
        match self.settings.membership {
            GroupMembership::Fixed => true,
            GroupMembership::Open { may_form_group, .. } => {
                may_form_group && self.settings.voters.contains(&self.settings.name)
            }
        }
    }

    /// Asks the others to join while no leader is heard: a new instance, or one whose group went
    /// on without it.
    pub(super) fn ask_to_join(&mut self, now: Timestamp) {
        let is_open = matches!(self.settings.membership, GroupMembership::Open { .. });
        if !is_open || self.leader.is_some() || now < self.joining.next_query {
            return;
        }
        self.joining.next_query = now + self.settings.formation_interval;
        for peer in self.link_targets() {
            self.post(&peer, Kind::FormationQuery(FormationQuery {}));
        }
    }

    pub(super) fn note_members(&mut self, voters: &[String]) {
        for voter in voters {
            if self.joining.members.len() < MAX_MEMBERS {
                self.joining.members.insert(voter.as_str().into());
            }
        }
    }

    /// Sends the log to an instance that asked to join.
    pub(super) fn admit_learner(&mut self, now: Timestamp, peer: &SharedName) {
        let is_open = matches!(self.settings.membership, GroupMembership::Open { .. });
        let last_index = self.log.last_index();
        let Some(leading) = self.leading.as_mut().filter(|_| is_open) else {
            return;
        };
        if leading.progress.contains_key(peer) || leading.progress.len() >= MAX_MEMBERS {
            return;
        }
        log::info!(member = &**peer; "member_admitted");
        let progress = PeerProgress::new(last_index, now);
        leading.progress.insert(peer.clone(), progress);
        self.broadcast_round(now);
    }

    pub(super) fn forget_lost_learners(&mut self, now: Timestamp) {
        let voters = &self.voters;
        if let Some(leading) = &mut self.leading {
            leading.progress.retain(|name, progress| {
                voters.names(name) || now.since(progress.last_heard) < LEARNER_LIMIT
            });
        }
    }

    /// Proposes the next voter set, if one is due.
    ///
    /// One at a time, and none before the leader knows what earlier terms committed.
    pub(super) fn change_voters(&mut self, now: Timestamp) {
        if let VoterChange::Propose(set) = self.next_voters(now) {
            self.propose_voters(now, &set);
        }
    }

    fn next_voters(&self, now: Timestamp) -> VoterChange {
        let Some(leading) = &self.leading else {
            return VoterChange::None;
        };
        if !matches!(self.role, RoleState::Leader)
            || self.voters.has_pending()
            || self.applied_index < leading.first_index
        {
            return VoterChange::None;
        }
        let caught_up = leading.progress.iter().filter_map(|(name, progress)| {
            // An answer to a round after the one in which the disk was first heard: a delayed
            // answer must not bring back a disk that is gone.
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
                return VoterChange::Propose(self.voters.replaced(learner));
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
        let lost = self.longest_lost(now, replace_after);
        if lost.is_none() && self.voters.committed().voters.len() >= max_voters {
            return VoterChange::None;
        }
        log::info!(
            voter = learner.name.as_str(),
            replaces = lost.as_deref().unwrap_or("");
            "voter_set_proposed"
        );
        VoterChange::Propose(self.voters.extended(learner, lost.as_deref()))
    }

    /// The voter that has been silent for longest, if that is at least `limit`.
    fn longest_lost(&self, now: Timestamp, limit: Duration) -> Option<String> {
        let leading = self.leading.as_ref()?;
        let voters = self.voters.committed().voters.iter();
        let silent = voters.filter_map(|voter| {
            let progress = leading.progress.get(voter.name.as_str())?;
            let is_lost = now.since(progress.last_heard) >= limit;
            is_lost.then_some((progress.last_heard, voter))
        });
        let longest = silent.min_by_key(|(heard, _)| *heard);
        longest.map(|(_, voter)| voter.name.clone())
    }
}
