//! Decision whether a call may start, by its route.

use indexmap::IndexMap;

use super::StartShare;
use crate::core::{SharedName, Timestamp};

/// Maximum number of routes that are tracked. Further ones start all their calls.
const MAX_ROUTES: usize = 256;

/// How a run ended, as far as the calls that it made are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFate {
    /// It lost no call for lack of room.
    Complete,
    /// A call that it made found no room.
    LostCall,
}

/// Whether a call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// It may.
    Start,
    /// Its run would most likely lose a call.
    Refuse,
}

/// The start shares of the routes whose runs lose calls.
#[derive(Clone, Debug, Default)]
pub struct DependencyThrottle {
    /// At most [`MAX_ROUTES`].
    routes: IndexMap<SharedName, StartShare>,
    refused: u64,
}

impl DependencyThrottle {
    /// Decides on a caller's call that has arrived. A nested call is not asked for: the work of the
    /// runs above it is done, and the node beside the outermost of them holds others back.
    pub fn admit(&mut self, now: Timestamp, route: &str) -> StartDecision {
        let Some(share) = self.routes.get_mut(route) else {
            return StartDecision::Start;
        };
        if share.is_whole(now) || share.try_take(now) {
            return StartDecision::Start;
        }
        self.refused += 1;
        StartDecision::Refuse
    }

    /// Records the end of a run.
    pub fn record(&mut self, now: Timestamp, route: &str, fate: RunFate) {
        if let Some(share) = self.routes.get_mut(route) {
            share.record(now, fate);
            return;
        }
        if fate == RunFate::Complete {
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.drop_whole(now);
        }
        if self.routes.len() < MAX_ROUTES {
            let share = self.routes.entry(route.into());
            let share = share.or_insert_with(|| StartShare::new(now));
            share.record(now, fate);
        }
    }

    /// Forgets the routes all of whose calls start.
    fn drop_whole(&mut self, now: Timestamp) {
        self.routes.retain(|_, share| !share.is_whole(now));
    }

    /// Returns the share of the route's calls that start.
    pub fn share(&self, now: Timestamp, route: &str) -> f32 {
        let share = self.routes.get(route);
        share.map_or(1.0, |share| share.current(now))
    }

    /// Returns the number of routes of which not all calls start.
    pub fn throttled_routes(&self, now: Timestamp) -> usize {
        let shares = self.routes.values();
        shares.filter(|share| !share.is_whole(now)).count()
    }

    /// Returns the number of calls refused since the start of the process.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
