//! Counters of the attempts at their destination node.

/// Counters of the attempts that must not run twice, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DestinationCounters {
    /// Attempts that arrived after they had been fenced, and were refused.
    pub attempts_after_fence: u64,
    /// Attempts that had not arrived and were fenced by a query for their outcome.
    pub query_fences: u64,
    /// Attempts accepted under another incarnation than they name.
    pub other_incarnation_attempts: u64,
}
