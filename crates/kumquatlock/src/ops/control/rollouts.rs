//! Rollouts: orders of operators, and the leader's decisions.

use kumquatlock_wire::distribution::{UpstreamItem, WireState, catalog_command};
use kumquatlock_wire::rollout::{
    RolloutChange, RolloutEvidence, RolloutItem, RolloutOrder, RolloutPhase, RolloutStart,
    rollout_change,
};
use serde::{Deserialize, Serialize};

use super::actor::ControlActor;
use super::answer;
use super::clock::wall_clock_ms;
use super::operator::{OperatorRequest, method_not_allowed};
use super::requests::RequestAnswer;
use crate::agreement::{ProposalError, ProposalTicket};
use crate::catalog::{ApplyOutcome, CurrentCatalog};
use crate::core::{ConfigVersion, Timestamp};
use crate::http::{HttpRequest, HttpResponse};
use crate::rollout::{AdvanceOutcome, DirectorInput, OrderDecision, OrderFault, RolloutDecision};

/// Path of rollouts.
pub(super) const ROLLOUTS_PATH: &str = "/v1/rollouts";

/// JSON body of an order.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderBody {
    service: String,
    target_version: String,
    duration_ms: u64,
}

/// JSON body with the state of a rollout.
#[derive(Serialize)]
struct RolloutBody<'a> {
    state: &'static str,
    service: &'a str,
    target_version: &'a str,
    version_in_force: &'a str,
    phase: &'static str,
}

#[derive(Serialize)]
struct RefusedOrderBody<'a> {
    state: &'static str,
    reason: &'static str,
    detail: String,
    #[serde(skip_serializing_if = "str::is_empty")]
    target_version: &'a str,
}

/// Parses a request about rollouts, or returns the response that refuses it.
pub(super) fn parse_rollout_request(
    request: &HttpRequest,
) -> Result<OperatorRequest, HttpResponse> {
    let rest = request.path().strip_prefix(ROLLOUTS_PATH);
    let service = rest.and_then(|rest| rest.strip_prefix('/'));
    match (service, rest, request.method.as_str()) {
        (None, Some(""), "POST") => {
            let body: OrderBody = serde_json::from_slice(&request.body)
                .map_err(|error| answer::bad_request(400, "bad_order", &error.to_string()))?;
            let order = RolloutOrder {
                service: body.service,
                target: body.target_version,
                duration_ms: body.duration_ms,
            };
            Ok(OperatorRequest::Rollout(Box::new(order)))
        }
        (None, Some(""), _) => Err(method_not_allowed("POST")),
        (Some(service), _, "GET") => Ok(OperatorRequest::ShowRollout(service.into())),
        (Some(_), _, _) => Err(method_not_allowed("GET")),
        _ => Err(answer::bad_request(404, "not_found", "unknown path")),
    }
}

fn state_name(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::None => "none",
        RolloutPhase::Canary | RolloutPhase::Promoting => "running",
        RolloutPhase::Completed => "completed",
        RolloutPhase::RolledBack => "rolled_back",
    }
}

fn phase_name(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::None => "none",
        RolloutPhase::Canary => "canary",
        RolloutPhase::Promoting => "promoting",
        RolloutPhase::Completed => "completed",
        RolloutPhase::RolledBack => "rolled_back",
    }
}

fn rollout_body(item: &RolloutItem) -> RolloutBody<'_> {
    RolloutBody {
        state: state_name(item.phase()),
        service: &item.service,
        target_version: &item.target,
        version_in_force: &item.in_force,
        phase: phase_name(item.phase()),
    }
}

/// Returns the response with the rollout of a service.
pub(super) fn rollout_response(current: &CurrentCatalog<'_>, service: &str) -> HttpResponse {
    let item = current.state().rollouts().get(service);
    match item.filter(|item| item.phase() != RolloutPhase::None) {
        Some(item) => HttpResponse::json(200, &rollout_body(item)),
        None => {
            let body = RefusedOrderBody {
                state: "unknown",
                reason: "no_rollout",
                detail: "no rollout of this service was ordered".to_owned(),
                target_version: "",
            };
            HttpResponse::json(404, &body)
        }
    }
}

fn order_answer(decision: &OrderDecision) -> RequestAnswer {
    let refused = |status, reason, detail, target_version| {
        let body = RefusedOrderBody {
            state: "refused",
            reason,
            detail,
            target_version,
        };
        answer::json_answer(status, &body)
    };
    match decision {
        OrderDecision::Accepted(item) => answer::json_answer(200, &rollout_body(item)),
        OrderDecision::InProgress(item) => {
            let detail = "another rollout of the service is running".to_owned();
            refused(409, "in_progress", detail, &item.target)
        }
        OrderDecision::Refused(fault) => {
            let status = match fault {
                OrderFault::UnknownService => 404,
                OrderFault::Full => 503,
                OrderFault::InvalidVersion | OrderFault::InvalidDuration => 422,
            };
            refused(status, fault.into(), fault.to_string(), "")
        }
    }
}

impl ControlActor {
    /// Proposes an operator's order as the leader. It is decided on when its entry is applied.
    pub(super) fn propose_order(&mut self, now: Timestamp, id: u64, order: RolloutOrder) {
        let item = self.catalog.rollouts().get(&order.service);
        let director = &mut self.leader_view.director;
        director.follow(now, item.into_iter());
        let start = RolloutStart {
            repeats_after: director.repeats_after(now, item),
            order,
            recorded_at_ms: wall_clock_ms(),
        };
        let kind = Some(rollout_change::Kind::Start(start));
        let change = catalog_command::Kind::Rollout(RolloutChange { kind });
        self.propose_with(ProposalTicket(id), change);
    }

    /// Answers an order whose proposal has ended.
    pub(super) fn answer_order(
        &mut self,
        now: Timestamp,
        id: u64,
        result: Result<u64, ProposalError>,
    ) {
        let outcome = self
            .voter
            .as_ref()
            .and_then(|voter| voter.last_outcome.as_ref());
        let answer = match (&result, outcome) {
            (Err(error), _) => answer::failed_proposal(error),
            (Ok(index), Some((applied, ApplyOutcome::Order(decision)))) if applied == index => {
                order_answer(decision)
            }
            (Ok(_), _) => answer::unknown("not_decided"),
        };
        self.finish_request(now, id, answer);
    }

    /// Handles a node's report on a running rollout. Drops it if this instance does not lead.
    pub(super) fn handle_evidence(&mut self, now: Timestamp, evidence: &RolloutEvidence) {
        if self.is_leader() {
            self.leader_view.director.observe(now, evidence);
        }
    }

    /// Decides on the running rollouts as the leader.
    pub(super) fn direct_rollouts(&mut self, now: Timestamp) {
        if !self.is_leader() {
            return;
        }
        let items: Vec<_> = self.catalog.rollouts().running().cloned().collect();
        self.leader_view.director.follow(now, items.iter());
        for item in items {
            let input = self.director_input(now, &item);
            if let Some(decision) = self.leader_view.director.step(now, &item, input) {
                log_decision(&item, input, &decision);
                let kind = Some(rollout_change::Kind::Advance(decision.advance));
                self.propose(catalog_command::Kind::Rollout(RolloutChange { kind }));
            }
        }
    }

    fn director_input(&self, now: Timestamp, item: &RolloutItem) -> DirectorInput {
        let serving = |upstream: &&UpstreamItem| {
            upstream.service == item.service && upstream.state == WireState::Serving as i32
        };
        let serving = || self.catalog.upstreams().filter(serving);
        let slots = |version: &str| {
            let slots = serving().filter(|upstream| upstream.version == version);
            slots.map(|upstream| u64::from(upstream.slots)).sum()
        };
        let count = self.attached_count(now, ConfigVersion(item.changed_at));
        DirectorInput {
            slots_in_force: slots(&item.in_force),
            target_slots: slots(&item.target),
            is_applied: count.is_in_force() && self.has_complete_view(now),
            wall_ms: wall_clock_ms(),
        }
    }

    /// Logs what an entry has changed about a rollout.
    pub(super) fn log_rollout(&self, index: u64, outcome: &ApplyOutcome) {
        match outcome {
            ApplyOutcome::Order(OrderDecision::Accepted(item)) if item.order == index => {
                self.metrics.count_rollout(phase_name(item.phase()));
                log::info!(
                    service = item.service.as_str(),
                    order = index,
                    target_version = item.target.as_str(),
                    in_force = item.in_force.as_str(),
                    duration_ms = item.duration_ms;
                    "rollout_ordered"
                );
            }
            ApplyOutcome::Order(OrderDecision::Accepted(item)) => {
                log::info!(service = item.service.as_str(), order = item.order; "rollout_order_repeated");
            }
            ApplyOutcome::Order(OrderDecision::InProgress(item)) => {
                log::info!(service = item.service.as_str(), order = item.order; "rollout_order_refused");
            }
            ApplyOutcome::Order(OrderDecision::Refused(fault)) => {
                log::info!(reason = <&str>::from(fault); "rollout_order_refused");
            }
            ApplyOutcome::Advance(AdvanceOutcome::Advanced(phase)) => {
                self.metrics.count_rollout(phase_name(*phase));
                log::info!(version = index, phase = phase_name(*phase); "rollout_advanced");
            }
            _ => {}
        }
    }
}

/// Logs a decision, or once per second what the leader sees, with its inputs.
fn log_decision(item: &RolloutItem, input: DirectorInput, decision: &RolloutDecision) {
    let advance = &decision.advance;
    let is_decided = advance.from != advance.to;
    let event = if is_decided {
        "rollout_decided"
    } else {
        "rollout_watched"
    };
    let verdict = decision.verdict;
    let seen = match verdict {
        Some(verdict) => verdict.summary,
        None => decision.failing,
    };
    log::info!(
        service = item.service.as_str(),
        order = item.order,
        target_version = item.target.as_str(),
        phase = phase_name(advance.to()),
        elapsed_ms = advance.elapsed_ms,
        answers = decision.answers,
        slots_in_force = input.slots_in_force,
        target_slots = input.target_slots,
        is_applied = input.is_applied,
        fault = verdict.map_or("", |verdict| verdict.fault.into()),
        kind = verdict.map_or(0, |verdict| verdict.key),
        upstreams = seen.upstreams,
        rising = seen.rising,
        total = seen.total,
        bad = seen.bad,
        of_answers = seen.answers,
        baseline_rate = seen.baseline_rate,
        slow = decision.slow.bad,
        slow_total = decision.slow.total,
        slow_rising = decision.slow.rising,
        slow_baseline_rate = decision.slow.baseline_rate;
        "{event}"
    );
}
