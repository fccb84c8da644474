//! One run of a policy in a scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatlock::admission::*;
use kumquatlock::core::*;
use kumquatlock::retry::*;
use kumquatlock::routing::*;
use kumquatlock_wire::call::{CallReason, LoadReport};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::PolicyArgs;
use super::standin::*;

pub(crate) const COLUMNS: [&str; 8] = [
    "goodput",
    "good",
    "p50_ms",
    "p99_ms",
    "attempts",
    "doubled",
    "once_broken",
    "cross",
];

enum Event {
    NextCall,
    Send(usize),
    Ask(usize, AttemptFailure),
    Hedge(usize),
    Deadline(usize),
    Arrive(usize),
    Done(usize),
    Answer(usize, UpstreamOutcome, Option<LoadReport>),
    Poll(usize),
    Hints,
}

pub(crate) struct Run {
    policy: Policy,
    scenario: Scenario,
    rng: SmallRng,
    now: Timestamp,
    end: Timestamp,
    lost_at: Timestamp,
    gap_us: f64,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
    cross: u64,
    pub(crate) good: [u64; 4],
    latencies_us: Vec<u64>,
}

impl Run {
    pub(crate) fn new(
        args: &PolicyArgs,
        policy: Policy,
        (scenario, load): (Scenario, f64),
        seed: u64,
    ) -> Self {
        let service = service(args.upstreams);
        let lost_at = START + Duration::from_millis(args.seconds * 300);
        let mut run = Run {
            policy,
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            end: START + Duration::from_secs(args.seconds),
            lost_at: if scenario == Scenario::ZoneLoss {
                lost_at
            } else {
                NEVER
            },
            gap_us: SERVICE_US / (args.upstreams as f64 * f64::from(SLOTS) * load),
            events: BTreeMap::new(),
            next_event: 0,
            calls: Vec::new(),
            attempts: Vec::new(),
            upstreams: (0..args.upstreams).map(|_| upstream()).collect(),
            entries: (0..args.entries)
                .map(|index| entry(index, &service))
                .collect(),
            cross: 0,
            good: [0; 4],
            latencies_us: Vec::new(),
        };
        run.after(Duration::ZERO, Event::NextCall);
        run.after(Duration::ZERO, Event::Hints);
        while let Some(((time, _), event)) = run.events.pop_first() {
            run.now = time;
            run.handle(event);
        }
        run
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + delay, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextCall => self.next_call(),
            Event::Send(call) => self.send(call),
            Event::Ask(call, failure) => self.retry(call, failure),
            Event::Hedge(call) => self.hedge(call),
            Event::Deadline(call) => self.close(call, UpstreamOutcome::Lost),
            Event::Arrive(attempt) => self.arrive(attempt),
            Event::Done(attempt) => self.done(attempt),
            Event::Answer(attempt, outcome, load) => self.answer(attempt, outcome, load),
            Event::Poll(upstream) => self.pump(upstream),
            Event::Hints => self.hints(),
        }
    }

    fn is_ours(&self) -> bool {
        self.policy == Policy::Kumquatlock
    }

    fn is_lost(&self, upstream: usize) -> bool {
        self.now >= self.lost_at && upstream.is_multiple_of(ZONES)
    }

    fn exponential(&mut self, mean_us: f64) -> Duration {
        Duration::from_secs_f64(-mean_us * (1.0 - self.rng.random::<f64>()).ln() / 1e6)
    }

    fn next_call(&mut self) {
        let gap = self.exponential(self.gap_us).as_nanos() as f64 / 1_000.0;
        // Timestamps have whole microseconds, so several calls may share one.
        let whole = gap as u64 + u64::from(self.rng.random_bool(gap.fract()));
        if self.now < self.end {
            self.after(Duration::from_micros(whole), Event::NextCall);
        }
        let (class, timeout_ms) = match self.rng.random_range(0..100) {
            0..70 => (RequestClass::Lookup, 1_000),
            70..90 => (RequestClass::AtMostOnce, 1_000),
            90..95 => (RequestClass::Internal, 300),
            _ => (RequestClass::Deferred, 30_000),
        };
        let timeout = Duration::from_millis(timeout_ms);
        let progress = CallProgress {
            class,
            depth: 0,
            attempts: 0,
            arrived: 0,
            max_arrivals: None,
            deadline: self.now + timeout,
        };
        let entry = self.rng.random_range(0..self.entries.len());
        let (arrived, call) = (self.now, self.calls.len());
        let (tried, open) = Default::default();
        self.calls.push(Call {
            entry,
            arrived,
            progress,
            executions: 0,
            closed: false,
            tried,
            open,
        });
        self.after(timeout, Event::Deadline(call));
        self.entries[entry].budget.record_first_attempt(self.now);
        self.send(call);
        let delay = self.entries[entry]
            .hedge
            .delay(&progress)
            .filter(|_| self.is_ours());
        delay
            .into_iter()
            .for_each(|delay| self.after(delay, Event::Hedge(call)));
    }

    fn hedge(&mut self, index: usize) {
        let call = &self.calls[index];
        let entry = &mut self.entries[call.entry];
        let waits = !call.closed && !call.open.is_empty();
        if waits
            && entry
                .hedge
                .decide(self.now, &mut entry.budget, &call.progress)
                == HedgeDecision::Send
        {
            self.send(index);
        }
    }

    /// Chooses an upstream; none if there is nowhere to send.
    fn choose(&mut self, index: usize) -> Option<(usize, Option<AttemptTicket>)> {
        let call = &mut self.calls[index];
        let entry = &mut self.entries[call.entry];
        let count = self.upstreams.len();
        match self.policy {
            Policy::RandomAll => Some((self.rng.random_range(0..count), None)),
            Policy::TurnsInRegion => {
                let mine = |turn: usize| turn % count % REGIONS == call.entry % REGIONS;
                entry.turn = (entry.turn + 1..).find(|turn| mine(*turn))?;
                Some((entry.turn % count, None))
            }
            Policy::Kumquatlock => {
                let mut choice = entry.balancer.choose(self.now, &mut self.rng, &call.tried);
                if let UpstreamChoice::None(NoChoiceReason::AllExcluded) = choice {
                    call.tried.clear();
                    choice = entry.balancer.choose(self.now, &mut self.rng, &[]);
                }
                let UpstreamChoice::Chosen(chosen) = choice else {
                    return None;
                };
                call.tried.push(chosen.token);
                let ticket = entry.balancer.start_attempt(self.now, &chosen);
                Some((chosen.entry.name[4..].parse().ok()?, Some(ticket)))
            }
        }
    }

    fn send(&mut self, call: usize) {
        if self.calls[call].closed {
            return;
        }
        let Some((upstream, ticket)) = self.choose(call) else {
            return;
        };
        let (index, home) = (self.attempts.len(), self.calls[call].entry);
        let outcome = (UpstreamOutcome::Answered, ServiceOutcome::Answered);
        self.attempts.push(Attempt {
            call,
            upstream,
            ticket,
            admitted: None,
            running: false,
            outcome,
        });
        self.calls[call].progress.attempts += 1;
        self.calls[call].open.push(index);
        self.cross += u64::from(upstream % REGIONS != home % REGIONS);
        if !self.is_ours() {
            self.after(
                BASELINE_SILENCE,
                Event::Answer(index, UpstreamOutcome::Lost, None),
            );
        }
        if self.is_lost(upstream) && self.now.since(self.lost_at) > LINK_SILENCE {
            let event = Event::Answer(index, UpstreamOutcome::Unreachable, None);
            self.after(Duration::from_millis(1), event);
        } else {
            self.after(one_way(home, upstream), Event::Arrive(index));
        }
    }

    fn arrive(&mut self, index: usize) {
        let Attempt { call, upstream, .. } = self.attempts[index];
        if self.is_lost(upstream) || self.is_ours() && self.calls[call].closed {
            return;
        }
        let target = &mut self.upstreams[upstream];
        let CallProgress {
            class, deadline, ..
        } = self.calls[call].progress;
        if self.policy != Policy::Kumquatlock {
            target.fifo.push_back(index);
            return self.pump(upstream);
        }
        match target.queue.offer(self.now, class, deadline) {
            AdmissionDecision::Start(ticket) => self.start(index, Some(ticket)),
            AdmissionDecision::Queued { ticket, evicted } => {
                target.held.insert(ticket, index);
                self.attempts[index].admitted = Some(ticket);
                if let Some(evicted) = evicted {
                    self.carry_out(upstream, QueueStep::Refuse(evicted, CallReason::Overloaded));
                }
                self.pump(upstream);
            }
            AdmissionDecision::Refused(reason) => {
                self.reply(index, UpstreamOutcome::Refused(reason))
            }
        }
    }

    fn start(&mut self, index: usize, ticket: Option<AdmissionTicket>) {
        let Attempt { call, upstream, .. } = self.attempts[index];
        let role = if self.scenario == Scenario::Faulty {
            upstream
        } else {
            usize::MAX
        };
        self.upstreams[upstream].running += 1;
        let shed = role == SHEDS && self.upstreams[upstream].running > 4;
        let failed = shed || role == LIES_WELL && self.rng.random_bool(0.8);
        let mean_us = SERVICE_US
            * if role == SLOW {
                5.0
            } else if failed {
                0.05
            } else {
                1.0
            };
        let attempt = &mut self.attempts[index];
        (attempt.admitted, attempt.running) = (ticket, true);
        if failed {
            attempt.outcome.0 = UpstreamOutcome::Failed;
        }
        if shed {
            attempt.outcome.1 = ServiceOutcome::Shed;
        }
        self.calls[call].executions += u32::from(!shed);
        let time = self.exponential(mean_us);
        self.after(time, Event::Done(index));
    }

    fn done(&mut self, index: usize) {
        let Attempt {
            upstream, outcome, ..
        } = self.attempts[index];
        if !self.is_lost(upstream) && self.attempts[index].running {
            self.reply(index, outcome.0);
            self.free(index, outcome.1);
        }
    }

    /// Frees the slot of a running attempt.
    fn free(&mut self, index: usize, outcome: ServiceOutcome) {
        let Attempt {
            upstream, admitted, ..
        } = self.attempts[index];
        self.attempts[index].running = false;
        self.upstreams[upstream].running -= 1;
        if let Some(ticket) = admitted {
            let step = self.upstreams[upstream]
                .queue
                .finished(self.now, ticket, outcome);
            self.carry_out(upstream, step);
        }
        self.pump(upstream);
    }

    fn carry_out(&mut self, upstream: usize, step: QueueStep) {
        let held = &mut self.upstreams[upstream].held;
        match step {
            QueueStep::Start(ticket) => {
                let index = held.remove(&ticket).expect("queued work is held");
                self.start(index, Some(ticket));
            }
            QueueStep::Refuse(ticket, reason) => {
                let index = held.remove(&ticket).expect("queued work is held");
                self.reply(index, UpstreamOutcome::Refused(reason));
            }
            QueueStep::Idle => {}
        }
    }

    fn pump(&mut self, upstream: usize) {
        while !self.is_ours() && self.upstreams[upstream].running < SLOTS {
            let Some(index) = self.upstreams[upstream].fifo.pop_front() else {
                return;
            };
            self.start(index, None);
        }
        loop {
            let step = self.upstreams[upstream].queue.poll(self.now);
            if step == QueueStep::Idle {
                break;
            }
            self.carry_out(upstream, step);
        }
        let target = &mut self.upstreams[upstream];
        let next = target.queue.next_wakeup(self.now);
        if let Some(wake) = next.filter(|wake| target.wake_at <= self.now || *wake < target.wake_at)
        {
            target.wake_at = wake;
            self.after(wake.since(self.now), Event::Poll(upstream));
        }
    }

    fn reply(&mut self, index: usize, outcome: UpstreamOutcome) {
        let Attempt { call, upstream, .. } = self.attempts[index];
        let load = self.upstreams[upstream].queue.load();
        let delay = one_way(self.calls[call].entry, upstream);
        self.after(delay, Event::Answer(index, outcome, Some(load)));
    }

    fn answer(&mut self, index: usize, outcome: UpstreamOutcome, load: Option<LoadReport>) {
        let call = &mut self.calls[self.attempts[index].call];
        let Some(place) = call.open.iter().position(|open| *open == index) else {
            return;
        };
        call.open.swap_remove(place);
        let entry = &mut self.entries[call.entry];
        if let Some(ticket) = self.attempts[index].ticket.take() {
            entry
                .balancer
                .finish_attempt(self.now, ticket, outcome, load);
        }
        let failure = match outcome {
            UpstreamOutcome::Answered => {
                let latency = self.now.since(call.arrived);
                entry.hedge.observe(latency);
                self.good[call.progress.class as usize] += 1;
                if call.progress.class != RequestClass::Deferred {
                    self.latencies_us.push(latency.as_micros() as u64);
                }
                return self.close(self.attempts[index].call, UpstreamOutcome::Cancelled);
            }
            UpstreamOutcome::Refused(reason) => AttemptFailure::NotRun(reason),
            UpstreamOutcome::Unreachable => AttemptFailure::NotRun(CallReason::UpstreamUnreachable),
            UpstreamOutcome::Failed => AttemptFailure::Failed,
            _ => AttemptFailure::Unknown(CallReason::LinkLost),
        };
        if call.open.is_empty() {
            self.retry(self.attempts[index].call, failure);
        }
    }

    fn retry(&mut self, index: usize, failure: AttemptFailure) {
        if !self.is_ours() {
            return self.after(Duration::from_micros(100), Event::Send(index));
        }
        let call = &mut self.calls[index];
        let entry = &mut self.entries[call.entry];
        let (budget, usual) = (&mut entry.budget, entry.hedge.expected_latency());
        let rng = &mut self.rng;
        match RetryPolicy::default().after_failure(
            self.now,
            rng,
            budget,
            &call.progress,
            failure,
            usual,
        ) {
            RetryDecision::Retry { after } => self.after(after, Event::Send(index)),
            RetryDecision::Postpone { after } => self.after(after, Event::Ask(index, failure)),
            RetryDecision::GiveUp(_) => call.closed = true,
        }
    }

    /// Ends a call and, with the policies, withdraws what is open.
    fn close(&mut self, call: usize, outcome: UpstreamOutcome) {
        self.calls[call].closed = true;
        for index in std::mem::take(&mut self.calls[call].open) {
            let Attempt {
                upstream,
                admitted,
                running,
                ..
            } = self.attempts[index];
            let Some(ticket) = self.attempts[index].ticket.take() else {
                continue;
            };
            let entry = &mut self.entries[self.calls[call].entry];
            entry
                .balancer
                .finish_attempt(self.now, ticket, outcome, None);
            let Some(admitted) = admitted else { continue };
            match self.upstreams[upstream].queue.cancel(admitted) {
                CancelOutcome::Dequeued => _ = self.upstreams[upstream].held.remove(&admitted),
                CancelOutcome::Running if running => self.free(index, ServiceOutcome::Ended),
                _ => {}
            }
        }
    }

    fn hints(&mut self) {
        for entry in &mut self.entries {
            for upstream in 0..self.upstreams.len() {
                let sick = self.scenario == Scenario::Faulty && upstream == LIES_SICK;
                let hint = if sick {
                    HealthHint::Unhealthy
                } else {
                    HealthHint::Healthy
                };
                entry
                    .balancer
                    .apply_hint(self.now, &format!("svc-{upstream:05}"), hint);
            }
        }
        if self.now < self.end {
            self.after(Duration::from_secs(1), Event::Hints);
        }
    }

    pub(crate) fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Goodput per second and as a share, p50 and p99 in ms without deferred calls, attempts and doubled executions per
    /// call, at-most-once calls that ran twice, and the cross-region share of the attempts.
    pub(crate) fn figures(&mut self, args: &PolicyArgs) -> [f64; COLUMNS.len()] {
        self.latencies_us.sort_unstable();
        let last = self.latencies_us.len() - 1;
        let quantile = |share: f64| self.latencies_us[(last as f64 * share) as usize] as f64 / 1e3;
        let good = self.good.iter().sum::<u64>() as f64;
        let (calls, attempts) = (self.calls.len() as f64, self.attempts.len() as f64);
        let again = |call: &Call| f64::from(call.executions.saturating_sub(1));
        let once = self
            .calls
            .iter()
            .filter(|call| !call.progress.class.is_repeatable());
        [
            good / args.seconds as f64,
            good / calls,
            quantile(0.5),
            quantile(0.99),
            attempts / calls,
            self.calls.iter().map(again).sum::<f64>() / calls,
            once.map(again).sum(),
            self.cross as f64 / attempts,
        ]
    }
}
