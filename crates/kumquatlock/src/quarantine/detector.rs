//! Detection of a crash of the upstream beside a node.

use std::time::Duration;

use super::{MAX_SUSPECTS, SuspectCall};
use crate::core::Timestamp;

/// Time after a broken run within which the end of the upstream must show. Upstreams announce a
/// restart within some seconds, and a busy one is connected to within milliseconds.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

/// Finds out that the upstream's process has ended, and which requests it was running then.
///
/// A run whose connection breaks proves nothing: upstreams reset connections when they are full, or
/// break off single answers. Only if nothing listens at the upstream's address any more, or another
/// run of it has started, it has ended, and the runs that broke before were running at its end.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    /// Runs that broke since the upstream last answered a later request. At most [`MAX_SUSPECTS`].
    broken: Vec<BrokenRun>,
}

#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    suspect: SuspectCall,
    at: Timestamp,
}

impl CrashDetector {
    /// Records a run whose connection broke without an answer.
    pub fn on_broken(&mut self, now: Timestamp, suspect: SuspectCall) {
        if self.broken.len() < MAX_SUSPECTS {
            let at = now;
            self.broken.push(BrokenRun { suspect, at });
        }
    }

    /// Records an answer to a request that was sent at `sent_at`: the upstream was alive after every
    /// run that broke before.
    pub fn on_answered(&mut self, sent_at: Timestamp) {
        self.broken.retain(|run| run.at >= sent_at);
    }

    /// Records the proof that the upstream has ended: nothing listens at its address, or another run
    /// of it has started. Returns the requests that it was running; none if it ended without breaking a
    /// run.
    pub fn on_gone(&mut self, now: Timestamp) -> Vec<SuspectCall> {
        let broken = std::mem::take(&mut self.broken);
        let mut suspects: Vec<_> = broken
            .iter()
            .filter(|run| now.since(run.at) <= CONFIRM_TIME)
            .map(|run| run.suspect)
            .collect();
        suspects.sort_unstable();
        suspects.dedup_by_key(|suspect| suspect.fingerprint);
        suspects
    }
}
