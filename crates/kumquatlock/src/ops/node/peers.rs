//! Links to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::Body;

use crate::call::PeerNode;
use crate::core::{SharedName, Timestamp};
use crate::transport::{LinkId, LinkScope, LinkTable};

/// A link that carried nothing for this long is closed. A connection that something on the way
/// has lost track of is thus rarely used again, and a new one proves itself by connecting.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// How long the address of a node is known after it left the configuration. It hands its claims
/// over for at most 10 s from then on.
const DEPARTED_LIMIT: Duration = Duration::from_secs(15);
/// Bound on the nodes that left whose addresses are known. Beyond it, the oldest are forgotten
/// and the holders go on without their answers.
const MAX_DEPARTED: usize = 1_024;

/// Addresses of nodes that the configuration no longer names.
#[derive(Debug, Default)]
pub(super) struct DepartedNodes {
    /// With the time of leaving, oldest first.
    nodes: IndexMap<SharedName, (Timestamp, PeerNode)>,
}

impl DepartedNodes {
    /// Remembers a node that left.
    pub(super) fn insert(&mut self, now: Timestamp, node: PeerNode) {
        self.nodes
            .retain(|_, (left_at, _)| now.since(*left_at) < DEPARTED_LIMIT);
        if self.nodes.len() >= MAX_DEPARTED {
            self.nodes.shift_remove_index(0);
        }
        self.nodes.insert(node.name.clone(), (now, node));
    }

    /// The node, if it left recently.
    pub(super) fn get(&self, now: Timestamp, name: &str) -> Option<&PeerNode> {
        let (left_at, node) = self.nodes.get(name)?;
        (now.since(*left_at) < DEPARTED_LIMIT).then_some(node)
    }
}

/// Interval at which a node that did not answer is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Nodes whose links ended by silence or could not be opened. Until a link opens again, no call is
/// sent there: one that must not run twice would have an unknown outcome.
#[derive(Debug, Default)]
pub(super) struct LostNodes {
    /// With the time of the next try. At most one for each upstream of the configuration.
    nodes: IndexMap<SharedName, Timestamp>,
}

impl LostNodes {
    pub(super) fn insert(&mut self, now: Timestamp, name: SharedName) {
        self.nodes.insert(name, now + RETRY_INTERVAL);
    }

    /// The node answers again, or is not known any more.
    pub(super) fn remove(&mut self, name: &str) {
        self.nodes.swap_remove(name);
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &SharedName> {
        self.nodes.keys()
    }

    /// Nodes to try now; each is due again after the interval.
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

/// The links that this node opened to other nodes, one per address.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    links: IndexMap<LinkId, PeerLink>,
    /// Inverse of `links`.
    by_address: IndexMap<SocketAddr, LinkId>,
}

impl PeerLinks {
    /// Sends over the link to a node, opening it first if there is none.
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
                // Another upstream took over the address.
                peer.name = to.name.clone();
            }
        }
        table.send(link, body, ticket);
    }

    /// Opens a link to a node unless there is one.
    pub(super) fn try_open(&mut self, now: Timestamp, table: &mut LinkTable, to: &PeerNode) {
        let held = self.by_address.get(&to.address);
        if !held.is_some_and(|link| table.is_open(*link)) {
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

    /// The links with the names of their nodes.
    pub(super) fn iter(&self) -> impl Iterator<Item = (LinkId, &SharedName)> {
        self.links.iter().map(|(link, peer)| (*link, &peer.name))
    }

    /// Name of the node that a link leads to.
    pub(super) fn name(&self, link: LinkId) -> Option<SharedName> {
        self.links.get(&link).map(|peer| peer.name.clone())
    }

    /// Forgets a closed link and returns the name of its node.
    pub(super) fn remove(&mut self, link: LinkId) -> Option<SharedName> {
        let peer = self.links.swap_remove(&link)?;
        if self.by_address.get(&peer.address) == Some(&link) {
            self.by_address.swap_remove(&peer.address);
        }
        Some(peer.name)
    }

    /// Links that carried nothing for long and that nobody waits for.
    pub(super) fn idle(&self, now: Timestamp, is_awaited: impl Fn(&str) -> bool) -> Vec<LinkId> {
        let links = self.links.iter();
        links
            .filter(|(_, peer)| now.since(peer.used_at) >= IDLE_LIMIT && !is_awaited(&peer.name))
            .map(|(link, _)| *link)
            .collect()
    }

    /// Number of links.
    pub(super) fn len(&self) -> usize {
        self.links.len()
    }
}
