//! The replicated log and its journal.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use kumquatlock_wire::agreement::{
    EntryKind, Forward, LogEntry, PeerMessage, VoterGreeting, VoterIdentity, peer_message::Kind,
};
use kumquatlock_wire::distribution::{CatalogCommand, CatalogState, catalog_command};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::actor::{ControlActor, Work};
use super::answer;
use super::clock::random_seed;
use super::process::ControlError;
use super::requests::RequestAnswer;
use super::settings::ControlSettings;
use crate::agreement::{
    AgreementAction, AgreementEngine, AgreementEvent, AgreementRole, AgreementSettings,
    GroupMembership, PersistFailure, PersistRequest, ProposalError, ProposalTicket,
};
use crate::catalog::{ApplyOutcome, Catalog, ManifestDecision};
use crate::core::{SharedName, Timestamp};
use crate::distribution::ParentEvent;
use crate::journal::{
    Journal, JournalError, JournalSettings, RecoveredState, StoredSnapshot, SystemIo,
};
use crate::transport::LinkId;

/// Interval between attempts to open the journal again after a failed write.
const REOPEN_INTERVAL: Duration = Duration::from_secs(2);

/// Applied bytes after which the log is compacted. What is left is applied anew after a start,
/// before the instance can serve; a small one applies some 10 MB per second.
const COMPACTION_BYTES: u64 = 1024 * 1024;

/// Ticket of proposals whose outcome nobody waits for.
const UNTRACKED: ProposalTicket = ProposalTicket(0);

/// What a voter has beyond a replica.
pub(super) struct VoterDuty {
    pub(super) agreement: AgreementEngine,
    pub(super) identity: VoterIdentity,
    pub(super) role: AgreementRole,
    pub(super) term: u64,
    pub(super) leader: Option<SharedName>,
    folder: PathBuf,
    /// Absent after a failed write until the folder is opened again.
    journal: Option<Journal>,
    reopen_at: Timestamp,
    /// Why the journal is absent.
    write_failure: PersistFailure,
    /// Index and outcome of the entry applied last; its proposal is answered next.
    last_outcome: Option<(u64, ApplyOutcome)>,
}

impl VoterDuty {
    /// Opens the folder and continues from what it holds.
    pub(super) fn open(
        settings: &ControlSettings,
        folder: PathBuf,
        voters: Vec<SharedName>,
        membership: GroupMembership,
        now: Timestamp,
    ) -> Result<Self, JournalError> {
        let mut generator = SmallRng::seed_from_u64(random_seed());
        let (journal, recovered) = open_journal(&folder, generator.random_range(1..=u64::MAX))?;
        let identity = VoterIdentity {
            name: settings.name.to_string(),
            disk_id: recovered.metadata.disk_id,
        };
        let agreement_settings = AgreementSettings {
            heartbeat_interval: settings.heartbeat,
            election_timeout_min: settings.election_timeout,
            election_timeout_max: settings.election_timeout * 2,
            membership,
            compaction_bytes: COMPACTION_BYTES,
            ..AgreementSettings::new(settings.name.clone(), voters)
        };
        log::info!(
            folder = folder.display().to_string().as_str(),
            disk_id = format!("{:016x}", identity.disk_id).as_str(),
            entries = recovered.entries.len(),
            torn_bytes = recovered.torn_bytes;
            "journal_opened"
        );
        Ok(VoterDuty {
            agreement: AgreementEngine::new(agreement_settings, recovered, generator, now),
            identity,
            role: AgreementRole::Forming,
            term: 0,
            leader: None,
            folder,
            journal: Some(journal),
            reopen_at: now,
            write_failure: PersistFailure::Other,
            last_outcome: None,
        })
    }

    pub(super) fn is_leader(&self) -> bool {
        self.role == AgreementRole::Leader
    }

    /// Whether a write failed and the folder has not been opened again.
    pub(super) fn is_halted(&self) -> bool {
        self.journal.is_none()
    }

    /// Why a request that needs the leader cannot be carried out or passed on.
    pub(super) fn unavailable_reason(&self) -> &'static str {
        match (self.is_halted(), self.write_failure) {
            (false, _) => "no_leader",
            (true, PersistFailure::StorageFull) => "storage_full",
            (true, PersistFailure::Other) => "storage_failed",
        }
    }

    /// Writes to the journal; `None` if the request is to be dropped because an earlier one
    /// failed.
    fn persist(&mut self, request: &PersistRequest) -> Option<Result<(), JournalError>> {
        let journal = self.journal.as_mut()?;
        let written = request
            .writes
            .iter()
            .try_for_each(|write| journal.write(write));
        if written.is_err() {
            self.journal = None;
        }
        Some(written)
    }

    /// Opens the folder again after a failed write.
    fn reopen(&mut self) -> Result<RecoveredState, ControlError> {
        let (journal, recovered) = open_journal(&self.folder, self.identity.disk_id)?;
        // A folder that was emptied in the meantime must come back as a new disk.
        if recovered.metadata.group_id() == 0 || recovered.metadata.disk_id != self.identity.disk_id
        {
            return Err(ControlError::FolderReplaced {
                folder: self.folder.clone(),
            });
        }
        self.journal = Some(journal);
        Ok(recovered)
    }

    /// A request or answer of another duty, addressed to a voter.
    pub(super) fn wrap(&self, forward: Forward) -> PeerMessage {
        self.message(Kind::Forward(forward))
    }

    /// The first message on a link to another voter.
    pub(super) fn greeting(&self, region: &str) -> PeerMessage {
        let region = region.to_owned();
        self.message(Kind::Greeting(VoterGreeting { region }))
    }

    fn message(&self, kind: Kind) -> PeerMessage {
        PeerMessage {
            group_id: self.agreement.status().group_id.0,
            from: self.identity.clone(),
            term: self.term,
            kind: Some(kind),
        }
    }
}

fn open_journal(
    folder: &std::path::Path,
    fresh_disk_id: u64,
) -> Result<(Journal, RecoveredState), JournalError> {
    Journal::open(folder, JournalSettings::default(), SystemIo, fresh_disk_id)
}

impl ControlActor {
    /// Whether this instance leads its group.
    pub(super) fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(VoterDuty::is_leader)
    }

    /// Link to the leader, if it is another voter that is connected.
    pub(super) fn leader_link(&self) -> Option<LinkId> {
        let leader = self.voter.as_ref()?.leader.as_deref()?;
        self.peers.link(leader)
    }

    /// Proposes a command whose outcome nobody waits for.
    pub(super) fn propose(&mut self, kind: catalog_command::Kind) {
        self.propose_with(UNTRACKED, kind);
    }

    pub(super) fn propose_with(&mut self, ticket: ProposalTicket, kind: catalog_command::Kind) {
        let command = CatalogCommand { kind: Some(kind) };
        let payload = command.encode_to_vec().into();
        self.work
            .push_back(Work::Agreement(AgreementEvent::Propose { ticket, payload }));
    }

    pub(super) fn handle_agreement(&mut self, now: Timestamp, event: AgreementEvent) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        for step in voter.agreement.handle(now, event) {
            self.carry_out_agreement(now, step);
        }
    }

    fn carry_out_agreement(&mut self, now: Timestamp, step: AgreementAction) {
        match step {
            AgreementAction::Send(released) => {
                let (to, message) = released.into_parts();
                if let Some(link) = self.peers.link(&to) {
                    let body = kumquatlock_wire::Body::Peer(message);
                    self.links.send(link, body, None);
                }
            }
            AgreementAction::Persist(request) => self.persist(now, &request),
            AgreementAction::Apply(entry) => self.apply(&entry),
            AgreementAction::InstallSnapshot(snapshot) => self.install(&snapshot),
            AgreementAction::TakeSnapshot { last_index } => {
                let data = self.catalog.to_state().encode_to_vec().into();
                self.work
                    .push_back(Work::Agreement(AgreementEvent::SnapshotTaken {
                        last_index,
                        data,
                    }));
            }
            AgreementAction::AnswerProposal { ticket, result } => {
                if self.is_overtaken(&result) {
                    self.submit_again(now, ticket.0);
                } else if ticket != UNTRACKED {
                    let answer = match result {
                        Ok(index) => self.outcome_answer(index),
                        Err(error) => answer::failed_proposal(&error),
                    };
                    self.finish(now, ticket.0, answer);
                }
            }
            AgreementAction::AnswerReadIndex { ticket, result } => {
                self.finish(now, ticket.0, RequestAnswer::Confirm(result.ok()));
            }
            AgreementAction::RoleChanged { role, term, leader } => {
                self.change_role(now, role, term, leader);
            }
        }
    }

    fn persist(&mut self, now: Timestamp, request: &PersistRequest) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        let started = Instant::now();
        let ticket = request.ticket;
        match voter.persist(request) {
            Some(Ok(())) => {
                self.metrics.observe_sync(started.elapsed());
                let event = AgreementEvent::Persisted(ticket);
                self.work.push_back(Work::Agreement(event));
            }
            Some(Err(error)) => {
                log::error!(error = error.to_string().as_str(); "journal_write_failed");
                voter.reopen_at = now + REOPEN_INTERVAL;
                let reason = match error.is_storage_full() {
                    true => PersistFailure::StorageFull,
                    false => PersistFailure::Other,
                };
                voter.write_failure = reason;
                // Before everything else: nothing may be acknowledged any more.
                let event = AgreementEvent::PersistFailed { ticket, reason };
                self.work.push_front(Work::Agreement(event));
            }
            // Dropped: an earlier request failed.
            None => {}
        }
    }

    /// Opens the journal again some time after a failed write.
    pub(super) fn reopen_storage(&mut self, now: Timestamp) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        if !voter.is_halted() || now < voter.reopen_at {
            return;
        }
        voter.reopen_at = now + REOPEN_INTERVAL;
        match voter.reopen() {
            Ok(recovered) => {
                log::info!("journal_reopened");
                let event = AgreementEvent::StorageReopened(recovered);
                self.work.push_back(Work::Agreement(event));
            }
            Err(error @ ControlError::Journal(_)) if error.may_pass() => {
                log::warn!(error = error.to_string().as_str(); "journal_reopen_failed");
            }
            Err(error) => self.fail(error),
        }
    }

    fn apply(&mut self, entry: &LogEntry) {
        self.has_catalog_moved = true;
        if entry.kind != EntryKind::Command as i32 {
            return self.catalog.skip_entry(entry.index);
        }
        let outcome = match CatalogCommand::decode(entry.payload.clone()) {
            Ok(command) => self.catalog.apply(entry.index, &command),
            Err(error) => {
                // Every voter skips it, so the catalogs stay equal.
                log::error!(index = entry.index, error = error.to_string().as_str(); "entry_skipped");
                self.catalog.skip_entry(entry.index);
                ApplyOutcome::UnknownCommand
            }
        };
        if let ApplyOutcome::Manifest(ManifestDecision::Accepted {
            manifest_version,
            config_version,
        }) = &outcome
        {
            log::info!(manifest_version = *manifest_version, version = config_version.0; "manifest_accepted");
        }
        if let Some(voter) = &mut self.voter {
            voter.last_outcome = Some((entry.index, outcome));
        }
    }

    /// Whether the proposal was a manifest that another one came before.
    fn is_overtaken(&self, result: &Result<u64, ProposalError>) -> bool {
        let outcome = self
            .voter
            .as_ref()
            .and_then(|voter| voter.last_outcome.as_ref());
        matches!(
            (result, outcome),
            (Ok(index), Some((applied, ApplyOutcome::Manifest(ManifestDecision::Overtaken))))
                if index == applied
        )
    }

    fn outcome_answer(&self, index: u64) -> RequestAnswer {
        let outcome = self
            .voter
            .as_ref()
            .and_then(|voter| voter.last_outcome.as_ref());
        match outcome {
            Some((applied, ApplyOutcome::Manifest(decision))) if *applied == index => {
                answer::decided_manifest(decision)
            }
            _ => answer::unknown("not_decided"),
        }
    }

    fn install(&mut self, snapshot: &StoredSnapshot) {
        let installed = CatalogState::decode(snapshot.data.clone())
            .map_err(|error| error.to_string())
            .and_then(|state| Catalog::from_state(&state).map_err(|error| error.to_string()));
        match installed {
            Ok(catalog) => {
                log::info!(index = snapshot.last_index; "snapshot_installed");
                self.catalog = catalog;
                self.catalog.skip_entry(snapshot.last_index);
                self.has_catalog_moved = true;
            }
            Err(reason) => self.fail(ControlError::Snapshot {
                index: snapshot.last_index,
                reason,
            }),
        }
    }

    fn change_role(
        &mut self,
        now: Timestamp,
        role: AgreementRole,
        term: u64,
        leader: Option<SharedName>,
    ) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        let was_leader = voter.is_leader();
        let has_moved = voter.leader != leader;
        voter.role = role;
        voter.term = term;
        voter.leader = leader;
        log::info!(
            role = <&str>::from(role),
            term,
            leader = voter.leader.as_deref().unwrap_or("");
            "role_changed"
        );
        let (is_leader, group) = (voter.is_leader(), voter.agreement.status().group_id);
        self.parent.set_group(group);
        if was_leader != is_leader {
            self.change_leadership(now, is_leader);
        }
        if has_moved {
            self.work
                .push_back(Work::Parent(ParentEvent::UplinkChanged));
        }
    }
}
