//! The actor that owns the components of the process.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::MAX_CONTROL_FRAME_BYTES;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, fwd_to};
use stakker_mio::MioPoll;

use super::children::UplinkState;
use super::clock::{ProcessClock, random_seed, wall_clock_ms};
use super::http::{OPERATOR_LIMITS, OperatorWorkers, WorkerResult};
use super::links::LinkRole;
use super::metrics::ControlMetrics;
use super::operator::{OperatorAdapter, WaitingRead};
use super::peers::PeerLinks;
use super::process::ControlError;
use super::quota::QuotaState;
use super::relay::LeaderView;
use super::requests::RequestTable;
use super::settings::{ControlSettings, RoleSettings};
use super::stop::StopState;
use super::submission_log::SubmissionLog;
use super::voter::VoterState;
use crate::agreement::{self, AgreementEvent};
use crate::catalog::Catalog;
use crate::core::{GroupId, Timestamp};
use crate::distribution::{self, ChildEvent, ParentEvent, ParentState};
use crate::http::{HttpLimits, HttpReady, HttpTable};
use crate::memory::MemoryRelease;
use crate::submission::SubmissionTable;
use crate::transport::{LinkId, LinkReady, LinkTable};

/// Interval between ticks of the actor, in milliseconds.
const TICK_MS: u64 = agreement::TICK_INTERVAL_MS;
/// Number of ticks of the actor per tick of the configuration stream.
const TICKS_PER_STREAM_TICK: u64 = distribution::TICK_INTERVAL.as_millis() as u64 / TICK_MS;
/// Number of ticks of the actor per check of the links.
const TICKS_PER_LINK_CHECK: u64 = 5;

/// Number of ticks of the actor per search for expired upstreams. The search scans the whole
/// catalog.
const TICKS_PER_EXPIRY_CHECK: u64 = 1_000 / TICK_MS;

/// Pause between turns of operators' connections, in which other events are handled.
const TURN_DELAY: Duration = Duration::from_millis(1);
/// Number of ticks of the actor per decision on the running rollouts.
const TICKS_PER_ROLLOUT_STEP: u64 = 200 / TICK_MS;

/// An event for one of the components that waits to be handled.
#[derive(Debug)]
pub(super) enum QueuedEvent {
    Agreement(AgreementEvent),
    Parent(ParentEvent),
    Child(ChildEvent),
}

/// Parts from which the actor is built.
pub(super) struct ActorParts {
    pub(super) settings: Arc<ControlSettings>,
    pub(super) clock: ProcessClock,
    pub(super) voter: Option<VoterState>,
    pub(super) metrics: Arc<ControlMetrics>,
    pub(super) adapter: OperatorAdapter,
}

/// Actor that owns all components of a control instance.
pub(super) struct ControlActor {
    pub(super) settings: Arc<ControlSettings>,
    pub(super) clock: ProcessClock,
    pub(super) links: LinkTable,
    /// Role of each open link.
    pub(super) link_roles: IndexMap<LinkId, LinkRole>,
    pub(super) peers: PeerLinks,
    /// Present on a voter.
    pub(super) voter: Option<VoterState>,
    /// Present on a replica.
    pub(super) uplink: Option<UplinkState>,
    pub(super) catalog: Catalog,
    /// Whether an entry or update was applied that the parent state does not know of yet.
    pub(super) has_catalog_changed: bool,
    pub(super) parent: ParentState,
    /// Links of children to which a snapshot chunk was sent and the next one not yet requested.
    pub(super) transfers: IndexSet<LinkId>,
    pub(super) leader_view: LeaderView,
    pub(super) quota: QuotaState,
    /// Whether the leader of an open group has been silent for so long that the children are
    /// redirected.
    pub(super) is_leader_silent: bool,
    pub(super) http: HttpTable<()>,
    /// Whether a timer runs for the connections that wait for their turn.
    has_turn_timer: bool,
    memory_release: MemoryRelease,
    /// Address at which operators are served.
    pub(super) http_address: SocketAddr,
    pub(super) workers: OperatorWorkers,
    /// Keeps the channel open on which the workers send their results.
    _results_guard: ChannelGuard,
    pub(super) requests: RequestTable,
    pub(super) submissions: SubmissionTable,
    pub(super) submission_log: SubmissionLog,
    /// Reads that wait until this instance has applied the index that makes them current.
    pub(super) waiting_reads: Vec<WaitingRead>,
    pub(super) random: SmallRng,
    pub(super) metrics: Arc<ControlMetrics>,
    pub(super) queue: VecDeque<QueuedEvent>,
    pub(super) stop: Option<StopState>,
    failure: Option<ControlError>,
    ticks: u64,
}

impl ControlActor {
    /// Creates the actor, binds its listener and starts its timer.
    pub(super) fn init(cx: CX![], parts: ActorParts) -> Option<Self> {
        let ActorParts {
            settings,
            clock,
            voter,
            metrics,
            adapter,
        } = parts;
        let poll: MioPoll = cx.anymap_get();
        let ready = fwd_to!([cx], on_ready() as (LinkReady));
        let mut links = LinkTable::new(poll.clone(), ready, metrics.traffic.clone());
        links.set_max_frame_bytes(MAX_CONTROL_FRAME_BYTES);
        let budget = metrics.budget.clone();
        links.set_memory(budget.clone(), settings.limits.descriptors);
        if let Err(source) = links.listen(settings.listen) {
            let address = settings.listen;
            cx.fail(ControlError::Listen { address, source });
            return None;
        }
        let ready = fwd_to!([cx], on_http_ready() as (HttpReady));
        let longest_body = metrics.budget.longest_body() as u64;
        let limits = HttpLimits {
            body_bytes: OPERATOR_LIMITS.body_bytes.min(longest_body),
            ..OPERATOR_LIMITS
        };
        let mut http = HttpTable::new(poll, ready, limits);
        http.set_memory(budget, settings.limits.descriptors);
        http.set_counters(metrics.refusals.clone());
        let http_address = match http.listen(settings.http, ()) {
            Ok(address) => address,
            Err(source) => {
                let address = settings.http;
                cx.fail(ControlError::Listen { address, source });
                return None;
            }
        };
        let forward = fwd_to!([cx], on_worker() as (WorkerResult));
        let (results, results_guard) = Channel::new(cx, forward);
        let workers = match OperatorWorkers::start(adapter, &metrics, &results) {
            Ok(workers) => workers,
            Err(source) => {
                cx.fail(ControlError::Thread(source));
                return None;
            }
        };
        let name = settings.name.clone();
        let (peers, uplink) = match &settings.role {
            RoleSettings::Voter { voters, .. } => {
                let others = voters.iter().filter(|(voter, _)| **voter != name);
                let others = others.map(|(voter, address)| (voter.clone(), *address));
                (PeerLinks::new(others), None)
            }
            // The links are created later from the known members; see `update_group_links`.
            RoleSettings::Member { .. } => (PeerLinks::default(), None),
            RoleSettings::Replica { parents } => {
                let uplink = UplinkState::new(&settings, parents.clone());
                (PeerLinks::default(), Some(uplink))
            }
        };
        let quota = QuotaState::new(clock.now(), &settings, voter.as_ref(), random_seed());
        let actor = ControlActor {
            parent: ParentState::new(name, GroupId(0), wall_clock_ms()),
            settings,
            clock,
            links,
            link_roles: IndexMap::new(),
            peers,
            voter,
            uplink,
            catalog: Catalog::new(),
            has_catalog_changed: false,
            transfers: IndexSet::new(),
            leader_view: LeaderView::default(),
            quota,
            is_leader_silent: false,
            http,
            has_turn_timer: false,
            memory_release: MemoryRelease::default(),
            http_address,
            workers,
            _results_guard: results_guard,
            requests: RequestTable::default(),
            submissions: SubmissionTable::default(),
            submission_log: SubmissionLog::default(),
            waiting_reads: Vec::new(),
            random: SmallRng::seed_from_u64(random_seed()),
            metrics,
            queue: VecDeque::new(),
            stop: None,
            failure: None,
            ticks: 0,
        };
        actor.schedule_tick(cx);
        Some(actor)
    }

    fn schedule_tick(&self, cx: CX![]) {
        after!(Duration::from_millis(TICK_MS), [cx], on_tick());
    }

    fn on_ready(&mut self, cx: CX![], ready: LinkReady) {
        let now = self.clock.now();
        self.links.handle_ready(now, ready);
        self.finish_turn(cx, now);
    }

    fn on_http_ready(&mut self, cx: CX![], ready: HttpReady) {
        let now = self.clock.now();
        self.http.handle_ready(now, ready);
        self.finish_turn(cx, now);
    }

    fn on_tick(&mut self, cx: CX![]) {
        self.schedule_tick(cx);
        let now = self.clock.now();
        self.ticks += 1;
        self.reopen_journal(now);
        self.update_group_links(now);
        self.connect_peers(now);
        if self.voter.is_some() {
            self.queue
                .push_back(QueuedEvent::Agreement(AgreementEvent::Tick));
        }
        if self.ticks.is_multiple_of(TICKS_PER_STREAM_TICK) {
            self.queue.push_back(QueuedEvent::Parent(ParentEvent::Tick));
            if self.uplink.is_some() {
                self.queue.push_back(QueuedEvent::Child(ChildEvent::Tick));
            }
            self.update_metrics(now);
        }
        if self.ticks.is_multiple_of(TICKS_PER_LINK_CHECK) {
            self.links.handle_tick(now);
            self.http.handle_tick(now);
            self.memory_release.poll(&self.metrics.budget);
            self.close_unknown_links(now);
        }
        if self.ticks.is_multiple_of(TICKS_PER_EXPIRY_CHECK) {
            self.expire_upstreams(now);
            self.expire_quarantine(now);
        }
        self.tick_quotas(now);
        if self.ticks.is_multiple_of(TICKS_PER_ROLLOUT_STEP) {
            self.direct_rollouts(now);
        }
        self.expire_requests(now);
        self.expire_reads(now);
        self.finish_turn(cx, now);
        if self.has_stopped(now) {
            cx.stop();
        }
    }

    /// Handles the result of a thread that translates requests and responses of operators.
    pub(super) fn on_worker(&mut self, cx: CX![], result: WorkerResult) {
        let now = self.clock.now();
        self.handle_worker_result(now, result);
        self.finish_turn(cx, now);
    }

    /// Reads from operators' connections whose turn it is.
    fn on_http_turn(&mut self, cx: CX![]) {
        let now = self.clock.now();
        self.has_turn_timer = false;
        self.http.take_turns(now);
        self.finish_turn(cx, now);
    }

    /// Handles the first stop signal.
    pub(super) fn on_stop(&mut self, cx: CX![], _: ()) {
        let now = self.clock.now();
        self.begin_stop(now);
        self.finish_turn(cx, now);
    }

    /// Ends the process with this error after the current turn.
    pub(super) fn fail(&mut self, error: ControlError) {
        self.failure.get_or_insert(error);
    }

    /// Handles everything that follows from the event of the current turn.
    fn finish_turn(&mut self, cx: CX![], now: Timestamp) {
        loop {
            if let Some(event) = self.queue.pop_front() {
                match event {
                    QueuedEvent::Agreement(event) => self.handle_agreement(now, event),
                    QueuedEvent::Parent(event) => self.handle_parent(now, event),
                    QueuedEvent::Child(event) => self.handle_child(now, event),
                }
            } else if let Some(event) = self.links.next_event() {
                self.handle_link_event(now, event);
            } else if let Some(event) = self.http.next_event() {
                self.handle_http_event(now, event);
            } else if std::mem::take(&mut self.has_catalog_changed) {
                self.refresh_quotas();
                self.answer_applied_reads(now);
                self.handle_applied_submissions(now);
                // Sent once for all entries of the turn, so that the children get one delta.
                self.queue
                    .push_back(QueuedEvent::Parent(ParentEvent::CatalogAdvanced));
            } else if !self.http.serve_waiting(now)
                && !self.continue_transfers()
                && !self.send_quota_ask(now)
            {
                break;
            }
        }
        self.http.drop_closed(now);
        if self.http.has_backlog() && !self.has_turn_timer {
            self.has_turn_timer = true;
            after!(TURN_DELAY, [cx], on_http_turn());
        }
        if let Some(error) = self.failure.take() {
            cx.fail(error);
        }
    }
}
