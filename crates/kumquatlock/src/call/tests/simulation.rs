//! In-memory simulation of one entry node, its destination nodes and the messages between them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::call::CallResponse;
use kumquatlock_wire::claim::ShardHolder;
use kumquatlock_wire::distribution::{
    CatalogState, RouteItem, ServiceItem, UpstreamItem, WireClass,
};
use kumquatlock_wire::quarantine::CrashReport;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::AdmissionLimits;
use crate::call::*;
use crate::claim::{ClaimHolder, ClaimMessage, ClaimSettings};
use crate::core::*;
use crate::http::{FinalStatus, HttpRequest, HttpResponse, UpstreamFailure};
use crate::routing::EntryLocation;
use crate::transport::LinkId;

/// Returns the status of a final response.
pub(super) fn final_status(code: u16) -> FinalStatus {
    u32::from(code).try_into().unwrap()
}

pub(super) const ENTRY: &str = "front-1";
pub(super) const UPSTREAMS: [&str; 3] = ["booking-1", "booking-2", "booking-3"];

/// Room for stored answers at each node.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A message that was sent and not yet delivered.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    pub(super) from: String,
    pub(super) to: String,
    pub(super) body: Body,
}

struct Destination {
    calls: DestinationCalls,
    holder: ClaimHolder,
    reachable: bool,
    /// Results of the next requests to the upstream; it answers with status 200 if empty.
    results: VecDeque<Result<HttpResponse, UpstreamFailure>>,
    /// Requests that the upstream is running. It doesn't answer them while `holds_answers` is set.
    running: VecDeque<RunId>,
    holds_answers: bool,
}

pub(super) struct CallSimulation {
    pub(super) now: Timestamp,
    pub(super) entry: EntryCalls,
    destinations: IndexMap<String, Destination>,
    pub(super) queue: VecDeque<QueuedMessage>,
    pub(super) answers: IndexMap<CallId, CallerAnswer>,
    /// Upstream of each run, in order.
    pub(super) runs: Vec<String>,
    /// Whether messages are delivered as if the destination's process had just been suspended.
    pub(super) frozen: bool,
    /// Timeout that the destination node set for each run.
    pub(super) timeouts: Vec<Duration>,
    /// Cancellations that reached an upstream.
    pub(super) cancels: usize,
    /// Trace headers that the upstreams received.
    pub(super) traces: Vec<String>,
    /// Timeout that callers state in their requests.
    pub(super) timeout_ms: Option<&'static str>,
    /// Reports that nodes sent towards the leader.
    pub(super) crash_reports: Vec<CrashReport>,
    /// Transcript of all events.
    pub(super) transcript: Vec<String>,
    /// Messages for which this returns true are dropped.
    pub(super) is_lost: fn(&QueuedMessage) -> bool,
}

impl CallSimulation {
    pub(super) fn new(class: WireClass) -> Self {
        CallSimulation::with_entry(class, EntrySettings::new(4))
    }

    pub(super) fn with_entry(class: WireClass, settings: EntrySettings) -> Self {
        let snapshot = Arc::new(snapshot(class));
        let now = Timestamp::from_millis(1);
        let random = SmallRng::seed_from_u64(7);
        let entry = EntryCalls::new(entry_location(ENTRY), ProcessId(1), settings, random);
        let mut simulation = CallSimulation {
            now,
            entry,
            destinations: IndexMap::new(),
            queue: VecDeque::new(),
            answers: IndexMap::new(),
            runs: Vec::new(),
            frozen: false,
            timeouts: Vec::new(),
            cancels: 0,
            traces: Vec::new(),
            timeout_ms: Some("4000"),
            crash_reports: Vec::new(),
            transcript: Vec::new(),
            is_lost: |_| false,
        };
        for name in UPSTREAMS {
            simulation
                .destinations
                .insert(name.to_owned(), new_destination(name, now));
        }
        simulation.entry.on_snapshot(now, snapshot.clone());
        for name in UPSTREAMS {
            let destination = &mut simulation.destinations[name];
            destination.calls.on_snapshot(now, snapshot.clone());
            let sends = destination.holder.on_snapshot(now, snapshot.clone());
            destination.holder.on_config_confirmed(now);
            simulation.queue_claims(name, sends);
        }
        simulation.deliver_all();
        simulation.transcript.clear();
        simulation
    }

    pub(super) fn open(&mut self, key: Option<&str>) -> CallId {
        self.open_with(key, "crew 7")
    }

    pub(super) fn open_with(&mut self, key: Option<&str>, body: &str) -> CallId {
        let header = key.map(|key| ("Idempotency-Key", key));
        self.record(format!(
            "caller opens a call, key {}",
            key.unwrap_or("none")
        ));
        self.open_request(header, body)
    }

    pub(super) fn open_traced(&mut self, trace: &str) -> CallId {
        self.open_request(Some(("traceparent", trace)), "crew 7")
    }

    fn open_request(&mut self, header: Option<(&str, &str)>, body: &str) -> CallId {
        let timeout = self.timeout_ms.map(|millis| ("Request-Timeout-Ms", millis));
        let headers = timeout.into_iter().chain(header);
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let request = booking_request(headers.collect(), body);
        let (id, steps) = self.entry.open(self.now, request, LocalRuns::default());
        self.apply_entry_steps(steps);
        id
    }

    /// Delivers all queued messages, including those sent in response.
    pub(super) fn deliver_all(&mut self) {
        while let Some(message) = self.queue.pop_front() {
            self.deliver(message);
        }
    }

    pub(super) fn deliver(&mut self, message: QueuedMessage) {
        if (self.is_lost)(&message) {
            self.record(format!("lost: {}", describe(&message)));
            return;
        }
        self.record(describe(&message));
        if message.to == ENTRY {
            self.deliver_to_entry(message);
        } else {
            self.deliver_to_destination(message);
        }
    }

    fn deliver_to_entry(&mut self, message: QueuedMessage) {
        let steps = match message.body {
            Body::Response(response) => self.entry.on_response(self.now, response),
            Body::ClaimReply(reply) => self.entry.on_claim_reply(self.now, &message.from, &reply),
            _ => Vec::new(),
        };
        self.apply_entry_steps(steps);
    }

    /// Delivers a response to the entry node.
    pub(super) fn answer_attempt(&mut self, response: CallResponse) {
        let steps = self.entry.on_response(self.now, response);
        self.apply_entry_steps(steps);
    }

    fn deliver_to_destination(&mut self, message: QueuedMessage) {
        let now = self.now;
        let source = CallSource::Link(LinkId(0));
        let Some(destination) = self.destinations.get_mut(&message.to) else {
            return;
        };
        if !destination.reachable {
            return;
        }
        let (name, sender) = (message.to, message.from);
        let steps = match message.body {
            Body::Call(request) => destination.calls.on_call(now, source, request, self.frozen),
            Body::Cancel(cancel) => destination.calls.on_cancel(now, &cancel),
            Body::OutcomeQuery(query) => destination.calls.on_query(now, source, query),
            Body::ClaimReply(reply) => destination.calls.on_claim_reply(now, &sender, &reply),
            Body::Claim(request) => {
                let body = Body::ClaimReply(destination.holder.on_request(now, &request));
                self.queue.push_back(QueuedMessage {
                    from: name,
                    to: sender,
                    body,
                });
                return;
            }
            Body::ShardFetch(fetch) => {
                let sends = destination.holder.on_fetch(now, &sender.into(), &fetch);
                return self.queue_claims(&name, sends);
            }
            Body::ShardChunk(chunk) => {
                let sends = destination.holder.on_chunk(now, chunk);
                return self.queue_claims(&name, sends);
            }
            _ => Vec::new(),
        };
        self.apply_destination_steps(&name, steps);
    }

    fn apply_entry_steps(&mut self, steps: Vec<EntryStep>) {
        for step in steps {
            match step {
                EntryStep::Send { to, body, ticket } => self.send_from_entry(&to, body, ticket),
                EntryStep::Answer { call, answer, .. } => {
                    self.record(format!(
                        "caller gets {} {}",
                        answer.outcome(),
                        answer.reason()
                    ));
                    let previous = self.answers.insert(call, answer);
                    assert!(previous.is_none(), "call {call:?} was answered twice");
                }
            }
        }
    }

    fn send_from_entry(&mut self, to: &PeerNode, body: Body, ticket: Option<u64>) {
        let reachable = self
            .destinations
            .get(&*to.name)
            .is_some_and(|destination| destination.reachable);
        if reachable {
            let message = QueuedMessage {
                from: ENTRY.to_owned(),
                to: to.name.to_string(),
                body,
            };
            self.queue.push_back(message);
        } else if let Some(ticket) = ticket {
            self.record(format!("{} cannot be reached", to.name));
            let steps = self.entry.on_unsent(self.now, ticket);
            self.apply_entry_steps(steps);
        }
    }

    fn apply_destination_steps(&mut self, name: &str, steps: Vec<DestinationStep>) {
        for step in steps {
            match step {
                DestinationStep::Respond { response, .. } => {
                    let body = Body::Response(response);
                    let to = ENTRY.to_owned();
                    self.queue.push_back(QueuedMessage {
                        from: name.to_owned(),
                        to,
                        body,
                    });
                }
                DestinationStep::Claim { to, body } => {
                    let message = QueuedMessage {
                        from: name.to_owned(),
                        to: to.to_string(),
                        body,
                    };
                    self.queue.push_back(message);
                }
                DestinationStep::Run {
                    run,
                    request,
                    timeout,
                    ..
                } => {
                    self.timeouts.push(timeout);
                    let trace = request.header("traceparent").map(str::to_owned);
                    self.traces.extend(trace);
                    self.run(name, run);
                }
                DestinationStep::Cancel { .. } => self.cancels += 1,
                DestinationStep::ReportCrash(report) => self.crash_reports.push(report),
                DestinationStep::Leaving | DestinationStep::Ended { .. } => {}
            }
        }
    }

    fn run(&mut self, name: &str, run: RunId) {
        self.record(format!("{name} runs the request"));
        self.runs.push(name.to_owned());
        let destination = &mut self.destinations[name];
        destination.running.push_back(run);
        if !destination.holds_answers {
            self.finish_next_run(name);
        }
    }

    /// Lets the upstream answer the oldest request that it is running.
    pub(super) fn finish_next_run(&mut self, name: &str) {
        let destination = &mut self.destinations[name];
        let Some(run) = destination.running.pop_front() else {
            return;
        };
        let default_answer = HttpResponse {
            status: FinalStatus::OK,
            body: "booked".into(),
            ..HttpResponse::default()
        };
        let result = destination
            .results
            .pop_front()
            .unwrap_or(Ok(default_answer));
        let steps = destination.calls.on_result(self.now, run, result);
        self.apply_destination_steps(name, steps);
    }

    /// Lets the upstream that is running a request break off the connection before it is made.
    pub(super) fn refuse_next_run(&mut self) {
        let busy = UPSTREAMS.iter().find(|name| self.running(name) > 0);
        let name = busy.expect("no request is running");
        self.queue_result(name, Err(UpstreamFailure::Unreachable));
        self.finish_next_run(name);
        self.deliver_all();
    }

    /// Returns the number of requests that the upstream is running.
    pub(super) fn running(&self, name: &str) -> usize {
        self.destinations[name].running.len()
    }

    /// Returns the number of calls that wait or run at an upstream.
    pub(super) fn in_progress(&self, name: &str) -> usize {
        self.destinations[name].calls.in_progress()
    }

    fn queue_claims(&mut self, from: &str, sends: Vec<ClaimMessage>) {
        for send in sends {
            let (to, body) = (send.to.to_string(), send.body);
            self.queue.push_back(QueuedMessage {
                from: from.to_owned(),
                to,
                body,
            });
        }
    }

    /// Advances the time in steps of 10 ms and handles everything that becomes due.
    pub(super) fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + Duration::from_millis(10)).min(end);
            let steps = self.entry.on_tick(self.now);
            self.apply_entry_steps(steps);
            for name in UPSTREAMS {
                let steps = self.destinations[name].calls.on_tick(self.now);
                self.apply_destination_steps(name, steps);
            }
            self.deliver_all();
        }
    }

    /// Lets time pass while the process of the entry node is suspended.
    pub(super) fn suspend_entry(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for name in UPSTREAMS {
            let steps = self.destinations[name].calls.on_tick(self.now);
            self.apply_destination_steps(name, steps);
        }
    }

    /// Breaks the link between the entry node and another node; messages in transit over it are
    /// lost.
    pub(super) fn break_link(&mut self, name: &str) {
        self.record(format!("link to {name} breaks"));
        self.queue.retain(|message| {
            let between = (&*message.from, &*message.to);
            between != (ENTRY, name) && between != (name, ENTRY)
        });
        let steps = self.entry.on_link_lost(self.now, name);
        self.apply_entry_steps(steps);
    }

    /// Replaces the node beside an upstream by one of a later incarnation, in the configuration of
    /// the entry node.
    pub(super) fn end_incarnation(&mut self, class: WireClass, name: &str) {
        let mut upstreams = upstreams();
        let upstream = upstreams.iter_mut().find(|item| item.name == name);
        upstream.expect("an upstream").incarnation += 1;
        self.apply_entry_snapshot(Arc::new(snapshot_of(6, class, upstreams)));
    }

    /// Replaces the process of a node by one that provides `service` under a later incarnation. The
    /// configuration does not show it yet.
    pub(super) fn restart(&mut self, name: &str, incarnation: u64, service: &str) {
        self.record(format!("{name} restarts"));
        let settings = ClaimSettings::default();
        let mut calls = DestinationCalls::new(name.into(), IncarnationId(incarnation), settings);
        calls.set_process(ProcessId(incarnation));
        calls.on_snapshot(self.now, Arc::new(snapshot(WireClass::AtMostOnce)));
        calls.accept_earlier_incarnations();
        let service = service.into();
        calls.on_announce(
            self.now,
            UpstreamEndpoint {
                service,
                ..endpoint()
            },
        );
        self.destinations[name].calls = calls;
    }

    /// Quarantines requests in the configuration of all nodes.
    pub(super) fn quarantine(&mut self, class: WireClass, requests: &[RequestFingerprint]) {
        let mut snapshot = snapshot_of(6, class, upstreams());
        snapshot.quarantined = requests.iter().copied().collect();
        let snapshot = Arc::new(snapshot);
        self.apply_entry_snapshot(snapshot.clone());
        self.apply_destination_snapshot(&snapshot);
    }

    pub(super) fn apply_entry_snapshot(&mut self, snapshot: Arc<ConfigSnapshot>) {
        let steps = self.entry.on_snapshot(self.now, snapshot);
        self.apply_entry_steps(steps);
    }

    pub(super) fn apply_destination_snapshot(&mut self, snapshot: &Arc<ConfigSnapshot>) {
        for name in UPSTREAMS {
            let calls = &mut self.destinations[name].calls;
            let steps = calls.on_snapshot(self.now, snapshot.clone());
            self.apply_destination_steps(name, steps);
        }
    }

    /// Lets the entry node notice that a node has stopped answering.
    pub(super) fn silence(&mut self, name: &str) {
        self.record(format!("{name} is silent"));
        let steps = self.entry.on_peer_silent(self.now, name);
        self.apply_entry_steps(steps);
    }

    pub(super) fn set_reachable(&mut self, name: &str, reachable: bool) {
        self.destinations[name].reachable = reachable;
    }

    /// Makes the upstream answer requests only when [`CallSimulation::finish_next_run`] is called.
    pub(super) fn hold_answers(&mut self, name: &str) {
        self.destinations[name].holds_answers = true;
    }

    pub(super) fn drain(&mut self, name: &str) {
        self.destinations[name].calls.drain();
    }

    /// Lets the upstream announce that it leaves.
    pub(super) fn leave(&mut self, name: &str) {
        self.record(format!("{name} leaves"));
        let steps = self.destinations[name].calls.drain_upstream(self.now);
        self.apply_destination_steps(name, steps);
    }

    /// Lets the node beside an upstream refuse calls that may last beyond `after` from now.
    pub(super) fn end_after(&mut self, name: &str, after: Duration) {
        let ends_at = self.now + after;
        let steps = self.destinations[name].calls.set_end(self.now, ends_at);
        self.apply_destination_steps(name, steps);
    }

    /// Tells the entry node that its process ends `after` from now.
    pub(super) fn end_entry_after(&mut self, after: Duration) {
        let steps = self.entry.set_end(self.now, self.now + after);
        self.apply_entry_steps(steps);
    }

    /// Lets the process of the entry node end.
    pub(super) fn end_entry(&mut self) {
        let steps = self.entry.end_calls(self.now);
        self.apply_entry_steps(steps);
    }

    pub(super) fn queue_result(
        &mut self,
        name: &str,
        result: Result<HttpResponse, UpstreamFailure>,
    ) {
        self.destinations[name].results.push_back(result);
    }

    pub(super) fn set_header_names(&mut self, names: HeaderNames) {
        for destination in self.destinations.values_mut() {
            destination.calls.set_header_names(names);
        }
    }

    /// Removes the queued results, so that the upstream answers with status 200 again.
    pub(super) fn clear_results(&mut self, name: &str) {
        self.destinations[name].results.clear();
    }

    /// Returns the destination of the queued call message.
    pub(super) fn called_destination(&self) -> String {
        let call = self
            .queue
            .iter()
            .find(|message| matches!(message.body, Body::Call(_)));
        call.expect("no call message is queued").to.clone()
    }

    /// Returns the counters of the node beside an upstream.
    pub(super) fn destination_counters(&self, name: &str) -> DestinationCounters {
        self.destinations[name].calls.counters()
    }

    /// Whether no call occupies a slot of an upstream.
    pub(super) fn is_idle(&self) -> bool {
        let mut destinations = self.destinations.values();
        destinations.all(|destination| destination.calls.is_idle())
    }

    pub(super) fn outcome(&self, call: CallId) -> &'static str {
        self.answers
            .get(&call)
            .map_or("open", CallerAnswer::outcome)
    }

    fn record(&mut self, line: String) {
        self.transcript
            .push(format!("{:>6} ms  {line}", self.now.0 / 1_000));
    }
}

pub(super) fn entry_location(name: &str) -> EntryLocation {
    EntryLocation {
        name: name.into(),
        zone: "osrednja-1".into(),
        region: "osrednja".into(),
    }
}

pub(super) fn booking_request(headers: Vec<(String, String)>, body: &str) -> CallerRequest {
    let request = HttpRequest {
        method: "POST".to_owned(),
        target: "/booking/7".to_owned(),
        headers,
        body: body.to_owned().into(),
    };
    CallerRequest::from_http(request, &HeaderNames::default()).unwrap()
}

fn new_destination(name: &str, now: Timestamp) -> Destination {
    let settings = ClaimSettings {
        max_answer_bytes: MAX_ANSWER_BYTES,
        ..ClaimSettings::default()
    };
    let mut calls = DestinationCalls::new(name.into(), IncarnationId(1), settings.clone());
    calls.on_announce(now, endpoint());
    let own = ShardHolder {
        name: name.to_owned(),
        incarnation: 1,
    };
    Destination {
        calls,
        holder: ClaimHolder::new(own, settings),
        reachable: true,
        results: VecDeque::new(),
        running: VecDeque::new(),
        holds_answers: false,
    }
}

fn snapshot(class: WireClass) -> ConfigSnapshot {
    snapshot_of(5, class, upstreams())
}

pub(super) fn upstreams() -> Vec<UpstreamItem> {
    let item = |(index, name): (usize, &str)| UpstreamItem {
        name: name.into(),
        service: "booking".into(),
        zone: "osrednja-1".into(),
        region: "osrednja".into(),
        node_address: format!("127.0.0.1:{}", index + 1),
        incarnation: 1,
        slots: 10,
        first_in_region: index == 0,
        ..UpstreamItem::default()
    };
    UPSTREAMS.into_iter().enumerate().map(item).collect()
}

pub(super) fn snapshot_of(
    version: u64,
    class: WireClass,
    upstreams: Vec<UpstreamItem>,
) -> ConfigSnapshot {
    let state = CatalogState {
        version,
        manifest_version: 1,
        services: vec![ServiceItem {
            name: "booking".into(),
            patterns: vec!["booking-*".into()],
            ..ServiceItem::default()
        }],
        routes: vec![RouteItem {
            name: "book".into(),
            prefix: "/booking".into(),
            class: class as i32,
            service: "booking".into(),
            ..RouteItem::default()
        }],
        upstreams,
        ..CatalogState::default()
    };
    let digests = state.upstreams.iter().map(upstream_digest);
    let digest = digests
        .chain(state.services.iter().map(service_digest))
        .chain(state.routes.iter().map(route_digest))
        .fold(0, u64::wrapping_add);
    ConfigSnapshot::from_state(&state, digest).unwrap()
}

fn describe(message: &QueuedMessage) -> String {
    let what = match &message.body {
        Body::Call(_) => "call".to_owned(),
        Body::Response(response) => {
            let outcome = kumquatlock_wire::call::CallOutcome::try_from(response.outcome);
            format!("response {:?}", outcome.unwrap_or_default())
        }
        Body::Claim(request) => {
            let action = kumquatlock_wire::claim::ClaimAction::try_from(request.action);
            format!("claim {:?}", action.unwrap_or_default())
        }
        Body::ClaimReply(reply) => {
            let verdict = kumquatlock_wire::claim::ClaimVerdict::try_from(reply.verdict);
            format!("claim reply {:?}", verdict.unwrap_or_default())
        }
        Body::Cancel(_) => "cancel".to_owned(),
        Body::OutcomeQuery(_) => "outcome query".to_owned(),
        other => other.kind().label().to_owned(),
    };
    format!("{} -> {}: {what}", message.from, message.to)
}

pub(super) fn endpoint() -> UpstreamEndpoint {
    let address = "127.0.0.1:9".parse().unwrap();
    let limits = AdmissionLimits {
        slots: 10,
        connections: 10,
    };
    UpstreamEndpoint {
        address,
        instance: SharedName::default(),
        run_started_ms: 0,
        service: "booking".into(),
        limits,
    }
}
