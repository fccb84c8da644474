//! Messages and bytes by the number of nodes and accounts.

use std::time::Duration;

use super::mesh::demands;
use super::model::Model;

/// Time for which messages are counted.
const MEASURED: Duration = Duration::from_secs(10);

/// Guards against messages that grow with accounts or with the mesh: a node's stay below the bound
/// that its requests give, whatever the number of accounts. Prints the slopes for the capacity page.
#[test]
fn messages_of_a_node_are_bounded() {
    for (nodes, accounts) in [
        (30, 100),
        (100, 100),
        (300, 100),
        (100, 1_000),
        (100, 10_000),
    ] {
        let per_node = 25.0;
        let mut model = Model::new(1, nodes, 5, &demands(accounts, per_node * nodes as f64));
        model.run(Duration::from_secs(4));
        model.reset_counts();
        model.run(MEASURED);
        let seconds = MEASURED.as_secs_f64();
        let by_node = seconds * nodes as f64;
        let messages = model.node_traffic.messages as f64 / by_node;
        let bytes = model.node_traffic.bytes as f64 / by_node;
        let leader_messages = model.leader_traffic.messages as f64 / seconds;
        let leader_bytes = model.leader_traffic.bytes as f64 / seconds;
        let refused = model.refused_share(0..accounts);
        println!(
            "{nodes} nodes, {accounts} accounts: node {messages:.1} messages/s, {bytes:.0} B/s; \
             leader {leader_messages:.0} messages/s, {leader_bytes:.0} B/s; refused {refused:.4}"
        );
        assert!(messages <= 2.0 * per_node + 8.0, "{messages:.1} messages/s");
    }
}
