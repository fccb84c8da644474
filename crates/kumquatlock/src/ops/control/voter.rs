//! The replicated log of a voter and its journal.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use kumquatlock_wire::agreement::{
    EntryKind, Forward, LogEntry, PeerMessage, VoterGreeting, VoterIdentity, peer_message::Kind,
};
use kumquatlock_wire::distribution::{CatalogCommand, CatalogState, catalog_command};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::actor::{ControlActor, QueuedEvent};
use super::clock::random_seed;
use super::process::ControlError;
use super::requests::RequestKind;
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
use crate::submission::SubmissionEvent;
use crate::transport::LinkId;

/// Interval between attempts to reopen the journal after a failed write.
const REOPEN_INTERVAL: Duration = Duration::from_secs(2);

/// Number of applied bytes after which the log is compacted. After a start, the instance has to
/// apply the rest of the log again before it can serve; a small instance applies about 10 MB per
/// second.
const COMPACTION_BYTES: u64 = 1024 * 1024;

/// Ticket of proposals whose outcome no request waits for.
const UNTRACKED_TICKET: ProposalTicket = ProposalTicket(0);

/// State that a voter or member has in addition to that of a replica.
pub(super) struct VoterState {
    pub(super) agreement: AgreementEngine,
    pub(super) identity: VoterIdentity,
    pub(super) role: AgreementRole,
    pub(super) term: u64,
    pub(super) leader: Option<SharedName>,
    directory: PathBuf,
    /// `None` after a failed write until the journal is reopened.
    journal: Option<Journal>,
    reopen_at: Timestamp,
    /// Reason of the last failed write.
    write_failure: PersistFailure,
    /// Index and outcome of the command applied last. Its proposal is answered after it.
    pub(super) last_outcome: Option<(u64, ApplyOutcome)>,
}

impl VoterState {
    /// Opens the journal in `directory` and continues from the recovered state.
    pub(super) fn open(
        settings: &ControlSettings,
        directory: PathBuf,
        voters: Vec<SharedName>,
        membership: GroupMembership,
        now: Timestamp,
    ) -> Result<Self, JournalError> {
        let mut generator = SmallRng::seed_from_u64(random_seed());
        let (journal, recovered) = open_journal(&directory, generator.random_range(1..=u64::MAX))?;
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
            folder = directory.display().to_string().as_str(),
            disk_id = format!("{:016x}", identity.disk_id).as_str(),
            entries = recovered.entries.len(),
            last_index = recovered.last_index(),
            torn_bytes = recovered.torn_bytes;
            "journal_opened"
        );
        Ok(VoterState {
            agreement: AgreementEngine::new(agreement_settings, recovered, generator, now),
            identity,
            role: AgreementRole::Forming,
            term: 0,
            leader: None,
            directory,
            journal: Some(journal),
            reopen_at: now,
            write_failure: PersistFailure::Other,
            last_outcome: None,
        })
    }

    pub(super) fn is_leader(&self) -> bool {
        self.role == AgreementRole::Leader
    }

    /// Returns whether a write failed and the journal has not been reopened yet.
    pub(super) fn is_journal_closed(&self) -> bool {
        self.journal.is_none()
    }

    /// Returns the reason why a request for the leader can be neither answered nor forwarded.
    pub(super) fn unavailable_reason(&self) -> &'static str {
        match (self.is_journal_closed(), self.write_failure) {
            (false, _) => "no_leader",
            (true, PersistFailure::StorageFull) => "storage_full",
            (true, PersistFailure::Other) => "storage_failed",
        }
    }

    /// Writes to the journal. Returns `None` if the request is dropped because an earlier write
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

    /// Reopens the journal after a failed write.
    fn reopen(&mut self) -> Result<RecoveredState, ControlError> {
        let (journal, recovered) = open_journal(&self.directory, self.identity.disk_id)?;
        // If the directory was emptied in the meantime, the instance must not continue with the
        // state in memory. It has to restart and rejoin the group with a new disk id.
        if recovered.metadata.group_id() == 0 || recovered.metadata.disk_id != self.identity.disk_id
        {
            return Err(ControlError::DirectoryReplaced {
                directory: self.directory.clone(),
            });
        }
        self.journal = Some(journal);
        Ok(recovered)
    }

    /// Wraps a forwarded request, answer or message for another voter.
    pub(super) fn wrap_forward(&self, forward: Forward) -> PeerMessage {
        self.message(Kind::Forward(forward))
    }

    /// Returns the first message on a link to another voter.
    pub(super) fn greeting(&self, zone: &str, region: &str) -> PeerMessage {
        let (zone, region) = (zone.to_owned(), region.to_owned());
        self.message(Kind::Greeting(VoterGreeting { region, zone }))
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
    directory: &std::path::Path,
    fresh_disk_id: u64,
) -> Result<(Journal, RecoveredState), JournalError> {
    Journal::open(
        directory,
        JournalSettings::default(),
        SystemIo,
        fresh_disk_id,
    )
}

impl ControlActor {
    /// Returns whether this instance leads its group.
    pub(super) fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(VoterState::is_leader)
    }

    /// Returns the link to the leader, if the leader is another voter and is connected.
    pub(super) fn leader_link(&self) -> Option<LinkId> {
        let leader = self.voter.as_ref()?.leader.as_deref()?;
        self.peers.link(leader)
    }

    /// Proposes a command whose outcome no request waits for.
    pub(super) fn propose(&mut self, kind: catalog_command::Kind) {
        self.propose_with(UNTRACKED_TICKET, kind);
    }

    pub(super) fn propose_with(&mut self, ticket: ProposalTicket, kind: catalog_command::Kind) {
        let command = CatalogCommand { kind: Some(kind) };
        let payload = command.encode_to_vec().into();
        self.queue
            .push_back(QueuedEvent::Agreement(AgreementEvent::Propose {
                ticket,
                payload,
            }));
    }

    pub(super) fn handle_agreement(&mut self, now: Timestamp, event: AgreementEvent) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        for step in voter.agreement.handle(now, event) {
            self.execute_agreement(now, step);
        }
    }

    fn execute_agreement(&mut self, now: Timestamp, step: AgreementAction) {
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
            AgreementAction::InstallSnapshot(snapshot) => self.install_snapshot(&snapshot),
            AgreementAction::TakeSnapshot { last_index } => {
                let data = self.catalog.to_state().encode_to_vec().into();
                self.queue
                    .push_back(QueuedEvent::Agreement(AgreementEvent::SnapshotTaken {
                        last_index,
                        data,
                    }));
            }
            AgreementAction::AnswerProposal { ticket, result } => {
                if self.requests.kind(ticket.0) == Some(RequestKind::RolloutOrder) {
                    self.answer_order(now, ticket.0, result);
                } else if ticket != UNTRACKED_TICKET {
                    let event = self.proposal_event(result);
                    self.handle_submission(now, ticket.0, event);
                }
            }
            AgreementAction::AnswerReadIndex { ticket, result } => {
                self.read_index_answered(now, ticket, result);
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
                self.queue.push_back(QueuedEvent::Agreement(event));
            }
            Some(Err(error)) => {
                log::error!(error = error.to_string().as_str(); "journal_write_failed");
                voter.reopen_at = now + REOPEN_INTERVAL;
                let reason = match error.is_storage_full() {
                    true => PersistFailure::StorageFull,
                    false => PersistFailure::Other,
                };
                voter.write_failure = reason;
                // Handled before all other events, because nothing may be acknowledged any more.
                let event = AgreementEvent::PersistFailed { ticket, reason };
                self.queue.push_front(QueuedEvent::Agreement(event));
            }
            // Dropped because an earlier write failed.
            None => {}
        }
    }

    /// Tries to reopen the journal after a failed write, once per [`REOPEN_INTERVAL`].
    pub(super) fn reopen_journal(&mut self, now: Timestamp) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        if !voter.is_journal_closed() || now < voter.reopen_at {
            return;
        }
        voter.reopen_at = now + REOPEN_INTERVAL;
        match voter.reopen() {
            Ok(recovered) => {
                log::info!("journal_reopened");
                let event = AgreementEvent::StorageReopened(recovered);
                self.queue.push_back(QueuedEvent::Agreement(event));
            }
            Err(error @ ControlError::Journal(_)) if error.is_transient() => {
                log::warn!(error = error.to_string().as_str(); "journal_reopen_failed");
            }
            Err(error) => self.fail(error),
        }
    }

    fn apply(&mut self, entry: &LogEntry) {
        self.has_catalog_changed = true;
        if entry.kind != EntryKind::Command as i32 {
            return self.catalog.skip_entry(entry.index);
        }
        let outcome = match CatalogCommand::decode(entry.payload.clone()) {
            Ok(command) => self.catalog.apply(entry.index, &command),
            Err(error) => {
                // Every voter skips this entry, so the catalogs stay equal.
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
        self.log_rollout(entry.index, &outcome);
        if let Some(voter) = &mut self.voter {
            voter.last_outcome = Some((entry.index, outcome));
        }
    }

    /// Returns what the result of a proposal means for its submission.
    fn proposal_event(&self, result: Result<u64, ProposalError>) -> SubmissionEvent {
        let outcome = self
            .voter
            .as_ref()
            .and_then(|voter| voter.last_outcome.as_ref());
        match (result, outcome) {
            (Err(error), _) => SubmissionEvent::ProposalFailed(error),
            (Ok(index), Some((applied, ApplyOutcome::Manifest(decision)))) if *applied == index => {
                SubmissionEvent::Applied(Some(decision.clone()))
            }
            (Ok(_), _) => SubmissionEvent::Applied(None),
        }
    }

    fn install_snapshot(&mut self, snapshot: &StoredSnapshot) {
        let installed = CatalogState::decode(snapshot.data.clone())
            .map_err(|error| error.to_string())
            .and_then(|state| Catalog::from_state(&state).map_err(|error| error.to_string()));
        match installed {
            Ok(catalog) => {
                log::info!(index = snapshot.last_index; "snapshot_installed");
                self.catalog = catalog;
                self.catalog.skip_entry(snapshot.last_index);
                self.has_catalog_changed = true;
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
        let has_leader_changed = voter.leader != leader;
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
        if has_leader_changed {
            self.queue
                .push_back(QueuedEvent::Parent(ParentEvent::UplinkChanged));
        }
    }
}
