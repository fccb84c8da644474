//! Choice of an upstream for one attempt.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::call::LoadReport;
use rand::Rng;
use rand::rngs::SmallRng;

use super::group::VersionGroup;
use super::silence::SilenceTracker;
use super::subset::{EntryLocation, LocalityTier, SUBSET_SIZE, pick_subset};
use super::tracked::{HealthHint, TrackedUpstream, UpstreamOutcome, UpstreamToken};
use crate::core::{ServiceEntry, SharedName, Timestamp, UpstreamEntry};

/// Load per slot, by tier, at which an upstream counts as saturated. Calls spill into the next tier
/// if a tier has only saturated upstreams.
///
/// Calls spill into the region as soon as they would queue, because that traffic is free. They
/// spill into other regions only when the queue (2 × slots) is half full, because that traffic is
/// billed.
const SPILL_LOAD_PER_SLOT: [f32; 3] = [1.0, 2.0, 1.0];

/// Load per slot below which an entry node prefers the upstream beside it to all others.
const LOCAL_MAX_LOAD_PER_SLOT: f32 = 0.8;
/// Failure rate below which an entry node prefers the upstream beside it.
const LOCAL_MAX_FAILURE_RATE: f32 = 0.1;

/// Two costs count as equal if the ratio of the lower to the higher one is above this value.
/// Without this margin, an estimate that decays towards the mean would never reach it, and an idle
/// entry node would never try a recovered upstream again.
const EQUAL_COST_RATIO: f32 = 0.9;

/// Latency estimate for a tier without samples.
const DEFAULT_LATENCY_US: f32 = 1_000.0;
/// Mean latency assumed for the silence detection of a tier without samples. Above the usual
/// latency of first answers, so that waiting for them does not count as silence.
const DEFAULT_SILENCE_LATENCY_US: f32 = 100_000.0;
/// Weight of a new latency sample in the mean of a tier.
const TIER_LATENCY_GAIN: f32 = 0.05;

/// Result of [`UpstreamBalancer::choose`].
#[derive(Clone, Debug)]
pub enum UpstreamChoice {
    /// The attempt should be sent to this upstream.
    Chosen(ChosenUpstream),
    /// No upstream can take the attempt.
    None(NoChoiceReason),
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoiceReason {
    /// The service has no serving upstream.
    NoUpstream,
    /// Every upstream of the subset is draining or was replaced.
    AllDraining,
    /// The caller excluded every upstream that could take the attempt.
    AllExcluded,
    /// Every upstream that could take the attempt has just refused a call as overloaded.
    AllFull,
}

/// Circumstances of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceMode {
    /// At least one tier was healthy and had capacity.
    Normal,
    /// Every healthy upstream is saturated; the nearest ones were used.
    Saturated,
    /// More than half of the upstreams of every tier are ejected, so ejection was ignored. If most
    /// upstreams appear to fail, the observation is probably wrong, and the remaining upstreams
    /// could not carry the load.
    Panic,
}

/// An upstream that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenUpstream {
    /// Identifies the upstream in later calls, for example to exclude it.
    pub token: UpstreamToken,
    /// The upstream, with the incarnation that the attempt must state.
    pub entry: Arc<UpstreamEntry>,
    /// Distance from the entry node.
    pub tier: LocalityTier,
    /// Circumstances of the choice.
    pub mode: ChoiceMode,
    /// Age of the upstream's load report; `None` if it has sent none.
    pub load_age: Option<std::time::Duration>,
    /// Rank of the call.
    pub rank: u32,
}

/// An attempt in flight. Each ticket must be passed to [`UpstreamBalancer::finish_attempt`] exactly
/// once.
#[derive(Debug)]
#[must_use = "an attempt that is never finished counts as in flight forever"]
pub struct AttemptTicket {
    token: UpstreamToken,
    rank: u32,
    started_at: Timestamp,
}

/// Counters of attempts: by distance, in panic mode, and while every healthy upstream was
/// saturated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalityCounters {
    /// Attempts started, indexed by [`LocalityTier`]. The last element counts attempts to other
    /// regions, whose traffic is billed by volume.
    pub started: [u64; 3],
    /// Attempts started in panic mode.
    pub panic: u64,
    /// Attempts started while every healthy upstream was saturated.
    pub saturated: u64,
}

impl LocalityCounters {
    /// Returns the number of attempts to other regions, whose traffic is billed by volume.
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
    group: VersionGroup,
    service: Arc<ServiceEntry>,
    /// At most [`SUBSET_SIZE`] upstreams, nearest tier first.
    upstreams: Vec<TrackedUpstream>,
    /// Mean latency by tier; `None` before the first sample.
    tier_latency_us: [Option<f32>; 3],
    /// Silence tracker by tier. The loss of a zone is detected after three attempts to any of its
    /// upstreams.
    tier_silence: [SilenceTracker; 3],
    counters: LocalityCounters,
    next_token: u64,
}

/// Indexes of the upstreams that are candidates for a random choice.
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
    /// Creates a balancer for the upstreams of `service`, none of which counts as cold.
    pub fn new(location: EntryLocation, service: &Arc<ServiceEntry>, now: Timestamp) -> Self {
        UpstreamBalancer::for_group(location, VersionGroup::Primary, service, now)
    }

    /// Creates a balancer for the upstreams of one group of versions.
    pub(super) fn for_group(
        location: EntryLocation,
        group: VersionGroup,
        service: &Arc<ServiceEntry>,
        now: Timestamp,
    ) -> Self {
        let mut balancer = UpstreamBalancer {
            location,
            group,
            service: service.clone(),
            upstreams: Vec::new(),
            tier_latency_us: [None; 3],
            tier_silence: Default::default(),
            counters: LocalityCounters::default(),
            next_token: group.first_token(),
        };
        balancer.rebuild(service, now);
        balancer
    }

    /// Switches to the members of a newer snapshot; does nothing if the service is unchanged.
    ///
    /// Statistics are kept for upstreams that remain in the subset with the same incarnation. Other
    /// upstreams start without statistics, and as cold if the service did not contain this
    /// incarnation before. Attempts in flight to upstreams that left the subset still finish, but
    /// their outcome is ignored.
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
        let candidates = self.group.candidates(&service, &self.location.region);
        for member in pick_subset(&self.location, candidates.iter()) {
            let previous_index = old.iter().position(|tracked| {
                tracked.entry.name == member.entry.name
                    && tracked.entry.incarnation == member.entry.incarnation
            });
            self.upstreams.push(match previous_index {
                Some(index) => old.swap_remove(index).with_member(member),
                None => {
                    self.next_token += 1;
                    let token = UpstreamToken(self.next_token);
                    let cold = !has_incarnation(previous, &member.entry);
                    TrackedUpstream::new(token, member.entry, member.tier, cold.then_some(now))
                }
            });
        }
    }

    /// Chooses an upstream for one attempt of a call of this rank. `excluded` contains those that
    /// the call already tried. Upstreams that are known to be full are left out: a call sent to them
    /// would come back, and if all of them are, its caller can be told at once.
    ///
    /// The tiers are visited from the nearest outwards. If a tier is silent, has more than half of
    /// its upstreams ejected, or has no capacity left, its usable upstreams become candidates and
    /// the next tier adds its own. Two of the candidates are drawn by weight, and the one with the
    /// lower cost is chosen.
    pub fn choose(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        excluded: &[UpstreamToken],
        rank: u32,
    ) -> UpstreamChoice {
        if let Some(local) = self.local_upstream(now, excluded, rank) {
            return chosen_upstream(local, now, ChoiceMode::Normal, rank);
        }
        let mut usable = CandidateSet::default();
        let mut tier_start = 0;
        let mut failing_tiers = 0;
        let mut serving_tiers = 0;
        while let Some(first) = self.upstreams.get(tier_start) {
            let tier = first.tier;
            let mean_us = self.silence_latency_us(tier);
            let silent = self.tier_silence[tier as usize].is_silent(now, mean_us);
            let (mut serving, mut ejected, mut added) = (0, 0, 0);
            let mut index = tier_start;
            while let Some(tracked) = self
                .upstreams
                .get(index)
                .filter(|tracked| tracked.tier == tier)
            {
                if !tracked.is_retired {
                    serving += 1;
                    if silent || tracked.is_ejected(now, mean_us) {
                        ejected += 1;
                    } else if tracked.load_per_slot(now) < SPILL_LOAD_PER_SLOT[tier as usize]
                        && !excluded.contains(&tracked.token)
                        && !tracked.is_full(now, rank)
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
                return self.draw_candidate(now, rng, &usable, ChoiceMode::Normal, rank);
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
            return self.choose_nearest(now, rng, excluded, ChoiceMode::Panic, rank);
        }
        if usable.len > 0 {
            return self.draw_candidate(now, rng, &usable, ChoiceMode::Normal, rank);
        }
        self.choose_nearest(now, rng, excluded, ChoiceMode::Saturated, rank)
    }

    /// Returns the upstream beside the entry node, as long as it has free slots. A call to it
    /// crosses no link.
    fn local_upstream(
        &self,
        now: Timestamp,
        excluded: &[UpstreamToken],
        rank: u32,
    ) -> Option<&TrackedUpstream> {
        let local = self
            .upstreams
            .iter()
            .find(|tracked| tracked.entry.name == self.location.name)?;
        let is_usable = !local.is_retired
            && !excluded.contains(&local.token)
            && !local.is_full(now, rank)
            && !local.is_ejected(now, self.silence_latency_us(local.tier))
            && local.weight(now) >= 1.0
            && local.current_failure_rate(now) < LOCAL_MAX_FAILURE_RATE
            && local.load_per_slot(now) < LOCAL_MAX_LOAD_PER_SLOT;
        is_usable.then_some(local)
    }

    /// Chooses from the entry node's region if it has any candidate, otherwise from the other
    /// regions. Ignores saturation and, in panic mode, also ejection.
    fn choose_nearest(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        excluded: &[UpstreamToken],
        mode: ChoiceMode,
        rank: u32,
    ) -> UpstreamChoice {
        let mut is_any_full = false;
        let mut set = CandidateSet::default();
        for (index, tracked) in self.upstreams.iter().enumerate() {
            if tracked.tier == LocalityTier::CrossRegion && (set.len > 0 || is_any_full) {
                break;
            }
            let allowed = mode == ChoiceMode::Panic
                || !tracked.is_ejected(now, self.silence_latency_us(tracked.tier));
            if !allowed || tracked.is_retired || excluded.contains(&tracked.token) {
                continue;
            }
            match tracked.is_full(now, rank) {
                true => is_any_full = true,
                false => set.push(index),
            }
        }
        if set.len == 0 && is_any_full {
            return UpstreamChoice::None(NoChoiceReason::AllFull);
        }
        self.draw_candidate(now, rng, &set, mode, rank)
    }

    fn draw_candidate(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        set: &CandidateSet,
        mode: ChoiceMode,
        rank: u32,
    ) -> UpstreamChoice {
        let mut weights = [0.0f32; SUBSET_SIZE];
        let mut total = 0.0;
        for (weight, index) in weights.iter_mut().zip(&set.indexes[..set.len]) {
            *weight = self.upstreams[usize::from(*index)].weight(now);
            total += *weight;
        }
        let Some(first) = draw_index(rng, &weights[..set.len], total) else {
            return UpstreamChoice::None(NoChoiceReason::AllExcluded);
        };
        let total = total - weights[first];
        weights[first] = 0.0;
        let second = draw_index(rng, &weights[..set.len], total);
        let tracked = |drawn: usize| &self.upstreams[usize::from(set.indexes[drawn])];
        let mut chosen = tracked(first);
        if let Some(other) = second.map(tracked)
            && self.cost(other, now) < self.cost(chosen, now) * EQUAL_COST_RATIO
        {
            chosen = other;
        }
        chosen_upstream(chosen, now, mode, rank)
    }

    fn cost(&self, tracked: &TrackedUpstream, now: Timestamp) -> f32 {
        tracked.cost(now, self.mean_latency_us(tracked.tier))
    }

    pub(super) fn set_silent_nodes(&mut self, names: &[SharedName]) {
        for tracked in &mut self.upstreams {
            tracked.is_node_silent = names.contains(&tracked.entry.name);
        }
    }

    fn mean_latency_us(&self, tier: LocalityTier) -> f32 {
        self.tier_latency_us[tier as usize].unwrap_or(DEFAULT_LATENCY_US)
    }

    fn silence_latency_us(&self, tier: LocalityTier) -> f32 {
        self.tier_latency_us[tier as usize].unwrap_or(DEFAULT_SILENCE_LATENCY_US)
    }

    /// Counts an attempt as in flight and adds it to the counters.
    pub fn start_attempt(&mut self, now: Timestamp, chosen: &ChosenUpstream) -> AttemptTicket {
        if let Some(tracked) = self.find_by_token(chosen.token) {
            tracked.observe_start(now);
        }
        self.tier_silence[chosen.tier as usize].observe_start(now);
        self.counters.started[chosen.tier as usize] += 1;
        self.counters.panic += u64::from(chosen.mode == ChoiceMode::Panic);
        self.counters.saturated += u64::from(chosen.mode == ChoiceMode::Saturated);
        AttemptTicket {
            token: chosen.token,
            rank: chosen.rank,
            started_at: now,
        }
    }

    /// Records the outcome of an attempt and the load report that the answer contained, if any.
    pub fn finish_attempt(
        &mut self,
        now: Timestamp,
        ticket: AttemptTicket,
        outcome: UpstreamOutcome,
        load: Option<LoadReport>,
    ) {
        let latency = now.since(ticket.started_at);
        let matches_ticket = |tracked: &TrackedUpstream| tracked.token == ticket.token;
        let Some(index) = self.upstreams.iter().position(matches_ticket) else {
            return;
        };
        let tier = self.upstreams[index].tier;
        let mean_us = self.silence_latency_us(tier);
        let tracked = &mut self.upstreams[index];
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        if let Some(report) = load {
            tracked.observe_report(now, report);
        }
        tracked.observe_outcome(now, outcome, ticket.rank, latency, mean_us);
        self.tier_silence[tier as usize].observe_outcome(outcome, latency, mean_us);
        if outcome == UpstreamOutcome::Answered {
            self.observe_tier_latency(tier, latency);
        }
    }

    /// Records what the health or load endpoint of an upstream reports.
    pub fn apply_hint(&mut self, now: Timestamp, upstream: &str, hint: HealthHint) {
        let found = self
            .upstreams
            .iter_mut()
            .find(|tracked| &*tracked.entry.name == upstream);
        if let Some(tracked) = found {
            tracked.observe_hint(now, hint);
        }
    }

    /// Returns the counters since the balancer was created.
    pub fn counters(&self) -> LocalityCounters {
        self.counters
    }

    /// Returns the upstreams that the balancer keeps statistics for, nearest tier first.
    pub fn subset(&self) -> impl Iterator<Item = (LocalityTier, &Arc<UpstreamEntry>)> {
        self.upstreams
            .iter()
            .map(|tracked| (tracked.tier, &tracked.entry))
    }

    fn observe_tier_latency(&mut self, tier: LocalityTier, latency: Duration) {
        let sample_us = latency.as_micros() as f32;
        let mean = self.tier_latency_us[tier as usize].get_or_insert(sample_us);
        *mean += (sample_us - *mean) * TIER_LATENCY_GAIN;
    }

    fn find_by_token(&mut self, token: UpstreamToken) -> Option<&mut TrackedUpstream> {
        self.upstreams
            .iter_mut()
            .find(|tracked| tracked.token == token)
    }
}

fn chosen_upstream(
    tracked: &TrackedUpstream,
    now: Timestamp,
    mode: ChoiceMode,
    rank: u32,
) -> UpstreamChoice {
    UpstreamChoice::Chosen(ChosenUpstream {
        token: tracked.token,
        entry: tracked.entry.clone(),
        tier: tracked.tier,
        mode,
        load_age: tracked.load_age(now),
        rank,
    })
}

/// Whether `service` contained the upstream in this incarnation. Members are sorted by name.
fn has_incarnation(service: &ServiceEntry, upstream: &UpstreamEntry) -> bool {
    service
        .members
        .binary_search_by(|member| member.name.cmp(&upstream.name))
        .is_ok_and(|index| service.members[index].incarnation == upstream.incarnation)
}

/// Draws a random index with a probability proportional to its weight.
fn draw_index(rng: &mut SmallRng, weights: &[f32], total: f32) -> Option<usize> {
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
