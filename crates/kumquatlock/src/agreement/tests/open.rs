//! Tests of open groups, in which instances join and replace lost voters.

use kumquatlock_wire::agreement::{EntryKind, LogEntry, VoterIdentity, VoterSet};
use prost::Message;

use super::super::voters::VoterState;
use super::group::{REPLACE_AFTER, TestGroup};
use super::*;

/// Returns a group of three founders and of members that joined one after the other.
fn open_group_with(joiners: &[&str], seed: u64) -> TestGroup {
    let mut group = TestGroup::open(&["a", "b", "c"], seed);
    group.elect();
    for joiner in joiners {
        group.start_joining(joiner);
        group.run(3_000);
    }
    group
}

fn replacement_wait_ms() -> u64 {
    2 * REPLACE_AFTER.as_millis() as u64
}

/// Guards against members that join but never become voters, and against an unbounded number of
/// voters: the sixth member stays a learner.
#[test]
fn members_join_until_the_group_has_its_maximum_size() {
    let group = open_group_with(&["d", "e", "f"], 31);
    assert_eq!(group.voter_names().len(), 5);
    assert!(!group.voter_names().contains("f"));
    let ids = group
        .voters
        .values()
        .map(|voter| voter.engine.status().group_id);
    let ids: std::collections::BTreeSet<_> = ids.collect();
    assert_eq!(ids.len(), 1, "all members belong to the same group");
}

/// Guards against a learner that never receives the entries that were committed before it joined.
#[test]
fn a_learner_receives_entries_committed_before_it_joined() {
    let mut group = open_group_with(&["d", "e"], 32);
    let leader = group.elect();
    for number in 1..=9 {
        group.propose(&leader, number);
        group.run(100);
    }
    group.start_joining("f");
    group.run(3_000);
    for number in 1..=9 {
        assert!(
            group.has_applied("f", number),
            "f has not applied proposal {number}"
        );
    }
}

/// Guards against a group that loses voters permanently. A learner replaces a lost voter, and the
/// group then survives the loss of two more voters.
#[test]
fn a_learner_replaces_a_lost_voter() {
    let mut group = open_group_with(&["d", "e", "f"], 33);
    let leader = group.elect();
    let lost = ["a", "b", "c", "d", "e"]
        .into_iter()
        .find(|name| **name != *leader);
    let lost = lost.expect("a voter other than the leader");
    group.crash(lost);
    group.run(replacement_wait_ms());
    let voters = group.voter_names();
    assert!(voters.contains("f") && !voters.contains(lost), "{voters:?}");
    let others: Vec<String> = voters
        .into_iter()
        .filter(|name| **name != *leader)
        .collect();
    group.crash(&others[0]);
    group.crash(&others[1]);
    let leader = group.elect();
    group.propose(&leader, 71);
    group.run(500);
    assert!(group.proposals[&71].is_ok());
}

/// Guards against a voter that is replaced after a short silence.
#[test]
fn a_voter_that_returns_in_time_is_not_replaced() {
    let mut group = open_group_with(&["d", "e", "f"], 34);
    let before = group.voter_names();
    let leader = group.elect();
    let silent = before
        .iter()
        .find(|name| ***name != *leader)
        .expect("a voter other than the leader");
    group.crash(silent);
    group.run(REPLACE_AFTER.as_millis() as u64 / 2);
    group.restart(silent);
    group.run(replacement_wait_ms());
    assert_eq!(group.voter_names(), before);
}

/// Guards against an empty disk whose vote counts as a vote of the lost disk. The empty disk does
/// not hold the entries that the lost disk acknowledged.
#[test]
fn an_empty_disk_does_not_vote_in_place_of_the_lost_disk() {
    let mut group = open_group_with(&[], 35);
    let leader = group.elect();
    let others = ["a", "b", "c"].into_iter().filter(|name| **name != *leader);
    let others: Vec<&str> = others.collect();
    group.isolated.insert(others[1].into());
    group.propose(&leader, 81);
    group.run(300);
    assert!(group.proposals[&81].is_ok());
    // Besides the leader, only one voter has stored the proposal. That voter loses its disk.
    group.crash(&leader);
    group.start_joining(others[0]);
    group.isolated.clear();
    group.run(8_000);
    assert_eq!(
        group.leader(),
        None,
        "two voters without the proposal elected a leader"
    );
    group.restart(&leader);
    group.elect();
    group.run(3_000);
    group.assert_nothing_lost();
}

/// Guards against a group that never elects a leader again after a loss of power and of one disk. The
/// new voter, whose vote is needed, has not received the entry that made it a voter.
#[test]
fn a_new_voter_votes_before_it_knows_that_it_is_one() {
    let mut group = open_group_with(&[], 39);
    let leader = group.elect();
    group.start_joining("d");
    let names = ["a", "b", "c", "d"];
    while !group.voters[&leader].engine.voters.has_pending_set() {
        if names.iter().any(|name| group.write_next(name)) {
            continue;
        }
        match group.queue.pop_front() {
            Some((to, message)) => group.deliver(&to, message),
            None => group.tick(),
        }
    }
    group.isolated.insert("d".into());
    group.run(300);
    assert!(group.voter_names().contains("d"));
    assert_eq!(group.role("d"), AgreementRole::Learner);
    names.iter().for_each(|name| group.crash(name));
    group.queue.clear();
    group.isolated.clear();
    names.iter().for_each(|name| group.restart(name));
    let lost = names.iter().find(|name| ***name != *leader).unwrap();
    group.start(lost, RecoveredState::default());
    let leader = group.elect();
    group.propose(&leader, 7);
    group.run(500);
    assert!(group.proposals[&7].is_ok());
}

/// Guards against two diverging configurations. The minority side of a network partition commits
/// nothing, and the majority side continues.
#[test]
fn the_minority_side_of_a_partition_commits_nothing() {
    let mut group = open_group_with(&["d", "e"], 36);
    let old = group.elect();
    let other = ["a", "b", "c"].into_iter().find(|name| **name != *old);
    let other: SharedName = other.expect("a founder other than the leader").into();
    group.isolated = [old.clone(), other.clone()].into();
    group.propose(&old, 91);
    group.run(300);
    let new = group.elect();
    group.propose(&new, 92);
    group.run(300);
    assert!(group.proposals[&92].is_ok());
    assert!(!group.has_applied(&old, 91) && !group.has_applied(&other, 91));
    group.isolated.clear();
    group.run(replacement_wait_ms());
    assert!(group.has_applied(&old, 92) && !group.has_applied(&new, 91));
}

/// Guards against a second group that is formed by a member that joins later.
#[test]
fn a_joining_member_never_forms_a_group() {
    let mut group = TestGroup::open(&["a", "b", "c"], 37);
    group.elect();
    let formed = group.voters["b"].engine.status().group_id;
    group.isolated = ["a".into(), "b".into(), "c".into()].into();
    for joiner in ["d", "e", "f"] {
        group.start_joining(joiner);
    }
    group.run(8_000);
    for joiner in ["d", "e", "f"] {
        assert_eq!(group.role(joiner), AgreementRole::Forming);
    }
    group.isolated.clear();
    group.run(8_000);
    for joiner in ["d", "e", "f"] {
        assert_eq!(group.voters[joiner].engine.status().group_id, formed);
    }
}

/// Guards against a leader silence that is never detected, or detected while the leader sends
/// messages.
#[test]
fn leader_silence_grows_only_on_an_isolated_member() {
    let mut group = open_group_with(&[], 38);
    let leader = group.elect();
    let others: Vec<SharedName> = group
        .voters
        .keys()
        .filter(|name| **name != leader)
        .cloned()
        .collect();
    let silence =
        |group: &TestGroup, name: &SharedName| group.voters[name].engine.leader_silence(group.now);
    group.run(2_000);
    assert!(silence(&group, &leader).is_zero());
    for other in &others {
        assert!(silence(&group, other) < group.settings.election_timeout_min);
    }
    group.isolated.insert(others[0].clone());
    group.run(3_000);
    assert!(silence(&group, &others[0]) >= std::time::Duration::from_millis(2_500));
    assert!(silence(&group, &others[1]) < group.settings.election_timeout_min);
}

/// Guards against two disjoint majorities while one voter replaces another: a majority of the old
/// set that elects a leader, and a majority of the new set that commits under another leader.
#[test]
fn a_replacement_needs_majorities_of_the_old_and_the_new_voter_set() {
    let identity = |name: &str| VoterIdentity {
        name: name.into(),
        disk_id: 1,
    };
    let voters: Vec<VoterIdentity> = ["a", "b", "c", "d", "e"].map(identity).into();
    let mut state = VoterState::new(VoterSet { voters }, 0);
    let entry = LogEntry {
        index: 5,
        term: 1,
        kind: EntryKind::VoterSet as i32,
        payload: state
            .with_added_voter(identity("f"), Some("a"))
            .encode_to_vec()
            .into(),
    };
    state.record_appended(&entry);
    let is_quorum = |names: [&str; 3]| state.is_quorum(&names.map(identity));
    assert!(
        !is_quorum(["a", "b", "c"]),
        "contains only two voters of the new set"
    );
    assert!(
        !is_quorum(["d", "e", "f"]),
        "contains only two voters of the old set"
    );
    assert!(is_quorum(["b", "c", "d"]));
    let reached = |names: [&'static str; 3]| {
        let synced = move |voter: &VoterIdentity| match names.contains(&voter.name.as_str()) {
            true => 7,
            false => 4,
        };
        state.quorum_value(synced)
    };
    assert_eq!(reached(["a", "b", "c"]), 4);
    assert_eq!(reached(["d", "e", "f"]), 4);
    assert_eq!(reached(["b", "c", "d"]), 7);
    state.record_committed(&entry);
    assert!(state.is_quorum(&["d", "e", "f"].map(identity)));
    assert!(!state.is_quorum(&["a", "b", "c"].map(identity)));
}
