//! Quarantine of requests that end upstreams, decided by the leader.

use kumquatlock_wire::distribution::catalog_command;
use kumquatlock_wire::quarantine::{CrashReport, QuarantineChange};

use super::actor::ControlActor;
use crate::core::{RequestFingerprint, Timestamp};
use crate::quarantine::{
    CrashId, MAX_QUARANTINED, MAX_SUSPECTS, SuspectCall, fingerprints_from_wire,
    fingerprints_to_wire,
};

impl ControlActor {
    /// Handles a node's report on a crash. Drops it if this instance is not the leader any more.
    pub(super) fn handle_crash(&mut self, now: Timestamp, report: &CrashReport) {
        if !self.is_leader() {
            return;
        }
        self.follow_quarantine(now);
        for fingerprint in fingerprints_from_wire(&report.completed, MAX_QUARANTINED) {
            if self.leader_view.crashes.clear(fingerprint) {
                log::warn!(
                    fingerprint:% = fingerprint,
                    upstream = report.upstream.as_str();
                    "quarantine_objected"
                );
                self.release(&[fingerprint]);
            }
        }
        let suspects = report.suspects.iter().take(MAX_SUSPECTS);
        let suspects: Vec<_> = suspects.filter_map(SuspectCall::from_wire).collect();
        if suspects.is_empty() {
            return;
        }
        let id = CrashId {
            upstream: report.upstream.as_str().into(),
            incarnation: report.incarnation,
            number: report.number,
        };
        let deadly = self.leader_view.crashes.record_crash(now, id, &suspects);
        if let Some(fingerprint) = deadly {
            log::warn!(
                fingerprint:% = fingerprint,
                upstream = report.upstream.as_str();
                "request_quarantined"
            );
            self.propose(catalog_command::Kind::Quarantine(QuarantineChange {
                added: fingerprints_to_wire(&[fingerprint]),
                removed: Vec::new(),
            }));
        }
    }

    /// Releases the requests whose quarantine has lasted long enough. Called once per second.
    pub(super) fn expire_quarantine(&mut self, now: Timestamp) {
        if !self.is_leader() {
            return;
        }
        self.follow_quarantine(now);
        let expired = self.leader_view.crashes.take_expired(now);
        if !expired.is_empty() {
            log::info!(requests = expired.len(); "quarantine_expired");
            self.release(&expired);
        }
    }

    fn follow_quarantine(&mut self, now: Timestamp) {
        let quarantined = self.catalog.quarantined();
        self.leader_view.crashes.set_quarantined(now, &quarantined);
    }

    fn release(&mut self, fingerprints: &[RequestFingerprint]) {
        self.propose(catalog_command::Kind::Quarantine(QuarantineChange {
            added: Vec::new(),
            removed: fingerprints_to_wire(fingerprints),
        }));
    }
}
