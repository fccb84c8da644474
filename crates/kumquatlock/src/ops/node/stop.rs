//! Graceful stop of a node.
//!
//! Local callers notice the stop when the node reports that it is not ready, and need a while to
//! switch to another node. The node serves them for that time, so that it does not refuse calls that
//! another node would have served. It also lets its upstream run the calls that end in time. Then it
//! tells other nodes to send no more calls, and ends when everything in progress has ended.

use std::time::Duration;

use super::actor::NodeActor;
use super::local::NodePort;
use crate::claim::HandoverStep;
use crate::core::Timestamp;
use crate::http::CloseStep;
use crate::membership::AnnouncerEvent;

/// Maximum time that a leaving node waits for other holders to take over its claims. The other
/// holders can do without them, as they have to when a node is lost.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the answers of the last calls to reach their callers before the process ends.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time before the end of the process at which calls without an answer are answered as unknown.
/// Lasts two ticks, so that a tick after that flushes the responses.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// State of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeStop {
    started_at: Timestamp,
    /// Whether new calls are refused, both of callers and for the local upstream.
    is_refusing_calls: bool,
    /// Time at which the node reported that its upstream leaves.
    leaving_at: Option<Timestamp>,
    /// Whether all calls of callers have been answered because the process is about to end.
    has_ended_calls: bool,
}

impl NodeActor {
    /// Begins a graceful stop; the event loop ends when everything in progress has ended.
    pub(super) fn start_stop(&mut self, now: Timestamp) {
        self.stopping = true;
        self.stop = Some(NodeStop {
            started_at: now,
            is_refusing_calls: false,
            leaving_at: None,
            has_ended_calls: false,
        });
        self.http.close_after_responses();
        // The upstream may stay. Its capacity is used as long as its calls end before the process.
        if let Some(limit) = self.settings.tuning.shutdown_timeout {
            let ends_at = now + limit.saturating_sub(ANSWER_TIME);
            let steps = self.destination.set_end(now, ends_at);
            self.queue_destination(steps);
            let steps = self.entry.set_end(now, ends_at);
            self.queue_entry(steps);
        }
        log::info!(
            calls = self.entry.in_progress(),
            runs = self.destination.in_progress();
            "drain_started"
        );
        if self.settings.tuning.shutdown_grace.is_zero() {
            self.refuse_calls(now);
        }
    }

    /// Refuses new calls and new connections of callers from now on.
    fn refuse_calls(&mut self, now: Timestamp) {
        self.http
            .stop_listening(now, |port| port == NodePort::Callers);
        if let Some(stop) = &mut self.stop {
            stop.is_refusing_calls = true;
        }
        self.destination.drain();
        let steps = self.announcer.handle(now, AnnouncerEvent::Stop);
        self.queue_announcer(steps);
        let steps = self.entry.drain(now);
        self.queue_entry(steps);
    }

    /// Advances a graceful stop. Reports that the upstream leaves once everything in progress has
    /// ended. Ends the event loop once the configuration no longer names this node and the claims
    /// are handed over.
    pub(super) fn advance_stop(&mut self, now: Timestamp) {
        let Some(stop) = self.stop else {
            return;
        };
        let elapsed = now.since(stop.started_at);
        if let Some(limit) = self.settings.tuning.shutdown_timeout {
            if elapsed >= limit {
                return self.finish_stop(false);
            }
            if elapsed + FLUSH_TIME >= limit && !stop.has_ended_calls {
                self.end_calls(now);
            }
        }
        if !stop.is_refusing_calls {
            if elapsed < self.settings.tuning.shutdown_grace {
                return;
            }
            self.refuse_calls(now);
        }
        let is_idle = self.entry.in_progress() == 0
            && self.destination.is_idle()
            && self.destination.is_settled();
        if !is_idle {
            return;
        }
        let Some(leaving_at) = stop.leaving_at else {
            if let Some(stop) = &mut self.stop {
                stop.leaving_at = Some(now);
            }
            let steps = self.announcer.handle(now, AnnouncerEvent::Leave);
            self.queue_announcer(steps);
            return;
        };
        let handed_over = self.announcer.is_confirmed() && self.hand_over_claims(now);
        let is_over = handed_over || now.since(leaving_at) >= HANDOVER_TIMEOUT;
        if is_over {
            // The upstream may still leave or drain until now.
            self.http.stop_listening(now, |_| true);
        }
        let is_closed = self.http.poll_close(now) == CloseStep::Closed;
        if is_over && is_closed && self.links.is_flushed() {
            self.finish_stop(handed_over);
        }
    }

    /// Answers the calls that have no answer shortly before the process ends.
    fn end_calls(&mut self, now: Timestamp) {
        if let Some(stop) = &mut self.stop {
            stop.has_ended_calls = true;
        }
        log::warn!(
            calls = self.entry.in_progress(),
            runs = self.destination.in_progress();
            "drain_cut_short"
        );
        let steps = self.entry.end_calls(now);
        self.queue_entry(steps);
    }

    fn hand_over_claims(&mut self, now: Timestamp) -> bool {
        if self.settings.tuning.without_claims {
            return true;
        }
        match self.holder.poll_handover(now) {
            HandoverStep::Done => true,
            HandoverStep::Waiting(messages) => {
                self.queue_claims(messages);
                false
            }
        }
    }

    fn finish_stop(&mut self, handed_over: bool) {
        log::info!(handed_over = handed_over; "drain_finished");
        self.finish_loop();
    }
}
