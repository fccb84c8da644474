//! The upstream beside a node, as it was last announced, and what of it is left to report.

use kumquatlock_wire::distribution::{EndedRun, UpstreamItem, UpstreamReport, WireState};

use super::announcement::UpstreamAnnouncement;
use super::announcer::{AnnouncerStep, NodeLocation};
use super::schedule::ReportSchedule;
use crate::core::{IncarnationId, Timestamp, UpstreamState};

/// One incarnation of the local upstream.
#[derive(Debug)]
pub(super) struct LocalUpstream {
    pub(super) announcement: UpstreamAnnouncement,
    pub(super) incarnation: u64,
    pub(super) state: WireState,
    /// Whether draining was requested. Further announcements don't end it.
    pub(super) is_drain_requested: bool,
    /// Whether the run announced that it leaves. Further announcements of this run are ignored.
    pub(super) is_leave_requested: bool,
    /// Whether the run itself announced that it drains or leaves. It must not serve again, also
    /// after a restart of this node.
    pub(super) is_run_ended: bool,
    /// Latest state in which control has recorded the end of the run.
    pub(super) recorded_end: WireState,
    pub(super) announced_at: Timestamp,
    /// Whether the configuration shows this incarnation in this state.
    pub(super) is_confirmed: bool,
    /// Whether the configuration has shown this incarnation at any time.
    pub(super) was_seen: bool,
    pub(super) is_name_taken: bool,
    /// Reports of the current state.
    pub(super) schedule: ReportSchedule,
    pub(super) next_raise: u64,
}

impl LocalUpstream {
    /// Whether the upstream has not left.
    pub(super) fn is_registered(&self) -> bool {
        self.state != WireState::Left
    }

    /// Whether the incarnation goes on with this announcement.
    pub(super) fn is_continued_by(&self, announcement: &UpstreamAnnouncement) -> bool {
        let is_same = announcement.has_content_of(&self.announcement);
        self.is_registered()
            && announcement.is_same_run(&self.announcement)
            && (self.is_drain_requested || (is_same && self.state == WireState::Serving))
    }

    /// Advances to a later state. Within one incarnation, the state never returns to an earlier
    /// one.
    pub(super) fn advance_state(&mut self, state: WireState, steps: &mut Vec<AnnouncerStep>) {
        if (state as i32) <= self.state as i32 {
            return;
        }
        self.state = state;
        self.is_confirmed = false;
        self.restart_reports();
        steps.push(self.state_step());
    }

    /// Records that the run itself announced its end.
    pub(super) fn end_run(&mut self) {
        if !self.is_run_ended {
            self.is_run_ended = true;
            self.is_confirmed = false;
            self.restart_reports();
        }
    }

    /// Records that control has recorded the end of the run in this state.
    pub(super) fn record_end(&mut self, run: &EndedRun) {
        if let Ok(state) = WireState::try_from(run.state) {
            self.recorded_end = self.recorded_end.max(state);
        }
    }

    /// Whether control has recorded the end that the run announced. True if it has announced none,
    /// or if the upstream does not name its runs.
    pub(super) fn is_end_recorded(&self) -> bool {
        let has_end = self.is_run_ended && self.announcement.run_digest() != 0;
        !has_end || self.recorded_end >= self.state
    }

    /// Whether nothing is left to report.
    pub(super) fn is_settled(&self) -> bool {
        self.is_confirmed && self.is_end_recorded()
    }

    pub(super) fn restart_reports(&mut self) {
        self.schedule = ReportSchedule::default();
    }

    pub(super) fn state_step(&self) -> AnnouncerStep {
        let incarnation = IncarnationId(self.incarnation);
        let state = match self.state {
            WireState::Serving => UpstreamState::Serving,
            WireState::Draining => UpstreamState::Draining,
            WireState::Left => return AnnouncerStep::Removed,
        };
        AnnouncerStep::SetState { incarnation, state }
    }

    pub(super) fn to_report(&self, location: &NodeLocation) -> UpstreamReport {
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
            instance: self.announcement.instance_digest(),
            run_started_ms: self.announcement.run_started_ms,
        }
    }
}
