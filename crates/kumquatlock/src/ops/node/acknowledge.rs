//! Acknowledgements of upstreams that drain or leave.
//!
//! The node keeps nothing over a restart. It therefore acknowledges the end of a run only once
//! control has recorded it. New calls are refused from the request on.

use std::collections::VecDeque;
use std::time::Duration;

use super::actor::NodeActor;
use super::local::LocalAnswer;
use crate::core::{SharedName, Timestamp};
use crate::http::RequestId;
use crate::membership::EndProgress;

/// Maximum time until the end of a run is answered. Upstreams wait for an answer for a second.
pub(super) const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of requests that wait. An upstream sends one at a time.
const MAX_WAITING: usize = 64;

/// What to do with a request of the upstream.
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

/// A request that waits until the end of a run is recorded.
#[derive(Clone, Debug)]
pub(super) struct WaitingEnd {
    pub(super) request: RequestId,
    /// Identifier of the run.
    pub(super) instance: SharedName,
    /// Answer once the end is recorded.
    pub(super) answer: LocalAnswer,
    pub(super) since: Timestamp,
}

impl WaitingEnds {
    /// Decides on a request. `progress` tells how far the end of the request's run is known to
    /// control, and is absent if the run has announced none.
    pub(super) fn decide(
        &mut self,
        waiting: WaitingEnd,
        progress: Option<EndProgress>,
    ) -> EndDecision {
        match progress {
            None | Some(EndProgress::Recorded) => EndDecision::Answer(waiting.answer),
            Some(_) if self.requests.len() >= MAX_WAITING => {
                EndDecision::Answer(LocalAnswer::Unrecorded)
            }
            Some(_) => {
                self.requests.push_back(waiting);
                EndDecision::Wait
            }
        }
    }

    /// Takes the next request that can be answered now, with its answer. `progress` tells how far
    /// the end of a run is known to control.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        progress: impl Fn(&str) -> Option<EndProgress>,
    ) -> Option<WaitingEnd> {
        let is_recorded =
            |waiting: &WaitingEnd| progress(&waiting.instance) == Some(EndProgress::Recorded);
        let is_due = |waiting: &WaitingEnd| {
            now.since(waiting.since) >= RECORD_TIMEOUT || is_recorded(waiting)
        };
        let position = self.requests.iter().position(is_due)?;
        let mut waiting = self.requests.remove(position)?;
        if !is_recorded(&waiting) {
            waiting.answer = LocalAnswer::Unrecorded;
        }
        Some(waiting)
    }
}

impl NodeActor {
    /// Answers a request of the upstream, at once or when the end of its run is recorded.
    pub(super) fn answer_upstream(
        &mut self,
        now: Timestamp,
        request: RequestId,
        instance: SharedName,
        answer: LocalAnswer,
    ) {
        let progress = self.announcer.end_progress(&instance);
        let waiting = WaitingEnd {
            request,
            instance,
            answer,
            since: now,
        };
        if let EndDecision::Answer(answer) = self.waiting_ends.decide(waiting, progress) {
            self.http
                .respond(now, request, (self.adapter.write)(answer));
        }
    }

    /// Answers the requests that announced the end of a run, as far as possible.
    pub(super) fn answer_ends(&mut self, now: Timestamp) {
        let announcer = &self.announcer;
        let progress = |instance: &str| announcer.end_progress(instance);
        while let Some(waiting) = self.waiting_ends.take_due(now, progress) {
            if waiting.answer == LocalAnswer::Unrecorded {
                let progress = progress(&waiting.instance).map_or("unknown", <&str>::from);
                log::warn!(instance = &*waiting.instance, progress; "end_not_recorded");
            }
            let response = (self.adapter.write)(waiting.answer);
            self.http.respond(now, waiting.request, response);
        }
    }
}
