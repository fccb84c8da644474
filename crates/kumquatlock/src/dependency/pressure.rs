//! Refusals of callers' requests by rank, as the node beside the callee sees them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::core::Timestamp;

/// Time over which the influence of a request falls to a half.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Share of refused requests of a rank above which the rank counts as refused.
const MIN_REFUSED_SHARE: f32 = 0.1;
/// Number of requests, weighted by their age, below which the share says nothing.
const MIN_REQUESTS: f32 = 3.0;
/// Maximum number of ranks that are tracked; platforms use a few. Further ones are not reported.
const MAX_RANKS: usize = 16;

/// Recent requests of callers by rank, and how many of them were refused for lack of room.
#[derive(Clone, Debug, Default)]
pub struct RankPressure {
    ranks: IndexMap<u32, RankCount>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankCount {
    /// Requests, each weighted by its age.
    requests: f32,
    /// Refused requests, weighted in the same way; at most `requests`.
    refused: f32,
    updated_at: Timestamp,
}

impl RankCount {
    fn advance(&mut self, now: Timestamp) {
        let age = now.since(self.updated_at).as_secs_f32();
        let decay = (-age / HALF_LIFE.as_secs_f32()).exp2();
        self.requests *= decay;
        self.refused *= decay;
        self.updated_at = now;
    }

    fn is_refused(mut self, now: Timestamp) -> bool {
        self.advance(now);
        self.requests >= MIN_REQUESTS && self.refused >= self.requests * MIN_REFUSED_SHARE
    }
}

impl RankPressure {
    /// Records a caller's request that was started, or refused for lack of room.
    pub fn record(&mut self, now: Timestamp, rank: u32, is_refused: bool) {
        if !self.ranks.contains_key(&rank) && self.ranks.len() >= MAX_RANKS {
            return;
        }
        let count = self.ranks.entry(rank).or_default();
        count.advance(now);
        count.requests += 1.0;
        count.refused += f32::from(u8::from(is_refused));
    }

    /// Returns the most urgent rank that is refused, if any.
    pub fn refused_rank(&self, now: Timestamp) -> Option<u32> {
        let refused = self.ranks.iter().filter(|(_, count)| count.is_refused(now));
        refused.map(|(rank, _)| *rank).min()
    }
}
