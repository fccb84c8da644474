//! Voters over an in-memory message queue and disk.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::agreement::{LogEntry, PeerMessage, peer_message::Kind};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::super::*;
use crate::core::{SharedName, Timestamp};
use crate::journal::{JournalWrite, RecoveredState};

/// Silence after which a member takes the place of a voter of an open group.
pub(super) const REPLACE_AFTER: Duration = Duration::from_secs(3);

/// The part of the journal that survives a crash.
pub(super) fn write_to_disk(disk: &mut RecoveredState, write: JournalWrite) {
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

pub(super) struct TestVoter {
    pub(super) agreement: AgreementEngine,
    pub(super) disk: RecoveredState,
    pub(super) writes: VecDeque<PersistRequest>,
    pub(super) is_running: bool,
    pub(super) applied: Vec<LogEntry>,
}

/// Voters, the messages between them and everything they answered.
pub(super) struct TestGroup {
    pub(super) settings: AgreementSettings,
    pub(super) now: Timestamp,
    pub(super) seed: u64,
    pub(super) voters: IndexMap<SharedName, TestVoter>,
    pub(super) queue: VecDeque<(SharedName, PeerMessage)>,
    /// Voters whose messages are lost in both directions.
    pub(super) cut: IndexSet<SharedName>,
    /// Voters whose clock stands still.
    pub(super) paused: IndexSet<SharedName>,
    /// Snapshot chunks sent so far; if set, every other one is lost.
    pub(super) chunks: Option<usize>,
    /// Messages that were delivered, for replaying them.
    pub(super) delivered: Vec<(SharedName, PeerMessage)>,
    /// First entry applied anywhere at each index.
    pub(super) committed: IndexMap<u64, LogEntry>,
    pub(super) proposals: IndexMap<u64, Result<u64, ProposalError>>,
    pub(super) currency: IndexMap<u64, Result<u64, ReadIndexError>>,
}

impl TestGroup {
    pub(super) fn new(names: &[&str], seed: u64) -> Self {
        TestGroup::with_membership(names, GroupMembership::Fixed, seed)
    }

    /// A group that these founders form and that others may join.
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
            cut: IndexSet::new(),
            paused: IndexSet::new(),
            chunks: None,
            delivered: Vec::new(),
            committed: IndexMap::new(),
            proposals: IndexMap::new(),
            currency: IndexMap::new(),
        };
        for name in &names {
            group.start(name, RecoveredState::default());
        }
        group
    }

    /// Starts a member that does not found a group: its folder is empty and the group exists.
    pub(super) fn start_joining(&mut self, name: &str) {
        let GroupMembership::Open { may_form_group, .. } = &mut self.settings.membership else {
            panic!("the group is fixed");
        };
        *may_form_group = false;
        self.start(name, RecoveredState::default());
    }

    /// Names of the committed voters as the leader knows them.
    pub(super) fn voter_names(&self) -> IndexSet<String> {
        let leader = self.leader().expect("a leader");
        let voters = self.voters[&leader].agreement.voters.committed();
        voters
            .voters
            .iter()
            .map(|voter| voter.name.clone())
            .collect()
    }

    /// Starts a voter; a state without disk identity is an empty folder.
    pub(super) fn start(&mut self, name: &str, mut disk: RecoveredState) {
        self.seed += 1;
        if disk.metadata.disk_id == 0 {
            disk.metadata.disk_id = self.seed;
        }
        let mut settings = self.settings.clone();
        settings.name = name.into();
        let generator = SmallRng::seed_from_u64(self.seed);
        let agreement = AgreementEngine::new(settings, disk.clone(), generator, self.now);
        let voter = TestVoter {
            agreement,
            disk,
            writes: VecDeque::new(),
            is_running: true,
            applied: Vec::new(),
        };
        self.voters.insert(name.into(), voter);
    }

    /// Stops a voter's process; what was not written is lost.
    pub(super) fn crash(&mut self, name: &str) {
        let voter = &mut self.voters[name];
        voter.is_running = false;
        voter.writes.clear();
    }

    pub(super) fn restart(&mut self, name: &str) {
        let disk = self.voters[name].disk.clone();
        self.start(name, disk);
    }

    pub(super) fn feed(&mut self, name: &str, event: AgreementEvent) {
        let voter = &mut self.voters[name];
        if !voter.is_running {
            return;
        }
        let steps = voter.agreement.handle(self.now, event);
        for step in steps {
            let event = self.carry_out(name, step);
            if let Some(event) = event {
                self.feed(name, event);
            }
        }
    }

    /// Returns the event that answers the step. A snapshot is always the last one.
    pub(super) fn carry_out(
        &mut self,
        name: &str,
        step: AgreementAction,
    ) -> Option<AgreementEvent> {
        match step {
            AgreementAction::Send(released) => self.queue.push_back(released.into_parts()),
            AgreementAction::Persist(request) => self.voters[name].writes.push_back(request),
            AgreementAction::Apply(entry) => {
                let first = self.committed.entry(entry.index).or_insert(entry.clone());
                assert_eq!(*first, entry, "{name} applied another entry");
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
                self.currency.insert(ticket.0, result);
            }
            AgreementAction::RoleChanged { .. } => {}
        }
        None
    }

    /// Carries out a voter's next write.
    pub(super) fn write_next(&mut self, name: &str) -> bool {
        let voter = &mut self.voters[name];
        let Some(request) = voter.writes.pop_front() else {
            return false;
        };
        for write in request.writes {
            write_to_disk(&mut voter.disk, write);
        }
        self.feed(name, AgreementEvent::Persisted(request.ticket));
        true
    }

    pub(super) fn deliver(&mut self, to: &SharedName, message: PeerMessage) {
        if let (Some(Kind::SnapshotChunk(_)), Some(chunks)) = (&message.kind, &mut self.chunks) {
            *chunks += 1;
            if *chunks % 2 == 1 {
                return;
            }
        }
        let is_lost = self.cut.contains(to) || self.cut.contains(message.from.name.as_str());
        if !is_lost {
            self.delivered.push((to.clone(), message.clone()));
            self.feed(to, AgreementEvent::Received(message));
        }
    }

    /// Delivers without writing.
    pub(super) fn deliver_all(&mut self) {
        while let Some((to, message)) = self.queue.pop_front() {
            self.deliver(&to, message);
        }
    }

    /// Writes and delivers until nothing is left to do.
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
            self.feed(name, AgreementEvent::Tick);
        }
    }

    pub(super) fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_INTERVAL_MS {
            self.tick();
            self.settle();
        }
    }

    pub(super) fn role(&self, name: &str) -> AgreementRole {
        self.voters[name].agreement.status().role
    }

    /// Leader among the voters that are running and not cut off.
    pub(super) fn leader(&self) -> Option<SharedName> {
        let mut names = self.voters.keys().filter(|name| {
            let is_reachable = !self.cut.contains(*name) && self.voters[*name].is_running;
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

    /// Makes this voter the leader by cutting off any other that is elected.
    pub(super) fn elect_named(&mut self, name: &str) {
        loop {
            let leader = self.elect();
            if *leader == *name {
                return;
            }
            self.cut.insert(leader.clone());
            self.run(2_500);
            self.cut.clear();
        }
    }

    /// Everything that was answered as committed is held by every voter.
    pub(super) fn assert_nothing_lost(&self) {
        let accepted = self.proposals.iter().filter(|(_, result)| result.is_ok());
        for (number, _) in accepted {
            for name in self.voters.keys() {
                assert!(self.holds(name, *number), "{name} lost proposal {number}");
            }
        }
    }

    pub(super) fn propose(&mut self, name: &str, number: u64) {
        let ticket = ProposalTicket(number);
        let payload = payload(number);
        self.feed(name, AgreementEvent::Propose { ticket, payload });
    }

    pub(super) fn holds(&self, name: &str, number: u64) -> bool {
        let mut applied = self.voters[name].applied.iter();
        applied.any(|entry| entry.payload == payload(number))
    }
}

pub(super) fn payload(number: u64) -> Bytes {
    Bytes::copy_from_slice(&number.to_be_bytes())
}
