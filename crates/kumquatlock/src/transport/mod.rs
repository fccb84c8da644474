//! Framed links between processes.
//!
//! A [`LinkTable`] belongs to one actor. The actor passes readiness in, takes [`LinkEvent`]s
//! out and sends messages. The table never blocks, never decides and never reconnects: that is
//! left to the duties, which know why they want a link.
//!
//! A link reports which messages had no byte written to the socket when it closed. This is the
//! proof that a call was not run, on which trying elsewhere depends.

mod counters;
mod link;
mod outbox;
mod table;

pub use counters::{LinkScope, TrafficCounters, TrafficDirection};
pub use link::LinkId;
pub use table::{
    CONNECT_TIMEOUT, LinkError, LinkEvent, LinkReady, LinkTable, LinkTiming, MAX_QUEUED_BYTES,
    POLL_PRIORITY, PROBE_AFTER, SILENCE_TIMEOUT,
};

#[cfg(test)]
mod tests;
