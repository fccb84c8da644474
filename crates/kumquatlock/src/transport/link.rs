//! A single framed connection.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use kumquatlock_wire::distribution::{Ping, Pong};
use kumquatlock_wire::{Body, EncodedFrame, Envelope, EnvelopeCodec};
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use super::counters::{LinkScope, TrafficCounters, TrafficDirection};
use super::outbox::LinkOutbox;
use super::table::{LinkError, LinkTiming, MAX_QUEUED_BYTES};
use crate::core::Timestamp;
use crate::memory::{BODY_COPIES, MemoryBudget, MemoryCharge};

/// Number of bytes read from a socket in one call.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Largest empty inbox that a link keeps, in bytes. Larger ones are given back.
const MAX_EMPTY_BYTES: usize = 64 * 1024;

/// Identifies a link within its table. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Action that results from the periodic check of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeStep {
    /// Nothing to do.
    Wait,
    /// Send a ping.
    Probe,
    /// Close the link, because it is silent.
    Close,
}

/// Why a link stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkReadStep {
    /// The socket is empty.
    Empty,
    /// The process holds more than its budget, and the link a large incomplete frame. The rest of
    /// the socket is unread.
    MemoryExceeded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkPhase {
    Connecting,
    Open,
}

pub(super) struct FramedLink {
    pub(super) socket: MioSource<TcpStream>,
    pub(super) remote: SocketAddr,
    pub(super) phase: LinkPhase,
    /// Whether the other end opened the link.
    pub(super) accepted: bool,
    pub(super) scope: LinkScope,
    /// Whether the link is closed when it is silent. Set while an answer is expected.
    pub(super) watched: bool,
    pub(super) outbox: LinkOutbox,
    codec: EnvelopeCodec,
    inbox: BytesMut,
    /// Covers the inbox.
    charge: MemoryCharge,
    /// Whether a valid message has arrived.
    pub(super) is_proven: bool,
    /// Time at which bytes were last received, or at which watching began.
    pub(super) heard_at: Timestamp,
    /// Time at which the unanswered ping was sent.
    probed_at: Option<Timestamp>,
    probes: u64,
}

impl FramedLink {
    pub(super) fn new(
        socket: MioSource<TcpStream>,
        remote: SocketAddr,
        phase: LinkPhase,
        now: Timestamp,
        max_frame_bytes: usize,
        budget: &MemoryBudget,
    ) -> Self {
        FramedLink {
            socket,
            remote,
            phase,
            accepted: phase == LinkPhase::Open,
            scope: LinkScope::Region,
            watched: false,
            outbox: LinkOutbox::default(),
            codec: EnvelopeCodec::with_limit(max_frame_bytes),
            inbox: BytesMut::new(),
            charge: budget.empty_charge(),
            is_proven: false,
            heard_at: now,
            probed_at: None,
            probes: 0,
        }
    }

    /// Queues a message and writes as many bytes as the socket accepts without blocking.
    pub(super) fn send(
        &mut self,
        body: Body,
        ticket: Option<u64>,
        counters: &TrafficCounters,
    ) -> Result<(), LinkError> {
        let kind = body.kind();
        let before = self.outbox.buffer.len();
        if before > MAX_QUEUED_BYTES {
            return Err(LinkError::QueueFull);
        }
        if let Some(ticket) = ticket {
            self.outbox.set_next_ticket(ticket);
        }
        self.codec
            .encode(&Envelope::from(body), &mut self.outbox.buffer)?;
        let bytes = self.outbox.buffer.len() - before;
        counters.record(TrafficDirection::Sent, self.scope, kind, bytes);
        self.flush()
    }

    /// Queues an encoded message and writes as many bytes as the socket accepts without blocking.
    pub(super) fn send_frame(
        &mut self,
        frame: &EncodedFrame,
        counters: &TrafficCounters,
    ) -> Result<(), LinkError> {
        if self.outbox.buffer.len() > MAX_QUEUED_BYTES {
            return Err(LinkError::QueueFull);
        }
        self.outbox.buffer.extend_from_slice(frame.bytes());
        let bytes = frame.bytes().len();
        counters.record(TrafficDirection::Sent, self.scope, frame.kind(), bytes);
        self.flush()
    }

    pub(super) fn flush(&mut self) -> Result<(), LinkError> {
        if self.phase == LinkPhase::Connecting {
            return Ok(());
        }
        self.outbox
            .flush(&mut *self.socket)
            .map_err(LinkError::from)
    }

    /// Checks a pending connection attempt. Returns whether the connection is established.
    pub(super) fn finish_connect(&mut self) -> Result<bool, LinkError> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error.into());
        }
        match self.socket.peer_addr() {
            Ok(_) => {
                self.phase = LinkPhase::Open;
                // Disables Nagle's algorithm, which would delay small frames until earlier ones are
                // acknowledged.
                self.socket.set_nodelay(true)?;
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads until the socket is empty, and appends complete messages to `received`.
    pub(super) fn read(
        &mut self,
        now: Timestamp,
        counters: &TrafficCounters,
        received: &mut Vec<Body>,
        budget: &MemoryBudget,
    ) -> Result<LinkReadStep, LinkError> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match self.socket.read(&mut chunk) {
                Ok(0) => return Err(LinkError::ClosedByPeer),
                Ok(count) => {
                    self.heard_at = now;
                    self.probed_at = None;
                    self.inbox.extend_from_slice(&chunk[..count]);
                    self.decode(counters, received)?;
                    self.settle();
                    if self.charge.bytes() > 0 && budget.is_exceeded() {
                        return Ok(LinkReadStep::MemoryExceeded);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(LinkReadStep::Empty);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Gives back a large empty inbox and updates its charge. An incomplete frame is charged by its
    /// received bytes, since the rest of the allocation is not in use yet.
    fn settle(&mut self) {
        if self.inbox.is_empty() && self.inbox.capacity() > MAX_EMPTY_BYTES {
            self.inbox = BytesMut::new();
        }
        self.charge.resize(self.inbox.len());
    }

    /// Whether a frame is incomplete.
    pub(super) fn is_partial(&self) -> bool {
        !self.inbox.is_empty()
    }

    /// Charges the bodies of a message for as long as they are held.
    fn hold(&self, body: Body) -> Body {
        let hold = |content: Bytes, copies: usize| {
            let mut charge = self.charge.split();
            charge.resize(copies * content.len());
            charge.hold(content)
        };
        match body {
            Body::Call(mut call) => {
                call.body = hold(call.body, BODY_COPIES);
                Body::Call(call)
            }
            Body::Response(mut response) => {
                response.body = hold(response.body, 1);
                Body::Response(response)
            }
            body => body,
        }
    }

    fn decode(
        &mut self,
        counters: &TrafficCounters,
        received: &mut Vec<Body>,
    ) -> Result<(), LinkError> {
        loop {
            let before = self.inbox.len();
            let Some(envelope) = self.codec.decode(&mut self.inbox)? else {
                return Ok(());
            };
            let bytes = before - self.inbox.len();
            let Some(body) = envelope.body else {
                continue;
            };
            counters.record(TrafficDirection::Received, self.scope, body.kind(), bytes);
            if let Body::Ping(Ping { number, .. }) = body {
                let pong = Pong {
                    number,
                    ..Pong::default()
                };
                self.send(Body::Pong(pong), None, counters)?;
            }
            // Pings and pongs are passed on as well: components with their own timeouts treat them
            // as signs of life.
            self.is_proven = true;
            received.push(self.hold(body));
        }
    }

    /// Decides whether a ping must be sent or the link must be closed as silent.
    pub(super) fn probe_step(&self, now: Timestamp, timing: &LinkTiming) -> ProbeStep {
        if self.phase == LinkPhase::Connecting {
            return if now.since(self.heard_at) >= timing.connect_timeout {
                ProbeStep::Close
            } else {
                ProbeStep::Wait
            };
        }
        if !self.watched {
            return ProbeStep::Wait;
        }
        let silence = now.since(self.heard_at);
        match self.probed_at {
            Some(_) if silence >= timing.silence_timeout => ProbeStep::Close,
            None if silence >= timing.probe_after => ProbeStep::Probe,
            _ => ProbeStep::Wait,
        }
    }

    /// Returns how long a ping or the connection attempt has been unanswered.
    pub(super) fn unanswered_for(&self, now: Timestamp) -> Duration {
        match (self.phase, self.probed_at) {
            (LinkPhase::Connecting, _) => now.since(self.heard_at),
            (LinkPhase::Open, Some(probed_at)) => now.since(probed_at),
            (LinkPhase::Open, None) => Duration::ZERO,
        }
    }

    pub(super) fn probe(
        &mut self,
        now: Timestamp,
        counters: &TrafficCounters,
    ) -> Result<(), LinkError> {
        self.probed_at = Some(now);
        self.probes += 1;
        self.send(
            Body::Ping(Ping {
                number: self.probes,
                prove: false,
            }),
            None,
            counters,
        )
    }

    /// Sets whether the link is closed when it is silent.
    pub(super) fn watch(&mut self, now: Timestamp, watched: bool) {
        if watched && !self.watched {
            // Silence before an answer was expected does not count.
            self.heard_at = now;
            self.probed_at = None;
        }
        self.watched = watched;
    }
}
