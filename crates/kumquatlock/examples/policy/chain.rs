//! Discrete-event model of services whose runs call each other.
//!
//! Each service has one upstream with a real [`AdmissionQueue`]. A run holds its slot while it works
//! and while the calls that it makes, one after the other, are served; it fails if one of them fails.
//! The plain baseline has one queue for all calls, whoever makes them, and starts whatever fits in.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock::admission::{
    AdmissionDecision, AdmissionLimits, AdmissionQueue, AdmissionTicket, CancelOutcome, QueueStep,
    RoutePriority, ServiceOutcome,
};
use kumquatlock::core::{RequestClass, Timestamp};
use kumquatlock::dependency::{DependencyThrottle, RunFate, StartDecision};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Longest chain of calls; one call deeper is refused.
const MAX_DEPTH: usize = 16;

/// Keeps polls apart whose queue has nothing to do yet.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A route of the model. Its calls go to the service of the same number as `service`.
#[derive(Clone, Debug)]
pub(crate) struct ChainRoute {
    pub(crate) service: usize,
    pub(crate) rank: u32,
    /// Mean time that a run works by itself.
    pub(crate) work: Duration,
    /// Routes that a run calls, in turn.
    pub(crate) calls: Vec<usize>,
    /// Time that the caller waits.
    pub(crate) timeout: Duration,
    /// Calls of callers per second.
    pub(crate) per_second: f64,
}

/// What became of the callers' calls of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RouteFigures {
    pub(crate) offered: u32,
    /// Served before the deadline.
    pub(crate) served: u32,
    /// Runs that failed after they had started.
    pub(crate) wasted: u32,
}

impl<'a> std::iter::Sum<&'a RouteFigures> for RouteFigures {
    fn sum<I: Iterator<Item = &'a RouteFigures>>(figures: I) -> Self {
        figures.fold(RouteFigures::default(), |sum, route| RouteFigures {
            offered: sum.offered + route.offered,
            served: sum.served + route.served,
            wasted: sum.wasted + route.wasted,
        })
    }
}

impl RouteFigures {
    #[allow(
        dead_code,
        reason = "used by the tests, not by the example, or the other way round"
    )]
    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Worked(usize),
    Deadline(usize),
    Poll(usize),
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    Served,
    NoRoom,
    /// The run failed because a call that it made found no room.
    LostCall,
    Failed,
}

struct ModelCall {
    route: usize,
    parent: Option<usize>,
    depth: usize,
    deadline: Timestamp,
    ticket: Option<AdmissionTicket>,
    is_started: bool,
    is_ended: bool,
    /// Number of calls that the run has made.
    made: usize,
    has_lost_call: bool,
}

struct ModelService {
    queue: AdmissionQueue,
    throttle: DependencyThrottle,
    calls: IndexMap<AdmissionTicket, usize>,
    /// Time of the next poll.
    polled_at: Timestamp,
}

/// Runs one scenario.
pub(crate) struct ChainModel {
    routes: Vec<ChainRoute>,
    services: Vec<ModelService>,
    calls: Vec<ModelCall>,
    events: BTreeMap<(Timestamp, u64), ModelEvent>,
    next_event: u64,
    now: Timestamp,
    random: SmallRng,
    has_mechanism: bool,
    figures: Vec<RouteFigures>,
}

impl ChainModel {
    /// Creates services with these numbers of slots.
    pub(crate) fn new(
        routes: Vec<ChainRoute>,
        slots: &[u32],
        has_mechanism: bool,
        seed: u64,
    ) -> Self {
        let service = |slots: &u32| {
            let limits = AdmissionLimits {
                slots: *slots,
                connections: *slots,
            };
            ModelService {
                queue: AdmissionQueue::new(limits, Timestamp::default()),
                throttle: DependencyThrottle::default(),
                calls: IndexMap::new(),
                polled_at: Timestamp(u64::MAX),
            }
        };
        ChainModel {
            figures: vec![RouteFigures::default(); routes.len()],
            services: slots.iter().map(service).collect(),
            routes,
            calls: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: Timestamp::default(),
            random: SmallRng::seed_from_u64(seed),
            has_mechanism,
        }
    }

    /// Changes the number of callers' calls per second.
    #[allow(
        dead_code,
        reason = "used by the tests, not by the example, or the other way round"
    )]
    pub(crate) fn set_rate(&mut self, route: usize, per_second: f64) {
        self.routes[route].per_second = per_second;
    }

    /// Plays for a time and returns the figures of the callers' calls that arrived in it, by route.
    pub(crate) fn play(&mut self, time: Duration) -> Vec<RouteFigures> {
        self.figures = vec![RouteFigures::default(); self.routes.len()];
        let end = self.now + time;
        for route in 0..self.routes.len() {
            let mut at = self.now;
            let per_second = self.routes[route].per_second;
            if per_second <= 0.0 {
                continue;
            }
            loop {
                let gap = -(1.0 - self.random.random::<f64>()).ln() / per_second;
                at = at + Duration::from_secs_f64(gap);
                if at >= end {
                    break;
                }
                let call = self.add_call(route, None, at + self.routes[route].timeout);
                self.schedule(at, ModelEvent::Arrive(call));
            }
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
        self.figures.clone()
    }

    fn add_call(&mut self, route: usize, parent: Option<usize>, deadline: Timestamp) -> usize {
        let depth = parent.map_or(0, |parent| self.calls[parent].depth + 1);
        self.calls.push(ModelCall {
            route,
            parent,
            depth,
            deadline,
            ticket: None,
            is_started: false,
            is_ended: false,
            made: 0,
            has_lost_call: false,
        });
        self.calls.len() - 1
    }

    fn schedule(&mut self, at: Timestamp, event: ModelEvent) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive(call) => self.arrive(call),
            ModelEvent::Worked(call) => self.call_next(call),
            ModelEvent::Deadline(call) => self.end(call, CallEnd::Failed),
            ModelEvent::Poll(service) => {
                self.services[service].polled_at = Timestamp(u64::MAX);
                self.poll(service);
            }
        }
    }

    fn arrive(&mut self, id: usize) {
        let call = &self.calls[id];
        let (route, deadline, is_nested) = (call.route, call.deadline, call.parent.is_some());
        let depth = call.depth as u32;
        let is_awaited = self.is_awaited(id);
        if !is_nested {
            self.figures[route].offered += 1;
        }
        if depth as usize >= MAX_DEPTH {
            return self.end(id, CallEnd::NoRoom);
        }
        self.schedule(deadline, ModelEvent::Deadline(id));
        let (now, rank) = (self.now, self.rank(id));
        let service = &mut self.services[self.routes[route].service];
        if self.has_mechanism
            && !is_nested
            && service.throttle.admit(now, &route.to_string()) == StartDecision::Refuse
        {
            return self.end(id, CallEnd::NoRoom);
        }
        let class = match is_nested && self.has_mechanism {
            true => RequestClass::Internal,
            false => RequestClass::Lookup,
        };
        let priority = RoutePriority {
            rank,
            target: None,
            account: None,
            depth: match self.has_mechanism {
                true => depth,
                false => 0,
            },
        };
        if self.has_mechanism && is_awaited {
            service.queue.keep_slots(now, depth);
        }
        let decision = service
            .queue
            .offer_with_priority(now, class, priority, deadline);
        match decision {
            AdmissionDecision::Start(ticket) => {
                self.set_ticket(id, ticket);
                self.start(id);
            }
            AdmissionDecision::Queued { ticket, evicted } => {
                self.set_ticket(id, ticket);
                if let Some(evicted) = evicted {
                    let evicted = self.call_of(route, evicted);
                    self.end(evicted, CallEnd::NoRoom);
                }
            }
            AdmissionDecision::Refused(_) => self.end(id, CallEnd::NoRoom),
        }
        self.schedule_poll(self.routes[route].service);
    }

    /// Whether runs of the called service may wait for the call: a run above it belongs to a service
    /// that the called one calls, or to that one itself.
    fn is_awaited(&self, id: usize) -> bool {
        let called = self.routes[self.calls[id].route].service;
        let of_called = self.routes.iter().filter(|route| route.service == called);
        let callees = of_called.flat_map(|route| &route.calls);
        let callees: Vec<usize> = callees.map(|callee| self.routes[*callee].service).collect();
        let mut parent = self.calls[id].parent;
        while let Some(above) = parent {
            let service = self.routes[self.calls[above].route].service;
            if service == called || callees.contains(&service) {
                return true;
            }
            parent = self.calls[above].parent;
        }
        false
    }

    /// Returns the rank of a call; that of a nested call is the rank of the outermost one.
    fn rank(&self, id: usize) -> u32 {
        let call = &self.calls[id];
        let parent = call.parent.filter(|_| self.has_mechanism);
        parent.map_or(self.routes[call.route].rank, |parent| self.rank(parent))
    }

    fn call_of(&self, route: usize, ticket: AdmissionTicket) -> usize {
        self.services[self.routes[route].service].calls[&ticket]
    }

    fn set_ticket(&mut self, id: usize, ticket: AdmissionTicket) {
        let route = self.calls[id].route;
        self.calls[id].ticket = Some(ticket);
        self.services[self.routes[route].service]
            .calls
            .insert(ticket, id);
    }

    fn start(&mut self, id: usize) {
        let route = self.calls[id].route;
        self.calls[id].is_started = true;
        let factor = 0.5 + self.random.random::<f64>();
        let at = self.now + self.routes[route].work.mul_f64(factor);
        self.schedule(at, ModelEvent::Worked(id));
    }

    fn call_next(&mut self, id: usize) {
        let call = &mut self.calls[id];
        if call.is_ended {
            return;
        }
        let next = self.routes[call.route].calls.get(call.made).copied();
        let Some(next) = next else {
            return self.end(id, CallEnd::Served);
        };
        call.made += 1;
        let deadline = call.deadline;
        let nested = self.add_call(next, Some(id), deadline);
        self.arrive(nested);
    }

    fn end(&mut self, id: usize, end: CallEnd) {
        let now = self.now;
        let call = &mut self.calls[id];
        if std::mem::replace(&mut call.is_ended, true) {
            return;
        }
        let (route, parent, ticket) = (call.route, call.parent, call.ticket);
        let (is_started, has_lost_call) = (call.is_started, call.has_lost_call);
        let number = self.routes[route].service;
        let service = &mut self.services[number];
        if is_started {
            let fate = match has_lost_call {
                true => RunFate::LostCall,
                false => RunFate::Complete,
            };
            service.throttle.record(now, &route.to_string(), fate);
        }
        let figures = &mut self.figures[route];
        figures.served += u32::from(parent.is_none() && end == CallEnd::Served);
        figures.wasted += u32::from(is_started && end != CallEnd::Served);
        if let Some(ticket) = ticket {
            self.release(number, ticket, is_started, end);
        }
        if let Some(parent) = parent {
            self.end_nested(parent, end);
        }
    }

    fn release(&mut self, number: usize, ticket: AdmissionTicket, is_started: bool, end: CallEnd) {
        let service = &mut self.services[number];
        service.calls.swap_remove(&ticket);
        if !is_started && service.queue.cancel(ticket) != CancelOutcome::Running {
            return;
        }
        let outcome = match end {
            CallEnd::Served => ServiceOutcome::Answered,
            _ => ServiceOutcome::Ended,
        };
        let step = service.queue.finished(self.now, ticket, outcome);
        self.apply(number, step);
        self.poll(number);
    }

    fn end_nested(&mut self, parent: usize, end: CallEnd) {
        self.calls[parent].has_lost_call |= matches!(end, CallEnd::NoRoom | CallEnd::LostCall);
        match end {
            CallEnd::Served => self.call_next(parent),
            CallEnd::NoRoom | CallEnd::LostCall => self.end(parent, CallEnd::LostCall),
            CallEnd::Failed => self.end(parent, CallEnd::Failed),
        }
    }

    fn poll(&mut self, service: usize) {
        loop {
            let step = self.services[service].queue.poll(self.now);
            if step == QueueStep::Idle {
                break;
            }
            self.apply(service, step);
        }
        self.schedule_poll(service);
    }

    fn apply(&mut self, service: usize, step: QueueStep) {
        match step {
            QueueStep::Start(ticket) => {
                if let Some(id) = self.services[service].calls.get(&ticket).copied() {
                    self.start(id);
                }
            }
            QueueStep::Refuse(ticket, _) => {
                if let Some(id) = self.services[service].calls.get(&ticket).copied() {
                    self.end(id, CallEnd::NoRoom);
                }
            }
            QueueStep::Idle => {}
        }
    }

    fn schedule_poll(&mut self, service: usize) {
        if let Some(at) = self.services[service].queue.next_wakeup(self.now) {
            let at = at.max(self.now + MIN_POLL_INTERVAL);
            if at < self.services[service].polled_at {
                self.services[service].polled_at = at;
                self.schedule(at, ModelEvent::Poll(service));
            }
        }
    }
}

/// Time for which a scenario is played.
const PLAY_TIME: Duration = Duration::from_secs(10);

/// Plays a scenario with the library's decisions and with the plain baseline, with the same seeds in
/// turn. Returns the sums over the seeds by route.
pub(crate) fn compare(
    routes: &[ChainRoute],
    slots: &[u32],
    seeds: std::ops::Range<u64>,
) -> [Vec<RouteFigures>; 2] {
    let mut sums = [true, false].map(|_| vec![RouteFigures::default(); routes.len()]);
    for seed in seeds {
        for (has_mechanism, sum) in [true, false].into_iter().zip(&mut sums) {
            let mut model = ChainModel::new(routes.to_vec(), slots, has_mechanism, seed);
            for (sum, figures) in sum.iter_mut().zip(model.play(PLAY_TIME)) {
                *sum = [*sum, figures].iter().sum();
            }
        }
    }
    sums
}

fn route(service: usize, calls: &[usize], per_second: f64) -> ChainRoute {
    ChainRoute {
        service,
        rank: 1,
        work: Duration::from_millis(50),
        calls: calls.to_vec(),
        timeout: Duration::from_millis(1_500),
        per_second,
    }
}

/// A service with plenty of room whose runs make two calls to a service that serves 100 calls per
/// second. `load` is that of the callee by these calls in multiples of its capacity, and
/// `callers_per_second` are calls of callers that it gets besides.
pub(crate) fn shared_callee(load: f64, callers_per_second: f64) -> (Vec<ChainRoute>, Vec<u32>) {
    let front = route(0, &[2, 2], 50.0 * load);
    let callers = route(1, &[], callers_per_second);
    let nested = route(1, &[], 0.0);
    (vec![front, callers, nested], vec![60, 5])
}

/// A chain of three services of which the last serves 100 calls per second.
pub(crate) fn three_deep(load: f64) -> (Vec<ChainRoute>, Vec<u32>) {
    let front = route(0, &[1], 100.0 * load);
    let middle = route(1, &[2], 0.0);
    (vec![front, middle, route(2, &[], 0.0)], vec![60, 60, 5])
}

/// Two services of 100 calls per second whose runs call each other. A run occupies about three
/// times its own work, so each service can start 33 of its own per second.
pub(crate) fn mutual_calls(load: f64) -> (Vec<ChainRoute>, Vec<u32>) {
    let own = [route(0, &[2], 33.0 * load), route(1, &[3], 33.0 * load)];
    let nested = [route(1, &[], 0.0), route(0, &[], 0.0)];
    (own.into_iter().chain(nested).collect(), vec![5, 5])
}

/// A loop: a run of the first service calls the second, which calls the first, which calls the
/// second. Both have 8 slots; a run occupies up to ten times its own work in all.
pub(crate) fn loop_of_calls(load: f64) -> (Vec<ChainRoute>, Vec<u32>) {
    let chain = [route(0, &[1], 32.0 * load), route(1, &[2], 0.0)];
    let rest = [route(0, &[3], 0.0), route(1, &[], 0.0)];
    (chain.into_iter().chain(rest).collect(), vec![8, 8])
}
