//! The parent side of the configuration stream.

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::agreement::{ConfirmReply, Forward};
use kumquatlock_wire::distribution::{
    Attachment, ChildRole, Hello, ParentLocation, Pong, Progress, RecordedEnds, RetryAfter,
    RetryReason, UpstreamIncarnation,
};
use kumquatlock_wire::{Body, EncodedFrame};
use rand::rngs::SmallRng;

use super::admission::{AdmissionLimits, HelloAdmission};
use super::progress::{UplinkReporter, add_progress, replace_upstreams};
use super::proof::{ProofBatch, ProofUrgency, ProofWaiter};
use super::record::ChildRecord;
use super::run_ends::{EndWaiters, ReportedEnd};
use super::serve::{DeltaCache, ServedSnapshot, SnapshotQueue};
use super::welcome::refuse_child;
use super::{CHILD_TIMEOUT, MAX_UPSTREAMS_PER_NODE, UPDATE_TIMEOUT};
use crate::catalog::{Catalog, SnapshotDetail, ended_run, ended_start};
use crate::core::{ConfigVersion, GroupId, SharedName, Timestamp};

/// Maximum number of currency proofs that one child may wait for at the same time.
const MAX_PENDING_PROOFS: usize = 8;

/// Identifies one connection of a child. Never reused by the same parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChildId(pub u64);

/// An input of [`ParentState`].
#[derive(Clone, Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "an event is moved once and never stored"
)]
pub enum ParentEvent {
    /// Sent every [`super::TICK_INTERVAL`].
    Tick,
    /// A message from the child arrived.
    Received { child: ChildId, body: Body },
    /// All messages to the child have left the output buffer.
    Writable { child: ChildId },
    /// The connection failed, or the child closed it.
    Disconnected { child: ChildId },
    /// Result of [`ParentStep::RequestProof`]: the proved log index, or `None` if the proof failed.
    ProofResult { round: u64, index: Option<u64> },
    /// The catalog has applied an entry or an update.
    CatalogAdvanced,
    /// The parent of this instance has confirmed that these ends of runs are recorded.
    EndsRecorded(RecordedEnds),
    /// The connection towards the leader has changed.
    UplinkChanged,
    /// Another component needs a currency proof that is younger than this.
    ProofNeeded { max_age: std::time::Duration },
    /// The leader has been silent for too long (true), or is heard again (false).
    LeaderSilent(bool),
    /// The process is about to exit.
    Shutdown,
}

/// An action that [`ParentState`] asks its caller to carry out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ParentStep {
    /// Send the same message to each child.
    Send { children: Vec<ChildId>, body: Body },
    /// Send an encoded delta to each child.
    SendDelta {
        children: Vec<ChildId>,
        frame: EncodedFrame,
    },
    /// Close the connection after all queued messages have been sent.
    Close { child: ChildId },
    /// Obtain a log index that is at or above everything committed before this step.
    RequestProof { round: u64 },
    /// Forward a message towards the leader.
    ForwardToLeader(Body),
    /// Let another component handle a request of a replica, for example a submitted manifest.
    HandleRequest { child: ChildId, request: Forward },
}

/// State machine of one parent. It decides which children are admitted and which updates they
/// receive, and performs no I/O.
#[derive(Debug)]
pub struct ParentState {
    name: SharedName,
    pub(super) group: GroupId,
    /// At most [`super::MAX_CHILDREN`].
    pub(super) children: IndexMap<ChildId, ChildRecord>,
    /// Current connection of each child, by name.
    child_by_name: IndexMap<SharedName, ChildId>,
    pub(super) admission: HelloAdmission,
    pub(super) proofs: ProofBatch,
    reporter: UplinkReporter,
    pub(super) snapshot_queue: SnapshotQueue,
    /// Latest encoded snapshot for each detail. Reused while the catalog can supply a delta from
    /// it.
    pub(super) snapshots: IndexMap<SnapshotDetail, ServedSnapshot>,
    pub(super) deltas: DeltaCache,
    /// Children without a configuration that wait for a leader. Each is also in `children` and has
    /// not been welcomed.
    pub(super) held: IndexSet<ChildId>,
    end_waiters: EndWaiters,
    /// Addresses and locations of the parents that children are told to use. Empty if the addresses
    /// are in the children's settings.
    pub(super) offered_parents: Vec<(String, ParentLocation)>,
    /// Whether the leader is silent. Children are then refused, because this parent gets no
    /// updates.
    pub(super) is_leader_silent: bool,
    pub(super) is_shutting_down: bool,
}

impl ParentState {
    /// Creates a parent without children. `started_ms` is the wall clock time, in milliseconds, at
    /// which the process started.
    pub fn new(name: SharedName, group: GroupId, started_ms: u64) -> Self {
        ParentState::with_limits(name, group, started_ms, AdmissionLimits::default())
    }

    /// Creates a parent with other admission limits than the default ones.
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
            child_by_name: IndexMap::new(),
            admission: HelloAdmission::new(limits),
            proofs: ProofBatch::new(),
            reporter: UplinkReporter::new(name, started_ms.saturating_mul(1_000)),
            snapshot_queue: SnapshotQueue::default(),
            snapshots: IndexMap::new(),
            deltas: DeltaCache::default(),
            held: IndexSet::new(),
            end_waiters: EndWaiters::default(),
            offered_parents: Vec::new(),
            is_leader_silent: false,
            is_shutting_down: false,
        }
    }

    /// Sets the group after the instance has formed or joined one.
    pub fn set_group(&mut self, group: GroupId) {
        self.group = group;
    }

    /// Sets the addresses and locations of the parents that children are told to use. Attached
    /// children learn of a change with their next `Welcome`.
    pub fn set_offered_parents(&mut self, parents: Vec<(String, ParentLocation)>) {
        self.offered_parents = parents;
    }

    /// Returns the number of admitted children.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    /// Returns the time since the catalog was last proved current.
    pub fn proof_age(&self, now: Timestamp) -> Option<std::time::Duration> {
        self.proofs.age(now)
    }

    /// Returns the cost of the snapshot transfers in progress.
    pub fn transfer_cost(&self) -> usize {
        let transfers = self.children.values();
        let transfers = transfers.filter(|record| record.is_in_transfer());
        transfers.map(ChildRecord::transfer_cost).sum()
    }

    /// Returns the progress of the whole subtree towards the catalog's version.
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

    /// Handles one event and returns the actions to carry out.
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
            ParentEvent::Writable { child } => self.handle_writable(now, child, &mut steps),
            ParentEvent::Disconnected { child } => self.remove(now, child, catalog, &mut steps),
            ParentEvent::ProofResult { round, index } => {
                let outcome = self.proofs.record_result(round, index);
                self.handle_proof_outcome(now, outcome, catalog, random, &mut steps);
            }
            ParentEvent::CatalogAdvanced => {
                steps.extend(self.end_waiters.confirm_recorded(catalog));
                self.serve_all(now, catalog, &mut steps);
            }
            ParentEvent::EndsRecorded(recorded) => {
                steps.extend(self.end_waiters.confirm_relayed(&recorded));
            }
            ParentEvent::UplinkChanged => self.reporter.restart(),
            ParentEvent::ProofNeeded { max_age } => {
                let round = self.proofs.renew_older(now, max_age);
                steps.extend(round.map(|round| ParentStep::RequestProof { round }));
            }
            ParentEvent::LeaderSilent(is_silent) => {
                self.is_leader_silent = is_silent;
                match is_silent {
                    true => self.redirect_children(RetryReason::NotCurrent, &mut steps),
                    false => self.prove_held(now, &mut steps),
                }
            }
            ParentEvent::Shutdown => {
                self.is_shutting_down = true;
                self.redirect_children(RetryReason::Leaving, &mut steps);
            }
        }
        let outcome = self.proofs.poll(now, catalog.applied_index());
        self.handle_proof_outcome(now, outcome, catalog, random, &mut steps);
        if let Some(round) = self.proofs.start_next(now) {
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
            return self.handle_hello(now, child, hello, catalog, random, steps);
        }
        let Some(record) = self.children.get_mut(&child) else {
            // The connection was closed, or the message came before `Hello`.
            return;
        };
        match body {
            Body::Ping(ping) => {
                let age = self.proofs.age(now);
                let pong = Pong {
                    number: ping.number,
                    version: catalog.version().0,
                    proof_age_ms: age.map(|age| age.as_millis() as u64 + 1),
                };
                steps.push(send(child, Body::Pong(pong)));
                let round = ping.prove.then(|| self.proofs.renew(now)).flatten();
                steps.extend(round.map(|round| ParentStep::RequestProof { round }));
            }
            Body::Applied(applied) => {
                let version = ConfigVersion(applied.version);
                record.applied = record.applied.max(version);
                self.finish_update(now, child, version, catalog, steps);
            }
            Body::ChunkReceived(received) => {
                self.handle_chunk_received(now, child, received, steps);
            }
            Body::Rejected(rejected) => {
                self.handle_rejection(now, child, ConfigVersion(rejected.version), catalog, steps);
            }
            Body::Progress(progress) => record.subtree_progress = progress,
            Body::Report(report) => {
                if let Some(run) = ended_run(&report) {
                    let end = ReportedEnd::Run(run);
                    steps.extend(self.end_waiters.report(now, child, end, catalog));
                }
                steps.push(ParentStep::ForwardToLeader(Body::Report(report)));
            }
            Body::Attachment(attachment) => self.handle_attachment(child, attachment, steps),
            Body::Forward(request) => self.handle_request(now, child, request, catalog, steps),
            _ => {}
        }
    }

    fn handle_hello(
        &mut self,
        now: Timestamp,
        child: ChildId,
        hello: &Hello,
        catalog: &Catalog,
        random: &mut SmallRng,
        steps: &mut Vec<ParentStep>,
    ) {
        if self.children.contains_key(&child) {
            // The `Hello` is a duplicate.
            return;
        }
        if let Err((reason, delay)) = self.admit(now, hello, random) {
            return refuse_child(child, reason, delay, steps);
        }
        if let Some(&old_child) = self.child_by_name.get(hello.name.as_str()) {
            let is_newer_known = self.children[&old_child].incarnation > hello.incarnation;
            let closed = if is_newer_known { child } else { old_child };
            steps.push(ParentStep::Close { child: closed });
            if is_newer_known {
                return;
            }
            self.remove_record(old_child);
        }
        let mut record = ChildRecord::new(now, hello);
        // The catalog knows the digest of its current version only. A child at any other version
        // checks the digest itself when it applies a delta. A diverged child is repaired with the
        // next version, because a child never applies the same version twice.
        let is_at_current_version = record.holds_config() && record.applied == catalog.version();
        if is_at_current_version
            && hello.applied_digest != 0
            && hello.applied_digest != catalog.digest()
        {
            log::error!(child = hello.name.as_str(), version = hello.applied_version; "child_diverged");
            record.diverged = Some(record.applied);
            record.needs_snapshot = true;
        }
        self.child_by_name.insert(record.name.clone(), child);
        self.children.insert(child, record);
        match self.is_leader_silent {
            true => _ = self.held.insert(child),
            false => self.prove(now, child, steps),
        }
    }

    /// Handles a request of a replica, or a report of a node. Requests for proofs are handled here,
    /// reports are forwarded to the leader; all others are passed on with [`ParentStep::HandleRequest`].
    fn handle_request(
        &mut self,
        now: Timestamp,
        child: ChildId,
        request: Forward,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        match &request.content {
            Some(Content::ConfirmRequest(_)) => {}
            Some(Content::RunEnd(end)) => {
                let end = ReportedEnd::Start(ended_start(end));
                steps.extend(self.end_waiters.report(now, child, end, catalog));
                return steps.push(ParentStep::ForwardToLeader(Body::Forward(request)));
            }
            Some(Content::Crash(_) | Content::Evidence(_)) => {
                return steps.push(ParentStep::ForwardToLeader(Body::Forward(request)));
            }
            _ => return steps.push(ParentStep::HandleRequest { child, request }),
        }
        let request_id = request.request_id;
        if self.proofs.pending_count(child) >= MAX_PENDING_PROOFS {
            return steps.push(confirm_reply(child, request_id, None));
        }
        let record = self.children.get(&child);
        let urgency = match record.map(|record| record.role) {
            Some(ChildRole::Node) => ProofUrgency::Paced,
            _ => ProofUrgency::Immediate,
        };
        let waiter = ProofWaiter::Confirm {
            child,
            request_id,
            urgency,
        };
        if let Some(round) = self.proofs.request(now, waiter) {
            steps.push(ParentStep::RequestProof { round });
        }
    }

    /// Handles an attachment message. The upstreams of a node are recorded; the message of a
    /// replica is forwarded unchanged towards the leader.
    fn handle_attachment(
        &mut self,
        child: ChildId,
        message: Attachment,
        steps: &mut Vec<ParentStep>,
    ) {
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
        self.expire_held(now, steps);
        self.end_waiters.expire(now);
        if !self.is_leader_silent {
            self.prove_held(now, steps);
        }
        let is_lost = |record: &ChildRecord| {
            let outstanding = record.outstanding.as_ref();
            now.since(record.last_heard) >= CHILD_TIMEOUT
                || outstanding.is_some_and(|update| now.since(update.sent_at()) >= UPDATE_TIMEOUT)
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

    /// Removes a child and gives its snapshot transfer, if any, to a waiting child.
    fn remove(
        &mut self,
        now: Timestamp,
        child: ChildId,
        catalog: &Catalog,
        steps: &mut Vec<ParentStep>,
    ) {
        self.remove_record(child);
        self.fill_transfers(now, catalog, steps);
    }

    pub(super) fn remove_record(&mut self, child: ChildId) {
        self.proofs.remove(child);
        self.held.swap_remove(&child);
        self.end_waiters.remove(child);
        self.snapshot_queue.remove(child);
        let Some(mut record) = self.children.swap_remove(&child) else {
            return;
        };
        if self.child_by_name.get(&record.name) == Some(&child) {
            self.child_by_name.swap_remove(&record.name);
        }
        replace_upstreams(&mut record.upstreams, IndexSet::new(), &mut self.reporter);
    }

    /// Tells children to attach to other parents, and closes their connections. Children that wait
    /// for a leader stay, unless this parent is leaving.
    fn redirect_children(&mut self, reason: RetryReason, steps: &mut Vec<ParentStep>) {
        let is_leaving = reason == RetryReason::Leaving;
        let is_redirected = |child: &ChildId| is_leaving || !self.held.contains(child);
        let children = self.children.keys().copied();
        let children: Vec<ChildId> = children.filter(is_redirected).collect();
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
            self.remove_record(child);
        }
    }
}

pub(super) fn send(child: ChildId, body: Body) -> ParentStep {
    let children = vec![child];
    ParentStep::Send { children, body }
}

pub(super) fn confirm_reply(child: ChildId, request_id: u64, index: Option<u64>) -> ParentStep {
    let content = Some(Content::ConfirmReply(ConfirmReply { index }));
    let forward = Forward {
        request_id,
        content,
    };
    send(child, Body::Forward(forward))
}
