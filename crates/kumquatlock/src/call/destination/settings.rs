//! Settings of the calls at their destination node.

use std::time::Duration;

use super::DestinationCalls;
use crate::call::HeaderNames;
use crate::core::ProcessId;

impl DestinationCalls {
    /// Sets the identity of this process. It is stated in refusals from then on.
    pub fn set_process(&mut self, process: ProcessId) {
        self.process = process;
    }

    /// Sets the header names that the upstream uses.
    pub fn set_header_names(&mut self, names: HeaderNames) {
        self.names = names;
    }

    /// Enables stall detection: an upstream that has answered nothing for a long time gets no new
    /// work until it answers again.
    pub fn detect_stalls(&mut self) {
        self.detects_stalls = true;
    }

    /// Sets how long before its deadline a queued call is refused at the latest.
    pub fn set_refusal_time(&mut self, refusal_time: Duration) {
        self.refusal_time = refusal_time;
    }

    /// Sets how long calls that wait for a leaving upstream may still take to be answered.
    pub fn set_leave_time(&mut self, leave_time: Duration) {
        self.leave_time = leave_time;
    }

    /// Accepts calls without a key that are addressed to an earlier incarnation of this node.
    pub fn accept_earlier_incarnations(&mut self) {
        self.accepts_earlier_incarnations = true;
    }
}
