//! Outbound links to the other voters.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::core::{SharedName, Timestamp, address_from_name};
use crate::transport::LinkId;

/// Bounds of the delay before the next connection attempt, in milliseconds. Short against the
/// election timeout, so that a restarted voter is heard before it disturbs the group.
const RECONNECT_DELAY_MS: std::ops::RangeInclusive<u64> = 50..=250;

/// Time after which an attempt to connect to a peer that is known to be up went to it before it
/// was. Twice a round trip between regions, and some.
const STUCK_AFTER: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    link: Option<LinkId>,
    is_connected: bool,
    dialed_at: Timestamp,
    /// When the peer connected to this instance, while the link to it is not connected.
    heard_at: Option<Timestamp>,
    retry_at: Timestamp,
    /// Region by the peer's own word; none before its first greeting.
    region: Option<SharedName>,
    /// A peer that turned to this instance is kept until then, even if the group does not name it.
    guest_until: Timestamp,
}

impl PeerLink {
    fn new(address: SocketAddr) -> Self {
        PeerLink {
            address,
            link: None,
            is_connected: false,
            dialed_at: Timestamp::default(),
            heard_at: None,
            retry_at: Timestamp::default(),
            region: None,
            guest_until: Timestamp::default(),
        }
    }
}

/// How long an instance that asked to join is kept as a peer without being named by the group.
const GUEST_LIMIT: Duration = Duration::from_secs(5);
/// Bound on the peers of an open group.
const MAX_PEERS: usize = 128;

/// One link per peer, on which this voter sends. Answers arrive on the peer's own link.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    peers: IndexMap<SharedName, PeerLink>,
}

impl PeerLinks {
    pub(super) fn new(peers: impl Iterator<Item = (SharedName, SocketAddr)>) -> Self {
        PeerLinks {
            peers: peers
                .map(|(name, address)| (name, PeerLink::new(address)))
                .collect(),
        }
    }

    /// Adds a peer of an open group that turned to this instance.
    pub(super) fn add_guest(&mut self, now: Timestamp, name: &str) {
        let Some(address) = address_from_name(name) else {
            return;
        };
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(name) {
            return;
        }
        let peer = self.peers.entry(name.into());
        let peer = peer.or_insert_with(|| PeerLink::new(address));
        peer.guest_until = now + GUEST_LIMIT;
    }

    /// Takes over the members of an open group. Returns the links of peers that are none any more.
    pub(super) fn follow(&mut self, now: Timestamp, members: &[SharedName]) -> Vec<LinkId> {
        for name in members {
            if let (false, Some(address)) = (self.peers.contains_key(name), address_from_name(name))
            {
                self.peers.insert(name.clone(), PeerLink::new(address));
            }
        }
        let mut dropped = Vec::new();
        self.peers.retain(|name, peer| {
            let is_kept = peer.guest_until > now || members.contains(name);
            if !is_kept {
                dropped.extend(peer.link);
            }
            is_kept
        });
        dropped
    }

    /// Peers to connect to now.
    pub(super) fn due(&self, now: Timestamp) -> Vec<(SharedName, SocketAddr)> {
        let is_due = |peer: &PeerLink| peer.link.is_none() && peer.retry_at <= now;
        let due = self.peers.iter().filter(|(_, peer)| is_due(peer));
        due.map(|(name, peer)| (name.clone(), peer.address))
            .collect()
    }

    pub(super) fn set_connecting(&mut self, now: Timestamp, name: &str, link: LinkId) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.link = Some(link);
            peer.is_connected = false;
            peer.dialed_at = now;
        }
    }

    /// Gives up the links to peers that are up and have not answered: a first packet to a machine
    /// that is down is repeated only after a second.
    pub(super) fn take_stuck(&mut self, now: Timestamp) -> Vec<LinkId> {
        let mut stuck = Vec::new();
        for peer in self.peers.values_mut().filter(|peer| !peer.is_connected) {
            let Some(heard_at) = peer.heard_at else {
                continue;
            };
            if now.since(heard_at.max(peer.dialed_at)) >= STUCK_AFTER {
                stuck.extend(peer.link.take());
                peer.retry_at = now;
            }
        }
        stuck
    }

    pub(super) fn set_connected(&mut self, name: &str, link: LinkId) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_connected = peer.link == Some(link);
            if peer.is_connected {
                peer.heard_at = None;
            }
        }
    }

    pub(super) fn set_closed(
        &mut self,
        now: Timestamp,
        name: &str,
        link: LinkId,
        random: &mut SmallRng,
    ) {
        if let Some(peer) = self.peers.get_mut(name)
            && peer.link == Some(link)
        {
            peer.link = None;
            peer.is_connected = false;
            peer.retry_at = now + Duration::from_millis(random.random_range(RECONNECT_DELAY_MS));
        }
    }

    /// The peer is up, so the next attempt need not wait.
    pub(super) fn set_heard(&mut self, now: Timestamp, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.retry_at = now;
            peer.heard_at = (!peer.is_connected).then_some(now);
        }
    }

    pub(super) fn set_region(&mut self, name: &str, region: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.region = Some(region.into());
        }
    }

    /// Region of the peer, if it is known.
    pub(super) fn region(&self, name: &str) -> Option<&SharedName> {
        self.peers.get(name)?.region.as_ref()
    }

    /// The link of a connected peer.
    pub(super) fn link(&self, name: &str) -> Option<LinkId> {
        let peer = self.peers.get(name)?;
        peer.link.filter(|_| peer.is_connected)
    }

    pub(super) fn is_peer(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    pub(super) fn connected_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.is_connected).count()
    }
}
