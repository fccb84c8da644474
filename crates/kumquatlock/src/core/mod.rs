//! Types shared by all modules: names, versions, time, request classes and the applied
//! configuration.

mod account;
mod class;
mod digest;
mod fingerprint;
mod ids;
mod rate;
mod snapshot;
mod time;
mod versions;

pub use account::{AccountQuota, ClientAccount, KeyDigest};
pub use class::{RequestClass, UpstreamState};
pub use digest::{
    account_digest, change_digest, route_digest, service_digest, stable_hash, upstream_digest,
};
pub use fingerprint::RequestFingerprint;
pub use ids::{
    ConfigVersion, GroupId, IncarnationId, ProcessId, SharedName, address_from_name,
    name_from_address,
};
pub use rate::RequestRate;
pub use snapshot::{
    CallerLimits, ConfigSnapshot, RouteEntry, ServiceEntry, SnapshotError, SplitPart, UpstreamEntry,
};
pub use time::Timestamp;
pub use versions::ServiceVersions;

#[cfg(test)]
mod tests;
