//! Tests of the links to other control instances.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::peers::PeerLinks;
use crate::core::Timestamp;
use crate::transport::LinkId;

const PEER: &str = "voter-2";

/// Links to one peer that is being connected to since zero.
fn dialing() -> PeerLinks {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut peers = PeerLinks::new([(PEER.into(), address)].into_iter());
    assert_eq!(peers.due(Timestamp(0)).len(), 1);
    peers.set_connecting(Timestamp(0), PEER, LinkId(1));
    peers
}

/// Guards against a voter that waits for a second for a peer that started after it was dialed: the
/// first packet to a machine that is down is lost, and after a power loss that delays the leader.
#[test]
fn a_link_dialed_too_early_is_dialed_again_once_the_peer_is_heard() {
    let mut peers = dialing();
    let heard = Timestamp::from_millis(100);
    peers.set_heard(heard, PEER);
    let soon = heard + Duration::from_millis(149);
    assert_eq!(peers.take_stuck(soon), []);
    let later = heard + Duration::from_millis(150);
    assert_eq!(peers.take_stuck(later), [LinkId(1)]);
    assert_eq!(peers.due(later).len(), 1);
    // The end of the link that was given up changes nothing.
    peers.set_closed(later, PEER, LinkId(1), &mut SmallRng::seed_from_u64(1));
    assert_eq!(peers.due(later).len(), 1);
}

/// Guards against links that are given up though nothing shows that the peer is up, or though they
/// are connected.
#[test]
fn other_links_are_left_alone() {
    let late = Timestamp::from_millis(900);
    assert_eq!(dialing().take_stuck(late), []);
    let mut peers = dialing();
    peers.set_heard(Timestamp::from_millis(100), PEER);
    peers.set_connected(PEER, LinkId(1));
    assert_eq!(peers.take_stuck(late), []);
    peers.set_heard(late, PEER);
    assert_eq!(peers.take_stuck(late + Duration::from_secs(1)), []);
}
