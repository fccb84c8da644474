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

use super::simulation::{
    UPSTREAMS, booking_request, endpoint, entry_location, final_status, snapshot_of, upstreams,
};
use crate::call::*;
use crate::claim::ClaimSettings;
use crate::core::*;
use crate::http::{HttpRequest, HttpResponse, UpstreamFailure};
use crate::transport::LinkId;

const ENTRIES: [&str; 2] = ["front-1", "front-2"];
/// How long callers wait, in milliseconds.
const TIMEOUTS_MS: [u64; 3] = [300, 4_000, 3_600_000];
/// Pauses in milliseconds. Three of the longest exceed the time for which a fence is kept.
const PAUSES_MS: [u64; 6] = [20, 20, 100, 500, 5_000, 2_000_000];
const NOT_EXECUTED_HEADER: &str = "not-executed";

/// What varies between the models.
#[derive(Clone, Copy)]
pub(super) struct ModelSettings {
    pub(super) seed: u64,
    pub(super) class: WireClass,
    pub(super) accepts_earlier_incarnations: bool,
    /// Number of attempts that a destination remembers.
    pub(super) max_keys: usize,
    /// Probability that an upstream refuses a request, that a destination refuses what it reads
    /// because its process was suspended, and that a socket accepts no bytes.
    pub(super) refusal_rate: f64,
}

/// A request of a caller.
#[derive(Default)]
pub(super) struct RequestRecord {
    /// Number of times that an upstream began to run it.
    pub(super) runs: usize,
    pub(super) answer: Option<CallerAnswer>,
}

/// A connection from an entry node to a destination node.
#[derive(Default)]
pub(super) struct ModelLink {
    entry: usize,
    pub(super) destination: usize,
    /// Process of the destination that accepted the connection. A proxy on the path may connect to
    /// the destination only when it passes the first message on.
    process: Option<u64>,
    is_closed_by_entry: bool,
    is_closed_by_destination: bool,
    /// Whether nothing passes in either direction for now.
    pub(super) is_held: bool,
    /// Messages of which the entry has written no byte, with their tickets. Once the socket accepts
    /// bytes again, they are written with the next message.
    unsent: VecDeque<(Body, Option<u64>)>,
    requests: VecDeque<Body>,
    answers: VecDeque<CallResponse>,
}

pub(super) struct ProofModel {
    settings: ModelSettings,
    random: SmallRng,
    now: Timestamp,
    entries: Vec<EntryCalls>,
    destinations: Vec<DestinationCalls>,
    /// Number of the process of each destination; a restart starts another one.
    processes: Vec<u64>,
    /// Requests that were passed to an upstream, and whether it began to run each.
    running: VecDeque<(usize, RunId, bool)>,
    pub(super) links: IndexMap<LinkId, ModelLink>,
    next_link: u64,
    /// Incarnation of each destination in the latest configuration.
    catalog: Vec<u64>,
    last_incarnation: u64,
    pub(super) requests: Vec<RequestRecord>,
    /// Request of each call, by its entry node.
    calls: IndexMap<(usize, CallId), usize>,
    /// Attempt that each outcome query asked for.
    queries: IndexMap<AttemptId, AttemptId>,
    /// Attempts that never run according to the answer to a query.
    fenced: IndexSet<AttemptId>,
    /// Number of proofs of each kind that reached an entry node, and of the fenced attempts that
    /// arrived.
    pub(super) proofs: IndexMap<&'static str, usize>,
    transcript: Vec<String>,
}

impl ProofModel {
    pub(super) fn new(settings: ModelSettings) -> Self {
        let mut model = ProofModel {
            settings,
            random: SmallRng::seed_from_u64(settings.seed),
            now: Timestamp::from_millis(1),
            entries: Vec::new(),
            destinations: Vec::new(),
            processes: vec![1; UPSTREAMS.len()],
            running: VecDeque::new(),
            links: IndexMap::new(),
            next_link: 1,
            catalog: vec![1; UPSTREAMS.len()],
            last_incarnation: 1,
            requests: Vec::new(),
            calls: IndexMap::new(),
            queries: IndexMap::new(),
            fenced: IndexSet::new(),
            proofs: IndexMap::new(),
            transcript: Vec::new(),
        };
        for entry in 0..ENTRIES.len() {
            let calls = model.new_entry(entry);
            model.entries.push(calls);
            model.configure(entry);
        }
        for index in 0..UPSTREAMS.len() {
            let calls = model.new_destination(index);
            model.destinations.push(calls);
        }
        model
    }

    fn new_entry(&mut self, entry: usize) -> EntryCalls {
        let random = SmallRng::seed_from_u64(self.random.random());
        let process = ProcessId(self.last_incarnation);
        EntryCalls::new(
            entry_location(ENTRIES[entry]),
            process,
            EntrySettings::new(64),
            random,
        )
    }

    fn new_destination(&self, index: usize) -> DestinationCalls {
        let claims = ClaimSettings {
            max_keys: self.settings.max_keys,
            ..ClaimSettings::default()
        };
        let incarnation = IncarnationId(self.catalog[index]);
        let mut calls = DestinationCalls::new(UPSTREAMS[index].into(), incarnation, claims);
        calls.set_header_names(HeaderNames {
            not_executed: Some(NOT_EXECUTED_HEADER),
            ..HeaderNames::default()
        });
        // No two processes of the model share an incarnation.
        calls.set_process(ProcessId(incarnation.0));
        if self.settings.accepts_earlier_incarnations {
            calls.accept_earlier_incarnations();
        }
        calls.on_announce(self.now, endpoint());
        calls
    }

    /// Passes an event to an entry node and carries out what it asks for.
    fn on_entry(
        &mut self,
        entry: usize,
        event: impl FnOnce(&mut EntryCalls, Timestamp) -> Vec<EntryStep>,
    ) {
        let steps = event(&mut self.entries[entry], self.now);
        for step in steps {
            match step {
                EntryStep::Send { to, body, ticket } => self.send(entry, &to.name, body, ticket),
                EntryStep::Answer { call, answer, .. } => {
                    let number = self.calls[&(entry, call)];
                    self.record(format!("request {number} ends: {answer:?}"));
                    self.requests[number].answer = Some(answer);
                }
            }
        }
    }

    /// Passes an event to a destination node and carries out what it asks for.
    fn on_destination(
        &mut self,
        destination: usize,
        event: impl FnOnce(&mut DestinationCalls, Timestamp) -> Vec<DestinationStep>,
    ) {
        let steps = event(&mut self.destinations[destination], self.now);
        for step in steps {
            match step {
                DestinationStep::Respond {
                    to: CallSource::Link(id),
                    response,
                } => self.respond(destination, id, response),
                DestinationStep::Run { run, request, .. } => self.run(destination, run, &request),
                _ => {}
            }
        }
    }

    /// Passes the latest configuration to an entry node.
    fn configure(&mut self, entry: usize) {
        let mut items = upstreams();
        for (item, incarnation) in items.iter_mut().zip(&self.catalog) {
            item.incarnation = *incarnation;
        }
        let snapshot = snapshot_of(self.last_incarnation, self.settings.class, items);
        self.on_entry(entry, |calls, now| {
            calls.on_snapshot(now, Arc::new(snapshot))
        });
    }

    /// Sends the request of a caller, and returns its number.
    pub(super) fn open(&mut self, entry: usize, timeout_ms: u64) -> usize {
        let number = self.requests.len();
        self.requests.push(RequestRecord::default());
        self.record(format!("{} opens request {number}", ENTRIES[entry]));
        let headers = vec![("Request-Timeout-Ms".to_owned(), timeout_ms.to_string())];
        let request = booking_request(headers, &number.to_string());
        let (call, steps) = self.entries[entry].open(self.now, request, LocalRuns::default());
        self.calls.insert((entry, call), number);
        self.on_entry(entry, |_, _| steps);
        number
    }

    /// Sends a message over the open link to a node; opens one if there is none.
    fn send(&mut self, entry: usize, to: &str, body: Body, ticket: Option<u64>) {
        if let Body::OutcomeQuery(query) = &body {
            let attempt = query.owner.attempt.clone();
            self.queries.insert(query.id.clone(), attempt);
        }
        let destination = UPSTREAMS.iter().position(|name| *name == to).unwrap();
        let ends = (entry, destination);
        let is_usable =
            |link: &ModelLink| !link.is_closed_by_entry && (link.entry, link.destination) == ends;
        let open = self.links.iter().find(|(_, link)| is_usable(link));
        let id = open.map_or(LinkId(self.next_link), |(id, _)| *id);
        self.next_link = self.next_link.max(id.0 + 1);
        let link = self.links.entry(id).or_default();
        (link.entry, link.destination) = ends;
        link.unsent.push_back((body, ticket));
        if !self.random.random_bool(self.settings.refusal_rate) {
            link.write();
        }
    }

    pub(super) fn newest_link(&self) -> LinkId {
        LinkId(self.next_link - 1)
    }

    /// Closes a link at its entry node, which has heard nothing on it or found it closed. What was
    /// written may still arrive.
    pub(super) fn close_at_entry(&mut self, id: LinkId) {
        let link = &mut self.links[&id];
        if std::mem::replace(&mut link.is_closed_by_entry, true) {
            return;
        }
        let (entry, destination) = (link.entry, link.destination);
        let unsent = std::mem::take(&mut link.unsent);
        self.record(format!("{} closes {id:?}", ENTRIES[entry]));
        let unsent = unsent.into_iter().filter_map(|(_, ticket)| ticket);
        let unsent: Vec<u64> = unsent.collect();
        unsent.iter().for_each(|_| self.count("unsent"));
        self.on_entry(entry, |calls, now| {
            let unsent = unsent.into_iter();
            let mut steps: Vec<_> = unsent
                .flat_map(|ticket| calls.on_unsent(now, ticket))
                .collect();
            steps.extend(calls.on_link_lost(now, UPSTREAMS[destination]));
            steps
        });
    }

    /// Delivers the next message of a link to the destination node.
    pub(super) fn deliver_request(&mut self, id: LinkId) {
        let link = &mut self.links[&id];
        if link.is_held {
            return;
        }
        let Some(body) = link.requests.pop_front() else {
            return;
        };
        let (entry, destination) = (link.entry, link.destination);
        link.process = Some(self.processes[destination]);
        let kind = match &body {
            Body::OutcomeQuery(_) => "query",
            body => body.kind().label(),
        };
        let (from, to) = (ENTRIES[entry], UPSTREAMS[destination]);
        self.record(format!("{id:?} {from} -> {to}: {kind}"));
        if matches!(&body, Body::Call(request) if self.fenced.contains(&request.id)) {
            self.count("late_attempt");
        }
        let is_frozen = self.random.random_bool(self.settings.refusal_rate);
        let source = CallSource::Link(id);
        self.on_destination(destination, |calls, now| match body {
            Body::Call(request) => calls.on_call(now, source, request, is_frozen),
            Body::Cancel(cancel) => calls.on_cancel(now, &cancel),
            Body::OutcomeQuery(query) => calls.on_query(now, source, query),
            _ => Vec::new(),
        });
    }

    /// Delivers the next answer of a link, or the news that the destination node has closed it.
    fn deliver_answer(&mut self, id: LinkId) {
        let link = &mut self.links[&id];
        if link.is_held || link.is_closed_by_entry {
            return;
        }
        let entry = link.entry;
        match link.answers.pop_front() {
            Some(response) => self.receive(entry, response),
            None if link.is_closed_by_destination => self.close_at_entry(id),
            None => {}
        }
    }

    fn receive(&mut self, entry: usize, response: CallResponse) {
        let outcome = CallOutcome::try_from(response.outcome).unwrap();
        let reason = CallReason::try_from(response.reason).unwrap();
        let asked = self.queries.get(&response.id).cloned();
        let proof = asked.as_ref().map_or(reason_label(reason), |_| "query");
        self.record(format!("{} hears {outcome:?} ({proof})", ENTRIES[entry]));
        let strays = self.entries[entry].counters().stray_answers;
        let steps = self.entries[entry].on_response(self.now, response);
        let is_used = self.entries[entry].counters().stray_answers == strays;
        if is_used && outcome == CallOutcome::NotRun {
            self.count(proof);
            self.fenced.extend(asked);
        }
        self.on_entry(entry, |_, _| steps);
    }

    fn respond(&mut self, destination: usize, id: LinkId, response: CallResponse) {
        let process = self.processes[destination];
        if let Some(link) = self.links.get_mut(&id)
            && link.process == Some(process)
            && !link.is_closed_by_destination
        {
            link.answers.push_back(response);
        }
    }

    fn run(&mut self, destination: usize, run: RunId, request: &HttpRequest) {
        let number: usize = std::str::from_utf8(&request.body).unwrap().parse().unwrap();
        let begins = !self.random.random_bool(self.settings.refusal_rate);
        let verb = if begins { "runs" } else { "refuses" };
        self.record(format!(
            "{} {verb} request {number}",
            UPSTREAMS[destination]
        ));
        self.requests[number].runs += usize::from(begins);
        self.running.push_back((destination, run, begins));
    }

    /// Ends the oldest exchange with an upstream. `variant` selects among the results that fit.
    pub(super) fn finish(&mut self, variant: usize) {
        let Some((destination, run, begins)) = self.running.pop_front() else {
            return;
        };
        let response = |status| HttpResponse {
            status: final_status(status),
            ..HttpResponse::default()
        };
        let result = match (begins, variant) {
            (true, 1) => Ok(response(503)),
            (true, 2) => Err(UpstreamFailure::Broken),
            (true, 3) => Err(UpstreamFailure::Timeout),
            (true, _) => Ok(response(200)),
            (false, 0) => Ok(response(503).with_header(NOT_EXECUTED_HEADER, "1")),
            (false, _) => Err(UpstreamFailure::Unreachable),
        };
        self.on_destination(destination, |calls, now| calls.on_result(now, run, result));
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
        self.on_destination(destination, |calls, now| {
            let mut steps = calls.set_incarnation(now, incarnation);
            steps.extend(calls.on_announce(now, endpoint()));
            steps
        });
    }

    fn drain_upstream(&mut self, destination: usize) {
        self.on_destination(destination, |calls, now| calls.drain_upstream(now));
    }

    /// Ends a destination process and starts another one, which gets what is held for it on links
    /// that no process has accepted.
    pub(super) fn restart_destination(&mut self, destination: usize) {
        self.record(format!("{} restarts", UPSTREAMS[destination]));
        self.raise_incarnation(destination);
        self.destinations[destination] = self.new_destination(destination);
        self.processes[destination] += 1;
        self.running.retain(|(owner, ..)| *owner != destination);
        for link in self.links.values_mut() {
            if link.destination == destination && link.process.is_some() {
                link.close_at_destination();
            }
        }
    }

    /// Ends an entry process, whose callers get no answer, and starts another one.
    fn restart_entry(&mut self, entry: usize) {
        self.record(format!("{} restarts", ENTRIES[entry]));
        self.last_incarnation += 1;
        self.entries[entry] = self.new_entry(entry);
        self.configure(entry);
        for link in self.links.values_mut().filter(|link| link.entry == entry) {
            link.is_closed_by_entry = true;
            link.unsent.clear();
        }
    }

    /// Advances the time in four equal steps.
    pub(super) fn advance(&mut self, millis: u64) {
        for _ in 0..4 {
            self.now = self.now + Duration::from_millis(millis) / 4;
            for entry in 0..ENTRIES.len() {
                self.on_entry(entry, EntryCalls::on_tick);
            }
            for destination in 0..UPSTREAMS.len() {
                self.on_destination(destination, DestinationCalls::on_tick);
            }
        }
    }

    /// Delivers all messages of the links that are not held, and lets the upstreams answer.
    pub(super) fn settle(&mut self) {
        for _ in 0..40 {
            for id in self.links.keys().copied().collect::<Vec<_>>() {
                for _ in 0..self.links[&id].requests.len() {
                    self.deliver_request(id);
                }
                for _ in 0..=self.links[&id].answers.len() {
                    self.deliver_answer(id);
                }
            }
            for _ in 0..self.running.len() {
                self.finish(0);
            }
            self.advance(100);
        }
    }

    /// Delivers everything that is held, and refuses none of it.
    pub(super) fn release_all(&mut self) {
        self.settings.refusal_rate = 0.0;
        for link in self.links.values_mut() {
            link.is_held = false;
            link.write();
        }
        self.settle();
    }

    /// Lets something happen that the generator chooses.
    pub(super) fn step(&mut self) {
        let entry = self.random.random_range(0..ENTRIES.len());
        let destination = self.random.random_range(0..UPSTREAMS.len());
        let variant = self.random.random_range(0..12);
        let links = self.links.len().max(1);
        // Newer links are chosen more often, because most messages pass over them.
        let link = self.random.random_range(0..links);
        let link = link.max(self.random.random_range(0..links));
        let link = self.links.get_index(link).map(|(id, _)| *id);
        match (self.random.random_range(0..100), link) {
            (0..8, _) => _ = self.open(entry, TIMEOUTS_MS[variant % 3]),
            (8..13, _) => self.finish(variant),
            (13..16, _) => self.advance(PAUSES_MS[variant % 6]),
            (16, _) => self.raise_incarnation(destination),
            (17..19, _) => self.adopt_incarnation(destination),
            (19, _) => self.restart_destination(destination),
            (20, _) => self.restart_entry(entry),
            (21..27, _) => self.configure(entry),
            (27, _) => self.drain_upstream(destination),
            (28..33, Some(id)) => {
                self.links[&id].is_held |= variant % 2 == 0;
                self.close_at_entry(id);
            }
            (33, Some(id)) => self.links[&id].close_at_destination(),
            (34..38, Some(id)) => self.links[&id].is_held ^= true,
            (38..70, Some(id)) => self.deliver_request(id),
            (70.., Some(id)) => self.deliver_answer(id),
            _ => {}
        }
        let is_in_use = |link: &ModelLink| !link.is_closed_by_entry || !link.requests.is_empty();
        self.links.retain(|_, link| is_in_use(link));
    }

    /// Checks that no request was reported as not run although it ran, and that none has run twice
    /// unless it may be repeated.
    pub(super) fn check(&self) {
        let is_repeatable = self.settings.class == WireClass::Lookup;
        for (number, request) in self.requests.iter().enumerate() {
            let max_runs = match request.answer {
                Some(CallerAnswer::NotRun(_)) => 0,
                _ if is_repeatable => usize::MAX,
                _ => 1,
            };
            assert!(
                request.runs <= max_runs,
                "request {number} ran {} times, seed {}: {:#?}",
                request.runs,
                self.settings.seed,
                self.transcript
            );
        }
    }

    fn count(&mut self, proof: &'static str) {
        *self.proofs.entry(proof).or_default() += 1;
    }

    fn record(&mut self, line: String) {
        let millis = self.now.0 / 1_000;
        self.transcript.push(format!("{millis:>8} ms  {line}"));
    }
}

impl ModelLink {
    /// Writes all messages. What the destination doesn't read any more is lost.
    fn write(&mut self) {
        let written = self.unsent.drain(..).map(|(body, _)| body);
        self.requests.extend(written);
        if self.is_closed_by_destination {
            self.requests.clear();
        }
    }

    fn close_at_destination(&mut self) {
        self.is_closed_by_destination = true;
        self.requests.clear();
    }
}
