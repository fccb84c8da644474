//! Well-formed messages with contents that no correct node sends.

use std::time::Duration;

use bytes::Bytes;
use kumquatlock_wire::Body;
use kumquatlock_wire::call::{
    AttemptId, CallReason, CallRequest, CallResponse, HeaderField, LoadReport,
};
use kumquatlock_wire::claim::{ClaimReply, ClaimRequest};
use kumquatlock_wire::distribution::WireClass;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::simulation::CallSimulation;
use crate::util::tests::arbitrary::number;

/// Number of sessions, each with other messages.
const SESSIONS: u64 = 40;
/// Number of calls in a session.
const CALLS: usize = 60;
/// Longer than any call, claim or load report of a session stays in use.
const RECOVERY: Duration = Duration::from_secs(60);

fn small(random: &mut SmallRng) -> u32 {
    u32::try_from(number(random)).unwrap_or(u32::MAX)
}

/// Returns the number of a reason, or one that means nothing. A node that says that it drains or was
/// replaced is believed for the rest of its incarnation, so these two are left out.
fn reason(random: &mut SmallRng) -> i32 {
    let believed = [CallReason::Draining, CallReason::WrongIncarnation];
    match random.random_range(-1..30) {
        reason if believed.iter().any(|left_out| *left_out as i32 == reason) => 0,
        reason => reason,
    }
}

fn alter_request(request: &mut CallRequest, random: &mut SmallRng) {
    match random.random_range(0..9) {
        0 => request.origin = "x".repeat(9),
        1 => request.config_version = number(random),
        2 => request.class = random.random_range(-1..6),
        3 => request.deadline_us = number(random),
        4 => request.depth = small(random),
        5 => request.rank = small(random),
        6 => request.target_us = Some(number(random)),
        7 => request.key = Some(String::new()),
        _ => request.id.attempt = small(random),
    }
}

fn alter_response(response: &mut CallResponse, random: &mut SmallRng) {
    match random.random_range(0..7) {
        0 => response.incarnation = number(random),
        1 => response.outcome = random.random_range(-1..6),
        2 => response.reason = reason(random),
        3 => response.status = small(random),
        4 => response.body_len = number(random),
        5 => {
            response.load = Some(LoadReport {
                running: small(random),
                queued: small(random),
                slots: small(random),
                draining: false,
                service_us: small(random),
                held_us: small(random),
                waited_us: small(random),
            });
        }
        _ => {
            let name = "content-length".into();
            let value = "-1".into();
            response.headers.push(HeaderField { name, value });
            response.body = Bytes::from_static(b"x");
        }
    }
}

fn alter_claim(request: &mut ClaimRequest, random: &mut SmallRng) {
    match random.random_range(0..4) {
        0 => request.view = number(random),
        1 => request.epoch = number(random),
        2 => request.action = random.random_range(-1..8),
        _ => request.shard.number = small(random),
    }
}

fn alter_claim_reply(reply: &mut ClaimReply, random: &mut SmallRng) {
    match random.random_range(0..4) {
        0 => reply.verdict = random.random_range(-1..9),
        1 => reply.owner = None,
        2 => reply.view = number(random),
        _ => reply.epoch = number(random),
    }
}

fn alter_id(id: &mut AttemptId, random: &mut SmallRng) {
    match random.random_range(0..3) {
        0 => id.call_id = number(random),
        1 => id.attempt = small(random),
        _ => id.entry_incarnation = number(random),
    }
}

fn alter(body: &mut Body, random: &mut SmallRng) {
    match body {
        Body::Call(request) => alter_request(request, random),
        Body::Response(response) => alter_response(response, random),
        Body::Cancel(cancel) => alter_id(&mut cancel.id, random),
        Body::Claim(request) => alter_claim(request, random),
        Body::ClaimReply(reply) => alter_claim_reply(reply, random),
        Body::OutcomeQuery(query) => alter_id(&mut query.id, random),
        _ => {}
    }
}

/// Delivers all messages, a third of them altered.
fn deliver_altered(simulation: &mut CallSimulation, random: &mut SmallRng) {
    while let Some(mut message) = simulation.queue.pop_front() {
        if random.random_range(0..3) == 0 {
            alter(&mut message.body, random);
        }
        simulation.deliver(message);
    }
}

/// Guards against a message of one node that ends the process of another, leaves a call without an
/// answer for ever, or keeps later calls from being served.
#[test]
fn arbitrary_messages_of_a_node_do_not_stop_another() {
    for session in 0..SESSIONS {
        let mut random = SmallRng::seed_from_u64(session);
        let class = match session % 2 {
            0 => WireClass::Lookup,
            _ => WireClass::AtMostOnce,
        };
        let mut simulation = CallSimulation::new(class);
        let mut calls = Vec::new();
        for call in 0..CALLS {
            let key = format!("key-{call}");
            let is_keyed = session % 4 == 1;
            calls.push(simulation.open(is_keyed.then_some(key.as_str())));
            deliver_altered(&mut simulation, &mut random);
            simulation.advance(Duration::from_millis(50));
            deliver_altered(&mut simulation, &mut random);
        }
        simulation.deliver_all();
        simulation.advance(RECOVERY);
        simulation.deliver_all();
        for call in calls {
            assert_ne!(simulation.outcome(call), "open", "session {session}");
        }
        let served = simulation.open(None);
        simulation.deliver_all();
        assert_eq!(simulation.outcome(served), "answered", "session {session}");
    }
}
