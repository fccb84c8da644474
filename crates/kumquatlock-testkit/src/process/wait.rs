//! Polls conditions until they hold or a timeout passes.

use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use thiserror::Error;

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Error of a condition that was not met in time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("condition not met within {waited:?}: {what}{}", last_error.as_ref().map(|error| format!(" ({error})")).unwrap_or_default())]
pub struct WaitError {
    /// Description of the condition.
    pub what: String,
    /// Time from the start of the wait to the last check.
    pub waited: Duration,
    /// Error of the last check, if it returned one.
    pub last_error: Option<String>,
}

/// Polls `condition` until it holds. Returns the time until then.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<Duration, WaitError> {
    let started = Instant::now();
    poll(what, timeout, || condition().then_some(()).ok_or(None))?;
    Ok(started.elapsed())
}

/// Polls `attempt` until it returns a value. If the wait fails, its error includes the error of
/// the last attempt.
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
        // The time is read before the check, so that there is always a check after the deadline. A
        // busy host may suspend this thread until then.
        let waited = started.elapsed();
        match attempt() {
            Ok(value) => return Ok(value),
            Err(last_error) if waited >= timeout => {
                let what = what.to_owned();
                return Err(WaitError {
                    what,
                    waited,
                    last_error,
                });
            }
            Err(_) => thread::sleep(POLL_INTERVAL.min(timeout)),
        }
    }
}
