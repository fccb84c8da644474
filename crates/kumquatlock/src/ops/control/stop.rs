//! Graceful stop of a control instance.

use std::time::Duration;

use super::actor::{ControlActor, QueuedEvent};
use crate::agreement::AgreementEvent;
use crate::core::Timestamp;
use crate::distribution::ParentEvent;
use crate::http::CloseStep;

/// Maximum wait for another voter to take over the leadership. Longer than the election timeout,
/// which bounds a transfer of the leadership.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum wait for requests in progress and for output buffers to be written.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between attempts to transfer the leadership.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(500);

/// State of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopState {
    started_at: Timestamp,
    transfer_requested_at: Timestamp,
}

impl ControlActor {
    pub(super) fn begin_stop(&mut self, now: Timestamp) {
        if self.stop.is_some() {
            return;
        }
        log::info!("stopping");
        self.stop = Some(StopState {
            started_at: now,
            transfer_requested_at: now,
        });
        self.links.stop_listening();
        self.http.stop_listening(now, |()| true);
        self.queue
            .push_back(QueuedEvent::Parent(ParentEvent::Shutdown));
        self.transfer_leadership();
    }

    fn transfer_leadership(&mut self) {
        if self.is_leader() {
            let event = AgreementEvent::TransferLeadership;
            self.queue.push_back(QueuedEvent::Agreement(event));
        }
    }

    /// Returns whether the stop is complete. Repeats the attempt to transfer the leadership if it
    /// has not succeeded yet.
    pub(super) fn has_stopped(&mut self, now: Timestamp) -> bool {
        let Some(stop) = &mut self.stop else {
            return false;
        };
        let elapsed = now.since(stop.started_at);
        if elapsed >= DRAIN_TIMEOUT {
            return true;
        }
        let is_transfer_due = now.since(stop.transfer_requested_at) >= HANDOVER_INTERVAL;
        if is_transfer_due {
            stop.transfer_requested_at = now;
            self.transfer_leadership();
        }
        let is_alone = self.peers.connected_count() == 0;
        let must_transfer = self.is_leader() && !is_alone && elapsed < HANDOVER_TIMEOUT;
        let is_answered = self.workers.is_idle() && self.http.poll_close(now) == CloseStep::Closed;
        !must_transfer && is_answered && self.links.is_flushed()
    }
}
