//! Parents and children joined by a fake network.

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
    };
    UpstreamReport { upstream }
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

/// What a parent's currency proofs answer.
#[derive(Clone, Copy)]
pub(super) enum Proof {
    /// The commit index of source 0.
    Quorum,
    /// A quorum cannot be reached.
    Unreachable,
    /// A faulty parent that believes itself current.
    Itself,
}

pub(super) struct Source {
    pub(super) catalog: Catalog,
    pub(super) parent: ParentState,
    pub(super) proof: Proof,
    /// Otherwise it takes no connection and no message.
    pub(super) is_up: bool,
    /// Messages that wait for bandwidth.
    pub(super) outbox: VecDeque<(ChildId, Body)>,
    pub(super) uplink: Vec<Body>,
}

pub(super) struct Proxy {
    pub(super) state: ChildState,
    pub(super) link: Option<(LinkId, usize)>,
    /// Connection beside the present one, without a hello.
    pub(super) probe: Option<(LinkId, usize)>,
    /// Every version that was swapped in.
    pub(super) applied: Vec<u64>,
    pub(super) refusals: Vec<UpdateRefusal>,
}

/// What the network does with a message from a parent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fate {
    Deliver,
    Lose,
    Double,
    Delay,
}

pub(super) struct Bench {
    pub(super) now: Timestamp,
    pub(super) random: SmallRng,
    pub(super) sources: Vec<Source>,
    pub(super) proxies: Vec<Proxy>,
    pub(super) fate: Box<dyn FnMut(&Body) -> Fate>,
    /// May change a message on its way.
    pub(super) tamper: Box<dyn FnMut(&mut Body)>,
    /// Bytes that each source sends per step.
    pub(super) bandwidth: usize,
    pub(super) peak_bytes: usize,
    pub(super) bytes: usize,
    /// Digest of each committed version of source 0.
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

impl Bench {
    pub(super) fn new(seed: u64, catalogs: Vec<Catalog>, children: usize) -> Bench {
        let ports: Vec<u16> = (0..catalogs.len() as u16).collect();
        let source = |catalog| Source {
            catalog,
            parent: ParentState::new("voter".into(), GROUP, 1),
            proof: Proof::Quorum,
            is_up: true,
            outbox: VecDeque::new(),
            uplink: Vec::new(),
        };
        let proxy = |number| Proxy {
            state: child_state(number, &ports),
            link: None,
            probe: None,
            applied: Vec::new(),
            refusals: Vec::new(),
        };
        Bench {
            now: Timestamp::default(),
            random: SmallRng::seed_from_u64(seed),
            sources: catalogs.into_iter().map(source).collect(),
            proxies: (0..children).map(proxy).collect(),
            fate: Box::new(|_| Fate::Deliver),
            tamper: Box::new(|_| {}),
            bandwidth: usize::MAX,
            peak_bytes: 0,
            bytes: 0,
            digests: IndexMap::new(),
            transcript: String::new(),
        }
    }

    pub(super) fn note(&mut self, actor: &str, text: String) {
        let millis = self.now.0 / 1_000;
        self.transcript += &format!("{millis:>6} ms  {actor:<7} {text}\n");
    }

    pub(super) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            let is_tick = self.now.0.is_multiple_of(100_000);
            for source in 0..self.sources.len() {
                if is_tick {
                    self.parent(source, ParentEvent::Tick);
                }
                self.flush(source);
            }
            for child in 0..self.proxies.len() {
                if is_tick {
                    self.child(child, ChildEvent::Tick);
                }
            }
        }
    }

    /// Sends what the bandwidth allows.
    pub(super) fn flush(&mut self, source: usize) {
        let waiting =
            |source: &Source| -> usize { source.outbox.iter().map(|(_, body)| size(body)).sum() };
        self.peak_bytes = self.peak_bytes.max(waiting(&self.sources[source]));
        let mut budget = self.bandwidth;
        let mut delayed = Vec::new();
        while budget > 0 {
            let Some((child, mut body)) = self.sources[source].outbox.pop_front() else {
                break;
            };
            budget = budget.saturating_sub(size(&body));
            self.bytes += size(&body);
            let fate = (self.fate)(&body);
            (self.tamper)(&mut body);
            match fate {
                Fate::Lose => {}
                Fate::Delay => delayed.push((child, body)),
                Fate::Deliver => self.deliver(source, child, body),
                Fate::Double => {
                    self.deliver(source, child, body.clone());
                    self.deliver(source, child, body);
                }
            }
            self.parent(source, ParentEvent::Writable { child });
        }
        self.sources[source].outbox.extend(delayed);
    }

    pub(super) fn deliver(&mut self, source: usize, child: ChildId, body: Body) {
        let (proxy, link) = ((child.0 >> 32) as usize, LinkId(child.0 & 0xffff_ffff));
        if self.proxies[proxy].link == Some((link, source)) {
            self.child(proxy, ChildEvent::Received { link, body });
        }
    }

    pub(super) fn parent(&mut self, number: usize, event: ParentEvent) {
        let source = &mut self.sources[number];
        let steps = source
            .parent
            .handle(self.now, event, &source.catalog, &mut self.random);
        for step in steps {
            self.note("parent", describe_parent(&step));
            let source = &mut self.sources[number];
            match step {
                ParentStep::Send { children, body } => {
                    let copies = children.into_iter().map(|child| (child, body.clone()));
                    source.outbox.extend(copies);
                }
                ParentStep::SendDelta { children, frame } => {
                    let body = decode(&frame);
                    let copies = children.into_iter().map(|child| (child, body.clone()));
                    source.outbox.extend(copies);
                }
                ParentStep::RequestProof { round } => {
                    let index = match source.proof {
                        Proof::Quorum => Some(self.sources[0].catalog.applied_index()),
                        Proof::Unreachable => None,
                        Proof::Itself => Some(source.catalog.applied_index()),
                    };
                    self.parent(number, ParentEvent::ProofResult { round, index });
                }
                ParentStep::ForwardToLeader(body) => source.uplink.push(body),
                // The fake closes when the child sees the last message.
                ParentStep::Close { .. } | ParentStep::HandleRequest { .. } => {}
            }
        }
    }

    pub(super) fn child(&mut self, number: usize, event: ChildEvent) {
        let proxy = &mut self.proxies[number];
        for step in proxy.state.handle(self.now, event, &mut self.random) {
            self.note(&format!("node-{number}"), describe_child(&step));
            let proxy = &mut self.proxies[number];
            match step {
                ChildStep::Connect { link, address } => {
                    let source: usize = address.port().into();
                    let is_up = self.sources[source].is_up;
                    proxy.link = is_up.then_some((link, source));
                    self.child(number, opened(link, is_up));
                }
                ChildStep::Probe { link, address } => {
                    let source: usize = address.port().into();
                    let is_up = self.sources[source].is_up;
                    proxy.probe = is_up.then_some((link, source));
                    self.child(number, opened(link, is_up));
                }
                ChildStep::Send { link, body } => {
                    if let Some((probe, _)) = proxy.probe
                        && probe == link
                    {
                        if let Body::Ping(Ping { number: ping, .. }) = body {
                            let body = Body::Pong(Pong {
                                number: ping,
                                ..Pong::default()
                            });
                            self.child(number, ChildEvent::Received { link, body });
                            continue;
                        }
                        assert!(proxy.link.is_none(), "two attachments");
                        proxy.link = proxy.probe.take();
                    }
                    let Some((_, source)) = proxy.link else {
                        continue;
                    };
                    if !self.sources[source].is_up {
                        continue;
                    }
                    let child = ChildId((number as u64) << 32 | link.0);
                    self.parent(source, ParentEvent::Received { child, body });
                }
                ChildStep::Close { link } => match proxy.probe {
                    Some((probe, _)) if probe == link => proxy.probe = None,
                    _ => self.cut(number),
                },
                ChildStep::Apply { snapshot, .. } => {
                    let version = snapshot.version.0;
                    assert!(
                        proxy.applied.last() < Some(&version),
                        "went back to {version}"
                    );
                    proxy.applied.push(version);
                    if let Some(&digest) = self.digests.get(&version) {
                        assert_eq!(snapshot.digest, digest, "state of version {version}");
                    }
                }
                ChildStep::Refused { refusal, .. } => proxy.refusals.push(refusal),
                ChildStep::Attached { .. } | ChildStep::Relayed(_) | ChildStep::NotSent(_) => {}
            }
        }
    }

    /// Takes a source down with all its connections, and brings it back without children.
    pub(super) fn set_up(&mut self, source: usize, is_up: bool) {
        self.sources[source].is_up = is_up;
        self.sources[source].outbox.clear();
        self.sources[source].parent = ParentState::new("voter".into(), GROUP, 1);
        for number in 0..self.proxies.len() {
            if let Some((link, _)) = self.proxies[number].link.take_if(|link| link.1 == source) {
                self.child(number, ChildEvent::Disconnected { link });
            }
        }
    }

    /// Breaks the connection of a child for its parent.
    pub(super) fn cut(&mut self, number: usize) {
        if let Some((link, source)) = self.proxies[number].link.take() {
            let child = ChildId((number as u64) << 32 | link.0);
            self.parent(source, ParentEvent::Disconnected { child });
        }
    }

    /// The process restarts: everything in memory is lost.
    pub(super) fn restart(&mut self, number: usize) {
        self.cut(number);
        let ports: Vec<u16> = (0..self.sources.len() as u16).collect();
        self.proxies[number].state = child_state(number, &ports);
        self.proxies[number].applied.clear();
    }

    pub(super) fn commit(&mut self, source: usize, command: &CatalogCommand) {
        let catalog = &mut self.sources[source].catalog;
        catalog.apply(catalog.applied_index() + 1, command);
        let (version, digest) = (catalog.version(), catalog.digest());
        self.digests.entry(version.0).or_insert(digest);
        self.note(
            "log",
            format!("version {version}, digest {:04x}", digest >> 48),
        );
        self.parent(source, ParentEvent::CatalogAdvanced);
    }

    pub(super) fn held(&self, child: usize) -> u64 {
        let held = self.proxies[child].state.held();
        held.map_or(0, |held| held.version.0)
    }

    pub(super) fn is_converged(&self) -> bool {
        let version = self.sources[0].catalog.version().0;
        (0..self.proxies.len()).all(|child| self.held(child) == version)
    }
}

fn opened(link: LinkId, is_up: bool) -> ChildEvent {
    match is_up {
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
        Body::Snapshot(chunk) => format!("snapshot {}", chunk.version),
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
