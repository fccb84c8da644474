//! Calls that the upstream beside the node makes while it runs others.

use kumquatlock_wire::call::{CallReason, CallResponse};

use super::state::EntryCall;
use crate::call::RunId;
use crate::call::answer::CallerAnswer;
use crate::call::destination::lacked_room;
use crate::core::SharedName;

/// End of a call that a run of the upstream beside the node made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NestedEnd {
    /// The run that made the call.
    pub run: RunId,
    /// Service that was called.
    pub service: SharedName,
    /// Whether the call found no room, or took that of more urgent requests.
    pub lacked_room: bool,
}

impl EntryCall {
    /// Records what an answer to a nested call says about the room of its upstream.
    pub(super) fn observe_pressure(&mut self, response: &CallResponse) {
        let refused_rank = response.load.and_then(|load| load.refused_rank);
        let is_displacing = refused_rank.is_some_and(|rank| rank < self.rank());
        self.takes_urgent_room |= self.request.is_nested && is_displacing;
        // The run below has failed because a call that it made found no room.
        let is_lost_below = response.reason == CallReason::DependencyOverloaded as i32;
        self.lost_call_below |= self.request.is_nested && is_lost_below;
    }

    /// Returns the end of the call if a known run made it.
    pub(super) fn nested_end(&self, answer: &CallerAnswer) -> Option<NestedEnd> {
        let parent = self.request.parent.as_ref()?;
        let was_refused = match answer {
            CallerAnswer::NotRun(reason) => lacked_room(*reason),
            _ => false,
        };
        Some(NestedEnd {
            run: parent.run,
            service: self.service.clone(),
            lacked_room: was_refused || self.takes_urgent_room || self.lost_call_below,
        })
    }
}
