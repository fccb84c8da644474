//! Messages about runs of upstreams that have ended, which must outlive the nodes that report them.

use crate::distribution::WireState;

/// Report of a node that runs of an upstream have ended that it has no announcement of, or no longer
/// has. Idempotent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunEnd {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Digest of the upstream's name and the identifier of its runs.
    #[prost(fixed64, tag = "2")]
    pub instance: u64,
    /// Latest start of the ended runs, in milliseconds since 1970. A run that started later may
    /// serve.
    #[prost(uint64, tag = "3")]
    pub latest_start_ms: u64,
    /// The upstream's entry is removed if its incarnation is lower: an earlier process of the node
    /// has registered it. Zero if the entry stays.
    #[prost(uint64, tag = "4")]
    pub remove_below: u64,
}

/// Tells a child which of the ends that it reported are committed to the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RecordedEnds {
    /// Ends that an [`UpstreamReport`] has stated.
    #[prost(message, repeated, tag = "1")]
    pub runs: Vec<EndedRun>,
    /// Ends that a [`RunEnd`] has stated.
    #[prost(message, repeated, tag = "2")]
    pub starts: Vec<EndedStart>,
}

/// A run of an upstream that has announced that it drains or leaves.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct EndedRun {
    /// Digest of the run.
    #[prost(fixed64, tag = "1")]
    pub run: u64,
    #[prost(enumeration = "WireState", tag = "2")]
    pub state: i32,
}

/// Runs of one identifier that have ended: all that started at `latest_start_ms` or earlier.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct EndedStart {
    /// Digest of the upstream's name.
    #[prost(fixed64, tag = "1")]
    pub upstream: u64,
    /// Digest of the upstream's name and the identifier of the runs.
    #[prost(fixed64, tag = "2")]
    pub instance: u64,
    /// In milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub latest_start_ms: u64,
}

impl EndedStart {
    /// Whether the runs of an identifier of this upstream that started at this time or earlier have all
    /// ended by this record.
    pub fn covers(&self, instance: u64, latest_start_ms: u64) -> bool {
        self.instance == instance && self.latest_start_ms >= latest_start_ms
    }
}
