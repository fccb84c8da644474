//! Acceptance of updates: assembly, validation and application as a whole.

use std::sync::Arc;

use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::{Applied, ChunkReceived, Delta, Rejected, SnapshotChunk};

use super::super::assembly::{AssemblyProgress, UpdateAssembly};
use super::{AppliedSource, ChildState, ChildStep, UpdateRefusal};
use crate::core::{ConfigSnapshot, ConfigVersion};

impl ChildState {
    pub(super) fn accept_chunk(&mut self, chunk: &SnapshotChunk) -> Vec<ChildStep> {
        let version = ConfigVersion(chunk.version);
        if let Some(steps) = self.acknowledge_old(version) {
            return steps;
        }
        match UpdateAssembly::accept(&mut self.assembly, chunk) {
            Ok(AssemblyProgress::Partial { received_bytes }) if chunk.is_paced => {
                let received = ChunkReceived {
                    version: chunk.version,
                    received_bytes,
                };
                vec![self.send(Body::ChunkReceived(received))]
            }
            Ok(AssemblyProgress::Partial { .. }) => Vec::new(),
            Ok(AssemblyProgress::State(state, digest)) => {
                match ConfigSnapshot::from_state(&state, digest) {
                    Ok(snapshot) => self.apply_snapshot(snapshot, AppliedSource::State(state)),
                    Err(error) => self.reject_update(version, error.into()),
                }
            }
            Ok(AssemblyProgress::Delta(delta)) => self.accept_delta(*delta),
            Err(error) => self.reject_update(version, error.into()),
        }
    }

    pub(super) fn accept_delta(&mut self, delta: Delta) -> Vec<ChildStep> {
        let version = ConfigVersion(delta.version);
        if let Some(steps) = self.acknowledge_old(version) {
            return steps;
        }
        let Some(applied) = &self.applied else {
            return self.reject_update(version, UpdateRefusal::NoBase);
        };
        match applied.apply(&delta) {
            Ok(snapshot) => self.apply_snapshot(snapshot, AppliedSource::Delta(Box::new(delta))),
            Err(error) => self.reject_update(version, error.into()),
        }
    }

    /// Answers a duplicate or outdated update with the version that is applied.
    pub(super) fn acknowledge_old(&self, offered: ConfigVersion) -> Option<Vec<ChildStep>> {
        let applied = self.applied.as_deref()?;
        if offered > applied.version {
            return None;
        }
        let version = applied.version.0;
        Some(vec![self.send(Body::Applied(Applied { version }))])
    }

    pub(super) fn apply_snapshot(
        &mut self,
        snapshot: ConfigSnapshot,
        source: AppliedSource,
    ) -> Vec<ChildStep> {
        let version = snapshot.version;
        if self.applied.is_none() && version < self.floor {
            let floor = self.floor;
            return self.reject_update(version, UpdateRefusal::BelowFloor { floor });
        }
        self.group = self.offered_group;
        self.assembly = None;
        let snapshot = Arc::new(snapshot);
        self.applied = Some(snapshot.clone());
        self.apply_welcome_proof();
        self.currency.record_applied(Some(version));
        let version = version.0;
        vec![
            ChildStep::Apply { snapshot, source },
            self.send(Body::Applied(Applied { version })),
        ]
    }

    /// Rejects an update. The parent answers with a snapshot.
    pub(super) fn reject_update(
        &mut self,
        version: ConfigVersion,
        refusal: UpdateRefusal,
    ) -> Vec<ChildStep> {
        self.assembly = None;
        let rejected = Rejected {
            version: version.0,
            reason: refusal.to_string(),
        };
        vec![
            self.send(Body::Rejected(rejected)),
            ChildStep::Refused { version, refusal },
        ]
    }
}
