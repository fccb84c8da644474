//! The state machine: its state, the dispatch of events and what all parts share.

use std::sync::Arc;

use kumquatlock_wire::agreement::{PeerMessage, VoterIdentity, VoterSet, peer_message::Kind};
use rand::rngs::SmallRng;

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

/// What the instance does at present; the state behind it.
#[derive(Debug)]
pub(super) enum RoleState {
    Forming(FormationState),
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    /// `AgreementEngine::leading` is set.
    Leader,
    Halted(PersistFailure),
}

/// One voter's part in the replicated log.
#[derive(Debug)]
pub struct AgreementEngine {
    pub(super) settings: AgreementSettings,
    pub(super) identity: VoterIdentity,
    pub(super) generator: SmallRng,
    /// As last issued for writing; messages that state it wait for the write.
    pub(super) metadata: StoredMetadata,
    pub(super) voters: VoterState,
    pub(super) log: EntryLog,
    /// The log is durable here up to this index. At most `log.last_index()`.
    pub(super) synced_index: u64,
    /// A write has been issued for the log up to this index. At least `synced_index`.
    pub(super) written_index: u64,
    /// Known to be committed. May run ahead of `synced_index` on a follower.
    pub(super) commit_index: u64,
    /// Handed out for applying. At most `commit_index` and `synced_index`.
    pub(super) applied_index: u64,
    /// Payload bytes applied since the latest snapshot.
    pub(super) applied_bytes: u64,
    pub(super) snapshot: Option<Arc<StoredSnapshot>>,
    /// Index and voter set of the snapshot that the caller was asked for, until it is durable.
    pub(super) snapshot_due: Option<(u64, VoterSet)>,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) joining: JoinState,
    /// A received snapshot is being written; nothing is applied until it is durable.
    pub(super) is_installing: bool,
    pub(super) role: RoleState,
    pub(super) leading: Option<LeaderState>,
    pub(super) leader: Option<SharedName>,
    pub(super) leader_heard: Option<Timestamp>,
    pub(super) election_deadline: Timestamp,
    pub(super) outbox: MessageOutbox,
    pub(super) steps: Vec<AgreementAction>,
    reported: Option<(AgreementRole, u64, Option<SharedName>)>,
}

impl AgreementEngine {
    /// Continues from the recovered state. The first call of [`AgreementEngine::handle`] also returns
    /// the step that installs the recovered snapshot.
    pub fn new(
        settings: AgreementSettings,
        recovered: RecoveredState,
        generator: SmallRng,
        now: Timestamp,
    ) -> Self {
        let identity = VoterIdentity {
            name: settings.name.to_string(),
            disk_id: recovered.metadata.disk_id,
        };
        let mut agreement = AgreementEngine {
            settings,
            identity,
            generator,
            metadata: StoredMetadata::default(),
            voters: VoterState::default(),
            log: EntryLog::default(),
            synced_index: 0,
            written_index: 0,
            commit_index: 0,
            applied_index: 0,
            applied_bytes: 0,
            snapshot: None,
            snapshot_due: None,
            incoming: None,
            joining: JoinState::default(),
            is_installing: false,
            role: RoleState::Follower,
            leading: None,
            leader: None,
            leader_heard: None,
            election_deadline: now,
            outbox: MessageOutbox::default(),
            steps: Vec::new(),
            reported: None,
        };
        agreement.restore(now, recovered);
        agreement
    }

    /// Decides what follows from an event.
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
            AgreementEvent::RequestReadIndex(ticket) => self.on_confirm_currency(now, ticket),
            AgreementEvent::TransferLeadership => self.on_transfer_leadership(now),
            AgreementEvent::SnapshotTaken { last_index, data } => {
                self.on_snapshot_taken(last_index, data);
            }
        }
        self.report_role();
        self.request_snapshot();
        std::mem::take(&mut self.steps)
    }

    /// Figures for operators and metrics.
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

    /// Takes over a recovered state. Keeps what was already applied in this process.
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
            self.voters.note_appended(entry);
        }
        self.metadata = metadata;
        self.synced_index = self.log.last_index();
        self.written_index = self.synced_index;
        // A voter set is noted in the metadata only after its entry was committed and synced.
        let noted = self.metadata.voters_index.min(self.synced_index);
        self.commit_index = self.commit_index.max(base_index).max(noted);
        if let Some(snapshot) = &snapshot
            && self.applied_index < snapshot.last_index
        {
            self.applied_index = snapshot.last_index;
            self.steps
                .push(AgreementAction::InstallSnapshot(snapshot.clone()));
        }
        self.snapshot = snapshot;
        self.incoming = None;
        self.is_installing = false;
        self.leader = None;
        self.role = if self.metadata.group_id() == 0 {
            RoleState::Forming(FormationState::new(now))
        } else {
            RoleState::Follower
        };
        self.joining = JoinState::default();
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
            return self.refuse_old_term(&from, &kind);
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
        for effect in self.outbox.note_durable(ticket) {
            match effect {
                WriteEffect::Metadata => {}
                WriteEffect::Entries(last) => self.synced_index = self.synced_index.max(last),
                WriteEffect::Compacted(snapshot) => self.finish_compaction(snapshot),
                WriteEffect::Installed(snapshot) => self.finish_install(snapshot),
            }
        }
        let released = self.outbox.release();
        self.steps
            .extend(released.into_iter().map(AgreementAction::Send));
        self.count_own_vote(now, ticket);
        self.persist_own_entries();
        self.advance_commit(now);
        self.apply_committed();
    }

    /// Stops acknowledging: what is in memory and not on disk is forgotten like in a crash.
    fn on_persist_failed(&mut self, now: Timestamp, ticket: PersistTicket, reason: PersistFailure) {
        log::error!(ticket = ticket.0, reason:? = reason; "write_failed");
        self.become_follower(now, self.metadata.term);
        self.outbox.discard();
        self.steps
            .retain(|step| !matches!(step, AgreementAction::Persist(_)));
        self.snapshot_due = None;
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

    /// Whether this instance may vote and lead.
    pub(super) fn is_voter(&self) -> bool {
        self.voters.contains(&self.identity)
    }

    /// Whether the name may be that of another voter.
    pub(super) fn is_peer(&self, name: &str) -> bool {
        *name != *self.settings.name && self.shared_name(name).is_some()
    }

    /// The instances that messages to all voters go to; in an open group also learners.
    pub(super) fn peers(&self) -> Vec<SharedName> {
        match self.settings.membership {
            GroupMembership::Fixed => self.founders(),
            GroupMembership::Open { .. } => self.members(),
        }
    }

    /// The other voters of the settings.
    pub(super) fn founders(&self) -> Vec<SharedName> {
        let own = &self.settings.name;
        let voters = self.settings.voters.iter();
        voters.filter(|name| *name != own).cloned().collect()
    }

    /// The name of a sender, unless it cannot belong to the group.
    pub(super) fn shared_name(&self, name: &str) -> Option<SharedName> {
        let mut voters = self.settings.voters.iter();
        let named = voters.find(|voter| &***voter == name).cloned();
        match self.settings.membership {
            GroupMembership::Fixed => named,
            // Any instance may ask to join; the voter sets decide whose votes count.
            GroupMembership::Open { .. } => named.or_else(|| Some(name.into())),
        }
    }

    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.last_index)
    }

    /// Emits a write.
    pub(super) fn persist(&mut self, write: JournalWrite, effect: WriteEffect) -> PersistTicket {
        let ticket = self.outbox.issue(effect);
        let writes = vec![write];
        self.steps
            .push(AgreementAction::Persist(PersistRequest { ticket, writes }));
        ticket
    }

    pub(super) fn persist_metadata(&mut self) -> PersistTicket {
        let write = JournalWrite::Metadata(self.metadata.clone());
        self.persist(write, WriteEffect::Metadata)
    }

    /// Sends a message once the metadata is durable.
    pub(super) fn post(&mut self, to: &SharedName, kind: Kind) {
        let message = self.message(self.metadata.term, kind);
        let released = self.outbox.post(to.clone(), message);
        self.steps.extend(released.map(AgreementAction::Send));
    }

    /// Sends a message once everything issued so far is durable.
    pub(super) fn post_when_synced(&mut self, to: &SharedName, kind: Kind) {
        let message = self.message(self.metadata.term, kind);
        let after = self.outbox.last_issued();
        let released = self.outbox.post_after(after, to.clone(), message);
        self.steps.extend(released.map(AgreementAction::Send));
    }

    /// Sends a message that states another term than the current one.
    pub(super) fn post_with_term(&mut self, to: &SharedName, term: u64, kind: Kind) {
        let message = self.message(term, kind);
        let released = self.outbox.post(to.clone(), message);
        self.steps.extend(released.map(AgreementAction::Send));
    }

    fn message(&self, term: u64, kind: Kind) -> PeerMessage {
        PeerMessage {
            group_id: self.metadata.group_id(),
            from: self.identity.clone(),
            term,
            kind: Some(kind),
        }
    }

    /// Hands out the entries that are committed and durable here.
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
            if self.voters.note_committed(&entry) {
                self.metadata.voters = Some(self.voters.committed().clone());
                self.metadata.voters_index = entry.index;
                self.persist_metadata();
            }
            let index = entry.index;
            self.steps.push(AgreementAction::Apply(entry));
            self.answer_proposals(index);
        }
    }

    fn report_role(&mut self) {
        let current = (self.role(), self.metadata.term, self.leader.clone());
        if self.reported.as_ref() == Some(&current) {
            return;
        }
        self.reported = Some(current.clone());
        let (role, term, leader) = current;
        self.steps
            .push(AgreementAction::RoleChanged { role, term, leader });
    }
}

/// The latest voter set known to be committed.
fn recovered_voters(metadata: &StoredMetadata, snapshot: Option<&StoredSnapshot>) -> VoterState {
    let formed = metadata.formed.as_ref().map(|formed| &formed.voters);
    let noted = metadata.voters.as_ref().or(formed);
    match (noted, snapshot) {
        (_, Some(snapshot)) if snapshot.last_index >= metadata.voters_index => {
            VoterState::new(snapshot.voters.clone(), snapshot.last_index)
        }
        (Some(voters), _) => VoterState::new(voters.clone(), metadata.voters_index),
        (None, _) => VoterState::default(),
    }
}
