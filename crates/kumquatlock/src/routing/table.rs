//! Route matching by host and path.

use std::borrow::Cow;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::core::{ConfigSnapshot, RouteEntry, SharedName};

/// The routes of one snapshot, indexed by host and prefix.
///
/// A lookup costs one map access per path segment, regardless of the number of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes limited to a host, by lower-case host.
    hosts: IndexMap<SharedName, PrefixTable>,
    any_host: PrefixTable,
}

#[derive(Clone, Debug, Default)]
struct PrefixTable {
    /// Prefixes have no trailing slash, so the root is the empty string.
    prefixes: IndexMap<SharedName, Arc<RouteEntry>>,
    max_prefix_bytes: usize,
}

impl RouteTable {
    /// Builds the index of the routes of `snapshot`.
    pub fn new(snapshot: &ConfigSnapshot) -> Self {
        let mut table = RouteTable::default();
        for route in snapshot.routes.values() {
            let prefixes = if route.host.is_empty() {
                &mut table.any_host
            } else {
                table.hosts.entry(host_key(&route.host)).or_default()
            };
            prefixes.insert(route);
        }
        table
    }

    /// Returns the route with the longest prefix that ends at a segment boundary of `path`.
    ///
    /// Routes limited to `host` take precedence over routes for any host, even with a shorter
    /// prefix. A route with `below_prefix_only` does not match the prefix itself. `host` may
    /// include a port and `path` a query. A path with a dot segment matches no route, because an
    /// upstream that resolves it might run the request under another route's class.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let end = path.find(['?', '#']).unwrap_or(path.len());
        let path = &path[..end];
        if has_dot_segment(path) {
            return None;
        }
        self.hosts
            .get(&*normalized_host(host))
            .and_then(|prefixes| prefixes.find(path))
            .or_else(|| self.any_host.find(path))
    }
}

impl PrefixTable {
    /// Adds a route. Of two routes with equal prefixes, which a validated manifest does not
    /// contain, the one with the lower name is kept, so that all nodes choose the same route.
    fn insert(&mut self, route: &Arc<RouteEntry>) {
        let prefix = route.prefix.trim_end_matches('/');
        self.max_prefix_bytes = self.max_prefix_bytes.max(prefix.len());
        let existing = self
            .prefixes
            .entry(prefix.into())
            .or_insert_with(|| route.clone());
        if route.name < existing.name {
            *existing = route.clone();
        }
    }

    fn find(&self, full_path: &str) -> Option<&Arc<RouteEntry>> {
        let path = full_path.trim_end_matches('/');
        let mut end = path.len();
        loop {
            if end <= self.max_prefix_bytes
                && let Some(route) = self.prefixes.get(&path[..end])
                && (end < full_path.len() || !route.below_prefix_only)
            {
                return Some(route);
            }
            if end == 0 {
                return None;
            }
            end = path[..end].rfind('/').unwrap_or(0);
        }
    }
}

fn host_key(host: &str) -> SharedName {
    SharedName::from(&*normalized_host(host))
}

/// Removes the port and the trailing dot, and converts the host to lower case.
fn normalized_host(host: &str) -> Cow<'_, str> {
    let name = match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let mut rest = segment;
        let mut dots = 0;
        loop {
            if let Some(after) = rest.strip_prefix('.') {
                rest = after;
            } else if rest.len() >= 3 && rest.as_bytes()[..3].eq_ignore_ascii_case(b"%2e") {
                rest = &rest[3..];
            } else {
                break;
            }
            dots += 1;
        }
        rest.is_empty() && (dots == 1 || dots == 2)
    })
}
