//! Announcements that arrive late, at a node that has restarted and knows nothing of before.

use kumquatlock_wire::distribution::WireState;

use super::{Node, run_announcement};
use crate::catalog::{Catalog, MAX_ENDED_RUNS};
use crate::core::SharedName;
use crate::membership::{
    AnnounceAnswer, AnnouncerEvent, EndProgress, MAX_RUN_ENDS, RUN_END_RETENTION,
};

/// A catalog, and a node of which each start is a new process.
struct Mesh {
    catalog: Catalog,
    node: Node,
    starts: u64,
}

impl Mesh {
    fn new() -> Self {
        Mesh {
            catalog: Catalog::new(),
            node: Node::new(1_000),
            starts: 1,
        }
    }

    fn restart_node(&mut self) {
        self.starts += 1;
        self.node = Node::new(1_000 * self.starts);
    }

    /// Lets all control instances start again from a log snapshot.
    fn restart_control(&mut self) {
        self.catalog = Catalog::from_state(&self.catalog.to_state()).unwrap();
    }

    fn announce(&mut self, instance: &str, run_started_ms: u64, sequence: u64) {
        let announcement = run_announcement(instance, run_started_ms, sequence);
        self.handle(AnnouncerEvent::Announce(announcement));
    }

    /// Handles an event, and commits what the node reports within the next two seconds.
    fn handle(&mut self, event: AnnouncerEvent) {
        self.node.handle(event);
        for _ in 0..20 {
            self.node.run(100);
            self.node.commit(&mut self.catalog);
        }
    }

    fn end_progress(&self, instance: &str) -> Option<EndProgress> {
        self.node.announcer.end_progress(instance)
    }

    fn leave(&mut self, instance: &str) {
        self.handle(AnnouncerEvent::LeaveRun(instance.into()));
    }

    /// Returns the state that the configuration shows.
    fn state(&self) -> Option<WireState> {
        let upstream = self.catalog.upstream("a-1")?;
        WireState::try_from(upstream.state).ok()
    }
}

/// Guards against an upstream that has left and is in use again, because its node has restarted and
/// gets an announcement that was sent before the leave.
#[test]
fn a_run_that_has_left_does_not_return_after_a_restart_of_its_node() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    assert_eq!(mesh.state(), Some(WireState::Serving));
    mesh.leave("run-1");
    for sequence in 2..4 {
        mesh.restart_node();
        mesh.announce("run-1", 10, sequence);
        assert_eq!(mesh.state(), None);
    }
    mesh.restart_control();
    mesh.restart_node();
    mesh.announce("run-1", 10, 4);
    assert_eq!(mesh.state(), None);
}

/// Guards against a draining upstream that serves again for the same reason.
#[test]
fn a_draining_run_does_not_serve_again_after_a_restart_of_its_node() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    mesh.handle(AnnouncerEvent::Drain);
    mesh.restart_node();
    mesh.announce("run-1", 10, 2);
    assert_eq!(mesh.state(), Some(WireState::Draining));
    mesh.handle(AnnouncerEvent::Drain);
    mesh.leave("run-1");
    assert_eq!(mesh.state(), None);
}

/// Guards against the late announcement of a run that has left, after its successor has announced
/// itself.
#[test]
fn a_late_announcement_of_a_forerunner_does_not_replace_its_successor() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    mesh.leave("run-1");
    mesh.announce("run-2", 20, 1);
    mesh.restart_node();
    mesh.announce("run-1", 10, 2);
    mesh.announce("run-2", 20, 2);
    assert_eq!(mesh.state(), Some(WireState::Serving));
    let report = mesh.node.reports.last().unwrap();
    assert_eq!(report.upstream.incarnation, mesh.incarnation());
}

impl Mesh {
    fn incarnation(&self) -> u64 {
        let upstream = self.catalog.upstream("a-1");
        upstream.map_or(0, |upstream| upstream.incarnation)
    }
}

/// Guards against an upstream that is lost for good because its node was stopped, it was silent for
/// a while, or it started again under the identifier that it had.
#[test]
fn a_run_that_has_not_announced_its_end_serves_again() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    mesh.handle(AnnouncerEvent::Stop);
    mesh.handle(AnnouncerEvent::Leave);
    assert_eq!(mesh.state(), None);
    mesh.restart_node();
    mesh.announce("run-1", 10, 2);
    assert_eq!(mesh.state(), Some(WireState::Serving));
    mesh.node.run(13_000);
    mesh.node.commit(&mut mesh.catalog);
    assert_eq!(mesh.state(), None);
    mesh.announce("run-1", 10, 3);
    assert_eq!(mesh.state(), Some(WireState::Serving));
    mesh.leave("run-1");
    mesh.announce("run-1", 11, 1);
    assert_eq!(mesh.state(), Some(WireState::Serving));
}

/// Guards against a list of ended runs that grows without limit.
#[test]
fn the_oldest_ended_runs_are_forgotten() {
    let mut mesh = Mesh::new();
    for number in 0..=MAX_ENDED_RUNS as u64 {
        let name: SharedName = format!("run-{number}").into();
        let announcement = run_announcement(&name, 10, 1);
        mesh.node.handle(AnnouncerEvent::Announce(announcement));
        mesh.node.handle(AnnouncerEvent::LeaveRun(name));
        mesh.node.commit(&mut mesh.catalog);
    }
    let history = mesh.catalog.to_state().history.unwrap();
    assert_eq!(history.ended_runs.len(), MAX_ENDED_RUNS);
    mesh.restart_node();
    mesh.announce("run-1", 10, 2);
    assert_eq!(mesh.state(), None);
    mesh.restart_node();
    mesh.announce("run-0", 10, 2);
    assert_eq!(mesh.state(), Some(WireState::Serving));
}

/// Guards against a leave that counts as known to control although no report of it has arrived.
#[test]
fn the_end_of_a_run_is_recorded_once_the_configuration_shows_it() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    assert_eq!(mesh.end_progress("run-1"), Some(EndProgress::Recorded));
    let leave = AnnouncerEvent::LeaveRun("run-1".into());
    mesh.node.handle(leave);
    assert_eq!(mesh.end_progress("run-1"), Some(EndProgress::Reported));
    mesh.node.commit(&mut mesh.catalog);
    assert_eq!(mesh.end_progress("run-1"), Some(EndProgress::Recorded));
    mesh.announce("run-2", 20, 1);
    let detached = AnnouncerEvent::UplinkChanged { is_attached: false };
    mesh.node.handle(detached);
    mesh.node.handle(AnnouncerEvent::Drain);
    assert_eq!(mesh.end_progress("run-2"), Some(EndProgress::Unreported));
}

/// Guards against an upstream that is in use again after its leave was acknowledged: the leave is
/// the first thing that its node hears after a restart, and an announcement from before follows.
#[test]
fn a_run_that_leaves_a_restarted_node_does_not_return() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 1_010, 1);
    mesh.restart_node();
    mesh.leave("run-1");
    mesh.announce("run-1", 1_010, 2);
    assert_eq!(mesh.state(), None);
    mesh.restart_control();
    mesh.restart_node();
    mesh.announce("run-1", 1_010, 3);
    assert_eq!(mesh.state(), None);
}

/// Guards against an acknowledgement of a leave that no part of control has recorded, because the
/// node did not know the run, or because the configuration had not named its upstream yet.
#[test]
fn a_leave_is_recorded_only_once_control_confirms_it() {
    let mut mesh = Mesh::new();
    mesh.node.handle(AnnouncerEvent::LeaveRun("run-1".into()));
    assert_eq!(mesh.end_progress("run-1"), Some(EndProgress::Reported));
    mesh.node.commit(&mut mesh.catalog);
    assert_eq!(mesh.end_progress("run-1"), Some(EndProgress::Recorded));
    let announcement = run_announcement("run-2", 4_000, 1);
    mesh.node.handle(AnnouncerEvent::Announce(announcement));
    mesh.node.handle(AnnouncerEvent::LeaveRun("run-2".into()));
    let unrelated = super::snapshot_of(&mesh.catalog);
    mesh.node.handle(AnnouncerEvent::ConfigApplied(unrelated));
    assert_eq!(mesh.end_progress("run-2"), Some(EndProgress::Reported));
}

/// Guards against the end of a run that is lost because the next run announces itself before
/// control has recorded it.
#[test]
fn the_end_of_a_replaced_run_is_still_recorded() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    mesh.node.handle(AnnouncerEvent::LeaveRun("run-1".into()));
    mesh.node.reports.clear();
    mesh.announce("run-2", 20, 1);
    assert_eq!(mesh.state(), Some(WireState::Serving));
    assert_eq!(mesh.end_progress("run-1"), Some(EndProgress::Recorded));
    mesh.restart_node();
    mesh.announce("run-1", 10, 2);
    let upstream = mesh.node.reports.last().unwrap();
    assert!(mesh.catalog.excludes_run_of(upstream));
}

/// Guards against a run that is kept out by the end of an earlier one, under another identifier or
/// under its own.
#[test]
fn a_later_run_serves_after_the_end_of_an_unknown_one() {
    for (instance, run_started_ms) in [("run-2", 20), ("run-1", 5_000)] {
        let mut mesh = Mesh::new();
        mesh.leave("run-1");
        mesh.announce(instance, run_started_ms, 1);
        assert_eq!(mesh.state(), Some(WireState::Serving), "{instance}");
    }
}

/// Guards against an entry that stays in the configuration although its upstream has left, and
/// against one that is removed although another run serves under it.
#[test]
fn the_end_of_an_unknown_run_removes_only_an_entry_from_before_the_restart() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    mesh.restart_node();
    mesh.leave("run-1");
    assert_eq!(mesh.state(), None);
    mesh.announce("run-2", 20, 1);
    for instance in ["run-1", "run-0"] {
        let leave = AnnouncerEvent::LeaveRun(instance.into());
        mesh.node.handle(leave);
    }
    mesh.node.commit(&mut mesh.catalog);
    assert_eq!(mesh.end_progress("run-0"), Some(EndProgress::Recorded));
    assert_eq!(mesh.state(), Some(WireState::Serving));
}

/// Guards against announced ends of runs that never were and displace the record of one that was,
/// or that cause reports without limit.
#[test]
fn ends_of_runs_that_never_were_are_bounded() {
    let mut mesh = Mesh::new();
    mesh.announce("run-1", 10, 1);
    mesh.leave("run-1");
    mesh.restart_node();
    for number in 0..MAX_RUN_ENDS {
        let instance = format!("none-{number}").into();
        mesh.node.handle(AnnouncerEvent::LeaveRun(instance));
    }
    mesh.node.commit(&mut mesh.catalog);
    let answer = |mesh: &mut Mesh| mesh.node.handle(AnnouncerEvent::LeaveRun("more".into()));
    mesh.node.run_ends.clear();
    assert_eq!(answer(&mut mesh), Some(AnnounceAnswer::TooManyEnds));
    assert_eq!(mesh.end_progress("more"), None);
    assert_eq!(mesh.node.run_ends, []);
    mesh.node.run(RUN_END_RETENTION.as_millis() as u64);
    assert_eq!(answer(&mut mesh), Some(AnnounceAnswer::Left));
    mesh.restart_node();
    mesh.announce("run-1", 10, 2);
    assert_eq!(mesh.state(), None);
}
