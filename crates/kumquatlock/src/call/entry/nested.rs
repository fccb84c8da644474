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
    /// Whether the call, or one that its run made, found no room.
    pub lacked_room: bool,
}

impl EntryCall {
    /// Records whether the run of a nested call failed because a call that it made found no room.
    pub(super) fn observe_lost_call(&mut self, response: &CallResponse) {
        let is_lost = response.reason == CallReason::DependencyOverloaded as i32;
        self.lost_call_below |= self.request.is_nested && is_lost;
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
            lacked_room: was_refused || self.lost_call_below,
        })
    }
}
