//! Proofs that the applied configuration is current.
//!
//! A proof that began after the child asked for it shows that any configuration at or above the
//! proved version contains everything that was committed before the child asked. The time of the
//! request is read from the child's own clock, so the proof holds whatever the clocks of other
//! instances do, and however long the answer was under way.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::agreement::{ConfirmRequest, Forward};

use super::{ChildState, ChildStep};
use crate::core::{ConfigVersion, Timestamp};
use crate::distribution::PROOF_TIMEOUT;

/// Time after which a request that was not answered is repeated. A proof may have to wait for the
/// end of another one.
const REQUEST_TIMEOUT: Duration = PROOF_TIMEOUT.saturating_mul(2);
/// Maximum number of proofs that wait for a newer configuration. Further ones are ignored; a child
/// that is so far behind needs the earlier ones first.
const MAX_PENDING: usize = 8;

/// A proof of a version that may not have been applied yet.
#[derive(Clone, Copy, Debug)]
struct PendingProof {
    /// When the proof was asked for.
    asked_at: Timestamp,
    version: ConfigVersion,
}

/// A request for a proof that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct ProofRequest {
    id: u64,
    asked_at: Timestamp,
}

/// Requests for proofs and the time as of which the applied configuration is proved current.
#[derive(Debug, Default)]
pub(super) struct CurrencyProofs {
    /// Interval between requests; `None` if the child needs no proofs.
    interval: Option<Duration>,
    last_id: u64,
    last_asked: Option<Timestamp>,
    request: Option<ProofRequest>,
    /// In the order in which they were asked for.
    pending: VecDeque<PendingProof>,
    confirmed_at: Option<Timestamp>,
}

impl CurrencyProofs {
    pub(super) fn set_interval(&mut self, interval: Option<Duration>) {
        self.interval = interval;
    }

    /// Returns the time as of which the applied configuration is proved current.
    pub(super) fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns the id of the request to send now, if one is due.
    pub(super) fn next_request(&mut self, now: Timestamp) -> Option<u64> {
        let interval = self.interval?;
        let is_due = |last: Timestamp| now.since(last) >= interval;
        let is_lost = |request: ProofRequest| now.since(request.asked_at) >= REQUEST_TIMEOUT;
        if !self.last_asked.is_none_or(is_due) || !self.request.is_none_or(is_lost) {
            return None;
        }
        self.last_id += 1;
        self.last_asked = Some(now);
        self.request = Some(ProofRequest {
            id: self.last_id,
            asked_at: now,
        });
        Some(self.last_id)
    }

    /// Whether the child waits for the answer to this request.
    pub(super) fn awaits(&self, id: u64) -> bool {
        self.request.is_some_and(|request| request.id == id)
    }

    /// Records the answer to the outstanding request: the proved version, or `None` if the proof
    /// failed.
    pub(super) fn record_answer(
        &mut self,
        version: Option<ConfigVersion>,
        applied: Option<ConfigVersion>,
    ) {
        if let Some(request) = self.request.take()
            && let Some(version) = version
        {
            self.add(request.asked_at, version, applied);
        }
    }

    /// Records a proof that the child asked for at `asked_at`.
    pub(super) fn add(
        &mut self,
        asked_at: Timestamp,
        version: ConfigVersion,
        applied: Option<ConfigVersion>,
    ) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(PendingProof { asked_at, version });
        }
        self.record_applied(applied);
    }

    /// Confirms the applied configuration by all proofs of versions that it has reached.
    pub(super) fn record_applied(&mut self, applied: Option<ConfigVersion>) {
        let Some(applied) = applied else {
            return;
        };
        let pending = self.pending.iter();
        let reached = pending.filter(|proof| proof.version <= applied);
        let confirmed = reached.map(|proof| proof.asked_at).max();
        self.confirmed_at = self.confirmed_at.max(confirmed);
        self.pending.retain(|proof| proof.version > applied);
    }

    /// Forgets what the lost parent has not answered. Proofs of versions that were not applied yet
    /// are forgotten, too, as the next parent may be one of another group.
    pub(super) fn on_detached(&mut self) {
        self.request = None;
        self.last_asked = None;
        self.pending.clear();
    }
}

impl ChildState {
    /// Asks the parent for a proof that the applied configuration is current, if one is due.
    pub(super) fn request_proof(&mut self, now: Timestamp) -> Option<ChildStep> {
        if !self.is_attached() {
            return None;
        }
        let request_id = self.currency.next_request(now)?;
        let content = Some(Content::ConfirmRequest(ConfirmRequest::default()));
        let request = Forward {
            request_id,
            content,
        };
        Some(self.send(Body::Forward(request)))
    }

    /// Handles a message that is passed down from the leader, or the answer to a request for a proof.
    pub(super) fn handle_forward(&mut self, forward: Forward) -> Vec<ChildStep> {
        match &forward.content {
            Some(Content::ConfirmReply(reply)) if self.currency.awaits(forward.request_id) => {
                let version = reply.index.map(ConfigVersion);
                self.currency.record_answer(version, self.applied_version());
                Vec::new()
            }
            _ => vec![ChildStep::Relayed(forward)],
        }
    }

    pub(super) fn applied_version(&self) -> Option<ConfigVersion> {
        self.applied.as_ref().map(|applied| applied.version)
    }
}
