//! Choice of the service on routes that are split between services.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::core::{RouteEntry, SharedName};

/// Chooses the service of each call of a split route by smooth weighted round robin, so that the
/// shares are accurate even over a few calls.
///
/// On each call every part gains its weight as credit; the part with the highest credit is chosen
/// and pays the sum of all weights. Initial credits are random, so that nodes with little traffic
/// don't all choose the same part first.
#[derive(Debug, Default)]
pub struct SplitChooser {
    /// State of each split route that was called.
    routes: IndexMap<SharedName, SplitState>,
}

#[derive(Debug)]
struct SplitState {
    route: Arc<RouteEntry>,
    /// Current credit of each part in the weighted round robin, in units of weight.
    credits: Vec<f64>,
}

impl SplitState {
    fn new(route: &Arc<RouteEntry>, random: &mut SmallRng) -> Self {
        let weights = route.split.iter().map(|part| f64::from(part.weight));
        SplitState {
            route: route.clone(),
            credits: weights
                .map(|weight| weight * random.random::<f64>())
                .collect(),
        }
    }

    fn choose(&mut self) -> usize {
        let total: f64 = self
            .route
            .split
            .iter()
            .map(|part| f64::from(part.weight))
            .sum();
        for (credit, part) in self.credits.iter_mut().zip(&self.route.split) {
            *credit += f64::from(part.weight);
        }
        let parts = self.route.split.iter().enumerate();
        let eligible = parts.filter(|(_, part)| part.weight > 0 || total == 0.0);
        let best = eligible
            .max_by(|(left, _), (right, _)| self.credits[*left].total_cmp(&self.credits[*right]));
        let chosen = best.map_or(0, |(index, _)| index);
        self.credits[chosen] -= total;
        chosen
    }
}

impl SplitChooser {
    /// Returns the service for the next call of `route`.
    pub fn choose(&mut self, route: &Arc<RouteEntry>, random: &mut SmallRng) -> SharedName {
        if route.split.is_empty() {
            return route.service.clone();
        }
        let state = self.routes.entry(route.name.clone());
        let state = state.or_insert_with(|| SplitState::new(route, random));
        if state.route.split != route.split {
            *state = SplitState::new(route, random);
        }
        route.split[state.choose()].service.clone()
    }
}
