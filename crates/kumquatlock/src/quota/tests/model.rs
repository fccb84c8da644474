//! A mesh of nodes, parents and a leader that exchange quota messages, with faults.

use std::collections::BTreeMap;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant};
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::core::{AccountQuota, SharedName, Timestamp};
use crate::quota::{
    AccountId, ParentShare, QuotaDecision, QuotaLimits, QuotaParent, QuotaPool, QuotaSettings,
    QuotaSpender, ShareStart, SpenderEvent,
};

const STEP: Duration = Duration::from_millis(5);
/// Time after which the two ends of a silent link give it up.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time in which a node finds another parent.
const REATTACH: Duration = Duration::from_millis(300);
/// Time for which a leader that was replaced goes on granting.
const STEP_DOWN: Duration = Duration::from_millis(1_400);

#[derive(Clone, Debug)]
enum ModelMessage {
    Ask {
        node: usize,
        epoch: u64,
        ask: QuotaAsk,
    },
    Grant {
        node: usize,
        epoch: u64,
        grant: QuotaGrant,
    },
    LeaderAsk {
        leader: u64,
        parent: usize,
        ask: QuotaAsk,
    },
    LeaderGrant {
        leader: u64,
        parent: usize,
        grant: QuotaGrant,
    },
}

pub(super) struct ModelNode {
    pub(super) spender: QuotaSpender,
    parent: usize,
    /// Number of the link to the parent.
    epoch: u64,
    is_attached: bool,
    pub(super) is_cut: bool,
    pub(super) frozen_until: Timestamp,
    /// When the node or its parent notices that the link is gone.
    detach_at: Option<Timestamp>,
    attach_at: Option<Timestamp>,
    waiting: IndexMap<u64, (usize, Timestamp)>,
}

pub(super) struct ModelParent {
    quota: QuotaParent<usize>,
    leader: Option<u64>,
    is_down: bool,
    /// Messages that arrive before this time wait.
    pub(super) frozen_until: Timestamp,
}

struct ModelLeader {
    number: u64,
    pool: QuotaPool<usize>,
    ends_at: Option<Timestamp>,
}

pub(super) struct ModelAccount {
    pub(super) name: SharedName,
    pub(super) quota: AccountQuota,
    /// Requests per second over all nodes.
    pub(super) demand: f64,
    pub(super) admitted: Vec<Timestamp>,
    pub(super) offered: u64,
    pub(super) refused: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TrafficTotal {
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

/// Mechanisms that a test can leave out, to see that it notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Omission {
    #[default]
    Nothing,
    /// A new leader grants at once.
    LeaderWait,
    /// A restarted parent uses its share at once.
    ShareWait,
    /// A restarted node uses its allowance at once.
    AllowanceWait,
}

pub(super) struct Model {
    pub(super) random: SmallRng,
    pub(super) now: Timestamp,
    pub(super) settings: QuotaSettings,
    pub(super) nodes: Vec<ModelNode>,
    pub(super) parents: Vec<ModelParent>,
    parent_count: usize,
    leaders: Vec<ModelLeader>,
    pub(super) accounts: Vec<ModelAccount>,
    queue: BTreeMap<(Timestamp, u64), ModelMessage>,
    sequence: u64,
    leader_number: u64,
    next_leader_at: Option<Timestamp>,
    pub(super) omission: Omission,
    /// Share of the demand of each node, by its index.
    pub(super) weights: Vec<f64>,
    pub(super) node_traffic: TrafficTotal,
    pub(super) leader_traffic: TrafficTotal,
    /// Part of the requests that prove not to have run.
    pub(super) not_run: f64,
    /// Longest extra delay of a message.
    pub(super) jitter: Duration,
}

pub(super) fn quota(rate: f64) -> AccountQuota {
    AccountQuota {
        rate_millis: NonZeroU64::new((rate * 1_000.0) as u64).unwrap_or(NonZeroU64::MIN),
        burst: rate as u64,
    }
}

impl Model {
    /// Creates a mesh that has been running for long enough for all shares to be in use.
    pub(super) fn new(seed: u64, nodes: usize, parents: usize, demands: &[f64]) -> Self {
        let settings = QuotaSettings::default();
        let accounts = demands
            .iter()
            .enumerate()
            .map(|(index, demand)| ModelAccount {
                name: format!("account-{index}").into(),
                quota: quota(demand * 1.6),
                demand: *demand,
                admitted: Vec::new(),
                offered: 0,
                refused: 0,
            });
        let mut model = Model {
            random: SmallRng::seed_from_u64(seed),
            now: Timestamp::from_millis(1),
            settings,
            nodes: Vec::new(),
            parents: Vec::new(),
            parent_count: parents,
            leaders: Vec::new(),
            accounts: accounts.collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            leader_number: 0,
            next_leader_at: None,
            omission: Omission::default(),
            weights: vec![1.0; nodes],
            node_traffic: TrafficTotal::default(),
            leader_traffic: TrafficTotal::default(),
            not_run: 0.0,
            jitter: Duration::ZERO,
        };
        for index in 0..parents {
            let parent = model.new_parent(index as u64);
            model.parents.push(parent);
        }
        for index in 0..nodes {
            let spender = model.new_spender(index as u64);
            model.nodes.push(ModelNode {
                spender,
                parent: index % parents,
                epoch: 0,
                is_attached: false,
                is_cut: false,
                frozen_until: Timestamp::default(),
                detach_at: None,
                attach_at: Some(model.now),
                waiting: IndexMap::new(),
            });
        }
        model.elect();
        let demands: Vec<f64> = model
            .accounts
            .iter()
            .map(|account| account.demand)
            .collect();
        model.set_demand(|_| 0.0);
        model.run(Duration::from_secs(13));
        for (account, demand) in model.accounts.iter_mut().zip(demands) {
            account.demand = demand;
        }
        model
    }

    pub(super) fn set_demand(&mut self, demand: impl Fn(usize) -> f64) {
        for (index, account) in self.accounts.iter_mut().enumerate() {
            account.demand = demand(index);
        }
    }

    fn limits(&self) -> Arc<QuotaLimits> {
        let quotas = self.accounts.iter();
        let quotas = quotas.map(|account| (account.name.clone(), account.quota));
        Arc::new(QuotaLimits::collect(&self.settings, quotas))
    }

    fn new_parent(&mut self, salt: u64) -> ModelParent {
        let seed = self.random.random::<u64>() ^ salt;
        let start = ShareStart::Restarted(self.parent_count);
        let started_at = match self.omission {
            Omission::ShareWait => Timestamp::default(),
            _ => self.now,
        };
        let share = ParentShare::new(started_at, start);
        let mut quota = QuotaParent::new(self.settings, share, seed);
        quota.set_limits(self.limits(), self.weights.len());
        ModelParent {
            quota,
            leader: None,
            is_down: false,
            frozen_until: Timestamp::default(),
        }
    }

    fn new_spender(&mut self, salt: u64) -> QuotaSpender {
        let seed = self.random.random::<u64>() ^ salt;
        let started_at = match self.omission {
            Omission::AllowanceWait => Timestamp::default(),
            _ => self.now,
        };
        let mut spender = QuotaSpender::new(self.settings, started_at, seed);
        spender.set_limits(self.limits(), self.weights.len());
        spender
    }

    fn elect(&mut self) {
        self.leader_number += 1;
        let since = match self.omission {
            Omission::LeaderWait => Timestamp::default(),
            _ => self.now,
        };
        let mut pool = QuotaPool::new(self.settings, since, STEP_DOWN);
        pool.set_limits(self.limits(), self.weights.len());
        self.leaders.push(ModelLeader {
            number: self.leader_number,
            pool,
            ends_at: None,
        });
    }

    /// Replaces the leader. The earlier one goes on granting until it notices.
    pub(super) fn replace_leader(&mut self) {
        let ends_at = self.now + STEP_DOWN;
        for leader in &mut self.leaders {
            leader.ends_at.get_or_insert(ends_at);
        }
        self.next_leader_at =
            Some(self.now + Duration::from_millis(self.random.random_range(300..1_200)));
    }

    /// Ends the process of a parent; another one starts in its place.
    pub(super) fn restart_parent(&mut self, index: usize) {
        let parent = self.new_parent(index as u64);
        self.parents[index] = parent;
        let down_for = Duration::from_millis(500);
        self.parents[index].frozen_until = self.now + down_for;
        for node in self.nodes.iter_mut().filter(|node| node.parent == index) {
            node.detach_at.get_or_insert(self.now);
        }
    }

    /// Replaces the process of a node.
    pub(super) fn restart_node(&mut self, index: usize) {
        let spender = self.new_spender(index as u64);
        self.nodes[index].spender = spender;
        self.nodes[index].waiting.clear();
        self.nodes[index].detach_at.get_or_insert(self.now);
    }

    /// Cuts a node off from its parent, or joins it again.
    pub(super) fn set_cut(&mut self, index: usize, is_cut: bool) {
        let node = &mut self.nodes[index];
        node.is_cut = is_cut;
        match is_cut {
            true => node.detach_at = Some(self.now + LINK_TIMEOUT),
            false if node.is_attached => node.detach_at = None,
            false => node.attach_at = Some(self.now + REATTACH),
        }
    }

    /// Makes an account's limit known to everyone at once.
    pub(super) fn set_quota(&mut self, account: usize, quota: AccountQuota) {
        self.accounts[account].quota = quota;
        let (limits, nodes) = (self.limits(), self.weights.len());
        for parent in &mut self.parents {
            parent.quota.set_limits(limits.clone(), nodes);
        }
        for leader in &mut self.leaders {
            leader.pool.set_limits(limits.clone(), nodes);
        }
        for node in &mut self.nodes {
            node.spender.set_limits(limits.clone(), nodes);
        }
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.change_leaders();
        self.change_links();
        while let Some(((at, _), _)) = self.queue.first_key_value()
            && *at <= self.now
        {
            if let Some((_, message)) = self.queue.pop_first() {
                self.deliver(message);
            }
        }
        self.send_requests();
        for index in 0..self.nodes.len() {
            self.advance_node(index);
        }
        for index in 0..self.parents.len() {
            self.advance_parent(index);
        }
        let now = self.now;
        for leader in &mut self.leaders {
            leader.pool.on_tick(now);
        }
    }

    fn change_leaders(&mut self) {
        let now = self.now;
        self.leaders
            .retain(|leader| leader.ends_at.is_none_or(|at| at > now));
        if self.next_leader_at.is_some_and(|at| at <= now) {
            self.next_leader_at = None;
            self.elect();
        }
    }

    fn change_links(&mut self) {
        let parents = self.parents.len();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.detach_at.is_some_and(|at| at <= self.now) {
                node.detach_at = None;
                node.is_attached = false;
                node.epoch += 1;
                self.parents[node.parent].quota.end_session(&index);
                node.spender.set_attached(false);
                node.parent = self.random.random_range(0..parents);
                if !node.is_cut {
                    node.attach_at = Some(self.now + REATTACH);
                }
            }
            if node.attach_at.is_some_and(|at| at <= self.now) && !node.is_cut {
                node.attach_at = None;
                node.is_attached = true;
                node.spender.set_attached(true);
            }
        }
    }

    fn delay(&mut self, between_regions: bool) -> Duration {
        let millis = if between_regions { 30 } else { 1 };
        let jitter = self.jitter.as_micros() as u64;
        let extra = self.random.random_range(0..=jitter);
        Duration::from_millis(millis) + Duration::from_micros(extra)
    }

    fn post(&mut self, delay: Duration, message: ModelMessage) {
        self.sequence += 1;
        // Messages on one link keep their order: the delay of a link only grows.
        self.queue
            .insert((self.now + delay, self.sequence), message);
    }

    fn deliver(&mut self, message: ModelMessage) {
        let now = self.now;
        match message {
            ModelMessage::Ask { node, epoch, ask } => {
                let child = &self.nodes[node];
                let parent = &mut self.parents[child.parent];
                if child.epoch != epoch || child.is_cut {
                    return;
                }
                if now < parent.frozen_until {
                    let delay = parent.frozen_until.since(now);
                    return self.post(delay, ModelMessage::Ask { node, epoch, ask });
                }
                if let Some(grant) = parent.quota.on_ask(now, &node, &ask) {
                    self.send_grant(node, grant);
                }
            }
            ModelMessage::Grant { node, epoch, grant } => {
                let child = &mut self.nodes[node];
                if child.epoch != epoch || child.is_cut {
                    return;
                }
                if now < child.frozen_until {
                    let delay = child.frozen_until.since(now);
                    return self.post(delay, ModelMessage::Grant { node, epoch, grant });
                }
                let events = child.spender.on_grant(now, &grant);
                for event in events {
                    self.end_wait(node, event);
                }
            }
            ModelMessage::LeaderAsk {
                leader,
                parent,
                ask,
            } => {
                let found = self.leaders.iter_mut().find(|known| known.number == leader);
                let grant = found.and_then(|found| found.pool.on_ask(now, &parent, &ask));
                if let Some(grant) = grant {
                    self.leader_traffic.add(grant.encoded_len());
                    let delay = self.delay(true);
                    self.post(
                        delay,
                        ModelMessage::LeaderGrant {
                            leader,
                            parent,
                            grant,
                        },
                    );
                }
            }
            ModelMessage::LeaderGrant {
                leader,
                parent,
                grant,
            } => {
                let target = &mut self.parents[parent];
                if target.leader != Some(leader) {
                    return;
                }
                for (node, grant) in target.quota.on_grant(now, &grant) {
                    self.send_grant(node, grant);
                }
            }
        }
    }

    fn send_grant(&mut self, node: usize, grant: QuotaGrant) {
        self.node_traffic.add(grant.encoded_len());
        let epoch = self.nodes[node].epoch;
        let delay = self.delay(false);
        self.post(delay, ModelMessage::Grant { node, epoch, grant });
    }

    fn send_requests(&mut self) {
        let total: f64 = self.weights.iter().sum();
        for account in 0..self.accounts.len() {
            let expected = self.accounts[account].demand * STEP.as_secs_f64();
            let mut count = expected as u64;
            count += u64::from(self.random.random::<f64>() < expected.fract());
            for _ in 0..count {
                let mut place = self.random.random::<f64>() * total;
                let node = self.weights.iter().position(|weight| {
                    place -= weight;
                    place < 0.0
                });
                self.request(account, node.unwrap_or(0));
            }
        }
    }

    fn request(&mut self, account: usize, index: usize) {
        let node = &mut self.nodes[index];
        if self.now < node.frozen_until {
            return;
        }
        self.sequence += 1;
        let (waiter, id) = (self.sequence, AccountId::of(&self.accounts[account].name));
        self.accounts[account].offered += 1;
        match node.spender.spend(self.now, id, waiter) {
            Some(QuotaDecision::Admit(token)) => self.admit(account, index, token),
            Some(QuotaDecision::Wait { until }) => {
                node.waiting.insert(waiter, (account, until));
            }
            Some(_) => self.accounts[account].refused += 1,
            None => panic!("every account has a quota"),
        }
    }

    fn admit(&mut self, account: usize, node: usize, token: crate::quota::QuotaToken) {
        if self.random.random::<f64>() < self.not_run {
            self.nodes[node].spender.refund(self.now, token);
        } else {
            self.accounts[account].admitted.push(self.now);
        }
    }

    fn end_wait(&mut self, node: usize, event: SpenderEvent) {
        match event {
            SpenderEvent::Admit { waiter, token } => {
                match self.nodes[node].waiting.swap_remove(&waiter) {
                    Some((account, _)) => self.admit(account, node, token),
                    None => self.nodes[node].spender.refund(self.now, token),
                }
            }
            SpenderEvent::OverQuota { waiter, .. } | SpenderEvent::Unavailable { waiter } => {
                if let Some((account, _)) = self.nodes[node].waiting.swap_remove(&waiter) {
                    self.accounts[account].refused += 1;
                }
            }
        }
    }

    fn advance_node(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if now < node.frozen_until {
            return;
        }
        let overdue = node.waiting.iter().filter(|(_, (_, until))| *until <= now);
        let overdue: Vec<(u64, usize)> = overdue
            .map(|(waiter, (account, _))| (*waiter, *account))
            .collect();
        for (waiter, account) in overdue {
            node.waiting.swap_remove(&waiter);
            node.spender
                .expire(AccountId::of(&self.accounts[account].name), waiter);
            self.accounts[account].refused += 1;
        }
        if let Some(ask) = node.spender.poll(now) {
            let epoch = node.epoch;
            self.node_traffic.add(ask.encoded_len());
            let delay = self.delay(false);
            self.post(
                delay,
                ModelMessage::Ask {
                    node: index,
                    epoch,
                    ask,
                },
            );
        }
    }

    fn advance_parent(&mut self, index: usize) {
        let now = self.now;
        let count = self.parents.len();
        let current = self
            .leaders
            .iter()
            .rev()
            .find(|leader| leader.ends_at.is_none());
        let current = current.map(|leader| leader.number);
        let parent = &mut self.parents[index];
        if now < parent.frozen_until || parent.is_down {
            return;
        }
        parent
            .quota
            .update_share(now, Some(count), current.map(|_| now));
        if current.is_some() && parent.leader != current {
            parent.leader = current;
            parent.quota.set_uplink(true);
        }
        let answers = parent.quota.on_tick(now);
        let ask = parent.quota.poll(now).zip(parent.leader);
        for (node, grant) in answers {
            self.send_grant(node, grant);
        }
        if let Some((ask, leader)) = ask {
            self.leader_traffic.add(ask.encoded_len());
            let delay = self.delay(true);
            self.post(
                delay,
                ModelMessage::LeaderAsk {
                    leader,
                    parent: index,
                    ask,
                },
            );
        }
    }

    /// Returns the largest ratio of the requests in a window that begins at `from` or later to the
    /// limit, over all accounts.
    pub(super) fn worst_ratio(&self, from: Timestamp) -> f64 {
        let ratios = self.accounts.iter().map(|account| {
            let limit = self.settings.limit(&account.quota);
            let admitted = &account.admitted;
            let mut first = admitted.partition_point(|at| *at < from);
            let mut most = 0;
            for (last, at) in admitted.iter().enumerate().skip(first) {
                while at.since(admitted[first]) > self.settings.window {
                    first += 1;
                }
                most = most.max(last + 1 - first);
            }
            most as f64 / limit as f64
        });
        ratios.fold(0.0, f64::max)
    }

    /// Returns the share of refused requests of the accounts.
    pub(super) fn refused_share(&self, accounts: impl Iterator<Item = usize>) -> f64 {
        let counts =
            accounts.map(|index| (self.accounts[index].refused, self.accounts[index].offered));
        let (refused, offered) =
            counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        refused as f64 / offered.max(1) as f64
    }

    /// Forgets the counts of requests and messages.
    pub(super) fn reset_counts(&mut self) {
        self.node_traffic = TrafficTotal::default();
        self.leader_traffic = TrafficTotal::default();
        for account in &mut self.accounts {
            account.offered = 0;
            account.refused = 0;
        }
    }
}

impl TrafficTotal {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}
