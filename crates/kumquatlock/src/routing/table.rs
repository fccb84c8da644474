//! Route match by host and path.

use std::borrow::Cow;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::core::{ConfigSnapshot, RouteEntry, SharedName};

/// The routes of one snapshot, indexed by host and prefix.
///
/// A lookup costs one map probe for each segment of the path, whatever the number of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes limited to a host, by host in lower case.
    hosts: IndexMap<SharedName, PrefixTable>,
    any_host: PrefixTable,
}

#[derive(Clone, Debug, Default)]
struct PrefixTable {
    /// Prefixes carry no trailing slash, so the root is the empty string.
    prefixes: IndexMap<SharedName, Arc<RouteEntry>>,
    longest_bytes: usize,
}

impl RouteTable {
    /// Indexes the routes of `snapshot`.
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

    /// Finds the route with the longest prefix that ends on a segment boundary of `path`.
    ///
    /// Routes limited to `host` come before routes for any host, even with a shorter prefix.
    /// A route for paths below its prefix does not match the prefix itself. `host` may carry a port and
    /// `path` a query. A path with a dot segment has no route: an
    /// upstream that resolves it could run it under another route's class.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let end = path.find(['?', '#']).unwrap_or(path.len());
        let path = &path[..end];
        if has_dot_segment(path) {
            return None;
        }
        self.hosts
            .get(&*normal_host(host))
            .and_then(|prefixes| prefixes.find(path))
            .or_else(|| self.any_host.find(path))
    }
}

impl PrefixTable {
    /// Two routes with equal prefixes, which a checked manifest does not hold, resolve to the
    /// lower name, so that every proxy routes alike.
    fn insert(&mut self, route: &Arc<RouteEntry>) {
        let prefix = route.prefix.trim_end_matches('/');
        self.longest_bytes = self.longest_bytes.max(prefix.len());
        let held = self
            .prefixes
            .entry(prefix.into())
            .or_insert_with(|| route.clone());
        if route.name < held.name {
            *held = route.clone();
        }
    }

    fn find(&self, whole: &str) -> Option<&Arc<RouteEntry>> {
        let path = whole.trim_end_matches('/');
        let mut end = path.len();
        loop {
            if end <= self.longest_bytes
                && let Some(route) = self.prefixes.get(&path[..end])
                && (end < whole.len() || !route.below_prefix_only)
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
    SharedName::from(&*normal_host(host))
}

/// Removes the port and the final dot, and lowers the case.
fn normal_host(host: &str) -> Cow<'_, str> {
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
