//! Models of upstreams and entry nodes, and the scenarios of the comparison.

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
pub(crate) const MEAN_SERVICE_US: f64 = 10_000.0;
/// Start of a run. The admission queues are created at time zero, so they are warm by then.
pub(crate) const START: Timestamp = Timestamp::from_millis(60_000);
pub(crate) const NEVER: Timestamp = Timestamp(u64::MAX);
/// Time after which a silent link is closed. Later attempts find no connection.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a response after which the baselines retry.
pub(crate) const BASELINE_RETRY_TIMEOUT: Duration = Duration::from_millis(250);
/// Upstreams that misbehave in the scenario `Faulty`: one is five times slower, one sheds load above
/// 4 concurrent calls, one fails 80% of the calls but reports that it is healthy, and one works but
/// reports that it is unhealthy.
pub(crate) const SLOW_UPSTREAM: usize = 0;
pub(crate) const SHEDDING_UPSTREAM: usize = 1;
pub(crate) const FALSELY_HEALTHY_UPSTREAM: usize = 2;
pub(crate) const FALSELY_UNHEALTHY_UPSTREAM: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestPolicy {
    Kumquatlock,
    RandomAll,
    TurnsInRegion,
}

/// Scenarios with their load as a multiple of the capacity.
pub(crate) const SCENARIOS: [(LoadScenario, f64); 4] = [
    (LoadScenario::Steady, 0.7),
    (LoadScenario::Faulty, 0.7),
    (LoadScenario::ZoneLoss, 0.6),
    (LoadScenario::Overload, 1.5),
];

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LoadScenario {
    Steady,
    Faulty,
    ZoneLoss,
    Overload,
}

pub(crate) struct ModelCall {
    pub(crate) entry: usize,
    pub(crate) arrived: Timestamp,
    pub(crate) progress: CallProgress,
    pub(crate) executions: u32,
    pub(crate) ended: bool,
    pub(crate) tried_upstreams: Vec<UpstreamToken>,
    pub(crate) open_attempts: Vec<usize>,
}

pub(crate) struct ModelAttempt {
    pub(crate) call: usize,
    pub(crate) upstream: usize,
    pub(crate) attempt_ticket: Option<AttemptTicket>,
    /// Ticket of the admission queue, if the attempt is queued or running.
    pub(crate) admission: Option<AdmissionTicket>,
    pub(crate) running: bool,
    pub(crate) outcome: (UpstreamOutcome, ServiceOutcome),
}

pub(crate) struct ModelUpstream {
    pub(crate) queue: AdmissionQueue,
    /// Attempts that wait in `queue`, by ticket.
    pub(crate) queued: HashMap<AdmissionTicket, usize>,
    /// Attempts that wait with a baseline policy.
    pub(crate) baseline_queue: VecDeque<usize>,
    pub(crate) running: u32,
    pub(crate) wake_at: Timestamp,
}

pub(crate) struct ModelEntry {
    pub(crate) balancer: UpstreamBalancer,
    pub(crate) budget: RetryBudget,
    pub(crate) hedge: HedgePolicy,
    pub(crate) round_robin_position: usize,
}

/// Creates a service with `count` upstreams, which are spread over all regions and availability
/// zones.
pub(crate) fn new_service(count: usize) -> Arc<ServiceEntry> {
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
    let snapshot =
        ConfigSnapshot::from_state(&state, digest).expect("the generated snapshot is valid");
    snapshot.services["svc"].clone()
}

pub(crate) fn new_entry(index: usize, service: &Arc<ServiceEntry>) -> ModelEntry {
    let name = |text: String| SharedName::from(text.as_str());
    let location = EntryLocation {
        name: name(format!("entry-{index}")),
        zone: name(format!("z{}", index % ZONES)),
        region: name(format!("r{}", index % REGIONS)),
    };
    let balancer = UpstreamBalancer::new(location, service, START);
    let budget = RetryBudget::new(START);
    ModelEntry {
        balancer,
        budget,
        hedge: HedgePolicy::default(),
        round_robin_position: index,
    }
}

pub(crate) fn new_upstream() -> ModelUpstream {
    let limits = AdmissionLimits {
        slots: SLOTS,
        connections: 120,
    };
    let queue = AdmissionQueue::new(limits, Timestamp(0));
    let (queued, baseline_queue) = Default::default();
    ModelUpstream {
        queue,
        queued,
        baseline_queue,
        running: 0,
        wake_at: NEVER,
    }
}

/// Returns the one-way latency between an entry node and an upstream.
pub(crate) fn one_way_latency(entry: usize, upstream: usize) -> Duration {
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
