//! Nodes whose messages wait in one queue until a test delivers, drops or duplicates them.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::Body;
use kumquatlock_wire::call::AttemptId;
use kumquatlock_wire::claim::{ClaimOwner, ShardHolder};
use kumquatlock_wire::distribution::{CatalogState, ServiceItem, UpstreamItem};

use crate::claim::{
    AcquireDecision, AttemptAdmission, ClaimAcquirer, ClaimFencer, ClaimHolder, ClaimMessage,
    ClaimSettings, FenceDecision, HandoverStep, OutcomeTable, PlacementTable, QueryAnswer,
    StoredAnswer, shard_number, shard_of,
};
use crate::core::{ConfigSnapshot, IncarnationId, Timestamp, service_digest, upstream_digest};

pub(super) const SERVICE: &str = "booking";

const OTHER_SERVICE: &str = "orders";

pub(super) const KEY: &str = "book-1";

/// Maximum number of deliveries in one call of [`TestCluster::deliver_all`]; the largest number
/// seen is below 1,000.
const MAX_DELIVERIES: usize = 20_000;

/// A member of the catalog.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) zone: u32,
    pub(super) region: String,
    pub(super) first_in_region: bool,
    pub(super) service: &'static str,
}

pub(super) fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        incarnation,
        zone: 0,
        region: "osrednja".into(),
        first_in_region: false,
        service: SERVICE,
    }
}

/// Creates a member of another service.
pub(super) fn other_member(name: &str, incarnation: u64) -> Member {
    Member {
        service: OTHER_SERVICE,
        ..member(name, incarnation)
    }
}

pub(super) fn snapshot_of(version: u64, members: &[Member]) -> Arc<ConfigSnapshot> {
    let services = [SERVICE, OTHER_SERVICE].map(|name| ServiceItem {
        name: name.into(),
        patterns: vec!["*".into()],
        ..ServiceItem::default()
    });
    let mut digest = services
        .iter()
        .map(service_digest)
        .fold(0, u64::wrapping_add);
    let mut upstreams = Vec::new();
    for member in members {
        let item = UpstreamItem {
            name: member.name.clone(),
            service: member.service.into(),
            zone: format!("{}-{}", member.region, member.zone),
            region: member.region.clone(),
            node_address: "127.0.0.1:1".into(),
            incarnation: member.incarnation,
            slots: 10,
            state: 0,
            first_in_region: member.first_in_region,
            version: String::new(),
        };
        digest = digest.wrapping_add(upstream_digest(&item));
        upstreams.push(item);
    }
    let state = CatalogState {
        version,
        manifest_version: 1,
        services: services.to_vec(),
        routes: Vec::new(),
        upstreams,
        ..CatalogState::default()
    };
    Arc::new(ConfigSnapshot::from_state(&state, digest).unwrap())
}

/// A node that is holder, destination and entry at once.
pub(super) struct TestNode {
    pub(super) id: ShardHolder,
    pub(super) holder: ClaimHolder,
    pub(super) placement: PlacementTable,
    pub(super) outcomes: OutcomeTable,
    pub(super) acquirers: IndexMap<u64, (ClaimAcquirer, String)>,
    pub(super) fencers: IndexMap<u64, (ClaimFencer, String)>,
    next_number: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Packet {
    pub(super) from: String,
    pub(super) to: String,
    pub(super) body: Body,
}

#[derive(Default)]
pub(super) struct TestCluster {
    pub(super) now: Timestamp,
    pub(super) nodes: IndexMap<String, TestNode>,
    pub(super) queue: Vec<Packet>,
    pub(super) decisions: IndexMap<(String, u64), AcquireDecision>,
    pub(super) fences: IndexMap<(String, u64), FenceDecision>,
    /// Runs of each key, as (destination, attempt number).
    pub(super) runs: IndexMap<String, Vec<(String, u64)>>,
    /// Keys that were answered "not run".
    pub(super) not_run: IndexSet<String>,
    /// Whether granted attempts wait until the test runs them.
    pub(super) manual_run: bool,
    pub(super) log: Option<Vec<String>>,
    /// Nodes that no control instance can reach.
    pub(super) cut_off: IndexSet<String>,
    /// Nodes on one side of a network partition.
    pub(super) partition: Option<Vec<String>>,
    /// The only shard that holders take part in.
    pub(super) shard: u32,
}

pub(super) fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: "done".into(),
    }
}

impl TestCluster {
    /// Creates the nodes of a new service. The first name is its first upstream. The nodes take
    /// part in the shard of `KEY`.
    pub(super) fn of(names: &[&str]) -> (Self, Vec<Member>) {
        let mut cluster = TestCluster {
            now: Timestamp::from_millis(1_000),
            shard: shard_number(KEY),
            ..TestCluster::default()
        };
        let mut members: Vec<Member> = names.iter().map(|name| member(name, 1)).collect();
        members[0].first_in_region = true;
        for (zone, member) in members.iter_mut().enumerate() {
            member.zone = zone as u32;
            cluster.start(&member.name, 1);
        }
        cluster.apply_all(1, &members);
        cluster.deliver_all();
        (cluster, members)
    }

    pub(super) fn start(&mut self, name: &str, incarnation: u64) {
        let id = ShardHolder {
            name: name.into(),
            incarnation,
        };
        let settings = ClaimSettings::default();
        let mut holder = ClaimHolder::new(id.clone(), settings.clone());
        holder.restrict_to(self.shard);
        let node = TestNode {
            holder,
            placement: PlacementTable::default(),
            outcomes: OutcomeTable::new(name.into(), IncarnationId(incarnation), &settings),
            acquirers: IndexMap::new(),
            fencers: IndexMap::new(),
            next_number: incarnation * 1_000,
            id,
        };
        self.nodes.insert(name.into(), node);
    }

    pub(super) fn apply(&mut self, name: &str, snapshot: &Arc<ConfigSnapshot>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.placement.snapshot().version >= snapshot.version {
            return;
        }
        node.placement.update(snapshot.clone());
        let messages = node.holder.on_snapshot(now, snapshot.clone());
        self.push(name, messages);
        self.confirm(name);
        self.refresh(name, true);
    }

    fn confirm(&mut self, name: &str) {
        if !self.cut_off.contains(name) {
            self.nodes[name].holder.on_config_confirmed(self.now);
        }
    }

    pub(super) fn apply_all(&mut self, version: u64, members: &[Member]) {
        let snapshot = snapshot_of(version, members);
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            self.apply(&name, &snapshot);
        }
    }

    fn push(&mut self, from: &str, messages: Vec<ClaimMessage>) {
        for message in messages {
            self.queue.push(Packet {
                from: from.into(),
                to: message.to.to_string(),
                body: message.body,
            });
        }
    }

    fn owner(node: &TestNode, number: u64) -> ClaimOwner {
        ClaimOwner {
            attempt: AttemptId {
                entry: node.id.name.clone(),
                entry_incarnation: node.id.incarnation,
                call_id: number,
                attempt: 1,
            },
            destination: node.id.name.clone(),
            destination_incarnation: node.id.incarnation,
            request_digest: 7,
        }
    }

    /// Delivers a new attempt of `key` to a destination and returns its number.
    pub(super) fn attempt(&mut self, destination: &str, key: &str) -> u64 {
        let now = self.now;
        let node = &mut self.nodes[destination];
        node.next_number += 1;
        let number = node.next_number;
        let owner = Self::owner(node, number);
        assert_eq!(
            node.outcomes.register_keyed(now, &owner.attempt),
            AttemptAdmission::Admitted
        );
        let deadline = now + Duration::from_secs(5);
        let acquirer = ClaimAcquirer::new(number, owner, shard_of(SERVICE, key), key, deadline);
        node.acquirers.insert(number, (acquirer, key.into()));
        let located = node.placement.locate(SERVICE, key).map(|(_, view)| view);
        let steps = node.acquirers[&number].0.on_view(now, located);
        self.push(destination, steps.messages);
        self.record_decision(destination, number, steps.decision);
        number
    }

    /// Starts a fence of `key` at an entry and returns its number.
    pub(super) fn fence(&mut self, entry: &str, key: &str) -> u64 {
        let now = self.now;
        let node = &mut self.nodes[entry];
        node.next_number += 1;
        let number = node.next_number;
        let owner = Self::owner(node, number);
        let deadline = now + Duration::from_secs(5);
        let fencer = ClaimFencer::new(number, owner, shard_of(SERVICE, key), key, deadline);
        node.fencers.insert(number, (fencer, key.into()));
        let located = node.placement.locate(SERVICE, key).map(|(_, view)| view);
        let steps = node.fencers[&number].0.on_view(now, located);
        self.push(entry, steps.messages);
        self.record_fence(entry, number, steps.decision);
        number
    }

    fn record_decision(&mut self, name: &str, number: u64, decision: Option<AcquireDecision>) {
        let Some(decision) = decision else {
            return;
        };
        self.log_line(|| format!("{name}: attempt {number} decides {}", label(&decision)));
        let runs = decision == AcquireDecision::Run;
        self.decisions.insert((name.into(), number), decision);
        if runs && !self.manual_run {
            self.run(name, number);
        } else if !runs {
            let now = self.now;
            let node = &mut self.nodes[name];
            let attempt = Self::owner(node, number).attempt;
            assert!(node.outcomes.fence(now, &attempt).0);
        }
    }

    /// Runs a granted attempt from start to end.
    pub(super) fn run(&mut self, name: &str, number: u64) {
        self.start_run(name, number);
        self.finish_run(name, number);
    }

    pub(super) fn start_run(&mut self, name: &str, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[name];
        let attempt = Self::owner(node, number).attempt;
        let key = node.acquirers[&number].1.clone();
        if node.outcomes.start_run(now, &attempt) {
            self.log_line(|| format!("{name}: attempt {number} runs"));
            self.runs
                .entry(key)
                .or_default()
                .push((name.into(), number));
        }
    }

    pub(super) fn finish_run(&mut self, name: &str, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[name];
        let attempt = Self::owner(node, number).attempt;
        node.outcomes.finish(now, &attempt, answer());
        let steps = node.acquirers[&number].0.finish(now);
        self.push(name, steps.messages);
    }

    /// Abandons a granted attempt, unless it has started.
    pub(super) fn abandon(&mut self, name: &str, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[name];
        let attempt = Self::owner(node, number).attempt;
        if node.outcomes.fence(now, &attempt).0 {
            let steps = node.acquirers[&number].0.abandon(now);
            self.push(name, steps.messages);
        }
    }

    fn record_fence(&mut self, name: &str, number: u64, decision: Option<FenceDecision>) {
        let Some(decision) = decision else {
            return;
        };
        self.log_line(|| format!("{name}: fence {number} decides {}", fence_label(&decision)));
        if decision == FenceDecision::NotRun {
            let key = self.nodes[name].fencers[&number].1.clone();
            self.not_run.insert(key);
        }
        self.fences.insert((name.into(), number), decision);
    }

    /// Returns the answer of the destination of `owner` to an outcome query.
    pub(super) fn query(&mut self, owner: &ClaimOwner) -> Option<QueryAnswer> {
        let now = self.now;
        let query_id = AttemptId {
            entry: "asking".into(),
            ..owner.attempt.clone()
        };
        let node = self.nodes.get_mut(&owner.destination)?;
        node.outcomes
            .query(now, &query_id, owner, now + Duration::from_secs(5))
    }

    /// Polls the handover of a leaving node. Returns whether the node may stop.
    pub(super) fn hand_over(&mut self, name: &str) -> bool {
        match self.nodes[name].holder.poll_handover(self.now) {
            HandoverStep::Done => true,
            HandoverStep::Waiting(messages) => {
                self.push(name, messages);
                false
            }
        }
    }

    pub(super) fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        let (from, to) = (packet.from.as_str(), packet.to.as_str());
        let is_partitioned = |name: &str| self.partition.iter().flatten().any(|node| node == name);
        if is_partitioned(from) != is_partitioned(to) {
            return;
        }
        self.log_line(|| super::golden::transcript_line(&packet));
        let Some(node) = self.nodes.get_mut(to) else {
            return;
        };
        match &packet.body {
            Body::Claim(request) => {
                let body = Body::ClaimReply(node.holder.on_request(now, request));
                let to = from.into();
                self.push(&packet.to, vec![ClaimMessage { to, body }]);
            }
            Body::ShardFetch(fetch) => {
                let messages = node.holder.on_fetch(now, &from.into(), fetch);
                self.push(to, messages);
            }
            Body::ShardChunk(chunk) => {
                let messages = node.holder.on_chunk(now, chunk.clone());
                self.push(to, messages);
            }
            Body::ClaimReply(reply) => {
                node.holder.on_claim_reply(from, reply);
                let number = ClaimAcquirer::number_of(reply.request_id);
                if let Some((acquirer, _)) = node.acquirers.get_mut(&number) {
                    let steps = acquirer.on_reply(now, from, reply);
                    self.push(to, steps.messages);
                    self.record_decision(to, number, steps.decision);
                } else if let Some((fencer, _)) = node.fencers.get_mut(&number) {
                    let steps = fencer.on_reply(now, from, reply);
                    self.push(to, steps.messages);
                    self.record_fence(to, number, steps.decision);
                }
            }
            _ => {}
        }
    }

    pub(super) fn deliver_all(&mut self) {
        // Bounds the loop, because nodes that keep answering each other without time passing would
        // never stop.
        for _ in 0..MAX_DELIVERIES {
            if self.queue.is_empty() {
                return;
            }
            let packet = self.queue.remove(0);
            self.deliver(packet);
        }
        let next: Vec<String> = self
            .queue
            .iter()
            .map(super::golden::transcript_line)
            .collect();
        panic!("messages are still queued after {MAX_DELIVERIES} deliveries: {next:?}");
    }

    /// Advances the time at every node in ticks of 100 ms and delivers all messages that follow.
    pub(super) fn advance_time(&mut self, millis: u64) {
        self.advance_time_in_steps(millis, 100);
    }

    /// Like [`TestCluster::advance_time`], with this many milliseconds from tick to tick.
    pub(super) fn advance_time_in_steps(&mut self, millis: u64, step: u64) {
        let until = Timestamp(self.now.0 + millis * 1_000);
        while self.now < until {
            self.now = Timestamp(until.0.min(self.now.0 + step * 1_000));
            self.tick();
            self.deliver_all();
        }
    }

    pub(super) fn tick(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            self.confirm(&name);
            let messages = self.nodes[&name].holder.on_tick(self.now);
            self.push(&name, messages);
            self.nodes[&name].outcomes.on_tick(self.now);
            self.refresh(&name, false);
        }
    }

    /// Ticks the acquirers and fencers of a node, or passes them its new views if `view_changed`.
    fn refresh(&mut self, name: &str, view_changed: bool) {
        let now = self.now;
        let numbers = |node: &TestNode| -> Vec<u64> {
            node.acquirers
                .keys()
                .chain(node.fencers.keys())
                .copied()
                .collect()
        };
        for number in numbers(&self.nodes[name]) {
            let node = &mut self.nodes[name];
            if let Some((acquirer, key)) = node.acquirers.get_mut(&number) {
                let steps = match view_changed {
                    true => {
                        let located = node.placement.locate(SERVICE, key);
                        acquirer.on_view(now, located.map(|(_, view)| view))
                    }
                    false => acquirer.on_tick(now),
                };
                self.push(name, steps.messages);
                self.record_decision(name, number, steps.decision);
            } else if let Some((fencer, key)) = node.fencers.get_mut(&number) {
                let steps = match view_changed {
                    true => {
                        let located = node.placement.locate(SERVICE, key);
                        fencer.on_view(now, located.map(|(_, view)| view))
                    }
                    false => fencer.on_tick(now),
                };
                self.push(name, steps.messages);
                self.record_fence(name, number, steps.decision);
            }
        }
    }

    fn log_line(&mut self, line: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            log.push(line());
        }
    }

    pub(super) fn runs_of(&self, key: &str) -> usize {
        self.runs.get(key).map_or(0, Vec::len)
    }

    /// Returns another key of the shard.
    pub(super) fn other_key(&self, index: usize) -> String {
        let keys = (0..).map(|number| format!("other-{number}"));
        let mut keys = keys.filter(|key| shard_number(key) == self.shard);
        keys.nth(index).unwrap()
    }

    /// Returns the decision on an attempt. Panics if there is none yet.
    pub(super) fn decision(&self, name: &str, number: u64) -> &AcquireDecision {
        &self.decisions[&(name.to_owned(), number)]
    }

    /// Whether all nodes are at `version` and no holder is joining a view.
    pub(super) fn is_settled(&self, version: u64) -> bool {
        self.nodes.values().all(|node| {
            let at = node.placement.snapshot().version.0;
            at == version && node.holder.joining_shards() == 0
        })
    }

    /// Checks that no key ran twice, and that none ran after it was answered "not run".
    pub(super) fn check_guarantees(&self) -> Result<(), String> {
        for (key, runs) in &self.runs {
            if runs.len() > 1 {
                return Err(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
            if self.not_run.contains(key) {
                return Err(format!("key {key} was answered not run and ran: {runs:?}"));
            }
        }
        Ok(())
    }
}

pub(super) fn label(decision: &AcquireDecision) -> String {
    match decision {
        AcquireDecision::Run => "run".into(),
        AcquireDecision::Refuse(reason) => format!("refuse ({reason})"),
        AcquireDecision::ClaimedElsewhere(owner) => {
            format!(
                "claimed by {} at {}",
                owner.attempt.call_id, owner.destination
            )
        }
        AcquireDecision::Finished(owner) => {
            format!(
                "finished by {} at {}",
                owner.attempt.call_id, owner.destination
            )
        }
        AcquireDecision::Fenced => "fenced".into(),
        AcquireDecision::Unknown => "unknown".into(),
    }
}

fn fence_label(decision: &FenceDecision) -> String {
    match decision {
        FenceDecision::NotRun => "not run".into(),
        FenceDecision::OwnerExists { owner, finished } => {
            let state = if *finished { "finished" } else { "claimed" };
            format!(
                "{state} by {} at {}",
                owner.attempt.call_id, owner.destination
            )
        }
        FenceDecision::Unknown => "unknown".into(),
    }
}
