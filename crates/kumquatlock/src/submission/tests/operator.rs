//! Changes that operators submit, the answers that they get, and the checks of these answers.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::agreement::LogEntry;
use kumquatlock_wire::distribution::{CatalogCommand, catalog_command::Kind};
use prost::Message;
use rand::Rng;

use super::group::{Occurrence, REGION_DELAY, TestGroup};
use super::instance::{InstanceAnswer, InstanceInput};
use crate::core::SharedName;
use crate::manifest::ManifestDocument;
use crate::submission::SubmissionId;

/// Number of redirects that an operator follows.
const MAX_REDIRECTS: u32 = 2;

/// Longest time that a copy of a change takes to an instance.
pub(super) const MAX_COPY_DELAY: Duration = Duration::from_secs(2);

/// Time within which a leader that stays answers. A commit in another region takes about 0.1 s.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Number of times that operators send a change again after all faults have ended. Time for two
/// rounds of elections and for an answer.
const MAX_RESENDS: usize = 5;

/// Position of a change in [`TestGroup::changes`].
pub(super) type ChangeId = usize;

/// A change that operators submit, and what became of it.
pub(super) struct TestChange {
    document: Arc<ManifestDocument>,
    pub(super) is_acknowledged: bool,
    pub(super) is_refused: bool,
    /// Whether it was refused by an instance that knew no version above its base. Operators build on
    /// acknowledged changes only, so a copy of it could still be accepted.
    is_refused_early: bool,
    /// Whether it has been in force at any instance.
    is_accepted: bool,
}

impl TestChange {
    pub(super) fn is_undecided(&self) -> bool {
        !self.is_acknowledged && !self.is_refused
    }
}

/// A copy of a change on its way to a decision.
pub(super) struct SubmittedCopy {
    change: ChangeId,
    redirects: u32,
}

impl TestGroup {
    /// Adds a change that builds on another one. Some changes share a version.
    pub(super) fn add_change(&mut self, base: Option<ChangeId>) -> ChangeId {
        let id = self.changes.len();
        let follows = base.map_or(0, |base| self.changes[base].document.version);
        let version = follows + self.rng.random_range(1..=2);
        let text = format!(
            r#"{{"version":{version},"follows":{follows},"services":[{{"name":"s{id}","upstreams":["s{id}-*"]}}],"routes":[]}}"#
        );
        self.note(&format!("change {id}: version {version} on {follows}"));
        self.changes.push(TestChange {
            document: Arc::new(ManifestDocument::parse(text.as_bytes()).unwrap()),
            is_acknowledged: false,
            is_refused: false,
            is_refused_early: false,
            is_accepted: false,
        });
        id
    }

    /// Sends a copy of a change to an instance, where it arrives after `delay`.
    pub(super) fn submit(&mut self, name: &str, change: ChangeId, delay: Duration) {
        self.send_copy(name, change, delay, 0);
    }

    fn send_copy(&mut self, name: &str, change: ChangeId, delay: Duration, redirects: u32) {
        let id = SubmissionId(self.copies.len() as u64);
        self.copies.push(SubmittedCopy { change, redirects });
        self.schedule(delay, Occurrence::Submit(name.into(), id));
    }

    pub(super) fn deliver_copy(&mut self, name: &str, id: SubmissionId) {
        let change = self.copies[id.0 as usize].change;
        self.note(&format!("change {change}, copy {}, reaches {name}", id.0));
        let document = self.changes[change].document.clone();
        self.handle_if_running(name, InstanceInput::Submit(id, document));
    }

    pub(super) fn record_answer(&mut self, name: &str, id: SubmissionId, answer: InstanceAnswer) {
        let SubmittedCopy { change, redirects } = self.copies[id.0 as usize];
        self.note(&format!(
            "{name} answers copy {} of change {change}: {answer:?}",
            id.0
        ));
        match answer {
            InstanceAnswer::Accepted => self.record_acknowledged(change),
            InstanceAnswer::Refused(_) => self.record_refused(name, change),
            InstanceAnswer::Redirect(leader) if redirects < MAX_REDIRECTS => {
                self.send_copy(&leader, change, REGION_DELAY, redirects + 1);
            }
            InstanceAnswer::Redirect(_) | InstanceAnswer::Unclear(_) => {}
        }
        self.check_change(change);
    }

    fn record_refused(&mut self, name: &str, change: ChangeId) {
        let known_version = self.instances[name].catalog.manifest_version();
        let change = &mut self.changes[change];
        change.is_refused = true;
        change.is_refused_early |= known_version <= change.document.follows.unwrap_or(0);
    }

    fn record_acknowledged(&mut self, change: ChangeId) {
        self.changes[change].is_acknowledged = true;
        let base = self.changes[change].document.follows;
        let rivals = self
            .changes
            .iter()
            .filter(|other| other.is_acknowledged && other.document.follows == base);
        let count = rivals.count();
        self.check(count == 1, "two changes on the same base are acknowledged");
    }

    /// Notes the changes that this instance has accepted into its catalog.
    pub(super) fn record_accepted(&mut self, name: &str) {
        for id in 0..self.changes.len() {
            if !self.changes[id].is_accepted && self.has_accepted(name, id) {
                self.note(&format!("change {id} is in force at {name}"));
                self.changes[id].is_accepted = true;
                self.check_change(id);
            }
        }
    }

    /// Whether the change is or was in force at this instance.
    fn has_accepted(&self, name: &str, change: ChangeId) -> bool {
        let document = &self.changes[change].document;
        let record = self.instances[name].catalog.accepted(document.version);
        record.is_some_and(|record| record.digest == document.digest)
    }

    fn check_change(&self, id: ChangeId) {
        let change = &self.changes[id];
        let is_contradiction = change.is_refused && (change.is_accepted || change.is_acknowledged);
        self.check(
            !is_contradiction,
            &format!("change {id} is refused and in force"),
        );
    }

    pub(super) fn check(&self, is_met: bool, message: &str) {
        assert!(is_met, "{message}\n{}", self.transcript.join("\n"));
    }

    /// Ends all faults, sends every change once more, and checks that every instance has what was
    /// acknowledged and nothing that was refused.
    pub(super) fn recover(&mut self) {
        self.heal();
        for name in self.names() {
            self.resume(&name, false);
            self.restart(&name);
        }
        self.run_for(MAX_COPY_DELAY);
        self.submit_all();
        // An answer is unclear if there is another election.
        for _ in 0..MAX_RESENDS {
            if self.changes.iter().any(TestChange::is_undecided) {
                self.submit_all();
            }
        }
        for (id, change) in self.changes.iter().enumerate() {
            let is_decided = change.is_acknowledged != change.is_refused;
            let is_allowed = is_decided || self.has_unknown_base(change);
            self.check(is_allowed, &format!("change {id} is not decided"));
            let is_late = !change.is_refused_early;
            self.check(is_late, &format!("change {id} is refused early"));
            for name in self.instances.keys() {
                let is_kept = self.has_accepted(name, id) == change.is_acknowledged;
                self.check(is_kept, &format!("change {id} at {name}"));
            }
        }
    }

    /// Whether no instance has accepted a version as high as the one that the change follows. Such a
    /// change is not decided, because that version may still come.
    fn has_unknown_base(&self, change: &TestChange) -> bool {
        let accepted = self.instances.values();
        let newest = accepted.map(|instance| instance.catalog.manifest_version());
        newest.max() < change.document.follows
    }

    /// Sends every change to the leader, and waits for the answers.
    fn submit_all(&mut self) {
        let leader = self.elect();
        for change in 0..self.changes.len() {
            self.submit(&leader, change, Duration::ZERO);
        }
        self.run_for(ANSWER_TIME);
    }

    /// Returns how many disks hold the entry of a change.
    pub(super) fn stored_count(&self, change: ChangeId) -> usize {
        let digest = self.changes[change].document.digest;
        let is_stored = |entry: &LogEntry| {
            let command = CatalogCommand::decode(entry.payload.clone());
            let kind = command.ok().and_then(|command| command.kind);
            matches!(kind, Some(Kind::Change(stored)) if stored.digest == digest)
        };
        let disks = self.instances.values().map(|instance| &instance.disk);
        disks
            .filter(|disk| disk.entries.iter().any(is_stored))
            .count()
    }

    /// Adds a change, and submits it to the leader until it is acknowledged.
    pub(super) fn accept_change(&mut self, base: Option<ChangeId>) -> (SharedName, ChangeId) {
        let change = self.add_change(base);
        let leader = self.elect();
        self.submit(&leader, change, Duration::ZERO);
        self.run_until("the change is acknowledged", |group| {
            group.changes[change].is_acknowledged
        });
        (leader, change)
    }
}
