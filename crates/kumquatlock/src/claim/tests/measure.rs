//! Prints the costs of claims. Run with `cargo test --release -p kumquatlock claim::tests::measure
//! -- --ignored --nocapture`.

use std::sync::Arc;
use std::time::Instant;

use kumquatlock_wire::call::AttemptId;
use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimRequest, ClaimVerdict, ShardId,
};
use kumquatlock_wire::{Body, Envelope};
use prost::Message;

use super::cluster::{KEY, SERVICE, TestCluster, member, snapshot_of};
use crate::claim::{ClaimAcquirer, ClaimHolder, PlacementTable, SHARDS_PER_SERVICE, shard_of};
use crate::core::Timestamp;

/// Size of the length prefix of a frame, in bytes.
const FRAME_HEADER_BYTES: usize = 4;

fn frame_bytes(body: Body) -> usize {
    Envelope::from(body).encoded_len() + FRAME_HEADER_BYTES
}

fn owner(call_id: u64) -> ClaimOwner {
    ClaimOwner {
        attempt: AttemptId {
            entry: "booking-osrednja-1".into(),
            entry_incarnation: 1_790_000_000_000,
            call_id,
            attempt: 1,
        },
        destination: "booking-osrednja-2".into(),
        destination_incarnation: 1_790_000_000_000,
        request_digest: 0x1234_5678_9abc_def0,
    }
}

/// Creates a request for a key of the usual length, 36 bytes like a UUID, in the shard of `KEY`.
fn request(cluster: &TestCluster, call_id: u64, action: ClaimAction) -> ClaimRequest {
    let mut placement = PlacementTable::default();
    placement.update(cluster.nodes["a"].placement.snapshot().clone());
    let (shard, view) = placement.locate(SERVICE, KEY).unwrap();
    ClaimRequest {
        request_id: call_id << 2 | action as u64,
        shard,
        view: view.view,
        key: format!("{call_id:036x}"),
        action: action as i32,
        owner: owner(call_id),
        epoch: 0,
    }
}

/// Stores `count` claims in the shard of `KEY` at every node.
pub(super) fn fill_shard(cluster: &mut TestCluster, count: u64) -> usize {
    let mut template = request(cluster, 0, ClaimAction::Acquire);
    let now = cluster.now;
    for call_id in 1..=count {
        template.key = format!("{call_id:036x}");
        template.owner = owner(call_id);
        for node in cluster.nodes.values_mut() {
            let reply = node.holder.on_request(now, &template);
            assert_eq!(reply.verdict, ClaimVerdict::Granted as i32);
        }
    }
    count as usize
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages = statm.split_whitespace().nth(1).unwrap();
    pages.parse::<usize>().unwrap() * 4_096
}

/// Prints the CPU time and bytes of one claim at three holders.
#[test]
#[ignore = "prints costs; run in release"]
fn cost_of_one_claim() {
    let (mut cluster, _) = TestCluster::of(&["a", "b", "c"]);
    let acquire = request(&cluster, 1, ClaimAction::Acquire);
    let reply = cluster.nodes["a"].holder.on_request(cluster.now, &acquire);
    let requests = 6 * frame_bytes(Body::Claim(acquire.clone()));
    let replies = 6 * frame_bytes(Body::ClaimReply(reply));
    println!("bytes of acquire and finish at three remote holders: {requests} + {replies} replies");
    let rounds = 50_000;
    let start = Instant::now();
    let mut runs = 0;
    for call_id in 2..rounds + 2 {
        runs += exchange(&mut cluster, &acquire, call_id);
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    assert_eq!(runs, rounds);
    println!("CPU of one claim, all four parties with encoding and decoding: {micros:.2} us");
}

fn recode<M: Message + Default>(message: &M) -> M {
    M::decode(message.encode_to_vec().as_slice()).unwrap()
}

/// Acquires and finishes one claim. Returns the number of run decisions.
fn exchange(cluster: &mut TestCluster, template: &ClaimRequest, call_id: u64) -> u64 {
    let now = cluster.now;
    let view = {
        let node = &mut cluster.nodes["a"];
        node.placement.view_of(SERVICE, template.shard.number)
    };
    let key = format!("{call_id:036x}");
    let shard = template.shard.clone();
    let deadline = Timestamp(now.0 + 5_000_000);
    let mut acquirer = ClaimAcquirer::new(call_id, owner(call_id), shard, &key, deadline);
    let mut runs = 0;
    let mut messages = acquirer.on_view(now, view).messages;
    while let Some(message) = messages.pop() {
        let Body::Claim(request) = message.body else {
            continue;
        };
        let holder = &mut cluster.nodes[&*message.to].holder;
        let reply: ClaimReply = recode(&holder.on_request(now, &recode(&request)));
        let steps = acquirer.on_reply(now, &message.to, &reply);
        messages.extend(steps.messages);
        if steps.decision.is_some() {
            runs += 1;
            messages.extend(acquirer.finish(now).messages);
        }
    }
    runs
}

/// Prints the memory of stored claims.
#[test]
#[ignore = "prints costs; run in release and alone"]
fn memory_of_stored_claims() {
    let (mut cluster, _) = TestCluster::of(&["a"]);
    let before = resident_bytes();
    let count = fill_shard(&mut cluster, 190_000);
    let bytes = (resident_bytes() - before) / count;
    println!("memory of one stored claim with a 36-byte key: {bytes} bytes");
}

/// Prints the cost of transferring one shard with 1,000 claims, and of a view change without
/// claims.
#[test]
#[ignore = "prints costs; run in release"]
fn cost_of_view_changes() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    fill_shard(&mut cluster, 1_000);
    members[2] = member("d", 1);
    cluster.start("d", 1);
    cluster.nodes.swap_remove("c");
    cluster.apply_all(2, &members);
    let (mut messages, mut bytes) = (0, 0);
    let start = Instant::now();
    while !cluster.queue.is_empty() {
        let packet = cluster.queue.remove(0);
        messages += 1;
        bytes += frame_bytes(packet.body.clone());
        cluster.deliver(packet);
    }
    let elapsed = start.elapsed();
    println!(
        "one holder of three replaced, 1,000 claims: {messages} messages, {bytes} bytes, {elapsed:?}"
    );

    let members: Vec<_> = (0..30)
        .map(|index| member(&format!("booking-{index}"), 1))
        .collect();
    let snapshot = snapshot_of(3, &members);
    let mut holder = ClaimHolder::new(
        kumquatlock_wire::claim::ShardHolder {
            name: "booking-7".into(),
            incarnation: 1,
        },
        Default::default(),
    );
    let start = Instant::now();
    let messages = holder.on_snapshot(Timestamp::default(), Arc::clone(&snapshot));
    let elapsed = start.elapsed();
    let shards = holder.joining_shards();
    let bytes: usize = messages
        .into_iter()
        .map(|message| frame_bytes(message.body))
        .sum();
    println!(
        "start of a node among 30: {SHARDS_PER_SERVICE} shards in {elapsed:?}, joins {shards} with {bytes} bytes of fetches"
    );
    let mut placement = PlacementTable::default();
    placement.update(snapshot);
    let start = Instant::now();
    let rounds = 1_000_000;
    for index in 0..rounds {
        let shard: ShardId = shard_of(SERVICE, if index % 2 == 0 { KEY } else { "book-2" });
        assert!(placement.view_of(SERVICE, shard.number).is_some());
    }
    let nanos = start.elapsed().as_nanos() / rounds;
    println!("placement of a key, cached: {nanos} ns");
}
