//! Outbound links to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::Body;

use crate::call::PeerNode;
use crate::core::{SharedName, Timestamp};
use crate::transport::{LinkId, LinkScope, LinkTable};

/// A link over which nothing was sent for this long is closed. This makes it unlikely that a call
/// is sent over a connection that a device on the path has dropped from its tables. Opening a
/// new link instead shows whether the path works.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the address of a node is remembered after the node left the configuration. The node
/// hands over its claims for at most 10 s from then on.
const DEPARTED_RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of departed nodes whose addresses are remembered. Beyond it, the oldest are
/// dropped, and the claim holders continue without their answers.
const MAX_DEPARTED_NODES: usize = 1_024;

/// Nodes that have recently left the configuration, with their addresses.
#[derive(Debug, Default)]
pub(super) struct DepartedNodes {
    /// Nodes with the time at which each left, oldest first.
    nodes: IndexMap<SharedName, (Timestamp, PeerNode)>,
}

impl DepartedNodes {
    /// Adds a node that has left.
    pub(super) fn insert(&mut self, now: Timestamp, node: PeerNode) {
        self.nodes
            .retain(|_, (left_at, _)| now.since(*left_at) < DEPARTED_RETENTION);
        if self.nodes.len() >= MAX_DEPARTED_NODES {
            self.nodes.shift_remove_index(0);
        }
        self.nodes.insert(node.name.clone(), (now, node));
    }

    /// Returns the node if it left recently.
    pub(super) fn get(&self, now: Timestamp, name: &str) -> Option<&PeerNode> {
        let (left_at, node) = self.nodes.get(name)?;
        (now.since(*left_at) < DEPARTED_RETENTION).then_some(node)
    }
}

/// Interval between attempts to connect to an unreachable node.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Nodes whose links were lost or could not be opened. No call is sent to such a node until a link
/// to it opens, because a call that must not run twice could end with an unknown outcome.
#[derive(Debug, Default)]
pub(super) struct UnreachableNodes {
    /// Nodes with the time of the next attempt to connect. At most one per upstream of the
    /// configuration.
    nodes: IndexMap<SharedName, Timestamp>,
}

impl UnreachableNodes {
    pub(super) fn insert(&mut self, now: Timestamp, name: SharedName) {
        self.nodes.insert(name, now + RETRY_INTERVAL);
    }

    /// Removes a node that is reachable again or that the configuration no longer names.
    pub(super) fn remove(&mut self, name: &str) {
        self.nodes.swap_remove(name);
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &SharedName> {
        self.nodes.keys()
    }

    /// Returns the nodes to which to connect now; each is due again after [`RETRY_INTERVAL`].
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<SharedName> {
        let mut due = Vec::new();
        for (name, retry_at) in &mut self.nodes {
            if *retry_at <= now {
                *retry_at = now + RETRY_INTERVAL;
                due.push(name.clone());
            }
        }
        due
    }
}

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    name: SharedName,
    used_at: Timestamp,
}

/// Links that this node has opened to other nodes, one per address.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    links: IndexMap<LinkId, PeerLink>,
    /// Link of each address; the inverse of `links`.
    by_address: IndexMap<SocketAddr, LinkId>,
}

impl PeerLinks {
    /// Sends a message over the link to a node; opens the link first if there is none.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        table: &mut LinkTable,
        to: &PeerNode,
        body: Body,
        ticket: Option<u64>,
    ) {
        let link = match self.by_address.get(&to.address) {
            Some(link) if table.is_open(*link) => *link,
            _ => self.open(now, table, to),
        };
        if let Some(peer) = self.links.get_mut(&link) {
            peer.used_at = now;
            if peer.name != to.name {
                // Another node has taken over the address.
                peer.name = to.name.clone();
            }
        }
        table.send(link, body, ticket);
    }

    /// Opens a link to a node unless one is open.
    pub(super) fn ensure_open(&mut self, now: Timestamp, table: &mut LinkTable, to: &PeerNode) {
        let existing = self.by_address.get(&to.address);
        if !existing.is_some_and(|link| table.is_open(*link)) {
            self.open(now, table, to);
        }
    }

    fn open(&mut self, now: Timestamp, table: &mut LinkTable, to: &PeerNode) -> LinkId {
        let link = table.connect(now, to.address);
        let scope = match to.cross_region {
            true => LinkScope::CrossRegion,
            false => LinkScope::Region,
        };
        table.set_scope(link, scope);
        table.watch(now, link, true);
        let peer = PeerLink {
            address: to.address,
            name: to.name.clone(),
            used_at: now,
        };
        self.links.insert(link, peer);
        self.by_address.insert(to.address, link);
        link
    }

    /// Returns the links with the names of their nodes.
    pub(super) fn iter(&self) -> impl Iterator<Item = (LinkId, &SharedName)> {
        self.links.iter().map(|(link, peer)| (*link, &peer.name))
    }

    /// Returns the name of the node that a link leads to.
    pub(super) fn name(&self, link: LinkId) -> Option<SharedName> {
        self.links.get(&link).map(|peer| peer.name.clone())
    }

    /// Removes a closed link and returns the name of its node.
    pub(super) fn remove(&mut self, link: LinkId) -> Option<SharedName> {
        let peer = self.links.swap_remove(&link)?;
        if self.by_address.get(&peer.address) == Some(&link) {
            self.by_address.swap_remove(&peer.address);
        }
        Some(peer.name)
    }

    /// Returns the links that were not used for [`IDLE_TIMEOUT`] and on which no answer is awaited.
    pub(super) fn idle_links(
        &self,
        now: Timestamp,
        is_awaited: impl Fn(&str) -> bool,
    ) -> Vec<LinkId> {
        let links = self.links.iter();
        links
            .filter(|(_, peer)| now.since(peer.used_at) >= IDLE_TIMEOUT && !is_awaited(&peer.name))
            .map(|(link, _)| *link)
            .collect()
    }

    /// Returns the number of links.
    pub(super) fn len(&self) -> usize {
        self.links.len()
    }
}
