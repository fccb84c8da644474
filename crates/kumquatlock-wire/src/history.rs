//! History of the catalog, which only log snapshots contain.

use bytes::Bytes;

use crate::distribution::ItemKind;
use crate::run_end::{EndedRun, EndedStart};

/// History of a catalog: the data beyond its current content.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogHistory {
    /// Version at which each service last changed, in the order of `CatalogState::services`.
    #[prost(uint64, repeated, tag = "1")]
    pub service_changed_at: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    pub route_changed_at: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    pub upstream_changed_at: Vec<u64>,
    /// Version at which the newest manifest was accepted.
    #[prost(uint64, tag = "4")]
    pub manifest_changed_at: u64,
    #[prost(message, repeated, tag = "5")]
    pub tombstones: Vec<Tombstone>,
    /// Lowest version from which a delta can be computed.
    #[prost(uint64, tag = "6")]
    pub tombstone_floor: u64,
    /// The most recently accepted manifests, oldest first.
    #[prost(message, repeated, tag = "7")]
    pub accepted: Vec<AcceptedManifest>,
    #[prost(message, repeated, tag = "8")]
    pub seen_regions: Vec<SeenRegion>,
    /// Index of the last applied log entry, whether or not the entry changed the catalog.
    #[prost(uint64, tag = "9")]
    pub applied_index: u64,
    /// Source text of the newest manifest.
    #[prost(bytes = "bytes", tag = "10")]
    pub manifest_source: Bytes,
    /// Version at which the quarantine last changed.
    #[prost(uint64, tag = "11")]
    pub quarantine_changed_at: u64,
    /// Runs of upstreams that have ended, oldest first.
    #[prost(message, repeated, tag = "12")]
    pub ended_runs: Vec<EndedRun>,
    /// Version at which each account last changed, in the order of `CatalogState::accounts`.
    #[prost(uint64, repeated, tag = "13")]
    pub account_changed_at: Vec<u64>,
    /// Upstreams whose nodes reported the end of runs without announcements of them, the one with
    /// the oldest report first.
    #[prost(message, repeated, tag = "14")]
    pub ended_starts: Vec<EndedStart>,
}

/// A removed item.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Tombstone {
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Incarnation of a removed upstream. This incarnation is never accepted again. Zero for other
    /// kinds of items.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// An accepted manifest. Kept so that a resubmission gets the same answer as the first submission.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AcceptedManifest {
    /// Version that the operator assigned to the manifest.
    #[prost(uint64, tag = "1")]
    pub manifest_version: u64,
    /// Digest of the manifest's content.
    #[prost(uint64, tag = "2")]
    pub digest: u64,
    /// Configuration version of the acceptance: the index of its log entry.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
}

/// A service, with a region in which it has had an upstream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SeenRegion {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub region: String,
}
