//! Upstreams, entries and scenarios of the measurement.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use kumquatlock::admission::*;
use kumquatlock::core::*;
use kumquatlock::retry::*;
use kumquatlock::routing::*;
use kumquatlock_wire::distribution::{CatalogState, ServiceItem, UpstreamItem};

pub(crate) const REGIONS: usize = 3;
pub(crate) const ZONES: usize = 6;
pub(crate) const SLOTS: u32 = 10;
pub(crate) const SERVICE_US: f64 = 10_000.0;
/// Start of a run; the queues exist since zero and are warm by then.
pub(crate) const START: Timestamp = Timestamp::from_millis(60_000);
pub(crate) const NEVER: Timestamp = Timestamp(u64::MAX);
/// A silent link is closed after this time; later attempts find no connection.
pub(crate) const LINK_SILENCE: Duration = Duration::from_secs(3);
pub(crate) const BASELINE_SILENCE: Duration = Duration::from_millis(250);
/// Upstreams with a role in the scenario `Faulty`: five times slower, shedding above 4 calls,
/// failing 80% of the calls while reporting health, and working while reporting none.
pub(crate) const SLOW: usize = 0;
pub(crate) const SHEDS: usize = 1;
pub(crate) const LIES_WELL: usize = 2;
pub(crate) const LIES_SICK: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    Kumquatlock,
    RandomAll,
    TurnsInRegion,
}

/// Scenarios with their load in units of the capacity.
pub(crate) const SCENARIOS: [(Scenario, f64); 4] = [
    (Scenario::Steady, 0.7),
    (Scenario::Faulty, 0.7),
    (Scenario::ZoneLoss, 0.6),
    (Scenario::Overload, 1.5),
];

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Scenario {
    Steady,
    Faulty,
    ZoneLoss,
    Overload,
}

pub(crate) struct Call {
    pub(crate) entry: usize,
    pub(crate) arrived: Timestamp,
    pub(crate) progress: CallProgress,
    pub(crate) executions: u32,
    pub(crate) closed: bool,
    pub(crate) tried: Vec<UpstreamToken>,
    pub(crate) open: Vec<usize>,
}

pub(crate) struct Attempt {
    pub(crate) call: usize,
    pub(crate) upstream: usize,
    pub(crate) ticket: Option<AttemptTicket>,
    pub(crate) admitted: Option<AdmissionTicket>,
    pub(crate) running: bool,
    pub(crate) outcome: (UpstreamOutcome, ServiceOutcome),
}

pub(crate) struct Upstream {
    pub(crate) queue: AdmissionQueue,
    pub(crate) held: HashMap<AdmissionTicket, usize>,
    pub(crate) fifo: VecDeque<usize>,
    pub(crate) running: u32,
    pub(crate) wake_at: Timestamp,
}

pub(crate) struct Entry {
    pub(crate) balancer: UpstreamBalancer,
    pub(crate) budget: RetryBudget,
    pub(crate) hedge: HedgePolicy,
    pub(crate) turn: usize,
}

pub(crate) fn service(count: usize) -> Arc<ServiceEntry> {
    let patterns = vec!["svc-*".into()];
    let item = ServiceItem {
        name: "svc".into(),
        patterns,
        ..ServiceItem::default()
    };
    let mut state = CatalogState {
        version: 1,
        services: vec![item],
        ..CatalogState::default()
    };
    let mut digest = service_digest(&state.services[0]);
    for index in 0..count {
        let mut item = UpstreamItem {
            service: "svc".into(),
            slots: SLOTS,
            ..Default::default()
        };
        item.name = format!("svc-{index:05}");
        item.zone = format!("z{}", index % ZONES);
        item.region = format!("r{}", index % REGIONS);
        item.node_address = "127.0.0.1:1".into();
        digest = digest.wrapping_add(upstream_digest(&item));
        state.upstreams.push(item);
    }
    let snapshot = ConfigSnapshot::from_state(&state, digest).expect("a closed snapshot");
    snapshot.services["svc"].clone()
}

pub(crate) fn entry(index: usize, service: &Arc<ServiceEntry>) -> Entry {
    let name = |text: String| SharedName::from(text.as_str());
    let location = EntryLocation {
        name: name(format!("entry-{index}")),
        zone: name(format!("z{}", index % ZONES)),
        region: name(format!("r{}", index % REGIONS)),
    };
    let balancer = UpstreamBalancer::new(location, service, START);
    let budget = RetryBudget::new(START);
    Entry {
        balancer,
        budget,
        hedge: HedgePolicy::default(),
        turn: index,
    }
}

pub(crate) fn upstream() -> Upstream {
    let limits = AdmissionLimits {
        slots: SLOTS,
        connections: 120,
    };
    let queue = AdmissionQueue::new(limits, Timestamp(0));
    let (held, fifo) = Default::default();
    Upstream {
        queue,
        held,
        fifo,
        running: 0,
        wake_at: NEVER,
    }
}

pub(crate) fn one_way(entry: usize, upstream: usize) -> Duration {
    Duration::from_micros(
        match (
            entry % REGIONS == upstream % REGIONS,
            entry % ZONES == upstream % ZONES,
        ) {
            (false, _) => 30_000,
            (true, false) => 500,
            (true, true) => 100,
        },
    )
}
