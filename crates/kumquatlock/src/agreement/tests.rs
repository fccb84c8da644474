//! Failure tests of the replicated log.

use kumquatlock_wire::agreement::{
    AppendReply, EntryKind, LogEntry, PeerMessage, TimeoutNow, VoteReply, VoterIdentity, VoterSet,
    peer_message::Kind,
};
use prost::Message;

use super::voters::VoterState;
use super::*;
use crate::core::SharedName;
use crate::journal::RecoveredState;

mod group;
mod open;
mod schedule;

use group::TestGroup;

/// Guards against a lone voter that waits for others.
#[test]
fn a_single_voter_forms_a_group_and_commits() {
    let mut group = TestGroup::new(&["a"], 1);
    group.elect();
    group.propose("a", 7);
    group.settle();
    assert!(group.proposals[&7].is_ok());
    group.crash("a");
    group.restart("a");
    group.elect();
    assert!(group.holds("a", 7));
}

/// Guards against proposals that are answered without being applied everywhere.
#[test]
fn three_voters_form_a_group_and_commit() {
    let mut group = TestGroup::new(&["a", "b", "c"], 2);
    let leader = group.elect();
    group.propose(&leader, 7);
    group.run(300);
    assert!(group.proposals[&7].is_ok());
    assert!(["a", "b", "c"].iter().all(|name| group.holds(name, 7)));
    let ids = |name: &str| group.voters[name].agreement.status().group_id;
    assert_eq!(ids("a"), ids("b"));
}

/// Guards against a second group: an empty folder must not form one while others are silent or
/// hold a group already.
#[test]
fn an_empty_folder_never_forms_a_second_group() {
    let mut group = TestGroup::new(&["a", "b", "c"], 12);
    group.cut.insert("c".into());
    group.run(5_000);
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|name| group.role(name) == AgreementRole::Forming)
    );
    group.cut.clear();
    group.elect();
    let formed = group.voters["b"].agreement.status().group_id;
    group.cut = ["b".into(), "c".into()].into();
    group.start("a", RecoveredState::default());
    group.run(5_000);
    assert_eq!(group.role("a"), AgreementRole::Forming);
    group.cut.clear();
    group.run(5_000);
    assert_eq!(group.role("a"), AgreementRole::Follower);
    assert_eq!(group.voters["a"].agreement.status().group_id, formed);
}

/// Guards against two leaders that both commit, and against a proposal whose loss is not told.
#[test]
fn a_cut_off_leader_commits_nothing_beside_its_successor() {
    let mut group = TestGroup::new(&["a", "b", "c"], 3);
    let old = group.elect();
    group.cut.insert(old.clone());
    group.propose(&old, 1);
    group.settle();
    let new = group.elect();
    group.propose(&new, 2);
    group.run(300);
    assert!(group.proposals[&2].is_ok());
    assert_eq!(group.proposals[&1], Err(ProposalError::LostLeadership));
    group.cut.clear();
    group.run(1_000);
    assert!(!group.holds(&old, 1) && group.holds(&old, 2));
    group.propose(&old, 3);
    let leader = group.leader();
    assert_eq!(
        group.proposals[&3],
        Err(ProposalError::NotLeader { leader })
    );
}

/// Guards against currency proved by answers to rounds from before the request, and against a
/// leader that stays one without a quorum.
#[test]
fn a_cut_off_leader_steps_down_and_proves_no_currency() {
    let mut group = TestGroup::new(&["a", "b", "c"], 4);
    let leader = group.elect();
    group.propose(&leader, 1);
    group.run(300);
    let committed = *group.proposals[&1].as_ref().unwrap();
    let confirm = |number| AgreementEvent::RequestReadIndex(ReadIndexTicket(number));
    group.feed(&leader, confirm(1));
    group.settle();
    assert!(
        group.currency[&1]
            .as_ref()
            .is_ok_and(|index| *index >= committed)
    );

    let delivered = group.delivered.clone();
    group.cut.insert(leader.clone());
    group.feed(&leader, confirm(2));
    for (to, message) in delivered {
        if to == leader && matches!(message.kind, Some(Kind::AppendReply(_))) {
            group.feed(&to, AgreementEvent::Received(message));
        }
    }
    group.settle();
    assert_eq!(group.currency.get(&2), None);
    group.run(1_200);
    assert_eq!(group.currency[&2], Err(ReadIndexError::LostLeadership));
    assert_ne!(group.role(&leader), AgreementRole::Leader);
}

/// Guards against doubled and late messages that undo what came after them.
#[test]
fn replayed_messages_change_nothing() {
    let mut group = TestGroup::new(&["a", "b", "c"], 5);
    let leader = group.elect();
    (1..30).for_each(|number| group.propose(&leader, number));
    group.run(500);
    let before: Vec<AgreementStatus> = group
        .voters
        .values()
        .map(|voter| voter.agreement.status())
        .collect();
    for (to, message) in std::mem::take(&mut group.delivered) {
        group.deliver(&to, message);
    }
    group.settle();
    let after: Vec<AgreementStatus> = group
        .voters
        .values()
        .map(|voter| voter.agreement.status())
        .collect();
    assert_eq!(before, after);
    group.assert_nothing_lost();
}

/// Guards against acknowledging entries that are not synced.
#[test]
fn nothing_is_committed_before_a_quorum_has_written() {
    let mut group = TestGroup::new(&["a", "b", "c"], 6);
    let leader = group.elect();
    group.propose(&leader, 1);
    group.deliver_all();
    assert!(group.voters.values().all(|voter| !voter.writes.is_empty()));
    assert_eq!(group.proposals.get(&1), None);
    assert!(group.queue.is_empty());
    group.write_next(&leader);
    assert_eq!(group.proposals.get(&1), None);
    group.settle();
    assert!(group.proposals[&1].is_ok());
}

/// Guards against a follower that learns of a commit only from the next heartbeat: the
/// announcement overtakes its acknowledgement whenever its write is the slower one.
#[test]
fn a_follower_that_writes_late_applies_without_a_heartbeat() {
    let mut group = TestGroup::new(&["a", "b", "c"], 16);
    group.elect_named("a");
    group.run(300);
    let mut delays = Vec::new();
    for number in 1..=100 {
        // Another point of the heartbeat interval each time.
        group.run(TICK_INTERVAL_MS * (1 + number % 10));
        group.propose("a", number);
        while group.write_next("a") {}
        group.deliver_all();
        while group.write_next("b") {}
        group.deliver_all();
        assert!(group.holds("b", number) && !group.holds("c", number));
        while group.write_next("c") {}
        let acknowledged = group.now;
        group.deliver_all();
        while !group.holds("c", number) {
            group.run(TICK_INTERVAL_MS);
        }
        delays.push(group.now.since(acknowledged).as_millis());
    }
    assert_eq!(delays.iter().max(), Some(&0), "delays in ms: {delays:?}");
}

/// Guards against announcements that raise the message rate of an idle group.
#[test]
fn an_idle_group_sends_only_heartbeats() {
    let mut group = TestGroup::new(&["a", "b", "c"], 17);
    let leader = group.elect();
    (1..10).for_each(|number| group.propose(&leader, number));
    group.run(1_000);
    group.delivered.clear();
    group.run(3_000);
    // A heartbeat per 150 ms to two followers, each with its answer.
    assert_eq!(group.delivered.len(), 3_000 / 150 * 2 * 2);
}

/// Guards against a vote that is forgotten in a crash after it was asked for or given.
#[test]
fn no_vote_is_sent_before_it_is_written() {
    let mut group = TestGroup::new(&["a", "b", "c"], 13);
    let leader = group.elect();
    group.crash(&leader);
    group.queue.clear();
    while group.voters.values().all(|voter| voter.writes.is_empty()) {
        group.tick();
        group.deliver_all();
    }
    let is_writing = |name: &&SharedName| !group.voters[*name].writes.is_empty();
    let candidate = group.voters.keys().find(is_writing).unwrap().clone();
    assert!(group.queue.is_empty());
    group.write_next(&candidate);
    assert!(!group.queue.is_empty());
    group.deliver_all();
    let voters = group.voters.keys();
    let mut others = voters.filter(|name| **name != leader && **name != candidate);
    let voter = others.next().unwrap().clone();
    assert_eq!(group.role(&candidate), AgreementRole::Candidate);
    while group.write_next(&voter) {}
    group.deliver_all();
    assert_eq!(group.role(&candidate), AgreementRole::Leader);
}

/// Guards against committing an entry of an earlier term by counting copies: a later leader may
/// still replace it.
#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_this_term() {
    let mut group = TestGroup::new(&["a", "b", "c"], 14);
    group.elect_named("a");
    group.crash("c");
    group.cut.insert("b".into());
    group.propose("a", 1);
    group.run(1_500);
    group.cut.clear();
    while group.role("a") != AgreementRole::Leader {
        group.tick();
        group.write_next("a");
        group.write_next("b");
        group.deliver_all();
    }
    let status = group.voters["a"].agreement.status();
    let from_b = |(_, message): &&(SharedName, PeerMessage)| message.from.name == "b";
    let template = group.delivered.iter().rfind(from_b).unwrap().1.clone();
    for (behind, commit_index) in [(1, status.commit_index), (0, status.last_index)] {
        let reply = AppendReply {
            success: true,
            match_index: status.last_index - behind,
            round: 1,
        };
        let message = PeerMessage {
            term: status.term,
            kind: Some(Kind::AppendReply(reply)),
            ..template.clone()
        };
        group.feed("a", AgreementEvent::Received(message));
        while group.write_next("a") {}
        let reached = group.voters["a"].agreement.status().commit_index;
        assert_eq!(reached, commit_index);
    }
}

/// Guards against a leader with a full disk that holds up the group or acknowledges.
#[test]
fn a_full_disk_halts_the_voter_until_it_is_reopened() {
    let mut group = TestGroup::new(&["a", "b", "c"], 7);
    let old = group.elect();
    group.propose(&old, 1);
    let ticket = group.voters[&old].writes.pop_front().unwrap().ticket;
    let reason = PersistFailure::StorageFull;
    group.feed(&old, AgreementEvent::PersistFailed { ticket, reason });
    assert_eq!(group.proposals[&1], Err(ProposalError::LostLeadership));
    group.propose(&old, 2);
    assert_eq!(group.proposals[&2], Err(ProposalError::StorageFull));
    let new = group.elect();
    group.propose(&new, 3);
    group.run(300);
    assert!(group.proposals[&3].is_ok() && !group.holds(&old, 3));
    let disk = group.voters[&old].disk.clone();
    group.feed(&old, AgreementEvent::StorageReopened(disk));
    group.run(1_000);
    group.assert_nothing_lost();
}

/// Guards against a group without a leader for another election timeout, because its first questions
/// were sent before the links were up: after a power loss nobody is served until there is one.
#[test]
fn a_group_that_starts_anew_elects_as_soon_as_its_links_are_up() {
    let names = ["a", "b", "c", "d", "e"];
    for seed in 0..20 {
        let mut group = TestGroup::new(&names, seed);
        group.elect();
        for name in names {
            group.crash(name);
        }
        group.queue.clear();
        for name in names {
            group.restart(name);
            group.cut.insert(name.into());
        }
        group.run(group.settings.election_timeout_min.as_millis() as u64);
        group.cut.clear();
        group.run(2 * group.settings.heartbeat_interval.as_millis() as u64);
        assert!(group.leader().is_some(), "seed {seed}");
    }
}

/// Guards against a handover that loses proposals or waits for an election timeout.
#[test]
fn leadership_is_handed_over_within_a_round_trip() {
    let mut group = TestGroup::new(&["a", "b", "c"], 8);
    let old = group.elect();
    group.feed(&old, AgreementEvent::TransferLeadership);
    group.settle();
    let new = group.leader().unwrap();
    assert_ne!(old, new);
    group.propose(&new, 1);
    group.run(300);
    group.assert_nothing_lost();
    assert!(group.proposals[&1].is_ok());
}

/// Guards against a voter that can never catch up with a compacted log, also when chunks are lost.
#[test]
fn a_voter_behind_the_log_gets_a_snapshot() {
    let mut group = TestGroup::new(&["a", "b", "c"], 9);
    let leader = group.elect();
    let behind: SharedName = if *leader == *"a" { "b" } else { "a" }.into();
    group.crash(&behind);
    for number in 1..=2 * KEPT_ENTRIES {
        group.propose(&leader, number);
        group.settle();
    }
    group.restart(&behind);
    group.chunks = Some(0);
    group.run(2_000);
    assert!(group.chunks.is_some_and(|chunks| chunks >= 4));
    assert!(group.voters[&behind].disk.snapshot.is_some());
    group.assert_nothing_lost();
}

/// Guards against a lost disk that leaves the group one voter short for good.
#[test]
fn a_lost_disk_is_replaced_and_the_new_one_counts() {
    let mut group = TestGroup::new(&["a", "b", "c"], 10);
    group.elect_named("b");
    group.propose("b", 1);
    group.run(300);
    group.start("c", RecoveredState::default());
    group.feed("c", AgreementEvent::Tick);
    group.settle();
    assert_eq!(group.role("c"), AgreementRole::Learner);
    group.run(2_000);
    assert_eq!(group.role("c"), AgreementRole::Follower);
    group.crash("a");
    group.propose("b", 2);
    group.run(300);
    assert!(group.proposals[&2].is_ok());
    group.restart("a");
    group.run(300);
    group.assert_nothing_lost();
}

/// Guards against a replacement that its own old or new identity helps to commit.
#[test]
fn neither_identity_counts_during_a_replacement() {
    let identity = |name: &str, disk_id| VoterIdentity {
        name: name.into(),
        disk_id,
    };
    let voters = vec![identity("a", 1), identity("b", 2), identity("c", 3)];
    let mut state = VoterState::new(VoterSet { voters }, 0);
    let (old, new) = (identity("c", 3), identity("c", 4));
    let payload = state.replaced(&new).encode_to_vec().into();
    let entry = LogEntry {
        index: 5,
        term: 1,
        kind: EntryKind::VoterSet as i32,
        payload,
    };
    assert!(state.counts(&old) && !state.counts(&new));
    state.note_appended(&entry);
    assert!(!state.counts(&old) && !state.counts(&new));
    assert!(!state.is_quorum([&identity("a", 1), &old, &new]));
    let synced = |voter: &VoterIdentity| if voter.name == "b" { 4 } else { 5 };
    assert_eq!(state.quorum_value(synced), 4);
    state.note_committed(&entry);
    assert!(!state.counts(&old) && state.counts(&new));
}

/// Guards against combining a vote of the lost disk with acknowledgements of the new one: the
/// second failure right after the repair would then lose what was acknowledged.
#[test]
fn a_second_failure_right_after_a_repair_loses_nothing() {
    let mut group = TestGroup::new(&["a", "b", "c"], 11);
    group.elect_named("b");
    group.propose("b", 1);
    group.run(300);

    // The disk of c votes for a in the next term; the vote is delayed and a is cut off.
    let from_leader = |(to, message): &&(SharedName, PeerMessage)| {
        **to == *"a" && matches!(message.kind, Some(Kind::AppendRequest(_)))
    };
    let mut request = group.delivered.iter().rfind(from_leader).unwrap().1.clone();
    request.kind = Some(Kind::TimeoutNow(TimeoutNow {}));
    group.cut.insert("b".into());
    group.feed("a", AgreementEvent::Received(request));
    let mut vote = None;
    for _ in 0..10 {
        group.write_next("a");
        group.write_next("c");
        let Some((to, message)) = group.queue.pop_front() else {
            continue;
        };
        match &message.kind {
            Some(Kind::VoteReply(VoteReply { granted: true, .. })) => vote = Some(message),
            _ => group.deliver(&to, message),
        }
    }
    group.cut = ["a".into()].into();
    group.paused = ["a".into()].into();

    // The disk of c is lost and the new one catches up with b. One proposal precedes the
    // replacement of its identity, the other follows it.
    group.start("c", RecoveredState::default());
    group.propose("b", 2);
    group.run(800);
    group.propose("b", 3);
    group.run(800);

    // Then b fails, and the delayed vote makes a the leader.
    group.crash("b");
    group.cut.clear();
    group.paused.clear();
    group.feed("a", AgreementEvent::Received(vote.unwrap()));
    assert_eq!(group.role("a"), AgreementRole::Leader);
    group.run(500);
    group.restart("b");
    group.run(10_000);
    assert_eq!(group.role("c"), AgreementRole::Follower);
    group.assert_nothing_lost();
}
