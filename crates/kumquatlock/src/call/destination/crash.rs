//! Crashes of the upstream beside this node, and the requests that it was running.

use super::{DestinationCalls, RunId};
use crate::core::Timestamp;
use crate::http::UpstreamFailure;
use crate::quarantine::RequestFingerprint;

/// Maximum number of fingerprints in a log line.
const MAX_LOGGED_FINGERPRINTS: usize = 32;

impl DestinationCalls {
    /// Returns the number of times that the upstream ended while it was running requests.
    pub fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Takes from the result of a run whether the upstream still runs. `failure` is `None` if it
    /// answered.
    pub(super) fn watch_for_crash(
        &mut self,
        now: Timestamp,
        id: RunId,
        failure: Option<UpstreamFailure>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let Some(sent) = run
            .sent
            .filter(|sent| sent.upstream_run == self.upstream_run)
        else {
            return;
        };
        match failure {
            None => self.crash_detector.on_answered(sent.at),
            Some(UpstreamFailure::Broken | UpstreamFailure::Truncated) => {
                if let Some(fingerprint) = RequestFingerprint::from_wire(run.request.fingerprint) {
                    self.crash_detector.on_broken(now, fingerprint);
                }
            }
            Some(UpstreamFailure::NotListening) => self.record_gone(now),
            Some(_) => {}
        }
    }

    /// Records that the process of the upstream has ended.
    pub(super) fn record_gone(&mut self, now: Timestamp) {
        let suspects = self.crash_detector.on_gone(now);
        if suspects.is_empty() {
            return;
        }
        self.crashes += 1;
        let instance = self
            .endpoint
            .as_ref()
            .map_or("", |endpoint| &*endpoint.instance);
        let listed = suspects.iter().take(MAX_LOGGED_FINGERPRINTS);
        let fingerprints: Vec<String> = listed.map(ToString::to_string).collect();
        log::warn!(
            instance,
            crashes = self.crashes,
            running = suspects.len(),
            fingerprints = fingerprints.join(",");
            "upstream_crashed"
        );
    }
}
