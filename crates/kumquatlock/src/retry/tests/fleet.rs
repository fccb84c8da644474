//! Load pattern: two services that call each other reject a share of what arrives, however little
//! that is. Guards against nodes that together cause more extra arrivals at a service than its
//! clients' requests allow, in any window. `--nocapture` prints the figures.

use std::collections::VecDeque;

use rand::Rng;

use super::*;

const NODES: usize = 200;
const RATIO: f64 = 0.2;
const SLACK: f64 = 500.0;
const WINDOW_STEPS: usize = 100;
/// Steps of 100 ms: three windows.
const STEPS: usize = 300;
const STEP: Duration = Duration::from_millis(100);
/// Levels of calls below a client's request.
const DEPTH: u32 = 3;
/// Calls that each run makes to the other service.
const CALLS_PER_RUN: u32 = 2;
/// Runs at an upstream whose share of extra arrivals its calls are charged by.
const RUNNING: usize = 9;

#[derive(Clone, Copy, Debug, PartialEq)]
enum BudgetRule {
    /// The former rule: calls of upstreams earn, and those of repeated runs cost nothing.
    Former,
    Present,
}

struct FleetNode {
    /// By service.
    budgets: [RetryBudget; 2],
    weight: f64,
    running: VecDeque<f64>,
    is_up: bool,
}

struct FleetModel {
    rule: BudgetRule,
    rejected_share: f64,
    nodes: Vec<FleetNode>,
    rng: SmallRng,
    step: usize,
    /// Clients' requests and extra arrivals, by service and step.
    requests: [Vec<f64>; 2],
    extra: [Vec<f64>; 2],
}

impl FleetModel {
    fn now(&self) -> Timestamp {
        START + STEP * self.step as u32
    }

    /// Returns the largest ratio of extra arrivals to allowed ones in any window.
    fn run(rule: BudgetRule, rejected_share: f64, seed: u64) -> f64 {
        let mut settings = BudgetSettings {
            tokens_per_call: RATIO * 0.8,
            tokens_per_second: 0.0,
            shared_slack: Some(SLACK),
            ..BudgetSettings::default()
        };
        settings.set_node_count(NODES);
        let node = |index: usize| FleetNode {
            budgets: [0, 1].map(|_| RetryBudget::with_settings(settings, START)),
            weight: 1.0 / (1.0 + index as f64 / 20.0),
            running: VecDeque::new(),
            is_up: true,
        };
        let mut model = FleetModel {
            rule,
            rejected_share,
            nodes: (0..NODES).map(node).collect(),
            rng: SmallRng::seed_from_u64(seed),
            step: 0,
            requests: [vec![0.0; STEPS], vec![0.0; STEPS]],
            extra: [vec![0.0; STEPS], vec![0.0; STEPS]],
        };
        for step in 0..STEPS {
            model.step = step;
            model.change_nodes(settings);
            for index in 0..NODES {
                let count = model.nodes[index].weight * 3.0;
                let count = count as u32 + u32::from(model.rng.random_bool(count.fract()));
                for _ in 0..count {
                    // The second service has few clients of its own.
                    let service = usize::from(model.rng.random_bool(0.2));
                    model.requests[service][step] += 1.0;
                    model.call(index, service, 0, 0.0);
                }
            }
        }
        (0..2)
            .map(|service| model.worst_window(service))
            .fold(0.0, f64::max)
    }

    /// Restarts some nodes with new budgets. The others learn only later how many there are, so
    /// their shares of the slack stay.
    fn change_nodes(&mut self, mut settings: BudgetSettings) {
        if !self.step.is_multiple_of(50) {
            return;
        }
        settings.set_node_count(NODES * 9 / 10);
        for index in 0..NODES {
            let is_changed = self.rng.random_bool(0.1);
            if is_changed && self.nodes[index].is_up {
                self.nodes[index].is_up = false;
            } else if !self.nodes[index].is_up {
                self.nodes[index].is_up = true;
                let now = self.now();
                self.nodes[index].budgets =
                    [0, 1].map(|_| RetryBudget::with_settings(settings, now));
            }
        }
    }

    /// Makes a call from a node. `extra` is the probability that it belongs to a repeated run.
    fn call(&mut self, node: usize, service: usize, depth: u32, extra: f64) -> bool {
        let now = self.now();
        if !self.nodes[node].is_up {
            return false;
        }
        let charged = self.nodes[node].running.iter().sum::<f64>()
            / self.nodes[node].running.len().max(1) as f64;
        let budget = &mut self.nodes[node].budgets[service];
        match (self.rule, depth) {
            (_, 0) | (BudgetRule::Former, _) => budget.record_first_attempt(now),
            (BudgetRule::Present, _) if charged > 0.0 => budget.charge_repeated_run(now, charged),
            (BudgetRule::Present, _) => {}
        }
        let mut progress = CallProgress {
            depth,
            deadline: now + Duration::from_secs(2),
            ..progress(RequestClass::Lookup, depth, 0)
        };
        loop {
            progress.attempts += 1;
            let is_repeat = progress.arrived > 0;
            let extra = if is_repeat { 1.0 } else { extra };
            let target = self.rng.random_range(0..NODES);
            if self.refuses(target, is_repeat) {
                if progress.attempts >= 3 {
                    return false;
                }
                continue;
            }
            progress.arrived += 1;
            self.extra[service][self.step] += extra;
            if !self.rng.random_bool(self.rejected_share) {
                return self.run_request(target, service, depth, extra);
            }
            let failure = AttemptFailure::NotRun(CallReason::UpstreamRefused);
            let policy = RetryPolicy {
                scope: BudgetScope::Arrivals,
            };
            let budget = &mut self.nodes[node].budgets[service];
            let decision = policy.after_failure(
                now,
                &mut self.rng,
                budget,
                &progress,
                failure,
                Duration::ZERO,
            );
            if !matches!(decision, RetryDecision::Retry { .. }) {
                return false;
            }
        }
    }

    /// Whether a node refuses to run a repetition, because calls of such runs have spent its budget.
    fn refuses(&mut self, target: usize, is_repeat: bool) -> bool {
        let now = self.now();
        let target = &mut self.nodes[target];
        self.rule == BudgetRule::Present
            && is_repeat
            && target
                .budgets
                .iter_mut()
                .any(|budget| budget.is_in_debt(now))
    }

    fn run_request(&mut self, node: usize, service: usize, depth: u32, extra: f64) -> bool {
        let running = &mut self.nodes[node].running;
        running.push_back(extra);
        if running.len() > RUNNING {
            running.pop_front();
        }
        depth >= DEPTH || (0..CALLS_PER_RUN).all(|_| self.call(node, 1 - service, depth + 1, extra))
    }

    fn worst_window(&self, service: usize) -> f64 {
        let sum =
            |values: &[f64], from: usize| -> f64 { values[from..from + WINDOW_STEPS].iter().sum() };
        (0..=STEPS - WINDOW_STEPS)
            .map(|from| {
                let allowed = RATIO * sum(&self.requests[service], from) + SLACK;
                sum(&self.extra[service], from) / allowed
            })
            .fold(0.0, f64::max)
    }
}

#[test]
fn the_fleet_keeps_to_the_budget_of_each_service() {
    let mut worst = 0.0f64;
    for rejected in [0.0, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0] {
        let of = |rule| {
            (1..=3)
                .map(|seed| FleetModel::run(rule, rejected, seed))
                .fold(0.0, f64::max)
        };
        let (former, present) = (of(BudgetRule::Former), of(BudgetRule::Present));
        println!("| {rejected} | {former:.2} | {present:.2} |");
        worst = worst.max(present);
    }
    assert!(worst <= 1.0, "{worst} of the allowed extra arrivals");
}
