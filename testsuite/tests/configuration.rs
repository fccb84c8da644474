//! A whole configuration session, by the decisions of voters and nodes over an in-memory queue.

mod support;

use support::session::Session;

/// Guards against any change in what voters and nodes decide from the first manifest to the end
/// of a partition: a submission through a follower, deltas, a late node, a lost leader, a resend
/// whose first answer was lost, and a stale voter that must not welcome a node.
#[test]
fn session() {
    let mut session = Session::new(3);
    session.event("three voters with empty folders start");
    session.run(3_000);
    let leader = session.leader();
    let [follower, other] = [1, 2].map(|offset| (leader + offset) % 3);

    session.start_node("node-1", &[follower, other]);
    session.start_node("node-2", &[leader, other]);
    session.run(500);
    session.submit(follower, 1, "/booking");
    session.run(500);
    session.submit(follower, 2, "/book");
    session.run(500);

    session.start_node("node-3", &[other, leader]);
    session.run(500);

    session.submit_and_lose_leader(follower, 3, "/reserve");
    session.run(9_000);
    session.submit(other, 3, "/reserve");
    session.run(300);
    session.submit(other, 3, "/something-else");
    session.run(300);
    session.bring_back(leader);
    session.run(3_000);

    let leader = session.leader();
    let [submitter, stale] = [1, 2].map(|offset| (leader + offset) % 3);
    session.isolate(stale);
    session.submit(submitter, 4, "/order");
    session.run(500);
    session.start_node("node-4", &[stale]);
    session.run(3_500);
    session.join(stale);
    session.run(6_000);
    session.assert_converged(4);
    insta::assert_snapshot!("session", session.transcript);
}
