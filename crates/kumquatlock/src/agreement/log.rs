//! In-memory log entries after the compaction point.

use std::collections::VecDeque;

use kumquatlock_wire::agreement::LogEntry;

use super::{MAX_BATCH_BYTES, MAX_BATCH_ENTRIES};

/// Log entries after the base, which is the last compacted entry.
#[derive(Debug, Default)]
pub(super) struct EntryLog {
    /// Entries with consecutive indices, starting at `base_index + 1`.
    entries: VecDeque<LogEntry>,
    base_index: u64,
    base_term: u64,
}

impl EntryLog {
    pub(super) fn new(base_index: u64, base_term: u64, entries: Vec<LogEntry>) -> Self {
        EntryLog {
            entries: entries.into(),
            base_index,
            base_term,
        }
    }

    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, or `None` if the entry is before the base or after
    /// the end of the log.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(position as usize)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub(super) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Removes the entries up to and including `index`.
    pub(super) fn compact_to(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns entries starting at `first`, up to the limits of one append. Returns at least one
    /// entry if there is any.
    pub(super) fn batch(&self, first: u64) -> Vec<LogEntry> {
        let start = first.saturating_sub(self.base_index + 1) as usize;
        let mut bytes = 0;
        self.entries
            .iter()
            .skip(start)
            .take(MAX_BATCH_ENTRIES)
            .take_while(|entry| {
                let is_first = bytes == 0;
                bytes += entry.payload.len() + 1;
                is_first || bytes <= MAX_BATCH_BYTES
            })
            .cloned()
            .collect()
    }

    /// Whether a log whose last entry has this index and term is at least as up to date as this
    /// log, and so contains everything that this log may have committed.
    pub(super) fn is_other_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Returns the last index before the run of consecutive entries that have the same term as the
    /// entry at `index`, or the base index if the run starts at or before the base.
    pub(super) fn index_before_term(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut previous = index;
        while previous > self.base_index && self.term(previous) == term {
            previous -= 1;
        }
        previous
    }
}
