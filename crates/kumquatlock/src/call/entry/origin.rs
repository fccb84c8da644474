//! Who makes a call: a client, or an upstream while it runs another call.

use indexmap::IndexMap;

use super::EntryCalls;
use super::state::EntryCall;
use crate::call::LocalRuns;
use crate::core::{ConfigSnapshot, SharedName, stable_hash};

/// Calls that must enter while nothing runs beside their node before their route counts as used by
/// clients. More than one, because an upstream whose node is down may call another one.
const PROOFS: u32 = 2;

/// Who makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOrigin {
    Client,
    Upstream,
}

/// Identifies a route in messages between nodes; never zero.
pub(super) fn route_mark(route: &str) -> u32 {
    (stable_hash(route.as_bytes()) as u32).max(1)
}

/// Routes that clients are known to use.
///
/// Where no header tells calls of upstreams from those of clients, the route does: an upstream makes
/// calls only while it runs one. A call that enters while nothing runs beside this node comes from a
/// client, and so do, most likely, the others on its route. Nodes tell each other with their calls,
/// because a busy upstream is hardly ever idle. Until then a route counts as used by upstreams, so
/// that its calls earn no extra arrivals.
#[derive(Debug)]
pub(super) struct RouteOrigins {
    is_inferred: bool,
    /// Proofs by mark, for the routes of the snapshot; at most [`PROOFS`].
    proofs: IndexMap<u32, u32>,
}

impl RouteOrigins {
    pub(super) fn new(is_inferred: bool) -> Self {
        RouteOrigins {
            is_inferred,
            proofs: IndexMap::new(),
        }
    }

    /// Switches to the routes of a newer snapshot.
    pub(super) fn apply(&mut self, snapshot: &ConfigSnapshot) {
        if !self.is_inferred {
            return;
        }
        let earlier = std::mem::take(&mut self.proofs);
        self.proofs = snapshot
            .routes
            .keys()
            .map(|name| route_mark(name))
            .map(|mark| (mark, earlier.get(&mark).copied().unwrap_or(0)))
            .collect();
    }

    /// Records that another node knows that clients use a route.
    pub(super) fn adopt(&mut self, mark: u32) {
        if let Some(proofs) = self.proofs.get_mut(&mark) {
            *proofs = PROOFS;
        }
    }

    /// Returns who has made a call on a route. `is_nested` is what its headers say.
    pub(super) fn infer(
        &mut self,
        route: &SharedName,
        is_nested: bool,
        local_runs: LocalRuns,
    ) -> CallOrigin {
        if is_nested {
            return CallOrigin::Upstream;
        }
        if !self.is_inferred {
            return CallOrigin::Client;
        }
        let Some(proofs) = self.proofs.get_mut(&route_mark(route)) else {
            return CallOrigin::Upstream;
        };
        if local_runs.is_idle {
            *proofs = (*proofs + 1).min(PROOFS);
        }
        match *proofs >= PROOFS {
            true => CallOrigin::Client,
            false => CallOrigin::Upstream,
        }
    }
}

impl EntryCalls {
    /// Records who made a call, and how likely its first arrival is an extra one.
    pub(super) fn record_origin(&mut self, call: &mut EntryCall, local_runs: LocalRuns) {
        let is_nested = call.request.is_nested;
        call.origin = self.origins.infer(&call.route.name, is_nested, local_runs);
        match call.origin {
            CallOrigin::Upstream => call.extra_share = local_runs.extra_share,
            CallOrigin::Client if self.settings.infers_nested_calls => {
                call.client_route = route_mark(&call.route.name);
            }
            CallOrigin::Client => {}
        }
    }
}
