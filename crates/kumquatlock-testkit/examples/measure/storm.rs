//! Costs of a parent and its children without processes: one commit, one reconnecting node and a
//! reconnect storm.

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
/// Nodes of one replica at the target.
const CHILDREN: usize = 594;
/// Step of the simulated clock.
const STEP_US: u64 = 10_000;
/// Bandwidth of the parent in bytes per step: 125 MB/s, a link of 1 Gbit/s.
const STEP_BYTES: usize = 1_250_000;
/// Simulated time in which a storm must end.
const STORM_LIMIT: Timestamp = Timestamp::from_millis(600_000);
const REPEATS: usize = 7;

/// One child with its present connection.
struct StormChild {
    state: ChildState,
    link: Option<LinkId>,
}

/// A parent and its children, joined by a queue with a limited bandwidth.
struct StormBench {
    fleet: FleetCatalog,
    now: Timestamp,
    random: SmallRng,
    parent: ParentState,
    children: Vec<StormChild>,
    outbox: VecDeque<(ChildId, Body, usize)>,
    queued: usize,
    peak: usize,
    sent: usize,
    sent_messages: usize,
    /// CPU seconds of the parent's decisions.
    parent_seconds: f64,
    /// Whether children decode what they get. A storm counts bytes only, because 594 whole
    /// configurations in one process would need too much memory.
    applies: bool,
}

impl StormBench {
    fn new(size: FleetSize, children: usize, limits: AdmissionLimits, seed: u64) -> Self {
        let child = |number| StormChild {
            state: ChildState::new(
                ChildIdentity {
                    name: format!("node-{number}").into(),
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
        StormBench {
            fleet: FleetCatalog::new(size),
            now: Timestamp::default(),
            random: SmallRng::seed_from_u64(seed),
            parent: ParentState::with_limits("parent".into(), GROUP, 1, limits),
            children: (0..children).map(child).collect(),
            outbox: VecDeque::new(),
            queued: 0,
            peak: 0,
            sent: 0,
            sent_messages: 0,
            parent_seconds: 0.0,
            applies: true,
        }
    }

    fn parent(&mut self, event: ParentEvent) {
        let started = Instant::now();
        let catalog = &self.fleet.catalog;
        let steps = self
            .parent
            .handle(self.now, event, catalog, &mut self.random);
        self.parent_seconds += started.elapsed().as_secs_f64();
        for step in steps {
            match step {
                ParentStep::Send { children, body } => self.queue(children, &body),
                ParentStep::SendDelta { children, frame } => {
                    let body = frame.decode().expect("the delta was just encoded");
                    self.queue(children, &body);
                }
                ParentStep::RequestProof { round } => {
                    let index = Some(self.fleet.catalog.applied_index());
                    self.parent(ParentEvent::ProofResult { round, index });
                }
                ParentStep::ForwardToLeader(_)
                | ParentStep::Close { .. }
                | ParentStep::HandleRequest { .. } => {}
            }
        }
    }

    fn queue(&mut self, children: Vec<ChildId>, body: &Body) {
        let bytes = frame_bytes(body.clone());
        self.queued += bytes * children.len();
        self.peak = self.peak.max(self.queued);
        let copies = children
            .into_iter()
            .map(|child| (child, body.clone(), bytes));
        self.outbox.extend(copies);
    }

    fn child(&mut self, number: usize, event: ChildEvent) {
        let child = &mut self.children[number];
        for step in child.state.handle(self.now, event, &mut self.random) {
            match step {
                ChildStep::Connect { link, .. } => {
                    self.children[number].link = Some(link);
                    self.child(number, ChildEvent::Connected { link });
                }
                ChildStep::Send { link, body } => {
                    let child = ChildId((number as u64) << 32 | link.0);
                    self.parent(ParentEvent::Received { child, body });
                }
                ChildStep::Close { .. } => self.cut(number),
                _ => {}
            }
        }
    }

    fn cut(&mut self, number: usize) {
        if let Some(link) = self.children[number].link.take() {
            let child = ChildId((number as u64) << 32 | link.0);
            self.parent(ParentEvent::Disconnected { child });
        }
    }

    fn flush(&mut self) {
        let mut budget = STEP_BYTES;
        while budget > 0 {
            let Some((child, body, bytes)) = self.outbox.pop_front() else {
                return;
            };
            budget = budget.saturating_sub(bytes);
            self.queued -= bytes;
            self.sent += bytes;
            self.sent_messages += 1;
            let (number, link) = ((child.0 >> 32) as usize, LinkId(child.0 & 0xffff_ffff));
            if self.children[number].link == Some(link) {
                self.receive(number, child, link, body);
            }
            self.parent(ParentEvent::Writable { child });
        }
    }

    fn receive(&mut self, number: usize, child: ChildId, link: LinkId, body: Body) {
        if let (false, Body::Snapshot(chunk)) = (self.applies, &body) {
            if chunk.offset + chunk.data.len() as u64 >= chunk.total_bytes {
                let version = chunk.version;
                let body = Body::Applied(kumquatlock_wire::distribution::Applied { version });
                self.parent(ParentEvent::Received { child, body });
            }
            return;
        }
        self.child(number, ChildEvent::Received { link, body });
    }

    /// Runs one step of the clock.
    fn step(&mut self) {
        self.now = Timestamp(self.now.0 + STEP_US);
        let tick_us = TICK_INTERVAL.as_micros() as u64;
        if self.now.0.is_multiple_of(tick_us) {
            self.parent(ParentEvent::Tick);
        }
        self.flush();
        if self.now.0.is_multiple_of(tick_us) {
            for number in 0..self.children.len() {
                self.child(number, ChildEvent::Tick);
            }
        }
    }

    fn lowest_applied(&self) -> bool {
        let progress = self.parent.progress(&self.fleet.catalog);
        progress.nodes as usize == self.children.len()
            && progress.lowest_applied == self.fleet.catalog.version().0
    }

    fn run_until_applied(&mut self) -> Result<()> {
        while !self.lowest_applied() {
            self.step();
            ensure!(self.now < STORM_LIMIT, "the children did not recover");
        }
        Ok(())
    }
}

/// Measures a parent of 594 children that serves the configuration of `size`.
pub(crate) fn run(recorder: &mut ResultRecorder, size: FleetSize, seed: u64) -> Result<()> {
    let scope = format!("{}/{}", size.upstreams, size.services);
    recorder.heading(&format!(
        "a parent of {CHILDREN} children at {} upstreams",
        size.upstreams
    ));
    let open = AdmissionLimits {
        hello_rate: 1_000_000,
        hello_burst: 100_000,
        transfers: CHILDREN,
        queue: CHILDREN,
    };
    for (label, limits) in [
        ("with admission", AdmissionLimits::default()),
        ("without admission", open),
    ] {
        let mut bench = StormBench::new(size, CHILDREN, limits, seed);
        bench.applies = false;
        bench.run_until_applied()?;
        let name = |what: &str| format!("storm {label}: {what}");
        let millis = bench.now.0 as f64 / 1e3;
        recorder.row(&scope, &name("time to recover, simulated"), millis, "ms")?;
        recorder.row(&scope, &name("peak queued"), bench.peak as f64 / 1e6, "MB")?;
        recorder.row(&scope, &name("sent"), bench.sent as f64 / 1e6, "MB")?;
        let millis = bench.parent_seconds * 1e3;
        recorder.row(&scope, &name("CPU of decisions"), millis, "ms")?;
        if limits.hello_burst != open.hello_burst {
            commit(recorder, &scope, bench)?;
        }
    }
    reconnect(recorder, &scope, size, seed)
}

/// One commit at a parent whose children hold the configuration. Children are stand-ins that
/// acknowledge, so the parent's decisions and the bytes are real and the nodes' work is left out.
fn commit(recorder: &mut ResultRecorder, scope: &str, mut bench: StormBench) -> Result<()> {
    let (mut micros, mut bytes) = (Vec::new(), Vec::new());
    for number in 0..REPEATS {
        (bench.sent, bench.parent_seconds) = (0, 0.0);
        let command = bench.fleet.restart_command(number);
        let started = Instant::now();
        bench.fleet.apply(&command);
        bench.parent_seconds += started.elapsed().as_secs_f64();
        bench.parent(ParentEvent::CatalogAdvanced);
        let version = bench.fleet.catalog.version().0;
        while let Some((child, body, size)) = bench.outbox.pop_front() {
            bench.queued -= size;
            bench.sent += size;
            let is_delta = matches!(body, Body::Delta(_));
            bench.parent(ParentEvent::Writable { child });
            if is_delta {
                let body = Body::Applied(kumquatlock_wire::distribution::Applied { version });
                bench.parent(ParentEvent::Received { child, body });
            }
        }
        ensure!(bench.lowest_applied(), "the commit was not applied");
        micros.push(bench.parent_seconds * 1e6);
        bytes.push(bench.sent as f64);
    }
    let name = format!("one commit to {CHILDREN} children: CPU of decisions");
    recorder.spread(scope, &name, &micros, "us")?;
    let name = format!("one commit to {CHILDREN} children: bytes");
    recorder.spread(scope, &name, &bytes, "B")?;
    Ok(())
}

/// One node that reconnects empty, and one that reconnects with the configuration.
fn reconnect(recorder: &mut ResultRecorder, scope: &str, size: FleetSize, seed: u64) -> Result<()> {
    let mut bench = StormBench::new(size, 1, AdmissionLimits::default(), seed);
    bench.run_until_applied()?;
    recorder.row(scope, "empty node connects: sent", bench.sent as f64, "B")?;
    let micros = bench.parent_seconds * 1e6;
    recorder.row(scope, "empty node connects: CPU of decisions", micros, "us")?;
    (bench.sent, bench.parent_seconds) = (0, 0.0);
    let link = bench.children[0].link;
    bench.cut(0);
    if let Some(link) = link {
        bench.child(0, ChildEvent::Disconnected { link });
    }
    for _ in 0..1_000 {
        bench.step();
    }
    ensure!(bench.lowest_applied(), "the node did not return");
    recorder.row(
        scope,
        "holding node reconnects, 10 s: sent",
        bench.sent as f64,
        "B",
    )?;
    let encoded = bench.fleet.catalog.encode_snapshot(SnapshotDetail::Routing);
    recorder.row(
        scope,
        "full snapshot, for comparison",
        encoded.bytes.len() as f64,
        "B",
    )?;
    let resident = resident_bytes("self")? / 1e6;
    recorder.row(scope, "resident memory of this program", resident, "MB")?;
    Ok(())
}
