//! Tests of retries, hedges and their budget.

mod pacing;

mod fleet;

use std::time::Duration;

use kumquatlock_wire::call::CallReason;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::core::{RequestClass, Timestamp};

const REFUSED: AttemptFailure = AttemptFailure::NotRun(CallReason::Overloaded);
const LOST: AttemptFailure = AttemptFailure::Unknown(CallReason::LinkLost);
const START: Timestamp = Timestamp(0);

fn progress(class: RequestClass, depth: u32, attempts: u32) -> CallProgress {
    CallProgress {
        class,
        rank: 0,
        depth,
        attempts,
        arrived: attempts,
        max_arrivals: None,
        deadline: Timestamp::from_millis(3_600_000),
    }
}

/// Decides on a call before its deadline, with a new budget.
fn decide(progress: CallProgress, failure: AttemptFailure) -> RetryDecision {
    let mut budget = RetryBudget::new(START);
    decide_with(&mut budget, progress, failure)
}

fn decide_with(
    budget: &mut RetryBudget,
    progress: CallProgress,
    failure: AttemptFailure,
) -> RetryDecision {
    let mut rng = SmallRng::seed_from_u64(1);
    RetryPolicy::default().after_failure(
        START,
        &mut rng,
        budget,
        &progress,
        failure,
        Duration::ZERO,
    )
}

fn empty_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(START);
    while budget.try_take(START, ExtraReason::Retry, 1.0, 0.0) {}
    budget
}

/// Returns how many attempts the last call of a chain of 14 gets if each of them ends with
/// `failure`.
fn attempts_of_last_call(depth: u32, class: RequestClass, failure: AttemptFailure) -> u32 {
    let mut sum = 0;
    for attempts in 1.. {
        // An upstream that could not complete its inner call answers with a server error.
        let (inner, observed) = if depth == 13 {
            (1, failure)
        } else {
            let inner = attempts_of_last_call(depth + 1, class, failure);
            (inner, AttemptFailure::Failed)
        };
        sum += inner;
        let decision = decide(progress(class, depth, attempts), observed);
        if !matches!(decision, RetryDecision::Retry { .. }) {
            break;
        }
    }
    sum
}

/// Guards against retries that multiply at each level of a chain.
#[test]
fn a_chain_of_14_is_retried_at_one_level() {
    assert_eq!(attempts_of_last_call(0, RequestClass::Lookup, LOST), 3);
    assert_eq!(attempts_of_last_call(0, RequestClass::Lookup, REFUSED), 6);
    assert_eq!(attempts_of_last_call(0, RequestClass::AtMostOnce, LOST), 1);
    assert_eq!(
        attempts_of_last_call(0, RequestClass::AtMostOnce, REFUSED),
        2
    );
}

/// Guards against a booking or settlement that runs twice because a lost link or a server error was
/// taken for "not run".
#[test]
fn at_most_once_calls_are_retried_only_if_proved_not_run() {
    for class in [RequestClass::AtMostOnce, RequestClass::Deferred] {
        for failure in [LOST, AttemptFailure::Failed] {
            assert_eq!(
                decide(progress(class, 0, 1), failure),
                RetryDecision::GiveUp(GiveUpReason::NotRepeatable)
            );
        }
        assert!(matches!(
            decide(progress(class, 0, 1), REFUSED),
            RetryDecision::Retry { .. }
        ));
    }
    let fenced = AttemptFailure::NotRun(CallReason::KeyFenced);
    assert_eq!(
        decide(progress(RequestClass::AtMostOnce, 0, 1), fenced),
        RetryDecision::GiveUp(GiveUpReason::Final)
    );
}

/// Guards against retries without limit and retries past the caller's deadline.
#[test]
fn attempts_and_deadline_bound_the_retries() {
    assert_eq!(
        decide(progress(RequestClass::Lookup, 0, 3), LOST),
        RetryDecision::GiveUp(GiveUpReason::AttemptsSpent)
    );
    let mut budget = RetryBudget::new(START);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut late = progress(RequestClass::Lookup, 0, 1);
    late.deadline = Timestamp::from_millis(20);
    let expected = Duration::from_millis(20);
    let decision =
        RetryPolicy::default().after_failure(START, &mut rng, &mut budget, &late, LOST, expected);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUpReason::DeadlineSpent));
}

/// Guards against a deferred call that uses up its attempts before its deadline is near.
#[test]
fn attempts_of_a_deferred_call_outlast_an_hour() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut now = START;
        for attempts in 1.. {
            let mut budget = RetryBudget::new(now);
            let call = progress(RequestClass::Deferred, 0, attempts);
            let zero = Duration::ZERO;
            match RetryPolicy::default().after_failure(
                now,
                &mut rng,
                &mut budget,
                &call,
                REFUSED,
                zero,
            ) {
                RetryDecision::Retry { after } => now = now + after,
                decision => {
                    let spent = RetryDecision::GiveUp(GiveUpReason::DeadlineSpent);
                    assert_eq!(decision, spent, "seed {seed}, attempt {attempts}");
                    break;
                }
            }
        }
    }
}

/// Guards against retries that multiply the load while every attempt fails.
#[test]
fn the_budget_bounds_retries_to_a_share_of_the_calls() {
    let mut budget = RetryBudget::new(START);
    let mut retries = 0;
    for call in 0..10_000 {
        let now = Timestamp::from_millis(call);
        budget.record_first_attempt(now);
        retries += u32::from(budget.try_take(now, ExtraReason::Retry, 1.0, 0.0))
            + u32::from(budget.try_take(now, ExtraReason::Retry, 1.0, 0.0));
    }
    // 0.2 × 10,000 and the first second's tokens; the gain per second is not added to the gain per
    // call.
    assert!((2_000..=2_012).contains(&retries), "{retries}");
}

/// Guards against an idle node that may never retry, and against one that accumulates tokens for a
/// retry storm.
#[test]
fn an_idle_node_gains_two_tokens_per_second_up_to_a_limit() {
    let mut budget = empty_budget();
    assert!(!budget.try_take(Timestamp::from_millis(450), ExtraReason::Retry, 1.0, 0.0));
    let now = Timestamp::from_millis(1_000);
    assert!(
        (0..2).all(|_| budget.try_take(now, ExtraReason::Retry, 1.0, 0.0))
            && !budget.try_take(now, ExtraReason::Retry, 1.0, 0.0)
    );
    let _ = budget.try_take(
        Timestamp::from_millis(3_600_000),
        ExtraReason::Retry,
        1.0,
        0.0,
    );
    assert!(budget.tokens() <= 100.0);
}

/// Guards against calls that are lost when an upstream restarts under load, and against a deferred
/// call that is given up although it has an hour left.
#[test]
fn an_empty_budget_allows_retries_after_a_restart_and_postpones_deferred_calls() {
    let lookup = progress(RequestClass::Lookup, 0, 1);
    let mut budget = empty_budget();
    assert_eq!(
        decide_with(&mut budget, lookup, REFUSED),
        RetryDecision::GiveUp(GiveUpReason::BudgetSpent)
    );
    let draining = AttemptFailure::NotRun(CallReason::Draining);
    assert_eq!(
        decide_with(&mut budget, lookup, draining),
        RetryDecision::Retry {
            after: Duration::ZERO
        }
    );
    assert!(matches!(
        decide_with(&mut budget, progress(RequestClass::Deferred, 0, 9), REFUSED),
        RetryDecision::Postpone { .. }
    ));
}

/// Guards against hedges of calls that must not be repeated, hedges inside a chain, and hedges that
/// double the load when all calls are late.
#[test]
fn only_late_first_level_lookups_are_hedged_within_the_budget() {
    let mut hedge = HedgePolicy::default();
    let lookup = progress(RequestClass::Lookup, 0, 1);
    assert_eq!(hedge.delay(&lookup), None, "no samples yet");
    for sample in 1..=1_000 {
        hedge.observe(Duration::from_micros(sample * 10));
    }
    let delay = hedge.delay(&lookup).unwrap().as_micros();
    assert!(
        (9_500..11_500).contains(&delay),
        "{delay} µs for a p95 of 9,500"
    );
    for class in [
        RequestClass::AtMostOnce,
        RequestClass::Internal,
        RequestClass::Deferred,
    ] {
        assert_eq!(hedge.delay(&progress(class, 0, 1)), None);
    }
    assert_eq!(hedge.delay(&progress(RequestClass::Lookup, 1, 1)), None);

    let mut budget = RetryBudget::new(START);
    let sent = (0..10)
        .filter(|_| hedge.decide(START, &mut budget, &lookup) == HedgeDecision::Send)
        .count();
    assert_eq!(sent, 5, "hedges leave a reserve for retries");
    assert_eq!(
        hedge.decide(START, &mut budget, &progress(RequestClass::Lookup, 0, 2)),
        HedgeDecision::Skip(SkipReason::AlreadyRetried)
    );
}

/// Guards against nodes that together make more extra attempts than allowed after the slack was
/// divided among them.
#[test]
fn nodes_share_the_slack_of_a_service() {
    const NODES: usize = 30;
    let mut settings = BudgetSettings {
        tokens_per_call: 0.16,
        tokens_per_second: 0.0,
        shared_slack: Some(60.0),
        ..BudgetSettings::default()
    };
    settings.set_node_count(NODES);
    let mut taken = 0;
    for _ in 0..NODES {
        let mut budget = RetryBudget::with_settings(settings, START);
        for call in 0..100 {
            let now = START + Duration::from_millis(call * 100);
            budget.record_first_attempt(now);
            taken += i32::from(budget.try_take(now, ExtraReason::Retry, 1.0, 0.0));
        }
    }
    let allowed = 0.2 * (100 * NODES) as f64 + 60.0;
    assert!(f64::from(taken) <= allowed, "{taken} extra attempts");
    assert!(
        f64::from(taken) >= 0.16 * (100 * NODES) as f64 * 0.9,
        "{taken} extra attempts"
    );
}

/// Guards against a node that keeps the tokens of a larger share after other nodes have joined.
#[test]
fn tokens_above_a_reduced_limit_are_lost() {
    let mut settings = BudgetSettings {
        shared_slack: Some(60.0),
        ..BudgetSettings::default()
    };
    settings.set_node_count(4);
    let mut budget = RetryBudget::with_settings(settings, START);
    assert!(budget.tokens() > 5.0);
    settings.set_node_count(40);
    budget.set_settings(settings);
    assert!(budget.tokens() <= 60.0 / 40.0);
    settings.set_node_count(usize::MAX);
    budget.set_settings(settings);
    assert!(
        budget.try_take(START, ExtraReason::Retry, 1.0, 0.0),
        "an unknown number of nodes leaves one token"
    );
    assert!(!budget.try_take(START, ExtraReason::Retry, 1.0, 0.0));
}

/// Guards against fractions of a token that cost nothing or a whole token.
#[test]
fn fractions_of_a_token_add_up() {
    let settings = BudgetSettings {
        tokens_per_call: 0.0,
        tokens_per_second: 0.0,
        max_tokens: 1.0,
        shared_slack: None,
    };
    let mut budget = RetryBudget::with_settings(settings, START);
    let taken = (0..10).filter(|_| budget.try_take(START, ExtraReason::Retry, 0.25, 0.0));
    assert_eq!(taken.count(), 4);
}
