//! Choice of an upstream for one attempt.

use kumquatlock_wire::call::LoadReport;
use rand::Rng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

use super::candidate::{Candidate, CandidateSet, TierScan, draw_index};
use super::choice::{
    AttemptTicket, ChoiceMode, ChosenUpstream, LocalityCounters, NoChoiceReason, SpillBasis,
    UpstreamChoice, judge_spill,
};
use super::group::VersionGroup;
use super::spill::{
    CallDemand, ExpectedTime, LoadEstimate, ShareChange, SpillDecision, SpillReason, SpillSettings,
};
use super::subset::{EntryLocation, LocalityTier, SUBSET_SIZE, pick_subset};
use super::tier::TierStatistics;
use super::tracked::{HealthHint, TrackedUpstream, UpstreamOutcome, UpstreamToken};
use crate::core::{ServiceEntry, SharedName, Timestamp, UpstreamEntry};

/// Failure rate below which an entry node prefers the upstream beside it.
const LOCAL_MAX_FAILURE_RATE: f32 = 0.1;

/// Two costs count as equal if the ratio of the lower to the higher one is above this value.
/// Without this margin, an estimate that decays towards the mean would never reach it, and an idle
/// entry node would never try a recovered upstream again.
const EQUAL_COST_RATIO: f32 = 0.9;

/// Chooses among the upstreams of one service.
#[derive(Clone, Debug)]
pub struct UpstreamBalancer {
    location: EntryLocation,
    group: VersionGroup,
    service: Arc<ServiceEntry>,
    /// At most [`SUBSET_SIZE`] upstreams, nearest tier first.
    upstreams: Vec<TrackedUpstream>,
    /// Statistics by [`LocalityTier`].
    tiers: [TierStatistics; 3],
    spill_settings: SpillSettings,
    counters: LocalityCounters,
    next_token: u64,
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
            tiers: Default::default(),
            spill_settings: SpillSettings::default(),
            counters: LocalityCounters::default(),
            next_token: group.first_token(),
        };
        balancer.rebuild(service, now);
        balancer
    }

    /// Sets the cost of traffic between zones and regions.
    pub fn set_spill_settings(&mut self, settings: SpillSettings) {
        self.spill_settings = settings;
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

    /// Chooses an upstream for one attempt of a call. `excluded` contains those that the call already
    /// tried. Upstreams that are known to be full are left out: a call sent to them would come back,
    /// and if all of them are, its caller can be told at once.
    ///
    /// The tiers are visited from the nearest outwards. The first one that is not failing gives a
    /// candidate: two of its upstreams, those with a free slot first, are drawn by weight, and the
    /// one with the lower cost is taken. If a tier is silent or has more than half of its upstreams
    /// ejected, the next one adds its own. Each further tier gives a candidate in the same way, and
    /// the call leaves for it if that pays.
    pub fn choose(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        excluded: &[UpstreamToken],
        demand: impl Into<CallDemand>,
    ) -> UpstreamChoice {
        let demand = demand.into();
        if let Some(local) = self.local_upstream(now, excluded, demand.rank) {
            return self.chosen_upstream(local, now, None, demand.rank);
        }
        let mut usable = CandidateSet::default();
        let mut best: Option<Candidate> = None;
        let (mut tier_start, mut serving_tiers, mut failing_tiers) = (0, 0, 0);
        let mut is_any_serving = false;
        while let Some(first) = self.upstreams.get(tier_start) {
            let tier = first.tier;
            let (scan, tier_end) = self.scan_tier(now, tier_start, excluded, demand.rank);
            tier_start = tier_end;
            let is_failing = scan.is_failing();
            serving_tiers += usize::from(scan.serving > 0);
            failing_tiers += usize::from(is_failing);
            if let Some(near) = best {
                let far = self.draw_candidate(now, rng, scan.candidates());
                if let Some(far) = far.filter(|_| !is_failing) {
                    best = Some(self.compare_tiers(now, rng, &demand, near, far));
                }
            } else if self.may_enter(now, tier, is_any_serving, &scan) {
                usable.extend(scan.candidates());
                if scan.usable.len > 0 && !is_failing {
                    best = self
                        .draw_candidate(now, rng, &usable)
                        .map(|index| Candidate {
                            index,
                            spill: self.forced_spill(index),
                        });
                }
            }
            is_any_serving |= scan.serving > scan.ejected;
        }
        if let Some(best) = best {
            return self.chosen_upstream(best.index, now, best.spill, demand.rank);
        }
        if serving_tiers == 0 {
            return UpstreamChoice::None(if self.upstreams.is_empty() {
                NoChoiceReason::NoUpstream
            } else {
                NoChoiceReason::AllDraining
            });
        }
        if failing_tiers == serving_tiers {
            return self.choose_nearest(now, rng, excluded, ChoiceMode::Panic, demand.rank);
        }
        if let Some(index) = self.draw_candidate(now, rng, &usable) {
            return self.chosen_upstream(index, now, self.forced_spill(index), demand.rank);
        }
        self.choose_nearest(now, rng, excluded, ChoiceMode::Saturated, demand.rank)
    }

    /// Collects the upstreams of the tier that begins at `start`. Also returns where it ends.
    fn scan_tier(
        &self,
        now: Timestamp,
        start: usize,
        excluded: &[UpstreamToken],
        rank: u32,
    ) -> (TierScan, usize) {
        let mut scan = TierScan::default();
        let tier = self.upstreams[start].tier;
        let tier_load = self.tier_load(now, tier);
        let mean_us = self.tiers[tier as usize].silence_latency_us();
        let is_silent = self.tiers[tier as usize].is_silent(now);
        let mut index = start;
        while let Some(tracked) = self.upstreams.get(index)
            && tracked.tier == tier
        {
            if !tracked.is_retired {
                scan.serving += 1;
                if is_silent || tracked.is_ejected(now, mean_us) {
                    scan.ejected += 1;
                } else if !excluded.contains(&tracked.token) && !tracked.is_full(now, rank) {
                    scan.usable.push(index);
                    if tracked.load_estimate(now, tier_load).has_room() {
                        scan.with_room.push(index);
                    }
                }
            }
            index += 1;
        }
        (scan, index)
    }

    /// Whether a call that no nearer tier can take may enter this one. While nearer upstreams work
    /// and are only full, another region must have room, or must not have been asked for a while:
    /// each refusal there costs billed traffic.
    fn may_enter(
        &mut self,
        now: Timestamp,
        tier: LocalityTier,
        is_any_nearer_serving: bool,
        scan: &TierScan,
    ) -> bool {
        tier != LocalityTier::CrossRegion
            || !is_any_nearer_serving
            || scan.with_room.len > 0
            || self.tiers[tier as usize].spill.take_probe(now)
    }

    /// Returns which of two candidates, one farther than the other, takes the call.
    fn compare_tiers(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
        demand: &CallDemand,
        near: Candidate,
        far: usize,
    ) -> Candidate {
        let tier = self.upstreams[far].tier;
        let (near_time, far_time) = (self.certain(now, near.index), self.expected(now, far));
        let statistics = &mut self.tiers[tier as usize];
        let is_known = statistics.is_load_known(now);
        let decision = statistics.spill.decide(
            now,
            &self.spill_settings,
            demand,
            (self.upstreams[near.index].tier, near_time),
            (tier, far_time),
            is_known.then(|| rng.random()),
        );
        match decision {
            SpillDecision::Stay => near,
            SpillDecision::Leave(reason) => Candidate {
                index: far,
                spill: Some(SpillBasis {
                    reason,
                    near_us: Some(near_time.way_us + near_time.wait_us),
                }),
            },
        }
    }

    fn forced_spill(&self, index: usize) -> Option<SpillBasis> {
        let is_outside = self.upstreams[index].tier != LocalityTier::Zone;
        is_outside.then_some(SpillBasis {
            reason: SpillReason::NoneNearer,
            near_us: None,
        })
    }

    /// Returns the times that a call is expected to take at an upstream. The service time is the
    /// mean of the tier: differences within a tier are part of [`TrackedUpstream::cost`].
    fn expected(&self, now: Timestamp, index: usize) -> ExpectedTime {
        let tracked = &self.upstreams[index];
        let statistics = &self.tiers[tracked.tier as usize];
        let mean_us = statistics.service_us();
        let load = self.estimate(now, tracked);
        ExpectedTime {
            way_us: statistics.way_us(tracked.tier),
            wait_us: load.wait_us(tracked.reported_service_us().unwrap_or(mean_us)),
            service_us: mean_us,
        }
    }

    /// Returns the times that a call is known to take at an upstream. What isn't known of the load
    /// nearby is no reason to leave; what isn't known of the load elsewhere is one to stay. An entry
    /// node with little traffic has old reports from all tiers, and would leave by their differences.
    fn certain(&self, now: Timestamp, index: usize) -> ExpectedTime {
        let tracked = &self.upstreams[index];
        let time = self.expected(now, index);
        let service_us = tracked.reported_service_us().unwrap_or(time.service_us);
        ExpectedTime {
            wait_us: self.estimate(now, tracked).certain_wait_us(service_us),
            ..time
        }
    }

    fn estimate(&self, now: Timestamp, tracked: &TrackedUpstream) -> LoadEstimate {
        tracked.load_estimate(now, self.tier_load(now, tracked.tier))
    }

    /// Returns the usual number of calls for each slot in a tier.
    fn tier_load(&self, now: Timestamp, tier: LocalityTier) -> f32 {
        let home = self.upstreams.first().map_or(tier, |first| first.tier);
        let home_load = self.tiers[home as usize].reported_load();
        match tier == home {
            true => home_load,
            false => self.tiers[tier as usize].load(now, home_load),
        }
    }

    /// Returns the upstream beside the entry node, as long as it has room and a call is not expected to
    /// wait there for longer than the way to another node takes.
    fn local_upstream(
        &self,
        now: Timestamp,
        excluded: &[UpstreamToken],
        rank: u32,
    ) -> Option<usize> {
        let is_local = |tracked: &TrackedUpstream| tracked.entry.name == self.location.name;
        let index = self.upstreams.iter().position(is_local)?;
        let local = &self.upstreams[index];
        let zone = &self.tiers[LocalityTier::Zone as usize];
        let is_usable = !local.is_retired
            && !excluded.contains(&local.token)
            && !local.is_full(now, rank)
            && !local.is_ejected(now, zone.silence_latency_us())
            && local.weight(now) >= 1.0
            && local.current_failure_rate(now) < LOCAL_MAX_FAILURE_RATE
            && self.estimate(now, local).has_room()
            && self.expected(now, index).wait_us <= zone.way_us(LocalityTier::Zone);
        is_usable.then_some(index)
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
                || !tracked.is_ejected(now, self.tiers[tracked.tier as usize].silence_latency_us());
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
        match self.draw_candidate(now, rng, &set) {
            Some(index) => {
                let chosen = self.chosen_upstream(index, now, self.forced_spill(index), rank);
                with_mode(chosen, mode)
            }
            None => UpstreamChoice::None(NoChoiceReason::AllExcluded),
        }
    }

    /// Draws two of the upstreams by weight and returns the one with the lower cost.
    fn draw_candidate(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        set: &CandidateSet,
    ) -> Option<usize> {
        let mut weights = [0.0f32; SUBSET_SIZE];
        let mut total = 0.0;
        for (weight, index) in weights.iter_mut().zip(&set.indexes[..set.len]) {
            *weight = self.upstreams[usize::from(*index)].weight(now);
            total += *weight;
        }
        let first = draw_index(rng, &weights[..set.len], total)?;
        let total = total - weights[first];
        weights[first] = 0.0;
        let second = draw_index(rng, &weights[..set.len], total);
        let chosen = usize::from(set.indexes[first]);
        let Some(other) = second.map(|drawn| usize::from(set.indexes[drawn])) else {
            return Some(chosen);
        };
        let cost = |index: usize| self.cost(&self.upstreams[index], now);
        match cost(other) < cost(chosen) * EQUAL_COST_RATIO {
            true => Some(other),
            false => Some(chosen),
        }
    }

    fn cost(&self, tracked: &TrackedUpstream, now: Timestamp) -> f32 {
        tracked.cost(now, self.tiers[tracked.tier as usize].mean_latency_us())
    }

    pub(super) fn set_silent_nodes(&mut self, names: &[SharedName]) {
        for tracked in &mut self.upstreams {
            tracked.is_node_silent = names.contains(&tracked.entry.name);
        }
    }

    /// Counts an attempt as in flight and adds it to the counters.
    pub fn start_attempt(&mut self, now: Timestamp, chosen: &ChosenUpstream) -> AttemptTicket {
        if let Some(tracked) = self.find_by_token(chosen.token) {
            tracked.observe_start(now);
        }
        self.tiers[chosen.tier as usize].silence.observe_start(now);
        self.counters.started[chosen.tier as usize] += 1;
        self.counters.panic += u64::from(chosen.mode == ChoiceMode::Panic);
        self.counters.saturated += u64::from(chosen.mode == ChoiceMode::Saturated);
        if let Some(spill) = chosen.spill {
            self.counters.spilled[chosen.tier as usize][spill.reason as usize] += 1;
        }
        AttemptTicket {
            spill: chosen.spill,
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
        let mean_us = self.tiers[tier as usize].silence_latency_us();
        let tracked = &mut self.upstreams[index];
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        if let Some(report) = load {
            tracked.observe_report(now, report);
        }
        tracked.observe_outcome(now, outcome, ticket.rank, latency, mean_us);
        let is_local = tracked.entry.name == self.location.name;
        let statistics = &mut self.tiers[tier as usize];
        statistics
            .silence
            .observe_outcome(outcome, latency, mean_us);
        if outcome == UpstreamOutcome::Answered {
            statistics.observe_latency(latency);
        }
        if let Some(report) = load {
            statistics.observe_report(now, &report);
            let held = Duration::from_micros(report.held_us.into());
            if !held.is_zero() && !is_local {
                statistics.observe_way(latency.saturating_sub(held));
            }
        }
        if let Some(was_shorter) = judge_spill(ticket.spill, outcome, latency, load) {
            statistics.spill.observe(now, was_shorter);
        }
    }

    /// Returns a notable change of the share of calls that may leave for a tier since the last call.
    pub fn take_share_change(&mut self, now: Timestamp) -> Option<ShareChange> {
        [LocalityTier::Region, LocalityTier::CrossRegion]
            .into_iter()
            .find_map(|tier| self.tiers[tier as usize].spill.take_change(now, tier))
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

    fn chosen_upstream(
        &self,
        index: usize,
        now: Timestamp,
        spill: Option<SpillBasis>,
        rank: u32,
    ) -> UpstreamChoice {
        let tracked = &self.upstreams[index];
        let load = self.estimate(now, tracked);
        UpstreamChoice::Chosen(ChosenUpstream {
            token: tracked.token,
            entry: tracked.entry.clone(),
            tier: tracked.tier,
            mode: match load.has_room() {
                true => ChoiceMode::Normal,
                false => ChoiceMode::Saturated,
            },
            load_age: tracked.load_age(now),
            rank,
            spill,
        })
    }

    fn find_by_token(&mut self, token: UpstreamToken) -> Option<&mut TrackedUpstream> {
        self.upstreams
            .iter_mut()
            .find(|tracked| tracked.token == token)
    }
}

fn with_mode(choice: UpstreamChoice, mode: ChoiceMode) -> UpstreamChoice {
    match choice {
        UpstreamChoice::Chosen(chosen) => UpstreamChoice::Chosen(ChosenUpstream { mode, ..chosen }),
        none => none,
    }
}

/// Whether `service` contained the upstream in this incarnation. Members are sorted by name.
fn has_incarnation(service: &ServiceEntry, upstream: &UpstreamEntry) -> bool {
    service
        .members
        .binary_search_by(|member| member.name.cmp(&upstream.name))
        .is_ok_and(|index| service.members[index].incarnation == upstream.incarnation)
}
