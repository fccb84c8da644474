//! Formation of a group by instances whose data directories are empty.

use indexmap::IndexMap;
use kumquatlock_wire::agreement::{
    FormGroup, FormationQuery, FormationReply, VoterIdentity, VoterSet, peer_message::Kind,
};
use rand::Rng;

use super::machine::{AgreementEngine, RoleState};
use super::voters::VoterState;
use crate::core::{SharedName, Timestamp};

/// Maximum age of a usable formation reply, in formation intervals. The sender of an older reply
/// may have joined a group in the meantime.
const REPLY_LIFETIME_INTERVALS: u32 = 2;

/// State of an instance that has no group yet.
#[derive(Debug)]
pub(super) struct FormationState {
    next_query: Timestamp,
    /// Peers that reported an empty data directory, with their identity and the time of the reply.
    empty_peers: IndexMap<SharedName, (VoterIdentity, Timestamp)>,
}

impl FormationState {
    pub(super) fn new(now: Timestamp) -> Self {
        FormationState {
            next_query: now,
            empty_peers: IndexMap::new(),
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
            self.send(&peer, Kind::FormationQuery(FormationQuery {}));
        }
        self.form_group_if_all_empty(now);
    }

    pub(super) fn on_formation_query(&mut self, now: Timestamp, from: &VoterIdentity) {
        let Some(peer) = self.member_name(&from.name) else {
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
        self.send(&peer, Kind::FormationReply(reply));
    }

    pub(super) fn on_formation_reply(
        &mut self,
        now: Timestamp,
        from: VoterIdentity,
        reply: FormationReply,
    ) {
        self.record_reported_voters(&reply.voters);
        if let Some(formed) = reply.formed {
            return self.on_form_group(now, formed);
        }
        let Some(peer) = self.member_name(&from.name) else {
            return;
        };
        let RoleState::Forming(formation) = &mut self.role else {
            return;
        };
        if reply.empty {
            formation.empty_peers.insert(peer, (from, now));
            self.form_group_if_all_empty(now);
        }
    }

    /// Joins the group that was formed. If its voter set does not contain this instance's identity,
    /// this instance or its disk is new, and it becomes a learner.
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

    /// Forms the group if this instance has the lowest name among the founders and all other
    /// founders have reported an empty data directory.
    fn form_group_if_all_empty(&mut self, now: Timestamp) {
        let RoleState::Forming(formation) = &self.role else {
            return;
        };
        let lifetime = self.settings.formation_interval * REPLY_LIFETIME_INTERVALS;
        if !self.may_form_group() {
            return;
        }
        let peers = self.configured_peers();
        let is_lowest = peers.iter().all(|peer| self.settings.name < *peer);
        let mut voters = vec![self.identity.clone()];
        for peer in &peers {
            let answer = formation.empty_peers.get(peer);
            let recent = answer.filter(|(_, answered)| now.since(*answered) <= lifetime);
            voters.extend(recent.map(|(identity, _)| identity.clone()));
        }
        if !is_lowest || voters.len() != peers.len() + 1 {
            return;
        }
        let formed = FormGroup {
            group_id: self.rng.random_range(1..=u64::MAX),
            voters: VoterSet { voters },
        };
        self.on_form_group(now, formed.clone());
        for peer in peers {
            self.send(&peer, Kind::FormGroup(formed.clone()));
        }
    }
}
