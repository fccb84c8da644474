//! The table of all links of one process.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::{Body, EncodedFrame, FrameError, MAX_CONTROL_FRAME_BYTES, MAX_FRAME_BYTES};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use super::counters::{LinkScope, TrafficCounters};
use super::link::{FramedLink, LinkId, LinkPhase, LinkReadStep, ProbeStep};
use crate::core::Timestamp;
use crate::memory::MemoryBudget;

/// Maximum number of bytes queued on one link, room for two of the largest frames. Above it, further
/// messages are refused.
pub const MAX_QUEUED_BYTES: usize = 2 * MAX_CONTROL_FRAME_BYTES;
/// Maximum number of links that one process accepts from others.
const MAX_ACCEPTED_LINKS: usize = 4_096;
/// Part of the descriptors that accepted links may use, as a divisor.
const ACCEPTED_DIVISOR: usize = 4;
/// Time without received bytes after which a ping is sent on a watched link.
pub const PROBE_AFTER: Duration = Duration::from_millis(1_500);
/// Time without received bytes after which a watched link is closed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a connection attempt. Regions are 30 ms apart, so a slower attempt has lost packets.
/// The calls that wait for the connection can still be retried on another link.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Priority of link events in the poll loop. The waker that other threads use must have the same
/// priority: when events of several priorities are ready, the loop handles only those of the highest
/// one, defers the others and then sleeps. When the waker had a lower priority, requests and answers
/// of HTTP threads waited for up to the maximum sleep while links were busy.
pub const POLL_PRIORITY: u32 = 5;

/// Timeouts of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Time without received bytes after which a ping is sent on a watched link.
    pub probe_after: Duration,
    /// Time without received bytes after which a watched link is closed.
    pub silence_timeout: Duration,
    /// Time without an answer to a ping or a connection attempt after which an open link counts as
    /// suspect. `None` disables the check.
    pub suspect_after: Option<Duration>,
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Whether a node watches only links on which an answer is pending.
    pub watch_only_pending_links: bool,
}

impl Default for LinkTiming {
    fn default() -> Self {
        LinkTiming {
            probe_after: PROBE_AFTER,
            silence_timeout: SILENCE_TIMEOUT,
            suspect_after: None,
            connect_timeout: CONNECT_TIMEOUT,
            watch_only_pending_links: false,
        }
    }
}

/// Why a link closed or a message was refused.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The other end closed the connection.
    #[error("closed by the peer")]
    ClosedByPeer,
    /// This process closed the link.
    #[error("closed locally")]
    ClosedLocally,
    /// Nothing was received on a watched link, or a connection attempt was not answered, within the
    /// timeout.
    #[error("timed out waiting for an answer from the peer")]
    Silent,
    /// More than [`MAX_QUEUED_BYTES`] are queued for writing.
    #[error("output queue exceeds {MAX_QUEUED_BYTES} bytes")]
    QueueFull,
    /// The process holds too much for others to read the rest of a frame.
    #[error("no memory for an incomplete frame")]
    MemoryFull,
    /// A frame could not be encoded or decoded.
    #[error("invalid frame: {0}")]
    Frame(#[from] FrameError),
    /// The socket reported an error.
    #[error("socket error: {0}")]
    Socket(#[from] io::Error),
}

/// An event on a link.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "messages are by far the most frequent event"
)]
pub enum LinkEvent {
    /// Another process connected.
    Accepted(LinkId, SocketAddr),
    /// A link that this process opened is connected.
    Connected(LinkId),
    /// A message arrived.
    Received(LinkId, Body),
    /// The link was closed.
    Closed {
        /// The link.
        link: LinkId,
        /// Why the link was closed.
        error: LinkError,
        /// Tickets of the messages of which no byte was written. The other end can't have acted on
        /// them. Any other message may have arrived.
        unsent: Vec<u64>,
    },
}

/// Socket readiness of a link, or of the listener if `link` is `None`.
pub struct LinkReady {
    link: Option<LinkId>,
    ready: Ready,
}

/// The listener and all links of one process.
pub struct LinkTable {
    poll: MioPoll,
    ready: Fwd<LinkReady>,
    listener: Option<MioSource<TcpListener>>,
    links: IndexMap<LinkId, FramedLink>,
    accepted_count: usize,
    max_accepted: usize,
    timing: LinkTiming,
    /// Maximum size of a frame, in bytes; applies to links opened from now on.
    max_frame_bytes: usize,
    next_id: u64,
    events: VecDeque<LinkEvent>,
    received: Vec<Body>,
    counters: Arc<TrafficCounters>,
    budget: MemoryBudget,
}

impl LinkTable {
    /// Creates an empty table. `ready` must forward its values to [`LinkTable::handle_ready`].
    pub fn new(poll: MioPoll, ready: Fwd<LinkReady>, counters: Arc<TrafficCounters>) -> Self {
        LinkTable {
            poll,
            ready,
            listener: None,
            links: IndexMap::new(),
            accepted_count: 0,
            max_accepted: MAX_ACCEPTED_LINKS,
            timing: LinkTiming::default(),
            max_frame_bytes: MAX_FRAME_BYTES,
            next_id: 1,
            events: VecDeque::new(),
            received: Vec::new(),
            counters,
            budget: MemoryBudget::default(),
        }
    }

    /// Sets the memory of the process that the links draw on, and the number of descriptors of the
    /// process. Called before the first link.
    pub fn set_memory(&mut self, budget: MemoryBudget, descriptors: usize) {
        self.budget = budget;
        self.max_accepted = (descriptors / ACCEPTED_DIVISOR).clamp(1, MAX_ACCEPTED_LINKS);
    }

    /// Replaces the timeouts.
    pub fn set_timing(&mut self, timing: LinkTiming) {
        self.timing = timing;
    }

    /// Replaces the maximum size of a frame, [`MAX_FRAME_BYTES`] by default.
    pub fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.max_frame_bytes = max_frame_bytes;
    }

    /// Starts accepting links from other processes. Returns the address of the listener.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        let forward = self.forward_ready(None);
        let listener = self
            .poll
            .add(listener, Interest::READABLE, POLL_PRIORITY, forward)?;
        self.listener = Some(listener);
        Ok(bound)
    }

    /// Stops accepting links. Open links are not affected.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Opens a link. Messages that are sent before it is connected are queued. A failure is
    /// reported as [`LinkEvent::Closed`].
    pub fn connect(&mut self, now: Timestamp, address: SocketAddr) -> LinkId {
        let id = self.next_id();
        let added = TcpStream::connect(address).and_then(|stream| self.add(id, stream));
        match added {
            Ok(socket) => {
                let link = self.new_link(socket, address, LinkPhase::Connecting, now);
                self.links.insert(id, link);
            }
            Err(error) => {
                let error = error.into();
                self.events.push_back(LinkEvent::Closed {
                    link: id,
                    error,
                    unsent: Vec::new(),
                });
            }
        }
        id
    }

    /// Sends a message. On failure, the link is closed, and [`LinkEvent::Closed`] lists the ticket
    /// as unsent if no byte of the message was written.
    pub fn send(&mut self, link: LinkId, body: Body, ticket: Option<u64>) {
        let Some(entry) = self.links.get_mut(&link) else {
            return self.report_unsent(link, ticket);
        };
        if let Err(error) = entry.send(body, ticket, &self.counters) {
            self.close_with_error(link, error, ticket);
        }
    }

    /// Reports a message for a closed link as unsent, with the loss of the link if that has not been
    /// reported yet. Reported after it, the message would count as lost.
    fn report_unsent(&mut self, closed: LinkId, ticket: Option<u64>) {
        let pending = self.events.iter_mut().find_map(|event| match event {
            LinkEvent::Closed { link, unsent, .. } if *link == closed => Some(unsent),
            _ => None,
        });
        match pending {
            Some(unsent) => unsent.extend(ticket),
            None => self.events.extend(ticket.map(|ticket| LinkEvent::Closed {
                link: closed,
                error: LinkError::ClosedLocally,
                unsent: vec![ticket],
            })),
        }
    }

    /// Sends an encoded message. On failure, the link is closed.
    pub fn send_frame(&mut self, link: LinkId, frame: &EncodedFrame) {
        if let Some(entry) = self.links.get_mut(&link)
            && let Err(error) = entry.send_frame(frame, &self.counters)
        {
            self.close_with_error(link, error, None);
        }
    }

    /// Closes a link after writing as many queued bytes as the socket accepts without blocking.
    pub fn close(&mut self, link: LinkId) {
        if let Some(entry) = self.links.get_mut(&link) {
            // A failed write is ignored, because the link is closed anyway.
            let _ = entry.flush();
            self.close_with_error(link, LinkError::ClosedLocally, None);
        }
    }

    /// Sets whether the link is watched. A watched link, on which an answer is expected, is closed
    /// when it is silent for [`LinkTiming::silence_timeout`].
    pub fn watch(&mut self, now: Timestamp, link: LinkId, watched: bool) {
        if let Some(entry) = self.links.get_mut(&link) {
            entry.watch(now, watched);
        }
    }

    /// Sets whether the link crosses regions, for the traffic counters.
    pub fn set_scope(&mut self, link: LinkId, scope: LinkScope) {
        if let Some(entry) = self.links.get_mut(&link) {
            entry.scope = scope;
        }
    }

    /// Returns whether the link exists.
    pub fn is_open(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Returns whether all queued bytes of all links have been written.
    pub fn is_flushed(&self) -> bool {
        self.links
            .values()
            .all(|link| link.outbox.buffer.is_empty())
    }

    /// Returns whether an answer to a ping or to the connection attempt is overdue.
    pub fn is_suspect(&self, now: Timestamp, link: LinkId) -> bool {
        let Some(limit) = self.timing.suspect_after else {
            return false;
        };
        let link = self.links.get(&link);
        link.is_some_and(|link| link.unanswered_for(now) >= limit)
    }

    /// Returns the number of queued bytes of one link, or `None` if the link is closed.
    pub fn queued_bytes(&self, link: LinkId) -> Option<usize> {
        self.links.get(&link).map(|link| link.outbox.buffer.len())
    }

    /// Returns the address of the other end.
    pub fn remote(&self, link: LinkId) -> Option<SocketAddr> {
        self.links.get(&link).map(|link| link.remote)
    }

    /// Sends pings and closes silent links. Called several times per second.
    pub fn handle_tick(&mut self, now: Timestamp) {
        let steps: Vec<(LinkId, ProbeStep)> = self
            .links
            .iter()
            .map(|(id, link)| (*id, link.probe_step(now, &self.timing)))
            .filter(|(_, step)| *step != ProbeStep::Wait)
            .collect();
        for (id, step) in steps {
            if step == ProbeStep::Close {
                self.close_with_error(id, LinkError::Silent, None);
            } else if let Some(link) = self.links.get_mut(&id)
                && let Err(error) = link.probe(now, &self.counters)
            {
                self.close_with_error(id, error, None);
            }
        }
    }

    /// Handles socket readiness that the poll loop reported.
    pub fn handle_ready(&mut self, now: Timestamp, ready: LinkReady) {
        match ready.link {
            None => self.accept(now),
            Some(id) => self.handle_link(now, id, &ready.ready),
        }
    }

    /// Removes and returns the oldest event.
    pub fn next_event(&mut self) -> Option<LinkEvent> {
        self.events.pop_front()
    }

    fn accept(&mut self, now: Timestamp) {
        loop {
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, remote)) => self.add_accepted(now, stream, remote),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::warn!(error:% = error; "link_accept_failed");
                    return;
                }
            }
        }
    }

    fn add_accepted(&mut self, now: Timestamp, stream: TcpStream, remote: SocketAddr) {
        if self.accepted_count >= self.max_accepted {
            log::warn!(open = self.max_accepted; "link_refused");
            return;
        }
        let id = self.next_id();
        let added = stream.set_nodelay(true).and_then(|()| self.add(id, stream));
        match added {
            Ok(socket) => {
                self.accepted_count += 1;
                let link = self.new_link(socket, remote, LinkPhase::Open, now);
                self.links.insert(id, link);
                self.events.push_back(LinkEvent::Accepted(id, remote));
            }
            Err(error) => log::warn!(error:% = error; "link_register_failed"),
        }
    }

    fn handle_link(&mut self, now: Timestamp, id: LinkId, ready: &Ready) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let mut result = Ok(());
        if link.phase == LinkPhase::Connecting {
            match link.finish_connect() {
                Ok(true) => {
                    link.heard_at = now;
                    self.events.push_back(LinkEvent::Connected(id));
                }
                Ok(false) => return,
                Err(error) => result = Err(error),
            }
        }
        if result.is_ok() {
            result = link.flush();
        }
        // The link is read before it is closed, because a closed connection may still hold answers.
        if result.is_ok() && (ready.is_readable() || ready.is_read_closed() || ready.is_error()) {
            result = self.read_link(now, id);
        }
        let bodies = self
            .received
            .drain(..)
            .map(|body| LinkEvent::Received(id, body));
        self.events.extend(bodies);
        if let Err(error) = result {
            self.close_with_error(id, error, None);
        }
    }

    /// Reads a link. While the process holds more than its budget, links with incomplete frames are
    /// closed: first those on which no valid message has arrived, then the ones that have been
    /// silent the longest.
    fn read_link(&mut self, now: Timestamp, id: LinkId) -> Result<(), LinkError> {
        while let Some(link) = self.links.get_mut(&id) {
            let budget = &self.budget;
            match link.read(now, &self.counters, &mut self.received, budget)? {
                LinkReadStep::Empty => break,
                LinkReadStep::MemoryExceeded => self.close_partial(id)?,
            }
        }
        Ok(())
    }

    fn close_partial(&mut self, reading: LinkId) -> Result<(), LinkError> {
        let partial = self.links.iter().filter(|(_, link)| link.is_partial());
        let chosen = partial.min_by_key(|(_, link)| (link.is_proven, link.heard_at));
        match chosen.map(|(id, _)| *id) {
            Some(id) if id != reading => {
                self.close_with_error(id, LinkError::MemoryFull, None);
                Ok(())
            }
            _ => Err(LinkError::MemoryFull),
        }
    }

    fn close_with_error(&mut self, id: LinkId, error: LinkError, ticket: Option<u64>) {
        let Some(link) = self.links.swap_remove(&id) else {
            return;
        };
        let mut unsent = link.outbox.unsent();
        if let Some(ticket) = ticket
            && matches!(error, LinkError::QueueFull)
        {
            unsent.push(ticket);
        }
        if link.accepted {
            self.accepted_count -= 1;
        }
        self.events.push_back(LinkEvent::Closed {
            link: id,
            error,
            unsent,
        });
    }

    fn new_link(
        &self,
        socket: MioSource<TcpStream>,
        remote: SocketAddr,
        phase: LinkPhase,
        now: Timestamp,
    ) -> FramedLink {
        FramedLink::new(
            socket,
            remote,
            phase,
            now,
            self.max_frame_bytes,
            &self.budget,
        )
    }

    fn add(&self, id: LinkId, stream: TcpStream) -> io::Result<MioSource<TcpStream>> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.add(
            stream,
            interest,
            POLL_PRIORITY,
            self.forward_ready(Some(id)),
        )
    }

    fn forward_ready(&self, link: Option<LinkId>) -> Fwd<Ready> {
        let forward = self.ready.clone();
        Fwd::new(move |ready| forward.fwd(LinkReady { link, ready }))
    }

    fn next_id(&mut self) -> LinkId {
        let id = LinkId(self.next_id);
        self.next_id += 1;
        id
    }
}
