//! Choice of the service and the upstream for a request.
//!
//! [`RouteTable`] maps a host and a path to a route. [`BalancerSet`] holds one [`UpstreamBalancer`]
//! for each service in use; a balancer keeps statistics for a bounded subset of the service's
//! upstreams and chooses among them. Both are derived from a snapshot. The table is immutable and
//! is replaced as a whole; a balancer is updated in place, so that the statistics of upstreams that
//! remain are kept.
//!
//! Each attempt of a call uses [`UpstreamBalancer::choose`], [`UpstreamBalancer::start_attempt`]
//! and [`UpstreamBalancer::finish_attempt`] once, in this order. The module `spill` decides whether an
//! attempt leaves the availability zone or the region.

mod balancer;
mod balancer_set;
mod candidate;
mod choice;
mod group;
mod silence;
mod spill;
mod split;
mod subset;
mod table;
mod tier;
mod tracked;

pub use balancer::UpstreamBalancer;
pub use balancer_set::{BalancerSet, canary_order};
pub use choice::{
    AttemptTicket, ChoiceMode, ChosenUpstream, LocalityCounters, NoChoiceReason, UpstreamChoice,
};
pub use group::VersionGroup;
pub use spill::{CallDemand, ShareChange, SpillReason, SpillSettings};
pub use split::SplitChooser;
pub use subset::{EntryLocation, LocalityTier, SUBSET_SIZE};
pub use table::RouteTable;
pub use tracked::{HealthHint, UpstreamOutcome, UpstreamToken};

#[cfg(test)]
mod tests;
