//! A complete configuration session. It runs the decision code of voters and nodes, which are
//! connected by an in-memory queue.

mod support;

use support::session::ConfigSession;

/// Guards against unintended changes in the decisions of voters and nodes, from the first manifest
/// to the end of a partition. The session contains a submission through a follower, deltas, a node
/// that starts late, the loss of the leader, a manifest that is submitted again because its first
/// answer was lost, and a stale voter, which must not welcome a node.
#[test]
fn decisions_follow_the_recorded_session() {
    let mut session = ConfigSession::new(3);
    session.record_event("three voters with empty folders start");
    session.advance(3_000);
    let leader = session.leader();
    let [follower, other] = [1, 2].map(|offset| (leader + offset) % 3);

    session.start_node("node-1", &[follower, other]);
    session.start_node("node-2", &[leader, other]);
    session.advance(500);
    session.submit(follower, 1, "/booking");
    session.advance(500);
    session.submit(follower, 2, "/book");
    session.advance(500);

    session.start_node("node-3", &[other, leader]);
    session.advance(500);

    session.submit_and_lose_leader(follower, 3, "/reserve");
    session.advance(9_000);
    session.submit(other, 3, "/reserve");
    session.advance(300);
    session.submit(other, 3, "/something-else");
    session.advance(300);
    session.restore(leader);
    session.advance(3_000);

    let leader = session.leader();
    let [submitter, stale] = [1, 2].map(|offset| (leader + offset) % 3);
    session.isolate(stale);
    session.submit(submitter, 4, "/order");
    session.advance(500);
    session.start_node("node-4", &[stale]);
    session.advance(3_500);
    session.reconnect(stale);
    session.advance(6_000);
    session.assert_converged(4);
    insta::assert_snapshot!("session", session.transcript);
}
