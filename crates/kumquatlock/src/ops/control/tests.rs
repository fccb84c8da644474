//! Tests of the links to other control instances, and of the threads for operators.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use stakker::sync::Channel;
use stakker::{Fwd, Stakker};

use super::http::{OperatorWorkers, WorkerResult};
use super::metrics::ControlMetrics;
use super::operator::{OperatorAdapter, OperatorRequest};
use super::peers::PeerLinks;
use crate::core::Timestamp;
use crate::http::{HttpRequest, RequestId};
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

/// Guards against a request that ends the threads for operators, so that the instance runs on but
/// accepts no manifest any more.
#[test]
fn a_panic_in_a_request_leaves_the_threads_for_later_ones() {
    const REQUESTS: usize = 8;
    let adapter = OperatorAdapter {
        read: |request| match request.target.as_str() {
            "/panic" => panic!("expected by the test"),
            _ => Ok(OperatorRequest::Metrics),
        },
        ..OperatorAdapter::default()
    };
    let mut stakker = Stakker::new(Instant::now());
    stakker.set_poll_waker(|| {});
    let statuses = Rc::new(RefCell::new(Vec::new()));
    let received = statuses.clone();
    let forward = Fwd::new(move |result: WorkerResult| match result {
        WorkerResult::Response { response, .. } => received.borrow_mut().push(response.status),
        WorkerResult::Call(_) => panic!("metrics are not passed to the actor"),
    });
    let (results, _guard) = Channel::new(&mut stakker, forward);
    let metrics = Arc::new(ControlMetrics::new());
    let mut workers = OperatorWorkers::start(adapter, &metrics, &results).unwrap();
    for number in 0..REQUESTS {
        let target = match number {
            0..4 => "/panic",
            _ => "/metrics",
        };
        let request = HttpRequest {
            method: "GET".into(),
            target: target.into(),
            ..HttpRequest::default()
        };
        workers.read(RequestId::default(), request);
    }
    let start = Instant::now();
    while statuses.borrow().len() < REQUESTS && start.elapsed() < Duration::from_secs(10) {
        stakker.poll_wake();
        stakker.run(Instant::now(), false);
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut statuses = statuses.take();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 200, 200, 503, 503, 503, 503]);
}
