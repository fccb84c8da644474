//! Outcomes of the attempts at one destination.

use std::time::Duration;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::call::{AttemptId, HeaderField};
use kumquatlock_wire::claim::ClaimOwner;

use super::ClaimSettings;
use super::answer_room::{AnswerPlace, AnswerRoom, RoomStep};
use crate::core::{IncarnationId, SharedName, Timestamp};

/// Maximum number of queries that wait for one running attempt.
pub const MAX_QUERY_WAITERS: usize = 64;

/// Time for which an attempt without a key is remembered, as a multiple of the retention.
const UNKEYED_RETENTION_FACTOR: u32 = 2;

/// How long the answer to an attempt without a key is stored beyond the deadline of its call. Covers
/// the time that its call spent on the way.
const UNKEYED_ANSWER_OVERTIME: Duration = Duration::from_secs(1);

/// Maximum number of incarnations whose attempts one table covers. A node that runs for months takes
/// new ones without end; entry nodes learn of the latest within seconds.
const MAX_INCARNATIONS: usize = 16;

/// Maximum number of entry processes whose closed calls are remembered. Only those count that lost
/// a link with an attempt on it.
const MAX_CLOSED_ENTRIES: usize = 4_096;

/// A stored answer of an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u32,
    /// Headers of the answer.
    pub headers: Vec<HeaderField>,
    /// The complete body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns the size of headers and body in bytes.
    fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|field| field.name.len() + field.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Whether a delivered attempt may proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptAdmission {
    /// First delivery: acquire the claim.
    Admitted,
    /// Delivered before; only the first delivery is answered.
    Duplicate,
    /// The attempt was fenced before it arrived and never runs.
    Fenced,
    /// The table is full; the attempt never runs.
    Full,
}

/// Answer to an outcome query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryAnswer {
    /// The attempt ran and this is its answer.
    Answered(StoredAnswer),
    /// The attempt ran; its answer is no longer stored.
    AnswerGone,
    /// The attempt did not run and never will. Its claim may be released.
    NeverRuns,
    /// The attempt ran or may have run, and its outcome is not known here.
    Unknown,
    /// The attempt was still running at the deadline of the query.
    StillRunning,
    /// Too many queries wait for the attempt.
    TooManyWaiters,
}

/// Reply to a query that had to wait.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryReply {
    /// Id of the query.
    pub query: AttemptId,
    /// Answer to the query.
    pub answer: QueryAnswer,
}

#[derive(Debug)]
enum AttemptState {
    /// Delivered; the claim is not granted yet.
    Pending,
    Running,
    Answered {
        answer: StoredAnswer,
        place: AnswerPlace,
    },
    /// Finished; the answer was too large to store or was dropped.
    AnswerDropped,
    /// Started, but its outcome was not observed.
    Lost,
    /// Never runs.
    Fenced {
        /// Whether the attempt has arrived. If not, it may still arrive at any time.
        arrived: bool,
    },
}

impl AttemptState {
    fn is_open(&self) -> bool {
        matches!(self, AttemptState::Pending | AttemptState::Running)
    }
}

#[derive(Debug)]
struct AttemptEntry {
    state: AttemptState,
    changed: Timestamp,
    /// Time for which the attempt is remembered after its last change.
    retention: Duration,
    /// Nobody asks for the answer from then on; `None` for an attempt with a key, whose requests may be
    /// sent again at any time.
    answer_deadline: Option<Timestamp>,
    waiters: Vec<(AttemptId, Timestamp)>,
}

impl AttemptEntry {
    /// Handles a delivery of the attempt that this entry belongs to.
    fn deliver_again(&mut self) -> AttemptAdmission {
        match &mut self.state {
            AttemptState::Fenced { arrived } => {
                *arrived = true;
                AttemptAdmission::Fenced
            }
            _ => AttemptAdmission::Duplicate,
        }
    }

    /// Whether the stored answer is no longer needed. `retention` is that of answers.
    fn is_answer_expired(&self, now: Timestamp, retention: Duration) -> bool {
        let is_asked_for = self.answer_deadline.is_none_or(|deadline| now < deadline);
        !is_asked_for || now.since(self.changed) >= retention
    }

    /// Drops the answer if there is one.
    fn drop_answer(&mut self, answers: &mut AnswerRoom) {
        if let AttemptState::Answered { place, .. } = &self.state {
            answers.remove(*place);
            self.state = AttemptState::AnswerDropped;
        }
    }
}

/// One process of an entry node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EntryProcess {
    name: String,
    process: u64,
}

impl EntryProcess {
    fn of(attempt: &AttemptId) -> Self {
        EntryProcess {
            name: attempt.entry.clone(),
            process: attempt.entry_incarnation,
        }
    }
}

/// Outcomes of the attempts that were delivered to one process of a destination, under any of its
/// incarnations.
///
/// Invariant: an attempt passes [`OutcomeTable::start_run`] at most once, and never after it was
/// fenced. A pending or running attempt is never forgotten. The table lives as long as the process,
/// because an attempt may arrive at any time after it was fenced, and only this table refuses it.
/// For the same reason it speaks only for attempts that name one of `incarnations`: another process
/// may have fenced or run any other attempt.
#[derive(Debug)]
pub struct OutcomeTable {
    name: SharedName,
    /// Incarnations that this process has taken, oldest first; at most [`MAX_INCARNATIONS`].
    incarnations: IndexSet<IncarnationId>,
    retention: Duration,
    /// Retention of attempts with a key. A holder names an attempt as owner until the key retention
    /// has passed since the holder last changed its record of the key. That change can be later
    /// than the last change of the attempt in this table. If the attempt were forgotten earlier, a
    /// query would take it for one that never arrived, and its key would be released.
    keyed_retention: Duration,
    max_attempts: usize,
    attempts: IndexMap<AttemptId, AttemptEntry>,
    /// Highest call of each entry process with a fence that was dropped although its attempt had not
    /// arrived. Attempts of this call and earlier ones are refused unless `attempts` has them: an
    /// entry numbers its calls in order, and a fence is kept for longer than any call lasts. At most
    /// [`MAX_CLOSED_ENTRIES`]; beyond it, the oldest is dropped.
    closed_calls: IndexMap<EntryProcess, u64>,
    /// Order and sizes of the answers of the attempts in state `Answered`, which are in `attempts`: an
    /// answer expires no later than its attempt.
    answers: AnswerRoom,
}

impl OutcomeTable {
    /// Creates an empty table for the upstream `name`.
    pub fn new(name: SharedName, incarnation: IncarnationId, settings: &ClaimSettings) -> Self {
        OutcomeTable {
            name,
            incarnations: IndexSet::from([incarnation]),
            retention: settings.retention,
            keyed_retention: settings.key_retention + settings.retention,
            max_attempts: settings.max_keys,
            attempts: IndexMap::new(),
            closed_calls: IndexMap::new(),
            answers: AnswerRoom::new(settings.max_answer_bytes),
        }
    }

    /// Extends the table to the attempts that name `incarnation`, which this process takes now.
    pub fn add_incarnation(&mut self, incarnation: IncarnationId) {
        self.incarnations.insert(incarnation);
        if self.incarnations.len() > MAX_INCARNATIONS {
            self.incarnations.shift_remove_index(0);
        }
    }

    /// Whether the table knows all attempts that name `incarnation` and were delivered or fenced.
    pub fn covers(&self, incarnation: IncarnationId) -> bool {
        self.incarnations.contains(&incarnation)
    }

    /// Returns the size of all stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Whether the attempt has been delivered or fenced, and is remembered.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.attempts.contains_key(attempt)
    }

    /// Registers a delivered attempt with a key, which needs a claim.
    pub fn register_keyed(&mut self, now: Timestamp, attempt: &AttemptId) -> AttemptAdmission {
        self.register(now, attempt, self.keyed_retention, None)
    }

    /// Registers a delivered attempt without a key. Only its own entry queries it, until the
    /// deadline of the call, which is `left` from now. If the attempt were forgotten earlier, a
    /// query would take it for one that never arrived, and the entry would send another.
    pub fn register_unkeyed(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        left: Duration,
    ) -> AttemptAdmission {
        let usual = self.retention * UNKEYED_RETENTION_FACTOR;
        let retention = usual.max(left + self.retention);
        let answer_deadline = now + left + UNKEYED_ANSWER_OVERTIME;
        self.register(now, attempt, retention, Some(answer_deadline))
    }

    fn register(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        retention: Duration,
        answer_deadline: Option<Timestamp>,
    ) -> AttemptAdmission {
        if let Some(entry) = self.attempts.get_mut(attempt) {
            return entry.deliver_again();
        }
        if self.is_closed(attempt) {
            return AttemptAdmission::Fenced;
        }
        if self.attempts.len() >= self.max_attempts {
            return AttemptAdmission::Full;
        }
        let entry = self.insert(now, attempt, AttemptState::Pending, retention);
        entry.answer_deadline = answer_deadline;
        AttemptAdmission::Admitted
    }

    /// Marks an attempt as running before it is passed to the upstream. Returns false if it was
    /// fenced or has been started before.
    #[must_use]
    pub fn start_run(&mut self, now: Timestamp, attempt: &AttemptId) -> bool {
        match self.attempts.get_mut(attempt) {
            Some(entry) if matches!(entry.state, AttemptState::Pending) => {
                entry.state = AttemptState::Running;
                entry.changed = now;
                true
            }
            _ => false,
        }
    }

    /// Ensures that an attempt that has arrived never runs. Returns whether this succeeded, and the
    /// replies to the queries that waited. Fails if the attempt may have started or the table is
    /// full.
    pub fn fence(&mut self, now: Timestamp, attempt: &AttemptId) -> (bool, Vec<QueryReply>) {
        let fenced = AttemptState::Fenced { arrived: true };
        match self.attempts.get(attempt).map(|entry| &entry.state) {
            Some(AttemptState::Fenced { .. }) => (true, Vec::new()),
            None => (self.insert_fence(now, attempt, fenced), Vec::new()),
            Some(AttemptState::Pending) => {
                let replies = self.close(now, attempt, fenced, QueryAnswer::NeverRuns);
                (true, replies)
            }
            Some(_) => (false, Vec::new()),
        }
    }

    /// Records the fence of an attempt that the table does not have. Returns false if the table is
    /// full: a fence that is not recorded would have no effect.
    fn insert_fence(&mut self, now: Timestamp, attempt: &AttemptId, state: AttemptState) -> bool {
        if self.attempts.len() >= self.max_attempts {
            return false;
        }
        self.insert(now, attempt, state, self.keyed_retention);
        true
    }

    /// Whether the fence of the attempt may have been dropped before the attempt arrived.
    fn is_closed(&self, attempt: &AttemptId) -> bool {
        let closed = self.closed_calls.get(&EntryProcess::of(attempt));
        closed.is_some_and(|last| attempt.call_id <= *last)
    }

    fn close_calls(&mut self, attempt: &AttemptId) {
        let last = self.closed_calls.entry(EntryProcess::of(attempt));
        let last = last.or_insert(attempt.call_id);
        *last = attempt.call_id.max(*last);
        if self.closed_calls.len() > MAX_CLOSED_ENTRIES {
            self.closed_calls.shift_remove_index(0);
        }
    }

    /// Stores the answer of a running attempt and returns the replies to the queries that wait for
    /// it.
    pub fn finish(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        answer: StoredAnswer,
    ) -> Vec<QueryReply> {
        if !self.is_running(attempt) {
            return Vec::new();
        }
        let reply = QueryAnswer::Answered(answer.clone());
        let state = match self.make_room(answer.size()) {
            true => AttemptState::Answered {
                place: self.answers.insert(attempt.clone(), answer.size()),
                answer,
            },
            false => AttemptState::AnswerDropped,
        };
        self.close(now, attempt, state, reply)
    }

    /// Drops answers until one of this size fits. Returns false if it never does.
    fn make_room(&mut self, size: usize) -> bool {
        loop {
            match self.answers.next_step(size) {
                RoomStep::Store => return true,
                RoomStep::Refuse => return false,
                RoomStep::Drop(oldest) => self.drop_answer(&oldest),
            }
        }
    }

    /// Records that the outcome of a running attempt was not observed.
    pub fn mark_lost(&mut self, now: Timestamp, attempt: &AttemptId) -> Vec<QueryReply> {
        if !self.is_running(attempt) {
            return Vec::new();
        }
        self.close(now, attempt, AttemptState::Lost, QueryAnswer::Unknown)
    }

    /// Records that a running attempt did not reach the upstream after all.
    pub fn mark_not_run(&mut self, now: Timestamp, attempt: &AttemptId) -> Vec<QueryReply> {
        if !self.is_running(attempt) {
            return Vec::new();
        }
        let fenced = AttemptState::Fenced { arrived: true };
        self.close(now, attempt, fenced, QueryAnswer::NeverRuns)
    }

    /// Answers a query about the owner of a key, or returns `None` and keeps the query until the
    /// attempt ends. A query for an attempt that never arrived fences the attempt.
    pub fn query(
        &mut self,
        now: Timestamp,
        query: &AttemptId,
        owner: &ClaimOwner,
        deadline: Timestamp,
    ) -> Option<QueryAnswer> {
        let named = IncarnationId(owner.destination_incarnation);
        if *owner.destination != *self.name || !self.covers(named) {
            return Some(QueryAnswer::Unknown);
        }
        let Some(entry) = self.attempts.get_mut(&owner.attempt) else {
            let fenced = AttemptState::Fenced { arrived: false };
            return Some(match self.insert_fence(now, &owner.attempt, fenced) {
                true => QueryAnswer::NeverRuns,
                false => QueryAnswer::Unknown,
            });
        };
        match &entry.state {
            AttemptState::Answered { answer, .. } => Some(QueryAnswer::Answered(answer.clone())),
            AttemptState::AnswerDropped => Some(QueryAnswer::AnswerGone),
            AttemptState::Lost => Some(QueryAnswer::Unknown),
            AttemptState::Fenced { .. } => Some(QueryAnswer::NeverRuns),
            AttemptState::Pending | AttemptState::Running => {
                if entry.waiters.iter().any(|(waiter, _)| waiter == query) {
                    return None;
                }
                if entry.waiters.len() >= MAX_QUERY_WAITERS {
                    return Some(QueryAnswer::TooManyWaiters);
                }
                entry.waiters.push((query.clone(), deadline));
                None
            }
        }
    }

    /// Answers queries past their deadline and drops answers and attempts past their retention.
    pub fn on_tick(&mut self, now: Timestamp) -> Vec<QueryReply> {
        let mut replies = Vec::new();
        let mut closed = Vec::new();
        self.attempts.retain(|attempt, entry| {
            if entry.is_answer_expired(now, self.retention) {
                entry.drop_answer(&mut self.answers);
            }
            entry.waiters.retain(|(query, deadline)| {
                let waits = now < *deadline;
                if !waits {
                    replies.push(QueryReply {
                        query: query.clone(),
                        answer: QueryAnswer::StillRunning,
                    });
                }
                waits
            });
            let is_kept = entry.state.is_open() || now.since(entry.changed) < entry.retention;
            if !is_kept && matches!(entry.state, AttemptState::Fenced { arrived: false }) {
                closed.push(attempt.clone());
            }
            is_kept
        });
        for attempt in &closed {
            self.close_calls(attempt);
        }
        replies
    }

    fn is_running(&self, attempt: &AttemptId) -> bool {
        let entry = self.attempts.get(attempt);
        entry.is_some_and(|entry| matches!(entry.state, AttemptState::Running))
    }

    fn insert(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        state: AttemptState,
        retention: Duration,
    ) -> &mut AttemptEntry {
        let entry = AttemptEntry {
            state,
            changed: now,
            retention,
            answer_deadline: None,
            waiters: Vec::new(),
        };
        self.attempts
            .entry(attempt.clone())
            .insert_entry(entry)
            .into_mut()
    }

    /// Ends a pending or running attempt and answers its waiting queries.
    fn close(
        &mut self,
        now: Timestamp,
        attempt: &AttemptId,
        state: AttemptState,
        answer: QueryAnswer,
    ) -> Vec<QueryReply> {
        let Some(entry) = self.attempts.get_mut(attempt) else {
            return Vec::new();
        };
        entry.state = state;
        entry.changed = now;
        let waiters = std::mem::take(&mut entry.waiters).into_iter();
        let replies = waiters.map(|(query, _)| QueryReply {
            query,
            answer: answer.clone(),
        });
        replies.collect()
    }

    fn drop_answer(&mut self, attempt: &AttemptId) {
        if let Some(entry) = self.attempts.get_mut(attempt) {
            entry.drop_answer(&mut self.answers);
        }
    }
}
