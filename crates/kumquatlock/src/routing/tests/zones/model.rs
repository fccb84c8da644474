//! A model of zones, entry nodes and upstreams, in simulated time.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use super::super::*;

const ENTRIES_PER_ZONE: usize = 6;
pub(super) const SLOTS: usize = 9;
const QUEUE: usize = 18;
const SERVICE_US: f64 = 100_000.0;
const TARGET: Duration = Duration::from_millis(400);
/// Length of the spans whose shares of calls outside the zone are compared.
const SPAN: Duration = Duration::from_millis(500);
const SPANS: usize = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub(super) enum SpillRule {
    /// The balancer.
    Expected,
    /// The former rule: to the region from 1 call for each slot, to other regions from 2.
    Thresholds,
    ZoneOnly,
    Even,
}

/// A site of two zones in each of two regions.
#[derive(Clone)]
pub(super) struct ZoneCase {
    pub(super) name: &'static str,
    /// Calls for each slot of an evenly loaded site, by zone of the caller.
    pub(super) demand: [f64; 4],
    pub(super) upstreams: [usize; 4],
    pub(super) speeds: &'static [f64],
    /// One way, by tier.
    pub(super) way_us: [u64; 3],
    /// Zone whose upstreams answer nothing, from the start on.
    pub(super) lost_zone: Option<usize>,
    /// Whether the upstreams report that they are idle.
    pub(super) lies: bool,
}

/// What callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneFigures {
    pub(super) wait_ms: f64,
    pub(super) in_target: f64,
    pub(super) refused: f64,
    pub(super) out_of_zone: f64,
    pub(super) out_of_region: f64,
    pub(super) busiest: f64,
    /// Mean change of the share of calls outside the zone from one span to the next.
    pub(super) swing: f64,
}

enum Event {
    Arrive(usize),
    Reach(usize),
    Finish(usize),
    Answer(usize, UpstreamOutcome),
}

struct Call {
    entry: usize,
    upstream: usize,
    at: Timestamp,
    reached: Timestamp,
    waited: Duration,
    report: LoadReport,
    ticket: Option<AttemptTicket>,
}

#[derive(Default)]
struct Upstream {
    zone: usize,
    speed: f64,
    running: usize,
    queue: VecDeque<usize>,
    service_us: f64,
    runs: f64,
    busy_us: f64,
}

/// What an entry node of the former rule knows of an upstream.
#[derive(Clone, Copy, Default)]
struct Known {
    in_flight: u32,
    load: u32,
    queued: u32,
    until: Timestamp,
    latency_us: f64,
}

pub(super) struct ZoneModel {
    case: ZoneCase,
    rule: SpillRule,
    rng: SmallRng,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    calls: Vec<Call>,
    upstreams: Vec<Upstream>,
    balancers: Vec<UpstreamBalancer>,
    known: Vec<Vec<Known>>,
    figures: ZoneFigures,
    answered: f64,
    spans: Vec<(f64, f64)>,
}

const ZONES: [&str; 4] = ["north-1", "north-2", "south-1", "south-2"];

impl ZoneModel {
    pub(super) fn run(case: &ZoneCase, rule: SpillRule, seed: u64) -> ZoneFigures {
        let mut upstreams = Vec::new();
        let mut items = Vec::new();
        for (zone, count) in case.upstreams.iter().enumerate() {
            for _ in 0..*count {
                let index = upstreams.len();
                let mut item = super::super::upstream(&format!("u{index:03}"), ZONES[zone]);
                item.slots = SLOTS as u32;
                items.push(item);
                let speed = case.speeds[index % case.speeds.len()];
                let service_us = SERVICE_US / speed;
                upstreams.push(Upstream {
                    zone,
                    speed,
                    service_us,
                    ..Upstream::default()
                });
            }
        }
        let service = service(&items);
        let balancer = |entry: usize| {
            let zone = ZONES[entry / ENTRIES_PER_ZONE];
            let location = EntryLocation {
                name: format!("entry-{entry}").as_str().into(),
                zone: zone.into(),
                region: zone.split('-').next().unwrap().into(),
            };
            UpstreamBalancer::new(location, &service, START)
        };
        let entries = ENTRIES_PER_ZONE * ZONES.len();
        let mut model = ZoneModel {
            case: case.clone(),
            rule,
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            events: BTreeMap::new(),
            event_count: 0,
            calls: Vec::new(),
            known: vec![vec![Known::default(); upstreams.len()]; entries],
            upstreams,
            balancers: (0..entries).map(balancer).collect(),
            figures: ZoneFigures::default(),
            answered: 0.0,
            spans: vec![(0.0, 0.0); SPANS],
        };
        (0..entries).for_each(|entry| model.schedule(Duration::ZERO, Event::Arrive(entry)));
        while let Some(((at, _), event)) = model.events.pop_first() {
            model.now = at;
            model.handle(event);
        }
        model.summarize()
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    fn exponential(&mut self, mean_us: f64) -> Duration {
        Duration::from_micros((-mean_us * (1.0 - self.rng.random::<f64>()).ln()) as u64)
    }

    fn tier(&self, entry: usize, upstream: usize) -> usize {
        let (from, to) = (entry / ENTRIES_PER_ZONE, self.upstreams[upstream].zone);
        usize::from(from != to) + usize::from(from / 2 != to / 2)
    }

    fn way(&self, entry: usize, upstream: usize) -> Duration {
        Duration::from_micros(self.case.way_us[self.tier(entry, upstream)])
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(entry) => self.arrive(entry),
            Event::Reach(call) => self.reach(call),
            Event::Finish(call) => self.finish(call),
            Event::Answer(call, outcome) => self.answer(call, outcome),
        }
    }

    fn arrive(&mut self, entry: usize) {
        let slots = (SLOTS * self.upstreams.len()) as f64 / 4.0 / ENTRIES_PER_ZONE as f64;
        let gap_us = SERVICE_US / (slots * self.case.demand[entry / ENTRIES_PER_ZONE]);
        if self.now < START + SPAN * SPANS as u32 {
            let gap = self.exponential(gap_us);
            self.schedule(gap, Event::Arrive(entry));
        }
        let span = now_span(self.now);
        self.spans[span].0 += 1.0;
        let Some((upstream, ticket)) = self.choose(entry) else {
            self.figures.refused += 1.0;
            return;
        };
        let tier = self.tier(entry, upstream);
        self.figures.out_of_zone += f64::from(u8::from(tier > 0));
        self.figures.out_of_region += f64::from(u8::from(tier > 1));
        self.spans[span].1 += f64::from(u8::from(tier > 0));
        let call = self.calls.len();
        self.calls.push(Call {
            entry,
            upstream,
            at: self.now,
            reached: self.now,
            waited: Duration::ZERO,
            report: LoadReport::default(),
            ticket,
        });
        self.schedule(self.way(entry, upstream), Event::Reach(call));
    }

    fn choose(&mut self, entry: usize) -> Option<(usize, Option<AttemptTicket>)> {
        let count = self.upstreams.len();
        let in_zone = |model: &Self, index: &usize| model.tier(entry, *index) == 0;
        match self.rule {
            SpillRule::Even => Some((self.rng.random_range(0..count), None)),
            SpillRule::ZoneOnly => {
                let near: Vec<usize> = (0..count).filter(|index| in_zone(self, index)).collect();
                Some((near[self.rng.random_range(0..near.len())], None))
            }
            SpillRule::Thresholds => Some((self.choose_by_thresholds(entry)?, None)),
            SpillRule::Expected => {
                let demand = CallDemand {
                    target_left: Some(TARGET),
                    ..CallDemand::default()
                };
                let balancer = &mut self.balancers[entry];
                match balancer.choose(self.now, &mut self.rng, &[], demand) {
                    UpstreamChoice::Chosen(chosen) => {
                        let ticket = balancer.start_attempt(self.now, &chosen);
                        Some((chosen.entry.name[1..].parse().unwrap(), Some(ticket)))
                    }
                    UpstreamChoice::None(_) => None,
                }
            }
        }
    }

    fn choose_by_thresholds(&mut self, entry: usize) -> Option<usize> {
        let mut draws = SmallRng::seed_from_u64(self.rng.random());
        let subset: Vec<usize> = self.balancers[entry]
            .subset()
            .map(|(_, item)| item.name[1..].parse().unwrap())
            .collect();
        let load = |index: usize| {
            let known = self.known[entry][index];
            let reported = if self.now < known.until {
                known.load
            } else {
                0
            };
            f64::from(known.in_flight.max(reported)) / SLOTS as f64
        };
        let limit = [1.0, 2.0, 1.0];
        let of_tier = |tier: usize| -> Vec<usize> {
            let is_in_tier = |index: &usize| self.tier(entry, *index) == tier;
            subset.iter().copied().filter(is_in_tier).collect()
        };
        let with_room = |tier: usize| -> Vec<usize> {
            let has_room = |index: &usize| load(*index) < limit[tier];
            of_tier(tier).into_iter().filter(has_room).collect()
        };
        let usable = (0..3).map(with_room).find(|tier| !tier.is_empty());
        let usable = usable.unwrap_or_else(|| [of_tier(0), of_tier(1)].concat());
        let cost = |index: usize| {
            let known = self.known[entry][index];
            let queued = if self.now < known.until {
                known.queued
            } else {
                0
            };
            f64::from(known.in_flight + queued + 1) * known.latency_us.max(1.0)
        };
        let mut draw = || usable[draws.random_range(0..usable.len())];
        let (first, second) = (draw(), draw());
        let chosen = if cost(second) < cost(first) * 0.9 {
            second
        } else {
            first
        };
        self.known[entry][chosen].in_flight += 1;
        Some(chosen)
    }

    fn reach(&mut self, call: usize) {
        self.calls[call].reached = self.now;
        let index = self.calls[call].upstream;
        if self.case.lost_zone == Some(self.upstreams[index].zone) {
            return self.send_answer(call, UpstreamOutcome::Unreachable);
        }
        match &mut self.upstreams[index] {
            upstream if upstream.running < SLOTS => self.start(call),
            upstream if upstream.queue.len() < QUEUE => upstream.queue.push_back(call),
            _ => self.send_answer(call, UpstreamOutcome::Refused(CallReason::Overloaded)),
        }
    }

    fn start(&mut self, call: usize) {
        let index = self.calls[call].upstream;
        self.calls[call].waited = self.now.since(self.calls[call].reached);
        let mean_us = SERVICE_US / self.upstreams[index].speed;
        let time = self.exponential(mean_us);
        let upstream = &mut self.upstreams[index];
        upstream.running += 1;
        upstream.runs += 1.0;
        upstream.busy_us += time.as_micros() as f64;
        upstream.service_us += (time.as_micros() as f64 - upstream.service_us) * 0.1;
        self.schedule(time, Event::Finish(call));
    }

    fn finish(&mut self, call: usize) {
        let index = self.calls[call].upstream;
        self.upstreams[index].running -= 1;
        if let Some(next) = self.upstreams[index].queue.pop_front() {
            self.start(next);
        }
        self.send_answer(call, UpstreamOutcome::Answered);
    }

    fn send_answer(&mut self, index: usize, outcome: UpstreamOutcome) {
        let call = &self.calls[index];
        let upstream = &self.upstreams[call.upstream];
        let report = LoadReport {
            running: if self.case.lies {
                0
            } else {
                upstream.running as u32
            },
            queued: if self.case.lies {
                0
            } else {
                upstream.queue.len() as u32
            },
            slots: SLOTS as u32,
            service_us: upstream.service_us as u32,
            held_us: self.now.since(call.reached).as_micros() as u32,
            waited_us: call.waited.as_micros() as u32,
            draining: false,
        };
        let way = self.way(call.entry, call.upstream);
        self.calls[index].report = report;
        self.schedule(way, Event::Answer(index, outcome));
    }

    fn answer(&mut self, index: usize, outcome: UpstreamOutcome) {
        let call = &mut self.calls[index];
        let latency = self.now.since(call.at);
        let known = &mut self.known[call.entry][call.upstream];
        known.in_flight = known.in_flight.saturating_sub(1);
        known.load = call.report.running + call.report.queued;
        known.queued = call.report.queued;
        known.until = self.now + Duration::from_millis(500);
        let report = (outcome != UpstreamOutcome::Unreachable).then_some(call.report);
        if let Some(ticket) = call.ticket.take() {
            self.balancers[call.entry].finish_attempt(self.now, ticket, outcome, report);
        }
        if outcome != UpstreamOutcome::Answered {
            self.figures.refused += 1.0;
            return;
        }
        known.latency_us += (latency.as_micros() as f64 - known.latency_us) * 0.2;
        self.answered += 1.0;
        let held = Duration::from_micros(call.report.held_us.into());
        self.figures.wait_ms += (latency - held + call.waited).as_secs_f64() * 1e3;
        self.figures.in_target += f64::from(u8::from(latency <= TARGET));
    }

    fn summarize(&self) -> ZoneFigures {
        let total: f64 = self.spans.iter().map(|span| span.0).sum();
        let share = |span: &(f64, f64)| span.1 / span.0;
        // The first second is left out: the entry nodes know nothing yet.
        let changes = self.spans[2..]
            .windows(2)
            .map(|pair| (share(&pair[1]) - share(&pair[0])).abs());
        let runs: f64 = self.upstreams.iter().map(|upstream| upstream.runs).sum();
        let most = self
            .upstreams
            .iter()
            .map(|upstream| upstream.busy_us)
            .fold(0.0, f64::max);
        let busy: f64 = self.upstreams.iter().map(|upstream| upstream.busy_us).sum();
        debug_assert!(runs > 0.0);
        ZoneFigures {
            wait_ms: self.figures.wait_ms / self.answered,
            in_target: self.figures.in_target / total,
            refused: self.figures.refused / total,
            out_of_zone: self.figures.out_of_zone / total,
            out_of_region: self.figures.out_of_region / total,
            busiest: most / busy * self.upstreams.len() as f64,
            swing: changes.sum::<f64>() / (SPANS - 3) as f64,
        }
    }
}

fn now_span(now: Timestamp) -> usize {
    ((now.since(START).as_micros() / SPAN.as_micros()) as usize).min(SPANS - 1)
}
