//! One entry, its destinations and the messages between them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::claim::ShardHolder;
use kumquatlock_wire::distribution::{
    CatalogState, RouteItem, ServiceItem, UpstreamItem, WireClass,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::AdmissionLimits;
use crate::call::*;
use crate::claim::{ClaimHolder, ClaimMessage, ClaimSettings};
use crate::core::*;
use crate::http::{HttpRequest, HttpResponse, UpstreamFailure};
use crate::routing::EntryLocation;
use crate::transport::LinkId;

pub(super) const ENTRY: &str = "front-1";
pub(super) const UPSTREAMS: [&str; 3] = ["booking-1", "booking-2", "booking-3"];

/// A message on its way.
#[derive(Debug)]
pub(super) struct Parcel {
    pub(super) from: String,
    pub(super) to: String,
    pub(super) body: Body,
}

struct Destination {
    calls: DestinationCalls,
    holder: ClaimHolder,
    reachable: bool,
    /// What the upstream does with the next request; answers 200 if empty.
    results: VecDeque<Result<HttpResponse, UpstreamFailure>>,
    /// Requests that the upstream has and keeps while `held` is set.
    running: VecDeque<RunId>,
    held: bool,
}

pub(super) struct CallWorld {
    pub(super) now: Timestamp,
    pub(super) entry: EntryCalls,
    destinations: IndexMap<String, Destination>,
    pub(super) queue: VecDeque<Parcel>,
    pub(super) answers: IndexMap<CallId, CallerAnswer>,
    /// Upstream of every run, in order.
    pub(super) runs: Vec<String>,
    /// Destinations were stopped before they read what is delivered.
    pub(super) frozen: bool,
    /// Time that destinations give each run.
    pub(super) timeouts: Vec<Duration>,
    /// Cancellations that reached an upstream.
    pub(super) cancels: usize,
    /// Trace headers that upstreams got.
    pub(super) traces: Vec<String>,
    /// Time that callers say they wait.
    pub(super) timeout_ms: Option<&'static str>,
    /// Transcript of what happened.
    pub(super) lines: Vec<String>,
    /// Parcels for which this returns true are lost.
    pub(super) lose: fn(&Parcel) -> bool,
}

impl CallWorld {
    pub(super) fn new(class: WireClass) -> Self {
        CallWorld::with_entry(class, EntrySettings::new(4))
    }

    pub(super) fn with_entry(class: WireClass, settings: EntrySettings) -> Self {
        let snapshot = Arc::new(snapshot(class));
        let now = Timestamp::from_millis(1);
        let location = EntryLocation {
            name: ENTRY.into(),
            zone: "osrednja-1".into(),
            region: "osrednja".into(),
        };
        let random = SmallRng::seed_from_u64(7);
        let entry = EntryCalls::new(location, IncarnationId(1), settings, random);
        let mut world = CallWorld {
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
            lines: Vec::new(),
            lose: |_| false,
        };
        for name in UPSTREAMS {
            world
                .destinations
                .insert(name.to_owned(), new_destination(name, now));
        }
        world.entry.on_snapshot(now, snapshot.clone());
        for name in UPSTREAMS {
            let destination = &mut world.destinations[name];
            destination.calls.on_snapshot(now, snapshot.clone());
            let sends = destination.holder.on_snapshot(now, snapshot.clone());
            destination.holder.on_config_confirmed(now);
            world.queue_claims(name, sends);
        }
        world.settle();
        world.lines.clear();
        world
    }

    pub(super) fn open(&mut self, key: Option<&str>) -> CallId {
        self.open_with(key, "crew 7")
    }

    pub(super) fn open_with(&mut self, key: Option<&str>, body: &str) -> CallId {
        let header = key.map(|key| ("Idempotency-Key", key));
        self.note(format!(
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
        let request = HttpRequest {
            method: "POST".to_owned(),
            target: "/booking/7".to_owned(),
            headers: headers.collect(),
            body: body.to_owned().into(),
        };
        let request = CallerRequest::from_http(request, &HeaderNames::default()).unwrap();
        let (id, steps) = self.entry.open(self.now, request);
        self.follow_entry(steps);
        id
    }

    /// Delivers everything that is on its way, and what follows.
    pub(super) fn settle(&mut self) {
        while let Some(parcel) = self.queue.pop_front() {
            self.deliver(parcel);
        }
    }

    pub(super) fn deliver(&mut self, parcel: Parcel) {
        if (self.lose)(&parcel) {
            self.note(format!("lost: {}", describe(&parcel)));
            return;
        }
        self.note(describe(&parcel));
        if parcel.to == ENTRY {
            self.deliver_to_entry(parcel);
        } else {
            self.deliver_to_destination(parcel);
        }
    }

    fn deliver_to_entry(&mut self, parcel: Parcel) {
        let steps = match parcel.body {
            Body::Response(response) => self.entry.on_response(self.now, response),
            Body::ClaimReply(reply) => self.entry.on_claim_reply(self.now, &parcel.from, &reply),
            _ => Vec::new(),
        };
        self.follow_entry(steps);
    }

    fn deliver_to_destination(&mut self, parcel: Parcel) {
        let now = self.now;
        let source = CallSource::Link(LinkId(0));
        let Some(destination) = self.destinations.get_mut(&parcel.to) else {
            return;
        };
        if !destination.reachable {
            return;
        }
        let (name, asker) = (parcel.to, parcel.from);
        let steps = match parcel.body {
            Body::Call(request) => destination.calls.on_call(now, source, request, self.frozen),
            Body::Cancel(cancel) => destination.calls.on_cancel(now, &cancel.id),
            Body::OutcomeQuery(query) => destination.calls.on_query(now, source, query),
            Body::ClaimReply(reply) => destination.calls.on_claim_reply(now, &asker, &reply),
            Body::Claim(request) => {
                let body = Body::ClaimReply(destination.holder.on_request(now, &request));
                self.queue.push_back(Parcel {
                    from: name,
                    to: asker,
                    body,
                });
                return;
            }
            Body::ShardFetch(fetch) => {
                let sends = destination.holder.on_fetch(now, &asker.into(), &fetch);
                return self.queue_claims(&name, sends);
            }
            Body::ShardChunk(chunk) => {
                let sends = destination.holder.on_chunk(now, chunk);
                return self.queue_claims(&name, sends);
            }
            _ => Vec::new(),
        };
        self.follow_destination(&name, steps);
    }

    fn follow_entry(&mut self, steps: Vec<EntryStep>) {
        for step in steps {
            match step {
                EntryStep::Send { to, body, ticket } => self.send_from_entry(&to, body, ticket),
                EntryStep::Answer { call, answer, .. } => {
                    self.note(format!(
                        "caller gets {} {}",
                        answer.outcome(),
                        answer.reason()
                    ));
                    let doubled = self.answers.insert(call, answer);
                    assert!(doubled.is_none(), "a call was answered twice");
                }
            }
        }
    }

    fn send_from_entry(&mut self, to: &PeerNode, body: Body, ticket: Option<u64>) {
        let reachable = self
            .destinations
            .get(&*to.name)
            .is_some_and(|held| held.reachable);
        if reachable {
            let parcel = Parcel {
                from: ENTRY.to_owned(),
                to: to.name.to_string(),
                body,
            };
            self.queue.push_back(parcel);
        } else if let Some(ticket) = ticket {
            self.note(format!("{} cannot be reached", to.name));
            let steps = self.entry.on_unsent(self.now, ticket);
            self.follow_entry(steps);
        }
    }

    fn follow_destination(&mut self, name: &str, steps: Vec<DestinationStep>) {
        for step in steps {
            match step {
                DestinationStep::Respond { response, .. } => {
                    let body = Body::Response(response);
                    let to = ENTRY.to_owned();
                    self.queue.push_back(Parcel {
                        from: name.to_owned(),
                        to,
                        body,
                    });
                }
                DestinationStep::Claim { to, body } => {
                    let parcel = Parcel {
                        from: name.to_owned(),
                        to: to.to_string(),
                        body,
                    };
                    self.queue.push_back(parcel);
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
                DestinationStep::Ended { .. } => {}
            }
        }
    }

    fn run(&mut self, name: &str, run: RunId) {
        self.note(format!("{name} runs the request"));
        self.runs.push(name.to_owned());
        let destination = &mut self.destinations[name];
        destination.running.push_back(run);
        if !destination.held {
            self.finish_runs(name);
        }
    }

    /// Lets the upstream answer what it has.
    pub(super) fn finish_runs(&mut self, name: &str) {
        let destination = &mut self.destinations[name];
        let Some(run) = destination.running.pop_front() else {
            return;
        };
        let whole = HttpResponse {
            status: 200,
            body: "booked".into(),
            ..HttpResponse::default()
        };
        let result = destination.results.pop_front().unwrap_or(Ok(whole));
        let steps = destination.calls.on_result(self.now, run, result);
        self.follow_destination(name, steps);
    }

    fn queue_claims(&mut self, from: &str, sends: Vec<ClaimMessage>) {
        for send in sends {
            let (to, body) = (send.to.to_string(), send.body);
            self.queue.push_back(Parcel {
                from: from.to_owned(),
                to,
                body,
            });
        }
    }

    /// Lets time pass and handles what is due.
    pub(super) fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + Duration::from_millis(10)).min(end);
            let steps = self.entry.on_tick(self.now);
            self.follow_entry(steps);
            for name in UPSTREAMS {
                let steps = self.destinations[name].calls.on_tick(self.now);
                self.follow_destination(name, steps);
            }
            self.settle();
        }
    }

    /// The link between the entry and a node breaks; what is on its way over it is gone.
    pub(super) fn break_link(&mut self, name: &str) {
        self.note(format!("link to {name} breaks"));
        self.queue.retain(|parcel| {
            let between = (&*parcel.from, &*parcel.to);
            between != (ENTRY, name) && between != (name, ENTRY)
        });
        let steps = self.entry.on_link_lost(self.now, name);
        self.follow_entry(steps);
    }

    pub(super) fn set_reachable(&mut self, name: &str, reachable: bool) {
        self.destinations[name].reachable = reachable;
    }

    /// The upstream keeps requests until [`CallWorld::finish_runs`].
    pub(super) fn hold(&mut self, name: &str) {
        self.destinations[name].held = true;
    }

    pub(super) fn drain(&mut self, name: &str) {
        self.destinations[name].calls.drain();
    }

    pub(super) fn next_result(
        &mut self,
        name: &str,
        result: Result<HttpResponse, UpstreamFailure>,
    ) {
        self.destinations[name].results.push_back(result);
    }

    /// The upstream answers again.
    pub(super) fn clear_results(&mut self, name: &str) {
        self.destinations[name].results.clear();
    }

    /// Destination of the call that is on its way.
    pub(super) fn called(&self) -> String {
        let call = self
            .queue
            .iter()
            .find(|parcel| matches!(parcel.body, Body::Call(_)));
        call.expect("no call is on its way").to.clone()
    }

    /// Whether no call holds a slot of an upstream.
    pub(super) fn is_idle(&self) -> bool {
        let mut destinations = self.destinations.values();
        destinations.all(|held| held.calls.is_idle())
    }

    pub(super) fn outcome(&self, call: CallId) -> &'static str {
        self.answers
            .get(&call)
            .map_or("open", CallerAnswer::outcome)
    }

    fn note(&mut self, line: String) {
        self.lines
            .push(format!("{:>6} ms  {line}", self.now.0 / 1_000));
    }
}

fn new_destination(name: &str, now: Timestamp) -> Destination {
    let settings = ClaimSettings::default();
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
        held: false,
    }
}

fn snapshot(class: WireClass) -> ConfigSnapshot {
    let mut state = CatalogState {
        version: 5,
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
        ..CatalogState::default()
    };
    for (index, name) in UPSTREAMS.into_iter().enumerate() {
        state.upstreams.push(UpstreamItem {
            name: name.into(),
            service: "booking".into(),
            zone: "osrednja-1".into(),
            region: "osrednja".into(),
            node_address: format!("127.0.0.1:{}", index + 1),
            incarnation: 1,
            slots: 10,
            first_in_region: index == 0,
            ..UpstreamItem::default()
        });
    }
    let digests = state.upstreams.iter().map(upstream_digest);
    let digest = digests
        .chain(state.services.iter().map(service_digest))
        .chain(state.routes.iter().map(route_digest))
        .fold(0, u64::wrapping_add);
    ConfigSnapshot::from_state(&state, digest).unwrap()
}

fn describe(parcel: &Parcel) -> String {
    let what = match &parcel.body {
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
    format!("{} -> {}: {what}", parcel.from, parcel.to)
}

fn endpoint() -> UpstreamEndpoint {
    let address = "127.0.0.1:9".parse().unwrap();
    let limits = AdmissionLimits {
        slots: 10,
        connections: 10,
    };
    UpstreamEndpoint {
        address,
        instance: SharedName::default(),
        service: SharedName::default(),
        limits,
    }
}
