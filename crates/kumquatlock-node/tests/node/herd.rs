//! Nodes that are killed and restarted, all nodes of a region together or one after the other.

use std::time::Instant;

use kumquatlock::core::RequestClass;
use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::{MeshBuilder, wait_for};

use crate::support::{
    WAIT_TIMEOUT, builder, config_version, start, wait_claim_shards_active, wait_serving,
};

/// Number of times that the region is killed and restarted.
const ROUNDS: usize = 3;

fn two_regions() -> MeshBuilder {
    builder()
        .regions(&[("osrednja", 2), ("stajerska", 2)])
        .service("catalogue", RequestClass::Lookup)
        .upstreams_per_region(2)
}

/// Guards against nodes that do not attach or serve again after all nodes of a region were killed
/// and restarted together, several times. Covers lookups and bookings without a key, not claims.
/// Verifies P1 and P6.
#[test]
fn a_killed_and_restarted_region_serves_again() {
    let mut mesh = start(two_regions());
    let restarted: Vec<usize> = (0..mesh.nodes.len())
        .filter(|node| mesh.nodes[*node].flags.region == "stajerska")
        .collect();
    let running = (0..mesh.nodes.len())
        .find(|node| !restarted.contains(node))
        .unwrap();
    for round in 0..ROUNDS {
        let before = config_version(&mesh, running);
        for node in &restarted {
            mesh.nodes[*node].process.kill().unwrap();
        }
        for node in &restarted {
            mesh.nodes[*node].process.restart().unwrap();
        }
        let started = Instant::now();
        for node in &restarted {
            mesh.nodes[*node].wait_ready().unwrap();
            let caller = mesh.nodes[*node].caller();
            wait_for("lookup is served", WAIT_TIMEOUT, || {
                let answer = caller
                    .get("/catalogue/tatami")
                    .map_err(|error| error.to_string())?;
                match answer.status {
                    200 => Ok(()),
                    _ => Err(answer.text()),
                }
            })
            .unwrap();
            assert!(config_version(&mesh, *node) >= before, "P1");
        }
        println!(
            "round {round}: all nodes attached and serving after {:?}",
            started.elapsed()
        );
        for number in 0..6 {
            let body = format!("unkeyed-{round}-{number}");
            let caller = mesh.nodes[restarted[number % restarted.len()]].caller();
            let answer = caller
                .send(&HttpRequest::post("/booking", body.as_str()))
                .unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert_eq!(mesh.ledger().runs_of_body(body.as_bytes()).started, 1);
        }
    }
    assert_eq!(mesh.ledger().repeated_bodies(), 0, "P6");
}

/// Guards against keyed calls that stay unknown when the nodes of a service are killed and
/// restarted one after the other, each after the claims have been taken over. Verifies P6.
#[test]
fn keyed_calls_recover_after_each_node_was_restarted() {
    let mut mesh = start(builder());
    let caller = mesh.nodes[3].caller();
    let request = HttpRequest::post("/booking", "kept").key("kept");
    assert_eq!(caller.send(&request).unwrap().status, 200);
    for node in 0..mesh.nodes.len() {
        let version = config_version(&mesh, (node + 1) % mesh.nodes.len());
        mesh.nodes[node].process.restart().unwrap();
        mesh.nodes[node].wait_ready().unwrap();
        let claims_after = wait_claim_shards_active(&mesh, version);
        let serving_after = wait_serving(&mesh, node, "replaced");
        println!(
            "node {node}: claims taken over after {claims_after:?}, keyed calls \
             {serving_after:?} later"
        );
        let caller = mesh.nodes[(node + 1) % mesh.nodes.len()].caller();
        let answer = caller.send(&request).unwrap();
        assert!(matches!(answer.status, 200 | 504), "{}", answer.text());
    }
    assert_eq!(mesh.ledger().runs_of_key("kept").started, 1, "P6");
}

/// Guards against keys that stay unknown forever after two of their three claim holders were lost
/// at once. By design, the keys stay unknown until a lost claim no longer matters. This takes half
/// the retention, in which an isolated holder still grants claims, plus the retention, plus the
/// maximum timeout of a caller: 16 s here, and up to 2 s until the restarted upstreams are
/// announced. Verifies P5 and P6.
#[test]
fn keyed_calls_recover_from_two_lost_holders_after_the_retention() {
    let bounds = [
        "--claim-retention-ms",
        "10000",
        "--longest-timeout-ms",
        "2000",
    ];
    let plan = bounds.into_iter().fold(builder(), |builder, argument| {
        builder.node_argument(argument)
    });
    let mut mesh = start(plan);
    let before = config_version(&mesh, 0);
    for node in [1, 2] {
        mesh.nodes[node].process.kill().unwrap();
    }
    for node in [1, 2] {
        mesh.nodes[node].process.restart().unwrap();
    }
    let started = Instant::now();
    for node in [1, 2] {
        mesh.nodes[node].wait_ready().unwrap();
    }
    wait_claim_shards_active(&mesh, before + 1);
    println!("all claim shards are active after {:?}", started.elapsed());
    assert!(
        started.elapsed().as_secs() >= 9,
        "P6: claim shards are active before the retention has passed"
    );
    wait_serving(&mesh, 0, "retention");
    assert_eq!(mesh.ledger().repeated_keys(), [], "P6");
}
