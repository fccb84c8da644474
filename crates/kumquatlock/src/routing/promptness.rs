//! Choice of an upstream by the time at which it is expected to answer.
//!
//! A call whose route has a target goes to the nearest upstreams that are expected to answer well
//! within it: as long as callers have their answers in time, traffic between zones and regions is
//! not worth the wait that it saves. If none is, the call goes where it is answered soonest, with a
//! small lead for near upstreams.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::balancer::{ChoiceMode, ChosenUpstream, NoChoice, UpstreamBalancer, UpstreamChoice};
use super::live::{LiveUpstream, UpstreamToken};
use super::subset::RingDistance;
use crate::core::Timestamp;

/// Part of the time to the target within which an answer has to be expected for a ring to be used
/// before the next one. Calls take up to several times their mean, so the rest is needed.
const PATIENCE: f32 = 0.6;
/// Lead of nearer rings when no ring is expected to answer within that, in microseconds. Expectations
/// are as old as the last answers, and differences below this do not outlast the way of a call.
const RING_LEAD_US: [f32; 3] = [0.0, 80_000.0, 200_000.0];
/// Time to another region and back, in microseconds. Regions are about 30 ms apart.
const REGION_ROUND_TRIP_US: f32 = 60_000.0;
/// Risk at a share of failures of one. An upstream that fails one call in five loses the lead of its
/// zone.
const FAILURE_RISK: f32 = 6.0;
/// Lowest weight of a cold upstream that counts; lower ones would keep it from getting any call.
const LEAST_WEIGHT: f32 = 0.3;

/// How soon a call has to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallUrgency {
    /// Time until the answer is late; zero if it is.
    pub target_left: Duration,
    /// Time until nobody waits for the answer.
    pub deadline_left: Duration,
}

impl UpstreamBalancer {
    /// Chooses the upstream that is expected to answer a call first, with a lead for near ones.
    /// `excluded` holds those that the call already tried.
    pub fn choose_prompt(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        excluded: &[UpstreamToken],
        urgency: CallUrgency,
    ) -> UpstreamChoice {
        let upstreams = self.upstreams();
        if upstreams.is_empty() {
            return UpstreamChoice::None(NoChoice::NoUpstream);
        }
        let serving = |live: &&LiveUpstream| !live.retired;
        if !upstreams.iter().any(|live| serving(&live)) {
            return UpstreamChoice::None(NoChoice::AllDraining);
        }
        let is_open = |live: &&LiveUpstream| !live.retired && !excluded.contains(&live.token);
        let is_healthy = |live: &&LiveUpstream| is_open(live) && !self.is_avoided(now, live);
        let healthy = self.soonest(now, rng, urgency, is_healthy);
        let (chosen, mode) = match healthy {
            Some(chosen) => (Some(chosen), ChoiceMode::Normal),
            // If all look bad, the observation is more likely wrong than the upstreams.
            None => (self.soonest(now, rng, urgency, is_open), ChoiceMode::Panic),
        };
        let Some((chosen, expected_us)) = chosen else {
            return UpstreamChoice::None(NoChoice::AllExcluded);
        };
        let is_hopeless = expected_us > urgency.deadline_left.as_micros() as f32;
        if is_hopeless && chosen.has_report(now) {
            return UpstreamChoice::None(NoChoice::AllOverloaded);
        }
        UpstreamChoice::Chosen(ChosenUpstream {
            token: chosen.token,
            entry: chosen.entry.clone(),
            ring: chosen.ring,
            mode,
        })
    }

    /// The candidate of the nearest prompt ring, or of all, with the earliest expected answer, and the
    /// time until then. In each ring two
    /// are drawn and the sooner one stands for the ring, so that entries with the same reports do
    /// not all choose the same upstream.
    fn soonest(
        &self,
        now: Timestamp,
        rng: &mut SmallRng,
        urgency: CallUrgency,
        is_candidate: impl Fn(&&LiveUpstream) -> bool,
    ) -> Option<(&LiveUpstream, f32)> {
        let patience_us = urgency.target_left.as_micros() as f32 * PATIENCE;
        let mut is_prompt = false;
        let mut best: Option<(&LiveUpstream, f32, f32)> = None;
        for ring in RingDistance::ALL {
            let in_ring = |live: &&LiveUpstream| live.ring == ring && is_candidate(live);
            let count = self.upstreams().iter().filter(in_ring).count();
            if count == 0 {
                continue;
            }
            let first = rng.random_range(0..count);
            let second = (first + rng.random_range(1..count.max(2))) % count;
            for drawn in [first, second] {
                let Some(live) = self.upstreams().iter().filter(in_ring).nth(drawn) else {
                    continue;
                };
                let service_us = live.expected_service_us(self.ring_mean(ring));
                let way_us = match ring {
                    RingDistance::CrossRegion => REGION_ROUND_TRIP_US,
                    _ => 0.0,
                };
                let expected_us = live.predicted_wait_us(now, service_us) + service_us + way_us;
                let risk_us = service_us * self.risk(now, live);
                let score = expected_us + risk_us + RING_LEAD_US[ring as usize];
                if best.is_none_or(|(_, _, least)| score < least) {
                    best = Some((live, expected_us, score));
                }
                is_prompt |= expected_us + risk_us <= patience_us;
            }
            if is_prompt {
                break;
            }
        }
        best.map(|(live, expected_us, _)| (live, expected_us))
    }

    /// What a call on the upstream risks, in parts of its usual time: failures and a cold start.
    fn risk(&self, now: Timestamp, live: &LiveUpstream) -> f32 {
        let cold = 1.0 / live.weight(now).max(LEAST_WEIGHT) - 1.0;
        cold + FAILURE_RISK * live.failing_share(now)
    }
}
