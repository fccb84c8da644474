//! Tests of what happens to a key when a process, a message or a holder is lost at a given moment.

use kumquatlock_wire::Body;
use kumquatlock_wire::claim::{ClaimAction, ClaimOwner};

use super::cluster::{KEY, SERVICE, TestCluster, answer, member, other_member, snapshot_of};
use crate::claim::{AcquireDecision, ClaimSettings, FenceDecision, PlacementTable, QueryAnswer};

fn other_owner(decision: &AcquireDecision) -> ClaimOwner {
    match decision {
        AcquireDecision::ClaimedElsewhere(owner) | AcquireDecision::Finished(owner) => {
            owner.clone()
        }
        _ => panic!("the decision names no other owner: {decision:?}"),
    }
}

fn drop_requests(cluster: &mut TestCluster, action: ClaimAction) {
    cluster.queue.retain(|packet| match &packet.body {
        Body::Claim(request) => request.action != action as i32,
        _ => true,
    });
}

/// Creates a cluster with a granted attempt at the destination `d`, which holds no claims itself.
fn granted_at_d() -> (TestCluster, u64) {
    let (mut cluster, members) = TestCluster::of(&["a", "b", "c"]);
    cluster.manual_run = true;
    cluster.start("d", 1);
    cluster.apply_all(1, &members);
    let number = cluster.attempt("d", KEY);
    cluster.deliver_all();
    assert_eq!(cluster.decision("d", number), &AcquireDecision::Run);
    (cluster, number)
}

fn resend(cluster: &mut TestCluster, destination: &str) -> AcquireDecision {
    let number = cluster.attempt(destination, KEY);
    cluster.advance_time(6_000);
    cluster.decision(destination, number).clone()
}

/// Guards against a second run after the destination restarted and lost the attempt, whether its
/// upstream had not started, had started or had finished the request.
#[test]
fn destination_lost_before_during_or_after_the_run() {
    for progress in 0..3 {
        let (mut cluster, number) = granted_at_d();
        if progress >= 1 {
            cluster.start_run("d", number);
        }
        if progress == 2 {
            cluster.finish_run("d", number);
            drop_requests(&mut cluster, ClaimAction::Finish);
        }
        cluster.start("d", 2);
        let decision = resend(&mut cluster, "a");
        let owner = other_owner(&decision);
        assert_eq!(owner.destination, "d");
        assert_eq!(cluster.query(&owner), Some(QueryAnswer::Unknown));
        assert_eq!(cluster.runs_of(KEY), usize::from(progress > 0));
    }
}

/// Guards against a second run by a resend through another entry after the first entry or its
/// answer was lost, and against a resend that does not get the stored answer.
#[test]
fn resend_gets_the_stored_answer_after_the_entry_or_answer_is_lost() {
    let (mut cluster, number) = granted_at_d();
    cluster.start_run("d", number);
    let owner = other_owner(&resend(&mut cluster, "a"));
    assert_eq!(cluster.query(&owner), None, "the query waits for the run");
    cluster.finish_run("d", number);
    cluster.deliver_all();
    let decision = resend(&mut cluster, "b");
    assert!(matches!(decision, AcquireDecision::Finished(_)));
    let kept = cluster.query(&other_owner(&decision));
    assert_eq!(kept, Some(QueryAnswer::Answered(answer())));
    assert_eq!(cluster.runs_of(KEY), 1);
}

/// Guards against a second grant when messages arrive twice, in reverse order, or after their
/// attempt was released.
#[test]
fn late_duplicated_and_reordered_messages_grant_once() {
    let (mut cluster, _) = TestCluster::of(&["a", "b", "c"]);
    let first = cluster.attempt("a", KEY);
    let requests = cluster.queue.clone();
    let second = cluster.attempt("b", KEY);
    cluster.queue.extend(requests.clone());
    cluster.queue.reverse();
    cluster.deliver_all();
    cluster.queue.extend(requests.clone());
    cluster.advance_time(6_000);
    cluster.check_guarantees().unwrap();
    let decisions = [cluster.decision("a", first), cluster.decision("b", second)];
    let runs = decisions
        .iter()
        .filter(|decision| ***decision == AcquireDecision::Run);
    assert_eq!(runs.count(), 1);

    // The release overtakes the acquire at every holder.
    let (mut cluster, _) = TestCluster::of(&["a", "b", "c"]);
    let number = cluster.attempt("a", KEY);
    let requests = std::mem::take(&mut cluster.queue);
    cluster.abandon("a", number);
    cluster.deliver_all();
    cluster.queue.extend(requests);
    cluster.deliver_all();
    assert_eq!(resend(&mut cluster, "b"), AcquireDecision::Run);
}

/// Guards against a holder that restarts without records under the same name and grants again what
/// it granted before.
#[test]
fn restarted_holder_grants_nothing_before_it_is_active() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    // Only b and c learn of the first claim, which does not finish.
    cluster.manual_run = true;
    cluster.attempt("b", KEY);
    cluster.queue.retain(|packet| packet.to != "a");
    cluster.deliver_all();
    cluster.start("b", 2);
    // The others still have the old configuration, so grants from b would complete a second
    // majority.
    let second = cluster.attempt("a", KEY);
    cluster.deliver_all();
    assert!(!cluster.decisions.contains_key(&("a".to_owned(), second)));
    members[1].incarnation = 2;
    cluster.apply("b", &snapshot_of(2, &members));
    cluster.deliver_all();
    cluster.apply_all(2, &members);
    cluster.advance_time(6_000);
    assert_ne!(cluster.decision("a", second), &AcquireDecision::Run);
    let owner = other_owner(&resend(&mut cluster, "c"));
    assert_eq!(
        (&*owner.destination, owner.destination_incarnation),
        ("b", 1)
    );
}

/// Guards against majorities in two views while the nodes are at different configurations.
#[test]
fn membership_change_between_two_attempts() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    cluster.manual_run = true;
    let number = cluster.attempt("a", KEY);
    // The claim reaches a and b. The remaining holder c does not see it.
    cluster.queue.retain(|packet| packet.to != "c");
    cluster.deliver_all();
    members[0] = member("d", 1);
    members[1] = member("e", 1);
    cluster.start("d", 1);
    cluster.start("e", 1);
    // Of the old holders only c knows the new configuration.
    for name in ["c", "d", "e"] {
        cluster.apply(name, &snapshot_of(2, &members));
    }
    cluster.advance_time(1_000);
    assert!(matches!(
        resend(&mut cluster, "d"),
        AcquireDecision::ClaimedElsewhere(_)
    ));
    // An entry at the old configuration asks holders that are fenced.
    assert_eq!(resend(&mut cluster, "b"), AcquireDecision::Unknown);
    assert_eq!(cluster.decision("a", number), &AcquireDecision::Run);
}

/// Guards against two runs of one key that callers send to two regions at the same time.
#[test]
fn concurrent_attempts_in_two_regions_run_once() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    for (name, region) in [("d", "stajerska"), ("e", "primorska")] {
        cluster.start(name, 1);
        let mut added = member(name, 1);
        added.region = region.into();
        added.first_in_region = true;
        members.push(added);
    }
    cluster.apply_all(2, &members);
    cluster.advance_time(1_000);
    let attempts = [cluster.attempt("d", KEY), cluster.attempt("e", KEY)];
    // Interleaves the requests of both attempts at each holder.
    cluster.queue.sort_by_key(|packet| packet.to.clone());
    cluster.advance_time(6_000);
    cluster.check_guarantees().unwrap();
    assert_eq!(cluster.runs_of(KEY), 1, "{attempts:?}");
}

/// Guards against the loss of a claim when one of its holders is lost.
#[test]
fn one_holder_lost_and_replaced() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.queue.retain(|packet| packet.to != "c");
    cluster.deliver_all();
    cluster.nodes.swap_remove("b");
    members[1] = member("d", 1);
    cluster.start("d", 1);
    cluster.apply_all(2, &members);
    cluster.advance_time(1_000);
    assert!(cluster.is_settled(2));
    assert!(matches!(
        resend(&mut cluster, "d"),
        AcquireDecision::Finished(_)
    ));
    assert_eq!(cluster.runs_of(KEY), 1);
}

/// Guards against a run that relies on the records of only one of three holders, and against a
/// shard in which nothing is granted after the retention has passed.
#[test]
fn two_holders_lost_leave_the_key_unknown_until_the_retention_has_passed() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.queue.retain(|packet| packet.to != "c");
    cluster.deliver_all();
    for (index, name) in [(0, "a"), (1, "b")] {
        cluster.start(name, 2);
        members[index].incarnation = 2;
        members[index].first_in_region = false;
    }
    cluster.apply_all(2, &members);
    let timeout = ClaimSettings::default().lost_view_timeout();
    cluster.advance_time(timeout.as_millis() as u64 - 100_000);
    assert_eq!(resend(&mut cluster, "a"), AcquireDecision::Unknown);
    let fence = cluster.fence("c", KEY);
    cluster.advance_time(6_000);
    assert_eq!(
        cluster.fences[&("c".to_owned(), fence)],
        FenceDecision::Unknown
    );
    assert_eq!(cluster.runs_of(KEY), 1);
    cluster.advance_time(100_000);
    assert!(cluster.is_settled(2));
    let key = cluster.other_key(0);
    let number = cluster.attempt("a", &key);
    cluster.deliver_all();
    assert_eq!(cluster.decision("a", number), &AcquireDecision::Run);
}

/// Milliseconds between the ticks of a node; not shorter than the interval at which a fetch is
/// repeated.
const NODE_TICK_MS: u64 = 500;

/// Guards against a shard that never reopens after two of its holders were lost. Its remaining
/// holder waited for an answer of the first upstream of the service, which does not hold this
/// shard, but never asked it.
#[test]
fn shard_reopens_after_two_lost_holders_when_the_first_upstream_is_no_holder() {
    let first_is_no_holder = |names: &&[&str; 4]| {
        let (mut cluster, _) = TestCluster::of(&names[..]);
        let (_, view) = cluster.nodes[names[0]]
            .placement
            .locate(SERVICE, KEY)
            .unwrap();
        view.holders.iter().all(|holder| holder.name != names[0])
    };
    let orders = [
        ["a", "b", "c", "d"],
        ["b", "c", "d", "a"],
        ["c", "d", "a", "b"],
    ];
    let names = orders.iter().find(first_is_no_holder).unwrap();
    let (mut cluster, mut members) = TestCluster::of(names);
    for index in [1, 2] {
        cluster.start(names[index], 2);
        members[index].incarnation = 2;
    }
    cluster.apply_all(2, &members);
    let timeout = ClaimSettings::default().lost_view_timeout().as_millis() as u64;
    cluster.advance_time_in_steps(timeout - 10_000, NODE_TICK_MS);
    assert!(!cluster.is_settled(2));
    cluster.advance_time_in_steps(20_000, NODE_TICK_MS);
    assert!(cluster.is_settled(2));
}

/// Guards against a key that runs after its caller was told that it did not.
#[test]
fn not_run_is_final() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    // A fence and a late attempt compete: c granted the attempt, a and b granted the fence.
    let late = cluster.attempt("c", KEY);
    let requests = std::mem::take(&mut cluster.queue);
    let to_c = requests.iter().filter(|packet| packet.to == "c").cloned();
    cluster.queue.extend(to_c);
    cluster.deliver_all();
    let fence = cluster.fence("a", KEY);
    cluster.deliver_all();
    assert_eq!(
        cluster.fences[&("a".to_owned(), fence)],
        FenceDecision::NotRun
    );
    // The next view is formed from b and c, which disagree.
    cluster.nodes.swap_remove("a");
    members[0] = member("d", 1);
    cluster.start("d", 1);
    cluster.apply_all(2, &members);
    cluster.queue.extend(requests);
    cluster.advance_time(6_000);
    assert!(cluster.is_settled(2));
    assert_ne!(cluster.decision("c", late), &AcquireDecision::Run);
    assert_eq!(resend(&mut cluster, "d"), AcquireDecision::Fenced);
    cluster.check_guarantees().unwrap();
    assert_eq!(cluster.runs_of(KEY), 0);
}

/// Guards against a holder that enters a view because another holder is active in a later view. The
/// later view may have been formed without fencing the earlier one.
#[test]
fn later_active_view_does_not_activate_an_earlier_one() {
    let (mut cluster, members) = TestCluster::of(&["a", "b", "c"]);
    let mut earlier = members.clone();
    earlier[0] = member("d", 1);
    earlier[1] = member("e", 1);
    let mut later = members;
    later[0] = member("f", 1);
    for name in ["d", "e", "f"] {
        cluster.start(name, 1);
    }
    for name in ["b", "c", "f"] {
        cluster.apply(name, &snapshot_of(3, &later));
    }
    cluster.advance_time(1_000);
    for name in ["d", "e"] {
        cluster.apply(name, &snapshot_of(2, &earlier));
    }
    cluster.advance_time(5_000);
    assert_eq!(cluster.nodes["f"].holder.joining_shards(), 0);
    assert_eq!(cluster.nodes["d"].holder.joining_shards(), 1);
    assert_eq!(cluster.nodes["e"].holder.joining_shards(), 1);
}

/// Guards against a second run of a key when holders start a view without the records of two lost
/// holders. The two are no longer listed and cannot learn this, so they must have stopped granting
/// before the others start without them.
#[test]
fn unlisted_holders_stop_granting_before_others_ignore_them() {
    let (mut cluster, members) = TestCluster::of(&["a", "b", "c"]);
    let settings = ClaimSettings::default();
    let mut later = members.clone();
    later[0] = member("d", 1);
    later[1] = member("e", 1);
    cluster.cut_off.extend(["a".to_owned(), "b".to_owned()]);
    for name in ["d", "e"] {
        cluster.start(name, 1);
    }
    for name in ["c", "d", "e"] {
        cluster.apply(name, &snapshot_of(2, &later));
    }
    // Separates the two sides by a partition.
    cluster.partition = Some(["a", "b"].map(str::to_owned).to_vec());
    cluster.advance_time(settings.isolation_limit.as_millis() as u64 - 10_000);
    let key = cluster.other_key(0);
    let early = cluster.attempt("a", &key);
    cluster.advance_time(1_000);
    assert_eq!(cluster.decision("a", early), &AcquireDecision::Run);
    cluster.advance_time(10_000);
    let late = cluster.attempt("a", KEY);
    cluster.advance_time(6_000);
    assert_eq!(cluster.decision("a", late), &AcquireDecision::Unknown);
    let timeout = settings.lost_view_timeout().as_millis() as u64;
    cluster.advance_time(timeout - 400_000);
    assert_eq!(resend(&mut cluster, "c"), AcquireDecision::Unknown);
    cluster.advance_time(110_000);
    assert_eq!(resend(&mut cluster, "c"), AcquireDecision::Run);
    cluster.check_guarantees().unwrap();
}

/// Guards against a shard in which nothing is granted any more after an outage of all control
/// instances during which the configuration did not change.
#[test]
fn holders_grant_again_after_a_control_outage() {
    let (mut cluster, _) = TestCluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    let all = ["a", "b", "c"].map(str::to_owned);
    cluster.cut_off.extend(all);
    let limit = ClaimSettings::default().isolation_limit.as_millis() as u64;
    cluster.advance_time(limit + 1_000);
    assert_eq!(resend(&mut cluster, "b"), AcquireDecision::Unknown);
    cluster.cut_off.clear();
    assert!(matches!(
        resend(&mut cluster, "b"),
        AcquireDecision::Finished(_)
    ));
}

/// Guards against holders of a superseded view that never stop granting to a node that is cut off
/// and still uses the configuration that named the view.
#[test]
fn superseded_view_stops_granting() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    let old = "z";
    cluster.start(old, 1);
    cluster.apply(old, &snapshot_of(1, &members));
    // All holders are replaced but stay listed. The new holders cannot reach them.
    members.iter_mut().for_each(|member| member.zone = 0);
    members.extend((0..60).map(|index| member(&format!("n{index}"), 1)));
    let snapshot = snapshot_of(2, &members);
    let mut placement = PlacementTable::default();
    placement.update(snapshot.clone());
    let (_, view) = placement.locate(SERVICE, KEY).unwrap();
    for name in ["a", "b", "c"] {
        assert!(view.holders.iter().all(|holder| holder.name != name));
        cluster.apply(name, &snapshot);
    }
    let early = cluster.attempt(old, KEY);
    cluster.deliver_all();
    assert_eq!(cluster.decision(old, early), &AcquireDecision::Run);
    cluster.advance_time(ClaimSettings::default().isolation_limit.as_millis() as u64);
    let key = cluster.other_key(0);
    let late = cluster.attempt(old, &key);
    cluster.advance_time(6_000);
    assert_eq!(cluster.decision(old, late), &AcquireDecision::Unknown);
}

/// Guards against two holders that leave together, or one after the other, and take records with
/// them that only they have. Stopping nodes one by one would then have the same effect as the loss
/// of two holders.
#[test]
fn two_leaving_holders_hand_over_their_claims() {
    for together in [true, false] {
        let (mut cluster, members) = TestCluster::of(&["a", "b", "c"]);
        cluster.start("d", 1);
        cluster.start("e", 1);
        cluster.attempt("a", KEY);
        cluster.queue.retain(|packet| packet.to != "c");
        cluster.deliver_all();
        let one_left = vec![members[1].clone(), members[2].clone(), member("d", 1)];
        let both_left = vec![members[2].clone(), member("d", 1), member("e", 1)];
        if !together {
            cluster.apply_all(2, &one_left);
        }
        cluster.apply_all(3, &both_left);
        for name in ["a", "b"] {
            assert!(
                !cluster.hand_over(name),
                "no other holder has the claims yet"
            );
        }
        let mut leaving = vec!["a", "b"];
        for _ in 0..30 {
            cluster.advance_time(100);
            leaving.retain(|name| !cluster.hand_over(name));
        }
        assert!(
            leaving.is_empty(),
            "{leaving:?} still wait after the handover"
        );
        for name in ["a", "b"] {
            cluster.nodes.swap_remove(name);
        }
        cluster.advance_time(1_000);
        assert!(cluster.is_settled(3));
        let decision = resend(&mut cluster, "d");
        assert!(matches!(decision, AcquireDecision::Finished(_)));
    }
}

/// Guards against leaving nodes that wait for the next holders of a service that stops as a whole.
#[test]
fn holders_of_a_removed_service_leave_at_once() {
    let (mut cluster, _) = TestCluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    cluster.apply_all(2, &[]);
    for name in ["a", "b", "c"] {
        assert!(cluster.hand_over(name));
    }
}

/// Guards against a service with one upstream in which nothing is granted, or claims are forgotten,
/// after that upstream restarts or is replaced.
#[test]
fn auxiliary_holders_keep_the_claims_of_a_single_upstream() {
    let (mut cluster, mut members) = TestCluster::of(&["a"]);
    for name in ["f", "g", "h"] {
        cluster.start(name, 1);
        members.push(other_member(name, 1));
    }
    members[1].first_in_region = true;
    cluster.apply_all(2, &members);
    cluster.advance_time(1_000);
    assert!(cluster.is_settled(2));
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    // The upstream is lost without a handover, and for a while the service has no upstream at all.
    cluster.start("a", 2);
    let a = members.remove(0);
    cluster.apply_all(3, &members);
    cluster.advance_time(1_000);
    members.push(member(&a.name, 2));
    cluster.apply_all(4, &members);
    cluster.advance_time(1_000);
    assert!(cluster.is_settled(4));
    let decision = resend(&mut cluster, "a");
    assert_eq!(other_owner(&decision).destination_incarnation, 1);
    assert_eq!(cluster.runs_of(KEY), 1);
    let key = cluster.other_key(0);
    let number = cluster.attempt("a", &key);
    cluster.deliver_all();
    assert_eq!(cluster.decision("a", number), &AcquireDecision::Run);
}
