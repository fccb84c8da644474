//! What happens to a key when a process, a message or a holder is lost at a given moment.

use kumquatlock_wire::Body;
use kumquatlock_wire::claim::{ClaimAction, ClaimOwner};

use super::cluster::{Cluster, KEY, SERVICE, answer, member, other_member, snapshot_of};
use crate::claim::{AcquireDecision, ClaimSettings, FenceDecision, PlacementTable, QueryAnswer};

fn other_owner(decision: &AcquireDecision) -> ClaimOwner {
    match decision {
        AcquireDecision::ClaimedElsewhere(owner) | AcquireDecision::Finished(owner) => {
            owner.clone()
        }
        _ => panic!("no other owner: {decision:?}"),
    }
}

fn drop_actions(cluster: &mut Cluster, dropped: ClaimAction) {
    cluster.queue.retain(|packet| match &packet.body {
        Body::Claim(request) => request.action != dropped as i32,
        _ => true,
    });
}

/// A cluster whose destination `d` holds no claims, with an attempt granted there.
fn granted_at_d() -> (Cluster, u64) {
    let (mut cluster, members) = Cluster::of(&["a", "b", "c"]);
    cluster.manual_run = true;
    cluster.start("d", 1);
    cluster.apply_all(1, &members);
    let number = cluster.attempt("d", KEY);
    cluster.deliver_all();
    assert_eq!(cluster.decision("d", number), &AcquireDecision::Run);
    (cluster, number)
}

fn resend(cluster: &mut Cluster, destination: &str) -> AcquireDecision {
    let number = cluster.attempt(destination, KEY);
    cluster.pass(6_000);
    cluster.decision(destination, number).clone()
}

/// Guards against a second run after the destination was lost with the claim, whether or not its
/// upstream had started or finished the request.
#[test]
fn destination_lost_before_during_or_after_the_run() {
    for progress in 0..3 {
        let (mut cluster, number) = granted_at_d();
        if progress >= 1 {
            cluster.start_run("d", number);
        }
        if progress == 2 {
            cluster.finish_run("d", number);
            drop_actions(&mut cluster, ClaimAction::Finish);
        }
        cluster.start("d", 2);
        let decision = resend(&mut cluster, "a");
        let owner = other_owner(&decision);
        assert_eq!(owner.destination, "d");
        assert_eq!(cluster.query(&owner), Some(QueryAnswer::Unknown));
        assert_eq!(cluster.runs_of(KEY), usize::from(progress > 0));
    }
}

/// Guards against a run that a resend through another entry repeats, and against a kept answer
/// that does not reach it: the entry was lost, or the answer was.
#[test]
fn entry_or_answer_lost_leads_the_resend_to_the_kept_answer() {
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

/// Guards against messages that arrive twice, in reverse, or after their attempt was released.
#[test]
fn late_doubled_and_crossed_messages_grant_nothing_twice() {
    let (mut cluster, _) = Cluster::of(&["a", "b", "c"]);
    let first = cluster.attempt("a", KEY);
    let requests = cluster.queue.clone();
    let second = cluster.attempt("b", KEY);
    cluster.queue.extend(requests.clone());
    cluster.queue.reverse();
    cluster.deliver_all();
    cluster.queue.extend(requests.clone());
    cluster.pass(6_000);
    cluster.check().unwrap();
    let decisions = [cluster.decision("a", first), cluster.decision("b", second)];
    let runs = decisions
        .iter()
        .filter(|decision| ***decision == AcquireDecision::Run);
    assert_eq!(runs.count(), 1);

    // The release overtakes the acquire at every holder.
    let (mut cluster, _) = Cluster::of(&["a", "b", "c"]);
    let number = cluster.attempt("a", KEY);
    let requests = std::mem::take(&mut cluster.queue);
    cluster.abandon("a", number);
    cluster.deliver_all();
    cluster.queue.extend(requests);
    cluster.deliver_all();
    assert_eq!(resend(&mut cluster, "b"), AcquireDecision::Run);
}

/// Guards against a holder that comes back blank under its name and grants what it granted before.
#[test]
fn restarted_holder_grants_nothing_before_it_is_active() {
    let (mut cluster, mut members) = Cluster::of(&["a", "b", "c"]);
    // Only b and c learn of the first claim, which does not finish.
    cluster.manual_run = true;
    cluster.attempt("b", KEY);
    cluster.queue.retain(|packet| packet.to != "a");
    cluster.deliver_all();
    cluster.start("b", 2);
    // With the old configuration at the others, b's grants would complete a second majority.
    let crossed = cluster.attempt("a", KEY);
    cluster.deliver_all();
    assert!(!cluster.decisions.contains_key(&("a".to_owned(), crossed)));
    members[1].incarnation = 2;
    cluster.apply("b", &snapshot_of(2, &members));
    cluster.deliver_all();
    cluster.apply_all(2, &members);
    cluster.pass(6_000);
    assert_ne!(cluster.decision("a", crossed), &AcquireDecision::Run);
    let owner = other_owner(&resend(&mut cluster, "c"));
    assert_eq!(
        (&*owner.destination, owner.destination_incarnation),
        ("b", 1)
    );
}

/// Guards against two majorities in two views when the nodes are at different configurations.
#[test]
fn membership_changes_between_two_tries() {
    let (mut cluster, mut members) = Cluster::of(&["a", "b", "c"]);
    cluster.manual_run = true;
    let number = cluster.attempt("a", KEY);
    // The claim reaches a and b; c, which stays, has not seen it.
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
    cluster.pass(1_000);
    assert!(matches!(
        resend(&mut cluster, "d"),
        AcquireDecision::ClaimedElsewhere(_)
    ));
    // An entry at the old configuration is sent to holders that are fenced.
    assert_eq!(resend(&mut cluster, "b"), AcquireDecision::Unknown);
    assert_eq!(cluster.decision("a", number), &AcquireDecision::Run);
}

/// Guards against two runs of one key that callers send to two regions at once.
#[test]
fn two_tries_through_two_regions_at_once() {
    let (mut cluster, mut members) = Cluster::of(&["a", "b", "c"]);
    for (name, region) in [("d", "stajerska"), ("e", "primorska")] {
        cluster.start(name, 1);
        let mut added = member(name, 1);
        added.region = region.into();
        added.first = true;
        members.push(added);
    }
    cluster.apply_all(2, &members);
    cluster.pass(1_000);
    let tries = [cluster.attempt("d", KEY), cluster.attempt("e", KEY)];
    // Requests arrive alternately.
    cluster.queue.sort_by_key(|packet| packet.to.clone());
    cluster.pass(6_000);
    cluster.check().unwrap();
    assert_eq!(cluster.runs_of(KEY), 1, "{tries:?}");
}

/// Guards against the loss of a claim with one of its holders.
#[test]
fn one_holder_lost_and_replaced() {
    let (mut cluster, mut members) = Cluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.queue.retain(|packet| packet.to != "c");
    cluster.deliver_all();
    cluster.nodes.swap_remove("b");
    members[1] = member("d", 1);
    cluster.start("d", 1);
    cluster.apply_all(2, &members);
    cluster.pass(1_000);
    assert!(cluster.is_settled(2));
    assert!(matches!(
        resend(&mut cluster, "d"),
        AcquireDecision::Finished(_)
    ));
    assert_eq!(cluster.runs_of(KEY), 1);
}

/// Guards against a run on what one of three holders remembers, and against a shard that stays
/// closed after the retention has passed.
#[test]
fn two_holders_lost_leave_the_key_unknown_until_the_retention_has_passed() {
    let (mut cluster, mut members) = Cluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.queue.retain(|packet| packet.to != "c");
    cluster.deliver_all();
    for (index, name) in [(0, "a"), (1, "b")] {
        cluster.start(name, 2);
        members[index].incarnation = 2;
        members[index].first = false;
    }
    cluster.apply_all(2, &members);
    let closed = ClaimSettings::default().lost_view_timeout();
    cluster.pass(closed.as_millis() as u64 - 100_000);
    assert_eq!(resend(&mut cluster, "a"), AcquireDecision::Unknown);
    let fence = cluster.fence("c", KEY);
    cluster.pass(6_000);
    assert_eq!(
        cluster.fences[&("c".to_owned(), fence)],
        FenceDecision::Unknown
    );
    assert_eq!(cluster.runs_of(KEY), 1);
    cluster.pass(100_000);
    assert!(cluster.is_settled(2));
    let key = cluster.other_key(0);
    let number = cluster.attempt("a", &key);
    cluster.deliver_all();
    assert_eq!(cluster.decision("a", number), &AcquireDecision::Run);
}

/// Milliseconds between the ticks of a node, no shorter than the repeat of a fetch.
const NODE_TICK: u64 = 500;

/// Guards against a shard that stays closed for good after two of its holders were lost, because it
/// waits for the service's first upstream, which is none of its holders, and never asks it.
#[test]
fn two_holders_lost_open_again_where_the_first_upstream_holds_other_shards() {
    let apart = |names: &&[&str; 4]| {
        let (mut cluster, _) = Cluster::of(&names[..]);
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
    let names = orders.iter().find(apart).unwrap();
    let (mut cluster, mut members) = Cluster::of(names);
    for index in [1, 2] {
        cluster.start(names[index], 2);
        members[index].incarnation = 2;
    }
    cluster.apply_all(2, &members);
    let closed = ClaimSettings::default().lost_view_timeout().as_millis() as u64;
    cluster.pass_in_steps(closed - 10_000, NODE_TICK);
    assert!(!cluster.is_settled(2));
    cluster.pass_in_steps(20_000, NODE_TICK);
    assert!(cluster.is_settled(2));
}

/// Guards against a key that runs after its caller was told that it did not.
#[test]
fn not_run_is_final() {
    let (mut cluster, mut members) = Cluster::of(&["a", "b", "c"]);
    // The fence and a late attempt meet: c has the attempt, a and b have the fence.
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
    cluster.pass(6_000);
    assert!(cluster.is_settled(2));
    assert_ne!(cluster.decision("c", late), &AcquireDecision::Run);
    assert_eq!(resend(&mut cluster, "d"), AcquireDecision::Fenced);
    cluster.check().unwrap();
    assert_eq!(cluster.runs_of(KEY), 0);
}

/// Guards against a holder that enters a view on the word of one that is active in a later view:
/// the later view may have been formed without fencing the earlier one.
#[test]
fn later_view_does_not_open_an_earlier_one() {
    let (mut cluster, members) = Cluster::of(&["a", "b", "c"]);
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
    cluster.pass(1_000);
    for name in ["d", "e"] {
        cluster.apply(name, &snapshot_of(2, &earlier));
    }
    cluster.pass(5_000);
    assert_eq!(cluster.nodes["f"].holder.joining_shards(), 0);
    assert_eq!(cluster.nodes["d"].holder.joining_shards(), 1);
    assert_eq!(cluster.nodes["e"].holder.joining_shards(), 1);
}

/// Guards against a second run after a blank start: two holders that the configuration no longer
/// lists, and that cannot learn of it, have granted all the time.
#[test]
fn unlisted_holders_stop_granting_before_others_start_blank() {
    let (mut cluster, members) = Cluster::of(&["a", "b", "c"]);
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
    // The two sides of a partition.
    cluster.split = Some(["a", "b"].map(str::to_owned).to_vec());
    cluster.pass(settings.isolation_limit.as_millis() as u64 - 10_000);
    let key = cluster.other_key(0);
    let early = cluster.attempt("a", &key);
    cluster.pass(1_000);
    assert_eq!(cluster.decision("a", early), &AcquireDecision::Run);
    cluster.pass(10_000);
    let late = cluster.attempt("a", KEY);
    cluster.pass(6_000);
    assert_eq!(cluster.decision("a", late), &AcquireDecision::Unknown);
    let blank = settings.lost_view_timeout().as_millis() as u64;
    cluster.pass(blank - 400_000);
    assert_eq!(resend(&mut cluster, "c"), AcquireDecision::Unknown);
    cluster.pass(110_000);
    assert_eq!(resend(&mut cluster, "c"), AcquireDecision::Run);
    cluster.check().unwrap();
}

/// Guards against a shard that stays closed after an outage of all control instances in which
/// nothing changed.
#[test]
fn holders_go_on_after_an_outage_of_the_configuration() {
    let (mut cluster, _) = Cluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    let all = ["a", "b", "c"].map(str::to_owned);
    cluster.cut_off.extend(all);
    let limit = ClaimSettings::default().isolation_limit.as_millis() as u64;
    cluster.pass(limit + 1_000);
    assert_eq!(resend(&mut cluster, "b"), AcquireDecision::Unknown);
    cluster.cut_off.clear();
    assert!(matches!(
        resend(&mut cluster, "b"),
        AcquireDecision::Finished(_)
    ));
}

/// Guards against a view that grants for as long as its holders run, to nodes that are cut off
/// with the configuration that named it.
#[test]
fn view_that_the_configuration_no_longer_names_stops_granting() {
    let (mut cluster, mut members) = Cluster::of(&["a", "b", "c"]);
    let old = "z";
    cluster.start(old, 1);
    cluster.apply(old, &snapshot_of(1, &members));
    // All holders are replaced, but stay listed. The new ones reach none of them.
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
    cluster.pass(ClaimSettings::default().isolation_limit.as_millis() as u64);
    let key = cluster.other_key(0);
    let late = cluster.attempt(old, &key);
    cluster.pass(6_000);
    assert_eq!(cluster.decision(old, late), &AcquireDecision::Unknown);
}

/// Guards against two holders that leave together, or one after the other, and take with them what
/// only they know. Nodes that stop one by one would make a double loss otherwise.
#[test]
fn two_holders_leave_without_a_double_loss() {
    for together in [true, false] {
        let (mut cluster, members) = Cluster::of(&["a", "b", "c"]);
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
            assert!(!cluster.hand_over(name), "nobody has the claims yet");
        }
        let mut leaving = vec!["a", "b"];
        for _ in 0..30 {
            cluster.pass(100);
            leaving.retain(|name| !cluster.hand_over(name));
        }
        assert!(leaving.is_empty(), "{leaving:?} wait for nothing");
        for name in ["a", "b"] {
            cluster.nodes.swap_remove(name);
        }
        cluster.pass(1_000);
        assert!(cluster.is_settled(3));
        let decision = resend(&mut cluster, "d");
        assert!(matches!(decision, AcquireDecision::Finished(_)));
    }
}

/// Guards against nodes that wait for successors of a service that stops as a whole.
#[test]
fn last_holders_of_a_service_wait_for_nobody() {
    let (mut cluster, _) = Cluster::of(&["a", "b", "c"]);
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    cluster.apply_all(2, &[]);
    for name in ["a", "b", "c"] {
        assert!(cluster.hand_over(name));
    }
}

/// Guards against a shard of a service with one upstream that is closed, or forgets its claims,
/// when that upstream restarts or is replaced.
#[test]
fn nodes_of_other_services_keep_the_claims_of_a_single_upstream() {
    let (mut cluster, mut members) = Cluster::of(&["a"]);
    for name in ["f", "g", "h"] {
        cluster.start(name, 1);
        members.push(other_member(name, 1));
    }
    members[1].first = true;
    cluster.apply_all(2, &members);
    cluster.pass(1_000);
    assert!(cluster.is_settled(2));
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    // Lost without a handover; for a while the service has no upstream at all.
    cluster.start("a", 2);
    let a = members.remove(0);
    cluster.apply_all(3, &members);
    cluster.pass(1_000);
    members.push(member(&a.name, 2));
    cluster.apply_all(4, &members);
    cluster.pass(1_000);
    assert!(cluster.is_settled(4));
    let decision = resend(&mut cluster, "a");
    assert_eq!(other_owner(&decision).destination_incarnation, 1);
    assert_eq!(cluster.runs_of(KEY), 1);
    let key = cluster.other_key(0);
    let number = cluster.attempt("a", &key);
    cluster.deliver_all();
    assert_eq!(cluster.decision("a", number), &AcquireDecision::Run);
}
