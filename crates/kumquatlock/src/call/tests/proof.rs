//! Tests that a proof of "not run" outlives everything that may still arrive.

use std::time::Duration;

use super::proof_model::ProofModel;
use crate::transport::LinkId;

const TIMEOUT: Duration = Duration::from_secs(4);

/// Opens a request whose first attempt stays held on a link that the entry node gives up, so that
/// the attempt is fenced by a query over a new link and the request runs elsewhere.
fn model_with_held_attempt() -> (ProofModel, usize, LinkId) {
    let mut model = ProofModel::new(1, true);
    let request = model.open(0, TIMEOUT);
    let held = *model.links.keys().next().unwrap();
    model.links[&held].is_held = true;
    model.close_at_entry(held);
    model.settle();
    assert_eq!(model.proofs["query"], 1, "{:#?}", model.transcript);
    assert_eq!(model.requests[request].runs, 1);
    (model, request, held)
}

/// Delivers the held attempt and checks that it doesn't run.
fn check_held_attempt(mut model: ProofModel, request: usize, held: LinkId) {
    model.links[&held].is_held = false;
    model.settle();
    assert_eq!(model.proofs["late_attempt"], 1);
    assert_eq!(model.requests[request].runs, 1, "{:#?}", model.transcript);
}

/// A fenced attempt must not run because its destination process forgets the fence when it starts a
/// new incarnation.
#[test]
fn a_fence_outlives_a_new_incarnation_of_its_process() {
    let (mut model, request, held) = model_with_held_attempt();
    let destination = model.links[&held].destination;
    model.raise_incarnation(destination);
    model.adopt_incarnation(destination);
    check_held_attempt(model, request, held);
}

/// A fenced attempt must not run because it arrives only at the next process of its destination,
/// which doesn't know the fence.
#[test]
fn a_fence_outlives_its_process() {
    let (mut model, request, held) = model_with_held_attempt();
    let destination = model.links[&held].destination;
    model.restart_destination(destination);
    check_held_attempt(model, request, held);
}
