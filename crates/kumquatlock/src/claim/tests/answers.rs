//! Which stored answers a destination keeps.

use std::time::Duration;

use kumquatlock_wire::call::AttemptId;
use kumquatlock_wire::claim::ClaimOwner;

use crate::claim::{ClaimSettings, OutcomeTable, QueryAnswer, SMALL_ANSWER_BYTES, StoredAnswer};
use crate::core::{IncarnationId, Timestamp};

/// Room for stored answers.
const ROOM_BYTES: usize = 1024 * 1024;
/// Time left for a call without a key.
const LEFT: Duration = Duration::from_secs(4);
const START: Timestamp = Timestamp::from_millis(1);

fn table() -> OutcomeTable {
    let settings = ClaimSettings {
        max_answer_bytes: ROOM_BYTES,
        ..ClaimSettings::default()
    };
    OutcomeTable::new("a".into(), IncarnationId(1), &settings)
}

fn attempt(call_id: u64) -> AttemptId {
    AttemptId {
        entry: "e".into(),
        entry_incarnation: 1,
        call_id,
        attempt: 1,
    }
}

/// Lets an attempt run that is answered with `bytes` bytes.
fn answer(table: &mut OutcomeTable, call_id: u64, keyed: bool, bytes: usize) {
    let attempt = attempt(call_id);
    match keyed {
        true => table.register_keyed(START, &attempt),
        false => table.register_unkeyed(START, &attempt, LEFT),
    };
    assert!(table.start_run(START, &attempt));
    let answer = StoredAnswer {
        body: vec![0; bytes].into(),
        ..StoredAnswer::default()
    };
    table.finish(START, &attempt, answer);
    assert!(table.answer_bytes() <= ROOM_BYTES);
}

fn is_stored(table: &mut OutcomeTable, now: Timestamp, call_id: u64) -> bool {
    let owner = ClaimOwner {
        attempt: attempt(call_id),
        destination: "a".into(),
        destination_incarnation: 1,
        request_digest: 0,
    };
    match table.query(now, &attempt(1_000_000), &owner, now) {
        Some(QueryAnswer::Answered(_)) => true,
        Some(QueryAnswer::AnswerGone) => false,
        other => panic!("the attempt ran and ended, not {other:?}"),
    }
}

/// Guards against large answers that displace those of many keys, and against ones that are not
/// stored although there is room.
#[test]
fn large_answers_displace_small_ones_only_beyond_their_part() {
    let mut table = table();
    answer(&mut table, 1, true, 1_000);
    // Three fit into three quarters of the room.
    for call_id in 2..=20 {
        answer(&mut table, call_id, false, ROOM_BYTES / 4);
    }
    let stored: Vec<u64> = (1..=20)
        .filter(|call_id| is_stored(&mut table, START, *call_id))
        .collect();
    assert_eq!(stored, [1, 18, 19, 20]);
    answer(&mut table, 21, true, ROOM_BYTES);
    assert!(!is_stored(&mut table, START, 21));
    assert!(is_stored(&mut table, START, 1));
}

/// Guards against answers of new attempts that find no room because old ones hold it.
#[test]
fn the_oldest_answer_gives_way_whatever_its_size() {
    let mut table = table();
    answer(&mut table, 1, true, SMALL_ANSWER_BYTES + 1);
    for call_id in 2..=15 {
        answer(&mut table, call_id, true, SMALL_ANSWER_BYTES);
    }
    assert!(is_stored(&mut table, START, 1));
    answer(&mut table, 16, true, SMALL_ANSWER_BYTES);
    assert!(!is_stored(&mut table, START, 1));
    assert!(is_stored(&mut table, START, 2));
}

/// Guards against answers that nobody can ask for any more and that hold memory for minutes, and
/// against one that is dropped while its call is still open.
#[test]
fn an_answer_without_a_key_is_stored_until_its_call_ends() {
    let mut table = table();
    answer(&mut table, 1, false, 1_000);
    answer(&mut table, 2, true, 1_000);
    table.on_tick(START + LEFT);
    assert!(is_stored(&mut table, START + LEFT, 1));
    let later = START + LEFT + Duration::from_secs(1);
    table.on_tick(later);
    assert!(!is_stored(&mut table, later, 1));
    assert!(is_stored(&mut table, later, 2));
    assert_eq!(table.answer_bytes(), 1_000);
}
