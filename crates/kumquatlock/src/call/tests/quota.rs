//! Calls of a client account that has a quota.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{CallOutcome, CallReason, CallRequest, CallResponse};
use kumquatlock_wire::distribution::{
    AccountItem, CatalogChange, Delta, WireClass, catalog_change::Kind,
};
use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant, QuotaGrantItem};

use super::simulation::{CallSimulation, booking_request, snapshot_of, upstreams};
use crate::call::*;
use crate::core::*;
use crate::quota::AccountId;

const KEY: &str = "s3cret-of-the-crew";

/// Builds a simulation whose configuration has an account with a quota that is too small for an
/// allowance of the node, so that each call needs a token of the parent.
fn simulation() -> CallSimulation {
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    let base = snapshot_of(5, WireClass::Lookup, upstreams());
    let account = AccountItem {
        name: "crew".into(),
        key_digests: vec![KeyDigest::of(KEY.as_bytes()).as_bytes().to_vec().into()],
        quota_millis: 1_000,
        burst: 1,
        ..AccountItem::default()
    };
    let change = CatalogChange {
        kind: Some(Kind::UpsertAccount(account.clone())),
    };
    let delta = Delta {
        base: 5,
        version: 6,
        digest: base.digest.wrapping_add(account_digest(&account)),
        changes: vec![change],
        ..Delta::default()
    };
    let snapshot = base.apply(&delta).unwrap().into();
    simulation.entry.on_snapshot(simulation.now, snapshot);
    simulation.entry.set_quota_parent(true);
    simulation
}

fn open(simulation: &mut CallSimulation) -> Vec<EntryStep> {
    let header = ("authorization".to_owned(), format!("Bearer {KEY}"));
    let request = booking_request(vec![header], "");
    simulation
        .entry
        .open(simulation.now, request, LocalRuns::default())
        .1
}

fn ask(simulation: &mut CallSimulation) -> QuotaAsk {
    let ask = simulation.entry.poll_quota(simulation.now);
    ask.expect("the node should ask its parent")
}

fn answer(ask: &QuotaAsk, tokens: u32, denied_ms: u32) -> QuotaGrant {
    let item = QuotaGrantItem {
        account: AccountId::of("crew").0,
        tokens,
        life_ms: 2_000,
        denied_ms,
        is_unavailable: false,
    };
    QuotaGrant {
        session: ask.session,
        number: ask.number,
        items: vec![item],
    }
}

fn sent(steps: Vec<EntryStep>) -> CallRequest {
    match steps.into_iter().next() {
        Some(EntryStep::Send {
            body: Body::Call(request),
            ..
        }) => request,
        other => panic!("the call was not sent: {other:?}"),
    }
}

fn answered(steps: Vec<EntryStep>) -> (CallerAnswer, Option<Duration>) {
    match steps.into_iter().next() {
        Some(EntryStep::Answer {
            answer,
            retry_after,
            ..
        }) => (answer, retry_after),
        other => panic!("the call was not answered: {other:?}"),
    }
}

/// Guards against a call that runs without a token, and against a legal one that is refused while a
/// token is on its way.
#[test]
fn a_call_waits_for_a_token() {
    let mut simulation = simulation();
    assert!(open(&mut simulation).is_empty());
    let ask = ask(&mut simulation);
    assert_eq!(ask.items[0].waiting, 1);
    assert_eq!(simulation.entry.poll_quota(simulation.now), None);
    let grant = answer(&ask, 1, 0);
    let steps = simulation.entry.on_quota_grant(simulation.now, &grant);
    assert_eq!(sent(steps).account.as_deref(), Some("crew"));
    assert_eq!(simulation.entry.quota().counters().after_wait, 1);
}

/// Guards against a refusal that callers can't tell from an overloaded mesh.
#[test]
fn a_call_over_the_quota_gets_429() {
    let mut simulation = simulation();
    assert!(open(&mut simulation).is_empty());
    let denial = answer(&ask(&mut simulation), 0, 400);
    let steps = simulation.entry.on_quota_grant(simulation.now, &denial);
    let (refusal, retry_after) = answered(steps);
    assert_eq!(refusal, CallerAnswer::NotRun(CallReason::QuotaExceeded));
    assert!(retry_after.is_some());
    let response = refusal.into_http(&HeaderNames::default());
    assert_eq!(response.status, 429);
    assert_eq!(response.header(OUTCOME_HEADER), Some("not_run"));
    // Until there may be tokens again, further calls are refused without an ask.
    let (refusal, _) = answered(open(&mut simulation));
    assert_eq!(refusal, CallerAnswer::NotRun(CallReason::QuotaExceeded));
}

/// Guards against calls that are held by a parent that doesn't answer, and against a 429 for an
/// account that may be within its quota.
#[test]
fn a_call_without_an_answer_of_the_parent_gets_503() {
    let mut simulation = simulation();
    assert!(open(&mut simulation).is_empty());
    ask(&mut simulation);
    let wakeup = simulation.entry.next_wakeup().unwrap();
    assert!(wakeup.since(simulation.now) <= Duration::from_millis(150));
    simulation.now = wakeup;
    let (refusal, _) = answered(simulation.entry.on_tick(wakeup));
    assert_eq!(refusal, CallerAnswer::NotRun(CallReason::QuotaUnavailable));
    assert_eq!(refusal.into_http(&HeaderNames::default()).status, 503);
    simulation.entry.set_quota_parent(false);
    let (refusal, _) = answered(open(&mut simulation));
    assert_eq!(refusal, CallerAnswer::NotRun(CallReason::QuotaUnavailable));
}

/// Guards against an account that loses its quota to calls that were refused, and against retries
/// that count twice.
#[test]
fn a_call_that_did_not_run_gives_its_token_back() {
    let mut simulation = simulation();
    assert!(open(&mut simulation).is_empty());
    let grant = answer(&ask(&mut simulation), 1, 0);
    let mut steps = simulation.entry.on_quota_grant(simulation.now, &grant);
    let mut attempts = 0;
    while let Some(EntryStep::Send {
        body: Body::Call(request),
        ..
    }) = steps.first()
    {
        attempts += 1;
        let refusal = CallResponse {
            id: request.id.clone(),
            incarnation: request.incarnation,
            outcome: CallOutcome::NotRun as i32,
            reason: CallReason::Overloaded as i32,
            ..CallResponse::default()
        };
        steps = simulation.entry.on_response(simulation.now, refusal);
        while steps.is_empty() {
            simulation.now = simulation.entry.next_wakeup().unwrap();
            steps = simulation.entry.on_tick(simulation.now);
        }
    }
    assert!(attempts > 1, "the call was not retried");
    let (refusal, _) = answered(steps);
    assert_eq!(refusal, CallerAnswer::NotRun(CallReason::Overloaded));
    simulation.now = simulation.now + Duration::from_millis(300);
    let report = ask(&mut simulation).items[0];
    assert_eq!((report.spent, report.refunded), (1, 1));
}

/// Guards against tokens that are spent after a suspension, which the clock of a node counts.
#[test]
fn tokens_expire_while_the_machine_is_suspended() {
    let mut simulation = simulation();
    assert!(open(&mut simulation).is_empty());
    let grant = answer(&ask(&mut simulation), 2, 0);
    let steps = simulation.entry.on_quota_grant(simulation.now, &grant);
    sent(steps);
    simulation.now = simulation.now + Duration::from_secs(3);
    assert!(open(&mut simulation).is_empty());
}
