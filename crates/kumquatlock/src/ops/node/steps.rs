//! Execution of the components' steps, and delivery of messages to the components.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::claim::ClaimReply;
use kumquatlock_wire::quota::QuotaAsk;

use super::actor::{NodeActor, RunTag, new_holder};
use crate::call::{
    ATTEMPT_HEADER, CallId, CallSource, CallerAnswer, DestinationStep, EntryStep, PeerNode,
};
use crate::claim::ClaimMessage;
use crate::core::{
    ConfigSnapshot, IncarnationId, SharedName, Timestamp, UpstreamEntry, UpstreamState,
};
use crate::distribution::{ChildEvent, ChildStep};
use crate::http::{EchoedHeader, HttpRequest, HttpResponse, UpstreamJob, UpstreamResult};
use crate::membership::{AnnouncerEvent, AnnouncerStep};
use crate::transport::LinkId;
use crate::util::trace::{HopSpan, SpanRecord};
use std::sync::Arc;

/// Timeout of a cancellation request to the upstream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Step returned by one of the components.
pub(super) enum NodeStep {
    Entry(EntryStep),
    Destination(DestinationStep),
    Claim(ClaimMessage),
    Child(Box<ChildStep>),
    Announcer(AnnouncerStep),
}

impl NodeActor {
    pub(super) fn queue_entry(&mut self, steps: Vec<EntryStep>) {
        self.steps.extend(steps.into_iter().map(NodeStep::Entry));
    }

    pub(super) fn queue_destination(&mut self, steps: Vec<DestinationStep>) {
        self.steps
            .extend(steps.into_iter().map(NodeStep::Destination));
    }

    pub(super) fn queue_claims(&mut self, messages: Vec<ClaimMessage>) {
        self.steps.extend(messages.into_iter().map(NodeStep::Claim));
    }

    pub(super) fn queue_child(&mut self, steps: Vec<ChildStep>) {
        self.steps.extend(
            steps
                .into_iter()
                .map(|step| NodeStep::Child(Box::new(step))),
        );
    }

    pub(super) fn queue_announcer(&mut self, steps: Vec<AnnouncerStep>) {
        self.steps
            .extend(steps.into_iter().map(NodeStep::Announcer));
    }

    pub(super) fn execute(&mut self, now: Timestamp, step: NodeStep) {
        match step {
            NodeStep::Entry(EntryStep::Send { to, body, ticket }) => {
                self.send(now, &to, body, ticket);
            }
            NodeStep::Entry(EntryStep::Answer {
                call,
                answer,
                retry_after,
                span,
                opened_at,
                nested,
            }) => {
                if let Some(end) = nested {
                    self.destination.on_nested_end(now, end);
                }
                self.answer_caller(now, call, answer, retry_after, span, opened_at);
            }
            NodeStep::Destination(step) => self.execute_destination(now, step),
            NodeStep::Claim(message) => self.send_by_name(now, &message.to, message.body),
            NodeStep::Child(step) => self.execute_child(now, *step),
            NodeStep::Announcer(step) => self.execute_announcer(now, step),
        }
    }

    fn execute_destination(&mut self, now: Timestamp, step: DestinationStep) {
        match step {
            DestinationStep::Respond {
                to: CallSource::Local,
                response,
            } => {
                let steps = self.entry.on_response(now, response);
                self.queue_entry(steps);
            }
            DestinationStep::Respond {
                to: CallSource::Link(link),
                response,
            } => {
                self.links.send(link, Body::Response(response), None);
            }
            DestinationStep::Claim { to, body } => self.send_by_name(now, &to, body),
            DestinationStep::Run {
                run,
                address,
                request,
                timeout,
                is_repeatable,
                echoed,
            } => {
                let job = UpstreamJob {
                    tag: RunTag::Run(run),
                    address,
                    request,
                    timeout,
                    is_repeatable,
                    echoed,
                };
                self.exchanges.start(now, job);
            }
            DestinationStep::Cancel { run, attempt, .. } if attempt.is_none() => {
                self.exchanges.cancel(RunTag::Run(run));
            }
            DestinationStep::Cancel {
                address, attempt, ..
            } => {
                let attempt = attempt.unwrap_or_default();
                let request = HttpRequest {
                    method: "POST".to_owned(),
                    target: "/cancel".to_owned(),
                    headers: vec![(ATTEMPT_HEADER.to_owned(), attempt.clone())],
                    ..HttpRequest::default()
                };
                let job = UpstreamJob {
                    tag: RunTag::Cancel,
                    address,
                    request,
                    timeout: CANCEL_TIMEOUT,
                    is_repeatable: true,
                    echoed: Some(EchoedHeader {
                        name: ATTEMPT_HEADER,
                        value: attempt,
                        is_guaranteed: false,
                    }),
                };
                self.exchanges.start(now, job);
            }
            DestinationStep::ReportCrash(report) => {
                self.crash_reporter.add(now, report);
                self.send_crash_reports(now);
            }
            DestinationStep::Leaving => {
                let steps = self.announcer.handle(now, AnnouncerEvent::Drain);
                self.queue_announcer(steps);
            }
            DestinationStep::Ended {
                span,
                arrived_at,
                outcome,
            } => log_span(now, span, "destination", arrived_at, outcome_label(outcome)),
        }
    }

    pub(super) fn handle_exchange_result(
        &mut self,
        now: Timestamp,
        result: UpstreamResult<RunTag>,
    ) {
        if let RunTag::Run(run) = result.tag {
            let steps = self.destination.on_result(now, run, result.outcome);
            self.queue_destination(steps);
        }
    }

    /// Sends the crash reports that are due towards the leader.
    pub(super) fn send_crash_reports(&mut self, now: Timestamp) {
        for report in self.crash_reporter.take_due(now) {
            self.send_to_parent(now, Content::Crash(report));
        }
    }

    /// Sends a message that needs no answer, or whose sender repeats it.
    fn send_to_parent(&mut self, now: Timestamp, content: Content) {
        let forward = Forward {
            request_id: 0,
            content: Some(content),
        };
        let event = ChildEvent::Relay(Body::Forward(forward));
        let steps = self.child.handle(now, event, &mut self.random);
        self.queue_child(steps);
    }

    /// Reports the use of quotas to the parent and asks it for tokens.
    pub(super) fn send_quota_ask(&mut self, now: Timestamp, ask: QuotaAsk) {
        self.send_to_parent(now, Content::QuotaAsk(ask));
    }

    /// Sends what was observed of a running rollout towards the leader.
    pub(super) fn send_evidence(&mut self, now: Timestamp) {
        if let Some(evidence) = self.destination.take_evidence(now) {
            self.send_to_parent(now, Content::Evidence(evidence));
        }
    }

    fn execute_child(&mut self, now: Timestamp, step: ChildStep) {
        match step {
            ChildStep::Connect { link, address } | ChildStep::Probe { link, address } => {
                let transport_link = self.links.connect(now, address);
                self.parent_links.insert(link, transport_link);
            }
            ChildStep::Send { link, body } => {
                if let Some(transport_link) = self.parent_links.get(&link) {
                    self.links.send(*transport_link, body, None);
                }
            }
            ChildStep::Close { link } => {
                if let Some(transport_link) = self.parent_links.swap_remove(&link) {
                    self.links.close(transport_link);
                    self.on_parent_link_closed(now, link);
                }
            }
            ChildStep::Attached { link, floor } => {
                let detached_ms = match self.attached_link {
                    Some(_) => 0,
                    None => now.since(self.detached_at).as_millis() as u64,
                };
                log::info!(floor = floor.0, detached_ms; "parent_attached");
                self.attached_link = Some(link);
                self.notify_uplink_change(now, true);
            }
            ChildStep::Apply { snapshot, .. } => self.apply(now, snapshot),
            ChildStep::Refused { version, refusal } => {
                log::warn!(version = version.0, reason:% = refusal; "configuration_refused");
            }
            ChildStep::Relayed(forward) => match forward.content {
                Some(Content::QuotaGrant(grant)) => {
                    let steps = self.entry.on_quota_grant(now, &grant);
                    self.queue_entry(steps);
                }
                Some(Content::RecordedEnds(recorded)) => {
                    let event = AnnouncerEvent::EndsRecorded(recorded);
                    let steps = self.announcer.handle(now, event);
                    self.queue_announcer(steps);
                    self.answer_ends(now);
                }
                _ => {}
            },
            // Reports that were not sent are repeated.
            ChildStep::NotSent(_) => {}
        }
    }

    fn execute_announcer(&mut self, now: Timestamp, step: AnnouncerStep) {
        match step {
            AnnouncerStep::Report(report) => {
                let steps = self
                    .child
                    .handle(now, ChildEvent::Report(report), &mut self.random);
                self.queue_child(steps);
            }
            AnnouncerStep::ReportEnd(end) => self.send_to_parent(now, Content::RunEnd(end)),
            AnnouncerStep::SetState { incarnation, state } => {
                self.set_incarnation(now, incarnation);
                match state {
                    UpstreamState::Serving => self.refresh_endpoint(now),
                    UpstreamState::Draining => self.drain_upstream(now),
                }
            }
            AnnouncerStep::Removed => self.drain_upstream(now),
            // Only requests of the upstream cause answers, and `notify_announcer` removes them from
            // the steps.
            AnnouncerStep::Answer(_) => {}
        }
    }

    /// Refuses new calls for the upstream. If the node stops and its upstream stays, calls that wait
    /// for the upstream may use all the time of the stop.
    fn drain_upstream(&mut self, now: Timestamp) {
        if self.stop.is_some() {
            return self.destination.drain();
        }
        let steps = self.destination.drain_upstream(now);
        self.queue_destination(steps);
    }

    /// Sets the incarnation of the upstream. A new incarnation is a new run, whose claim holder
    /// starts empty and fetches its claims from the other holders.
    fn set_incarnation(&mut self, now: Timestamp, incarnation: IncarnationId) {
        if incarnation == self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        let steps = self.destination.set_incarnation(now, incarnation);
        self.queue_destination(steps);
        self.holder = new_holder(&self.settings, incarnation);
        if let Some(config) = self.child.applied_config().cloned()
            && !self.settings.tuning.without_claims
        {
            let messages = self.holder.on_snapshot(now, config);
            self.queue_claims(messages);
        }
    }

    fn apply(&mut self, now: Timestamp, snapshot: Arc<ConfigSnapshot>) {
        log::debug!(version = snapshot.version.0; "configuration_applied");
        self.record_departed(now, &snapshot);
        let steps = self.entry.on_snapshot(now, snapshot.clone());
        self.queue_entry(steps);
        let steps = self.destination.on_snapshot(now, snapshot.clone());
        self.queue_destination(steps);
        if !self.settings.tuning.without_claims {
            let messages = self.holder.on_snapshot(now, snapshot.clone());
            self.queue_claims(messages);
            self.confirm_claim_config();
        }
        self.refresh_limits();
        let steps = self
            .announcer
            .handle(now, AnnouncerEvent::ConfigApplied(snapshot));
        self.queue_announcer(steps);
        self.answer_ends(now);
    }

    /// Tells the claim holder at what time the configuration was last proved current.
    pub(super) fn confirm_claim_config(&mut self) {
        if let Some(at) = self.child.proved_at() {
            self.holder.on_config_confirmed(at);
        }
    }

    /// Handles a message from another node.
    pub(super) fn handle_peer_message(&mut self, now: Timestamp, link: LinkId, body: Body) {
        match body {
            Body::Call(request) => {
                let source = CallSource::Link(link);
                self.entry.adopt_client_route(request.client_route);
                let is_in_debt = self.entry.is_in_debt(now);
                self.destination.set_refuses_extra_runs(is_in_debt);
                let steps = self.destination.on_call(now, source, request, self.frozen);
                self.queue_destination(steps);
            }
            Body::Response(response) => {
                let steps = self.entry.on_response(now, response);
                self.queue_entry(steps);
            }
            Body::Cancel(cancel) => {
                let steps = self.destination.on_cancel(now, &cancel);
                self.queue_destination(steps);
            }
            Body::Claim(request) => {
                let reply = self.holder.on_request(now, &request);
                self.links.send(link, Body::ClaimReply(reply), None);
            }
            Body::ClaimReply(reply) => {
                if let Some(name) = self.peers.name(link) {
                    self.handle_claim_reply(now, &name, &reply);
                }
            }
            Body::ShardFetch(fetch) => {
                // The name of the requesting node is not known here, so its answer is sent back on
                // the link. An empty name stands for it.
                let requester = SharedName::default();
                for message in self.holder.on_fetch(now, &requester, &fetch) {
                    match message.to == requester {
                        true => self.links.send(link, message.body, None),
                        false => self.send_by_name(now, &message.to, message.body),
                    }
                }
            }
            Body::ShardChunk(chunk) => {
                let messages = self.holder.on_chunk(now, chunk);
                self.queue_claims(messages);
            }
            Body::OutcomeQuery(query) => {
                let steps = self
                    .destination
                    .on_query(now, CallSource::Link(link), query);
                self.queue_destination(steps);
            }
            Body::Ping(_) | Body::Pong(_) => {}
            other => {
                log::warn!(kind = other.kind().label(); "unexpected_message");
            }
        }
    }

    fn handle_claim_reply(&mut self, now: Timestamp, from: &str, reply: &ClaimReply) {
        self.holder.on_claim_reply(from, reply);
        let steps = self.entry.on_claim_reply(now, from, reply);
        self.queue_entry(steps);
        let steps = self.destination.on_claim_reply(now, from, reply);
        self.queue_destination(steps);
    }

    fn send(&mut self, now: Timestamp, to: &PeerNode, body: Body, ticket: Option<u64>) {
        if to.name == self.settings.name {
            self.deliver_locally(now, body);
        } else {
            self.peers.send(now, &mut self.links, to, body, ticket);
        }
    }

    fn send_by_name(&mut self, now: Timestamp, to: &SharedName, body: Body) {
        if *to == self.settings.name {
            self.deliver_locally(now, body);
            return;
        }
        let upstream = self
            .child
            .applied_config()
            .and_then(|config| config.upstreams.get(to));
        let peer = match upstream {
            Some(upstream) => self.peer_node(upstream),
            // A node that has left the configuration still hands over its claims.
            None => match self.departed.get(now, to) {
                Some(peer) => peer.clone(),
                None => return,
            },
        };
        self.peers.send(now, &mut self.links, &peer, body, None);
    }

    pub(super) fn peer_node(&self, upstream: &UpstreamEntry) -> PeerNode {
        PeerNode {
            name: upstream.name.clone(),
            address: upstream.address,
            cross_region: upstream.region != self.settings.region,
        }
    }

    fn record_departed(&mut self, now: Timestamp, snapshot: &Arc<ConfigSnapshot>) {
        let earlier = self.applied.replace(snapshot.clone());
        let upstreams = earlier
            .iter()
            .flat_map(|earlier| earlier.upstreams.values());
        for upstream in
            upstreams.filter(|upstream| !snapshot.upstreams.contains_key(&upstream.name))
        {
            let peer = self.peer_node(upstream);
            self.departed.insert(now, peer);
        }
    }

    /// Handles a message from one component of this node to another.
    fn deliver_locally(&mut self, now: Timestamp, body: Body) {
        match body {
            Body::Call(request) => {
                let steps = self
                    .destination
                    .on_call(now, CallSource::Local, request, self.frozen);
                self.queue_destination(steps);
            }
            Body::Cancel(cancel) => {
                let steps = self.destination.on_cancel(now, &cancel);
                self.queue_destination(steps);
            }
            Body::Claim(request) => {
                let reply = self.holder.on_request(now, &request);
                let name = self.settings.name.clone();
                self.handle_claim_reply(now, &name, &reply);
            }
            Body::OutcomeQuery(query) => {
                let steps = self.destination.on_query(now, CallSource::Local, query);
                self.queue_destination(steps);
            }
            Body::ShardFetch(fetch) => {
                let requester = self.settings.name.clone();
                let messages = self.holder.on_fetch(now, &requester, &fetch);
                self.queue_claims(messages);
            }
            Body::ShardChunk(chunk) => {
                let messages = self.holder.on_chunk(now, chunk);
                self.queue_claims(messages);
            }
            other => log::warn!(kind = other.kind().label(); "unexpected_message"),
        }
    }

    fn answer_caller(
        &mut self,
        now: Timestamp,
        call: CallId,
        answer: CallerAnswer,
        retry_after: Option<Duration>,
        span: Option<HopSpan>,
        opened_at: Timestamp,
    ) {
        if let Some(span) = span.filter(|span| span.context.is_sampled()) {
            log_span(now, span, "entry", opened_at, answer.outcome());
        }
        self.count_answer(&answer, now.since(opened_at));
        if let Some(id) = self.waiting_requests.swap_remove(&call) {
            let response = self.build_response(answer, retry_after);
            self.http.respond(now, id, response);
        }
    }

    /// Builds the HTTP response for an answer, with `Retry-After` if the call was not run.
    fn build_response(&self, answer: CallerAnswer, retry_after: Option<Duration>) -> HttpResponse {
        let response = answer.into_http(&self.adapter.names);
        match retry_after {
            Some(after) => {
                let seconds = format!("{:.3}", after.as_secs_f64());
                response.with_header("Retry-After", &seconds)
            }
            None => response,
        }
    }
}

fn log_span(now: Timestamp, span: HopSpan, hop: &str, started_at: Timestamp, outcome: &str) {
    let duration = now.since(started_at);
    let start = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .saturating_sub(duration);
    SpanRecord {
        context: span.context,
        parent_id: Some(span.parent_id),
        hop,
        start_us: u64::try_from(start.as_micros()).unwrap_or(u64::MAX),
        duration_us: u64::try_from(duration.as_micros()).unwrap_or(u64::MAX),
        outcome,
    }
    .write();
}

fn outcome_label(outcome: kumquatlock_wire::call::CallOutcome) -> &'static str {
    use kumquatlock_wire::call::CallOutcome;
    match outcome {
        CallOutcome::Answered => "answered",
        CallOutcome::NotRun => "not_run",
        CallOutcome::Unknown | CallOutcome::Unspecified => "unknown",
        CallOutcome::ClaimedElsewhere => "claimed_elsewhere",
    }
}
