//! The child's side of the configuration stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::distribution::{
    Applied, Attachment, CatalogState, ChildRole, Delta, Hello, Ping, Pong, Rejected, RetryAfter,
    RetryReason, SnapshotChunk, UpstreamIncarnation, UpstreamReport, Welcome, WireState,
};
use rand::rngs::SmallRng;

use super::assembly::{AssemblyProgress, ChunkError, SnapshotAssembly};
use super::backoff::ParentChoice;
use super::preference::PreferenceSearch;
use super::timing::StreamTiming;
use crate::core::{
    ConfigSnapshot, ConfigVersion, GroupId, IncarnationId, SharedName, SnapshotError, Timestamp,
    stable_hash,
};

/// Time during which a child leaves alone a parent of another group.
const WRONG_GROUP_DELAY: Duration = Duration::from_secs(30);
/// Time during which a child leaves alone a parent that shuts down.
const LEAVING_DELAY: Duration = Duration::from_secs(5);

/// Every so many pings the child asks for the age of the parent's currency proof.
const PINGS_PER_PROOF: u64 = 2;

/// One connection attempt. Events of earlier attempts are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkId(pub u64);

/// Who the child is.
#[derive(Clone, Debug)]
pub struct ChildIdentity {
    /// Name of the instance.
    pub name: SharedName,
    /// Run of the instance.
    pub incarnation: IncarnationId,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Node or replica.
    pub role: ChildRole,
}

/// What happened to the child.
#[derive(Clone, Debug)]
pub enum ChildEvent {
    /// Comes every [`super::TICK_INTERVAL`].
    Tick,
    /// The connection is open.
    Connected { link: LinkId },
    /// The connection failed or was closed by the other side.
    Disconnected { link: LinkId },
    /// A message arrived.
    Received { link: LinkId, body: Body },
    /// The upstream beside this node has something to report.
    Report(UpstreamReport),
    /// A replica's message towards the leader.
    Relay(Body),
}

/// What the child does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ChildStep {
    /// Connect to a parent.
    Connect { link: LinkId, address: SocketAddr },
    /// Connect to a preferred parent beside the present link, to find out whether it answers.
    Probe { link: LinkId, address: SocketAddr },
    /// Send to the parent.
    Send { link: LinkId, body: Body },
    /// Close the connection; no event of it matters any more.
    Close { link: LinkId },
    /// The parent welcomed the child. A replica tells its parent state of the new path.
    Attached { link: LinkId, floor: ConfigVersion },
    /// Route by this configuration from now on.
    Apply {
        snapshot: Arc<ConfigSnapshot>,
        source: AppliedSource,
    },
    /// An update was refused whole; the held configuration stays. For the log.
    Refused {
        version: ConfigVersion,
        refusal: UpdateRefusal,
    },
    /// A message for the replica's own children or operators arrived.
    Relayed(Forward),
    /// The message could not be sent because no parent is attached.
    NotSent(Body),
}

/// What a configuration was made from; a replica updates its catalog with it.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedSource {
    /// A whole state.
    State(Box<CatalogState>),
    /// A delta on the configuration held before.
    Delta(Box<Delta>),
}

/// Why an update was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateRefusal {
    /// The result failed a check.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The chunks do not make a snapshot.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The first configuration is below the floor.
    #[error("version is below the floor {floor}")]
    BelowFloor {
        /// Lowest version that may come first.
        floor: ConfigVersion,
    },
    /// A delta came before any configuration.
    #[error("delta without a configuration")]
    NoBase,
}

#[derive(Debug)]
enum LinkPhase {
    Idle,
    Connecting {
        since: Timestamp,
    },
    /// `Hello` was sent.
    Greeting {
        since: Timestamp,
    },
    /// Welcomed.
    Attached,
}

/// Decisions of one child.
#[derive(Debug)]
pub struct ChildState {
    identity: ChildIdentity,
    timing: StreamTiming,
    choice: ParentChoice,
    search: PreferenceSearch,
    phase: LinkPhase,
    /// Link to the parent or its latest attempt; events of others are late, but for a probe's.
    link: LinkId,
    /// Number of the latest link, probes included.
    last_link: u64,
    /// Position of the parent of `link`.
    parent: usize,
    /// Group of the first applied configuration, or from the settings.
    group: GroupId,
    /// Group of the parent that welcomed the child.
    offered_group: GroupId,
    /// Highest floor of any welcome; the first configuration is at or above it.
    floor: ConfigVersion,
    /// Version only grows.
    held: Option<Arc<ConfigSnapshot>>,
    assembly: Option<SnapshotAssembly>,
    last_heard: Timestamp,
    last_ping: Timestamp,
    ping_number: u64,
    /// Proof of the welcome, until the configuration has reached the floor.
    welcome_proof: Option<Timestamp>,
    proved_at: Option<Timestamp>,
    /// Upstream that this node speaks for.
    upstream: Option<UpstreamIncarnation>,
}

impl ChildState {
    /// A child that holds no configuration. `parents` are in order of preference.
    pub fn new(identity: ChildIdentity, group: GroupId, parents: Vec<SocketAddr>) -> Self {
        let order = stable_hash(identity.name.as_bytes());
        ChildState {
            identity,
            timing: StreamTiming::default(),
            choice: ParentChoice::new(parents, order),
            search: PreferenceSearch::default(),
            phase: LinkPhase::Idle,
            link: LinkId(0),
            last_link: 0,
            parent: 0,
            group,
            offered_group: group,
            floor: ConfigVersion::default(),
            held: None,
            assembly: None,
            last_heard: Timestamp::default(),
            last_ping: Timestamp::default(),
            ping_number: 0,
            welcome_proof: None,
            proved_at: None,
            upstream: None,
        }
    }

    /// Takes over other times of silence.
    pub fn set_timing(&mut self, timing: StreamTiming) {
        self.timing = timing;
        self.choice.set_backoff_last(timing.max_backoff);
    }

    /// Takes over parents of changed settings. Returns how many are new.
    pub fn add_parents(&mut self, parents: &[SocketAddr]) -> usize {
        self.choice.add(parents)
    }

    /// The applied configuration.
    pub fn held(&self) -> Option<&Arc<ConfigSnapshot>> {
        self.held.as_ref()
    }

    /// Whether a parent has welcomed the child.
    pub fn is_attached(&self) -> bool {
        matches!(self.phase, LinkPhase::Attached)
    }

    /// When the applied configuration was last proved current: everything committed before is
    /// applied.
    pub fn proved_at(&self) -> Option<Timestamp> {
        self.proved_at
    }

    /// Group that the child belongs to; zero before its first configuration.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Decides on one event.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ChildEvent,
        random: &mut SmallRng,
    ) -> Vec<ChildStep> {
        match event {
            ChildEvent::Tick => self.tick(now, random),
            ChildEvent::Connected { link } if self.is_connecting(link) => self.greet(now),
            ChildEvent::Disconnected { link } if self.is_live(link) => {
                self.detach();
                self.choice.record_failure(now, random);
                Vec::new()
            }
            ChildEvent::Received { link, body } if self.is_live(link) => {
                self.last_heard = now;
                self.receive(now, body, random)
            }
            ChildEvent::Connected { link } if self.search.is_probe(link) => {
                let body = Body::Ping(Ping::default());
                vec![ChildStep::Send { link, body }]
            }
            ChildEvent::Disconnected { link } if self.search.is_probe(link) => {
                self.search.record_failure(now, random);
                Vec::new()
            }
            ChildEvent::Received {
                link,
                body: Body::Pong(_),
            } if self.search.is_probe(link) => self.return_to_preferred(now),
            ChildEvent::Connected { .. }
            | ChildEvent::Disconnected { .. }
            | ChildEvent::Received { .. } => Vec::new(),
            ChildEvent::Report(report) => self.report(report),
            ChildEvent::Relay(body) if self.is_attached() => vec![self.send(body)],
            ChildEvent::Relay(body) => vec![ChildStep::NotSent(body)],
        }
    }

    fn is_live(&self, link: LinkId) -> bool {
        link == self.link && !matches!(self.phase, LinkPhase::Idle)
    }

    fn is_connecting(&self, link: LinkId) -> bool {
        link == self.link && matches!(self.phase, LinkPhase::Connecting { .. })
    }

    fn send(&self, body: Body) -> ChildStep {
        let link = self.link;
        ChildStep::Send { link, body }
    }

    fn detach(&mut self) {
        self.phase = LinkPhase::Idle;
        self.welcome_proof = None;
        self.assembly = None;
    }

    fn close(&mut self) -> ChildStep {
        self.detach();
        ChildStep::Close { link: self.link }
    }

    fn tick(&mut self, now: Timestamp, random: &mut SmallRng) -> Vec<ChildStep> {
        let mut steps = self.seek_preferred(now, random);
        steps.extend(self.tick_link(now, random));
        steps
    }

    /// Probes a parent that comes before the present one, when it is time.
    fn seek_preferred(&mut self, now: Timestamp, random: &mut SmallRng) -> Vec<ChildStep> {
        if let Some(link) = self.search.overdue(now) {
            self.search.record_failure(now, random);
            return vec![ChildStep::Close { link }];
        }
        // A transfer under way, or the place in the queue for one, would be lost. With a floor of
        // zero there is no configuration to wait for.
        let has_first = self.held.is_some() || self.floor == ConfigVersion(0);
        let is_settled = self.is_attached() && has_first && self.assembly.is_none();
        let Some(position) = self.search.due(now, self.parent).filter(|_| is_settled) else {
            return Vec::new();
        };
        let Some(address) = self.choice.address(now, position) else {
            self.search.record_failure(now, random);
            return Vec::new();
        };
        let link = self.next_link();
        self.search.start(now, link, position);
        vec![ChildStep::Probe { link, address }]
    }

    /// The probed parent answers: the child leaves its parent, then greets the preferred one.
    fn return_to_preferred(&mut self, now: Timestamp) -> Vec<ChildStep> {
        let Some(probe) = self.search.take_answered() else {
            return Vec::new();
        };
        let (link, position) = (probe.link, probe.position);
        if !self.is_attached() || position >= self.parent {
            return vec![ChildStep::Close { link }];
        }
        let mut steps = vec![self.close()];
        self.search.record_return(position);
        self.choice.search_after(position);
        self.link = link;
        self.parent = position;
        steps.extend(self.greet(now));
        steps
    }

    fn next_link(&mut self) -> LinkId {
        self.last_link += 1;
        LinkId(self.last_link)
    }

    fn tick_link(&mut self, now: Timestamp, random: &mut SmallRng) -> Vec<ChildStep> {
        match self.phase {
            LinkPhase::Idle => self.connect(now),
            LinkPhase::Connecting { since } | LinkPhase::Greeting { since } => {
                if now.since(since) < self.timing.attach_timeout {
                    return Vec::new();
                }
                self.choice.record_failure(now, random);
                vec![self.close()]
            }
            LinkPhase::Attached if now.since(self.last_heard) >= self.timing.parent_timeout => {
                self.choice.record_failure(now, random);
                // A silent parent would cost another connect timeout before the next one is tried.
                self.choice.search_after(self.parent);
                vec![self.close()]
            }
            LinkPhase::Attached if now.since(self.last_ping) >= self.timing.ping_interval => {
                self.last_ping = now;
                self.ping_number += 1;
                let number = self.ping_number;
                let prove = number.is_multiple_of(PINGS_PER_PROOF);
                vec![self.send(Body::Ping(Ping { number, prove }))]
            }
            LinkPhase::Attached => Vec::new(),
        }
    }

    fn connect(&mut self, now: Timestamp) -> Vec<ChildStep> {
        let Some((parent, address)) = self.choice.choose(now) else {
            return Vec::new();
        };
        self.parent = parent;
        self.link = self.next_link();
        self.phase = LinkPhase::Connecting { since: now };
        let link = self.link;
        vec![ChildStep::Connect { link, address }]
    }

    fn greet(&mut self, now: Timestamp) -> Vec<ChildStep> {
        self.phase = LinkPhase::Greeting { since: now };
        self.last_heard = now;
        self.last_ping = now;
        let held = self.held.as_deref();
        let hello = Hello {
            group_id: self.group.0,
            name: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.0,
            zone: self.identity.zone.to_string(),
            region: self.identity.region.to_string(),
            role: self.identity.role as i32,
            applied_version: held.map_or(0, |held| held.version.0),
            applied_digest: held.map_or(0, |held| held.digest),
        };
        vec![self.send(Body::Hello(hello))]
    }

    fn receive(&mut self, now: Timestamp, body: Body, random: &mut SmallRng) -> Vec<ChildStep> {
        match body {
            Body::Welcome(welcome) => self.welcome(now, welcome, random),
            Body::RetryAfter(retry) => self.retry_after(now, retry, random),
            // An update before the welcome has no proved floor, so it is not looked at.
            Body::Snapshot(chunk) if self.is_attached() => self.accept_chunk(&chunk),
            Body::Delta(delta) if self.is_attached() => self.accept_delta(delta),
            Body::Pong(pong) if self.is_attached() => {
                self.accept_pong(&pong);
                Vec::new()
            }
            Body::Forward(forward) => vec![ChildStep::Relayed(forward)],
            _ => Vec::new(),
        }
    }

    /// Takes the age of the parent's proof, counted from the ping, which is before the parent's
    /// answer. An answer to an earlier ping is of no use: the next one brings a newer proof.
    fn accept_pong(&mut self, pong: &Pong) {
        let Some(age) = pong.proof_age_ms else {
            return;
        };
        let held = self.held.as_ref().map_or(0, |held| held.version.0);
        if pong.number == self.ping_number && held >= pong.version {
            let age = age.saturating_mul(1_000);
            let proved = self.last_ping.0.checked_sub(age).map(Timestamp);
            self.proved_at = self.proved_at.max(proved);
        }
    }

    /// Counts the proof of the welcome once the configuration has reached its floor.
    fn settle_welcome(&mut self) {
        let reached = self.held.as_ref();
        if reached.is_some_and(|held| held.version >= self.floor) {
            self.proved_at = self.proved_at.max(self.welcome_proof.take());
        }
    }

    fn welcome(
        &mut self,
        now: Timestamp,
        welcome: Welcome,
        random: &mut SmallRng,
    ) -> Vec<ChildStep> {
        let LinkPhase::Greeting { since } = self.phase else {
            return Vec::new();
        };
        let offered = GroupId(welcome.group_id);
        if offered == GroupId(0) || (self.group != GroupId(0) && offered != self.group) {
            self.choice
                .record_refusal(now, self.parent, WRONG_GROUP_DELAY, random);
            return vec![self.close()];
        }
        self.offered_group = offered;
        self.floor = self.floor.max(ConfigVersion(welcome.floor));
        self.phase = LinkPhase::Attached;
        self.welcome_proof = Some(since);
        self.settle_welcome();
        self.parent = self.choice.learn(&welcome.parents, self.parent);
        self.choice.record_welcome();
        self.search.record_welcome(now, self.parent, random);
        let (link, floor) = (self.link, self.floor);
        let mut steps = vec![ChildStep::Attached { link, floor }];
        steps.extend(self.attachment());
        steps
    }

    fn retry_after(
        &mut self,
        now: Timestamp,
        retry: RetryAfter,
        random: &mut SmallRng,
    ) -> Vec<ChildStep> {
        let delay = Duration::from_millis(retry.delay_ms.into());
        let delay = match RetryReason::try_from(retry.reason) {
            Ok(RetryReason::WrongGroup) => delay.max(WRONG_GROUP_DELAY),
            Ok(RetryReason::Leaving) => delay.max(LEAVING_DELAY),
            _ => delay,
        };
        self.choice.record_refusal(now, self.parent, delay, random);
        vec![self.close()]
    }

    fn accept_chunk(&mut self, chunk: &SnapshotChunk) -> Vec<ChildStep> {
        let version = ConfigVersion(chunk.version);
        if let Some(steps) = self.ignore_old(version) {
            return steps;
        }
        match SnapshotAssembly::accept(&mut self.assembly, chunk) {
            Ok(AssemblyProgress::Partial) => Vec::new(),
            Ok(AssemblyProgress::Complete(state, digest)) => {
                match ConfigSnapshot::from_state(&state, digest) {
                    Ok(snapshot) => self.swap(snapshot, AppliedSource::State(state)),
                    Err(error) => self.refuse(version, error.into()),
                }
            }
            Err(error) => self.refuse(version, error.into()),
        }
    }

    fn accept_delta(&mut self, delta: Delta) -> Vec<ChildStep> {
        let version = ConfigVersion(delta.version);
        if let Some(steps) = self.ignore_old(version) {
            return steps;
        }
        let Some(held) = &self.held else {
            return self.refuse(version, UpdateRefusal::NoBase);
        };
        match held.apply(&delta) {
            Ok(snapshot) => self.swap(snapshot, AppliedSource::Delta(Box::new(delta))),
            Err(error) => self.refuse(version, error.into()),
        }
    }

    /// Answers a doubled or late update with the version that is held.
    fn ignore_old(&self, offered: ConfigVersion) -> Option<Vec<ChildStep>> {
        let held = self.held.as_deref()?;
        if offered > held.version {
            return None;
        }
        let version = held.version.0;
        Some(vec![self.send(Body::Applied(Applied { version }))])
    }

    fn swap(&mut self, snapshot: ConfigSnapshot, source: AppliedSource) -> Vec<ChildStep> {
        let version = snapshot.version;
        if self.held.is_none() && version < self.floor {
            let floor = self.floor;
            return self.refuse(version, UpdateRefusal::BelowFloor { floor });
        }
        self.group = self.offered_group;
        self.assembly = None;
        let snapshot = Arc::new(snapshot);
        self.held = Some(snapshot.clone());
        self.settle_welcome();
        let version = version.0;
        vec![
            ChildStep::Apply { snapshot, source },
            self.send(Body::Applied(Applied { version })),
        ]
    }

    /// The parent answers a rejection with a snapshot.
    fn refuse(&mut self, version: ConfigVersion, refusal: UpdateRefusal) -> Vec<ChildStep> {
        self.assembly = None;
        let rejected = Rejected {
            version: version.0,
            reason: refusal.to_string(),
        };
        vec![
            self.send(Body::Rejected(rejected)),
            ChildStep::Refused { version, refusal },
        ]
    }

    fn report(&mut self, report: UpstreamReport) -> Vec<ChildStep> {
        let item = &report.upstream;
        let present = item.state != WireState::Left as i32;
        let upstream = present.then(|| UpstreamIncarnation {
            name: item.name.clone(),
            incarnation: item.incarnation,
        });
        let changed = upstream != self.upstream;
        self.upstream = upstream;
        if !self.is_attached() {
            return vec![ChildStep::NotSent(Body::Report(report))];
        }
        let mut steps = vec![self.send(Body::Report(report))];
        if changed {
            steps.extend(self.attachment());
        }
        steps
    }

    /// Tells the parent which upstream this node speaks for.
    fn attachment(&self) -> Option<ChildStep> {
        if self.identity.role != ChildRole::Node {
            return None;
        }
        let attachment = Attachment {
            reporter: self.identity.name.to_string(),
            complete: true,
            attached: self.upstream.iter().cloned().collect(),
            ..Attachment::default()
        };
        Some(self.send(Body::Attachment(attachment)))
    }
}
