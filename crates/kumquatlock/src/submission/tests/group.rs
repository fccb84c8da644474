//! A simulated group of control instances in several regions: time, links, disks and faults.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::instance::{InstanceInput, InstanceOutput, ProcessState, TestInstance};
use super::operator::{SubmittedCopy, TestChange};
use crate::agreement::{AgreementEvent, AgreementRole, AgreementSettings, TICK_INTERVAL_MS};
use crate::core::{SharedName, Timestamp};
use crate::journal::RecoveredState;
use crate::submission::SubmissionId;

const TICK_INTERVAL: Duration = Duration::from_millis(TICK_INTERVAL_MS);

/// Delay of a message between two regions.
pub(super) const REGION_DELAY: Duration = Duration::from_millis(30);

/// Delay of a message inside a region.
const LOCAL_DELAY: Duration = Duration::from_millis(1);

/// Range of the time until a write is durable, in microseconds.
const WRITE_MICROS: std::ops::RangeInclusive<u64> = 500..=20_000;

/// Time within which a group without faults elects a leader or answers. Two rounds of elections
/// with the default timeouts fit into it.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Something that happens at a set time.
pub(super) enum Occurrence {
    Tick(SharedName),
    /// An input for a process of this instance, with the sender if it is another instance.
    Input {
        to: SharedName,
        run: u64,
        from: Option<SharedName>,
        input: Box<InstanceInput>,
    },
    /// An operator connects to the instance that has this name at that time.
    Submit(SharedName, SubmissionId),
    WriteEnd(SharedName, u64),
}

pub(super) struct TestGroup {
    settings: AgreementSettings,
    now: Timestamp,
    pub(super) rng: SmallRng,
    pub(super) instances: IndexMap<SharedName, TestInstance>,
    agenda: BTreeMap<(Timestamp, u64), Occurrence>,
    /// Number of occurrences so far. Makes the order of simultaneous occurrences fixed.
    sequence: u64,
    /// Pairs of instances that do not reach each other.
    cuts: IndexSet<(SharedName, SharedName)>,
    pub(super) changes: Vec<TestChange>,
    pub(super) copies: Vec<SubmittedCopy>,
    pub(super) transcript: Vec<String>,
}

impl TestGroup {
    /// Creates a group with an elected leader. The part of a name before the `-` is the region.
    pub(super) fn new(names: &[&str], seed: u64) -> Self {
        let names: Vec<SharedName> = names.iter().map(|name| (*name).into()).collect();
        let mut group = TestGroup {
            settings: AgreementSettings::new(names[0].clone(), names.clone()),
            now: Timestamp::default(),
            rng: SmallRng::seed_from_u64(seed),
            instances: IndexMap::new(),
            agenda: BTreeMap::new(),
            sequence: 0,
            cuts: IndexSet::new(),
            changes: Vec::new(),
            copies: Vec::new(),
            transcript: vec![format!("seed {seed}")],
        };
        // Some groups restart from a snapshot that is behind the log.
        group.settings.compaction_entries = group.rng.random_range(3..=20);
        for name in &names {
            group.start(name, RecoveredState::default());
            let phase = group.rng.random_range(0..TICK_INTERVAL_MS);
            let first = Duration::from_millis(phase);
            group.schedule(first, Occurrence::Tick(name.clone()));
        }
        group.elect();
        group
    }

    pub(super) fn schedule(&mut self, delay: Duration, occurrence: Occurrence) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.agenda.insert(at, occurrence);
    }

    pub(super) fn note(&mut self, line: &str) {
        let millis = self.now.0 as f64 / 1_000.0;
        self.transcript.push(format!("{millis:9.1} ms  {line}"));
    }

    pub(super) fn names(&self) -> Vec<SharedName> {
        self.instances.keys().cloned().collect()
    }

    // Faults.

    fn start(&mut self, name: &str, disk: RecoveredState) {
        let mut settings = self.settings.clone();
        settings.name = name.into();
        let run = self.rng.random_range(1..=u64::MAX);
        let instance = TestInstance::start(settings, disk, run, self.now);
        self.instances.insert(name.into(), instance);
    }

    /// Kills a process. What it has given to the disk stays, also if it is not durable yet.
    pub(super) fn kill(&mut self, name: &str) {
        self.note(&format!("{name} is killed"));
        let instance = &mut self.instances[name];
        instance.state = ProcessState::Stopped;
        instance.writes.truncate(1);
    }

    /// Cuts the power of an instance, running or not. Loses everything that is not durable.
    pub(super) fn cut_power(&mut self, name: &str) {
        self.note(&format!("{name} loses power"));
        let instance = &mut self.instances[name];
        instance.state = ProcessState::Stopped;
        instance.writes.clear();
    }

    pub(super) fn restart(&mut self, name: &str) {
        let instance = &mut self.instances[name];
        if instance.state != ProcessState::Stopped {
            return;
        }
        // The journal syncs what it finds when it is opened.
        while instance.end_write().is_some() {}
        let disk = instance.disk.clone();
        self.note(&format!("{name} restarts"));
        self.start(name, disk);
    }

    pub(super) fn pause(&mut self, name: &str) {
        if self.instances[name].state == ProcessState::Running {
            self.note(&format!("{name} is paused"));
            self.instances[name].state = ProcessState::Paused;
        }
    }

    /// Resumes an instance, which then handles what arrived meanwhile, and at last its tick.
    pub(super) fn resume(&mut self, name: &str, is_submission_first: bool) {
        let instance = &mut self.instances[name];
        if instance.state != ProcessState::Paused {
            return;
        }
        instance.state = ProcessState::Running;
        let mut inputs: Vec<InstanceInput> = instance.inbox.drain(..).collect();
        if is_submission_first {
            inputs.sort_by_key(|input| !matches!(input, InstanceInput::Submit(..)));
        }
        inputs.push(InstanceInput::Agreement(AgreementEvent::Tick));
        self.note(&format!("{name} resumes with {} inputs", inputs.len()));
        for input in inputs {
            self.handle(name, input);
        }
    }

    /// Cuts an instance off from all others.
    pub(super) fn isolate(&mut self, name: &str) {
        for other in self.names().iter().filter(|other| ***other != *name) {
            self.cut(name, other);
        }
    }

    pub(super) fn cut(&mut self, name: &str, other: &str) {
        self.note(&format!("{name} and {other} are cut off from each other"));
        self.cuts.insert((name.into(), other.into()));
    }

    pub(super) fn heal(&mut self) {
        self.note("all links work");
        self.cuts.clear();
    }

    fn is_cut(&self, a: &SharedName, b: &SharedName) -> bool {
        let (a, b) = (a.clone(), b.clone());
        self.cuts.contains(&(a.clone(), b.clone())) || self.cuts.contains(&(b, a))
    }

    pub(super) fn hand_over(&mut self, name: &str) {
        self.note(&format!("{name} is to hand over"));
        let event = AgreementEvent::TransferLeadership;
        self.handle_if_running(name, InstanceInput::Agreement(event));
    }

    // Passing of time.

    pub(super) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.agenda.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.step();
        }
        self.now = end;
    }

    /// Runs until a condition holds, and fails if that takes longer than [`RECOVERY_TIME`].
    pub(super) fn run_until(&mut self, what: &str, is_met: impl Fn(&TestGroup) -> bool) {
        if is_met(self) {
            return;
        }
        let end = self.now + RECOVERY_TIME;
        while !is_met(self) {
            self.check(self.now < end, what);
            self.step();
        }
        self.note(what);
    }

    fn step(&mut self) {
        let Some(((at, _), occurrence)) = self.agenda.pop_first() else {
            return;
        };
        self.now = at;
        match occurrence {
            Occurrence::Tick(name) => {
                self.schedule(TICK_INTERVAL, Occurrence::Tick(name.clone()));
                if self.instances[&name].state == ProcessState::Running {
                    self.handle(&name, InstanceInput::Agreement(AgreementEvent::Tick));
                }
            }
            Occurrence::Input {
                to,
                run,
                from,
                input,
            } => {
                let is_cut = from.is_some_and(|from| self.is_cut(&from, &to));
                if !is_cut && self.instances[&to].run == run {
                    self.handle_if_running(&to, *input);
                }
            }
            Occurrence::Submit(name, id) => self.deliver_copy(&name, id),
            Occurrence::WriteEnd(name, run) => self.end_write(&name, run),
        }
    }

    fn end_write(&mut self, name: &SharedName, run: u64) {
        let instance = &mut self.instances[name];
        if instance.run != run || instance.state == ProcessState::Stopped {
            return;
        }
        let event = instance.end_write();
        if !instance.writes.is_empty() {
            self.start_write(name);
        }
        if let Some(event) = event {
            self.handle_if_running(name, InstanceInput::Agreement(event));
        }
    }

    fn start_write(&mut self, name: &str) {
        let run = self.instances[name].run;
        let delay = Duration::from_micros(self.rng.random_range(WRITE_MICROS));
        self.schedule(delay, Occurrence::WriteEnd(name.into(), run));
    }

    pub(super) fn handle_if_running(&mut self, name: &str, input: InstanceInput) {
        match self.instances[name].state {
            ProcessState::Running => self.handle(name, input),
            ProcessState::Paused => self.instances[name].inbox.push_back(input),
            ProcessState::Stopped => {}
        }
    }

    fn handle(&mut self, name: &str, input: InstanceInput) {
        let role = self.instances[name].role;
        let outputs = self.instances[name].handle(self.now, input);
        if self.instances[name].role != role {
            self.note(&format!("{name} is {}", self.instances[name].role));
        }
        self.record_accepted(name);
        for output in outputs {
            match output {
                InstanceOutput::StartWrite => self.start_write(name),
                InstanceOutput::Send(to, message) => {
                    let run = self.instances[&to].run;
                    let is_local = name.split('-').next() == to.split('-').next();
                    let delay = if is_local { LOCAL_DELAY } else { REGION_DELAY };
                    let from = Some(name.into());
                    let event = AgreementEvent::Received(message);
                    let input = Box::new(InstanceInput::Agreement(event));
                    self.schedule(
                        delay,
                        Occurrence::Input {
                            to,
                            run,
                            from,
                            input,
                        },
                    );
                }
                InstanceOutput::Answer(id, answer) => self.record_answer(name, id, answer),
            }
        }
    }

    pub(super) fn elect(&mut self) -> SharedName {
        self.run_until("a leader is elected", |group| group.leader().is_some());
        self.leader().unwrap()
    }

    /// Returns the running instance that leads the latest term.
    pub(super) fn leader(&self) -> Option<SharedName> {
        let instances = self.instances.iter();
        let leaders = instances.filter(|(_, instance)| {
            instance.state == ProcessState::Running && instance.role == AgreementRole::Leader
        });
        let latest = leaders.max_by_key(|(_, instance)| instance.engine.status().term);
        latest.map(|(name, _)| name.clone())
    }

    /// Waits for a leader of a later term than that of this instance.
    pub(super) fn elect_other_than(&mut self, name: &SharedName) -> SharedName {
        self.run_until("another leader is elected", |group| {
            group.leader().is_some_and(|leader| leader != *name)
        });
        self.leader().unwrap()
    }

    pub(super) fn is_leader(&self, name: &str) -> bool {
        self.instances[name].role == AgreementRole::Leader
    }

    pub(super) fn has_candidate(&self) -> bool {
        let mut instances = self.instances.values();
        instances.any(|instance| instance.role == AgreementRole::Candidate)
    }
}
