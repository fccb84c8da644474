//! Measures the CPU time, memory and messages that claims cost. Only the decision code runs; no
//! processes are started.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use indexmap::IndexMap;
use kumquatlock::claim::{
    AcquireDecision, ClaimAcquirer, ClaimHolder, ClaimMessage, ClaimSettings, PlacementTable,
};
use kumquatlock::core::{ConfigSnapshot, SharedName, Timestamp};
use kumquatlock_wire::Body;
use kumquatlock_wire::call::AttemptId;
use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimRequest, ClaimVerdict, ShardHolder,
};
use kumquatlock_wire::distribution::WireState;
use prost::Message;

use crate::fleet::{FleetCatalog, FleetSize, frame_bytes};
use crate::host::resident_bytes;
use crate::record::ResultRecorder;
use crate::slopes::node_snapshot;

const SERVICE: &str = "service-0";
/// A service with three upstreams, all of which hold every shard.
const THREE_HOLDERS: FleetSize = FleetSize {
    upstreams: 3,
    services: 1,
};
/// A service with the mean number of upstreams per service of the design target.
const MEAN_TARGET_SERVICE: FleetSize = FleetSize {
    upstreams: 31,
    services: 1,
};
/// Numbers of keys in one shard with which shard transfers are measured.
const TRANSFER_KEY_COUNTS: [u64; 3] = [0, 1_000, 10_000];
/// Number of keyed calls in each timing sample.
const EXCHANGES: u64 = 20_000;
const REPEATS: usize = 5;
/// Number of keys that are stored to measure the memory per key.
const MEMORY_KEYS: u64 = 190_000;
/// Maximum number of ticks until all holders are active.
const MAX_TICKS: usize = 200;
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Claim holders that exchange messages through an in-memory queue.
struct HolderGroup {
    now: Timestamp,
    holders: IndexMap<SharedName, ClaimHolder>,
    queue: VecDeque<(SharedName, ClaimMessage)>,
    placement: PlacementTable,
    sent_messages: usize,
    sent_bytes: usize,
}

impl HolderGroup {
    fn start(snapshot: &Arc<ConfigSnapshot>) -> Result<Self> {
        let mut group = HolderGroup {
            now: Timestamp::from_millis(1_000),
            holders: IndexMap::new(),
            queue: VecDeque::new(),
            placement: PlacementTable::default(),
            sent_messages: 0,
            sent_bytes: 0,
        };
        group.apply(snapshot)?;
        Ok(group)
    }

    /// Applies the configuration at all holders, starts the holders of new upstreams, and advances
    /// the clock until all holders are active.
    fn apply(&mut self, snapshot: &Arc<ConfigSnapshot>) -> Result<()> {
        self.placement.update(snapshot.clone());
        self.holders
            .retain(|name, _| snapshot.upstreams.contains_key(name));
        for upstream in snapshot.upstreams.values() {
            let shard_holder = ShardHolder {
                name: upstream.name.to_string(),
                incarnation: upstream.incarnation.0,
            };
            self.holders
                .entry(upstream.name.clone())
                .or_insert_with(|| ClaimHolder::new(shard_holder, ClaimSettings::default()));
        }
        for (name, holder) in &mut self.holders {
            let messages = holder.on_snapshot(self.now, snapshot.clone());
            holder.on_config_confirmed(self.now);
            self.queue
                .extend(messages.into_iter().map(|message| (name.clone(), message)));
        }
        for _ in 0..MAX_TICKS {
            self.deliver_all();
            let mut joining_counts = self.holders.values().map(ClaimHolder::joining_shards);
            if joining_counts.all(|shards| shards == 0) {
                return Ok(());
            }
            self.now = self.now + TICK_INTERVAL;
            for (name, holder) in &mut self.holders {
                let messages = holder.on_tick(self.now);
                self.queue
                    .extend(messages.into_iter().map(|message| (name.clone(), message)));
            }
        }
        Err(eyre!(
            "the claim holders were not active after {MAX_TICKS} ticks"
        ))
    }

    fn deliver_all(&mut self) {
        while let Some((from, message)) = self.queue.pop_front() {
            self.sent_messages += 1;
            self.sent_bytes += frame_bytes(message.body.clone());
            let Some(holder) = self.holders.get_mut(&message.to) else {
                continue;
            };
            let messages = match message.body {
                Body::ShardFetch(fetch) => {
                    holder.on_fetch(self.now, &from, &encode_and_decode(&fetch))
                }
                Body::ShardChunk(chunk) => holder.on_chunk(self.now, encode_and_decode(&chunk)),
                _ => Vec::new(),
            };
            let recipient = message.to;
            self.queue.extend(
                messages
                    .into_iter()
                    .map(|message| (recipient.clone(), message)),
            );
        }
    }

    /// Stores claims for `key_count` keys at every holder, all in the shard of key 0.
    fn store_claims(&mut self, key_count: u64) -> Result<()> {
        let (shard, view) = self
            .placement
            .locate(SERVICE, &key(0))
            .ok_or_else(|| eyre!("no shard placement for {SERVICE}"))?;
        for call in 1..=key_count {
            let request = ClaimRequest {
                request_id: call << 2,
                shard: shard.clone(),
                view: view.view,
                key: key(call),
                action: ClaimAction::Acquire as i32,
                owner: claim_owner(call),
                epoch: 0,
            };
            for holder in self.holders.values_mut() {
                let reply = holder.on_request(self.now, &request);
                ensure!(
                    reply.verdict == ClaimVerdict::Granted as i32,
                    "the claim was not granted"
                );
            }
        }
        Ok(())
    }

    /// Acquires and finishes one claim at all holders. Every message is encoded and decoded, as it
    /// would be between processes.
    fn run_keyed_call(&mut self, call: u64, count_traffic: bool) -> Result<()> {
        let key = key(call);
        let (shard, view) = self
            .placement
            .locate(SERVICE, &key)
            .ok_or_else(|| eyre!("no shard placement for {SERVICE}"))?;
        let deadline = self.now + Duration::from_secs(5);
        let mut acquirer = ClaimAcquirer::new(call, claim_owner(call), shard, &key, deadline);
        let mut messages = acquirer.on_view(self.now, Some(view)).messages;
        let mut has_run = false;
        while let Some(message) = messages.pop() {
            let Body::Claim(request) = message.body else {
                continue;
            };
            let holder = self
                .holders
                .get_mut(&message.to)
                .ok_or_else(|| eyre!("a claim request was sent to an unknown holder"))?;
            let reply: ClaimReply =
                encode_and_decode(&holder.on_request(self.now, &encode_and_decode(&request)));
            if count_traffic {
                self.sent_messages += 2;
                self.sent_bytes += frame_bytes(Body::Claim(request));
                self.sent_bytes += frame_bytes(Body::ClaimReply(reply.clone()));
            }
            let steps = acquirer.on_reply(self.now, &message.to, &reply);
            messages.extend(steps.messages);
            if steps.decision == Some(AcquireDecision::Run) {
                has_run = true;
                messages.extend(acquirer.finish(self.now).messages);
            }
        }
        ensure!(has_run, "the claim was not granted");
        Ok(())
    }
}

fn encode_and_decode<M: Message + Default>(message: &M) -> M {
    M::decode(message.encode_to_vec().as_slice()).expect("the message was just encoded")
}

/// Returns a key of the same length as a UUID.
fn key(call: u64) -> String {
    format!("{call:036x}")
}

fn claim_owner(call_id: u64) -> ClaimOwner {
    ClaimOwner {
        attempt: AttemptId {
            entry: "service-0-entry".into(),
            entry_incarnation: 1_790_000_000_000,
            call_id,
            attempt: 1,
        },
        destination: "service-0-0".into(),
        destination_incarnation: 1_790_000_000_000,
        request_digest: 0x1234_5678_9abc_def0,
    }
}

/// Measures keyed calls, the memory per stored key, and shard transfers.
pub(crate) fn run(recorder: &mut ResultRecorder) -> Result<()> {
    recorder.print_heading("claims, three holders, keys of 36 bytes");
    let scope = "claims";
    let snapshot = node_snapshot(&FleetCatalog::new(THREE_HOLDERS));
    let mut group = HolderGroup::start(&snapshot)?;
    (group.sent_messages, group.sent_bytes) = (0, 0);
    group.run_keyed_call(1, true)?;
    recorder.record_value(
        scope,
        "one keyed call: messages",
        group.sent_messages as f64,
        "",
    )?;
    recorder.record_value(scope, "one keyed call: bytes", group.sent_bytes as f64, "B")?;
    let mut samples = Vec::new();
    for sample in 1..=REPEATS as u64 {
        let started = Instant::now();
        for call in 0..EXCHANGES {
            group.run_keyed_call(sample << 32 | call, false)?;
        }
        samples.push(started.elapsed().as_secs_f64() * 1e6 / EXCHANGES as f64);
    }
    let name = "one keyed call: CPU of all four parties";
    recorder.record_samples(scope, name, &samples, "us")?;

    let mut group = HolderGroup::start(&snapshot)?;
    let resident_before = resident_bytes("self")?;
    // The keys are stored at all three holders, so each key takes memory three times.
    group.store_claims(MEMORY_KEYS)?;
    let bytes_per_key = (resident_bytes("self")? - resident_before) / (3 * MEMORY_KEYS) as f64;
    recorder.record_value(
        scope,
        "memory of one kept key at one holder",
        bytes_per_key,
        "B",
    )?;
    drop(group);
    measure_restart(recorder)?;
    for keys in TRANSFER_KEY_COUNTS {
        let mut fleet = FleetCatalog::new(THREE_HOLDERS);
        let mut group = HolderGroup::start(&node_snapshot(&fleet))?;
        group.store_claims(keys)?;
        (group.sent_messages, group.sent_bytes) = (0, 0);
        // The upstream leaves and returns with a new incarnation, so the views of all 64 shards
        // change.
        fleet.apply(&fleet.report_command(2, WireState::Left));
        let command = fleet.restart_command(2);
        fleet.apply(&command);
        group.holders.shift_remove(fleet.upstream_name(2).as_str());
        let snapshot = node_snapshot(&fleet);
        let started = Instant::now();
        group.apply(&snapshot)?;
        let elapsed = started.elapsed().as_secs_f64() * 1e3;
        let name = |what: &str| format!("one holder of three replaced, {keys} keys: {what}");
        recorder.record_value(scope, &name("messages"), group.sent_messages as f64, "")?;
        recorder.record_value(scope, &name("bytes"), group.sent_bytes as f64, "B")?;
        recorder.record_value(scope, &name("CPU"), elapsed, "ms")?;
    }
    Ok(())
}

/// Measures the messages that are sent when one upstream of a service leaves and returns. The
/// service has the mean number of upstreams of the design target. No keys are stored.
fn measure_restart(recorder: &mut ResultRecorder) -> Result<()> {
    let mut fleet = FleetCatalog::new(MEAN_TARGET_SERVICE);
    let mut group = HolderGroup::start(&node_snapshot(&fleet))?;
    (group.sent_messages, group.sent_bytes) = (0, 0);
    fleet.apply(&fleet.report_command(7, WireState::Left));
    group.apply(&node_snapshot(&fleet))?;
    let command = fleet.restart_command(7);
    fleet.apply(&command);
    group.apply(&node_snapshot(&fleet))?;
    let members = MEAN_TARGET_SERVICE.upstreams as f64;
    let name = |what: &str| format!("restart of one of {members} members, no keys: {what}");
    recorder.record_value("claims", &name("messages"), group.sent_messages as f64, "")?;
    recorder.record_value("claims", &name("bytes"), group.sent_bytes as f64, "B")?;
    let mean_bytes = group.sent_bytes as f64 * 2.0 / members;
    recorder.record_value("claims", &name("bytes per member"), mean_bytes, "B")
}
