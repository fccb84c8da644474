//! Measures the cost of a parent and its children, without processes: for one commit, for one
//! reconnecting node, and for a reconnect storm, in which all children connect at once.

use std::collections::VecDeque;
use std::time::Instant;

use eyre::{Result, ensure};
use kumquatlock::catalog::SnapshotDetail;
use kumquatlock::core::{GroupId, IncarnationId, Timestamp};
use kumquatlock::distribution::{
    AdmissionLimits, ChildEvent, ChildId, ChildIdentity, ChildState, ChildStep, LinkId,
    ParentEvent, ParentState, ParentStep, TICK_INTERVAL,
};
use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::ChildRole;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fleet::{FleetCatalog, FleetSize, frame_bytes};
use crate::host::resident_bytes;
use crate::record::ResultRecorder;

const GROUP: GroupId = GroupId(7);
/// Number of nodes that one replica serves in the design target.
const CHILD_COUNT: usize = 594;
/// Step of the simulated clock in microseconds.
const STEP_US: u64 = 10_000;
/// Bytes that the parent can send per step. They correspond to 125 MB/s, a link of 1 Gbit/s.
const BYTES_PER_STEP: usize = 1_250_000;
/// Simulated time by which a storm must have ended.
const STORM_TIMEOUT: Timestamp = Timestamp::from_millis(600_000);
/// Number of commits that are measured.
const REPEATS: usize = 7;

/// A child and its current connection.
struct StormChild {
    state: ChildState,
    link: Option<LinkId>,
}

/// A parent and its children, connected by a queue with limited bandwidth.
struct StormSimulation {
    fleet: FleetCatalog,
    now: Timestamp,
    random: SmallRng,
    parent: ParentState,
    children: Vec<StormChild>,
    /// Messages of the parent that are not sent yet, with their size in bytes.
    outbox: VecDeque<(ChildId, Body, usize)>,
    queued_bytes: usize,
    peak_queued_bytes: usize,
    sent_bytes: usize,
    sent_messages: usize,
    /// Time that the parent's decisions took, in seconds.
    parent_seconds: f64,
    /// Whether children decode and apply snapshots. In a storm they don't, and only the bytes are
    /// counted, because 594 complete configurations in one process would need too much memory.
    applies_snapshots: bool,
}

impl StormSimulation {
    fn new(size: FleetSize, children: usize, limits: AdmissionLimits, seed: u64) -> Self {
        let child = |index| StormChild {
            state: ChildState::new(
                ChildIdentity {
                    name: format!("node-{index}").into(),
                    incarnation: IncarnationId(1),
                    zone: "region-0-zone-0".into(),
                    region: "region-0".into(),
                    role: ChildRole::Node,
                },
                GroupId(0),
                vec![([127, 0, 0, 1], 1).into()],
            ),
            link: None,
        };
        StormSimulation {
            fleet: FleetCatalog::new(size),
            now: Timestamp::default(),
            random: SmallRng::seed_from_u64(seed),
            parent: ParentState::with_limits("parent".into(), GROUP, 1, limits),
            children: (0..children).map(child).collect(),
            outbox: VecDeque::new(),
            queued_bytes: 0,
            peak_queued_bytes: 0,
            sent_bytes: 0,
            sent_messages: 0,
            parent_seconds: 0.0,
            applies_snapshots: true,
        }
    }

    fn handle_parent_event(&mut self, event: ParentEvent) {
        let started = Instant::now();
        let catalog = &self.fleet.catalog;
        let steps = self
            .parent
            .handle(self.now, event, catalog, &mut self.random);
        self.parent_seconds += started.elapsed().as_secs_f64();
        for step in steps {
            match step {
                ParentStep::Send { children, body } => self.enqueue(children, &body),
                ParentStep::SendDelta { children, frame } => {
                    let body = frame.decode().expect("the delta was just encoded");
                    self.enqueue(children, &body);
                }
                ParentStep::RequestProof { round } => {
                    let index = Some(self.fleet.catalog.applied_index());
                    self.handle_parent_event(ParentEvent::ProofResult { round, index });
                }
                ParentStep::ForwardToLeader(_)
                | ParentStep::Close { .. }
                | ParentStep::HandleRequest { .. } => {}
            }
        }
    }

    fn enqueue(&mut self, children: Vec<ChildId>, body: &Body) {
        let bytes = frame_bytes(body.clone());
        self.queued_bytes += bytes * children.len();
        self.peak_queued_bytes = self.peak_queued_bytes.max(self.queued_bytes);
        let copies = children
            .into_iter()
            .map(|child| (child, body.clone(), bytes));
        self.outbox.extend(copies);
    }

    fn handle_child_event(&mut self, index: usize, event: ChildEvent) {
        let child = &mut self.children[index];
        for step in child.state.handle(self.now, event, &mut self.random) {
            match step {
                ChildStep::Connect { link, .. } => {
                    self.children[index].link = Some(link);
                    self.handle_child_event(index, ChildEvent::Connected { link });
                }
                ChildStep::Send { link, body } => {
                    let child = ChildId((index as u64) << 32 | link.0);
                    self.handle_parent_event(ParentEvent::Received { child, body });
                }
                ChildStep::Close { .. } => self.disconnect(index),
                _ => {}
            }
        }
    }

    fn disconnect(&mut self, index: usize) {
        if let Some(link) = self.children[index].link.take() {
            let child = ChildId((index as u64) << 32 | link.0);
            self.handle_parent_event(ParentEvent::Disconnected { child });
        }
    }

    fn send_queued(&mut self) {
        let mut remaining_bytes = BYTES_PER_STEP;
        while remaining_bytes > 0 {
            let Some((child, body, bytes)) = self.outbox.pop_front() else {
                return;
            };
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            self.queued_bytes -= bytes;
            self.sent_bytes += bytes;
            self.sent_messages += 1;
            let (index, link) = ((child.0 >> 32) as usize, LinkId(child.0 & 0xffff_ffff));
            if self.children[index].link == Some(link) {
                self.receive_at_child(index, child, link, body);
            }
            self.handle_parent_event(ParentEvent::Writable { child });
        }
    }

    fn receive_at_child(&mut self, index: usize, child: ChildId, link: LinkId, body: Body) {
        if let (false, Body::Snapshot(chunk)) = (self.applies_snapshots, &body) {
            if chunk.offset + chunk.data.len() as u64 >= chunk.total_bytes {
                let version = chunk.version;
                let body = Body::Applied(kumquatlock_wire::distribution::Applied { version });
                self.handle_parent_event(ParentEvent::Received { child, body });
            }
            return;
        }
        self.handle_child_event(index, ChildEvent::Received { link, body });
    }

    /// Advances the clock by one step and runs everything that is due.
    fn advance(&mut self) {
        self.now = Timestamp(self.now.0 + STEP_US);
        let tick_us = TICK_INTERVAL.as_micros() as u64;
        if self.now.0.is_multiple_of(tick_us) {
            self.handle_parent_event(ParentEvent::Tick);
        }
        self.send_queued();
        if self.now.0.is_multiple_of(tick_us) {
            for index in 0..self.children.len() {
                self.handle_child_event(index, ChildEvent::Tick);
            }
        }
    }

    fn all_applied(&self) -> bool {
        let progress = self.parent.progress(&self.fleet.catalog);
        progress.nodes as usize == self.children.len()
            && progress.lowest_applied == self.fleet.catalog.version().0
    }

    fn run_until_applied(&mut self) -> Result<()> {
        while !self.all_applied() {
            self.advance();
            ensure!(
                self.now < STORM_TIMEOUT,
                "the children have not applied the current configuration in time"
            );
        }
        Ok(())
    }
}

/// Measures a parent of 594 children that distributes the configuration of a fleet of `size`.
pub(crate) fn run(recorder: &mut ResultRecorder, size: FleetSize, seed: u64) -> Result<()> {
    let scope = format!("{}/{}", size.upstreams, size.services);
    recorder.print_heading(&format!(
        "a parent of {CHILD_COUNT} children at {} upstreams",
        size.upstreams
    ));
    let unlimited = AdmissionLimits {
        hello_rate: 1_000_000,
        hello_burst: 100_000,
        transfers: CHILD_COUNT,
        queue: CHILD_COUNT,
    };
    for (label, limits) in [
        ("with admission", AdmissionLimits::default()),
        ("without admission", unlimited),
    ] {
        let mut simulation = StormSimulation::new(size, CHILD_COUNT, limits, seed);
        simulation.applies_snapshots = false;
        simulation.run_until_applied()?;
        let name = |what: &str| format!("storm {label}: {what}");
        let millis = simulation.now.0 as f64 / 1e3;
        recorder.record_value(&scope, &name("time to recover, simulated"), millis, "ms")?;
        recorder.record_value(
            &scope,
            &name("peak queued"),
            simulation.peak_queued_bytes as f64 / 1e6,
            "MB",
        )?;
        recorder.record_value(
            &scope,
            &name("sent"),
            simulation.sent_bytes as f64 / 1e6,
            "MB",
        )?;
        let millis = simulation.parent_seconds * 1e3;
        recorder.record_value(&scope, &name("CPU of decisions"), millis, "ms")?;
        if limits.hello_burst != unlimited.hello_burst {
            measure_commit(recorder, &scope, simulation)?;
        }
    }
    measure_reconnect(recorder, &scope, size, seed)
}

/// Measures one commit at a parent whose children have applied the current configuration. Deltas
/// are acknowledged without being applied, so the result contains the parent's decisions and the
/// bytes, but not the work of the nodes.
fn measure_commit(
    recorder: &mut ResultRecorder,
    scope: &str,
    mut simulation: StormSimulation,
) -> Result<()> {
    let (mut micros, mut bytes) = (Vec::new(), Vec::new());
    for upstream in 0..REPEATS {
        (simulation.sent_bytes, simulation.parent_seconds) = (0, 0.0);
        let command = simulation.fleet.restart_command(upstream);
        let started = Instant::now();
        simulation.fleet.apply(&command);
        simulation.parent_seconds += started.elapsed().as_secs_f64();
        simulation.handle_parent_event(ParentEvent::CatalogAdvanced);
        let version = simulation.fleet.catalog.version().0;
        while let Some((child, body, size)) = simulation.outbox.pop_front() {
            simulation.queued_bytes -= size;
            simulation.sent_bytes += size;
            let is_delta = matches!(body, Body::Delta(_));
            simulation.handle_parent_event(ParentEvent::Writable { child });
            if is_delta {
                let body = Body::Applied(kumquatlock_wire::distribution::Applied { version });
                simulation.handle_parent_event(ParentEvent::Received { child, body });
            }
        }
        ensure!(
            simulation.all_applied(),
            "not all children have acknowledged the commit"
        );
        micros.push(simulation.parent_seconds * 1e6);
        bytes.push(simulation.sent_bytes as f64);
    }
    let name = format!("one commit to {CHILD_COUNT} children: CPU of decisions");
    recorder.record_samples(scope, &name, &micros, "us")?;
    let name = format!("one commit to {CHILD_COUNT} children: bytes");
    recorder.record_samples(scope, &name, &bytes, "B")?;
    Ok(())
}

/// Measures a node that connects without a configuration, and its reconnection with the
/// configuration.
fn measure_reconnect(
    recorder: &mut ResultRecorder,
    scope: &str,
    size: FleetSize,
    seed: u64,
) -> Result<()> {
    let mut simulation = StormSimulation::new(size, 1, AdmissionLimits::default(), seed);
    simulation.run_until_applied()?;
    recorder.record_value(
        scope,
        "empty node connects: sent",
        simulation.sent_bytes as f64,
        "B",
    )?;
    let micros = simulation.parent_seconds * 1e6;
    recorder.record_value(scope, "empty node connects: CPU of decisions", micros, "us")?;
    (simulation.sent_bytes, simulation.parent_seconds) = (0, 0.0);
    let link = simulation.children[0].link;
    simulation.disconnect(0);
    if let Some(link) = link {
        simulation.handle_child_event(0, ChildEvent::Disconnected { link });
    }
    for _ in 0..1_000 {
        simulation.advance();
    }
    ensure!(
        simulation.all_applied(),
        "the reconnected node has not applied the current configuration"
    );
    recorder.record_value(
        scope,
        "holding node reconnects, 10 s: sent",
        simulation.sent_bytes as f64,
        "B",
    )?;
    let encoded = simulation
        .fleet
        .catalog
        .encode_snapshot(SnapshotDetail::Routing);
    recorder.record_value(
        scope,
        "full snapshot, for comparison",
        encoded.bytes.len() as f64,
        "B",
    )?;
    let resident = resident_bytes("self")? / 1e6;
    recorder.record_value(scope, "resident memory of this program", resident, "MB")?;
    Ok(())
}
