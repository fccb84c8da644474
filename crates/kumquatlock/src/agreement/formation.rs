//! First start: empty folders become one group.

use indexmap::IndexMap;
use kumquatlock_wire::agreement::{
    FormGroup, FormationQuery, FormationReply, VoterIdentity, VoterSet, peer_message::Kind,
};
use rand::Rng;

use super::machine::{AgreementEngine, RoleState};
use super::voters::VoterState;
use crate::core::{SharedName, Timestamp};

/// Answers older than this many question intervals are not used. An instance may have joined a
/// group since.
const REPLY_LIFETIME_INTERVALS: u32 = 2;

/// What an instance with an empty folder has learnt.
#[derive(Debug)]
pub(super) struct FormationState {
    next_query: Timestamp,
    /// Peers that reported an empty folder: identity and time of the answer.
    empty: IndexMap<SharedName, (VoterIdentity, Timestamp)>,
}

impl FormationState {
    pub(super) fn new(now: Timestamp) -> Self {
        FormationState {
            next_query: now,
            empty: IndexMap::new(),
        }
    }
}

impl AgreementEngine {
    pub(super) fn on_formation_tick(&mut self, now: Timestamp) {
        let interval = self.settings.formation_interval;
        let RoleState::Forming(formation) = &mut self.role else {
            return;
        };
        if now < formation.next_query {
            return;
        }
        formation.next_query = now + interval;
        for peer in self.link_targets() {
            self.post(&peer, Kind::FormationQuery(FormationQuery {}));
        }
        self.form_if_all_empty(now);
    }

    pub(super) fn on_formation_query(&mut self, now: Timestamp, from: &VoterIdentity) {
        let Some(peer) = self.shared_name(&from.name) else {
            return;
        };
        let formed = self.metadata.formed.clone();
        let empty = formed.is_none();
        let voters = self.voters.committed().voters.iter();
        let voters = voters.map(|voter| voter.name.clone()).collect();
        let reply = FormationReply {
            empty,
            formed,
            voters,
        };
        if !empty {
            self.admit_learner(now, &peer);
        }
        self.post(&peer, Kind::FormationReply(reply));
    }

    pub(super) fn on_formation_reply(
        &mut self,
        now: Timestamp,
        from: VoterIdentity,
        reply: FormationReply,
    ) {
        self.note_members(&reply.voters);
        if let Some(formed) = reply.formed {
            return self.on_form_group(now, formed);
        }
        let Some(peer) = self.shared_name(&from.name) else {
            return;
        };
        let RoleState::Forming(formation) = &mut self.role else {
            return;
        };
        if reply.empty {
            formation.empty.insert(peer, (from, now));
            self.form_if_all_empty(now);
        }
    }

    /// Joins the group. An identity that is not in the set is that of a new disk, which makes
    /// this instance a learner.
    pub(super) fn on_form_group(&mut self, now: Timestamp, formed: FormGroup) {
        let is_forming = matches!(self.role, RoleState::Forming(_));
        if !is_forming || formed.group_id == 0 || formed.voters.voters.is_empty() {
            return;
        }
        self.voters = VoterState::new(formed.voters.clone(), 0);
        self.metadata.formed = Some(formed);
        self.persist_metadata();
        self.role = RoleState::Follower;
        self.reset_election_deadline(now);
    }

    /// Forms the group if this is the lowest name and every other folder is empty.
    fn form_if_all_empty(&mut self, now: Timestamp) {
        let RoleState::Forming(formation) = &self.role else {
            return;
        };
        let lifetime = self.settings.formation_interval * REPLY_LIFETIME_INTERVALS;
        if !self.may_form() {
            return;
        }
        let peers = self.founders();
        let is_lowest = peers.iter().all(|peer| self.settings.name < *peer);
        let mut voters = vec![self.identity.clone()];
        for peer in &peers {
            let answer = formation.empty.get(peer);
            let fresh = answer.filter(|(_, answered)| now.since(*answered) <= lifetime);
            voters.extend(fresh.map(|(identity, _)| identity.clone()));
        }
        if !is_lowest || voters.len() != peers.len() + 1 {
            return;
        }
        let formed = FormGroup {
            group_id: self.generator.random_range(1..=u64::MAX),
            voters: VoterSet { voters },
        };
        self.on_form_group(now, formed.clone());
        for peer in peers {
            self.post(&peer, Kind::FormGroup(formed.clone()));
        }
    }
}
