//! Workaround for connections that tiny_http accepts but does not serve.
//!
//! tiny_http assigns a connection to an idle thread without marking the thread as busy. If two
//! connections arrive together, the second one may have to wait until a thread has finished with
//! its connection, which may never happen with keep-alive. A further connection that closes at once
//! frees a thread, which then serves the waiting connection.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval between connections of the waker while requests arrive. Limits how long an accepted
/// connection waits for a thread to serve it.
const WAKE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of intervals between connections of the waker while no requests arrive. In that state,
/// the waker only helps connections that arrived together with a connection on which no request is
/// sent.
const INTERVALS_PER_IDLE_WAKE: u32 = 10;

/// Connects to a tiny_http server periodically. Dropping the waker stops its thread.
pub(super) struct AcceptWaker {
    signals: Arc<WakerSignals>,
    thread: Option<JoinHandle<()>>,
}

/// Flags shared between the threads of a server and the waker.
#[derive(Debug, Default)]
pub(super) struct WakerSignals {
    is_active: AtomicBool,
    stopping: AtomicBool,
}

impl WakerSignals {
    /// Records that a request arrived.
    pub(super) fn mark_active(&self) {
        // Checked first, so that a busy server does not write to a shared cache line on each
        // request.
        if !self.is_active.load(Ordering::Relaxed) {
            self.is_active.store(true, Ordering::Relaxed);
        }
    }
}

impl AcceptWaker {
    /// Starts a waker for the server at `address`.
    pub(super) fn start(address: SocketAddr) -> io::Result<Self> {
        let signals = Arc::new(WakerSignals::default());
        let shared = signals.clone();
        let thread = thread::Builder::new()
            .name("http-nudge".into())
            .spawn(move || wake_until_stopped(address, &shared))?;
        Ok(AcceptWaker {
            signals,
            thread: Some(thread),
        })
    }

    /// Returns the flags through which the server reports requests.
    pub(super) fn signals(&self) -> Arc<WakerSignals> {
        self.signals.clone()
    }
}

impl Drop for AcceptWaker {
    fn drop(&mut self) {
        self.signals.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            // The thread cannot panic.
            let _ = thread.join();
        }
    }
}

fn wake_until_stopped(address: SocketAddr, signals: &WakerSignals) {
    let mut intervals = 0;
    while !signals.stopping.load(Ordering::Relaxed) {
        thread::park_timeout(WAKE_INTERVAL);
        intervals += 1;
        if signals.is_active.swap(false, Ordering::Relaxed) || intervals >= INTERVALS_PER_IDLE_WAKE
        {
            intervals = 0;
            // The attempt fails if the backlog is full. It is not needed then, because the server
            // accepts the connections in the backlog, and these have the same effect on a waiting
            // connection.
            let _ = TcpStream::connect_timeout(&address, WAKE_INTERVAL);
        }
    }
}
