//! The node side of membership: reports the state of the local upstream to the leader.

use std::net::SocketAddr;
use std::sync::Arc;

use kumquatlock_wire::distribution::{UpstreamItem, UpstreamReport, WireState};

use super::{
    ANNOUNCE_LEASE, INITIAL_REPORT_INTERVAL, LEAVE_TIMEOUT, MAX_REPORT_INTERVAL,
    REPORTS_BEFORE_RAISE,
};
use crate::core::{
    ConfigSnapshot, IncarnationId, SharedName, Timestamp, UpstreamState, stable_hash,
};
use crate::manifest::is_valid_name;
use crate::rollout::is_valid_version;

/// Initial increment by which an incarnation is raised after its reports had no effect. Each
/// further increment is multiplied by [`RAISE_FACTOR`], so that a few raises make up for a clock
/// that was hours behind.
const INITIAL_RAISE: u64 = 1;
const RAISE_FACTOR: u64 = 64;

/// Location of a node.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
}

/// Announcement that an upstream sends to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAnnouncement {
    /// Name of the upstream, unique in the mesh.
    pub name: SharedName,
    /// Name of the service that the upstream runs.
    pub service: SharedName,
    /// Address at which the node reaches the upstream. Not part of the catalog.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Identifier of the process run, as the upstream states it; empty if it states none.
    pub instance: SharedName,
    /// Start of the process run as the upstream states it, in milliseconds since the Unix epoch
    /// (1970). Orders the runs; zero if the upstream states none.
    pub run_started_ms: u64,
    /// Sequence number that orders the announcements of one run; zero if they are not numbered.
    pub sequence: u64,
    /// Version of the upstream's software; empty if it states none.
    pub version: SharedName,
}

impl UpstreamAnnouncement {
    fn is_same_run(&self, other: &UpstreamAnnouncement) -> bool {
        self.instance == other.instance && self.run_started_ms == other.run_started_ms
    }

    /// Returns a digest that identifies the run in the whole mesh; zero if the upstream does not
    /// name its runs.
    fn run_digest(&self) -> u64 {
        if self.instance.is_empty() {
            return 0;
        }
        let run = format!("{}/{}/{}", self.name, self.run_started_ms, self.instance);
        stable_hash(run.as_bytes())
    }

    /// Returns whether this announcement was delayed: it was made before `other`, which has already
    /// been handled.
    fn is_outdated_by(&self, other: &UpstreamAnnouncement) -> bool {
        match self.is_same_run(other) {
            true => self.sequence > 0 && self.sequence <= other.sequence,
            false => self.run_started_ms < other.run_started_ms,
        }
    }
}

/// An input of [`UpstreamAnnouncer`].
#[derive(Clone, Debug)]
pub enum AnnouncerEvent {
    /// Sent every 100 ms.
    Tick,
    /// The upstream sent its first or a repeated announcement.
    Announce(UpstreamAnnouncement),
    /// The upstream starts draining.
    Drain,
    /// The node is shutting down; its upstream may stay.
    Stop,
    /// The upstream leaves.
    Leave,
    /// The named run of the upstream leaves. Other runs are not affected.
    LeaveRun(SharedName),
    /// The node has applied this configuration.
    ConfigApplied(Arc<ConfigSnapshot>),
    /// The node has attached to a parent, or has lost it.
    UplinkChanged { is_attached: bool },
}

/// An action that [`UpstreamAnnouncer`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum AnnouncerStep {
    /// Answer the upstream's request.
    Answer(AnnounceAnswer),
    /// Send a report towards the leader.
    Report(UpstreamReport),
    /// Accept new calls to the upstream, or refuse them, from now on.
    SetState {
        incarnation: IncarnationId,
        state: UpstreamState,
    },
    /// Refuse all calls to the upstream, because it has left.
    Removed,
}

/// Answer to a request of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AnnounceAnswer {
    /// The upstream is serving under this incarnation.
    Serving { incarnation: IncarnationId },
    /// The upstream is draining. It can serve again only after it has left and announced itself
    /// again.
    Draining,
    /// The upstream has left, or has never announced itself.
    Left,
    /// The announcement was ignored, because a later one has been handled, or because the process
    /// run that sent it has already announced that it leaves.
    Late,
    /// The node already has another upstream, which must leave first.
    OtherUpstream,
    /// A node at another address has registered the name with a later incarnation.
    NameTaken,
    /// A name in the announcement is not valid, or the number of slots is zero.
    Invalid,
}

/// How far the end that a run of the upstream announced is known to control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProgress {
    /// The configuration shows it, or the run has announced no end, or names no run.
    Recorded,
    /// It was reported; the configuration doesn't show it yet.
    Reported,
    /// It was not reported, because control can't be reached.
    Unreported,
}

#[derive(Debug)]
struct LocalUpstream {
    announcement: UpstreamAnnouncement,
    incarnation: u64,
    state: WireState,
    /// Whether draining was requested. Further announcements don't end it.
    is_drain_requested: bool,
    /// Whether the run announced that it leaves. Further announcements of this run are ignored.
    is_leave_requested: bool,
    /// Whether the run itself announced that it drains or leaves. It must not serve again, also
    /// after a restart of this node.
    is_run_ended: bool,
    announced_at: Timestamp,
    /// Whether the configuration shows this incarnation in this state.
    is_confirmed: bool,
    /// Whether the configuration has shown this incarnation at any time.
    was_seen: bool,
    is_name_taken: bool,
    reported_at: Option<Timestamp>,
    /// Number of reports of the current state that were sent while attached.
    reports: u32,
    next_raise: u64,
}

/// State machine of one node for its local upstream. It performs no I/O.
#[derive(Debug)]
pub struct UpstreamAnnouncer {
    location: NodeLocation,
    /// Incarnation of the next registration. Never decreases.
    next_incarnation: u64,
    upstream: Option<LocalUpstream>,
    is_attached: bool,
}

impl UpstreamAnnouncer {
    /// Creates an announcer without an upstream. `started_ms` is the wall clock time, in
    /// milliseconds, at which the node started.
    pub fn new(location: NodeLocation, started_ms: u64) -> Self {
        UpstreamAnnouncer {
            location,
            next_incarnation: started_ms.max(1),
            upstream: None,
            is_attached: false,
        }
    }

    /// Returns the latest announcement of the upstream, unless the upstream has left.
    pub fn announcement(&self) -> Option<&UpstreamAnnouncement> {
        let upstream = self.upstream.as_ref()?;
        (upstream.state != WireState::Left).then_some(&upstream.announcement)
    }

    /// Returns whether the configuration shows the reported state. True without an upstream.
    pub fn is_confirmed(&self) -> bool {
        self.upstream
            .as_ref()
            .is_none_or(|upstream| upstream.is_confirmed)
    }

    /// Returns how far the announced end of the upstream's run is known to control.
    pub fn end_progress(&self) -> EndProgress {
        let upstream = self.upstream.as_ref();
        let ended = upstream
            .filter(|upstream| upstream.is_run_ended && upstream.announcement.run_digest() != 0);
        match ended {
            Some(upstream) if upstream.is_confirmed => EndProgress::Recorded,
            Some(upstream) if upstream.reports > 0 => EndProgress::Reported,
            Some(_) => EndProgress::Unreported,
            None => EndProgress::Recorded,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: AnnouncerEvent) -> Vec<AnnouncerStep> {
        let mut steps = Vec::new();
        match event {
            AnnouncerEvent::Tick => self.check_leases(now, &mut steps),
            AnnouncerEvent::Announce(announcement) => self.announce(now, announcement, &mut steps),
            AnnouncerEvent::Drain => {
                if let Some(upstream) = &mut self.upstream {
                    upstream.is_drain_requested = true;
                    upstream.end_run();
                    upstream.advance_state(WireState::Draining, &mut steps);
                }
                steps.push(AnnouncerStep::Answer(self.answer()));
            }
            AnnouncerEvent::Stop => {
                if let Some(upstream) = &mut self.upstream {
                    upstream.is_drain_requested = true;
                    upstream.advance_state(WireState::Draining, &mut steps);
                }
                steps.push(AnnouncerStep::Answer(self.answer()));
            }
            AnnouncerEvent::Leave => {
                if let Some(upstream) = &mut self.upstream {
                    upstream.advance_state(WireState::Left, &mut steps);
                }
                steps.push(AnnouncerStep::Answer(self.answer()));
            }
            AnnouncerEvent::LeaveRun(instance) => {
                if let Some(upstream) = &mut self.upstream
                    && upstream.announcement.instance == instance
                {
                    upstream.is_leave_requested = true;
                    upstream.end_run();
                    upstream.advance_state(WireState::Left, &mut steps);
                }
                steps.push(AnnouncerStep::Answer(AnnounceAnswer::Left));
            }
            AnnouncerEvent::ConfigApplied(snapshot) => {
                self.compare_with_config(&snapshot, &mut steps)
            }
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
            || !(announcement.version.is_empty() || is_valid_version(&announcement.version))
        {
            return steps.push(AnnouncerStep::Answer(AnnounceAnswer::Invalid));
        }
        if let Some(upstream) = &self.upstream {
            let latest = &upstream.announcement;
            let is_ended_run = upstream.is_leave_requested && announcement.is_same_run(latest);
            if is_ended_run || announcement.is_outdated_by(latest) {
                return steps.push(AnnouncerStep::Answer(AnnounceAnswer::Late));
            }
        }
        if let Some(upstream) = &mut self.upstream
            && upstream.state != WireState::Left
            && upstream.announcement.is_same_run(&announcement)
        {
            if upstream.announcement.name != announcement.name {
                return steps.push(AnnouncerStep::Answer(AnnounceAnswer::OtherUpstream));
            }
            upstream.announced_at = now;
            let is_same = upstream.announcement.service == announcement.service
                && upstream.announcement.slots == announcement.slots
                && upstream.announcement.version == announcement.version;
            if upstream.is_drain_requested || (is_same && upstream.state == WireState::Serving) {
                upstream.announcement = announcement;
                return steps.push(AnnouncerStep::Answer(self.answer()));
            }
        }
        // This is the first announcement, or the first after a leave or an expired lease, or its
        // content has changed. The content of an incarnation never changes, so a new one starts.
        self.start_incarnation(now, announcement, steps);
        steps.push(AnnouncerStep::Answer(self.answer()));
    }

    fn start_incarnation(
        &mut self,
        now: Timestamp,
        announcement: UpstreamAnnouncement,
        steps: &mut Vec<AnnouncerStep>,
    ) {
        let upstream = LocalUpstream {
            announcement,
            incarnation: self.next_incarnation,
            state: WireState::Serving,
            is_drain_requested: false,
            is_leave_requested: false,
            is_run_ended: false,
            announced_at: now,
            is_confirmed: false,
            was_seen: false,
            is_name_taken: false,
            reported_at: None,
            reports: 0,
            next_raise: INITIAL_RAISE,
        };
        self.next_incarnation += 1;
        steps.push(upstream.state_step());
        self.upstream = Some(upstream);
    }

    /// Checks the leases of the upstream. If announcements stop, the upstream is first drained,
    /// because it may still finish calls; if it stays silent, it counts as having left.
    fn check_leases(&mut self, now: Timestamp, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let silence = now.since(upstream.announced_at);
        if silence >= LEAVE_TIMEOUT {
            upstream.advance_state(WireState::Left, steps);
        } else if silence >= ANNOUNCE_LEASE {
            upstream.advance_state(WireState::Draining, steps);
        }
    }

    /// Compares the local upstream with its entry in the configuration.
    fn compare_with_config(&mut self, snapshot: &ConfigSnapshot, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        let recorded = snapshot.upstreams.get(&upstream.announcement.name);
        let Some(recorded) = recorded else {
            // An upstream that was in the configuration before has left, or was removed while its
            // node was cut off.
            upstream.is_confirmed = upstream.state == WireState::Left;
            if upstream.was_seen && upstream.state != WireState::Left {
                let above = upstream.incarnation;
                self.raise_incarnation(above, 1, steps);
            }
            return;
        };
        let incarnation = recorded.incarnation.0;
        upstream.is_name_taken = false;
        if incarnation < upstream.incarnation {
            // The report has not taken effect yet; the entry belongs to an earlier incarnation.
            upstream.is_confirmed = false;
        } else if incarnation == upstream.incarnation {
            upstream.was_seen = true;
            upstream.is_confirmed = matches!(
                (recorded.state, upstream.state),
                (UpstreamState::Serving, WireState::Serving)
                    | (UpstreamState::Draining, WireState::Draining)
            );
        } else if recorded.address == self.location.address {
            // The entry belongs to an earlier run of this node whose clock was ahead.
            self.raise_incarnation(incarnation, 1, steps);
        } else {
            upstream.is_confirmed = upstream.state == WireState::Left;
            upstream.is_name_taken = true;
        }
    }

    /// Raises the incarnation to at least `above + increment`, and reports the upstream anew.
    fn raise_incarnation(&mut self, above: u64, increment: u64, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        upstream.incarnation = self.next_incarnation.max(above.saturating_add(increment));
        self.next_incarnation = upstream.incarnation.saturating_add(1);
        upstream.is_confirmed = false;
        upstream.was_seen = false;
        upstream.restart_reports();
        steps.push(upstream.state_step());
    }

    /// Sends the report if it is not confirmed yet, and repeats it at growing intervals.
    fn report(&mut self, now: Timestamp, steps: &mut Vec<AnnouncerStep>) {
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        if upstream.is_confirmed || !self.is_attached || !upstream.is_report_due(now) {
            return;
        }
        let may_be_superseded = upstream.reports >= REPORTS_BEFORE_RAISE
            && !upstream.was_seen
            && !upstream.is_name_taken
            && upstream.state != WireState::Left;
        if may_be_superseded {
            let (above, increment) = (upstream.incarnation, upstream.next_raise);
            upstream.next_raise = increment.saturating_mul(RAISE_FACTOR);
            self.raise_incarnation(above, increment, steps);
        }
        if let Some(upstream) = &mut self.upstream {
            upstream.reported_at = Some(now);
            upstream.reports += 1;
            steps.push(AnnouncerStep::Report(upstream.to_report(&self.location)));
        }
    }
}

impl LocalUpstream {
    /// Advances to a later state. Within one incarnation, the state never returns to an earlier
    /// one.
    fn advance_state(&mut self, state: WireState, steps: &mut Vec<AnnouncerStep>) {
        if (state as i32) <= self.state as i32 {
            return;
        }
        self.state = state;
        self.is_confirmed = false;
        self.restart_reports();
        steps.push(self.state_step());
    }

    /// Records that the run itself announced its end.
    fn end_run(&mut self) {
        if !self.is_run_ended {
            self.is_run_ended = true;
            self.is_confirmed = false;
            self.restart_reports();
        }
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

    fn to_report(&self, location: &NodeLocation) -> UpstreamReport {
        let upstream = UpstreamItem {
            name: self.announcement.name.to_string(),
            service: self.announcement.service.to_string(),
            zone: location.zone.to_string(),
            region: location.region.to_string(),
            node_address: location.address.to_string(),
            incarnation: self.incarnation,
            slots: self.announcement.slots,
            state: self.state as i32,
            first_in_region: false,
            version: self.announcement.version.to_string(),
        };
        UpstreamReport {
            upstream,
            run: self.announcement.run_digest(),
            is_run_ended: self.is_run_ended,
        }
    }
}
