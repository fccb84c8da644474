//! Time after which a refused caller should return.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::core::Timestamp;

/// Range of the delay while few calls are refused: a short peak has passed by then.
const SHORT_DELAY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(450));
/// Range of the delay while all calls are refused, as fractions of the time that the caller has
/// left. The upper one lets a caller return three times before its deadline.
const LONG_DELAY_FRACTION: (f32, f32) = (0.1, 0.3);
/// Time over which the influence of a call on the share of refused calls falls to a half.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Share of the calls of one service that were refused recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnPacing {
    /// Number of ended calls, each weighted by its age.
    ended: f32,
    /// Number of refused calls, weighted in the same way; at most `ended`.
    refused: f32,
    updated_at: Timestamp,
}

impl ReturnPacing {
    /// Records the end of a call.
    pub fn record(&mut self, now: Timestamp, is_refused: bool) {
        let age = now.since(self.updated_at).as_secs_f32();
        let decay = (-age / HALF_LIFE.as_secs_f32()).exp2();
        self.ended = self.ended * decay + 1.0;
        self.refused = self.refused * decay + f32::from(u8::from(is_refused));
        self.updated_at = now;
    }

    /// Returns the delay for a caller that was refused and has `left` until its deadline.
    ///
    /// The more calls are refused, the longer the overload is likely to last. A caller has few
    /// chances, and those of a short delay would all fall into the overload. The delay is jittered,
    /// so that callers that were refused together don't return together.
    pub fn delay(&self, random: &mut SmallRng, left: Duration) -> Duration {
        let share = self.refused / self.ended.max(1.0);
        let between = |short: Duration, fraction: f32| {
            let long = left.mul_f32(fraction).max(short);
            short + (long - short).mul_f32(share)
        };
        let min = between(SHORT_DELAY.0, LONG_DELAY_FRACTION.0);
        let max = between(SHORT_DELAY.1, LONG_DELAY_FRACTION.1);
        random.random_range(min..=max)
    }
}
