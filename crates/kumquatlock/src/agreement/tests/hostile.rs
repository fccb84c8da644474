//! Well-formed messages with contents that no correct voter sends.

use bytes::Bytes;
use kumquatlock_wire::agreement::{
    AppendRequest, FormGroup, FormationQuery, FormationReply, Forward, LogSnapshotChunk,
    LogSnapshotReply, VoteRequest, VoterGreeting,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::core::Timestamp;
use crate::util::tests::arbitrary::{flag, number};

/// Number of sessions, each with other messages.
const SESSIONS: u64 = 60;
/// Number of messages in a session.
const MESSAGES: usize = 300;

fn voter_set(random: &mut SmallRng) -> VoterSet {
    let voters = (0..random.random_range(0..4)).map(|number: u8| VoterIdentity {
        name: format!("{}", char::from(b'a' + number)),
        disk_id: random.random_range(0..4),
    });
    VoterSet {
        voters: voters.collect(),
    }
}

fn entries(random: &mut SmallRng, previous: u64) -> Vec<LogEntry> {
    let count = random.random_range(0..3);
    let follows = flag(random);
    let entry = |offset: u64| LogEntry {
        index: match follows {
            true => previous.wrapping_add(1 + offset),
            false => number(random),
        },
        term: number(random),
        kind: random.random_range(-1..4),
        payload: Bytes::from_static(&[1, 2, 3]),
    };
    (0..count).map(entry).collect()
}

fn kind(random: &mut SmallRng) -> Kind {
    let index = number(random);
    match random.random_range(0..12) {
        0 => Kind::VoteRequest(VoteRequest {
            pre_vote: flag(random),
            last_index: index,
            last_term: number(random),
            leadership_transfer: flag(random),
        }),
        1 => Kind::VoteReply(VoteReply {
            pre_vote: flag(random),
            granted: flag(random),
        }),
        2 | 3 => Kind::AppendRequest(AppendRequest {
            previous_index: index,
            previous_term: number(random),
            commit_index: number(random),
            round: number(random),
            entries: entries(random, index),
        }),
        4 => Kind::AppendReply(AppendReply {
            success: flag(random),
            match_index: index,
            round: number(random),
        }),
        5 => Kind::SnapshotChunk(LogSnapshotChunk {
            last_index: index,
            last_term: number(random),
            voters: voter_set(random),
            offset: number(random),
            total_bytes: number(random),
            data: Bytes::from_static(&[1, 2, 3]),
        }),
        6 => Kind::SnapshotReply(LogSnapshotReply {
            last_index: index,
            next_offset: number(random),
        }),
        7 => Kind::TimeoutNow(TimeoutNow {}),
        8 => Kind::FormationQuery(FormationQuery {}),
        9 => Kind::FormationReply(FormationReply {
            empty: flag(random),
            formed: flag(random).then(|| FormGroup {
                group_id: index,
                voters: voter_set(random),
            }),
            voters: vec!["b".into()],
        }),
        10 => Kind::Greeting(VoterGreeting::default()),
        _ => Kind::Forward(Forward::default()),
    }
}

/// Guards against a message of a voter that ends the process of another one, or takes back what
/// the other one has committed.
#[test]
fn arbitrary_messages_of_a_voter_do_not_stop_another() {
    for session in 0..SESSIONS {
        let mut random = SmallRng::seed_from_u64(session);
        let mut group = TestGroup::new(&["a", "b", "c"], session);
        let leader = group.elect();
        group.propose(&leader, 7);
        group.run(300);
        let identity = VoterIdentity {
            name: "b".into(),
            disk_id: group.voters["b"].disk.metadata.disk_id,
        };
        let engine = &mut group.voters["a"].engine;
        let mut now: Timestamp = group.now;
        let mut committed = engine.commit_index;
        for _ in 0..MESSAGES {
            let term = match random.random_range(0..8) {
                0 => number(&mut random),
                _ => engine.metadata.term,
            };
            let received = AgreementEvent::Received(PeerMessage {
                group_id: engine.status().group_id.0,
                from: identity.clone(),
                term,
                kind: Some(kind(&mut random)),
            });
            let mut events = vec![received, AgreementEvent::Tick];
            while let Some(event) = events.pop() {
                for action in engine.handle(now, event) {
                    match action {
                        AgreementAction::Persist(request) => {
                            events.push(AgreementEvent::Persisted(request.ticket));
                        }
                        AgreementAction::TakeSnapshot { last_index } => {
                            let data = Bytes::from_static(&[1]);
                            events.push(AgreementEvent::SnapshotTaken { last_index, data });
                        }
                        _ => {}
                    }
                }
            }
            assert!(engine.commit_index >= committed, "session {session}");
            committed = engine.commit_index;
            now = now + std::time::Duration::from_millis(20);
        }
    }
}
