//! Runs the decision code of voters and nodes, connected by an in-memory queue.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use kumquatlock::agreement::{
    AgreementAction, AgreementEngine, AgreementEvent, AgreementRole, AgreementSettings,
    ProposalTicket, ReadIndex, ReadIndexTicket, TICK_INTERVAL_MS,
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

/// Delay between the sending and the delivery of every message.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// Interval between ticks of the configuration stream, in milliseconds.
const STREAM_TICK_MS: u64 = 100;

/// A message or event in transit. The first field is the receiving voter or node.
enum PendingDelivery {
    Peer(usize, PeerMessage),
    /// A submitted manifest on the way to the leader, with the voter that received it.
    Proposal(usize, u64, CatalogCommand),
    /// The decision on a submission, on the way to the voter that received it.
    Decision(usize, String),
    /// A voter's request to the leader for a log index at or above everything committed so far.
    ReadIndexRequest {
        to: usize,
        from: usize,
        round: u64,
    },
    /// The result of such a request: the round, and the index if the leader confirmed one.
    ReadIndexResult(usize, u64, Option<u64>),
    ToParent(usize, ParentEvent),
    ToChild(usize, ChildEvent),
}

struct SessionVoter {
    name: SharedName,
    agreement: AgreementEngine,
    catalog: Catalog,
    parent: ParentState,
    /// Decision on the most recently applied manifest, as text.
    decision: String,
    /// Whether the voter is down: it runs no ticks and exchanges no messages.
    is_down: bool,
    /// Whether the voter exchanges no messages with other voters. Messages to and from nodes still
    /// arrive.
    is_isolated: bool,
}

struct SessionNode {
    name: SharedName,
    state: ChildState,
    /// Current connection, with the voter that it leads to.
    link: Option<(LinkId, usize)>,
    /// Second connection, with the voter that it leads to. The node has sent no `Hello` on it.
    probe: Option<(LinkId, usize)>,
}

/// All voters and nodes, the messages between them, and the transcript of their decisions.
pub(crate) struct ConfigSession {
    now: Timestamp,
    random: SmallRng,
    voters: Vec<SessionVoter>,
    nodes: Vec<SessionNode>,
    /// Deliveries with the time when they are due and the voter that sent them, if a voter did.
    queue: VecDeque<(Timestamp, Option<usize>, PendingDelivery)>,
    /// For each read index ticket, the voter that made the request and the round of the proof.
    tickets: Vec<(usize, u64)>,
    pub(crate) transcript: String,
}

impl ConfigSession {
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
            let rng = SmallRng::seed_from_u64(seed + number);
            SessionVoter {
                name: name.clone(),
                agreement: AgreementEngine::new(settings, recovered, rng, Timestamp::default()),
                catalog: Catalog::new(),
                parent: ParentState::new(name.clone(), GroupId(0), 1),
                decision: String::new(),
                is_down: false,
                is_isolated: false,
            }
        };
        ConfigSession {
            now: Timestamp::default(),
            random: SmallRng::seed_from_u64(seed),
            voters: (0..).zip(&names).map(voter).collect(),
            nodes: Vec::new(),
            queue: VecDeque::new(),
            tickets: Vec::new(),
            transcript: String::new(),
        }
    }

    /// Adds a line to the transcript.
    fn record(&mut self, actor: &str, text: &str) {
        let millis = self.now.0 / 1_000;
        self.transcript += &format!("{millis:>6} ms  {actor:<8} {text}\n");
    }

    /// Adds an event that the test causes to the transcript.
    pub(crate) fn record_event(&mut self, text: &str) {
        self.record("--", text);
    }

    pub(crate) fn leader(&self) -> usize {
        let is_leader = |voter: &SessionVoter| {
            !voter.is_down && voter.agreement.status().role == AgreementRole::Leader
        };
        self.voters
            .iter()
            .position(is_leader)
            .expect("a voter is the leader")
    }

    /// Advances the clock by `millis` milliseconds and delivers the messages and ticks that become
    /// due.
    pub(crate) fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = self.now + Duration::from_millis(1);
            let millis = self.now.0 / 1_000;
            while self.queue.front().is_some_and(|(due, ..)| *due <= self.now) {
                if let Some((_, from, delivery)) = self.queue.pop_front() {
                    self.deliver(from, delivery);
                }
            }
            for voter in 0..self.voters.len() {
                if self.voters[voter].is_down {
                    continue;
                }
                if millis.is_multiple_of(TICK_INTERVAL_MS) {
                    self.handle_agreement_event(voter, AgreementEvent::Tick);
                }
                if millis.is_multiple_of(STREAM_TICK_MS) {
                    self.handle_parent_event(voter, ParentEvent::Tick);
                }
            }
            for node in 0..self.nodes.len() {
                if millis.is_multiple_of(STREAM_TICK_MS) {
                    self.handle_child_event(node, ChildEvent::Tick);
                }
            }
        }
    }

    pub(crate) fn start_node(&mut self, name: &str, parents: &[usize]) {
        self.record_event(&format!("{name} starts"));
        let identity = ChildIdentity {
            name: name.into(),
            incarnation: IncarnationId(1),
            zone: "osrednja-1".into(),
            region: "osrednja".into(),
            role: ChildRole::Node,
        };
        let address = |&voter: &usize| SocketAddr::from(([127, 0, 0, 1], voter as u16));
        let parents = parents.iter().map(address).collect();
        self.nodes.push(SessionNode {
            name: name.into(),
            state: ChildState::new(identity, GroupId(0), parents),
            link: None,
            probe: None,
        });
    }

    pub(crate) fn submit(&mut self, voter: usize, version: u64, prefix: &str) {
        let name = self.voters[voter].name.clone();
        self.record_event(&format!(
            "manifest {version} ({prefix}) is submitted at {name}"
        ));
        let command = manifest(version, prefix);
        match self.leader_of(voter) {
            Some(leader) => {
                self.send(
                    Some(voter),
                    PendingDelivery::Proposal(leader, voter as u64, command),
                );
            }
            None => self.record(&name, "answers: no leader"),
        }
    }

    /// Submits a manifest and takes the leader down after it has committed and applied the
    /// manifest, but before its answer arrives.
    pub(crate) fn submit_and_lose_leader(&mut self, voter: usize, version: u64, prefix: &str) {
        let leader = self.leader();
        self.submit(voter, version, prefix);
        while self.voters[leader].catalog.manifest_version() < version {
            self.advance(1);
        }
        self.voters[leader].is_down = true;
        let name = self.voters[leader].name.clone();
        self.record_event(&format!("{name} is lost, its answer with it"));
    }

    pub(crate) fn restore(&mut self, voter: usize) {
        self.voters[voter].is_down = false;
        let name = self.voters[voter].name.clone();
        self.record_event(&format!("{name} is back"));
    }

    pub(crate) fn isolate(&mut self, voter: usize) {
        self.voters[voter].is_isolated = true;
        let name = self.voters[voter].name.clone();
        self.record_event(&format!("{name} is cut off from the other voters"));
    }

    pub(crate) fn reconnect(&mut self, voter: usize) {
        self.voters[voter].is_isolated = false;
        let name = self.voters[voter].name.clone();
        self.record_event(&format!("{name} reaches the other voters again"));
    }

    /// Asserts that every voter has applied this manifest, and that all voters and nodes have the
    /// same configuration version.
    pub(crate) fn assert_converged(&self, manifest: u64) {
        let version = self.voters[0].catalog.version();
        for voter in &self.voters {
            let actual = (voter.catalog.manifest_version(), voter.catalog.version());
            assert_eq!(actual, (manifest, version), "{}", voter.name);
        }
        for node in &self.nodes {
            let actual = node.state.applied_config().map(|snapshot| snapshot.version);
            assert_eq!(actual, Some(version), "{}", node.name);
        }
    }

    fn leader_of(&self, voter: usize) -> Option<usize> {
        let leader = self.voters[voter].agreement.status().leader?;
        self.voters.iter().position(|voter| voter.name == leader)
    }

    /// Queues a delivery. `from` is the sending voter, or `None` if the sender is a node.
    fn send(&mut self, from: Option<usize>, delivery: PendingDelivery) {
        self.queue
            .push_back((self.now + MESSAGE_LATENCY, from, delivery));
    }

    fn is_undeliverable(&self, from: Option<usize>, to: usize) -> bool {
        let is_isolated = |voter: usize| self.voters[voter].is_isolated;
        let is_partitioned =
            from.is_some_and(|from| from != to && (is_isolated(from) || is_isolated(to)));
        is_partitioned || self.voters[to].is_down
    }

    fn deliver(&mut self, from: Option<usize>, delivery: PendingDelivery) {
        if from.is_some_and(|from| self.voters[from].is_down) {
            return;
        }
        match delivery {
            PendingDelivery::ToChild(node, event) => self.handle_child_event(node, event),
            PendingDelivery::Peer(to, _)
            | PendingDelivery::Proposal(to, ..)
            | PendingDelivery::Decision(to, _)
            | PendingDelivery::ReadIndexRequest { to, .. }
            | PendingDelivery::ReadIndexResult(to, ..)
            | PendingDelivery::ToParent(to, _)
                if self.is_undeliverable(from, to) => {}
            PendingDelivery::Peer(to, message) => {
                self.handle_agreement_event(to, AgreementEvent::Received(message))
            }
            PendingDelivery::Proposal(to, voter, command) => {
                let ticket = ProposalTicket(voter);
                let payload = command.encode_to_vec().into();
                self.handle_agreement_event(to, AgreementEvent::Propose { ticket, payload });
            }
            PendingDelivery::Decision(to, text) => {
                let name = self.voters[to].name.clone();
                self.record(&name, &format!("answers the operator: {text}"));
            }
            PendingDelivery::ReadIndexRequest { to, from, round } => {
                self.tickets.push((from, round));
                let ticket = ReadIndexTicket(self.tickets.len() as u64 - 1);
                self.handle_agreement_event(to, AgreementEvent::RequestReadIndex(ticket));
            }
            PendingDelivery::ReadIndexResult(to, round, index) => {
                self.handle_parent_event(to, ParentEvent::ProofResult { round, index });
            }
            PendingDelivery::ToParent(to, event) => self.handle_parent_event(to, event),
        }
    }

    fn handle_agreement_event(&mut self, voter: usize, event: AgreementEvent) {
        let actions = self.voters[voter].agreement.handle(self.now, event);
        let version = self.voters[voter].catalog.applied_index();
        for action in actions {
            self.apply_agreement_action(voter, action);
        }
        if self.voters[voter].catalog.applied_index() != version {
            self.handle_parent_event(voter, ParentEvent::CatalogAdvanced);
        }
    }

    fn apply_agreement_action(&mut self, voter: usize, action: AgreementAction) {
        match action {
            AgreementAction::Send(released) => {
                let (to, message) = released.into_parts();
                let to = self.voters.iter().position(|voter| voter.name == to);
                if let Some(to) = to {
                    self.send(Some(voter), PendingDelivery::Peer(to, message));
                }
            }
            // In this session, writes complete at once and never fail.
            AgreementAction::Persist(request) => {
                self.handle_agreement_event(voter, AgreementEvent::Persisted(request.ticket));
            }
            AgreementAction::Apply(entry) => self.apply_entry(voter, &entry),
            AgreementAction::AnswerProposal { ticket, result } => {
                let text = match result {
                    Ok(_) => self.voters[voter].decision.clone(),
                    Err(error) => error.to_string(),
                };
                self.send(
                    Some(voter),
                    PendingDelivery::Decision(ticket.0 as usize, text),
                );
            }
            AgreementAction::AnswerReadIndex { ticket, result } => {
                let (to, round) = self.tickets[ticket.0 as usize];
                self.send(
                    Some(voter),
                    PendingDelivery::ReadIndexResult(to, round, result.ok().map(ReadIndex::index)),
                );
            }
            AgreementAction::RoleChanged { role, term, leader } => {
                let group = self.voters[voter].agreement.status().group_id;
                self.voters[voter].parent.set_group(group);
                let name = self.voters[voter].name.clone();
                let leader = leader.as_deref().unwrap_or("none").to_owned();
                self.record(&name, &format!("is {role:?}, term {term}, leader {leader}"));
            }
            // The session is too short for a compaction.
            AgreementAction::InstallSnapshot(_) | AgreementAction::TakeSnapshot { .. } => {
                unreachable!("unexpected compaction")
            }
        }
    }

    fn apply_entry(&mut self, voter_index: usize, entry: &LogEntry) {
        let voter = &mut self.voters[voter_index];
        if entry.kind != EntryKind::Command as i32 {
            voter.catalog.skip_entry(entry.index);
            return;
        }
        let command =
            CatalogCommand::decode(entry.payload.clone()).expect("the entry contains a command");
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
        self.record(&name, &format!("applies entry {}: {text}", entry.index));
    }

    fn handle_parent_event(&mut self, voter_index: usize, event: ParentEvent) {
        let voter = &mut self.voters[voter_index];
        let steps = voter
            .parent
            .handle(self.now, event, &voter.catalog, &mut self.random);
        for step in steps {
            self.apply_parent_step(voter_index, step);
        }
    }

    fn apply_parent_step(&mut self, voter_index: usize, step: ParentStep) {
        match step {
            ParentStep::Send { children, body } => {
                self.send_to_children(voter_index, &children, &body)
            }
            ParentStep::SendDelta { children, frame } => {
                self.send_to_children(voter_index, &children, &decode_frame(&frame));
            }
            ParentStep::Close { child } => {
                let (node, link) = split_child_id(child);
                let event = ChildEvent::Disconnected { link };
                self.send(Some(voter_index), PendingDelivery::ToChild(node, event));
            }
            ParentStep::RequestProof { round } => match self.leader_of(voter_index) {
                Some(to) => {
                    let from = voter_index;
                    self.send(
                        Some(voter_index),
                        PendingDelivery::ReadIndexRequest { to, from, round },
                    );
                }
                None => self.send(
                    Some(voter_index),
                    PendingDelivery::ReadIndexResult(voter_index, round, None),
                ),
            },
            ParentStep::ForwardToLeader(_) | ParentStep::HandleRequest { .. } => {}
        }
    }

    fn send_to_children(&mut self, voter_index: usize, children: &[ChildId], body: &Body) {
        let name = self.voters[voter_index].name.clone();
        if let Some(text) = describe_message(body) {
            let nodes = children.iter().map(|child| split_child_id(*child).0);
            let nodes: Vec<&str> = nodes.map(|node| &*self.nodes[node].name).collect();
            let text = format!("to {}: {text}", nodes.join(", "));
            self.record(&name, &text);
        }
        for &child in children {
            let (node, link) = split_child_id(child);
            let body = body.clone();
            let event = ChildEvent::Received { link, body };
            self.send(Some(voter_index), PendingDelivery::ToChild(node, event));
            let event = ParentEvent::Writable { child };
            self.send(
                Some(voter_index),
                PendingDelivery::ToParent(voter_index, event),
            );
        }
    }

    fn handle_child_event(&mut self, node_index: usize, event: ChildEvent) {
        let steps = self.nodes[node_index]
            .state
            .handle(self.now, event, &mut self.random);
        for step in steps {
            self.apply_child_step(node_index, step);
        }
    }

    fn open_link(&mut self, node_index: usize, link: LinkId, voter: usize, verb: &str) {
        let name = self.nodes[node_index].name.clone();
        let text = format!("{verb} {}", self.voters[voter].name);
        self.record(&name, &text);
        if !self.voters[voter].is_down {
            let event = ChildEvent::Connected { link };
            self.send(Some(voter), PendingDelivery::ToChild(node_index, event));
        }
    }

    fn send_to_parent(&mut self, node_index: usize, link: LinkId, body: Body) {
        if let Some((_, voter)) = self.nodes[node_index]
            .probe
            .filter(|(probe, _)| *probe == link)
        {
            if let Body::Ping(Ping { number: ping, .. }) = body {
                let body = Body::Pong(Pong {
                    number: ping,
                    ..Pong::default()
                });
                let event = ChildEvent::Received { link, body };
                return self.send(Some(voter), PendingDelivery::ToChild(node_index, event));
            }
            self.nodes[node_index].link = self.nodes[node_index].probe.take();
        }
        let current_link = self.nodes[node_index]
            .link
            .filter(|(current, _)| *current == link);
        if let Some((_, voter)) = current_link {
            let child = ChildId((node_index as u64) << 32 | link.0);
            let event = ParentEvent::Received { child, body };
            self.send(None, PendingDelivery::ToParent(voter, event));
        }
    }

    fn apply_child_step(&mut self, node_index: usize, step: ChildStep) {
        let name = self.nodes[node_index].name.clone();
        match step {
            ChildStep::Connect { link, address } => {
                let voter = usize::from(address.port());
                self.nodes[node_index].link = Some((link, voter));
                self.open_link(node_index, link, voter, "connects to");
            }
            ChildStep::Probe { link, address } => {
                let voter = usize::from(address.port());
                self.nodes[node_index].probe = Some((link, voter));
                self.open_link(node_index, link, voter, "probes");
            }
            ChildStep::Send { link, body } => self.send_to_parent(node_index, link, body),
            ChildStep::Close { link } => {
                let current_link = self.nodes[node_index]
                    .link
                    .filter(|(current, _)| *current == link);
                if let Some((_, voter)) = current_link {
                    self.record(
                        &name,
                        &format!("leaves {}", self.voters[voter].name.clone()),
                    );
                    self.nodes[node_index].link = None;
                    let child = ChildId((node_index as u64) << 32 | link.0);
                    let event = ParentEvent::Disconnected { child };
                    self.send(None, PendingDelivery::ToParent(voter, event));
                }
            }
            ChildStep::Attached { floor, .. } => {
                self.record(&name, &format!("is welcomed, floor {floor}"));
            }
            ChildStep::Apply { snapshot, .. } => {
                let text = format!("routes by version {}", snapshot.version);
                self.record(&name, &text);
            }
            ChildStep::Refused { version, refusal } => {
                self.record(&name, &format!("refuses version {version}: {refusal}"));
            }
            ChildStep::Relayed(_) | ChildStep::NotSent(_) => {}
        }
    }
}

/// Splits an ID into the node and its connection.
fn split_child_id(child: ChildId) -> (usize, LinkId) {
    ((child.0 >> 32) as usize, LinkId(child.0 & 0xffff_ffff))
}

fn decode_frame(frame: &EncodedFrame) -> Body {
    let payload = frame.bytes().slice(4..);
    let envelope = Envelope::decode(payload).expect("the frame contains an envelope");
    envelope.body.expect("the envelope contains a body")
}

/// Describes a message that a parent sends. Returns `None` for messages that the transcript leaves
/// out, such as probes.
fn describe_message(body: &Body) -> Option<String> {
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
