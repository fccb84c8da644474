//! One simulated run of a policy in a scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatlock::admission::*;
use kumquatlock::core::*;
use kumquatlock::retry::*;
use kumquatlock::routing::*;
use kumquatlock_wire::call::{CallReason, LoadReport};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::PolicyArgs;
use super::model::*;

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

enum RunEvent {
    NextCall,
    Send(usize),
    DecideRetry(usize, AttemptFailure),
    Hedge(usize),
    Deadline(usize),
    Arrive(usize),
    Finish(usize),
    Response(usize, UpstreamOutcome, Option<LoadReport>),
    PollQueue(usize),
    HealthHints,
}

pub(crate) struct PolicyRun {
    policy: RequestPolicy,
    scenario: LoadScenario,
    rng: SmallRng,
    now: Timestamp,
    end: Timestamp,
    zone_lost_at: Timestamp,
    mean_gap_us: f64,
    events: BTreeMap<(Timestamp, u64), RunEvent>,
    last_event: u64,
    calls: Vec<ModelCall>,
    attempts: Vec<ModelAttempt>,
    upstreams: Vec<ModelUpstream>,
    entries: Vec<ModelEntry>,
    cross_region_attempts: u64,
    /// Answered calls by request class.
    pub(crate) answered_by_class: [u64; 4],
    latencies_us: Vec<u64>,
}

impl PolicyRun {
    pub(crate) fn new(
        args: &PolicyArgs,
        policy: RequestPolicy,
        (scenario, load): (LoadScenario, f64),
        seed: u64,
    ) -> Self {
        let service = new_service(args.upstreams);
        let zone_lost_at = START + Duration::from_millis(args.seconds * 300);
        let mut run = PolicyRun {
            policy,
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            end: START + Duration::from_secs(args.seconds),
            zone_lost_at: if scenario == LoadScenario::ZoneLoss {
                zone_lost_at
            } else {
                NEVER
            },
            mean_gap_us: MEAN_SERVICE_US / (args.upstreams as f64 * f64::from(SLOTS) * load),
            events: BTreeMap::new(),
            last_event: 0,
            calls: Vec::new(),
            attempts: Vec::new(),
            upstreams: (0..args.upstreams).map(|_| new_upstream()).collect(),
            entries: (0..args.entries)
                .map(|index| new_entry(index, &service))
                .collect(),
            cross_region_attempts: 0,
            answered_by_class: [0; 4],
            latencies_us: Vec::new(),
        };
        run.schedule(Duration::ZERO, RunEvent::NextCall);
        run.schedule(Duration::ZERO, RunEvent::HealthHints);
        while let Some(((time, _), event)) = run.events.pop_first() {
            run.now = time;
            run.handle(event);
        }
        run
    }

    fn schedule(&mut self, delay: Duration, event: RunEvent) {
        self.last_event += 1;
        self.events
            .insert((self.now + delay, self.last_event), event);
    }

    fn handle(&mut self, event: RunEvent) {
        match event {
            RunEvent::NextCall => self.start_call(),
            RunEvent::Send(call) => self.send_attempt(call),
            RunEvent::DecideRetry(call, failure) => self.decide_retry(call, failure),
            RunEvent::Hedge(call) => self.try_hedge(call),
            RunEvent::Deadline(call) => self.end_call(call, UpstreamOutcome::Lost),
            RunEvent::Arrive(attempt) => self.handle_arrival(attempt),
            RunEvent::Finish(attempt) => self.handle_finish(attempt),
            RunEvent::Response(attempt, outcome, load) => {
                self.handle_response(attempt, outcome, load)
            }
            RunEvent::PollQueue(upstream) => self.start_queued(upstream),
            RunEvent::HealthHints => self.apply_health_hints(),
        }
    }

    fn uses_kumquatlock(&self) -> bool {
        self.policy == RequestPolicy::Kumquatlock
    }

    fn is_in_lost_zone(&self, upstream: usize) -> bool {
        self.now >= self.zone_lost_at && upstream.is_multiple_of(ZONES)
    }

    fn random_exponential(&mut self, mean_us: f64) -> Duration {
        Duration::from_secs_f64(-mean_us * (1.0 - self.rng.random::<f64>()).ln() / 1e6)
    }

    fn start_call(&mut self) {
        let gap = self.random_exponential(self.mean_gap_us).as_nanos() as f64 / 1_000.0;
        // Timestamps are whole microseconds, so the gap is rounded up or down at random, and several
        // calls may have the same timestamp.
        let gap_us = gap as u64 + u64::from(self.rng.random_bool(gap.fract()));
        if self.now < self.end {
            self.schedule(Duration::from_micros(gap_us), RunEvent::NextCall);
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
            rank: 0,
            depth: 0,
            attempts: 0,
            arrived: 0,
            max_arrivals: None,
            deadline: self.now + timeout,
        };
        let entry = self.rng.random_range(0..self.entries.len());
        let (arrived, call) = (self.now, self.calls.len());
        let (tried_upstreams, open_attempts) = Default::default();
        self.calls.push(ModelCall {
            entry,
            arrived,
            progress,
            executions: 0,
            ended: false,
            tried_upstreams,
            open_attempts,
        });
        self.schedule(timeout, RunEvent::Deadline(call));
        self.entries[entry].budget.record_first_attempt(self.now);
        self.send_attempt(call);
        let delay = self.entries[entry]
            .hedge
            .delay(&progress)
            .filter(|_| self.uses_kumquatlock());
        delay
            .into_iter()
            .for_each(|delay| self.schedule(delay, RunEvent::Hedge(call)));
    }

    fn try_hedge(&mut self, index: usize) {
        let call = &self.calls[index];
        let entry = &mut self.entries[call.entry];
        let is_waiting = !call.ended && !call.open_attempts.is_empty();
        if is_waiting
            && entry
                .hedge
                .decide(self.now, &mut entry.budget, &call.progress)
                == HedgeDecision::Send
        {
            self.send_attempt(index);
        }
    }

    /// Chooses an upstream, or returns `None` if no upstream is available.
    fn choose(&mut self, index: usize) -> Option<(usize, Option<AttemptTicket>)> {
        let call = &mut self.calls[index];
        let entry = &mut self.entries[call.entry];
        let count = self.upstreams.len();
        match self.policy {
            RequestPolicy::RandomAll => Some((self.rng.random_range(0..count), None)),
            RequestPolicy::TurnsInRegion => {
                let is_in_region =
                    |position: usize| position % count % REGIONS == call.entry % REGIONS;
                entry.round_robin_position =
                    (entry.round_robin_position + 1..).find(|position| is_in_region(*position))?;
                Some((entry.round_robin_position % count, None))
            }
            RequestPolicy::Kumquatlock => {
                let mut choice =
                    entry
                        .balancer
                        .choose(self.now, &mut self.rng, &call.tried_upstreams, 0);
                if let UpstreamChoice::None(NoChoiceReason::AllExcluded) = choice {
                    call.tried_upstreams.clear();
                    choice = entry.balancer.choose(self.now, &mut self.rng, &[], 0);
                }
                let UpstreamChoice::Chosen(chosen) = choice else {
                    return None;
                };
                call.tried_upstreams.push(chosen.token);
                let ticket = entry.balancer.start_attempt(self.now, &chosen);
                Some((chosen.entry.name[4..].parse().ok()?, Some(ticket)))
            }
        }
    }

    fn send_attempt(&mut self, call: usize) {
        if self.calls[call].ended {
            return;
        }
        let Some((upstream, attempt_ticket)) = self.choose(call) else {
            return;
        };
        let (index, entry) = (self.attempts.len(), self.calls[call].entry);
        let outcome = (UpstreamOutcome::Answered, ServiceOutcome::Answered);
        self.attempts.push(ModelAttempt {
            call,
            upstream,
            attempt_ticket,
            admission: None,
            running: false,
            outcome,
        });
        self.calls[call].progress.attempts += 1;
        self.calls[call].open_attempts.push(index);
        self.cross_region_attempts += u64::from(upstream % REGIONS != entry % REGIONS);
        if !self.uses_kumquatlock() {
            self.schedule(
                BASELINE_RETRY_TIMEOUT,
                RunEvent::Response(index, UpstreamOutcome::Lost, None),
            );
        }
        if self.is_in_lost_zone(upstream) && self.now.since(self.zone_lost_at) > LINK_TIMEOUT {
            let event = RunEvent::Response(index, UpstreamOutcome::Unreachable, None);
            self.schedule(Duration::from_millis(1), event);
        } else {
            self.schedule(one_way_latency(entry, upstream), RunEvent::Arrive(index));
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let ModelAttempt { call, upstream, .. } = self.attempts[index];
        if self.is_in_lost_zone(upstream) || self.uses_kumquatlock() && self.calls[call].ended {
            return;
        }
        let target = &mut self.upstreams[upstream];
        let CallProgress {
            class, deadline, ..
        } = self.calls[call].progress;
        if self.policy != RequestPolicy::Kumquatlock {
            target.baseline_queue.push_back(index);
            return self.start_queued(upstream);
        }
        match target.queue.offer(self.now, class, deadline) {
            AdmissionDecision::Start(ticket) => self.start(index, Some(ticket)),
            AdmissionDecision::Queued { ticket, evicted } => {
                target.queued.insert(ticket, index);
                self.attempts[index].admission = Some(ticket);
                if let Some(evicted) = evicted {
                    self.apply_queue_step(
                        upstream,
                        QueueStep::Refuse(evicted, CallReason::Overloaded),
                    );
                }
                self.start_queued(upstream);
            }
            AdmissionDecision::Refused(reason) => {
                self.send_response(index, UpstreamOutcome::Refused(reason))
            }
        }
    }

    fn start(&mut self, index: usize, ticket: Option<AdmissionTicket>) {
        let ModelAttempt { call, upstream, .. } = self.attempts[index];
        let fault_role = if self.scenario == LoadScenario::Faulty {
            upstream
        } else {
            usize::MAX
        };
        self.upstreams[upstream].running += 1;
        let is_shed = fault_role == SHEDDING_UPSTREAM && self.upstreams[upstream].running > 4;
        let has_failed =
            is_shed || fault_role == FALSELY_HEALTHY_UPSTREAM && self.rng.random_bool(0.8);
        let mean_us = MEAN_SERVICE_US
            * if fault_role == SLOW_UPSTREAM {
                5.0
            } else if has_failed {
                0.05
            } else {
                1.0
            };
        let attempt = &mut self.attempts[index];
        (attempt.admission, attempt.running) = (ticket, true);
        if has_failed {
            attempt.outcome.0 = UpstreamOutcome::Failed;
        }
        if is_shed {
            attempt.outcome.1 = ServiceOutcome::Shed;
        }
        self.calls[call].executions += u32::from(!is_shed);
        let time = self.random_exponential(mean_us);
        self.schedule(time, RunEvent::Finish(index));
    }

    fn handle_finish(&mut self, index: usize) {
        let ModelAttempt {
            upstream, outcome, ..
        } = self.attempts[index];
        if !self.is_in_lost_zone(upstream) && self.attempts[index].running {
            self.send_response(index, outcome.0);
            self.free_slot(index, outcome.1);
        }
    }

    /// Frees the slot of an attempt that is running.
    fn free_slot(&mut self, index: usize, outcome: ServiceOutcome) {
        let ModelAttempt {
            upstream,
            admission,
            ..
        } = self.attempts[index];
        self.attempts[index].running = false;
        self.upstreams[upstream].running -= 1;
        if let Some(ticket) = admission {
            let step = self.upstreams[upstream]
                .queue
                .finished(self.now, ticket, outcome);
            self.apply_queue_step(upstream, step);
        }
        self.start_queued(upstream);
    }

    fn apply_queue_step(&mut self, upstream: usize, step: QueueStep) {
        let queued = &mut self.upstreams[upstream].queued;
        match step {
            QueueStep::Start(ticket) => {
                let index = queued
                    .remove(&ticket)
                    .expect("every queued ticket belongs to an attempt");
                self.start(index, Some(ticket));
            }
            QueueStep::Refuse(ticket, reason) => {
                let index = queued
                    .remove(&ticket)
                    .expect("every queued ticket belongs to an attempt");
                self.send_response(index, UpstreamOutcome::Refused(reason));
            }
            QueueStep::Idle => {}
        }
    }

    fn start_queued(&mut self, upstream: usize) {
        while !self.uses_kumquatlock() && self.upstreams[upstream].running < SLOTS {
            let Some(index) = self.upstreams[upstream].baseline_queue.pop_front() else {
                return;
            };
            self.start(index, None);
        }
        loop {
            let step = self.upstreams[upstream].queue.poll(self.now);
            if step == QueueStep::Idle {
                break;
            }
            self.apply_queue_step(upstream, step);
        }
        let target = &mut self.upstreams[upstream];
        let next = target.queue.next_wakeup(self.now);
        if let Some(wake) = next.filter(|wake| target.wake_at <= self.now || *wake < target.wake_at)
        {
            target.wake_at = wake;
            self.schedule(wake.since(self.now), RunEvent::PollQueue(upstream));
        }
    }

    fn send_response(&mut self, index: usize, outcome: UpstreamOutcome) {
        let ModelAttempt { call, upstream, .. } = self.attempts[index];
        let load = self.upstreams[upstream].queue.load();
        let delay = one_way_latency(self.calls[call].entry, upstream);
        self.schedule(delay, RunEvent::Response(index, outcome, Some(load)));
    }

    fn handle_response(
        &mut self,
        index: usize,
        outcome: UpstreamOutcome,
        load: Option<LoadReport>,
    ) {
        let call = &mut self.calls[self.attempts[index].call];
        let Some(position) = call.open_attempts.iter().position(|open| *open == index) else {
            return;
        };
        call.open_attempts.swap_remove(position);
        let entry = &mut self.entries[call.entry];
        if let Some(ticket) = self.attempts[index].attempt_ticket.take() {
            entry
                .balancer
                .finish_attempt(self.now, ticket, outcome, load);
        }
        let failure = match outcome {
            UpstreamOutcome::Answered => {
                let latency = self.now.since(call.arrived);
                entry.hedge.observe(latency);
                self.answered_by_class[call.progress.class as usize] += 1;
                if call.progress.class != RequestClass::Deferred {
                    self.latencies_us.push(latency.as_micros() as u64);
                }
                return self.end_call(self.attempts[index].call, UpstreamOutcome::Cancelled);
            }
            UpstreamOutcome::Refused(reason) => AttemptFailure::NotRun(reason),
            UpstreamOutcome::Unreachable => AttemptFailure::NotRun(CallReason::UpstreamUnreachable),
            UpstreamOutcome::Failed => AttemptFailure::Failed,
            _ => AttemptFailure::Unknown(CallReason::LinkLost),
        };
        if call.open_attempts.is_empty() {
            self.decide_retry(self.attempts[index].call, failure);
        }
    }

    fn decide_retry(&mut self, index: usize, failure: AttemptFailure) {
        if !self.uses_kumquatlock() {
            return self.schedule(Duration::from_micros(100), RunEvent::Send(index));
        }
        let call = &mut self.calls[index];
        let entry = &mut self.entries[call.entry];
        let (budget, expected_latency) = (&mut entry.budget, entry.hedge.expected_latency());
        let rng = &mut self.rng;
        match RetryPolicy::default().after_failure(
            self.now,
            rng,
            budget,
            &call.progress,
            failure,
            expected_latency,
        ) {
            RetryDecision::Retry { after } => self.schedule(after, RunEvent::Send(index)),
            RetryDecision::Postpone { after } => {
                self.schedule(after, RunEvent::DecideRetry(index, failure))
            }
            RetryDecision::GiveUp(_) => call.ended = true,
        }
    }

    /// Ends a call. With the policies of kumquatlock, also cancels its open attempts.
    fn end_call(&mut self, call: usize, outcome: UpstreamOutcome) {
        self.calls[call].ended = true;
        for index in std::mem::take(&mut self.calls[call].open_attempts) {
            let ModelAttempt {
                upstream,
                admission,
                running,
                ..
            } = self.attempts[index];
            let Some(ticket) = self.attempts[index].attempt_ticket.take() else {
                continue;
            };
            let entry = &mut self.entries[self.calls[call].entry];
            entry
                .balancer
                .finish_attempt(self.now, ticket, outcome, None);
            let Some(admitted) = admission else { continue };
            match self.upstreams[upstream].queue.cancel(admitted) {
                CancelOutcome::Dequeued => _ = self.upstreams[upstream].queued.remove(&admitted),
                CancelOutcome::Running if running => self.free_slot(index, ServiceOutcome::Ended),
                _ => {}
            }
        }
    }

    fn apply_health_hints(&mut self) {
        for entry in &mut self.entries {
            for upstream in 0..self.upstreams.len() {
                let is_falsely_unhealthy =
                    self.scenario == LoadScenario::Faulty && upstream == FALSELY_UNHEALTHY_UPSTREAM;
                let hint = if is_falsely_unhealthy {
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
            self.schedule(Duration::from_secs(1), RunEvent::HealthHints);
        }
    }

    pub(crate) fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Returns the values of [`COLUMNS`]: answered calls per second and as a fraction of all calls,
    /// p50 and p99 of the latency in ms without deferred calls, attempts per call, repeated
    /// executions per call, repeated executions of at-most-once calls, and the fraction of attempts
    /// that crossed regions.
    pub(crate) fn figures(&mut self, args: &PolicyArgs) -> [f64; COLUMNS.len()] {
        self.latencies_us.sort_unstable();
        let last = self.latencies_us.len() - 1;
        let quantile = |share: f64| self.latencies_us[(last as f64 * share) as usize] as f64 / 1e3;
        let answered = self.answered_by_class.iter().sum::<u64>() as f64;
        let (calls, attempts) = (self.calls.len() as f64, self.attempts.len() as f64);
        let repeated_executions = |call: &ModelCall| f64::from(call.executions.saturating_sub(1));
        let at_most_once_calls = self
            .calls
            .iter()
            .filter(|call| !call.progress.class.is_repeatable());
        [
            answered / args.seconds as f64,
            answered / calls,
            quantile(0.5),
            quantile(0.99),
            attempts / calls,
            self.calls.iter().map(repeated_executions).sum::<f64>() / calls,
            at_most_once_calls.map(repeated_executions).sum(),
            self.cross_region_attempts as f64 / attempts,
        ]
    }
}
