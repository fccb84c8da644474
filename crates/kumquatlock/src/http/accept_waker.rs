//! Work-around for connections that tiny_http accepts and does not serve.
//!
//! tiny_http hands a connection to an idle thread without noting that the thread is taken. Of two
//! connections that arrive together, the second may wait until some thread has finished its own
//! connection, which with keep-alive may be never. A further connection that closes at once frees
//! a thread, which then takes the one that waits.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval while requests arrive; bounds how long a connection waits.
const NUDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Intervals between two nudges while no requests arrive. Connections that arrive together with
/// one that is never used are the only ones that need them.
const IDLE_INTERVALS: u32 = 10;

/// Connects to a tiny_http server now and then. Ends when it is dropped.
pub struct AcceptWaker {
    signals: Arc<WakerSignals>,
    thread: Option<JoinHandle<()>>,
}

/// What the threads of a server tell the nudge.
#[derive(Debug, Default)]
pub struct WakerSignals {
    is_busy: AtomicBool,
    stopping: AtomicBool,
}

impl WakerSignals {
    /// Notes that a request arrived.
    pub fn mark_active(&self) {
        // Checked first, so that busy servers do not write to a shared line for each request.
        if !self.is_busy.load(Ordering::Relaxed) {
            self.is_busy.store(true, Ordering::Relaxed);
        }
    }
}

impl AcceptWaker {
    /// Starts for the server at `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let signals = Arc::new(WakerSignals::default());
        let shared = signals.clone();
        let thread = thread::Builder::new()
            .name("http-nudge".into())
            .spawn(move || nudge_until_stopped(address, &shared))?;
        Ok(AcceptWaker {
            signals,
            thread: Some(thread),
        })
    }

    /// Where requests are noted.
    pub fn signals(&self) -> Arc<WakerSignals> {
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

fn nudge_until_stopped(address: SocketAddr, signals: &WakerSignals) {
    let mut intervals = 0;
    while !signals.stopping.load(Ordering::Relaxed) {
        thread::park_timeout(NUDGE_INTERVAL);
        intervals += 1;
        if signals.is_busy.swap(false, Ordering::Relaxed) || intervals >= IDLE_INTERVALS {
            intervals = 0;
            // A full backlog means that connections are arriving, which does the same.
            let _ = TcpStream::connect_timeout(&address, NUDGE_INTERVAL);
        }
    }
}
