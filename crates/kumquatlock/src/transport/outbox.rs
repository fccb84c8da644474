//! Output buffer of one link.

use std::collections::VecDeque;
use std::io::{self, Write};

use bytes::{Buf, BytesMut};

/// Outgoing bytes, with the start position of each message that carries a ticket. A ticket is a
/// number by which the sender recognises an unsent message when the link closes.
#[derive(Debug, Default)]
pub(super) struct LinkOutbox {
    /// Encoded frames that have not been written to the socket yet.
    pub(super) buffer: BytesMut,
    /// Number of bytes written to the socket since the link opened.
    written: u64,
    /// Start position and ticket of each message with a ticket, in order. Entries with a position
    /// below `written` are removed, because the other end may have received part of the message.
    tickets: VecDeque<(u64, u64)>,
}

impl LinkOutbox {
    /// Assigns `ticket` to the frame that is appended next.
    pub(super) fn set_next_ticket(&mut self, ticket: u64) {
        self.tickets
            .push_back((self.written + self.buffer.len() as u64, ticket));
    }

    /// Writes as many bytes as the socket accepts without blocking.
    pub(super) fn flush(&mut self, socket: &mut impl Write) -> io::Result<()> {
        while !self.buffer.is_empty() {
            match socket.write(&self.buffer) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn advance(&mut self, count: usize) {
        self.buffer.advance(count);
        self.written += count as u64;
        while self
            .tickets
            .front()
            .is_some_and(|(start, _)| *start < self.written)
        {
            self.tickets.pop_front();
        }
    }

    /// Returns the tickets of the messages of which no byte was written.
    pub(super) fn unsent(&self) -> Vec<u64> {
        self.tickets.iter().map(|(_, ticket)| *ticket).collect()
    }
}
