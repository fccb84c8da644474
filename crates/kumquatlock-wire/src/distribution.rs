//! Messages of the configuration stream between a parent and its children, and the catalog items
//! that it carries.

use bytes::Bytes;

/// A service: a name and the upstreams that may serve it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceItem {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Exact upstream names, or prefixes that end in `*`.
    #[prost(string, repeated, tag = "2")]
    pub patterns: Vec<String>,
    /// Connections that each upstream takes from all callers together; zero if not stated.
    #[prost(uint32, tag = "3")]
    pub connections: u32,
    /// Text from which the pipeline made the item. Only in the log; children have no use for it.
    #[prost(string, tag = "4")]
    pub source: String,
}

/// A route from a host and path prefix to a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteItem {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(string, tag = "3")]
    pub prefix: String,
    #[prost(enumeration = "WireClass", tag = "4")]
    pub class: i32,
    /// The service, or the first one of `split`.
    #[prost(string, tag = "5")]
    pub service: String,
    /// Longest time that a caller is kept waiting; zero if not stated.
    #[prost(uint32, tag = "6")]
    pub timeout_ms: u32,
    /// Time within which an answer is worth most; zero if not stated.
    #[prost(uint32, tag = "7")]
    pub target_ms: u32,
    /// Zero is served first.
    #[prost(uint32, tag = "8")]
    pub rank: u32,
    /// Most upstreams that one request may be sent to; zero if not stated.
    #[prost(uint32, tag = "9")]
    pub attempts: u32,
    /// Services that share the requests by weight; empty if `service` gets all.
    #[prost(message, repeated, tag = "10")]
    pub split: Vec<SplitItem>,
    /// Whether only paths below the prefix match, and not the prefix itself.
    #[prost(bool, tag = "11")]
    pub below: bool,
    /// Text from which the pipeline made the item. Only in the log; children have no use for it.
    #[prost(string, tag = "12")]
    pub source: String,
}

/// One part of a route that is split between services.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SplitItem {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LimitsItem {
    #[prost(uint32, tag = "1")]
    pub header_bytes: u32,
    #[prost(uint64, tag = "2")]
    pub body_bytes: u64,
    #[prost(uint32, tag = "3")]
    pub header_timeout_ms: u32,
    /// Time for which a connection may stay open without a request.
    #[prost(uint32, tag = "4")]
    pub idle_timeout_ms: u32,
}

/// Request class of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireClass {
    /// May be repeated.
    Lookup = 0,
    /// Runs at most once.
    AtMostOnce = 1,
    /// Prompt check between services; may be repeated.
    Internal = 2,
    /// Runs at most once and may wait up to an hour.
    Deferred = 3,
}

/// An upstream and the node beside it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpstreamItem {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub region: String,
    /// Address of the node beside the upstream, `ip:port`.
    #[prost(string, tag = "5")]
    pub node_address: String,
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    #[prost(enumeration = "WireState", tag = "8")]
    pub state: i32,
    /// The first upstream ever recorded for its service and region since the service was created.
    #[prost(bool, tag = "9")]
    pub first_in_region: bool,
}

/// Lifecycle of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireState {
    /// Takes new work.
    Serving = 0,
    /// Finishes work in flight and takes none.
    Draining = 1,
    /// Gone; only in reports, never in the catalog.
    Left = 2,
}

/// One change of the catalog.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogChange {
    #[prost(oneof = "catalog_change::Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub kind: Option<catalog_change::Kind>,
}

/// Variants of [`CatalogChange`].
pub mod catalog_change {
    /// An upsert or a removal of one item.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        #[prost(message, tag = "1")]
        UpsertService(super::ServiceItem),
        #[prost(string, tag = "2")]
        RemoveService(String),
        #[prost(message, tag = "3")]
        UpsertRoute(super::RouteItem),
        #[prost(string, tag = "4")]
        RemoveRoute(String),
        #[prost(message, tag = "5")]
        UpsertUpstream(super::UpstreamItem),
        #[prost(string, tag = "6")]
        RemoveUpstream(String),
        /// Version of the accepted manifest.
        #[prost(uint64, tag = "7")]
        ManifestVersion(u64),
        /// Limits of the accepted manifest.
        #[prost(message, tag = "8")]
        Limits(super::LimitsItem),
    }
}

/// The payload of a log entry of kind `Command`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogCommand {
    #[prost(oneof = "catalog_command::Kind", tags = "1, 2, 3, 4")]
    pub kind: Option<catalog_command::Kind>,
}

/// Variants of [`CatalogCommand`].
pub mod catalog_command {
    /// What the command does when it is applied.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Manifest text, checked before it was proposed and decided when applied.
        #[prost(bytes = "bytes", tag = "1")]
        Manifest(bytes::Bytes),
        #[prost(message, tag = "2")]
        Report(super::UpstreamReport),
        /// Removes an unattached upstream, if it still has this incarnation.
        #[prost(message, tag = "3")]
        Expire(super::UpstreamIncarnation),
        /// A manifest as what it changes in the accepted one.
        #[prost(message, tag = "4")]
        Change(super::ManifestChange),
    }
}

/// A checked manifest as its difference from the accepted one. A manifest has hundreds of routes of
/// which most changes touch a few, and the log carries each change to every voter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ManifestChange {
    /// Version that the operator gave.
    #[prost(uint64, tag = "1")]
    pub manifest_version: u64,
    /// Version that the difference was taken from; with another one accepted it has no effect.
    #[prost(uint64, tag = "2")]
    pub from_version: u64,
    /// Digest of the whole manifest.
    #[prost(uint64, tag = "3")]
    pub digest: u64,
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<ServiceItem>,
    #[prost(message, repeated, tag = "5")]
    pub routes: Vec<RouteItem>,
    #[prost(string, repeated, tag = "6")]
    pub removed_services: Vec<String>,
    #[prost(string, repeated, tag = "7")]
    pub removed_routes: Vec<String>,
    #[prost(message, optional, tag = "8")]
    pub limits: Option<LimitsItem>,
    /// Source of the manifest beside those of its items.
    #[prost(bytes = "bytes", tag = "9")]
    pub source: Bytes,
}

/// Names the incarnation to remove.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct UpstreamIncarnation {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// What a node says of its upstream. Idempotent by name, incarnation and state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamReport {
    #[prost(message, required, tag = "1")]
    pub upstream: UpstreamItem,
}

/// The whole catalog as one message; split into chunks for transfer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogState {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(uint64, tag = "2")]
    pub manifest_version: u64,
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceItem>,
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteItem>,
    #[prost(message, repeated, tag = "5")]
    pub upstreams: Vec<UpstreamItem>,
    /// Present in log snapshots and in snapshots for replicas; nodes have no use for it.
    #[prost(message, optional, tag = "6")]
    pub history: Option<CatalogHistory>,
    /// Absent if the manifest states none.
    #[prost(message, optional, tag = "7")]
    pub limits: Option<LimitsItem>,
}

/// What a catalog knows beyond its present content.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogHistory {
    /// Version at which each service changed last, in the order of `CatalogState::services`.
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
    /// The newest accepted manifests, oldest first.
    #[prost(message, repeated, tag = "7")]
    pub accepted: Vec<AcceptedManifest>,
    #[prost(message, repeated, tag = "8")]
    pub seen_regions: Vec<SeenRegion>,
    /// Last applied log entry, whether or not it changed the catalog.
    #[prost(uint64, tag = "9")]
    pub applied_index: u64,
    /// Source of the newest manifest.
    #[prost(bytes = "bytes", tag = "10")]
    pub manifest_source: Bytes,
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
    /// Incarnation of a removed upstream, which never comes back; zero for other kinds.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// Kind of a catalog item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ItemKind {
    Service = 0,
    Route = 1,
    Upstream = 2,
}

/// A manifest that was accepted, so that a resend gets the first answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AcceptedManifest {
    /// Version that the operator gave.
    #[prost(uint64, tag = "1")]
    pub manifest_version: u64,
    /// Digest of the content.
    #[prost(uint64, tag = "2")]
    pub digest: u64,
    /// Log index of the acceptance.
    #[prost(uint64, tag = "3")]
    pub config_version: u64,
}

/// A service that has had an upstream in a region.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SeenRegion {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub region: String,
}

/// Role of a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ChildRole {
    Node = 0,
    Replica = 1,
}

/// First message of a child on a new connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Zero while the child has not joined a group.
    #[prost(uint64, tag = "1")]
    pub group_id: u64,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(string, tag = "5")]
    pub region: String,
    #[prost(enumeration = "ChildRole", tag = "6")]
    pub role: i32,
    /// Zero while the child holds no configuration.
    #[prost(uint64, tag = "7")]
    pub applied_version: u64,
    /// Digest of the applied state, so that a delta is never put on a different base.
    #[prost(uint64, tag = "8")]
    pub applied_digest: u64,
}

/// Answers a [`Hello`] after a currency proof.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    #[prost(uint64, tag = "1")]
    pub group_id: u64,
    /// The child's first configuration must be at or above this version.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Addresses of control instances that the child may turn to, `ip:port`. Empty if they are in
    /// the child's settings.
    #[prost(string, repeated, tag = "3")]
    pub parents: Vec<String>,
}

/// Asks a child to come back later or to go to another parent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RetryAfter {
    #[prost(uint32, tag = "1")]
    pub delay_ms: u32,
    #[prost(enumeration = "RetryReason", tag = "2")]
    pub reason: i32,
}

/// Why a parent refused a child for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RetryReason {
    /// The parent admits a bounded rate of children.
    Busy = 0,
    /// The parent could not prove that its configuration is current.
    NotCurrent = 1,
    /// The parent is shutting down.
    Leaving = 2,
    /// The child belongs to another group.
    WrongGroup = 3,
}

/// One chunk of a [`CatalogState`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    #[prost(uint64, tag = "3")]
    pub total_bytes: u64,
    #[prost(uint64, tag = "4")]
    pub digest: u64,
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

/// Changes that lead from exactly `base` to `version`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<CatalogChange>,
    /// Digest of the state after the changes.
    #[prost(uint64, tag = "4")]
    pub digest: u64,
}

/// The child has applied a version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Applied {
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// The child kept its old version, because the new one failed a check.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rejected {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// How far a parent's nodes are, counted over its whole subtree.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Progress {
    /// Instance that reports.
    #[prost(string, tag = "1")]
    pub reporter: String,
    #[prost(uint64, tag = "2")]
    pub nodes: u64,
    #[prost(uint64, tag = "3")]
    pub lowest_applied: u64,
    /// Catalog version of the reporter.
    #[prost(uint64, tag = "4")]
    pub current_version: u64,
    /// Nodes that have applied `current_version` or a later one.
    #[prost(uint64, tag = "5")]
    pub current_nodes: u64,
}

/// Nodes that attached to or detached from a parent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attachment {
    /// Instance that reports.
    #[prost(string, tag = "1")]
    pub reporter: String,
    /// The list is complete: nodes that it does not name are not attached to the reporter.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    #[prost(message, repeated, tag = "3")]
    pub attached: Vec<UpstreamIncarnation>,
    #[prost(message, repeated, tag = "4")]
    pub detached: Vec<UpstreamIncarnation>,
    /// Grows with every message of the reporter, also over its restarts, so that a message that
    /// was delayed on an old path is recognised.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
}

/// Keeps a connection observed; answered by [`Pong`] with the same number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Asks for the age of the parent's currency proof. The transport answers other pings.
    #[prost(bool, tag = "2")]
    pub prove: bool,
}

/// Answers a [`Ping`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Version of the parent's configuration.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Time since the beginning of the parent's latest proof that this version is current. None
    /// without proof.
    #[prost(uint64, optional, tag = "3")]
    pub proof_age_ms: Option<u64>,
}

/// The decision on a submitted manifest, as JSON text for the operator.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitReply {
    #[prost(uint32, tag = "1")]
    pub http_status: u32,
    #[prost(string, tag = "2")]
    pub json: String,
}

/// Asks the leader for the state of a manifest version; absent for the newest.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusRequest {
    #[prost(uint64, optional, tag = "1")]
    pub manifest_version: Option<u64>,
}

/// Answers a [`StatusRequest`] with JSON text for the operator.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    #[prost(uint32, tag = "1")]
    pub http_status: u32,
    #[prost(string, tag = "2")]
    pub json: String,
}
