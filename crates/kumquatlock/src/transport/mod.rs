//! Framed TCP connections (links) between processes.
//!
//! A [`LinkTable`] belongs to one actor. The actor passes socket readiness to the table, takes
//! [`LinkEvent`]s from it and sends messages. The table never blocks, and it never reconnects: the
//! components that use a link decide whether to open a new one.
//!
//! When a link closes, it reports the messages of which no byte was written to the socket. The
//! other end can't have acted on them, so calls among them may be retried on another link.

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
