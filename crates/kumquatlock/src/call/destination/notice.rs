//! What the upstream beside this node states about itself in its answers: a limit on the requests
//! that it takes, and that it is leaving.

use kumquatlock_wire::call::UpstreamNotice;

use super::run::{ResponseVerdict, SentRequest};
use super::{DestinationCalls, DestinationStep};
use crate::core::{RequestRate, Timestamp};
use crate::http::HttpResponse;

/// What one run of an upstream has stated so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UpstreamStatement {
    /// Requests per second that the upstream takes from all nodes together; `None` for no limit.
    pub(super) rate_limit: Option<RequestRate>,
    /// When an answer last stated the limit.
    limited_at: Timestamp,
    /// Whether the last answer stated a limit that is no number.
    is_limit_unreadable: bool,
    /// Whether the upstream is leaving. Stays set for the rest of the run.
    pub(super) is_leaving: bool,
}

impl DestinationCalls {
    /// Reads what an answer or refusal of the upstream states. Those of an earlier run of the
    /// upstream are ignored.
    pub(super) fn observe_notice(
        &mut self,
        now: Timestamp,
        sent: SentRequest,
        verdict: ResponseVerdict,
        response: &HttpResponse,
        steps: &mut Vec<DestinationStep>,
    ) {
        if verdict == ResponseVerdict::Unsigned || sent.upstream_run != self.upstream_run {
            return;
        }
        let mut notice = self.notice.unwrap_or_default();
        let may_end = verdict == ResponseVerdict::Answered && sent.at > notice.limited_at;
        self.read_rate_limit(now, may_end, response, &mut notice);
        let leaving = self.names.leaving;
        notice.is_leaving |= leaving.is_some_and(|name| response.header(name).is_some());
        self.set_notice(now, notice, steps);
    }

    /// Takes over what an entry node repeats, if this node has not heard from that run of the
    /// upstream yet.
    pub(super) fn adopt_notice(
        &mut self,
        now: Timestamp,
        message: &UpstreamNotice,
        steps: &mut Vec<DestinationStep>,
    ) {
        let is_same_run = self.endpoint.as_ref().is_some_and(|endpoint| {
            *endpoint.instance == *message.instance
                && endpoint.run_started_ms == message.run_started_ms
        });
        if self.notice.is_some() || !is_same_run {
            return;
        }
        let notice = UpstreamStatement {
            rate_limit: message.rate_limit_millis.map(RequestRate::from_millis),
            limited_at: now,
            is_limit_unreadable: false,
            is_leaving: message.leaving,
        };
        self.set_notice(now, notice, steps);
    }

    /// Returns what entry nodes repeat to this node after a restart; `None` if the upstream states
    /// nothing, or if a later run could not be told apart from this one.
    pub(super) fn notice_message(&self) -> Option<UpstreamNotice> {
        let notice = self.notice?;
        if notice.rate_limit.is_none() && !notice.is_leaving {
            return None;
        }
        let endpoint = self.endpoint.as_ref();
        let endpoint = endpoint.filter(|endpoint| !endpoint.instance.is_empty())?;
        Some(UpstreamNotice {
            instance: endpoint.instance.to_string(),
            run_started_ms: endpoint.run_started_ms,
            rate_limit_millis: notice.rate_limit.map(RequestRate::millis),
            leaving: notice.is_leaving,
        })
    }

    /// Whether the current run of the upstream has stated that it is leaving.
    pub(super) fn is_upstream_leaving(&self) -> bool {
        self.notice.is_some_and(|notice| notice.is_leaving)
    }

    /// Passes the limit of the upstream's current run to the admission queue.
    pub(super) fn apply_rate_limit(&mut self, now: Timestamp) {
        let rate_limit = self.rate_limit();
        if let Some(admission) = &mut self.admission {
            admission.set_rate(now, rate_limit);
        }
    }

    fn set_notice(
        &mut self,
        now: Timestamp,
        notice: UpstreamStatement,
        steps: &mut Vec<DestinationStep>,
    ) {
        let previous = self.notice.replace(notice).unwrap_or_default();
        self.log_notice(&previous, &notice);
        if notice.rate_limit != previous.rate_limit {
            self.apply_rate_limit(now);
        }
        if notice.is_leaving && !previous.is_leaving {
            self.leave(now, steps);
            steps.push(DestinationStep::Leaving);
        }
    }

    /// Takes over a stated limit. It ends with an answer that states none, if the answer may end it:
    /// its request was sent after the limit was last stated, because answers can overtake each
    /// other, and the upstream ran it, because a refusal may come from an earlier stage.
    fn read_rate_limit(
        &self,
        now: Timestamp,
        may_end: bool,
        response: &HttpResponse,
        notice: &mut UpstreamStatement,
    ) {
        let value = self.names.rate_limit.and_then(|name| response.header(name));
        let was_unreadable = std::mem::take(&mut notice.is_limit_unreadable);
        match value.map(RequestRate::parse) {
            Some(Some(rate)) => {
                notice.rate_limit = Some(rate);
                notice.limited_at = now;
            }
            // The upstream still states a limit, so the last one that could be read stays in force.
            Some(None) => {
                notice.is_limit_unreadable = true;
                if !was_unreadable {
                    log::warn!(value = value.unwrap_or_default(); "rate_limit_unreadable");
                }
            }
            None if may_end => notice.rate_limit = None,
            None => {}
        }
    }

    fn log_notice(&self, previous: &UpstreamStatement, notice: &UpstreamStatement) {
        let instance = self
            .endpoint
            .as_ref()
            .map_or("", |endpoint| &*endpoint.instance);
        if notice.rate_limit != previous.rate_limit {
            let limit = notice.rate_limit.map(|rate| rate.to_string());
            let from = previous.rate_limit.map(|rate| rate.to_string());
            log::info!(
                instance,
                per_second = limit.as_deref().unwrap_or("none"),
                previous = from.as_deref().unwrap_or("none");
                "upstream_rate_limit_changed"
            );
        }
        if notice.is_leaving && !previous.is_leaving {
            log::info!(instance; "upstream_states_that_it_leaves");
        }
    }
}
