//! The manifest: the configuration of services and routes that operators submit.
//!
//! [`ManifestDocument::parse`] validates the whole text. Either every service and route is usable,
//! or the manifest is refused with a [`ManifestError`] that contains the location of the fault. The
//! parsed document is canonical (services, routes and patterns are sorted by name), so the digest
//! of its content does not depend on the order of fields and list items or on white space.

mod check;
mod error;
mod object;

use bytes::Bytes;
use kumquatlock_wire::distribution::{
    AccountItem, LimitsItem, RouteItem, ServiceItem, SplitItem, WireClass,
};
use prost::Message;
use serde::Deserialize;

pub use error::{ManifestError, ManifestFault};
use object::JsonObject;

use crate::core::{KeyDigest, RequestClass, stable_hash};

/// Maximum size of a manifest text, in bytes. Room for more than 10,000 routes with their sources.
pub const MAX_MANIFEST_BYTES: usize = 8 * 1024 * 1024;
/// Maximum timeout of a route, in milliseconds: ten minutes.
pub const MAX_ROUTE_TIMEOUT_MS: u32 = 600_000;
/// A manifest is refused if a route's target latency exceeds its timeout by this many milliseconds
/// or more.
pub const MAX_TARGET_EXCESS_MS: u32 = 60_000;
/// Maximum number of services among which one route is split.
pub const MAX_SPLIT_PARTS: usize = 64;
/// Maximum number of services in a manifest.
pub const MAX_SERVICES: usize = 1_000;
/// Maximum number of routes in a manifest.
pub const MAX_ROUTES: usize = 20_000;
/// Maximum number of client accounts in a manifest. Twice the design target.
pub const MAX_ACCOUNTS: usize = 20_000;
/// Maximum number of API keys of one account.
pub const MAX_ACCOUNT_KEYS: usize = 64;
/// Maximum length of an API key, in bytes.
pub const MAX_API_KEY_BYTES: usize = 512;
/// Maximum quota of an account, in requests per second, and its maximum burst, in requests.
pub const MAX_QUOTA: f64 = 1e9;
/// Maximum number of upstream patterns of one service.
pub const MAX_PATTERNS: usize = 64;
/// Maximum length of the name of a service, route, upstream, zone or region, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a host, in bytes. This is the limit of DNS.
pub const MAX_HOST_BYTES: usize = 253;
/// Maximum length of a path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;

/// A valid manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestDocument {
    /// Version that the operator gave; at least 1.
    pub version: u64,
    /// Version on which the manifest is based. The manifest is accepted only while this is the
    /// newest accepted version. `None` if the manifest may follow any version.
    pub follows: Option<u64>,
    /// Limits for callers; `None` if the manifest sets no limits.
    pub limits: Option<LimitsItem>,
    /// Text from which a pipeline generated the manifest, apart from the source texts of its items.
    /// It is stored and returned unchanged. Empty if the manifest has none.
    pub source: Bytes,
    /// Services, sorted by name. The patterns of each service are sorted too.
    pub services: Vec<ServiceItem>,
    /// Routes, sorted by name. `services` contains the services of every route.
    pub routes: Vec<RouteItem>,
    /// Client accounts, sorted by name. No two of them have a key in common. Empty if the manifest has
    /// no table of accounts; [`AccountItem::empty_table`] if the table has none.
    pub accounts: Vec<AccountItem>,
    /// Digest of the content, which does not include the version.
    pub digest: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawManifest {
    version: u64,
    follows: Option<u64>,
    limits: Option<RawLimits>,
    source: Option<String>,
    #[serde(deserialize_with = "object::read_objects")]
    services: Vec<RawService>,
    #[serde(deserialize_with = "object::read_objects")]
    routes: Vec<RawRoute>,
    /// `None` if no request needs a key. With an empty list every request needs one, and none is
    /// valid.
    #[serde(default, deserialize_with = "object::read_some_objects")]
    accounts: Option<Vec<RawAccount>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAccount {
    name: String,
    #[serde(default)]
    keys: Vec<String>,
    rank: Option<u32>,
    /// Requests per second.
    rate: Option<f64>,
    burst: Option<f64>,
    source: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: String,
    upstreams: Vec<String>,
    connections: Option<u32>,
    source: Option<String>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    header_bytes: u32,
    body_bytes: u64,
    header_timeout_ms: u32,
    idle_timeout_ms: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSplit {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    name: String,
    host: Option<String>,
    prefix: String,
    class: RequestClass,
    service: Option<String>,
    #[serde(default)]
    split: Vec<RawSplit>,
    timeout_ms: Option<u32>,
    target_ms: Option<u32>,
    rank: Option<u32>,
    attempts: Option<u32>,
    #[serde(default)]
    below: bool,
    #[serde(default)]
    public: bool,
    source: Option<String>,
}

impl RawRoute {
    /// Returns the service of the route, or the first service of its split.
    fn first_service(&self) -> Option<&str> {
        let split = self.split.first().map(|part| part.service.as_str());
        self.service.as_deref().or(split)
    }
}

impl ManifestDocument {
    /// Parses and validates a manifest.
    pub fn parse(text: &[u8]) -> Result<Self, ManifestError> {
        if text.len() > MAX_MANIFEST_BYTES {
            let fault = ManifestFault::TooLarge {
                limit: MAX_MANIFEST_BYTES,
            };
            return Err(ManifestError::at("$", fault));
        }
        let JsonObject(parsed) = match serde_json::from_slice(text) {
            Ok(parsed) => parsed,
            Err(_) => ManifestDocument::locate_error(text)?,
        };
        check::check_manifest(&parsed)?;
        Ok(ManifestDocument::from_raw(parsed))
    }

    /// Parses an invalid text again with tracking of the JSON path, to report the location of the
    /// fault.
    fn locate_error(text: &[u8]) -> Result<JsonObject<RawManifest>, ManifestError> {
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let parsed = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| ManifestError::from_json(&error.path().to_string(), error.inner()))?;
        deserializer
            .end()
            .map_err(|error| ManifestError::from_json("", &error))?;
        Ok(parsed)
    }

    fn from_raw(manifest: RawManifest) -> Self {
        let mut services: Vec<ServiceItem> = manifest
            .services
            .into_iter()
            .map(|service| {
                let mut patterns = service.upstreams;
                patterns.sort_unstable();
                ServiceItem {
                    name: service.name,
                    patterns,
                    connections: service.connections.unwrap_or_default(),
                    source: service.source.unwrap_or_default(),
                }
            })
            .collect();
        services.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let mut routes: Vec<RouteItem> = manifest.routes.into_iter().map(route_item).collect();
        routes.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let accounts = manifest.accounts.map_or_else(Vec::new, account_items);
        let limits = manifest.limits.map(|limits| LimitsItem {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        });
        let source = Bytes::from(manifest.source.unwrap_or_default());
        let mut digest = content_digest(&services, &routes);
        if limits.is_some() || manifest.follows.is_some() || !source.is_empty() {
            let mut content = digest.to_le_bytes().to_vec();
            content.extend(manifest.follows.map_or(0, |base| base + 1).to_le_bytes());
            content.extend(limits.unwrap_or_default().encode_length_delimited_to_vec());
            content.extend(&source);
            digest = stable_hash(&content);
        }
        if !accounts.is_empty() {
            let mut content = digest.to_le_bytes().to_vec();
            for account in &accounts {
                content.extend(account.encode_length_delimited_to_vec());
            }
            digest = stable_hash(&content);
        }
        ManifestDocument {
            version: manifest.version,
            follows: manifest.follows,
            limits,
            source,
            services,
            routes,
            accounts,
            digest,
        }
    }
}

fn account_items(accounts: Vec<RawAccount>) -> Vec<AccountItem> {
    if accounts.is_empty() {
        return vec![AccountItem::empty_table()];
    }
    let mut items: Vec<AccountItem> = accounts.into_iter().map(account_item).collect();
    items.sort_unstable_by(|left, right| left.name.cmp(&right.name));
    items
}

fn account_item(account: RawAccount) -> AccountItem {
    let keys = account.keys.iter();
    let mut digests: Vec<Bytes> = keys
        .map(|key| Bytes::copy_from_slice(KeyDigest::of(key.as_bytes()).as_bytes()))
        .collect();
    digests.sort_unstable();
    AccountItem {
        name: account.name,
        key_digests: digests,
        rank: account.rank,
        quota_millis: quota_millis(account.rate.unwrap_or_default()),
        burst: account.burst.unwrap_or_default() as u64,
        source: account.source.unwrap_or_default(),
    }
}

/// Converts requests per second to requests in 1,000 s. Zero, which is no limit, remains zero, and no
/// other rate becomes zero. The rate is checked to be finite and not negative, and is bounded.
fn quota_millis(rate: f64) -> u64 {
    let millis = (rate * 1_000.0).round() as u64;
    millis.max(u64::from(rate > 0.0))
}

fn route_item(route: RawRoute) -> RouteItem {
    let service = route.first_service().unwrap_or_default().to_owned();
    let split = route.split.into_iter().map(|part| SplitItem {
        service: part.service,
        weight: part.weight,
    });
    RouteItem {
        name: route.name,
        host: route.host.unwrap_or_default(),
        prefix: route.prefix,
        class: WireClass::from(route.class) as i32,
        service,
        timeout_ms: route.timeout_ms.unwrap_or_default(),
        target_ms: route.target_ms.unwrap_or_default(),
        rank: route.rank.unwrap_or_default(),
        attempts: route.attempts.unwrap_or_default(),
        split: split.collect(),
        below: route.below,
        public: route.public,
        source: route.source.unwrap_or_default(),
    }
}

/// Returns the digest of services and routes. The items are length-delimited, so that the digest
/// also depends on the boundaries between them.
fn content_digest(services: &[ServiceItem], routes: &[RouteItem]) -> u64 {
    let mut content = Vec::new();
    for service in services {
        content.extend(service.encode_length_delimited_to_vec());
    }
    // An empty item separates the two lists, because no service or route encodes to zero bytes.
    content.push(0);
    for route in routes {
        content.extend(route.encode_length_delimited_to_vec());
    }
    stable_hash(&content)
}

/// Whether `name` consists of 1 to [`MAX_NAME_BYTES`] characters of `[a-z0-9-.]`.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && has_only_name_chars(name)
}

fn has_only_name_chars(text: &str) -> bool {
    text.bytes()
        .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.'))
}

#[cfg(test)]
mod tests;
