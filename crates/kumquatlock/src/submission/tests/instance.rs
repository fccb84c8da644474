//! A control instance without sockets and files: engine, catalog, submissions and a simulated disk.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::agreement::{EntryKind, LogEntry, PeerMessage};
use kumquatlock_wire::distribution::{CatalogCommand, CatalogState, catalog_command::Kind};
use prost::Message;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::agreement::{
    AgreementAction, AgreementEngine, AgreementEvent, AgreementRole, AgreementSettings,
    PersistRequest, ProposalError, ProposalTicket, ReadIndexTicket,
};
use crate::catalog::{ApplyOutcome, Catalog, ManifestDecision};
use crate::core::{SharedName, Timestamp};
use crate::journal::{JournalWrite, RecoveredState};
use crate::manifest::ManifestDocument;
use crate::submission::{
    SubmissionAnswer, SubmissionEvent, SubmissionId, SubmissionStep, SubmissionTable,
};

/// Time after which the daemon ends a request without a clear answer.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Input of an instance.
#[derive(Clone, Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all inputs are events of the agreement"
)]
pub(super) enum InstanceInput {
    Agreement(AgreementEvent),
    Submit(SubmissionId, Arc<ManifestDocument>),
}

/// What an instance asks of its surroundings.
pub(super) enum InstanceOutput {
    Send(SharedName, PeerMessage),
    /// The disk was idle and starts to write.
    StartWrite,
    Answer(SubmissionId, InstanceAnswer),
}

/// Answer to an operator, as far as operators treat answers differently.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum InstanceAnswer {
    Accepted,
    Refused(ManifestDecision),
    Redirect(SharedName),
    /// The change may or may not be accepted.
    Unclear(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessState {
    Running,
    Paused,
    Stopped,
}

pub(super) struct TestInstance {
    pub(super) engine: AgreementEngine,
    pub(super) catalog: Catalog,
    submissions: SubmissionTable,
    /// Deadlines of the requests that wait for an answer.
    deadlines: IndexMap<SubmissionId, Timestamp>,
    pub(super) disk: RecoveredState,
    /// Writes that are not durable yet, the one in progress first.
    pub(super) writes: VecDeque<PersistRequest>,
    pub(super) role: AgreementRole,
    leader: Option<SharedName>,
    last_outcome: Option<(u64, ApplyOutcome)>,
    events: VecDeque<AgreementEvent>,
    outputs: Vec<InstanceOutput>,
    pub(super) state: ProcessState,
    /// Number of the process. What was sent to an earlier one does not reach this one.
    pub(super) run: u64,
    /// Inputs that arrived during a pause.
    pub(super) inbox: VecDeque<InstanceInput>,
}

impl TestInstance {
    /// Starts a process. `run` also identifies a new disk and is the seed of the engine.
    pub(super) fn start(
        settings: AgreementSettings,
        mut disk: RecoveredState,
        run: u64,
        now: Timestamp,
    ) -> Self {
        if disk.metadata.disk_id == 0 {
            disk.metadata.disk_id = run;
        }
        let rng = SmallRng::seed_from_u64(run);
        TestInstance {
            engine: AgreementEngine::new(settings, disk.clone(), rng, now),
            catalog: Catalog::new(),
            submissions: SubmissionTable::default(),
            deadlines: IndexMap::new(),
            disk,
            writes: VecDeque::new(),
            role: AgreementRole::Forming,
            leader: None,
            last_outcome: None,
            events: VecDeque::new(),
            outputs: Vec::new(),
            state: ProcessState::Running,
            run,
            inbox: VecDeque::new(),
        }
    }

    /// Completes the write in progress.
    pub(super) fn end_write(&mut self) -> Option<AgreementEvent> {
        let request = self.writes.pop_front()?;
        for write in request.writes {
            write_to_disk(&mut self.disk, write);
        }
        Some(AgreementEvent::Persisted(request.ticket))
    }

    /// Handles an input and everything that follows from it, like a turn of the daemon.
    pub(super) fn handle(&mut self, now: Timestamp, input: InstanceInput) -> Vec<InstanceOutput> {
        match input {
            InstanceInput::Agreement(event) => self.events.push_back(event),
            InstanceInput::Submit(id, document) => self.receive(now, id, document),
        }
        while let Some(event) = self.events.pop_front() {
            for action in self.engine.handle(now, event) {
                self.execute(action);
            }
            for (id, step) in self.submissions.handle_applied(&self.catalog) {
                self.take_step(id, step);
            }
        }
        self.expire_requests(now);
        std::mem::take(&mut self.outputs)
    }

    fn receive(&mut self, now: Timestamp, id: SubmissionId, document: Arc<ManifestDocument>) {
        self.deadlines.insert(id, now + REQUEST_TIMEOUT);
        match &self.leader {
            _ if self.role == AgreementRole::Leader => {
                self.handle_submission(id, SubmissionEvent::Received(document));
            }
            Some(leader) => self.answer(id, InstanceAnswer::Redirect(leader.clone())),
            None => self.answer(id, InstanceAnswer::Unclear("no leader")),
        }
    }

    fn handle_submission(&mut self, id: SubmissionId, event: SubmissionEvent) {
        let step = self.submissions.handle(id, event, &self.catalog);
        self.take_step(id, step);
    }

    fn take_step(&mut self, id: SubmissionId, step: SubmissionStep) {
        match step {
            SubmissionStep::Answer(answer) => self.answer(id, instance_answer(answer)),
            SubmissionStep::Propose(change) => {
                let kind = Some(Kind::Change(change));
                self.events.push_back(AgreementEvent::Propose {
                    ticket: ProposalTicket(id.0),
                    payload: CatalogCommand { kind }.encode_to_vec().into(),
                });
            }
            SubmissionStep::Confirm => {
                let ticket = ReadIndexTicket(id.0);
                self.events
                    .push_back(AgreementEvent::RequestReadIndex(ticket));
            }
            SubmissionStep::Wait => {}
        }
    }

    fn answer(&mut self, id: SubmissionId, answer: InstanceAnswer) {
        self.submissions.remove(id);
        if self.deadlines.swap_remove(&id).is_some() {
            self.outputs.push(InstanceOutput::Answer(id, answer));
        }
    }

    fn expire_requests(&mut self, now: Timestamp) {
        let overdue = self.deadlines.iter().filter(|(_, at)| **at <= now);
        let overdue: Vec<SubmissionId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.answer(id, InstanceAnswer::Unclear("timeout"));
        }
    }

    fn execute(&mut self, action: AgreementAction) {
        match action {
            AgreementAction::Send(released) => {
                let (to, message) = released.into_parts();
                self.outputs.push(InstanceOutput::Send(to, message));
            }
            AgreementAction::Persist(request) => {
                self.writes.push_back(request);
                if self.writes.len() == 1 {
                    self.outputs.push(InstanceOutput::StartWrite);
                }
            }
            AgreementAction::Apply(entry) => self.apply(&entry),
            AgreementAction::InstallSnapshot(snapshot) => {
                let state = CatalogState::decode(snapshot.data.clone()).unwrap();
                self.catalog = Catalog::from_state(&state).unwrap();
                self.catalog.skip_entry(snapshot.last_index);
            }
            AgreementAction::TakeSnapshot { last_index } => {
                let data = self.catalog.to_state().encode_to_vec().into();
                self.events
                    .push_back(AgreementEvent::SnapshotTaken { last_index, data });
            }
            AgreementAction::AnswerProposal { ticket, result } => {
                let event = self.proposal_event(result);
                self.handle_submission(SubmissionId(ticket.0), event);
            }
            AgreementAction::AnswerReadIndex { ticket, result } => {
                let event = SubmissionEvent::Confirmed(result);
                self.handle_submission(SubmissionId(ticket.0), event);
            }
            AgreementAction::RoleChanged { role, leader, .. } => {
                self.role = role;
                self.leader = leader;
            }
        }
    }

    fn apply(&mut self, entry: &LogEntry) {
        if entry.kind != EntryKind::Command as i32 {
            return self.catalog.skip_entry(entry.index);
        }
        let command = CatalogCommand::decode(entry.payload.clone()).unwrap();
        let outcome = self.catalog.apply(entry.index, &command);
        self.last_outcome = Some((entry.index, outcome));
    }

    fn proposal_event(&self, result: Result<u64, ProposalError>) -> SubmissionEvent {
        match (result, &self.last_outcome) {
            (Err(error), _) => SubmissionEvent::ProposalFailed(error),
            (Ok(index), Some((applied, ApplyOutcome::Manifest(decision)))) if *applied == index => {
                SubmissionEvent::Applied(Some(decision.clone()))
            }
            (Ok(_), _) => SubmissionEvent::Applied(None),
        }
    }
}

/// Applies a write to the simulated disk, which survives a crash.
fn write_to_disk(disk: &mut RecoveredState, write: JournalWrite) {
    match write {
        JournalWrite::Metadata(metadata) => disk.metadata = metadata,
        JournalWrite::Append(entries) => {
            let first = entries[0].index;
            disk.entries.retain(|entry| entry.index < first);
            disk.entries.extend(entries);
        }
        JournalWrite::SaveSnapshot { snapshot, .. } => {
            let last_index = snapshot.last_index;
            disk.entries.retain(|entry| entry.index > last_index);
            disk.snapshot = Some(snapshot);
        }
        JournalWrite::InstallSnapshot(snapshot) => {
            disk.entries.clear();
            disk.snapshot = Some(snapshot);
        }
    }
}

fn instance_answer(answer: SubmissionAnswer) -> InstanceAnswer {
    match answer {
        SubmissionAnswer::Decided { decision, .. } => match decision {
            ManifestDecision::Accepted { .. } => InstanceAnswer::Accepted,
            ManifestDecision::Overtaken => InstanceAnswer::Unclear("overtaken"),
            decision => InstanceAnswer::Refused(decision),
        },
        SubmissionAnswer::UnknownBase => InstanceAnswer::Unclear("unknown base"),
        SubmissionAnswer::Unconfirmed(_) => InstanceAnswer::Unclear("not current"),
        SubmissionAnswer::Failed(_) => InstanceAnswer::Unclear("proposal failed"),
        SubmissionAnswer::Undecided => InstanceAnswer::Unclear("not decided"),
    }
}
