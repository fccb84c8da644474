//! Graceful stop.

use std::time::Duration;

use super::actor::{ControlActor, Work};
use crate::agreement::AgreementEvent;
use crate::core::Timestamp;
use crate::distribution::ParentEvent;

/// Longest wait for another voter to take over the leadership. Above the election timeout, which
/// bounds a transfer.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for requests in progress and for bytes in output buffers.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two attempts to hand the leadership over.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(500);

/// A stop under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopState {
    since: Timestamp,
    asked_at: Timestamp,
}

impl ControlActor {
    pub(super) fn begin_stop(&mut self, now: Timestamp) {
        if self.stop.is_some() {
            return;
        }
        log::info!("stopping");
        self.stop = Some(StopState {
            since: now,
            asked_at: now,
        });
        self.links.stop_listening();
        self.work.push_back(Work::Parent(ParentEvent::Shutdown));
        self.hand_over();
    }

    fn hand_over(&mut self) {
        if self.is_leader() {
            let event = AgreementEvent::TransferLeadership;
            self.work.push_back(Work::Agreement(event));
        }
    }

    /// Whether the stop is complete. Asks again for a handover that has not happened.
    pub(super) fn has_stopped(&mut self, now: Timestamp) -> bool {
        let Some(stop) = &mut self.stop else {
            return false;
        };
        let elapsed = now.since(stop.since);
        if elapsed >= DRAIN_TIMEOUT {
            return true;
        }
        let asks_again = now.since(stop.asked_at) >= HANDOVER_INTERVAL;
        if asks_again {
            stop.asked_at = now;
            self.hand_over();
        }
        let is_alone = self.peers.connected_count() == 0;
        let leads = self.is_leader() && !is_alone && elapsed < HANDOVER_TIMEOUT;
        !leads && !self.requests.has_operators() && self.links.is_flushed()
    }
}
