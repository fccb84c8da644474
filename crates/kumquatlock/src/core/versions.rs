//! Which upstreams of a service get requests, by the version of their software.

use kumquatlock_wire::rollout::{RolloutItem, RolloutPhase};

use super::{SharedName, UpstreamEntry};

/// The version of a service that is in force, and its latest rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceVersions {
    /// Version in force, apart from a rollout; empty if no upstream states a version.
    pub in_force: SharedName,
    /// Version of the latest order; empty before the first.
    pub target: SharedName,
    /// Phase of the latest rollout.
    pub phase: RolloutPhase,
    /// Identifies the latest rollout.
    pub order: u64,
}

impl ServiceVersions {
    /// Converts an item.
    pub fn from_item(item: &RolloutItem) -> Self {
        ServiceVersions {
            in_force: item.in_force.as_str().into(),
            target: item.target.as_str().into(),
            phase: item.phase(),
            order: item.order,
        }
    }

    /// Whether a rollout is running.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, RolloutPhase::Canary | RolloutPhase::Promoting)
    }

    /// Returns the version on trial, which gets a small share of the requests.
    pub fn canary(&self) -> Option<&SharedName> {
        (self.phase == RolloutPhase::Canary).then_some(&self.target)
    }

    /// Whether an upstream gets requests as one of the version that serves the service. An upstream
    /// that states no version always does, unless it is itself of the version that is replaced.
    pub fn is_primary(&self, upstream: &UpstreamEntry) -> bool {
        let primary = match self.phase {
            RolloutPhase::Promoting => &self.target,
            _ => &self.in_force,
        };
        let is_unlabelled = upstream.version.is_empty() && !self.in_force.is_empty();
        upstream.version == *primary || is_unlabelled
    }

    /// Whether an upstream is of a version that was rolled back. A node that has not heard of an order
    /// yet can't tell that its upstream gets requests, so no other version is refused.
    pub fn is_rolled_back(&self, upstream: &UpstreamEntry) -> bool {
        self.phase == RolloutPhase::RolledBack && upstream.version == self.target
    }
}
