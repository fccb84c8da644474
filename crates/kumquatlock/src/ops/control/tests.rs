//! Tests of the links to other control instances.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::peers::PeerLinks;
use crate::core::Timestamp;
use crate::transport::LinkId;

const PEER: &str = "voter-2";

/// Returns links with one peer, to which a connection attempt started at time zero.
fn connecting_links() -> PeerLinks {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut peers = PeerLinks::new([(PEER.into(), address)].into_iter());
    assert_eq!(peers.due(Timestamp(0)).len(), 1);
    peers.set_connecting(Timestamp(0), PEER, LinkId(1));
    peers
}

/// Guards against a voter that waits a second for a peer that started after the connection attempt.
/// The first packet to an instance that is down is lost and repeated only after a second. After a
/// power loss, that delays the election of a leader.
#[test]
fn a_connection_attempt_before_the_peer_is_up_is_repeated_early() {
    // A peer that was up when the attempt began would have answered it before.
    let mut peers = connecting_links();
    let reachable_at = Timestamp::from_millis(70);
    peers.set_reachable(reachable_at, PEER);
    assert_eq!(peers.take_stalled(reachable_at), [LinkId(1)]);
    assert_eq!(peers.due(reachable_at).len(), 1);

    // The answer may still be on its way.
    let mut peers = connecting_links();
    let reachable_at = Timestamp::from_millis(69);
    peers.set_reachable(reachable_at, PEER);
    let soon = reachable_at + Duration::from_millis(149);
    assert_eq!(peers.take_stalled(soon), []);
    let later = reachable_at + Duration::from_millis(150);
    assert_eq!(peers.take_stalled(later), [LinkId(1)]);
    assert_eq!(peers.due(later).len(), 1);
    // Closing the abandoned link does not change the new attempt.
    peers.set_closed(later, PEER, LinkId(1), &mut SmallRng::seed_from_u64(1));
    assert_eq!(peers.due(later).len(), 1);
}

/// Guards against abandoning a connection attempt to a peer that is not known to be up, and against
/// abandoning an established link.
#[test]
fn attempts_to_silent_peers_and_connected_links_are_kept() {
    let late = Timestamp::from_millis(900);
    assert_eq!(connecting_links().take_stalled(late), []);
    let mut peers = connecting_links();
    peers.set_reachable(Timestamp::from_millis(100), PEER);
    peers.set_connected(PEER, LinkId(1));
    assert_eq!(peers.take_stalled(late), []);
    peers.set_reachable(late, PEER);
    assert_eq!(peers.take_stalled(late + Duration::from_secs(1)), []);
}
