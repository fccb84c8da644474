//! Ordering of messages after the writes that they depend on.

use std::collections::VecDeque;
use std::sync::Arc;

use kumquatlock_wire::agreement::PeerMessage;

use super::MAX_HELD_MESSAGES;
use super::types::PersistTicket;
use crate::core::SharedName;
use crate::journal::StoredSnapshot;

/// A message that may be sent, because the writes that it depends on are durable. Only the outbox
/// hands out values of this type.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleasedMessage {
    to: SharedName,
    message: PeerMessage,
}

impl ReleasedMessage {
    /// Returns the name of the receiving member.
    pub fn to(&self) -> &SharedName {
        &self.to
    }

    pub fn message(&self) -> &PeerMessage {
        &self.message
    }

    pub fn into_parts(self) -> (SharedName, PeerMessage) {
        (self.to, self.message)
    }
}

/// A message that waits for a write to become durable.
#[derive(Debug)]
struct HeldMessage {
    after: PersistTicket,
    released: ReleasedMessage,
}

/// Effect that a write has on the engine's state once it is durable.
#[derive(Clone, Debug)]
pub(super) enum WriteEffect {
    Metadata,
    /// The log is durable up to this index.
    Entries(u64),
    Compacted(Arc<StoredSnapshot>),
    Installed(Arc<StoredSnapshot>),
}

/// Writes in progress and the messages that wait for them.
#[derive(Debug, Default)]
pub(super) struct MessageOutbox {
    issued: PersistTicket,
    /// Last write of the metadata. Every message contains the term, so every message waits for this
    /// write.
    metadata: PersistTicket,
    durable: PersistTicket,
    writes: VecDeque<(PersistTicket, WriteEffect)>,
    held: VecDeque<HeldMessage>,
}

impl MessageOutbox {
    /// Registers a new write and returns its ticket.
    pub(super) fn issue(&mut self, effect: WriteEffect) -> PersistTicket {
        self.issued.0 += 1;
        if matches!(effect, WriteEffect::Metadata) {
            self.metadata = self.issued;
        }
        self.writes.push_back((self.issued, effect));
        self.issued
    }

    /// Returns the ticket of the last write issued.
    pub(super) fn last_issued(&self) -> PersistTicket {
        self.issued
    }

    pub(super) fn is_writing_entries(&self) -> bool {
        self.writes
            .iter()
            .any(|(_, effect)| matches!(effect, WriteEffect::Entries(_)))
    }

    /// Records that the entries at `from` and later were replaced, so that earlier writes no longer
    /// make those indices durable.
    pub(super) fn record_truncated(&mut self, from: u64) {
        for (_, effect) in &mut self.writes {
            if let WriteEffect::Entries(last) = effect {
                *last = (*last).min(from - 1);
            }
        }
    }

    /// Returns the message if the latest metadata is durable, and holds it back otherwise.
    pub(super) fn send(&mut self, to: SharedName, message: PeerMessage) -> Option<ReleasedMessage> {
        self.send_after(self.metadata, to, message)
    }

    /// Returns the message if the write `after` is durable, and holds it back otherwise.
    pub(super) fn send_after(
        &mut self,
        after: PersistTicket,
        to: SharedName,
        message: PeerMessage,
    ) -> Option<ReleasedMessage> {
        let released = ReleasedMessage { to, message };
        if after <= self.durable {
            return Some(released);
        }
        if self.held.len() >= MAX_HELD_MESSAGES {
            ::log::warn!(to = &*released.to; "message_dropped_storage_slow");
            return None;
        }
        self.held.push_back(HeldMessage { after, released });
        None
    }

    /// Records that a write and all earlier ones are durable, and returns their effects.
    pub(super) fn record_durable(&mut self, ticket: PersistTicket) -> Vec<WriteEffect> {
        self.durable = self.durable.max(ticket.min(self.issued));
        let mut effects = Vec::new();
        while let Some((_, effect)) = self
            .writes
            .pop_front_if(|(first, _)| *first <= self.durable)
        {
            effects.push(effect);
        }
        effects
    }

    /// Removes and returns the messages whose writes are durable.
    pub(super) fn release(&mut self) -> Vec<ReleasedMessage> {
        let (ready, held): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| held.after <= self.durable);
        self.held = held;
        ready.into_iter().map(|held| held.released).collect()
    }

    /// Discards the pending writes, which failed or were never carried out, and the messages that
    /// depend on them. Their tickets are never issued again.
    pub(super) fn discard(&mut self) {
        self.writes.clear();
        self.held.clear();
        self.durable = self.issued;
    }
}
