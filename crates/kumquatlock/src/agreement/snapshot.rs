//! Log compaction, and transfer of snapshots to members that need compacted entries.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use kumquatlock_wire::agreement::{
    LogSnapshotChunk, LogSnapshotReply, VoterIdentity, peer_message::Kind,
};

use super::log::EntryLog;
use super::machine::{AgreementEngine, RoleState};
use super::outbox::WriteEffect;
use super::progress::ReplicationMode;
use super::types::AgreementAction;
use super::voters::VoterState;
use super::{MAX_SNAPSHOT_BYTES, RETAINED_ENTRIES, SNAPSHOT_CHUNK_BYTES};
use crate::core::{SharedName, Timestamp};
use crate::journal::{JournalWrite, StoredSnapshot};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: VoterIdentity,
    last_index: u64,
    last_term: u64,
    data: BytesMut,
}

impl AgreementEngine {
    /// Asks the caller for a snapshot if enough entries or bytes were applied since the last one.
    pub(super) fn request_snapshot(&mut self) {
        let entries = self.applied_index.saturating_sub(self.snapshot_index());
        let is_due = entries >= self.settings.compaction_entries
            || self.applied_bytes >= self.settings.compaction_bytes;
        let is_halted = matches!(self.role, RoleState::Halted(_));
        if !is_due || is_halted || self.is_installing || self.pending_snapshot.is_some() {
            return;
        }
        let last_index = self.applied_index;
        self.pending_snapshot = Some((last_index, self.voters.committed().clone()));
        self.actions
            .push(AgreementAction::TakeSnapshot { last_index });
    }

    pub(super) fn on_snapshot_taken(&mut self, last_index: u64, data: Bytes) {
        let due = self.pending_snapshot.clone();
        let Some((_, voters)) = due.filter(|(due, _)| *due == last_index) else {
            return;
        };
        let Some(last_term) = self.log.term(last_index) else {
            return;
        };
        let snapshot = Arc::new(StoredSnapshot {
            last_index,
            last_term,
            voters,
            data,
        });
        self.applied_bytes = 0;
        let write = JournalWrite::SaveSnapshot {
            snapshot: snapshot.clone(),
            keep_from: last_index + 1,
        };
        self.persist(write, WriteEffect::Compacted(snapshot));
    }

    pub(super) fn finish_compaction(&mut self, snapshot: Arc<StoredSnapshot>) {
        self.pending_snapshot = None;
        if snapshot.last_index <= self.snapshot_index() {
            return;
        }
        let base = snapshot.last_index.saturating_sub(RETAINED_ENTRIES);
        self.log.compact_to(base);
        self.snapshot = Some(snapshot);
    }

    pub(super) fn start_snapshot(&mut self, now: Timestamp, peer: &SharedName) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if snapshot.data.len() as u64 > MAX_SNAPSHOT_BYTES {
            log::error!(bytes = snapshot.data.len(); "snapshot_too_large");
            return;
        }
        let progress = self
            .leader_state
            .as_mut()
            .and_then(|state| state.progress.get_mut(peer));
        if let Some(progress) = progress {
            progress.mode = ReplicationMode::SendingSnapshot {
                snapshot,
                offset: 0,
                sent_at: now,
            };
            self.send_chunk(now, peer);
        }
    }

    pub(super) fn send_chunk(&mut self, now: Timestamp, peer: &SharedName) {
        let progress = self
            .leader_state
            .as_mut()
            .and_then(|state| state.progress.get_mut(peer));
        let Some(ReplicationMode::SendingSnapshot {
            snapshot,
            offset,
            sent_at,
        }) = progress.map(|progress| &mut progress.mode)
        else {
            return;
        };
        *sent_at = now;
        let total = snapshot.data.len();
        let start = (*offset as usize).min(total);
        let end = total.min(start + SNAPSHOT_CHUNK_BYTES);
        let chunk = LogSnapshotChunk {
            last_index: snapshot.last_index,
            last_term: snapshot.last_term,
            voters: snapshot.voters.clone(),
            offset: start as u64,
            total_bytes: total as u64,
            data: snapshot.data.slice(start..end),
        };
        self.send(peer, Kind::SnapshotChunk(chunk));
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        now: Timestamp,
        from: &VoterIdentity,
        reply: LogSnapshotReply,
    ) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some((_, peer, progress)) = state.progress.get_full_mut(from.name.as_str()) else {
            return;
        };
        if progress.disk_id != Some(from.disk_id) {
            return;
        }
        progress.last_contact = now;
        let peer = peer.clone();
        let ReplicationMode::SendingSnapshot {
            snapshot, offset, ..
        } = &mut progress.mode
        else {
            return;
        };
        if snapshot.last_index != reply.last_index {
            return;
        }
        // An offset past the end means that the peer has stored the snapshot durably.
        if reply.next_offset > snapshot.data.len() as u64 {
            let last_index = snapshot.last_index;
            progress.record_match(last_index);
            self.send_entries(now, &peer);
        } else if reply.next_offset != *offset {
            *offset = reply.next_offset;
            self.send_chunk(now, &peer);
        }
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        now: Timestamp,
        from: VoterIdentity,
        chunk: LogSnapshotChunk,
    ) {
        let Some(leader) = self.record_leader_contact(now, &from) else {
            return;
        };
        let last_index = chunk.last_index;
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES {
            log::error!(bytes = chunk.total_bytes; "snapshot_refused");
            return;
        }
        let finished = Kind::SnapshotReply(LogSnapshotReply {
            last_index,
            next_offset: chunk.total_bytes + 1,
        });
        // Entries after the snapshot's last index may have been acknowledged, so a log that matches
        // the snapshot is kept.
        let matches_snapshot = last_index < self.log.base_index()
            || self.log.term(last_index) == Some(chunk.last_term);
        if matches_snapshot {
            self.incoming_snapshot = None;
            self.commit_index = self.commit_index.max(last_index);
            self.send_when_synced(&leader, finished);
            return self.apply_committed();
        }
        match self.receive_chunk(from, chunk) {
            Ok(snapshot) => {
                self.install_snapshot(snapshot);
                self.send_when_synced(&leader, finished);
            }
            Err(next_offset) => {
                let reply = LogSnapshotReply {
                    last_index,
                    next_offset,
                };
                self.send(&leader, Kind::SnapshotReply(reply));
            }
        }
    }

    /// Adds a chunk to the incoming snapshot. Returns the snapshot if it is complete, and
    /// otherwise, as the error, the offset of the next chunk that is needed.
    fn receive_chunk(
        &mut self,
        from: VoterIdentity,
        chunk: LogSnapshotChunk,
    ) -> Result<Arc<StoredSnapshot>, u64> {
        let (last_index, last_term) = (chunk.last_index, chunk.last_term);
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(|incoming| {
                incoming.from == from
                    && incoming.last_index == last_index
                    && incoming.last_term == last_term
            })
            .unwrap_or(IncomingSnapshot {
                from,
                last_index,
                last_term,
                data: BytesMut::new(),
            });
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received > chunk.total_bytes {
            log::error!(index = last_index; "snapshot_exceeds_announced_size");
            return Err(0);
        }
        if received < chunk.total_bytes {
            self.incoming_snapshot = Some(incoming);
            return Err(received);
        }
        Ok(Arc::new(StoredSnapshot {
            last_index,
            last_term,
            voters: chunk.voters,
            data: incoming.data.freeze(),
        }))
    }

    /// Replaces the log with the snapshot. The applied state is replaced once the snapshot is
    /// durable.
    fn install_snapshot(&mut self, snapshot: Arc<StoredSnapshot>) {
        let (last_index, last_term) = (snapshot.last_index, snapshot.last_term);
        self.outbox.record_truncated(1);
        self.log = EntryLog::new(last_index, last_term, Vec::new());
        self.voters = VoterState::new(snapshot.voters.clone(), last_index);
        self.synced_index = self.applied_index;
        self.written_index = last_index;
        self.is_installing = true;
        self.pending_snapshot = None;
        let write = JournalWrite::InstallSnapshot(snapshot.clone());
        self.persist(write, WriteEffect::Installed(snapshot));
    }

    pub(super) fn finish_install(&mut self, snapshot: Arc<StoredSnapshot>) {
        let last_index = snapshot.last_index;
        self.is_installing = false;
        self.synced_index = self.synced_index.max(last_index);
        self.commit_index = self.commit_index.max(last_index);
        self.applied_index = last_index;
        self.applied_bytes = 0;
        self.snapshot = Some(snapshot.clone());
        self.actions
            .push(AgreementAction::InstallSnapshot(snapshot));
    }
}
