//! Graceful stop of a node.
//!
//! Other nodes are told at once to send no more. Callers beside the node learn of it by its
//! readiness and take a while to turn away; until then they are still served, so that none meets a
//! refusal that another node would have spared it.

use std::time::Duration;

use super::actor::NodeActor;
use crate::claim::HandoverStep;
use crate::core::Timestamp;
use crate::membership::AnnouncerEvent;

/// Longest time that a leaving node waits for others to take over its claims. After a lost node
/// the others do without them as well.
const HANDOVER_LIMIT: Duration = Duration::from_secs(10);

/// A stop under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeStop {
    since: Timestamp,
    /// New calls are refused.
    is_closed: bool,
    /// When the node reported that its upstream leaves.
    leaving_since: Option<Timestamp>,
}

impl NodeActor {
    /// Stops taking new work; the loop ends when everything in progress has ended.
    pub(super) fn start_stop(&mut self, now: Timestamp) {
        self.stopping = true;
        self.stop = Some(NodeStop {
            since: now,
            is_closed: false,
            leaving_since: None,
        });
        self.front.close_after_answers();
        self.destination.drain();
        let steps = self.announcer.handle(now, AnnouncerEvent::Drain);
        self.extend_announcer(steps);
        log::info!(
            calls = self.entry.in_progress(),
            runs = self.destination.in_progress();
            "drain_started"
        );
        if self.settings.tuning.shutdown_grace.is_zero() {
            self.close_entry(now);
        }
    }

    /// Refuses calls that arrive from now on.
    fn close_entry(&mut self, now: Timestamp) {
        if let Some(stop) = &mut self.stop {
            stop.is_closed = true;
        }
        let steps = self.entry.drain(now);
        self.extend_entry(steps);
    }

    /// Leaves once everything in progress has ended, and ends the loop once the configuration no
    /// longer names this node and no other holder needs it.
    pub(super) fn advance_stop(&mut self, now: Timestamp) {
        let Some(stop) = self.stop else {
            return;
        };
        let elapsed = now.since(stop.since);
        if let Some(limit) = self.settings.tuning.shutdown_timeout
            && elapsed >= limit
        {
            log::warn!(
                calls = self.entry.in_progress(),
                runs = self.destination.in_progress();
                "drain_cut_short"
            );
            return self.finish_stop(false);
        }
        if !stop.is_closed {
            if elapsed < self.settings.tuning.shutdown_grace {
                return;
            }
            self.front.stop_listening();
            self.close_entry(now);
        }
        let is_idle = self.entry.in_progress() == 0
            && self.destination.is_idle()
            && self.destination.is_settled();
        if !is_idle {
            return;
        }
        let Some(since) = stop.leaving_since else {
            if let Some(stop) = &mut self.stop {
                stop.leaving_since = Some(now);
            }
            let steps = self.announcer.handle(now, AnnouncerEvent::Leave);
            self.extend_announcer(steps);
            return;
        };
        let handed_over = self.announcer.is_confirmed() && self.hand_claims_over(now);
        let is_over = handed_over || now.since(since) >= HANDOVER_LIMIT;
        if is_over && self.links.is_flushed() && self.front.is_flushed() {
            self.finish_stop(handed_over);
        }
    }

    fn hand_claims_over(&mut self, now: Timestamp) -> bool {
        if self.settings.tuning.without_claims {
            return true;
        }
        match self.holder.poll_handover(now) {
            HandoverStep::Done => true,
            HandoverStep::Waiting(sends) => {
                self.extend_claims(sends);
                false
            }
        }
    }

    fn finish_stop(&mut self, handed_over: bool) {
        log::info!(handed_over = handed_over; "drain_finished");
        self.end_loop();
    }
}
