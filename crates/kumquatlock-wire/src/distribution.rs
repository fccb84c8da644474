//! Messages of the configuration stream between a parent and its children, and the catalog items
//! that they carry.

use bytes::Bytes;

pub use crate::account::AccountItem;
pub use crate::history::{AcceptedManifest, CatalogHistory, SeenRegion, Tombstone};
pub use crate::run_end::{EndedRun, EndedStart, RecordedEnds, RunEnd};

/// A service: a name and the upstreams that may serve it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceItem {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Exact upstream names, or prefixes that end in `*`.
    #[prost(string, repeated, tag = "2")]
    pub patterns: Vec<String>,
    /// Maximum number of connections that each upstream accepts from all callers together; zero if
    /// not specified.
    #[prost(uint32, tag = "3")]
    pub connections: u32,
    /// Source text from which the item of the manifest was generated. Present only in the log,
    /// because children don't need it.
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
    /// Name of the service. With `split`, the first of its services.
    #[prost(string, tag = "5")]
    pub service: String,
    /// Maximum time that a caller waits, in milliseconds; zero if not specified.
    #[prost(uint32, tag = "6")]
    pub timeout_ms: u32,
    /// Target latency: the time within which an answer has its full value, in milliseconds; zero if
    /// not specified.
    #[prost(uint32, tag = "7")]
    pub target_ms: u32,
    /// Requests of routes with a lower rank are served first.
    #[prost(uint32, tag = "8")]
    pub rank: u32,
    /// Maximum number of upstreams that one request may be sent to; zero if not specified.
    #[prost(uint32, tag = "9")]
    pub attempts: u32,
    /// Services that share the requests by weight. Empty if `service` receives all requests.
    #[prost(message, repeated, tag = "10")]
    pub split: Vec<SplitItem>,
    /// Whether only paths below the prefix match, but not the prefix itself.
    #[prost(bool, tag = "11")]
    pub below: bool,
    /// Source text from which the item of the manifest was generated. Present only in the log,
    /// because children don't need it.
    #[prost(string, tag = "12")]
    pub source: String,
    /// Whether requests need no API key.
    #[prost(bool, tag = "13")]
    pub public: bool,
}

/// One service of a split route, with its weight.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SplitItem {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LimitsItem {
    #[prost(uint32, tag = "1")]
    pub header_bytes: u32,
    #[prost(uint64, tag = "2")]
    pub body_bytes: u64,
    #[prost(uint32, tag = "3")]
    pub header_timeout_ms: u32,
    /// Maximum time for which a connection stays open without a request, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub idle_timeout_ms: u32,
}

/// Request class of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireClass {
    /// May be repeated safely.
    Lookup = 0,
    /// Runs at most once.
    AtMostOnce = 1,
    /// A check that one service requests from another. Needs a prompt answer. May be repeated
    /// safely.
    Internal = 2,
    /// Runs at most once, and may wait for up to an hour.
    Deferred = 3,
}

/// An upstream, with the address of the node beside it.
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
    /// Whether this is the first upstream recorded for its service and region since the service was
    /// created.
    #[prost(bool, tag = "9")]
    pub first_in_region: bool,
    /// Version of the upstream's software; empty if it states none.
    #[prost(string, tag = "10")]
    pub version: String,
}

/// Lifecycle of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireState {
    /// Accepts new calls.
    Serving = 0,
    /// Finishes calls in flight and accepts no new ones.
    Draining = 1,
    /// Has left. Used only in reports, never in the catalog.
    Left = 2,
}

/// A change of the catalog.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogChange {
    #[prost(oneof = "catalog_change::Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<catalog_change::Kind>,
}

/// Variants of [`CatalogChange`].
pub mod catalog_change {
    /// The changed or removed item.
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
        /// New version of the accepted manifest.
        #[prost(uint64, tag = "7")]
        ManifestVersion(u64),
        /// New limits of the accepted manifest.
        #[prost(message, tag = "8")]
        Limits(super::LimitsItem),
        #[prost(message, tag = "9")]
        UpsertAccount(super::AccountItem),
        #[prost(string, tag = "10")]
        RemoveAccount(String),
    }
}

/// Payload of a log entry of kind `Command`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CatalogCommand {
    #[prost(oneof = "catalog_command::Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<catalog_command::Kind>,
}

/// Variants of [`CatalogCommand`].
pub mod catalog_command {
    /// The effect of the command when it is applied.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        /// Text of a submitted manifest. It is validated before it is proposed, and accepted or
        /// rejected when it is applied.
        #[prost(bytes = "bytes", tag = "1")]
        Manifest(bytes::Bytes),
        #[prost(message, tag = "2")]
        Report(super::UpstreamReport),
        /// Removes an unattached upstream, if it still has the given incarnation.
        #[prost(message, tag = "3")]
        Expire(super::UpstreamIncarnation),
        /// A manifest as its difference from the accepted one.
        #[prost(message, tag = "4")]
        Change(super::ManifestChange),
        #[prost(message, tag = "5")]
        Quarantine(crate::quarantine::QuarantineChange),
        #[prost(message, tag = "6")]
        Rollout(crate::rollout::RolloutChange),
        #[prost(message, tag = "7")]
        RunEnd(super::RunEnd),
    }
}

/// A validated manifest as its difference from the accepted one. This keeps log entries, which are
/// sent to every voter, small: a manifest has hundreds of routes, and most changes affect only a
/// few.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ManifestChange {
    /// Version that the operator assigned to the manifest.
    #[prost(uint64, tag = "1")]
    pub manifest_version: u64,
    /// Version of the manifest that the difference is based on. The change has no effect if another
    /// version is the accepted one.
    #[prost(uint64, tag = "2")]
    pub from_version: u64,
    /// Digest of the complete manifest.
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
    /// Source text of the manifest, apart from the sources of its items.
    #[prost(bytes = "bytes", tag = "9")]
    pub source: Bytes,
    #[prost(message, repeated, tag = "10")]
    pub accounts: Vec<AccountItem>,
    #[prost(string, repeated, tag = "11")]
    pub removed_accounts: Vec<String>,
}

/// Identifies one incarnation of an upstream.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct UpstreamIncarnation {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Report of a node on the upstream beside it. Idempotent by name, incarnation and state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamReport {
    #[prost(message, required, tag = "1")]
    pub upstream: UpstreamItem,
    /// Digest of the upstream's process run; zero if the upstream does not name its runs.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Whether the run itself has announced that it drains or leaves, so that its state is final.
    #[prost(bool, tag = "3")]
    pub is_run_ended: bool,
    /// Digest of the upstream's name and the identifier of its run; zero if the upstream does not
    /// name its runs. Runs that start again under the same identifier have the same digest.
    #[prost(fixed64, tag = "4")]
    pub instance: u64,
    /// Start of the run as the upstream states it, in milliseconds since 1970; zero if it states
    /// none.
    #[prost(uint64, tag = "5")]
    pub run_started_ms: u64,
}

/// The complete catalog. Split into chunks for transfer.
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
    /// Present in log snapshots and in snapshots for replicas. Absent in snapshots for nodes, which
    /// don't need it.
    #[prost(message, optional, tag = "6")]
    pub history: Option<CatalogHistory>,
    /// Absent if the manifest specifies no limits.
    #[prost(message, optional, tag = "7")]
    pub limits: Option<LimitsItem>,
    /// Absent if no request is in quarantine.
    #[prost(message, optional, tag = "8")]
    pub quarantine: Option<crate::quarantine::QuarantineList>,
    /// [`AccountItem::empty_table`] if the manifest has a table without accounts. Empty if it has no
    /// table.
    #[prost(message, repeated, tag = "9")]
    pub accounts: Vec<AccountItem>,
    /// Absent if no upstream states a version.
    #[prost(message, optional, tag = "10")]
    pub rollouts: Option<crate::rollout::RolloutList>,
}

/// Kind of a catalog item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ItemKind {
    Service = 0,
    Route = 1,
    Upstream = 2,
    Account = 3,
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
    /// Digest of the applied state, so that a delta is never applied to a different base.
    #[prost(uint64, tag = "8")]
    pub applied_digest: u64,
    /// Whether the child answers chunks with [`ChunkReceived`], assembles deltas from chunks and
    /// decompresses updates.
    #[prost(bool, tag = "9")]
    pub accepts_paced_updates: bool,
}

/// Answers a [`Hello`] after a currency proof.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    #[prost(uint64, tag = "1")]
    pub group_id: u64,
    /// The child's first configuration must be at or above this version.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Addresses of the control instances that the child may use as parents, `ip:port`. Empty if
    /// they are in the child's settings.
    #[prost(string, repeated, tag = "3")]
    pub parents: Vec<String>,
    /// Locations of `parents`, in the same order.
    #[prost(message, repeated, tag = "4")]
    pub locations: Vec<ParentLocation>,
}

/// Location of a control instance. Both names are empty if it is not known.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ParentLocation {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(string, tag = "2")]
    pub region: String,
}

/// Asks a child to retry later or to attach to another parent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RetryAfter {
    #[prost(uint32, tag = "1")]
    pub delay_ms: u32,
    #[prost(enumeration = "RetryReason", tag = "2")]
    pub reason: i32,
}

/// Why a parent refused a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RetryReason {
    /// The parent has reached its rate limit or its limit on children or transfers.
    Busy = 0,
    /// The parent could not prove that its configuration is current.
    NotCurrent = 1,
    /// The parent is shutting down.
    Leaving = 2,
    /// The child belongs to another group.
    WrongGroup = 3,
}

/// One chunk of an update: of a [`CatalogState`], or of a [`Delta`] too large for one message.
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
    /// Version to which the assembled update applies if it is an encoded [`Delta`]; zero if it is a
    /// [`CatalogState`].
    #[prost(uint64, tag = "6")]
    pub base: u64,
    /// Whether the parent waits for [`ChunkReceived`] before it sends more than a window of chunks.
    #[prost(bool, tag = "7")]
    pub is_paced: bool,
    /// Whether the update is compressed with DEFLATE. `offset` and `total_bytes` then count
    /// compressed bytes.
    #[prost(bool, tag = "8")]
    pub is_compressed: bool,
}

/// Acknowledges the chunks of a paced update.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ChunkReceived {
    /// Version of the update.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Number of bytes of the update received so far, without gaps.
    #[prost(uint64, tag = "2")]
    pub received_bytes: u64,
}

/// Changes from version `base` to `version`. Can be applied to `base` only.
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
    /// The whole list, if it has changed since `base`.
    #[prost(message, optional, tag = "5")]
    pub quarantine: Option<crate::quarantine::QuarantineList>,
    /// The items that have changed since `base`.
    #[prost(message, optional, tag = "6")]
    pub rollouts: Option<crate::rollout::RolloutList>,
}

/// Acknowledges that the child has applied a version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Applied {
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Reports that the child rejected a version because it failed validation. The child keeps its
/// previous version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rejected {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Progress of the nodes below a parent, counted over its whole subtree.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Progress {
    /// Name of the reporting instance.
    #[prost(string, tag = "1")]
    pub reporter: String,
    #[prost(uint64, tag = "2")]
    pub nodes: u64,
    #[prost(uint64, tag = "3")]
    pub lowest_applied: u64,
    /// Catalog version of the reporter.
    #[prost(uint64, tag = "4")]
    pub current_version: u64,
    /// Number of nodes that have applied `current_version` or a later one.
    #[prost(uint64, tag = "5")]
    pub current_nodes: u64,
}

/// Upstreams that attached to or detached from a parent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attachment {
    /// Name of the reporting instance.
    #[prost(string, tag = "1")]
    pub reporter: String,
    /// Whether `attached` is complete: upstreams that it does not list are not attached to the
    /// reporter.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    #[prost(message, repeated, tag = "3")]
    pub attached: Vec<UpstreamIncarnation>,
    #[prost(message, repeated, tag = "4")]
    pub detached: Vec<UpstreamIncarnation>,
    /// Sequence number. Increases with every message of the reporter, also across its restarts, so
    /// that a message that was delayed on a previous path is detected.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
}

/// Checks whether the peer responds. Answered by a [`Pong`] with the same number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the sender asks for the age of the parent's currency proof. The transport answers
    /// every ping; if this flag is set, the parent sends a second answer with the age.
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
    /// Time since the start of the parent's latest proof that this version is current, in
    /// milliseconds. Absent without a proof.
    #[prost(uint64, optional, tag = "3")]
    pub proof_age_ms: Option<u64>,
}

/// Answers a submitted manifest with the decision, as JSON text for the operator.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitReply {
    #[prost(uint32, tag = "1")]
    pub http_status: u32,
    #[prost(string, tag = "2")]
    pub json: String,
}

/// Asks the leader for the state of a manifest version, or of the newest one if absent.
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
