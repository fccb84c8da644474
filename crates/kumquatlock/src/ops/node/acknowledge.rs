//! Acknowledgements of upstreams that drain or leave.
//!
//! The node keeps nothing over a restart. It therefore acknowledges the end of a run once the
//! configuration shows that control has recorded it. New calls are refused from the request on.

use std::collections::VecDeque;
use std::time::Duration;

use super::actor::NodeActor;
use super::local::LocalAnswer;
use crate::core::Timestamp;
use crate::http::RequestId;
use crate::membership::EndProgress;

/// Maximum time until the end of a run is answered. Upstreams wait for an answer for a second.
pub(super) const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of requests that wait. An upstream sends one at a time.
const MAX_WAITING: usize = 64;

/// What to do with a request that announces the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndDecision {
    Answer(LocalAnswer),
    Wait,
}

/// Requests that announce the end of a run and have no answer yet.
#[derive(Debug, Default)]
pub(super) struct WaitingEnds {
    /// In order of arrival. At most [`MAX_WAITING`].
    requests: VecDeque<WaitingEnd>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingEnd {
    request: RequestId,
    answer: LocalAnswer,
    since: Timestamp,
}

impl WaitingEnds {
    /// Decides on a request; `answer` is the answer once the end is recorded.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        request: RequestId,
        answer: LocalAnswer,
        progress: EndProgress,
    ) -> EndDecision {
        match progress {
            EndProgress::Recorded => EndDecision::Answer(answer),
            EndProgress::Reported | EndProgress::Unreported
                if self.requests.len() >= MAX_WAITING =>
            {
                EndDecision::Answer(LocalAnswer::Unrecorded)
            }
            EndProgress::Reported | EndProgress::Unreported => {
                let since = now;
                self.requests.push_back(WaitingEnd {
                    request,
                    answer,
                    since,
                });
                EndDecision::Wait
            }
        }
    }

    /// Takes the next request that can be answered now, with its answer.
    ///
    /// A report that shows no effect in time may concern an upstream that the configuration never
    /// named. It is acknowledged if the report was sent, which is repeated until it takes effect.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        progress: EndProgress,
    ) -> Option<(RequestId, LocalAnswer)> {
        let first = self.requests.front()?;
        let is_due = now.since(first.since) >= RECORD_TIMEOUT;
        if !is_due && progress != EndProgress::Recorded {
            return None;
        }
        let WaitingEnd {
            request, answer, ..
        } = self.requests.pop_front()?;
        match progress {
            EndProgress::Recorded | EndProgress::Reported => Some((request, answer)),
            EndProgress::Unreported => Some((request, LocalAnswer::Unrecorded)),
        }
    }
}

impl NodeActor {
    /// Answers a request of the upstream, at once or when the end of its run is recorded.
    pub(super) fn answer_upstream(&mut self, now: Timestamp, id: RequestId, answer: LocalAnswer) {
        let progress = self.announcer.end_progress();
        if let EndDecision::Answer(answer) = self.waiting_ends.decide(now, id, answer, progress) {
            self.http.respond(now, id, (self.adapter.write)(answer));
        }
    }

    /// Answers the requests that announced the end of a run, as far as possible.
    pub(super) fn answer_ends(&mut self, now: Timestamp) {
        let progress = self.announcer.end_progress();
        while let Some((id, answer)) = self.waiting_ends.take_due(now, progress) {
            if answer == LocalAnswer::Unrecorded {
                log::warn!("end_not_recorded");
            }
            self.http.respond(now, id, (self.adapter.write)(answer));
        }
    }
}
