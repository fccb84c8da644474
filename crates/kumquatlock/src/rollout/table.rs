//! The versions and rollouts of all services, as part of the catalog.

use indexmap::IndexMap;
use kumquatlock_wire::rollout::{
    RolloutAdvance, RolloutItem, RolloutList, RolloutOrder, RolloutPhase, RolloutStart,
};

use super::{MAX_ROLLOUTS, ROLLOUT_DURATION_MS, is_valid_version};

/// Decision on an order, made when its entry is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// The rollout has started, now or when the same order came first.
    Accepted(RolloutItem),
    /// Another rollout of the service is running.
    InProgress(RolloutItem),
    /// The order can't be carried out.
    Refused(OrderFault),
}

/// Why an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderFault {
    /// The manifest in force does not name the service.
    #[error("the manifest in force has no such service")]
    UnknownService,
    /// The version is empty, too long, or contains other characters than visible ASCII.
    #[error("the target version is not valid")]
    InvalidVersion,
    /// The duration is outside [`ROLLOUT_DURATION_MS`].
    #[error("the duration is out of range")]
    InvalidDuration,
    /// [`MAX_ROLLOUTS`] services have a recorded version.
    #[error("too many services have a recorded version")]
    Full,
}

/// Effect of a [`RolloutAdvance`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvanceOutcome {
    /// The rollout is in its next phase.
    Advanced(RolloutPhase),
    /// Only the time since the order was recorded.
    Recorded,
    /// The rollout has already ended or is in another phase.
    Ignored,
}

/// Versions and rollouts by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutTable {
    /// At most [`MAX_ROLLOUTS`].
    items: IndexMap<String, RolloutItem>,
}

/// Whether the rollout has neither completed nor been rolled back.
pub(super) fn is_running(item: &RolloutItem) -> bool {
    matches!(item.phase(), RolloutPhase::Canary | RolloutPhase::Promoting)
}

impl RolloutTable {
    /// Returns the versions of a service.
    pub fn get(&self, service: &str) -> Option<&RolloutItem> {
        self.items.get(service)
    }

    /// Returns the rollouts that have not ended.
    pub fn running(&self) -> impl Iterator<Item = &RolloutItem> {
        self.items.values().filter(|item| is_running(item))
    }

    /// Takes the version of a service's first upstream as the one in force. Returns whether the
    /// table has changed.
    pub fn note_version(&mut self, index: u64, service: &str, version: &str) -> bool {
        let is_known = self.items.contains_key(service);
        if version.is_empty() || is_known || self.items.len() >= MAX_ROLLOUTS {
            return false;
        }
        let item = RolloutItem {
            service: service.to_owned(),
            in_force: version.to_owned(),
            changed_at: index,
            ..RolloutItem::default()
        };
        self.items.insert(service.to_owned(), item);
        true
    }

    /// Applies an order for a service of the manifest.
    pub fn start(&mut self, index: u64, start: &RolloutStart) -> OrderDecision {
        let order = &start.order;
        if let Some(fault) = order_fault(order) {
            return OrderDecision::Refused(fault);
        }
        let earlier = self.items.get(&order.service);
        if let Some(item) = earlier {
            let is_same = item.target == order.target && item.duration_ms == order.duration_ms;
            let is_in_force = item.phase() == RolloutPhase::Completed;
            let may_repeat = is_running(item) || is_in_force || item.order != start.repeats_after;
            if is_same && may_repeat {
                return OrderDecision::Accepted(item.clone());
            }
            if is_running(item) {
                return OrderDecision::InProgress(item.clone());
            }
        } else if self.items.len() >= MAX_ROLLOUTS {
            return OrderDecision::Refused(OrderFault::Full);
        }
        let in_force = earlier
            .map(|item| item.in_force.clone())
            .unwrap_or_default();
        let phase = match in_force == order.target {
            true => RolloutPhase::Completed,
            false => RolloutPhase::Canary,
        };
        let item = RolloutItem {
            service: order.service.clone(),
            in_force,
            target: order.target.clone(),
            phase: phase as i32,
            order: index,
            duration_ms: order.duration_ms,
            elapsed_ms: 0,
            recorded_at_ms: start.recorded_at_ms,
            changed_at: index,
        };
        self.items.insert(order.service.clone(), item.clone());
        OrderDecision::Accepted(item)
    }

    /// Moves a rollout on, or records the time since its order.
    pub fn advance(&mut self, index: u64, advance: &RolloutAdvance) -> AdvanceOutcome {
        let Some(item) = self.items.get_mut(&advance.service) else {
            return AdvanceOutcome::Ignored;
        };
        let is_expected = item.order == advance.order && item.phase == advance.from;
        if !is_expected || !is_running(item) {
            return AdvanceOutcome::Ignored;
        }
        if advance.elapsed_ms >= item.elapsed_ms {
            item.elapsed_ms = advance.elapsed_ms;
            item.recorded_at_ms = advance.recorded_at_ms;
        }
        let next = match (item.phase(), advance.to()) {
            (RolloutPhase::Canary, next @ RolloutPhase::Promoting)
            | (RolloutPhase::Promoting, next @ RolloutPhase::Completed)
            | (_, next @ RolloutPhase::RolledBack) => next,
            _ => return AdvanceOutcome::Recorded,
        };
        item.phase = next as i32;
        item.changed_at = index;
        if next == RolloutPhase::Completed {
            item.in_force = item.target.clone();
        }
        AdvanceOutcome::Advanced(next)
    }

    /// Returns the items that have changed for nodes since a version, if there are any.
    pub fn changed_since(&self, base: u64) -> Option<RolloutList> {
        let items = self.items.values();
        let items: Vec<_> = items
            .filter(|item| item.changed_at > base)
            .cloned()
            .collect();
        (!items.is_empty()).then_some(RolloutList { items })
    }

    /// Takes over the items of a list, which come from another instance.
    pub fn merge(&mut self, list: Option<&RolloutList>) {
        for item in list.into_iter().flat_map(|list| &list.items) {
            if self.items.len() < MAX_ROLLOUTS || self.items.contains_key(&item.service) {
                self.items.insert(item.service.clone(), item.clone());
            }
        }
    }
}

fn order_fault(order: &RolloutOrder) -> Option<OrderFault> {
    if !is_valid_version(&order.target) {
        return Some(OrderFault::InvalidVersion);
    }
    let is_allowed = ROLLOUT_DURATION_MS.contains(&order.duration_ms);
    (!is_allowed).then_some(OrderFault::InvalidDuration)
}
