//! Digests of catalog items.
//!
//! The digest of a state is the wrapping sum of the digests of its items. It does not depend on
//! their order and is updated by addition and subtraction, so a delta costs only as much as its
//! changes.

use kumquatlock_wire::distribution::{
    AccountItem, CatalogChange, RouteItem, ServiceItem, UpstreamItem, catalog_change,
};
use prost::Message;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const SERVICE_SEED: u64 = 1;
const ROUTE_SEED: u64 = 2;
const UPSTREAM_SEED: u64 = 3;
const ACCOUNT_SEED: u64 = 4;

/// Returns a hash that is the same in every process and release.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the digest of a service. Its source is excluded, because nodes don't receive it.
pub fn service_digest(service: &ServiceItem) -> u64 {
    if service.source.is_empty() {
        return xxh3_64_with_seed(&service.encode_to_vec(), SERVICE_SEED);
    }
    let mut item = service.clone();
    item.source.clear();
    service_digest(&item)
}

/// Returns the digest of a route. Its source is excluded, because nodes don't receive it.
pub fn route_digest(route: &RouteItem) -> u64 {
    if route.source.is_empty() {
        return xxh3_64_with_seed(&route.encode_to_vec(), ROUTE_SEED);
    }
    let mut item = route.clone();
    item.source.clear();
    route_digest(&item)
}

/// Returns the digest of an account. Its source is excluded, because nodes don't receive it.
pub fn account_digest(account: &AccountItem) -> u64 {
    if account.source.is_empty() {
        return xxh3_64_with_seed(&account.encode_to_vec(), ACCOUNT_SEED);
    }
    let mut item = account.clone();
    item.source.clear();
    account_digest(&item)
}

/// Returns the digest of an upstream.
pub fn upstream_digest(upstream: &UpstreamItem) -> u64 {
    xxh3_64_with_seed(&upstream.encode_to_vec(), UPSTREAM_SEED)
}

/// Returns the digest of the item that a change inserts or updates; zero for removals, limits and
/// the manifest version.
pub fn change_digest(change: &CatalogChange) -> u64 {
    match &change.kind {
        Some(catalog_change::Kind::UpsertService(service)) => service_digest(service),
        Some(catalog_change::Kind::UpsertRoute(route)) => route_digest(route),
        Some(catalog_change::Kind::UpsertUpstream(upstream)) => upstream_digest(upstream),
        Some(catalog_change::Kind::UpsertAccount(account)) => account_digest(account),
        _ => 0,
    }
}
