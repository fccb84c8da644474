//! The manifest that operators submit.
//!
//! [`ManifestDocument::parse`] checks the text whole: either every service and route is usable or
//! the manifest is refused with one [`ManifestError`] that names the place. The parsed document
//! is canonical (services, routes and patterns sorted by name), so the digest of the content does
//! not depend on the order of fields, list items or white space.

mod check;
mod error;
mod object;

use bytes::Bytes;
use kumquatlock_wire::distribution::{LimitsItem, RouteItem, ServiceItem, SplitItem, WireClass};
use prost::Message;
use serde::Deserialize;

pub use error::{ManifestError, ManifestFault};
use object::ObjectOf;

use crate::core::{RequestClass, stable_hash};

/// Largest manifest text, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 1024 * 1024;
/// Longest timeout of a route, in milliseconds: ten minutes.
pub const MAX_ROUTE_TIMEOUT_MS: u32 = 600_000;
/// A target latency is less than this above the timeout of its route, in milliseconds.
pub const MAX_TARGET_EXCESS_MS: u32 = 60_000;
/// Most parts of one split route.
pub const MAX_SPLIT_PARTS: usize = 64;
/// Most services in a manifest.
pub const MAX_SERVICES: usize = 1_000;
/// Most routes in a manifest.
pub const MAX_ROUTES: usize = 5_000;
/// Most upstream patterns of one service.
pub const MAX_PATTERNS: usize = 64;
/// Longest name of a service, route, upstream, zone or region, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Longest host, in bytes; the bound of DNS.
pub const MAX_HOST_BYTES: usize = 253;
/// Longest path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;

/// A manifest that passed every check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestDocument {
    /// Version that the operator gave; at least 1.
    pub version: u64,
    /// Version that the manifest must follow; none if it may follow any.
    pub follows: Option<u64>,
    /// Limits of callers; none if the manifest states none.
    pub limits: Option<LimitsItem>,
    /// Text from which the pipeline made the manifest, beside the texts of its items; returned as
    /// it is. Empty if not stated.
    pub source: Bytes,
    /// Services sorted by name, each with sorted patterns.
    pub services: Vec<ServiceItem>,
    /// Routes sorted by name. Every route's service is in `services`.
    pub routes: Vec<RouteItem>,
    /// Digest of the content; the version is not part of it.
    pub digest: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestText {
    version: u64,
    follows: Option<u64>,
    limits: Option<LimitsText>,
    source: Option<String>,
    #[serde(deserialize_with = "object::read_objects")]
    services: Vec<ServiceText>,
    #[serde(deserialize_with = "object::read_objects")]
    routes: Vec<RouteText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceText {
    name: String,
    upstreams: Vec<String>,
    connections: Option<u32>,
    source: Option<String>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsText {
    header_bytes: u32,
    body_bytes: u64,
    header_timeout_ms: u32,
    idle_timeout_ms: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SplitText {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteText {
    name: String,
    host: Option<String>,
    prefix: String,
    class: RequestClass,
    service: Option<String>,
    #[serde(default)]
    split: Vec<SplitText>,
    timeout_ms: Option<u32>,
    target_ms: Option<u32>,
    rank: Option<u32>,
    attempts: Option<u32>,
    #[serde(default)]
    below: bool,
    source: Option<String>,
}

impl RouteText {
    /// The service, or the first one of a split.
    fn first_service(&self) -> Option<&str> {
        let split = self.split.first().map(|part| part.service.as_str());
        self.service.as_deref().or(split)
    }
}

impl ManifestDocument {
    /// Parses and checks a manifest.
    pub fn parse(text: &[u8]) -> Result<Self, ManifestError> {
        if text.len() > MAX_MANIFEST_BYTES {
            let fault = ManifestFault::TooLarge {
                limit: MAX_MANIFEST_BYTES,
            };
            return Err(ManifestError::at("$", fault));
        }
        let ObjectOf(parsed) = match serde_json::from_slice(text) {
            Ok(parsed) => parsed,
            Err(_) => ManifestDocument::find_fault(text)?,
        };
        check::check_manifest(&parsed)?;
        Ok(ManifestDocument::canonical(parsed))
    }

    /// Reads a text that is no manifest once more, to name the place of the fault.
    fn find_fault(text: &[u8]) -> Result<ObjectOf<ManifestText>, ManifestError> {
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let parsed = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| ManifestError::from_json(&error.path().to_string(), error.inner()))?;
        deserializer
            .end()
            .map_err(|error| ManifestError::from_json("", &error))?;
        Ok(parsed)
    }

    fn canonical(text: ManifestText) -> Self {
        let mut services: Vec<ServiceItem> = text
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
        let mut routes: Vec<RouteItem> = text.routes.into_iter().map(route_item).collect();
        routes.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let limits = text.limits.map(|limits| LimitsItem {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        });
        let source = Bytes::from(text.source.unwrap_or_default());
        let mut digest = content_digest(&services, &routes);
        if limits.is_some() || text.follows.is_some() || !source.is_empty() {
            let mut content = digest.to_le_bytes().to_vec();
            content.extend(text.follows.map_or(0, |base| base + 1).to_le_bytes());
            content.extend(limits.unwrap_or_default().encode_length_delimited_to_vec());
            content.extend(&source);
            digest = stable_hash(&content);
        }
        ManifestDocument {
            version: text.version,
            follows: text.follows,
            limits,
            source,
            services,
            routes,
            digest,
        }
    }
}

fn route_item(route: RouteText) -> RouteItem {
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
        source: route.source.unwrap_or_default(),
    }
}

/// Length-delimited items keep the boundary between two items part of the digest.
fn content_digest(services: &[ServiceItem], routes: &[RouteItem]) -> u64 {
    let mut content = Vec::new();
    for service in services {
        content.extend(service.encode_length_delimited_to_vec());
    }
    // An empty item separates the lists: no service or route encodes to zero bytes.
    content.push(0);
    for route in routes {
        content.extend(route.encode_length_delimited_to_vec());
    }
    stable_hash(&content)
}

/// Whether `name` is 1 to [`MAX_NAME_BYTES`] of `[a-z0-9-.]`.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && has_name_alphabet(name)
}

fn has_name_alphabet(text: &str) -> bool {
    text.bytes()
        .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.'))
}

#[cfg(test)]
mod tests;
