//! The child side of the configuration stream.

mod currency;
mod update;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::distribution::{
    Attachment, CatalogState, ChildRole, Delta, Hello, Ping, Pong, RetryAfter, RetryReason,
    UpstreamIncarnation, UpstreamReport, Welcome, WireState,
};
use rand::rngs::SmallRng;

use super::assembly::{ChunkError, UpdateAssembly};
use super::backoff::ParentSelector;
use super::preference::FailbackSearch;
use super::timing::StreamTiming;
use crate::core::{
    ConfigSnapshot, ConfigVersion, GroupId, IncarnationId, SharedName, SnapshotError, Timestamp,
};
use currency::CurrencyProofs;

/// Minimum delay before a child retries a parent that belongs to another group.
const WRONG_GROUP_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Minimum delay before a child retries a parent that is shutting down.
const LEAVING_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Interval, in pings, at which the child also asks for the age of the parent's currency proof.
const PINGS_PER_PROOF: u64 = 2;

/// Identifies one connection attempt. Events of earlier attempts are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkId(pub u64);

/// Identity and location of a child.
#[derive(Clone, Debug)]
pub struct ChildIdentity {
    /// Name of the instance.
    pub name: SharedName,
    /// Incarnation (one process run) of the instance.
    pub incarnation: IncarnationId,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Whether the child is a node or a replica.
    pub role: ChildRole,
}

/// An input of [`ChildState`].
#[derive(Clone, Debug)]
pub enum ChildEvent {
    /// Sent every [`super::TICK_INTERVAL`].
    Tick,
    /// The connection is open.
    Connected { link: LinkId },
    /// The connection failed, or the parent closed it.
    Disconnected { link: LinkId },
    /// A message arrived on the connection.
    Received { link: LinkId, body: Body },
    /// The node reports the state of its local upstream.
    Report(UpstreamReport),
    /// A message that a replica passes on to its parent, on the way to the leader.
    Relay(Body),
}

/// An action that [`ChildState`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ChildStep {
    /// Open a connection to a parent.
    Connect { link: LinkId, address: SocketAddr },
    /// Open a second connection, to a preferred parent, to test whether that parent answers.
    Probe { link: LinkId, address: SocketAddr },
    /// Send a message to the parent.
    Send { link: LinkId, body: Body },
    /// Close the connection. Its later events are ignored.
    Close { link: LinkId },
    /// The parent welcomed the child. A replica then sends [`super::ParentEvent::UplinkChanged`] to
    /// its [`super::ParentState`].
    Attached { link: LinkId, floor: ConfigVersion },
    /// Replace the current configuration with this one.
    Apply {
        snapshot: Arc<ConfigSnapshot>,
        source: AppliedSource,
    },
    /// Log that an update was rejected as a whole. The current configuration stays in use.
    Refused {
        version: ConfigVersion,
        refusal: UpdateRefusal,
    },
    /// Handle a message for the replica's own children or operators.
    Relayed(Forward),
    /// The message was not sent, because the child is not attached to a parent.
    NotSent(Body),
}

/// The update from which a configuration was built. A replica applies it to its catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedSource {
    /// A complete state.
    State(Box<CatalogState>),
    /// A delta to the previous configuration.
    Delta(Box<Delta>),
}

/// Why a child rejected an update.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateRefusal {
    /// The resulting configuration failed validation.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The chunks could not be assembled into a snapshot.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The first configuration is older than the floor.
    #[error("first configuration is older than the minimum version {floor}")]
    BelowFloor {
        /// Minimum version of the first configuration that the child applies.
        floor: ConfigVersion,
    },
    /// A delta arrived before the first configuration.
    #[error("received a delta without a configuration to apply it to")]
    NoBase,
}

#[derive(Debug)]
enum LinkPhase {
    Idle,
    Connecting {
        since: Timestamp,
    },
    /// `Hello` was sent, and no answer has arrived yet.
    AwaitingWelcome {
        since: Timestamp,
    },
    /// `Welcome` was received.
    Attached,
}

/// State machine of one child. It decides which parent the child attaches to and which
/// configuration it applies, and performs no I/O.
#[derive(Debug)]
pub struct ChildState {
    identity: ChildIdentity,
    timing: StreamTiming,
    selector: ParentSelector,
    failback: FailbackSearch,
    phase: LinkPhase,
    /// The connection to the parent, or the latest attempt. Events of other links are ignored,
    /// except those of a probe.
    link: LinkId,
    /// Number of the most recently opened link, including probes.
    last_link: u64,
    /// Position, in the list of parents, of the parent at the other end of `link`.
    parent: usize,
    /// Group of the first applied configuration. Before that, the group from the settings.
    group: GroupId,
    /// Group of the parent that welcomed the child.
    offered_group: GroupId,
    /// Highest floor of any `Welcome`. The child rejects a first configuration below it.
    floor: ConfigVersion,
    /// The applied configuration. Its version never decreases.
    applied: Option<Arc<ConfigSnapshot>>,
    assembly: Option<UpdateAssembly>,
    last_heard: Timestamp,
    last_ping: Timestamp,
    ping_number: u64,
    /// When the `Hello` was sent that led to the latest `Welcome`. It becomes `proved_at` once the
    /// applied configuration has reached the floor.
    welcome_proof: Option<Timestamp>,
    proved_at: Option<Timestamp>,
    currency: CurrencyProofs,
    /// The local upstream that this node last reported, unless it has left.
    upstream: Option<UpstreamIncarnation>,
}

impl ChildState {
    /// Creates a child without a configuration. `parents` are in order of preference.
    pub fn new(identity: ChildIdentity, group: GroupId, parents: Vec<SocketAddr>) -> Self {
        let selector = ParentSelector::new(parents, &identity);
        ChildState {
            identity,
            timing: StreamTiming::default(),
            selector,
            failback: FailbackSearch::default(),
            phase: LinkPhase::Idle,
            link: LinkId(0),
            last_link: 0,
            parent: 0,
            group,
            offered_group: group,
            floor: ConfigVersion::default(),
            applied: None,
            assembly: None,
            last_heard: Timestamp::default(),
            last_ping: Timestamp::default(),
            ping_number: 0,
            welcome_proof: None,
            proved_at: None,
            currency: CurrencyProofs::default(),
            upstream: None,
        }
    }

    /// Replaces the timeouts and intervals.
    pub fn set_timing(&mut self, timing: StreamTiming) {
        self.timing = timing;
        self.selector.set_max_backoff(timing.max_backoff);
    }

    /// Tries the parents of the settings in a pseudorandom order instead of the order of preference.
    /// Called before the first event.
    pub fn shuffle_parents(&mut self) {
        self.selector.shuffle();
    }

    /// Adds the parents of reloaded settings. Returns the number of new parents.
    pub fn add_parents(&mut self, parents: &[SocketAddr]) -> usize {
        self.selector.add_parents(parents)
    }

    /// Returns the applied configuration.
    pub fn applied_config(&self) -> Option<&Arc<ConfigSnapshot>> {
        self.applied.as_ref()
    }

    /// Returns whether a parent has welcomed the child.
    pub fn is_attached(&self) -> bool {
        matches!(self.phase, LinkPhase::Attached)
    }

    /// Returns the latest time as of which the applied configuration is proved current: it contains
    /// everything that was committed before that time.
    pub fn proved_at(&self) -> Option<Timestamp> {
        self.proved_at
    }

    /// Sets the interval at which the child asks its parent for a proof that the applied
    /// configuration is current. `None` if it needs no proofs.
    pub fn set_proof_interval(&mut self, interval: Option<Duration>) {
        self.currency.set_interval(interval);
    }

    /// Returns the latest time as of which the applied configuration is proved current, like
    /// [`ChildState::proved_at`], but by the clock of this instance alone: the child had asked for the
    /// proof at that time, and the proof began later.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.currency.confirmed_at()
    }

    /// Returns the group that the child belongs to; zero before its first configuration.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ChildEvent,
        random: &mut SmallRng,
    ) -> Vec<ChildStep> {
        match event {
            ChildEvent::Tick => self.tick(now, random),
            ChildEvent::Connected { link } if self.is_connecting(link) => self.send_hello(now),
            ChildEvent::Disconnected { link } if self.is_current_link(link) => {
                self.detach();
                self.selector.record_failure(now, random);
                Vec::new()
            }
            ChildEvent::Received { link, body } if self.is_current_link(link) => {
                self.last_heard = now;
                self.receive(now, body, random)
            }
            ChildEvent::Connected { link } if self.failback.is_probe(link) => {
                let body = Body::Ping(Ping::default());
                vec![ChildStep::Send { link, body }]
            }
            ChildEvent::Disconnected { link } if self.failback.is_probe(link) => {
                self.failback.record_failure(now, random);
                Vec::new()
            }
            ChildEvent::Received {
                link,
                body: Body::Pong(_),
            } if self.failback.is_probe(link) => self.fail_back(now),
            ChildEvent::Connected { .. }
            | ChildEvent::Disconnected { .. }
            | ChildEvent::Received { .. } => Vec::new(),
            ChildEvent::Report(report) => self.handle_report(report),
            ChildEvent::Relay(body) if self.is_attached() => vec![self.send(body)],
            ChildEvent::Relay(body) => vec![ChildStep::NotSent(body)],
        }
    }

    fn is_current_link(&self, link: LinkId) -> bool {
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
        self.currency.on_detached();
        self.assembly = None;
    }

    fn close(&mut self) -> ChildStep {
        self.detach();
        ChildStep::Close { link: self.link }
    }

    fn tick(&mut self, now: Timestamp, random: &mut SmallRng) -> Vec<ChildStep> {
        let mut steps = self.probe_preferred(now, random);
        steps.extend(self.tick_link(now, random));
        steps.extend(self.request_proof(now));
        steps
    }

    /// Probes a parent that comes before the current one in the list, if a probe is due.
    fn probe_preferred(&mut self, now: Timestamp, random: &mut SmallRng) -> Vec<ChildStep> {
        if let Some(link) = self.failback.timed_out_probe(now) {
            self.failback.record_failure(now, random);
            return vec![ChildStep::Close { link }];
        }
        // Leaving the parent now would lose a snapshot transfer in progress or the child's position
        // in the queue for one. With a floor of zero there is no configuration to wait for.
        let has_first_config = self.applied.is_some() || self.floor == ConfigVersion(0);
        let may_probe = self.is_attached() && has_first_config && self.assembly.is_none();
        let Some(position) = self
            .failback
            .due_position(now, self.parent)
            .filter(|_| may_probe)
        else {
            return Vec::new();
        };
        let Some(address) = self.selector.address(now, position) else {
            self.failback.record_failure(now, random);
            return Vec::new();
        };
        let link = self.next_link();
        self.failback.start(now, link, position);
        vec![ChildStep::Probe { link, address }]
    }

    /// Handles the answer to a probe: disconnects from the current parent, then sends `Hello` to
    /// the preferred one.
    fn fail_back(&mut self, now: Timestamp) -> Vec<ChildStep> {
        let Some(probe) = self.failback.take_probe() else {
            return Vec::new();
        };
        let (link, position) = (probe.link, probe.position);
        if !self.is_attached() || position >= self.parent {
            return vec![ChildStep::Close { link }];
        }
        let mut steps = vec![self.close()];
        self.failback.record_failback(position);
        self.selector.start_after(position);
        self.link = link;
        self.parent = position;
        steps.extend(self.send_hello(now));
        steps
    }

    fn next_link(&mut self) -> LinkId {
        self.last_link += 1;
        LinkId(self.last_link)
    }

    fn tick_link(&mut self, now: Timestamp, random: &mut SmallRng) -> Vec<ChildStep> {
        match self.phase {
            LinkPhase::Idle => self.connect(now),
            LinkPhase::Connecting { since } | LinkPhase::AwaitingWelcome { since } => {
                if now.since(since) < self.timing.attach_timeout {
                    return Vec::new();
                }
                self.selector.record_failure(now, random);
                vec![self.close()]
            }
            LinkPhase::Attached if now.since(self.last_heard) >= self.timing.parent_timeout => {
                self.selector.record_failure(now, random);
                // Without this, the silent parent could be tried again and cost a connect timeout
                // before the next parent is tried.
                self.selector.start_after(self.parent);
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
        let Some((parent, address)) = self.selector.choose(now) else {
            return Vec::new();
        };
        self.parent = parent;
        self.link = self.next_link();
        self.phase = LinkPhase::Connecting { since: now };
        let link = self.link;
        vec![ChildStep::Connect { link, address }]
    }

    fn send_hello(&mut self, now: Timestamp) -> Vec<ChildStep> {
        self.phase = LinkPhase::AwaitingWelcome { since: now };
        self.last_heard = now;
        self.last_ping = now;
        let applied = self.applied.as_deref();
        let hello = Hello {
            group_id: self.group.0,
            name: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.0,
            zone: self.identity.zone.to_string(),
            region: self.identity.region.to_string(),
            role: self.identity.role as i32,
            applied_version: applied.map_or(0, |applied| applied.version.0),
            applied_digest: applied.map_or(0, |applied| applied.digest),
            // Control instances have wide links, on which pacing would only delay updates.
            accepts_paced_updates: self.identity.role == ChildRole::Node,
        };
        vec![self.send(Body::Hello(hello))]
    }

    fn receive(&mut self, now: Timestamp, body: Body, random: &mut SmallRng) -> Vec<ChildStep> {
        match body {
            Body::Welcome(welcome) => self.handle_welcome(now, welcome, random),
            Body::RetryAfter(retry) => self.handle_retry_after(now, retry, random),
            // Updates before the `Welcome` are ignored, because the floor is not known yet.
            Body::Snapshot(chunk) if self.is_attached() => self.accept_chunk(&chunk),
            Body::Delta(delta) if self.is_attached() => self.accept_delta(delta),
            Body::Pong(pong) if self.is_attached() => {
                self.accept_pong(&pong);
                Vec::new()
            }
            Body::Forward(forward) => self.handle_forward(forward),
            _ => Vec::new(),
        }
    }

    /// Updates `proved_at` with the age of the parent's proof. The age is subtracted from the time
    /// of the ping, which is earlier than that of the parent's answer. Answers to earlier pings are
    /// ignored, because the answer to the latest ping carries a newer proof.
    fn accept_pong(&mut self, pong: &Pong) {
        let Some(age) = pong.proof_age_ms else {
            return;
        };
        let applied = self.applied.as_ref().map_or(0, |applied| applied.version.0);
        if pong.number == self.ping_number && applied >= pong.version {
            let age = age.saturating_mul(1_000);
            let proved = self.last_ping.0.checked_sub(age).map(Timestamp);
            self.proved_at = self.proved_at.max(proved);
        }
    }

    /// Updates `proved_at` with the proof of the `Welcome` once the applied configuration has
    /// reached the floor.
    fn apply_welcome_proof(&mut self) {
        let reached = self.applied.as_ref();
        if reached.is_some_and(|applied| applied.version >= self.floor) {
            self.proved_at = self.proved_at.max(self.welcome_proof.take());
        }
    }

    fn handle_welcome(
        &mut self,
        now: Timestamp,
        welcome: Welcome,
        random: &mut SmallRng,
    ) -> Vec<ChildStep> {
        let LinkPhase::AwaitingWelcome { since } = self.phase else {
            return Vec::new();
        };
        let offered = GroupId(welcome.group_id);
        if offered == GroupId(0) || (self.group != GroupId(0) && offered != self.group) {
            self.selector
                .record_refusal(now, self.parent, WRONG_GROUP_RETRY_DELAY, random);
            return vec![self.close()];
        }
        self.offered_group = offered;
        self.floor = self.floor.max(ConfigVersion(welcome.floor));
        self.phase = LinkPhase::Attached;
        self.welcome_proof = Some(since);
        let floor = ConfigVersion(welcome.floor);
        self.currency.add(since, floor, self.applied_version());
        self.apply_welcome_proof();
        self.parent = self.selector.update_parents(&welcome, self.parent);
        self.selector.record_welcome();
        self.failback.record_welcome(now, self.parent, random);
        let (link, floor) = (self.link, self.floor);
        let mut steps = vec![ChildStep::Attached { link, floor }];
        steps.extend(self.attachment_step());
        steps
    }

    fn handle_retry_after(
        &mut self,
        now: Timestamp,
        retry: RetryAfter,
        random: &mut SmallRng,
    ) -> Vec<ChildStep> {
        let delay = Duration::from_millis(retry.delay_ms.into());
        let delay = match RetryReason::try_from(retry.reason) {
            Ok(RetryReason::WrongGroup) => delay.max(WRONG_GROUP_RETRY_DELAY),
            Ok(RetryReason::Leaving) => delay.max(LEAVING_RETRY_DELAY),
            _ => delay,
        };
        self.selector
            .record_refusal(now, self.parent, delay, random);
        vec![self.close()]
    }

    fn handle_report(&mut self, report: UpstreamReport) -> Vec<ChildStep> {
        let item = &report.upstream;
        let is_present = item.state != WireState::Left as i32;
        let upstream = is_present.then(|| UpstreamIncarnation {
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
            steps.extend(self.attachment_step());
        }
        steps
    }

    /// Returns the message that names the node's upstream to the parent. Replicas send none.
    fn attachment_step(&self) -> Option<ChildStep> {
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
