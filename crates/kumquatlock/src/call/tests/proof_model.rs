//! Model of entry nodes, destination nodes and the links between them, which counts how often an
//! upstream begins to run each request of a caller. Requests have no key.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::Body;
use kumquatlock_wire::call::{AttemptId, CallOutcome, CallReason, CallResponse};
use kumquatlock_wire::distribution::WireClass;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::simulation::{QueuedMessage, UPSTREAMS, describe, endpoint, snapshot_of, upstreams};
use crate::call::*;
use crate::claim::ClaimSettings;
use crate::core::*;
use crate::http::{HttpRequest, HttpResponse, UpstreamFailure};
use crate::routing::EntryLocation;
use crate::transport::LinkId;

const ENTRIES: [&str; 2] = ["front-1", "front-2"];
/// Header by which an upstream states that it did not run a request.
const NOT_EXECUTED_HEADER: &str = "not-executed";

/// A request of a caller.
#[derive(Default)]
pub(super) struct RequestRecord {
    /// Number of times that an upstream began to run it.
    pub(super) runs: usize,
    pub(super) answer: Option<CallerAnswer>,
}

struct EntryNode {
    calls: EntryCalls,
    /// Request of each call of this process.
    requests: IndexMap<CallId, usize>,
}

struct DestinationNode {
    calls: DestinationCalls,
    /// Number of the process; a restart starts another one.
    process: u64,
    /// Requests that were passed to the upstream, and whether it began to run each.
    running: VecDeque<(RunId, bool)>,
    /// Whether the process refuses what it reads because it was suspended.
    is_frozen: bool,
}

/// A connection from an entry node to a destination node.
pub(super) struct ModelLink {
    entry: usize,
    pub(super) destination: usize,
    /// Process of the destination that accepted the connection. A proxy on the path may hold the
    /// bytes and connect to the destination only when it passes the first of them on.
    process: Option<u64>,
    pub(super) is_open_at_entry: bool,
    is_open_at_destination: bool,
    /// Whether nothing passes in either direction for now.
    pub(super) is_held: bool,
    /// Whether the entry's socket accepts no bytes for now.
    pub(super) is_blocked: bool,
    /// Messages of which the entry has written no byte, with their tickets.
    outbox: VecDeque<(Body, Option<u64>)>,
    requests: VecDeque<Body>,
    answers: VecDeque<Body>,
}

pub(super) struct ProofModel {
    pub(super) now: Timestamp,
    class: WireClass,
    settings: ClaimSettings,
    accepts_earlier_incarnations: bool,
    entries: Vec<EntryNode>,
    destinations: Vec<DestinationNode>,
    pub(super) links: IndexMap<LinkId, ModelLink>,
    next_link: u64,
    /// Incarnation of each destination in the latest configuration.
    catalog: Vec<u64>,
    last_incarnation: u64,
    pub(super) requests: Vec<RequestRecord>,
    /// Attempt that each outcome query asked for.
    queries: IndexMap<AttemptId, AttemptId>,
    /// Attempts that a query was told will never run.
    fenced: IndexSet<AttemptId>,
    /// Number of times that each kind of proof reached an entry node.
    pub(super) proofs: IndexMap<&'static str, usize>,
    pub(super) random: SmallRng,
    /// Probability that an upstream refuses a request without running it.
    pub(super) refusal_rate: f64,
    pub(super) transcript: Vec<String>,
}

impl ProofModel {
    pub(super) fn new(seed: u64, accepts_earlier_incarnations: bool) -> Self {
        let mut model = ProofModel {
            now: Timestamp::from_millis(1),
            class: WireClass::AtMostOnce,
            settings: ClaimSettings::default(),
            accepts_earlier_incarnations,
            entries: Vec::new(),
            destinations: Vec::new(),
            links: IndexMap::new(),
            next_link: 1,
            catalog: vec![1; UPSTREAMS.len()],
            last_incarnation: 1,
            requests: Vec::new(),
            queries: IndexMap::new(),
            fenced: IndexSet::new(),
            proofs: IndexMap::new(),
            random: SmallRng::seed_from_u64(seed),
            refusal_rate: 0.0,
            transcript: Vec::new(),
        };
        for index in 0..ENTRIES.len() {
            let entry = model.new_entry(index);
            model.entries.push(entry);
        }
        for index in 0..UPSTREAMS.len() {
            let destination = model.new_destination(index, 1);
            model.destinations.push(destination);
        }
        for index in 0..ENTRIES.len() {
            model.configure(index);
        }
        model
    }

    fn new_entry(&mut self, index: usize) -> EntryNode {
        let location = EntryLocation {
            name: ENTRIES[index].into(),
            zone: "osrednja-1".into(),
            region: "osrednja".into(),
        };
        let settings = EntrySettings::new(64);
        let incarnation = IncarnationId(self.last_incarnation);
        let random = SmallRng::seed_from_u64(self.random.random());
        EntryNode {
            calls: EntryCalls::new(location, incarnation, settings, random),
            requests: IndexMap::new(),
        }
    }

    fn new_destination(&self, index: usize, process: u64) -> DestinationNode {
        let (name, incarnation) = (UPSTREAMS[index].into(), IncarnationId(self.catalog[index]));
        let mut calls = DestinationCalls::new(name, incarnation, self.settings.clone());
        calls.set_header_names(HeaderNames {
            not_executed: Some(NOT_EXECUTED_HEADER),
            ..HeaderNames::default()
        });
        if self.accepts_earlier_incarnations {
            calls.accept_earlier_incarnations();
        }
        calls.on_announce(self.now, booking_endpoint());
        DestinationNode {
            calls,
            process,
            running: VecDeque::new(),
            is_frozen: false,
        }
    }

    /// Passes the latest configuration to an entry node.
    pub(super) fn configure(&mut self, entry: usize) {
        let mut items = upstreams();
        for (item, incarnation) in items.iter_mut().zip(&self.catalog) {
            item.incarnation = *incarnation;
        }
        let snapshot = Arc::new(snapshot_of(self.last_incarnation + 4, self.class, items));
        let steps = self.entries[entry].calls.on_snapshot(self.now, snapshot);
        self.apply_entry_steps(entry, steps);
    }

    /// Sends the request of a caller, and returns its number.
    pub(super) fn open(&mut self, entry: usize, timeout: Duration) -> usize {
        let number = self.requests.len();
        self.requests.push(RequestRecord::default());
        self.record(format!("{} opens request {number}", ENTRIES[entry]));
        let timeout = timeout.as_millis().to_string();
        let request = HttpRequest {
            method: "POST".to_owned(),
            target: "/booking/7".to_owned(),
            headers: vec![("Request-Timeout-Ms".to_owned(), timeout)],
            body: number.to_string().into(),
        };
        let request = CallerRequest::from_http(request, &HeaderNames::default()).unwrap();
        let (call, steps) = self.entries[entry].calls.open(self.now, request);
        self.entries[entry].requests.insert(call, number);
        self.apply_entry_steps(entry, steps);
        number
    }

    fn apply_entry_steps(&mut self, entry: usize, steps: Vec<EntryStep>) {
        for step in steps {
            match step {
                EntryStep::Send { to, body, ticket } => {
                    let destination = UPSTREAMS.iter().position(|name| *name == &*to.name);
                    self.send(entry, destination.unwrap(), body, ticket);
                }
                EntryStep::Answer { call, answer, .. } => {
                    let number = self.entries[entry].requests[&call];
                    let (outcome, reason) = (answer.outcome(), answer.reason());
                    self.record(format!("request {number} ends as {outcome} {reason}"));
                    self.requests[number].answer = Some(answer);
                }
            }
        }
    }

    fn send(&mut self, entry: usize, destination: usize, body: Body, ticket: Option<u64>) {
        if let Body::OutcomeQuery(query) = &body {
            self.queries
                .insert(query.id.clone(), query.owner.attempt.clone());
        }
        let link = self.open_link(entry, destination);
        let link = &mut self.links[&link];
        link.outbox.push_back((body, ticket));
        link.write();
    }

    /// Returns the open link from an entry node to a destination node; opens one if there is none.
    fn open_link(&mut self, entry: usize, destination: usize) -> LinkId {
        let ends = (entry, destination);
        let mut links = self.links.iter();
        let open =
            links.find(|(_, link)| link.is_open_at_entry && (link.entry, link.destination) == ends);
        if let Some((id, _)) = open {
            return *id;
        }
        let id = LinkId(self.next_link);
        self.next_link += 1;
        self.links.insert(id, ModelLink::new(entry, destination));
        id
    }

    /// Closes a link at its entry node, which has heard nothing on it or found it closed. What was
    /// written may still arrive.
    pub(super) fn close_at_entry(&mut self, id: LinkId) {
        let link = &mut self.links[&id];
        if !std::mem::take(&mut link.is_open_at_entry) {
            return;
        }
        link.answers.clear();
        let (entry, destination) = (link.entry, link.destination);
        let unsent = std::mem::take(&mut link.outbox);
        self.record(format!("{} closes {id:?}", ENTRIES[entry]));
        let calls = &mut self.entries[entry].calls;
        let mut steps = Vec::new();
        for ticket in unsent.into_iter().filter_map(|(_, ticket)| ticket) {
            *self.proofs.entry("unsent").or_default() += 1;
            steps.extend(calls.on_unsent(self.now, ticket));
        }
        steps.extend(calls.on_link_lost(self.now, UPSTREAMS[destination]));
        self.apply_entry_steps(entry, steps);
    }

    /// Delivers the next message of a link to the destination node.
    pub(super) fn deliver_request(&mut self, id: LinkId) {
        let now = self.now;
        let link = &mut self.links[&id];
        let destination = link.destination;
        let node = &mut self.destinations[destination];
        if link.is_held || !link.is_open_at_destination {
            return;
        }
        let Some(body) = link.requests.pop_front() else {
            return;
        };
        link.process = Some(node.process);
        let (line, source) = (link.describe(&body), CallSource::Link(id));
        let steps = match body {
            Body::Call(request) => {
                if self.fenced.contains(&request.id) {
                    *self.proofs.entry("late_attempt").or_default() += 1;
                }
                node.calls.on_call(now, source, request, node.is_frozen)
            }
            Body::Cancel(cancel) => node.calls.on_cancel(now, &cancel),
            Body::OutcomeQuery(query) => node.calls.on_query(now, source, query),
            _ => Vec::new(),
        };
        self.record(format!("{id:?} {line}"));
        self.apply_destination_steps(destination, steps);
    }

    /// Delivers the next answer of a link, or the news that the destination node has closed it.
    pub(super) fn deliver_answer(&mut self, id: LinkId) {
        let link = &mut self.links[&id];
        if link.is_held || !link.is_open_at_entry {
            return;
        }
        let entry = link.entry;
        match link.answers.pop_front() {
            Some(Body::Response(response)) => self.receive(id, entry, response),
            Some(_) => {}
            None if !link.is_open_at_destination => self.close_at_entry(id),
            None => {}
        }
    }

    fn receive(&mut self, id: LinkId, entry: usize, response: CallResponse) {
        let calls = &mut self.entries[entry].calls;
        let asked = self.queries.get(&response.id);
        let outcome = CallOutcome::try_from(response.outcome).unwrap();
        let reason = CallReason::try_from(response.reason).unwrap();
        let proof = asked.map_or(reason_label(reason), |_| "query");
        let strays = calls.counters().stray_answers;
        let steps = calls.on_response(self.now, response);
        if calls.counters().stray_answers == strays && outcome == CallOutcome::NotRun {
            *self.proofs.entry(proof).or_default() += 1;
            self.fenced.extend(asked.cloned());
        }
        self.record(format!(
            "{id:?} {} hears {outcome:?} {proof}",
            ENTRIES[entry]
        ));
        self.apply_entry_steps(entry, steps);
    }

    fn apply_destination_steps(&mut self, destination: usize, steps: Vec<DestinationStep>) {
        for step in steps {
            match step {
                DestinationStep::Respond {
                    to: CallSource::Link(id),
                    response,
                } => {
                    if let Some(link) = self.links.get_mut(&id)
                        && link.process == Some(self.destinations[destination].process)
                        && link.is_open_at_destination
                        && link.is_open_at_entry
                    {
                        link.answers.push_back(Body::Response(response));
                    }
                }
                DestinationStep::Run { run, request, .. } => self.run(destination, run, &request),
                _ => {}
            }
        }
    }

    fn run(&mut self, destination: usize, run: RunId, request: &HttpRequest) {
        let number: usize = std::str::from_utf8(&request.body).unwrap().parse().unwrap();
        let begins = !self.random.random_bool(self.refusal_rate);
        let name = UPSTREAMS[destination];
        self.record(format!("{name} gets request {number}, runs it: {begins}"));
        self.requests[number].runs += usize::from(begins);
        let running = &mut self.destinations[destination].running;
        running.push_back((run, begins));
    }

    /// Ends the oldest exchange with an upstream. `variant` selects among the results that fit.
    pub(super) fn finish(&mut self, destination: usize, variant: usize) {
        let node = &mut self.destinations[destination];
        let Some((run, begins)) = node.running.pop_front() else {
            return;
        };
        let respond = |status, headers| {
            Ok(HttpResponse {
                status,
                headers,
                ..HttpResponse::default()
            })
        };
        let not_executed = vec![(NOT_EXECUTED_HEADER.to_owned(), "1".to_owned())];
        let result = match (begins, variant) {
            (true, 0) => respond(200, Vec::new()),
            (true, 1) => respond(503, Vec::new()),
            (true, 2) => Err(UpstreamFailure::Broken),
            (true, _) => Err(UpstreamFailure::Timeout),
            (false, 0) => respond(503, not_executed),
            (false, _) => Err(UpstreamFailure::Unreachable),
        };
        let steps = node.calls.on_result(self.now, run, result);
        self.apply_destination_steps(destination, steps);
    }

    /// Records a new incarnation of a destination in the configuration.
    pub(super) fn raise_incarnation(&mut self, destination: usize) {
        self.last_incarnation += 1;
        self.catalog[destination] = self.last_incarnation;
    }

    /// Lets a destination process take the incarnation that the configuration names.
    pub(super) fn adopt_incarnation(&mut self, destination: usize) {
        let incarnation = IncarnationId(self.catalog[destination]);
        self.record(format!("{} is {incarnation:?}", UPSTREAMS[destination]));
        let calls = &mut self.destinations[destination].calls;
        let mut steps = calls.set_incarnation(self.now, incarnation);
        steps.extend(calls.on_announce(self.now, booking_endpoint()));
        self.apply_destination_steps(destination, steps);
    }

    /// Ends a destination process and starts another one, which gets what is held for it on links
    /// that no process has accepted.
    pub(super) fn restart_destination(&mut self, destination: usize) {
        self.record(format!("{} restarts", UPSTREAMS[destination]));
        self.raise_incarnation(destination);
        let process = self.destinations[destination].process;
        self.destinations[destination] = self.new_destination(destination, process + 1);
        for link in self.links.values_mut() {
            if link.destination == destination && link.process.is_some() {
                link.close_at_destination();
            }
        }
    }

    /// Advances the time in `ticks` equal steps.
    pub(super) fn advance(&mut self, duration: Duration, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + duration / ticks;
            for entry in 0..ENTRIES.len() {
                let steps = self.entries[entry].calls.on_tick(self.now);
                self.apply_entry_steps(entry, steps);
            }
            for destination in 0..UPSTREAMS.len() {
                let steps = self.destinations[destination].calls.on_tick(self.now);
                self.apply_destination_steps(destination, steps);
            }
        }
    }

    /// Delivers all messages of the links that are not held, and lets the upstreams answer.
    pub(super) fn settle(&mut self) {
        for _ in 0..20 {
            for id in self.links.keys().copied().collect::<Vec<_>>() {
                while !self.links[&id].is_held && !self.links[&id].requests.is_empty() {
                    self.deliver_request(id);
                }
                while !self.links[&id].is_held && !self.links[&id].answers.is_empty() {
                    self.deliver_answer(id);
                }
            }
            for destination in 0..UPSTREAMS.len() {
                self.finish(destination, 0);
            }
            self.advance(Duration::from_millis(100), 1);
        }
    }

    fn record(&mut self, line: String) {
        let millis = self.now.0 / 1_000;
        self.transcript.push(format!("{millis:>8} ms  {line}"));
    }
}

impl ModelLink {
    fn new(entry: usize, destination: usize) -> Self {
        ModelLink {
            entry,
            destination,
            process: None,
            is_open_at_entry: true,
            is_open_at_destination: true,
            is_held: false,
            is_blocked: false,
            outbox: VecDeque::new(),
            requests: VecDeque::new(),
            answers: VecDeque::new(),
        }
    }

    /// Writes what the socket accepts.
    fn write(&mut self) {
        if !self.is_blocked {
            let written = self.outbox.drain(..).map(|(body, _)| body);
            self.requests.extend(written);
        }
    }

    /// Closes the link at its destination. What was not read is lost.
    fn close_at_destination(&mut self) {
        self.is_open_at_destination = false;
        self.requests.clear();
    }

    fn describe(&self, body: &Body) -> String {
        describe(&QueuedMessage {
            from: ENTRIES[self.entry].to_owned(),
            to: UPSTREAMS[self.destination].to_owned(),
            body: body.clone(),
        })
    }
}

fn booking_endpoint() -> UpstreamEndpoint {
    UpstreamEndpoint {
        service: "booking".into(),
        ..endpoint()
    }
}
