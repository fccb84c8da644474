//! The manifest that operators submit.
//!
//! [`ManifestDocument::parse`] checks the text whole: either every service and route is usable or
//! the manifest is refused with one [`ManifestError`] that names the place. The parsed document
//! is canonical (services, routes and patterns sorted by name), so the digest of the content does
//! not depend on the order of fields, list items or white space.

mod check;
mod error;
mod object;

use kumquatlock_wire::distribution::{RouteItem, ServiceItem, WireClass};
use prost::Message;
use serde::Deserialize;

pub use error::{ManifestError, ManifestFault};
use object::ObjectOf;

use crate::core::{RequestClass, stable_hash};

/// Largest manifest text, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 1024 * 1024;
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
    /// Services sorted by name, each with sorted patterns.
    pub services: Vec<ServiceItem>,
    /// Routes sorted by name. Every route's service is in `services`.
    pub routes: Vec<RouteItem>,
    /// Digest of services and routes; the version is not part of it.
    pub digest: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestText {
    version: u64,
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
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteText {
    name: String,
    host: Option<String>,
    prefix: String,
    class: RequestClass,
    service: String,
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
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let ObjectOf(parsed) = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| ManifestError::from_json(&error.path().to_string(), error.inner()))?;
        deserializer
            .end()
            .map_err(|error| ManifestError::from_json("", &error))?;
        check::check_manifest(&parsed)?;
        Ok(ManifestDocument::canonical(parsed))
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
                }
            })
            .collect();
        services.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let mut routes: Vec<RouteItem> = text
            .routes
            .into_iter()
            .map(|route| RouteItem {
                name: route.name,
                host: route.host.unwrap_or_default(),
                prefix: route.prefix,
                class: WireClass::from(route.class) as i32,
                service: route.service,
            })
            .collect();
        routes.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let digest = content_digest(&services, &routes);
        ManifestDocument {
            version: text.version,
            services,
            routes,
            digest,
        }
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
