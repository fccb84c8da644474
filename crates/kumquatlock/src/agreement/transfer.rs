//! Transfer of leadership to a voter that has caught up.

use kumquatlock_wire::agreement::{TimeoutNow, VoterIdentity, peer_message::Kind};

use super::machine::{AgreementEngine, RoleState};
use crate::core::{SharedName, Timestamp};

/// A leadership transfer in progress. The leader accepts no proposals during the transfer.
#[derive(Clone, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) target: SharedName,
    /// Time at which the leader abandons the transfer and accepts proposals again.
    pub(super) deadline: Timestamp,
}

impl AgreementEngine {
    pub(super) fn on_transfer_leadership(&mut self, now: Timestamp) {
        let deadline = now + self.settings.election_timeout_min;
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let voters = &self.voters;
        let candidates = state.progress.iter().filter(|(name, progress)| {
            progress.disk_id.is_some_and(|disk_id| {
                let name = name.to_string();
                voters.counts_in_all_sets(&VoterIdentity { name, disk_id })
            })
        });
        let target = candidates
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(name, _)| name.clone());
        state.transfer = target.map(|target| LeadershipTransfer { target, deadline });
        self.continue_transfer();
    }

    /// Tells the target to start an election once it has the whole log.
    pub(super) fn continue_transfer(&mut self) {
        let last_index = self.log.last_index();
        let target = self.leader_state.as_ref().and_then(|state| {
            let target = &state.transfer.as_ref()?.target;
            let progress = state.progress.get(target)?;
            (progress.match_index == last_index).then(|| target.clone())
        });
        if let Some(target) = target {
            self.send(&target, Kind::TimeoutNow(TimeoutNow {}));
        }
    }

    pub(super) fn on_timeout_now(&mut self, now: Timestamp, from: &VoterIdentity) {
        let is_from_leader = self.leader.as_deref() == Some(from.name.as_str());
        if is_from_leader && self.is_voter() && matches!(self.role, RoleState::Follower) {
            self.start_election(now, true);
        }
    }
}
