//! Outbound links to the other voters.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::distribution::ParentLocation;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::core::{SharedName, Timestamp, address_from_name};
use crate::transport::LinkId;

/// Range of the delay before the next connection attempt, in milliseconds. Short compared with the
/// election timeout, so that a restarted voter is connected before it starts an election.
const RECONNECT_DELAY_MS: std::ops::RangeInclusive<u64> = 50..=250;

/// Time in which an attempt to connect to a peer that is up succeeds: slightly more than a round
/// trip between regions.
const CONNECT_TIME: Duration = Duration::from_millis(70);

/// Time after which an attempt to connect to a peer that is known to be up is abandoned: it must
/// have started before the peer was up. Slightly more than two round trips between regions.
const CONNECT_STALL_TIMEOUT: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    link: Option<LinkId>,
    is_connected: bool,
    dialed_at: Timestamp,
    /// Time at which the peer last connected to this instance, while the link to it is not
    /// connected.
    reachable_at: Option<Timestamp>,
    retry_at: Timestamp,
    /// Location that the peer has reported; `None` before its first greeting.
    location: Option<ParentLocation>,
    /// Time until which a peer that contacted this instance is kept even if it is not a link
    /// target.
    kept_until: Timestamp,
}

impl PeerLink {
    fn new(address: SocketAddr) -> Self {
        PeerLink {
            address,
            link: None,
            is_connected: false,
            dialed_at: Timestamp::default(),
            reachable_at: None,
            retry_at: Timestamp::default(),
            location: None,
            kept_until: Timestamp::default(),
        }
    }
}

/// How long an instance that has contacted this one is kept as a peer without being a link target
/// of the group.
const CONTACT_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of peers of an open group. Beyond it, instances that contact this one are not
/// added as peers.
const MAX_PEERS: usize = 128;

/// Outbound links, one per peer, on which this voter sends. Messages of a peer arrive on the link
/// that the peer has opened.
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

    /// Adds an instance that contacted this one as a peer of the open group, or extends the time
    /// for which it is kept.
    pub(super) fn add_contact(&mut self, now: Timestamp, name: &str) {
        let Some(address) = address_from_name(name) else {
            return;
        };
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(name) {
            return;
        }
        let peer = self.peers.entry(name.into());
        let peer = peer.or_insert_with(|| PeerLink::new(address));
        peer.kept_until = now + CONTACT_RETENTION;
    }

    /// Sets the instances to which an open group needs links. Returns the links of the peers that
    /// were removed.
    pub(super) fn set_targets(&mut self, now: Timestamp, targets: &[SharedName]) -> Vec<LinkId> {
        for name in targets {
            if let (false, Some(address)) = (self.peers.contains_key(name), address_from_name(name))
            {
                self.peers.insert(name.clone(), PeerLink::new(address));
            }
        }
        let mut dropped = Vec::new();
        self.peers.retain(|name, peer| {
            let is_kept = peer.kept_until > now || targets.contains(name);
            if !is_kept {
                dropped.extend(peer.link);
            }
            is_kept
        });
        dropped
    }

    /// Returns the peers to which to connect now.
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

    /// Abandons the connection attempts to peers that are up but have not answered, and returns
    /// their links. If the first packet was sent while the instance was down, TCP repeats it
    /// only after a second.
    pub(super) fn take_stalled(&mut self, now: Timestamp) -> Vec<LinkId> {
        let mut stalled = Vec::new();
        for peer in self.peers.values_mut().filter(|peer| !peer.is_connected) {
            let Some(reachable_at) = peer.reachable_at else {
                continue;
            };
            // The peer would have answered an attempt that began so long before it was heard of.
            let is_lost = peer.link.is_some() && reachable_at.since(peer.dialed_at) >= CONNECT_TIME;
            let is_overdue = now.since(reachable_at.max(peer.dialed_at)) >= CONNECT_STALL_TIMEOUT;
            if is_lost || is_overdue {
                stalled.extend(peer.link.take());
                peer.retry_at = now;
            }
        }
        stalled
    }

    pub(super) fn set_connected(&mut self, name: &str, link: LinkId) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_connected = peer.link == Some(link);
            if peer.is_connected {
                peer.reachable_at = None;
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

    /// Records that the peer is up, so that the next connection attempt does not wait.
    pub(super) fn set_reachable(&mut self, now: Timestamp, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.retry_at = now;
            peer.reachable_at = (!peer.is_connected).then_some(now);
        }
    }

    pub(super) fn set_location(&mut self, name: &str, location: ParentLocation) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.location = Some(location);
        }
    }

    /// Returns the location of the peer, if it is known.
    pub(super) fn location(&self, name: &str) -> Option<&ParentLocation> {
        self.peers.get(name)?.location.as_ref()
    }

    /// Returns the link to a peer, if it is connected.
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
