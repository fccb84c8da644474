//! Calls at their entry node, the node that received them from the caller.

mod admit;
mod attempt;
mod canary;
mod log;
mod message;
mod nested;
mod origin;
mod processes;
mod proof;
mod quarantine;
mod quota;
mod resolve;
mod return_delay;
mod settings;
mod state;
mod stop;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::call::{AttemptId, CallResponse, UpstreamNotice};
use kumquatlock_wire::claim::ClaimReply;
use rand::Rng;
use rand::rngs::SmallRng;
use strum::EnumCount;

use super::answer::CallerAnswer;
use super::destination::LocalRuns;
use super::request::CallerRequest;
use crate::account::{AccountResolver, KeyLease};
use crate::claim::PlacementTable;
use crate::core::{ConfigSnapshot, ProcessId, SharedName, Timestamp, UpstreamEntry};
use crate::quota::QuotaSpender;
use crate::retry::{
    BudgetSettings, ExtraCounters, HedgePolicy, RetryBudget, RetryPolicy, ReturnPacing,
};
use crate::rollout::CanaryShare;
use crate::routing::{BalancerSet, EntryLocation, RouteTable, SplitChooser, canary_order};
use crate::util::trace::{HopSpan, SeededIds};
use log::EntryLog;
pub use nested::NestedEnd;
use origin::RouteOrigins;
use processes::StatedProcesses;
pub use proof::AttemptProof;
use quota::QuotaStart;
pub use settings::EntrySettings;
use state::{CallPhase, EntryCall};

/// Maximum number of calls in progress. Above any reasonable number of concurrent requests that a
/// node is sized for.
const MAX_CALLS: usize = 4_096;

/// Identifies a call at its entry node. Never reused within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The node beside an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerNode {
    /// Name of the upstream.
    pub name: SharedName,
    /// Address of the node.
    pub address: std::net::SocketAddr,
    /// Whether the node is in another region.
    pub cross_region: bool,
}

/// An action that [`EntryCalls`] requests from its driver.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "sends and answers are about equally frequent"
)]
pub enum EntryStep {
    /// Send a message to a node.
    Send {
        /// Receiving node.
        to: PeerNode,
        /// Message to send.
        body: Body,
        /// Value to pass to [`EntryCalls::on_unsent`] if no byte of the message was written.
        ticket: Option<u64>,
    },
    /// Answer the caller. Requested exactly once per call, unless the call is cancelled.
    Answer {
        /// The call that has ended.
        call: CallId,
        /// Answer for the caller.
        answer: CallerAnswer,
        /// Time after which the caller should try again, if the call did not run.
        retry_after: Option<Duration>,
        /// Span of the call, if the caller sent a trace context.
        span: Option<HopSpan>,
        /// When the call arrived from the caller.
        opened_at: Timestamp,
        /// Present if a run of the upstream beside this node made the call.
        nested: Option<NestedEnd>,
    },
}

/// Counters of the calls that entered at this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounters {
    /// Calls received from callers.
    pub calls: u64,
    /// Attempts sent, including hedges.
    pub attempts: u64,
    /// Attempts sent to a version on trial.
    pub canary_attempts: u64,
    /// Second attempts for slow lookups.
    pub hedges: u64,
    /// Attempts sent after a failed one.
    pub retries: u64,
    /// Answers that match no outstanding attempt because they are late, duplicated, or from another
    /// incarnation or entry node.
    pub stray_answers: u64,
    /// Lost attempts whose outcome was queried over a new link.
    pub resolutions: u64,
    /// Keys that were fenced before a "not run" answer.
    pub fences: u64,
    /// Attempts that gave no answer for the caller, by the place of their proof in
    /// [`AttemptProof`].
    ended_by_proof: [u64; AttemptProof::COUNT],
}

impl EntryCounters {
    fn count_ended(&mut self, proof: AttemptProof) {
        self.ended_by_proof[proof as usize] += 1;
    }

    /// Returns the number of attempts that gave no answer for the caller, by the proof that they
    /// did not run.
    pub fn ended_attempts(&self, proof: AttemptProof) -> u64 {
        self.ended_by_proof[proof as usize]
    }
}

/// The calls that entered at this node.
pub struct EntryCalls {
    name: SharedName,
    /// Part of the ids of attempts, so that no later process of the node uses them again.
    process: ProcessId,
    region: SharedName,
    snapshot: Option<Arc<ConfigSnapshot>>,
    /// Derived from `snapshot`.
    routes: RouteTable,
    accounts: AccountResolver,
    quota: QuotaSpender,
    balancers: BalancerSet,
    canary_share: CanaryShare,
    placement: PlacementTable,
    settings: EntrySettings,
    /// Retry budget of each service that was called.
    budgets: IndexMap<SharedName, RetryBudget>,
    /// Routes that clients are known to use.
    origins: RouteOrigins,
    /// Counters of the budgets of services that the snapshot no longer contains.
    removed_extra: ExtraCounters,
    split_chooser: SplitChooser,
    policy: RetryPolicy,
    /// Share of refused calls of each service that was called.
    pacings: IndexMap<SharedName, ReturnPacing>,
    /// Hedge policy of each service that was called.
    hedge_policies: IndexMap<SharedName, HedgePolicy>,
    /// Latest notice of each upstream that states one, by upstream; only upstreams of the snapshot.
    notices: IndexMap<SharedName, UpstreamNotice>,
    stated_processes: StatedProcesses,
    calls: IndexMap<CallId, EntryCall>,
    /// Number of deferred calls in `calls`, at most `max_deferred_calls` of the settings.
    deferred_calls: usize,
    /// One timer per call, set to its `wake_at`.
    timers: BTreeSet<(Timestamp, CallId)>,
    next_call: u64,
    draining: bool,
    /// Until when answers of destination nodes can be passed on; set once the process stops.
    ends_at: Option<Timestamp>,
    random: SmallRng,
    ids: SeededIds,
    counters: EntryCounters,
    log: EntryLog,
}

impl EntryCalls {
    /// Creates the state of an entry node that has no configuration yet.
    pub fn new(
        location: EntryLocation,
        process: ProcessId,
        settings: EntrySettings,
        random: SmallRng,
    ) -> Self {
        EntryCalls {
            name: location.name.clone(),
            process,
            region: location.region.clone(),
            snapshot: None,
            routes: RouteTable::new(&ConfigSnapshot::default()),
            accounts: AccountResolver {
                lease: KeyLease::new(settings.revocation_limit),
            },
            quota: QuotaSpender::new(settings.quota, Timestamp::default(), process.0),
            balancers: BalancerSet::new(location, settings.spill),
            canary_share: CanaryShare::default(),
            placement: PlacementTable::default(),
            policy: RetryPolicy {
                scope: settings.scope,
            },
            budgets: IndexMap::new(),
            origins: RouteOrigins::new(settings.infers_nested_calls),
            settings,
            removed_extra: ExtraCounters::default(),
            split_chooser: SplitChooser::default(),
            pacings: IndexMap::new(),
            hedge_policies: IndexMap::new(),
            notices: IndexMap::new(),
            stated_processes: StatedProcesses::default(),
            calls: IndexMap::new(),
            deferred_calls: 0,
            timers: BTreeSet::new(),
            next_call: 1,
            draining: false,
            ends_at: None,
            ids: SeededIds::new(random.clone().random()),
            random,
            counters: EntryCounters::default(),
            log: EntryLog::default(),
        }
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> EntryCounters {
        self.counters
    }

    /// Returns the number of attempts by distance of the upstream.
    pub fn locality_counters(&self) -> crate::routing::LocalityCounters {
        self.balancers.counters()
    }

    /// Returns the number of calls in progress.
    pub fn in_progress(&self) -> usize {
        self.calls.len()
    }

    /// Starts a call for a caller's request, or answers the caller at once if the request is
    /// refused. `local_runs` is what the upstream beside this node runs, which may have made the
    /// request.
    pub fn open(
        &mut self,
        now: Timestamp,
        mut request: CallerRequest,
        local_runs: LocalRuns,
    ) -> (CallId, Vec<EntryStep>) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.counters.calls += 1;
        let mut steps = Vec::new();
        let received = request.trace.as_ref();
        let span = received.map(|received| HopSpan::child_of(received, &mut self.ids));
        let admitted = self.admit(now, &request);
        let admitted = admitted.and_then(|call| {
            let quota = self.spend_quota(now, id, &request, &call);
            quota.map(|quota| (call, quota))
        });
        match admitted {
            Ok((call, quota)) => {
                let service = self.split_chooser.choose(&call.route, &mut self.random);
                self.bind_account(&mut request, &call);
                let mut call = EntryCall::new(request, call, span, service, now);
                self.record_origin(&mut call, local_runs);
                self.deferred_calls += usize::from(call.is_deferred());
                self.timers.insert((call.wake_at, id));
                self.calls.insert(id, call);
                match quota {
                    QuotaStart::Send(token) => self.send_first(now, id, token, &mut steps),
                    QuotaStart::Wait(until) => self.wait_for_quota(now, id, until),
                }
            }
            Err(answer) => {
                self.log_refusal(now, &request, &answer);
                let left = request.timeout.unwrap_or(self.settings.longest_timeout);
                let retry_after = self.retry_after(now, &answer, None, left);
                steps.push(EntryStep::Answer {
                    call: id,
                    answer,
                    retry_after,
                    span,
                    opened_at: now,
                    nested: None,
                });
            }
        }
        (id, steps)
    }

    /// Returns the extra arrivals that calls of this node caused, by reason, and those that the budget
    /// refused.
    pub fn extra_counters(&self) -> ExtraCounters {
        let mut sum = self.removed_extra;
        for budget in self.budgets.values() {
            sum.add(&budget.counters());
        }
        sum
    }

    /// Handles the mark of a route that another node knows clients use; zero is none.
    pub fn adopt_client_route(&mut self, mark: u32) {
        self.origins.adopt(mark);
    }

    /// Whether the calls of runs that were extra arrivals have spent the budget of a service that
    /// the upstream beside this node calls.
    pub fn is_in_debt(&mut self, now: Timestamp) -> bool {
        self.budgets
            .values_mut()
            .any(|budget| budget.is_in_debt(now))
    }

    /// Replaces the limits on additional attempts.
    pub fn set_budget(&mut self, budget: BudgetSettings) {
        self.settings.budget = budget;
        let upstreams = self
            .snapshot
            .as_ref()
            .map(|snapshot| snapshot.upstreams.len());
        self.divide_budgets(upstreams.unwrap_or(usize::MAX));
    }

    /// Divides the budget that all nodes share by the number of nodes.
    fn divide_budgets(&mut self, nodes: usize) {
        self.settings.budget.set_node_count(nodes);
        for budget in self.budgets.values_mut() {
            budget.set_settings(self.settings.budget);
        }
    }

    /// Switches to a newer configuration.
    pub fn on_snapshot(&mut self, now: Timestamp, snapshot: Arc<ConfigSnapshot>) -> Vec<EntryStep> {
        self.routes = RouteTable::new(&snapshot);
        self.balancers.apply(&snapshot, now);
        self.canary_share.retain(|name| {
            let service = snapshot.services.get(name);
            service.is_some_and(|service| canary_order(service).is_some())
        });
        self.origins.apply(&snapshot);
        let removed_extra = &mut self.removed_extra;
        self.budgets.retain(|name, budget| {
            let is_kept = snapshot.services.contains_key(name);
            if !is_kept {
                removed_extra.add(&budget.counters());
            }
            is_kept
        });
        self.pacings
            .retain(|name, _| snapshot.services.contains_key(name));
        self.notices
            .retain(|name, _| snapshot.upstreams.contains_key(name));
        self.stated_processes.apply(&snapshot);
        self.divide_budgets(snapshot.upstreams.len());
        self.set_quotas(&snapshot);
        self.placement.update(snapshot.clone());
        self.snapshot = Some(snapshot);
        let mut steps = Vec::new();
        self.refresh_fences(now, &mut steps);
        let waiting = self.calls.iter();
        let waiting: Vec<CallId> = waiting
            .filter(|(_, call)| matches!(call.phase, CallPhase::WaitingUpstream { .. }))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.send_attempt(now, id, &mut steps);
        }
        steps
    }

    /// Handles an answer from a destination node.
    pub fn on_response(&mut self, now: Timestamp, response: CallResponse) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        if !self.is_own_attempt(&response.id) {
            self.counters.stray_answers += 1;
            return steps;
        }
        let id = CallId(response.id.call_id);
        if self.is_query(id, response.id.attempt) {
            self.finish_query(now, id, response, &mut steps);
        } else {
            self.finish_attempt(now, id, response, &mut steps);
        }
        steps
    }

    /// Handles a message, identified by its ticket, of which no byte was written.
    pub fn on_unsent(&mut self, now: Timestamp, ticket: u64) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        let (id, number) = split_ticket(ticket);
        if self.is_query(id, number) {
            self.retry_query(now, id);
        } else {
            self.fail_unsent(now, id, number, &mut steps);
        }
        steps
    }

    /// Handles the loss of the link to a node. Anything sent over it may or may not have arrived;
    /// messages that were not sent have already been reported to [`EntryCalls::on_unsent`].
    pub fn on_link_lost(&mut self, now: Timestamp, peer: &str) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        for id in self.calls.keys().copied().collect::<Vec<_>>() {
            self.on_peer_lost(now, id, peer, &mut steps);
        }
        steps
    }

    /// Handles a node that has stopped answering although its link is not closed. It may be slow
    /// rather than lost, so its attempts stay open. Repeatable calls get another attempt elsewhere
    /// if the budget allows it; the first answer counts.
    pub fn on_peer_silent(&mut self, now: Timestamp, peer: &str) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        let waiting = self
            .calls
            .iter()
            .filter(|(_, call)| call.route.class.is_repeatable() && call.awaits(peer));
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_beside_silent(now, id, &mut steps);
        }
        steps
    }

    /// Sets the nodes that are silent, so that new calls avoid them.
    pub fn set_silent_nodes(&mut self, peers: &[SharedName]) {
        self.balancers.set_silent_nodes(peers);
    }

    /// Handles a claim holder's reply to a fence request.
    pub fn on_claim_reply(
        &mut self,
        now: Timestamp,
        from: &str,
        reply: &ClaimReply,
    ) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        self.on_fence_reply(now, from, reply, &mut steps);
        steps
    }

    /// Ends a call whose caller has disconnected: cancels its attempts and sends no answer.
    pub fn cancel(&mut self, now: Timestamp, id: CallId) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        if let Some(mut call) = self.remove(id) {
            self.log_end(now, id, &call, None);
            if call.attempts_sent == 0 {
                self.refund_quota(now, id, &call);
            }
            self.cancel_attempts(now, id, &mut call, &mut steps);
        }
        steps
    }

    /// Returns when to call [`EntryCalls::on_tick`] if no event occurs earlier.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let quota = self.next_quota_ask();
        [timer, quota].into_iter().flatten().min()
    }

    /// Handles all timers that are due.
    pub fn on_tick(&mut self, now: Timestamp) -> Vec<EntryStep> {
        let mut steps = Vec::new();
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, id));
            self.on_timer(now, id, &mut steps);
            if self.calls.contains_key(&id) {
                self.reschedule(now, id);
            }
        }
        steps
    }

    /// Whether any call is waiting for an answer from `peer`, so that the link to that node must be
    /// monitored.
    pub fn awaits(&self, peer: &str) -> bool {
        self.calls.values().any(|call| call.awaits(peer))
    }

    fn is_own_attempt(&self, id: &AttemptId) -> bool {
        *id.entry == *self.name && id.entry_incarnation == self.process.0
    }

    fn attempt_id(&self, call: CallId, attempt: u32) -> AttemptId {
        AttemptId {
            entry: self.name.to_string(),
            entry_incarnation: self.process.0,
            call_id: call.0,
            attempt,
        }
    }

    fn peer(&self, upstream: &UpstreamEntry) -> PeerNode {
        PeerNode {
            name: upstream.name.clone(),
            address: upstream.address,
            cross_region: upstream.region != self.region,
        }
    }

    fn reschedule(&mut self, now: Timestamp, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let hedge = self.hedge_policies.get(&call.service);
        let hedge = hedge.filter(|_| self.settings.hedging_enabled);
        let wake_at = call.next_wakeup(now, hedge);
        self.timers.remove(&(call.wake_at, id));
        call.wake_at = wake_at;
        self.timers.insert((wake_at, id));
    }

    fn remove(&mut self, id: CallId) -> Option<EntryCall> {
        let call = self.calls.swap_remove(&id)?;
        self.timers.remove(&(call.wake_at, id));
        self.deferred_calls -= usize::from(call.is_deferred());
        Some(call)
    }

    fn answer(
        &mut self,
        now: Timestamp,
        id: CallId,
        answer: CallerAnswer,
        steps: &mut Vec<EntryStep>,
    ) {
        let Some(mut call) = self.remove(id) else {
            return;
        };
        self.log_end(now, id, &call, Some(&answer));
        if matches!(answer, CallerAnswer::NotRun(_)) {
            self.refund_quota(now, id, &call);
        }
        self.cancel_attempts(now, id, &mut call, steps);
        let pacing = self.pacings.entry(call.service.clone()).or_default();
        pacing.record(now, matches!(answer, CallerAnswer::NotRun(_)));
        let elapsed = now.since(call.opened_at);
        let timeout = call.request.timeout;
        let left = timeout.map(|timeout| timeout.saturating_sub(elapsed));
        let left = left.unwrap_or(call.deadline.since(now));
        let retry_after = self.retry_after(now, &answer, Some(&call.service), left);
        steps.push(EntryStep::Answer {
            nested: call.nested_end(&answer),
            call: id,
            answer,
            retry_after,
            span: call.span,
            opened_at: call.opened_at,
        });
    }
}

/// Returns the retry budget of a service and creates it on the service's first call.
fn budget_of<'a>(
    budgets: &'a mut IndexMap<SharedName, RetryBudget>,
    settings: &EntrySettings,
    now: Timestamp,
    service: &SharedName,
) -> &'a mut RetryBudget {
    let budget = budgets.entry(service.clone());
    budget.or_insert_with(|| RetryBudget::with_settings(settings.budget, now))
}

/// Number of low bits of a ticket that hold the attempt number.
const ATTEMPT_BITS: u32 = 16;

fn ticket_of(call: CallId, attempt: u32) -> u64 {
    (call.0 << ATTEMPT_BITS) | u64::from(attempt & ((1 << ATTEMPT_BITS) - 1))
}

fn split_ticket(ticket: u64) -> (CallId, u32) {
    let attempt = (ticket & ((1 << ATTEMPT_BITS) - 1)) as u32;
    (CallId(ticket >> ATTEMPT_BITS), attempt)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
