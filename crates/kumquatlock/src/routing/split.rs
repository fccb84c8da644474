//! Routes that are split between services.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::core::{RouteEntry, SharedName};

/// Chooses the service of each call of a split route.
///
/// The parts take turns so that their shares are kept over few calls already: each part gains its
/// weight per call, the one that has gained most is chosen and pays for all. A drawn start keeps
/// nodes of little traffic from all choosing the same part first.
#[derive(Debug, Default)]
pub struct SplitChooser {
    /// Per split route that was called.
    routes: IndexMap<SharedName, SplitState>,
}

#[derive(Debug)]
struct SplitState {
    route: Arc<RouteEntry>,
    /// What each part has gained and not paid, in units of weight.
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
        let open = parts.filter(|(_, part)| part.weight > 0 || total == 0.0);
        let most = open
            .max_by(|(left, _), (right, _)| self.credits[*left].total_cmp(&self.credits[*right]));
        let chosen = most.map_or(0, |(index, _)| index);
        self.credits[chosen] -= total;
        chosen
    }
}

impl SplitChooser {
    /// The service that runs the next call of `route`.
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
