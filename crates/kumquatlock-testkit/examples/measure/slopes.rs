//! Measures the cost of configuration changes and of upstream selection at one fleet size. Only the
//! decision code runs; no processes are started.

use std::hint::black_box;
use std::sync::Arc;

use eyre::{Result, eyre};
use kumquatlock::catalog::{Catalog, SnapshotDetail};
use kumquatlock::claim::{ClaimHolder, ClaimSettings};
use kumquatlock::core::{ConfigSnapshot, Timestamp};
use kumquatlock::routing::{
    BalancerSet, EntryLocation, RouteTable, SpillSettings, UpstreamBalancer,
};
use kumquatlock_wire::Body;
use kumquatlock_wire::claim::ShardHolder;
use kumquatlock_wire::distribution::CatalogState;
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::{FleetCatalog, FleetSize, decode_snapshot, frame_bytes};
use crate::host::{resident_bytes, time_rounds};
use crate::record::ResultRecorder;

/// Number of samples of each timing.
const REPEATS: usize = 7;
/// Number of copies whose memory is measured. The copies built before them fill memory that was
/// freed earlier.
const COPIES: usize = 6;
/// Numbers of changes that a child has missed.
const MISSED_CHANGES: [usize; 3] = [1, 100, 1_000];
/// Upper bound on the time to choose an upstream, in nanoseconds.
const MAX_CHOICE_NS: f64 = 1_000.0;
/// Upper bound on the time to apply one change at a node, in milliseconds.
const MAX_APPLY_MS: f64 = 5.0;
/// Upper bound on the memory of a node's configuration, in MB.
const MAX_MEMORY_MB: f64 = 64.0;

/// Measures one fleet. If it has the size of the design target, also compares the results with the
/// bounds.
pub(crate) fn run(
    recorder: &mut ResultRecorder,
    size: FleetSize,
    is_target: bool,
    seed: u64,
) -> Result<()> {
    let scope = format!("{}/{}", size.upstreams, size.services);
    recorder.print_heading(&format!(
        "slopes at {} upstreams, {} services",
        size.upstreams, size.services
    ));
    let mut fleet = FleetCatalog::new(size);
    let mut random = SmallRng::seed_from_u64(seed);
    let memory_bytes = measure_memory(recorder, &scope, &fleet.catalog)?;
    let apply_us = measure_change(recorder, &scope, &mut fleet, &mut random)?;
    measure_manifest(recorder, &scope, &mut fleet)?;
    measure_snapshot(recorder, &scope, &fleet)?;
    measure_catch_up(recorder, &scope, size, seed)?;
    let choice_ns = measure_choice(recorder, &scope, &fleet, &mut random)?;
    if is_target {
        recorder.record_bound("choosing an upstream", choice_ns, MAX_CHOICE_NS, "ns")?;
        let apply_ms = apply_us / 1e3;
        recorder.record_bound("one change applied at a node", apply_ms, MAX_APPLY_MS, "ms")?;
        recorder.record_bound(
            "a node's configuration",
            memory_bytes / 1e6,
            MAX_MEMORY_MB,
            "MB",
        )?;
    }
    Ok(())
}

fn measure_memory(recorder: &mut ResultRecorder, scope: &str, catalog: &Catalog) -> Result<f64> {
    let encoded = catalog.encode_snapshot(SnapshotDetail::Routing);
    let state = CatalogState::decode(encoded.bytes.clone())?;
    let full = catalog.to_state();
    let snapshot_bytes =
        memory_per_copy(|| ConfigSnapshot::from_state(&state, encoded.digest).ok())?;
    recorder.record_value(
        scope,
        "memory of a node's configuration",
        snapshot_bytes / 1e6,
        "MB",
    )?;
    let catalog_bytes = memory_per_copy(|| Catalog::from_state(&full).ok())?;
    recorder.record_value(
        scope,
        "memory of a control instance's catalog",
        catalog_bytes / 1e6,
        "MB",
    )?;
    Ok(snapshot_bytes)
}

/// Returns the growth of resident memory per copy. The first two copies are not measured, because
/// they fill memory that was freed earlier.
fn memory_per_copy<T>(build: impl Fn() -> Option<T>) -> Result<f64> {
    let build = || build().ok_or_else(|| eyre!("the state is invalid"));
    let mut copies = vec![build()?, build()?];
    let resident_before = resident_bytes("self")?;
    for _ in 0..COPIES {
        copies.push(build()?);
    }
    let grown_bytes = resident_bytes("self")? - resident_before;
    black_box(&copies);
    Ok(grown_bytes / COPIES as f64)
}

fn measure_change(
    recorder: &mut ResultRecorder,
    scope: &str,
    fleet: &mut FleetCatalog,
    random: &mut SmallRng,
) -> Result<f64> {
    let mut command = fleet.restart_command(0);
    recorder.record_value(
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
            let apply_us = time_rounds(1, 1_000, || {
                fleet.apply(&commands.pop().unwrap_or_default())
            });
            apply_us[0]
        })
        .collect();
    recorder.record_samples(scope, "one change: catalog", &samples, "us")?;
    let base = fleet.catalog.version();
    let current = decode_snapshot(&fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
    command = fleet.restart_command(0);
    fleet.apply(&command);
    let samples = time_rounds(REPEATS, 1_000, || {
        black_box(fleet.delta_since(base));
    });
    recorder.record_samples(scope, "one change: delta computed", &samples, "us")?;
    let delta = fleet
        .delta_since(base)
        .ok_or_else(|| eyre!("the catalog has no delta for this version"))?;
    let bytes = frame_bytes(Body::Delta(delta.clone())) as f64;
    recorder.record_value(scope, "one change: delta on the wire", bytes, "B")?;
    let samples = time_rounds(REPEATS, 50, || {
        black_box(current.apply(&delta).is_ok());
    });
    recorder.record_samples(scope, "one change: applied at a node", &samples, "us")?;
    let current = Arc::new(current);
    let mut routing = NodeRouting::new(&current);
    let next = Arc::new(current.apply(&delta)?);
    let mut use_next = false;
    let samples = time_rounds(REPEATS, 50, || {
        use_next = !use_next;
        black_box(current.apply(&delta).is_ok());
        routing.apply(if use_next { &next } else { &current });
    });
    let name = "one change: applied, routed and claims placed at a node";
    recorder.record_samples(scope, name, &samples, "us")
}

/// State that a node derives from its configuration.
struct NodeRouting {
    now: Timestamp,
    routes: RouteTable,
    balancers: BalancerSet,
    holder: ClaimHolder,
}

impl NodeRouting {
    /// Creates the state of a node that has called every service, and whose own service is the one
    /// that changes.
    fn new(snapshot: &Arc<ConfigSnapshot>) -> Self {
        let now = Timestamp::from_millis(60_000);
        let mut balancers = BalancerSet::new(entry_location(), SpillSettings::default());
        for service in snapshot.services.keys() {
            balancers.get_or_create(snapshot, service, now);
        }
        let members = snapshot.services.get("service-0");
        let member = members.and_then(|service| service.members.last());
        let holder = member.map_or_else(ShardHolder::default, |member| ShardHolder {
            name: member.name.to_string(),
            incarnation: member.incarnation.0,
        });
        let mut routing = NodeRouting {
            now,
            routes: RouteTable::new(snapshot),
            balancers,
            holder: ClaimHolder::new(holder, ClaimSettings::default()),
        };
        routing.apply(snapshot);
        routing
    }

    fn apply(&mut self, snapshot: &Arc<ConfigSnapshot>) {
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
    let current = decode_snapshot(&fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
    let mut commands: Vec<_> = (0..REPEATS).map(|_| fleet.next_manifest()).collect();
    commands.reverse();
    let bytes = commands[0].encoded_len() as f64;
    recorder.record_value(scope, "manifest, one route changed: log entry", bytes, "B")?;
    let samples = time_rounds(REPEATS, 1, || {
        fleet.apply(&commands.pop().unwrap_or_default());
    });
    recorder.record_samples(scope, "manifest: catalog", &samples, "us")?;
    let delta = fleet
        .delta_since(base)
        .ok_or_else(|| eyre!("the catalog has no delta for this version"))?;
    let bytes = frame_bytes(Body::Delta(delta.clone())) as f64;
    recorder.record_value(scope, "manifest: delta on the wire", bytes, "B")?;
    let samples = time_rounds(REPEATS, 50, || {
        black_box(current.apply(&delta).is_ok());
    });
    recorder.record_samples(scope, "manifest: applied at a node", &samples, "us")?;
    Ok(())
}

fn measure_snapshot(
    recorder: &mut ResultRecorder,
    scope: &str,
    fleet: &FleetCatalog,
) -> Result<()> {
    let encoded = fleet.catalog.encode_snapshot(SnapshotDetail::Routing);
    recorder.record_value(
        scope,
        "snapshot for a node",
        encoded.bytes.len() as f64,
        "B",
    )?;
    let full = fleet.catalog.encode_snapshot(SnapshotDetail::Full);
    recorder.record_value(
        scope,
        "snapshot for a replica",
        full.bytes.len() as f64,
        "B",
    )?;
    let samples = time_rounds(REPEATS, 3, || {
        black_box(fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
    });
    recorder.record_samples(scope, "snapshot: encoded", &samples, "us")?;
    let samples = time_rounds(REPEATS, 3, || {
        black_box(decode_snapshot(&encoded));
    });
    recorder.record_samples(
        scope,
        "snapshot: decoded and applied at a node",
        &samples,
        "us",
    )?;
    Ok(())
}

/// Compares one merged delta with all single deltas and with a full snapshot.
fn measure_catch_up(
    recorder: &mut ResultRecorder,
    scope: &str,
    size: FleetSize,
    seed: u64,
) -> Result<()> {
    for missed in MISSED_CHANGES {
        let mut fleet = FleetCatalog::new(size);
        let mut random = SmallRng::seed_from_u64(seed);
        let base = fleet.catalog.version();
        let current = decode_snapshot(&fleet.catalog.encode_snapshot(SnapshotDetail::Routing));
        let mut singles = Vec::with_capacity(missed);
        for step in 0..missed {
            let version_before = fleet.catalog.version();
            fleet.apply_next_restart_change(step, &mut random);
            singles.extend(fleet.delta_since(version_before));
        }
        let single_bytes: usize = singles
            .iter()
            .map(|delta| frame_bytes(Body::Delta(delta.clone())))
            .sum();
        let single_us = time_rounds(1, 1, || {
            let mut state = current.clone();
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
        if let Some(merged) = fleet.delta_since(base) {
            let bytes = frame_bytes(Body::Delta(merged.clone())) as f64;
            recorder.record_value(scope, &name("merged delta"), bytes, "B")?;
            let samples = time_rounds(REPEATS, 5, || {
                black_box(current.apply(&merged).is_ok());
            });
            recorder.record_samples(scope, &name("merged delta applied"), &samples, "us")?;
        } else {
            recorder.record_value(scope, &name("merged delta larger than snapshot"), 1.0, "")?;
        }
        recorder.record_value(scope, &name("single deltas"), single_bytes as f64, "B")?;
        recorder.record_samples(scope, &name("single deltas applied"), &single_us, "us")?;
        recorder.record_value(scope, &name("snapshot"), snapshot.bytes.len() as f64, "B")?;
        recorder.record_samples(scope, &name("snapshot applied"), &snapshot_us, "us")?;
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
    let service = service.ok_or_else(|| eyre!("the snapshot has no service-0"))?;
    let now = Timestamp::from_millis(60_000);
    let mut balancer = UpstreamBalancer::new(entry_location(), service, now);
    let samples = time_rounds(REPEATS, 500_000, || {
        black_box(balancer.choose(now, random, &[], 0));
    });
    let nanos: Vec<f64> = samples.iter().map(|micros| micros * 1e3).collect();
    recorder.record_samples(scope, "one choice of an upstream", &nanos, "ns")
}

/// Returns the configuration that a node has after it applied the current catalog.
pub(crate) fn node_snapshot(fleet: &FleetCatalog) -> Arc<ConfigSnapshot> {
    Arc::new(decode_snapshot(
        &fleet.catalog.encode_snapshot(SnapshotDetail::Routing),
    ))
}
