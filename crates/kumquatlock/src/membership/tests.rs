//! Tests of announcements and expiry.

use std::sync::Arc;

use kumquatlock_wire::distribution::{
    Attachment, CatalogCommand, CatalogState, UpstreamIncarnation, UpstreamItem, UpstreamReport,
    WireState, catalog_command::Kind,
};
use prost::Message;

use super::*;
use crate::catalog::{Catalog, SnapshotDetail};
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

/// Two zones in one region and one zone in another, `zone_size` upstreams each.
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
            apply(&mut catalog, Kind::Report(UpstreamReport { upstream }));
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

    /// Runs for some seconds while the upstreams chosen by `is_attached` are attached. Applies
    /// each removal and returns the removed names with the second.
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

/// Guards against a lost upstream that stays for ever, and one that is removed too early.
#[test]
fn a_lost_upstream_is_removed_after_thirty_seconds() {
    let mut leader = Leader::new(3);
    assert!(leader.run(70, |_| true).is_empty());
    let removed = leader.run(60, |name| name != "z1-1");
    assert_eq!(removed, [(101, "z1-1".to_owned())]);
}

/// Guards against a new leader that removes everyone because it has not heard of them yet.
#[test]
fn a_new_leader_removes_nothing_during_the_grace() {
    let mut leader = Leader::new(20);
    let removed = leader.run(59, |name| name != "z1-1");
    assert!(removed.is_empty());
    let removed = leader.run(5, |name| name != "z1-1");
    assert_eq!(removed, [(60, "z1-1".to_owned())]);
}

/// Guards against a partition that empties a zone or a region from the catalog.
#[test]
fn a_partition_removes_nothing_and_a_partial_loss_only_slowly() {
    let mut leader = Leader::new(40);
    leader.run(60, |_| true);
    assert!(
        leader.run(600, |name| !name.starts_with("z3")).is_empty(),
        "region"
    );
    assert!(
        leader.run(600, |name| !name.starts_with("z1")).is_empty(),
        "zone"
    );
    // When the partition ends, a quarter of the zone takes 20 s longer than the rest.
    let is_late = |name: &str| name.starts_with("z1-3");
    assert!(leader.run(20, |name| !is_late(name)).is_empty(), "healing");
    leader.run(1, |_| true);
    let lost = |name: &str| name.starts_with("z1-1") && name.len() == 5;
    let removed = leader.run(120, |name| !lost(name));
    assert_eq!(removed.len(), 10, "10 of 40 are lost");
    for (second, _) in &removed {
        let window = *second..*second + 10;
        let count = removed.iter().filter(|(at, _)| window.contains(at)).count();
        assert!(count <= 4, "{count} within 10 s");
    }
    println!(
        "10 of 40 lost: removed at {:?} s",
        removed.iter().map(|(at, _)| at).collect::<Vec<_>>()
    );
}

/// Guards against a region that is gone for good and keeps every lost upstream elsewhere in the
/// catalog, and its own.
#[test]
fn a_place_that_is_gone_holds_up_removals_only_for_a_time() {
    let mut leader = Leader::new(40);
    leader.run(60, |_| true);
    let is_attached = |name: &str| !name.starts_with("z3") && name != "z1-1";
    assert!(leader.run(600, is_attached).is_empty());
    let removed = leader.run(60, is_attached);
    assert_eq!(removed.len(), 1, "{removed:?}");
    assert_eq!(removed[0].1, "z1-1", "elsewhere after 10 minutes");
    println!(
        "the loss elsewhere: removed {} s after it",
        removed[0].0 - 61
    );
    assert!(leader.run(2_930, is_attached).is_empty(), "within the hour");
    let removed = leader.run(450, is_attached);
    assert_eq!(removed.len(), 40, "the place itself, after an hour");
    let seconds: Vec<u64> = removed.iter().map(|(second, _)| *second).collect();
    assert!(seconds.windows(2).all(|pair| pair[1] - pair[0] >= 10));
    println!(
        "the place itself: removed from {} s to {} s",
        seconds[0], seconds[39]
    );
    // Half of a zone is gone; a node of the other half that is away for a moment stays.
    let is_gone = |name: &str| name.starts_with("z1-1") || name.starts_with("z1-2");
    leader.run(3_700, |name| !is_gone(name));
    let removed = leader.run(12, |name| !name.starts_with("z1-"));
    assert!(removed.iter().all(|(_, name)| is_gone(name)), "{removed:?}");
}

/// Guards against a long partition whose end removes those that attach last, and against a leader
/// that has lost most of the mesh and empties the catalog.
#[test]
fn a_long_partition_and_a_leader_on_its_own_remove_nothing() {
    let mut leader = Leader::new(40);
    leader.run(60, |_| true);
    assert!(leader.run(1_200, |name| !name.starts_with("z3")).is_empty());
    let is_late = |name: &str| name.starts_with("z3-3");
    assert!(leader.run(20, |name| !is_late(name)).is_empty(), "healing");
    leader.run(60, |_| true);
    assert!(
        leader.run(5_000, |name| name.starts_with("z3")).is_empty(),
        "alone"
    );
    leader.run(1, |_| true);
    assert!(
        leader.run(590, |name| !name.starts_with("z3")).is_empty(),
        "counted anew"
    );
}

/// Guards against messages of an old path that undo newer ones, and against a dead parent that
/// keeps its nodes attached.
#[test]
fn late_messages_and_silent_reporters_do_not_count() {
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
    reports: Vec<UpstreamItem>,
}

impl Node {
    fn new(started_ms: u64) -> Node {
        let place = NodeLocation {
            zone: "z1".into(),
            region: "r1".into(),
            address: ([127, 0, 0, 1], 9).into(),
        };
        let mut node = Node {
            announcer: UpstreamAnnouncer::new(place, started_ms),
            now: Timestamp::default(),
            reports: Vec::new(),
        };
        node.handle(AnnouncerEvent::UplinkChanged { is_attached: true });
        node
    }

    fn handle(&mut self, event: AnnouncerEvent) -> Option<AnnounceAnswer> {
        let mut answer = None;
        for step in self.announcer.handle(self.now, event) {
            match step {
                AnnouncerStep::Report(report) => self.reports.push(report.upstream),
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
        };
        self.handle(AnnouncerEvent::Announce(announcement)).unwrap()
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.handle(AnnouncerEvent::Tick);
        }
    }

    /// Commits the latest report and shows the result to the node.
    fn commit(&mut self, catalog: &mut Catalog) {
        if let Some(upstream) = self.reports.last().cloned() {
            apply(catalog, Kind::Report(UpstreamReport { upstream }));
        }
        self.handle(AnnouncerEvent::ConfigApplied(snapshot_of(catalog)));
    }

    fn last(&self) -> (u64, WireState) {
        let item = self.reports.last().unwrap();
        (item.incarnation, WireState::try_from(item.state).unwrap())
    }
}

fn serving(incarnation: u64) -> AnnounceAnswer {
    let incarnation = IncarnationId(incarnation);
    AnnounceAnswer::Serving { incarnation }
}

/// Guards against a lost report, and against reports that never end.
#[test]
fn a_report_is_repeated_until_it_is_seen() {
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

/// Guards against an upstream that died or hangs and still receives work, and against one that
/// comes back under an incarnation that the catalog has ended.
#[test]
fn a_silent_upstream_is_drained_and_left_and_comes_back_anew() {
    let (mut node, mut catalog) = (Node::new(100), Catalog::new());
    node.announce();
    node.commit(&mut catalog);
    node.run(5_900);
    assert_eq!(node.last(), (100, WireState::Serving));
    node.run(200);
    assert_eq!(node.last(), (100, WireState::Draining));
    node.commit(&mut catalog);
    assert_eq!(node.announce(), serving(101));
    node.commit(&mut catalog);
    node.run(12_000);
    assert_eq!(node.last(), (101, WireState::Left));
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
        "asked for, so it stays"
    );
    assert_eq!(
        node.handle(AnnouncerEvent::Leave),
        Some(AnnounceAnswer::Left)
    );
    assert_eq!(node.last(), (102, WireState::Left));
}

/// Guards against a node that is expired while cut off, or restarts with a clock that is behind,
/// and then reports in vain.
#[test]
fn an_expired_or_backdated_node_raises_its_incarnation() {
    let (mut node, mut catalog) = (Node::new(100), Catalog::new());
    node.announce();
    node.commit(&mut catalog);
    let expiry = expiry_of(catalog.upstream("a-1").unwrap());
    apply(&mut catalog, Kind::Expire(expiry));
    node.handle(AnnouncerEvent::ConfigApplied(snapshot_of(&catalog)));
    assert_eq!(node.last(), (101, WireState::Serving));
    node.commit(&mut catalog);

    let mut restarted = Node::new(50);
    restarted.announce();
    restarted.commit(&mut catalog);
    assert_eq!(restarted.last(), (102, WireState::Serving));
    restarted.commit(&mut catalog);
    assert!(restarted.announcer.is_confirmed());
    restarted.handle(AnnouncerEvent::Leave);
    restarted.commit(&mut catalog);

    // The catalog remembers the ended incarnation, but the stream does not show it.
    let mut again = Node::new(50);
    for _ in 0..600 {
        again.announce();
        again.run(100);
        again.commit(&mut catalog);
    }
    assert!(again.announcer.is_confirmed(), "{:?}", again.last());
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
    }
}

/// Guards against a delayed announcement that undoes a later one, or brings back a run that has
/// ended.
#[test]
fn a_delayed_announcement_changes_nothing() {
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
    assert_eq!(announce("run-1", 10, 4).0, AnnounceAnswer::Late);
    assert!(matches!(
        announce("run-2", 20, 1).0,
        AnnounceAnswer::Serving { .. }
    ));
    let (answer, instance) = announce("run-1", 10, 6);
    assert_eq!(answer, AnnounceAnswer::Late);
    assert_eq!(&*instance, "run-2");
}

/// Guards against the leave of an earlier run that takes the present one out of service.
#[test]
fn a_leave_ends_only_the_run_that_it_names() {
    let mut node = Node::new(100);
    node.handle(AnnouncerEvent::Announce(run_announcement("run-2", 20, 1)));
    node.handle(AnnouncerEvent::LeaveRun("run-1".into()));
    assert_eq!(node.last().1, WireState::Serving);
    node.handle(AnnouncerEvent::LeaveRun("run-2".into()));
    assert_eq!(node.last().1, WireState::Left);
}
