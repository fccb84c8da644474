//! Groups whose members come and go.

use kumquatlock_wire::agreement::{EntryKind, LogEntry, VoterIdentity, VoterSet};
use prost::Message;

use super::super::voters::VoterState;
use super::group::{REPLACE_AFTER, TestGroup};
use super::*;

/// Three founders and members that joined one after the other.
fn grown(joiners: &[&str], seed: u64) -> TestGroup {
    let mut group = TestGroup::open(&["a", "b", "c"], seed);
    group.elect();
    for joiner in joiners {
        group.start_joining(joiner);
        group.run(3_000);
    }
    group
}

fn after_replacement() -> u64 {
    2 * REPLACE_AFTER.as_millis() as u64
}

/// Guards against members that join without ever counting, and against a group that grows without
/// a bound: the sixth member is a learner.
#[test]
fn members_join_until_the_group_has_its_size() {
    let group = grown(&["d", "e", "f"], 31);
    assert_eq!(group.voter_names().len(), 5);
    assert!(!group.voter_names().contains("f"));
    let ids = group
        .voters
        .values()
        .map(|voter| voter.agreement.status().group_id);
    let ids: std::collections::BTreeSet<_> = ids.collect();
    assert_eq!(ids.len(), 1, "all follow the same group");
}

/// Guards against learners that never hear what was accepted before they joined.
#[test]
fn a_learner_holds_what_was_committed_before_it_joined() {
    let mut group = grown(&["d", "e"], 32);
    let leader = group.elect();
    for number in 1..=9 {
        group.propose(&leader, number);
        group.run(100);
    }
    group.start_joining("f");
    group.run(3_000);
    for number in 1..=9 {
        assert!(group.holds("f", number), "f lacks {number}");
    }
}

/// Guards against a group that shrinks for good: whoever has joined takes the place of a voter that
/// is gone, and the group then survives two more losses.
#[test]
fn a_learner_takes_the_place_of_a_lost_voter() {
    let mut group = grown(&["d", "e", "f"], 33);
    let leader = group.elect();
    let lost = ["a", "b", "c", "d", "e"]
        .into_iter()
        .find(|name| **name != *leader);
    let lost = lost.expect("another voter");
    group.crash(lost);
    group.run(after_replacement());
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

/// Guards against a voter that is thrown out for a short silence.
#[test]
fn a_voter_that_comes_back_in_time_stays() {
    let mut group = grown(&["d", "e", "f"], 34);
    let before = group.voter_names();
    let leader = group.elect();
    let quiet = before
        .iter()
        .find(|name| ***name != *leader)
        .expect("another voter");
    group.crash(quiet);
    group.run(REPLACE_AFTER.as_millis() as u64 / 2);
    group.restart(quiet);
    group.run(after_replacement());
    assert_eq!(group.voter_names(), before);
}

/// Guards against an empty disk that votes under the name of one that has voted: what the old disk
/// acknowledged is not on the new one.
#[test]
fn an_empty_disk_does_not_vote_for_its_predecessor() {
    let mut group = grown(&[], 35);
    let leader = group.elect();
    let others = ["a", "b", "c"].into_iter().filter(|name| **name != *leader);
    let others: Vec<&str> = others.collect();
    group.cut.insert(others[1].into());
    group.propose(&leader, 81);
    group.run(300);
    assert!(group.proposals[&81].is_ok());
    // Only the other voter of the majority holds the proposal besides the leader; it loses its disk.
    group.crash(&leader);
    group.start_joining(others[0]);
    group.cut.clear();
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

/// Guards against a second configuration: the smaller side of a split commits nothing, whoever
/// joins it, and the larger side goes on.
#[test]
fn the_smaller_side_of_a_split_commits_nothing() {
    let mut group = grown(&["d", "e"], 36);
    let old = group.elect();
    let other = ["a", "b", "c"].into_iter().find(|name| **name != *old);
    let other: SharedName = other.expect("another founder").into();
    group.cut = [old.clone(), other.clone()].into();
    group.propose(&old, 91);
    group.run(300);
    let new = group.elect();
    group.propose(&new, 92);
    group.run(300);
    assert!(group.proposals[&92].is_ok());
    assert!(!group.holds(&old, 91) && !group.holds(&other, 91));
    group.cut.clear();
    group.run(after_replacement());
    assert!(group.holds(&old, 92) && !group.holds(&new, 91));
}

/// Guards against a group that a late member founds beside the one that exists.
#[test]
fn a_member_that_does_not_found_waits_for_the_group() {
    let mut group = TestGroup::open(&["a", "b", "c"], 37);
    group.elect();
    let formed = group.voters["b"].agreement.status().group_id;
    group.cut = ["a".into(), "b".into(), "c".into()].into();
    for joiner in ["d", "e", "f"] {
        group.start_joining(joiner);
    }
    group.run(8_000);
    for joiner in ["d", "e", "f"] {
        assert_eq!(group.role(joiner), AgreementRole::Forming);
    }
    group.cut.clear();
    group.run(8_000);
    for joiner in ["d", "e", "f"] {
        assert_eq!(group.voters[joiner].agreement.status().group_id, formed);
    }
}

/// Guards against a silence that is never noticed, or noticed while the leader speaks.
#[test]
fn the_leader_is_silent_only_to_those_cut_off() {
    let mut group = grown(&[], 38);
    let leader = group.elect();
    let others: Vec<SharedName> = group
        .voters
        .keys()
        .filter(|name| **name != leader)
        .cloned()
        .collect();
    let silence = |group: &TestGroup, name: &SharedName| {
        group.voters[name].agreement.leader_silence(group.now)
    };
    group.run(2_000);
    assert!(silence(&group, &leader).is_zero());
    for other in &others {
        assert!(silence(&group, other) < group.settings.election_timeout_min);
    }
    group.cut.insert(others[0].clone());
    group.run(3_000);
    assert!(silence(&group, &others[0]) >= std::time::Duration::from_millis(2_500));
    assert!(silence(&group, &others[1]) < group.settings.election_timeout_min);
}

/// Guards against two disjoint majorities while one voter takes the place of another: one of the
/// old set that elects a leader, and one of the new set that commits beside it.
#[test]
fn a_replacement_needs_majorities_of_the_old_and_the_new_set() {
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
            .extended(identity("f"), Some("a"))
            .encode_to_vec()
            .into(),
    };
    state.note_appended(&entry);
    let is_quorum = |names: [&str; 3]| state.is_quorum(&names.map(identity));
    assert!(!is_quorum(["a", "b", "c"]), "two of the new set");
    assert!(!is_quorum(["d", "e", "f"]), "two of the old set");
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
    state.note_committed(&entry);
    assert!(state.is_quorum(&["d", "e", "f"].map(identity)));
    assert!(!state.is_quorum(&["a", "b", "c"].map(identity)));
}
