//! Requests that an entry node sends to a version on trial.

use super::{CallId, EntryCalls};
use crate::core::Timestamp;
use crate::routing::{ChoiceMode, ChosenUpstream, UpstreamChoice, canary_order};

impl EntryCalls {
    /// Chooses an upstream of the version on trial for the first attempt of a call, if the node owes
    /// it one. A repetition goes to the version in force, so that a bad version costs a caller no
    /// more than one attempt.
    pub(super) fn choose_canary(&mut self, now: Timestamp, id: CallId) -> Option<ChosenUpstream> {
        let call = self.calls.get(&id)?;
        let snapshot = self.snapshot.as_ref()?;
        let order = canary_order(snapshot.services.get(&call.service)?)?;
        if !call.tried.is_empty()
            || !self
                .canary_share
                .is_due(&call.service, order, &mut self.random)
        {
            return None;
        }
        let balancer = self.balancers.canary(snapshot, &call.service, now)?;
        match balancer.choose(now, &mut self.random, &[], call.route.rank) {
            UpstreamChoice::Chosen(chosen) if chosen.mode != ChoiceMode::Panic => Some(chosen),
            _ => None,
        }
    }
}
