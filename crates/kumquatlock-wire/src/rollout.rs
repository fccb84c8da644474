//! Messages about rollouts: the versions of a service, orders, and what nodes have observed.

/// Phase of the latest rollout of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutPhase {
    /// No rollout was ever ordered; only the version in force is known.
    None = 0,
    /// A small share of the requests goes to the target version.
    Canary = 1,
    /// All requests go to the target version; the earlier one finishes what it runs.
    Promoting = 2,
    /// The target version is in force.
    Completed = 3,
    /// The target version was judged as worse, and gets no requests.
    RolledBack = 4,
}

/// The versions of a service. Not part of the digest of a state, so that releases that ignore it
/// agree with those that know it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutItem {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version whose upstreams serve the service, apart from a rollout.
    #[prost(string, tag = "2")]
    pub in_force: String,
    /// Version of the latest order; empty before the first.
    #[prost(string, tag = "3")]
    pub target: String,
    #[prost(enumeration = "RolloutPhase", tag = "4")]
    pub phase: i32,
    /// Log index of the order; identifies the rollout.
    #[prost(uint64, tag = "5")]
    pub order: u64,
    /// Time within which the rollout shall end.
    #[prost(uint64, tag = "6")]
    pub duration_ms: u64,
    /// Time since the order that the leader last recorded.
    #[prost(uint64, tag = "7")]
    pub elapsed_ms: u64,
    /// Wall clock of the leader when it recorded `elapsed_ms`, in milliseconds since 1970.
    #[prost(uint64, tag = "8")]
    pub recorded_at_ms: u64,
    /// Configuration version at which the item last changed for nodes.
    #[prost(uint64, tag = "9")]
    pub changed_at: u64,
}

/// Versions of services: all, or those that have changed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutList {
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<RolloutItem>,
}

/// An operator's order.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct RolloutOrder {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub target: String,
    #[prost(uint64, tag = "3")]
    pub duration_ms: u64,
}

/// Starts a rollout.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutStart {
    #[prost(message, required, tag = "1")]
    pub order: RolloutOrder,
    /// Rolled-back rollout of the same order that the leader knows to be too old for a repetition;
    /// zero if there is none.
    #[prost(uint64, tag = "2")]
    pub repeats_after: u64,
    /// Wall clock of the leader, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub recorded_at_ms: u64,
}

/// Advances a rollout, or records the time since its order.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutAdvance {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Rollout that advances; the change has no effect on another one.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// Phase that it must be in.
    #[prost(enumeration = "RolloutPhase", tag = "3")]
    pub from: i32,
    /// Next phase; the same as `from` if only the time is recorded.
    #[prost(enumeration = "RolloutPhase", tag = "4")]
    pub to: i32,
    #[prost(uint64, tag = "5")]
    pub elapsed_ms: u64,
    #[prost(uint64, tag = "6")]
    pub recorded_at_ms: u64,
}

/// A change of a rollout in the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutChange {
    #[prost(oneof = "rollout_change::Kind", tags = "1, 2")]
    pub kind: Option<rollout_change::Kind>,
}

/// Variants of [`RolloutChange`].
pub mod rollout_change {
    /// What changes.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        #[prost(message, tag = "1")]
        Start(super::RolloutStart),
        #[prost(message, tag = "2")]
        Advance(super::RolloutAdvance),
    }
}

/// What a node has observed of the upstream beside it since it learned of a rollout.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutEvidence {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Run of the node and its upstream; the counts start anew with each.
    #[prost(uint64, tag = "2")]
    pub run: u64,
    #[prost(string, tag = "3")]
    pub service: String,
    #[prost(string, tag = "4")]
    pub version: String,
    /// Rollout that the counts belong to.
    #[prost(uint64, tag = "5")]
    pub order: u64,
    #[prost(message, repeated, tag = "6")]
    pub groups: Vec<EvidenceGroup>,
}

/// Counts of the requests of one kind, since the start of the run. Requests that did not reach the
/// upstream don't count.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EvidenceGroup {
    /// Identifies the kind of request.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// Complete answers.
    #[prost(uint64, tag = "2")]
    pub answered: u64,
    /// Answers that are server errors.
    #[prost(uint64, tag = "3")]
    pub failed: u64,
    /// Number of answers by latency: bucket `n` holds those of at least 2^(n/2) ms, apart from the
    /// first and the last. Those of an upstream that is still warming up are left out.
    #[prost(uint32, repeated, tag = "4")]
    pub latencies: Vec<u32>,
}
