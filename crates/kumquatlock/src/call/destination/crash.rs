//! Crashes of the upstream beside this node, and the requests that it was running.

use indexmap::IndexSet;
use kumquatlock_wire::call::CallReason;
use kumquatlock_wire::quarantine::CrashReport;

use super::run::{CallRun, ResponseVerdict, RunPhase};
use super::{DestinationCalls, DestinationStep, RunId};
use crate::core::{RequestFingerprint, Timestamp};
use crate::http::{FinalStatus, UpstreamFailure};
use crate::quarantine::{SuspectCall, fingerprints_to_wire};

/// Maximum number of fingerprints in a log line.
const MAX_LOGGED_FINGERPRINTS: usize = 32;

/// Statuses from here on say nothing about what the request does to the upstream: it may have been
/// refused before it ran.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// What the result of a run shows about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifeSign {
    /// The upstream ran the request and lives.
    Completed,
    /// The upstream lives, but may not have run the request.
    Answered,
    /// The connection broke before the answer was complete.
    Broken,
    /// No process listens at the upstream's address.
    Gone,
    /// Nothing.
    None,
}

impl LifeSign {
    pub(super) fn of_response(verdict: ResponseVerdict, status: FinalStatus) -> Self {
        match verdict {
            ResponseVerdict::Answered if status.code() < MIN_SERVER_ERROR_STATUS => {
                LifeSign::Completed
            }
            ResponseVerdict::Answered
            | ResponseVerdict::NotRun
            | ResponseVerdict::UnprovedRefusal => LifeSign::Answered,
            ResponseVerdict::Unsigned => LifeSign::None,
        }
    }

    pub(super) fn of_failure(failure: UpstreamFailure) -> Self {
        match failure {
            UpstreamFailure::Broken | UpstreamFailure::Truncated => LifeSign::Broken,
            UpstreamFailure::NotListening => LifeSign::Gone,
            UpstreamFailure::Unreachable
            | UpstreamFailure::Timeout
            | UpstreamFailure::Garbled
            | UpstreamFailure::InvalidStatus
            | UpstreamFailure::TooLarge
            | UpstreamFailure::Cancelled => LifeSign::None,
        }
    }
}

impl DestinationCalls {
    /// Returns the number of times that the upstream ended while it was running requests.
    pub fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Takes from the result of a run whether the upstream still runs.
    pub(super) fn watch_for_crash(
        &mut self,
        now: Timestamp,
        id: RunId,
        sign: LifeSign,
        steps: &mut Vec<DestinationStep>,
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
        let suspect = SuspectCall::of_request(&run.request);
        match (sign, suspect) {
            (LifeSign::Completed, Some(suspect)) => {
                self.crash_detector.on_answered(sent.at);
                self.completed.insert(suspect.fingerprint);
            }
            (LifeSign::Completed | LifeSign::Answered, _) => {
                self.crash_detector.on_answered(sent.at);
            }
            (LifeSign::Broken, Some(suspect)) => self.crash_detector.on_broken(now, suspect),
            (LifeSign::Gone, _) => self.record_gone(now, steps),
            (LifeSign::Broken, None) | (LifeSign::None, _) => {}
        }
    }

    /// Records that the process of the upstream has ended. Requests that it has completed before are
    /// not reported: they do not end it.
    pub(super) fn record_gone(&mut self, now: Timestamp, steps: &mut Vec<DestinationStep>) {
        let mut suspects = self.crash_detector.on_gone(now);
        if suspects.is_empty() {
            return;
        }
        self.crashes += 1;
        self.log_crash(&suspects);
        suspects.retain(|suspect| !self.completed.contains(suspect.fingerprint));
        steps.push(DestinationStep::ReportCrash(CrashReport {
            upstream: self.name.to_string(),
            incarnation: self.incarnation.0,
            number: self.crashes,
            suspects: suspects.into_iter().map(SuspectCall::to_wire).collect(),
            completed: Vec::new(),
        }));
    }

    fn log_crash(&self, running: &[SuspectCall]) {
        let instance = self
            .endpoint
            .as_ref()
            .map_or("", |endpoint| &*endpoint.instance);
        let listed = running.iter().take(MAX_LOGGED_FINGERPRINTS);
        let fingerprints: Vec<String> = listed
            .map(|suspect| suspect.fingerprint.to_string())
            .collect();
        log::warn!(
            instance,
            crashes = self.crashes,
            running = running.len(),
            fingerprints = fingerprints.join(",");
            "upstream_crashed"
        );
    }

    /// Switches to the quarantine of a newer configuration: refuses the calls that wait for a slot,
    /// and objects if the upstream has completed one of the requests.
    pub(super) fn apply_quarantine(
        &mut self,
        now: Timestamp,
        quarantined: &IndexSet<RequestFingerprint>,
        steps: &mut Vec<DestinationStep>,
    ) {
        if self.quarantined == *quarantined {
            return;
        }
        let is_new = |fingerprint: &RequestFingerprint| !self.quarantined.contains(fingerprint);
        let added = quarantined.iter().copied().filter(is_new);
        let completed: Vec<_> = added
            .filter(|fingerprint| self.completed.contains(*fingerprint))
            .collect();
        if !completed.is_empty() {
            steps.push(DestinationStep::ReportCrash(CrashReport {
                upstream: self.name.to_string(),
                incarnation: self.incarnation.0,
                completed: fingerprints_to_wire(&completed),
                ..CrashReport::default()
            }));
        }
        self.quarantined = quarantined.clone();
        self.refuse_quarantined(now, steps);
    }

    fn refuse_quarantined(&mut self, now: Timestamp, steps: &mut Vec<DestinationStep>) {
        let is_refused = |run: &CallRun| {
            let fingerprint = RequestFingerprint(run.request.fingerprint);
            run.phase != RunPhase::Running && self.quarantined.contains(&fingerprint)
        };
        let refused = self.runs.iter().filter(|(_, run)| is_refused(run));
        for id in refused.map(|(id, _)| *id).collect::<Vec<_>>() {
            // The call may have started in a slot that an earlier refusal in this loop freed.
            if self
                .runs
                .get(&id)
                .is_some_and(|run| run.phase != RunPhase::Running)
            {
                self.refuse_run(now, id, CallReason::Quarantined, steps);
            }
        }
    }
}
