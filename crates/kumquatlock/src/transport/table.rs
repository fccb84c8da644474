//! All links of one process.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::{Body, EncodedFrame, FrameError};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use super::counters::{LinkScope, TrafficCounters};
use super::link::{FramedLink, LinkId, LinkPhase, ProbeStep};
use crate::core::Timestamp;

/// Bytes that may wait on one link before further messages are refused.
pub const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;
/// Links that one process accepts from others.
const MAX_ACCEPTED_LINKS: usize = 4_096;
/// Silence on a watched link after which a ping is sent.
pub const PROBE_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a watched link is given up.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a connect. Regions are 30 ms apart, so a connect that takes longer has lost its
/// packets, and the calls that wait for it can still be tried elsewhere.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Priority of link events in the poll loop. The waker of other threads has to be polled at the
/// same priority: the loop sets events of a lower one aside and then sleeps, so that requests and
/// answers of HTTP threads waited up to the longest sleep while links were busy.
pub const POLL_PRIORITY: u32 = 5;

/// When links count as silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Silence on a watched link after which a ping is sent.
    pub probe_after: Duration,
    /// Silence after which a watched link is given up.
    pub silence_timeout: Duration,
    /// Age of an unanswered ping or connect from which on a link counts as silent, though it is
    /// still open; none if it never does.
    pub suspect_after: Option<Duration>,
    /// Time for a connect.
    pub connect_timeout: Duration,
    /// Whether a node watches only the links on which it waits for answers.
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
    /// Nothing arrived for a while although an answer was due.
    #[error("silent although an answer was due")]
    Silent,
    /// More than [`MAX_QUEUED_BYTES`] wait to be written.
    #[error("more than {MAX_QUEUED_BYTES} bytes are queued")]
    QueueFull,
    /// A frame could not be coded.
    #[error("invalid frame: {0}")]
    Frame(#[from] FrameError),
    /// The socket reported an error.
    #[error("socket error: {0}")]
    Socket(#[from] io::Error),
}

/// What happened on a link.
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
    /// The link is gone.
    Closed {
        /// The link.
        link: LinkId,
        /// Why it closed.
        error: LinkError,
        /// Tickets of messages of which no byte was written. The other end cannot have acted on
        /// them. Messages that are not listed may have arrived.
        unsent: Vec<u64>,
    },
}

/// Readiness of the listener (no link) or of a link.
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
    accepted: usize,
    timing: LinkTiming,
    next_id: u64,
    events: VecDeque<LinkEvent>,
    received: Vec<Body>,
    counters: Arc<TrafficCounters>,
}

impl LinkTable {
    /// Creates an empty table. `ready` must lead back to [`LinkTable::handle_ready`].
    pub fn new(poll: MioPoll, ready: Fwd<LinkReady>, counters: Arc<TrafficCounters>) -> Self {
        LinkTable {
            poll,
            ready,
            listener: None,
            links: IndexMap::new(),
            accepted: 0,
            timing: LinkTiming::default(),
            next_id: 1,
            events: VecDeque::new(),
            received: Vec::new(),
            counters,
        }
    }

    /// Takes over other times of silence.
    pub fn set_timing(&mut self, timing: LinkTiming) {
        self.timing = timing;
    }

    /// Starts to accept links from other processes.
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

    /// Stops accepting; open links stay.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Opens a link. Messages may be sent at once; they wait until it is connected. A failure
    /// arrives as [`LinkEvent::Closed`].
    pub fn connect(&mut self, now: Timestamp, address: SocketAddr) -> LinkId {
        let id = self.next_id();
        let added = TcpStream::connect(address).and_then(|stream| self.add(id, stream));
        match added {
            Ok(socket) => {
                let link = FramedLink::new(socket, address, LinkPhase::Connecting, now);
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

    /// Sends a message. On a failure the link closes and the event lists the ticket as unsent.
    pub fn send(&mut self, link: LinkId, body: Body, ticket: Option<u64>) {
        let Some(entry) = self.links.get_mut(&link) else {
            if let Some(ticket) = ticket {
                let error = LinkError::ClosedLocally;
                self.events.push_back(LinkEvent::Closed {
                    link,
                    error,
                    unsent: vec![ticket],
                });
            }
            return;
        };
        if let Err(error) = entry.send(body, ticket, &self.counters) {
            self.close_with(link, error, ticket);
        }
    }

    /// Sends a message that is encoded already. On a failure the link closes.
    pub fn send_frame(&mut self, link: LinkId, frame: &EncodedFrame) {
        if let Some(entry) = self.links.get_mut(&link)
            && let Err(error) = entry.send_frame(frame, &self.counters)
        {
            self.close_with(link, error, None);
        }
    }

    /// Closes a link after writing what the socket takes.
    pub fn close(&mut self, link: LinkId) {
        if let Some(entry) = self.links.get_mut(&link) {
            // The link closes in any case; a failed write changes nothing.
            let _ = entry.flush();
            self.close_with(link, LinkError::ClosedLocally, None);
        }
    }

    /// Marks whether somebody depends on answers from the link, so that silence closes it.
    pub fn watch(&mut self, now: Timestamp, link: LinkId, watched: bool) {
        if let Some(entry) = self.links.get_mut(&link) {
            entry.watch(now, watched);
        }
    }

    /// Tells whether the link crosses regions, for the counters.
    pub fn set_scope(&mut self, link: LinkId, scope: LinkScope) {
        if let Some(entry) = self.links.get_mut(&link) {
            entry.scope = scope;
        }
    }

    /// Whether the link exists.
    pub fn is_open(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Whether every queued byte of every link has been written.
    pub fn is_flushed(&self) -> bool {
        self.links
            .values()
            .all(|link| link.outbox.buffer.is_empty())
    }

    /// Whether an answer to a ping, or to the connect, is overdue.
    pub fn is_suspect(&self, now: Timestamp, link: LinkId) -> bool {
        let Some(limit) = self.timing.suspect_after else {
            return false;
        };
        let link = self.links.get(&link);
        link.is_some_and(|link| link.unanswered_for(now) >= limit)
    }

    /// Bytes of one link that wait to be written; none if it is gone.
    pub fn queued_bytes(&self, link: LinkId) -> Option<usize> {
        self.links.get(&link).map(|link| link.outbox.buffer.len())
    }

    /// Address of the other end.
    pub fn remote(&self, link: LinkId) -> Option<SocketAddr> {
        self.links.get(&link).map(|link| link.remote)
    }

    /// Sends pings and closes silent links. Called several times a second.
    pub fn handle_tick(&mut self, now: Timestamp) {
        let steps: Vec<(LinkId, ProbeStep)> = self
            .links
            .iter()
            .map(|(id, link)| (*id, link.probe_step(now, &self.timing)))
            .filter(|(_, step)| *step != ProbeStep::Wait)
            .collect();
        for (id, step) in steps {
            if step == ProbeStep::Close {
                self.close_with(id, LinkError::Silent, None);
            } else if let Some(link) = self.links.get_mut(&id)
                && let Err(error) = link.probe(now, &self.counters)
            {
                self.close_with(id, error, None);
            }
        }
    }

    /// Handles readiness that the poll loop reported.
    pub fn handle_ready(&mut self, now: Timestamp, ready: LinkReady) {
        match ready.link {
            None => self.accept(now),
            Some(id) => self.handle_link(now, id, &ready.ready),
        }
    }

    /// Next event, in the order in which things happened.
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
        if self.accepted >= MAX_ACCEPTED_LINKS {
            log::warn!(open = MAX_ACCEPTED_LINKS; "link_refused");
            return;
        }
        let id = self.next_id();
        let added = stream.set_nodelay(true).and_then(|()| self.add(id, stream));
        match added {
            Ok(socket) => {
                self.accepted += 1;
                self.links
                    .insert(id, FramedLink::new(socket, remote, LinkPhase::Open, now));
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
        // A closed connection may still hold answers, so reading comes before closing.
        if result.is_ok() && (ready.is_readable() || ready.is_read_closed() || ready.is_error()) {
            result = link.read(now, &self.counters, &mut self.received);
        }
        let bodies = self
            .received
            .drain(..)
            .map(|body| LinkEvent::Received(id, body));
        self.events.extend(bodies);
        if let Err(error) = result {
            self.close_with(id, error, None);
        }
    }

    fn close_with(&mut self, id: LinkId, error: LinkError, ticket: Option<u64>) {
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
            self.accepted -= 1;
        }
        self.events.push_back(LinkEvent::Closed {
            link: id,
            error,
            unsent,
        });
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
