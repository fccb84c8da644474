//! Bytes waiting to be written to one link.

use std::collections::VecDeque;
use std::io::{self, Write};

use bytes::{Buf, BytesMut};

/// Outgoing bytes and, for each ticketed message, where it starts in the byte stream.
#[derive(Debug, Default)]
pub(super) struct LinkOutbox {
    /// Encoded frames that are not written yet.
    pub(super) buffer: BytesMut,
    /// Bytes handed to the socket since the link opened.
    written: u64,
    /// Start position and ticket of ticketed messages, in order. Positions below `written` are
    /// removed: the other end may have received a part.
    tickets: VecDeque<(u64, u64)>,
}

impl LinkOutbox {
    /// Notes that the frame appended next belongs to `ticket`.
    pub(super) fn mark(&mut self, ticket: u64) {
        self.tickets
            .push_back((self.written + self.buffer.len() as u64, ticket));
    }

    /// Writes as much as the socket takes.
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

    /// Tickets of the messages of which no byte was written.
    pub(super) fn unsent(&self) -> Vec<u64> {
        self.tickets.iter().map(|(_, ticket)| *ticket).collect()
    }
}
