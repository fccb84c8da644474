//! Announcements that arrive late, at a node that has restarted and knows nothing of before.

use kumquatlock_wire::distribution::WireState;

use super::{Node, run_announcement};
use crate::catalog::{Catalog, MAX_ENDED_RUNS};
use crate::core::SharedName;
use crate::membership::{AnnouncerEvent, EndProgress};

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
    assert_eq!(mesh.node.announcer.end_progress(), EndProgress::Recorded);
    let leave = AnnouncerEvent::LeaveRun("run-1".into());
    mesh.node.handle(leave);
    assert_eq!(mesh.node.announcer.end_progress(), EndProgress::Reported);
    mesh.node.commit(&mut mesh.catalog);
    assert_eq!(mesh.node.announcer.end_progress(), EndProgress::Recorded);
    mesh.announce("run-2", 20, 1);
    let detached = AnnouncerEvent::UplinkChanged { is_attached: false };
    mesh.node.handle(detached);
    mesh.node.handle(AnnouncerEvent::Drain);
    assert_eq!(mesh.node.announcer.end_progress(), EndProgress::Unreported);
}
