//! The actor that owns every duty of the process.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stakker::{CX, after, fwd_to};
use stakker_mio::MioPoll;

use super::children::UplinkDuty;
use super::clock::{ProcessClock, random_seed, wall_clock_ms};
use super::links::LinkRole;
use super::metrics::ControlMetrics;
use super::operator::{OperatorCall, WaitingRead};
use super::peers::PeerLinks;
use super::process::ControlError;
use super::relay::LeaderView;
use super::requests::RequestTable;
use super::settings::{ControlSettings, RoleSettings};
use super::stop::StopState;
use super::voter::VoterDuty;
use crate::agreement::{self, AgreementEvent};
use crate::catalog::Catalog;
use crate::core::{GroupId, Timestamp};
use crate::distribution::{self, ChildEvent, ParentEvent, ParentState};
use crate::transport::{LinkId, LinkReady, LinkTable};

/// Interval of the actor's timer, in milliseconds.
const TICK_MS: u64 = agreement::TICK_INTERVAL_MS;
/// Ticks of the actor per tick of the configuration stream.
const TICKS_PER_STREAM_TICK: u64 = distribution::TICK_INTERVAL.as_millis() as u64 / TICK_MS;
/// Ticks of the actor per check of the links.
const TICKS_PER_LINK_CHECK: u64 = 5;

/// Ticks of the actor per search for lost upstreams, which passes over the whole catalog.
const TICKS_PER_EXPIRY: u64 = 1_000 / TICK_MS;

/// An event for one duty that waits for its turn.
#[derive(Debug)]
pub(super) enum Work {
    Agreement(AgreementEvent),
    Parent(ParentEvent),
    Child(ChildEvent),
}

/// What the actor is created from.
pub(super) struct ActorParts {
    pub(super) settings: Arc<ControlSettings>,
    pub(super) clock: ProcessClock,
    pub(super) voter: Option<VoterDuty>,
    pub(super) metrics: Arc<ControlMetrics>,
}

/// Every duty of a control instance.
pub(super) struct ControlActor {
    pub(super) settings: Arc<ControlSettings>,
    pub(super) clock: ProcessClock,
    pub(super) links: LinkTable,
    /// What each open link is for.
    pub(super) link_roles: IndexMap<LinkId, LinkRole>,
    pub(super) peers: PeerLinks,
    /// Present on a voter.
    pub(super) voter: Option<VoterDuty>,
    /// Present on a replica.
    pub(super) uplink: Option<UplinkDuty>,
    pub(super) catalog: Catalog,
    /// Set when an entry or update was applied of which the children were not told yet.
    pub(super) has_catalog_moved: bool,
    pub(super) parent: ParentState,
    /// Children to which a snapshot chunk was sent whose successor has not been asked for.
    pub(super) transfers: IndexSet<LinkId>,
    pub(super) leader_view: LeaderView,
    /// The leader of an open group has been silent for long.
    pub(super) is_leader_silent: bool,
    pub(super) requests: RequestTable,
    /// Reads that wait until what was proved current is applied here.
    pub(super) reads: Vec<WaitingRead>,
    pub(super) random: SmallRng,
    pub(super) metrics: Arc<ControlMetrics>,
    pub(super) work: VecDeque<Work>,
    pub(super) stop: Option<StopState>,
    failure: Option<ControlError>,
    ticks: u64,
}

impl ControlActor {
    /// Starts to listen and to tick.
    pub(super) fn init(cx: CX![], parts: ActorParts) -> Option<Self> {
        let ActorParts {
            settings,
            clock,
            voter,
            metrics,
        } = parts;
        let poll: MioPoll = cx.anymap_get();
        let ready = fwd_to!([cx], on_ready() as (LinkReady));
        let mut links = LinkTable::new(poll, ready, metrics.traffic.clone());
        if let Err(source) = links.listen(settings.listen) {
            let address = settings.listen;
            cx.fail(ControlError::Listen { address, source });
            return None;
        }
        let name = settings.name.clone();
        let (peers, uplink) = match &settings.role {
            RoleSettings::Voter { voters, .. } => {
                let others = voters.iter().filter(|(voter, _)| **voter != name);
                let others = others.map(|(voter, address)| (voter.clone(), *address));
                (PeerLinks::new(others), None)
            }
            // The links follow the group as it is known; see `follow_group`.
            RoleSettings::Member { .. } => (PeerLinks::default(), None),
            RoleSettings::Replica { parents } => {
                let uplink = UplinkDuty::new(&settings, parents.clone());
                (PeerLinks::default(), Some(uplink))
            }
        };
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
            has_catalog_moved: false,
            transfers: IndexSet::new(),
            leader_view: LeaderView::default(),
            is_leader_silent: false,
            requests: RequestTable::default(),
            reads: Vec::new(),
            random: SmallRng::seed_from_u64(random_seed()),
            metrics,
            work: VecDeque::new(),
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

    fn on_tick(&mut self, cx: CX![]) {
        self.schedule_tick(cx);
        let now = self.clock.now();
        self.ticks += 1;
        self.reopen_storage(now);
        self.follow_group(now);
        self.connect_peers(now);
        if self.voter.is_some() {
            self.work.push_back(Work::Agreement(AgreementEvent::Tick));
        }
        if self.ticks.is_multiple_of(TICKS_PER_STREAM_TICK) {
            self.work.push_back(Work::Parent(ParentEvent::Tick));
            if self.uplink.is_some() {
                self.work.push_back(Work::Child(ChildEvent::Tick));
            }
            self.update_metrics();
        }
        if self.ticks.is_multiple_of(TICKS_PER_LINK_CHECK) {
            self.links.handle_tick(now);
            self.close_unknown_links(now);
        }
        if self.ticks.is_multiple_of(TICKS_PER_EXPIRY) {
            self.expire_upstreams(now);
        }
        self.expire_requests(now);
        self.expire_reads(now);
        self.finish_turn(cx, now);
        if self.has_stopped(now) {
            cx.stop();
        }
    }

    /// Takes a request from an HTTP thread.
    pub(super) fn on_operator(&mut self, cx: CX![], call: OperatorCall) {
        let now = self.clock.now();
        self.answer_operator(now, call);
        self.finish_turn(cx, now);
    }

    /// Takes the first stop signal.
    pub(super) fn on_stop(&mut self, cx: CX![], _: ()) {
        let now = self.clock.now();
        self.begin_stop(now);
        self.finish_turn(cx, now);
    }

    /// Ends the process with an error after this turn.
    pub(super) fn fail(&mut self, error: ControlError) {
        self.failure.get_or_insert(error);
    }

    /// Handles everything that follows from the event of this turn.
    fn finish_turn(&mut self, cx: CX![], now: Timestamp) {
        loop {
            if let Some(work) = self.work.pop_front() {
                match work {
                    Work::Agreement(event) => self.handle_agreement(now, event),
                    Work::Parent(event) => self.handle_parent(now, event),
                    Work::Child(event) => self.handle_child(now, event),
                }
            } else if let Some(event) = self.links.next_event() {
                self.handle_link_event(now, event);
            } else if std::mem::take(&mut self.has_catalog_moved) {
                self.answer_reads();
                // Once for all entries of the turn, so that they become one delta.
                self.work
                    .push_back(Work::Parent(ParentEvent::CatalogAdvanced));
            } else if !self.continue_transfers() {
                break;
            }
        }
        if let Some(error) = self.failure.take() {
            cx.fail(error);
        }
    }
}
