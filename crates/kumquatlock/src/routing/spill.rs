//! Decision whether a call leaves its availability zone or region, and how many calls do.
//!
//! A call leaves if the time that it saves is worth more than the way, the time that it costs the
//! calls over there, and the traffic. [`ExpectedTime`] holds the times, [`CallDemand`] what the call
//! needs, and [`SpillController`] limits the share of the calls that leave by what became of
//! earlier ones.

use std::time::Duration;

use super::subset::LocalityTier;
use crate::core::Timestamp;

/// A waiting call delays the calls that arrive behind it by about as long as it waits itself, so
/// its wait counts twice: once for its caller, once for the others.
const WAIT_WEIGHT: f32 = 2.0;
/// Part of a call's traffic that is not its request body: headers and framing, both ways.
const OVERHEAD_BYTES: u32 = 1_024;
/// Factor of the traffic's cost if only the distant upstream can answer within the target.
const MEETS_TARGET_FACTOR: f32 = 0.5;
/// Factor of the traffic's cost if no upstream can answer within the target.
const MISSES_TARGET_FACTOR: f32 = 2.0;

/// A call leaves only if it saves more than this part of its time. The loads that are compared are
/// old and change meanwhile, so smaller differences are noise, and most where everything is full.
const MIN_SAVED_PART: f32 = 0.1;

/// The share is multiplied by this value for each call that would have waited less at home. Halving
/// it would react to single late reports.
const SHARE_DECREASE: f32 = 0.8;
/// Smallest share; above zero, so that calls find out that it pays again.
const MIN_SHARE: f32 = 0.05;
/// Time in which half of the difference between the share and one is regained.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Interval of the calls that leave to learn about a tier whose load is not known.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Change of the share that is reported.
const NOTABLE_SHARE_CHANGE: f32 = 0.25;

/// Cost of traffic between zones and regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpillSettings {
    /// Time that a call must save to be worth 1 KiB of traffic between zones of a region.
    pub zone_cost_per_kib: Duration,
    /// Time that a call must save to be worth 1 KiB of traffic between regions.
    pub region_cost_per_kib: Duration,
}

impl Default for SpillSettings {
    /// Between zones: a difference that callers hardly notice. Between regions twice as much, because
    /// that traffic is billed at a higher rate.
    fn default() -> Self {
        SpillSettings {
            zone_cost_per_kib: Duration::from_millis(20),
            region_cost_per_kib: Duration::from_millis(40),
        }
    }
}

impl SpillSettings {
    /// Returns the cost of sending a call to a tier, as time.
    fn cost_us(&self, tier: LocalityTier, request_bytes: u32) -> f32 {
        let per_kib = match tier {
            LocalityTier::Zone => return 0.0,
            LocalityTier::Region => self.zone_cost_per_kib,
            LocalityTier::CrossRegion => self.region_cost_per_kib,
        };
        let bytes = request_bytes.saturating_add(OVERHEAD_BYTES);
        per_kib.as_micros() as f32 * bytes as f32 / 1_024.0
    }
}

/// What a call needs of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallDemand {
    /// Rank of the call; lower ranks are served first.
    pub rank: u32,
    /// Size of the request's body.
    pub request_bytes: u32,
    /// What is left of the target latency; `None` if the route has none.
    pub target_left: Option<Duration>,
}

impl From<u32> for CallDemand {
    fn from(rank: u32) -> Self {
        CallDemand {
            rank,
            ..CallDemand::default()
        }
    }
}

/// Times that a call is expected to take at an upstream, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ExpectedTime {
    /// On the way there and back.
    pub(super) way_us: f32,
    /// In the queue.
    pub(super) wait_us: f32,
    /// At the upstream.
    pub(super) service_us: f32,
}

impl ExpectedTime {
    /// Returns the time until the answer.
    fn answer_us(&self) -> f32 {
        self.way_us + self.wait_us + self.service_us
    }

    /// Returns the time until the answer and the time that the call costs others.
    fn total_us(&self) -> f32 {
        self.answer_us() + (WAIT_WEIGHT - 1.0) * self.wait_us
    }
}

/// Expected number of calls at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LoadEstimate {
    /// Running and waiting calls.
    pub(super) calls: f32,
    /// Calls that run at the same time; at least one.
    pub(super) slots: f32,
    /// How well the number is known, from 0 (not at all) to 1 (reported just now).
    pub(super) certainty: f32,
}

impl LoadEstimate {
    /// Whether one more call is expected to start at once.
    pub(super) fn has_room(&self) -> bool {
        self.calls < self.slots
    }

    /// Returns the expected wait of one more call. The less is known of the number of calls, the
    /// more it may exceed the slots, so an uncertain number gives a wait although its mean has room.
    pub(super) fn wait_us(&self, service_us: f32) -> f32 {
        let excess = self.calls + 1.0 - self.slots;
        let deviation = self.slots.sqrt() * (1.0 - self.certainty);
        let expected = (excess + excess.hypot(deviation)) / 2.0;
        expected / self.slots * service_us
    }

    /// Returns the wait of one more call behind the expected number of calls, as if that were certain.
    pub(super) fn certain_wait_us(&self, service_us: f32) -> f32 {
        let excess = self.calls + 1.0 - self.slots;
        excess.max(0.0) / self.slots * service_us
    }
}

/// Why a call left its zone or region.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SpillReason {
    /// It is expected to be answered sooner, by more than the cost.
    ShorterWait,
    /// No upstream nearer can take it: all are full, failing, or were tried.
    NoneNearer,
    /// The load over there is not known, and waiting here costs more than the way.
    Probe,
}

/// Decision on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SpillDecision {
    /// The call stays nearer.
    Stay,
    /// The call leaves for the tier.
    Leave(SpillReason),
}

/// A change of the share of calls that may leave, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    /// Tier that the calls leave for.
    pub tier: LocalityTier,
    /// Share that was reported last.
    pub from: f32,
    /// Present share.
    pub to: f32,
}

/// Limits the share of the calls that leave for one tier.
///
/// The entry nodes of a zone know about the same upstreams from reports of the same age. If each
/// sent all its calls to the tier that looks better, they would move together, and back with the
/// next reports. Therefore the probability grows with the time saved, and the share that it is
/// multiplied with falls when a call that left has waited longer than it would have here.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpillController {
    /// Between [`MIN_SHARE`] and 1.
    share: f32,
    updated_at: Timestamp,
    probed_at: Timestamp,
    reported_share: f32,
}

impl Default for SpillController {
    fn default() -> Self {
        SpillController {
            share: 1.0,
            updated_at: Timestamp::default(),
            probed_at: Timestamp::default(),
            reported_share: 1.0,
        }
    }
}

impl SpillController {
    /// Decides whether a call leaves `near` for `far`. `draw` is a random number between 0 and 1, or
    /// `None` if the farther tier has not reported its load recently.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        settings: &SpillSettings,
        demand: &CallDemand,
        near: (LocalityTier, ExpectedTime),
        far: (LocalityTier, ExpectedTime),
        draw: Option<f32>,
    ) -> SpillDecision {
        let cost_us = settings.cost_us(far.0, demand.request_bytes)
            - settings.cost_us(near.0, demand.request_bytes);
        let (near, far) = (near.1, far.1);
        let cost_us = cost_us * target_factor(demand, &near, &far);
        let threshold_us = far.way_us - near.way_us + cost_us;
        let Some(draw) = draw else {
            let pays_if_idle = WAIT_WEIGHT * near.wait_us > threshold_us;
            return match pays_if_idle && self.take_probe(now) {
                true => SpillDecision::Leave(SpillReason::Probe),
                false => SpillDecision::Stay,
            };
        };
        let saved_us = near.total_us() * (1.0 - MIN_SAVED_PART) - far.total_us() - cost_us;
        let probability = self.share_at(now) * saved_us / threshold_us.max(1.0);
        match draw < probability {
            true => SpillDecision::Leave(SpillReason::ShorterWait),
            false => SpillDecision::Stay,
        }
    }

    /// Whether a call may leave now to learn about a tier whose load is not known; if so, the next one
    /// may only after [`PROBE_INTERVAL`].
    pub(super) fn take_probe(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.probed_at) >= PROBE_INTERVAL;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }

    /// Records whether a call that left has waited less, with its way, than it would have nearer.
    pub(super) fn observe(&mut self, now: Timestamp, was_shorter: bool) {
        self.share = self.share_at(now);
        self.updated_at = now;
        if !was_shorter {
            self.share = (self.share * SHARE_DECREASE).max(MIN_SHARE);
        }
    }

    /// Returns the share of the calls that may leave.
    pub(super) fn share_at(&self, now: Timestamp) -> f32 {
        let age = now.since(self.updated_at).as_secs_f32() / SHARE_HALF_LIFE.as_secs_f32();
        1.0 - (1.0 - self.share) * (-age).exp2()
    }

    /// Returns a change of the share that was not reported yet, if it is notable.
    pub(super) fn take_change(
        &mut self,
        now: Timestamp,
        tier: LocalityTier,
    ) -> Option<ShareChange> {
        let (from, to) = (self.reported_share, self.share_at(now));
        if (to - from).abs() < NOTABLE_SHARE_CHANGE {
            return None;
        }
        self.reported_share = to;
        Some(ShareChange { tier, from, to })
    }
}

/// Returns how much the traffic's cost counts, given what is left of the call's target latency.
fn target_factor(demand: &CallDemand, near: &ExpectedTime, far: &ExpectedTime) -> f32 {
    let Some(left) = demand.target_left else {
        return 1.0;
    };
    let left_us = left.as_micros() as f32;
    match (near.answer_us() <= left_us, far.answer_us() <= left_us) {
        (true, _) => 1.0,
        (false, true) => MEETS_TARGET_FACTOR,
        (false, false) => MISSES_TARGET_FACTOR,
    }
}
