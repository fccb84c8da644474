//! A simulated group of voters with an in-memory message queue and in-memory disks.

use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::agreement::{LogEntry, PeerMessage, peer_message::Kind};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::super::*;
use crate::core::{SharedName, Timestamp};
use crate::journal::tests::disk::DiskModel;
use crate::journal::tests::history::apply_write;
use crate::journal::{Journal, JournalSettings, RecoveredState};

/// Silence after which a voter of an open group is replaced by a learner.
pub(super) const REPLACE_AFTER: Duration = Duration::from_secs(3);

/// A journal on a disk that loses unsynced operations with the power.
pub(super) struct TestStorage {
    pub(super) disk: DiskModel,
    journal: Journal<DiskModel>,
}

pub(super) struct TestVoter {
    pub(super) engine: AgreementEngine,
    /// Content of the disk. With `storage`, only what this process has written.
    pub(super) disk: RecoveredState,
    /// Journal that a restart recovers from, in tests of a loss of power.
    pub(super) storage: Option<TestStorage>,
    pub(super) writes: VecDeque<PersistRequest>,
    pub(super) is_running: bool,
    pub(super) applied: Vec<LogEntry>,
}

/// Voters, the messages between them and the answers to proposals and read-index requests.
pub(super) struct TestGroup {
    pub(super) settings: AgreementSettings,
    pub(super) now: Timestamp,
    pub(super) seed: u64,
    pub(super) voters: IndexMap<SharedName, TestVoter>,
    pub(super) queue: VecDeque<(SharedName, PeerMessage)>,
    /// Names of the voters whose messages are dropped in both directions.
    pub(super) isolated: IndexSet<SharedName>,
    /// Names of the voters that receive no ticks.
    pub(super) paused: IndexSet<SharedName>,
    /// Number of snapshot chunks sent so far. If set, every second chunk is dropped.
    pub(super) chunks_sent: Option<usize>,
    /// Messages that were delivered, so that a test can replay them.
    pub(super) delivered: Vec<(SharedName, PeerMessage)>,
    /// For each index, the entry that any voter applied first.
    pub(super) committed: IndexMap<u64, LogEntry>,
    pub(super) proposals: IndexMap<u64, Result<u64, ProposalError>>,
    pub(super) reads: IndexMap<u64, Result<ReadIndex, ReadIndexError>>,
}

impl TestGroup {
    pub(super) fn new(names: &[&str], seed: u64) -> Self {
        TestGroup::with_membership(names, GroupMembership::Fixed, seed)
    }

    /// Creates an open group with these founders.
    pub(super) fn open(founders: &[&str], seed: u64) -> Self {
        let membership = GroupMembership::Open {
            may_form_group: true,
            max_voters: 5,
            replace_after: REPLACE_AFTER,
        };
        TestGroup::with_membership(founders, membership, seed)
    }

    fn with_membership(names: &[&str], membership: GroupMembership, seed: u64) -> Self {
        let names: Vec<SharedName> = names.iter().map(|name| (*name).into()).collect();
        let mut settings = AgreementSettings::new(names[0].clone(), names.clone());
        settings.compaction_entries = 4;
        settings.membership = membership;
        let mut group = TestGroup {
            settings,
            now: Timestamp::default(),
            seed,
            voters: IndexMap::new(),
            queue: VecDeque::new(),
            isolated: IndexSet::new(),
            paused: IndexSet::new(),
            chunks_sent: None,
            delivered: Vec::new(),
            committed: IndexMap::new(),
            proposals: IndexMap::new(),
            reads: IndexMap::new(),
        };
        for name in &names {
            group.start(name, RecoveredState::default());
        }
        group
    }

    /// Starts a member with an empty data directory that may only join the existing group.
    pub(super) fn start_joining(&mut self, name: &str) {
        self.forbid_forming();
        self.start(name, RecoveredState::default());
    }

    /// Lets members that are started from now on only join the existing group.
    pub(super) fn forbid_forming(&mut self) {
        let GroupMembership::Open { may_form_group, .. } = &mut self.settings.membership else {
            panic!("instances can join only an open group");
        };
        *may_form_group = false;
    }

    /// Returns the names of the committed voters according to the leader.
    pub(super) fn voter_names(&self) -> IndexSet<String> {
        let leader = self.leader().expect("the group has a leader");
        let voters = self.voters[&leader].engine.voters.committed();
        voters
            .voters
            .iter()
            .map(|voter| voter.name.clone())
            .collect()
    }

    /// Starts a voter. A state without a disk identity stands for an empty data directory.
    pub(super) fn start(&mut self, name: &str, mut disk: RecoveredState) {
        self.seed += 1;
        if disk.metadata.disk_id == 0 {
            disk.metadata.disk_id = self.seed;
        }
        let mut settings = self.settings.clone();
        settings.name = name.into();
        let rng = SmallRng::seed_from_u64(self.seed);
        let engine = AgreementEngine::new(settings, disk.clone(), rng, self.now);
        let voter = TestVoter {
            engine,
            disk,
            storage: None,
            writes: VecDeque::new(),
            is_running: true,
            applied: Vec::new(),
        };
        self.voters.insert(name.into(), voter);
    }

    /// Starts a voter with a journal on this disk.
    pub(super) fn start_on(&mut self, name: &str, disk: DiskModel) {
        let settings = JournalSettings { segment_bytes: 500 };
        let dir = Path::new("/data");
        let opened = Journal::open(dir, settings, disk.clone(), self.seed + 1);
        let (journal, recovered) = opened.expect("the journal can be opened");
        self.start(name, recovered);
        self.voters[name].storage = Some(TestStorage { disk, journal });
    }

    /// Stops a voter. Its pending writes are lost.
    pub(super) fn crash(&mut self, name: &str) {
        let voter = &mut self.voters[name];
        voter.is_running = false;
        voter.writes.clear();
    }

    pub(super) fn restart(&mut self, name: &str) {
        let voter = &self.voters[name];
        match &voter.storage {
            Some(storage) => self.start_on(name, storage.disk.clone()),
            None => self.start(name, voter.disk.clone()),
        }
    }

    pub(super) fn handle_event(&mut self, name: &str, event: AgreementEvent) {
        let voter = &mut self.voters[name];
        if !voter.is_running {
            return;
        }
        let actions = voter.engine.handle(self.now, event);
        for action in actions {
            let event = self.execute(name, action);
            if let Some(event) = event {
                self.handle_event(name, event);
            }
        }
    }

    /// Carries out an action. Returns the event that answers it, if any. Only
    /// [`AgreementAction::TakeSnapshot`], which is always the last action, is answered by an event.
    pub(super) fn execute(
        &mut self,
        name: &str,
        action: AgreementAction,
    ) -> Option<AgreementEvent> {
        match action {
            AgreementAction::Send(released) => self.queue.push_back(released.into_parts()),
            AgreementAction::Persist(request) => self.voters[name].writes.push_back(request),
            AgreementAction::Apply(entry) => {
                let first = self.committed.entry(entry.index).or_insert(entry.clone());
                assert_eq!(
                    *first, entry,
                    "{name} applied a different entry at the same index"
                );
                self.voters[name].applied.push(entry);
            }
            AgreementAction::InstallSnapshot(snapshot) => {
                let held = (1..=snapshot.last_index).map(|index| self.committed[&index].clone());
                self.voters[name].applied = held.collect();
            }
            AgreementAction::TakeSnapshot { last_index } => {
                let data = Bytes::from(vec![1; SNAPSHOT_CHUNK_BYTES + 1]);
                return Some(AgreementEvent::SnapshotTaken { last_index, data });
            }
            AgreementAction::AnswerProposal { ticket, result } => {
                if let Ok(index) = result {
                    assert_eq!(self.committed[&index].payload, payload(ticket.0));
                }
                self.proposals.insert(ticket.0, result);
            }
            AgreementAction::AnswerReadIndex { ticket, result } => {
                self.reads.insert(ticket.0, result);
            }
            AgreementAction::RoleChanged { .. } => {}
        }
        None
    }

    /// Carries out a voter's next write request. Returns whether there was one.
    pub(super) fn write_next(&mut self, name: &str) -> bool {
        let voter = &mut self.voters[name];
        let Some(request) = voter.writes.pop_front() else {
            return false;
        };
        for write in request.writes {
            if let Some(storage) = &mut voter.storage
                && storage.journal.write(&write).is_err()
            {
                self.crash(name);
                return true;
            }
            apply_write(&mut voter.disk, write);
        }
        self.handle_event(name, AgreementEvent::Persisted(request.ticket));
        true
    }

    pub(super) fn deliver(&mut self, to: &SharedName, message: PeerMessage) {
        if let (Some(Kind::SnapshotChunk(_)), Some(chunks)) = (&message.kind, &mut self.chunks_sent)
        {
            *chunks += 1;
            if *chunks % 2 == 1 {
                return;
            }
        }
        let is_lost =
            self.isolated.contains(to) || self.isolated.contains(message.from.name.as_str());
        if !is_lost {
            self.delivered.push((to.clone(), message.clone()));
            self.handle_event(to, AgreementEvent::Received(message));
        }
    }

    /// Delivers all queued messages without carrying out any write.
    pub(super) fn deliver_all(&mut self) {
        while let Some((to, message)) = self.queue.pop_front() {
            self.deliver(&to, message);
        }
    }

    /// Carries out writes and delivers messages until none are left.
    pub(super) fn settle(&mut self) {
        let names: Vec<SharedName> = self.voters.keys().cloned().collect();
        loop {
            let mut is_busy = false;
            for name in &names {
                is_busy |= self.write_next(name);
            }
            if let Some((to, message)) = self.queue.pop_front() {
                self.deliver(&to, message);
                is_busy = true;
            }
            if !is_busy {
                return;
            }
        }
    }

    pub(super) fn tick(&mut self) {
        self.now = self.now + Duration::from_millis(TICK_INTERVAL_MS);
        let keys = self.voters.keys();
        let names: Vec<SharedName> = keys
            .filter(|name| !self.paused.contains(*name))
            .cloned()
            .collect();
        for name in &names {
            self.handle_event(name, AgreementEvent::Tick);
        }
    }

    pub(super) fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_INTERVAL_MS {
            self.tick();
            self.settle();
        }
    }

    pub(super) fn role(&self, name: &str) -> AgreementRole {
        self.voters[name].engine.status().role
    }

    /// Returns the leader among the voters that are running and not isolated.
    pub(super) fn leader(&self) -> Option<SharedName> {
        let mut names = self.voters.keys().filter(|name| {
            let is_reachable = !self.isolated.contains(*name) && self.voters[*name].is_running;
            is_reachable && self.role(name) == AgreementRole::Leader
        });
        names.next().cloned()
    }

    pub(super) fn elect(&mut self) -> SharedName {
        for _ in 0..200 {
            if let Some(leader) = self.leader() {
                self.run(300);
                return leader;
            }
            self.run(TICK_INTERVAL_MS);
        }
        panic!("no leader after 10 s");
    }

    /// Makes this voter the leader by isolating any other voter that is elected.
    pub(super) fn elect_named(&mut self, name: &str) {
        loop {
            let leader = self.elect();
            if *leader == *name {
                return;
            }
            self.isolated.insert(leader.clone());
            self.run(2_500);
            self.isolated.clear();
        }
    }

    /// Asserts that every voter has applied every proposal that was reported as committed.
    pub(super) fn assert_nothing_lost(&self) {
        let accepted = self.proposals.iter().filter(|(_, result)| result.is_ok());
        for (number, _) in accepted {
            for name in self.voters.keys() {
                assert!(
                    self.has_applied(name, *number),
                    "{name} lost proposal {number}"
                );
            }
        }
    }

    pub(super) fn propose(&mut self, name: &str, number: u64) {
        let ticket = ProposalTicket(number);
        let payload = payload(number);
        self.handle_event(name, AgreementEvent::Propose { ticket, payload });
    }

    pub(super) fn has_applied(&self, name: &str, number: u64) -> bool {
        let mut applied = self.voters[name].applied.iter();
        applied.any(|entry| entry.payload == payload(number))
    }
}

pub(super) fn payload(number: u64) -> Bytes {
    Bytes::copy_from_slice(&number.to_be_bytes())
}
