//! Slots, service time, drain and what the health and load endpoints report.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::faults::{ReportMode, ResponseFault};
use super::options::{ColdSpan, ColdStart, UpstreamOptions};

/// Bound on the states that a lagging report can look back at. When it is reached, the oldest is
/// forgotten and a longer lag reports the oldest one left.
const MAX_PAST_STATES: usize = 65_536;

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GateRefusal {
    /// All slots are taken.
    Shed,
    /// The upstream takes no new work.
    Draining,
}

/// What an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GateReport {
    pub(super) healthy: bool,
    pub(super) in_flight: usize,
}

#[derive(Debug)]
pub(super) struct SlotGate {
    slots: usize,
    started: Instant,
    cold_start: Option<ColdStart>,
    jitter: Duration,
    state: Mutex<GateState>,
    idle: Condvar,
}

#[derive(Debug)]
struct GateState {
    in_flight: usize,
    admitted: u64,
    draining: bool,
    service_time: Duration,
    fault: ResponseFault,
    /// Requests that the fault still applies to; none means all.
    faults_left: Option<u64>,
    hints: ReportMode,
    generator: SmallRng,
    past: VecDeque<(Instant, GateReport)>,
}

/// A taken slot with what was decided for its request.
#[derive(Debug)]
pub(super) struct SlotPermit<'a> {
    gate: &'a SlotGate,
    pub(super) service_time: Duration,
    pub(super) fault: ResponseFault,
}

impl Drop for SlotPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.in_flight -= 1;
        state.remember();
        if state.in_flight == 0 {
            self.gate.idle.notify_all();
        }
    }
}

impl SlotGate {
    pub(super) fn new(options: &UpstreamOptions) -> Self {
        let mut state = GateState {
            in_flight: 0,
            admitted: 0,
            draining: false,
            service_time: options.service_time,
            fault: ResponseFault::None,
            faults_left: None,
            hints: ReportMode::Actual,
            generator: SmallRng::seed_from_u64(options.seed),
            past: VecDeque::new(),
        };
        state.remember();
        SlotGate {
            slots: options.slots,
            started: Instant::now(),
            cold_start: options.cold_start,
            jitter: options.jitter,
            state: Mutex::new(state),
            idle: Condvar::new(),
        }
    }

    pub(super) fn admit(&self) -> Result<SlotPermit<'_>, GateRefusal> {
        let mut state = self.lock();
        if state.draining {
            return Err(GateRefusal::Draining);
        }
        if state.in_flight >= self.slots {
            return Err(GateRefusal::Shed);
        }
        state.in_flight += 1;
        let service_time = self.next_service_time(&mut state);
        state.admitted += 1;
        state.remember();
        Ok(SlotPermit {
            gate: self,
            service_time,
            fault: state.take_fault(),
        })
    }

    fn next_service_time(&self, state: &mut GateState) -> Duration {
        let mut service_time = state.service_time;
        if !self.jitter.is_zero() {
            // Even between -jitter and +jitter, and never below zero.
            let shift = self.jitter.mul_f64(state.generator.random_range(0.0..2.0));
            service_time = (service_time + shift).saturating_sub(self.jitter);
        }
        match self.cold_start {
            Some(cold) if self.is_cold(cold.span, state) => service_time.mul_f64(cold.slowdown),
            _ => service_time,
        }
    }

    fn is_cold(&self, span: ColdSpan, state: &GateState) -> bool {
        match span {
            ColdSpan::Time(time) => self.started.elapsed() < time,
            ColdSpan::Requests(count) => state.admitted < count,
        }
    }

    pub(super) fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    pub(super) fn set_fault(&self, fault: ResponseFault, count: Option<u64>) {
        let mut state = self.lock();
        state.fault = fault;
        state.faults_left = count;
    }

    pub(super) fn set_report_mode(&self, mode: ReportMode) {
        self.lock().hints = mode;
    }

    pub(super) fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    pub(super) fn set_draining(&self) {
        let mut state = self.lock();
        state.draining = true;
        state.remember();
    }

    pub(super) fn wait_idle(&self, timeout: Duration) -> bool {
        let state = self.lock();
        let is_busy = |state: &mut GateState| state.in_flight > 0;
        let waited = self.idle.wait_timeout_while(state, timeout, is_busy);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.in_flight == 0
    }

    /// The state as the hint mode shows it.
    pub(super) fn report(&self) -> GateReport {
        let state = self.lock();
        match state.hints {
            ReportMode::Actual => state.report(),
            ReportMode::Delayed(lag) => state.report_before(lag),
            ReportMode::Fixed { healthy, in_flight } => GateReport { healthy, in_flight },
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn report(&self) -> GateReport {
        GateReport {
            healthy: !self.draining,
            in_flight: self.in_flight,
        }
    }

    fn report_before(&self, lag: Duration) -> GateReport {
        let mut newest_first = self.past.iter().rev();
        newest_first
            .find(|(since, _)| since.elapsed() >= lag)
            .or(self.past.front())
            .map_or_else(|| self.report(), |(_, report)| *report)
    }

    fn remember(&mut self) {
        if self.past.len() == MAX_PAST_STATES {
            self.past.pop_front();
        }
        self.past.push_back((Instant::now(), self.report()));
    }

    fn take_fault(&mut self) -> ResponseFault {
        match &mut self.faults_left {
            None => self.fault,
            Some(0) => ResponseFault::None,
            Some(left) => {
                *left -= 1;
                self.fault
            }
        }
    }
}
