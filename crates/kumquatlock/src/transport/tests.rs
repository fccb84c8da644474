//! Tests of the transport that need no connection.

use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use kumquatlock_wire::Body;
use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

use super::outbox::LinkOutbox;
use super::{LinkEvent, LinkTable, TrafficCounters};
use crate::core::Timestamp;

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

/// Fault: a message to a node without a route is reported as unsent only after the loss of its link,
/// which makes its outcome unknown instead of "not run".
#[test]
fn a_link_that_cannot_be_opened_is_not_lost_before_its_message_is_reported_as_unsent() {
    let mut stakker = Stakker::new(Instant::now());
    let events = Events::with_capacity(16);
    let poll = MioPoll::new(&mut stakker, Poll::new().unwrap(), events, 5).unwrap();
    let ready = Rc::new(RefCell::new(Vec::new()));
    let forward = Fwd::new(move |event| ready.borrow_mut().push(event));
    let mut links = LinkTable::new(poll, forward, Arc::new(TrafficCounters::default()));
    // The system refuses a link-local address without a scope before it sends anything.
    let address = "[fe80::1]:1".parse().unwrap();
    let link = links.connect(Timestamp::default(), address);
    assert!(!links.is_open(link));
    for ticket in [7, 8] {
        links.send(link, Body::Ping(Default::default()), Some(ticket));
    }
    let Some(LinkEvent::Closed { unsent, .. }) = links.next_event() else {
        panic!("the link was not closed");
    };
    assert_eq!(unsent, [7, 8]);
    assert!(links.next_event().is_none());
}
