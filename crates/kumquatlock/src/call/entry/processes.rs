//! Processes of destination nodes that the configuration does not show yet.
//!
//! A node that has started again refuses the attempts that name its earlier incarnation and must
//! not run twice. Its refusal states the process that answers, so that the entry node need not wait
//! for the configuration before it sends such calls there. Calls with a key wait all the same: the
//! claim of an attempt outlives its call, and names an incarnation without a process.

use indexmap::IndexMap;
use kumquatlock_wire::call::{CallOutcome, CallReason, CallResponse};

use super::state::SentAttempt;
use super::{CallId, EntryCalls, EntryStep};
use crate::core::{ConfigSnapshot, IncarnationId, ProcessId, SharedName, Timestamp, UpstreamEntry};
use crate::routing::UpstreamOutcome;

/// What an attempt names of its destination node. Any other process of the node refuses the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DestinationProcess {
    pub(super) incarnation: IncarnationId,
    /// Present if the node itself stated the incarnation, and not the configuration. Until the
    /// configuration shows it, another process could take the same number. Afterwards none does:
    /// the first configuration of a process is at least as new as any that was applied before the
    /// process started, and the process raises its incarnation above the recorded one.
    pub(super) process: Option<ProcessId>,
}

impl DestinationProcess {
    /// Returns the process that the configuration shows.
    pub(super) fn of_config(upstream: &UpstreamEntry) -> Self {
        DestinationProcess {
            incarnation: upstream.incarnation,
            process: None,
        }
    }
}

/// Processes that destination nodes have stated in refusals.
#[derive(Debug, Default)]
pub(super) struct StatedProcesses {
    /// Process of each upstream whose incarnation is later than that of the applied configuration.
    /// Contains only upstreams of that configuration.
    by_upstream: IndexMap<SharedName, DestinationProcess>,
}

impl StatedProcesses {
    /// Returns the process that a call to the upstream must name.
    pub(super) fn current(&self, upstream: &UpstreamEntry) -> DestinationProcess {
        let stated = self.by_upstream.get(&upstream.name).copied();
        let later = stated.filter(|stated| stated.incarnation > upstream.incarnation);
        later.unwrap_or(DestinationProcess::of_config(upstream))
    }

    /// Whether the process is that of the configuration, or the one that the node has stated last.
    pub(super) fn is_current(&self, upstream: &UpstreamEntry, named: DestinationProcess) -> bool {
        named.incarnation == upstream.incarnation || named == self.current(upstream)
    }

    /// Drops what a newer configuration shows or contradicts.
    pub(super) fn apply(&mut self, snapshot: &ConfigSnapshot) {
        self.by_upstream.retain(|name, stated| {
            let upstream = snapshot.upstreams.get(name);
            upstream.is_some_and(|upstream| upstream.incarnation < stated.incarnation)
        });
    }
}

impl EntryCalls {
    /// Records the process that a refusal states. Returns whether the attempt can be sent again to
    /// that process.
    ///
    /// Only an attempt that named the incarnation of the configuration is sent again. Otherwise a
    /// node that states a later one with each refusal would get the attempt without end.
    pub(super) fn adopt_process(&mut self, sent: &SentAttempt, refusal: &CallResponse) -> bool {
        let is_refused = refusal.outcome == CallOutcome::NotRun as i32
            && refusal.reason == CallReason::WrongIncarnation as i32;
        if !is_refused {
            return false;
        }
        let name = &sent.chosen.entry.name;
        let stated = DestinationProcess {
            incarnation: IncarnationId(refusal.incarnation),
            process: Some(ProcessId(refusal.process)).filter(|process| process.0 != 0),
        };
        let known = self.snapshot.as_ref();
        let known = known.and_then(|snapshot| snapshot.upstreams.get(name));
        let was_current =
            known.is_some_and(|known| known.incarnation == sent.addressed.incarnation);
        let is_later = was_current && sent.addressed.incarnation < stated.incarnation;
        let is_serving = refusal.load.is_some_and(|load| !load.draining);
        if !is_later || !is_serving || stated.process.is_none() {
            self.stated_processes.by_upstream.swap_remove(name);
            return false;
        }
        self.stated_processes
            .by_upstream
            .insert(name.clone(), stated);
        true
    }

    /// Whether the request of the call is protected by claims.
    pub(super) fn has_claim_key(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| call.claim_key().is_some())
    }

    /// Sends a refused attempt again to the same node, to the process that the node has stated. The
    /// refused attempt is not counted.
    pub(super) fn readdress(
        &mut self,
        now: Timestamp,
        id: CallId,
        sent: SentAttempt,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.refused_attempts.push(sent.number);
        call.attempts_sent = call.attempts_sent.saturating_sub(1);
        call.possibly_arrived = call.possibly_arrived.saturating_sub(1);
        let service = call.service.clone();
        let chosen = sent.chosen.clone();
        let (fingerprint, is_last) = (call.fingerprint, call.outstanding.is_empty());
        self.finish_ticket(now, &service, sent, UpstreamOutcome::Cancelled, None);
        if self.is_quarantined(fingerprint) {
            if is_last {
                self.refuse_quarantined(now, id, steps);
            }
            return;
        }
        self.send_to(now, id, chosen, steps);
        self.reschedule(now, id);
    }
}
