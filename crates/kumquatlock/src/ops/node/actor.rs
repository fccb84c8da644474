//! The actor that owns the components of a node.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::MAX_NODE_FRAME_BYTES;
use kumquatlock_wire::distribution::ChildRole;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stakker::{CX, fwd_to};
use stakker_mio::MioPoll;

use super::acknowledge::WaitingEnds;
use super::local::{NodeAdapter, NodePort};
use super::metrics::AnswerCounters;
use super::peers::{DepartedNodes, PeerLinks, UnreachableNodes};
use super::steps::NodeStep;
use super::stop::NodeStop;
use super::{NodeError, NodeSettings, claim_settings};
use crate::account::KeyLease;
use crate::admission::AdmissionLimits;
use crate::call::{CallId, DestinationCalls, EntryCalls, EntrySettings, RunId, UpstreamEndpoint};
use crate::claim::ClaimHolder;
use crate::core::{ConfigSnapshot, GroupId, IncarnationId, ProcessId, SharedName, Timestamp};
use crate::distribution::{self, ChildEvent, ChildIdentity, ChildState};
use crate::http::{
    ExchangeReady, ExchangeTable, HttpLimits, HttpReady, HttpTable, MAX_BODY_BYTES,
    MAX_CALL_BODY_BYTES, RefusalCounters, RequestId,
};
use crate::membership::{AnnouncerEvent, NodeLocation, UpstreamAnnouncer};
use crate::memory::{MemoryBudget, MemoryRelease};
use crate::quarantine::CrashReporter;
use crate::routing::EntryLocation;
use crate::transport::{LinkError, LinkEvent, LinkId, LinkReady, LinkTable, TrafficCounters};
use crate::util::boot_clock::BootClock;
use kumquatlock_wire::claim::ShardHolder;

/// Interval between ticks of the components that are driven by a regular tick.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the claim holder looks for expired records and unanswered fetches.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// A longer gap between two turns means that the process was suspended. The deadlines of messages
/// that waited during the gap cannot be trusted.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time after a freeze in which calls are refused. Messages that waited on links not yet accepted,
/// or that did not fit into the socket buffers, are read only in later iterations of the event
/// loop.
const FREEZE_GRACE_PERIOD: Duration = Duration::from_millis(100);
/// Limits on requests of callers until a manifest sets others.
const DEFAULT_HTTP_LIMITS: HttpLimits = HttpLimits {
    header_bytes: 16 * 1024,
    body_bytes: MAX_BODY_BYTES as u64,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(60),
};

/// Purpose of an HTTP exchange with the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunTag {
    /// Runs a request.
    Run(RunId),
    /// Cancels a request. The answer to the cancellation is ignored, because the cancelled request
    /// ends with an answer of its own.
    Cancel,
}

/// Parts from which the actor is built.
pub(super) struct ActorParts {
    pub(super) settings: NodeSettings,
    pub(super) adapter: NodeAdapter,
    pub(super) incarnation: IncarnationId,
    pub(super) process: ProcessId,
    pub(super) clock: BootClock,
    pub(super) poll: MioPoll,
    pub(super) counters: Arc<TrafficCounters>,
    /// Time at which the event loop calls [`NodeActor::handle_tick`].
    pub(super) wakeup: Rc<Cell<Timestamp>>,
    /// Set to end the event loop.
    pub(super) finished: Rc<Cell<bool>>,
}

/// Actor that owns all components of one node.
pub(super) struct NodeActor {
    pub(super) settings: NodeSettings,
    pub(super) adapter: NodeAdapter,
    clock: BootClock,
    /// Accepted HTTP connections: of callers, the local upstream, readiness probes and metrics
    /// scrapers.
    pub(super) http: HttpTable<NodePort>,
    /// Maximum size of a request body that the node forwards.
    pub(super) body_bytes: u64,
    /// HTTP exchanges with the upstream.
    pub(super) exchanges: ExchangeTable<RunTag>,
    /// Bytes held for callers, the upstream and other nodes.
    pub(super) budget: MemoryBudget,
    pub(super) refusals: Arc<RefusalCounters>,
    memory_release: MemoryRelease,
    pub(super) links: LinkTable,
    pub(super) peers: PeerLinks,
    pub(super) departed: DepartedNodes,
    pub(super) unreachable: UnreachableNodes,
    /// Nodes that are unreachable or whose links are silent.
    silent_peers: Vec<SharedName>,
    /// Configuration that all components have applied.
    pub(super) applied: Option<Arc<ConfigSnapshot>>,
    pub(super) child: ChildState,
    /// Transport links to the parent and to a parent being probed, by the link ids of the child. At
    /// most two.
    pub(super) parent_links: IndexMap<distribution::LinkId, LinkId>,
    /// Link on which the parent has accepted the child.
    pub(super) attached_link: Option<distribution::LinkId>,
    /// When the node last lost its parent, or started.
    pub(super) detached_at: Timestamp,
    pub(super) announcer: UpstreamAnnouncer,
    pub(super) waiting_ends: WaitingEnds,
    pub(super) entry: EntryCalls,
    pub(super) destination: DestinationCalls,
    pub(super) holder: ClaimHolder,
    pub(super) crash_reporter: CrashReporter,
    /// Incarnation of the upstream. The claim holder and the destination use the same one.
    pub(super) incarnation: IncarnationId,
    pub(super) answers: AnswerCounters,
    /// HTTP request of each call whose caller waits for the answer.
    pub(super) waiting_requests: IndexMap<CallId, RequestId>,
    pub(super) disconnected_callers: u64,
    pub(super) counters: Arc<TrafficCounters>,
    pub(super) random: SmallRng,
    /// Steps that follow from the current event.
    pub(super) steps: VecDeque<NodeStep>,
    pub(super) stopping: bool,
    /// Whether the process was suspended before this turn or shortly before. Cleared at the end of
    /// an iteration of the event loop once [`FREEZE_GRACE_PERIOD`] has passed. One turn reads only
    /// one link, so later turns may still read messages that waited during the suspension.
    pub(super) frozen: bool,
    frozen_until: Timestamp,
    pub(super) freezes: u64,
    last_turn: Timestamp,
    next_tick: Timestamp,
    wakeup: Rc<Cell<Timestamp>>,
    finished: Rc<Cell<bool>>,
    next_claim_tick: Timestamp,
    /// Whether the last log line about the lease on API keys says that it has lapsed.
    pub(super) is_lease_lapsed: bool,
    pub(super) stop: Option<NodeStop>,
    failure: Option<NodeError>,
}

impl NodeActor {
    pub(super) fn init(cx: CX![], parts: ActorParts) -> Option<Self> {
        let settings = parts.settings;
        let seed = parts.incarnation.0 ^ crate::core::stable_hash(settings.name.as_bytes());
        let tuning = &settings.tuning;
        let ready = fwd_to!([cx], handle_link_ready() as (LinkReady));
        let mut links = LinkTable::new(parts.poll.clone(), ready, parts.counters.clone());
        links.set_timing(tuning.links);
        let budget = MemoryBudget::new(settings.limits);
        links.set_memory(budget.clone(), settings.limits.descriptors);
        links.set_max_frame_bytes(MAX_NODE_FRAME_BYTES);
        let longest_body = budget.longest_body().min(MAX_CALL_BODY_BYTES);
        let ready = fwd_to!([cx], handle_http_ready() as (HttpReady));
        let mut http = HttpTable::new(parts.poll.clone(), ready, DEFAULT_HTTP_LIMITS);
        http.set_memory(budget.clone(), settings.limits.descriptors);
        let refusals = Arc::new(RefusalCounters::default());
        http.set_counters(refusals.clone());
        let ready = fwd_to!([cx], handle_exchange_ready() as (ExchangeReady));
        let mut exchanges = ExchangeTable::new(parts.poll, ready);
        exchanges.set_memory(budget.clone());
        let location = EntryLocation {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let identity = ChildIdentity {
            name: settings.name.clone(),
            incarnation: parts.incarnation,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            role: ChildRole::Node,
        };
        let node_location = NodeLocation {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            address: settings.advertise,
        };
        let announcer = UpstreamAnnouncer::new(node_location, parts.incarnation.0);
        let now = Timestamp::default();
        let random = SmallRng::seed_from_u64(seed);
        let claims = claim_settings(&settings);
        let mut entry = EntrySettings::new(settings.http_workers / 2);
        entry.hedging_enabled = !tuning.without_hedges;
        entry.budget = tuning.budget;
        entry.scope = tuning.scope;
        entry.spill = tuning.spill;
        entry.infers_nested_calls = parts.adapter.names.depth.is_none();
        entry.longest_timeout = settings.longest_timeout;
        entry.origin = tuning.origin.clone();
        entry.revocation_limit = tuning.revocation_limit;
        entry.quota = tuning.quota;
        entry.api_key = parts.adapter.names.api_key;
        entry.search_limit = tuning.search_limit.unwrap_or(entry.search_limit);
        entry.upstream_wait = tuning.upstream_wait.unwrap_or(entry.upstream_wait);
        let mut child = ChildState::new(identity, GroupId::default(), settings.parents.clone());
        child.set_timing(tuning.stream);
        child.set_proof_interval(KeyLease::renewal_interval(tuning.revocation_limit));
        if tuning.shuffles_parents {
            child.shuffle_parents();
        }
        let mut destination =
            DestinationCalls::new(settings.name.clone(), parts.incarnation, claims);
        destination.set_process(parts.process);
        destination.set_header_names(parts.adapter.names);
        destination.set_refusal_time(tuning.refusal_time);
        if let Some(leave_time) = tuning.leave_time {
            destination.set_leave_time(leave_time);
        }
        if tuning.detects_stalls {
            destination.detect_stalls();
        }
        if tuning.without_claims {
            destination.accept_earlier_incarnations();
        }
        Some(NodeActor {
            child,
            parent_links: IndexMap::new(),
            attached_link: None,
            detached_at: now,
            announcer,
            waiting_ends: WaitingEnds::default(),
            entry: EntryCalls::new(location, parts.process, entry, random.clone()),
            destination,
            adapter: parts.adapter,
            http,
            body_bytes: longest_body as u64,
            exchanges,
            budget,
            refusals,
            memory_release: MemoryRelease::default(),
            holder: new_holder(&settings, parts.incarnation),
            crash_reporter: CrashReporter::default(),
            incarnation: parts.incarnation,
            answers: AnswerCounters::default(),
            waiting_requests: IndexMap::new(),
            disconnected_callers: 0,
            counters: parts.counters,
            random,
            steps: VecDeque::new(),
            stopping: false,
            frozen: false,
            frozen_until: now,
            freezes: 0,
            last_turn: now,
            next_tick: now,
            wakeup: parts.wakeup,
            finished: parts.finished,
            next_claim_tick: now,
            is_lease_lapsed: settings.tuning.revocation_limit.is_some(),
            stop: None,
            failure: None,
            settings,
            clock: parts.clock,
            links,
            peers: PeerLinks::default(),
            departed: DepartedNodes::default(),
            unreachable: UnreachableNodes::default(),
            silent_peers: Vec::new(),
            applied: None,
        })
    }

    /// Applies changed settings.
    pub(super) fn reload(&mut self, _cx: CX![], changed: NodeSettings) {
        self.apply_settings(changed);
    }

    /// Ends an iteration of the event loop. After a freeze, the deadlines of messages read from now
    /// on are trusted again once the grace period has passed.
    pub(super) fn end_iteration(&mut self, _cx: CX![]) {
        self.frozen = self.frozen && self.now() < self.frozen_until;
    }

    /// Binds the listening sockets.
    pub(super) fn bind(&mut self, _cx: CX![]) {
        let address = self.settings.listen;
        if let Err(error) = self.links.listen(address) {
            return self.fail(NodeError::Listen { address, error });
        }
        let listeners = [
            (Some(self.settings.http), NodePort::Callers),
            (Some(self.settings.upstream_http), NodePort::Upstream),
            (self.settings.ready_http, NodePort::Readiness),
            (self.settings.metrics_http, NodePort::Metrics),
        ];
        for (address, port) in listeners {
            if let Some(address) = address
                && let Err(error) = self.http.listen(address, port)
            {
                return self.fail(NodeError::Listen { address, error });
            }
        }
    }

    fn fail(&mut self, error: NodeError) {
        self.failure = Some(error);
        self.finished.set(true);
    }

    /// Ends the event loop of the process.
    pub(super) fn finish_loop(&self) {
        self.finished.set(true);
    }

    /// Takes the error that ended the node, if any.
    pub(super) fn take_failure(&mut self) -> Option<NodeError> {
        self.failure.take()
    }

    /// Returns the time since the start of the process, including suspensions of the machine.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(super) fn handle_http_ready(&mut self, _cx: CX![], ready: HttpReady) {
        let now = self.begin_turn();
        self.http.handle_ready(now, ready);
        self.end_turn(now);
    }

    pub(super) fn handle_exchange_ready(&mut self, _cx: CX![], ready: ExchangeReady) {
        let now = self.begin_turn();
        self.exchanges.handle_ready(now, ready);
        self.end_turn(now);
    }

    pub(super) fn handle_link_ready(&mut self, _cx: CX![], ready: LinkReady) {
        let now = self.begin_turn();
        self.links.handle_ready(now, ready);
        self.end_turn(now);
    }

    pub(super) fn handle_tick(&mut self, _cx: CX![]) {
        let now = self.begin_turn();
        let steps = self.entry.on_tick(now);
        self.queue_entry(steps);
        let steps = self.destination.on_tick(now);
        self.queue_destination(steps);
        self.exchanges.handle_tick(now);
        self.http.take_turns(now);
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.tick_components(now);
        }
        self.end_turn(now);
    }

    fn tick_components(&mut self, now: Timestamp) {
        self.links.handle_tick(now);
        self.http.handle_tick(now);
        self.memory_release.poll(&self.budget);
        self.monitor_peers(now);
        self.confirm_lease();
        self.watch_lease(now);
        let steps = self.child.handle(now, ChildEvent::Tick, &mut self.random);
        self.queue_child(steps);
        let steps = self.announcer.handle(now, AnnouncerEvent::Tick);
        self.queue_announcer(steps);
        self.answer_ends(now);
        self.send_crash_reports(now);
        self.send_evidence(now);
        if now >= self.next_claim_tick && !self.settings.tuning.without_claims {
            self.next_claim_tick = now + CLAIM_TICK_INTERVAL;
            self.confirm_claim_config();
            let messages = self.holder.on_tick(now);
            self.queue_claims(messages);
        }
        let entry = &self.entry;
        for link in self.peers.idle_links(now, |peer| entry.awaits(peer)) {
            self.links.close(link);
        }
        self.advance_stop(now);
    }

    /// Monitors the links to nodes from which a call awaits an answer, so that the transport closes
    /// a link that stays silent. Also reconnects to unreachable nodes and tells the entry which
    /// nodes are silent.
    fn monitor_peers(&mut self, now: Timestamp) {
        if !self.settings.tuning.links.watch_only_pending_links {
            return;
        }
        for name in self.unreachable.take_due(now) {
            let upstream = self
                .child
                .applied_config()
                .and_then(|config| config.upstreams.get(&name));
            match upstream.map(|upstream| self.peer_node(upstream)) {
                Some(peer) => self.peers.ensure_open(now, &mut self.links, &peer),
                None => self.unreachable.remove(&name),
            }
        }
        let mut silent: Vec<SharedName> = self.unreachable.names().cloned().collect();
        for (link, peer) in self.peers.iter() {
            self.links.watch(now, link, self.entry.awaits(peer));
            if self.links.is_suspect(now, link) && !silent.contains(peer) {
                silent.push(peer.clone());
            }
        }
        if silent != self.silent_peers {
            self.entry.set_silent_nodes(&silent);
            for peer in &silent {
                if !self.silent_peers.contains(peer) {
                    log::info!(peer = &**peer; "peer_silent");
                    let steps = self.entry.on_peer_silent(now, peer);
                    self.steps.extend(steps.into_iter().map(NodeStep::Entry));
                }
            }
            self.silent_peers = silent;
        }
    }

    /// Begins a graceful stop; the event loop ends when everything in progress has ended.
    pub(super) fn begin_stop(&mut self, _cx: CX![]) {
        let now = self.begin_turn();
        self.start_stop(now);
        self.end_turn(now);
    }

    /// Passes the address and the limits of the upstream to the destination.
    pub(super) fn refresh_endpoint(&mut self, now: Timestamp) {
        let Some(announcement) = self.announcer.announcement() else {
            return;
        };
        let pool = u32::try_from(self.settings.upstream_connections).unwrap_or(u32::MAX);
        let limits = AdmissionLimits {
            slots: announcement.slots,
            connections: announcement.connections.min(pool),
        };
        let endpoint = UpstreamEndpoint {
            address: announcement.address,
            instance: announcement.instance.clone(),
            run_started_ms: announcement.run_started_ms,
            service: announcement.service.clone(),
            limits,
        };
        let steps = self.destination.on_announce(now, endpoint);
        self.queue_destination(steps);
    }

    fn begin_turn(&mut self) -> Timestamp {
        let now = self.now();
        let gap = now.since(self.last_turn);
        if gap > FREEZE_THRESHOLD {
            self.frozen = true;
            self.frozen_until = now + FREEZE_GRACE_PERIOD;
            self.freezes += 1;
            log::warn!(gap_ms = gap.as_millis() as u64; "process_was_stopped");
        }
        now
    }

    /// Executes everything that follows from the event and schedules the next wakeup.
    ///
    /// A request and the end of its connection may be read together and queued as two HTTP events.
    /// The steps of the request are therefore executed before the next HTTP event is handled.
    fn end_turn(&mut self, now: Timestamp) {
        loop {
            if let Some(event) = self.links.next_event() {
                self.handle_link_event(now, event);
            } else if let Some(step) = self.steps.pop_front() {
                self.execute(now, step);
            } else if let Some(event) = self.http.next_event() {
                self.handle_http_event(now, event);
            } else if let Some(result) = self.exchanges.next_event() {
                self.handle_exchange_result(now, result);
            } else if let Some(ask) = self.entry.poll_quota(now) {
                self.send_quota_ask(now, ask);
            } else if !self.http.serve_waiting(now) {
                break;
            }
        }
        self.http.drop_closed(now);
        self.last_turn = now;
        let mut wakeup = self.next_tick.min(self.destination.next_wakeup(now));
        if let Some(at) = self.entry.next_wakeup() {
            wakeup = wakeup.min(at);
        }
        if let Some(at) = self.exchanges.next_wakeup() {
            wakeup = wakeup.min(at);
        }
        if self.http.has_backlog() {
            wakeup = now;
        }
        self.wakeup.set(wakeup);
    }

    fn handle_link_event(&mut self, now: Timestamp, event: LinkEvent) {
        match event {
            LinkEvent::Accepted(..) => {}
            LinkEvent::Connected(link) => {
                if let Some(peer) = self.peers.name(link) {
                    self.unreachable.remove(&peer);
                }
                if let Some(link) = self.parent_link_id(link) {
                    let event = ChildEvent::Connected { link };
                    let steps = self.child.handle(now, event, &mut self.random);
                    self.queue_child(steps);
                }
            }
            LinkEvent::Received(link, body) => match self.parent_link_id(link) {
                Some(link) => {
                    let event = ChildEvent::Received { link, body };
                    let steps = self.child.handle(now, event, &mut self.random);
                    self.queue_child(steps);
                }
                None => self.handle_peer_message(now, link, body),
            },
            LinkEvent::Closed {
                link,
                error,
                unsent,
            } => {
                log::debug!(link = link.0, error:% = error; "link_closed");
                let is_lost = !matches!(error, LinkError::ClosedLocally);
                self.handle_closed(now, link, &unsent, is_lost);
            }
        }
    }

    fn handle_closed(&mut self, now: Timestamp, link: LinkId, unsent: &[u64], is_lost: bool) {
        for ticket in unsent {
            let steps = self.entry.on_unsent(now, *ticket);
            self.queue_entry(steps);
        }
        if let Some(link) = self.parent_link_id(link) {
            self.parent_links.swap_remove(&link);
            let event = ChildEvent::Disconnected { link };
            let steps = self.child.handle(now, event, &mut self.random);
            self.queue_child(steps);
            self.on_parent_link_closed(now, link);
        } else if let Some(peer) = self.peers.remove(link) {
            if is_lost && self.settings.tuning.links.suspect_after.is_some() {
                self.unreachable.insert(now, peer.clone());
            }
            let steps = self.entry.on_link_lost(now, &peer);
            self.queue_entry(steps);
        }
    }

    pub(super) fn on_parent_link_closed(&mut self, now: Timestamp, link: distribution::LinkId) {
        if self.attached_link == Some(link) {
            self.attached_link = None;
            self.detached_at = now;
            log::info!("parent_lost");
            self.notify_uplink_change(now, false);
        }
    }

    pub(super) fn notify_uplink_change(&mut self, now: Timestamp, is_attached: bool) {
        self.entry.set_quota_parent(is_attached);
        let steps = self
            .announcer
            .handle(now, AnnouncerEvent::UplinkChanged { is_attached });
        self.queue_announcer(steps);
    }

    fn parent_link_id(&self, link: LinkId) -> Option<distribution::LinkId> {
        let mut links = self.parent_links.iter();
        links
            .find(|(_, transport_link)| **transport_link == link)
            .map(|(child_link, _)| *child_link)
    }
}

pub(super) fn new_holder(settings: &NodeSettings, incarnation: IncarnationId) -> ClaimHolder {
    let shard_holder = ShardHolder {
        name: settings.name.to_string(),
        incarnation: incarnation.0,
    };
    ClaimHolder::new(shard_holder, claim_settings(settings))
}
