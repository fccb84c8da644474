//! The node: a process that runs beside one upstream.
//!
//! One actor owns the components of the node: the child of the configuration stream, the entry and
//! destination of calls, the claim holder and the announcer of the upstream's membership. They are
//! state machines without I/O. Each returns steps, which the actor executes, so that everything
//! that follows from one event happens in one turn of the actor. The links to other processes, the
//! connections of callers and the connections to the upstream run in the same thread.

mod acknowledge;
mod actor;
mod front;
mod lease;
mod local;
mod metrics;
mod peers;
mod reload;
mod settings;
mod steps;
mod stop;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

pub use local::{
    LocalAnnouncement, LocalAnswer, LocalRequest, NodeAdapter, NodePort, check_announcement,
};
pub use reload::{FixedSettings, SettingsSource};
pub use settings::{NodeSettings, NodeTuning};

use crate::claim::ClaimSettings;
use crate::core::{IncarnationId, ProcessId, Timestamp};
use crate::memory::return_large_buffers;
use crate::transport::{POLL_PRIORITY, TrafficCounters};
use crate::util::boot_clock::BootClock;
use crate::util::cancel::CancelToken;
use actor::{ActorParts, NodeActor};

/// Maximum number of events returned by one poll.
const POLL_EVENTS: usize = 1_024;
/// Maximum sleep of the event loop. Also bounds the delay until a cancelled token is noticed.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Error that prevents a node from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The poll could not be set up, or failed.
    #[error("failed to poll for events")]
    Poll(#[source] io::Error),
    /// A listener could not be bound.
    #[error("failed to listen on {address}: {error}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
}

/// Runs a node until the token is cancelled and everything in progress has ended.
pub fn run_node(
    settings: NodeSettings,
    adapter: NodeAdapter,
    mut source: impl SettingsSource,
    cancel: &CancelToken,
) -> Result<(), NodeError> {
    return_large_buffers();
    let clock = BootClock::start();
    let mut stakker = Stakker::new(Instant::now());
    let poll = Poll::new().map_err(NodeError::Poll)?;
    let events = Events::with_capacity(POLL_EVENTS);
    let poll = MioPoll::new(&mut stakker, poll, events, POLL_PRIORITY).map_err(NodeError::Poll)?;
    let wakeup = Rc::new(Cell::new(Timestamp::default()));
    let finished = Rc::new(Cell::new(false));
    let counters = Arc::new(TrafficCounters::default());
    let process = ProcessId::random();
    let incarnation = new_incarnation();
    let parts = ActorParts {
        settings: settings.clone(),
        adapter,
        incarnation,
        process,
        clock,
        poll: poll.clone(),
        counters,
        wakeup: wakeup.clone(),
        finished: finished.clone(),
    };
    let node: ActorOwn<NodeActor> = actor!(stakker, NodeActor::init(parts), ret_nop!());
    call!([node], bind());
    stakker.run(Instant::now(), false);
    if let Some(error) = node_failure(&finished, &node, &mut stakker) {
        return Err(error);
    }
    log::info!(
        name = &*settings.name,
        listen:% = settings.listen,
        http:% = settings.http,
        incarnation = incarnation.0,
        process = process.0;
        "node_started"
    );
    let mut stopping = false;
    let mut idle = false;
    while stakker.not_shutdown() && !finished.get() {
        if cancel.is_cancelled() && !stopping {
            stopping = true;
            call!([node], begin_stop());
        }
        if let Some(changed) = source.take_changed(Instant::now()) {
            call!([node], reload(changed));
        }
        let sleep = wakeup.get().since(clock.now()).min(MAX_SLEEP);
        let sleep = stakker.next_wait_max(Instant::now(), sleep, idle);
        let active = poll.poll(sleep).map_err(NodeError::Poll)?;
        if clock.now() >= wakeup.get() {
            call!([node], handle_tick());
        }
        idle = stakker.run(Instant::now(), !active);
        call!([node], end_iteration());
    }
    log::info!(name = &*settings.name; "node_stopped");
    Ok(())
}

fn node_failure(
    finished: &Cell<bool>,
    node: &ActorOwn<NodeActor>,
    stakker: &mut Stakker,
) -> Option<NodeError> {
    if !finished.get() {
        return None;
    }
    let failure = node.query(stakker, |actor, _| actor.take_failure());
    failure.flatten()
}

/// Returns the wall-clock time in milliseconds, so that a later run of the same node has a higher
/// incarnation.
fn new_incarnation() -> IncarnationId {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    IncarnationId(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Part of the memory that stored answers may use: a third of the budget of bytes held for others,
/// on which they draw.
const ANSWER_MEMORY_DIVISOR: usize = 8;

fn claim_settings(settings: &NodeSettings) -> ClaimSettings {
    ClaimSettings {
        retention: settings.claim_retention,
        key_retention: settings.longest_timeout + settings.claim_retention,
        isolation_limit: settings.claim_retention / 2,
        max_answer_bytes: settings.limits.memory_bytes / ANSWER_MEMORY_DIVISOR,
        ..ClaimSettings::default()
    }
}

#[cfg(test)]
mod tests;
