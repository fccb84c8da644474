//! Share of the calls of one route that may start.

use std::time::Duration;

use super::RunFate;
use crate::core::Timestamp;

/// Share of wasted runs that is accepted. Probing needs some, and so do peaks that are shorter than
/// the time in which the share adapts.
const ACCEPTED_LOSS: f32 = 0.1;
/// Smallest share. The runs that it lets start show whether the callees have room again.
const MIN_SHARE: f32 = 0.1;
/// Increase of the share per second: from the smallest one to the whole in two to three seconds,
/// which callers with a second chance can outlast.
const RECOVERY_PER_SECOND: f32 = 0.4;
/// Time over which the influence of a run falls to a half: a few times as long as a run, so that the
/// effect of a decrease shows before the next ones have added up.
const HALF_LIFE: Duration = Duration::from_millis(200);
/// Minimum time between two decreases: the runs that ended in it had started before the first one.
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of runs, weighted by their age, below which the share of wasted runs says nothing.
const MIN_RUNS: f32 = 3.0;

/// Share of the calls of one route that may start. Falls by a factor while runs are wasted and rises
/// at a constant rate, like the window of a congestion control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartShare {
    /// Between [`MIN_SHARE`] and 1.
    share: f32,
    /// Starts that were earned and not used yet; below 2.
    credit: f32,
    /// Ended runs, each weighted by its age.
    ended: f32,
    /// Wasted runs, weighted in the same way; at most `ended`.
    wasted: f32,
    observed_at: Timestamp,
    /// When `share` was last brought up to date.
    raised_at: Timestamp,
    decreased_at: Timestamp,
}

impl StartShare {
    /// Creates the share of a route of which nothing is known: all its calls start.
    pub fn new(now: Timestamp) -> Self {
        StartShare {
            share: 1.0,
            credit: 0.0,
            ended: 0.0,
            wasted: 0.0,
            observed_at: now,
            raised_at: now,
            decreased_at: Timestamp::default(),
        }
    }

    /// Returns the share at this time.
    pub fn current(&self, now: Timestamp) -> f32 {
        let rise = now.since(self.raised_at).as_secs_f32() * RECOVERY_PER_SECOND;
        (self.share + rise).min(1.0)
    }

    /// Whether all calls start.
    pub fn is_whole(&self, now: Timestamp) -> bool {
        self.current(now) >= 1.0
    }

    /// Takes the start of one call. Returns whether it may start. The starts of a share are spread
    /// evenly over the calls.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.credit += self.current(now);
        let is_taken = self.credit >= 1.0;
        if is_taken {
            self.credit -= 1.0;
        }
        is_taken
    }

    /// Records the end of a run.
    pub fn record(&mut self, now: Timestamp, fate: RunFate) {
        let age = now.since(self.observed_at).as_secs_f32();
        let decay = (-age / HALF_LIFE.as_secs_f32()).exp2();
        self.observed_at = now;
        self.ended = self.ended * decay + 1.0;
        self.wasted = self.wasted * decay + f32::from(u8::from(fate == RunFate::LostCall));
        let loss = self.wasted / self.ended;
        let is_recent = now.since(self.decreased_at) < DECREASE_INTERVAL;
        if self.ended < MIN_RUNS || loss <= ACCEPTED_LOSS || is_recent {
            return;
        }
        let share = self.current(now) * (1.0 - loss / 2.0);
        self.share = share.max(MIN_SHARE);
        self.raised_at = now;
        self.decreased_at = now;
    }
}
