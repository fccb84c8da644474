//! The actor that owns the duties of a node.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use kumquatlock_wire::distribution::ChildRole;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stakker::sync::Channel;
use stakker::{CX, fwd_to};
use stakker_mio::MioPoll;

use super::metrics::AnswerCounters;
use super::peers::{DepartedNodes, PeerLinks};
use super::steps::NodeStep;
use super::upstream_api::{UpstreamRefusal, UpstreamRequest};
use super::{NodeError, NodeSettings, claim_settings};
use crate::admission::AdmissionLimits;
use crate::call::{CallId, CallerRequest, DestinationCalls, EntryCalls, RunId, UpstreamEndpoint};
use crate::claim::{ClaimHolder, HandoverStep};
use crate::core::{ConfigSnapshot, GroupId, IncarnationId, Timestamp};
use crate::distribution::{self, ChildEvent, ChildIdentity, ChildState};
use crate::http::{HttpResponse, ReplySlot, UpstreamPool, UpstreamResult};
use crate::membership::{
    AnnounceAnswer, AnnouncerEvent, AnnouncerStep, NodePlace, UpstreamAnnouncement,
    UpstreamAnnouncer,
};
use crate::routing::EntryLocation;
use crate::transport::{LinkEvent, LinkId, LinkReady, LinkTable, TrafficCounters};
use kumquatlock_wire::claim::ShardHolder;

/// Interval of the duties that count time in steps.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which the claim holder looks for expired records and unanswered fetches.
const CLAIM_TICK: Duration = Duration::from_millis(500);
/// Longest time that a leaving node waits for others to take over its claims. After a lost node
/// the others do without them as well.
const HANDOVER_LIMIT: Duration = Duration::from_secs(10);
/// A gap between two turns above this means that the process was stopped. Deadlines in messages
/// that waited meanwhile cannot be trusted.
const FREEZE_LIMIT: Duration = Duration::from_secs(2);
/// Time after a freeze in which calls are refused. What waited on links that were not accepted
/// yet, or beyond the socket buffers, is read only in later iterations of the loop.
const FREEZE_GRACE: Duration = Duration::from_millis(100);
/// Threads that carry cancellations to the upstream, so that these do not wait behind the
/// requests that they cancel.
const CANCEL_CONNECTIONS: usize = 2;

/// An event from another thread.
pub(super) enum NodeEvent {
    /// A caller's request.
    Caller(Box<CallerRequest>, ReplySlot),
    /// A request of the upstream.
    Upstream(UpstreamRequest, ReplySlot),
    /// A scrape.
    Metrics(ReplySlot),
    /// The upstream's answer to a run.
    Result(UpstreamResult<RunId>),
}

/// What the actor is made from.
pub(super) struct ActorParts {
    pub(super) settings: NodeSettings,
    pub(super) incarnation: IncarnationId,
    pub(super) started: Instant,
    pub(super) poll: MioPoll,
    pub(super) counters: Arc<TrafficCounters>,
    /// When the loop calls [`NodeActor::handle_tick`].
    pub(super) wakeup: Rc<Cell<Timestamp>>,
    /// Ends the loop.
    pub(super) finished: Rc<Cell<bool>>,
}

/// All duties of one node.
pub(super) struct NodeActor {
    pub(super) settings: NodeSettings,
    pub(super) started: Instant,
    pub(super) links: LinkTable,
    pub(super) peers: PeerLinks,
    pub(super) departed: DepartedNodes,
    /// Configuration that all duties have.
    pub(super) applied: Option<Arc<ConfigSnapshot>>,
    pub(super) child: ChildState,
    /// Links to the parent and to a probed one, by the child's own numbers. At most two.
    pub(super) parent_links: IndexMap<distribution::LinkId, LinkId>,
    /// Link on which the parent has welcomed the child.
    pub(super) attached_link: Option<distribution::LinkId>,
    pub(super) announcer: UpstreamAnnouncer,
    pub(super) entry: EntryCalls,
    pub(super) destination: DestinationCalls,
    pub(super) holder: ClaimHolder,
    /// Incarnation of the upstream; the holder and the destination have the same.
    pub(super) incarnation: IncarnationId,
    pub(super) answers: AnswerCounters,
    pub(super) replies: IndexMap<CallId, ReplySlot>,
    pub(super) runs: Option<UpstreamPool<RunId>>,
    pub(super) cancels: Option<UpstreamPool<()>>,
    pub(super) counters: Arc<TrafficCounters>,
    pub(super) random: SmallRng,
    /// Steps that follow from the event in progress.
    pub(super) steps: VecDeque<NodeStep>,
    pub(super) stopping: bool,
    /// Set when a long gap precedes a turn, until [`FREEZE_GRACE`] has passed and the iteration of
    /// the loop has ended: one turn reads only one link.
    pub(super) frozen: bool,
    frozen_until: Timestamp,
    pub(super) freezes: u64,
    last_turn: Timestamp,
    next_tick: Timestamp,
    wakeup: Rc<Cell<Timestamp>>,
    finished: Rc<Cell<bool>>,
    next_claim_tick: Timestamp,
    /// Connections that the upstream announced.
    connections: u32,
    /// When the node reported that its upstream leaves.
    leaving_since: Option<Timestamp>,
    failure: Option<NodeError>,
}

impl NodeActor {
    pub(super) fn init(cx: CX![], parts: ActorParts) -> Option<Self> {
        let settings = parts.settings;
        let seed = parts.incarnation.0 ^ crate::core::stable_hash(settings.name.as_bytes());
        let ready = fwd_to!([cx], handle_ready() as (LinkReady));
        let links = LinkTable::new(parts.poll, ready, parts.counters.clone());
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
        let place = NodePlace {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            address: settings.advertise,
        };
        let announcer = UpstreamAnnouncer::new(place, parts.incarnation.0);
        let now = Timestamp::default();
        let random = SmallRng::seed_from_u64(seed);
        let claims = claim_settings(&settings);
        Some(NodeActor {
            child: ChildState::new(identity, GroupId::default(), settings.parents.clone()),
            parent_links: IndexMap::new(),
            attached_link: None,
            announcer,
            entry: EntryCalls::new(
                location,
                parts.incarnation,
                settings.http_workers / 2,
                random.clone(),
                now,
            ),
            destination: DestinationCalls::new(settings.name.clone(), parts.incarnation, claims),
            holder: new_holder(&settings, parts.incarnation),
            incarnation: parts.incarnation,
            answers: AnswerCounters::default(),
            replies: IndexMap::new(),
            runs: None,
            cancels: None,
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
            connections: 0,
            leaving_since: None,
            failure: None,
            settings,
            started: parts.started,
            links,
            peers: PeerLinks::default(),
            departed: DepartedNodes::default(),
            applied: None,
        })
    }

    /// Ends an iteration of the loop. After a freeze, deadlines of messages that are read from now
    /// on may count again.
    pub(super) fn end_iteration(&mut self, _cx: CX![]) {
        self.frozen = self.frozen && self.now() < self.frozen_until;
    }

    /// Opens the sockets and starts the threads towards the upstream.
    pub(super) fn bind(&mut self, _cx: CX![], channel: Channel<NodeEvent>) {
        let address = self.settings.listen;
        if let Err(error) = self.links.listen(address) {
            self.fail(NodeError::Listen { address, error });
            return;
        }
        let connections = self.settings.upstream_connections;
        let results = move |result| {
            // The actor is gone only when the process ends.
            let _ = channel.send(NodeEvent::Result(result));
        };
        match (
            UpstreamPool::start(connections, results),
            start_cancel_pool(),
        ) {
            (Ok(runs), Ok(cancels)) => {
                self.runs = Some(runs);
                self.cancels = Some(cancels);
            }
            (Err(error), _) | (_, Err(error)) => self.fail(NodeError::Thread(error)),
        }
    }

    fn fail(&mut self, error: NodeError) {
        self.failure = Some(error);
        self.finished.set(true);
    }

    /// The error that ended the node, if any.
    pub(super) fn take_failure(&mut self) -> Option<NodeError> {
        self.failure.take()
    }

    /// Time since the start of the process.
    pub(super) fn now(&self) -> Timestamp {
        let elapsed = self.started.elapsed().as_micros();
        Timestamp(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    pub(super) fn handle_event(&mut self, _cx: CX![], event: NodeEvent) {
        let now = self.begin_turn();
        match event {
            NodeEvent::Caller(request, reply) => self.open_call(now, *request, reply),
            NodeEvent::Upstream(request, reply) => self.serve_upstream(now, request, reply),
            NodeEvent::Metrics(reply) => reply.answer(self.metrics_response(now)),
            NodeEvent::Result(result) => {
                let steps = self.destination.on_result(now, result.tag, result.outcome);
                self.extend_destination(steps);
            }
        }
        self.end_turn(now);
    }

    pub(super) fn handle_ready(&mut self, _cx: CX![], ready: LinkReady) {
        let now = self.begin_turn();
        self.links.handle_ready(now, ready);
        self.end_turn(now);
    }

    pub(super) fn handle_tick(&mut self, _cx: CX![]) {
        let now = self.begin_turn();
        let steps = self.entry.on_tick(now);
        self.extend_entry(steps);
        let steps = self.destination.on_tick(now);
        self.extend_destination(steps);
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick_duties(now);
        }
        self.end_turn(now);
    }

    fn tick_duties(&mut self, now: Timestamp) {
        self.links.handle_tick(now);
        let steps = self.child.handle(now, ChildEvent::Tick, &mut self.random);
        self.extend_child(steps);
        let steps = self.announcer.handle(now, AnnouncerEvent::Tick);
        self.extend_announcer(steps);
        if now >= self.next_claim_tick {
            self.next_claim_tick = now + CLAIM_TICK;
            self.confirm_claims();
            let sends = self.holder.on_tick(now);
            self.extend_claims(sends);
        }
        let entry = &self.entry;
        for link in self.peers.idle(now, |peer| entry.awaits(peer)) {
            self.links.close(link);
        }
        if self.stopping {
            self.advance_stop(now);
        }
    }

    /// Stops taking new work; the loop ends when everything in progress has ended.
    pub(super) fn begin_stop(&mut self, _cx: CX![]) {
        let now = self.begin_turn();
        self.stopping = true;
        let steps = self.entry.drain(now);
        self.extend_entry(steps);
        self.destination.drain();
        let steps = self.announcer.handle(now, AnnouncerEvent::Drain);
        self.extend_announcer(steps);
        log::info!(
            calls = self.entry.in_progress(),
            runs = self.destination.in_progress();
            "drain_started"
        );
        self.end_turn(now);
    }

    /// Leaves once everything in progress has ended, and ends the loop once the configuration no
    /// longer names this node and no other holder needs it.
    fn advance_stop(&mut self, now: Timestamp) {
        let idle = self.entry.in_progress() == 0
            && self.destination.is_idle()
            && self.destination.is_settled();
        if !idle {
            return;
        }
        let since = match self.leaving_since {
            Some(since) => since,
            None => {
                self.leaving_since = Some(now);
                let steps = self.announcer.handle(now, AnnouncerEvent::Leave);
                self.extend_announcer(steps);
                return;
            }
        };
        let handed_over = self.announcer.is_confirmed()
            && match self.holder.hand_over(now) {
                HandoverStep::Done => true,
                HandoverStep::Waiting(sends) => {
                    self.extend_claims(sends);
                    false
                }
            };
        if (handed_over || now.since(since) >= HANDOVER_LIMIT) && self.links.is_flushed() {
            log::info!(handed_over = handed_over; "drain_finished");
            self.finished.set(true);
        }
    }

    fn open_call(&mut self, now: Timestamp, request: CallerRequest, reply: ReplySlot) {
        let (call, steps) = self.entry.open(now, request);
        self.replies.insert(call, reply);
        self.extend_entry(steps);
    }

    fn serve_upstream(&mut self, now: Timestamp, request: UpstreamRequest, reply: ReplySlot) {
        let event = match request {
            UpstreamRequest::Announce(body) if body.name != *self.settings.name => {
                reply.answer(UpstreamRefusal::WrongName.response());
                return;
            }
            UpstreamRequest::Announce(_) if self.stopping => {
                reply.answer(UpstreamRefusal::Stopping.response());
                return;
            }
            UpstreamRequest::Announce(body) => {
                self.connections = body.connections.unwrap_or(body.slots);
                AnnouncerEvent::Announce(UpstreamAnnouncement {
                    name: body.name.into(),
                    service: body.service.into(),
                    address: body.address,
                    slots: body.slots,
                })
            }
            UpstreamRequest::Drain => AnnouncerEvent::Drain,
            UpstreamRequest::Leave => AnnouncerEvent::Leave,
        };
        let mut steps = self.announcer.handle(now, event);
        let answered = steps
            .iter()
            .position(|step| matches!(step, AnnouncerStep::Answer(_)));
        let answer = match answered.map(|index| steps.swap_remove(index)) {
            Some(AnnouncerStep::Answer(answer)) => answer,
            _ => AnnounceAnswer::Invalid,
        };
        if matches!(answer, AnnounceAnswer::Serving { .. }) {
            self.refresh_endpoint(now);
        }
        self.extend_announcer(steps);
        reply.answer(announce_response(answer));
    }

    /// Tells the destination where the upstream is and what it takes.
    pub(super) fn refresh_endpoint(&mut self, now: Timestamp) {
        let Some(announcement) = self.announcer.announcement() else {
            return;
        };
        let pool = u32::try_from(self.settings.upstream_connections).unwrap_or(u32::MAX);
        let connections = self.connections.min(pool);
        let limits = AdmissionLimits {
            slots: announcement.slots,
            connections,
        };
        let address = announcement.address;
        self.destination
            .on_announce(now, UpstreamEndpoint { address, limits });
    }

    fn begin_turn(&mut self) -> Timestamp {
        let now = self.now();
        let gap = now.since(self.last_turn);
        if gap > FREEZE_LIMIT {
            self.frozen = true;
            self.frozen_until = now + FREEZE_GRACE;
            self.freezes += 1;
            log::warn!(gap_ms = gap.as_millis() as u64; "process_was_stopped");
        }
        now
    }

    /// Carries out everything that follows from the event and plans the next wakeup.
    fn end_turn(&mut self, now: Timestamp) {
        loop {
            if let Some(event) = self.links.next_event() {
                self.handle_link_event(now, event);
            } else if let Some(step) = self.steps.pop_front() {
                self.carry_out(now, step);
            } else {
                break;
            }
        }
        self.last_turn = now;
        let mut wakeup = self.next_tick.min(self.destination.next_wakeup(now));
        if let Some(at) = self.entry.next_wakeup() {
            wakeup = wakeup.min(at);
        }
        self.wakeup.set(wakeup);
    }

    fn handle_link_event(&mut self, now: Timestamp, event: LinkEvent) {
        match event {
            LinkEvent::Accepted(..) => {}
            LinkEvent::Connected(link) => {
                if let Some(link) = self.child_link(link) {
                    let event = ChildEvent::Connected { link };
                    let steps = self.child.handle(now, event, &mut self.random);
                    self.extend_child(steps);
                }
            }
            LinkEvent::Received(link, body) => match self.child_link(link) {
                Some(link) => {
                    let event = ChildEvent::Received { link, body };
                    let steps = self.child.handle(now, event, &mut self.random);
                    self.extend_child(steps);
                }
                None => self.receive(now, link, body),
            },
            LinkEvent::Closed {
                link,
                error,
                unsent,
            } => {
                log::debug!(link = link.0, error:% = error; "link_closed");
                self.handle_closed(now, link, &unsent);
            }
        }
    }

    fn handle_closed(&mut self, now: Timestamp, link: LinkId, unsent: &[u64]) {
        for ticket in unsent {
            let steps = self.entry.on_unsent(now, *ticket);
            self.extend_entry(steps);
        }
        if let Some(link) = self.child_link(link) {
            self.parent_links.swap_remove(&link);
            let event = ChildEvent::Disconnected { link };
            let steps = self.child.handle(now, event, &mut self.random);
            self.extend_child(steps);
            self.parent_link_gone(now, link);
        } else if let Some(peer) = self.peers.remove(link) {
            let steps = self.entry.on_link_lost(now, &peer);
            self.extend_entry(steps);
        }
    }

    pub(super) fn parent_link_gone(&mut self, now: Timestamp, link: distribution::LinkId) {
        if self.attached_link == Some(link) {
            self.attached_link = None;
            self.tell_uplink(now, false);
        }
    }

    pub(super) fn tell_uplink(&mut self, now: Timestamp, is_attached: bool) {
        let steps = self
            .announcer
            .handle(now, AnnouncerEvent::Uplink { is_attached });
        self.extend_announcer(steps);
    }

    fn child_link(&self, link: LinkId) -> Option<distribution::LinkId> {
        let mut links = self.parent_links.iter();
        links
            .find(|(_, own)| **own == link)
            .map(|(child, _)| *child)
    }
}

pub(super) fn new_holder(settings: &NodeSettings, incarnation: IncarnationId) -> ClaimHolder {
    let own = ShardHolder {
        name: settings.name.to_string(),
        incarnation: incarnation.0,
    };
    ClaimHolder::new(own, claim_settings(settings))
}

fn start_cancel_pool() -> std::io::Result<UpstreamPool<()>> {
    // The upstream's answer to a cancellation changes nothing: the request ends by itself.
    UpstreamPool::start(CANCEL_CONNECTIONS, |_| {})
}

fn announce_response(answer: AnnounceAnswer) -> HttpResponse {
    let status = match answer {
        AnnounceAnswer::Serving { .. } | AnnounceAnswer::Draining | AnnounceAnswer::Left => 200,
        AnnounceAnswer::OtherUpstream | AnnounceAnswer::NameTaken => 409,
        AnnounceAnswer::Invalid => 422,
    };
    let state: &'static str = answer.into();
    HttpResponse::json(status, &AnnounceBody { state })
}

#[derive(serde::Serialize)]
struct AnnounceBody {
    state: &'static str,
}
