//! The node side of membership: reports the state of the local upstream to the leader.

use std::net::SocketAddr;
use std::sync::Arc;

use kumquatlock_wire::distribution::{RecordedEnds, RunEnd, UpstreamReport, WireState};

use super::announcement::{AnnounceAnswer, UpstreamAnnouncement};
use super::contradiction::{ContradictionStep, Contradictions};
use super::run_ends::{EndAdmission, RunEnds, instance_digest};
use super::schedule::ReportSchedule;
use super::upstream::LocalUpstream;
use super::{ANNOUNCE_LEASE, LEAVE_TIMEOUT, REPORTS_BEFORE_RAISE};
use crate::core::{ConfigSnapshot, IncarnationId, SharedName, Timestamp, UpstreamState};
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
    /// Name of the node, and of its upstream.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Region of the zone.
    pub region: SharedName,
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
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
    /// Control has recorded these ends of runs.
    EndsRecorded(RecordedEnds),
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
    /// Send the end of a run towards the leader.
    ReportEnd(RunEnd),
    /// Accept new calls to the upstream, or refuse them, from now on.
    SetState {
        incarnation: IncarnationId,
        state: UpstreamState,
    },
    /// Refuse all calls to the upstream, because it has left.
    Removed,
}

/// How far the end that a run of the upstream announced is known to control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndProgress {
    /// Control has recorded it, or the run has announced no end, or has no identifier.
    Recorded,
    /// It was reported; control has not confirmed that it is recorded.
    Reported,
    /// It was not reported, because control can't be reached.
    Unreported,
}

/// State machine of one node for its local upstream. It performs no I/O.
#[derive(Debug)]
pub struct UpstreamAnnouncer {
    location: NodeLocation,
    /// Wall clock time at which the node started, in milliseconds. Higher than the incarnations that
    /// its earlier processes gave, unless a clock was wrong.
    started_ms: u64,
    /// Incarnation of the next registration. Never decreases.
    next_incarnation: u64,
    upstream: Option<LocalUpstream>,
    /// Ends of runs other than the one of `upstream`.
    ends: RunEnds,
    contradictions: Contradictions,
    /// Latest configuration that the node has applied.
    config: Option<Arc<ConfigSnapshot>>,
    is_attached: bool,
}

/// What to do with a valid announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnounceStep {
    /// It is the upstream's latest state.
    Take,
    /// Its run drains. Nothing else of it is used, because it may be late.
    Drain,
    /// It is late and says what the node believes.
    Agree,
    /// It has no effect, and gets this answer.
    Ignore(AnnounceAnswer),
}

impl UpstreamAnnouncer {
    /// Creates an announcer without an upstream. `started_ms` is the wall clock time, in
    /// milliseconds, at which the node started.
    pub fn new(location: NodeLocation, started_ms: u64) -> Self {
        UpstreamAnnouncer {
            location,
            started_ms: started_ms.max(1),
            next_incarnation: started_ms.max(1),
            upstream: None,
            ends: RunEnds::default(),
            contradictions: Contradictions::default(),
            config: None,
            is_attached: false,
        }
    }

    /// Returns the latest announcement of the upstream, unless the upstream has left.
    pub fn announcement(&self) -> Option<&UpstreamAnnouncement> {
        let upstream = self.upstream.as_ref()?;
        (upstream.state != WireState::Left).then_some(&upstream.announcement)
    }

    /// Returns whether the configuration shows the reported state, and control has recorded the ends
    /// of runs. True without an upstream.
    pub fn is_confirmed(&self) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_none_or(LocalUpstream::is_settled) && self.ends.are_recorded()
    }

    /// Returns how far the announced end of the run with this identifier is known to control;
    /// `None` if no such run is known.
    pub fn end_progress(&self, instance: &str) -> Option<EndProgress> {
        let upstream = self.upstream.as_ref();
        match upstream.filter(|upstream| &*upstream.announcement.instance == instance) {
            Some(upstream) if upstream.is_end_recorded() => Some(EndProgress::Recorded),
            Some(upstream) if upstream.schedule.count() > 0 => Some(EndProgress::Reported),
            Some(_) => Some(EndProgress::Unreported),
            None => self.ends.progress(instance),
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: AnnouncerEvent) -> Vec<AnnouncerStep> {
        let mut steps = Vec::new();
        match event {
            AnnouncerEvent::Tick => self.check_leases(now, &mut steps),
            AnnouncerEvent::Announce(announcement) => self.announce(now, announcement, &mut steps),
            AnnouncerEvent::Drain => {
                self.drain_run(&mut steps);
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
                let answer = self.leave_run(now, instance, &mut steps);
                steps.push(AnnouncerStep::Answer(answer));
            }
            AnnouncerEvent::EndsRecorded(recorded) => self.record_ends(now, &recorded),
            AnnouncerEvent::ConfigApplied(snapshot) => {
                self.compare_with_config(&snapshot, &mut steps);
                self.config = Some(snapshot);
            }
            AnnouncerEvent::UplinkChanged { is_attached } => {
                self.is_attached = is_attached;
                self.ends.expedite();
                if let Some(upstream) = &mut self.upstream {
                    upstream.schedule.expedite();
                }
            }
        }
        self.report(now, &mut steps);
        steps
    }

    fn leave_run(
        &mut self,
        now: Timestamp,
        instance: SharedName,
        steps: &mut Vec<AnnouncerStep>,
    ) -> AnnounceAnswer {
        if let Some(upstream) = &mut self.upstream
            && upstream.announcement.instance == instance
        {
            upstream.is_leave_requested = true;
            upstream.end_run();
            upstream.advance_state(WireState::Left, steps);
            return AnnounceAnswer::Left;
        }
        // Without an announcement, an entry of this upstream is from before the restart, and no run
        // has it any more.
        let remove_below = match self.upstream {
            Some(_) => 0,
            None => self.started_ms,
        };
        let end = RunEnd {
            remove_below,
            ..self.run_end(&instance)
        };
        let wall_clock_ms = self.wall_clock_ms(now);
        match self.ends.add_unknown(now, wall_clock_ms, instance, end) {
            EndAdmission::Accepted => AnnounceAnswer::Left,
            EndAdmission::Full => AnnounceAnswer::TooManyEnds,
        }
    }

    fn wall_clock_ms(&self, now: Timestamp) -> u64 {
        let elapsed = now.since(Timestamp::default()).as_millis();
        self.started_ms
            .saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    fn record_ends(&mut self, now: Timestamp, recorded: &RecordedEnds) {
        for start in &recorded.starts {
            self.ends.record(now, start);
        }
        if let Some(upstream) = &mut self.upstream {
            let mut runs = recorded.runs.iter();
            if let Some(run) = runs.find(|run| run.run == upstream.announcement.run_digest()) {
                upstream.record_end(run);
            }
        }
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
        match self.decide_announcement(now, &announcement) {
            AnnounceStep::Take => self.take_announcement(now, announcement, steps),
            AnnounceStep::Drain => self.drain_run(steps),
            AnnounceStep::Agree => {}
            AnnounceStep::Ignore(answer) => {
                log::info!(
                    instance = &*announcement.instance,
                    run_started_ms = announcement.run_started_ms,
                    sequence = announcement.sequence,
                    service = &*announcement.service,
                    reason = <&str>::from(answer);
                    "announcement_ignored"
                );
                return steps.push(AnnouncerStep::Answer(answer));
            }
        }
        steps.push(AnnouncerStep::Answer(self.answer()));
    }

    fn decide_announcement(
        &mut self,
        now: Timestamp,
        announcement: &UpstreamAnnouncement,
    ) -> AnnounceStep {
        if let Some(step) = self.compare_with_latest(now, announcement) {
            return step;
        }
        let UpstreamAnnouncement {
            instance,
            run_started_ms,
            ..
        } = announcement;
        match self.ends.excludes(instance, *run_started_ms) {
            true if announcement.is_draining => AnnounceStep::Ignore(AnnounceAnswer::Left),
            true => AnnounceStep::Ignore(AnnounceAnswer::Late),
            false => AnnounceStep::Take,
        }
    }

    /// Compares an announcement with the latest one. Returns `None` if nothing speaks against it.
    fn compare_with_latest(
        &mut self,
        now: Timestamp,
        announcement: &UpstreamAnnouncement,
    ) -> Option<AnnounceStep> {
        let late = AnnounceStep::Ignore(AnnounceAnswer::Late);
        let upstream = self.upstream.as_ref()?;
        let latest = &upstream.announcement;
        let is_same_run = announcement.is_same_run(latest);
        if is_same_run && announcement.name != latest.name && upstream.is_registered() {
            return Some(AnnounceStep::Ignore(AnnounceAnswer::OtherUpstream));
        }
        if is_same_run && upstream.is_leave_requested {
            return Some(match announcement.is_draining {
                true => AnnounceStep::Agree,
                false => late,
            });
        }
        if !announcement.contradicts(latest) {
            let is_unknown = !is_same_run && self.is_unknown_service(&announcement.service);
            return is_unknown.then_some(AnnounceStep::Ignore(AnnounceAnswer::UnknownService));
        }
        if is_same_run && announcement.is_draining {
            return Some(AnnounceStep::Drain);
        }
        let agrees = is_same_run
            && upstream.state == WireState::Serving
            && announcement.has_content_of(latest);
        match self.contradictions.observe(now, announcement) {
            ContradictionStep::Ignore if agrees => Some(AnnounceStep::Agree),
            ContradictionStep::Ignore => Some(late),
            ContradictionStep::Believe => None,
        }
    }

    /// Whether the configuration has no such service, while the registered upstream serves one that
    /// it has.
    fn is_unknown_service(&self, service: &str) -> bool {
        let (Some(config), Some(upstream)) = (&self.config, &self.upstream) else {
            return false;
        };
        let is_known = |service: &str| config.services.contains_key(service);
        let is_serving = upstream.state == WireState::Serving;
        is_serving && is_known(&upstream.announcement.service) && !is_known(service)
    }

    /// Records that the present run has announced that it drains.
    fn drain_run(&mut self, steps: &mut Vec<AnnouncerStep>) {
        if let Some(upstream) = &mut self.upstream {
            upstream.is_drain_requested = true;
            upstream.end_run();
            upstream.advance_state(WireState::Draining, steps);
        }
    }

    fn take_announcement(
        &mut self,
        now: Timestamp,
        announcement: UpstreamAnnouncement,
        steps: &mut Vec<AnnouncerStep>,
    ) {
        self.contradictions.clear();
        let is_draining = announcement.is_draining;
        match &mut self.upstream {
            Some(upstream) if upstream.is_continued_by(&announcement) => {
                upstream.announced_at = now;
                upstream.announcement = announcement;
            }
            // This is the first announcement, or the first after a leave or an expired lease, or its
            // content has changed. The content of an incarnation never changes, so a new one starts.
            _ => self.start_incarnation(now, announcement, steps),
        }
        if is_draining {
            self.drain_run(steps);
        }
    }

    fn start_incarnation(
        &mut self,
        now: Timestamp,
        announcement: UpstreamAnnouncement,
        steps: &mut Vec<AnnouncerStep>,
    ) {
        self.keep_end(now);
        let upstream = LocalUpstream {
            announcement,
            incarnation: self.next_incarnation,
            state: WireState::Serving,
            is_drain_requested: false,
            is_leave_requested: false,
            is_run_ended: false,
            recorded_end: WireState::Serving,
            announced_at: now,
            is_confirmed: false,
            was_seen: false,
            is_name_taken: false,
            schedule: ReportSchedule::default(),
            next_raise: INITIAL_RAISE,
        };
        self.next_incarnation += 1;
        steps.push(upstream.state_step());
        self.upstream = Some(upstream);
    }

    /// Returns the message that runs with this identifier have ended, without their latest start.
    fn run_end(&self, instance: &str) -> RunEnd {
        RunEnd {
            name: self.location.name.to_string(),
            instance: instance_digest(&self.location.name, instance),
            latest_start_ms: 0,
            remove_below: 0,
        }
    }

    /// Goes on reporting the end of the present run, which is about to be replaced by another.
    fn keep_end(&mut self, now: Timestamp) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        if upstream.is_end_recorded() {
            return;
        }
        let instance = upstream.announcement.instance.clone();
        let end = RunEnd {
            latest_start_ms: upstream.announcement.run_started_ms,
            ..self.run_end(&instance)
        };
        // Without room for it, a request that waits for this end gets no acknowledgement.
        self.ends.add(now, instance, end);
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
        if self.is_attached {
            self.ends.report(now, steps);
        }
        let Some(upstream) = &mut self.upstream else {
            return;
        };
        if upstream.is_settled() || !self.is_attached || !upstream.schedule.is_due(now) {
            return;
        }
        let may_be_superseded = upstream.schedule.count() >= REPORTS_BEFORE_RAISE
            && !upstream.was_seen
            && !upstream.is_name_taken
            && upstream.state != WireState::Left;
        if may_be_superseded {
            let (above, increment) = (upstream.incarnation, upstream.next_raise);
            upstream.next_raise = increment.saturating_mul(RAISE_FACTOR);
            self.raise_incarnation(above, increment, steps);
        }
        if let Some(upstream) = &mut self.upstream {
            upstream.schedule.record(now);
            steps.push(AnnouncerStep::Report(upstream.to_report(&self.location)));
        }
    }
}
