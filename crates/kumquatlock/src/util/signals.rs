//! Handling of SIGTERM, SIGINT and SIGHUP.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::{self, JoinHandle};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::iterator::{Handle, Signals};
use thiserror::Error;

/// A signal that asks the process to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
pub enum StopSignal {
    /// SIGTERM.
    #[strum(serialize = "SIGTERM")]
    Terminate,
    /// SIGINT.
    #[strum(serialize = "SIGINT")]
    Interrupt,
}

impl StopSignal {
    fn number(self) -> i32 {
        match self {
            StopSignal::Terminate => SIGTERM,
            StopSignal::Interrupt => SIGINT,
        }
    }
}

/// What happens when a stop signal is repeated while the process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// A second SIGTERM or SIGINT ends the process at once with status 128 + signal number.
    Exit,
    /// A further SIGTERM changes nothing, because the supervisor that sends it also sends SIGKILL
    /// when the stop takes too long. A second SIGINT, or a SIGINT after SIGTERM, ends the process at
    /// once.
    IgnoreTerminate,
}

impl RepeatPolicy {
    fn exits_on(self, signal: StopSignal) -> bool {
        self == RepeatPolicy::Exit || signal != StopSignal::Terminate
    }
}

/// The signal handlers could not be installed.
#[derive(Debug, Error)]
#[error("failed to install the signal handlers")]
pub struct SignalError(#[from] io::Error);

/// Keeps SIGHUP from ending the process. Returns a flag that each SIGHUP sets.
pub fn watch_hangup() -> Result<Arc<AtomicBool>, SignalError> {
    let hangup = Arc::new(AtomicBool::new(false));
    flag::register(SIGHUP, Arc::clone(&hangup))?;
    Ok(hangup)
}

/// Guard that ends the signal thread when it is dropped.
#[derive(Debug)]
pub struct SignalGuard {
    handle: Handle,
    thread: Option<JoinHandle<()>>,
}

/// Calls `on_stop` on a separate thread at the first SIGTERM or SIGINT. A second signal of either
/// kind ends the process at once with status 128 + signal number, even if `on_stop` hangs.
pub fn install_stop_handler<F>(on_stop: F) -> Result<SignalGuard, SignalError>
where
    F: FnOnce(StopSignal) + Send + 'static,
{
    install_stop_handler_with(RepeatPolicy::Exit, on_stop)
}

/// Calls `on_stop` on a separate thread at the first SIGTERM or SIGINT. The policy decides about
/// further signals, even if `on_stop` hangs.
pub fn install_stop_handler_with<F>(
    policy: RepeatPolicy,
    on_stop: F,
) -> Result<SignalGuard, SignalError>
where
    F: FnOnce(StopSignal) + Send + 'static,
{
    let stopping = Arc::new(AtomicBool::new(false));
    for signal in [StopSignal::Terminate, StopSignal::Interrupt] {
        let number = signal.number();
        // Handlers run in the order of their registration. The conditional shutdown is registered
        // before the handler that sets the flag, so that the first signal does not end the process.
        if policy.exits_on(signal) {
            flag::register_conditional_shutdown(number, 128 + number, Arc::clone(&stopping))?;
        }
        flag::register(number, Arc::clone(&stopping))?;
    }
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    let thread = thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            let signal = signals.forever().find_map(|number| match number {
                SIGTERM => Some(StopSignal::Terminate),
                SIGINT => Some(StopSignal::Interrupt),
                _ => None,
            });
            if let Some(signal) = signal {
                on_stop(signal);
            }
        })?;
    Ok(SignalGuard {
        handle,
        thread: Some(thread),
    })
}

impl Drop for SignalGuard {
    fn drop(&mut self) {
        self.handle.close();
        if let Some(thread) = self.thread.take()
            && thread.thread().id() != thread::current().id()
        {
            // The panic hook has already printed a panic of the callback.
            let _ = thread.join();
        }
    }
}
