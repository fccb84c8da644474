//! Which service and which upstream serve a request.
//!
//! [`RouteTable`] maps host and path to a route. [`BalancerSet`] holds one [`UpstreamBalancer`]
//! per service in use; a balancer keeps live state for a bounded subset of the service's
//! upstreams and chooses among them. Both are built from a snapshot. The table is immutable and
//! replaced whole; a balancer is rebuilt in place so that the state of kept upstreams survives.
//!
//! A call goes through [`UpstreamBalancer::choose`], [`UpstreamBalancer::start_attempt`] and
//! [`UpstreamBalancer::finish_attempt`], in this order, once per attempt.

mod balancer;
mod balancer_set;
mod live;
mod silence;
mod split;
mod subset;
mod table;

pub use balancer::{
    AttemptTicket, ChoiceMode, ChosenUpstream, LocalityCounters, NoChoiceReason, UpstreamBalancer,
    UpstreamChoice,
};
pub use balancer_set::BalancerSet;
pub use live::{HealthHint, UpstreamOutcome, UpstreamToken};
pub use split::SplitChooser;
pub use subset::{EntryLocation, LocalityTier, SUBSET_SIZE};
pub use table::RouteTable;

#[cfg(test)]
mod tests;
