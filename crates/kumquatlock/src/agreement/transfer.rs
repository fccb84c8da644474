//! Handing leadership to a voter that has caught up.

use kumquatlock_wire::agreement::{TimeoutNow, VoterIdentity, peer_message::Kind};

use super::machine::{AgreementEngine, RoleState};
use crate::core::{SharedName, Timestamp};

/// A transfer under way. The leader takes no proposals meanwhile.
#[derive(Clone, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) target: SharedName,
    /// Time at which the leader gives up and takes proposals again.
    pub(super) deadline: Timestamp,
}

impl AgreementEngine {
    pub(super) fn on_transfer_leadership(&mut self, now: Timestamp) {
        let deadline = now + self.settings.election_timeout_min;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let voters = &self.voters;
        let candidates = leading.progress.iter().filter(|(name, progress)| {
            progress.disk_id.is_some_and(|disk_id| {
                let name = name.to_string();
                voters.counts(&VoterIdentity { name, disk_id })
            })
        });
        let target = candidates
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(name, _)| name.clone());
        leading.transfer = target.map(|target| LeadershipTransfer { target, deadline });
        self.continue_transfer();
    }

    /// Tells the target to campaign once it holds the whole log.
    pub(super) fn continue_transfer(&mut self) {
        let last_index = self.log.last_index();
        let target = self.leading.as_ref().and_then(|leading| {
            let target = &leading.transfer.as_ref()?.target;
            let progress = leading.progress.get(target)?;
            (progress.match_index == last_index).then(|| target.clone())
        });
        if let Some(target) = target {
            self.post(&target, Kind::TimeoutNow(TimeoutNow {}));
        }
    }

    pub(super) fn on_timeout_now(&mut self, now: Timestamp, from: &VoterIdentity) {
        let is_from_leader = self.leader.as_deref() == Some(from.name.as_str());
        if is_from_leader && self.is_voter() && matches!(self.role, RoleState::Follower) {
            self.start_election(now, true);
        }
    }
}
