//! Unit tests of placement, rounds, outcomes, size limits and transfers.

use std::sync::Arc;

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::AttemptId;
use kumquatlock_wire::claim::{
    ClaimOwner, ClaimReply, ClaimVerdict, ShardChunk, ShardHolder, ShardId, ShardView,
};

use super::cluster::{KEY, Member, SERVICE, TestCluster, answer, member, snapshot_of};
use crate::claim::{
    AcquireDecision, AttemptAdmission, ClaimAcquirer, ClaimSettings, OutcomeTable, PlacementTable,
    QueryAnswer, SHARDS_PER_GROUP, SHARDS_PER_SERVICE, SMALL_ANSWER_BYTES, StoredAnswer,
    shard_number,
};
use crate::core::{IncarnationId, Timestamp};

/// Room for stored answers.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

const REGIONS: [&str; 3] = ["osrednja", "stajerska", "primorska"];

fn members_of_three_regions() -> Vec<Member> {
    let mut members = Vec::new();
    for (index, region) in REGIONS.iter().enumerate() {
        for zone in 0..4 {
            let mut added = member(&format!("booking-{index}{zone}"), 1);
            added.region = (*region).into();
            added.zone = zone % 2;
            members.push(added);
        }
    }
    members
}

/// Guards against claims that are all stored in one zone or outside the key's region, and against
/// holders that change when unrelated members do.
#[test]
fn holders_are_in_the_home_region_and_in_two_zones() {
    let mut members = members_of_three_regions();
    let mut table = PlacementTable::default();
    table.update(snapshot_of(1, &members));
    let region_of = |holder: &ShardHolder| {
        let member = members.iter().find(|member| member.name == holder.name);
        member.map(|member| (member.region.clone(), member.zone))
    };
    for index in 0..200 {
        let key = format!("stajerska:{index}");
        let (_, view) = table.locate(SERVICE, &key).unwrap();
        let places: Vec<(String, u32)> = view.holders.iter().filter_map(region_of).collect();
        assert!(places.iter().all(|(region, _)| region == "stajerska"));
        assert_eq!(places.len(), 3);
        assert!(places.iter().any(|(_, zone)| *zone != places[0].1));
    }
    for region in ["sfax", "kairouan", "gabes"] {
        let group = |name: &str| shard_number(&format!("{name}:1")) / SHARDS_PER_GROUP;
        let others = ["sfax", "kairouan", "gabes"]
            .into_iter()
            .filter(|name| *name != region);
        assert!(
            others
                .into_iter()
                .all(|other| group(other) != group(region))
        );
    }
    let removed = members.remove(0).name;
    let mut next = PlacementTable::default();
    next.update(snapshot_of(2, &members));
    for number in 0..SHARDS_PER_SERVICE {
        let before = table.view_of(SERVICE, number).unwrap();
        let named = before.holders.iter().any(|holder| holder.name == removed);
        let after = next.view_of(SERVICE, number).unwrap();
        assert!(named || before.view == after.view);
    }
}

/// Guards against a key that changes its shard, and so loses its claim, when upstreams appear in
/// its region.
#[test]
fn key_of_a_region_without_upstreams_keeps_its_shard() {
    let members: Vec<Member> = members_of_three_regions().into_iter().take(4).collect();
    let mut table = PlacementTable::default();
    table.update(snapshot_of(1, &members));
    let (shard, view) = table.locate(SERVICE, "stajerska:7").unwrap();
    assert_eq!(view.holders.len(), 3);
    table.update(snapshot_of(2, &members_of_three_regions()));
    assert_eq!(table.locate(SERVICE, "stajerska:7").unwrap().0, shard);
}

fn owner() -> ClaimOwner {
    ClaimOwner {
        attempt: AttemptId {
            entry: "entry".into(),
            entry_incarnation: 1,
            call_id: 1,
            attempt: 1,
        },
        destination: "a".into(),
        destination_incarnation: 1,
        request_digest: 7,
    }
}

/// Guards against a majority that counts grants from before and after another view.
#[test]
fn grants_of_two_epochs_do_not_form_a_majority() {
    let holder = |name: &str| ShardHolder {
        name: name.into(),
        incarnation: 1,
    };
    let view = ShardView {
        view: 9,
        holders: vec![holder("a"), holder("b"), holder("c")],
        config_version: 1,
    };
    let shard = ShardId {
        service: SERVICE.into(),
        number: shard_number(KEY),
    };
    let deadline = Timestamp::from_millis(5_000);
    let mut acquirer = ClaimAcquirer::new(1, owner(), shard, KEY, deadline);
    let now = Timestamp::default();
    acquirer.on_view(now, Some(Arc::new(view)));
    let reply = |epoch| ClaimReply {
        request_id: 1 << 2,
        verdict: ClaimVerdict::Granted as i32,
        owner: None,
        view: 9,
        epoch,
    };
    assert_eq!(acquirer.on_reply(now, "a", &reply(1)).decision, None);
    assert_eq!(acquirer.on_reply(now, "b", &reply(3)).decision, None);
    let steps = acquirer.on_reply(now, "a", &reply(3));
    assert_eq!(steps.decision, Some(AcquireDecision::Run));
}

/// Guards against a duplicate or fenced attempt that runs, and against stored answers that exceed
/// their limits.
#[test]
fn attempts_run_once_and_stored_answers_are_bounded() {
    let settings = ClaimSettings {
        max_answer_bytes: MAX_ANSWER_BYTES,
        ..ClaimSettings::default()
    };
    let mut table = OutcomeTable::new("a".into(), IncarnationId(1), &settings);
    let now = Timestamp::default();
    let later = Timestamp::from_millis(5_000);
    let attempt = |call_id| AttemptId {
        call_id,
        ..owner().attempt
    };
    let owner_of = |call_id| ClaimOwner {
        attempt: attempt(call_id),
        ..owner()
    };
    let query_id = attempt(1_000_000);
    assert_eq!(
        table.query(now, &query_id, &owner_of(0), later),
        Some(QueryAnswer::NeverRuns)
    );
    assert_eq!(
        table.register_keyed(now, &attempt(0)),
        AttemptAdmission::Fenced
    );
    assert!(!table.start_run(now, &attempt(0)));

    let large = StoredAnswer {
        body: vec![0; SMALL_ANSWER_BYTES].into(),
        ..StoredAnswer::default()
    };
    let count = (MAX_ANSWER_BYTES / SMALL_ANSWER_BYTES) as u64 + 1;
    for call_id in 1..=count {
        assert_eq!(
            table.register_keyed(now, &attempt(call_id)),
            AttemptAdmission::Admitted
        );
        assert_eq!(
            table.register_keyed(now, &attempt(call_id)),
            AttemptAdmission::Duplicate
        );
        assert!(table.start_run(now, &attempt(call_id)));
        assert!(!table.start_run(now, &attempt(call_id)));
        assert!(!table.fence(now, &attempt(call_id)).0);
        assert_eq!(table.query(now, &query_id, &owner_of(call_id), later), None);
        let replies = table.finish(now, &attempt(call_id), large.clone());
        assert_eq!(replies.len(), 1);
        assert!(table.answer_bytes() <= MAX_ANSWER_BYTES);
    }
    assert_eq!(
        table.query(now, &query_id, &owner_of(1), later),
        Some(QueryAnswer::AnswerGone)
    );
    let kept = table.query(now, &query_id, &owner_of(count), later);
    assert_eq!(kept, Some(QueryAnswer::Answered(large)));
    let other_incarnation = ClaimOwner {
        destination_incarnation: 2,
        ..owner_of(count)
    };
    assert_eq!(
        table.query(now, &query_id, &other_incarnation, later),
        Some(QueryAnswer::Unknown)
    );

    table.register_keyed(now, &attempt(500));
    assert!(table.start_run(now, &attempt(500)));
    assert_eq!(table.query(now, &query_id, &owner_of(500), later), None);
    assert_eq!(table.on_tick(later)[0].answer, QueryAnswer::StillRunning);
    table.on_tick(Timestamp::from_millis(10_000_000));
    assert_eq!(table.answer_bytes(), 0);
    assert_eq!(
        table.finish(later, &attempt(500), answer()),
        Vec::new(),
        "no query waits for the attempt"
    );
    assert!(table.answer_bytes() > 0, "a running attempt was forgotten");
}

/// Guards against a holder that stores keys for ever or drops a claim before its retention ends.
#[test]
fn keys_are_bounded_and_expire() {
    let (mut cluster, _) = TestCluster::of(&["a", "b", "c"]);
    cluster.manual_run = true;
    let settings = ClaimSettings::default();
    cluster.attempt("a", KEY);
    let finished = cluster.other_key(0);
    let number = cluster.attempt("a", &finished);
    cluster.deliver_all();
    cluster.run("a", number);
    cluster.deliver_all();
    assert_eq!(cluster.nodes["b"].holder.key_count(), 2);
    cluster.advance_time(settings.key_retention.as_millis() as u64 - 1_000);
    assert_eq!(cluster.nodes["b"].holder.key_count(), 2);
    cluster.advance_time(2_000);
    assert_eq!(cluster.nodes["b"].holder.key_count(), 0);
}

/// Guards against a view change that transfers records to holders that already have them, or that
/// omits a record that a holder lacks.
#[test]
fn view_change_transfers_only_missing_records() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    let count = super::measure::fill_shard(&mut cluster, 500);
    // One claim misses b, the other one misses a.
    for (number, without) in [(0, "b"), (1, "a")] {
        let key = cluster.other_key(number);
        cluster.attempt("c", &key);
        cluster.queue.retain(|packet| packet.to != without);
        cluster.deliver_all();
    }
    members[2] = member("d", 1);
    cluster.start("d", 1);
    cluster.nodes.swap_remove("c");
    cluster.apply_all(2, &members);
    let mut moved = 0;
    while !cluster.queue.is_empty() {
        let packet = cluster.queue.remove(0);
        if let Body::ShardChunk(chunk) = &packet.body {
            moved += chunk.records.len();
        }
        cluster.deliver(packet);
    }
    cluster.advance_time(1_000);
    assert!(cluster.is_settled(2));
    for name in ["a", "b", "d"] {
        assert_eq!(cluster.nodes[name].holder.key_count(), count + 2);
    }
    assert!(moved < count + count / 4, "{moved} records moved");
}

/// Guards against a transfer of several chunks that loses records when one chunk is lost or
/// duplicated.
#[test]
fn large_shard_is_transferred_in_chunks() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    let count = super::measure::fill_shard(&mut cluster, 12_000);
    members[2] = member("d", 1);
    cluster.start("d", 1);
    cluster.nodes.swap_remove("c");
    cluster.apply_all(2, &members);
    let mut chunks = 0;
    for _ in 0..20 {
        cluster.now.0 += 100_000;
        cluster.tick();
        while !cluster.queue.is_empty() {
            let packet = cluster.queue.remove(0);
            if matches!(&packet.body, Body::ShardChunk(ShardChunk { total, .. }) if *total > 0) {
                chunks += 1;
                if chunks == 3 {
                    continue;
                }
                cluster.deliver(packet.clone());
            }
            cluster.deliver(packet);
        }
    }
    assert!(chunks > 4, "{chunks} chunks");
    assert!(cluster.is_settled(2));
    assert_eq!(cluster.nodes["d"].holder.key_count(), count);
}

/// Guards against a second run by a deferred attempt that waits for almost an hour and asks for its
/// claim long after a resend of the same key has finished.
#[test]
fn late_attempt_finds_a_key_that_finished_long_ago() {
    let (mut cluster, _) = TestCluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    cluster.advance_time(3_500_000);
    cluster.attempt("b", KEY);
    cluster.deliver_all();
    assert_eq!(cluster.runs_of(KEY), 1);
}

/// Guards against a fence that is dropped after its retention while its attempt is still on the way,
/// which would then run.
#[test]
fn an_attempt_is_refused_after_its_fence_was_dropped() {
    let settings = ClaimSettings::default();
    let mut table = OutcomeTable::new("d".into(), IncarnationId(1), &settings);
    let start = Timestamp::from_millis(1);
    let owner = ClaimOwner {
        destination: "d".into(),
        destination_incarnation: 1,
        ..owner()
    };
    let next_call = AttemptId {
        call_id: owner.attempt.call_id + 1,
        ..owner.attempt.clone()
    };
    let answer = table.query(start, &next_call, &owner, start);
    assert_eq!(answer, Some(QueryAnswer::NeverRuns));
    let later = start + 10 * settings.key_retention;
    table.on_tick(later);
    let left = Duration::from_secs(1);
    let late = table.register_unkeyed(later, &owner.attempt, left);
    assert_eq!(late, AttemptAdmission::Fenced);
    let next = table.register_unkeyed(later, &next_call, left);
    assert_eq!(next, AttemptAdmission::Admitted);
}

/// Guards against a deferred attempt without a key that is forgotten while its call is open. A query
/// would take it for one that never arrived, and its entry would send another.
#[test]
fn an_attempt_without_a_key_is_remembered_until_its_call_ends() {
    let settings = ClaimSettings::default();
    let mut table = OutcomeTable::new("d".into(), IncarnationId(1), &settings);
    let start = Timestamp::from_millis(1);
    let hour = Duration::from_secs(3_600);
    let owner = ClaimOwner {
        destination: "d".into(),
        destination_incarnation: 1,
        ..owner()
    };
    let admitted = table.register_unkeyed(start, &owner.attempt, hour);
    assert_eq!(admitted, AttemptAdmission::Admitted);
    assert!(table.start_run(start, &owner.attempt));
    table.finish(start, &owner.attempt, StoredAnswer::default());
    let end = start + hour;
    table.on_tick(end);
    let answer = table.query(end, &owner.attempt, &owner, end);
    assert_eq!(answer, Some(QueryAnswer::AnswerGone));
}

/// Guards against a destination that forgets an attempt while holders still name it as the owner of
/// its key. The key would then be released and run again.
#[test]
fn lost_attempt_is_remembered_as_long_as_its_claim() {
    let settings = ClaimSettings::default();
    let mut table = OutcomeTable::new("d".into(), IncarnationId(1), &settings);
    let owner = owner();
    let start = Timestamp::from_millis(1);
    assert_eq!(
        table.register_keyed(start, &owner.attempt),
        AttemptAdmission::Admitted
    );
    assert!(table.start_run(start, &owner.attempt));
    table.mark_lost(start, &owner.attempt);
    let now = start + settings.key_retention;
    table.on_tick(now);
    let owner = ClaimOwner {
        destination: "d".into(),
        destination_incarnation: 1,
        ..owner
    };
    let query_id = AttemptId {
        call_id: 9,
        ..owner.attempt.clone()
    };
    let answer = table.query(now, &query_id, &owner, now);
    assert_eq!(answer, Some(QueryAnswer::Unknown));
}
