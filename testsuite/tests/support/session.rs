//! Voters and nodes joined by an in-memory queue.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock::agreement::{
    AgreementAction, AgreementEngine, AgreementEvent, AgreementRole, AgreementSettings,
    ProposalTicket, ReadIndexTicket, TICK_INTERVAL_MS,
};
use kumquatlock::catalog::{ApplyOutcome, Catalog, ManifestDecision};
use kumquatlock::core::{GroupId, IncarnationId, SharedName, Timestamp};
use kumquatlock::distribution::{
    ChildEvent, ChildId, ChildIdentity, ChildState, ChildStep, LinkId, ParentEvent, ParentState,
    ParentStep,
};
use kumquatlock::journal::{RecoveredState, StoredMetadata};
use kumquatlock_wire::agreement::{EntryKind, LogEntry, PeerMessage};
use kumquatlock_wire::distribution::{
    CatalogCommand, ChildRole, Ping, Pong, RetryReason, catalog_command::Kind,
};
use kumquatlock_wire::{Body, EncodedFrame, Envelope};
use prost::Message;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time of every message on its way.
const LATENCY: Duration = Duration::from_millis(1);
/// Interval between ticks of the configuration stream, in milliseconds.
const STREAM_TICK_MS: u64 = 100;

/// What is on its way.
enum Delivery {
    Peer(usize, PeerMessage),
    /// A submission that a follower passes on.
    Proposal(usize, u64, CatalogCommand),
    /// The decision on it, back at the follower.
    Decision(usize, String),
    /// A follower's request for a currency proof.
    Confirm {
        to: usize,
        from: usize,
        round: u64,
    },
    Proved(usize, u64, Option<u64>),
    ToParent(usize, ParentEvent),
    ToChild(usize, ChildEvent),
}

struct Voter {
    name: SharedName,
    agreement: AgreementEngine,
    catalog: Catalog,
    parent: ParentState,
    /// Decision of the latest applied manifest.
    decision: String,
    /// Exchanges nothing with anybody.
    is_lost: bool,
    /// Exchanges nothing with other voters.
    is_isolated: bool,
}

struct Node {
    name: SharedName,
    state: ChildState,
    link: Option<(LinkId, usize)>,
    /// Connection beside the present one, without a hello.
    probe: Option<(LinkId, usize)>,
}

/// All processes, the messages between them and what they decided.
pub(crate) struct Session {
    now: Timestamp,
    random: SmallRng,
    voters: Vec<Voter>,
    nodes: Vec<Node>,
    queue: VecDeque<(Timestamp, Option<usize>, Delivery)>,
    /// Position of the voter that each ticket answers, with the round of a proof.
    tickets: Vec<(usize, u64)>,
    pub(crate) transcript: String,
}

impl Session {
    pub(crate) fn new(seed: u64) -> Self {
        let names: Vec<SharedName> = (1..=3).map(|n| format!("voter-{n}").into()).collect();
        let voter = |(number, name): (u64, &SharedName)| {
            let settings = AgreementSettings::new(name.clone(), names.clone());
            let metadata = StoredMetadata {
                disk_id: number + 1,
                ..StoredMetadata::default()
            };
            let recovered = RecoveredState {
                metadata,
                ..RecoveredState::default()
            };
            let generator = SmallRng::seed_from_u64(seed + number);
            Voter {
                name: name.clone(),
                agreement: AgreementEngine::new(
                    settings,
                    recovered,
                    generator,
                    Timestamp::default(),
                ),
                catalog: Catalog::new(),
                parent: ParentState::new(name.clone(), GroupId(0), 1),
                decision: String::new(),
                is_lost: false,
                is_isolated: false,
            }
        };
        Session {
            now: Timestamp::default(),
            random: SmallRng::seed_from_u64(seed),
            voters: (0..).zip(&names).map(voter).collect(),
            nodes: Vec::new(),
            queue: VecDeque::new(),
            tickets: Vec::new(),
            transcript: String::new(),
        }
    }

    fn note(&mut self, actor: &str, text: &str) {
        let millis = self.now.0 / 1_000;
        self.transcript += &format!("{millis:>6} ms  {actor:<8} {text}\n");
    }

    /// Notes what happens from outside.
    pub(crate) fn event(&mut self, text: &str) {
        self.note("--", text);
    }

    pub(crate) fn leader(&self) -> usize {
        let is_leader = |voter: &Voter| {
            !voter.is_lost && voter.agreement.status().role == AgreementRole::Leader
        };
        self.voters.iter().position(is_leader).expect("no leader")
    }

    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = self.now + Duration::from_millis(1);
            let millis = self.now.0 / 1_000;
            while self.queue.front().is_some_and(|(due, ..)| *due <= self.now) {
                if let Some((_, from, delivery)) = self.queue.pop_front() {
                    self.deliver(from, delivery);
                }
            }
            for voter in 0..self.voters.len() {
                if self.voters[voter].is_lost {
                    continue;
                }
                if millis.is_multiple_of(TICK_INTERVAL_MS) {
                    self.agree(voter, AgreementEvent::Tick);
                }
                if millis.is_multiple_of(STREAM_TICK_MS) {
                    self.serve(voter, ParentEvent::Tick);
                }
            }
            for node in 0..self.nodes.len() {
                if millis.is_multiple_of(STREAM_TICK_MS) {
                    self.follow(node, ChildEvent::Tick);
                }
            }
        }
    }

    pub(crate) fn start_node(&mut self, name: &str, parents: &[usize]) {
        self.event(&format!("{name} starts"));
        let identity = ChildIdentity {
            name: name.into(),
            incarnation: IncarnationId(1),
            zone: "osrednja-1".into(),
            region: "osrednja".into(),
            role: ChildRole::Node,
        };
        let address = |&voter: &usize| SocketAddr::from(([127, 0, 0, 1], voter as u16));
        let parents = parents.iter().map(address).collect();
        self.nodes.push(Node {
            name: name.into(),
            state: ChildState::new(identity, GroupId(0), parents),
            link: None,
            probe: None,
        });
    }

    pub(crate) fn submit(&mut self, voter: usize, version: u64, prefix: &str) {
        let name = self.voters[voter].name.clone();
        self.event(&format!(
            "manifest {version} ({prefix}) is submitted at {name}"
        ));
        let command = manifest(version, prefix);
        match self.leader_of(voter) {
            Some(leader) => {
                self.send(
                    Some(voter),
                    Delivery::Proposal(leader, voter as u64, command),
                );
            }
            None => self.note(&name, "answers: no leader"),
        }
    }

    /// The leader is lost when it has committed the manifest and before its answer arrives.
    pub(crate) fn submit_and_lose_leader(&mut self, voter: usize, version: u64, prefix: &str) {
        let leader = self.leader();
        self.submit(voter, version, prefix);
        while self.voters[leader].catalog.manifest_version() < version {
            self.run(1);
        }
        self.voters[leader].is_lost = true;
        let name = self.voters[leader].name.clone();
        self.event(&format!("{name} is lost, its answer with it"));
    }

    pub(crate) fn bring_back(&mut self, voter: usize) {
        self.voters[voter].is_lost = false;
        let name = self.voters[voter].name.clone();
        self.event(&format!("{name} is back"));
    }

    pub(crate) fn isolate(&mut self, voter: usize) {
        self.voters[voter].is_isolated = true;
        let name = self.voters[voter].name.clone();
        self.event(&format!("{name} is cut off from the other voters"));
    }

    pub(crate) fn join(&mut self, voter: usize) {
        self.voters[voter].is_isolated = false;
        let name = self.voters[voter].name.clone();
        self.event(&format!("{name} reaches the other voters again"));
    }

    /// Every voter and node holds the version that this manifest led to.
    pub(crate) fn assert_converged(&self, manifest: u64) {
        let version = self.voters[0].catalog.version();
        for voter in &self.voters {
            let held = (voter.catalog.manifest_version(), voter.catalog.version());
            assert_eq!(held, (manifest, version), "{}", voter.name);
        }
        for node in &self.nodes {
            let held = node.state.held().map(|held| held.version);
            assert_eq!(held, Some(version), "{}", node.name);
        }
    }

    fn leader_of(&self, voter: usize) -> Option<usize> {
        let leader = self.voters[voter].agreement.status().leader?;
        self.voters.iter().position(|voter| voter.name == leader)
    }

    /// `from` is the sending voter, if it is one.
    fn send(&mut self, from: Option<usize>, delivery: Delivery) {
        self.queue.push_back((self.now + LATENCY, from, delivery));
    }

    fn is_cut(&self, from: Option<usize>, to: usize) -> bool {
        let is_isolated = |voter: usize| self.voters[voter].is_isolated;
        let between = from.is_some_and(|from| from != to && (is_isolated(from) || is_isolated(to)));
        between || self.voters[to].is_lost
    }

    fn deliver(&mut self, from: Option<usize>, delivery: Delivery) {
        if from.is_some_and(|from| self.voters[from].is_lost) {
            return;
        }
        match delivery {
            Delivery::ToChild(node, event) => self.follow(node, event),
            Delivery::Peer(to, _)
            | Delivery::Proposal(to, ..)
            | Delivery::Decision(to, _)
            | Delivery::Confirm { to, .. }
            | Delivery::Proved(to, ..)
            | Delivery::ToParent(to, _)
                if self.is_cut(from, to) => {}
            Delivery::Peer(to, message) => self.agree(to, AgreementEvent::Received(message)),
            Delivery::Proposal(to, voter, command) => {
                let ticket = ProposalTicket(voter);
                let payload = command.encode_to_vec().into();
                self.agree(to, AgreementEvent::Propose { ticket, payload });
            }
            Delivery::Decision(to, text) => {
                let name = self.voters[to].name.clone();
                self.note(&name, &format!("answers the operator: {text}"));
            }
            Delivery::Confirm { to, from, round } => {
                self.tickets.push((from, round));
                let ticket = ReadIndexTicket(self.tickets.len() as u64 - 1);
                self.agree(to, AgreementEvent::RequestReadIndex(ticket));
            }
            Delivery::Proved(to, round, index) => {
                self.serve(to, ParentEvent::ProofResult { round, index });
            }
            Delivery::ToParent(to, event) => self.serve(to, event),
        }
    }

    fn agree(&mut self, voter: usize, event: AgreementEvent) {
        let steps = self.voters[voter].agreement.handle(self.now, event);
        let version = self.voters[voter].catalog.applied_index();
        for step in steps {
            self.carry_out_agreement(voter, step);
        }
        if self.voters[voter].catalog.applied_index() != version {
            self.serve(voter, ParentEvent::CatalogAdvanced);
        }
    }

    fn carry_out_agreement(&mut self, voter: usize, step: AgreementAction) {
        match step {
            AgreementAction::Send(released) => {
                let (to, message) = released.into_parts();
                let to = self.voters.iter().position(|voter| voter.name == to);
                if let Some(to) = to {
                    self.send(Some(voter), Delivery::Peer(to, message));
                }
            }
            // The disk is fast and never fails here.
            AgreementAction::Persist(request) => {
                self.agree(voter, AgreementEvent::Persisted(request.ticket));
            }
            AgreementAction::Apply(entry) => self.apply(voter, &entry),
            AgreementAction::AnswerProposal { ticket, result } => {
                let text = match result {
                    Ok(_) => self.voters[voter].decision.clone(),
                    Err(error) => error.to_string(),
                };
                self.send(Some(voter), Delivery::Decision(ticket.0 as usize, text));
            }
            AgreementAction::AnswerReadIndex { ticket, result } => {
                let (to, round) = self.tickets[ticket.0 as usize];
                self.send(Some(voter), Delivery::Proved(to, round, result.ok()));
            }
            AgreementAction::RoleChanged { role, term, leader } => {
                let group = self.voters[voter].agreement.status().group_id;
                self.voters[voter].parent.set_group(group);
                let name = self.voters[voter].name.clone();
                let leader = leader.as_deref().unwrap_or("none").to_owned();
                self.note(&name, &format!("is {role:?}, term {term}, leader {leader}"));
            }
            // The session is too short for a compaction.
            AgreementAction::InstallSnapshot(_) | AgreementAction::TakeSnapshot { .. } => {
                unreachable!("no compaction")
            }
        }
    }

    fn apply(&mut self, number: usize, entry: &LogEntry) {
        let voter = &mut self.voters[number];
        if entry.kind != EntryKind::Command as i32 {
            voter.catalog.skip_entry(entry.index);
            return;
        }
        let command = CatalogCommand::decode(entry.payload.clone()).expect("a command");
        let ApplyOutcome::Manifest(decision) = voter.catalog.apply(entry.index, &command) else {
            return;
        };
        let text = match decision {
            ManifestDecision::Accepted { config_version, .. } => {
                format!("accepted as version {config_version}")
            }
            ManifestDecision::Conflict { .. } => "conflict".to_owned(),
            other => format!("{other:?}"),
        };
        voter.decision = text.clone();
        let name = voter.name.clone();
        self.note(&name, &format!("applies entry {}: {text}", entry.index));
    }

    fn serve(&mut self, number: usize, event: ParentEvent) {
        let voter = &mut self.voters[number];
        let steps = voter
            .parent
            .handle(self.now, event, &voter.catalog, &mut self.random);
        for step in steps {
            self.carry_out_parent(number, step);
        }
    }

    fn carry_out_parent(&mut self, number: usize, step: ParentStep) {
        match step {
            ParentStep::Send { children, body } => self.send_down(number, &children, &body),
            ParentStep::SendDelta { children, frame } => {
                self.send_down(number, &children, &decode(&frame));
            }
            ParentStep::Close { child } => {
                let (node, link) = split(child);
                let event = ChildEvent::Disconnected { link };
                self.send(Some(number), Delivery::ToChild(node, event));
            }
            ParentStep::RequestProof { round } => match self.leader_of(number) {
                Some(to) => {
                    let from = number;
                    self.send(Some(number), Delivery::Confirm { to, from, round });
                }
                None => self.send(Some(number), Delivery::Proved(number, round, None)),
            },
            ParentStep::ForwardToLeader(_) | ParentStep::HandleRequest { .. } => {}
        }
    }

    fn send_down(&mut self, number: usize, children: &[ChildId], body: &Body) {
        let name = self.voters[number].name.clone();
        if let Some(text) = describe(body) {
            let nodes = children.iter().map(|child| split(*child).0);
            let nodes: Vec<&str> = nodes.map(|node| &*self.nodes[node].name).collect();
            let text = format!("to {}: {text}", nodes.join(", "));
            self.note(&name, &text);
        }
        for &child in children {
            let (node, link) = split(child);
            let body = body.clone();
            let event = ChildEvent::Received { link, body };
            self.send(Some(number), Delivery::ToChild(node, event));
            let event = ParentEvent::Writable { child };
            self.send(Some(number), Delivery::ToParent(number, event));
        }
    }

    fn follow(&mut self, number: usize, event: ChildEvent) {
        let steps = self.nodes[number]
            .state
            .handle(self.now, event, &mut self.random);
        for step in steps {
            self.carry_out_child(number, step);
        }
    }

    fn open(&mut self, number: usize, link: LinkId, voter: usize, verb: &str) {
        let name = self.nodes[number].name.clone();
        let text = format!("{verb} {}", self.voters[voter].name);
        self.note(&name, &text);
        if !self.voters[voter].is_lost {
            let event = ChildEvent::Connected { link };
            self.send(Some(voter), Delivery::ToChild(number, event));
        }
    }

    fn send_up(&mut self, number: usize, link: LinkId, body: Body) {
        if let Some((_, voter)) = self.nodes[number].probe.filter(|(probe, _)| *probe == link) {
            if let Body::Ping(Ping { number: ping, .. }) = body {
                let body = Body::Pong(Pong {
                    number: ping,
                    ..Pong::default()
                });
                let event = ChildEvent::Received { link, body };
                return self.send(Some(voter), Delivery::ToChild(number, event));
            }
            self.nodes[number].link = self.nodes[number].probe.take();
        }
        let held = self.nodes[number].link.filter(|(held, _)| *held == link);
        if let Some((_, voter)) = held {
            let child = ChildId((number as u64) << 32 | link.0);
            let event = ParentEvent::Received { child, body };
            self.send(None, Delivery::ToParent(voter, event));
        }
    }

    fn carry_out_child(&mut self, number: usize, step: ChildStep) {
        let name = self.nodes[number].name.clone();
        match step {
            ChildStep::Connect { link, address } => {
                let voter = usize::from(address.port());
                self.nodes[number].link = Some((link, voter));
                self.open(number, link, voter, "connects to");
            }
            ChildStep::Probe { link, address } => {
                let voter = usize::from(address.port());
                self.nodes[number].probe = Some((link, voter));
                self.open(number, link, voter, "probes");
            }
            ChildStep::Send { link, body } => self.send_up(number, link, body),
            ChildStep::Close { link } => {
                let held = self.nodes[number].link.filter(|(held, _)| *held == link);
                if let Some((_, voter)) = held {
                    self.note(
                        &name,
                        &format!("leaves {}", self.voters[voter].name.clone()),
                    );
                    self.nodes[number].link = None;
                    let child = ChildId((number as u64) << 32 | link.0);
                    let event = ParentEvent::Disconnected { child };
                    self.send(None, Delivery::ToParent(voter, event));
                }
            }
            ChildStep::Attached { floor, .. } => {
                self.note(&name, &format!("is welcomed, floor {floor}"));
            }
            ChildStep::Apply { snapshot, .. } => {
                let text = format!("routes by version {}", snapshot.version);
                self.note(&name, &text);
            }
            ChildStep::Refused { version, refusal } => {
                self.note(&name, &format!("refuses version {version}: {refusal}"));
            }
            ChildStep::Relayed(_) | ChildStep::NotSent(_) => {}
        }
    }
}

fn split(child: ChildId) -> (usize, LinkId) {
    ((child.0 >> 32) as usize, LinkId(child.0 & 0xffff_ffff))
}

fn decode(frame: &EncodedFrame) -> Body {
    let payload = frame.bytes().slice(4..);
    let envelope = Envelope::decode(payload).expect("an envelope");
    envelope.body.expect("a body")
}

/// What a parent decided to send; probes are left out.
fn describe(body: &Body) -> Option<String> {
    match body {
        Body::Welcome(welcome) => Some(format!("welcome, floor {}", welcome.floor)),
        Body::RetryAfter(retry) => {
            let reason = RetryReason::try_from(retry.reason).ok()?;
            Some(format!("retry after, {reason:?}"))
        }
        Body::Snapshot(chunk) => Some(format!("snapshot {}", chunk.version)),
        Body::Delta(delta) => Some(format!("delta {} to {}", delta.base, delta.version)),
        _ => None,
    }
}

fn manifest(version: u64, prefix: &str) -> CatalogCommand {
    let text = format!(
        "{{\"version\":{version},\"services\":[{{\"name\":\"booking\",\"upstreams\":[\"booking-*\"]}}],\
         \"routes\":[{{\"name\":\"book\",\"prefix\":\"{prefix}\",\"class\":\"at-most-once\",\
         \"service\":\"booking\"}}]}}"
    );
    let kind = Some(Kind::Manifest(text.into()));
    CatalogCommand { kind }
}
