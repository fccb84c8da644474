//! Choice of an upstream for one attempt.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::LoadReport;
use rand::Rng;
use rand::rngs::SmallRng;

use super::live::{HealthHint, LiveUpstream, UpstreamOutcome, UpstreamToken};
use super::silence::SilenceTracker;
use super::subset::{EntryLocation, LocalityTier, SUBSET_SIZE, pick_subset};
use crate::core::{ServiceEntry, SharedName, Timestamp, UpstreamEntry};

/// Fullness (work per slot) from which on a tier spills into the next one.
///
/// Towards the region as soon as calls would queue, since that traffic is free. Towards other
/// regions only when the queue (2 × slots) is half full, since that traffic is paid.
const SPILL_FULLNESS: [f32; 3] = [1.0, 2.0, 1.0];

/// Fullness up to which an entry uses the upstream beside it before all others.
const OWN_FULLNESS: f32 = 0.8;
/// Share of failures up to which it does.
const OWN_FAILING_SHARE: f32 = 0.1;

/// Costs above this share of each other count as equal. Otherwise an estimate that fades towards
/// the mean would never meet it, and an idle entry would never try a recovered upstream again.
const EQUAL_COST: f32 = 0.9;

/// Latency estimate of a tier without samples, in microseconds.
const UNKNOWN_LATENCY_US: f32 = 1_000.0;
/// Latency that the silence of a tier without samples is judged by, in microseconds. Above the
/// usual first answers, which would otherwise be taken for silence.
const UNKNOWN_SILENCE_US: f32 = 100_000.0;
/// Weight of a new latency sample in the mean of a tier.
const TIER_LATENCY_GAIN: f32 = 0.05;

/// Result of [`UpstreamBalancer::choose`].
#[derive(Clone, Debug)]
pub enum UpstreamChoice {
    /// Send the attempt here.
    Chosen(ChosenUpstream),
    /// There is nowhere to send the attempt.
    None(NoChoiceReason),
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoiceReason {
    /// The service has no serving upstream.
    NoUpstream,
    /// Every upstream of the subset drains or was replaced.
    AllDraining,
    /// Every upstream that could take the attempt is excluded by the caller.
    AllExcluded,
}

/// How the choice came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceMode {
    /// Some tier was healthy and had room.
    Normal,
    /// Every healthy upstream is saturated; the nearest were used.
    Saturated,
    /// Most upstreams of every tier are ejected, so ejection was ignored. If most look bad, the
    /// observation is more likely wrong than the upstreams, and the rest could not carry the load.
    Panic,
}

/// An upstream that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenUpstream {
    /// Names the upstream in later calls, for example as excluded.
    pub token: UpstreamToken,
    /// The upstream, with the incarnation that the attempt must name.
    pub entry: Arc<UpstreamEntry>,
    /// Distance from the entry.
    pub tier: LocalityTier,
    /// How the choice came about.
    pub mode: ChoiceMode,
    /// Age of the upstream's load report; none if it has given none.
    pub load_age: Option<std::time::Duration>,
}

/// An attempt in flight. Each ticket goes to [`UpstreamBalancer::finish_attempt`] exactly once.
#[derive(Debug)]
#[must_use = "an attempt that is never finished counts as in flight forever"]
pub struct AttemptTicket {
    token: UpstreamToken,
    started_at: Timestamp,
}

/// Attempts by distance, and choices that were made under pressure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalityCounters {
    /// Attempts started, by [`LocalityTier`]; the last is paid traffic.
    pub started: [u64; 3],
    /// Attempts started in panic mode.
    pub panic: u64,
    /// Attempts started while every healthy upstream was saturated.
    pub saturated: u64,
}

impl LocalityCounters {
    /// Attempts to another region, whose traffic is paid by volume.
    pub fn cross_region(&self) -> u64 {
        self.started[LocalityTier::CrossRegion as usize]
    }

    pub(super) fn add(&mut self, other: &LocalityCounters) {
        for (sum, started) in self.started.iter_mut().zip(other.started) {
            *sum += started;
        }
        self.panic += other.panic;
        self.saturated += other.saturated;
    }
}

/// Chooses among the upstreams of one service.
#[derive(Clone, Debug)]
pub struct UpstreamBalancer {
    location: EntryLocation,
    service: Arc<ServiceEntry>,
    /// At most [`SUBSET_SIZE`], nearest tier first.
    upstreams: Vec<LiveUpstream>,
    /// Mean latency by tier; none before the first sample.
    tier_latency_us: [Option<f32>; 3],
    /// By tier. A lost zone is noticed after three attempts to any of its upstreams.
    tier_silence: [SilenceTracker; 3],
    counters: LocalityCounters,
    next_token: u64,
}

/// Indexes of the upstreams that take part in a draw.
#[derive(Default)]
struct CandidateSet {
    indexes: [u8; SUBSET_SIZE],
    len: usize,
}

impl CandidateSet {
    fn push(&mut self, index: usize) {
        self.indexes[self.len] = index as u8;
        self.len += 1;
    }
}

impl UpstreamBalancer {
    /// Makes a balancer for the upstreams of `service`, none of which counts as cold.
    pub fn new(location: EntryLocation, service: &Arc<ServiceEntry>, now: Timestamp) -> Self {
        let mut balancer = UpstreamBalancer {
            location,
            service: service.clone(),
            upstreams: Vec::new(),
            tier_latency_us: [None; 3],
            tier_silence: Default::default(),
            counters: LocalityCounters::default(),
            next_token: 0,
        };
        balancer.rebuild(service, now);
        balancer
    }

    /// Takes over the members of a newer snapshot; does nothing if they are the same.
    ///
    /// State survives for upstreams that stay in the subset with the same incarnation. Others
    /// start afresh, cold if the service did not have this incarnation before. Attempts in flight
    /// to upstreams that left the subset still finish; their outcome is ignored.
    pub fn apply(&mut self, service: &Arc<ServiceEntry>, now: Timestamp) {
        if Arc::ptr_eq(&self.service, service) {
            return;
        }
        let previous = std::mem::replace(&mut self.service, service.clone());
        self.rebuild(&previous, now);
    }

    fn rebuild(&mut self, previous: &ServiceEntry, now: Timestamp) {
        let service = self.service.clone();
        let mut old = std::mem::take(&mut self.upstreams);
        for seat in pick_subset(&self.location, &service.members) {
            let held = old.iter().position(|live| {
                live.entry.name == seat.entry.name
                    && live.entry.incarnation == seat.entry.incarnation
            });
            self.upstreams.push(match held {
                Some(index) => old.swap_remove(index).with_seat(seat),
                None => {
                    self.next_token += 1;
                    let token = UpstreamToken(self.next_token);
                    let cold = !holds_incarnation(previous, &seat.entry);
                    LiveUpstream::new(token, seat.entry, seat.tier, cold.then_some(now))
                }
            });
        }
    }

    /// Chooses an upstream for one attempt. `excluded` holds those that the call already tried.
    ///
    /// The tiers are walked from the nearest. A tier that is silent, in which more than half of the
    /// upstreams are ejected, or all are saturated, adds its usable upstreams and lets the next tier add its
    /// own. Two of the usable upstreams are drawn by weight, and the cheaper one is chosen.
    pub fn choose(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        excluded: &[UpstreamToken],
    ) -> UpstreamChoice {
        if let Some(own) = self.own_upstream(now, excluded) {
            return chosen_upstream(own, now, ChoiceMode::Normal);
        }
        let mut usable = CandidateSet::default();
        let mut tier_start = 0;
        let mut failing_tiers = 0;
        let mut serving_tiers = 0;
        while let Some(first) = self.upstreams.get(tier_start) {
            let tier = first.tier;
            let mean_us = self.silence_mean(tier);
            let silent = self.tier_silence[tier as usize].is_silent(now, mean_us);
            let (mut serving, mut ejected, mut added) = (0, 0, 0);
            let mut index = tier_start;
            while let Some(live) = self.upstreams.get(index).filter(|live| live.tier == tier) {
                if !live.retired {
                    serving += 1;
                    if silent || live.is_ejected(now, mean_us) {
                        ejected += 1;
                    } else if live.fullness(now) < SPILL_FULLNESS[tier as usize]
                        && !excluded.contains(&live.token)
                    {
                        usable.push(index);
                        added += 1;
                    }
                }
                index += 1;
            }
            tier_start = index;
            let failing = ejected * 2 > serving;
            if added > 0 && !failing {
                return self.draw(now, rng, &usable, ChoiceMode::Normal);
            }
            serving_tiers += usize::from(serving > 0);
            failing_tiers += usize::from(failing);
        }
        if serving_tiers == 0 {
            return UpstreamChoice::None(if self.upstreams.is_empty() {
                NoChoiceReason::NoUpstream
            } else {
                NoChoiceReason::AllDraining
            });
        }
        if failing_tiers == serving_tiers {
            return self.choose_nearest(now, rng, excluded, ChoiceMode::Panic);
        }
        if usable.len > 0 {
            return self.draw(now, rng, &usable, ChoiceMode::Normal);
        }
        self.choose_nearest(now, rng, excluded, ChoiceMode::Saturated)
    }

    /// The upstream beside the entry, while it has free slots. A call to it crosses no link.
    fn own_upstream(&self, now: Timestamp, excluded: &[UpstreamToken]) -> Option<&LiveUpstream> {
        let own = self
            .upstreams
            .iter()
            .find(|live| live.entry.name == self.location.name)?;
        let is_usable = !own.retired
            && !excluded.contains(&own.token)
            && !own.is_ejected(now, self.silence_mean(own.tier))
            && own.weight(now) >= 1.0
            && own.failing_share(now) < OWN_FAILING_SHARE
            && own.fullness(now) < OWN_FULLNESS;
        is_usable.then_some(own)
    }

    /// Draws from the entry's region if it has any candidate, otherwise from the other regions.
    /// Ignores saturation, and in panic mode ejection as well.
    fn choose_nearest(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        excluded: &[UpstreamToken],
        mode: ChoiceMode,
    ) -> UpstreamChoice {
        let mut set = CandidateSet::default();
        for (index, live) in self.upstreams.iter().enumerate() {
            if live.tier == LocalityTier::CrossRegion && set.len > 0 {
                break;
            }
            let allowed =
                mode == ChoiceMode::Panic || !live.is_ejected(now, self.silence_mean(live.tier));
            if allowed && !live.retired && !excluded.contains(&live.token) {
                set.push(index);
            }
        }
        self.draw(now, rng, &set, mode)
    }

    fn draw(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        set: &CandidateSet,
        mode: ChoiceMode,
    ) -> UpstreamChoice {
        let mut weights = [0.0f32; SUBSET_SIZE];
        let mut total = 0.0;
        for (weight, index) in weights.iter_mut().zip(&set.indexes[..set.len]) {
            *weight = self.upstreams[usize::from(*index)].weight(now);
            total += *weight;
        }
        let Some(first) = draw_one(rng, &weights[..set.len], total) else {
            return UpstreamChoice::None(NoChoiceReason::AllExcluded);
        };
        let total = total - weights[first];
        weights[first] = 0.0;
        let second = draw_one(rng, &weights[..set.len], total);
        let live = |drawn: usize| &self.upstreams[usize::from(set.indexes[drawn])];
        let mut chosen = live(first);
        if let Some(other) = second.map(live)
            && self.cost(other, now) < self.cost(chosen, now) * EQUAL_COST
        {
            chosen = other;
        }
        chosen_upstream(chosen, now, mode)
    }

    fn cost(&self, live: &LiveUpstream, now: Timestamp) -> f32 {
        live.cost(now, self.tier_mean(live.tier))
    }

    pub(super) fn set_silent_nodes(&mut self, names: &[SharedName]) {
        for live in &mut self.upstreams {
            live.is_node_silent = names.contains(&live.entry.name);
        }
    }

    fn tier_mean(&self, tier: LocalityTier) -> f32 {
        self.tier_latency_us[tier as usize].unwrap_or(UNKNOWN_LATENCY_US)
    }

    fn silence_mean(&self, tier: LocalityTier) -> f32 {
        self.tier_latency_us[tier as usize].unwrap_or(UNKNOWN_SILENCE_US)
    }

    /// Counts an attempt as in flight and, if it leaves the region, as paid traffic.
    pub fn start_attempt(&mut self, now: Timestamp, chosen: &ChosenUpstream) -> AttemptTicket {
        if let Some(live) = self.find(chosen.token) {
            live.observe_start(now);
        }
        self.tier_silence[chosen.tier as usize].started(now);
        self.counters.started[chosen.tier as usize] += 1;
        self.counters.panic += u64::from(chosen.mode == ChoiceMode::Panic);
        self.counters.saturated += u64::from(chosen.mode == ChoiceMode::Saturated);
        AttemptTicket {
            token: chosen.token,
            started_at: now,
        }
    }

    /// Records the outcome of an attempt and the load that the answer carried, if any.
    pub fn finish_attempt(
        &mut self,
        now: Timestamp,
        ticket: AttemptTicket,
        outcome: UpstreamOutcome,
        load: Option<LoadReport>,
    ) {
        let latency = now.since(ticket.started_at);
        let held = |live: &LiveUpstream| live.token == ticket.token;
        let Some(index) = self.upstreams.iter().position(held) else {
            return;
        };
        let tier = self.upstreams[index].tier;
        let mean_us = self.silence_mean(tier);
        let live = &mut self.upstreams[index];
        live.in_flight = live.in_flight.saturating_sub(1);
        if let Some(report) = load {
            live.observe_report(now, report);
        }
        live.observe_outcome(now, outcome, latency, mean_us);
        self.tier_silence[tier as usize].finished(outcome, latency, mean_us);
        if outcome == UpstreamOutcome::Answered {
            self.observe_tier_latency(tier, latency);
        }
    }

    /// Records what the health or load endpoint of an upstream says.
    pub fn apply_hint(&mut self, now: Timestamp, upstream: &str, hint: HealthHint) {
        let held = self
            .upstreams
            .iter_mut()
            .find(|live| &*live.entry.name == upstream);
        if let Some(live) = held {
            live.observe_hint(now, hint);
        }
    }

    /// Attempts since the balancer was made.
    pub fn counters(&self) -> LocalityCounters {
        self.counters
    }

    /// The upstreams that the balancer keeps state for, nearest tier first.
    pub fn subset(&self) -> impl Iterator<Item = (LocalityTier, &Arc<UpstreamEntry>)> {
        self.upstreams.iter().map(|live| (live.tier, &live.entry))
    }

    fn observe_tier_latency(&mut self, tier: LocalityTier, latency: Duration) {
        let sample_us = latency.as_micros() as f32;
        let mean = self.tier_latency_us[tier as usize].get_or_insert(sample_us);
        *mean += (sample_us - *mean) * TIER_LATENCY_GAIN;
    }

    fn find(&mut self, token: UpstreamToken) -> Option<&mut LiveUpstream> {
        self.upstreams.iter_mut().find(|live| live.token == token)
    }
}

fn chosen_upstream(live: &LiveUpstream, now: Timestamp, mode: ChoiceMode) -> UpstreamChoice {
    UpstreamChoice::Chosen(ChosenUpstream {
        token: live.token,
        entry: live.entry.clone(),
        tier: live.tier,
        mode,
        load_age: live.load_age(now),
    })
}

/// Whether `service` had the upstream's incarnation. Members are sorted by name.
fn holds_incarnation(service: &ServiceEntry, upstream: &UpstreamEntry) -> bool {
    service
        .members
        .binary_search_by(|member| member.name.cmp(&upstream.name))
        .is_ok_and(|index| service.members[index].incarnation == upstream.incarnation)
}

/// Draws an index with a probability in proportion to its weight.
fn draw_one(rng: &mut SmallRng, weights: &[f32], total: f32) -> Option<usize> {
    let mut left = rng.random::<f32>() * total;
    let mut last = None;
    for (index, weight) in weights.iter().enumerate() {
        if *weight > 0.0 {
            last = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
    }
    last
}
