//! Refusal of requests in quarantine at their entry node.

use kumquatlock_wire::call::CallReason;

use super::{CallId, EntryCalls, EntryStep};
use crate::call::request::CallerRequest;
use crate::core::{RequestFingerprint, Timestamp};

impl EntryCalls {
    /// Returns the fingerprint by which the request is recognised when it comes again.
    pub(super) fn fingerprint(&self, request: &CallerRequest) -> RequestFingerprint {
        RequestFingerprint::new(&self.settings.origin, &request.host, request.digest)
    }

    /// Whether the request is refused because it has ended several upstreams.
    pub(super) fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        let snapshot = self.snapshot.as_ref();
        snapshot.is_some_and(|snapshot| snapshot.quarantined.contains(&fingerprint))
    }

    /// Ends a call whose request was quarantined after its arrival, instead of another attempt.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Timestamp,
        id: CallId,
        steps: &mut Vec<EntryStep>,
    ) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.reason = CallReason::Quarantined;
            self.give_up(now, id, steps);
        }
    }
}
