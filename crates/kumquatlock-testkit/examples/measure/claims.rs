//! Costs of claims without processes.

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
use crate::slopes::applied;

const SERVICE: &str = "service-0";
/// Upstreams of the service, all of them holders of every shard.
const HOLDERS: FleetSize = FleetSize {
    upstreams: 3,
    services: 1,
};
/// A service of the target's mean size.
const TARGET_SERVICE: FleetSize = FleetSize {
    upstreams: 31,
    services: 1,
};
/// Shard transfers are measured with these numbers of keys in one shard.
const TRANSFER_KEYS: [u64; 3] = [0, 1_000, 10_000];
const EXCHANGES: u64 = 20_000;
const REPEATS: usize = 5;
const MEMORY_KEYS: u64 = 190_000;
/// Bound on the ticks until all holders are active.
const MAX_TICKS: usize = 200;
const TICK: Duration = Duration::from_millis(100);

/// Claim holders joined by a queue.
struct HolderGroup {
    now: Timestamp,
    holders: IndexMap<SharedName, ClaimHolder>,
    queue: VecDeque<(SharedName, ClaimMessage)>,
    placement: PlacementTable,
    messages: usize,
    bytes: usize,
}

impl HolderGroup {
    fn start(snapshot: &Arc<ConfigSnapshot>) -> Result<Self> {
        let mut group = HolderGroup {
            now: Timestamp::from_millis(1_000),
            holders: IndexMap::new(),
            queue: VecDeque::new(),
            placement: PlacementTable::default(),
            messages: 0,
            bytes: 0,
        };
        group.apply(snapshot)?;
        Ok(group)
    }

    /// Gives the configuration to all holders, starts new ones and waits until all are active.
    fn apply(&mut self, snapshot: &Arc<ConfigSnapshot>) -> Result<()> {
        self.placement.update(snapshot.clone());
        self.holders
            .retain(|name, _| snapshot.upstreams.contains_key(name));
        for upstream in snapshot.upstreams.values() {
            let own = ShardHolder {
                name: upstream.name.to_string(),
                incarnation: upstream.incarnation.0,
            };
            self.holders
                .entry(upstream.name.clone())
                .or_insert_with(|| ClaimHolder::new(own, ClaimSettings::default()));
        }
        for (name, holder) in &mut self.holders {
            let sends = holder.on_snapshot(self.now, snapshot.clone());
            holder.on_config_confirmed(self.now);
            self.queue
                .extend(sends.into_iter().map(|send| (name.clone(), send)));
        }
        for _ in 0..MAX_TICKS {
            self.deliver_all();
            let mut joining = self.holders.values().map(ClaimHolder::joining_shards);
            if joining.all(|shards| shards == 0) {
                return Ok(());
            }
            self.now = self.now + TICK;
            for (name, holder) in &mut self.holders {
                let sends = holder.on_tick(self.now);
                self.queue
                    .extend(sends.into_iter().map(|send| (name.clone(), send)));
            }
        }
        Err(eyre!("the claim holders did not become active"))
    }

    fn deliver_all(&mut self) {
        while let Some((from, send)) = self.queue.pop_front() {
            self.messages += 1;
            self.bytes += frame_bytes(send.body.clone());
            let Some(holder) = self.holders.get_mut(&send.to) else {
                continue;
            };
            let sends = match send.body {
                Body::ShardFetch(fetch) => holder.on_fetch(self.now, &from, &recode(&fetch)),
                Body::ShardChunk(chunk) => holder.on_chunk(self.now, recode(&chunk)),
                _ => Vec::new(),
            };
            let own = send.to;
            self.queue
                .extend(sends.into_iter().map(|send| (own.clone(), send)));
        }
    }

    /// Fills the shard of key 0 at every holder.
    fn fill(&mut self, count: u64) -> Result<()> {
        let (shard, view) = self
            .placement
            .locate(SERVICE, &key(0))
            .ok_or_else(|| eyre!("no placement"))?;
        for call in 1..=count {
            let request = ClaimRequest {
                request_id: call << 2,
                shard: shard.clone(),
                view: view.view,
                key: key(call),
                action: ClaimAction::Acquire as i32,
                owner: owner(call),
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

    /// Acquires and finishes one claim at all holders, with encoding and decoding.
    fn exchange(&mut self, call: u64, count_bytes: bool) -> Result<()> {
        let key = key(call);
        let (shard, view) = self
            .placement
            .locate(SERVICE, &key)
            .ok_or_else(|| eyre!("no placement"))?;
        let deadline = self.now + Duration::from_secs(5);
        let mut acquirer = ClaimAcquirer::new(call, owner(call), shard, &key, deadline);
        let mut sends = acquirer.on_view(self.now, Some(view)).messages;
        let mut has_run = false;
        while let Some(send) = sends.pop() {
            let Body::Claim(request) = send.body else {
                continue;
            };
            let holder = self
                .holders
                .get_mut(&send.to)
                .ok_or_else(|| eyre!("no holder"))?;
            let reply: ClaimReply = recode(&holder.on_request(self.now, &recode(&request)));
            if count_bytes {
                self.messages += 2;
                self.bytes += frame_bytes(Body::Claim(request));
                self.bytes += frame_bytes(Body::ClaimReply(reply.clone()));
            }
            let steps = acquirer.on_reply(self.now, &send.to, &reply);
            sends.extend(steps.messages);
            if steps.decision == Some(AcquireDecision::Run) {
                has_run = true;
                sends.extend(acquirer.finish(self.now).messages);
            }
        }
        ensure!(has_run, "the claim was not granted");
        Ok(())
    }
}

fn recode<M: Message + Default>(message: &M) -> M {
    M::decode(message.encode_to_vec().as_slice()).expect("the message was just encoded")
}

/// A key as long as a UUID.
fn key(call: u64) -> String {
    format!("{call:036x}")
}

fn owner(call_id: u64) -> ClaimOwner {
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

/// Measures keyed calls, kept keys and shard transfers.
pub(crate) fn run(recorder: &mut ResultRecorder) -> Result<()> {
    recorder.heading("claims, three holders, keys of 36 bytes");
    let scope = "claims";
    let snapshot = applied(&FleetCatalog::new(HOLDERS));
    let mut group = HolderGroup::start(&snapshot)?;
    (group.messages, group.bytes) = (0, 0);
    group.exchange(1, true)?;
    recorder.row(scope, "one keyed call: messages", group.messages as f64, "")?;
    recorder.row(scope, "one keyed call: bytes", group.bytes as f64, "B")?;
    let mut samples = Vec::new();
    for repeat in 1..=REPEATS as u64 {
        let started = Instant::now();
        for call in 0..EXCHANGES {
            group.exchange(repeat << 32 | call, false)?;
        }
        samples.push(started.elapsed().as_secs_f64() * 1e6 / EXCHANGES as f64);
    }
    let name = "one keyed call: CPU of all four parties";
    recorder.spread(scope, name, &samples, "us")?;

    let mut group = HolderGroup::start(&snapshot)?;
    let before = resident_bytes("self")?;
    // One fill at three holders needs three times the memory of one holder.
    group.fill(MEMORY_KEYS)?;
    let grown = (resident_bytes("self")? - before) / (3 * MEMORY_KEYS) as f64;
    recorder.row(scope, "memory of one kept key at one holder", grown, "B")?;
    drop(group);
    measure_restart(recorder)?;
    for keys in TRANSFER_KEYS {
        let mut fleet = FleetCatalog::new(HOLDERS);
        let mut group = HolderGroup::start(&applied(&fleet))?;
        group.fill(keys)?;
        (group.messages, group.bytes) = (0, 0);
        // The upstream leaves and returns as another one, so all 64 shards change their view.
        fleet.apply(&fleet.report(2, WireState::Left));
        let command = fleet.restart_command(2);
        fleet.apply(&command);
        group.holders.shift_remove(fleet.name(2).as_str());
        let snapshot = applied(&fleet);
        let started = Instant::now();
        group.apply(&snapshot)?;
        let elapsed = started.elapsed().as_secs_f64() * 1e3;
        let name = |what: &str| format!("one holder of three replaced, {keys} keys: {what}");
        recorder.row(scope, &name("messages"), group.messages as f64, "")?;
        recorder.row(scope, &name("bytes"), group.bytes as f64, "B")?;
        recorder.row(scope, &name("CPU"), elapsed, "ms")?;
    }
    Ok(())
}

/// One upstream of a service of the target's size leaves and returns; no keys are kept.
fn measure_restart(recorder: &mut ResultRecorder) -> Result<()> {
    let mut fleet = FleetCatalog::new(TARGET_SERVICE);
    let mut group = HolderGroup::start(&applied(&fleet))?;
    (group.messages, group.bytes) = (0, 0);
    fleet.apply(&fleet.report(7, WireState::Left));
    group.apply(&applied(&fleet))?;
    let command = fleet.restart_command(7);
    fleet.apply(&command);
    group.apply(&applied(&fleet))?;
    let members = TARGET_SERVICE.upstreams as f64;
    let name = |what: &str| format!("restart of one of {members} members, no keys: {what}");
    recorder.row("claims", &name("messages"), group.messages as f64, "")?;
    recorder.row("claims", &name("bytes"), group.bytes as f64, "B")?;
    let mean = group.bytes as f64 * 2.0 / members;
    recorder.row("claims", &name("bytes per member"), mean, "B")
}
