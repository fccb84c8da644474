//! Messages about requests that end upstreams: reports of crashes, and the quarantine.

/// Puts requests into quarantine, or releases them. Requests are named by their fingerprints.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuarantineChange {
    #[prost(fixed64, repeated, tag = "1")]
    pub added: Vec<u64>,
    #[prost(fixed64, repeated, tag = "2")]
    pub removed: Vec<u64>,
}

/// The fingerprints of all requests in quarantine. Not part of the digest of a state, so that
/// releases that ignore the list agree with those that know it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuarantineList {
    #[prost(fixed64, repeated, tag = "1")]
    pub fingerprints: Vec<u64>,
}

/// A request that was running when an upstream crashed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct CrashSuspect {
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Hash of the name of the entry node.
    #[prost(fixed64, tag = "2")]
    pub entry: u64,
    /// Number of the call at the entry node.
    #[prost(uint64, tag = "3")]
    pub call_id: u64,
}

/// Report of a node on a crash of the upstream beside it. Idempotent by name, incarnation and
/// number.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashReport {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Incarnation of the node.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the crash within the incarnation; zero if the report is only about `completed`.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Requests that were running.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<CrashSuspect>,
    /// Fingerprints of quarantined requests that the upstream has completed.
    #[prost(fixed64, repeated, tag = "5")]
    pub completed: Vec<u64>,
}
