//! Tests of the transport that need no real sockets.

use std::io::{self, Write};

use super::outbox::LinkOutbox;

/// A writer that accepts a fixed number of bytes and then returns `WouldBlock`.
struct LimitedSocket {
    capacity: usize,
}

impl Write for LimitedSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(self.capacity);
        self.capacity -= count;
        if count == 0 {
            Err(io::ErrorKind::WouldBlock.into())
        } else {
            Ok(count)
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn outbox_with_two_messages() -> LinkOutbox {
    let mut outbox = LinkOutbox::default();
    for ticket in [1, 2] {
        outbox.set_next_ticket(ticket);
        outbox.buffer.extend_from_slice(&[0; 10]);
    }
    outbox
}

/// Guards against a call that is retried on another link although part of it was sent.
#[test]
fn a_partly_written_message_is_not_reported_as_unsent() {
    for (capacity, unsent) in [(0, vec![1, 2]), (1, vec![2]), (10, vec![2]), (11, vec![])] {
        let mut outbox = outbox_with_two_messages();
        outbox.flush(&mut LimitedSocket { capacity }).unwrap();
        assert_eq!(outbox.unsent(), unsent, "after {capacity} bytes");
    }
}
