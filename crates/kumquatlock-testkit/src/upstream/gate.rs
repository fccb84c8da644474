//! Admission of requests to slots, and the state that the health and load endpoints report.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::faults::{ReportMode, ResponseFault};
use super::options::{ColdSpan, ColdStart, UpstreamOptions};

/// Maximum number of past states kept for [`ReportMode::Delayed`]. Above it the oldest state is
/// dropped, and a longer delay reports the oldest remaining state.
const MAX_PAST_STATES: usize = 65_536;

/// Reason why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GateRefusal {
    /// All slots are taken.
    Shed,
    /// The upstream is draining and admits no new requests.
    Draining,
}

/// State that the health and load endpoints report.
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
    /// Number of requests that the fault still applies to; `None` means all requests.
    remaining_faults: Option<u64>,
    report_mode: ReportMode,
    rng: SmallRng,
    past_states: VecDeque<(Instant, GateReport)>,
}

/// A taken slot, with the service time and the fault of its request. Dropping it frees the slot.
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
        state.record_state();
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
            remaining_faults: None,
            report_mode: ReportMode::Actual,
            rng: SmallRng::seed_from_u64(options.seed),
            past_states: VecDeque::new(),
        };
        state.record_state();
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
        state.record_state();
        Ok(SlotPermit {
            gate: self,
            service_time,
            fault: state.take_fault(),
        })
    }

    fn next_service_time(&self, state: &mut GateState) -> Duration {
        let mut service_time = state.service_time;
        if !self.jitter.is_zero() {
            // Adds a uniformly distributed value between -jitter and +jitter; the result is never
            // below zero.
            let offset = self.jitter.mul_f64(state.rng.random_range(0.0..2.0));
            service_time = (service_time + offset).saturating_sub(self.jitter);
        }
        match self.cold_start {
            Some(cold_start) if self.is_cold(cold_start.span, state) => {
                service_time.mul_f64(cold_start.slowdown)
            }
            _ => service_time,
        }
    }

    fn is_cold(&self, span: ColdSpan, state: &GateState) -> bool {
        match span {
            ColdSpan::Time(duration) => self.started.elapsed() < duration,
            ColdSpan::Requests(count) => state.admitted < count,
        }
    }

    pub(super) fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    pub(super) fn set_fault(&self, fault: ResponseFault, count: Option<u64>) {
        let mut state = self.lock();
        state.fault = fault;
        state.remaining_faults = count;
    }

    pub(super) fn set_report_mode(&self, mode: ReportMode) {
        self.lock().report_mode = mode;
    }

    pub(super) fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    pub(super) fn set_draining(&self) {
        let mut state = self.lock();
        state.draining = true;
        state.record_state();
    }

    pub(super) fn wait_idle(&self, timeout: Duration) -> bool {
        let state = self.lock();
        let is_busy = |state: &mut GateState| state.in_flight > 0;
        let waited = self.idle.wait_timeout_while(state, timeout, is_busy);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.in_flight == 0
    }

    /// Returns the state according to the report mode.
    pub(super) fn report(&self) -> GateReport {
        let state = self.lock();
        match state.report_mode {
            ReportMode::Actual => state.report(),
            ReportMode::Delayed(delay) => state.report_delayed_by(delay),
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

    fn report_delayed_by(&self, delay: Duration) -> GateReport {
        let mut newest_first = self.past_states.iter().rev();
        newest_first
            .find(|(since, _)| since.elapsed() >= delay)
            .or(self.past_states.front())
            .map_or_else(|| self.report(), |(_, report)| *report)
    }

    fn record_state(&mut self) {
        if self.past_states.len() == MAX_PAST_STATES {
            self.past_states.pop_front();
        }
        self.past_states.push_back((Instant::now(), self.report()));
    }

    fn take_fault(&mut self) -> ResponseFault {
        match &mut self.remaining_faults {
            None => self.fault,
            Some(0) => ResponseFault::None,
            Some(remaining) => {
                *remaining -= 1;
                self.fault
            }
        }
    }
}
