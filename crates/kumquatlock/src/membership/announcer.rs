//! The node's side: what it reports of the upstream beside it.

use std::net::SocketAddr;
use std::sync::Arc;

use kumquatlock_wire::distribution::{UpstreamItem, UpstreamReport, WireState};

use super::{
    ANNOUNCE_LEASE, INITIAL_REPORT_INTERVAL, LEAVE_TIMEOUT, MAX_REPORT_INTERVAL,
    REPORTS_BEFORE_RAISE,
};
use crate::core::{ConfigSnapshot, IncarnationId, SharedName, Timestamp, UpstreamState};
use crate::manifest::is_valid_name;

/// First step by which an incarnation without effect is raised; each further one is larger by
/// [`RAISE_FACTOR`], so that a clock that was hours behind is caught up within a few raises.
const FIRST_RAISE: u64 = 1;
const RAISE_FACTOR: u64 = 64;

/// Where the node is.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAnnouncement {
    /// Unique in the mesh.
    pub name: SharedName,
    /// Service that it runs.
    pub service: SharedName,
    /// Where its node reaches it. Not in the catalog.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes at once.
    pub connections: u32,
    /// Run of the upstream, by its own word; empty if it states none.
    pub instance: SharedName,
    /// Start of the run as the upstream gives it, in milliseconds since 1970; orders runs. Zero if
    /// it states none.
    pub run_started_ms: u64,
    /// Orders the announcements of one run; zero if they are not numbered.
    pub sequence: u64,
}

impl UpstreamAnnouncement {
    fn is_of_run(&self, other: &UpstreamAnnouncement) -> bool {
        self.instance == other.instance && self.run_started_ms == other.run_started_ms
    }

    /// Whether a delayed announcement says this after the other one was made.
    fn is_late_after(&self, other: &UpstreamAnnouncement) -> bool {
        match self.is_of_run(other) {
            true => self.sequence > 0 && self.sequence <= other.sequence,
            false => self.run_started_ms < other.run_started_ms,
        }
    }
}

/// What happened to the announcer.
#[derive(Clone, Debug)]
pub enum AnnouncerEvent {
    /// Comes every 100 ms.
    Tick,
    /// The upstream announced itself, for the first time or again.
    Announce(UpstreamAnnouncement),
    /// The upstream starts draining, or the node shuts down.
    Drain,
    /// The upstream leaves.
    Leave,
    /// The named run of the upstream leaves. Says nothing about another run.
    LeaveRun(SharedName),
    /// The node routes by this configuration now.
    ConfigApplied(Arc<ConfigSnapshot>),
    /// A parent has attached the node, or is lost.
    UplinkChanged { is_attached: bool },
}

/// What the announcer does next.
#[derive(Clone, Debug, PartialEq)]
pub enum AnnouncerStep {
    /// Answer the upstream's request.
    Answer(AnnounceAnswer),
    /// Send towards the leader.
    Report(UpstreamReport),
    /// Refuse new calls to the upstream from now on, or accept them.
    SetState {
        incarnation: IncarnationId,
        state: UpstreamState,
    },
    /// The upstream is gone: refuse its calls.
    Removed,
}

/// Answer to a request of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AnnounceAnswer {
    /// Serving under this incarnation.
    Serving { incarnation: IncarnationId },
    /// Draining; only a leave and a new announcement bring it back.
    Draining,
    /// Left, or never announced.
    Left,
    /// Overtaken by a later announcement.
    Late,
    /// The node speaks for another upstream until that one leaves.
    OtherUpstream,
    /// A node at another address holds the name with a later incarnation.
    NameTaken,
    /// A name is not valid, or there are no slots.
    Invalid,
}

#[derive(Debug)]
struct LocalUpstream {
    announcement: UpstreamAnnouncement,
    incarnation: u64,
    state: WireState,
    /// Draining was asked for; announcements do not end it.
    is_drain_asked: bool,
    /// The run said that it leaves; it does not come back.
    is_leave_asked: bool,
    announced_at: Timestamp,
    /// The configuration shows this incarnation in this state.
    is_confirmed: bool,
    /// The configuration has shown this incarnation.
    was_seen: bool,
    is_name_taken: bool,
    reported_at: Option<Timestamp>,
    /// Reports of this state sent while attached.
    reports: u32,
    next_raise: u64,
}

/// Decisions of one node for its upstream.
#[derive(Debug)]
pub struct UpstreamAnnouncer {
    place: NodeLocation,
    /// Incarnation of the next announcement. Only grows.
    next_incarnation: u64,
    upstream: Option<LocalUpstream>,
    is_attached: bool,
}

impl UpstreamAnnouncer {
    /// An announcer without an upstream. `started_ms` is the wall clock at the node's start.
    pub fn new(place: NodeLocation, started_ms: u64) -> Self {
        UpstreamAnnouncer {
            place,
            next_incarnation: started_ms.max(1),
            upstream: None,
            is_attached: false,
        }
    }

    /// The upstream that announced itself, until it leaves.
    pub fn announcement(&self) -> Option<&UpstreamAnnouncement> {
        let upstream = self.upstream.as_ref()?;
        (upstream.state != WireState::Left).then_some(&upstream.announcement)
    }

    /// Whether the configuration shows what was reported last.
    pub fn is_confirmed(&self) -> bool {
        self.upstream
            .as_ref()
            .is_none_or(|upstream| upstream.is_confirmed)
    }

    /// Decides on one event.
    pub fn handle(&mut self, now: Timestamp, event: AnnouncerEvent) -> Vec<AnnouncerStep> {
        let mut steps = Vec::new();
        match event {
            AnnouncerEvent::Tick => self.check_lease(now, &mut steps),
            AnnouncerEvent::Announce(announcement) => self.announce(now, announcement, &mut steps),
            AnnouncerEvent::Drain => {
                if let Some(upstream) = &mut self.upstream {
                    upstream.is_drain_asked = true;
                    upstream.advance(WireState::Draining, &mut steps);
                }
                steps.push(AnnouncerStep::Answer(self.answer()));
            }
            AnnouncerEvent::Leave => {
                if let Some(upstream) = &mut self.upstream {
                    upstream.advance(WireState::Left, &mut steps);
                }
                steps.push(AnnouncerStep::Answer(self.answer()));
            }
            AnnouncerEvent::LeaveRun(instance) => {
                if let Some(upstream) = &mut self.upstream
                    && upstream.announcement.instance == instance
                {
                    upstream.is_leave_asked = true;
                    upstream.advance(WireState::Left, &mut steps);
                }
                steps.push(AnnouncerStep::Answer(AnnounceAnswer::Left));
            }
            AnnouncerEvent::ConfigApplied(snapshot) => self.compare(&snapshot, &mut steps),
            AnnouncerEvent::UplinkChanged { is_attached } => {
                self.is_attached = is_attached;
                if let Some(upstream) = &mut self.upstream {
                    upstream.reported_at = None;
                }
            }
        }
        self.report(now, &mut steps);
        steps
    }

    fn answer(&self) -> AnnounceAnswer {
        let Some(upstream) = &self.upstream else {
            return AnnounceAnswer::Left;
        };
        match upstream.state {
            WireState::Serving if upstream.is_name_taken => AnnounceAnswer::NameTaken,
            WireState::Serving => AnnounceAnswer::Serving {
                incarnation: IncarnationId(upstream.incarnation),
            },
            WireState::Draining => AnnounceAnswer::Draining,
            WireState::Left => AnnounceAnswer::Left,
        }
    }

    fn announce(
        &mut self,
        now: Timestamp,
        announcement: UpstreamAnnouncement,
        steps: &mut Vec<AnnouncerStep>,
    ) {
        if !is_valid_name(&announcement.name)
            || !is_valid_name(&announcement.service)
            || announcement.slots == 0
        {
            return steps.push(AnnouncerStep::Answer(AnnounceAnswer::Invalid));
        }
        if let Some(upstream) = &self.upstream {
            let held = &upstream.announcement;
            let is_ended = upstream.is_leave_asked && announcement.is_of_run(held);
            if is_ended || announcement.is_late_after(held) {
                return steps.push(AnnouncerStep::Answer(AnnounceAnswer::Late));
            }
        }
        if let Some(upstream) = &mut self.upstream
            && upstream.state != WireState::Left
            && upstream.announcement.is_of_run(&announcement)
        {
            if upstream.announcement.name != announcement.name {
                return steps.push(AnnouncerStep::Answer(AnnounceAnswer::OtherUpstream));
            }
            upstream.announced_at = now;
            let is_same = upstream.announcement.service == announcement.service
                && upstream.announcement.slots == announcement.slots;
            if upstream.is_drain_asked || (is_same && upstream.state == WireState::Serving) {
                upstream.announcement = announcement;
                return steps.push(AnnouncerStep::Answer(self.answer()));
            }
        }
        // First announcement, after a leave or an ended lease, or with other content: one
        // incarnation says one thing, so this is a new one.
        self.begin(now, announcement, steps);
        steps.push(AnnouncerStep::Answer(self.answer()));
    }

    fn begin(
        &mut self,
        now: Timestamp,
        announcement: UpstreamAnnouncement,
        steps: &mut Vec<AnnouncerStep>,
    ) {
        let upstream = LocalUpstream {
            announcement,
            incarnation: self.next_incarnation,
            state: WireState::Serving,
            is_drain_asked: false,
            is_leave_asked: false,
            announced_at: now,
            is_confirmed: false,
            was_seen: false,
            is_name_taken: false,
            reported_at: None,
            reports: 0,
            next_raise: FIRST_RAISE,
        };
        self.next_incarnation += 1;
        steps.push(upstream.state_step());
        self.upstream = Some(upstream);
    }

    /// An upstream that stopped announcing itself is drained first, because it may still finish
    /// calls, and leaves when it stays silent.
    fn check_lease(&mut self, now: Timestamp, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let silence = now.since(upstream.announced_at);
        if silence >= LEAVE_TIMEOUT {
            upstream.advance(WireState::Left, steps);
        } else if silence >= ANNOUNCE_LEASE {
            upstream.advance(WireState::Draining, steps);
        }
    }

    /// Looks for the upstream in the configuration.
    fn compare(&mut self, snapshot: &ConfigSnapshot, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let shown = snapshot.upstreams.get(&upstream.announcement.name);
        let Some(shown) = shown else {
            // Removed after it was seen: it left, or was expired while cut off.
            upstream.is_confirmed = upstream.state == WireState::Left;
            if upstream.was_seen && upstream.state != WireState::Left {
                let above = upstream.incarnation;
                self.raise(above, 1, steps);
            }
            return;
        };
        let incarnation = shown.incarnation.0;
        upstream.is_name_taken = false;
        if incarnation < upstream.incarnation {
            // The report has not arrived yet, or an earlier run left this behind.
            upstream.is_confirmed = false;
        } else if incarnation == upstream.incarnation {
            upstream.was_seen = true;
            upstream.is_confirmed = matches!(
                (shown.state, upstream.state),
                (UpstreamState::Serving, WireState::Serving)
                    | (UpstreamState::Draining, WireState::Draining)
            );
        } else if shown.address == self.place.address {
            // An earlier run of this node whose clock was ahead.
            self.raise(incarnation, 1, steps);
        } else {
            upstream.is_confirmed = upstream.state == WireState::Left;
            upstream.is_name_taken = true;
        }
    }

    /// Goes on under a higher incarnation.
    fn raise(&mut self, above: u64, by: u64, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        upstream.incarnation = self.next_incarnation.max(above.saturating_add(by));
        self.next_incarnation = upstream.incarnation.saturating_add(1);
        upstream.is_confirmed = false;
        upstream.was_seen = false;
        upstream.restart_reports();
        steps.push(upstream.state_step());
    }

    /// Sends a report that is not confirmed, again after a growing interval.
    fn report(&mut self, now: Timestamp, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        if upstream.is_confirmed || !self.is_attached || !upstream.is_report_due(now) {
            return;
        }
        let may_have_ended = upstream.reports >= REPORTS_BEFORE_RAISE
            && !upstream.was_seen
            && !upstream.is_name_taken
            && upstream.state != WireState::Left;
        if may_have_ended {
            let (above, by) = (upstream.incarnation, upstream.next_raise);
            upstream.next_raise = by.saturating_mul(RAISE_FACTOR);
            self.raise(above, by, steps);
        }
        if let Some(upstream) = &mut self.upstream {
            upstream.reported_at = Some(now);
            upstream.reports += 1;
            steps.push(AnnouncerStep::Report(upstream.to_report(&self.place)));
        }
    }
}

impl LocalUpstream {
    /// Moves on to a later state; states never go back under one incarnation.
    fn advance(&mut self, state: WireState, steps: &mut Vec<AnnouncerStep>) {
        if (state as i32) <= self.state as i32 {
            return;
        }
        self.state = state;
        self.is_confirmed = false;
        self.restart_reports();
        steps.push(self.state_step());
    }

    fn restart_reports(&mut self) {
        self.reported_at = None;
        self.reports = 0;
    }

    fn state_step(&self) -> AnnouncerStep {
        let incarnation = IncarnationId(self.incarnation);
        let state = match self.state {
            WireState::Serving => UpstreamState::Serving,
            WireState::Draining => UpstreamState::Draining,
            WireState::Left => return AnnouncerStep::Removed,
        };
        AnnouncerStep::SetState { incarnation, state }
    }

    fn is_report_due(&self, now: Timestamp) -> bool {
        let doubled = INITIAL_REPORT_INTERVAL * 2u32.pow(self.reports.saturating_sub(1).min(8));
        let interval = doubled.min(MAX_REPORT_INTERVAL);
        self.reported_at
            .is_none_or(|reported_at| now.since(reported_at) >= interval)
    }

    fn to_report(&self, place: &NodeLocation) -> UpstreamReport {
        let upstream = UpstreamItem {
            name: self.announcement.name.to_string(),
            service: self.announcement.service.to_string(),
            zone: place.zone.to_string(),
            region: place.region.to_string(),
            node_address: place.address.to_string(),
            incarnation: self.incarnation,
            slots: self.announcement.slots,
            state: self.state as i32,
            first_in_region: false,
        };
        UpstreamReport { upstream }
    }
}
