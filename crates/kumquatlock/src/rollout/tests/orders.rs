//! Orders, phases and leaders.

use kumquatlock_wire::distribution::{
    CatalogCommand, UpstreamItem, UpstreamReport, catalog_command::Kind,
};
use kumquatlock_wire::rollout::{
    EvidenceGroup, RolloutAdvance, RolloutChange, RolloutEvidence, RolloutItem, RolloutOrder,
    RolloutPhase, RolloutStart, rollout_change,
};

use crate::catalog::{ApplyOutcome, Catalog, CatalogUpdate, SnapshotDetail};
use crate::core::{ConfigSnapshot, Timestamp};
use crate::rollout::{AdvanceOutcome, DirectorInput, OrderDecision, OrderFault, RolloutDirector};

const MANIFEST: &str = r#"{"version":1,
    "services":[{"name":"booking","upstreams":["u-*"]}],
    "routes":[{"name":"r","prefix":"/","class":"lookup","service":"booking"}]}"#;

/// A catalog as one voter applies it.
#[derive(Default)]
struct AppliedLog {
    catalog: Catalog,
    index: u64,
}

impl AppliedLog {
    /// Returns a log with a manifest and an upstream of version v1.
    fn with_service() -> Self {
        let mut log = AppliedLog::default();
        log.apply(Kind::Manifest(MANIFEST.into()));
        log.announce("u-1", "v1");
        log
    }

    fn apply(&mut self, kind: Kind) -> ApplyOutcome {
        self.index += 1;
        let command = CatalogCommand { kind: Some(kind) };
        self.catalog.apply(self.index, &command)
    }

    fn announce(&mut self, name: &str, version: &str) {
        let upstream = UpstreamItem {
            name: name.into(),
            service: "booking".into(),
            zone: "z".into(),
            region: "r".into(),
            node_address: "127.0.0.1:1".into(),
            incarnation: 1,
            slots: 4,
            version: version.into(),
            ..UpstreamItem::default()
        };
        self.apply(Kind::Report(UpstreamReport {
            upstream,
            ..UpstreamReport::default()
        }));
    }

    fn order(&mut self, target: &str, duration_ms: u64, repeats_after: u64) -> OrderDecision {
        self.order_for("booking", target, duration_ms, repeats_after)
    }

    fn order_for(
        &mut self,
        service: &str,
        target: &str,
        duration_ms: u64,
        repeats_after: u64,
    ) -> OrderDecision {
        let start = RolloutStart {
            order: RolloutOrder {
                service: service.into(),
                target: target.into(),
                duration_ms,
            },
            repeats_after,
            recorded_at_ms: 1_000,
        };
        let kind = Some(rollout_change::Kind::Start(start));
        match self.apply(Kind::Rollout(RolloutChange { kind })) {
            ApplyOutcome::Order(decision) => decision,
            other => panic!("{other:?}"),
        }
    }

    fn advance(&mut self, advance: RolloutAdvance) -> AdvanceOutcome {
        let kind = Some(rollout_change::Kind::Advance(advance));
        match self.apply(Kind::Rollout(RolloutChange { kind })) {
            ApplyOutcome::Advance(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    fn advance_to(&mut self, phase: RolloutPhase) -> AdvanceOutcome {
        let item = self.item();
        self.advance(RolloutAdvance {
            service: item.service,
            order: item.order,
            from: item.phase,
            to: phase as i32,
            ..RolloutAdvance::default()
        })
    }

    fn item(&self) -> RolloutItem {
        self.catalog.rollouts().get("booking").cloned().unwrap()
    }

    fn phase(&self) -> RolloutPhase {
        self.item().phase()
    }
}

fn is_accepted(decision: &OrderDecision) -> bool {
    matches!(decision, OrderDecision::Accepted(_))
}

// An operator whose acknowledgement was lost sends the order again, and must not be refused.
#[test]
fn an_order_whose_acknowledgement_was_lost_is_accepted_again() {
    let mut log = AppliedLog::with_service();
    assert!(is_accepted(&log.order("v2", 12_000, 0)));
    let first = log.item();
    assert!(is_accepted(&log.order("v2", 12_000, 0)));
    assert_eq!(log.item(), first);
    log.advance_to(RolloutPhase::RolledBack);
    assert!(is_accepted(&log.order("v2", 12_000, 0)));
    assert_eq!(log.phase(), RolloutPhase::RolledBack);
}

#[test]
fn of_two_orders_that_race_one_is_in_progress() {
    let mut log = AppliedLog::with_service();
    assert!(is_accepted(&log.order("v2", 12_000, 0)));
    let decision = log.order("v3", 12_000, 0);
    assert!(matches!(decision, OrderDecision::InProgress(item) if item.target == "v2"));
    assert_eq!(log.item().target, "v2");
}

#[test]
fn an_equal_order_long_after_a_roll_back_starts_again() {
    let mut log = AppliedLog::with_service();
    log.order("v2", 12_000, 0);
    log.advance_to(RolloutPhase::RolledBack);
    let ended = log.item();
    let mut director = RolloutDirector::default();
    director.follow(Timestamp(0), [&ended].into_iter());
    assert_eq!(
        director.repeats_after(Timestamp(5_000_000), Some(&ended)),
        0
    );
    let after = director.repeats_after(Timestamp(60_000_000), Some(&ended));
    assert!(is_accepted(&log.order("v2", 12_000, after)));
    assert_eq!(log.phase(), RolloutPhase::Canary);
}

#[test]
fn impossible_orders_are_refused_with_a_reason() {
    let mut log = AppliedLog::with_service();
    let fault = |decision| match decision {
        OrderDecision::Refused(fault) => Some(fault),
        _ => None,
    };
    let unknown = log.order_for("other", "v2", 12_000, 0);
    assert_eq!(fault(unknown), Some(OrderFault::UnknownService));
    assert_eq!(
        fault(log.order("", 12_000, 0)),
        Some(OrderFault::InvalidVersion)
    );
    assert_eq!(
        fault(log.order("v2", 10, 0)),
        Some(OrderFault::InvalidDuration)
    );
}

// Two leaders may propose steps of one rollout; what was decided first must hold.
#[test]
fn a_late_step_of_an_earlier_leader_has_no_effect() {
    let mut log = AppliedLog::with_service();
    log.order("v2", 12_000, 0);
    let item = log.item();
    let late = RolloutAdvance {
        service: item.service,
        order: item.order,
        from: RolloutPhase::Canary as i32,
        to: RolloutPhase::Promoting as i32,
        ..RolloutAdvance::default()
    };
    log.advance_to(RolloutPhase::RolledBack);
    assert_eq!(log.advance(late), AdvanceOutcome::Ignored);
    assert_eq!(log.phase(), RolloutPhase::RolledBack);
}

#[test]
fn rollouts_survive_a_log_snapshot() {
    let mut log = AppliedLog::with_service();
    log.order("v2", 12_000, 0);
    log.advance_to(RolloutPhase::Promoting);
    let restored = Catalog::from_state(&log.catalog.to_state()).unwrap();
    assert_eq!(restored, log.catalog);
}

// A version that was never ordered must get no requests.
#[test]
fn nodes_use_only_versions_that_an_order_allows() {
    let mut log = AppliedLog::with_service();
    log.announce("u-2", "v2");
    let mut snapshot = snapshot_of(&log.catalog);
    assert_eq!(primaries(&snapshot), ["u-1"]);
    assert_eq!(canary(&snapshot), None);
    let expected = [
        (RolloutPhase::Canary, "u-1", Some("v2")),
        (RolloutPhase::Promoting, "u-2", None),
        (RolloutPhase::Completed, "u-2", None),
    ];
    for (phase, primary, on_trial) in expected {
        match phase {
            RolloutPhase::Canary => assert!(is_accepted(&log.order("v2", 12_000, 0))),
            next => assert_eq!(log.advance_to(next), AdvanceOutcome::Advanced(next)),
        }
        snapshot = updated(&snapshot, &log.catalog);
        assert_eq!(primaries(&snapshot), [primary], "{phase:?}");
        assert_eq!(canary(&snapshot), on_trial, "{phase:?}");
    }
}

#[test]
fn a_version_that_was_rolled_back_gets_no_requests() {
    let mut log = AppliedLog::with_service();
    log.announce("u-2", "v2");
    log.order("v2", 12_000, 0);
    let snapshot = snapshot_of(&log.catalog);
    assert!(!is_rolled_back(&snapshot, "u-2"));
    log.advance_to(RolloutPhase::RolledBack);
    let snapshot = updated(&snapshot, &log.catalog);
    assert_eq!(primaries(&snapshot), ["u-1"]);
    assert_eq!(canary(&snapshot), None);
    assert!(is_rolled_back(&snapshot, "u-2"));
    assert!(!is_rolled_back(&snapshot, "u-1"));
}

// Deployments that state no versions must be as they were.
#[test]
fn upstreams_without_a_version_all_serve() {
    let mut log = AppliedLog::default();
    log.apply(Kind::Manifest(MANIFEST.into()));
    log.announce("u-1", "");
    log.announce("u-2", "");
    let snapshot = snapshot_of(&log.catalog);
    assert!(snapshot.versions.is_empty());
    assert!(snapshot.services["booking"].versions.is_none());
}

fn snapshot_of(catalog: &Catalog) -> ConfigSnapshot {
    let state = catalog.encode_snapshot(SnapshotDetail::Routing);
    let state = prost::Message::decode(state.bytes).unwrap();
    ConfigSnapshot::from_state(&state, catalog.digest()).unwrap()
}

fn updated(snapshot: &ConfigSnapshot, catalog: &Catalog) -> ConfigSnapshot {
    match catalog.delta_since(snapshot.version) {
        CatalogUpdate::Delta(delta) => snapshot.apply(&delta).unwrap(),
        other => panic!("{other:?}"),
    }
}

fn primaries(snapshot: &ConfigSnapshot) -> Vec<String> {
    let service = &snapshot.services["booking"];
    let versions = service.versions.as_ref().unwrap();
    let members = service.members.iter();
    let primary = members.filter(|member| versions.is_primary(member));
    primary.map(|member| member.name.to_string()).collect()
}

fn canary(snapshot: &ConfigSnapshot) -> Option<&str> {
    snapshot.versions["booking"]
        .canary()
        .map(|version| &**version)
}

fn is_rolled_back(snapshot: &ConfigSnapshot, upstream: &str) -> bool {
    let versions = &snapshot.versions["booking"];
    versions.is_rolled_back(&snapshot.upstreams[upstream])
}

/// Lets a director decide every 200 ms until the rollout ends or the time is over. Returns the time
/// at which each phase began.
fn direct(
    log: &mut AppliedLog,
    director: &mut RolloutDirector,
    from_ms: u64,
    until_ms: u64,
    input: DirectorInput,
    evidence: impl Fn(u64) -> Option<RolloutEvidence>,
) -> Vec<(RolloutPhase, u64)> {
    let mut phases = Vec::new();
    for at_ms in (from_ms..until_ms).step_by(200) {
        let now = Timestamp(at_ms * 1_000);
        if let Some(report) = evidence(at_ms) {
            director.observe(now, &report);
        }
        let item = log.item();
        let input = DirectorInput {
            wall_ms: 1_000 + at_ms,
            ..input
        };
        if !matches!(item.phase(), RolloutPhase::Canary | RolloutPhase::Promoting) {
            break;
        }
        if let Some(decision) = director.step(now, &item, input)
            && let AdvanceOutcome::Advanced(phase) = log.advance(decision.advance)
        {
            phases.push((phase, at_ms));
        }
    }
    phases
}

const ROOM: DirectorInput = DirectorInput {
    slots_in_force: 40,
    target_slots: 40,
    is_applied: true,
    wall_ms: 0,
};

#[test]
fn a_good_version_completes_before_the_deadline() {
    let mut log = AppliedLog::with_service();
    log.order("v2", 12_000, 0);
    let mut director = RolloutDirector::default();
    let phases = direct(&mut log, &mut director, 0, 20_000, ROOM, |_| None);
    let [
        (RolloutPhase::Promoting, promoted),
        (RolloutPhase::Completed, completed),
    ] = phases[..]
    else {
        panic!("{phases:?}");
    };
    assert!(completed <= 11_500, "{completed}");
    // What runs at the old upstreams finishes before they are stopped.
    assert!(completed - promoted >= 2_000, "{promoted} {completed}");
}

// The deadline must hold although the new leader's clock began at another time, and its state may be
// seconds old.
#[test]
fn a_new_leader_keeps_the_deadline() {
    let mut log = AppliedLog::with_service();
    log.order("v2", 12_000, 0);
    let mut first = RolloutDirector::default();
    let phases = direct(&mut log, &mut first, 0, 7_000, ROOM, |_| None);
    assert_eq!(phases, []);
    let mut second = RolloutDirector::default();
    let phases = direct(&mut log, &mut second, 8_500, 20_000, ROOM, |_| None);
    let last = phases.last().copied();
    assert!(
        matches!(last, Some((RolloutPhase::Completed, at)) if at <= 12_000),
        "{phases:?}"
    );
}

#[test]
fn a_version_without_room_for_the_traffic_is_not_promoted() {
    let mut log = AppliedLog::with_service();
    log.order("v2", 12_000, 0);
    let mut director = RolloutDirector::default();
    let input = DirectorInput {
        target_slots: 8,
        ..ROOM
    };
    let phases = direct(&mut log, &mut director, 0, 20_000, input, |_| None);
    assert!(
        matches!(phases[..], [(RolloutPhase::RolledBack, 12_000..)]),
        "{phases:?}"
    );
}

fn failing_report(order: u64, at_ms: u64) -> RolloutEvidence {
    RolloutEvidence {
        upstream: "u-2".into(),
        run: 1,
        service: "booking".into(),
        version: "v2".into(),
        order,
        groups: vec![EvidenceGroup {
            key: 1,
            answered: at_ms / 100,
            failed: at_ms / 200,
            latencies: Vec::new(),
        }],
    }
}

// A new leader has no evidence of its own; the nodes' counts must be enough.
#[test]
fn a_bad_version_is_rolled_back_by_a_new_leader() {
    let mut log = AppliedLog::with_service();
    log.order("v2", 12_000, 0);
    let order = log.item().order;
    let mut director = RolloutDirector::default();
    let evidence = |at_ms| Some(failing_report(order, at_ms));
    let phases = direct(&mut log, &mut director, 5_000, 20_000, ROOM, evidence);
    assert!(
        matches!(phases[..], [(RolloutPhase::RolledBack, ..=6_000)]),
        "{phases:?}"
    );
}
