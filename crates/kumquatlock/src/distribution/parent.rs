//! The parent's side of the configuration stream.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::agreement::{ConfirmReply, Forward};
use kumquatlock_wire::distribution::{
    Attachment, ChildRole, Hello, Pong, Progress, RetryAfter, RetryReason, UpstreamIncarnation,
    Welcome,
};
use kumquatlock_wire::{Body, EncodedFrame};
use rand::Rng;
use rand::rngs::SmallRng;

use super::admission::{AdmissionLimits, HelloAdmission};
use super::progress::{UplinkReporter, add_progress, replace_upstreams};
use super::proof::{ProofBatch, ProofVerdict, ProofWaiter};
use super::record::ChildRecord;
use super::serve::{DeltaFrames, SnapshotQueue};
use super::{CHILD_TIMEOUT, MAX_CHILDREN, MAX_UPSTREAMS_PER_NODE, UPDATE_TIMEOUT};
use crate::catalog::{Catalog, EncodedSnapshot, SnapshotDetail};
use crate::core::{ConfigVersion, GroupId, SharedName, Timestamp};

/// Currency proofs that one child may wait for at once.
const MAX_CONFIRMS: usize = 8;
/// Bounds of the delay after a failed proof, in milliseconds. A proof fails at once while there is
/// no leader, so a child that waited as long as an election would often miss its end.
const NOT_CURRENT_DELAY_MS: std::ops::RangeInclusive<u32> = 150..=450;

/// One connection of a child. Never used again by the same parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChildId(pub u64);

/// What happened to the parent.
#[derive(Clone, Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is moved once and never stored"
)]
pub enum ParentEvent {
    /// Comes every [`super::TICK_INTERVAL`].
    Tick,
    /// A message arrived.
    Received { child: ChildId, body: Body },
    /// Everything sent to the child has left the output buffer.
    Writable { child: ChildId },
    /// The connection was closed by the other side or failed.
    Disconnected { child: ChildId },
    /// Result of [`ParentStep::RequestProof`]: the index proved current, or none.
    ProofResult { round: u64, index: Option<u64> },
    /// The catalog has applied an entry or an update.
    CatalogAdvanced,
    /// The path towards the leader is a new one.
    UplinkChanged,
    /// The leader has been silent for long (true), or is heard again (false).
    LeaderSilent(bool),
    /// The process is about to exit.
    Shutdown,
}

/// What the parent does next, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ParentStep {
    /// Send the same message to each child.
    Send { children: Vec<ChildId>, body: Body },
    /// Send a delta, encoded already, to each child.
    SendDelta {
        children: Vec<ChildId>,
        frame: EncodedFrame,
    },
    /// Close the connection after what was sent has left.
    Close { child: ChildId },
    /// Prove that an index is at or above everything committed before this step.
    RequestProof { round: u64 },
    /// Pass a message on towards the leader.
    ForwardToLeader(Body),
    /// A request of a replica, such as a submission, that another duty answers.
    HandleRequest { child: ChildId, request: Forward },
}

/// Decisions of one parent.
#[derive(Debug)]
pub struct ParentState {
    name: SharedName,
    group: GroupId,
    /// At most [`MAX_CHILDREN`].
    pub(super) children: IndexMap<ChildId, ChildRecord>,
    /// The present connection of each named child.
    names: IndexMap<SharedName, ChildId>,
    pub(super) admission: HelloAdmission,
    proof: ProofBatch,
    reporter: UplinkReporter,
    /// Children that wait for a snapshot transfer, those without a configuration first.
    pub(super) queue: SnapshotQueue,
    /// Latest encoded snapshot per detail; reused while a delta leads from it to the present.
    pub(super) encoded: IndexMap<SnapshotDetail, EncodedSnapshot>,
    pub(super) deltas: DeltaFrames,
    /// Addresses that children are told to turn to. Empty if they know them from their settings.
    offered_parents: Vec<String>,
    /// The leader is silent, so children would learn of nothing new here.
    is_stale: bool,
    is_leaving: bool,
}

impl ParentState {
    /// A parent without children. `started_ms` is the wall clock at the start of the process.
    pub fn new(name: SharedName, group: GroupId, started_ms: u64) -> Self {
        ParentState::with_limits(name, group, started_ms, AdmissionLimits::default())
    }

    /// A parent with other bounds than the default ones.
    pub fn with_limits(
        name: SharedName,
        group: GroupId,
        started_ms: u64,
        limits: AdmissionLimits,
    ) -> Self {
        ParentState {
            name: name.clone(),
            group,
            children: IndexMap::new(),
            names: IndexMap::new(),
            admission: HelloAdmission::new(limits),
            proof: ProofBatch::new(),
            reporter: UplinkReporter::new(name, started_ms.saturating_mul(1_000)),
            queue: SnapshotQueue::default(),
            encoded: IndexMap::new(),
            deltas: DeltaFrames::default(),
            offered_parents: Vec::new(),
            is_stale: false,
            is_leaving: false,
        }
    }

    /// Sets the group when the instance has formed or joined it.
    pub fn set_group(&mut self, group: GroupId) {
        self.group = group;
    }

    /// Sets the addresses that children are told to turn to. Those that are attached learn of a
    /// change with their next welcome.
    pub fn set_offered_parents(&mut self, parents: Vec<String>) {
        self.offered_parents = parents;
    }

    /// Admitted children.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    /// Snapshots in transfer.
    pub fn transfer_count(&self) -> usize {
        self.children
            .values()
            .filter(|record| record.is_in_transfer())
            .count()
    }

    /// Progress of the whole subtree at the catalog's version.
    pub fn progress(&self, catalog: &Catalog) -> Progress {
        let current = catalog.version();
        let mut sum = Progress {
            reporter: self.name.to_string(),
            current_version: current.0,
            ..Progress::default()
        };
        for record in self.children.values().filter(|record| record.is_welcomed) {
            add_progress(&mut sum, &record.progress(current));
        }
        sum
    }

    /// Decides on one event.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ParentEvent,
        catalog: &Catalog,
        random: &mut SmallRng,
    ) -> Vec<ParentStep> {
        let mut steps = Vec::new();
        match event {
            ParentEvent::Tick => self.tick(now, catalog, &mut steps),
            ParentEvent::Received { child, body } => {
                if let Some(record) = self.children.get_mut(&child) {
                    record.last_heard = now;
                }
                self.receive(now, child, body, catalog, random, &mut steps);
            }
            ParentEvent::Writable { child } => self.send_chunk(now, child, &mut steps),
            ParentEvent::Disconnected { child } => self.remove(now, child, catalog, &mut steps),
            ParentEvent::ProofResult { round, index } => {
                let verdict = self.proof.finish(round, index);
                self.settle(now, verdict, catalog, random, &mut steps);
            }
            ParentEvent::CatalogAdvanced => self.serve_all(now, catalog, &mut steps),
            ParentEvent::UplinkChanged => self.reporter.restart(),
            ParentEvent::LeaderSilent(is_silent) => {
                self.is_stale = is_silent;
                if is_silent {
                    self.dismiss(RetryReason::NotCurrent, &mut steps);
                }
            }
            ParentEvent::Shutdown => {
                self.is_leaving = true;
                self.dismiss(RetryReason::Leaving, &mut steps);
            }
        }
        let verdict = self.proof.poll(now, catalog.applied_index());
        self.settle(now, verdict, catalog, random, &mut steps);
        if let Some(round) = self.proof.start_next(now) {
            steps.push(ParentStep::RequestProof { round });
        }
        steps
    }

    fn receive(
        &mut self,
        now: Timestamp,
        child: ChildId,
        body: Body,
        catalog: &Catalog,
        random: &mut SmallRng,
        steps: &mut Vec<ParentStep>,
    ) {
        if let Body::Hello(hello) = &body {
            return self.greet(now, child, hello, catalog, random, steps);
        }
        let Some(record) = self.children.get_mut(&child) else {
            // The child was closed, or speaks before its hello.
            return;
        };
        match body {
            Body::Ping(ping) => {
                let age = self.proof.age(now);
                let pong = Pong {
                    number: ping.number,
                    version: catalog.version().0,
                    proof_age_ms: age.map(|age| age.as_millis() as u64 + 1),
                };
                steps.push(send(child, Body::Pong(pong)));
                let round = ping.prove.then(|| self.proof.renew(now)).flatten();
                steps.extend(round.map(|round| ParentStep::RequestProof { round }));
            }
            Body::Applied(applied) => {
                let version = ConfigVersion(applied.version);
                record.applied = record.applied.max(version);
                self.finish_update(now, child, version, catalog, steps);
            }
            Body::Rejected(rejected) => {
                self.reject(now, child, ConfigVersion(rejected.version), catalog, steps);
            }
            Body::Progress(progress) => record.subtree = progress,
            Body::Report(report) => steps.push(ParentStep::ForwardToLeader(Body::Report(report))),
            Body::Attachment(attachment) => self.attach(child, attachment, steps),
            Body::Forward(request) => self.answer(now, child, request, steps),
            _ => {}
        }
    }

    fn greet(
        &mut self,
        now: Timestamp,
        child: ChildId,
        hello: &Hello,
        catalog: &Catalog,
        random: &mut SmallRng,
        steps: &mut Vec<ParentStep>,
    ) {
        if self.children.contains_key(&child) {
            // A doubled hello.
            return;
        }
        if let Err((reason, delay)) = self.admit(now, hello, random) {
            return refuse(child, reason, delay, steps);
        }
        if let Some(&old) = self.names.get(hello.name.as_str()) {
            let newer = self.children[&old].incarnation > hello.incarnation;
            let loser = if newer { child } else { old };
            steps.push(ParentStep::Close { child: loser });
            if newer {
                return;
            }
            self.forget(old);
        }
        let mut record = ChildRecord::new(now, hello);
        // The digest is known for the present version only; a delta from any other base is checked
        // by the child. Nothing is sent before there is a later version, because a child applies
        // no version twice.
        let is_present = record.holds_config() && record.applied == catalog.version();
        if is_present && hello.applied_digest != 0 && hello.applied_digest != catalog.digest() {
            log::error!(child = hello.name.as_str(), version = hello.applied_version; "child_diverged");
            record.diverged = Some(record.applied);
            record.needs_snapshot = true;
        }
        self.names.insert(record.name.clone(), child);
        self.children.insert(child, record);
        if let Some(round) = self.proof.request(now, ProofWaiter::Hello(child)) {
            steps.push(ParentStep::RequestProof { round });
        }
    }

    fn admit(
        &mut self,
        now: Timestamp,
        hello: &Hello,
        random: &mut SmallRng,
    ) -> Result<(), (RetryReason, Duration)> {
        if self.is_leaving {
            return Err((RetryReason::Leaving, Duration::ZERO));
        }
        if self.group == GroupId(0) || self.is_stale {
            let delay = random.random_range(NOT_CURRENT_DELAY_MS);
            return Err((RetryReason::NotCurrent, Duration::from_millis(delay.into())));
        }
        if hello.group_id != 0 && hello.group_id != self.group.0 {
            return Err((RetryReason::WrongGroup, Duration::ZERO));
        }
        let holds_config = hello.applied_version != 0;
        let ahead = self.expected_transfers();
        // A child that holds a configuration can wait elsewhere, and rarely needs a snapshot.
        let is_full =
            !holds_config && ahead >= self.admission.limits.transfers + self.admission.limits.queue;
        if is_full || self.children.len() >= MAX_CHILDREN {
            let delay = self.admission.snapshot_delay(ahead, random);
            return Err((RetryReason::Busy, delay));
        }
        self.admission
            .admit(now, holds_config, random)
            .map_err(|delay| (RetryReason::Busy, delay))
    }

    /// Snapshots in transfer, waiting for one, or about to be needed.
    fn expected_transfers(&self) -> usize {
        let unserved = |record: &&ChildRecord| !record.is_welcomed && !record.holds_config();
        let unwelcomed = self.children.values().filter(unserved).count();
        self.transfer_count() + self.queue.len() + unwelcomed
    }

    fn settle(
        &mut self,
        now: Timestamp,
        verdict: Option<ProofVerdict>,
        catalog: &Catalog,
        random: &mut SmallRng,
        steps: &mut Vec<ParentStep>,
    ) {
        match verdict {
            Some(ProofVerdict::Current(waiters)) => self.welcome(now, &waiters, catalog, steps),
            Some(ProofVerdict::NotCurrent(waiters)) => self.turn_away(&waiters, random, steps),
            None => {}
        }
    }

    fn welcome(
        &mut self,
        now: Timestamp,
        waiters: &[ProofWaiter],
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        let floor = catalog.version().0;
        let mut children = Vec::new();
        for &waiter in waiters {
            match waiter {
                ProofWaiter::Hello(child) => children.push(child),
                ProofWaiter::Confirm { child, request_id } => {
                    steps.push(confirm(child, request_id, Some(floor)));
                }
                ProofWaiter::Renewal => {}
            }
        }
        for child in &children {
            if let Some(record) = self.children.get_mut(child) {
                record.is_welcomed = true;
                record.floor = catalog.version();
            }
        }
        if children.is_empty() {
            return;
        }
        let group_id = self.group.0;
        let parents = self.offered_parents.clone();
        let body = Body::Welcome(Welcome {
            group_id,
            floor,
            parents,
        });
        steps.push(ParentStep::Send {
            children: children.clone(),
            body,
        });
        self.serve(now, &children, catalog, steps);
    }

    fn turn_away(
        &mut self,
        waiters: &[ProofWaiter],
        random: &mut SmallRng,
        steps: &mut Vec<ParentStep>,
    ) {
        for &waiter in waiters {
            match waiter {
                ProofWaiter::Hello(child) => {
                    self.forget(child);
                    let delay = random.random_range(NOT_CURRENT_DELAY_MS);
                    let delay = Duration::from_millis(delay.into());
                    refuse(child, RetryReason::NotCurrent, delay, steps);
                }
                ProofWaiter::Confirm { child, request_id } => {
                    steps.push(confirm(child, request_id, None));
                }
                ProofWaiter::Renewal => {}
            }
        }
    }

    /// Answers a request of a replica. Proofs are made here, everything else elsewhere.
    fn answer(
        &mut self,
        now: Timestamp,
        child: ChildId,
        request: Forward,
        steps: &mut Vec<ParentStep>,
    ) {
        if !matches!(request.content, Some(Content::ConfirmRequest(_))) {
            return steps.push(ParentStep::HandleRequest { child, request });
        }
        let request_id = request.request_id;
        if self.proof.waiting(child) >= MAX_CONFIRMS {
            return steps.push(confirm(child, request_id, None));
        }
        let waiter = ProofWaiter::Confirm { child, request_id };
        if let Some(round) = self.proof.request(now, waiter) {
            steps.push(ParentStep::RequestProof { round });
        }
    }

    /// A node names its upstreams; a replica's message goes on towards the leader as it is.
    fn attach(&mut self, child: ChildId, message: Attachment, steps: &mut Vec<ParentStep>) {
        let Some(record) = self.children.get_mut(&child) else {
            return;
        };
        match record.role {
            ChildRole::Replica => {
                steps.push(ParentStep::ForwardToLeader(Body::Attachment(message)))
            }
            ChildRole::Node => {
                let next = message.attached.into_iter();
                let next = next.take(MAX_UPSTREAMS_PER_NODE).collect();
                replace_upstreams(&mut record.upstreams, next, &mut self.reporter);
            }
        }
    }

    fn tick(&mut self, now: Timestamp, catalog: &Catalog, steps: &mut Vec<ParentStep>) {
        let is_lost = |record: &ChildRecord| {
            let stuck = record.outstanding.as_ref();
            now.since(record.last_heard) >= CHILD_TIMEOUT
                || stuck.is_some_and(|update| now.since(update.sent_at()) >= UPDATE_TIMEOUT)
        };
        let lost: Vec<ChildId> = self
            .children
            .iter()
            .filter(|(_, record)| is_lost(record))
            .map(|(&child, _)| child)
            .collect();
        for child in lost {
            steps.push(ParentStep::Close { child });
            self.remove(now, child, catalog, steps);
        }
        let progress = self.progress(catalog);
        if let Some(progress) = self.reporter.progress_due(now, progress) {
            steps.push(ParentStep::ForwardToLeader(Body::Progress(progress)));
        }
        let children = &self.children;
        let all = || -> Vec<UpstreamIncarnation> {
            let records = children.values();
            records
                .flat_map(|record| record.upstreams.iter().cloned())
                .collect()
        };
        if let Some(attachment) = self.reporter.attachment_due(now, all) {
            steps.push(ParentStep::ForwardToLeader(Body::Attachment(attachment)));
        }
    }

    /// Forgets a child; a waiting one takes over its transfer.
    fn remove(
        &mut self,
        now: Timestamp,
        child: ChildId,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        self.forget(child);
        self.fill_transfers(now, catalog, steps);
    }

    fn forget(&mut self, child: ChildId) {
        self.proof.remove(child);
        self.queue.remove(child);
        let Some(mut record) = self.children.swap_remove(&child) else {
            return;
        };
        if self.names.get(&record.name) == Some(&child) {
            self.names.swap_remove(&record.name);
        }
        replace_upstreams(&mut record.upstreams, IndexSet::new(), &mut self.reporter);
    }

    /// Sends the children to other parents.
    fn dismiss(&mut self, reason: RetryReason, steps: &mut Vec<ParentStep>) {
        let children: Vec<ChildId> = self.children.keys().copied().collect();
        if children.is_empty() {
            return;
        }
        let retry = RetryAfter {
            delay_ms: 0,
            reason: reason as i32,
        };
        steps.push(ParentStep::Send {
            children: children.clone(),
            body: Body::RetryAfter(retry),
        });
        for child in children {
            steps.push(ParentStep::Close { child });
            self.forget(child);
        }
    }
}

pub(super) fn send(child: ChildId, body: Body) -> ParentStep {
    let children = vec![child];
    ParentStep::Send { children, body }
}

fn confirm(child: ChildId, request_id: u64, index: Option<u64>) -> ParentStep {
    let content = Some(Content::ConfirmReply(ConfirmReply { index }));
    let forward = Forward {
        request_id,
        content,
    };
    send(child, Body::Forward(forward))
}

fn refuse(child: ChildId, reason: RetryReason, delay: Duration, steps: &mut Vec<ParentStep>) {
    let retry = RetryAfter {
        delay_ms: u32::try_from(delay.as_millis()).unwrap_or(u32::MAX),
        reason: reason as i32,
    };
    steps.push(send(child, Body::RetryAfter(retry)));
    steps.push(ParentStep::Close { child });
}
