//! Waiting for stated conditions.

use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use thiserror::Error;

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A condition was not reached in time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not reached within {waited:?}: {what}{}", last.as_ref().map(|last| format!(" ({last})")).unwrap_or_default())]
pub struct WaitError {
    /// The condition.
    pub what: String,
    /// Time that was waited.
    pub waited: Duration,
    /// Why the last check failed.
    pub last: Option<String>,
}

/// Polls `condition` until it holds; returns the time that it took.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<Duration, WaitError> {
    let started = Instant::now();
    poll(what, timeout, || condition().then_some(()).ok_or(None))?;
    Ok(started.elapsed())
}

/// Polls `attempt` until it gives a value. The error of the last attempt becomes part of the
/// error of the wait.
pub fn wait_for<T, E: fmt::Display>(
    what: &str,
    timeout: Duration,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, WaitError> {
    poll(what, timeout, || {
        attempt().map_err(|error| Some(error.to_string()))
    })
}

fn poll<T>(
    what: &str,
    timeout: Duration,
    mut attempt: impl FnMut() -> Result<T, Option<String>>,
) -> Result<T, WaitError> {
    let started = Instant::now();
    loop {
        // Checked once more after the deadline, so that a slow machine that slept through it
        // still sees a condition that holds.
        let waited = started.elapsed();
        match attempt() {
            Ok(value) => return Ok(value),
            Err(last) if waited >= timeout => {
                let what = what.to_owned();
                return Err(WaitError { what, waited, last });
            }
            Err(_) => thread::sleep(POLL_INTERVAL.min(timeout)),
        }
    }
}
