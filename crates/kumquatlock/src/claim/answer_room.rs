//! Room for the stored answers of one destination.

use std::collections::BTreeMap;

use kumquatlock_wire::call::AttemptId;

/// Answers above this size, in bytes, count as large.
pub const SMALL_ANSWER_BYTES: usize = 64 * 1024;
/// Part of the room that large answers may use, in quarters, so that a few of them don't displace the
/// answers of many keys.
const LARGE_QUARTERS: usize = 3;

/// What to do next to store an answer.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RoomStep {
    /// Store it.
    Store,
    /// First drop the answer of this attempt.
    Drop(AttemptId),
    /// Don't store it: it is larger than the room.
    Refuse,
}

/// Place of a stored answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerPlace {
    number: u64,
    bytes: usize,
}

/// Stored answers of one class of sizes.
#[derive(Debug, Default)]
struct AnswerList {
    /// Attempts by the order in which their answers were stored.
    attempts: BTreeMap<u64, AttemptId>,
    /// Sum of the sizes of their answers.
    bytes: usize,
}

impl AnswerList {
    /// Returns the attempt whose answer has been stored the longest.
    fn oldest(&self) -> Option<(u64, &AttemptId)> {
        let (number, attempt) = self.attempts.first_key_value()?;
        Some((*number, attempt))
    }
}

/// Order and sizes of the stored answers.
///
/// Invariant: after each insertion that [`AnswerRoom::next_step`] allowed, all answers together have at
/// most `limit_bytes`, and the large ones at most three quarters of it.
#[derive(Debug)]
pub(super) struct AnswerRoom {
    limit_bytes: usize,
    /// Number of the next answer. Never reused.
    next_number: u64,
    small: AnswerList,
    large: AnswerList,
}

impl AnswerRoom {
    pub(super) fn new(limit_bytes: usize) -> Self {
        AnswerRoom {
            limit_bytes,
            next_number: 0,
            small: AnswerList::default(),
            large: AnswerList::default(),
        }
    }

    /// Returns the size of all stored answers in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.small.bytes + self.large.bytes
    }

    /// Returns what to do next to store an answer of this size. The oldest large answers give way
    /// first to a large one, and the oldest of all to any.
    pub(super) fn next_step(&self, bytes: usize) -> RoomStep {
        let is_large = bytes > SMALL_ANSWER_BYTES;
        let large_limit = self.limit_bytes / 4 * LARGE_QUARTERS;
        let limit = if is_large {
            large_limit
        } else {
            self.limit_bytes
        };
        if bytes > limit {
            return RoomStep::Refuse;
        }
        let oldest = if is_large && self.large.bytes + bytes > large_limit {
            self.large.oldest()
        } else if self.bytes() + bytes > self.limit_bytes {
            let lists = [self.small.oldest(), self.large.oldest()];
            lists
                .into_iter()
                .flatten()
                .min_by_key(|(number, _)| *number)
        } else {
            None
        };
        oldest.map_or(RoomStep::Store, |(_, attempt)| {
            RoomStep::Drop(attempt.clone())
        })
    }

    /// Records a stored answer.
    pub(super) fn insert(&mut self, attempt: AttemptId, bytes: usize) -> AnswerPlace {
        let number = self.next_number;
        self.next_number += 1;
        let place = AnswerPlace { number, bytes };
        let list = self.list_mut(place);
        list.attempts.insert(number, attempt);
        list.bytes += bytes;
        place
    }

    /// Records that a stored answer was dropped.
    pub(super) fn remove(&mut self, place: AnswerPlace) {
        let list = self.list_mut(place);
        if list.attempts.remove(&place.number).is_some() {
            list.bytes -= place.bytes;
        }
    }

    fn list_mut(&mut self, place: AnswerPlace) -> &mut AnswerList {
        match place.bytes > SMALL_ANSWER_BYTES {
            true => &mut self.large,
            false => &mut self.small,
        }
    }
}
