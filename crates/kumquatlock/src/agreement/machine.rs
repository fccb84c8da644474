//! The engine: its state, the dispatch of events and the helpers that the submodules share.

use std::sync::Arc;

use kumquatlock_wire::agreement::{PeerMessage, VoterIdentity, VoterSet, peer_message::Kind};
use rand::rngs::SmallRng;

use super::bounds::is_within_bounds;
use super::election::VoteTally;
use super::formation::FormationState;
use super::joining::JoinState;
use super::log::EntryLog;
use super::outbox::{MessageOutbox, WriteEffect};
use super::progress::LeaderState;
use super::snapshot::IncomingSnapshot;
use super::types::{
    AgreementAction, AgreementEvent, AgreementRole, AgreementSettings, AgreementStatus,
    GroupMembership, PersistFailure, PersistRequest, PersistTicket,
};
use super::voters::VoterState;
use crate::core::{GroupId, SharedName, Timestamp};
use crate::journal::{JournalWrite, RecoveredState, StoredMetadata, StoredSnapshot};

/// Current role of the instance, with the state that exists only in that role.
#[derive(Debug)]
pub(super) enum RoleState {
    Forming(FormationState),
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    /// Set together with `AgreementEngine::leader_state`.
    Leader,
    Halted(PersistFailure),
}

/// Raft state of one instance. Makes decisions on events and does no I/O.
#[derive(Debug)]
pub struct AgreementEngine {
    pub(super) settings: AgreementSettings,
    pub(super) identity: VoterIdentity,
    pub(super) rng: SmallRng,
    /// Metadata as of the last write issued. Messages that depend on it wait for the write.
    pub(super) metadata: StoredMetadata,
    pub(super) voters: VoterState,
    pub(super) log: EntryLog,
    /// Last index up to which the local log is durable. At most `log.last_index()`.
    pub(super) synced_index: u64,
    /// Last index for which a write has been issued. At least `synced_index`.
    pub(super) written_index: u64,
    /// Last index known to be committed. May be greater than `synced_index` on a follower.
    pub(super) commit_index: u64,
    /// Last index passed to the caller in [`AgreementAction::Apply`] or covered by an installed
    /// snapshot. At most `commit_index` and `synced_index`.
    pub(super) applied_index: u64,
    /// Payload bytes applied since the last snapshot.
    pub(super) applied_bytes: u64,
    pub(super) snapshot: Option<Arc<StoredSnapshot>>,
    /// Last index and voter set of the snapshot that the caller was asked to take. Cleared once the
    /// snapshot is durable.
    pub(super) pending_snapshot: Option<(u64, VoterSet)>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) join_state: JoinState,
    /// Whether a received snapshot is being written. Nothing is applied until it is durable.
    pub(super) is_installing: bool,
    pub(super) role: RoleState,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) leader: Option<SharedName>,
    pub(super) last_leader_contact: Option<Timestamp>,
    pub(super) election_deadline: Timestamp,
    pub(super) outbox: MessageOutbox,
    pub(super) actions: Vec<AgreementAction>,
    last_reported: Option<(AgreementRole, u64, Option<SharedName>)>,
}

impl AgreementEngine {
    /// Creates an engine that continues from the recovered state. If there is a recovered snapshot,
    /// the first call of [`AgreementEngine::handle`] also returns the action that installs it.
    pub fn new(
        settings: AgreementSettings,
        recovered: RecoveredState,
        rng: SmallRng,
        now: Timestamp,
    ) -> Self {
        let identity = VoterIdentity {
            name: settings.name.to_string(),
            disk_id: recovered.metadata.disk_id,
        };
        let mut engine = AgreementEngine {
            settings,
            identity,
            rng,
            metadata: StoredMetadata::default(),
            voters: VoterState::default(),
            log: EntryLog::default(),
            synced_index: 0,
            written_index: 0,
            commit_index: 0,
            applied_index: 0,
            applied_bytes: 0,
            snapshot: None,
            pending_snapshot: None,
            incoming_snapshot: None,
            join_state: JoinState::default(),
            is_installing: false,
            role: RoleState::Follower,
            leader_state: None,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            outbox: MessageOutbox::default(),
            actions: Vec::new(),
            last_reported: None,
        };
        engine.restore(now, recovered);
        engine
    }

    /// Processes an event and returns the actions that the caller must carry out.
    pub fn handle(&mut self, now: Timestamp, event: AgreementEvent) -> Vec<AgreementAction> {
        match event {
            AgreementEvent::Tick => self.on_tick(now),
            AgreementEvent::Received(message) => self.on_message(now, message),
            AgreementEvent::Persisted(ticket) => self.on_persisted(now, ticket),
            AgreementEvent::PersistFailed { ticket, reason } => {
                self.on_persist_failed(now, ticket, reason);
            }
            AgreementEvent::StorageReopened(recovered) => self.on_storage_reopened(now, recovered),
            AgreementEvent::Propose { ticket, payload } => self.on_propose(now, ticket, payload),
            AgreementEvent::RequestReadIndex(ticket) => self.on_request_read_index(now, ticket),
            AgreementEvent::TransferLeadership => self.on_transfer_leadership(now),
            AgreementEvent::SnapshotTaken { last_index, data } => {
                self.on_snapshot_taken(last_index, data);
            }
        }
        self.report_role();
        self.request_snapshot();
        std::mem::take(&mut self.actions)
    }

    /// Returns the current status, for operators and metrics.
    pub fn status(&self) -> AgreementStatus {
        AgreementStatus {
            role: self.role(),
            group_id: GroupId(self.metadata.group_id()),
            term: self.metadata.term,
            leader: self.leader.clone(),
            last_index: self.log.last_index(),
            synced_index: self.synced_index,
            commit_index: self.commit_index,
            applied_index: self.applied_index,
            snapshot_index: self.snapshot_index(),
            term_start_index: self
                .leader_state
                .as_ref()
                .map_or(0, |state| state.term_start_index),
            voters: self.voters.committed().clone(),
        }
    }

    fn role(&self) -> AgreementRole {
        match &self.role {
            RoleState::Forming(_) => AgreementRole::Forming,
            RoleState::Follower if !self.is_voter() => AgreementRole::Learner,
            RoleState::Follower => AgreementRole::Follower,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => AgreementRole::Candidate,
            RoleState::Leader => AgreementRole::Leader,
            RoleState::Halted(_) => AgreementRole::Halted,
        }
    }

    /// Loads a recovered state. Entries that this process already applied are not applied again.
    fn restore(&mut self, now: Timestamp, recovered: RecoveredState) {
        let RecoveredState {
            metadata,
            snapshot,
            entries,
            ..
        } = recovered;
        let (base_index, base_term) = snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.last_index, snapshot.last_term));
        self.voters = recovered_voters(&metadata, snapshot.as_deref());
        self.log = EntryLog::new(base_index, base_term, entries);
        for entry in self.log.iter() {
            self.voters.record_appended(entry);
        }
        self.metadata = metadata;
        self.synced_index = self.log.last_index();
        self.written_index = self.synced_index;
        // A voter set is recorded in the metadata only after its entry was committed and synced.
        let recorded_index = self.metadata.voters_index.min(self.synced_index);
        // Entries may have been known to be committed before a write of them failed.
        let known_index = self.commit_index.min(self.synced_index);
        self.commit_index = known_index.max(base_index).max(recorded_index);
        if let Some(snapshot) = &snapshot
            && self.applied_index < snapshot.last_index
        {
            self.applied_index = snapshot.last_index;
            self.actions
                .push(AgreementAction::InstallSnapshot(snapshot.clone()));
        }
        self.snapshot = snapshot;
        self.incoming_snapshot = None;
        self.is_installing = false;
        self.leader = None;
        self.role = if self.metadata.group_id() == 0 {
            RoleState::Forming(FormationState::new(now))
        } else {
            RoleState::Follower
        };
        self.join_state = JoinState::default();
        self.set_first_election_deadline(now);
    }

    fn on_tick(&mut self, now: Timestamp) {
        match &self.role {
            RoleState::Forming(_) => self.on_formation_tick(now),
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_) => {
                self.on_election_tick(now);
                self.ask_to_join(now);
            }
            RoleState::Leader => self.on_leader_tick(now),
            RoleState::Halted(_) => {}
        }
    }

    fn on_message(&mut self, now: Timestamp, message: PeerMessage) {
        if !is_within_bounds(&message) {
            log::error!(from = message.from.name.as_str(); "peer_message_out_of_bounds");
            return;
        }
        let PeerMessage {
            group_id,
            from,
            term,
            kind,
        } = message;
        let (Some(kind), false) = (kind, matches!(self.role, RoleState::Halted(_))) else {
            return;
        };
        match kind {
            Kind::FormationQuery(_) => return self.on_formation_query(now, &from),
            Kind::FormationReply(reply) => return self.on_formation_reply(now, from, reply),
            Kind::FormGroup(formed) => return self.on_form_group(now, formed),
            _ if group_id == 0 || group_id != self.metadata.group_id() => {
                log::debug!(group = group_id, from = from.name.as_str(); "foreign_group_message_ignored");
                return;
            }
            _ => {}
        }
        match kind {
            Kind::VoteRequest(request) => return self.on_vote_request(now, from, term, request),
            Kind::VoteReply(reply) => return self.on_vote_reply(now, from, term, reply),
            _ => {}
        }
        if term < self.metadata.term {
            return self.reject_old_term(&from, &kind);
        }
        if term > self.metadata.term {
            self.become_follower(now, term);
        }
        match kind {
            Kind::AppendRequest(request) => self.on_append_request(now, &from, request),
            Kind::AppendReply(reply) => self.on_append_reply(now, &from, reply),
            Kind::SnapshotChunk(chunk) => self.on_snapshot_chunk(now, from, chunk),
            Kind::SnapshotReply(reply) => self.on_snapshot_reply(now, &from, reply),
            Kind::TimeoutNow(_) => self.on_timeout_now(now, &from),
            _ => {}
        }
    }

    fn on_persisted(&mut self, now: Timestamp, ticket: PersistTicket) {
        if matches!(self.role, RoleState::Halted(_)) {
            return;
        }
        for effect in self.outbox.record_durable(ticket) {
            match effect {
                WriteEffect::Metadata => {}
                WriteEffect::Entries(last) => self.synced_index = self.synced_index.max(last),
                WriteEffect::Compacted(snapshot) => self.finish_compaction(snapshot),
                WriteEffect::Installed(snapshot) => self.finish_install(snapshot),
            }
        }
        let released = self.outbox.release();
        self.actions
            .extend(released.into_iter().map(AgreementAction::Send));
        self.count_own_vote(now, ticket);
        self.persist_next_batch();
        self.advance_commit(now);
        self.apply_committed();
    }

    /// Halts the instance. Messages that wait for a write are discarded, so that nothing unwritten
    /// is acknowledged. Once the journal is reopened, the log and the metadata are those on disk,
    /// as after a crash.
    fn on_persist_failed(&mut self, now: Timestamp, ticket: PersistTicket, reason: PersistFailure) {
        log::error!(ticket = ticket.0, reason:? = reason; "write_failed");
        self.become_follower(now, self.metadata.term);
        self.outbox.discard();
        self.actions
            .retain(|action| !matches!(action, AgreementAction::Persist(_)));
        self.pending_snapshot = None;
        self.leader = None;
        self.role = RoleState::Halted(reason);
    }

    fn on_storage_reopened(&mut self, now: Timestamp, recovered: RecoveredState) {
        if !matches!(self.role, RoleState::Halted(_)) {
            return;
        }
        if recovered.metadata.disk_id != self.identity.disk_id {
            log::error!("reopened_folder_has_other_disk_id");
            return;
        }
        self.restore(now, recovered);
    }

    /// Whether this instance is in a voter set, and so may vote and become leader.
    pub(super) fn is_voter(&self) -> bool {
        self.voters.contains(&self.identity)
    }

    /// Whether the name may belong to another member of the group.
    pub(super) fn is_peer(&self, name: &str) -> bool {
        *name != *self.settings.name && self.member_name(name).is_some()
    }

    /// Returns the instances to which this one sends messages for the whole group. On the leader of
    /// an open group they include the learners.
    pub(super) fn peers(&self) -> Vec<SharedName> {
        match self.settings.membership {
            GroupMembership::Fixed => self.configured_peers(),
            GroupMembership::Open { .. } => self.other_members(),
        }
    }

    /// Returns the voters listed in the settings, except this instance.
    pub(super) fn configured_peers(&self) -> Vec<SharedName> {
        let own = &self.settings.name;
        let voters = self.settings.voters.iter();
        voters.filter(|name| *name != own).cloned().collect()
    }

    /// Returns the name as a [`SharedName`], or `None` if an instance of this name cannot belong to
    /// the group.
    pub(super) fn member_name(&self, name: &str) -> Option<SharedName> {
        let mut voters = self.settings.voters.iter();
        let named = voters.find(|voter| &***voter == name).cloned();
        match self.settings.membership {
            GroupMembership::Fixed => named,
            // Any instance may ask to join. The voter sets determine whose votes count.
            GroupMembership::Open { .. } => named.or_else(|| Some(name.into())),
        }
    }

    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.last_index)
    }

    /// Issues a write request.
    pub(super) fn persist(&mut self, write: JournalWrite, effect: WriteEffect) -> PersistTicket {
        let ticket = self.outbox.issue(effect);
        let writes = vec![write];
        self.actions
            .push(AgreementAction::Persist(PersistRequest { ticket, writes }));
        ticket
    }

    pub(super) fn persist_metadata(&mut self) -> PersistTicket {
        let write = JournalWrite::Metadata(self.metadata.clone());
        self.persist(write, WriteEffect::Metadata)
    }

    /// Sends a message once the latest metadata is durable.
    pub(super) fn send(&mut self, to: &SharedName, kind: Kind) {
        let message = self.message(self.metadata.term, kind);
        let released = self.outbox.send(to.clone(), message);
        self.actions.extend(released.map(AgreementAction::Send));
    }

    /// Sends a message once all writes issued so far are durable.
    pub(super) fn send_when_synced(&mut self, to: &SharedName, kind: Kind) {
        let message = self.message(self.metadata.term, kind);
        let after = self.outbox.last_issued();
        let released = self.outbox.send_after(after, to.clone(), message);
        self.actions.extend(released.map(AgreementAction::Send));
    }

    /// Sends a message with a term other than the current one, once the latest metadata is durable.
    pub(super) fn send_with_term(&mut self, to: &SharedName, term: u64, kind: Kind) {
        let message = self.message(term, kind);
        let released = self.outbox.send(to.clone(), message);
        self.actions.extend(released.map(AgreementAction::Send));
    }

    fn message(&self, term: u64, kind: Kind) -> PeerMessage {
        PeerMessage {
            group_id: self.metadata.group_id(),
            from: self.identity.clone(),
            term,
            kind: Some(kind),
        }
    }

    /// Passes the entries that are committed and locally durable to the caller for applying.
    pub(super) fn apply_committed(&mut self) {
        if self.is_installing {
            return;
        }
        let limit = self.commit_index.min(self.synced_index);
        while self.applied_index < limit {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else {
                return;
            };
            self.applied_index = entry.index;
            self.applied_bytes += entry.payload.len() as u64;
            if self.voters.record_committed(&entry) {
                self.metadata.voters = Some(self.voters.committed().clone());
                self.metadata.voters_index = entry.index;
                self.persist_metadata();
            }
            let index = entry.index;
            self.actions.push(AgreementAction::Apply(entry));
            self.answer_proposals(index);
        }
    }

    fn report_role(&mut self) {
        let current = (self.role(), self.metadata.term, self.leader.clone());
        if self.last_reported.as_ref() == Some(&current) {
            return;
        }
        self.last_reported = Some(current.clone());
        let (role, term, leader) = current;
        self.actions
            .push(AgreementAction::RoleChanged { role, term, leader });
    }
}

/// Returns the latest voter set that is known to be committed.
fn recovered_voters(metadata: &StoredMetadata, snapshot: Option<&StoredSnapshot>) -> VoterState {
    let formation_voters = metadata.formed.as_ref().map(|formed| &formed.voters);
    let recorded = metadata.voters.as_ref().or(formation_voters);
    match (recorded, snapshot) {
        (_, Some(snapshot)) if snapshot.last_index >= metadata.voters_index => {
            VoterState::new(snapshot.voters.clone(), snapshot.last_index)
        }
        (Some(voters), _) => VoterState::new(voters.clone(), metadata.voters_index),
        (None, _) => VoterState::default(),
    }
}
