//! Test harness: parents and children connected by a simulated network.

use std::collections::VecDeque;

use indexmap::IndexMap;
use kumquatlock_wire::distribution::{
    CatalogCommand, ChildRole, Ping, Pong, RetryReason, UpstreamItem, UpstreamReport, WireState,
    catalog_command::Kind,
};
use kumquatlock_wire::{Body, EncodedFrame};
use prost::Message;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::super::*;
use crate::catalog::Catalog;
use crate::core::{GroupId, IncarnationId, Timestamp};

pub(super) const GROUP: GroupId = GroupId(7);
pub(super) const STEP: Duration = Duration::from_millis(10);

pub(super) fn report(name: &str, state: WireState) -> UpstreamReport {
    let upstream = UpstreamItem {
        name: name.into(),
        service: "a".into(),
        zone: "osrednja-1".into(),
        region: "osrednja".into(),
        node_address: "127.0.0.1:7000".into(),
        incarnation: 1,
        slots: 10,
        state: state as i32,
        first_in_region: false,
        version: String::new(),
    };
    UpstreamReport {
        upstream,
        ..UpstreamReport::default()
    }
}

pub(super) fn serving(name: &str) -> CatalogCommand {
    let kind = Some(Kind::Report(report(name, WireState::Serving)));
    CatalogCommand { kind }
}

pub(super) fn manifest(version: u64) -> CatalogCommand {
    let text = format!(
        "{{\"version\":{version},\"services\":[{{\"name\":\"a\",\"upstreams\":[\"a-*\"]}}],\"routes\":[{{\"name\":\"r\",\
         \"prefix\":\"/{version}\",\"class\":\"lookup\",\"service\":\"a\"}}]}}"
    );
    let kind = Some(Kind::Manifest(text.into()));
    CatalogCommand { kind }
}

pub(super) fn catalog_of(upstreams: usize) -> Catalog {
    let mut catalog = Catalog::new();
    catalog.apply(1, &manifest(1));
    for number in 0..upstreams {
        catalog.apply(number as u64 + 2, &serving(&format!("a-{number}")));
    }
    catalog
}

/// How a parent's currency proofs end.
#[derive(Clone, Copy)]
pub(super) enum ProofMode {
    /// The proof succeeds with the applied index of parent 0, which stands for the commit index.
    Quorum,
    /// The proof fails, because no quorum can be reached.
    Unreachable,
    /// The proof succeeds with the parent's own applied index. Simulates a faulty parent that
    /// wrongly considers itself current.
    OwnIndex,
}

pub(super) struct TestParent {
    pub(super) catalog: Catalog,
    pub(super) state: ParentState,
    pub(super) proof: ProofMode,
    /// Whether the parent accepts connections and messages.
    pub(super) is_reachable: bool,
    /// Messages that wait until the bandwidth limit permits sending them.
    pub(super) outbox: VecDeque<(ChildId, Body)>,
    pub(super) uplink: Vec<Body>,
}

pub(super) struct TestChild {
    pub(super) state: ChildState,
    pub(super) link: Option<(LinkId, usize)>,
    /// Second connection, on which the child probes a preferred parent.
    pub(super) probe: Option<(LinkId, usize)>,
    /// Every version that the child has applied, in order.
    pub(super) applied: Vec<u64>,
    pub(super) refusals: Vec<UpdateRefusal>,
}

/// How the network treats a message from a parent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Delivery {
    Deliver,
    Drop,
    Duplicate,
    Delay,
}

pub(super) struct StreamHarness {
    pub(super) now: Timestamp,
    pub(super) random: SmallRng,
    /// The parents.
    pub(super) sources: Vec<TestParent>,
    /// The children.
    pub(super) proxies: Vec<TestChild>,
    pub(super) delivery: Box<dyn FnMut(&Body) -> Delivery>,
    /// May modify a message in transit.
    pub(super) alter_message: Box<dyn FnMut(&mut Body)>,
    /// Number of bytes that each parent may send per [`STEP`].
    pub(super) bandwidth: usize,
    /// Number of bytes that the link of each child carries per [`STEP`].
    pub(super) child_bandwidth: usize,
    /// Bytes that each parent has sent and that still occupy its link.
    sent_bytes: Vec<usize>,
    /// Bytes that were sent to each child and that still occupy the child's link.
    child_sent_bytes: IndexMap<ChildId, usize>,
    pub(super) peak_bytes: usize,
    pub(super) bytes: usize,
    /// Digest of each committed version, as first committed at any parent.
    pub(super) digests: IndexMap<u64, u64>,
    pub(super) transcript: String,
}

pub(super) fn child_state(number: usize, parents: &[u16]) -> ChildState {
    let identity = ChildIdentity {
        name: format!("node-{number}").into(),
        incarnation: IncarnationId(1),
        zone: "osrednja-1".into(),
        region: "osrednja".into(),
        role: ChildRole::Node,
    };
    let parents = parents.iter().map(|&port| ([127, 0, 0, 1], port).into());
    ChildState::new(identity, GroupId(0), parents.collect())
}

impl StreamHarness {
    pub(super) fn new(seed: u64, catalogs: Vec<Catalog>, children: usize) -> StreamHarness {
        let ports: Vec<u16> = (0..catalogs.len() as u16).collect();
        let parent = |catalog| TestParent {
            catalog,
            state: ParentState::new("voter".into(), GROUP, 1),
            proof: ProofMode::Quorum,
            is_reachable: true,
            outbox: VecDeque::new(),
            uplink: Vec::new(),
        };
        let child = |number| TestChild {
            state: child_state(number, &ports),
            link: None,
            probe: None,
            applied: Vec::new(),
            refusals: Vec::new(),
        };
        StreamHarness {
            now: Timestamp::default(),
            random: SmallRng::seed_from_u64(seed),
            sources: catalogs.into_iter().map(parent).collect(),
            proxies: (0..children).map(child).collect(),
            delivery: Box::new(|_| Delivery::Deliver),
            alter_message: Box::new(|_| {}),
            bandwidth: usize::MAX,
            child_bandwidth: usize::MAX,
            sent_bytes: vec![0; ports.len()],
            child_sent_bytes: IndexMap::new(),
            peak_bytes: 0,
            bytes: 0,
            digests: IndexMap::new(),
            transcript: String::new(),
        }
    }

    pub(super) fn record(&mut self, actor: &str, text: String) {
        let millis = self.now.0 / 1_000;
        self.transcript += &format!("{millis:>6} ms  {actor:<7} {text}\n");
    }

    pub(super) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            let is_tick = self.now.0.is_multiple_of(100_000);
            for parent in 0..self.sources.len() {
                if is_tick {
                    self.handle_parent_event(parent, ParentEvent::Tick);
                }
                self.flush(parent);
            }
            for child in 0..self.proxies.len() {
                if is_tick {
                    self.handle_child_event(child, ChildEvent::Tick);
                }
            }
        }
    }

    /// Delivers queued messages up to the bandwidth limit of one step.
    pub(super) fn flush(&mut self, parent: usize) {
        let waiting = |parent: &TestParent| -> usize {
            parent.outbox.iter().map(|(_, body)| size(body)).sum()
        };
        self.peak_bytes = self.peak_bytes.max(waiting(&self.sources[parent]));
        let mut delayed = Vec::new();
        let mut blocked = Vec::new();
        // A message may exceed what is left of a step; the excess counts in the next one.
        self.sent_bytes[parent] = self.sent_bytes[parent].saturating_sub(self.bandwidth);
        for sent in self.child_sent_bytes.values_mut() {
            *sent = sent.saturating_sub(self.child_bandwidth);
        }
        while self.sent_bytes[parent] < self.bandwidth {
            let Some((child, mut body)) = self.sources[parent].outbox.pop_front() else {
                break;
            };
            let child_sent = self.child_sent_bytes.entry(child).or_default();
            if *child_sent >= self.child_bandwidth {
                blocked.push((child, body));
                continue;
            }
            *child_sent += size(&body);
            self.sent_bytes[parent] += size(&body);
            self.bytes += size(&body);
            let delivery = (self.delivery)(&body);
            (self.alter_message)(&mut body);
            match delivery {
                Delivery::Drop => {}
                Delivery::Delay => delayed.push((child, body)),
                Delivery::Deliver => self.deliver(parent, child, body),
                Delivery::Duplicate => {
                    self.deliver(parent, child, body.clone());
                    self.deliver(parent, child, body);
                }
            }
            self.handle_parent_event(parent, ParentEvent::Writable { child });
        }
        let rest = std::mem::take(&mut self.sources[parent].outbox);
        self.sources[parent].outbox = blocked.into_iter().chain(rest).collect();
        self.sources[parent].outbox.extend(delayed);
    }

    pub(super) fn deliver(&mut self, parent: usize, child: ChildId, body: Body) {
        let (number, link) = ((child.0 >> 32) as usize, LinkId(child.0 & 0xffff_ffff));
        if self.proxies[number].link == Some((link, parent)) {
            self.handle_child_event(number, ChildEvent::Received { link, body });
        }
    }

    pub(super) fn handle_parent_event(&mut self, number: usize, event: ParentEvent) {
        let parent = &mut self.sources[number];
        let steps = parent
            .state
            .handle(self.now, event, &parent.catalog, &mut self.random);
        for step in steps {
            self.record("parent", describe_parent(&step));
            let parent = &mut self.sources[number];
            match step {
                ParentStep::Send { children, body } => {
                    let copies = children.into_iter().map(|child| (child, body.clone()));
                    parent.outbox.extend(copies);
                }
                ParentStep::SendDelta { children, frame } => {
                    let body = decode(&frame);
                    let copies = children.into_iter().map(|child| (child, body.clone()));
                    parent.outbox.extend(copies);
                }
                ParentStep::RequestProof { round } => {
                    let index = match parent.proof {
                        ProofMode::Quorum => Some(self.sources[0].catalog.applied_index()),
                        ProofMode::Unreachable => None,
                        ProofMode::OwnIndex => Some(parent.catalog.applied_index()),
                    };
                    self.handle_parent_event(number, ParentEvent::ProofResult { round, index });
                }
                ParentStep::ForwardToLeader(body) => parent.uplink.push(body),
                // The simulated connection closes when the child closes it after the last message.
                ParentStep::Close { .. } | ParentStep::HandleRequest { .. } => {}
            }
        }
    }

    pub(super) fn handle_child_event(&mut self, number: usize, event: ChildEvent) {
        let child = &mut self.proxies[number];
        for step in child.state.handle(self.now, event, &mut self.random) {
            self.record(&format!("node-{number}"), describe_child(&step));
            let child = &mut self.proxies[number];
            match step {
                ChildStep::Connect { link, address } => {
                    let parent: usize = address.port().into();
                    let is_reachable = self.sources[parent].is_reachable;
                    child.link = is_reachable.then_some((link, parent));
                    self.handle_child_event(number, connection_event(link, is_reachable));
                }
                ChildStep::Probe { link, address } => {
                    let parent: usize = address.port().into();
                    let is_reachable = self.sources[parent].is_reachable;
                    child.probe = is_reachable.then_some((link, parent));
                    self.handle_child_event(number, connection_event(link, is_reachable));
                }
                ChildStep::Send { link, body } => {
                    if let Some((probe, _)) = child.probe
                        && probe == link
                    {
                        if let Body::Ping(Ping { number: ping, .. }) = body {
                            let body = Body::Pong(Pong {
                                number: ping,
                                ..Pong::default()
                            });
                            self.handle_child_event(number, ChildEvent::Received { link, body });
                            continue;
                        }
                        assert!(child.link.is_none(), "attached to two parents");
                        child.link = child.probe.take();
                    }
                    let Some((_, parent)) = child.link else {
                        continue;
                    };
                    if !self.sources[parent].is_reachable {
                        continue;
                    }
                    let child = ChildId((number as u64) << 32 | link.0);
                    self.handle_parent_event(parent, ParentEvent::Received { child, body });
                }
                ChildStep::Close { link } => match child.probe {
                    Some((probe, _)) if probe == link => child.probe = None,
                    _ => self.disconnect(number),
                },
                ChildStep::Apply { snapshot, .. } => {
                    let version = snapshot.version.0;
                    assert!(
                        child.applied.last() < Some(&version),
                        "reverted to version {version}"
                    );
                    child.applied.push(version);
                    if let Some(&digest) = self.digests.get(&version) {
                        assert_eq!(snapshot.digest, digest, "content of version {version}");
                    }
                }
                ChildStep::Refused { refusal, .. } => child.refusals.push(refusal),
                ChildStep::Attached { .. } | ChildStep::Relayed(_) | ChildStep::NotSent(_) => {}
            }
        }
    }

    /// Makes a parent reachable or unreachable. In both cases the parent loses its connections and
    /// restarts without children.
    pub(super) fn set_reachable(&mut self, parent: usize, is_reachable: bool) {
        self.sources[parent].is_reachable = is_reachable;
        self.sources[parent].outbox.clear();
        self.sources[parent].state = ParentState::new("voter".into(), GROUP, 1);
        for number in 0..self.proxies.len() {
            if let Some((link, _)) = self.proxies[number].link.take_if(|link| link.1 == parent) {
                self.handle_child_event(number, ChildEvent::Disconnected { link });
            }
        }
    }

    /// Disconnects a child; only its parent is told.
    pub(super) fn disconnect(&mut self, number: usize) {
        if let Some((link, parent)) = self.proxies[number].link.take() {
            let child = ChildId((number as u64) << 32 | link.0);
            self.handle_parent_event(parent, ParentEvent::Disconnected { child });
        }
    }

    /// Restarts a child process, which loses everything in memory.
    pub(super) fn restart(&mut self, number: usize) {
        self.disconnect(number);
        let ports: Vec<u16> = (0..self.sources.len() as u16).collect();
        self.proxies[number].state = child_state(number, &ports);
        self.proxies[number].applied.clear();
    }

    pub(super) fn commit(&mut self, parent: usize, command: &CatalogCommand) {
        let catalog = &mut self.sources[parent].catalog;
        catalog.apply(catalog.applied_index() + 1, command);
        let (version, digest) = (catalog.version(), catalog.digest());
        self.digests.entry(version.0).or_insert(digest);
        self.record(
            "log",
            format!("version {version}, digest {:04x}", digest >> 48),
        );
        self.handle_parent_event(parent, ParentEvent::CatalogAdvanced);
    }

    pub(super) fn applied_version(&self, child: usize) -> u64 {
        let applied = self.proxies[child].state.applied_config();
        applied.map_or(0, |applied| applied.version.0)
    }

    pub(super) fn is_converged(&self) -> bool {
        let version = self.sources[0].catalog.version().0;
        (0..self.proxies.len()).all(|child| self.applied_version(child) == version)
    }
}

fn connection_event(link: LinkId, is_reachable: bool) -> ChildEvent {
    match is_reachable {
        true => ChildEvent::Connected { link },
        false => ChildEvent::Disconnected { link },
    }
}

pub(super) fn size(body: &Body) -> usize {
    kumquatlock_wire::Envelope::from(body.clone()).encoded_len()
}

pub(super) fn decode(frame: &EncodedFrame) -> Body {
    frame.decode().unwrap()
}

pub(super) fn describe(body: &Body) -> String {
    match body {
        Body::Hello(hello) => format!("hello, applied {}", hello.applied_version),
        Body::Welcome(welcome) => format!("welcome, floor {}", welcome.floor),
        Body::RetryAfter(retry) => {
            let reason = RetryReason::try_from(retry.reason).unwrap();
            format!("retry after, {reason:?}")
        }
        Body::Snapshot(chunk) if chunk.offset > 0 => format!("next chunk of {}", chunk.version),
        Body::Snapshot(chunk) if chunk.base > 0 => {
            format!("delta {} to {} in chunks", chunk.base, chunk.version)
        }
        Body::Snapshot(chunk) => format!("snapshot {}", chunk.version),
        Body::ChunkReceived(received) => format!("received {}", received.received_bytes),
        Body::Delta(delta) => {
            let changes = delta.changes.len();
            format!(
                "delta {} to {}, {changes} changes",
                delta.base, delta.version
            )
        }
        Body::Applied(applied) => format!("applied {}", applied.version),
        Body::Rejected(rejected) => format!("rejected {}: {}", rejected.version, rejected.reason),
        Body::Progress(sum) => format!("progress, {} nodes at {}", sum.nodes, sum.lowest_applied),
        Body::Attachment(list) => format!("attachment, {} attached", list.attached.len()),
        Body::Ping(ping) => format!("ping {}", ping.number),
        Body::Pong(pong) => format!("pong {}", pong.number),
        Body::Report(report) => format!("report of {}", report.upstream.name),
        other => format!("{:?}", other.kind()),
    }
}

pub(super) fn describe_parent(step: &ParentStep) -> String {
    match step {
        ParentStep::Send { children, body } => {
            format!("send to {} children: {}", children.len(), describe(body))
        }
        ParentStep::SendDelta { children, frame } => {
            let body = decode(frame);
            format!("send to {} children: {}", children.len(), describe(&body))
        }
        ParentStep::Close { .. } => "close".into(),
        ParentStep::RequestProof { round } => format!("ask proof {round}"),
        ParentStep::ForwardToLeader(body) => format!("forward up: {}", describe(body)),
        ParentStep::HandleRequest { .. } => "hand over a request".into(),
    }
}

pub(super) fn describe_child(step: &ChildStep) -> String {
    match step {
        ChildStep::Connect { address, .. } => format!("connect to parent {}", address.port()),
        ChildStep::Send { body, .. } => format!("send: {}", describe(body)),
        ChildStep::Close { .. } => "close".into(),
        ChildStep::Probe { address, .. } => format!("probe parent {}", address.port()),
        ChildStep::Attached { floor, .. } => format!("attached, floor {floor}"),
        ChildStep::Apply { snapshot, .. } => {
            format!(
                "swap to {}, digest {:04x}",
                snapshot.version,
                snapshot.digest >> 48
            )
        }
        ChildStep::Refused { version, refusal } => format!("refuse {version}: {refusal}"),
        ChildStep::Relayed(_) => "relay".into(),
        ChildStep::NotSent(body) => format!("not sent: {}", describe(body)),
    }
}
