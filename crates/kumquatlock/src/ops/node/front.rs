//! HTTP requests of callers and of the local upstream.

use super::actor::NodeActor;
use super::local::{LocalAnnouncement, LocalAnswer, LocalRequest, NodePort};
use crate::call::{CallerAnswer, CallerRequest};
use crate::core::{SharedName, Timestamp, UpstreamState};
use crate::http::{HttpEvent, HttpLimits, HttpRequest, RequestId};
use crate::membership::{AnnounceAnswer, AnnouncerEvent, AnnouncerStep, UpstreamAnnouncement};

impl NodeActor {
    pub(super) fn handle_http_event(&mut self, now: Timestamp, event: HttpEvent<NodePort>) {
        match event {
            HttpEvent::Request { id, port, request } => self.handle_request(now, id, port, request),
            HttpEvent::Disconnected { id } => self.cancel_abandoned_call(now, id),
        }
    }

    fn handle_request(
        &mut self,
        now: Timestamp,
        id: RequestId,
        port: NodePort,
        request: HttpRequest,
    ) {
        let response = match (self.adapter.read)(port, &request) {
            Some(Ok(local)) => return self.handle_local(now, id, local),
            Some(Err(refusal)) => refusal,
            None => match CallerRequest::from_http(request, &self.adapter.names) {
                Ok(request) => return self.open_call(now, request, id),
                Err(reason) => CallerAnswer::Rejected(reason).into_http(&self.adapter.names),
            },
        };
        self.http.respond(now, id, response);
    }

    fn open_call(&mut self, now: Timestamp, mut request: CallerRequest, id: RequestId) {
        let parent = request.id.as_deref();
        if let Some(parent) = parent.and_then(|id| self.destination.parent_of(id)) {
            request.set_parent(now, parent);
        }
        self.confirm_lease();
        let local_runs = self.destination.local_runs(now);
        let (call, steps) = self.entry.open(self.lease_time(now), request, local_runs);
        self.waiting_requests.insert(call, id);
        self.queue_entry(steps);
    }

    /// Cancels the call of a caller that closed its connection and no longer waits for an answer.
    fn cancel_abandoned_call(&mut self, now: Timestamp, id: RequestId) {
        let waiting = self
            .waiting_requests
            .iter()
            .find(|(_, request)| **request == id);
        let Some(call) = waiting.map(|(call, _)| *call) else {
            return;
        };
        self.waiting_requests.swap_remove(&call);
        self.disconnected_callers += 1;
        let steps = self.entry.cancel(now, call);
        self.queue_entry(steps);
    }

    fn handle_local(&mut self, now: Timestamp, id: RequestId, request: LocalRequest) {
        let mut instance = SharedName::default();
        let answer = match request {
            LocalRequest::Metrics => {
                let page = self.metrics_response();
                return self.http.respond(now, id, page);
            }
            LocalRequest::Ready => {
                let answer = LocalAnswer::Ready(self.is_ready());
                return self.http.respond(now, id, (self.adapter.write)(answer));
            }
            LocalRequest::Announce(body) => {
                instance = body.instance.clone();
                self.announce(now, body)
            }
            LocalRequest::Drain => self.notify_announcer(now, AnnouncerEvent::Drain),
            LocalRequest::Leave(None) => self.notify_announcer(now, AnnouncerEvent::Leave),
            LocalRequest::Leave(Some(run)) => {
                instance = run.clone();
                self.notify_announcer(now, AnnouncerEvent::LeaveRun(run))
            }
        };
        self.answer_upstream(now, id, instance, answer);
    }

    /// Returns whether callers may send requests: the node has a configuration and is not stopping.
    fn is_ready(&self) -> bool {
        self.applied.is_some() && !self.stopping
    }

    /// Returns the version that the upstream is announced with; empty where none are rolled out.
    fn upstream_version(&self, version: &str) -> SharedName {
        match self.settings.tuning.ignores_versions {
            true => SharedName::default(),
            false => version.into(),
        }
    }

    fn announce(&mut self, now: Timestamp, body: LocalAnnouncement) -> LocalAnswer {
        let name = body.name.unwrap_or_else(|| self.settings.name.to_string());
        if name != *self.settings.name {
            return LocalAnswer::WrongName;
        }
        if self.stopping && body.is_draining {
            return self.notify_announcer(now, AnnouncerEvent::Drain);
        }
        if self.stopping {
            log::info!(instance = &*body.instance; "announcement_refused");
            return LocalAnswer::Stopping;
        }
        let announcement = UpstreamAnnouncement {
            name: name.into(),
            service: body.service.into(),
            address: body.address,
            slots: body.slots,
            connections: body.connections.unwrap_or(body.slots),
            instance: body.instance,
            run_started_ms: body.run_started_ms,
            sequence: body.sequence,
            version: self.upstream_version(&body.version),
            is_draining: body.is_draining,
        };
        let taken = announcement.clone();
        let answer = self.notify_announcer(now, AnnouncerEvent::Announce(announcement));
        if self.announcer.announcement() == Some(&taken) {
            self.destination.set_warm_up(now, body.warm_up);
        }
        answer
    }

    /// Passes an event from the upstream to the announcer and returns the announcer's answer.
    fn notify_announcer(&mut self, now: Timestamp, event: AnnouncerEvent) -> LocalAnswer {
        let mut steps = self.announcer.handle(now, event);
        let answered = steps
            .iter()
            .position(|step| matches!(step, AnnouncerStep::Answer(_)));
        let answer = match answered.map(|index| steps.remove(index)) {
            Some(AnnouncerStep::Answer(answer)) => answer,
            _ => AnnounceAnswer::Invalid,
        };
        let starts_serving = |step: &AnnouncerStep| match step {
            AnnouncerStep::SetState { state, .. } => *state == UpstreamState::Serving,
            _ => false,
        };
        if matches!(answer, AnnounceAnswer::Serving { .. }) || steps.iter().any(starts_serving) {
            self.refresh_endpoint(now);
        }
        self.queue_announcer(steps);
        LocalAnswer::Announced(answer)
    }

    /// Applies the limits that the manifest sets for requests of callers.
    pub(super) fn refresh_limits(&mut self) {
        let Some(limits) = self.applied.as_ref().and_then(|applied| applied.limits) else {
            return;
        };
        self.http.set_limits(HttpLimits {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes.min(self.body_bytes),
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        });
    }
}
