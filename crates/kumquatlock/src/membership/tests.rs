//! Tests of upstream announcements and of the removal of lost upstreams.

use std::sync::Arc;

use kumquatlock_wire::distribution::{
    Attachment, CatalogCommand, CatalogState, RecordedEnds, RunEnd, UpstreamIncarnation,
    UpstreamItem, UpstreamReport, WireState, catalog_command::Kind,
};
use prost::Message;

mod restart;
mod writers;

use super::*;
use crate::catalog::{Catalog, SnapshotDetail, ended_run, ended_start};
use crate::core::{ConfigSnapshot, IncarnationId, Timestamp};

fn apply(catalog: &mut Catalog, kind: Kind) {
    let command = CatalogCommand { kind: Some(kind) };
    catalog.apply(catalog.applied_index() + 1, &command);
}

fn snapshot_of(catalog: &Catalog) -> Arc<ConfigSnapshot> {
    let encoded = catalog.encode_snapshot(SnapshotDetail::Routing);
    let state = CatalogState::decode(encoded.bytes).unwrap();
    Arc::new(ConfigSnapshot::from_state(&state, encoded.digest).unwrap())
}

/// Returns a catalog with two zones in one region and one zone in another, each with `zone_size`
/// upstreams.
fn mesh(zone_size: usize) -> Catalog {
    let mut catalog = Catalog::new();
    for (zone, region) in [("z1", "r1"), ("z2", "r1"), ("z3", "r2")] {
        for number in 0..zone_size {
            let upstream = UpstreamItem {
                name: format!("{zone}-{number}"),
                service: "a".into(),
                zone: zone.into(),
                region: region.into(),
                node_address: "127.0.0.1:1".into(),
                incarnation: 1,
                slots: 1,
                ..UpstreamItem::default()
            };
            apply(
                &mut catalog,
                Kind::Report(UpstreamReport {
                    upstream,
                    ..UpstreamReport::default()
                }),
            );
        }
    }
    catalog
}

struct Leader {
    catalog: Catalog,
    tracker: AttachmentTracker,
    now: Timestamp,
    sequence: u64,
}

impl Leader {
    fn new(zone_size: usize) -> Leader {
        Leader {
            catalog: mesh(zone_size),
            tracker: AttachmentTracker::new(Timestamp::default()),
            now: Timestamp::default(),
            sequence: 0,
        }
    }

    /// Simulates `seconds` seconds during which the upstreams selected by `is_attached` are
    /// attached. Applies each proposed removal, and returns the removed names, each with the second
    /// of its removal.
    fn run(&mut self, seconds: u64, is_attached: impl Fn(&str) -> bool) -> Vec<(u64, String)> {
        let mut removed = Vec::new();
        for _ in 0..seconds {
            self.now = self.now + Duration::from_secs(1);
            self.sequence += 1;
            let attached = self
                .catalog
                .upstreams()
                .filter(|item| is_attached(&item.name));
            let message = Attachment {
                reporter: "replica-1".into(),
                complete: true,
                attached: attached.map(expiry_of).collect(),
                detached: Vec::new(),
                sequence: self.sequence,
            };
            assert_eq!(
                self.tracker.record(self.now, &message),
                RecordOutcome::Recorded
            );
            if let ExpiryDecision::Propose(list) = self.tracker.expire(self.now, &self.catalog) {
                for expiry in list {
                    removed.push((self.now.0 / 1_000_000, expiry.name.clone()));
                    apply(&mut self.catalog, Kind::Expire(expiry));
                }
            }
        }
        removed
    }
}

fn expiry_of(item: &UpstreamItem) -> UpstreamIncarnation {
    UpstreamIncarnation {
        name: item.name.clone(),
        incarnation: item.incarnation,
    }
}

/// Guards against a lost upstream that is never removed, or removed too early.
#[test]
fn a_lost_upstream_is_removed_after_thirty_seconds() {
    let mut leader = Leader::new(3);
    assert!(leader.run(70, |_| true).is_empty());
    let removed = leader.run(60, |name| name != "z1-1");
    assert_eq!(removed, [(101, "z1-1".to_owned())]);
}

/// Guards against a new leader that removes upstreams because their parents have not reported them
/// yet.
#[test]
fn a_new_leader_removes_nothing_during_the_grace_period() {
    let mut leader = Leader::new(20);
    let removed = leader.run(59, |name| name != "z1-1");
    assert!(removed.is_empty());
    let removed = leader.run(5, |name| name != "z1-1");
    assert_eq!(removed, [(60, "z1-1".to_owned())]);
}

/// Guards against a network partition that removes all upstreams of a zone or region from the
/// catalog.
#[test]
fn a_partition_removes_nothing_and_removals_are_rate_limited() {
    let mut leader = Leader::new(40);
    leader.run(60, |_| true);
    assert!(
        leader.run(600, |name| !name.starts_with("z3")).is_empty(),
        "removed upstreams of a region that is cut off"
    );
    assert!(
        leader.run(600, |name| !name.starts_with("z1")).is_empty(),
        "removed upstreams of a zone that is cut off"
    );
    // After the partition, a quarter of the zone attaches 20 s later than the rest.
    let is_late = |name: &str| name.starts_with("z1-3");
    assert!(
        leader.run(20, |name| !is_late(name)).is_empty(),
        "removed upstreams right after the partition"
    );
    leader.run(1, |_| true);
    let lost = |name: &str| name.starts_with("z1-1") && name.len() == 5;
    let removed = leader.run(120, |name| !lost(name));
    assert_eq!(removed.len(), 10, "10 of 40 are lost");
    for (second, _) in &removed {
        let window = *second..*second + 10;
        let count = removed.iter().filter(|(at, _)| window.contains(at)).count();
        assert!(count <= 4, "{count} removals within 10 s");
    }
    println!(
        "10 of 40 lost: removed at {:?} s",
        removed.iter().map(|(at, _)| at).collect::<Vec<_>>()
    );
}

/// Guards against a region that is lost for good and forever blocks the removal of lost upstreams,
/// its own and those elsewhere.
#[test]
fn a_lost_region_blocks_removals_only_until_the_timeout() {
    let mut leader = Leader::new(40);
    leader.run(60, |_| true);
    let is_attached = |name: &str| !name.starts_with("z3") && name != "z1-1";
    assert!(leader.run(600, is_attached).is_empty());
    let removed = leader.run(60, is_attached);
    assert_eq!(removed.len(), 1, "{removed:?}");
    assert_eq!(
        removed[0].1, "z1-1",
        "the upstream outside the lost region is removed after 10 minutes"
    );
    println!(
        "upstream outside the lost region: removed {} s after its loss",
        removed[0].0 - 61
    );
    assert!(
        leader.run(2_930, is_attached).is_empty(),
        "removed upstreams of the lost region within the hour"
    );
    let removed = leader.run(450, is_attached);
    assert_eq!(
        removed.len(),
        40,
        "all upstreams of the lost region are removed after an hour"
    );
    let seconds: Vec<u64> = removed.iter().map(|(second, _)| *second).collect();
    assert!(seconds.windows(2).all(|pair| pair[1] - pair[0] >= 10));
    println!(
        "upstreams of the lost region: removed from {} s to {} s",
        seconds[0], seconds[39]
    );
    // Half of a zone is lost for good. Upstreams of the other half that are unattached for a short
    // time are not removed.
    let is_lost = |name: &str| name.starts_with("z1-1") || name.starts_with("z1-2");
    leader.run(3_700, |name| !is_lost(name));
    let removed = leader.run(12, |name| !name.starts_with("z1-"));
    assert!(removed.iter().all(|(_, name)| is_lost(name)), "{removed:?}");
}

/// Guards against removal of the upstreams that attach last after a long partition, and against a
/// leader that is cut off from most of the mesh and removes most of the catalog.
#[test]
fn a_long_partition_and_an_isolated_leader_remove_nothing() {
    let mut leader = Leader::new(40);
    leader.run(60, |_| true);
    assert!(leader.run(1_200, |name| !name.starts_with("z3")).is_empty());
    let is_late = |name: &str| name.starts_with("z3-3");
    assert!(
        leader.run(20, |name| !is_late(name)).is_empty(),
        "removed upstreams right after the partition"
    );
    leader.run(60, |_| true);
    assert!(
        leader.run(5_000, |name| name.starts_with("z3")).is_empty(),
        "removed upstreams while most of the mesh was unattached"
    );
    leader.run(1, |_| true);
    assert!(
        leader.run(590, |name| !name.starts_with("z3")).is_empty(),
        "the timeout did not start anew after the partition"
    );
}

/// Guards against delayed attachment messages that overwrite newer ones, and against a failed
/// parent whose nodes still count as attached.
#[test]
fn late_messages_and_silent_reporters_are_ignored() {
    let mut leader = Leader::new(20);
    leader.run(60, |_| true);
    let late = Attachment {
        reporter: "replica-1".into(),
        complete: true,
        sequence: leader.sequence,
        ..Attachment::default()
    };
    assert_eq!(
        leader.tracker.record(leader.now, &late),
        RecordOutcome::Late
    );
    leader.tracker.expire(leader.now, &leader.catalog);
    assert_eq!(leader.tracker.unattached_count(), 0);
    let later = leader.now + crate::distribution::REPORTER_TIMEOUT;
    let decision = leader.tracker.expire(later, &leader.catalog);
    assert!(matches!(decision, ExpiryDecision::Withheld { .. }));
    assert_eq!(leader.tracker.unattached_count(), 60);
}

struct Node {
    announcer: UpstreamAnnouncer,
    now: Timestamp,
    reports: Vec<UpstreamReport>,
    run_ends: Vec<RunEnd>,
}

impl Node {
    fn new(started_ms: u64) -> Node {
        let location = NodeLocation {
            name: "a-1".into(),
            zone: "z1".into(),
            region: "r1".into(),
            address: ([127, 0, 0, 1], 9).into(),
        };
        let mut node = Node {
            announcer: UpstreamAnnouncer::new(location, started_ms),
            now: Timestamp::default(),
            reports: Vec::new(),
            run_ends: Vec::new(),
        };
        node.handle(AnnouncerEvent::UplinkChanged { is_attached: true });
        node
    }

    fn handle(&mut self, event: AnnouncerEvent) -> Option<AnnounceAnswer> {
        let mut answer = None;
        for step in self.announcer.handle(self.now, event) {
            match step {
                AnnouncerStep::Report(report) => self.reports.push(report),
                AnnouncerStep::ReportEnd(end) => self.run_ends.push(end),
                AnnouncerStep::Answer(given) => answer = Some(given),
                AnnouncerStep::SetState { .. } | AnnouncerStep::Removed => {}
            }
        }
        answer
    }

    fn announce(&mut self) -> AnnounceAnswer {
        let announcement = UpstreamAnnouncement {
            name: "a-1".into(),
            service: "a".into(),
            address: ([127, 0, 0, 1], 8).into(),
            slots: 4,
            connections: 4,
            instance: crate::core::SharedName::default(),
            run_started_ms: 0,
            sequence: 0,
            version: crate::core::SharedName::default(),
            is_draining: false,
        };
        self.handle(AnnouncerEvent::Announce(announcement)).unwrap()
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.handle(AnnouncerEvent::Tick);
        }
    }

    /// Applies the latest report and the ends of runs to the catalog, and the resulting
    /// configuration to the node. Confirms what is recorded, as the node's parent does.
    fn commit(&mut self, catalog: &mut Catalog) {
        let mut recorded = RecordedEnds::default();
        if let Some(report) = self.reports.last().cloned() {
            let run = ended_run(&report);
            apply(catalog, Kind::Report(report));
            recorded.runs = run
                .into_iter()
                .filter(|run| catalog.records_run(run))
                .collect();
        }
        for end in self.run_ends.drain(..) {
            let start = ended_start(&end);
            apply(catalog, Kind::RunEnd(end));
            let is_recorded = catalog.records_start(&start);
            recorded.starts.extend(is_recorded.then_some(start));
        }
        self.handle(AnnouncerEvent::EndsRecorded(recorded));
        self.handle(AnnouncerEvent::ConfigApplied(snapshot_of(catalog)));
    }

    fn last_report(&self) -> (u64, WireState) {
        let item = &self.reports.last().unwrap().upstream;
        (item.incarnation, WireState::try_from(item.state).unwrap())
    }
}

fn serving(incarnation: u64) -> AnnounceAnswer {
    let incarnation = IncarnationId(incarnation);
    AnnounceAnswer::Serving { incarnation }
}

/// Guards against a lost report that is not repeated, and against reports that are repeated after
/// they have taken effect.
#[test]
fn a_report_is_repeated_until_it_takes_effect() {
    let (mut node, mut catalog) = (Node::new(100), Catalog::new());
    assert_eq!(node.announce(), serving(100));
    node.run(4_000);
    let repeats = node.reports.len();
    assert!((3..=5).contains(&repeats), "{repeats} reports in 4 s");
    node.commit(&mut catalog);
    node.announce();
    node.run(5_000);
    assert_eq!(node.reports.len(), repeats);
}

/// Guards against an upstream that has failed or hangs and still receives calls, and against an
/// upstream that returns under an incarnation that has already ended.
#[test]
fn a_silent_upstream_is_drained_and_returns_under_a_new_incarnation() {
    let (mut node, mut catalog) = (Node::new(100), Catalog::new());
    node.announce();
    node.commit(&mut catalog);
    node.run(5_900);
    assert_eq!(node.last_report(), (100, WireState::Serving));
    node.run(200);
    assert_eq!(node.last_report(), (100, WireState::Draining));
    node.commit(&mut catalog);
    assert_eq!(node.announce(), serving(101));
    node.commit(&mut catalog);
    node.run(12_000);
    assert_eq!(node.last_report(), (101, WireState::Left));
    node.commit(&mut catalog);
    assert!(catalog.upstream("a-1").is_none());
    assert_eq!(node.announce(), serving(102));
    node.commit(&mut catalog);
    assert_eq!(
        node.handle(AnnouncerEvent::Drain),
        Some(AnnounceAnswer::Draining)
    );
    assert_eq!(
        node.announce(),
        AnnounceAnswer::Draining,
        "an announcement must not end requested draining"
    );
    assert_eq!(
        node.handle(AnnouncerEvent::Leave),
        Some(AnnounceAnswer::Left)
    );
    assert_eq!(node.last_report(), (102, WireState::Left));
}

/// Guards against reports that never take effect, because the upstream was removed while its node
/// was cut off or because the node restarted with a clock that is behind.
#[test]
fn an_ineffective_incarnation_is_raised() {
    let (mut node, mut catalog) = (Node::new(100), Catalog::new());
    node.announce();
    node.commit(&mut catalog);
    let expiry = expiry_of(catalog.upstream("a-1").unwrap());
    apply(&mut catalog, Kind::Expire(expiry));
    node.handle(AnnouncerEvent::ConfigApplied(snapshot_of(&catalog)));
    assert_eq!(node.last_report(), (101, WireState::Serving));
    node.commit(&mut catalog);

    let mut restarted = Node::new(50);
    restarted.announce();
    restarted.commit(&mut catalog);
    assert_eq!(restarted.last_report(), (102, WireState::Serving));
    restarted.commit(&mut catalog);
    assert!(restarted.announcer.is_confirmed());
    restarted.handle(AnnouncerEvent::Leave);
    restarted.commit(&mut catalog);

    // The catalog rejects reports of the ended incarnation, but the configuration that nodes
    // receive does not contain it.
    let mut again = Node::new(50);
    for _ in 0..600 {
        again.announce();
        again.run(100);
        again.commit(&mut catalog);
    }
    assert!(again.announcer.is_confirmed(), "{:?}", again.last_report());
}

fn run_announcement(instance: &str, run_started_ms: u64, sequence: u64) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: "a-1".into(),
        service: "a".into(),
        address: ([127, 0, 0, 1], 8).into(),
        slots: 4,
        connections: 4,
        instance: instance.into(),
        run_started_ms,
        sequence,
        version: crate::core::SharedName::default(),
        is_draining: false,
    }
}

/// Guards against a delayed announcement that overwrites a later one or registers a run that has
/// ended.
#[test]
fn a_delayed_announcement_is_ignored() {
    let mut node = Node::new(100);
    let mut announce = |instance: &str, run_started_ms, sequence| {
        let announcement = run_announcement(instance, run_started_ms, sequence);
        let answer = node.handle(AnnouncerEvent::Announce(announcement));
        (
            answer.unwrap(),
            node.announcer.announcement().unwrap().instance.clone(),
        )
    };
    assert!(matches!(
        announce("run-1", 10, 5).0,
        AnnounceAnswer::Serving { .. }
    ));
    // It says what the node believes, so it is acknowledged.
    assert!(matches!(
        announce("run-1", 10, 4).0,
        AnnounceAnswer::Serving { .. }
    ));
    assert!(matches!(
        announce("run-2", 20, 1).0,
        AnnounceAnswer::Serving { .. }
    ));
    let (answer, instance) = announce("run-1", 10, 6);
    assert_eq!(answer, AnnounceAnswer::Late);
    assert_eq!(&*instance, "run-2");
    let sequence = node.announcer.announcement().unwrap().sequence;
    assert_eq!(sequence, 1);
}

/// Guards against a leave request of an earlier run that takes the current run out of service.
#[test]
fn a_leave_ends_only_the_run_that_it_names() {
    let mut node = Node::new(100);
    node.handle(AnnouncerEvent::Announce(run_announcement("run-2", 20, 1)));
    node.handle(AnnouncerEvent::LeaveRun("run-1".into()));
    assert_eq!(node.last_report().1, WireState::Serving);
    node.handle(AnnouncerEvent::LeaveRun("run-2".into()));
    assert_eq!(node.last_report().1, WireState::Left);
}
