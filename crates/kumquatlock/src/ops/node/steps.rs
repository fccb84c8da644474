//! Carries out the steps of the duties and passes messages between them.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::claim::ClaimReply;

use super::actor::{NodeActor, RunTag, new_holder};
use crate::call::{
    ATTEMPT_HEADER, CallId, CallSource, CallerAnswer, DestinationStep, EntryStep, PeerNode,
};
use crate::claim::ClaimMessage;
use crate::core::{
    ConfigSnapshot, IncarnationId, SharedName, Timestamp, UpstreamEntry, UpstreamState,
};
use crate::distribution::{ChildEvent, ChildStep};
use crate::http::{HttpRequest, HttpResponse, UpstreamJob, UpstreamResult};
use crate::membership::{AnnouncerEvent, AnnouncerStep};
use crate::transport::LinkId;
use crate::util::trace::{HopSpan, SpanRecord};
use std::sync::Arc;

/// Time for a cancellation to reach the upstream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// One step of one duty.
pub(super) enum NodeStep {
    Entry(EntryStep),
    Destination(DestinationStep),
    Claim(ClaimMessage),
    Child(Box<ChildStep>),
    Announcer(AnnouncerStep),
}

impl NodeActor {
    pub(super) fn extend_entry(&mut self, steps: Vec<EntryStep>) {
        self.steps.extend(steps.into_iter().map(NodeStep::Entry));
    }

    pub(super) fn extend_destination(&mut self, steps: Vec<DestinationStep>) {
        self.steps
            .extend(steps.into_iter().map(NodeStep::Destination));
    }

    pub(super) fn extend_claims(&mut self, sends: Vec<ClaimMessage>) {
        self.steps.extend(sends.into_iter().map(NodeStep::Claim));
    }

    pub(super) fn extend_child(&mut self, steps: Vec<ChildStep>) {
        self.steps.extend(
            steps
                .into_iter()
                .map(|step| NodeStep::Child(Box::new(step))),
        );
    }

    pub(super) fn extend_announcer(&mut self, steps: Vec<AnnouncerStep>) {
        self.steps
            .extend(steps.into_iter().map(NodeStep::Announcer));
    }

    pub(super) fn carry_out(&mut self, now: Timestamp, step: NodeStep) {
        match step {
            NodeStep::Entry(EntryStep::Send { to, body, ticket }) => {
                self.send(now, &to, body, ticket);
            }
            NodeStep::Entry(EntryStep::Answer {
                call,
                answer,
                span,
                opened_at,
            }) => {
                self.answer_caller(now, call, answer, span, opened_at);
            }
            NodeStep::Destination(step) => self.carry_out_destination(now, step),
            NodeStep::Claim(send) => self.send_by_name(now, &send.to, send.body),
            NodeStep::Child(step) => self.carry_out_child(now, *step),
            NodeStep::Announcer(step) => self.carry_out_announcer(now, step),
        }
    }

    fn carry_out_destination(&mut self, now: Timestamp, step: DestinationStep) {
        match step {
            DestinationStep::Respond {
                to: CallSource::Local,
                response,
            } => {
                let steps = self.entry.on_response(now, response);
                self.extend_entry(steps);
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
                self.runs.start(now, job);
            }
            DestinationStep::Cancel { run, attempt, .. } if attempt.is_none() => {
                self.runs.cancel(RunTag::Run(run));
            }
            DestinationStep::Cancel {
                address, attempt, ..
            } => {
                let attempt = attempt.unwrap_or_default();
                let request = HttpRequest {
                    method: "POST".to_owned(),
                    target: "/cancel".to_owned(),
                    headers: vec![(ATTEMPT_HEADER.to_owned(), attempt)],
                    ..HttpRequest::default()
                };
                let job = UpstreamJob {
                    tag: RunTag::Cancel,
                    address,
                    request,
                    timeout: CANCEL_TIMEOUT,
                    is_repeatable: true,
                    echoed: None,
                };
                self.runs.start(now, job);
            }
            DestinationStep::Ended {
                span,
                arrived_at,
                outcome,
            } => write_span(now, span, "destination", arrived_at, outcome_label(outcome)),
        }
    }

    pub(super) fn handle_result(&mut self, now: Timestamp, result: UpstreamResult<RunTag>) {
        if let RunTag::Run(run) = result.tag {
            let steps = self.destination.on_result(now, run, result.outcome);
            self.extend_destination(steps);
        }
    }

    fn carry_out_child(&mut self, now: Timestamp, step: ChildStep) {
        match step {
            ChildStep::Connect { link, address } | ChildStep::Probe { link, address } => {
                let own = self.links.connect(now, address);
                self.parent_links.insert(link, own);
            }
            ChildStep::Send { link, body } => {
                if let Some(own) = self.parent_links.get(&link) {
                    self.links.send(*own, body, None);
                }
            }
            ChildStep::Close { link } => {
                if let Some(own) = self.parent_links.swap_remove(&link) {
                    self.links.close(own);
                    self.parent_link_gone(now, link);
                }
            }
            ChildStep::Attached { link, floor } => {
                log::info!(floor = floor.0; "parent_attached");
                self.attached_link = Some(link);
                self.tell_uplink(now, true);
            }
            ChildStep::Apply { snapshot, .. } => self.apply(now, snapshot),
            ChildStep::Refused { version, refusal } => {
                log::warn!(version = version.0, reason:% = refusal; "configuration_refused");
            }
            // A report that was not sent is repeated by the announcer; nodes relay nothing.
            ChildStep::NotSent(_) | ChildStep::Relayed(_) => {}
        }
    }

    fn carry_out_announcer(&mut self, now: Timestamp, step: AnnouncerStep) {
        match step {
            AnnouncerStep::Report(report) => {
                let steps = self
                    .child
                    .handle(now, ChildEvent::Report(report), &mut self.random);
                self.extend_child(steps);
            }
            AnnouncerStep::SetState { incarnation, state } => {
                self.set_incarnation(now, incarnation);
                match state {
                    UpstreamState::Serving => self.refresh_endpoint(now),
                    UpstreamState::Draining => self.destination.drain(),
                }
            }
            AnnouncerStep::Removed => self.destination.drain(),
            // Answers only follow the upstream's requests, which take them out.
            AnnouncerStep::Answer(_) => {}
        }
    }

    /// A raised incarnation is a new run: its claim holder starts blank and fetches.
    fn set_incarnation(&mut self, now: Timestamp, incarnation: IncarnationId) {
        if incarnation == self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        let steps = self.destination.set_incarnation(now, incarnation);
        self.extend_destination(steps);
        self.holder = new_holder(&self.settings, incarnation);
        if let Some(held) = self.child.held().cloned()
            && !self.settings.tuning.without_claims
        {
            let sends = self.holder.on_snapshot(now, held);
            self.extend_claims(sends);
        }
    }

    fn apply(&mut self, now: Timestamp, snapshot: Arc<ConfigSnapshot>) {
        log::debug!(version = snapshot.version.0; "configuration_applied");
        self.remember_departed(now, &snapshot);
        let steps = self.entry.on_snapshot(now, snapshot.clone());
        self.extend_entry(steps);
        let steps = self.destination.on_snapshot(now, snapshot.clone());
        self.extend_destination(steps);
        if !self.settings.tuning.without_claims {
            let sends = self.holder.on_snapshot(now, snapshot.clone());
            self.extend_claims(sends);
            self.confirm_claims();
        }
        self.refresh_limits();
        let steps = self
            .announcer
            .handle(now, AnnouncerEvent::ConfigApplied(snapshot));
        self.extend_announcer(steps);
    }

    /// Tells the claim holder when the configuration was last proved current.
    pub(super) fn confirm_claims(&mut self) {
        if let Some(at) = self.child.proved_at() {
            self.holder.on_config_confirmed(at);
        }
    }

    /// Handles a message of another node.
    pub(super) fn receive(&mut self, now: Timestamp, link: LinkId, body: Body) {
        match body {
            Body::Call(request) => {
                let source = CallSource::Link(link);
                let steps = self.destination.on_call(now, source, request, self.frozen);
                self.extend_destination(steps);
            }
            Body::Response(response) => {
                let steps = self.entry.on_response(now, response);
                self.extend_entry(steps);
            }
            Body::Cancel(cancel) => {
                let steps = self.destination.on_cancel(now, &cancel.id);
                self.extend_destination(steps);
            }
            Body::Claim(request) => {
                let reply = self.holder.on_request(now, &request);
                self.links.send(link, Body::ClaimReply(reply), None);
            }
            Body::ClaimReply(reply) => {
                if let Some(name) = self.peers.name(link) {
                    self.take_claim_reply(now, &name, &reply);
                }
            }
            Body::ShardFetch(fetch) => {
                // The answer goes back on the link; the name of the asker is not known here.
                let asker = SharedName::default();
                for send in self.holder.on_fetch(now, &asker, &fetch) {
                    match send.to == asker {
                        true => self.links.send(link, send.body, None),
                        false => self.send_by_name(now, &send.to, send.body),
                    }
                }
            }
            Body::ShardChunk(chunk) => {
                let sends = self.holder.on_chunk(now, chunk);
                self.extend_claims(sends);
            }
            Body::OutcomeQuery(query) => {
                let steps = self
                    .destination
                    .on_query(now, CallSource::Link(link), query);
                self.extend_destination(steps);
            }
            Body::Ping(_) | Body::Pong(_) => {}
            other => {
                log::warn!(kind = other.kind().label(); "unexpected_message");
            }
        }
    }

    fn take_claim_reply(&mut self, now: Timestamp, from: &str, reply: &ClaimReply) {
        self.holder.on_claim_reply(from, reply);
        let steps = self.entry.on_claim_reply(now, from, reply);
        self.extend_entry(steps);
        let steps = self.destination.on_claim_reply(now, from, reply);
        self.extend_destination(steps);
    }

    fn send(&mut self, now: Timestamp, to: &PeerNode, body: Body, ticket: Option<u64>) {
        if to.name == self.settings.name {
            self.deliver(now, body);
        } else {
            self.peers.send(now, &mut self.links, to, body, ticket);
        }
    }

    fn send_by_name(&mut self, now: Timestamp, to: &SharedName, body: Body) {
        if *to == self.settings.name {
            self.deliver(now, body);
            return;
        }
        let held = self.child.held().and_then(|held| held.upstreams.get(to));
        let peer = match held {
            Some(upstream) => self.peer_of(upstream),
            // A node that left still hands its claims over.
            None => match self.departed.get(now, to) {
                Some(peer) => peer.clone(),
                None => return,
            },
        };
        self.peers.send(now, &mut self.links, &peer, body, None);
    }

    pub(super) fn peer_of(&self, upstream: &UpstreamEntry) -> PeerNode {
        PeerNode {
            name: upstream.name.clone(),
            address: upstream.address,
            cross_region: upstream.region != self.settings.region,
        }
    }

    fn remember_departed(&mut self, now: Timestamp, snapshot: &Arc<ConfigSnapshot>) {
        let earlier = self.applied.replace(snapshot.clone());
        let upstreams = earlier
            .iter()
            .flat_map(|earlier| earlier.upstreams.values());
        for upstream in
            upstreams.filter(|upstream| !snapshot.upstreams.contains_key(&upstream.name))
        {
            let peer = self.peer_of(upstream);
            self.departed.insert(now, peer);
        }
    }

    /// Handles a message of one duty of this node to another one.
    fn deliver(&mut self, now: Timestamp, body: Body) {
        match body {
            Body::Call(request) => {
                let steps = self
                    .destination
                    .on_call(now, CallSource::Local, request, self.frozen);
                self.extend_destination(steps);
            }
            Body::Cancel(cancel) => {
                let steps = self.destination.on_cancel(now, &cancel.id);
                self.extend_destination(steps);
            }
            Body::Claim(request) => {
                let reply = self.holder.on_request(now, &request);
                let name = self.settings.name.clone();
                self.take_claim_reply(now, &name, &reply);
            }
            Body::OutcomeQuery(query) => {
                let steps = self.destination.on_query(now, CallSource::Local, query);
                self.extend_destination(steps);
            }
            Body::ShardFetch(fetch) => {
                let own = self.settings.name.clone();
                let sends = self.holder.on_fetch(now, &own, &fetch);
                self.extend_claims(sends);
            }
            Body::ShardChunk(chunk) => {
                let sends = self.holder.on_chunk(now, chunk);
                self.extend_claims(sends);
            }
            other => log::warn!(kind = other.kind().label(); "unexpected_message"),
        }
    }

    fn answer_caller(
        &mut self,
        now: Timestamp,
        call: CallId,
        answer: CallerAnswer,
        span: Option<HopSpan>,
        opened_at: Timestamp,
    ) {
        if let Some(span) = span.filter(|span| span.context.is_sampled()) {
            write_span(now, span, "entry", opened_at, answer.outcome());
        }
        self.count_answer(&answer, now.since(opened_at));
        if let Some(id) = self.replies.swap_remove(&call) {
            let response = self.word_answer(answer);
            self.front.answer(now, id, response);
        }
    }

    /// The answer as HTTP, with the time after which the caller may come back.
    fn word_answer(&mut self, answer: CallerAnswer) -> HttpResponse {
        let comes_back = match &answer {
            CallerAnswer::NotRun(reason) => Some(self.entry.retry_after(*reason)),
            _ => None,
        };
        let response = answer.into_http(&self.adapter.names);
        match comes_back {
            Some(after) => {
                let seconds = format!("{:.3}", after.as_secs_f64());
                response.with_header("Retry-After", &seconds)
            }
            None => response,
        }
    }
}

fn write_span(now: Timestamp, span: HopSpan, hop: &str, started: Timestamp, outcome: &str) {
    let duration = now.since(started);
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
