//! Costs of the configuration without processes.

use std::hint::black_box;
use std::sync::Arc;

use eyre::{Result, eyre};
use kumquatlock::catalog::{Catalog, SnapshotDetail};
use kumquatlock::claim::{ClaimHolder, ClaimSettings};
use kumquatlock::core::{ConfigSnapshot, Timestamp};
use kumquatlock::routing::{BalancerSet, EntryLocation, RouteTable, UpstreamBalancer};
use kumquatlock_wire::Body;
use kumquatlock_wire::claim::ShardHolder;
use kumquatlock_wire::distribution::CatalogState;
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::{FleetCatalog, FleetSize, decode_snapshot, frame_bytes};
use crate::host::{resident_bytes, time_rounds};
use crate::record::ResultRecorder;

/// Samples of each timing.
const REPEATS: usize = 7;
/// Copies whose memory is measured after the first ones, which fill freed memory.
const COPIES: usize = 6;
/// Changes that a child missed.
const MISSED_CHANGES: [usize; 3] = [1, 100, 1_000];
/// Bound on one choice, in nanoseconds.
const CHOICE_LIMIT_NS: f64 = 1_000.0;
/// Bound on applying one change at a node, in milliseconds.
const APPLY_LIMIT_MS: f64 = 5.0;
/// Bound on the memory of a node's configuration, in MB.
const MEMORY_LIMIT_MB: f64 = 64.0;

/// Measures one fleet; compares with the bounds if it has the target's size.
pub(crate) fn run(
    recorder: &mut ResultRecorder,
    size: FleetSize,
    is_target: bool,
    seed: u64,
) -> Result<()> {
    let scope = format!("{}/{}", size.upstreams, size.services);
    recorder.heading(&format!(
        "slopes at {} upstreams, {} services",
        size.upstreams, size.services
    ));
    let mut fleet = FleetCatalog::new(size);
    let mut random = SmallRng::seed_from_u64(seed);
    let memory = measure_memory(recorder, &scope, &fleet.catalog)?;
    let apply_us = measure_change(recorder, &scope, &mut fleet, &mut random)?;
    measure_manifest(recorder, &scope, &mut fleet)?;
    measure_snapshot(recorder, &scope, &fleet)?;
    measure_catching_up(recorder, &scope, size, seed)?;
    let choice_ns = measure_choice(recorder, &scope, &fleet, &mut random)?;
    if is_target {
        recorder.bound("choosing an upstream", choice_ns, CHOICE_LIMIT_NS, "ns")?;
        let apply_ms = apply_us / 1e3;
        recorder.bound(
            "one change applied at a node",
            apply_ms,
            APPLY_LIMIT_MS,
            "ms",
        )?;
        recorder.bound(
            "a node's configuration",
            memory / 1e6,
            MEMORY_LIMIT_MB,
            "MB",
        )?;
    }
    Ok(())
}

fn measure_memory(recorder: &mut ResultRecorder, scope: &str, catalog: &Catalog) -> Result<f64> {
    let encoded = catalog.encode_snapshot(SnapshotDetail::Routing);
    let state = CatalogState::decode(encoded.bytes.clone())?;
    let full = catalog.to_state();
    let snapshot = growth(|| ConfigSnapshot::from_state(&state, encoded.digest).ok())?;
    recorder.row(
        scope,
        "memory of a node's configuration",
        snapshot / 1e6,
        "MB",
    )?;
    let held = growth(|| Catalog::from_state(&full).ok())?;
    recorder.row(
        scope,
        "memory of a control instance's catalog",
        held / 1e6,
        "MB",
    )?;
    Ok(snapshot)
}

/// Growth of resident memory per copy. The first two copies fill memory freed earlier.
fn growth<T>(build: impl Fn() -> Option<T>) -> Result<f64> {
    let build = || build().ok_or_else(|| eyre!("the state was refused"));
    let mut copies = vec![build()?, build()?];
    let before = resident_bytes("self")?;
    for _ in 0..COPIES {
        copies.push(build()?);
    }
    let grown = resident_bytes("self")? - before;
    black_box(&copies);
    Ok(grown / COPIES as f64)
}

fn measure_change(
    recorder: &mut ResultRecorder,
    scope: &str,
    fleet: &mut FleetCatalog,
    random: &mut SmallRng,
) -> Result<f64> {
    let mut command = fleet.restart_command(0);
    recorder.row(
        scope,
        "one change: log entry",
        command.encoded_len() as f64,
        "B",
    )?;
    let samples: Vec<f64> = (0..REPEATS)
        .map(|_| {
            let upstream = random.random_range(0..fleet.size.upstreams);
            let mut commands: Vec<_> = (0..1_000)
                .map(|_| fleet.restart_command(upstream))
                .collect();
            let applied = time_rounds(1, 1_000, || {
                fleet.apply(&commands.pop().unwrap_or_default())
            });
            applied[0]
        })
        .collect();
    recorder.spread(scope, "one change: catalog", &samples, "us")?;
    let base = fleet.catalog.version();
    let held = decode_snapshot(&fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
    command = fleet.restart_command(0);
    fleet.apply(&command);
    let samples = time_rounds(REPEATS, 1_000, || {
        black_box(fleet.delta(base));
    });
    recorder.spread(scope, "one change: delta computed", &samples, "us")?;
    let delta = fleet.delta(base).ok_or_else(|| eyre!("no delta"))?;
    let bytes = frame_bytes(Body::Delta(delta.clone())) as f64;
    recorder.row(scope, "one change: delta on the wire", bytes, "B")?;
    let samples = time_rounds(REPEATS, 50, || {
        black_box(held.apply(&delta).is_ok());
    });
    recorder.spread(scope, "one change: applied at a node", &samples, "us")?;
    let held = Arc::new(held);
    let mut routing = NodeRouting::new(&held);
    let next = Arc::new(held.apply(&delta)?);
    let mut is_next = false;
    let samples = time_rounds(REPEATS, 50, || {
        is_next = !is_next;
        black_box(held.apply(&delta).is_ok());
        routing.swap(if is_next { &next } else { &held });
    });
    let name = "one change: applied, routed and claims placed at a node";
    recorder.spread(scope, name, &samples, "us")
}

/// What a node derives from its configuration.
struct NodeRouting {
    now: Timestamp,
    routes: RouteTable,
    balancers: BalancerSet,
    holder: ClaimHolder,
}

impl NodeRouting {
    /// A node that has called every service and whose own service is the one that changes.
    fn new(snapshot: &Arc<ConfigSnapshot>) -> Self {
        let now = Timestamp::from_millis(60_000);
        let mut balancers = BalancerSet::new(entry_location());
        for service in snapshot.services.keys() {
            balancers.get_or_create(snapshot, service, now);
        }
        let members = snapshot.services.get("service-0");
        let own = members.and_then(|service| service.members.last());
        let own = own.map_or_else(ShardHolder::default, |member| ShardHolder {
            name: member.name.to_string(),
            incarnation: member.incarnation.0,
        });
        let mut routing = NodeRouting {
            now,
            routes: RouteTable::new(snapshot),
            balancers,
            holder: ClaimHolder::new(own, ClaimSettings::default()),
        };
        routing.swap(snapshot);
        routing
    }

    fn swap(&mut self, snapshot: &Arc<ConfigSnapshot>) {
        self.routes = RouteTable::new(snapshot);
        self.balancers.apply(snapshot, self.now);
        black_box(self.holder.on_snapshot(self.now, snapshot.clone()));
    }
}

fn entry_location() -> EntryLocation {
    EntryLocation {
        name: "entry".into(),
        zone: "region-0-zone-0".into(),
        region: "region-0".into(),
    }
}

fn measure_manifest(
    recorder: &mut ResultRecorder,
    scope: &str,
    fleet: &mut FleetCatalog,
) -> Result<()> {
    let base = fleet.catalog.version();
    let held = decode_snapshot(&fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
    let mut commands: Vec<_> = (0..REPEATS).map(|_| fleet.next_manifest()).collect();
    commands.reverse();
    let bytes = commands[0].encoded_len() as f64;
    recorder.row(scope, "manifest, one route changed: log entry", bytes, "B")?;
    let samples = time_rounds(REPEATS, 1, || {
        fleet.apply(&commands.pop().unwrap_or_default());
    });
    recorder.spread(scope, "manifest: catalog", &samples, "us")?;
    let delta = fleet.delta(base).ok_or_else(|| eyre!("no delta"))?;
    let bytes = frame_bytes(Body::Delta(delta.clone())) as f64;
    recorder.row(scope, "manifest: delta on the wire", bytes, "B")?;
    let samples = time_rounds(REPEATS, 50, || {
        black_box(held.apply(&delta).is_ok());
    });
    recorder.spread(scope, "manifest: applied at a node", &samples, "us")?;
    Ok(())
}

fn measure_snapshot(
    recorder: &mut ResultRecorder,
    scope: &str,
    fleet: &FleetCatalog,
) -> Result<()> {
    let encoded = fleet.catalog.encode_snapshot(SnapshotDetail::Routing);
    recorder.row(
        scope,
        "snapshot for a node",
        encoded.bytes.len() as f64,
        "B",
    )?;
    let full = fleet.catalog.encode_snapshot(SnapshotDetail::Full);
    recorder.row(
        scope,
        "snapshot for a replica",
        full.bytes.len() as f64,
        "B",
    )?;
    let samples = time_rounds(REPEATS, 3, || {
        black_box(fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
    });
    recorder.spread(scope, "snapshot: encoded", &samples, "us")?;
    let samples = time_rounds(REPEATS, 3, || {
        black_box(decode_snapshot(&encoded));
    });
    recorder.spread(
        scope,
        "snapshot: decoded and applied at a node",
        &samples,
        "us",
    )?;
    Ok(())
}

/// One merged delta beside every single delta and a full snapshot.
fn measure_catching_up(
    recorder: &mut ResultRecorder,
    scope: &str,
    size: FleetSize,
    seed: u64,
) -> Result<()> {
    for missed in MISSED_CHANGES {
        let mut fleet = FleetCatalog::new(size);
        let mut random = SmallRng::seed_from_u64(seed);
        let base = fleet.catalog.version();
        let held = decode_snapshot(&fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
        let mut singles = Vec::with_capacity(missed);
        for step in 0..missed {
            let before = fleet.catalog.version();
            fleet.next_restart_change(step, &mut random);
            singles.extend(fleet.delta(before));
        }
        let plain: usize = singles
            .iter()
            .map(|delta| frame_bytes(Body::Delta(delta.clone())))
            .sum();
        let plain_us = time_rounds(1, 1, || {
            let mut state = held.clone();
            for delta in &singles {
                if let Ok(next) = state.apply(delta) {
                    state = next;
                }
            }
            black_box(state.version);
        });
        let snapshot = fleet.catalog.encode_snapshot(SnapshotDetail::Routing);
        let snapshot_us = time_rounds(3, 1, || {
            black_box(decode_snapshot(&snapshot));
        });
        let name = |what: &str| format!("{missed} changes missed: {what}");
        if let Some(merged) = fleet.delta(base) {
            let bytes = frame_bytes(Body::Delta(merged.clone())) as f64;
            recorder.row(scope, &name("merged delta"), bytes, "B")?;
            let samples = time_rounds(REPEATS, 5, || {
                black_box(held.apply(&merged).is_ok());
            });
            recorder.spread(scope, &name("merged delta applied"), &samples, "us")?;
        } else {
            recorder.row(scope, &name("merged delta larger than snapshot"), 1.0, "")?;
        }
        recorder.row(scope, &name("single deltas"), plain as f64, "B")?;
        recorder.spread(scope, &name("single deltas applied"), &plain_us, "us")?;
        recorder.row(scope, &name("snapshot"), snapshot.bytes.len() as f64, "B")?;
        recorder.spread(scope, &name("snapshot applied"), &snapshot_us, "us")?;
    }
    Ok(())
}

fn measure_choice(
    recorder: &mut ResultRecorder,
    scope: &str,
    fleet: &FleetCatalog,
    random: &mut SmallRng,
) -> Result<f64> {
    let snapshot = decode_snapshot(&fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
    let service = snapshot.services.get("service-0");
    let service = service.ok_or_else(|| eyre!("no service"))?;
    let now = Timestamp::from_millis(60_000);
    let balancer = UpstreamBalancer::new(entry_location(), service, now);
    let samples = time_rounds(REPEATS, 500_000, || {
        black_box(balancer.choose(now, random, &[]));
    });
    let nanos: Vec<f64> = samples.iter().map(|micros| micros * 1e3).collect();
    recorder.spread(scope, "one choice of an upstream", &nanos, "ns")
}

/// Shared by the parts that need an applied configuration.
pub(crate) fn applied(fleet: &FleetCatalog) -> Arc<ConfigSnapshot> {
    Arc::new(decode_snapshot(
        &fleet.catalog.encode_snapshot(SnapshotDetail::Routing),
    ))
}
