//! Tests of the replicated log under failures.

use kumquatlock_wire::agreement::{
    AppendReply, EntryKind, LogEntry, PeerMessage, TimeoutNow, VoteReply, VoterIdentity, VoterSet,
    peer_message::Kind,
};
use prost::Message;

use super::voters::VoterState;
use super::*;
use crate::core::SharedName;
use crate::journal::RecoveredState;

mod formation;
mod group;
mod hostile;
mod open;
mod power_loss;
mod schedule;

use group::TestGroup;

/// Guards against a single voter that waits for other voters instead of electing itself.
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
    assert!(group.has_applied("a", 7));
}

/// Guards against a proposal that is reported as committed but not applied by every voter.
#[test]
fn three_voters_form_a_group_and_commit() {
    let mut group = TestGroup::new(&["a", "b", "c"], 2);
    let leader = group.elect();
    group.propose(&leader, 7);
    group.run(300);
    assert!(group.proposals[&7].is_ok());
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|name| group.has_applied(name, 7))
    );
    let ids = |name: &str| group.voters[name].engine.status().group_id;
    assert_eq!(ids("a"), ids("b"));
}

/// Guards against a second group. An instance with an empty data directory must not form a group
/// while other voters are unreachable or already belong to a group.
#[test]
fn an_empty_data_directory_never_forms_a_second_group() {
    let mut group = TestGroup::new(&["a", "b", "c"], 12);
    group.isolated.insert("c".into());
    group.run(5_000);
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|name| group.role(name) == AgreementRole::Forming)
    );
    group.isolated.clear();
    group.elect();
    let formed = group.voters["b"].engine.status().group_id;
    group.isolated = ["b".into(), "c".into()].into();
    group.start("a", RecoveredState::default());
    group.run(5_000);
    assert_eq!(group.role("a"), AgreementRole::Forming);
    group.isolated.clear();
    group.run(5_000);
    assert_eq!(group.role("a"), AgreementRole::Follower);
    assert_eq!(group.voters["a"].engine.status().group_id, formed);
}

/// Guards against two leaders that both commit, and against a lost proposal that is not reported
/// to its caller.
#[test]
fn an_isolated_leader_commits_nothing() {
    let mut group = TestGroup::new(&["a", "b", "c"], 3);
    let old = group.elect();
    group.isolated.insert(old.clone());
    group.propose(&old, 1);
    group.settle();
    let new = group.elect();
    group.propose(&new, 2);
    group.run(300);
    assert!(group.proposals[&2].is_ok());
    assert_eq!(group.proposals[&1], Err(ProposalError::LostLeadership));
    group.isolated.clear();
    group.run(1_000);
    assert!(!group.has_applied(&old, 1) && group.has_applied(&old, 2));
    group.propose(&old, 3);
    let leader = group.leader();
    assert_eq!(
        group.proposals[&3],
        Err(ProposalError::NotLeader { leader })
    );
}

/// Guards against a read-index request that is confirmed by answers to heartbeat rounds from before
/// the request, and against a leader that does not step down without a quorum.
#[test]
fn an_isolated_leader_steps_down_and_answers_no_read_index() {
    let mut group = TestGroup::new(&["a", "b", "c"], 4);
    let leader = group.elect();
    group.propose(&leader, 1);
    group.run(300);
    let committed = *group.proposals[&1].as_ref().unwrap();
    let read_index_request = |number| AgreementEvent::RequestReadIndex(ReadIndexTicket(number));
    group.handle_event(&leader, read_index_request(1));
    group.settle();
    assert!(
        group.reads[&1]
            .as_ref()
            .is_ok_and(|index| index.index() >= committed)
    );

    let delivered = group.delivered.clone();
    group.isolated.insert(leader.clone());
    group.handle_event(&leader, read_index_request(2));
    for (to, message) in delivered {
        if to == leader && matches!(message.kind, Some(Kind::AppendReply(_))) {
            group.handle_event(&to, AgreementEvent::Received(message));
        }
    }
    group.settle();
    assert_eq!(group.reads.get(&2), None);
    group.run(1_200);
    assert_eq!(group.reads[&2], Err(ReadIndexError::LostLeadership));
    assert_ne!(group.role(&leader), AgreementRole::Leader);
}

/// Guards against a status that hides whether a leader may lack entries that earlier leaders
/// committed.
#[test]
fn the_status_names_the_first_index_of_the_term_at_the_leader_only() {
    let mut group = TestGroup::new(&["a", "b", "c"], 5);
    let first_leader = group.elect();
    (1..4).for_each(|number| group.propose(&first_leader, number));
    group.run(500);
    group.isolated.insert(first_leader.clone());
    group.run(5_000);
    let leader = group.elect();
    assert_ne!(leader, first_leader);
    let status = group.voters[&leader].engine.status();
    // The entry that started the first term, and three proposals.
    assert_eq!(status.term_start_index, 5);
    assert!(status.term_start_index <= status.last_index);
    for name in ["a", "b", "c"].into_iter().filter(|name| **name != *leader) {
        assert_eq!(group.voters[name].engine.status().term_start_index, 0);
    }
}

/// Guards against duplicate and late messages that undo the effect of newer messages.
#[test]
fn replayed_messages_change_nothing() {
    let mut group = TestGroup::new(&["a", "b", "c"], 5);
    let leader = group.elect();
    (1..30).for_each(|number| group.propose(&leader, number));
    group.run(500);
    let before: Vec<AgreementStatus> = group
        .voters
        .values()
        .map(|voter| voter.engine.status())
        .collect();
    for (to, message) in std::mem::take(&mut group.delivered) {
        group.deliver(&to, message);
    }
    group.settle();
    let after: Vec<AgreementStatus> = group
        .voters
        .values()
        .map(|voter| voter.engine.status())
        .collect();
    assert_eq!(before, after);
    group.assert_nothing_lost();
}

/// Guards against acknowledgements of entries that are not synced to disk.
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

/// Guards against a follower that learns of a commit only from the next heartbeat. This happens to
/// the follower with the slower write: the leader broadcasts the commit index before that
/// follower's acknowledgement has arrived.
#[test]
fn a_slow_follower_applies_a_commit_before_the_next_heartbeat() {
    let mut group = TestGroup::new(&["a", "b", "c"], 16);
    group.elect_named("a");
    group.run(300);
    let mut delays = Vec::new();
    for number in 1..=100 {
        // Each iteration starts at a different point of the heartbeat interval.
        group.run(TICK_INTERVAL_MS * (1 + number % 10));
        group.propose("a", number);
        while group.write_next("a") {}
        group.deliver_all();
        while group.write_next("b") {}
        group.deliver_all();
        assert!(group.has_applied("b", number) && !group.has_applied("c", number));
        while group.write_next("c") {}
        let acknowledged = group.now;
        group.deliver_all();
        while !group.has_applied("c", number) {
            group.run(TICK_INTERVAL_MS);
        }
        delays.push(group.now.since(acknowledged).as_millis());
    }
    assert_eq!(delays.iter().max(), Some(&0), "delays in ms: {delays:?}");
}

/// Guards against an idle group in which the leader sends the commit index in addition to the
/// heartbeats.
#[test]
fn an_idle_group_sends_only_heartbeats() {
    let mut group = TestGroup::new(&["a", "b", "c"], 17);
    let leader = group.elect();
    (1..10).for_each(|number| group.propose(&leader, number));
    group.run(1_000);
    group.delivered.clear();
    group.run(3_000);
    // One heartbeat per 150 ms to each of two followers, and one answer to each heartbeat.
    assert_eq!(group.delivered.len(), 3_000 / 150 * 2 * 2);
}

/// Guards against a vote that is lost in a crash after a candidate requested votes or a voter
/// granted its vote.
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

/// Guards against committing an entry of an earlier term because a quorum has stored it. A later
/// leader may still replace such an entry.
#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let mut group = TestGroup::new(&["a", "b", "c"], 14);
    group.elect_named("a");
    group.crash("c");
    group.isolated.insert("b".into());
    group.propose("a", 1);
    group.run(1_500);
    group.isolated.clear();
    while group.role("a") != AgreementRole::Leader {
        group.tick();
        group.write_next("a");
        group.write_next("b");
        group.deliver_all();
    }
    let status = group.voters["a"].engine.status();
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
        group.handle_event("a", AgreementEvent::Received(message));
        while group.write_next("a") {}
        let reached = group.voters["a"].engine.status().commit_index;
        assert_eq!(reached, commit_index);
    }
}

/// Guards against a leader with a full disk that blocks the group or acknowledges entries that it
/// cannot write.
#[test]
fn a_full_disk_halts_the_voter_until_the_journal_is_reopened() {
    let mut group = TestGroup::new(&["a", "b", "c"], 7);
    let old = group.elect();
    group.propose(&old, 1);
    let ticket = group.voters[&old].writes.pop_front().unwrap().ticket;
    let reason = PersistFailure::StorageFull;
    group.handle_event(&old, AgreementEvent::PersistFailed { ticket, reason });
    assert_eq!(group.proposals[&1], Err(ProposalError::LostLeadership));
    group.propose(&old, 2);
    assert_eq!(group.proposals[&2], Err(ProposalError::StorageFull));
    let new = group.elect();
    group.propose(&new, 3);
    group.run(300);
    assert!(group.proposals[&3].is_ok() && !group.has_applied(&old, 3));
    let disk = group.voters[&old].disk.clone();
    group.handle_event(&old, AgreementEvent::StorageReopened(disk));
    group.run(1_000);
    group.assert_nothing_lost();
}

/// Guards against a follower that refuses all further entries after it failed to write entries that
/// it already knew to be committed.
#[test]
fn a_follower_catches_up_after_a_failed_write_of_committed_entries() {
    let mut group = TestGroup::new(&["a", "b", "c"], 7);
    group.elect_named("a");
    group.propose("a", 1);
    group.run(300);
    group.isolated.insert("b".into());
    group.propose("a", 2);
    group.settle();
    assert!(group.proposals[&2].is_ok());
    group.isolated.clear();
    // The append that `b` lacks also says that its entries are committed.
    for _ in 0..100 {
        group.tick();
        group.deliver_all();
        if !group.voters["b"].writes.is_empty() {
            break;
        }
        group.settle();
    }
    let ticket = group.voters["b"].writes[0].ticket;
    group.voters["b"].writes.clear();
    let reason = PersistFailure::StorageFull;
    group.handle_event("b", AgreementEvent::PersistFailed { ticket, reason });
    group.run(300);
    let disk = group.voters["b"].disk.clone();
    group.handle_event("b", AgreementEvent::StorageReopened(disk));
    group.run(1_000);
    group.assert_nothing_lost();
}

/// Guards against a restarted group that has no leader for another election timeout because its
/// first vote requests were sent before its links were up. After a power loss, the group serves no
/// requests until it has a leader.
#[test]
fn a_restarted_group_elects_a_leader_once_its_links_are_up() {
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
            group.isolated.insert(name.into());
        }
        group.run(group.settings.election_timeout_min.as_millis() as u64);
        group.isolated.clear();
        group.run(2 * group.settings.heartbeat_interval.as_millis() as u64);
        assert!(group.leader().is_some(), "seed {seed}");
    }
}

/// Guards against a leadership transfer that loses proposals or waits for an election timeout.
#[test]
fn leadership_is_transferred_within_a_round_trip() {
    let mut group = TestGroup::new(&["a", "b", "c"], 8);
    let old = group.elect();
    group.handle_event(&old, AgreementEvent::TransferLeadership);
    group.settle();
    let new = group.leader().unwrap();
    assert_ne!(old, new);
    group.propose(&new, 1);
    group.run(300);
    group.assert_nothing_lost();
    assert!(group.proposals[&1].is_ok());
}

/// Guards against a voter that can never catch up with a compacted log, even if snapshot chunks
/// are lost.
#[test]
fn a_voter_that_needs_compacted_entries_gets_a_snapshot() {
    let mut group = TestGroup::new(&["a", "b", "c"], 9);
    let leader = group.elect();
    let behind: SharedName = if *leader == *"a" { "b" } else { "a" }.into();
    group.crash(&behind);
    for number in 1..=2 * RETAINED_ENTRIES {
        group.propose(&leader, number);
        group.settle();
    }
    group.restart(&behind);
    group.chunks_sent = Some(0);
    group.run(2_000);
    assert!(group.chunks_sent.is_some_and(|chunks| chunks >= 4));
    assert!(group.voters[&behind].disk.snapshot.is_some());
    group.assert_nothing_lost();
}

/// Guards against a lost disk that permanently leaves the group with one voter fewer.
#[test]
fn a_lost_disk_is_replaced_and_the_new_disk_counts() {
    let mut group = TestGroup::new(&["a", "b", "c"], 10);
    group.elect_named("b");
    group.propose("b", 1);
    group.run(300);
    group.start("c", RecoveredState::default());
    group.handle_event("c", AgreementEvent::Tick);
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

/// Guards against a quorum for a disk replacement that counts the old or the new disk identity.
#[test]
fn neither_disk_identity_counts_during_a_replacement() {
    let identity = |name: &str, disk_id| VoterIdentity {
        name: name.into(),
        disk_id,
    };
    let voters = vec![identity("a", 1), identity("b", 2), identity("c", 3)];
    let mut state = VoterState::new(VoterSet { voters }, 0);
    let (old, new) = (identity("c", 3), identity("c", 4));
    let payload = state.with_replaced_disk(&new).encode_to_vec().into();
    let entry = LogEntry {
        index: 5,
        term: 1,
        kind: EntryKind::VoterSet as i32,
        payload,
    };
    assert!(state.counts_in_all_sets(&old) && !state.counts_in_all_sets(&new));
    state.record_appended(&entry);
    assert!(!state.counts_in_all_sets(&old) && !state.counts_in_all_sets(&new));
    assert!(!state.is_quorum([&identity("a", 1), &old, &new]));
    let synced = |voter: &VoterIdentity| if voter.name == "b" { 4 } else { 5 };
    assert_eq!(state.quorum_value(synced), 4);
    state.record_committed(&entry);
    assert!(!state.counts_in_all_sets(&old) && state.counts_in_all_sets(&new));
}

/// Guards against combining a vote of a lost disk with acknowledgements of the disk that replaced
/// it. A second failure right after the replacement would then lose acknowledged entries.
#[test]
fn a_failure_right_after_a_disk_replacement_loses_no_commit() {
    let mut group = TestGroup::new(&["a", "b", "c"], 11);
    group.elect_named("b");
    group.propose("b", 1);
    group.run(300);

    // The old disk of voter c votes for voter a in the next term. The vote is delayed and voter a
    // is isolated.
    let from_leader = |(to, message): &&(SharedName, PeerMessage)| {
        **to == *"a" && matches!(message.kind, Some(Kind::AppendRequest(_)))
    };
    let mut request = group.delivered.iter().rfind(from_leader).unwrap().1.clone();
    request.kind = Some(Kind::TimeoutNow(TimeoutNow {}));
    group.isolated.insert("b".into());
    group.handle_event("a", AgreementEvent::Received(request));
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
    group.isolated = ["a".into()].into();
    group.paused = ["a".into()].into();

    // Voter c loses its disk, and its new disk catches up with leader b. One proposal is made
    // before the disk identity of voter c is replaced, the other one after it.
    group.start("c", RecoveredState::default());
    group.propose("b", 2);
    group.run(800);
    group.propose("b", 3);
    group.run(800);

    // Then leader b crashes, and the delayed vote elects voter a.
    group.crash("b");
    group.isolated.clear();
    group.paused.clear();
    group.handle_event("a", AgreementEvent::Received(vote.unwrap()));
    assert_eq!(group.role("a"), AgreementRole::Leader);
    group.run(500);
    group.restart("b");
    group.run(10_000);
    assert_eq!(group.role("c"), AgreementRole::Follower);
    group.assert_nothing_lost();
}
